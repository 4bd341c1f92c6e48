//===- main.cpp - A randomized soak of real daemons -----------------------===//
//
// Runs three berylramp-edged processes on loopback addresses, with the stand-in
// platform in this process. The first phase injects faults, the second one runs
// planned operator actions only. Callers and replicas are checked in both. A
// seed determines the series of faults and actions.
//
//===----------------------------------------------------------------------===//

#include "audit.h"

#include "absl/strings/str_cat.h"
#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace berylramp;
using namespace berylramp::soak;

constexpr absl::Duration FaultInterval = absl::Milliseconds(300);
constexpr absl::Duration ActionInterval = absl::Milliseconds(400);
/// Longer than the roll-out that is ordered at the beginning of the phase.
constexpr absl::Duration PlannedPhaseLength = absl::Seconds(10);
constexpr absl::Duration InForceBound = absl::Seconds(4);
constexpr absl::Duration RecoverBound = absl::Seconds(15);
constexpr absl::Duration OldKeyBound = absl::Milliseconds(250);

/// Probes hosts with the keys of the newest two tables. Checks that a table
/// comes into force within its bound and that a host never returns to an older
/// table.
class TableMonitor {
public:
  TableMonitor(Environment &Env, Callers &Traffic)
      : Env(Env), Traffic(Traffic) {}

  void probeRandomHost() {
    const Host &Target = this->Env.randomHost();
    int64_t NewestVersion = this->Env.TableVersion;
    if (NewestVersion < 2 || Target.Stopping)
      return;
    Instant ProbeStart = this->Env.Timer.now();
    Instant TablePublishedAt = this->Env.TablePublishedAt;
    Instant StartedAt = Target.StartedAt;
    bool MustBeInForce = InForceBound < ProbeStart - TablePublishedAt &&
                         InForceBound < ProbeStart - StartedAt;
    int Status =
        this->Traffic.probeStatus(Target, absl::StrCat("key-", NewestVersion));
    if (Target.Stopping || this->Env.TableVersion != NewestVersion)
      return;
    auto Key = std::make_pair(Target.Ip, NewestVersion);
    if (Status == 200 && this->FirstServed.count(Key) == 0)
      this->FirstServed[Key] = {StartedAt, this->Env.Timer.now()};
    if (MustBeInForce && Status != 200)
      this->Env.recordViolation(absl::StrCat("table ", NewestVersion,
                                             " is not in force on ", Target.Ip,
                                             ": ", Status));
    auto Found = this->FirstServed.find(Key);
    bool SameIncarnation = Found != this->FirstServed.end() &&
                           !(Found->second.first < Target.StartedAt);
    if (!SameIncarnation || NewestVersion < 3 ||
        this->Env.Timer.now() - Found->second.second < OldKeyBound)
      return;
    int OldStatus = this->Traffic.probeStatus(
        Target, absl::StrCat("key-", NewestVersion - 1));
    if (OldStatus == 200 && this->Env.TableVersion == NewestVersion)
      this->Env.recordViolation(absl::StrCat(
          Target.Ip, " returned to a table older than ", NewestVersion));
  }

private:
  Environment &Env;
  Callers &Traffic;
  /// By host address and table version: the start of the host's process and the
  /// time at which it first accepted that table's key.
  std::map<std::pair<std::string, int64_t>, std::pair<Instant, Instant>>
      FirstServed;
};

class Soak {
public:
  Soak(uint32_t Seed, std::string Program, std::string Folder)
      : Env(Seed, std::move(Program), std::move(Folder)), Traffic(Env),
        Monitor(Env, Traffic) {}

