//===- relay.cpp - Admission and the way to a replica ---------------------===//
//
// At most one attempt is under way. Whatever ends it comes back to the relay,
// which asks the ledger whether another replica may get the request.
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

/// Time that the way back to the caller takes at most inside a region.
constexpr absl::Duration AnswerMargin = absl::Milliseconds(20);
/// Used when a caller states no deadline.
constexpr absl::Duration DefaultDeadline = absl::Seconds(30);
/// A second attempt needs at least this long to be worth a replica's work.
constexpr absl::Duration ShortestAttempt = absl::Milliseconds(60);
/// Silence before the first byte, in targets, after which another replica is
/// tried, where that is allowed.
constexpr double SilentTargets = 2.5;
/// Part of a data centre's replicas that answers with the smaller models, so
/// that the largest one's long steps do not delay their short ones.
constexpr double SmallModelPart = 0.3;
/// Tries, sent or not, before a request is given up.
constexpr int MostTries = 6;

} // namespace

Relay::Relay(std::shared_ptr<void> Keep, RelayCore &Core, HttpRequest Request,
             ResponderPtr Answer)
    : Keep(std::move(Keep)), Core(Core), Request(std::move(Request)),
      Answer(std::move(Answer)), Deadline(Core.Loop) {}

void Relay::start() {
  this->Core.Counters.count(Counter::RequestsReceived);
  if (!this->admit())
    return;
  this->describe();
  this->armDeadline();
  this->Answer->onCallerGone([Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->callerGone();
  });
  this->Core.budget(this->Service).onFirstAttempt();
  this->next();
}

bool Relay::admit() {
  const HeaderNames &Names = this->Core.Settings.Names;
  if (const std::string *Id =
          findHeader(this->Request.Headers, Names.RequestId))
    this->RequestId = *Id;
  this->Table = this->Core.Hooks.Table();
  if (this->Table == nullptr) {
    this->refuse(RefusalKind::NoTable, "no table was read since the start",
                 BackWhenStarting);
    return false;
  }
  this->Which =
      findRoute(*this->Table, hostOf(this->Request), this->Request.Target);
  if (this->Which == nullptr) {
    this->refuse(RefusalKind::UnknownService, "no route matches the path",
                 absl::ZeroDuration());
    return false;
  }
  const WorkspaceInfo *Found =
      findWorkspace(*this->Table, keyOf(this->Request, Names));
  if (Found != nullptr)
    this->Workspace = *Found;
  bool NeedsKey = !this->Table->Workspaces.empty() && !this->Which->Anonymous;
  if (Found == nullptr && NeedsKey) {
    this->refuse(RefusalKind::BadKey, "no workspace holds this key",
                 absl::ZeroDuration());
    return false;
  }
  if (this->Core.Hooks.RefusesNew()) {
    this->refuse(RefusalKind::Overloaded, "this host is stopping",
                 BackElsewhere);
    return false;
  }
  return true;
}

void Relay::describe() {
  const HeaderNames &Names = this->Core.Settings.Names;
  this->Ledger = RunLedger(this->Which->Rule);
  this->Prompt = promptFacts(this->Request, Names);
  this->Service = pickService(*this->Which, drawOf(this->RequestId));
  const std::string *Session = findHeader(this->Request.Headers, Names.Session);
  const std::string &Group = Session != nullptr ? *Session : this->RequestId;
  this->Rule = this->Core.Hooks.VersionFor(
      this->Service, drawOf(absl::StrCat("version/", Group)));
  int64_t Last = -1;
  if (const std::string *Id =
          findHeader(this->Request.Headers, Names.LastEventId))
    Last = absl::SimpleAtoi(*Id, &Last) ? Last : -1;
  this->Order = EventOrder(Last);
  const std::string *Model = findHeader(this->Request.Headers, Names.Model);
  this->ChoosesModel = Model != nullptr && *Model == Names.AnyModel &&
                       !this->Which->Models.empty();
  if (!this->ChoosesModel)
    return;
  const ServiceInfo *Info = this->Table->service(this->Service);
  for (const ModelId &Each : this->Which->Models) {
    double Cost = 0;
    if (Info != nullptr)
      for (const ModelPrice &Price : Info->Prices)
        if (Price.Model == Each)
          Cost = Price.CostPerThousand;
    this->Models.CostPerThousand.push_back(Cost);
  }
  this->Models.PromptTokens = this->Prompt.PromptTokens;
  this->Models.OutputTokens = this->Prompt.OutputTokens;
  this->Models.AttemptsLeft = this->Which->MaxAttempts;
  // A continued answer goes on with the model that answers anything.
  this->ModelIndex =
      Last >= 0 ? this->Which->Models.size() - 1
                : firstModel(this->Models, this->Core.Settings.Cascade);
}

void Relay::armDeadline() {
  const HeaderNames &Names = this->Core.Settings.Names;
  absl::Duration Has = DefaultDeadline;
  int64_t Ms = 0;
  const std::string *Field =
      findHeader(this->Request.Headers, Names.DeadlineMs);
  if (Field != nullptr && absl::SimpleAtoi(*Field, &Ms))
    Has = absl::Milliseconds(Ms) - AnswerMargin;
  Has = std::min(Has, this->Which->Timeout);
  this->DeadlineAt = this->Request.ArrivedAt + Has;
  this->Deadline.set(Has, [Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->expired();
  });
}

