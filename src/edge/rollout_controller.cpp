//===- rollout_controller.cpp - Roll-outs in progress ---------------------===//
//
// A state is appended only if the topic still ends at the last record that this
// host read. Hosts that disagree therefore cannot write concurrently: the
// second one has to read the first one's end state before its write can
// succeed.
//
//===----------------------------------------------------------------------===//

#include "rollout_controller.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp {

namespace {

/// Delay of a write for each live host that writes before this one. A write and
/// its reading back take a few milliseconds each, so that a later host normally
/// reads the state before it writes one.
constexpr absl::Duration WriteDelayPerRank = absl::Milliseconds(400);

/// The plan does not change in the last part before full traffic begins, in
/// which it reaches the other hosts.
constexpr absl::Duration PlanFreezeTime = absl::Seconds(1);
/// Length of the window of recent evidence.
constexpr absl::Duration RecentWindow = absl::Seconds(3);
constexpr absl::Duration RateInterval = absl::Seconds(3);
/// A rate is a burst when it exceeds the mean by this factor.
constexpr double MinBurstFactor = 1.5;
/// Baselines are dropped when routes that no longer exist fill the memory.
constexpr size_t MaxBaselines = 4096;
constexpr absl::Duration EvidenceLogInterval = absl::Seconds(2);

const char *stateName(RolloutState State) {
  switch (State) {
  case RolloutState::InProgress:
    return "in progress";
  case RolloutState::Complete:
    return "complete";
  case RolloutState::Reverted:
    return "reverted";
  }
  return "";
}

Json::Value logFieldsOf(const RolloutOrder &Order) {
  Json::Value Line(Json::objectValue);
  Line["service"] = Order.Service.text();
  Line["target"] = Order.Target.text();
  return Line;
}

void addTally(Json::Value &Line, const char *Name, const AnswerTally &Tally) {
  Line[absl::StrCat(Name, "_answers")] = Json::Int64(Tally.Count);
  Line[absl::StrCat(Name, "_bad")] = Json::Int64(Tally.Bad);
}

void addEvidence(Json::Value &Line, const RolloutEvidence &Evidence) {
  AnswerTally Target = sumOf(Evidence.Target);
  addTally(Line, "target", Target);
  Line["target_tolerated"] = static_cast<double>(Target.ToleratedMilli) / 1000;
  addTally(Line, "recent", sumOf(Evidence.Recent));
  Line["doubtful"] = isTargetDoubtful(Evidence);
  addTally(Line, "others", Evidence.Others);
}

} // namespace

void RolloutController::onOrder(const RolloutOrder &Order) {
  Entry &Rollout = this->Entries[Order.Service];
  if (Rollout.Order.Target == Order.Target)
    return;
  Rollout = Entry();
  Rollout.Order = Order;
  Rollout.Id =
      stableHash(absl::StrCat(Order.Service.text(), "/", Order.Target.text()));
  Rollout.StartedAt = this->Callbacks.Now();
  Rollout.PendingSince = Rollout.StartedAt;
  logEvent(LogLevel::Info, "rollout_ordered", logFieldsOf(Order));
}

void RolloutController::compareWithStore(const ServiceId &Service,
                                         std::optional<RolloutState> Stored) {
  auto Found = this->Entries.find(Service);
  if (Found == this->Entries.end() || !Found->second.Recorded)
    return;
  bool IsEarlier = Stored == RolloutState::InProgress &&
                   Found->second.State != RolloutState::InProgress;
  if (!Stored || IsEarlier)
    Found->second.NeedsRewrite = true;
}

void RolloutController::onStateRecorded(const ServiceId &Service,
                                        const VersionId &Target,
                                        RolloutState State) {
  auto Found = this->Entries.find(Service);
  if (Found == this->Entries.end() || Found->second.Order.Target != Target)
    return;
  Entry &Rollout = Found->second;
  bool Finished = Rollout.Recorded && Rollout.State != RolloutState::InProgress;
  if (Rollout.State == State)
    Rollout.NeedsRewrite = false;
  if (Finished || (Rollout.Recorded && Rollout.State == State))
    return;
  Rollout.Recorded = true;
  Rollout.State = State;
  Json::Value Line = logFieldsOf(Rollout.Order);
  Line["state"] = stateName(State);
  addTally(Line, "target", sumOf(Rollout.Target));
  logEvent(LogLevel::Info, "rollout_recorded", Line);
}

