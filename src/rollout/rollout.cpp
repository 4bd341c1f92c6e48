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
#include <cmath>

namespace berylramp {

namespace {

/// Maximum fraction of the allowed share that the canary step uses. The
/// remainder is left for full traffic.
constexpr double CanaryExposureFraction = 0.2;
/// Fraction of the allowed requests that is planned for. The remainder covers
/// requests in flight and changes of the rate.
constexpr double PlannedExposureFraction = 0.85;
/// Variance of the number of requests in a short time, relative to its mean:
/// requests come in clumps.
constexpr double ArrivalDispersion = 3;
/// Product of the canary share and the number of replicas. It yields a few
/// requests per second at a load that fills half of the replicas' slots. Each
/// session that is active when the roll-out starts may change its version with
/// this share, so that a larger value would only move more sessions.
constexpr double CanaryShareTimesReplicas = 0.5;
/// Minimum number of bad answers before a version is evaluated. Fewer can be
/// noise from single replicas.
constexpr int64_t MinBadAnswers = 4;
/// A version is tolerated whose rate of bad answers on a route is that of the
/// other versions times this factor plus this margin.
constexpr double BadRateFactor = 1.5;
constexpr double BadRateMargin = 0.03;
/// Standard deviations by which the number of bad answers must exceed the
/// tolerated one, for all routes together and for one of several strata.
constexpr double DeviationsOfAll = 2.5;
constexpr double DeviationsOfStratum = 3.0;
/// The same for a target that is not bad but too doubtful to be completed.
constexpr double DoubtDeviationsOfAll = 1.0;
constexpr double DoubtDeviationsOfStratum = 2.0;
constexpr int64_t MinDoubtfulAnswers = 2;
/// An answer is slow when its first byte takes this many times as long as usual
/// and longer by this margin, below which network latency dominates.
constexpr double SlowdownFactor = 3.0;
constexpr absl::Duration SlowdownMargin = absl::Milliseconds(20);
/// The same for the mean time between events. It varies less than the time to
/// the first byte, and the few streams of a canary are faster than usual.
constexpr double StreamSlowdownFactor = 1.5;
constexpr absl::Duration StreamSlowdownMargin = absl::Milliseconds(5);
/// Number of answers that a baseline averages over.
constexpr double BaselineAnswers = 60;
constexpr double MinTimeSamples = 5;
/// Weight and bad rate of the assumption about a route without answers.
constexpr double PriorAnswers = 3;
constexpr double PriorBadRate = 0.1;
/// Minimum number of good answers before the target receives all requests.
constexpr int64_t MinGoodAnswers = 8;
/// Fraction of the order's time limit before which no session changes its
/// version, and the one from which on full traffic is planned. All hosts learn
/// of the plan in between.
constexpr double FirstHalfFraction = 0.52;
constexpr double PlanningFraction = 0.4;
/// Time before the time limit at which the roll-out is recorded as complete, if
/// the minimum time of full traffic has passed.
constexpr absl::Duration CompletionLead = absl::Milliseconds(600);
constexpr absl::Duration MinFullTrafficTime = absl::Milliseconds(500);

double toleratedBadRate(const RouteBaseline &Usual, AnswerFault Fault) {
  double Bad =
      Fault == AnswerFault::Failure ? Usual.FailedAnswers : Usual.SlowAnswers;
  double Rate =
      (Bad + PriorBadRate * PriorAnswers) / (Usual.Answers + PriorAnswers);
  return std::min(1.0, BadRateFactor * Rate + BadRateMargin);
}

void addLogSample(double &Mean, double &Samples, absl::Duration Time) {
  Samples = std::min(Samples + 1, BaselineAnswers);
  double Sample = std::log(std::max(1.0, absl::ToDoubleMilliseconds(Time)));
  Mean += (Sample - Mean) / Samples;
}

int64_t toMilli(double Value) {
  return static_cast<int64_t>(std::lround(Value * 1000));
}

/// The number of bad answers that a tolerated version exceeds rarely.
double maxBadAnswers(const AnswerTally &Tally, double Deviations) {
  double Tolerated = static_cast<double>(Tally.ToleratedMilli) / 1000;
  double Variance = static_cast<double>(Tally.VarianceMilli) / 1000;
  return Tolerated + Deviations * std::sqrt(Variance);
}

bool exceedsTolerance(const AnswerTally &Tally, double Deviations) {
  return Tally.Bad >= MinBadAnswers &&
         static_cast<double>(Tally.Bad) > maxBadAnswers(Tally, Deviations) + 1;
}

bool isDoubtful(const AnswerTally &Tally, double Deviations) {
  return Tally.Bad >= MinDoubtfulAnswers &&
         static_cast<double>(Tally.Bad) > maxBadAnswers(Tally, Deviations);
}

} // namespace

AnswerTally &AnswerTally::operator+=(const AnswerTally &Other) {
  this->Count += Other.Count;
  this->Bad += Other.Bad;
  this->ToleratedMilli += Other.ToleratedMilli;
  this->VarianceMilli += Other.VarianceMilli;
  return *this;
}

size_t stratumOf(const std::string &Route, AnswerFault Fault) {
  size_t Group = stableHash(Route) % RouteGroups;
  return Fault == AnswerFault::Failure ? Group : RouteGroups + Group;
}

AnswerTally sumOf(const StratifiedTally &Strata, AnswerFault Fault) {
  size_t First = Fault == AnswerFault::Failure ? 0 : RouteGroups;
  AnswerTally Sum;
  for (size_t Group = 0; Group < RouteGroups; ++Group)
    Sum += Strata[First + Group];
  return Sum;
}

AnswerTally sumOf(const StratifiedTally &Strata) {
  AnswerTally Sum = sumOf(Strata, AnswerFault::Failure);
  Sum.Bad += sumOf(Strata, AnswerFault::Slow).Bad;
  return Sum;
}

namespace {

bool exceedsTolerance(const StratifiedTally &Strata) {
  for (AnswerFault Fault : {AnswerFault::Failure, AnswerFault::Slow})
    if (exceedsTolerance(sumOf(Strata, Fault), DeviationsOfAll))
      return true;
  return std::any_of(Strata.begin(), Strata.end(),
                     [](const AnswerTally &Stratum) {
                       return exceedsTolerance(Stratum, DeviationsOfStratum);
                     });
}

bool isDoubtful(const StratifiedTally &Strata) {
  return isDoubtful(sumOf(Strata, AnswerFault::Failure),
                    DoubtDeviationsOfAll) ||
         isDoubtful(sumOf(Strata, AnswerFault::Slow), DoubtDeviationsOfAll) ||
         std::any_of(Strata.begin(), Strata.end(),
                     [](const AnswerTally &Stratum) {
                       return isDoubtful(Stratum, DoubtDeviationsOfStratum);
                     });
}

} // namespace

StratifiedTally &operator+=(StratifiedTally &Sum,
                            const StratifiedTally &Other) {
  for (size_t Index = 0; Index < StratumCount; ++Index)
    Sum[Index] += Other[Index];
  return Sum;
}

void countAnswer(RouteBaseline &Usual) {
  double Kept = 1 - 1 / BaselineAnswers;
  Usual.Answers = Usual.Answers * Kept + 1;
  Usual.FailedAnswers *= Kept;
  Usual.SlowAnswers *= Kept;
}

void countBadAnswer(RouteBaseline &Usual, AnswerFault Fault) {
  if (Fault == AnswerFault::Failure)
    Usual.FailedAnswers += 1;
  else
    Usual.SlowAnswers += 1;
}

void addFirstByte(RouteBaseline &Usual, absl::Duration Time) {
  addLogSample(Usual.LogFirstByteMs, Usual.FirstByteSamples, Time);
}

void addEventInterval(RouteBaseline &Usual, absl::Duration Time) {
  addLogSample(Usual.LogEventMs, Usual.EventSamples, Time);
}

bool isSlowFirstByte(const RouteBaseline &Usual, absl::Duration Time) {
  return Usual.FirstByteSamples >= MinTimeSamples &&
         Time > absl::Milliseconds(std::exp(Usual.LogFirstByteMs)) *
                        SlowdownFactor +
                    SlowdownMargin;
}

bool isSlowStream(const RouteBaseline &Usual, absl::Duration EventInterval) {
  return Usual.EventSamples >= MinTimeSamples &&
         EventInterval > absl::Milliseconds(std::exp(Usual.LogEventMs)) *
                                 StreamSlowdownFactor +
                             StreamSlowdownMargin;
}

// The tolerance of each answer depends on its route alone, so that a different
// mix of routes does not make a version look better or worse.
void countTargetAnswer(AnswerTally &Tally, const RouteBaseline &Usual,
                       AnswerFault Fault) {
  double Rate = toleratedBadRate(Usual, Fault);
  Tally.Count += 1;
  Tally.ToleratedMilli += toMilli(Rate);
  Tally.VarianceMilli += toMilli(Rate * (1 - Rate));
}

StratifiedTally increase(const StratifiedTally &Before,
                         const StratifiedTally &Now) {
  auto Difference = [](int64_t From, int64_t To) {
    return std::max<int64_t>(0, To - From);
  };
  StratifiedTally Result;
  for (size_t Index = 0; Index < StratumCount; ++Index) {
    const AnswerTally &From = Before[Index];
    const AnswerTally &To = Now[Index];
    Result[Index] = {Difference(From.Count, To.Count),
                     Difference(From.Bad, To.Bad),
                     Difference(From.ToleratedMilli, To.ToleratedMilli),
                     Difference(From.VarianceMilli, To.VarianceMilli)};
  }
  return Result;
}

// Good answers of the past do not make up for a fault that has begun since, and
// a rare fault shows only in the sum since the order.
bool isTargetBad(const RolloutEvidence &Evidence) {
  return Evidence.Tripped || exceedsTolerance(Evidence.Target) ||
         exceedsTolerance(Evidence.Recent);
}

bool isTargetDoubtful(const RolloutEvidence &Evidence) {
  return isDoubtful(Evidence.Target) || isDoubtful(Evidence.Recent);
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
  double Bound =
      Bounds.Share * ExpectedTotal + static_cast<double>(Bounds.Slack);
  double Allowed =
      PlannedExposureFraction * Bound - std::sqrt(ArrivalDispersion * Bound);
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
  AnswerTally Target = sumOf(Evidence.Target);
  if (Elapsed < Schedule.FullTrafficAt ||
      Target.Count - Target.Bad < MinGoodAnswers)
    return {Schedule.Canary, RolloutState::InProgress};
  absl::Duration CompleteAt =
      std::max(Order.TimeLimit - CompletionLead,
               Schedule.FullTrafficAt + MinFullTrafficTime);
  // The old version is gone once the roll-out is complete, so a doubtful target
  // keeps all requests until it is found bad or good.
  if (Elapsed < CompleteAt || isTargetDoubtful(Evidence))
    return {1, RolloutState::InProgress};
  return {1, RolloutState::Complete};
}

} // namespace berylramp
