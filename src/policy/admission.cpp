//===- admission.cpp - Limits, clamps and the next attempt ----------------===//
//
// Buckets hold a quarter of a second only: a host that was idle must not save
// up a burst that breaks the fleet-wide limit when demand jumps to it.
//
//===----------------------------------------------------------------------===//

#include "berylramp/policy.h"

#include <algorithm>

namespace berylramp {

namespace {

constexpr absl::Duration ShortestRetryAfter = absl::Milliseconds(50);
constexpr absl::Duration LongestRetryAfter = absl::Seconds(30);

void refill(double &Allowance, double Rate, absl::Duration Passed) {
  double Most = std::max(1.0, Rate * BucketSeconds);
  Allowance = std::min(Most, Allowance + Rate * absl::ToDoubleSeconds(Passed));
}

absl::Duration timeToRefill(double Missing, double Rate) {
  if (Rate <= 0)
    return LongestRetryAfter;
  return std::clamp(absl::Seconds(Missing / Rate), ShortestRetryAfter,
                    LongestRetryAfter);
}

} // namespace

LimitVerdict takeFromLimit(LimitBucket &Bucket, const LimitRow &Row,
                           double Share, Tokens Wanted, Instant Now) {
  double RequestRate = Row.RequestsPerSecond * Share;
  double TokenRate = Row.TokensPerSecond * Share;
  if (!Bucket.Started) {
    Bucket = LimitBucket{std::max(1.0, RequestRate * BucketSeconds),
                         TokenRate * BucketSeconds, Now, true};
  } else {
    absl::Duration Passed = Now - Bucket.FilledAt;
    refill(Bucket.Requests, RequestRate, Passed);
    refill(Bucket.AnswerTokens, TokenRate, Passed);
    Bucket.FilledAt = Now;
  }
  if (Row.RequestsPerSecond <= 0 || Row.TokensPerSecond <= 0)
    return LimitVerdict{false, LongestRetryAfter};
  if (Bucket.Requests < 1)
    return LimitVerdict{false, timeToRefill(1 - Bucket.Requests, RequestRate)};
  // Tokens go into debt, or a long answer could never start.
  if (Bucket.AnswerTokens < 0)
    return LimitVerdict{false, timeToRefill(-Bucket.AnswerTokens, TokenRate)};
  Bucket.Requests -= 1;
  Bucket.AnswerTokens -= static_cast<double>(Wanted.count());
  return LimitVerdict{};
}

Clamped clampRequest(const RequestKindRow &Kind, Tokens WantedTokens,
                     int WantedPriority) {
  Clamped Out;
  bool Asked = WantedTokens.count() > 0;
  Out.LengthClamped = Asked && WantedTokens > Kind.MaxAnswer;
  Out.MaxTokens = Asked && !Out.LengthClamped ? WantedTokens : Kind.MaxAnswer;
  Out.PriorityClamped = WantedPriority > Kind.PriorityCeiling;
  Out.Priority = std::min(WantedPriority, Kind.PriorityCeiling);
  return Out;
}

void creditRequest(RetryBudget &Budget) {
  Budget.Allowance = std::min(MostRetriesSaved, Budget.Allowance + RetryShare);
}

bool takeRetry(RetryBudget &Budget) {
  if (Budget.Allowance < 1)
    return false;
  Budget.Allowance -= 1;
  return true;
}

NextStep nextStep(const AttemptOutcome &Outcome) {
  if (Outcome.Fault == UpstreamFault::None)
    return NextStep::Finish;
  if (Outcome.Fault == UpstreamFault::CallerDisconnected)
    return NextStep::GiveUp;
  if (Outcome.Attempts >= MaxAttempts ||
      Outcome.TimeLeft <= absl::ZeroDuration())
    return NextStep::GiveUp;
  // Nothing was sent, so not even an order that may run once was run.
  if (Outcome.Fault == UpstreamFault::ConnectFailed)
    return Outcome.Delivered.count() > 0 ? NextStep::Resume : NextStep::Retry;
  if (!Outcome.Idempotent)
    return NextStep::GiveUp;
  return Outcome.Delivered.count() > 0 ? NextStep::Resume : NextStep::Retry;
}

RetryReason retryReasonOf(UpstreamFault Fault, Tokens Delivered) {
  switch (Fault) {
  case UpstreamFault::ConnectFailed:
    return RetryReason::ConnectFailed;
  case UpstreamFault::Refused:
    return RetryReason::UpstreamRefused;
  case UpstreamFault::Misdirected:
    return RetryReason::CrossedAnswer;
  case UpstreamFault::TimedOut:
    return RetryReason::LateAnswer;
  case UpstreamFault::None:
  case UpstreamFault::Interrupted:
  case UpstreamFault::CallerDisconnected:
    break;
  }
  return Delivered.count() > 0 ? RetryReason::CutMidStream
                               : RetryReason::CutBeforeFirstByte;
}

} // namespace berylramp
