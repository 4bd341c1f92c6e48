//===- service_call.cpp - The path of a plain service's call --------------===//
//
// "ran: no" is said of an order only when no connection of it was ever made
// and its claim is given up for good. Once bytes may have left, the claim
// stays, and whoever asks hears "in doubt" rather than a second run.
//
//===----------------------------------------------------------------------===//

#include "service_call.h"

#include "berylramp/json.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr absl::Duration ClaimWait = absl::Seconds(3);
constexpr absl::Duration BillWait = absl::Seconds(5);
constexpr absl::Duration RetrySoon = absl::Milliseconds(300);
constexpr absl::Duration RetryLater = absl::Seconds(2);

ServiceAnswer refuse(Refusal Why) {
  ServiceAnswer Out;
  Out.Refused = std::move(Why);
  return Out;
}

} // namespace

ServicePath::ServicePath(RouterParts &Parts, ServiceRequest Request)
    : Parts(Parts), Asked(std::move(Request)), Counted(Parts),
      Began(Parts.Context.Timer.now()) {
  this->Story.Request = this->Asked.Request;
  this->Story.Workspace = this->Asked.Workspace;
  this->Story.StartedAt = Parts.Context.Timer.wallNow();
}

absl::Duration ServicePath::elapsed() const {
  return this->Parts.Context.Timer.now() - this->Began;
}

void ServicePath::note(const std::string &What, const std::string &Detail) {
  this->Story.add(this->elapsed(), What, Detail);
}

ServiceAnswer ServicePath::run() {
  ServiceAnswer Out = this->checked();
  Metrics &Counts = this->Parts.Context.Counts;
  if (Out.Refused) {
    Counts.countRefusal(Out.Refused->Kind);
    this->note("refused", absl::StrCat(refusalName(Out.Refused->Kind), ": ",
                                       Out.Refused->Detail));
  } else {
    Counts.count(Counter::AnswersWhole);
    Counts.observe(Latency::WholeRequest, this->elapsed());
  }
  this->Parts.Traces.keep(std::move(this->Story));
  return Out;
}

ServiceAnswer ServicePath::checked() {
  this->Admitted = admitRequest(this->Parts, this->Asked.Workspace,
                                this->Asked.Kind, Tokens(0), NoOffset);
  this->Story.TableOffset = this->Admitted.Table.State->Applied;
  if (this->Admitted.Refused)
    return refuse(*this->Admitted.Refused);
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  if (this->Admitted.Kind.Service != this->Asked.Service)
    return refuse(
        notRun(RefusalKind::UnknownService,
               absl::StrCat("kind '", this->Asked.Kind.text(),
                            "' is answered by service '",
                            this->Admitted.Kind.Service.text(), "'")));
  auto Allowed = Rows.AllowedServices.find(this->Asked.Workspace);
  if (Allowed == Rows.AllowedServices.end() ||
      Allowed->second.count(this->Asked.Service) == 0)
    return refuse(notRun(RefusalKind::NoVersionAllowed,
                         "the table has no allow-service row for this"));
  BillRoom Room(this->Parts.Bills);
  if (!Room.got())
    return refuse(notRun(RefusalKind::BillBufferFull,
                         "no room for another bill", RetryLater));
  this->note("admitted", freshnessName(this->Admitted.View));
  if (this->Admitted.Kind.Idempotent)
    return this->runRepeatable();
  std::optional<Refusal> Bad = this->checkOrder();
  return Bad ? refuse(*Bad) : this->runOrder();
}

std::optional<Refusal> ServicePath::checkOrder() const {
  if (this->Asked.IdempotencyKey.empty() || this->Asked.IssuedMillis < 0)
    return notRun(RefusalKind::MissingIdempotencyKey,
                  "this kind may run once only and needs a key with its issue "
                  "time");
  ClaimIdentity Identity{this->Asked.Workspace, this->Asked.IdempotencyKey,
                         this->Asked.IssuedMillis};
  if (!isIdentityCurrent(Identity, this->Parts.Context.Timer.wallNow(),
                         this->Parts.Context.Settings.Claims))
    return notRun(RefusalKind::KeyTooOld,
                  "the key's issue time is outside the window");
  return std::nullopt;
}

ReplicaList ServicePath::replicas() const {
  std::shared_ptr<const ReplicaIndex> Index = this->Parts.Board.index();
  auto Found = Index->ByService.find(this->Asked.Service);
  return Found == Index->ByService.end() ? ReplicaList{} : Found->second;
}

int ServicePath::pickReplica(const ReplicaList &Replicas,
                             const std::vector<uint64_t> &Avoid) const {
  ReplicaInput Input;
  Input.Policy = ReplicaPolicy::TwoChoices;
  Input.Draw = randomDraw();
  Input.AvoidedIds = Avoid;
  return chooseReplica(viewsOf(Replicas, this->Parts.Context.Timer.now()),
                       Input);
}

