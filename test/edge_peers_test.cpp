//===- edge_peers_test.cpp - Two hosts of one region ----------------------===//
//
// Each host has its own stand-in store with the same records, so that a test
// can make the store fail for one host only.
//
//===----------------------------------------------------------------------===//

#include "edge_fixture.h"
#include "platform.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;
using standin::StoreBehavior;

namespace {

/// One of the two hosts, with its store and its daemon.
struct TestHost {
  std::unique_ptr<standin::Store> Store;
  HostConfig Config;
  std::unique_ptr<EdgeDaemon> Daemon;
};

struct PeersFixture {
  explicit PeersFixture(bool WithSeeds = true) : Timer(Loop) {
    this->WithSeeds = WithSeeds;
    for (int Index = 0; Index < 5; ++Index)
      this->Ports.push_back(standin::findFreePort());
    for (int Index = 0; Index < 2; ++Index) {
      this->PlainReplicas.push_back(std::make_shared<standin::Replica>(
          this->Loop, this->Timer, absl::StrCat("plain-", Index), "plain",
          "zone-a"));
      REQUIRE(this->PlainReplicas.back()->listen().ok());
    }
    for (size_t Index = 0; Index < this->Hosts.size(); ++Index)
      this->createDaemon(this->Hosts[Index], static_cast<int>(Index) + 1);
  }

  ~PeersFixture() {
    for (TestHost &Host : this->Hosts)
      Host.Daemon.reset();
  }

  void createDaemon(TestHost &Host, int Number) {
    Host.Store = std::make_unique<standin::Store>(this->Loop, this->Timer);
    REQUIRE(Host.Store->listen().ok());
    std::string Seed =
        absl::StrCat("127.0.0.", 3 - Number, ":", this->Ports[3]);
    absl::StatusOr<HostConfig> Decoded = platform::decodeSettings(
        standin::sampleSettings(absl::StrCat("host-", Number), "zone-a",
                                absl::StrCat("127.0.0.", Number), this->Ports,
                                Host.Store->address(), Seed));
    REQUIRE(Decoded.ok());
    Host.Config = *Decoded;
    if (!this->WithSeeds)
      Host.Config.Seeds.clear();
    EdgeSettings Settings;
    EdgePlatform Platform;
    Platform.Store = platform::createStorePort(this->Loop, this->Timer,
                                               Host.Config.Store, Settings);
    Platform.Codec = platform::codec();
    Host.Daemon = std::make_unique<EdgeDaemon>(
        this->Loop, this->Timer, Host.Config, std::move(Platform), Settings);
  }

  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value) {
    for (TestHost &Host : this->Hosts)
      Host.Store->put(Topic, Key, Value);
  }

  void putTable(int64_t Version, const std::vector<std::string> &Keys) {
    this->put("keyed.op", "config", standin::sampleTable(Version, Keys));
  }

  void putReplica(size_t Index, const std::string &State) {
    this->put("keyed.servers", this->PlainReplicas[Index]->id(),
              this->PlainReplicas[Index]->entry(State, "v1"));
  }

  void start() {
    this->putTable(1, {"key-1"});
    this->putReplica(0, "ready");
    this->putReplica(1, "ready");
    for (TestHost &Host : this->Hosts)
      REQUIRE(Host.Daemon->start().ok());
  }

  bool runUntil(const std::function<bool()> &Condition,
                absl::Duration Timeout = absl::Seconds(20)) {
    Instant Deadline = this->Timer.now() + Timeout;
    while (!Condition()) {
      if (Deadline < this->Timer.now())
        return false;
      this->Loop.restart();
      this->Loop.run_for(std::chrono::milliseconds(2));
    }
    return true;
  }

  void runFor(absl::Duration Time) {
    Instant Deadline = this->Timer.now() + Time;
    this->runUntil([&] { return Deadline < this->Timer.now(); });
  }

  int requestStatus(TestHost &Host, const std::string &Key) {
    this->RequestCount += 1;
    RawCaller Caller(this->Loop, Host.Config.Callers);
    Caller.send(EdgeFixture::makeRequest(
        "/safe/a", absl::StrCat("r", this->RequestCount), "", "x", Key));
    this->runUntil(
        [&] { return Caller.hasCompleteAnswer() || Caller.isClosed(); });
    return Caller.status();
  }

  bool waitUntilServing(TestHost &Host, const std::string &Key) {
    return this->runUntil(
        [&] { return this->requestStatus(Host, Key) == 200; });
  }

