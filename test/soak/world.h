//===- world.h - The system under test and its surroundings -----*- C++ -*-===//
//
// Three berylramp-edged processes on loopback addresses, and in this process
// the stand-in platform behind proxies.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_TEST_SOAK_WORLD_H
#define BERYLRAMP_TEST_SOAK_WORLD_H

#include "proxy.h"
#include "standin.h"
#include <random>

namespace berylramp::soak {

/// A host counts as undisturbed this long after its last fault.
inline constexpr absl::Duration Calm = absl::Seconds(4);

/// One daemon process.
struct Host {
  std::string Settings;
  /// What the settings file holds when it is in order.
  std::string SettingsText;
  std::string Ip;
  std::shared_ptr<Proxy> StoreWay;
  pid_t Pid = 0;
  bool Paused = false;
  bool Stopping = false;
  Instant StartedAt;
};

/// One replica with what the operators do to it.
struct Server {
  std::shared_ptr<standin::Replica> Stub;
  std::shared_ptr<Proxy> Way;
  std::string Version = "v1";
  bool Draining = false;
  /// Times of draining: from the record's acknowledgement to its taking back.
  std::vector<std::pair<Instant, Instant>> Drains;
};

class World {
public:
  World(uint32_t Seed, std::string Program, std::string Folder);

  /// Opens all addresses and starts the hosts.
  void build();
  /// Ends all hosts.
  void end();

  int draw(int Below) {
    return static_cast<int>(this->Random() % static_cast<uint32_t>(Below));
  }
  Host &anyHost() { return this->Hosts[static_cast<size_t>(this->draw(3))]; }
  Endpoint callers(const Host &Which) const {
    return {Which.Ip, this->Ports[0]};
  }
  Endpoint directory(const Host &Which) const {
    return {Which.Ip, this->Ports[2]};
  }

  /// One unplanned fault, and the end of some others.
  void harm();
  void heal();
  /// One act of the operators that must harm nobody.
  void plan();
  /// Puts the next table in force.
  void newTable();
  std::string newestKey() const;
  /// Takes back what plan() left under way.
  void settle();
  /// Kills all hosts at once while the store is silent for a moment.
  void killAll();
  /// Orders a roll-out to "v2" of engines that were added for it.
  void orderRollout(bool Good);

  void runFor(absl::Duration Time);
  /// Notes a broken promise when \p Holds does not within \p Most.
  void runUntil(const std::function<bool()> &Holds, absl::Duration Most,
                const std::string &What);
  void broken(const std::string &What) { this->Broken.push_back(What); }

  boost::asio::io_context Loop;
  LoopTimer Timer;
  standin::Store Store;
  std::vector<Server> Servers;
  std::vector<Host> Hosts;
  std::vector<std::string> Broken;
  int Acts = 0;
  /// The newest table's version; key "key-N" came with version N and is gone
  /// with the next one. "key-1" stays.
  int64_t TableVersion = 1;
  Instant TableAt;

private:
  void addServer(const std::string &Service, const std::string &Version);
  void beat(Server &Which);
  void spawn(Host &Which);
  void reap();
  void pause(Host &Which);
  void stop(Host &Which);
  void drain(Server &Which);
  void undrain(Server &Which);
  void healSome();
  void spoilSettings(Host &Which);

  std::mt19937 Random;
  std::string Program;
  std::string Folder;
  std::vector<int> Ports;
};

} // namespace berylramp::soak

#endif // BERYLRAMP_TEST_SOAK_WORLD_H
