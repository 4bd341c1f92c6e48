//===- relay_dispatch.cpp - Waiting for room ------------------------------===//
//
// Only the first attempt of a request waits, so a request that waits has
// provably not been executed.
//
//===----------------------------------------------------------------------===//

#include "relay.h"

#include "berylramp/json.h"

namespace berylramp {

namespace {

/// Assumed work of a request to a plain service, as a share of its route's
/// target.
constexpr double PlainWorkShare = 0.5;
/// Bytes of a waiting request besides its body.
constexpr size_t WaiterOverhead = 1024;

} // namespace

DispatchQuery Relay::dispatchQuery(const Choice &Chosen,
                                   const ServiceRoom &Room,
                                   DispatchController::Service &State) const {
  DispatchQuery Query;
  Query.Now = this->now();
  Query.ArrivedAt = this->Request.ArrivedAt;
  Query.DeadlineAt = this->DeadlineAt;
  Query.Target = this->MatchedRoute->ResponseTarget;
  Query.Timeout = this->MatchedRoute->Timeout;
  Query.UrgentTarget = State.Classes.UrgentTarget;
  Query.Rank = State.Classes.rankOf(this->priority());
  Query.OverShare =
      State.Shares.isOverShare(stableHash(this->Workspace.Id.text()));
  Query.Wait = Chosen.QueueDelay;
  Query.Work = this->MatchedRoute->EventStream ? Chosen.PrefillTime
                                               : Query.Target * PlainWorkShare;
  Query.MeanWait = Room.MeanWait;
  Query.Utilization = Room.Utilization;
  Query.ReplicasQueue = Room.Waiting > 0;
  const DispatchController &Waiters = *this->Core.Dispatch;
  int QueueRank = Query.Rank + (Query.OverShare ? 1 : 0);
  Query.BelowFloor = State.Queue.isBelowFloor(
      Query.Rank, Waiters.Settings.FloorRatio, Query.Now);
  Query.QueueHasSpace =
      this->Waiting != 0 ||
      Waiters.hasSpace(this->Request.Body.size() + WaiterOverhead);
  if (this->Waiting == 0) {
    Query.QueueWait = State.Queue.waitAhead(QueueRank, Query.Now);
    Query.Overtakes = State.Queue.hasAhead(QueueRank);
  }
  Query.Spread = hashToUnitInterval(this->RequestId);
  return Query;
}

bool Relay::mayDispatch(const Choice &Chosen, const ChoiceQuery &Query) {
  DispatchController &Waiters = *this->Core.Dispatch;
  DispatchController::Service &State =
      Waiters.service(this->Service, *this->Table);
  if (!State.Classes.differ()) {
    if (this->Core.Registry.utilization(Query) <=
        this->Core.Settings.MaxUtilization)
      return true;
    this->failRequest(RefusalKind::Overloaded, "the replicas' queues are full");
    return false;
  }
  ServiceRoom Room = this->Core.Registry.room(Query);
  DispatchQuery Inquiry = this->dispatchQuery(Chosen, Room, State);
  bool IsNew = this->Waiting == 0 && this->AttemptsStarted == 0;
  if (IsNew)
    State.Queue.onOffered(Inquiry.Rank, Inquiry.Work, Inquiry.Now);
  DispatchDecision Decision = decideDispatch(Inquiry, Waiters.Settings);
  // A resumed stream delays a caller who has part of the answer.
  if (this->Sequence.hasLast() && Decision.Action == DispatchAction::Wait)
    Decision.Action = DispatchAction::Send;
  bool Settled = Decision.Action != DispatchAction::Wait;
  if (this->Waiting != 0 ? Settled : Decision.Action != DispatchAction::Send)
    this->logDispatch(Inquiry, Decision, State);
  if (Decision.Action == DispatchAction::Wait) {
    this->waitForRoom(Inquiry, Waiters);
    return false;
  }
  if (this->Waiting != 0) {
    this->Core.Counters.observe(Latency::DispatchWait,
                                Inquiry.Now - Inquiry.ArrivedAt);
    this->DispatchedAt = Inquiry.Now;
  }
  this->stopWaiting();
  if (Decision.Action == DispatchAction::Refuse) {
    bool TooLate = Decision.Reason == DispatchReason::Deadline;
    this->Core.Counters.count(TooLate ? Counter::RefusedBeyondDeadline
                                      : Counter::RefusedForUtilization);
    this->failRequest(RefusalKind::Overloaded,
                      TooLate ? "the answer would not start before the deadline"
                              : "the replicas' queues are full",
                      Decision.RetryAfter);
    return false;
  }
  State.Queue.onSent(Inquiry.Rank, Inquiry.Work, Inquiry.Now);
  double Amount = this->MatchedRoute->EventStream
                      ? static_cast<double>(this->Prompt.PromptTokens)
                      : 1.0;
  State.Shares.onUse(stableHash(this->Workspace.Id.text()), Amount,
                     Inquiry.Now);
  return true;
}

void Relay::waitForRoom(const DispatchQuery &Inquiry,
                        DispatchController &Waiters) {
  Waiter Entry;
  if (this->Waiting == 0) {
    this->Core.Counters.count(Counter::RequestsDelayed);
    this->Waiting = Waiters.newId();
  }
  Entry.Id = this->Waiting;
  Entry.Rank = Inquiry.Rank + (Inquiry.OverShare ? 1 : 0);
  Entry.LatestStart = latestStart(Inquiry, Waiters.Settings);
  Entry.Since = Inquiry.ArrivedAt;
  Entry.Work = Inquiry.Work;
  Entry.Bytes = this->Request.Body.size() + WaiterOverhead;
  Waiters.wait(this->Service, Entry, this->shared_from_this());
  if (Inquiry.Overtakes)
    Waiters.onRoom();
}

void Relay::stopWaiting() {
  if (this->Waiting == 0)
    return;
  this->Core.Dispatch->remove(this->Service, this->Waiting);
  this->Waiting = 0;
}

void Relay::onDispatchRetry() {
  if (this->Finished || this->Waiting == 0)
    return;
  auto Self = this->shared_from_this();
  if (this->Core.Hooks.RejectsNewRequests()) {
    this->stopWaiting();
    this->refuse(RefusalKind::Overloaded,
                 "this host is shutting down; retry at another host",
                 RetryDelayOtherHost);
    return;
  }
  this->startNextAttempt();
}

void Relay::logDispatch(const DispatchQuery &Inquiry,
                        const DispatchDecision &Decision,
                        const DispatchController::Service &State) const {
  auto Ms = [](absl::Duration Time) {
    return Json::Int64(absl::ToInt64Milliseconds(Time));
  };
  const char *Outcome = Decision.Action == DispatchAction::Send   ? "sent"
                        : Decision.Action == DispatchAction::Wait ? "waits"
                                                                  : "refused";
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["service"] = this->Service.text();
  Line["outcome"] = Outcome;
  Line["why"] = dispatchReasonName(Decision.Reason);
  Line["rank"] = Inquiry.Rank;
  Line["over_share"] = Inquiry.OverShare;
  Line["share"] =
      State.Shares.recentShare(stableHash(this->Workspace.Id.text()));
  Line["waited_ms"] = Ms(Inquiry.Now - Inquiry.ArrivedAt);
  Line["expected_ms"] = Ms(Inquiry.Wait);
  Line["mean_ms"] = Ms(Inquiry.MeanWait);
  Line["bound_ms"] = Ms(Decision.WaitBound);
  Line["queue_ms"] = Ms(Inquiry.QueueWait);
  Line["slack_ms"] = Ms(Inquiry.DeadlineAt - Inquiry.Now);
  Line["utilization"] = Inquiry.Utilization;
  Line["waiting"] = Json::UInt64(State.Queue.size());
  if (Decision.Action == DispatchAction::Refuse)
    Line["retry_after_ms"] = Ms(Decision.RetryAfter);
  logEvent(LogLevel::Info, "dispatch", Line);
}

} // namespace berylramp