  /// Waits until both hosts serve and exactly one of them reads the store.
  void waitForSingleReader() {
    REQUIRE(this->waitUntilServing(this->Hosts[0], "key-1"));
    REQUIRE(this->waitUntilServing(this->Hosts[1], "key-1"));
    REQUIRE(this->runUntil([&] {
      return this->readsStore(this->Hosts[0]) !=
             this->readsStore(this->Hosts[1]);
    }));
  }

  /// Whether a host calls its store within 2 s.
  bool readsStore(TestHost &Host) {
    int64_t Before = Host.Store->CallCount;
    this->runFor(absl::Seconds(2));
    return Host.Store->CallCount > Before;
  }

  TestHost &reader() {
    return this->readsStore(this->Hosts[0]) ? this->Hosts[0] : this->Hosts[1];
  }
  TestHost &otherHost(TestHost &Host) {
    return &Host == &this->Hosts[0] ? this->Hosts[1] : this->Hosts[0];
  }

  boost::asio::io_context Loop;
  LoopTimer Timer;
  std::vector<int> Ports;
  std::vector<std::shared_ptr<standin::Replica>> PlainReplicas;
  std::array<TestHost, 2> Hosts;
  int RequestCount = 0;
  bool WithSeeds = true;
};

struct SeedlessFixture : PeersFixture {
  SeedlessFixture() : PeersFixture(false) {}
};

} // namespace

TEST_CASE_METHOD(PeersFixture,
                 "A host that never reached the store serves from a peer") {
  this->Hosts[1].Store->Behavior =
      GENERATE(StoreBehavior::Refuses, StoreBehavior::Silent);
  this->start();
  CHECK(this->waitUntilServing(this->Hosts[1], "key-1"));
}

TEST_CASE_METHOD(PeersFixture,
                 "A newer table reaches a host that the store refuses") {
  this->start();
  this->waitForSingleReader();
  TestHost &Refused = this->Hosts[GENERATE(0, 1)];
  Refused.Store->Behavior = StoreBehavior::Refuses;
  this->putTable(2, {"key-1", "key-2"});
  CHECK(this->waitUntilServing(Refused, "key-2"));
  CHECK(this->waitUntilServing(this->otherHost(Refused), "key-2"));
}

TEST_CASE_METHOD(PeersFixture, "A removed key stays removed") {
  this->start();
  this->waitForSingleReader();
  this->putTable(2, {"key-2"});
  for (TestHost &Host : this->Hosts) {
    REQUIRE(this->waitUntilServing(Host, "key-2"));
    CHECK(this->requestStatus(Host, "key-1") == 401);
  }
  // Hosts ignore an older table that is written again.
  this->putTable(1, {"key-1"});
  this->runFor(absl::Seconds(2));
  for (TestHost &Host : this->Hosts)
    CHECK(this->requestStatus(Host, "key-1") == 401);
}

TEST_CASE_METHOD(PeersFixture,
                 "A drain reaches a host that does not read the store") {
  this->start();
  this->waitForSingleReader();
  TestHost &NonReader = this->otherHost(this->reader());
  this->putReplica(0, "draining");
  this->runFor(absl::Milliseconds(2500));
  size_t Before = this->PlainReplicas[0]->ExecutedRequests.size();
  for (int Index = 0; Index < 10; ++Index)
    CHECK(this->requestStatus(NonReader, "key-1") == 200);
  CHECK(this->PlainReplicas[0]->ExecutedRequests.size() == Before);
}

TEST_CASE_METHOD(PeersFixture,
                 "A host learns from a peer of a leaving replica") {
  this->start();
  this->waitForSingleReader();
  // The entries of the store still call the replica ready.
  this->PlainReplicas[0]->Leaving = true;
  REQUIRE(this->runUntil([&] {
    this->requestStatus(this->Hosts[0], "key-1");
    return this->PlainReplicas[0]->ArrivedRequests > 0;
  }));
  this->runFor(absl::Milliseconds(200));
  int64_t Before = this->PlainReplicas[0]->ArrivedRequests;
  for (int Index = 0; Index < 10; ++Index)
    CHECK(this->requestStatus(this->Hosts[1], "key-1") == 200);
  CHECK(this->PlainReplicas[0]->ArrivedRequests == Before);
}

TEST_CASE_METHOD(PeersFixture, "One host reads the store for its region") {
  this->start();
  this->waitForSingleReader();
  CHECK_FALSE(this->readsStore(this->otherHost(this->reader())));
}

