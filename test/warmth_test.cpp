//===- warmth_test.cpp - Replicas that are cold ---------------------------===//

#include "berylramp/upstreams.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace berylramp;

namespace {

Instant at(double Seconds) { return Instant{absl::Seconds(Seconds)}; }

ChoiceQuery queryAt(double Seconds) {
  ChoiceQuery Query;
  Query.Service = ServiceId("s");
  Query.Now = at(Seconds);
  return Query;
}

/// One host, alone, and replicas of a service that tolerates 4 requests per
/// second while they are cold for 3 seconds.
struct WarmthFixture {
  UpstreamRegistry Registry{ChoiceSettings()};
  LimitMembers Members{{1, PlaceId("a")}};
  ReplicaEntry Entry;

  WarmthFixture() {
    this->Entry.Id = UpstreamId("r");
    this->Entry.Service = ServiceId("s");
    this->Entry.Place = PlaceId("a");
    this->Entry.Slots = 8;
    this->Entry.Sequence = 10;
    this->Entry.ColdRemaining = absl::ZeroDuration();
    this->Registry.setWarmupRules({{"s", {{4, 1.5, 5}, absl::Seconds(3)}}},
                                  at(0));
  }

  void put(double Now) {
    this->Registry.put(this->Entry, at(Now));
    this->Registry.divideLimits(this->Members, at(Now));
  }

  Replica &replica() { return *this->Registry.find(this->Entry.Id); }

  bool beat(std::optional<absl::Duration> Remaining, double Now) {
    this->Entry.Sequence += 1;
    this->Entry.ColdRemaining = Remaining;
    return this->Registry.onHeartbeat(this->replica(), this->Entry, at(Now));
  }

  /// The requests that the replica receives in the time, if more are offered.
  int sendAll(double From, double To) {
    int Count = 0;
    for (double Now = From; Now < To; Now += 0.01) {
      Choice Chosen = this->Registry.choose(queryAt(Now));
      if (Chosen.Target == nullptr)
        continue;
      this->Registry.onRequestStarted(Chosen, queryAt(Now));
      this->Registry.onRequestEnded(*Chosen.Target, Outcome::Good, at(Now));
      Count += 1;
    }
    return Count;
  }

  bool isCold(double Now) { return this->Registry.coldCount(at(Now)) == 1; }
};

} // namespace

// Guards against a replica that ends under the requests that waited for it.
TEST_CASE_METHOD(WarmthFixture,
                 "A replica that returns cold receives what it tolerates") {
  this->Entry.ColdRemaining = absl::Seconds(3);
  this->put(0);
  for (double From : {0.0, 1.0, 2.0})
    CHECK(this->sendAll(From, From + 1) <= 11);
  CHECK_FALSE(this->isCold(3.1));
  CHECK(this->sendAll(3.1, 4.1) > 50);
}

TEST_CASE_METHOD(WarmthFixture,
                 "A request that no cold replica may receive waits for a "
                 "stated time") {
  this->Entry.ColdRemaining = absl::Seconds(3);
  this->put(0);
  CHECK(this->Registry.choose(queryAt(0)).Target == nullptr);
  Instant Next = this->Registry.earliestAvailability(queryAt(0));
  CHECK(at(0) < Next);
  CHECK(Next < at(1));
}

TEST_CASE_METHOD(WarmthFixture,
                 "A service without a rate has no cold replica") {
  this->Registry.setWarmupRules({}, at(0));
  this->Entry.ColdRemaining = absl::Seconds(3);
  this->put(0);
  CHECK_FALSE(this->isCold(0));
  CHECK(this->sendAll(0, 1) > 90);
}

TEST_CASE_METHOD(WarmthFixture, "A rate that is stated later applies to a "
                                "replica that is cold") {
  this->Registry.setWarmupRules({}, at(0));
  this->Entry.ColdRemaining = absl::Seconds(3);
  this->put(0);
  this->Registry.setWarmupRules({{"s", {{4, 1.5, 5}, absl::Seconds(3)}}},
                                at(1));
  CHECK(this->isCold(1));
}

