//===- sound_input_refused.cpp - Replicas crash under a common request ----===//
//
// Clients ask for the same overview again and again, with a request of a route
// that may be repeated. A quarter of the replicas crash at the same moment and
// are back two seconds later. The requests are counted until the end of the
// day.
//
//===----------------------------------------------------------------------===//

#include "platform.h"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace review;

constexpr int Hosts = 3;
/// The replicas of the service report-llm, and the part of them that crashes in
/// the deployment's site file (share = 0.25, for_s = 2.0).
constexpr int ReplicaCount = 12;
constexpr int CrashCount = 3;
constexpr double CrashTime = 2.0;
constexpr double CrashAt = 8;
constexpr double TrafficTime = 60;
/// Requests per second of the two kinds, and their work.
constexpr double OverviewRate = 45;
constexpr double OverviewWork = 0.4;
constexpr double StatusRate = 90;

struct Tally {
  std::atomic<int> Asked{0};
  std::atomic<int> Served{0};
  std::atomic<int> Refused{0};
  std::atomic<int> LateAsked{0};
  std::atomic<int> LateServed{0};
};

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 3)
    return 2;
  openRecord(Argv[2]);
  const char *Text = std::getenv("TROUBLE");
  bool Trouble = Text == nullptr || std::string(Text) != "0";
  record(Trouble ? "with the disruption" : "without the disruption");
  std::string Prefix = addressPrefix();
  const char *Zones[] = {"colombo-a", "kandy-a", "galle-a"};
  Store Platform;
  int StorePort = Platform.listen(Prefix + "200");
  Platform.put("keyed.op", "config",
               configuration(1,
                             {routeRow("overview", "/overview/", "safe",
                                       "report-llm", 3, 5000, 2000),
                              routeRow("status", "/status/", "safe",
                                       "works-app", 2, 1500, 150)},
                             {"report-llm", "works-app"}));
  std::vector<std::unique_ptr<Replica>> Replicas;
  auto Add = [&](const std::string &Id, const std::string &Service,
                 const char *Zone, double WorkTime) {
    Replicas.push_back(
        std::make_unique<Replica>(Platform, Id, Service, Zone, "v1"));
    Replica &Added = *Replicas.back();
    Added.WorkTime = WorkTime;
    Added.OnArrival = [](const Arrival &Seen) {
      record("runs " + Seen.Id + " at " + Seen.Replica);
    };
    Added.start(Prefix + "100");
  };
  for (int Index = 0; Index < ReplicaCount; ++Index)
    Add("i-report-" + std::to_string(Index), "report-llm", Zones[Index % 3],
        OverviewWork);
  for (int Index = 0; Index < 3; ++Index)
    Add("i-works-" + std::to_string(Index), "works-app", Zones[Index], 0.015);
  int Port = freePort(Prefix + "1");
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<std::string> Seeds;
  for (int Index = 0; Index < Hosts; ++Index)
    Seeds.push_back(Prefix + std::to_string(Index + 1) + ":" +
                    std::to_string(Port + 2));
  for (int Index = 0; Index < Hosts; ++Index) {
    Daemons.push_back(std::make_unique<Daemon>(
        "edge-" + std::to_string(Index + 1), Prefix + std::to_string(Index + 1),
        Port, Zones[Index]));
    Daemons.back()->start(Argv[1], Prefix + "200", StorePort, Seeds);
  }
  if (!awaitReady(Daemons, 15))
    return 2;
  double Begin = now();
  record("the traffic begins");

  Tally Overview;
  Tally Status;
  std::atomic<int> Threads{0};
  // A client asks another host when the first one fails or refuses.
  auto Ask = [&](const char *Target, int DeadlineMs, Tally &Counts) {
    Threads += 1;
    std::thread([&, Target, DeadlineMs] {
      Outcome Result;
      int First = std::rand() % Hosts;
      bool IsLate = now() > Begin + CrashAt + CrashTime + 5;
      for (int Attempt = 0; Attempt < 2; ++Attempt) {
        Daemon &Host = *Daemons[static_cast<size_t>((First + Attempt) % Hosts)];
        std::string Id = freshId();
        Result = request(Host, "GET", Target, Id, "", DeadlineMs);
        record("client " + Id + " " + Target + " to " + Host.Name + " gets " +
               std::to_string(Result.Status));
        if (Result.Status == 200)
          break;
      }
      bool IsServed = Result.Status == 200 && Result.IsSigned;
      Counts.Asked += 1;
      Counts.Served += IsServed ? 1 : 0;
      Counts.Refused += Result.Status == 503 ? 1 : 0;
      Counts.LateAsked += IsLate ? 1 : 0;
      Counts.LateServed += IsLate && IsServed ? 1 : 0;
      Threads -= 1;
    }).detach();
  };
  std::vector<std::thread> Crashes;
  bool HasCrashed = false;
  bool IsBack = false;
  double NextOverview = now();
  double NextStatus = now();
  while (now() < Begin + TrafficTime) {
    double Now = now();
    if (Now >= NextOverview) {
      NextOverview += 1 / OverviewRate;
      Ask("/overview/open", 5000, Overview);
    }
    if (Now >= NextStatus) {
      NextStatus += 1 / StatusRate;
      Ask("/status/7", 1500, Status);
    }
    if (Trouble && !HasCrashed && Now >= Begin + CrashAt) {
      HasCrashed = true;
      record("three of twelve replicas crash");
      for (size_t Index = 0; Index < CrashCount; ++Index)
        Crashes.emplace_back([&, Index] { Replicas[Index]->crash(); });
    }
    if (HasCrashed && !IsBack && Now >= Begin + CrashAt + CrashTime) {
      IsBack = true;
      for (int Index = 0; Index < CrashCount; ++Index)
        Add("i-again-" + std::to_string(Index), "report-llm", Zones[Index % 3],
            OverviewWork);
      record("the replicas are back");
    }
    sleepFor(0.001);
  }
  while (Threads > 0)
    sleepFor(0.01);
  for (std::thread &Crash : Crashes)
    Crash.join();
  for (auto &Host : Daemons)
    if (!Host->isRunning()) {
      record(Host->Name + " has ended by itself");
      return 2;
    }
  auto Share = [](int Part, int Whole) {
    return Whole == 0 ? 0.0 : static_cast<double>(Part) / Whole;
  };
  double OfOverviews = Share(Overview.Served, Overview.Asked);
  double OfAll =
      Share(Overview.Served + Status.Served, Overview.Asked + Status.Asked);
  bool IsBroken = OfOverviews < OfAll / 4;
  char Line[512];
  std::snprintf(
      Line, sizeof(Line),
      "overviews: %d asked, %d served, %d refused; from 5 s after the "
      "replicas are back on: %d asked, %d served. status: %d asked, "
      "%d served. served share of overviews %.3f, of all %.3f. %s",
      Overview.Asked.load(), Overview.Served.load(), Overview.Refused.load(),
      Overview.LateAsked.load(), Overview.LateServed.load(),
      Status.Asked.load(), Status.Served.load(), OfOverviews, OfAll,
      IsBroken ? "BROKEN" : "held");
  record(Line);
  std::puts(Line);
  return IsBroken ? 1 : 0;
}
