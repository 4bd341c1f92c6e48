//===- service_call.cpp - Execution of a plain service request ------------===//
//
// A non-idempotent request is reported as "ran: no" only when no connection was
// ever made for it and its claim has been abandoned for good. Once bytes may
// have been sent, the claim stays, and a repeated request is refused as "in
// doubt" instead of running a second time.
//
//===----------------------------------------------------------------------===//

#include "service_call.h"

#include "berylramp/json.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr absl::Duration ClaimTimeout = absl::Seconds(3);
constexpr absl::Duration BillTimeout = absl::Seconds(5);
constexpr absl::Duration ShortRetryDelay = absl::Milliseconds(300);
constexpr absl::Duration LongRetryDelay = absl::Seconds(2);

ServiceAnswer refuse(Refusal Reason) {
  ServiceAnswer Answer;
  Answer.Refused = std::move(Reason);
  return Answer;
}

} // namespace

ServiceRequestHandler::ServiceRequestHandler(RouterParts &Parts,
                                             ServiceRequest Request)
    : Parts(Parts), Request(std::move(Request)), ActiveCount(Parts),
      StartTime(Parts.Context.Timer.now()) {
  this->Timeline.Request = this->Request.Id;
  this->Timeline.Workspace = this->Request.Workspace;
  this->Timeline.StartedAt = Parts.Context.Timer.wallNow();
}

absl::Duration ServiceRequestHandler::elapsed() const {
  return this->Parts.Context.Timer.now() - this->StartTime;
}

void ServiceRequestHandler::recordStep(const std::string &Step,
                                       const std::string &Detail) {
  this->Timeline.add(this->elapsed(), Step, Detail);
}

ServiceAnswer ServiceRequestHandler::run() {
  ServiceAnswer Answer = this->admitAndRun();
  Metrics &Counts = this->Parts.Context.Counts;
  if (Answer.Refused) {
    Counts.countRefusal(Answer.Refused->Kind);
    this->recordStep("refused", absl::StrCat(refusalName(Answer.Refused->Kind),
                                             ": ", Answer.Refused->Detail));
  } else {
    Counts.count(Counter::AnswersWhole);
    Counts.observe(Latency::WholeRequest, this->elapsed());
  }
  this->Parts.Traces.add(std::move(this->Timeline));
  return Answer;
}

ServiceAnswer ServiceRequestHandler::admitAndRun() {
  this->Admitted = admitRequest(this->Parts, this->Request.Workspace,
                                this->Request.Kind, Tokens(0), NoOffset);
  this->Timeline.TableOffset = this->Admitted.Table.State->Applied;
  if (this->Admitted.Refused)
    return refuse(*this->Admitted.Refused);
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  if (this->Admitted.Kind.Service != this->Request.Service)
    return refuse(makeNotRunRefusal(
        RefusalKind::UnknownService,
        absl::StrCat("request kind '", this->Request.Kind.text(),
                     "' is served by service '",
                     this->Admitted.Kind.Service.text(), "'")));
  auto Allowed = Rows.AllowedServices.find(this->Request.Workspace);
  if (Allowed == Rows.AllowedServices.end() ||
      Allowed->second.count(this->Request.Service) == 0)
    return refuse(
        makeNotRunRefusal(RefusalKind::NoVersionAllowed,
                          "the table has no allow-service row for this "
                          "workspace and service"));
  BillReservation Reservation(this->Parts.Bills);
  if (!Reservation.isReserved())
    return refuse(makeNotRunRefusal(RefusalKind::BillBufferFull,
                                    "the bill buffer of this host is full",
                                    LongRetryDelay));
  this->recordStep("admitted", freshnessName(this->Admitted.TableFreshness));
  if (this->Admitted.Kind.Idempotent)
    return this->runIdempotent();
  std::optional<Refusal> Error = this->checkIdempotencyKey();
  return Error ? refuse(*Error) : this->runNonIdempotent();
}

std::optional<Refusal> ServiceRequestHandler::checkIdempotencyKey() const {
  if (this->Request.IdempotencyKey.empty() || this->Request.IssuedMillis < 0)
    return makeNotRunRefusal(
        RefusalKind::MissingIdempotencyKey,
        "requests of this kind may run at most once and need an "
        "idempotency key with its issue time");
  ClaimIdentity Identity{this->Request.Workspace, this->Request.IdempotencyKey,
                         this->Request.IssuedMillis};
  if (!isIdentityCurrent(Identity, this->Parts.Context.Timer.wallNow(),
                         this->Parts.Context.Settings.Claims))
    return makeNotRunRefusal(
        RefusalKind::KeyTooOld,
        "the idempotency key's issue time is outside the window");
  return std::nullopt;
}