bool RolloutController::observe(const AnswerObservation &Observation) {
  if (this->Baselines.size() >= MaxBaselines)
    this->Baselines.clear();
  RouteBaseline &Usual =
      this->Baselines[{Observation.Service, Observation.Route}];
  bool Failed = Observation.Event == AnswerEvent::Failure;
  bool HasEvents = Observation.Event == AnswerEvent::Events;
  bool Bad = Failed || (HasEvents ? isSlowStream(Usual, Observation.Time)
                                  : isSlowFirstByte(Usual, Observation.Time));
  AnswerFault Fault = Failed ? AnswerFault::Failure : AnswerFault::Slow;
  auto Found = this->Entries.find(Observation.Service);
  Entry *Rollout = Found == this->Entries.end() ? nullptr : &Found->second;
  bool IsTarget =
      Rollout != nullptr && Observation.Version == Rollout->Order.Target;
  if (IsTarget && Rollout->State != RolloutState::Complete) {
    if (!Observation.Counted)
      for (AnswerFault Kind : {AnswerFault::Failure, AnswerFault::Slow})
        countTargetAnswer(Rollout->Target[stratumOf(Observation.Route, Kind)],
                          Usual, Kind);
    Rollout->Target[stratumOf(Observation.Route, Fault)].Bad += Bad ? 1 : 0;
    return Bad;
  }
  if (!Observation.Counted)
    countAnswer(Usual);
  if (HasEvents)
    addEventInterval(Usual, Observation.Time);
  else if (!Failed)
    addFirstByte(Usual, Observation.Time);
  if (Bad)
    countBadAnswer(Usual, Fault);
  if (Rollout != nullptr && !IsTarget) {
    Rollout->Others.Count += Observation.Counted ? 0 : 1;
    Rollout->Others.Bad += Bad ? 1 : 0;
  }
  return Bad;
}

VersionRule RolloutController::versionFor(const ServiceId &Service,
                                          double Draw) const {
  auto Found = this->Entries.find(Service);
  if (Found == this->Entries.end())
    return {};
  const Entry &Rollout = Found->second;
  VersionRule Rule{Rollout.Order.Target, false};
  if (Rollout.State == RolloutState::Reverted || Rollout.Tripped)
    return Rule;
  auto [Targets, Others] = this->Callbacks.CountReplicas(Service, Rule.Target);
  if (Targets == 0)
    return Rule;
  // The share is computed from the elapsed time and not at the ticks, which
  // differ between hosts. Otherwise a session could reach hosts before and
  // after the change.
  absl::Duration Elapsed = this->Callbacks.Now() - Rollout.StartedAt;
  double Share = Rollout.State == RolloutState::Complete
                     ? 1
                     : nextRolloutStep(Rollout.Order, Rollout.Schedule,
                                       Rollout.Evidence, Elapsed)
                           .Share;
  // If no replica has another version, the target serves all requests, whatever
  // state is recorded.
  Rule.RequireTarget = Draw < Share || Others == 0;
  return Rule;
}

void RolloutController::tick(const PeerTable &Peers) {
  for (auto &[Service, Rollout] : this->Entries) {
    if (Rollout.State == RolloutState::InProgress)
      this->advance(Rollout, Peers);
    else if (Rollout.NeedsRewrite)
      this->requestState(Rollout, Rollout.State);
  }
}

void RolloutController::advance(Entry &Rollout, const PeerTable &Peers) {
  absl::Duration Elapsed = this->Callbacks.Now() - Rollout.StartedAt;
  RolloutEvidence Evidence =
      Peers.evidence(Rollout.Id, this->Callbacks.Now(), Elapsed);
  // A host that started after the order takes the order's age from its peers.
  Instant OrderStart{this->Callbacks.Now().SinceStart - Elapsed};
  if (OrderStart < Rollout.StartedAt)
    Rollout.StartedAt = OrderStart;
  if (Rollout.Schedule.Canary == 0) {
    auto [Targets, Others] = this->Callbacks.CountReplicas(
        Rollout.Order.Service, Rollout.Order.Target);
    Rollout.Schedule.Canary = canaryShare(this->Bounds, Others);
  }
  Evidence.Recent =
      recentEvidence(Rollout, Evidence.Target, this->Callbacks.Now());
  Rollout.Evidence = Evidence;
  this->plan(Rollout, Elapsed);
  RolloutStep Next =
      nextRolloutStep(Rollout.Order, Rollout.Schedule, Evidence, Elapsed);
  if (Next.State == RolloutState::Reverted && !Rollout.Tripped) {
    Rollout.Tripped = true;
    Json::Value Line = logFieldsOf(Rollout.Order);
    addEvidence(Line, Evidence);
    logEvent(LogLevel::Warn, "rollout_tripped", Line);
    this->Callbacks.NotifyPeers();
  }
  if (Next.Share != Rollout.LoggedShare) {
    Json::Value Line = logFieldsOf(Rollout.Order);
    Line["share"] = Next.Share;
    Line["elapsed_ms"] = Json::Int64(absl::ToInt64Milliseconds(Elapsed));
    Line["full_traffic_ms"] =
        Json::Int64(absl::ToInt64Milliseconds(Rollout.Schedule.FullTrafficAt));
    addEvidence(Line, Evidence);
    logEvent(LogLevel::Info, "rollout_share", Line);
  }
  Rollout.LoggedShare = Next.Share;
  // At full traffic, evidence must reach the other hosts before completion.
  if (Next.Share == 1 && Next.State == RolloutState::InProgress)
    this->Callbacks.NotifyPeers();
  this->logEvidence(Rollout, Elapsed);
  this->requestState(Rollout, Next.State);
}