ChoiceQuery Relay::query() const {
  ChoiceQuery Out;
  Out.Service = this->Service;
  Out.Rule = this->Rule;
  if (this->Which->EventStream) {
    Out.Segments = this->Prompt.Parts;
    // Engines keep a part for each model by itself.
    uint64_t Model = stableHash(this->modelOfAttempt().text());
    for (PromptSegment &Part : Out.Segments)
      Part.Id ^= Model;
    auto Pace = this->Core.Paces.find({this->Service, this->modelOfAttempt()});
    Out.MsPerToken = Pace == this->Core.Paces.end()
                         ? PrefillRateEstimator().msPerToken()
                         : Pace->second.msPerToken();
  }
  Out.Tried = this->Tried;
  Out.Now = this->now();
  bool Small = this->ModelIndex + 1 < this->Models.CostPerThousand.size();
  if (this->ChoosesModel && Small)
    Out.PreferredTo = SmallModelPart;
  else if (this->ChoosesModel)
    Out.PreferredFrom = SmallModelPart;
  return Out;
}

ModelId Relay::modelOfAttempt() const {
  return this->ChoosesModel ? this->Which->Models[this->ModelIndex] : ModelId();
}

bool Relay::maySecond() const {
  return this->Ledger.mayRepeat() &&
         this->AttemptsSent < this->Which->MaxAttempts &&
         this->Tries<MostTries &&this->DeadlineAt - this->now()>
             ShortestAttempt;
}

void Relay::next() {
  if (this->Done)
    return;
  if (this->Tries > 0 && !this->maySecond()) {
    this->giveUp(RefusalKind::UpstreamFailed, "no attempt is left");
    return;
  }
  ChoiceQuery Query = this->query();
  Choice Chosen = this->Core.Registry.choose(Query);
  if (Chosen.Target == nullptr && this->Tries > 0) {
    // Every replica was tried: one that was full or lost the connection may
    // serve by now.
    this->Tried.clear();
    Query.Tried.clear();
    Chosen = this->Core.Registry.choose(Query);
  }
  if (Chosen.Target == nullptr) {
    this->giveUp(RefusalKind::NoReplica, "no replica is known");
    return;
  }
  bool Overloaded = this->Core.Registry.utilization(this->query()) >
                    this->Core.Settings.RefuseAbove;
  if (this->Tries == 0 && Overloaded) {
    this->giveUp(RefusalKind::Overloaded, "the replicas' queues are full");
    return;
  }
  bool Paid = this->AttemptsSent == 0 || this->BudgetTaken ||
              this->Core.budget(this->Service).tryAcquire();
  this->BudgetTaken = false;
  if (!Paid) {
    this->giveUp(RefusalKind::UpstreamFailed, "the retry budget is used up");
    return;
  }
  this->send(Chosen, Query);
}

PrefillRateEstimator &Relay::pace() {
  return this->Core.Paces[{this->Service, this->modelOfAttempt()}];
}

void Relay::send(const Choice &Chosen, const ChoiceQuery &Query) {
  const ReplicaPtr &To = Chosen.Target;
  const RelayCore &Core = this->Core;
  Instant Now = this->now();
  this->Tries += 1;
  this->Tried.push_back(To->Entry.Id);
  this->LastReplica = To->Entry.Id.text();
  this->LastExpected = Chosen.QueueDelay + Chosen.PrefillTime;
  auto Made = std::make_shared<Attempt>(this->weak_from_this(), To, Core.Loop);
  this->Current = Made;
  bool MayKeep = this->Which->Rule != Repeat::AtMostOnce;
  if (MayKeep)
    Made->Wire = this->Core.Pool.take(To->Entry.Id, Now);
  bool New = Made->Wire == nullptr;
  if (New)
    Made->Wire =
        std::make_shared<UpstreamConnection>(Core.Loop, To->Entry.Address);
  ForwardFacts Facts;
  Facts.DeadlineMs =
      std::max<int64_t>(1, absl::ToInt64Milliseconds(this->DeadlineAt - Now));
  Facts.Expect = To->Entry.Id;
  Facts.Workspace = this->Workspace.Id;
  Facts.Model = this->modelOfAttempt();
  Facts.LastEventId = this->Order.last();
  Facts.Urgency = this->Workspace.Priority >= 0 ? this->Workspace.Priority
                                                : this->Which->Priority;
  Made->SentAt = Now;
  bool Silences = MayKeep && this->AttemptsSent + 1 < this->Which->MaxAttempts;
  Made->FirstByteWithin =
      Silences ? this->Which->Target * SilentTargets : absl::ZeroDuration();
  Made->Expected = Chosen;
  this->Core.Registry.onRequestStarted(Chosen, Query);
  if (Chosen.PrefillTime > absl::ZeroDuration())
    this->Core.Hooks.SentWork(*To, Chosen.PrefillTime);
  this->AttemptsSent += 1;
  this->Ledger.handedOver();
  Made->WaitsForConnect = New;
  if (New)
    Made->watch(Core.Settings.ConnectTime);
  else if (Silences)
    Made->watch(Made->FirstByteWithin);
  Made->Wire->start(forwardedRequest(this->Request, Core.Settings.Names, Facts),
                    this->Request.Method == "HEAD", Made);
}

} // namespace berylramp