// Guards against a replica that turns cold while it runs.
TEST_CASE_METHOD(WarmthFixture, "A heartbeat makes a replica cold or warm") {
  this->put(0);
  CHECK_FALSE(this->isCold(0));
  CHECK(this->beat(absl::Seconds(3), 1));
  CHECK(this->isCold(1));
  CHECK_FALSE(this->beat(absl::Seconds(2), 2));
  CHECK(this->beat(absl::Seconds(3), 2.5));
  CHECK(this->isCold(5));
  CHECK(this->beat(absl::ZeroDuration(), 5));
  CHECK_FALSE(this->isCold(5));
}

// Guards against a restart between two entries.
TEST_CASE_METHOD(WarmthFixture, "A replica that could not be reached is cold "
                                "until a later entry states otherwise") {
  this->put(0);
  this->Registry.onUnreachable(this->replica(), at(1));
  CHECK(this->isCold(1));
  // May have been written before the replica was lost.
  this->beat(absl::ZeroDuration(), 1.3);
  CHECK(this->isCold(1.3));
  this->beat(absl::ZeroDuration(), 2.5);
  CHECK_FALSE(this->isCold(2.5));
  this->Registry.onUnreachable(this->replica(), at(3));
  CHECK(this->isCold(3));
  // Without an entry the suspicion ends by itself.
  CHECK_FALSE(this->isCold(9));
}

TEST_CASE_METHOD(WarmthFixture, "A host that was cut off does not take "
                                "replicas for cold") {
  this->put(0);
  this->Registry.onUnreachable(this->replica(), at(1));
  this->Registry.forgiveFailures([](const Replica &) { return true; });
  this->beat(absl::ZeroDuration(), 1.1);
  CHECK_FALSE(this->isCold(1.1));
}

// Guards against cold times that are malformed or never end.
TEST_CASE_METHOD(WarmthFixture, "A new replica without a usable cold time is "
                                "cold for the service's usual time") {
  this->Entry.ColdRemaining.reset();
  this->put(0);
  CHECK(this->isCold(2.9));
  this->beat(std::nullopt, 2.5);
  CHECK_FALSE(this->isCold(3.1));
}

TEST_CASE_METHOD(WarmthFixture, "Changes of warmth are reported once") {
  this->Entry.ColdRemaining = absl::Seconds(3);
  this->put(0);
  std::vector<WarmthChange> Changes = this->Registry.takeWarmthChanges(at(0));
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].IsCold);
  CHECK(Changes[0].Reason == ColdReason::Stated);
  CHECK(this->Registry.takeWarmthChanges(at(1)).empty());
  Changes = this->Registry.takeWarmthChanges(at(3.5));
  REQUIRE(Changes.size() == 1);
  CHECK_FALSE(Changes[0].IsCold);
  CHECK(Changes[0].Time == absl::Seconds(3.5));
}

// Guards against old reports that empty a replica or bring a herd to it.
TEST_CASE("A stated work time loses its weight with age") {
  ReportedLoad Load;
  Load.At = at(1);
  for (double Stated : {9.0, 0.5}) {
    Load.WorkTime = Stated;
    CHECK(expectedWorkTime(Load, at(1)) == Stated);
    CHECK(std::abs(expectedWorkTime(Load, at(1.5)) - 1) < 0.3);
    CHECK(std::abs(expectedWorkTime(Load, at(4)) - 1) < 0.01);
  }
  Load.WorkTime = 1;
  CHECK(expectedWorkTime(Load, at(9)) == 1);
}

// Guards against a herd at one replica that may turn cold at any moment.
TEST_CASE_METHOD(WarmthFixture, "Requests beyond what a cold replica tolerates "
                                "go to another one that is available") {
  this->put(0);
  ReplicaEntry Other = this->Entry;
  Other.Id = UpstreamId("far");
  Other.Place = PlaceId("b");
  this->Registry.put(Other, at(0));
  this->Registry.divideLimits(this->Members, at(0));
  this->sendAll(1, 3);
  int Near = 0;
  for (double Now = 3; Now < 4; Now += 0.05) {
    Choice Chosen = this->Registry.choose(queryAt(Now));
    this->Registry.onRequestStarted(Chosen, queryAt(Now));
    this->Registry.onRequestEnded(*Chosen.Target, Outcome::Good, at(Now));
    Near += Chosen.Target->Entry.Id == this->Entry.Id ? 1 : 0;
  }
  CHECK(Near <= 13);
}
