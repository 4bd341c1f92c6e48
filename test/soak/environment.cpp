//===- environment.cpp - The hosts under test and their platform ----------===//

#include "environment.h"

#include "absl/strings/str_cat.h"
#include "berylramp/json.h"
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace berylramp::soak {

namespace {

constexpr int HostCount = 3;
/// Interval at which the records of all replicas are written.
constexpr absl::Duration RecordInterval = absl::Milliseconds(1200);
/// Longer than DrainBound in audit.cpp, so that the audit sees requests that
/// arrive late in a drain.
constexpr absl::Duration DrainDuration = absl::Milliseconds(3800);
/// Time that every host must have run before the next planned stop, so that
/// callers always find a host that is ready.
constexpr absl::Duration MinStopInterval = absl::Seconds(3);
/// Outage of the store during which all hosts are killed.
constexpr absl::Duration StoreOutage = absl::Seconds(2);
constexpr int64_t RolloutSeconds = 8;
/// Longer than EvacuationBound in audit.cpp.
constexpr absl::Duration EvacuationLength = absl::Seconds(7);

/// Requests of the route "once" are served in the region of "zone-b" only.
std::string regionTable(int64_t Version, const std::vector<std::string> &Keys) {
  Json::Value Table = *parseJson(standin::sampleTable(Version, Keys));
  for (Json::Value &Row : Table["routes"])
    if (Row["name"] == "once")
      Row["allowedRegions"].append("region-zone-b");
  return writeJson(Table);
}

} // namespace

Environment::Environment(uint32_t Seed, std::string Program, std::string Folder)
    : Timer(Loop), Store(Loop, Timer), Random(Seed),
      Program(std::move(Program)), Folder(std::move(Folder)) {}

void Environment::setUp() {
  if (!this->Store.listen().ok())
    std::abort();
  this->Store.put("keyed.op", "config", regionTable(1, {"key-1"}));
  for (int Index = 0; Index < 6; ++Index)
    this->addReplica(Index < 3 ? "engine" : "plain", "v1");
  for (int Index = 0; Index < 2; ++Index)
    this->addReplica("plain", "v1", "zone-b");
  for (int Index = 0; Index < 5; ++Index)
    this->Ports.push_back(standin::findFreePort());
  for (int Index = 0; Index < HostCount; ++Index) {
    Host NewHost;
    NewHost.Ip = absl::StrCat("127.0.0.", Index + 1);
    NewHost.StoreProxy =
        std::make_shared<Proxy>(this->Loop, this->Timer, this->Store.address());
    NewHost.StoreProxy->listen();
    NewHost.SettingsPath = absl::StrCat(this->Folder, "/host-", Index, ".json");
    NewHost.ValidSettings = standin::sampleSettings(
        absl::StrCat("host-", Index), "zone-a", NewHost.Ip, this->Ports,
        NewHost.StoreProxy->address(),
        absl::StrCat("127.0.0.1:", this->Ports[3]));
    Json::Value Settings = *parseJson(NewHost.ValidSettings);
    Settings["zones"]["zone-b"] = "region-zone-b";
    NewHost.ValidSettings = writeJson(Settings);
    std::ofstream(NewHost.SettingsPath) << NewHost.ValidSettings;
    this->Hosts.push_back(NewHost);
  }
  for (Host &Daemon : this->Hosts)
    this->spawn(Daemon);
  this->Timer.schedulePeriodic(absl::Milliseconds(50),
                               [this] { this->reap(); });
  this->Timer.schedulePeriodic(RecordInterval, [this] {
    for (TestReplica &Replica : this->Replicas)
      this->publishRecord(Replica);
  });
}

void Environment::tearDown() {
  for (Host &Daemon : this->Hosts)
    kill(Daemon.Pid, SIGKILL);
  for (Host &Daemon : this->Hosts)
    waitpid(Daemon.Pid, nullptr, 0);
}

void Environment::addReplica(const std::string &Service,
                             const std::string &Version,
                             const std::string &Place) {
  TestReplica NewReplica;
  NewReplica.Place = Place;
  NewReplica.Version = Version;
  NewReplica.Stub = std::make_shared<standin::Replica>(
      this->Loop, this->Timer, absl::StrCat("r-", this->Replicas.size()),
      Service, Place);
  if (!NewReplica.Stub->listen().ok())
    std::abort();
  NewReplica.ReplicaProxy = std::make_shared<Proxy>(this->Loop, this->Timer,
                                                    NewReplica.Stub->address());
  NewReplica.ReplicaProxy->listen();
  NewReplica.Stub->AdvertisedAddress = NewReplica.ReplicaProxy->address();
  NewReplica.Stub->ProcessingTime = absl::Milliseconds(10);
  this->Replicas.push_back(NewReplica);
  this->publishRecord(this->Replicas.back());
}

void Environment::publishRecord(TestReplica &Target) {
  this->Store.put("keyed.servers", Target.Stub->id(),
                  Target.Stub->entry(Target.Draining ? "draining" : "ready",
                                     Target.Version));
}

void Environment::spawn(Host &Target) {
  std::string LogPath = Target.SettingsPath + ".log";
  posix_spawn_file_actions_t FileActions;
  posix_spawn_file_actions_init(&FileActions);
  posix_spawn_file_actions_addopen(&FileActions, STDOUT_FILENO, LogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  // A host that inherited the sockets of this process would keep them open.
  posix_spawn_file_actions_addclosefrom_np(&FileActions, STDERR_FILENO + 1);
  std::vector<std::string> Command = {
      this->Program, "--settings", Target.SettingsPath, "--metrics-port", "0"};
  std::vector<char *> Arguments;
  for (std::string &Argument : Command)
    Arguments.push_back(Argument.data());
  Arguments.push_back(nullptr);
  if (posix_spawn(&Target.Pid, this->Program.c_str(), &FileActions, nullptr,
                  Arguments.data(), environ) != 0)
    std::abort();
  posix_spawn_file_actions_destroy(&FileActions);
  Target.Stopping = false;
  Target.Paused = false;
  Target.StartedAt = this->Timer.now();
}

void Environment::reap() {
  for (Host &Daemon : this->Hosts) {
    int Status = 0;
    if (waitpid(Daemon.Pid, &Status, WNOHANG) != Daemon.Pid)
      continue;
    bool Killed = WIFSIGNALED(Status) && WTERMSIG(Status) == SIGKILL;
    if (!Daemon.Stopping && !Killed)
      this->recordViolation(
          absl::StrCat("a host exited unexpectedly, status ", Status));
    if (Daemon.Stopping && WIFEXITED(Status) && WEXITSTATUS(Status) != 0)
      this->recordViolation("a host did not exit with 0 after SIGTERM");
    this->spawn(Daemon);
  }
}

void Environment::stop(Host &Target) {
  if (Target.Stopping || Target.Paused)
    return;
  Target.Stopping = true;
  kill(Target.Pid, SIGTERM);
}

void Environment::pause(Host &Target) {
  if (Target.Paused || Target.Stopping)
    return;
  Target.Paused = true;
  kill(Target.Pid, SIGSTOP);
  Host *HostPtr = &Target;
  this->Timer.after(absl::Milliseconds(200 + this->randomBelow(1500)),
                    [HostPtr, Pid = Target.Pid] {
                      HostPtr->Paused = false;
                      kill(Pid, SIGCONT);
                    });
}

void Environment::injectFault() {
  this->ActionCount += 1;
  Host &Target = this->randomHost();
  TestReplica &FaultyReplica =
      this->Replicas[static_cast<size_t>(this->randomBelow(6))];
  switch (this->randomBelow(11)) {
  case 0:
    kill(Target.Pid, SIGKILL);
    break;
  case 1:
    this->pause(Target);
    break;
  case 2:
    this->stop(Target);
    break;
  case 3:
    kill(Target.Pid, SIGHUP);
    break;
  case 4:
    Target.StoreProxy->Mode = static_cast<FaultMode>(this->randomBelow(5));
    break;
  case 5:
    Target.StoreProxy->resetAll();
    break;
  case 6:
    this->Store.Behavior =
        static_cast<standin::StoreBehavior>(this->randomBelow(5));
    break;
  case 7:
    FaultyReplica.Stub->Behavior =
        static_cast<standin::ReplicaBehavior>(this->randomBelow(12));
    break;
  case 8:
    FaultyReplica.ReplicaProxy->Mode =
        static_cast<FaultMode>(this->randomBelow(5));
    break;
  case 9:
    FaultyReplica.ReplicaProxy->resetAll();
    break;
  default:
    FaultyReplica.Stub->EventsBeforeCut = this->randomBelow(4);
    FaultyReplica.Stub->Confidence = this->randomBelow(100);
    this->Store.compact("keyed.servers");
    break;
  }
  this->clearSomeFaults();
}

/// Keeps part of the system working, so that faults of one kind do not
/// accumulate.
void Environment::clearSomeFaults() {
  TestReplica &HealthyReplica =
      this->Replicas[static_cast<size_t>(this->randomBelow(6))];
  HealthyReplica.Stub->Behavior = standin::ReplicaBehavior::Answers;
  HealthyReplica.ReplicaProxy->Mode = FaultMode::None;
  if (this->randomBelow(3) == 0)
    this->Store.Behavior = standin::StoreBehavior::Serves;
  this->randomHost().StoreProxy->Mode = FaultMode::None;
}

void Environment::clearFaults() {
  this->Store.Behavior = standin::StoreBehavior::Serves;
  for (TestReplica &Replica : this->Replicas) {
    Replica.Stub->Behavior = standin::ReplicaBehavior::Answers;
    Replica.Stub->EventsBeforeCut = 0;
    Replica.Stub->Confidence = 90;
    Replica.ReplicaProxy->Mode = FaultMode::None;
  }
  for (Host &Daemon : this->Hosts)
    Daemon.StoreProxy->Mode = FaultMode::None;
}

void Environment::drain(TestReplica &Target) {
  if (Target.Draining)
    return;
  Target.Draining = true;
  this->publishRecord(Target);
  Target.DrainPeriods.emplace_back(this->Timer.now(),
                                   Instant{absl::InfiniteDuration()});
  std::string Id = Target.Stub->id();
  this->Timer.after(DrainDuration, [this, Id] {
    for (TestReplica &Replica : this->Replicas)
      if (Replica.Stub->id() == Id)
        this->undrain(Replica);
  });
}

void Environment::undrain(TestReplica &Target) {
  if (!Target.Draining)
    return;
  Target.Draining = false;
  Target.DrainPeriods.back().second = this->Timer.now();
  this->publishRecord(Target);
}

void Environment::evacuate() {
  this->EvacuatedAt = this->Timer.now();
  this->Store.put("keyed.op", "evacuate/zone-b", "{}");
  this->Timer.after(EvacuationLength, [this] {
    this->TakenBackAt = this->Timer.now();
    this->Store.put("keyed.op", "evacuate/zone-b", std::nullopt);
  });
}

void Environment::runPlannedAction() {
  this->ActionCount += 1;
  Host &Target = this->randomHost();
  switch (this->randomBelow(6)) {
  case 0:
  case 1: {
    bool CanStop = true;
    for (const Host &Daemon : this->Hosts)
      CanStop = CanStop && !Daemon.Stopping &&
                MinStopInterval < this->Timer.now() - Daemon.StartedAt;
    if (CanStop)
      this->stop(Target);
    break;
  }
  case 2:
    if (!Target.Stopping)
      kill(Target.Pid, SIGHUP);
    break;
  case 3:
    this->corruptSettings(Target);
    break;
  case 4: {
    // At most two replicas drain at once, so that of each service at least one
    // stays ready.
    int DrainingCount = 0;
    for (const TestReplica &Replica : this->Replicas)
      DrainingCount += Replica.Draining ? 1 : 0;
    if (DrainingCount < 2)
      this->drain(this->Replicas[static_cast<size_t>(this->randomBelow(6))]);
    break;
  }
  default:
    this->publishTable();
    break;
  }
}

std::string Environment::newestCallerKey() const {
  return absl::StrCat("key-", this->TableVersion);
}

void Environment::publishTable() {
  this->TableVersion += 1;
  this->TablePublishedAt = this->Timer.now();
  this->Store.put(
      "keyed.op", "config",
      regionTable(this->TableVersion, {"key-1", this->newestCallerKey()}));
}

/// A running host must keep its settings while the file is invalid.
void Environment::corruptSettings(Host &Target) {
  if (Target.Stopping)
    return;
  std::ofstream(Target.SettingsPath) << "{\"nodeName\": ";
  Host *HostPtr = &Target;
  this->Timer.after(absl::Milliseconds(600), [HostPtr] {
    std::ofstream(HostPtr->SettingsPath) << HostPtr->ValidSettings;
  });
}

void Environment::killAllHosts() {
  this->Store.Behavior = standin::StoreBehavior::Silent;
  for (Host &Daemon : this->Hosts)
    kill(Daemon.Pid, SIGKILL);
  this->runFor(StoreOutage);
  this->Store.Behavior = standin::StoreBehavior::Serves;
}

void Environment::undrainAll() {
  for (TestReplica &Replica : this->Replicas)
    this->undrain(Replica);
}

void Environment::orderRollout(bool Good) {
  for (int Index = 0; Index < 2; ++Index) {
    this->addReplica("engine", "v2");
    if (!Good)
      this->Replicas.back().Stub->Behavior = standin::ReplicaBehavior::Fails;
  }
  this->Store.put("keyed.op", "rollout/engine",
                  absl::StrCat(R"({"service":"engine","target":"v2",)",
                               R"("durationS":)", RolloutSeconds, "}"));
}

void Environment::runFor(absl::Duration Time) {
  Instant End = this->Timer.now() + Time;
  while (this->Timer.now() < End)
    this->Loop.run_for(std::chrono::milliseconds(5));
}

void Environment::runUntil(const std::function<bool()> &Condition,
                           absl::Duration Timeout,
                           const std::string &Description) {
  Instant End = this->Timer.now() + Timeout;
  while (!Condition()) {
    this->runFor(absl::Milliseconds(50));
    if (End < this->Timer.now()) {
      this->recordViolation("not within the time limit: " + Description);
      return;
    }
  }
}

} // namespace berylramp::soak
