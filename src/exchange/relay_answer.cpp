//===- relay_answer.cpp - Handling of replicas' answers -------------------===//
//
// An answer is forwarded only if it belongs to this request, is signed and is
// framed. A broken stream resumes at another replica after its last complete
// event.
//
//===----------------------------------------------------------------------===//

#include "relay.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "berylramp/json.h"
#include <algorithm>

namespace berylramp {

void Relay::onAttemptHead(Attempt &From, const HttpHead &Head) {
  const HeaderNames &Names = this->Core.Settings.Names;
  Instant Now = this->now();
  From.Head = Head;
  From.FirstByteReceived = true;
  this->Core.Registry.firstByte(From.Selection, Now - From.SentAt, Now);
  if (Head.Status == 200 && this->MatchedRoute->EventStream)
    this->prefillRate().learn(this->Prompt.PromptTokens,
                              absl::ToDoubleMilliseconds(Now - From.SentAt));
  ReportedLoad Load;
  const std::string *Text = findHeader(Head.Headers, Names.ReplicaLoad);
  if (Text != nullptr && parseLoad(*Text, Load)) {
    Load.At = Now;
    this->Core.Registry.reported(*From.TargetReplica, Load);
    this->LastLoad = Load;
  }
  if (Head.Status == 421) {
    this->onAttemptRejected(From, Outcome::Misdirected);
    return;
  }
  bool NotExecuted = findHeader(Head.Headers, Names.NotExecuted) != nullptr;
  if (NotExecuted && Head.Status != 400) {
    this->onAttemptRejected(From, Outcome::Full);
    return;
  }
  const std::string *Id = findHeader(Head.Headers, Names.RequestId);
  bool Mismatched = Id != nullptr ? *Id != this->RequestId : Head.Status < 300;
  if (Mismatched) {
    this->onAttemptFailed(From, RetryReason::CrossedAnswer, Outcome::Broken,
                          true);
    return;
  }
  bool Success = Head.Status >= 200 && Head.Status < 300;
  bool Signed = findHeader(Head.Headers, Names.Signature) != nullptr;
  bool Encoded = findHeader(Head.Headers, "Content-Encoding") != nullptr;
  if (Success && (!Signed || Encoded)) {
    this->onAttemptFailed(From, RetryReason::CrossedAnswer, Outcome::Broken,
                          true);
    return;
  }
  if (Success && this->shouldEscalate(Head)) {
    this->Core.Counters.count(Counter::Escalations);
    this->recordOutcome(From, true);
    this->endAttempt(Outcome::Neutral);
    this->ModelIndex = nextModel(this->Cascade, this->ModelIndex);
    this->TriedReplicas.clear();
    this->startNextAttempt();
    return;
  }
  From.IsStreaming = Success && this->MatchedRoute->EventStream;
}

bool Relay::largerModelIsLate() {
  size_t CurrentIndex = this->ModelIndex;
  this->ModelIndex = nextModel(this->Cascade, CurrentIndex);
  Choice Larger = this->Core.Registry.choose(this->choiceQuery());
  this->ModelIndex = CurrentIndex;
  absl::Duration Elapsed = this->now() - this->Request.ArrivedAt;
  return Elapsed + Larger.Wait + Larger.Work > this->MatchedRoute->Target;
}

bool Relay::shouldEscalate(const HttpHead &Head) {
  if (!this->ChoosesModel || this->Sequence.hasLast() || this->StreamStarted)
    return false;
  const std::string *Text =
      findHeader(Head.Headers, this->Core.Settings.Names.Confidence);
  int Confidence = 0;
  if (Text == nullptr || !absl::SimpleAtoi(*Text, &Confidence))
    return false;
  CascadeQuery Query = this->Cascade;
  Query.AttemptsLeft = this->MatchedRoute->MaxAttempts - this->AttemptsSent + 1;
  Query.LargerIsLate = this->largerModelIsLate();
  bool Escalates = !keepsAnswer(Query, this->Core.Settings.Cascade,
                                this->ModelIndex, Confidence);
  if (!Escalates || !this->mayRetry())
    return false;
  // A low-confidence answer is better than none: keep it if the retry budget is
  // exhausted.
  this->RetryBudgetAcquired = this->Core.budget(this->Service).take();
  return this->RetryBudgetAcquired;
}

void Relay::onAttemptBody(Attempt &From, const std::string &Chunk) {
  if (From.IsStreaming)
    this->forwardEvents(From, Chunk);
  else
    From.Body += Chunk;
}

void Relay::forwardEvents(Attempt &From, const std::string &Chunk) {
  auto Self = this->shared_from_this();
  auto AttemptGuard = From.shared_from_this();
  std::string EventBytes;
  for (StreamEvent &Event : From.Splitter.feed(Chunk)) {
    EventSequence::Verdict Verdict = this->Sequence.check(Event.Id);
    if (Verdict == EventSequence::Verdict::Gap) {
      this->onAttemptFailed(From, RetryReason::CutMidStream, Outcome::Broken,
                            true);
      break;
    }
    if (Verdict == EventSequence::Verdict::Next)
      EventBytes += Event.Bytes;
  }
  if (EventBytes.empty())
    return;
  if (this->StreamStarted)
    this->MaxEventGap =
        std::max(this->MaxEventGap, this->now() - this->LastEventAt);
  this->LastEventAt = this->now();
  if (!this->StreamStarted) {
    this->StreamStarted = true;
    this->FirstEventDelay = this->now() - this->Request.ArrivedAt;
    this->Core.Counters.observe(Latency::FirstToken,
                                this->now() - this->Request.ArrivedAt);
    this->recordOutcome(From, true);
    this->Answer->beginStream(relayedHead(From.Head));
  }
  this->Answer->sendChunk(std::move(EventBytes));
  if (this->Current == AttemptGuard)
    From.startTimeout(this->Core.Settings.StreamIdleTimeout);
}

void Relay::onAttemptEnd(Attempt &From) {
  if (!From.IsStreaming) {
    this->forwardAnswer(From);
    return;
  }
  if (From.Splitter.hasPartialEvent() || !this->StreamStarted) {
    this->onAttemptFailed(From, RetryReason::CutMidStream, Outcome::Broken,
                          true);
    return;
  }
  this->Core.Pool.release(From.TargetReplica->Entry.Id, From.Connection,
                          this->now());
  this->Core.Registry.ended(*From.TargetReplica, Outcome::Good, this->now());
  this->Current.reset();
  this->Core.Counters.count(Counter::AnswersStreamed);
  this->Answer->endStream();
  this->finish("answered", From.Head.Status, "");
}

void Relay::forwardAnswer(Attempt &From) {
  bool Good = From.Head.Status < 500;
  this->recordOutcome(From, Good);
  if (!Good && this->MatchedRoute->Rule != Repeat::AtMostOnce &&
      this->mayRetry()) {
    this->onAttemptFailed(From, RetryReason::UpstreamRefused, Outcome::Failed,
                          true);
    return;
  }
  if (this->StreamStarted) {
    // A resumed stream received an error answer, which the caller must not
    // mistake for the end of the stream.
    this->onAttemptFailed(From, RetryReason::CutMidStream, Outcome::Failed,
                          true);
    return;
  }
  auto AttemptGuard = From.shared_from_this();
  this->Core.Pool.release(From.TargetReplica->Entry.Id, From.Connection,
                          this->now());
  this->Core.Registry.ended(
      *From.TargetReplica, Good ? Outcome::Good : Outcome::Failed, this->now());
  this->Current.reset();
  this->Core.Counters.count(Counter::AnswersWhole);
  this->Answer->sendWhole(relayedHead(From.Head), From.Body, false);
  this->finish("answered", From.Head.Status, "");
}

void Relay::onAttemptRejected(Attempt &From, Outcome Result) {
  if (Result == Outcome::Misdirected) {
    this->Core.Pool.removeReplica(From.TargetReplica->Entry.Id);
    this->Core.Hooks.OnMisdirected(From.TargetReplica->Entry.Id);
  }
  this->Core.Counters.countRetry(RetryReason::UpstreamRefused);
  this->endAttempt(Result);
  this->Execution.markRejected();
  this->startNextAttempt();
}

void Relay::onAttemptFailed(Attempt &From, RetryReason Reason, Outcome Result,
                            bool Sent) {
  auto Self = this->shared_from_this();
  auto AttemptGuard = From.shared_from_this();
  if (this->Current != AttemptGuard)
    return;
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["replica"] = From.TargetReplica->Entry.Id.text();
  Line["reason"] = retryReasonName(Reason);
  Line["sent"] = Sent;
  Line["waited_ms"] = absl::ToInt64Milliseconds(this->now() - From.SentAt);
  logEvent(LogLevel::Info, "attempt_failed", Line);
  this->Core.Counters.countRetry(Reason);
  if (Sent)
    this->recordOutcome(From, false);
  this->endAttempt(Result);
  if (!Sent) {
    this->Execution.markNotSent();
    this->AttemptsSent -= 1;
  }
  this->startNextAttempt();
}

void Relay::recordOutcome(const Attempt &Evaluated, bool Good) {
  auto &MutableAttempt = const_cast<Attempt &>(Evaluated);
  if (MutableAttempt.OutcomeRecorded && Good)
    return;
  MutableAttempt.OutcomeRecorded = true;
  this->Core.Hooks.RecordOutcome(this->Service,
                                 Evaluated.TargetReplica->Entry.Version, Good,
                                 this->now() - Evaluated.SentAt);
}

void Relay::endAttempt(Outcome Result) {
  if (this->Current == nullptr)
    return;
  std::shared_ptr<Attempt> EndedAttempt = std::move(this->Current);
  this->Current.reset();
  EndedAttempt->TimeoutTimer.cancel();
  EndedAttempt->Connection->cancel();
  if (!EndedAttempt->FirstByteReceived)
    this->Core.Registry.withdrawn(EndedAttempt->Selection, this->now());
  this->Core.Registry.ended(*EndedAttempt->TargetReplica, Result, this->now());
}

} // namespace berylramp