TEST_CASE_METHOD(PeersFixture,
                 "Another host reads when the store fails the reader") {
  this->start();
  this->waitForSingleReader();
  TestHost &First = this->reader();
  TestHost &Second = this->otherHost(First);
  First.Store->Behavior = StoreBehavior::Refuses;
  CHECK(this->runUntil([&] { return this->readsStore(Second); }));
  // The role stays with the second host when the first one's store recovers.
  First.Store->Behavior = StoreBehavior::Serves;
  CHECK(this->runUntil([&] { return !this->readsStore(First); }));
  CHECK(this->readsStore(Second));
}

TEST_CASE_METHOD(PeersFixture, "A host follows the era that its peer reports") {
  this->start();
  this->waitForSingleReader();
  for (TestHost &Host : this->Hosts)
    Host.Store->takeCopy();
  this->putTable(2, {"key-1", "key-2"});
  REQUIRE(this->waitUntilServing(this->Hosts[0], "key-2"));
  REQUIRE(this->waitUntilServing(this->Hosts[1], "key-2"));
  TestHost &Reader = this->reader();
  TestHost &Other = this->otherHost(Reader);
  // Only the reader's store answers, in the later era and from lower offsets.
  Other.Store->Behavior = StoreBehavior::Silent;
  for (TestHost &Host : this->Hosts)
    Host.Store->restoreCopy();
  this->runFor(absl::Seconds(1));
  this->putTable(3, {"key-1", "key-3"});
  CHECK(this->waitUntilServing(Other, "key-3"));
  CHECK(this->requestStatus(Other, "key-2") == 401);
}

TEST_CASE_METHOD(PeersFixture, "Another host reads when the reader leaves") {
  this->start();
  this->waitForSingleReader();
  TestHost &First = this->reader();
  TestHost &Second = this->otherHost(First);
  bool Stopped = false;
  First.Daemon->stop([&] { Stopped = true; });
  CHECK(this->runUntil([&] { return this->readsStore(Second); }));
  CHECK(this->runUntil([&] { return Stopped; }));
  this->putTable(2, {"key-1", "key-2"});
  CHECK(this->waitUntilServing(Second, "key-2"));
}

TEST_CASE_METHOD(SeedlessFixture,
                 "A host without peers reads the store until it finds one") {
  this->start();
  this->runFor(absl::Seconds(2));
  // Each store holds only the announcement of its own host so far.
  this->put("keyed.hosts", "host-1", "127.0.0.1");
  this->put("keyed.hosts", "host-2", "127.0.0.2");
  this->waitForSingleReader();
}

TEST_CASE_METHOD(PeersFixture, "A host retries a failed announcement") {
  this->Hosts[0].Store->Behavior = StoreBehavior::Refuses;
  this->start();
  this->runFor(absl::Seconds(1));
  this->Hosts[0].Store->Behavior = StoreBehavior::Serves;
  CHECK(this->runUntil([&] {
    return this->Hosts[0].Store->newest("keyed.hosts", "host-1") == "127.0.0.1";
  }));
}

// Peers announced only newer tables, so an evacuation stayed unknown where the
// store was out of reach.
TEST_CASE_METHOD(PeersFixture,
                 "An evacuation reaches a host that the store refuses") {
  this->start();
  this->waitForSingleReader();
  TestHost &Refused = this->Hosts[GENERATE(0, 1)];
  Refused.Store->Behavior = StoreBehavior::Refuses;
  this->put("keyed.op", "evacuate/zone-a", "{}");
  for (TestHost &Host : this->Hosts)
    CHECK(this->runUntil(
        [&] { return this->requestStatus(Host, "key-1") == 503; }));
  this->put("keyed.op", "evacuate/zone-a", std::nullopt);
  for (TestHost &Host : this->Hosts)
    CHECK(this->waitUntilServing(Host, "key-1"));
}

TEST_CASE_METHOD(PeersFixture,
                 "A host that starts without the store learns an evacuation") {
  this->put("keyed.op", "evacuate/zone-a", "{}");
  this->Hosts[1].Store->Behavior = StoreBehavior::Silent;
  this->start();
  auto IsReady = [&](TestHost &Host) {
    RawCaller Probe(this->Loop, Host.Config.Ready);
    Probe.send("GET /berylramp/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    this->runUntil(
        [&] { return Probe.hasCompleteAnswer() || Probe.isClosed(); });
    return Probe.status() == 200;
  };
  for (TestHost &Host : this->Hosts) {
    REQUIRE(this->runUntil([&] { return IsReady(Host); }));
    CHECK(this->requestStatus(Host, "key-1") == 503);
  }
  for (const auto &Instance : this->PlainReplicas)
    CHECK(Instance->ArrivedRequests == 0);
}
