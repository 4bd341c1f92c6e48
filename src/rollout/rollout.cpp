//===- rollout.cpp - Roll-out steps and health checks ---------------------===//
//
// The target first receives a small constant share, so that no session changes
// its version in the first half of the time limit. It receives all requests
// only so late that everything it gets until the time limit stays within the
// operators' bound: a fault may show at full traffic for the first time, or
// after the roll-out is complete. Detection comes in addition.
//
//===----------------------------------------------------------------------===//

#include "berylramp/rollout.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Maximum fraction of the allowed share that the canary step uses. The
/// remainder is left for full traffic.
constexpr double CanaryExposureFraction = 0.35;
/// Fraction of the allowed requests that is planned for. The remainder covers
/// requests in flight and changes of the rate.
constexpr double PlannedExposureFraction = 0.85;
/// Product of the canary share and the number of replicas. It yields a few
/// requests per second at a load that fills half of the replicas' slots. Each
/// session that is active when the roll-out starts may change its version with
/// this share, so that a larger value would only move more sessions.
constexpr double CanaryShareTimesReplicas = 0.5;
/// Minimum number of bad answers before a version is evaluated. Fewer can be
/// noise from single replicas.
constexpr int64_t MinBadAnswers = 4;
/// A target is bad when its failure rate exceeds that of the other versions
/// times this factor plus this margin.
constexpr double FailureRateFactor = 2.0;
constexpr double FailureRateMargin = 0.07;
/// A target is slow when its mean time to the first byte exceeds that of the
/// other versions by this factor.
constexpr double SlowdownFactor = 3.0;
constexpr int64_t MinAnswersForLatency = 12;
/// Minimum number of good answers before the target receives all requests.
constexpr int64_t MinGoodAnswers = 8;
/// Fraction of the order's time limit before which no session changes its
/// version, and the one from which on full traffic is planned. All hosts learn
/// of the plan in between.
constexpr double FirstHalfFraction = 0.52;
constexpr double PlanningFraction = 0.4;
/// Time before the time limit at which the roll-out is recorded as complete. It
/// suffices for a second host to write when the first one fails.
constexpr absl::Duration CompletionLead = absl::Seconds(1);
/// Minimum time of full traffic before completion.
constexpr absl::Duration MinFullTrafficTime = absl::Milliseconds(500);

double failureRate(const AnswerTally &Tally) {
  if (Tally.total() == 0)
    return 0;
  return static_cast<double>(Tally.Bad) / static_cast<double>(Tally.total());
}

double meanFirstByteMs(const AnswerTally &Tally) {
  return static_cast<double>(Tally.FirstByteMs) /
         static_cast<double>(std::max<int64_t>(Tally.Good, 1));
}

bool isSlow(const RolloutEvidence &Evidence) {
  if (Evidence.Target.Good < MinAnswersForLatency ||
      Evidence.Others.Good < MinAnswersForLatency)
    return false;
  return meanFirstByteMs(Evidence.Target) >
         SlowdownFactor * meanFirstByteMs(Evidence.Others);
}

} // namespace

bool isTargetBad(const RolloutEvidence &Evidence) {
  if (Evidence.Tripped)
    return true;
  if (isSlow(Evidence))
    return true;
  if (Evidence.Target.Bad < MinBadAnswers)
    return false;
  double MaxFailureRate =
      FailureRateFactor * failureRate(Evidence.Others) + FailureRateMargin;
  return failureRate(Evidence.Target) > MaxFailureRate;
}

double canaryShare(const ExposureBounds &Bounds, size_t Replicas) {
  double Share = CanaryShareTimesReplicas /
                 static_cast<double>(std::max<size_t>(Replicas, 1));
  return std::min(Share, Bounds.Share * CanaryExposureFraction);
}

absl::Duration planningTime(const RolloutOrder &Order) {
  return Order.TimeLimit * PlanningFraction;
}

absl::Duration fullTrafficTime(const RolloutOrder &Order,
                               const ExposureBounds &Bounds, double Canary,
                               const RolloutTraffic &Traffic,
                               absl::Duration Elapsed) {
  absl::Duration Earliest = Order.TimeLimit * FirstHalfFraction;
  if (Traffic.PerSecond <= 0 || Canary >= 1)
    return Earliest;
  double Remaining = std::max(0.0, absl::ToDoubleSeconds(Order.TimeLimit) -
                                       absl::ToDoubleSeconds(Elapsed));
  double ExpectedTotal =
      static_cast<double>(Traffic.Total) + Traffic.PerSecond * Remaining;
  double Allowed =
      PlannedExposureFraction *
      (Bounds.Share * ExpectedTotal + static_cast<double>(Bounds.Slack));
  // Until full traffic begins, the target receives the canary share; from then
  // on it receives all.
  double CanaryOnly = static_cast<double>(Traffic.Target) +
                      Canary * Traffic.PerSecond * Remaining;
  double FullSeconds =
      (Allowed - CanaryOnly) / (Traffic.PerSecond * (1 - Canary));
  FullSeconds = std::min(std::max(FullSeconds, 0.0), Remaining);
  return std::max(Earliest, Order.TimeLimit - absl::Seconds(FullSeconds));
}

RolloutStep nextRolloutStep(const RolloutOrder &Order,
                            const RolloutSchedule &Schedule,
                            const RolloutEvidence &Evidence,
                            absl::Duration Elapsed) {
  if (isTargetBad(Evidence))
    return {0, RolloutState::Reverted};
  if (Elapsed < Schedule.FullTrafficAt || Evidence.Target.Good < MinGoodAnswers)
    return {Schedule.Canary, RolloutState::InProgress};
  absl::Duration CompleteAt =
      std::max(Order.TimeLimit - CompletionLead,
               Schedule.FullTrafficAt + MinFullTrafficTime);
  if (Elapsed < CompleteAt)
    return {1, RolloutState::InProgress};
  return {1, RolloutState::Complete};
}

} // namespace berylramp
