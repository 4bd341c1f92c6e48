//===- refusal.cpp - Typed refusals and retry reasons ---------------------===//
//
// Each kind has one row with its name, status and remedy, so that no kind can
// be added without all three.
//
//===----------------------------------------------------------------------===//

#include "berylramp/refusal.h"

#include <array>

namespace berylramp {

namespace {

struct RefusalRow {
  RefusalKind Kind;
  const char *Name;
  int Status;
  const char *Remedy;
};

constexpr std::array<RefusalRow, RefusalKindCount> RefusalRows = {{
    {RefusalKind::BadBody, "bad_body", 400,
     "correct the request body; the message describes the error"},
    {RefusalKind::BodyTooLong, "body_too_long", 413,
     "send a shorter body; the limit is the setting max_body_bytes"},
    {RefusalKind::BadKey, "bad_key", 401,
     "send the workspace's key as 'Authorization: Bearer KEY'"},
    {RefusalKind::UnknownKind, "unknown_kind", 400,
     "set X-Request-Kind to a request kind of the operators' table"},
    {RefusalKind::UnknownService, "unknown_service", 404,
     "use the service given in the row of the request kind"},
    {RefusalKind::MissingIdempotencyKey, "missing_idempotency_key", 400,
     "send a new UUIDv7 as Idempotency-Key; reuse it on every retry"},
    {RefusalKind::KeyTooOld, "key_too_old", 409,
     "check the outcome of the original request; issue a new key only if it "
     "was not executed"},
    {RefusalKind::KeyReused, "key_reused", 422,
     "an idempotency key identifies one body: resend the original body or "
     "use a new key"},
    {RefusalKind::AlreadyRunning, "already_running", 409,
     "another attempt with this key is in progress: retry later with the "
     "same key"},
    {RefusalKind::InDoubt, "in_doubt", 409,
     "the request may have been executed: ask an operator to resolve it; do "
     "not issue a new key"},
    {RefusalKind::BadSession, "bad_session", 400,
     "discard the session token and start a new session"},
    {RefusalKind::NoVersionAllowed, "no_version_allowed", 403,
     "ask the operator to add an allow row or to provide a serving version"},
    {RefusalKind::NoReplica, "no_replica", 503,
     "retry after the stated time; operators: add replicas of the version"},
    {RefusalKind::LimitReached, "limit_reached", 429,
     "retry after the stated time; operators: raise limit/WORKSPACE"},
    {RefusalKind::Overloaded, "overloaded", 503,
     "retry after the stated time, at another entry address"},
    {RefusalKind::StaleView, "stale_view", 503,
     "retry at another entry address; this host has no recent view of the "
     "fleet"},
    {RefusalKind::NoTable, "no_table", 503,
     "operators: publish a table, or restore access to the log or a peer"},
    {RefusalKind::LogUnavailable, "log_unavailable", 503,
     "retry with the same key when the platform's log is available"},
    {RefusalKind::BillBufferFull, "bill_buffer_full", 503,
     "retry at another entry address; operators: restore the log, which has "
     "not accepted bills for an extended time"},
    {RefusalKind::UpstreamFailed, "upstream_failed", 502,
     "retry after the stated time if the request may be repeated"},
    {RefusalKind::AnswerCut, "answer_cut", 502,
     "the answer is incomplete: discard it and repeat the request"},
    {RefusalKind::DeadlinePassed, "deadline_passed", 504,
     "repeat the request; operators: check the kind's deadline_ms"},
    {RefusalKind::InputQuarantined, "input_quarantined", 503,
     "change the request: replicas ended under it or a segment of its prompt; "
     "operators: see the event input_quarantined"},
    {RefusalKind::NoAllowedRegion, "no_allowed_region", 503,
     "retry after the stated time; operators: add replicas in a region that "
     "the route and the workspace both allow, or end an evacuation there"},
    {RefusalKind::Internal, "internal", 500,
     "report the request id to the operators"},
}};

constexpr std::array<const char *, RetryReasonCount> RetryReasonNames = {
    {"connect_failed", "upstream_refused", "cut_before_first_byte",
     "cut_mid_stream", "crossed_answer", "late_answer"}};

const RefusalRow &rowOf(RefusalKind Kind) {
  return RefusalRows[static_cast<size_t>(Kind)];
}

} // namespace

const char *refusalName(RefusalKind Kind) { return rowOf(Kind).Name; }
const char *refusalRemedy(RefusalKind Kind) { return rowOf(Kind).Remedy; }
int refusalStatus(RefusalKind Kind) { return rowOf(Kind).Status; }

const char *retryReasonName(RetryReason Reason) {
  return RetryReasonNames[static_cast<size_t>(Reason)];
}

Json::Value refusalToJson(const Refusal &Refused, const std::string &Request) {
  Json::Value Error;
  Error["type"] = refusalName(Refused.Kind);
  Error["message"] = Refused.Detail;
  Error["remedy"] = refusalRemedy(Refused.Kind);
  Error["ran"] =
      Refused.Execution == ExecutionStatus::NotExecuted ? "no" : "unknown";
  Error["request_id"] = Request;
  if (Refused.RetryAfter > absl::ZeroDuration())
    Error["retry_after_ms"] =
        Json::Int64(absl::ToInt64Milliseconds(Refused.RetryAfter));
  Json::Value Body;
  Body["error"] = Error;
  return Body;
}

} // namespace berylramp
