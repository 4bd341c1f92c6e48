//===- admission.cpp - Checks before a request is dispatched --------------===//
//
// Every refusal made here reports "ran: no", because nothing has been sent to
// an upstream yet.
//
//===----------------------------------------------------------------------===//

#include "parts.h"

#include "absl/strings/str_cat.h"

namespace berylramp::internal {

namespace {

constexpr absl::Duration CatchUpTimeout = absl::Seconds(1);
constexpr absl::Duration ShortRetryDelay = absl::Milliseconds(500);
constexpr absl::Duration LongRetryDelay = absl::Seconds(2);

std::optional<Refusal> checkTable(RouterParts &Parts, const Admission &Result) {
  if (Result.Table.State->TableRows.empty())
    return makeNotRunRefusal(RefusalKind::NoTable,
                             "this host has not loaded a table yet",
                             LongRetryDelay);
  if (Result.TableFreshness == Freshness::Isolated)
    return makeNotRunRefusal(
        RefusalKind::StaleView,
        "neither the log nor enough peers have confirmed this host's "
        "table recently",
        ShortRetryDelay);
  return std::nullopt;
}

std::optional<Refusal> checkLimit(RouterParts &Parts, const Table &Rows,
                                  const WorkspaceId &Workspace,
                                  Tokens RequestedTokens) {
  auto Found = Rows.Limits.find(Workspace);
  if (Found == Rows.Limits.end())
    return std::nullopt;
  LimitDecision Verdict = Parts.Limits.admit(
      Found->second, peerDemand(*Parts.Fleet.summary(), Workspace),
      RequestedTokens, Parts.Context.Timer.now());
  if (Verdict.Admitted)
    return std::nullopt;
  return makeNotRunRefusal(
      RefusalKind::LimitReached,
      absl::StrCat("workspace ", Workspace.text(),
                   " has reached its rate limit on this host"),
      Verdict.RetryAfter);
}

} // namespace

Refusal makeNotRunRefusal(RefusalKind Kind, std::string Detail,
                          absl::Duration RetryAfter) {
  return Refusal{Kind, ExecutionStatus::NotExecuted, std::move(Detail),
                 RetryAfter};
}

bool mayDispatch(RouterParts &Parts) {
  return Parts.Fleet.freshness() != Freshness::Isolated;
}

bool consumeRetryBudget(RouterParts &Parts) {
  MutexLock Guard(&Parts.RetryLock);
  return consumeRetry(Parts.Retries);
}

void creditRetryBudget(RouterParts &Parts) {
  MutexLock Guard(&Parts.RetryLock);
  creditRetry(Parts.Retries);
}

Admission admitRequest(RouterParts &Parts, const WorkspaceId &Workspace,
                       const RequestKindId &Kind, Tokens RequestedTokens,
                       Offset AtLeast) {
  Admission Result;
  bool IsCaughtUp = Parts.Config.waitFor(AtLeast, CatchUpTimeout);
  Result.Table = Parts.Config.view();
  Result.TableFreshness = Parts.Fleet.freshness();
  Result.Refused = checkTable(Parts, Result);
  if (Result.Refused)
    return Result;
  if (!IsCaughtUp) {
    Result.Refused = makeNotRunRefusal(
        RefusalKind::StaleView, "this host's table is older than the session's",
        ShortRetryDelay);
    return Result;
  }
  const Table &Rows = *Result.Table.State->Compiled;
  auto Found = Rows.Kinds.find(Kind);
  if (Found == Rows.Kinds.end()) {
    Result.Refused = makeNotRunRefusal(
        RefusalKind::UnknownKind,
        absl::StrCat("the table has no request kind '", Kind.text(), "'"));
    return Result;
  }
  Result.Kind = Found->second;
  Result.Refused = checkLimit(Parts, Rows, Workspace, RequestedTokens);
  return Result;
}

} // namespace berylramp::internal
