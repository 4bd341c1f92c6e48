//===- refusal.cpp - Typed refusals and retry reasons ---------------------===//
//
// One row a kind keeps name, status and remedy together, so that no kind can
// be added without all three.
//
//===----------------------------------------------------------------------===//

#include "berylramp/refusal.h"

#include <array>

namespace berylramp {

namespace {

struct RefusalFacts {
  RefusalKind Kind;
  const char *Name;
  int Status;
  const char *Remedy;
};

constexpr std::array<RefusalFacts, RefusalKindCount> Facts = {{
    {RefusalKind::BadBody, "bad_body", 400,
     "correct the request body; the detail names the fault"},
    {RefusalKind::BodyTooLong, "body_too_long", 413,
     "send a shorter body; the limit is the setting max_body_bytes"},
    {RefusalKind::BadKey, "bad_key", 401,
     "send the workspace's key as 'Authorization: Bearer KEY'"},
    {RefusalKind::UnknownKind, "unknown_kind", 400,
     "name a request kind of the operators' table in X-Request-Kind"},
    {RefusalKind::UnknownService, "unknown_service", 404,
     "use the service that the request kind's row names"},
    {RefusalKind::MissingIdempotencyKey, "missing_idempotency_key", 400,
     "send a fresh UUIDv7 as Idempotency-Key; reuse it on every retry"},
    {RefusalKind::KeyTooOld, "key_too_old", 409,
     "look up what became of the order; issue a new key only if it was not "
     "run"},
    {RefusalKind::KeyReused, "key_reused", 422,
     "a key stands for one body: send the first body again or a new key"},
    {RefusalKind::AlreadyRunning, "already_running", 409,
     "another attempt of this key runs: repeat the call with the same key "
     "later"},
    {RefusalKind::InDoubt, "in_doubt", 409,
     "the order may have run: ask an operator to resolve it; do not issue a "
     "new key"},
    {RefusalKind::BadSession, "bad_session", 400,
     "drop the session token and start a new session"},
    {RefusalKind::NoVersionAllowed, "no_version_allowed", 403,
     "ask the operator for an allow row, or for a serving version"},
    {RefusalKind::NoReplica, "no_replica", 503,
     "retry after the stated time; operators: add replicas of the version"},
    {RefusalKind::LimitReached, "limit_reached", 429,
     "retry after the stated time; operators: raise limit/WORKSPACE"},
    {RefusalKind::Overloaded, "overloaded", 503,
     "retry after the stated time, at another entry address"},
    {RefusalKind::StaleView, "stale_view", 503,
     "retry at another entry address; this host cannot show a recent view"},
    {RefusalKind::NoTable, "no_table", 503,
     "operators: publish a table, or bring the log or a peer within reach"},
    {RefusalKind::LogUnavailable, "log_unavailable", 503,
     "retry with the same key once the platform's log answers"},
    {RefusalKind::BillBufferFull, "bill_buffer_full", 503,
     "retry elsewhere; operators: the log has taken no bills for long"},
    {RefusalKind::UpstreamFailed, "upstream_failed", 502,
     "retry after the stated time if the request may be repeated"},
    {RefusalKind::AnswerCut, "answer_cut", 502,
     "the answer is not whole: discard it and ask again"},
    {RefusalKind::DeadlinePassed, "deadline_passed", 504,
     "ask again; operators: see the kind's deadline_ms"},
    {RefusalKind::Internal, "internal", 500,
     "report the request id to the operators"},
}};

constexpr std::array<const char *, RetryReasonCount> RetryNames = {
    {"connect_failed", "upstream_refused", "cut_before_first_byte",
     "cut_mid_stream", "crossed_answer", "late_answer"}};

const RefusalFacts &factsOf(RefusalKind Kind) {
  return Facts[static_cast<size_t>(Kind)];
}

} // namespace

const char *refusalName(RefusalKind Kind) { return factsOf(Kind).Name; }
const char *refusalRemedy(RefusalKind Kind) { return factsOf(Kind).Remedy; }
int refusalStatus(RefusalKind Kind) { return factsOf(Kind).Status; }

const char *retryReasonName(RetryReason Reason) {
  return RetryNames[static_cast<size_t>(Reason)];
}

Json::Value refusalToJson(const Refusal &Refused, const std::string &Request) {
  Json::Value Error;
  Error["type"] = refusalName(Refused.Kind);
  Error["message"] = Refused.Detail;
  Error["remedy"] = refusalRemedy(Refused.Kind);
  Error["ran"] = Refused.DidRun == Ran::No ? "no" : "unknown";
  Error["request_id"] = Request;
  if (Refused.RetryAfter > absl::ZeroDuration())
    Error["retry_after_ms"] =
        Json::Int64(absl::ToInt64Milliseconds(Refused.RetryAfter));
  Json::Value Body;
  Body["error"] = Error;
  return Body;
}

} // namespace berylramp