ServiceResult ServicePath::callOnce(Replica &Where) {
  ServiceCall Call;
  Call.To = Where.Address;
  Call.Attempt = AttemptId(this->Asked.Request.text());
  Call.Method = this->Asked.Method;
  Call.Path = this->Asked.Path;
  Call.Body = this->Asked.Body;
  Call.IdempotencyKey = this->Asked.IdempotencyKey;
  Call.Timeout = std::max(absl::Milliseconds(1),
                          this->Admitted.Kind.Deadline - this->elapsed());
  Where.beginCall();
  ServiceResult Result = this->Parts.Context.Ports.Upstreams.CallService(Call);
  bool Failed = Result.Fault != UpstreamFault::None;
  if (Where.endCall(Failed, this->Parts.Context.Timer.now()))
    this->Parts.Context.Counts.count(Counter::ReplicaEjections);
  this->note("attempt", absl::StrCat(Where.Id.text(), ": ",
                                     Failed ? Result.Detail
                                            : absl::StrCat(Result.Status)));
  return Result;
}

bool ServicePath::secureBill(const RequestId &Key) {
  Bill Which;
  Which.Workspace = this->Asked.Workspace;
  Which.Request = Key;
  Which.Kind = this->Admitted.Kind.Id;
  Which.Cost = this->Admitted.Kind.CallCost;
  Which.Origin = this->Parts.Context.Settings.Host;
  Which.AtMillis = absl::ToUnixMillis(this->Parts.Context.Timer.wallNow());
  return this->Parts.Bills.secure(Which, BillWait);
}

ServiceAnswer ServicePath::complete(const ServiceResult &Result,
                                    const RequestId &BillKey) {
  if (!this->secureBill(BillKey))
    return refuse(Refusal{RefusalKind::AnswerCut, ExecutionStatus::Unknown,
                          "the bill could not be made safe", RetryLater});
  this->note("bill",
             absl::StrCat("cost ", this->Admitted.Kind.CallCost.count()));
  ServiceAnswer Out;
  Out.Status = Result.Status;
  Out.Body = Result.Body;
  return Out;
}

ServiceAnswer ServicePath::runRepeatable() {
  creditRetryBudget(this->Parts);
  std::vector<uint64_t> Avoid;
  bool MaySent = false;
  for (int Attempts = 1;; ++Attempts) {
    ReplicaList Replicas = this->replicas();
    int Where = this->pickReplica(Replicas, Avoid);
    ExecutionStatus DidRun =
        MaySent ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted;
    if (Where < 0)
      return refuse(Refusal{RefusalKind::NoReplica, DidRun,
                            "no replica of the service takes new work",
                            RetryLater});
    if (!mayDispatch(this->Parts))
      return refuse(Refusal{RefusalKind::StaleView, DidRun,
                            "this host's view became too old", RetrySoon});
    Replica &Chosen = *Replicas[static_cast<size_t>(Where)];
    ServiceResult Result = this->callOnce(Chosen);
    MaySent |= Result.Fault != UpstreamFault::ConnectFailed;
    AttemptOutcome Outcome{Result.Fault, true, Tokens(0), Attempts,
                           this->Admitted.Kind.Deadline - this->elapsed()};
    AttemptAction Next = nextAttemptAction(Outcome);
    if (Next == AttemptAction::Finish)
      return this->complete(Result, this->Asked.Request);
    if (Next == AttemptAction::Abandon || !takeRetryFromBudget(this->Parts))
      return refuse(Refusal{
          RefusalKind::UpstreamFailed,
          MaySent ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted,
          "the service did not answer: " + Result.Detail, RetrySoon});
    this->Parts.Context.Counts.countRetry(
        retryReasonOf(Result.Fault, Tokens(0)));
    Avoid.push_back(Chosen.IdHash);
  }
}

Claim ServicePath::makeClaim() const {
  Claim Out;
  Out.Identity =
      ClaimIdentity{this->Asked.Workspace, this->Asked.IdempotencyKey,
                    this->Asked.IssuedMillis};
  Out.BodyDigest = hexText(stableHash(
      absl::StrCat(this->Asked.Kind.text(), "\x1f", this->Asked.Method, "\x1f",
                   this->Asked.Path, "\x1f", this->Asked.Body)));
  Out.Host = this->Parts.Context.Settings.Host;
  Out.HostIncarnation = this->Parts.Context.Life;
  Out.Attempt = AttemptId(
      makeUuidV7(absl::ToUnixMillis(this->Parts.Context.Timer.wallNow())));
  return Out;
}

