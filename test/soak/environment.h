//===- environment.h - The hosts under test and their platform --*- C++ -*-===//
//
// Three berylramp-edged processes on loopback addresses. The stand-in platform
// runs in this process; hosts reach it through fault-injecting proxies.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_TEST_SOAK_ENVIRONMENT_H
#define BERYLRAMP_TEST_SOAK_ENVIRONMENT_H

#include "proxy.h"
#include "standin.h"
#include <random>

namespace berylramp::soak {

/// Time after the last fault until the hosts have recovered from it.
inline constexpr absl::Duration SettleTime = absl::Seconds(4);

/// One daemon process.
struct Host {
  std::string SettingsPath;
  /// Contents of the settings file while it is valid.
  std::string ValidSettings;
  std::string Ip;
  std::shared_ptr<Proxy> StoreProxy;
  pid_t Pid = 0;
  bool Paused = false;
  bool Stopping = false;
  Instant StartedAt;
};

/// One stand-in replica and the state that the operators give it.
struct TestReplica {
  std::shared_ptr<standin::Replica> Stub;
  std::shared_ptr<Proxy> ReplicaProxy;
  std::string Version = "v1";
  std::string Place = "zone-a";
  bool Draining = false;
  /// Start and end of each drain: from the write of the "draining" record to
  /// that of the next "ready" one; the end of an open drain is infinite.
  std::vector<std::pair<Instant, Instant>> DrainPeriods;
};

class Environment {
public:
  Environment(uint32_t Seed, std::string Program, std::string Folder);

  /// Opens all listening sockets and starts the hosts.
  void setUp();
  /// Kills all hosts and waits for their exit.
  void tearDown();

  int randomBelow(int Bound) {
    return static_cast<int>(this->Random() % static_cast<uint32_t>(Bound));
  }
  Host &randomHost() {
    return this->Hosts[static_cast<size_t>(this->randomBelow(3))];
  }
  Endpoint callerEndpoint(const Host &Target) const {
    return {Target.Ip, this->Ports[0]};
  }
  Endpoint directoryEndpoint(const Host &Target) const {
    return {Target.Ip, this->Ports[2]};
  }

  /// Injects one random fault and clears some earlier ones.
  void injectFault();
  /// Clears all faults of the store, the replicas and the proxies.
  void clearFaults();
  /// Evacuates "zone-b" and takes it back some seconds later.
  void evacuate();
  /// Runs one random operator action; such actions must not fail requests.
  void runPlannedAction();
  /// Writes the next table to the store.
  void publishTable();
  std::string newestCallerKey() const;
  /// Ends the drains that runPlannedAction() began.
  void undrainAll();
  /// Kills all hosts at once, during a short outage of the store.
  void killAllHosts();
  /// Adds two engines of version "v2" and orders a roll-out to it. Unless
  /// \p Good, the added engines answer every request with an error.
  void orderRollout(bool Good);

  void runFor(absl::Duration Time);
  /// Records a violation unless \p Condition holds within \p Timeout.
  void runUntil(const std::function<bool()> &Condition, absl::Duration Timeout,
                const std::string &Description);
  void recordViolation(const std::string &Message) {
    this->Violations.push_back(Message);
  }

  boost::asio::io_context Loop;
  LoopTimer Timer;
  standin::Store Store;
  std::vector<TestReplica> Replicas;
  std::vector<Host> Hosts;
  std::vector<std::string> Violations;
  int ActionCount = 0;
  /// Version of the newest table. Version N adds the caller key "key-N" and
  /// removes the one of the previous version; "key-1" stays valid.
  int64_t TableVersion = 1;
  Instant TablePublishedAt;
  /// When the evacuation was written, and its end.
  Instant EvacuatedAt{absl::InfiniteDuration()};
  Instant TakenBackAt{absl::InfiniteDuration()};

private:
  void addReplica(const std::string &Service, const std::string &Version,
                  const std::string &Place = "zone-a");
  void publishRecord(TestReplica &Target);
  void spawn(Host &Target);
  void reap();
  void pause(Host &Target);
  void stop(Host &Target);
  void drain(TestReplica &Target);
  void undrain(TestReplica &Target);
  void clearSomeFaults();
  void corruptSettings(Host &Target);

  std::mt19937 Random;
  std::string Program;
  std::string Folder;
  std::vector<int> Ports;
};

} // namespace berylramp::soak

#endif // BERYLRAMP_TEST_SOAK_ENVIRONMENT_H
