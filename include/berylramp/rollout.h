//===- rollout.h - Steps and judgement of a roll-out ------------*- C++ -*-===//
//
// Decides how much traffic a new version of a service gets and when the
// roll-out ends. Pure: evidence and elapsed time go in, a step comes out, so
// that every host reaches the same step from the same evidence.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_ROLLOUT_H
#define BERYLRAMP_ROLLOUT_H

#include "absl/time/time.h"
#include "berylramp/units.h"
#include <cstddef>
#include <cstdint>

namespace berylramp {

enum class RolloutState { InProgress, Complete, Reverted };

/// The operators' order to move a service to another version.
struct RolloutOrder {
  ServiceId Service;
  VersionId Target;
  /// The time within which the roll-out should end.
  absl::Duration Within = absl::Seconds(30);
};

/// How many answers of one version were seen and how many of them were bad.
struct AnswerTally {
  int64_t Good = 0;
  int64_t Bad = 0;
  /// Milliseconds to the first byte, summed over good answers.
  int64_t FirstByteMs = 0;

  int64_t total() const { return this->Good + this->Bad; }
  AnswerTally &operator+=(const AnswerTally &Other) {
    this->Good += Other.Good;
    this->Bad += Other.Bad;
    this->FirstByteMs += Other.FirstByteMs;
    return *this;
  }
};

/// What all hosts together have seen of a roll-out.
struct RolloutEvidence {
  AnswerTally Target;
  AnswerTally Others;
  /// A host has found the target bad.
  bool Tripped = false;
};

/// The bounds that the operators set on a bad version's traffic.
struct ExposureBounds {
  /// Share of the service's requests, 0 to 1.
  double Share = 0.1;
  int64_t Slack = 10;
};

/// What to do now.
struct RolloutStep {
  /// Share of sessions, 0 to 1, that go to the target.
  double Share = 0;
  /// The state to record once it is reached by all requests.
  RolloutState State = RolloutState::InProgress;
};

/// True when \p Seen shows that the target fails or is slow beyond what the
/// other versions do.
bool targetIsBad(const RolloutEvidence &Seen);

/// The share of sessions that try the target first, for a service with
/// \p Replicas replicas of other versions.
double canaryShare(const ExposureBounds &Bounds, size_t Replicas);

/// The step of a roll-out that began \p Elapsed ago and whose first sessions
/// are \p Canary of all.
RolloutStep nextStep(const RolloutOrder &Order, double Canary,
                     const RolloutEvidence &Seen, absl::Duration Elapsed);

} // namespace berylramp

#endif // BERYLRAMP_ROLLOUT_H