ServiceAnswer ServicePath::runOrder() {
  Claim Which = this->makeClaim();
  absl::StatusOr<ClaimEvaluation> Judged =
      this->Parts.Claims.claim(Which, ClaimWait);
  if (!Judged.ok())
    return refuse(notRun(RefusalKind::LogUnavailable,
                         std::string(Judged.status().message()), RetryLater));
  if (Judged->Verdict != ClaimVerdict::Won) {
    this->note("claim", "owned by " + Judged->Owner.Record.Host.text());
    return this->answerFromOwner(*Judged);
  }
  this->note("claim", absl::StrCat("won at ", Judged->Owner.At.count()));
  return this->dispatchOrder(Which);
}

ServiceAnswer ServicePath::dispatchOrder(const Claim &Which) {
  std::vector<uint64_t> Avoid;
  while (true) {
    ReplicaList Replicas = this->replicas();
    int Where = this->pickReplica(Replicas, Avoid);
    bool IsUntried = Where >= 0 && Avoid.size() < Replicas.size();
    bool InTime = this->elapsed() < this->Admitted.Kind.Deadline;
    bool Owns = this->Parts.Claims.stillOwns(Which);
    if (!IsUntried || !InTime || !Owns || !mayDispatch(this->Parts)) {
      this->Parts.Claims.abandon(Which);
      return refuse(notRun(RefusalKind::NoReplica,
                           "no replica of the service could be reached",
                           RetryLater));
    }
    Replica &Chosen = *Replicas[static_cast<size_t>(Where)];
    ServiceResult Result = this->callOnce(Chosen);
    if (Result.Fault == UpstreamFault::ConnectFailed) {
      this->Parts.Context.Counts.countRetry(RetryReason::ConnectFailed);
      Avoid.push_back(Chosen.IdHash);
      continue;
    }
    if (Result.Fault != UpstreamFault::None)
      return refuse(Refusal{RefusalKind::InDoubt, ExecutionStatus::Unknown,
                            "the service's answer was lost", RetryLater});
    // The bill's key is the order's own, so that no retry is billed again.
    RequestId BillKey("order:" + this->Asked.IdempotencyKey);
    this->Parts.Answers.keep(Which.Attempt,
                             KeptAnswer{Result.Status, Result.Body, BillKey});
    this->Parts.Claims.finish(Which, hexText(stableHash(Result.Body)));
    return this->complete(Result, BillKey);
  }
}

bool ServicePath::fetchKept(const ClaimEntry &Owner, KeptAnswer &Out) {
  if (this->Parts.Answers.find(Owner.Record.Attempt, Out))
    return true;
  Endpoint Address;
  if (Owner.Record.Host == this->Parts.Context.Settings.Host ||
      !this->Parts.Fleet.addressOf(Owner.Record.Host, Address))
    return false;
  Json::Value Params;
  Params["attempt"] = Owner.Record.Attempt.text();
  absl::StatusOr<Json::Value> Answer =
      this->Parts.Context.Ports.Peers.Call(Address, "kept_answer", Params);
  if (!Answer.ok() || !boolAt(*Answer, "found"))
    return false;
  Out.Status = static_cast<int>(intAt(*Answer, "status"));
  Out.Body = textAt(*Answer, "body");
  Out.Request = RequestId(textAt(*Answer, "request"));
  return true;
}

ServiceAnswer ServicePath::answerFromOwner(const ClaimEvaluation &Judged) {
  const ClaimEntry &Owner = Judged.Owner;
  if (Judged.Verdict == ClaimVerdict::BodyMismatch)
    return refuse(notRun(RefusalKind::KeyReused,
                         "the key was used before with another body"));
  KeptAnswer Kept;
  if (this->fetchKept(Owner, Kept)) {
    ServiceResult Result;
    Result.Status = Kept.Status;
    Result.Body = Kept.Body;
    ServiceAnswer Out = this->complete(Result, Kept.Request);
    Out.IsReplay = true;
    return Out;
  }
  bool OwnerGone = this->Parts.Fleet.isPeerGone(Owner.Record.Host,
                                                Owner.Record.HostIncarnation);
  bool IsUnderWay = Owner.Progress == ClaimProgress::Claimed && !OwnerGone;
  if (IsUnderWay)
    return refuse(Refusal{
        RefusalKind::AlreadyRunning, ExecutionStatus::Unknown,
        "the order is under way at " + Owner.Record.Host.text(), RetrySoon});
  return refuse(
      Refusal{RefusalKind::InDoubt, ExecutionStatus::Unknown,
              absl::StrCat("attempt ", Owner.Record.Attempt.text(), " of ",
                           Owner.Record.Host.text(), " left no answer"),
              absl::ZeroDuration()});
}

absl::StatusOr<Json::Value> onKeptAnswer(RouterParts &Parts,
                                         const Json::Value &Params) {
  KeptAnswer Kept;
  Json::Value Out;
  bool Found = Parts.Answers.find(AttemptId(textAt(Params, "attempt")), Kept);
  Out["found"] = Found;
  if (Found) {
    Out["status"] = Kept.Status;
    Out["body"] = Kept.Body;
    Out["request"] = Kept.Request.text();
  }
  return Out;
}

} // namespace berylramp::internal
