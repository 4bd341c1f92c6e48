//===- edge_peers_test.cpp - Two hosts of one region ----------------------===//
//
// Each host has a store of its own with the same records, so that the store
// may fail one of them.
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

/// One of the two hosts.
struct Member {
  std::unique_ptr<standin::Store> Store;
  HostFacts Facts;
  std::unique_ptr<EdgeDaemon> Daemon;
};

struct PeersFixture {
  explicit PeersFixture(bool WithSeeds = true) : Timer(Loop) {
    this->WithSeeds = WithSeeds;
    for (int Index = 0; Index < 5; ++Index)
      this->Ports.push_back(standin::findFreePort());
    for (int Index = 0; Index < 2; ++Index) {
      this->Plains.push_back(std::make_shared<standin::Replica>(
          this->Loop, this->Timer, absl::StrCat("plain-", Index), "plain",
          "zone-a"));
      REQUIRE(this->Plains.back()->listen().ok());
    }
    for (size_t Index = 0; Index < this->Hosts.size(); ++Index)
      this->make(this->Hosts[Index], static_cast<int>(Index) + 1);
  }

  ~PeersFixture() {
    for (Member &Each : this->Hosts)
      Each.Daemon.reset();
  }

  void make(Member &Which, int Number) {
    Which.Store = std::make_unique<standin::Store>(this->Loop, this->Timer);
    REQUIRE(Which.Store->listen().ok());
    std::string Seed =
        absl::StrCat("127.0.0.", 3 - Number, ":", this->Ports[3]);
    absl::StatusOr<HostFacts> Read = platform::decodeSettings(
        standin::sampleSettings(absl::StrCat("host-", Number), "zone-a",
                                absl::StrCat("127.0.0.", Number), this->Ports,
                                Which.Store->address(), Seed));
    REQUIRE(Read.ok());
    Which.Facts = *Read;
    if (!this->WithSeeds)
      Which.Facts.Seeds.clear();
    EdgeSettings Settings;
    EdgePlatform Parts;
    Parts.Store = platform::createStorePort(this->Loop, this->Timer,
                                            Which.Facts.Store, Settings);
    Parts.Codec = platform::codec();
    Which.Daemon = std::make_unique<EdgeDaemon>(
        this->Loop, this->Timer, Which.Facts, std::move(Parts), Settings);
  }

  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value) {
    for (Member &Each : this->Hosts)
      Each.Store->put(Topic, Key, Value);
  }

  void putTable(int64_t Version, const std::vector<std::string> &Keys) {
    this->put("keyed.op", "config", standin::sampleTable(Version, Keys));
  }

  void putReplica(size_t Index, const std::string &State) {
    this->put("keyed.servers", this->Plains[Index]->id(),
              this->Plains[Index]->entry(State, "v1"));
  }

  void start() {
    this->putTable(1, {"key-1"});
    this->putReplica(0, "ready");
    this->putReplica(1, "ready");
    for (Member &Each : this->Hosts)
      REQUIRE(Each.Daemon->start().ok());
  }

  bool until(const std::function<bool()> &Holds,
             absl::Duration Most = absl::Seconds(20)) {
    Instant End = this->Timer.now() + Most;
    while (!Holds()) {
      if (End < this->Timer.now())
        return false;
      this->Loop.restart();
      this->Loop.run_for(std::chrono::milliseconds(2));
    }
    return true;
  }

  void runFor(absl::Duration Time) {
    Instant End = this->Timer.now() + Time;
    this->until([&] { return End < this->Timer.now(); });
  }

  int statusAt(Member &Which, const std::string &Key) {
    this->Sent += 1;
    RawCaller Caller(this->Loop, Which.Facts.Callers);
    Caller.send(EdgeFixture::request("/safe/a", absl::StrCat("r", this->Sent),
                                     "", "x", Key));
    this->until([&] { return Caller.answered() || Caller.ended(); });
    return Caller.status();
  }

  bool serves(Member &Which, const std::string &Key) {
    return this->until([&] { return this->statusAt(Which, Key) == 200; });
  }

  /// Lets the hosts hear of each other and agree on who reads the store.
  void settle() {
    REQUIRE(this->serves(this->Hosts[0], "key-1"));
    REQUIRE(this->serves(this->Hosts[1], "key-1"));
    REQUIRE(this->until([&] {
      return this->reads(this->Hosts[0]) != this->reads(this->Hosts[1]);
    }));
  }

  /// Whether a host calls its store within a while.
  bool reads(Member &Which) {
    int64_t Before = Which.Store->CallCount;
    this->runFor(absl::Seconds(2));
    return Which.Store->CallCount > Before;
  }

  Member &reader() {
    return this->reads(this->Hosts[0]) ? this->Hosts[0] : this->Hosts[1];
  }
  Member &otherThan(Member &Which) {
    return &Which == &this->Hosts[0] ? this->Hosts[1] : this->Hosts[0];
  }

  boost::asio::io_context Loop;
  LoopTimer Timer;
  std::vector<int> Ports;
  std::vector<std::shared_ptr<standin::Replica>> Plains;
  std::array<Member, 2> Hosts;
  int Sent = 0;
  bool WithSeeds = true;
};

