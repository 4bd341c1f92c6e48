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
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace berylramp {

enum class RolloutState { InProgress, Complete, Reverted };

/// An operator's order to move a service to another version.
struct RolloutOrder {
  ServiceId Service;
  VersionId Target;
  /// Maximum duration of the roll-out.
  absl::Duration TimeLimit = absl::Seconds(30);
};

/// What makes an answer bad. Both are judged apart: slow answers are common
/// under load, and would hide failures.
enum class AnswerFault { Failure, Slow };

/// Answers of one version. An answer is counted once, and is bad if it failed
/// or was much slower than usual for its route.
struct AnswerTally {
  int64_t Count = 0;
  int64_t Bad = 0;
  /// Expected number of bad answers of a version that is tolerated, and the
  /// variance of that number, in thousandths.
  int64_t ToleratedMilli = 0;
  int64_t VarianceMilli = 0;

  AnswerTally &operator+=(const AnswerTally &Other);
};

/// Routes are divided into this many groups by a hash of their names, so that
/// the size of a report does not depend on the number of routes. Each has one
/// stratum for failures, and another one for slow answers behind those.
inline constexpr size_t RouteGroups = 8;
inline constexpr size_t StratumCount = 2 * RouteGroups;
using StratifiedTally = std::array<AnswerTally, StratumCount>;

size_t stratumOf(const std::string &Route, AnswerFault Fault);
AnswerTally sumOf(const StratifiedTally &Strata, AnswerFault Fault);
/// All answers, with the bad ones of either kind and the tolerance of failures.
AnswerTally sumOf(const StratifiedTally &Strata);
StratifiedTally &operator+=(StratifiedTally &Sum, const StratifiedTally &Other);
/// The increase from \p Before to \p Now. Counts that fell, because the reports
/// of a host are missing, have none.
StratifiedTally increase(const StratifiedTally &Before,
                         const StratifiedTally &Now);

/// Usual answers of a route, as a moving average over the versions that are not
/// being rolled out. Holds before an order too.
struct RouteBaseline {
  /// Answers with decaying weights.
  double Answers = 0;
  double FailedAnswers = 0;
  double SlowAnswers = 0;
  /// Mean logarithm of the time to the first byte in milliseconds.
  double LogFirstByteMs = 0;
  double FirstByteSamples = 0;
  /// The same for the time between two events of a stream.
  double LogEventMs = 0;
  double EventSamples = 0;
};

void countAnswer(RouteBaseline &Usual);
void countBadAnswer(RouteBaseline &Usual,
                    AnswerFault Fault = AnswerFault::Failure);
void addFirstByte(RouteBaseline &Usual, absl::Duration Time);
/// Adds the mean time between the events of a stream.
void addEventInterval(RouteBaseline &Usual, absl::Duration Time);
bool isSlowStream(const RouteBaseline &Usual, absl::Duration EventInterval);
bool isSlowFirstByte(const RouteBaseline &Usual, absl::Duration Time);
/// Counts an answer of the target of a roll-out on a route.
void countTargetAnswer(AnswerTally &Tally, const RouteBaseline &Usual,
                       AnswerFault Fault = AnswerFault::Failure);

/// Answer counts of a roll-out, summed over all hosts.
struct RolloutEvidence {
  /// Since the order.
  StratifiedTally Target;
  /// In the last seconds.
  StratifiedTally Recent;
  AnswerTally Others;
  /// True when any host has found that the target is bad.
  bool Tripped = false;
  /// The latest time of full traffic that a host planned, since the order; zero
  /// when none did.
  absl::Duration FullTrafficAt = absl::ZeroDuration();
};

/// The requests that a roll-out's service received since the order.
struct RolloutTraffic {
  int64_t Target = 0;
  int64_t Total = 0;
  /// Current rate of all requests.
  double PerSecond = 0;
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

/// True when the target has more bad answers than is tolerated, since the order
/// or recently, on all routes together or in one stratum.
bool isTargetBad(const RolloutEvidence &Evidence);

/// True when the target may be bad: more evidence is needed before the roll-out
/// can be completed.
bool isTargetDoubtful(const RolloutEvidence &Evidence);

/// The share of sessions, 0 to 1, that the canary step routes to the target,
/// for a service with \p Replicas replicas of other versions.
double canaryShare(const ExposureBounds &Bounds, size_t Replicas);

/// When the target may receive all requests, as a time since the order: from
/// then until the order's time limit, all requests fit into what \p Bounds
/// allow the target, with a margin. \p Elapsed is the time since the order.
absl::Duration fullTrafficTime(const RolloutOrder &Order,
                               const ExposureBounds &Bounds, double Canary,
                               const RolloutTraffic &Traffic,
                               absl::Duration Elapsed);

/// The times of a roll-out, since the order.
struct RolloutSchedule {
  /// Share of sessions, 0 to 1, that the target receives at first.
  double Canary = 0;
  /// When the target receives all requests; infinite until it is planned.
  absl::Duration FullTrafficAt = absl::InfiniteDuration();
};

/// Time since the order from which on full traffic is planned.
absl::Duration planningTime(const RolloutOrder &Order);

/// The step of a roll-out that started \p Elapsed ago.
RolloutStep nextRolloutStep(const RolloutOrder &Order,
                            const RolloutSchedule &Schedule,
                            const RolloutEvidence &Evidence,
                            absl::Duration Elapsed);

} // namespace berylramp

#endif // BERYLRAMP_ROLLOUT_H