ReplicaList ServiceRequestHandler::replicas() const {
  std::shared_ptr<const ReplicaIndex> Index = this->Parts.Replicas.index();
  auto Found = Index->ByService.find(this->Request.Service);
  return Found == Index->ByService.end() ? ReplicaList{} : Found->second;
}

int ServiceRequestHandler::pickReplica(
    const ReplicaList &Replicas, const std::vector<uint64_t> &Avoid) const {
  ReplicaInput Input;
  Input.Policy = ReplicaPolicy::TwoChoices;
  Input.Draw = randomUint64();
  Input.AvoidedIds = Avoid;
  return chooseReplica(viewsOf(Replicas, this->Parts.Context.Timer.now()),
                       Input);
}

ServiceResult ServiceRequestHandler::callReplica(Replica &Target) {
  ServiceCall Call;
  Call.Address = Target.Address;
  Call.Attempt = AttemptId(this->Request.Id.text());
  Call.Method = this->Request.Method;
  Call.Path = this->Request.Path;
  Call.Body = this->Request.Body;
  Call.IdempotencyKey = this->Request.IdempotencyKey;
  Call.Timeout = std::max(absl::Milliseconds(1),
                          this->Admitted.Kind.Deadline - this->elapsed());
  Target.beginCall();
  ServiceResult Result = this->Parts.Context.Ports.Upstreams.CallService(Call);
  bool Failed = Result.Fault != UpstreamFault::None;
  if (Target.endCall(Failed, this->Parts.Context.Timer.now()))
    this->Parts.Context.Counts.count(Counter::ReplicaEjections);
  this->recordStep(
      "attempt",
      absl::StrCat(Target.Id.text(), ": ",
                   Failed ? Result.Detail : absl::StrCat(Result.Status)));
  return Result;
}

bool ServiceRequestHandler::commitBill(const RequestId &Key) {
  Bill Record;
  Record.Workspace = this->Request.Workspace;
  Record.Request = Key;
  Record.Kind = this->Admitted.Kind.Id;
  Record.Cost = this->Admitted.Kind.CallCost;
  Record.Origin = this->Parts.Context.Settings.Host;
  Record.CompletedAtMillis =
      absl::ToUnixMillis(this->Parts.Context.Timer.wallNow());
  return this->Parts.Bills.commit(Record, BillTimeout);
}

ServiceAnswer ServiceRequestHandler::complete(const ServiceResult &Result,
                                              const RequestId &BillKey) {
  if (!this->commitBill(BillKey))
    return refuse(Refusal{RefusalKind::AnswerCut, ExecutionStatus::Unknown,
                          "the bill could not be stored durably in time",
                          LongRetryDelay});
  this->recordStep("bill",
                   absl::StrCat("cost ", this->Admitted.Kind.CallCost.count()));
  ServiceAnswer Answer;
  Answer.Status = Result.Status;
  Answer.Body = Result.Body;
  return Answer;
}

ServiceAnswer ServiceRequestHandler::runIdempotent() {
  creditRetryBudget(this->Parts);
  std::vector<uint64_t> Avoid;
  bool MaybeSent = false;
  for (int Attempts = 1;; ++Attempts) {
    ReplicaList Replicas = this->replicas();
    int SelectedIndex = this->pickReplica(Replicas, Avoid);
    ExecutionStatus Execution =
        MaybeSent ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted;
    if (SelectedIndex < 0)
      return refuse(Refusal{RefusalKind::NoReplica, Execution,
                            "no replica of the service accepts new requests",
                            LongRetryDelay});
    if (!mayDispatch(this->Parts))
      return refuse(Refusal{RefusalKind::StaleView, Execution,
                            "this host's table has not been confirmed recently "
                            "enough",
                            ShortRetryDelay});
    Replica &Target = *Replicas[static_cast<size_t>(SelectedIndex)];
    ServiceResult Result = this->callReplica(Target);
    MaybeSent |= Result.Fault != UpstreamFault::ConnectFailed;
    AttemptOutcome Outcome{Result.Fault, true, Tokens(0), Attempts,
                           this->Admitted.Kind.Deadline - this->elapsed()};
    AttemptAction Next = nextAttemptAction(Outcome);
    if (Next == AttemptAction::Finish)
      return this->complete(Result, this->Request.Id);
    if (Next == AttemptAction::Abandon || !consumeRetryBudget(this->Parts))
      return refuse(Refusal{
          RefusalKind::UpstreamFailed,
          MaybeSent ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted,
          "the service call failed: " + Result.Detail, ShortRetryDelay});
    this->Parts.Context.Counts.countRetry(
        retryReasonOf(Result.Fault, Tokens(0)));
    Avoid.push_back(Target.IdHash);
  }
}