struct SeedlessFixture : PeersFixture {
  SeedlessFixture() : PeersFixture(false) {}
};

} // namespace

TEST_CASE_METHOD(PeersFixture,
                 "A host that the store never served serves by a peer's word") {
  this->Hosts[1].Store->Behavior =
      GENERATE(StoreBehavior::Refuses, StoreBehavior::Silent);
  this->start();
  CHECK(this->serves(this->Hosts[1], "key-1"));
}

TEST_CASE_METHOD(PeersFixture,
                 "A newer table reaches a host that the store turns away") {
  this->start();
  this->settle();
  Member &Turned = this->Hosts[GENERATE(0, 1)];
  Turned.Store->Behavior = StoreBehavior::Refuses;
  this->putTable(2, {"key-1", "key-2"});
  CHECK(this->serves(Turned, "key-2"));
  CHECK(this->serves(this->otherThan(Turned), "key-2"));
}

TEST_CASE_METHOD(PeersFixture, "A key that was taken away stays away") {
  this->start();
  this->settle();
  this->putTable(2, {"key-2"});
  for (Member &Each : this->Hosts) {
    REQUIRE(this->serves(Each, "key-2"));
    CHECK(this->statusAt(Each, "key-1") == 401);
  }
  // A host that comes to know the older table again does not go back to it.
  this->putTable(1, {"key-1"});
  this->runFor(absl::Seconds(2));
  for (Member &Each : this->Hosts)
    CHECK(this->statusAt(Each, "key-1") == 401);
}

TEST_CASE_METHOD(PeersFixture,
                 "A replica's leaving reaches a host that does not read") {
  this->start();
  this->settle();
  Member &Follows = this->otherThan(this->reader());
  this->putReplica(0, "draining");
  this->runFor(absl::Milliseconds(2500));
  size_t Before = this->Plains[0]->ExecutedRequests.size();
  for (int Index = 0; Index < 10; ++Index)
    CHECK(this->statusAt(Follows, "key-1") == 200);
  CHECK(this->Plains[0]->ExecutedRequests.size() == Before);
}

TEST_CASE_METHOD(PeersFixture, "One host reads the store for its region") {
  this->start();
  this->settle();
  CHECK_FALSE(this->reads(this->otherThan(this->reader())));
}

TEST_CASE_METHOD(PeersFixture,
                 "The reading goes over when the store fails the reader") {
  this->start();
  this->settle();
  Member &First = this->reader();
  Member &Second = this->otherThan(First);
  First.Store->Behavior = StoreBehavior::Refuses;
  CHECK(this->until([&] { return this->reads(Second); }));
  // It stays there when the store serves the first one again.
  First.Store->Behavior = StoreBehavior::Serves;
  CHECK(this->until([&] { return !this->reads(First); }));
  CHECK(this->reads(Second));
}

TEST_CASE_METHOD(PeersFixture, "The reading goes over when the reader leaves") {
  this->start();
  this->settle();
  Member &First = this->reader();
  Member &Second = this->otherThan(First);
  bool Stopped = false;
  First.Daemon->stop([&] { Stopped = true; });
  CHECK(this->until([&] { return this->reads(Second); }));
  CHECK(this->until([&] { return Stopped; }));
  this->putTable(2, {"key-1", "key-2"});
  CHECK(this->serves(Second, "key-2"));
}

TEST_CASE_METHOD(SeedlessFixture,
                 "A host without peers asks the store until it hears one") {
  this->start();
  this->runFor(absl::Seconds(2));
  // Each one's announcement stands in its own store; now they are told.
  this->put("keyed.hosts", "host-1", "127.0.0.1");
  this->put("keyed.hosts", "host-2", "127.0.0.2");
  this->settle();
}

TEST_CASE_METHOD(PeersFixture,
                 "A host that could not announce itself tries again") {
  this->Hosts[0].Store->Behavior = StoreBehavior::Refuses;
  this->start();
  this->runFor(absl::Seconds(1));
  this->Hosts[0].Store->Behavior = StoreBehavior::Serves;
  CHECK(this->until([&] {
    return this->Hosts[0].Store->newest("keyed.hosts", "host-1") == "127.0.0.1";
  }));
}
