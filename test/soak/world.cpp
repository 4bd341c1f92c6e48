//===- world.cpp - The system under test and its surroundings -------------===//

#include "world.h"

#include "absl/strings/str_cat.h"
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
/// Replicas write their records this often.
constexpr absl::Duration BeatEvery = absl::Milliseconds(1200);
/// A drained replica serves again after this, well past the drain bound.
constexpr absl::Duration DrainFor = absl::Milliseconds(3800);
/// Planned stops of different hosts keep this distance, so that callers always
/// find a host that is ready.
constexpr absl::Duration BetweenStops = absl::Seconds(3);
/// After all hosts were killed.
constexpr absl::Duration StoreSilence = absl::Seconds(2);
constexpr int64_t RolloutSeconds = 8;

} // namespace

World::World(uint32_t Seed, std::string Program, std::string Folder)
    : Timer(Loop), Store(Loop, Timer), Random(Seed),
      Program(std::move(Program)), Folder(std::move(Folder)) {}

void World::build() {
  if (!this->Store.listen().ok())
    std::abort();
  this->Store.put("keyed.op", "config", standin::sampleTable(1, {"key-1"}));
  for (int Index = 0; Index < 6; ++Index)
    this->addServer(Index < 3 ? "engine" : "plain", "v1");
  for (int Index = 0; Index < 5; ++Index)
    this->Ports.push_back(standin::findFreePort());
  for (int Index = 0; Index < HostCount; ++Index) {
    Host Made;
    Made.Ip = absl::StrCat("127.0.0.", Index + 1);
    Made.StoreWay =
        std::make_shared<Proxy>(this->Loop, this->Timer, this->Store.address());
    Made.StoreWay->listen();
    Made.Settings = absl::StrCat(this->Folder, "/host-", Index, ".json");
    Made.SettingsText = standin::sampleSettings(
        absl::StrCat("host-", Index), "zone-a", Made.Ip, this->Ports,
        Made.StoreWay->address(), absl::StrCat("127.0.0.1:", this->Ports[3]));
    std::ofstream(Made.Settings) << Made.SettingsText;
    this->Hosts.push_back(Made);
  }
  for (Host &Each : this->Hosts)
    this->spawn(Each);
  this->Timer.schedulePeriodic(absl::Milliseconds(50),
                               [this] { this->reap(); });
  this->Timer.schedulePeriodic(BeatEvery, [this] {
    for (Server &Each : this->Servers)
      this->beat(Each);
  });
}

void World::end() {
  for (Host &Each : this->Hosts)
    kill(Each.Pid, SIGKILL);
  for (Host &Each : this->Hosts)
    waitpid(Each.Pid, nullptr, 0);
}

void World::addServer(const std::string &Service, const std::string &Version) {
  Server Made;
  Made.Version = Version;
  Made.Stub = std::make_shared<standin::Replica>(
      this->Loop, this->Timer, absl::StrCat("r-", this->Servers.size()),
      Service, "zone-a");
  if (!Made.Stub->listen().ok())
    std::abort();
  Made.Way =
      std::make_shared<Proxy>(this->Loop, this->Timer, Made.Stub->address());
  Made.Way->listen();
  Made.Stub->AdvertisedAddress = Made.Way->address();
  Made.Stub->ProcessingTime = absl::Milliseconds(10);
  this->Servers.push_back(Made);
  this->beat(this->Servers.back());
}

void World::beat(Server &Which) {
  this->Store.put(
      "keyed.servers", Which.Stub->id(),
      Which.Stub->entry(Which.Draining ? "draining" : "ready", Which.Version));
}

void World::spawn(Host &Which) {
  std::string Log = Which.Settings + ".log";
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  // A host that held this process's sockets would keep them open.
  posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
  std::vector<std::string> Words = {this->Program, "--settings", Which.Settings,
                                    "--metrics-port", "0"};
  std::vector<char *> Arguments;
  for (std::string &Each : Words)
    Arguments.push_back(Each.data());
  Arguments.push_back(nullptr);
  if (posix_spawn(&Which.Pid, this->Program.c_str(), &Files, nullptr,
                  Arguments.data(), environ) != 0)
    std::abort();
  posix_spawn_file_actions_destroy(&Files);
  Which.Stopping = false;
  Which.Paused = false;
  Which.StartedAt = this->Timer.now();
}

void World::reap() {
  for (Host &Each : this->Hosts) {
    int Status = 0;
    if (waitpid(Each.Pid, &Status, WNOHANG) != Each.Pid)
      continue;
    bool Killed = WIFSIGNALED(Status) && WTERMSIG(Status) == SIGKILL;
    if (!Each.Stopping && !Killed)
      this->broken(absl::StrCat("a host ended by itself, status ", Status));
    if (Each.Stopping && WIFEXITED(Status) && WEXITSTATUS(Status) != 0)
      this->broken("a planned stop did not exit with 0");
    this->spawn(Each);
  }
}

void World::stop(Host &Which) {
  if (Which.Stopping || Which.Paused)
    return;
  Which.Stopping = true;
  kill(Which.Pid, SIGTERM);
}

void World::pause(Host &Which) {
  if (Which.Paused || Which.Stopping)
    return;
  Which.Paused = true;
  kill(Which.Pid, SIGSTOP);
  Host *Held = &Which;
  this->Timer.after(absl::Milliseconds(200 + this->draw(1500)),
                    [Held, Pid = Which.Pid] {
                      Held->Paused = false;
                      kill(Pid, SIGCONT);
                    });
}

