//===- rollout_test.cpp - Steps and evaluation of a roll-out --------------===//

#include "berylramp/rollout.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace berylramp;

namespace {

const RolloutOrder Order{ServiceId("s"), VersionId("v2"), absl::Seconds(20)};
const ExposureBounds Bounds{0.15, 30};

/// A route whose answers are bad at the given rate on the other versions.
RouteBaseline makeBaseline(double BadRate) {
  RouteBaseline Usual;
  double Due = 0;
  for (int Count = 0; Count < 500; ++Count) {
    countAnswer(Usual);
    addFirstByte(Usual, absl::Milliseconds(150));
    Due += BadRate;
    if (Due >= 1) {
      countBadAnswer(Usual);
      Due -= 1;
    }
  }
  return Usual;
}

/// Evidence of a target on a route that is bad at \p UsualBadRate elsewhere.
RolloutEvidence makeEvidence(int64_t Good, int64_t Bad,
                             double UsualBadRate = 0.01) {
  RouteBaseline Usual = makeBaseline(UsualBadRate);
  RolloutEvidence Evidence;
  for (int64_t Count = 0; Count < Good + Bad; ++Count)
    countTargetAnswer(Evidence.Target[0], Usual);
  Evidence.Target[0].Bad = Bad;
  Evidence.Others = {900, 9};
  return Evidence;
}

} // namespace

TEST_CASE("The canary share stays below the operators' bound") {
  rc::prop("for every number of replicas", [] {
    auto Replicas = static_cast<size_t>(*rc::gen::inRange(0, 1000));
    double Share = canaryShare(Bounds, Replicas);
    RC_ASSERT(Share > 0);
    RC_ASSERT(Share < Bounds.Share);
  });
}

TEST_CASE("The share is constant in the first half") {
  rc::prop("for good evidence", [] {
    int64_t Good = *rc::gen::inRange(0, 5000);
    auto Evidence = makeEvidence(Good, 0);
    auto Elapsed = absl::Milliseconds(*rc::gen::inRange(0, 10000));
    RolloutTraffic Traffic{Good, Good * 10, static_cast<double>(Good)};
    RolloutSchedule Schedule{
        0.05, fullTrafficTime(Order, Bounds, 0.05, Traffic, Elapsed)};
    RolloutStep Step = nextRolloutStep(Order, Schedule, Evidence, Elapsed);
    RC_ASSERT(Step.Share == 0.05);
    RC_ASSERT(Step.State == RolloutState::InProgress);
  });
}

TEST_CASE("Everything that the target receives until the time limit fits into "
          "the exposure bound") {
  rc::prop("for all rates and times", [] {
    double PerSecond = *rc::gen::inRange(1, 10000) / 5.0;
    double Canary = *rc::gen::inRange(1, 60) / 1000.0;
    double Elapsed = *rc::gen::inRange(0, 20000) / 1000.0;
    RolloutTraffic Traffic;
    Traffic.PerSecond = PerSecond;
    Traffic.Total = static_cast<int64_t>(PerSecond * Elapsed);
    Traffic.Target = static_cast<int64_t>(PerSecond * Elapsed * Canary);
    double FullAt = absl::ToDoubleSeconds(fullTrafficTime(
        Order, Bounds, Canary, Traffic, absl::Seconds(Elapsed)));
    double Limit = absl::ToDoubleSeconds(Order.TimeLimit);
    double FullFrom = std::max(FullAt, Elapsed);
    double Target = static_cast<double>(Traffic.Target) +
                    Canary * PerSecond * (FullFrom - Elapsed) +
                    PerSecond * (Limit - FullFrom);
    double Total =
        static_cast<double>(Traffic.Total) + PerSecond * (Limit - Elapsed);
    RC_ASSERT(FullAt <= Limit);
    RC_ASSERT(Target <= Bounds.Share * Total + 30);
  });
}

TEST_CASE("A good target gets all requests and completes in time") {
  auto Evidence = makeEvidence(50, 0);
  RolloutTraffic Traffic{50, 950, 950 / 16.0};
  absl::Duration FullAt =
      fullTrafficTime(Order, Bounds, 0.05, Traffic, absl::Seconds(16));
  RolloutSchedule Schedule{0.05, FullAt};
  CHECK(
      nextRolloutStep(Order, Schedule, Evidence, FullAt - absl::Milliseconds(1))
          .Share == 0.05);
  CHECK(nextRolloutStep(Order, Schedule, Evidence, FullAt).Share == 1);
  CHECK(nextRolloutStep(Order, Schedule, Evidence, absl::Seconds(19.7)).State ==
        RolloutState::Complete);
}

