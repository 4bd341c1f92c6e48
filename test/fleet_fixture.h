//===- fleet_fixture.h - A small fleet in one process -----------*- C++ -*-===//
//
// A stand-in platform and several routers with real adapters on free loopback
// ports, for tests of failures.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_TEST_FLEET_FIXTURE_H
#define BERYLRAMP_TEST_FLEET_FIXTURE_H

#include "berylramp/http.h"
#include "local_entry.h"
#include "platform.h"
#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace berylramp::test {

inline constexpr const char *OperatorKey = "test-operator-key";
inline constexpr const char *AdminKey = "test-admin-key";
inline constexpr const char *CallerKey = "test-caller-key";

/// The addresses that no peer can reach. Thread-safe.
class PartitionedEndpoints {
public:
  void set(const Endpoint &Address, bool IsPartitioned);
  bool has(const Endpoint &Address) const;

private:
  mutable Mutex Lock;
  std::set<Endpoint> Endpoints;
};

/// One entry host that can be partitioned from the log and its peers.
class TestHost {
public:
  TestHost(const EntrySettings &Settings, PartitionedEndpoints &Partitioned);

  const HostId &id() const { return this->Entry->id(); }
  const Endpoint &address() const { return this->Entry->address(); }
  Metrics &metrics() { return this->Entry->counts(); }
  Router &router() { return this->Entry->router(); }
  /// Blocks the traffic between the host and its peers and the log, in both
  /// directions, or allows it again.
  void setPartitioned(bool IsPartitioned);
  /// Stops without a handover, as a killed process does.
  void kill();

private:
  void interceptPorts(RouterPorts &Ports);

  PartitionedEndpoints &Partitioned;
  std::atomic<bool> IsPartitioned{false};
  std::unique_ptr<standin::LocalEntry> Entry;
};

/// The stand-in platform and its hosts.
class TestFleet {
public:
  explicit TestFleet(int Hosts);
  ~TestFleet();

  standin::Platform &platform() { return *this->StandinPlatform; }
  TestHost &host(size_t Index) { return *this->Hosts[Index]; }
  PartitionedEndpoints &partitioned() { return this->Partitioned; }
  size_t size() const { return this->Hosts.size(); }
  EntrySettings settingsFor(int Index) const;
  void addHost(int Index);
  /// Sets the fault knobs of the platform; \p Json is the body of /knobs.
  void applyKnobs(const std::string &Json);

  /// Publishes cells "ROW.FIELD=VALUE" as one edit on top of offset \p Base;
  /// returns the id of the edit.
  EditId publishEdit(const std::vector<std::string> &Cells, Offset Base);
  /// Publishes the initial table and waits until every host is ready.
  void publishInitialTable();
  /// Queries a host for the outcome of an edit; null when it has no record of
  /// the edit.
  Json::Value editStatus(size_t Host, const EditId &Id);
  bool waitUntilInForce(size_t Host, const EditId &Id);
  /// GETs \p Path from a host's admin API; null when the body is not JSON.
  Json::Value getAdmin(size_t Host, const std::string &Path);

  HttpOutcome sendChat(size_t Host, const std::string &Kind,
                       const std::vector<HeaderLine> &Headers = {},
                       bool Streamed = false);
  /// Calls the service "works" under the non-idempotent request kind "order".
  HttpOutcome sendNonIdempotent(size_t Host, const std::string &Key,
                                const std::string &Body);
  /// Keys of the bills that the fold of the log counts.
  std::vector<std::string> billKeys();
  /// Number of runs of the service for an idempotency key.
  int64_t runCount(const std::string &Key);
  /// Number of answers that all engines together started with a version.
  int64_t startedCount(const std::string &Version);

private:
  std::shared_ptr<HttpClientPool> Pool;
  std::unique_ptr<standin::Platform> StandinPlatform;
  PartitionedEndpoints Partitioned;
  std::atomic<int> ChatCount{0};
  std::vector<std::unique_ptr<TestHost>> Hosts;
};

/// Waits until \p Condition holds; false after a timeout that is long enough
/// even on a slow machine. Tests make no assertion about the time it takes.
bool eventually(const std::function<bool()> &Condition);

/// A new unique idempotency key, issued now.
std::string makeIdempotencyKey();

} // namespace berylramp::test

#endif // BERYLRAMP_TEST_FLEET_FIXTURE_H
