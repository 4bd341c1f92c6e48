//===- odd_entry.cpp - An entry of another writer names a replica ---------===//
//
// Another writer leaves entries under the ids of replicas. They lack the field
// "sequence" and name another service. Such entries name no replica to use. The
// replicas write their own entries again at each heartbeat.
//
//===----------------------------------------------------------------------===//

#include "platform.h"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace review;

constexpr int Hosts = 3;
constexpr double TrafficTime = 24;
constexpr double FirstEntryAt = 5;
constexpr double EntryInterval = 5;
constexpr int EntryCount = 3;
/// Requests per second of the two kinds.
constexpr double OrderRate = 60;
constexpr double ReportRate = 15;

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
  Platform.put(
      "keyed.op", "config",
      configuration(
          1,
          {routeRow("dig-order", "/dig/", "unsafe", "works-app", 1, 1500, 150),
           routeRow("report", "/report/", "safe", "report-llm", 3, 5000, 2000)},
          {"works-app", "report-llm"}));
  std::atomic<int> Orders{0};
  std::atomic<int> WrongOrders{0};
  std::atomic<int> WrongReports{0};
  std::vector<std::unique_ptr<Replica>> Replicas;
  auto Add = [&](const std::string &Id, const std::string &Service,
                 const char *Zone, double WorkTime) {
    Replicas.push_back(
        std::make_unique<Replica>(Platform, Id, Service, Zone, "v1"));
    Replica &Added = *Replicas.back();
    Added.WorkTime = WorkTime;
    Added.OnArrival = [&, Source = &Added](const Arrival &Seen) {
      bool IsOrder = Seen.Target.rfind("/dig/", 0) == 0;
      bool IsWorks = Source->Service == "works-app";
      record(Seen.Replica + " of " + Source->Service + " runs " + Seen.Id +
             " " + Seen.Target);
      Orders += IsOrder ? 1 : 0;
      WrongOrders += IsOrder && !IsWorks ? 1 : 0;
      WrongReports += !IsOrder && IsWorks ? 1 : 0;
    };
    Added.start(Prefix + "100");
  };
  for (int Index = 0; Index < 3; ++Index)
    Add("i-works-" + std::to_string(Index), "works-app", Zones[Index], 0.015);
  for (int Index = 0; Index < 3; ++Index)
    Add("i-report-" + std::to_string(Index), "report-llm", Zones[Index], 0.1);
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

  std::atomic<int> Threads{0};
  auto Ask = [&](const char *Method, const char *Target, int DeadlineMs) {
    Threads += 1;
    std::thread([&, Method, Target, DeadlineMs] {
      Daemon &Host = *Daemons[static_cast<size_t>(std::rand() % Hosts)];
      std::string Id = freshId();
      Outcome Result = request(Host, Method, Target, Id, "", DeadlineMs);
      record("client " + Id + " " + Target + " to " + Host.Name + " gets " +
             std::to_string(Result.Status));
      Threads -= 1;
    }).detach();
  };
  int Written = 0;
  double NextOrder = now();
  double NextReport = now();
  while (now() < Begin + TrafficTime) {
    double Now = now();
    if (Now >= NextOrder) {
      NextOrder += 1 / OrderRate;
      Ask("POST", "/dig/7", 1500);
    }
    if (Now >= NextReport) {
      NextReport += 1 / ReportRate;
      Ask("GET", "/report/7", 5000);
    }
    if (Trouble && Written < EntryCount &&
        Now >= Begin + FirstEntryAt + Written * EntryInterval) {
      const Replica &Named = *Replicas[static_cast<size_t>(3 + Written)];
      std::string Entry = Named.entry();
      auto Cut = [&](const std::string &From, const std::string &To,
                     const std::string &New) {
        size_t At = Entry.find(From);
        Entry.replace(At, Entry.find(To, At + From.size()) - At, New);
      };
      Cut(",\"sequence\":", ",", "");
      Cut("\"service\":\"", "\",", "\"service\":\"works-app");
      Platform.put("keyed.servers", Named.Id, Entry);
      record("another writer leaves under servers/" + Named.Id + ": " + Entry);
      Written += 1;
    }
    sleepFor(0.001);
  }
  while (Threads > 0)
    sleepFor(0.01);
  bool IsBroken = WrongOrders + WrongReports > 0;
  char Line[256];
  std::snprintf(Line, sizeof(Line),
                "%d orders run, %d of them by replicas of report-llm; %d "
                "reports run by replicas of works-app. %s",
                Orders.load(), WrongOrders.load(), WrongReports.load(),
                IsBroken ? "BROKEN" : "held");
  record(Line);
  std::puts(Line);
  return IsBroken ? 1 : 0;
}
