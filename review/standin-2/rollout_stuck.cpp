//===- rollout_stuck.cpp - A version goes bad as it is completed ----------===//
//
// A new version of a service is rolled out. One host records the roll-out as
// complete, and the platform stops the old replicas. The platform's store has
// accepted that record and is down from then on for some seconds, so that the
// host gets no answer and no host reads the record. In that time the version
// turns out to be bad. The requests are counted until the end of the day.
//
//===----------------------------------------------------------------------===//

#include "platform.h"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace review;

constexpr int Hosts = 3;
/// Times from the start of the traffic.
constexpr double OrderAt = 2;
constexpr double TrafficTime = 106;
/// Time in which the hosts become ready.
constexpr double ReadyTime = 10;
/// The order's time in the deployment's site file.
constexpr double OrderTime = 16;
/// Half of the answers of a bad version are failures, as in the site file.
constexpr int BadOutOf = 2;
/// The store is down for this long, from when it has accepted "complete" on.
constexpr double OutageTime = 4.5;
/// The version turns bad this long after it got all requests.
constexpr double SoundTime = 0.5;
/// Requests per second of the two kinds.
constexpr double LookupRate = 60;
constexpr double StatusRate = 240;

struct Tally {
  std::atomic<int> Asked{0};
  std::atomic<int> Served{0};
  std::atomic<int> Refused{0};
  std::atomic<int> Failed{0};
  std::atomic<int> LateAsked{0};
  std::atomic<int> LateServed{0};
  std::atomic<int> LateRefused{0};
};

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 3)
    return 2;
  std::string Folder = Argv[1];
  openRecord(Argv[2]);
  const char *Text = std::getenv("TROUBLE");
  bool Trouble = Text == nullptr || std::string(Text) != "0";
  record(Trouble ? "with the disruption" : "without the disruption");
  std::string Prefix = addressPrefix();
  const char *Zones[] = {"colombo-a", "kandy-a", "galle-a"};
  Store Platform;
  int StorePort = Platform.listen(Prefix + "200");
  Platform.put(
      "keyed.op", "config",
      configuration(
          1,
          {routeRow("lookup", "/lookup/", "safe", "survey-app", 2, 1500, 150),
           routeRow("status", "/status/", "safe", "works-app", 2, 1500, 150)},
          {"survey-app", "works-app"}));
  std::atomic<bool> IsBad{false};
  std::atomic<int> BadCount{0};
  std::vector<std::unique_ptr<Replica>> Old;
  std::vector<std::unique_ptr<Replica>> New;
  std::vector<std::unique_ptr<Replica>> Others;
  auto Add = [&](std::vector<std::unique_ptr<Replica>> &List,
                 const std::string &Id, const std::string &Service,
                 const char *Zone, const std::string &Version) {
    List.push_back(
        std::make_unique<Replica>(Platform, Id, Service, Zone, Version));
    Replica &Added = *List.back();
    Added.OnArrival = [](const Arrival &Seen) {
      record("runs " + Seen.Id + " at " + Seen.Replica + " " + Seen.Version);
    };
    Added.OnRequest = [&, Source = &Added](Connection &Caller,
                                           const Message &Request) {
      sleepFor(Source->WorkTime);
      bool Fails =
          Source->Version == "v2" && IsBad && BadCount++ % BadOutOf == 0;
      Caller.write(answerOf(*Source, Request, Fails ? 500 : 200,
                            Fails ? "error\n" : "done\n"));
    };
    Added.start(Prefix + std::to_string(100));
  };
  for (int Index = 0; Index < 3; ++Index) {
    Add(Old, "i-old-" + std::to_string(Index), "survey-app", Zones[Index],
        "v1");
    Add(Others, "i-works-" + std::to_string(Index), "works-app", Zones[Index],
        "v1");
  }
  std::atomic<double> CompletedAt{0};
  std::thread Stopper;
  Platform.OnAppend = [&](const std::string &Topic, const Record &Entry) {
    if (Topic != "keyed.status" || Entry.Key != "rollout/survey-app" ||
        !Entry.Value)
      return;
    record("status " + *Entry.Value);
    if (Entry.Value->find("complete") == std::string::npos || CompletedAt > 0)
      return;
    CompletedAt = now();
    if (Trouble) {
      Platform.IsSilent = true;
      record("the store is down");
    }
    // At "complete", the old replicas stop immediately.
    Stopper = std::thread([&] {
      for (auto &Stopped : Old)
        Stopped->stop();
      record("the old replicas have stopped");
    });
  };
  int Port = freePort(Prefix + "1");
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<std::string> Seeds;
  for (int Index = 0; Index < Hosts; ++Index)
    Seeds.push_back(Prefix + std::to_string(Index + 1) + ":" +
                    std::to_string(Port + 2));
  for (int Index = 0; Index < Hosts; ++Index) {
    Daemons.push_back(std::make_unique<Daemon>(
        "edge-" + std::to_string(Index + 1), Prefix + std::to_string(Index + 1),
        Port, "colombo-a"));
    Daemons.back()->start(Folder, Prefix + "200", StorePort, Seeds);
  }
  if (!awaitReady(Daemons, ReadyTime))
    return 2;
  double Begin = now();
  record("the traffic begins");

  Tally Lookup;
  Tally Status;
  std::atomic<int> Threads{0};
  // A client asks a host, and another one if that one promises that the
  // request has not run or fails.
  auto Ask = [&](const char *Target, Tally &Counts) {
    Threads += 1;
    std::thread([&, Target] {
      std::string Id;
      Outcome Result;
      int First = std::rand() % Hosts;
      double SentAt = now();
      for (int Attempt = 0; Attempt < 2; ++Attempt) {
        Daemon &Host = *Daemons[static_cast<size_t>((First + Attempt) % Hosts)];
        Id = freshId();
        Result = request(Host, "GET", Target, Id, "", 1500);
        record("client " + Id + " " + Target + " to " + Host.Name + " gets " +
               std::to_string(Result.Status));
        if (Result.Status >= 200 && Result.Status < 300)
          break;
      }
      bool IsServed = Result.Status == 200 && Result.IsSigned;
      bool IsRefused = Result.Status == 503 || Result.Status == 429;
      bool IsLate = CompletedAt > 0 && SentAt > CompletedAt + 5;
      Counts.Asked += 1;
      Counts.Served += IsServed ? 1 : 0;
      Counts.Refused += IsRefused ? 1 : 0;
      Counts.Failed += IsServed || IsRefused ? 0 : 1;
      Counts.LateAsked += IsLate ? 1 : 0;
      Counts.LateServed += IsLate && IsServed ? 1 : 0;
      Counts.LateRefused += IsLate && IsRefused ? 1 : 0;
      Threads -= 1;
    }).detach();
  };
  bool Ordered = false;
  double NextLookup = now();
  double NextStatus = now();
  while (now() < Begin + TrafficTime) {
    double Now = now();
    if (Now >= NextLookup) {
      NextLookup += 1 / LookupRate;
      Ask("/lookup/7", Lookup);
    }
    if (Now >= NextStatus) {
      NextStatus += 1 / StatusRate;
      Ask("/status/7", Status);
    }
    if (!Ordered && Now >= Begin + OrderAt) {
      Ordered = true;
      for (int Index = 0; Index < 3; ++Index)
        Add(New, "i-new-" + std::to_string(Index), "survey-app", Zones[Index],
            "v2");
      Platform.put("keyed.op", "rollout/survey-app",
                   "{\"service\":\"survey-app\",\"target\":\"v2\","
                   "\"durationS\":" +
                       std::to_string(static_cast<int>(OrderTime)) + "}");
      record("operator orders the roll-out of v2");
    }
    if (Platform.IsSilent && Now >= CompletedAt + OutageTime) {
      Platform.IsSilent = false;
      record("the store is back");
    }
    if (!IsBad && CompletedAt > 0 && Now >= CompletedAt + SoundTime) {
      IsBad = true;
      record("v2 fails half of its requests from now on");
    }
    sleepFor(0.001);
  }
  while (Threads > 0)
    sleepFor(0.01);
  if (Stopper.joinable())
    Stopper.join();
  for (auto &Host : Daemons)
    if (!Host->isRunning()) {
      record(Host->Name + " has ended by itself");
      return 2;
    }
  auto Share = [](int Part, int Whole) {
    return Whole == 0 ? 0.0 : static_cast<double>(Part) / Whole;
  };
  int AllAsked = Lookup.Asked + Status.Asked;
  int AllServed = Lookup.Served + Status.Served;
  double OfLookups = Share(Lookup.Served, Lookup.Asked);
  double OfAll = Share(AllServed, AllAsked);
  bool IsBroken = OfLookups < OfAll / 4;
  char Line[512];
  std::snprintf(
      Line, sizeof(Line),
      "lookups: %d asked, %d served, %d refused, %d failed; from 5 s "
      "after complete on: %d asked, %d served, %d refused. status: "
      "%d asked, %d served. served share of lookups %.3f, of all "
      "%.3f. %s",
      Lookup.Asked.load(), Lookup.Served.load(), Lookup.Refused.load(),
      Lookup.Failed.load(), Lookup.LateAsked.load(), Lookup.LateServed.load(),
      Lookup.LateRefused.load(), Status.Asked.load(), Status.Served.load(),
      OfLookups, OfAll, IsBroken ? "BROKEN" : "held");
  record(Line);
  std::puts(Line);
  if (CompletedAt <= 0 && !Trouble)
    return 2;
  return IsBroken ? 1 : 0;
}
