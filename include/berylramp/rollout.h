//===- rollout.h - Roll-out steps and health checks -------------*- C++ -*-===//
//
// Computes the share of traffic that a new version of a service receives and
// when the roll-out ends. The functions are pure, so that all hosts derive the
// same step from the same evidence and elapsed time.
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

/// An operator's order to move a service to another version.
struct RolloutOrder {
  ServiceId Service;
  VersionId Target;
  /// Maximum duration of the roll-out.
  absl::Duration TimeLimit = absl::Seconds(30);
};

/// Counts of successful and failed answers of one version.
struct AnswerTally {
  int64_t Good = 0;
  int64_t Bad = 0;
  /// Time to the first byte in milliseconds, summed over good answers.
  int64_t FirstByteMs = 0;

  int64_t total() const { return this->Good + this->Bad; }
  AnswerTally &operator+=(const AnswerTally &Other) {
    this->Good += Other.Good;
    this->Bad += Other.Bad;
    this->FirstByteMs += Other.FirstByteMs;
    return *this;
  }
};

/// Answer counts of a roll-out, summed over all hosts.
struct RolloutEvidence {
  AnswerTally Target;
  AnswerTally Others;
  /// True when any host has found that the target is bad.
  bool Tripped = false;
};

/// Operator-defined bounds on the requests that a bad version may receive.
struct ExposureBounds {
  /// Maximum share of the service's requests, 0 to 1.
  double Share = 0.1;
  int64_t Slack = 10;
};

/// The current step of a roll-out.
struct RolloutStep {
  /// Share of sessions, 0 to 1, that are routed to the target.
  double Share = 0;
  /// The state to record once the share applies to all requests.
  RolloutState State = RolloutState::InProgress;
};

/// True when \p Evidence shows that the target's failure rate or latency
/// exceeds that of the other versions by more than the tolerance.
bool isTargetBad(const RolloutEvidence &Evidence);

/// The share of sessions, 0 to 1, that the canary step routes to the target,
/// for a service with \p Replicas replicas of other versions.
double canaryShare(const ExposureBounds &Bounds, size_t Replicas);

/// The step of a roll-out that started \p Elapsed ago and whose canary share is
/// \p Canary.
RolloutStep nextRolloutStep(const RolloutOrder &Order, double Canary,
                            const RolloutEvidence &Evidence,
                            absl::Duration Elapsed);

} // namespace berylramp

#endif // BERYLRAMP_ROLLOUT_H
