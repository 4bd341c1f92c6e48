//===- rollout.cpp - Steps and judgement of a roll-out --------------------===//
//
// In the first half of the time the target keeps a constant small share, so
// that no session changes its version. A target that is still good then takes
// all new work, and the roll-out ends when the old version's streams have run
// out.
//
//===----------------------------------------------------------------------===//

#include "berylramp/rollout.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Part of the allowed share that the first half uses at most; the rest pays
/// for the answers that arrive between a failure and its detection.
constexpr double CanaryPart = 0.6;
/// Canary share times replicas: a few requests a second at the load that fills
/// half of the replicas' slots. Every session that is under way when the
/// roll-out begins may change its version with this share, so that more would
/// only move more sessions.
constexpr double CanaryReplicas = 0.5;
/// Bad answers before a version is judged: fewer are noise of single replicas.
constexpr int64_t FewestBad = 4;
/// A target is bad when its failing share exceeds the others' by this factor
/// plus this margin.
constexpr double WorseFactor = 2.0;
constexpr double WorseMargin = 0.07;
/// A target is slow when its mean first byte takes this many times as long.
constexpr double SlowFactor = 3.0;
constexpr int64_t FewestForSpeed = 12;
/// Good answers of the target before it may take all work.
constexpr int64_t FewestGood = 8;
/// Parts of the order's time at which the target takes all of the work, and at
/// which the roll-out is recorded as complete.
constexpr double AllFrom = 0.52;
constexpr double CompleteFrom = 0.86;

double failingShare(const AnswerTally &Tally) {
  if (Tally.total() == 0)
    return 0;
  return static_cast<double>(Tally.Bad) / static_cast<double>(Tally.total());
}

double meanFirstByte(const AnswerTally &Tally) {
  return static_cast<double>(Tally.FirstByteMs) /
         static_cast<double>(std::max<int64_t>(Tally.Good, 1));
}

bool isSlow(const RolloutEvidence &Seen) {
  if (Seen.Target.Good < FewestForSpeed || Seen.Others.Good < FewestForSpeed)
    return false;
  return meanFirstByte(Seen.Target) > SlowFactor * meanFirstByte(Seen.Others);
}

} // namespace

bool targetIsBad(const RolloutEvidence &Seen) {
  if (Seen.Tripped)
    return true;
  if (isSlow(Seen))
    return true;
  if (Seen.Target.Bad < FewestBad)
    return false;
  double Tolerated = WorseFactor * failingShare(Seen.Others) + WorseMargin;
  return failingShare(Seen.Target) > Tolerated;
}

double canaryShare(const ExposureBounds &Bounds, size_t Replicas) {
  double Share =
      CanaryReplicas / static_cast<double>(std::max<size_t>(Replicas, 1));
  return std::min(Share, Bounds.Share * CanaryPart);
}

RolloutStep nextStep(const RolloutOrder &Order, double Canary,
                     const RolloutEvidence &Seen, absl::Duration Elapsed) {
  if (targetIsBad(Seen))
    return {0, RolloutState::Reverted};
  double Part = absl::FDivDuration(Elapsed, Order.Within);
  if (Part < AllFrom || Seen.Target.Good < FewestGood)
    return {Canary, RolloutState::InProgress};
  if (Part < CompleteFrom)
    return {1, RolloutState::InProgress};
  return {1, RolloutState::Complete};
}

} // namespace berylramp
