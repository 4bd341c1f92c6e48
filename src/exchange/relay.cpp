//===- relay.cpp - Admission and dispatch of a request --------------------===//
//
// At most one attempt is in progress. When it ends without an answer for the
// caller, the execution tracker determines whether the request may be sent to
// another replica.
//
//===----------------------------------------------------------------------===//

#include "relay.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "berylramp/json.h"
#include <algorithm>

namespace berylramp {

namespace {

/// Upper bound for the transfer of the answer to a caller in the same region.
constexpr absl::Duration ReturnPathMargin = absl::Milliseconds(20);
/// Deadline of requests that state none.
constexpr absl::Duration DefaultDeadline = absl::Seconds(30);
/// Remaining time below which a retry would waste the replica's work.
constexpr absl::Duration MinAttemptTime = absl::Milliseconds(60);
/// Timeout for the first byte of a request that may be repeated, as a multiple
/// of the route's target time.
constexpr double FirstByteTimeoutTargets = 2.5;
/// Share of a data centre's replicas that serves the smaller models, so that
/// the long steps of the largest model do not delay their short steps.
constexpr double SmallModelReplicaShare = 0.3;
/// Attempts, including those that were never sent, before a request fails.
constexpr int MaxAttemptsStarted = 6;

} // namespace

Relay::Relay(std::shared_ptr<void> CoreOwner, RelayCore &Core,
             CallerRequest Request, ResponderPtr CallerResponder)
    : CoreOwner(std::move(CoreOwner)), Core(Core), Request(std::move(Request)),
      CallerResponder(std::move(CallerResponder)), DeadlineTimer(Core.Loop) {}

void Relay::start() {
  this->Core.Counters.count(Counter::RequestsReceived);
  if (!this->admit())
    return;
  this->resolveRequest();
  this->armDeadline();
  this->CallerResponder->onCallerDisconnect([Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->onCallerLeft();
  });
  this->Core.budget(this->Service).onFirstAttempt(this->now());
  this->startNextAttempt();
}

bool Relay::admit() {
  const HeaderNames &Names = this->Core.Settings.Names;
  if (auto Id = findHeader(this->Request.Headers, Names.RequestId))
    this->RequestId = std::string(*Id);
  this->Table = this->Core.Hooks.Table();
  if (this->Table == nullptr) {
    this->refuse(RefusalKind::NoTable,
                 "no route table has been read since this host started",
                 RetryDelayWhenStarting);
    return false;
  }
  this->MatchedRoute = findRoute(*this->Table, hostWithoutPort(this->Request),
                                 this->Request.Target);
  if (this->MatchedRoute == nullptr) {
    this->refuse(RefusalKind::UnknownService,
                 "no route matches the host and path", absl::ZeroDuration());
    return false;
  }
  const WorkspaceInfo *Found =
      findWorkspace(*this->Table, apiKeyOf(this->Request, Names));
  if (Found != nullptr)
    this->Workspace = *Found;
  bool NeedsKey =
      !this->Table->Workspaces.empty() && !this->MatchedRoute->Anonymous;
  if (Found == nullptr && NeedsKey) {
    this->refuse(RefusalKind::BadKey, "no workspace has this API key",
                 absl::ZeroDuration());
    return false;
  }
  if (this->Core.Hooks.RejectsNewRequests()) {
    this->refuse(RefusalKind::Overloaded,
                 "this host is shutting down; retry at another host",
                 RetryDelayOtherHost);
    return false;
  }
  return this->admitBytes();
}

uint64_t Relay::owner() const {
  const WorkspaceId &Id = this->Workspace.Id;
  return Id.empty() ? 0 : stableHash(Id.text());
}

bool Relay::admitBytes() {
  this->CallerResponder->identify(this->owner(), this->RequestId);
  bool IsWithinShare = this->Request.Body.empty() ||
                       this->Core.Memory->account().admitsOwner(this->owner());
  if (!this->Request.BodyRefused && IsWithinShare)
    return true;
  this->Core.Counters.count(Counter::BodiesRefused);
  double Spread = 0.5 + hashToUnitInterval(this->RequestId);
  this->refuse(RefusalKind::Overloaded,
               "this host holds too many bytes of requests and answers",
               RetryDelayWhenFull * Spread);
  return false;
}

void Relay::resolveRequest() {
  const HeaderNames &Names = this->Core.Settings.Names;
  this->Execution = ExecutionTracker(this->MatchedRoute->Repeats);
  this->Prompt = parsePromptInfo(this->Request, Names);
  this->Input = {sharedSegments(this->Prompt),
                 requestIdentity(this->Request, this->Workspace.Id)};
  this->Service =
      pickService(*this->MatchedRoute, hashToUnitInterval(this->RequestId));
  this->Regions =
      combineRegions(this->MatchedRoute->Regions, this->Workspace.Regions);
  this->RegionsOfReplicas = this->Core.Registry.regionRule(this->Regions);
  absl::string_view DrawKey = findHeader(this->Request.Headers, Names.Session)
                                  .value_or(this->RequestId);
  this->VersionDraw = hashToUnitInterval(absl::StrCat("version/", DrawKey));
  int64_t Last = -1;
  if (auto Id = findHeader(this->Request.Headers, Names.LastEventId))
    Last = absl::SimpleAtoi(*Id, &Last) ? Last : -1;
  this->Sequence = EventSequence(Last);
  this->ChoosesModel =
      findHeader(this->Request.Headers, Names.Model) == Names.AnyModel &&
      !this->MatchedRoute->Models.empty();
  if (!this->ChoosesModel)
    return;
  const ServiceInfo *Info = this->Table->service(this->Service);
  for (const ModelId &Candidate : this->MatchedRoute->Models) {
    double Cost = 0;
    if (Info != nullptr)
      for (const ModelPrice &Price : Info->Prices)
        if (Price.Model == Candidate)
          Cost = Price.CostPerThousand;
    this->Cascade.CostPerThousand.push_back(Cost);
  }
  this->Cascade.PromptTokens = this->Prompt.PromptTokens;
  this->Cascade.OutputTokens = this->Prompt.OutputTokens;
  this->Cascade.AttemptsLeft = this->MatchedRoute->MaxAttempts;
  // A resumed answer uses the last model, which is able to answer any request.
  this->ModelIndex =
      Last >= 0 ? this->MatchedRoute->Models.size() - 1
                : firstModel(this->Cascade, this->Core.Settings.Cascade);
}

void Relay::armDeadline() {
  const HeaderNames &Names = this->Core.Settings.Names;
  absl::Duration Remaining = DefaultDeadline;
  int64_t Ms = 0;
  auto Field = findHeader(this->Request.Headers, Names.DeadlineMs);
  if (Field && absl::SimpleAtoi(*Field, &Ms))
    Remaining = absl::Milliseconds(Ms) - ReturnPathMargin;
  Remaining = std::min(Remaining, this->MatchedRoute->Timeout);
  this->DeadlineAt = this->Request.ArrivedAt + Remaining;
  this->DeadlineTimer.set(Remaining, [Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->onDeadline();
  });
}

ChoiceQuery Relay::choiceQuery() const {
  ChoiceQuery Result;
  Result.Service = this->Service;
  // Evaluated for each attempt: a version may have been reverted or replaced
  // since the last one.
  Result.Rule = this->Core.Hooks.VersionFor(this->Service, this->VersionDraw);
  if (this->MatchedRoute->EventStream) {
    Result.Segments = this->Prompt.Segments;
    // Engines cache prompt segments separately for each model.
    uint64_t Model = stableHash(this->currentModel().text());
    for (PromptSegment &Segment : Result.Segments)
      Segment.Id ^= Model;
    auto Known = this->Core.Paces.find({this->Service, this->currentModel()});
    EnginePace Pace =
        Known == this->Core.Paces.end() ? EnginePace() : Known->second;
    Result.MsPerToken = Pace.Prefill.msPerToken();
    Result.StartDelay = Pace.StartDelay.value();
    Result.OutputTokens = this->Prompt.OutputTokens;
    const ServiceInfo *Info = this->Table->service(this->Service);
    Result.CacheTokens = Info == nullptr ? 0 : Info->CacheTokens.count();
  }
  Result.Regions = this->RegionsOfReplicas;
  Result.Tried = this->TriedReplicas;
  Result.Now = this->now();
  if (!this->Core.Registry.limits().empty())
    Result.Urgent =
        this->priority() <= mostUrgentPriority(*this->Table, this->Service);
  bool UsesSmallModel =
      this->ModelIndex + 1 < this->Cascade.CostPerThousand.size();
  if (this->ChoosesModel && UsesSmallModel)
    Result.PreferredTo = SmallModelReplicaShare;
  else if (this->ChoosesModel)
    Result.PreferredFrom = SmallModelReplicaShare;
  return Result;
}

int Relay::priority() const {
  return this->Workspace.Priority >= 0 ? this->Workspace.Priority
                                       : this->MatchedRoute->Priority;
}

ModelId Relay::currentModel() const {
  return this->ChoosesModel ? this->MatchedRoute->Models[this->ModelIndex]
                            : ModelId();
}

bool Relay::mayRetry() const {
  return !this->RepeatsForbidden && this->Execution.mayRepeat() &&
         this->AttemptsSent < this->MatchedRoute->MaxAttempts &&
         this->AttemptsStarted<MaxAttemptsStarted &&this->DeadlineAt -
                               this->now()>
             MinAttemptTime;
}

void Relay::startNextAttempt() {
  if (this->Finished)
    return;
  if (this->AttemptsStarted > 0 && !this->mayRetry()) {
    this->failRequest(RefusalKind::UpstreamFailed,
                      "no further attempt is allowed");
    return;
  }
  if (!this->checkQuarantine())
    return;
  ChoiceQuery Query = this->choiceQuery();
  Choice Chosen = this->Core.Registry.choose(Query);
  if (Chosen.Target == nullptr && this->AttemptsStarted > 0) {
    // All replicas have been tried; one that was full or lost the connection
    // may have recovered.
    this->TriedReplicas.clear();
    Query.Tried.clear();
    Chosen = this->Core.Registry.choose(Query);
  }
  if (Chosen.Target == nullptr) {
    Instant AvailableAt = this->Core.Registry.earliestAvailability(Query);
    if (AvailableAt.SinceStart < absl::InfiniteDuration()) {
      this->failRequest(RefusalKind::Overloaded,
                        "all replicas of the service asked for a pause or "
                        "for fewer requests",
                        AvailableAt - Query.Now);
      return;
    }
    this->refuseWithoutReplica(Query);
    return;
  }
  if (this->AttemptsStarted == 0 && !this->mayDispatch(Chosen, Query))
    return;
  bool RetryAllowed = this->AttemptsSent == 0 || this->RetryBudgetAcquired ||
                      this->Core.budget(this->Service)
                          .tryAcquire(RepeatReason::Failure, this->now());
  this->RetryBudgetAcquired = false;
  if (!RetryAllowed) {
    this->failRequest(RefusalKind::UpstreamFailed,
                      "the retry budget is exhausted");
    return;
  }
  this->sendAttempt(Chosen, Query);
}

bool Relay::checkQuarantine() {
  absl::Duration Remaining = this->Core.Hooks.InputRefusedFor(this->Input);
  if (Remaining <= absl::ZeroDuration())
    return true;
  const char *Detail =
      "replicas ended under this request or a segment of its prompt";
  if (!this->StreamStarted && this->Execution.provablyNotExecuted())
    this->refuse(RefusalKind::InputQuarantined, Detail, Remaining);
  else
    this->failRequest(RefusalKind::UpstreamFailed, Detail);
  return false;
}

void Relay::logLimitedAttempt(const Replica &Target) const {
  std::optional<double> Limit =
      this->Core.Registry.limits().limitOf(processOf(Target));
  if (!Limit)
    return;
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["replica"] = Target.Entry.Id.text();
  Line["per_second"] = *Limit;
  Line["attempt"] = this->AttemptsStarted;
  logEvent(LogLevel::Info, "limited_attempt", Line);
}

EnginePace &Relay::pace() {
  return this->Core.Paces[{this->Service, this->currentModel()}];
}

void Relay::sendAttempt(const Choice &Chosen, const ChoiceQuery &Query) {
  const ReplicaPtr &TargetReplica = Chosen.Target;
  const RelayCore &Core = this->Core;
  Instant Now = this->now();
  this->AttemptsStarted += 1;
  this->TriedReplicas.push_back(TargetReplica->Entry.Id);
  this->LastReplica = TargetReplica->Entry.Id.text();
  this->LastVersion = TargetReplica->Entry.Version.text();
  this->ExpectedTime =
      Chosen.QueueDelay + Chosen.PrefillTime + Chosen.StartDelay;
  this->LastChoice = Chosen;
  this->HeadDelay = absl::ZeroDuration();
  auto NewAttempt = std::make_shared<Attempt>(
      this->weak_from_this(), TargetReplica, Core.Loop, Core.Memory);
  this->Current = NewAttempt;
  bool MayReuse = this->MatchedRoute->Repeats != Repeatability::AtMostOnce;
  this->connectAttempt(*NewAttempt, MayReuse);
  bool IsNewConnection = !NewAttempt->Connection->isConnected();
  ForwardOverrides Overrides;
  Overrides.DeadlineMs =
      std::max<int64_t>(1, absl::ToInt64Milliseconds(this->DeadlineAt - Now));
  Overrides.ExpectedReplica = TargetReplica->Entry.Id;
  Overrides.Workspace = this->Workspace.Id;
  Overrides.Model = this->currentModel();
  Overrides.LastEventId = this->Sequence.lastId();
  Overrides.Urgency = this->priority();
  NewAttempt->SentAt = Now;
  NewAttempt->LastByteAt = Now;
  bool HasFirstByteTimeout =
      MayReuse && this->AttemptsSent + 1 < this->MatchedRoute->MaxAttempts;
  NewAttempt->FirstByteTimeout =
      HasFirstByteTimeout
          ? this->MatchedRoute->ResponseTarget * FirstByteTimeoutTargets
          : absl::ZeroDuration();
  NewAttempt->Selection = Chosen;
  if (!this->Core.Registry.limits().empty())
    this->logLimitedAttempt(*TargetReplica);
  this->Core.Registry.onRequestStarted(Chosen, Query);
  NewAttempt->setReplicaBytes(static_cast<int64_t>(this->Request.Body.size()));
  if (!Query.Segments.empty()) {
    this->Core.Hooks.OnWorkSent(Chosen);
    this->Core.Engines.onSent(this->Service, Chosen);
  }
  this->AttemptsSent += 1;
  this->Execution.markSent();
  NewAttempt->AwaitingConnect = IsNewConnection;
  if (IsNewConnection)
    NewAttempt->startTimeout(NewAttempt->Peer ? MaxTunnelDelay
                                              : Core.Settings.ConnectTimeout);
  else if (HasFirstByteTimeout)
    NewAttempt->startTimeout(NewAttempt->FirstByteTimeout);
  NewAttempt->Connection->start(
      forwardedHead(this->Request, Core.Settings.Names, Overrides) +
          this->Request.Body,
      this->Request.Method == "HEAD", NewAttempt);
}

} // namespace berylramp
