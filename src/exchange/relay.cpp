//===- relay.cpp - One caller's request on its way ------------------------===//
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
/// When to come back: after the time in which a busy engine ends a request, a
/// restarted host reads its table, or a lost replica is replaced.
constexpr absl::Duration BackWhenBusy = absl::Milliseconds(700);
constexpr absl::Duration BackWhenStarting = absl::Milliseconds(500);
constexpr absl::Duration BackElsewhere = absl::Milliseconds(50);
/// Silence before the first byte, in targets, after which another replica is
/// tried, where that is allowed.
constexpr double SilentTargets = 2.5;
/// Part of a data centre's replicas that answers with the smaller models, so
/// that the largest one's long steps do not delay their short ones.
constexpr double SmallModelPart = 0.3;
/// Tries, sent or not, before a request is given up.
constexpr int MostTries = 6;

} // namespace

/// One hand-over to one replica.
class Relay::Attempt : public AnswerListener,
                       public std::enable_shared_from_this<Attempt> {
public:
  Attempt(std::weak_ptr<Relay> Owner, ReplicaPtr To,
          boost::asio::io_context &Loop)
      : To(std::move(To)), Owner(std::move(Owner)), Clock(Loop) {}

  void onHead(const HttpHead &Answer) override {
    this->Clock.cancel();
    if (auto Up = this->Owner.lock())
      Up->headArrived(*this, Answer);
  }
  void onBody(std::string Part) override {
    if (auto Up = this->Owner.lock())
      Up->bodyArrived(*this, std::move(Part));
  }
  void onEnd() override {
    this->Clock.cancel();
    if (auto Up = this->Owner.lock())
      Up->ended(*this);
  }
  void onFault(ConnectionFault Why) override {
    this->Clock.cancel();
    auto Up = this->Owner.lock();
    if (!Up)
      return;
    bool Sent = Why != ConnectionFault::NotConnected;
    RetryReason Reason = !Sent             ? RetryReason::ConnectFailed
                         : this->FirstByte ? RetryReason::CutMidStream
                                           : RetryReason::CutBeforeFirstByte;
    Up->failed(*this, Reason, Outcome::Broken, Sent);
  }

  /// Ends the attempt when nothing has come for \p After.
  void watch(absl::Duration After) {
    this->Clock.expires_after(absl::ToChronoNanoseconds(After));
    this->Clock.async_wait(
        [Weak = this->weak_from_this()](const boost::system::error_code &E) {
          auto Self = Weak.lock();
          if (Self && !E)
            Self->silent();
        });
  }

  void silent() {
    auto Up = this->Owner.lock();
    if (!Up)
      return;
    bool Sent = this->Wire->isConnected();
    if (Sent && this->WaitsForConnect) {
      this->WaitsForConnect = false;
      if (this->FirstByteWithin > absl::ZeroDuration())
        this->watch(this->FirstByteWithin);
      return;
    }
    Up->failed(*this,
               Sent ? RetryReason::LateAnswer : RetryReason::ConnectFailed,
               Outcome::Broken, Sent);
  }

  ReplicaPtr To;
  Choice Expected;
  std::weak_ptr<Relay> Owner;
  boost::asio::steady_timer Clock;
  UpstreamConnectionPtr Wire;
  Instant SentAt;
  absl::Duration FirstByteWithin;
  bool WaitsForConnect = false;
  bool FirstByte = false;
  bool Streams = false;
  bool Judged = false;
  HttpHead Head;
  std::string Body;
  EventSplitter Splitter;
};

Relay::Relay(std::shared_ptr<void> Keep, RelayCore &Core,
             HttpRequest Request, ResponderPtr Answer)
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
  this->Core.budget(this->Service).firstAttempt();
  this->next();
}

