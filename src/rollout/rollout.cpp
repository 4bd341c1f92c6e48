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

/// Part of the allowed share that the first half uses; the rest pays for the
/// answers that arrive between a failure and its detection.
constexpr double CanaryPart = 0.6;
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
constexpr int64_t FewestGood = 15;
/// Parts of the order's time at which the target takes half, then all of the
/// work, and at which the roll-out is recorded as complete.
constexpr double RampFrom = 0.52;
constexpr double AllFrom = 0.6;
constexpr double CompleteFrom = 0.86;
constexpr double RampShare = 0.5;

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

RolloutStep nextStep(const RolloutOrder &Order, const ExposureBounds &Bounds,
                     const RolloutEvidence &Seen, absl::Duration Elapsed) {
  if (targetIsBad(Seen))
    return {0, RolloutState::Reverted};
  double Canary = Bounds.Share * CanaryPart;
  double Part = absl::FDivDuration(Elapsed, Order.Within);
  if (Part < RampFrom || Seen.Target.Good < FewestGood)
    return {Canary, RolloutState::InProgress};
  if (Part < AllFrom)
    return {std::max(Canary, RampShare), RolloutState::InProgress};
  if (Part < CompleteFrom)
    return {1, RolloutState::InProgress};
  return {1, RolloutState::Complete};
}

} // namespace berylramp
