//===- refusal.h - Typed refusals and retry reasons -------------*- C++ -*-===//
//
// A refusal tells the caller what was wrong, what to do about it, when to come
// back, and whether any of its work was, or ever will be, run.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_REFUSAL_H
#define BERYLRAMP_REFUSAL_H

#include "absl/time/time.h"
#include <json/value.h>
#include <string>
#include <vector>

namespace berylramp {

/// Why a request was not answered. Each kind has a counter and a remedy.
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
  Internal
};
inline constexpr int RefusalKindCount =
    static_cast<int>(RefusalKind::Internal) + 1;

/// Whether the refused request was run. No is a promise; Unknown is not.
enum class Ran { No, Unknown };

/// Why an attempt was followed by another one.
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

/// One refusal as a caller sees it.
struct Refusal {
  RefusalKind Kind = RefusalKind::Internal;
  Ran DidRun = Ran::Unknown;
  std::string Detail;
  /// When to come back; zero when repeating the call cannot help.
  absl::Duration RetryAfter = absl::ZeroDuration();
};

/// The stable name of a kind, as in counters and error bodies.
const char *refusalName(RefusalKind Kind);
/// What the caller or operator can do about a refusal of this kind.
const char *refusalRemedy(RefusalKind Kind);
/// The HTTP status that carries a refusal of this kind.
int refusalStatus(RefusalKind Kind);
const char *retryReasonName(RetryReason Reason);

/// The error body of the caller's API.
Json::Value refusalToJson(const Refusal &Refused, const std::string &Request);

} // namespace berylramp

#endif // BERYLRAMP_REFUSAL_H
