//===- main.cpp - A randomized soak of real daemons -----------------------===//
//
// Runs berylramp-edged on three loopback hosts as processes of their own, with
// the stand-in platform in this process. First faults come from outside, then
// planned work alone; what callers and replicas see is checked all the while.
// One seed gives one series of faults.
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

constexpr absl::Duration HarmEvery = absl::Milliseconds(300);
constexpr absl::Duration PlanEvery = absl::Milliseconds(400);
/// Longer than the roll-out that is ordered at its beginning.
constexpr absl::Duration PlannedTime = absl::Seconds(10);
constexpr absl::Duration ApplyBound = absl::Seconds(4);
constexpr absl::Duration RecoverBound = absl::Seconds(15);
constexpr absl::Duration KeepBound = absl::Milliseconds(250);

/// Asks hosts with keys of the newest two tables: a table is in force in time,
/// and a host never goes back to an older one.
class KeyWatch {
public:
  KeyWatch(World &Around, Callers &Asking) : Around(Around), Asking(Asking) {}

  void look() {
    const Host &Which = this->Around.anyHost();
    int64_t Newest = this->Around.TableVersion;
    if (Newest < 2 || Which.Stopping)
      return;
    Instant Began = this->Around.Timer.now();
    Instant TableAt = this->Around.TableAt;
    Instant StartedAt = Which.StartedAt;
    bool Settled =
        ApplyBound < Began - TableAt && ApplyBound < Began - StartedAt;
    int Status = this->Asking.statusNow(Which, absl::StrCat("key-", Newest));
    if (Which.Stopping || this->Around.TableVersion != Newest)
      return;
    auto Key = std::make_pair(Which.Ip, Newest);
    if (Status == 200 && this->Seen.count(Key) == 0)
      this->Seen[Key] = {StartedAt, this->Around.Timer.now()};
    if (Settled && Status != 200)
      this->Around.broken(absl::StrCat("table ", Newest, " not in force at ",
                                       Which.Ip, ": ", Status));
    auto Found = this->Seen.find(Key);
    bool SameLife =
        Found != this->Seen.end() && !(Found->second.first < Which.StartedAt);
    if (!SameLife || Newest < 3 ||
        this->Around.Timer.now() - Found->second.second < KeepBound)
      return;
    int Old = this->Asking.statusNow(Which, absl::StrCat("key-", Newest - 1));
    if (Old == 200 && this->Around.TableVersion == Newest)
      this->Around.broken(
          absl::StrCat(Which.Ip, " went back behind table ", Newest));
  }

private:
  World &Around;
  Callers &Asking;
  /// When a host first served by a table, and the start of that host.
  std::map<std::pair<std::string, int64_t>, std::pair<Instant, Instant>> Seen;
};

class Soak {
public:
  Soak(uint32_t Seed, std::string Program, std::string Folder)
      : Around(Seed, std::move(Program), std::move(Folder)), Asking(Around),
        Keys(Around, Asking) {}

  int run(absl::Duration Length) {
    this->Around.build();
    this->Around.runUntil([&] { return this->allServe("key-1"); },
                          absl::Seconds(20), "the hosts serve after the start");
    this->Asking.start();
    this->Around.Timer.schedulePeriodic(HarmEvery, [this] {
      if (this->Harming)
        this->Around.harm();
    });
    this->Around.Timer.schedulePeriodic(PlanEvery, [this] {
      if (this->Planning)
        this->Around.plan();
    });
    this->Harming = true;
    this->Around.runFor(Length);
    this->Harming = false;
    this->Around.heal();
    this->Around.runFor(Calm);
    this->Around.newTable();
    this->Around.runUntil(
        [&] { return this->allServe(this->Around.newestKey()); },
        absl::Seconds(15),
        "all hosts serve by the newest table after the faults");
    this->Around.runFor(Calm);
    this->plannedTime();
    this->Asking.stop();
    this->Around.runFor(absl::Seconds(3));
    this->Around.killAll();
    this->Around.runUntil(
        [&] { return this->allServe(this->Around.newestKey()); }, RecoverBound,
        "all hosts serve after all were killed");
    audit(this->Around, this->Asking);
    this->Around.end();
    return this->report();
  }

private:
  void plannedTime() {
    bool Good = this->Around.draw(2) == 0;
    Instant OrderedAt = this->Around.Timer.now();
    this->Asking.startPlannedTime();
    this->Around.orderRollout(Good);
    this->Planning = true;
    Instant End = this->Around.Timer.now() + PlannedTime;
    while (this->Around.Timer.now() < End) {
      this->Around.runFor(absl::Milliseconds(100));
      this->Keys.look();
    }
    this->Planning = false;
    this->Around.settle();
    auditRollout(this->Around, this->Asking, Good, OrderedAt);
    this->Around.runUntil(
        [&] { return this->allServe(this->Around.newestKey()); },
        absl::Seconds(10), "all hosts serve after the planned work");
  }

  bool allServe(const std::string &Key) {
    for (const Host &Each : this->Around.Hosts)
      if (this->Asking.statusNow(Each, Key) != 200)
        return false;
    return true;
  }

  int report() {
    std::cout << "asked " << this->Asking.Rows.size() << ", whole "
              << this->Asking.Good << ", refused " << this->Asking.Refused
              << ", other " << this->Asking.Other << ", acts "
              << this->Around.Acts << ", broken " << this->Around.Broken.size()
              << "\n";
    for (const std::string &Each : this->Around.Broken)
      std::cout << "BROKEN: " << Each << "\n";
    return this->Around.Broken.empty() ? 0 : 1;
  }

  World Around;
  Callers Asking;
  KeyWatch Keys;
  bool Harming = false;
  bool Planning = false;
};

int runSoak(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Soaks berylramp-edged under faults. Exit codes: 0 no "
                      "promise broken, 1 a promise broken.",
                      ' ', "1");
  TCLAP::ValueArg<uint32_t> Seed("s", "seed", "seed of the faults", false, 1,
                                 "NUMBER", Line);
  TCLAP::ValueArg<int> Seconds("t", "seconds", "time of faults", false, 8,
                               "NUMBER", Line);
  TCLAP::ValueArg<std::string> Program("p", "program", "berylramp-edged", true,
                                       "", "FILE", Line);
  TCLAP::ValueArg<std::string> Folder("f", "folder",
                                      "for settings and logs; must exist", true,
                                      "", "FOLDER", Line);
  Line.parse(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  return Soak(Seed.getValue(), Program.getValue(), Folder.getValue())
      .run(absl::Seconds(Seconds.getValue()));
}

} // namespace

int main(int Argc, char **Argv) { return runSoak(Argc, Argv); }