Claim ServiceRequestHandler::makeClaim() const {
  Claim NewClaim;
  NewClaim.Identity =
      ClaimIdentity{this->Request.Workspace, this->Request.IdempotencyKey,
                    this->Request.IssuedMillis};
  NewClaim.BodyDigest = toHex(stableHash(
      absl::StrCat(this->Request.Kind.text(), "\x1f", this->Request.Method,
                   "\x1f", this->Request.Path, "\x1f", this->Request.Body)));
  NewClaim.Host = this->Parts.Context.Settings.Host;
  NewClaim.HostIncarnation = this->Parts.Context.HostIncarnation;
  NewClaim.Attempt = AttemptId(
      makeUuidV7(absl::ToUnixMillis(this->Parts.Context.Timer.wallNow())));
  return NewClaim;
}

ServiceAnswer ServiceRequestHandler::runNonIdempotent() {
  Claim OwnClaim = this->makeClaim();
  absl::StatusOr<ClaimEvaluation> Evaluation =
      this->Parts.Claims.claim(OwnClaim, ClaimTimeout);
  if (!Evaluation.ok())
    return refuse(makeNotRunRefusal(RefusalKind::LogUnavailable,
                                    std::string(Evaluation.status().message()),
                                    LongRetryDelay));
  if (Evaluation->Verdict != ClaimVerdict::Won) {
    this->recordStep("claim",
                     "owned by " + Evaluation->Owner.Record.Host.text());
    return this->answerFromOwner(*Evaluation);
  }
  this->recordStep(
      "claim",
      absl::StrCat("won at offset ", Evaluation->Owner.RecordOffset.count()));
  return this->dispatchClaimed(OwnClaim);
}

ServiceAnswer ServiceRequestHandler::dispatchClaimed(const Claim &OwnClaim) {
  std::vector<uint64_t> Avoid;
  while (true) {
    ReplicaList Replicas = this->replicas();
    int SelectedIndex = this->pickReplica(Replicas, Avoid);
    bool HasUntriedReplica =
        SelectedIndex >= 0 && Avoid.size() < Replicas.size();
    bool IsInTime = this->elapsed() < this->Admitted.Kind.Deadline;
    bool IsOwner = this->Parts.Claims.isOwner(OwnClaim);
    if (!HasUntriedReplica || !IsInTime || !IsOwner ||
        !mayDispatch(this->Parts)) {
      this->Parts.Claims.abandon(OwnClaim);
      return refuse(
          makeNotRunRefusal(RefusalKind::NoReplica,
                            "the request was not dispatched to any replica of "
                            "the service",
                            LongRetryDelay));
    }
    Replica &Target = *Replicas[static_cast<size_t>(SelectedIndex)];
    ServiceResult Result = this->callReplica(Target);
    if (Result.Fault == UpstreamFault::ConnectFailed) {
      this->Parts.Context.Counts.countRetry(RetryReason::ConnectFailed);
      Avoid.push_back(Target.IdHash);
      continue;
    }
    if (Result.Fault != UpstreamFault::None)
      return refuse(Refusal{RefusalKind::InDoubt, ExecutionStatus::Unknown,
                            "no complete answer arrived after the request was "
                            "sent",
                            LongRetryDelay});
    // The bill is keyed by the idempotency key, so that a retry is not billed
    // again.
    RequestId BillKey("order:" + this->Request.IdempotencyKey);
    this->Parts.Answers.store(
        OwnClaim.Attempt, CachedAnswer{Result.Status, Result.Body, BillKey});
    this->Parts.Claims.recordOutcome(OwnClaim, toHex(stableHash(Result.Body)));
    return this->complete(Result, BillKey);
  }
}

