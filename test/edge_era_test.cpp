//===- edge_era_test.cpp - A store that returns from an older copy --------===//

#include "berylramp/json.h"
#include "edge_fixture.h"
#include "store_follower.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;
using standin::StoreBehavior;

namespace {

/// A follower of a scripted store.
struct FollowerFixture {
  FollowerFixture() : Timer(Loop) {
    this->Port.Newest = [this](StoreTopic, const PageCallback &Done) {
      this->NewestCount += 1;
      this->Pending = Done;
    };
    this->Port.Read = [this](StoreTopic, Offset From, absl::Duration,
                             const PageCallback &Done) {
      this->ReadFrom = From;
      this->Pending = Done;
    };
    FollowerConfig Config;
    Config.ReadInterval = absl::Milliseconds(1);
    this->Follower = std::make_shared<StoreFollower>(
        this->Port, this->Timer, this->Counters, Config,
        [this](const StorePage &Page, bool IsSnapshot) {
          this->Pages.push_back({Page.position(), IsSnapshot});
        });
    this->Follower->start();
  }

  void answer(const absl::StatusOr<StorePage> &Page) {
    Instant Deadline = this->Timer.now() + absl::Seconds(20);
    while (!this->Pending && this->Timer.now() < Deadline) {
      this->Loop.restart();
      this->Loop.run_for(std::chrono::milliseconds(1));
    }
    REQUIRE(this->Pending);
    PageCallback Done;
    std::swap(Done, this->Pending);
    Done(Page);
  }

  static StorePage page(int64_t Era, int64_t Next) {
    return {{}, Offset(Next), StoreEra(Era)};
  }

  boost::asio::io_context Loop;
  LoopTimer Timer;
  Metrics Counters;
  StorePort Port;
  PageCallback Pending;
  int NewestCount = 0;
  Offset ReadFrom = NoOffset;
  std::vector<std::pair<StorePosition, bool>> Pages;
  std::shared_ptr<StoreFollower> Follower;
};

/// A daemon with a roll-out of version "v2" of service "plain".
struct EraFixture : ServingFixture {
  void restore() {
    this->Store->Behavior = StoreBehavior::Refuses;
    this->runFor(absl::Milliseconds(300));
    this->Store->restoreCopy();
    this->Store->Behavior = StoreBehavior::Serves;
  }

  bool serves(const std::string &Key) {
    this->RequestCount += 1;
    return this->call("/safe/a", absl::StrCat("e", this->RequestCount), "", "x",
                      Key)
               .status() == 200;
  }

  int RequestCount = 0;
};

} // namespace

TEST_CASE_METHOD(FollowerFixture,
                 "A topic is read anew in a later era, also without a 410") {
  this->answer(page(1, 40));
  SECTION("the offset exists again") { this->answer(page(2, 42)); }
  SECTION("the offset is beyond the end") {
    this->answer(absl::OutOfRangeError("410"));
  }
  CHECK(this->NewestCount == 2);
  this->answer(page(2, 33));
  REQUIRE(this->Pages.size() == 2);
  CHECK(this->Pages[1] ==
        std::make_pair(StorePosition{StoreEra(2), Offset(33)}, true));
  this->answer(page(2, 34));
  CHECK(this->ReadFrom == Offset(33));
  CHECK(this->Follower->recoveredAt().SinceStart > -absl::InfiniteDuration());
}

TEST_CASE_METHOD(FollowerFixture,
                 "A page from before the era that a peer reported is ignored") {
  this->answer(page(1, 40));
  this->Follower->skipTo({StoreEra(2), Offset(12)});
  this->answer(page(1, 41));
  CHECK(this->Pages.size() == 1);
  this->answer(page(2, 12));
  CHECK(this->NewestCount == 2);
  CHECK(this->Follower->position() == StorePosition{StoreEra(2), Offset(12)});
}

