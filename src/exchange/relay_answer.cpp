//===- relay_answer.cpp - What a replica answers --------------------------===//
//
// An answer is passed on only when it is this request's, signed and framed. A
// stream that breaks goes on at another replica behind the last whole event.
//
//===----------------------------------------------------------------------===//

#include "relay.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "berylramp/json.h"
#include <algorithm>

namespace berylramp {

void Relay::headArrived(Attempt &From, const HttpHead &Head) {
  const HeaderNames &Names = this->Core.Settings.Names;
  Instant Now = this->now();
  From.Head = Head;
  From.FirstByte = true;
  this->Core.Registry.onFirstByte(From.Expected, Now - From.SentAt, Now);
  if (Head.Status == 200 && this->Which->EventStream)
    this->pace().addSample(this->Prompt.PromptTokens,
                           absl::ToDoubleMilliseconds(Now - From.SentAt));
  ReportedLoad Load;
  const std::string *Text = findHeader(Head.Headers, Names.ReplicaLoad);
  if (Text != nullptr && parseLoad(*Text, Load)) {
    Load.At = Now;
    this->Core.Registry.onLoadReport(*From.To, Load);
    this->LastLoad = Load;
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
    this->failed(From, RetryReason::CrossedAnswer, Outcome::ConnectionFailed,
                 true);
    return;
  }
  bool Success = Head.Status >= 200 && Head.Status < 300;
  bool Signed = findHeader(Head.Headers, Names.Signature) != nullptr;
  bool Encoded = findHeader(Head.Headers, "Content-Encoding") != nullptr;
  if (Success && (!Signed || Encoded)) {
    this->failed(From, RetryReason::CrossedAnswer, Outcome::ConnectionFailed,
                 true);
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
  return Elapsed + Larger.QueueDelay + Larger.PrefillTime > this->Which->Target;
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
  this->BudgetTaken = this->Core.budget(this->Service).tryAcquire();
  return this->BudgetTaken;
}

void Relay::bodyArrived(Attempt &From, const std::string &Part) {
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
      this->failed(From, RetryReason::CutMidStream, Outcome::ConnectionFailed,
                   true);
      break;
    }
    if (Verdict == EventOrder::Verdict::Next)
      Out += Event.Bytes;
  }
  if (Out.empty())
    return;
  if (this->StreamBegun)
    this->LongestPause =
        std::max(this->LongestPause, this->now() - this->LastEventAt);
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
    this->failed(From, RetryReason::CutMidStream, Outcome::ConnectionFailed,
                 true);
    return;
  }
  this->Core.Pool.give(From.To->Entry.Id, From.Wire, this->now());
  this->Core.Registry.onRequestEnded(*From.To, Outcome::Good, this->now());
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
  this->Core.Registry.onRequestEnded(
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
    this->Core.Registry.onRequestCancelled(Over->Expected, this->now());
  this->Core.Registry.onRequestEnded(*Over->To, How, this->now());
}

} // namespace berylramp