void World::harm() {
  this->Acts += 1;
  Host &Which = this->anyHost();
  Server &Far = this->Servers[static_cast<size_t>(this->draw(6))];
  switch (this->draw(11)) {
  case 0:
    kill(Which.Pid, SIGKILL);
    break;
  case 1:
    this->pause(Which);
    break;
  case 2:
    this->stop(Which);
    break;
  case 3:
    kill(Which.Pid, SIGHUP);
    break;
  case 4:
    Which.StoreWay->Mode = static_cast<Harm>(this->draw(5));
    break;
  case 5:
    Which.StoreWay->resetAll();
    break;
  case 6:
    this->Store.Behavior = static_cast<standin::StoreBehavior>(this->draw(5));
    break;
  case 7:
    Far.Stub->Behavior = static_cast<standin::ReplicaBehavior>(this->draw(12));
    break;
  case 8:
    Far.Way->Mode = static_cast<Harm>(this->draw(5));
    break;
  case 9:
    Far.Way->resetAll();
    break;
  default:
    Far.Stub->EventsBeforeCut = this->draw(4);
    Far.Stub->Confidence = this->draw(100);
    this->Store.compact("keyed.servers");
    break;
  }
  this->healSome();
}

/// Keeps part of the system well: two faults of a kind do not last.
void World::healSome() {
  Server &Near = this->Servers[static_cast<size_t>(this->draw(6))];
  Near.Stub->Behavior = standin::ReplicaBehavior::Answers;
  Near.Way->Mode = Harm::None;
  if (this->draw(3) == 0)
    this->Store.Behavior = standin::StoreBehavior::Serves;
  this->anyHost().StoreWay->Mode = Harm::None;
}

void World::heal() {
  this->Store.Behavior = standin::StoreBehavior::Serves;
  for (Server &Each : this->Servers) {
    Each.Stub->Behavior = standin::ReplicaBehavior::Answers;
    Each.Stub->EventsBeforeCut = 0;
    Each.Stub->Confidence = 90;
    Each.Way->Mode = Harm::None;
  }
  for (Host &Each : this->Hosts)
    Each.StoreWay->Mode = Harm::None;
}

void World::drain(Server &Which) {
  if (Which.Draining)
    return;
  Which.Draining = true;
  this->beat(Which);
  Which.Drains.emplace_back(this->Timer.now(),
                            Instant{absl::InfiniteDuration()});
  std::string Id = Which.Stub->id();
  this->Timer.after(DrainFor, [this, Id] {
    for (Server &Each : this->Servers)
      if (Each.Stub->id() == Id)
        this->undrain(Each);
  });
}

void World::undrain(Server &Which) {
  if (!Which.Draining)
    return;
  Which.Draining = false;
  Which.Drains.back().second = this->Timer.now();
  this->beat(Which);
}

void World::plan() {
  this->Acts += 1;
  Host &Which = this->anyHost();
  switch (this->draw(6)) {
  case 0:
  case 1: {
    bool Free = true;
    for (const Host &Each : this->Hosts)
      Free = Free && !Each.Stopping &&
             BetweenStops < this->Timer.now() - Each.StartedAt;
    if (Free)
      this->stop(Which);
    break;
  }
  case 2:
    if (!Which.Stopping)
      kill(Which.Pid, SIGHUP);
    break;
  case 3:
    this->spoilSettings(Which);
    break;
  case 4: {
    // One engine and one other replica always stay.
    int Drained = 0;
    for (const Server &Each : this->Servers)
      Drained += Each.Draining ? 1 : 0;
    if (Drained < 2)
      this->drain(this->Servers[static_cast<size_t>(this->draw(6))]);
    break;
  }
  default:
    this->newTable();
    break;
  }
}

std::string World::newestKey() const {
  return absl::StrCat("key-", this->TableVersion);
}

void World::newTable() {
  this->TableVersion += 1;
  this->TableAt = this->Timer.now();
  this->Store.put(
      "keyed.op", "config",
      standin::sampleTable(this->TableVersion, {"key-1", this->newestKey()}));
}

/// A running host keeps its settings while its file is faulty.
void World::spoilSettings(Host &Which) {
  if (Which.Stopping)
    return;
  std::ofstream(Which.Settings) << "{\"nodeName\": ";
  Host *Held = &Which;
  this->Timer.after(absl::Milliseconds(600), [Held] {
    std::ofstream(Held->Settings) << Held->SettingsText;
  });
}

void World::killAll() {
  this->Store.Behavior = standin::StoreBehavior::Silent;
  for (Host &Each : this->Hosts)
    kill(Each.Pid, SIGKILL);
  this->runFor(StoreSilence);
  this->Store.Behavior = standin::StoreBehavior::Serves;
}

void World::settle() {
  for (Server &Each : this->Servers)
    this->undrain(Each);
}

void World::orderRollout(bool Good) {
  for (int Index = 0; Index < 2; ++Index) {
    this->addServer("engine", "v2");
    if (!Good)
      this->Servers.back().Stub->Behavior = standin::ReplicaBehavior::Fails;
  }
  this->Store.put("keyed.op", "rollout/engine",
                  absl::StrCat(R"({"service":"engine","target":"v2",)",
                               R"("durationS":)", RolloutSeconds, "}"));
}

void World::runFor(absl::Duration Time) {
  Instant End = this->Timer.now() + Time;
  while (this->Timer.now() < End)
    this->Loop.run_for(std::chrono::milliseconds(5));
}

void World::runUntil(const std::function<bool()> &Holds, absl::Duration Most,
                     const std::string &What) {
  Instant End = this->Timer.now() + Most;
  while (!Holds()) {
    this->runFor(absl::Milliseconds(50));
    if (End < this->Timer.now()) {
      this->broken("not in time: " + What);
      return;
    }
  }
}

} // namespace berylramp::soak