ServiceRequestHandler::CacheLookup
ServiceRequestHandler::fetchCachedAnswer(const ClaimEntry &Owner,
                                         CachedAnswer &Answer) {
  if (this->Parts.Answers.find(Owner.Record.Attempt, Answer))
    return CacheLookup::Found;
  if (Owner.Record.Host == this->Parts.Context.Settings.Host)
    return CacheLookup::NotCached;
  Endpoint Address;
  if (!this->Parts.Fleet.addressOf(Owner.Record.Host, Address))
    return CacheLookup::NoReply;
  Json::Value Params;
  Params["attempt"] = Owner.Record.Attempt.text();
  absl::StatusOr<Json::Value> Reply =
      this->Parts.Context.Ports.Peers.Call(Address, "kept_answer", Params);
  if (!Reply.ok()) {
    this->recordStep("cached answer", std::string(Reply.status().message()));
    return CacheLookup::NoReply;
  }
  if (!boolAt(*Reply, "found"))
    return CacheLookup::NotCached;
  Answer.Status = static_cast<int>(intAt(*Reply, "status"));
  Answer.Body = textAt(*Reply, "body");
  Answer.BillKey = RequestId(textAt(*Reply, "request"));
  return CacheLookup::Found;
}

bool ServiceRequestHandler::hasOwnerEnded(const Claim &OwnersClaim) const {
  if (!this->Parts.Fleet.isPeerUnavailable(OwnersClaim.Host,
                                           OwnersClaim.HostIncarnation))
    return false;
  if (this->Parts.Fleet.isKnown(OwnersClaim.Host))
    return true;
  // This host may not have received the owner's member record yet. An owner of
  // a recent key cannot have been silent for the whole timeout.
  absl::Duration KeyAge =
      this->Parts.Context.Timer.wallNow() -
      absl::FromUnixMillis(OwnersClaim.Identity.IssuedMillis);
  return KeyAge > this->Parts.Context.Settings.Times.DetachedTimeout;
}

ServiceAnswer
ServiceRequestHandler::answerFromOwner(const ClaimEvaluation &Evaluation) {
  const ClaimEntry &Owner = Evaluation.Owner;
  if (Evaluation.Verdict == ClaimVerdict::BodyMismatch)
    return refuse(makeNotRunRefusal(
        RefusalKind::KeyReused,
        "the idempotency key was already used with a different "
        "body"));
  CachedAnswer Cached;
  CacheLookup Lookup = this->fetchCachedAnswer(Owner, Cached);
  if (Lookup == CacheLookup::Found) {
    ServiceResult Result;
    Result.Status = Cached.Status;
    Result.Body = Cached.Body;
    ServiceAnswer Answer = this->complete(Result, Cached.BillKey);
    Answer.IsReplay = true;
    return Answer;
  }
  bool IsOwnerUnavailable = this->hasOwnerEnded(Owner.Record);
  bool IsRunning =
      Owner.Progress == ClaimProgress::Claimed && !IsOwnerUnavailable;
  if (IsRunning)
    return refuse(Refusal{RefusalKind::AlreadyRunning, ExecutionStatus::Unknown,
                          "the request is still running on host " +
                              Owner.Record.Host.text(),
                          ShortRetryDelay});
  // A host that does not reply in time may still hold the answer.
  if (Lookup == CacheLookup::NoReply && !IsOwnerUnavailable)
    return refuse(Refusal{RefusalKind::AlreadyRunning, ExecutionStatus::Unknown,
                          absl::StrCat("host ", Owner.Record.Host.text(),
                                       " holds the answer but did not reply"),
                          ShortRetryDelay});
  return refuse(
      Refusal{RefusalKind::InDoubt, ExecutionStatus::Unknown,
              absl::StrCat("the outcome is unknown: attempt ",
                           Owner.Record.Attempt.text(), " on host ",
                           Owner.Record.Host.text(), " left no answer"),
              absl::ZeroDuration()});
}

absl::StatusOr<Json::Value> onCachedAnswer(RouterParts &Parts,
                                           const Json::Value &Params) {
  CachedAnswer Cached;
  Json::Value Reply;
  bool Found = Parts.Answers.find(AttemptId(textAt(Params, "attempt")), Cached);
  Reply["found"] = Found;
  if (Found) {
    Reply["status"] = Cached.Status;
    Reply["body"] = Cached.Body;
    Reply["request"] = Cached.BillKey.text();
  }
  return Reply;
}

} // namespace berylramp::internal