TEST_CASE("A doubtful target is not completed and keeps all requests") {
  RolloutEvidence Evidence = makeEvidence(50, 0);
  Evidence.Recent = makeEvidence(40, 6, 0.02).Target;
  REQUIRE_FALSE(isTargetBad(Evidence));
  RolloutStep Step = nextRolloutStep(Order, {0.05, absl::Seconds(17)}, Evidence,
                                     absl::Seconds(19.9));
  CHECK(Step.Share == 1);
  CHECK(Step.State == RolloutState::InProgress);
}

TEST_CASE("Without a plan the target keeps its canary share") {
  auto Evidence = makeEvidence(50, 0);
  CHECK(nextRolloutStep(Order, {0.05}, Evidence, absl::Seconds(19)).Share ==
        0.05);
}

TEST_CASE("A target without evidence keeps its canary share") {
  auto Evidence = makeEvidence(0, 0);
  RolloutSchedule Schedule{0.05, absl::Seconds(17)};
  CHECK(nextRolloutStep(Order, Schedule, Evidence, absl::Seconds(19)).Share ==
        0.05);
}

TEST_CASE("Failures of the target alone revert it") {
  CHECK(isTargetBad(makeEvidence(6, 4)));
  CHECK(nextRolloutStep(Order, {0.05}, makeEvidence(6, 4), absl::Seconds(3))
            .State == RolloutState::Reverted);
}

TEST_CASE("Failures of all versions do not revert the target") {
  CHECK_FALSE(isTargetBad(makeEvidence(60, 30, 0.33)));
}

TEST_CASE("Three failures alone do not revert the target") {
  CHECK_FALSE(isTargetBad(makeEvidence(0, 3, 0)));
}

TEST_CASE("An answer is slow if it takes several times as long as usual") {
  RouteBaseline Usual = makeBaseline(0);
  CHECK(isSlowFirstByte(Usual, absl::Milliseconds(900)));
  CHECK_FALSE(isSlowFirstByte(Usual, absl::Milliseconds(300)));
  CHECK_FALSE(isSlowFirstByte(RouteBaseline(), absl::Milliseconds(900)));
}

TEST_CASE("A fault on one route is not hidden by good answers of others") {
  RolloutEvidence Evidence = makeEvidence(400, 0);
  RouteBaseline Usual = makeBaseline(0);
  for (int Count = 0; Count < 20; ++Count)
    countTargetAnswer(Evidence.Target[1], Usual);
  CHECK_FALSE(isTargetBad(Evidence));
  Evidence.Target[1].Bad = 8;
  CHECK(isTargetBad(Evidence));
}

TEST_CASE("Answers that are usually slow do not hide failures") {
  RouteBaseline Usual = makeBaseline(0);
  for (int Count = 0; Count < 30; ++Count)
    countBadAnswer(Usual, AnswerFault::Slow);
  RolloutEvidence Evidence;
  for (int Count = 0; Count < 30; ++Count)
    for (AnswerFault Fault : {AnswerFault::Failure, AnswerFault::Slow})
      countTargetAnswer(Evidence.Target[stratumOf("route", Fault)], Usual,
                        Fault);
  AnswerTally &Slow = Evidence.Target[stratumOf("route", AnswerFault::Slow)];
  AnswerTally &Failed =
      Evidence.Target[stratumOf("route", AnswerFault::Failure)];
  Slow.Bad = 10;
  CHECK_FALSE(isTargetBad(Evidence));
  Slow.Bad = 0;
  Failed.Bad = 10;
  CHECK(isTargetBad(Evidence));
}

TEST_CASE("A route that fails on every version does not hide a fault") {
  RolloutEvidence Evidence = makeEvidence(0, 100, 1);
  RouteBaseline Usual = makeBaseline(0);
  for (int Count = 0; Count < 50; ++Count)
    countTargetAnswer(Evidence.Target[1], Usual);
  CHECK_FALSE(isTargetBad(Evidence));
  Evidence.Target[1].Bad = 12;
  CHECK(isTargetBad(Evidence));
}

TEST_CASE("A tripped target gets no requests at any time") {
  rc::prop("after a trip", [] {
    RolloutEvidence Evidence;
    Evidence.Tripped = true;
    auto Elapsed = absl::Milliseconds(*rc::gen::inRange(0, 60000));
    RC_ASSERT(nextRolloutStep(Order, {0.05}, Evidence, Elapsed).Share == 0);
  });
}