StratifiedTally RolloutController::recentEvidence(Entry &Rollout,
                                                  const StratifiedTally &Sum,
                                                  Instant Now) {
  Rollout.History.emplace_back(Now, Sum);
  while (Now - Rollout.History.front().first > RecentWindow)
    Rollout.History.pop_front();
  return increase(Rollout.History.front().second, Sum);
}

RolloutTraffic RolloutController::trafficOf(Entry &Rollout,
                                            absl::Duration Elapsed) {
  const RolloutEvidence &Evidence = Rollout.Evidence;
  RolloutTraffic Traffic;
  Traffic.Target = sumOf(Evidence.Target).Count;
  Traffic.Total = Traffic.Target + Evidence.Others.Count;
  Instant Now = this->Callbacks.Now();
  auto &[Current, Last] = Rollout.RateSamples;
  if (Now - Current.first >= RateInterval) {
    Last = Current;
    Current = {Now, Traffic.Total};
  }
  auto Rate = [](int64_t Count, absl::Duration Time) {
    return static_cast<double>(Count) /
           std::max(absl::ToDoubleSeconds(Time), 1.0);
  };
  Traffic.PerSecond = Rate(Traffic.Total, Elapsed);
  // A burst that has just begun may last until the time limit.
  double Recent = Rate(Traffic.Total - Last.second, Now - Last.first);
  if (Recent > MinBurstFactor * Traffic.PerSecond)
    Traffic.PerSecond = Recent;
  return Traffic;
}

void RolloutController::plan(Entry &Rollout, absl::Duration Elapsed) {
  RolloutTraffic Traffic = this->trafficOf(Rollout, Elapsed);
  absl::Duration &FullTrafficAt = Rollout.Schedule.FullTrafficAt;
  bool HasPlan = FullTrafficAt < absl::InfiniteDuration();
  absl::Duration Planned = Rollout.Evidence.FullTrafficAt;
  bool Frozen = HasPlan && Elapsed + PlanFreezeTime > FullTrafficAt;
  if (!Frozen && Elapsed >= planningTime(Rollout.Order))
    Planned = std::max(Planned, fullTrafficTime(Rollout.Order, this->Bounds,
                                                Rollout.Schedule.Canary,
                                                Traffic, Elapsed));
  if (Planned > absl::ZeroDuration())
    FullTrafficAt = HasPlan ? std::max(FullTrafficAt, Planned) : Planned;
}

void RolloutController::logEvidence(Entry &Rollout, absl::Duration Elapsed) {
  Instant Now = this->Callbacks.Now();
  if (Now - Rollout.EvidenceLoggedAt < EvidenceLogInterval)
    return;
  Rollout.EvidenceLoggedAt = Now;
  Json::Value Line = logFieldsOf(Rollout.Order);
  Line["elapsed_ms"] = Json::Int64(absl::ToInt64Milliseconds(Elapsed));
  addEvidence(Line, Rollout.Evidence);
  logEvent(LogLevel::Info, "rollout_evidence", Line);
}

void RolloutController::requestState(Entry &Rollout, RolloutState State) {
  Instant Now = this->Callbacks.Now();
  if (Rollout.Recorded && Rollout.State == State && !Rollout.NeedsRewrite)
    return;
  if (Rollout.PendingState != State) {
    Rollout.PendingState = State;
    Rollout.PendingSince = Now;
  }
  absl::Duration WriteDelay = WriteDelayPerRank * this->Callbacks.WriterRank();
  if (Rollout.WriteInFlight || Now - Rollout.PendingSince < WriteDelay)
    return;
  Rollout.WriteInFlight = true;
  ServiceId Service = Rollout.Order.Service;
  Json::Value Line = logFieldsOf(Rollout.Order);
  Line["state"] = stateName(State);
  this->Callbacks.WriteState(
      Rollout.Order, State, [this, Service, Line](const absl::Status &Status) {
        auto Found = this->Entries.find(Service);
        if (Found != this->Entries.end())
          Found->second.WriteInFlight = false;
        Json::Value ResultLine = Line;
        ResultLine["result"] =
            Status.ok() ? "ok" : std::string(Status.message());
        logEvent(LogLevel::Info, "rollout_write", ResultLine);
      });
}

std::vector<ServiceId> RolloutController::services() const {
  std::vector<ServiceId> Services;
  for (const auto &[Service, Rollout] : this->Entries)
    Services.push_back(Service);
  return Services;
}

std::vector<RolloutReport> RolloutController::reports() const {
  std::vector<RolloutReport> Reports;
  for (const auto &[Service, Rollout] : this->Entries) {
    RolloutReport Report;
    Report.Order = Rollout.Id;
    Report.Target = Rollout.Target;
    Report.Others = Rollout.Others;
    Report.Tripped = Rollout.Tripped;
    Report.ElapsedMs =
        absl::ToInt64Milliseconds(this->Callbacks.Now() - Rollout.StartedAt);
    if (Rollout.Schedule.FullTrafficAt < absl::InfiniteDuration())
      Report.FullTrafficMs =
          absl::ToInt64Milliseconds(Rollout.Schedule.FullTrafficAt);
    Reports.push_back(Report);
  }
  return Reports;
}

} // namespace berylramp
