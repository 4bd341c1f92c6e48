//===- edge_notices_test.cpp - Replicas that leave or ask for a pause -----===//

#include "forwarding.h"
#include "partition_fixture.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;
using standin::ReplicaBehavior;
using standin::StoreBehavior;

namespace {

struct NoticesFixture : ServingFixture {
  standin::Replica &first() { return *this->PlainReplicas[0]; }
  standin::Replica &second() { return *this->PlainReplicas[1]; }

  /// Sends \p Count requests one after the other; returns how many were
  /// answered with 200.
  int callTimes(int Count) {
    int Good = 0;
    for (int Index = 0; Index < Count; ++Index) {
      this->RequestCount += 1;
      std::string Id = absl::StrCat("n", this->RequestCount);
      Good += this->call("/safe/a", Id).status() == 200 ? 1 : 0;
    }
    return Good;
  }

  /// Sends requests until the first replica has received one more.
  bool reachFirst() {
    int64_t Before = this->first().ArrivedRequests;
    return this->runUntil([&] {
      this->callTimes(1);
      return this->first().ArrivedRequests > Before;
    });
  }

  int RequestCount = 0;
};

} // namespace

TEST_CASE_METHOD(
    NoticesFixture,
    "A replica that answers that it leaves gets no more requests") {
  this->Store->Behavior =
      GENERATE(StoreBehavior::Serves, StoreBehavior::Silent);
  this->first().Leaving = true;
  REQUIRE(this->reachFirst());
  int64_t Before = this->first().ArrivedRequests;
  CHECK(this->callTimes(12) == 12);
  CHECK(this->first().ArrivedRequests == Before);
}

TEST_CASE_METHOD(NoticesFixture,
                 "Only a new start brings a replica back that left") {
  this->first().Leaving = true;
  REQUIRE(this->reachFirst());
  this->first().Leaving = false;
  int64_t Before = this->first().ArrivedRequests;
  // The same process writes its entry once more, then the entry is removed and
  // returns.
  this->putReplicas();
  this->runFor(absl::Milliseconds(800));
  CHECK(this->callTimes(6) == 6);
  this->Store->put("keyed.servers", this->first().id(), std::nullopt);
  this->runFor(absl::Milliseconds(800));
  this->putReplicas();
  this->runFor(absl::Milliseconds(800));
  CHECK(this->callTimes(6) == 6);
  CHECK(this->first().ArrivedRequests == Before);
  this->first().StartedAtMs = 2;
  this->putReplicas();
  CHECK(this->reachFirst());
}

TEST_CASE_METHOD(NoticesFixture,
                 "A replica that asks for a pause gets nothing until its end") {
  this->first().Behavior = ReplicaBehavior::AsksForPause;
  REQUIRE(this->reachFirst());
  Instant Answered = this->Timer.now();
  int64_t Before = this->first().ArrivedRequests;
  while (this->Timer.now() - Answered < absl::Milliseconds(2200))
    CHECK(this->callTimes(1) == 1);
  CHECK(this->first().ArrivedRequests == Before);
  this->first().Behavior = ReplicaBehavior::Answers;
  CHECK(this->reachFirst());
}

TEST_CASE_METHOD(
    NoticesFixture,
    "When all replicas ask for a pause, callers learn at once when to return") {
  this->setBehavior(ReplicaBehavior::AsksForPause);
  this->second().RetryAfter = "60";
  this->callTimes(3);
  int64_t Before =
      this->first().ArrivedRequests + this->second().ArrivedRequests;
  Instant Sent = this->Timer.now();
  RawCaller Caller = this->call("/once/a", "all-paused");
  CHECK(Caller.status() == 503);
  CHECK(this->Timer.now() - Sent < absl::Seconds(1));
  size_t Field = Caller.received().find("Retry-After: ");
  REQUIRE(Field != std::string::npos);
  double Seconds = std::stod(Caller.received().substr(Field + 13));
  CHECK(Seconds > 0);
  CHECK(Seconds <= 2.5);
  CHECK(this->first().ArrivedRequests + this->second().ArrivedRequests ==
        Before);
}

TEST_CASE_METHOD(
    NoticesFixture,
    "A refusal of another request does not prove that this one did "
    "not run") {
  this->setBehavior(ReplicaBehavior::CrossesRefusals);
  CHECK(this->call("/once/a", "crossed").status() == 502);
  CHECK(this->runCount("crossed") == 1);
}

// A replica wrote an earlier refusal once more on a kept connection, and
// callers were told that their requests had not run. Requests that may run only
// once use connections of their own.
TEST_CASE_METHOD(NoticesFixture, "A refusal that is repeated on a kept "
                                 "connection does not prove that a request did "
                                 "not run") {
  // Both replicas have a kept connection by then.
  for (int Index = 0; Index < 8; ++Index)
    CHECK(this->call("/safe/a", absl::StrCat("before-", Index)).status() ==
          200);
  this->setBehavior(ReplicaBehavior::RepeatsRefusals);
  CHECK(this->call("/safe/a", "repeated").status() == 502);
  CHECK(this->runCount("repeated") > 0);
}

TEST_CASE_METHOD(NoticesFixture,
                 "An order that ran is not answered as one that did not") {
  this->setBehavior(ReplicaBehavior::RefusesAfterRun);
  CHECK(this->call("/once/a", "refused").status() == 502);
  CHECK(this->runCount("refused") == 1);
}

TEST_CASE_METHOD(PartitionFixture,
                 "A replica for which another one answered is tried again") {
  const Endpoint &Standby = this->Hosts.back().Config.Callers;
  auto StatusOf = [&](const std::string &Id) {
    RawCaller Caller(this->Loop, Standby);
    Caller.send(EdgeFixture::makeRequest("/once/a", Id, "", "x", "key-1"));
    REQUIRE(this->runUntil([&] { return Caller.hasCompleteAnswer(); }));
    return Caller.status();
  };
  // Heartbeats are not passed on between hosts.
  this->putReplicas();
  this->runFor(absl::Seconds(2));
  REQUIRE(StatusOf("before") == 200);
  for (const auto &Target : this->PlainReplicas)
    Target->Behavior = ReplicaBehavior::Misdirects;
  CHECK(StatusOf("misdirected") == 503);
  for (const auto &Target : this->PlainReplicas)
    Target->Behavior = ReplicaBehavior::Answers;
  CHECK(this->runUntil([&] { return StatusOf("again") == 200; }));
}

TEST_CASE_METHOD(NoticesFixture, "A removed replica for which another one "
                                 "answered is not tried again") {
  this->setBehavior(ReplicaBehavior::Misdirects);
  CHECK(this->call("/once/a", "misdirected").status() == 503);
  for (const auto &Removed : this->PlainReplicas)
    this->Store->put("keyed.servers", Removed->id(), std::nullopt);
  this->setBehavior(ReplicaBehavior::Answers);
  this->runFor(absl::Seconds(5));
  CHECK(this->call("/once/a", "removed").status() == 503);
  CHECK(this->runCount("removed") == 0);
}

TEST_CASE("Unusable pauses are bounded") {
  CHECK(parsePause("1.5").Length == absl::Milliseconds(1500));
  CHECK(parsePause("1.5").Accepted);
  for (const char *Text :
       {"-3", "soon", "", "nan", "inf", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    CAPTURE(Text);
    CHECK(parsePause(Text).Length == absl::ZeroDuration());
    CHECK_FALSE(parsePause(Text).Accepted);
  }
  CHECK(parsePause("36000").Length == absl::Minutes(10));
  CHECK_FALSE(parsePause("36000").Accepted);
}
