//===- fleet_fixture.h - A small fleet in one process -----------*- C++ -*-===//
//
// A stand-in platform and some routers with real adapters on free ports of
// loopback, for tests of failures.
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

/// Addresses that no peer can reach.
class CutList {
public:
  void set(const Endpoint &Address, bool IsCut);
  bool has(const Endpoint &Address) const;

private:
  mutable Mutex Lock;
  std::set<Endpoint> Cut;
};

/// One entry host that can be cut off from the log and its peers.
class TestHost {
public:
  TestHost(const EntrySettings &Settings, CutList &Cuts);

  const HostId &id() const { return this->Entry->id(); }
  const Endpoint &address() const { return this->Entry->address(); }
  Metrics &counts() { return this->Entry->counts(); }
  Router &router() { return this->Entry->router(); }
  /// Cuts the host off from its peers and the log, both ways.
  void cutOff(bool IsCut);
  /// Ends without handing anything over, as a killed process does.
  void kill();

private:
  void adapt(RouterPorts &Ports);

  CutList &Cuts;
  std::atomic<bool> IsCut{false};
  std::unique_ptr<standin::LocalEntry> Entry;
};

/// The platform and its hosts.
class TestFleet {
public:
  explicit TestFleet(int Hosts);
  ~TestFleet();

  standin::Platform &platform() { return *this->Services; }
  TestHost &host(size_t Index) { return *this->Hosts[Index]; }
  CutList &cuts() { return this->Cuts; }
  size_t size() const { return this->Hosts.size(); }
  EntrySettings settingsFor(int Index) const;
  void addHost(int Index);
  void knobs(const std::string &Json);

  /// Publishes cells "ROW.FIELD=VALUE" as one edit; returns its id.
  EditId publish(const std::vector<std::string> &Cells, Offset Base);
  /// Publishes the first table and waits until every host is ready.
  void publishTable();
  /// Asks a host what became of an edit; null when it does not know.
  Json::Value editStanding(size_t Host, const EditId &Id);
  bool waitInForce(size_t Host, const EditId &Id);
  Json::Value admin(size_t Host, const std::string &Path);

  HttpOutcome chat(size_t Host, const std::string &Kind,
                   const std::vector<HeaderLine> &Headers = {},
                   bool Streamed = false);
  HttpOutcome order(size_t Host, const std::string &Key,
                    const std::string &Body);
  /// The bills that the log counts.
  std::vector<std::string> bills();
  int64_t runsOf(const std::string &Key);
  int64_t begunOn(const std::string &Version);

private:
  std::shared_ptr<HttpClientPool> Pool;
  std::unique_ptr<standin::Platform> Services;
  CutList Cuts;
  std::atomic<int> ChatNumber{0};
  std::vector<std::unique_ptr<TestHost>> Hosts;
};

/// Waits for a condition without asserting how long it takes; false after a
/// time far beyond what any machine needs.
bool eventually(const std::function<bool()> &Condition);

/// A fresh idempotency key.
std::string freshKey();

} // namespace berylramp::test

#endif // BERYLRAMP_TEST_FLEET_FIXTURE_H