  int run(absl::Duration Length) {
    this->Env.setUp();
    this->Env.runUntil([&] { return this->allHostsAccept("key-1"); },
                       absl::Seconds(20), "all hosts serve after the start");
    this->Traffic.start();
    this->Env.Timer.schedulePeriodic(FaultInterval, [this] {
      if (this->InjectsFaults)
        this->Env.injectFault();
    });
    this->Env.Timer.schedulePeriodic(ActionInterval, [this] {
      if (this->RunsPlannedActions)
        this->Env.runPlannedAction();
    });
    this->InjectsFaults = true;
    this->Env.runFor(Length);
    this->InjectsFaults = false;
    this->Env.clearFaults();
    this->Env.runFor(SettleTime);
    this->Env.publishTable();
    this->Env.runUntil(
        [&] { return this->allHostsAccept(this->Env.newestCallerKey()); },
        absl::Seconds(15),
        "all hosts serve under the newest table after the faults");
    this->Env.runFor(SettleTime);
    this->runPlannedPhase();
    this->Traffic.stop();
    this->Env.runFor(absl::Seconds(3));
    this->Env.killAllHosts();
    this->Env.runUntil(
        [&] { return this->allHostsAccept(this->Env.newestCallerKey()); },
        RecoverBound, "all hosts serve after all were killed");
    audit(this->Env, this->Traffic);
    this->Env.tearDown();
    return this->report();
  }

private:
  void runPlannedPhase() {
    bool IsGood = this->Env.randomBelow(2) == 0;
    Instant OrderedAt = this->Env.Timer.now();
    this->Traffic.startPlannedPhase();
    this->Env.orderRollout(IsGood);
    this->Env.evacuate();
    this->RunsPlannedActions = true;
    Instant End = this->Env.Timer.now() + PlannedPhaseLength;
    while (this->Env.Timer.now() < End) {
      this->Env.runFor(absl::Milliseconds(100));
      this->Monitor.probeRandomHost();
    }
    this->RunsPlannedActions = false;
    this->Env.undrainAll();
    auditRollout(this->Env, this->Traffic, IsGood, OrderedAt);
    this->Env.runUntil(
        [&] { return this->allHostsAccept(this->Env.newestCallerKey()); },
        absl::Seconds(10), "all hosts serve after the planned work");
  }

  bool allHostsAccept(const std::string &Key) {
    for (const Host &Daemon : this->Env.Hosts)
      if (this->Traffic.probeStatus(Daemon, Key) != 200)
        return false;
    return true;
  }

  int report() {
    std::cout << "requests " << this->Traffic.Records.size() << ", complete "
              << this->Traffic.Succeeded << ", refused "
              << this->Traffic.Refused << ", other " << this->Traffic.Other
              << ", actions " << this->Env.ActionCount << ", violations "
              << this->Env.Violations.size() << "\n";
    for (const std::string &Violation : this->Env.Violations)
      std::cout << "VIOLATION: " << Violation << "\n";
    return this->Env.Violations.empty() ? 0 : 1;
  }

  Environment Env;
  Callers Traffic;
  TableMonitor Monitor;
  bool InjectsFaults = false;
  bool RunsPlannedActions = false;
};

int runSoak(int Argc, char **Argv) {
  TCLAP::CmdLine Command(
      "Tests berylramp-edged under random faults. Exit codes: "
      "0 no violation, 1 at least one violation.",
      ' ', "1");
  TCLAP::ValueArg<uint32_t> Seed("s", "seed", "seed of the random faults",
                                 false, 1, "NUMBER", Command);
  TCLAP::ValueArg<int> Seconds("t", "seconds",
                               "length of the fault phase in seconds", false, 8,
                               "NUMBER", Command);
  TCLAP::ValueArg<std::string> Program("p", "program", "berylramp-edged", true,
                                       "", "FILE", Command);
  TCLAP::ValueArg<std::string> Folder("f", "folder",
                                      "existing folder for settings and logs",
                                      true, "", "FOLDER", Command);
  Command.parse(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  return Soak(Seed.getValue(), Program.getValue(), Folder.getValue())
      .run(absl::Seconds(Seconds.getValue()));
}

} // namespace

int main(int Argc, char **Argv) { return runSoak(Argc, Argv); }
