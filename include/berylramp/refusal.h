//===- refusal.h - Typed refusals and retry reasons -------------*- C++ -*-===//
//
// A refusal states the cause of a failed request, its remedy, when to retry,
// and whether the request was, or may still be, executed.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_REFUSAL_H
#define BERYLRAMP_REFUSAL_H

#include "absl/time/time.h"
#include <json/value.h>
#include <string>
#include <vector>

namespace berylramp {

/// Why a request was refused. Each kind has a counter and a remedy.
enum class RefusalKind {
  BadBody,
  BodyTooLong,
  BadKey,
  UnknownKind,
  UnknownService,
  MissingIdempotencyKey,
  KeyTooOld,
  KeyReused,
  AlreadyRunning,
  InDoubt,
  BadSession,
  NoVersionAllowed,
  NoReplica,
  LimitReached,
  Overloaded,
  StaleView,
  NoTable,
  LogUnavailable,
  BillBufferFull,
  UpstreamFailed,
  AnswerCut,
  DeadlinePassed,
  InputQuarantined,
  NoAllowedRegion,
  Internal
};
inline constexpr int RefusalKindCount =
    static_cast<int>(RefusalKind::Internal) + 1;

/// Whether the refused request was executed. NotExecuted is a guarantee that it
/// was not and never will be; Unknown means that it may have been.
enum class ExecutionStatus { NotExecuted, Unknown };

/// Why a request was attempted again.
enum class RetryReason {
  ConnectFailed,
  UpstreamRefused,
  CutBeforeFirstByte,
  CutMidStream,
  CrossedAnswer,
  LateAnswer
};
inline constexpr int RetryReasonCount =
    static_cast<int>(RetryReason::LateAnswer) + 1;

/// A refusal as returned to the caller.
struct Refusal {
  RefusalKind Kind = RefusalKind::Internal;
  ExecutionStatus Execution = ExecutionStatus::Unknown;
  std::string Detail;
  /// Delay before a retry; zero when a retry cannot succeed.
  absl::Duration RetryAfter = absl::ZeroDuration();
};

/// The stable name of a kind in counters and error bodies.
const char *refusalName(RefusalKind Kind);
/// The action by which the caller or operator can resolve this kind.
const char *refusalRemedy(RefusalKind Kind);
/// The HTTP status of a response with this kind of refusal.
int refusalStatus(RefusalKind Kind);
const char *retryReasonName(RetryReason Reason);

/// The error body of the caller's API.
Json::Value refusalToJson(const Refusal &Refused, const std::string &Request);

} // namespace berylramp

#endif // BERYLRAMP_REFUSAL_H