bool Relay::admit() {
  const HeaderNames &Names = this->Core.Settings.Names;
  if (const std::string *Id = findHeader(this->Request.Headers,
                                         Names.RequestId))
    this->RequestId = *Id;
  this->Table = this->Core.Hooks.Table();
  if (this->Table == nullptr) {
    this->refuse(RefusalKind::NoTable, "no table was read since the start",
                 BackWhenStarting);
    return false;
  }
  this->Which = findRoute(*this->Table, hostOf(this->Request),
                          this->Request.Target);
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
  const std::string *Session =
      findHeader(this->Request.Headers, Names.Session);
  const std::string &Group = Session != nullptr ? *Session : this->RequestId;
  this->Rule = this->Core.Hooks.VersionFor(
      this->Service, drawOf(absl::StrCat("version/", Group)));
  int64_t Last = -1;
  if (const std::string *Id = findHeader(this->Request.Headers,
                                         Names.LastEventId))
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
  this->ModelIndex = Last >= 0 ? this->Which->Models.size() - 1
                               : firstModel(this->Models,
                                            this->Core.Settings.Cascade);
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
  this->Deadline.expires_after(absl::ToChronoNanoseconds(Has));
  this->Deadline.async_wait(
      [Weak = this->weak_from_this()](const boost::system::error_code &E) {
        if (auto Self = Weak.lock(); Self && !E)
          Self->expired();
      });
}

ChoiceQuery Relay::query() const {
  ChoiceQuery Out;
  Out.Service = this->Service;
  Out.Rule = this->Rule;
  if (this->Which->EventStream) {
    Out.Parts = this->Prompt.Parts;
    // Engines keep a part for each model by itself.
    uint64_t Model = stableHash(this->modelOfAttempt().text());
    for (PromptPart &Part : Out.Parts)
      Part.Id ^= Model;
    auto Pace = this->Core.Paces.find({this->Service, this->modelOfAttempt()});
    Out.MsPerToken = Pace == this->Core.Paces.end()
                         ? ReadingPace().msPerToken()
                         : Pace->second.msPerToken();
  }
  Out.Tried = this->Tried;
  Out.Now = this->now();
  bool Small = this->ModelIndex + 1 < this->Models.CostPerThousand.size();
  if (this->ChoosesModel && Small)
    Out.PartTo = SmallModelPart;
  else if (this->ChoosesModel)
    Out.PartFrom = SmallModelPart;
  return Out;
}

ModelId Relay::modelOfAttempt() const {
  return this->ChoosesModel ? this->Which->Models[this->ModelIndex]
                            : ModelId();
}

