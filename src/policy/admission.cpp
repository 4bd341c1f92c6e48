//===- admission.cpp - Limits, clamping and retries -----------------------===//
//
// A bucket holds at most a quarter of a second of its rate. Otherwise an idle
// host would accumulate a burst that exceeds the fleet-wide limit when demand
// shifts to that host.
//
//===----------------------------------------------------------------------===//

#include "berylramp/policy.h"

#include <algorithm>

namespace berylramp {

namespace {

constexpr absl::Duration MinRetryAfter = absl::Milliseconds(50);
constexpr absl::Duration MaxRetryAfter = absl::Seconds(30);

void refill(double &Allowance, double Rate, absl::Duration Elapsed) {
  double Capacity = std::max(1.0, Rate * BucketCapacitySeconds);
  Allowance =
      std::min(Capacity, Allowance + Rate * absl::ToDoubleSeconds(Elapsed));
}

absl::Duration timeToRefill(double Deficit, double Rate) {
  if (Rate <= 0)
    return MaxRetryAfter;
  return std::clamp(absl::Seconds(Deficit / Rate), MinRetryAfter,
                    MaxRetryAfter);
}

} // namespace

LimitDecision consumeLimit(LimitBucket &Bucket, const LimitRow &Row,
                           double Share, Tokens AnswerLength, Instant Now) {
  double RequestRate = Row.RequestsPerSecond * Share;
  double TokenRate = Row.TokensPerSecond * Share;
  if (!Bucket.IsInitialized) {
    Bucket = LimitBucket{std::max(1.0, RequestRate * BucketCapacitySeconds),
                         TokenRate * BucketCapacitySeconds, Now, true};
  } else {
    absl::Duration Elapsed = Now - Bucket.RefilledAt;
    refill(Bucket.Requests, RequestRate, Elapsed);
    refill(Bucket.AnswerTokens, TokenRate, Elapsed);
    Bucket.RefilledAt = Now;
  }
  if (Row.RequestsPerSecond <= 0 || Row.TokensPerSecond <= 0)
    return LimitDecision{false, MaxRetryAfter};
  if (Bucket.Requests < 1)
    return LimitDecision{false, timeToRefill(1 - Bucket.Requests, RequestRate)};
  // The token allowance may become negative. Otherwise an answer longer than
  // the bucket's capacity could never start.
  if (Bucket.AnswerTokens < 0)
    return LimitDecision{false, timeToRefill(-Bucket.AnswerTokens, TokenRate)};
  Bucket.Requests -= 1;
  Bucket.AnswerTokens -= static_cast<double>(AnswerLength.count());
  return LimitDecision{};
}

ClampedRequest clampRequest(const RequestKindRow &Kind, Tokens RequestedTokens,
                            int RequestedPriority) {
  ClampedRequest Result;
  bool IsLengthRequested = RequestedTokens.count() > 0;
  Result.LengthClamped = IsLengthRequested && RequestedTokens > Kind.MaxAnswer;
  Result.MaxTokens = IsLengthRequested && !Result.LengthClamped
                         ? RequestedTokens
                         : Kind.MaxAnswer;
  Result.PriorityClamped = RequestedPriority > Kind.PriorityCeiling;
  Result.Priority = std::min(RequestedPriority, Kind.PriorityCeiling);
  return Result;
}

void creditRetry(RetryBudget &Budget) {
  Budget.Allowance = std::min(MaxRetryAllowance, Budget.Allowance + RetryShare);
}

bool consumeRetry(RetryBudget &Budget) {
  if (Budget.Allowance < 1)
    return false;
  Budget.Allowance -= 1;
  return true;
}

AttemptAction nextAttemptAction(const AttemptOutcome &Outcome) {
  if (Outcome.Fault == UpstreamFault::None)
    return AttemptAction::Finish;
  if (Outcome.Fault == UpstreamFault::CallerDisconnected)
    return AttemptAction::Abandon;
  if (Outcome.Attempts >= MaxAttempts ||
      Outcome.TimeLeft <= absl::ZeroDuration())
    return AttemptAction::Abandon;
  // No bytes were sent, so that even a non-idempotent request can be retried.
  if (Outcome.Fault == UpstreamFault::ConnectFailed)
    return Outcome.Delivered.count() > 0 ? AttemptAction::Resume
                                         : AttemptAction::Retry;
  if (!Outcome.Idempotent)
    return AttemptAction::Abandon;
  return Outcome.Delivered.count() > 0 ? AttemptAction::Resume
                                       : AttemptAction::Retry;
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