TEST_CASE("A paused follower probes a store that fails, but does not read") {
  boost::asio::io_context Loop;
  LoopTimer Timer(Loop);
  Metrics Counters;
  int Calls = 0;
  bool Serves = false;
  StorePort Port;
  Port.Newest = [&](StoreTopic, const PageCallback &Done) {
    Calls += 1;
    if (Serves)
      Done(StorePage{{}, Offset(1), StoreEra(1)});
    else
      Done(absl::UnavailableError("503"));
  };
  Port.Read = [&](StoreTopic, Offset, absl::Duration,
                  const PageCallback &Done) { Port.Newest({}, Done); };
  FollowerConfig Config;
  Config.MaxBackoff = absl::Milliseconds(20);
  Config.ReadInterval = absl::Milliseconds(1);
  Config.ProbesWhilePaused = true;
  auto Follower = std::make_shared<StoreFollower>(
      Port, Timer, Counters, Config, [](const StorePage &, bool) {});
  Follower->start();
  Follower->pause();
  Loop.run_for(std::chrono::milliseconds(300));
  CHECK(Calls > 2);
  CHECK_FALSE(Follower->reachable());
  Serves = true;
  while (!Follower->reachable())
    Loop.run_one();
  int Before = Calls;
  Loop.restart();
  Loop.run_for(std::chrono::milliseconds(100));
  CHECK(Calls == Before);
}

TEST_CASE_METHOD(EraFixture, "The table in force outlives the store's copy") {
  this->Store->takeCopy();
  this->putTable(2, {"key-2"});
  REQUIRE(this->runUntil([&] { return this->serves("key-2"); }));
  this->restore();
  this->runFor(absl::Milliseconds(1500));
  CHECK(this->serves("key-2"));
  CHECK_FALSE(this->serves("key-1"));
  this->putTable(3, {"key-3"});
  CHECK(this->runUntil([&] { return this->serves("key-3"); }));
}

TEST_CASE_METHOD(EraFixture,
                 "Requests are served while the store is restored") {
  this->Store->takeCopy();
  // The entries that the copy lacks count as missing only after a while.
  this->Store->put("keyed.servers", "extra",
                   this->PlainReplicas[0]->entry("ready", "v1"));
  std::vector<RawCaller> Callers;
  for (int Index = 0; Index < 40; ++Index) {
    if (Index == 10)
      this->Store->restoreCopy();
    Callers.emplace_back(this->Loop, this->callerEndpoint());
    Callers.back().send(
        makeRequest("/once/a", absl::StrCat("load", Index), "", "x", "key-1"));
    this->runFor(absl::Milliseconds(25));
  }
  for (size_t Index = 0; Index < Callers.size(); ++Index) {
    CAPTURE(Index);
    CHECK(this->runUntil([&] { return Callers[Index].hasCompleteAnswer(); }));
    CHECK(Callers[Index].status() == 200);
    CHECK(this->runCount(absl::StrCat("load", Index)) == 1);
  }
}

TEST_CASE_METHOD(EdgeFixture, "Records of this host are written again") {
  this->putTable(1, {"key-1"});
  this->putReplicas();
  this->Store->takeCopy();
  this->start();
  REQUIRE(this->runUntil(
      [&] { return !this->Store->newest("keyed.hosts", "host-1").empty(); }));
  this->Store->restoreCopy();
  REQUIRE(this->Store->newest("keyed.hosts", "host-1").empty());
  CHECK(this->runUntil(
      [&] { return !this->Store->newest("keyed.hosts", "host-1").empty(); }));
}

TEST_CASE_METHOD(EraFixture, "A recorded roll-out is recorded again") {
  Json::Value Order(Json::objectValue);
  Order["service"] = "plain";
  Order["target"] = "v2";
  Order["durationS"] = 3;
  this->Store->put("keyed.servers", this->PlainReplicas[1]->id(),
                   this->PlainReplicas[1]->entry("ready", "v2"));
  // The order is in the copy, the state that the router wrote is not.
  this->Store->put("keyed.op", "rollout/plain", writeJson(Order));
  this->Store->takeCopy();
  auto State = [&] {
    return this->Store->newest("keyed.status", "rollout/plain");
  };
  auto IsFinished = [&] {
    return absl::StrContains(State(), "complete") ||
           absl::StrContains(State(), "reverted");
  };
  REQUIRE(this->runUntil([&] {
    this->serves("key-1");
    return IsFinished();
  }));
  this->runFor(absl::Milliseconds(500));
  std::string Before = State();
  this->restore();
  REQUIRE_FALSE(IsFinished());
  CHECK(this->runUntil([&] { return State() == Before; }));
}