bool Relay::maySecond() const {
  return this->Ledger.mayRepeat() &&
         this->AttemptsSent < this->Which->MaxAttempts &&
         this->Tries < MostTries &&
         this->DeadlineAt - this->now() > ShortestAttempt;
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
  if (Chosen.To == nullptr && this->Tries > 0) {
    // Every replica was tried: one that was full or lost the connection may
    // serve by now.
    this->Tried.clear();
    Query.Tried.clear();
    Chosen = this->Core.Registry.choose(Query);
  }
  if (Chosen.To == nullptr) {
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
              this->Core.budget(this->Service).take();
  this->BudgetTaken = false;
  if (!Paid) {
    this->giveUp(RefusalKind::UpstreamFailed, "the retry budget is used up");
    return;
  }
  this->send(Chosen, Query);
}

ReadingPace &Relay::pace() {
  return this->Core.Paces[{this->Service, this->modelOfAttempt()}];
}

void Relay::send(const Choice &Chosen, const ChoiceQuery &Query) {
  const ReplicaPtr &To = Chosen.To;
  const RelayCore &Core = this->Core;
  Instant Now = this->now();
  this->Tries += 1;
  this->Tried.push_back(To->Entry.Id);
  this->LastReplica = To->Entry.Id.text();
  auto Made =
      std::make_shared<Attempt>(this->weak_from_this(), To, Core.Loop);
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
  this->Core.Registry.began(Chosen, Query);
  if (Chosen.Work > absl::ZeroDuration())
    this->Core.Hooks.SentWork(*To, Chosen.Work);
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

void Relay::headArrived(Attempt &From, const HttpHead &Head) {
  const HeaderNames &Names = this->Core.Settings.Names;
  Instant Now = this->now();
  From.Head = Head;
  From.FirstByte = true;
  this->Core.Registry.firstByte(From.Expected, Now - From.SentAt, Now);
  if (Head.Status == 200 && this->Which->EventStream)
    this->pace().learn(this->Prompt.PromptTokens,
                       absl::ToDoubleMilliseconds(Now - From.SentAt));
  ReportedLoad Load;
  const std::string *Text = findHeader(Head.Headers, Names.ReplicaLoad);
  if (Text != nullptr && parseLoad(*Text, Load)) {
    Load.At = Now;
    this->Core.Registry.reported(*From.To, Load);
  }
  if (Head.Status == 421) {
    this->rejected(From, Outcome::Misdirected);
    return;
  }
  bool NotRun = findHeader(Head.Headers, Names.NotRun) != nullptr;
  if (NotRun && Head.Status != 400) {
    this->rejected(From, Outcome::Full);
    return;
  }
  const std::string *Id = findHeader(Head.Headers, Names.RequestId);
  bool Foreign = Id != nullptr ? *Id != this->RequestId : Head.Status < 300;
  if (Foreign) {
    this->failed(From, RetryReason::CrossedAnswer, Outcome::Broken, true);
    return;
  }
  bool Success = Head.Status >= 200 && Head.Status < 300;
  bool Signed = findHeader(Head.Headers, Names.Signature) != nullptr;
  bool Encoded = findHeader(Head.Headers, "Content-Encoding") != nullptr;
  if (Success && (!Signed || Encoded)) {
    this->failed(From, RetryReason::CrossedAnswer, Outcome::Broken, true);
    return;
  }
  if (Success && this->tooUnsure(Head)) {
    this->Core.Counters.count(Counter::Escalations);
    this->judge(From, true);
    this->dropAttempt(Outcome::Neutral);
    this->ModelIndex = nextModel(this->Models, this->ModelIndex);
    this->Tried.clear();
    this->next();
    return;
  }
  From.Streams = Success && this->Which->EventStream;
}

bool Relay::largerIsLate() {
  size_t Present = this->ModelIndex;
  this->ModelIndex = nextModel(this->Models, Present);
  Choice Larger = this->Core.Registry.choose(this->query());
  this->ModelIndex = Present;
  absl::Duration Elapsed = this->now() - this->Request.ArrivedAt;
  return Elapsed + Larger.Wait + Larger.Work > this->Which->Target;
}

bool Relay::tooUnsure(const HttpHead &Head) {
  if (!this->ChoosesModel || this->Order.any() || this->StreamBegun)
    return false;
  const std::string *Text =
      findHeader(Head.Headers, this->Core.Settings.Names.Confidence);
  int Confidence = 0;
  if (Text == nullptr || !absl::SimpleAtoi(*Text, &Confidence))
    return false;
  CascadeQuery Query = this->Models;
  Query.AttemptsLeft = this->Which->MaxAttempts - this->AttemptsSent + 1;
  Query.LargerIsLate = this->largerIsLate();
  bool Unsure = !keepsAnswer(Query, this->Core.Settings.Cascade,
                             this->ModelIndex, Confidence);
  if (!Unsure || !this->maySecond())
    return false;
  // An unsure answer is better than none: keep it when no budget is left.
  this->BudgetTaken = this->Core.budget(this->Service).take();
  return this->BudgetTaken;
}

void Relay::bodyArrived(Attempt &From, std::string Part) {
  if (From.Streams)
    this->passEvents(From, Part);
  else
    From.Body += Part;
}

void Relay::passEvents(Attempt &From, const std::string &Part) {
  auto Self = this->shared_from_this();
  auto Hold = From.shared_from_this();
  std::string Out;
  for (StreamEvent &Event : From.Splitter.feed(Part)) {
    EventOrder::Verdict Verdict = this->Order.judge(Event.Id);
    if (Verdict == EventOrder::Verdict::Gap) {
      this->failed(From, RetryReason::CutMidStream, Outcome::Broken, true);
      break;
    }
    if (Verdict == EventOrder::Verdict::Next)
      Out += Event.Bytes;
  }
  if (Out.empty())
    return;
  if (this->StreamBegun)
    this->LongestPause = std::max(this->LongestPause,
                                  this->now() - this->LastEventAt);
  this->LastEventAt = this->now();
  if (!this->StreamBegun) {
    this->StreamBegun = true;
    this->FirstEventAfter = this->now() - this->Request.ArrivedAt;
    this->Core.Counters.observe(Latency::FirstToken,
                                this->now() - this->Request.ArrivedAt);
    this->judge(From, true);
    this->Answer->beginStream(relayedHead(From.Head));
  }
  this->Answer->sendPart(std::move(Out));
  if (this->Current == Hold)
    From.watch(this->Core.Settings.SilenceTime);
}

void Relay::ended(Attempt &From) {
  if (!From.Streams) {
    this->passWhole(From);
    return;
  }
  if (From.Splitter.midEvent() || !this->StreamBegun) {
    this->failed(From, RetryReason::CutMidStream, Outcome::Broken, true);
    return;
  }
  this->Core.Pool.give(From.To->Entry.Id, From.Wire, this->now());
  this->Core.Registry.ended(*From.To, Outcome::Good, this->now());
  this->Current.reset();
  this->Core.Counters.count(Counter::AnswersStreamed);
  this->Answer->endStream();
  this->finish("answered", From.Head.Status, "");
}

void Relay::passWhole(Attempt &From) {
  bool Good = From.Head.Status < 500;
  this->judge(From, Good);
  if (!Good && this->Which->Rule != Repeat::AtMostOnce && this->maySecond()) {
    this->failed(From, RetryReason::UpstreamRefused, Outcome::Failed, true);
    return;
  }
  if (this->StreamBegun) {
    // A continued stream met a failure, which the caller must not see as its
    // end.
    this->failed(From, RetryReason::CutMidStream, Outcome::Failed, true);
    return;
  }
  auto Hold = From.shared_from_this();
  this->Core.Pool.give(From.To->Entry.Id, From.Wire, this->now());
  this->Core.Registry.ended(
      *From.To, Good ? Outcome::Good : Outcome::Failed, this->now());
  this->Current.reset();
  this->Core.Counters.count(Counter::AnswersWhole);
  this->Answer->sendWhole(relayedHead(From.Head), From.Body, false);
  this->finish("answered", From.Head.Status, "");
}

void Relay::rejected(Attempt &From, Outcome How) {
  if (How == Outcome::Misdirected) {
    this->Core.Pool.drop(From.To->Entry.Id);
    this->Core.Hooks.Misdirected(From.To->Entry.Id);
  }
  this->Core.Counters.countRetry(RetryReason::UpstreamRefused);
  this->dropAttempt(How);
  this->Ledger.rejected();
  this->next();
}

void Relay::failed(Attempt &From, RetryReason Reason, Outcome How, bool Sent) {
  auto Self = this->shared_from_this();
  auto Hold = From.shared_from_this();
  if (this->Current != Hold)
    return;
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["replica"] = From.To->Entry.Id.text();
  Line["reason"] = retryReasonName(Reason);
  Line["sent"] = Sent;
  Line["waited_ms"] = absl::ToInt64Milliseconds(this->now() - From.SentAt);
  logEvent(LogLevel::Info, "attempt_failed", Line);
  this->Core.Counters.countRetry(Reason);
  if (Sent)
    this->judge(From, false);
  this->dropAttempt(How);
  if (!Sent) {
    this->Ledger.neverSent();
    this->AttemptsSent -= 1;
  }
  this->next();
}

void Relay::judge(const Attempt &Of, bool Good) {
  auto &Seen = const_cast<Attempt &>(Of);
  if (Seen.Judged && Good)
    return;
  Seen.Judged = true;
  this->Core.Hooks.Judge(this->Service, Of.To->Entry.Version, Good,
                         this->now() - Of.SentAt);
}

void Relay::dropAttempt(Outcome How) {
  if (this->Current == nullptr)
    return;
  std::shared_ptr<Attempt> Over = std::move(this->Current);
  this->Current.reset();
  Over->Clock.cancel();
  Over->Wire->cancel();
  if (!Over->FirstByte)
    this->Core.Registry.withdrawn(Over->Expected, this->now());
  this->Core.Registry.ended(*Over->To, How, this->now());
}

void Relay::giveUp(RefusalKind Kind, const std::string &Detail) {
  if (this->StreamBegun) {
    this->Answer->abort();
    this->finish("broken", 0, Detail);
    return;
  }
  if (this->Ledger.provablyNotRun()) {
    bool Busy = Kind != RefusalKind::NoReplica;
    this->refuse(Busy ? RefusalKind::Overloaded : Kind, Detail,
                 Busy ? BackWhenBusy : BackWhenStarting);
    return;
  }
  this->refuse(RefusalKind::UpstreamFailed, Detail, absl::ZeroDuration());
}

void Relay::refuse(RefusalKind Kind, const std::string &Detail,
                   absl::Duration RetryAfter) {
  Refusal Told;
  Told.Kind = Kind;
  Told.DidRun = this->Ledger.provablyNotRun() ? Ran::No : Ran::Unknown;
  Told.Detail = Detail;
  Told.RetryAfter = RetryAfter;
  HttpHead Head;
  Head.Status = refusalStatus(Kind);
  Head.Headers.emplace_back("Content-Type", "application/json");
  if (!this->RequestId.empty())
    Head.Headers.emplace_back(this->Core.Settings.Names.RequestId,
                              this->RequestId);
  if (RetryAfter > absl::ZeroDuration())
    Head.Headers.emplace_back(
        "Retry-After",
        absl::StrFormat("%.3f", absl::ToDoubleSeconds(RetryAfter)));
  this->Core.Counters.countRefusal(Kind);
  bool Stopping = this->Core.Hooks.RefusesNew();
  this->Answer->sendWhole(Head, writeJson(refusalToJson(Told, this->RequestId)),
                          Stopping);
  this->finish("refused", Head.Status,
               absl::StrCat(refusalName(Kind), ": ", Detail));
}

void Relay::expired() {
  bool Sent = this->Current != nullptr;
  this->dropAttempt(Outcome::Neutral);
  if (this->StreamBegun) {
    this->Answer->abort();
    this->finish("broken", 0, "the deadline passed");
    return;
  }
  bool NotRun = !Sent && this->Ledger.provablyNotRun();
  this->refuse(NotRun ? RefusalKind::Overloaded : RefusalKind::DeadlinePassed,
               "the deadline passed", NotRun ? BackWhenBusy
                                             : absl::ZeroDuration());
}

void Relay::callerGone() {
  this->dropAttempt(Outcome::Neutral);
  this->finish("caller_left", 0, "");
}

void Relay::abort(const char *Why) {
  if (this->Done)
    return;
  this->dropAttempt(Outcome::Neutral);
  this->Answer->abort();
  this->finish("broken", 0, Why);
}

void Relay::finish(const char *Result, int Status, const std::string &Why) {
  if (this->Done)
    return;
  this->Done = true;
  this->Deadline.cancel();
  this->dropAttempt(Outcome::Neutral);
  absl::Duration Took = this->now() - this->Request.ArrivedAt;
  this->Core.Counters.observe(Latency::WholeRequest, Took);
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["result"] = Result;
  Line["status"] = Status;
  Line["ms"] = absl::ToInt64Milliseconds(Took);
  Line["attempts"] = this->AttemptsSent;
  if (this->Table != nullptr)
    Line["table"] = Json::Int64(this->Table->Version.count());
  if (this->Which != nullptr)
    Line["route"] = this->Which->Name;
  if (!this->LastReplica.empty())
    Line["replica"] = this->LastReplica;
  if (this->ChoosesModel)
    Line["model"] = this->Which->Models[this->ModelIndex].text();
  if (const std::string *Session = findHeader(
          this->Request.Headers, this->Core.Settings.Names.Session))
    Line["session"] = *Session;
  if (this->StreamBegun) {
    Line["last_event"] = Json::Int64(this->Order.last());
    Line["first_ms"] =
        Json::Int64(absl::ToInt64Milliseconds(this->FirstEventAfter));
    Line["pause_ms"] =
        Json::Int64(absl::ToInt64Milliseconds(this->LongestPause));
    Line["prompt"] = Json::Int64(this->Prompt.PromptTokens);
  }
  if (!Why.empty())
    Line["why"] = Why;
  logEvent(LogLevel::Info, "request_done", Line);
  this->Core.Active.erase(this->shared_from_this());
}

Exchange::Exchange(boost::asio::io_context &Loop, TimerService &Timer,
                   Metrics &Counters, UpstreamRegistry &Registry,
                   ExchangeSettings Settings, ExchangeHooks Hooks)
    : Shared(std::make_shared<RelayCore>(Loop, Timer, Counters, Registry,
                                    std::move(Settings), std::move(Hooks))) {}

Exchange::~Exchange() { this->abortAll(); }

void Exchange::handle(HttpRequest Request, ResponderPtr Answer) {
  auto Made = std::make_shared<Relay>(this->Shared, *this->Shared,
                                      std::move(Request), std::move(Answer));
  this->Shared->Active.insert(Made);
  Made->start();
}

void Exchange::setRetrySlack(double Slack) {
  this->Shared->Settings.RetrySlack = Slack;
  for (auto &[Service, Budget] : this->Shared->Budgets)
    Budget.setMost(Slack);
}

size_t Exchange::active() const { return this->Shared->Active.size(); }

void Exchange::abortAll() {
  auto All = this->Shared->Active;
  for (const std::shared_ptr<Relay> &Each : All)
    Each->abort("the host stops");
}

void Exchange::sweep() { this->Shared->Pool.sweep(this->Shared->Timer.now()); }

} // namespace berylramp
