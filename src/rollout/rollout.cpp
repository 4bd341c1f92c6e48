//===- rollout.cpp - Roll-out steps and health checks ---------------------===//
//
// In the first half of the time limit the target receives a small constant
// share, so that no session changes its version. A target that is still good
// then receives all new requests, and the roll-out completes after the streams
// of the old version have ended.
//
//===----------------------------------------------------------------------===//

#include "berylramp/rollout.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Maximum fraction of the allowed share that the canary step uses. The
/// remainder covers requests that a failing target receives before the failure
/// is detected.
constexpr double CanaryExposureFraction = 0.6;
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
/// Fractions of the order's time limit at which the target receives all
/// requests and at which the roll-out is recorded as complete.
constexpr double FullTrafficFraction = 0.52;
constexpr double CompletionFraction = 0.86;

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

RolloutStep nextRolloutStep(const RolloutOrder &Order, double Canary,
                            const RolloutEvidence &Evidence,
                            absl::Duration Elapsed) {
  if (isTargetBad(Evidence))
    return {0, RolloutState::Reverted};
  double ElapsedFraction = absl::FDivDuration(Elapsed, Order.TimeLimit);
  if (ElapsedFraction < FullTrafficFraction ||
      Evidence.Target.Good < MinGoodAnswers)
    return {Canary, RolloutState::InProgress};
  if (ElapsedFraction < CompletionFraction)
    return {1, RolloutState::InProgress};
  return {1, RolloutState::Complete};
}

} // namespace berylramp
