//===- dispatch.cpp - Decision on one request -----------------------------===//
//
// An engine admits more urgent requests first, but a prompt whose prefill has
// begun delays all requests behind it. Less urgent requests are therefore sent
// only while the wait at the replicas leaves the most urgent class its target.
//
//===----------------------------------------------------------------------===//

#include "berylramp/dispatch.h"

#include <algorithm>
#include <limits>

namespace berylramp {

namespace {

/// Requests per slot below which a service has room, unless its replicas
/// reported requests that wait.
constexpr double BusyUtilization = 0.5;
/// Callers honour a delay up to this share of their remaining time.
constexpr double MaxRetryShare = 1.0 / 3;
constexpr absl::Duration MinRetryAfter = absl::Milliseconds(200);
/// A caller that has used up its time before returns after this share of the
/// delay of a new one.
constexpr double MinRetryScale = 0.25;

absl::Duration waitBound(const DispatchQuery &Query, int Rank,
                         const DispatchSettings &Settings) {
  absl::Duration HeadRoom = Query.UrgentTarget * Settings.HeadRoomShare;
  for (int Step = 1; Step < Rank; ++Step)
    HeadRoom /= 2;
  absl::Duration Aged =
      std::max(HeadRoom, Query.UrgentTarget * Settings.AgedShare);
  absl::Duration Slack = Query.Target - Query.Work - Settings.Margin;
  absl::Duration Elapsed = Query.Now - Query.ArrivedAt;
  double Age = Slack > absl::ZeroDuration()
                   ? std::clamp(absl::FDivDuration(Elapsed, Slack), 0.0, 1.0)
                   : 1.0;
  return HeadRoom + Age * (Aged - HeadRoom);
}

absl::Duration retryAfter(const DispatchQuery &Query,
                          absl::Duration UntilRoom) {
  absl::Duration Remaining = Query.DeadlineAt - Query.Now;
  double Scale = Query.Timeout > absl::ZeroDuration()
                     ? std::clamp(absl::FDivDuration(Remaining, Query.Timeout),
                                  MinRetryScale, 1.0)
                     : 1.0;
  absl::Duration Delay = std::max(MinRetryAfter, UntilRoom) * Scale;
  return std::min(Delay * (0.75 + 0.5 * Query.Spread),
                  std::max(absl::Milliseconds(1), Remaining * MaxRetryShare));
}

} // namespace

int UrgencyClasses::rankOf(int Priority) const {
  return static_cast<int>(std::lower_bound(this->Priorities.begin(),
                                           this->Priorities.end(), Priority) -
                          this->Priorities.begin());
}

UrgencyClasses urgencyClasses(const RouteTable &Table,
                              const ServiceId &Service) {
  UrgencyClasses Classes;
  int MostUrgent = std::numeric_limits<int>::max();
  bool TakesKeys = false;
  for (const Route &Candidate : Table.Routes) {
    bool Leads = std::any_of(
        Candidate.ServiceShares.begin(), Candidate.ServiceShares.end(),
        [&](const ServiceShare &Share) { return Share.Service == Service; });
    if (!Leads)
      continue;
    TakesKeys = TakesKeys || !Candidate.Anonymous;
    Classes.Priorities.push_back(Candidate.Priority);
    bool Shorter = Candidate.ResponseTarget < Classes.UrgentTarget;
    if (Candidate.Priority < MostUrgent ||
        (Candidate.Priority == MostUrgent && Shorter)) {
      MostUrgent = Candidate.Priority;
      Classes.UrgentTarget = Candidate.ResponseTarget;
    }
  }
  if (TakesKeys)
    for (const WorkspaceInfo &Workspace : Table.Workspaces)
      if (Workspace.Priority >= 0)
        Classes.Priorities.push_back(Workspace.Priority);
  std::sort(Classes.Priorities.begin(), Classes.Priorities.end());
  Classes.Priorities.erase(
      std::unique(Classes.Priorities.begin(), Classes.Priorities.end()),
      Classes.Priorities.end());
  return Classes;
}

const char *dispatchReasonName(DispatchReason Reason) {
  switch (Reason) {
  case DispatchReason::Room:
    return "room";
  case DispatchReason::MostUrgent:
    return "most_urgent";
  case DispatchReason::LatestStart:
    return "latest_start";
  case DispatchReason::Floor:
    return "floor";
  case DispatchReason::QueueFull:
    return "queue_full";
  case DispatchReason::HeadRoom:
    return "head_room";
  case DispatchReason::Order:
    return "order";
  case DispatchReason::Deadline:
    return "deadline";
  case DispatchReason::Utilization:
    return "utilization";
  }
  return "unknown";
}

Instant latestStart(const DispatchQuery &Query,
                    const DispatchSettings &Settings) {
  Instant InTime =
      Query.ArrivedAt + (Query.Target - Query.Work - Settings.Margin);
  if (Query.Now < InTime)
    return InTime;
  return Instant{Query.DeadlineAt.SinceStart -
                 (Query.Wait + Query.Work + Settings.Margin)};
}

DispatchDecision decideDispatch(const DispatchQuery &Query,
                                const DispatchSettings &Settings) {
  DispatchDecision Decision;
  absl::Duration Remaining = Query.DeadlineAt - Query.Now;
  int Rank = Query.Rank + (Query.OverShare ? 1 : 0);
  absl::Duration UntilStart =
      Query.Wait + (Rank > 0 ? Query.QueueWait : absl::ZeroDuration());
  // With free places and no queue, the expected wait may be wrong.
  bool Busy = Query.Utilization >= BusyUtilization || Query.ReplicasQueue;
  absl::Duration Usable = Query.QueueWait > absl::ZeroDuration() && Rank > 0
                              ? Remaining * Settings.QueueDeadlineShare
                              : Remaining;
  bool TooLate = Busy && UntilStart + Query.Work > Usable;
  if (TooLate || Query.Utilization > Settings.MaxUtilization) {
    Decision.Action = DispatchAction::Refuse;
    Decision.Reason =
        TooLate ? DispatchReason::Deadline : DispatchReason::Utilization;
    Decision.RetryAfter = retryAfter(Query, UntilStart);
    return Decision;
  }
  auto Send = [&](DispatchReason Reason) {
    Decision.Reason = Reason;
    return Decision;
  };
  if (Rank == 0)
    return Send(DispatchReason::MostUrgent);
  Decision.WaitBound = waitBound(Query, Rank, Settings);
  bool HasRoom = std::min(Query.Wait, Query.MeanWait) <= Decision.WaitBound &&
                 Query.Utilization < 1;
  if (HasRoom && !Query.Overtakes)
    return Send(DispatchReason::Room);
  if (Query.BelowFloor)
    return Send(DispatchReason::Floor);
  if (!Query.QueueHasSpace)
    return Send(DispatchReason::QueueFull);
  if (!(Query.Now < latestStart(Query, Settings))) {
    if (!Busy)
      return Send(DispatchReason::LatestStart);
    Decision.Action = DispatchAction::Refuse;
    Decision.Reason = DispatchReason::Deadline;
    Decision.RetryAfter = retryAfter(Query, UntilStart);
    return Decision;
  }
  Decision.Action = DispatchAction::Wait;
  Decision.Reason = HasRoom ? DispatchReason::Order : DispatchReason::HeadRoom;
  return Decision;
}

} // namespace berylramp
