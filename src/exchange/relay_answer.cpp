//===- relay_answer.cpp - Handling of replicas' answers -------------------===//
//
// A successful answer is forwarded only if it has the id of this request, a
// replica's signature and no content encoding. A replica may write an answer to
// an earlier request of the connection once more: a refusal without an id
// proves something only on a new connection. A broken stream resumes at another
// replica after its last complete event.
//
//===----------------------------------------------------------------------===//

#include "relay.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "berylramp/json.h"
#include <algorithm>

namespace berylramp {

namespace {

/// Whether callers take an answer with \p Status as a promise that the request
/// did not run.
bool promisesNotExecuted(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Whether a successful answer goes on with a stream that callers have already
/// received in part. Some replicas answer with an error and status 200.
bool continuesStream(const HttpHead &Head) {
  const std::string *Type = findHeader(Head.Headers, "Content-Type");
  return Head.Status == 200 &&
         (Type == nullptr ||
          absl::StartsWithIgnoreCase(*Type, "text/event-stream"));
}

} // namespace

void Relay::onAttemptHead(Attempt &Source, const HttpHead &Head) {
  const HeaderNames &Names = this->Core.Settings.Names;
  Instant Now = this->now();
  Source.Head = Head;
  Source.FirstByteReceived = true;
  Source.LastByteAt = Now;
  if (!Source.Peer)
    this->Core.Paths->onHeard(*Source.TargetReplica);
  this->HeadDelay = Now - Source.SentAt;
  this->Core.Registry.onFirstByte(Source.Selection, Now - Source.SentAt, Now);
  if (Head.Status == 200 && this->MatchedRoute->EventStream)
    this->learnPace(Source);
  ReportedLoad Load;
  const std::string *Text = findHeader(Head.Headers, Names.ReplicaLoad);
  if (Text != nullptr && parseLoad(*Text, Load)) {
    Load.At = Now;
    this->Core.Registry.onLoadReport(*Source.TargetReplica, Load);
    this->LastLoad = Load;
    this->Core.Dispatch->onRoom();
  } else if (Text != nullptr) {
    this->noteUnusableLoad(*Source.TargetReplica, *Text);
  }
  const std::string *Id = findHeader(Head.Headers, Names.RequestId);
  bool IsForeign =
      Id != nullptr ? *Id != this->RequestId : Source.Connection->isReused();
  if (IsForeign) {
    this->onAttemptFailed(Source, RetryReason::CrossedAnswer,
                          Outcome::ConnectionFailed, true);
    return;
  }
  if (Head.Status == 421) {
    this->onAttemptRejected(Source, Outcome::Misdirected);
    return;
  }
  this->noteReplicaState(Source, Head);
  bool NotExecuted = findHeader(Head.Headers, Names.NotExecuted) != nullptr;
  if (NotExecuted && Head.Status != 400) {
    this->onAttemptRejected(Source, Outcome::Full);
    return;
  }
  bool Success = Head.Status >= 200 && Head.Status < 300;
  bool Signed = findHeader(Head.Headers, Names.Signature) != nullptr;
  bool Encoded = findHeader(Head.Headers, "Content-Encoding") != nullptr;
  bool Informational = Head.Status < 200;
  if (Informational || (Success && (Id == nullptr || !Signed || Encoded))) {
    this->onAttemptFailed(Source, RetryReason::CrossedAnswer,
                          Outcome::ConnectionFailed, true);
    return;
  }
  if (Success && this->StreamStarted && !continuesStream(Head)) {
    this->onAttemptFailed(Source, RetryReason::UpstreamRefused, Outcome::Failed,
                          true);
    return;
  }
  if (Success && this->shouldEscalate(Head)) {
    this->Core.Counters.count(Counter::Escalations);
    this->observe(Source, AnswerEvent::FirstByte);
    this->endAttempt(Outcome::Neutral);
    this->ModelIndex = nextModel(this->Cascade, this->ModelIndex);
    this->TriedReplicas.clear();
    this->startNextAttempt();
    return;
  }
  Source.IsStreaming = Success && this->MatchedRoute->EventStream;
  this->awaitEvent(Source);
}

void Relay::learnPace(const Attempt &Source) {
  const Choice &Expected = Source.Selection;
  this->Core.Engines.onFirstByte(this->currentModel(),
                                 Source.TargetReplica->Entry.Place,
                                 this->ExpectedTime, this->HeadDelay);
  this->pace().addSample(this->Prompt.PromptTokens - Expected.KeptTokens,
                         this->HeadDelay - Expected.QueueDelay,
                         Expected.PrefillTime);
}

// A replica's silence ends an attempt only if another one may continue it.
void Relay::awaitEvent(Attempt &Source) {
  if (Source.IsStreaming && this->mayRetry())
    Source.startTimeout(this->Core.Settings.StreamIdleTimeout);
}

bool Relay::largerModelIsLate() {
  size_t CurrentIndex = this->ModelIndex;
  this->ModelIndex = nextModel(this->Cascade, CurrentIndex);
  Choice Larger = this->Core.Registry.choose(this->choiceQuery());
  this->ModelIndex = CurrentIndex;
  if (Larger.Target == nullptr)
    return true;
  absl::Duration Elapsed = this->now() - this->Request.ArrivedAt;
  return Elapsed + Larger.QueueDelay + Larger.PrefillTime + Larger.StartDelay >
         this->MatchedRoute->ResponseTarget;
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
  bool Escalates = !shouldKeepAnswer(Query, this->Core.Settings.Cascade,
                                     this->ModelIndex, Confidence);
  if (!Escalates || !this->mayRetry())
    return false;
  // A low-confidence answer is better than none: keep it if the retry budget is
  // exhausted.
  this->RetryBudgetAcquired =
      this->Core.budget(this->Service)
          .tryAcquire(RepeatReason::LargerModel, this->now());
  return this->RetryBudgetAcquired;
}

void Relay::onAttemptBody(Attempt &Source, const std::string &Chunk) {
  Source.LastByteAt = this->now();
  if (Source.IsStreaming)
    this->forwardEvents(Source, Chunk);
  else
    this->bufferAnswer(Source, Chunk);
}

void Relay::bufferAnswer(Attempt &Source, const std::string &Chunk) {
  const ExchangeSettings &Settings = this->Core.Settings;
  if (Source.Body.size() + Chunk.size() > Settings.MaxAnswerBytes) {
    this->rejectOversized(Source, "answer", Settings.MaxAnswerBytes);
    return;
  }
  const MemoryAccount &Account = this->Core.Memory->account();
  auto ChunkBytes = static_cast<int64_t>(Chunk.size());
  if (Account.of(HeldKind::Answer) + ChunkBytes > Account.bounds().Answers ||
      !Account.admits(ChunkBytes)) {
    this->rejectOversized(Source, "all answers",
                          static_cast<size_t>(Account.bounds().Answers));
    return;
  }
  Source.Body += Chunk;
  Source.Held.set(static_cast<int64_t>(Source.Body.size()));
}

void Relay::rejectOversized(Attempt &Source, const char *Part, size_t Limit) {
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["replica"] = Source.TargetReplica->Entry.Id.text();
  Line["part"] = Part;
  Line["limit_bytes"] = Json::UInt64(Limit);
  logEvent(LogLevel::Warn, "answer_too_long", Line);
  this->onAttemptFailed(Source, RetryReason::CutMidStream,
                        Outcome::ConnectionFailed, true);
}

void Relay::forwardEvents(Attempt &Source, const std::string &Chunk) {
  auto Self = this->shared_from_this();
  auto AttemptGuard = Source.shared_from_this();
  bool IsResumed = this->StreamStarted && Source.EventCount == 0;
  std::string EventBytes;
  for (StreamEvent &Event : Source.Splitter.feed(Chunk)) {
    EventSequence::Verdict Verdict = this->Sequence.check(Event.Id);
    Source.IsInSequence = Source.IsInSequence || Event.Id >= 0;
    // Events without an id that another replica sends first, such as errors,
    // are no continuation.
    if (IsResumed && !Source.IsInSequence && !isComment(Event.Bytes))
      Verdict = EventSequence::Verdict::Gap;
    if (Verdict == EventSequence::Verdict::Gap) {
      this->onAttemptFailed(Source, RetryReason::CutMidStream,
                            Outcome::ConnectionFailed, true);
      break;
    }
    if (Verdict == EventSequence::Verdict::Next) {
      EventBytes += Event.Bytes;
      if (Source.EventCount == 0)
        Source.FirstEventAt = this->now();
      Source.EventCount += 1;
    }
  }
  Source.Held.set(static_cast<int64_t>(Source.Splitter.pendingBytes()));
  if (Source.EventCount > 0 && this->now() - Source.FirstEventAt >= ProofTime)
    this->noteInputAnswered(Source);
  this->observeEvents(Source, false);
  const ExchangeSettings &Settings = this->Core.Settings;
  if (this->Current == AttemptGuard &&
      Source.Splitter.pendingBytes() > Settings.MaxEventBytes)
    this->rejectOversized(Source, "event", Settings.MaxEventBytes);
  if (EventBytes.empty() || this->Finished)
    return;
  if (this->StreamStarted) {
    absl::Duration Gap = this->now() - this->LastEventAt;
    this->MaxEventGap = std::max(this->MaxEventGap, Gap);
    if (Gap > this->MatchedRoute->EventGapTarget && Source.EventCount > 1)
      this->observe(Source, AnswerEvent::Failure);
  }
  this->LastEventAt = this->now();
  if (!this->StreamStarted) {
    this->StreamStarted = true;
    this->FirstEventDelay = this->now() - this->Request.ArrivedAt;
    this->Core.Counters.observe(Latency::FirstToken,
                                this->now() - this->Request.ArrivedAt);
    this->observe(Source, AnswerEvent::FirstByte);
    this->CallerResponder->beginStream(relayedHead(Source.Head));
  }
  this->CallerResponder->sendChunk(std::move(EventBytes));
  if (this->Current == AttemptGuard)
    this->awaitEvent(Source);
}

void Relay::onAttemptEnd(Attempt &Source) {
  if (!Source.IsStreaming) {
    this->forwardAnswer(Source);
    return;
  }
  if (Source.Splitter.hasPartialEvent() || !this->StreamStarted) {
    this->onAttemptFailed(Source, RetryReason::CutMidStream,
                          Outcome::ConnectionFailed, true);
    return;
  }
  this->noteInputAnswered(Source);
  this->observeEvents(Source, true);
  this->Core.Pool.release(Source.TargetReplica->Entry.Id, Source.Connection,
                          this->now());
  this->Core.Registry.onMemoryReleased(Source.Selection, true, this->now());
  this->Core.Registry.onRequestEnded(*Source.TargetReplica, Outcome::Good,
                                     this->now());
  this->Current.reset();
  this->Core.Counters.count(Counter::AnswersStreamed);
  this->CallerResponder->endStream();
  this->finish("answered", Source.Head.Status, "");
}

void Relay::forwardAnswer(Attempt &Source) {
  bool AtMostOnce = this->MatchedRoute->Repeats == Repeatability::AtMostOnce;
  if (AtMostOnce && promisesNotExecuted(Source.Head.Status)) {
    // The replica did not state that the request did not run.
    this->onAttemptFailed(Source, RetryReason::UpstreamRefused, Outcome::Failed,
                          true);
    return;
  }
  bool Good = Source.Head.Status < 500;
  this->observe(Source, Good ? AnswerEvent::FirstByte : AnswerEvent::Failure);
  if (!Good && !AtMostOnce && this->mayRetry()) {
    this->onAttemptFailed(Source, RetryReason::UpstreamRefused, Outcome::Failed,
                          true);
    return;
  }
  if (this->StreamStarted) {
    // A resumed stream received an error answer, which the caller must not
    // mistake for the end of the stream.
    this->onAttemptFailed(Source, RetryReason::CutMidStream, Outcome::Failed,
                          true);
    return;
  }
  auto AttemptGuard = Source.shared_from_this();
  this->noteInputAnswered(Source);
  this->Core.Pool.release(Source.TargetReplica->Entry.Id, Source.Connection,
                          this->now());
  this->Core.Registry.onMemoryReleased(Source.Selection, Good, this->now());
  this->Core.Registry.onRequestEnded(*Source.TargetReplica,
                                     Good ? Outcome::Good : Outcome::Failed,
                                     this->now());
  this->Current.reset();
  this->Core.Counters.count(Counter::AnswersWhole);
  this->CallerResponder->sendWhole(relayedHead(Source.Head), Source.Body,
                                   false);
  this->finish("answered", Source.Head.Status, "");
}

void Relay::onAttemptRejected(Attempt &Source, Outcome Result) {
  if (Result == Outcome::Misdirected) {
    this->Core.Pool.removeReplica(Source.TargetReplica->Entry.Id);
    this->Core.Hooks.OnMisdirected(Source.TargetReplica->Entry.Id);
  }
  const Replica &Target = *Source.TargetReplica;
  if (Result == Outcome::Full &&
      this->Core.Registry.limits().roomOf(processOf(Target)))
    this->Core.Hooks.OnBrittleFull(Target);
  this->Core.Counters.countRetry(RetryReason::UpstreamRefused);
  this->endAttempt(Result);
  this->Execution.markRejected();
  this->startNextAttempt();
}

void Relay::onAttemptFailed(Attempt &Source, RetryReason Reason, Outcome Result,
                            bool Sent) {
  auto Self = this->shared_from_this();
  auto AttemptGuard = Source.shared_from_this();
  if (this->Current != AttemptGuard)
    return;
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["replica"] = Source.TargetReplica->Entry.Id.text();
  Line["reason"] = retryReasonName(Reason);
  Line["sent"] = Sent;
  Line["waited_ms"] = absl::ToInt64Milliseconds(this->now() - Source.SentAt);
  if (Source.Peer)
    Line["peer"] = Source.Peer->Ip;
  if (Source.Fault)
    Line["fault"] = connectionFaultName(*Source.Fault);
  if (!Sent)
    Line["connect"] = Source.TimedOut                            ? "timed_out"
                      : Source.Fault == ConnectionFault::Refused ? "refused"
                                                                 : "failed";
  bool Cut = Reason == RetryReason::CutBeforeFirstByte ||
             Reason == RetryReason::CutMidStream;
  if (Cut) {
    Line["events"] = Source.EventCount;
    Line["replica_bytes"] = Json::Int64(Source.TargetReplica->HeldBytes);
    Line["input"] = toHex(this->Input.Identity);
    Line["segments"] = Json::Value(Json::arrayValue);
    for (uint64_t Segment : this->Input.Segments)
      Line["segments"].append(toHex(Segment));
  }
  logEvent(LogLevel::Info, "attempt_failed", Line);
  this->Core.Counters.countRetry(Reason);
  if (Cut)
    this->noteInputCrash(Source);
  bool ConnectionBroke = !Sent || Source.Fault == ConnectionFault::Reset ||
                         Reason == RetryReason::LateAnswer;
  if (ConnectionBroke)
    Result = this->notePathFailure(Source, Result, Sent);
  if (Sent && ConnectionBroke)
    this->observeMissing(Source);
  else if (Sent)
    this->observe(Source, AnswerEvent::Failure);
  this->endAttempt(Result);
  if (!Sent) {
    this->Core.Registry.onRequestNotSent(Source.Selection);
    if (Result == Outcome::ConnectionFailed)
      this->Core.Registry.onUnreachable(*Source.TargetReplica, this->now());
    this->Execution.markNotSent();
    this->AttemptsSent -= 1;
  }
  this->startNextAttempt();
}

void Relay::endAttempt(Outcome Result) {
  if (this->Current == nullptr)
    return;
  std::shared_ptr<Attempt> EndedAttempt = std::move(this->Current);
  this->Current.reset();
  EndedAttempt->TimeoutTimer.cancel();
  EndedAttempt->Connection->cancel();
  EndedAttempt->setReplicaBytes(0);
  if (!EndedAttempt->FirstByteReceived)
    this->Core.Registry.onRequestCancelled(EndedAttempt->Selection,
                                           this->now());
  bool Ran = EndedAttempt->FirstByteReceived && Result != Outcome::Full &&
             Result != Outcome::Misdirected;
  this->Core.Registry.onMemoryReleased(EndedAttempt->Selection, Ran,
                                       this->now());
  this->Core.Registry.onRequestEnded(*EndedAttempt->TargetReplica, Result,
                                     this->now());
}

} // namespace berylramp
