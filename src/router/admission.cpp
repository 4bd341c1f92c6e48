//===- admission.cpp - What a request passes before its work starts -------===//
//
// Every refusal here is "ran: no", for nothing has been sent.
//
//===----------------------------------------------------------------------===//

#include "parts.h"

#include "absl/strings/str_cat.h"

namespace berylramp::internal {

namespace {

constexpr absl::Duration CatchUpWait = absl::Seconds(1);
constexpr absl::Duration RetrySoon = absl::Milliseconds(500);
constexpr absl::Duration RetryLater = absl::Seconds(2);

std::optional<Refusal> checkView(RouterParts &Parts, const Admission &Found) {
  if (Found.Table.State->Cells.empty())
    return notRun(RefusalKind::NoTable, "this host has no table yet",
                  RetryLater);
  if (Found.View == Freshness::Isolated)
    return notRun(RefusalKind::StaleView,
                  "neither the log nor enough peers confirm this host's table",
                  RetrySoon);
  return std::nullopt;
}

std::optional<Refusal> checkLimit(RouterParts &Parts, const Table &Rows,
                                  const WorkspaceId &Workspace,
                                  Tokens WantedTokens) {
  auto Found = Rows.Limits.find(Workspace);
  if (Found == Rows.Limits.end())
    return std::nullopt;
  LimitDecision Verdict = Parts.Limits.take(
      Found->second, othersDemand(*Parts.Fleet.summary(), Workspace),
      WantedTokens, Parts.Context.Timer.now());
  if (Verdict.Admitted)
    return std::nullopt;
  return notRun(RefusalKind::LimitReached,
                absl::StrCat("workspace ", Workspace.text(),
                             " is at its limit on this host"),
                Verdict.RetryAfter);
}

} // namespace

Refusal notRun(RefusalKind Kind, std::string Detail,
               absl::Duration RetryAfter) {
  return Refusal{Kind, ExecutionStatus::NotExecuted, std::move(Detail),
                 RetryAfter};
}

bool mayDispatch(RouterParts &Parts) {
  return Parts.Fleet.freshness() != Freshness::Isolated;
}

bool takeRetryFromBudget(RouterParts &Parts) {
  MutexLock Hold(&Parts.RetryLock);
  return consumeRetry(Parts.Retries);
}

void creditRetryBudget(RouterParts &Parts) {
  MutexLock Hold(&Parts.RetryLock);
  creditRetry(Parts.Retries);
}

Admission admitRequest(RouterParts &Parts, const WorkspaceId &Workspace,
                       const RequestKindId &Kind, Tokens WantedTokens,
                       Offset AtLeast) {
  Admission Out;
  bool CaughtUp = Parts.Config.waitFor(AtLeast, CatchUpWait);
  Out.Table = Parts.Config.view();
  Out.View = Parts.Fleet.freshness();
  Out.Refused = checkView(Parts, Out);
  if (Out.Refused)
    return Out;
  if (!CaughtUp) {
    Out.Refused = notRun(RefusalKind::StaleView,
                         "this host is behind the session's table", RetrySoon);
    return Out;
  }
  const Table &Rows = *Out.Table.State->Compiled;
  auto Found = Rows.Kinds.find(Kind);
  if (Found == Rows.Kinds.end()) {
    Out.Refused = notRun(RefusalKind::UnknownKind,
                         absl::StrCat("no request kind '", Kind.text(), "'"));
    return Out;
  }
  Out.Kind = Found->second;
  Out.Refused = checkLimit(Parts, Rows, Workspace, WantedTokens);
  return Out;
}

} // namespace berylramp::internal
