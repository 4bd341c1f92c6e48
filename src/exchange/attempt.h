//===- attempt.h - One attempt at one replica -------------------*- C++ -*-===//

#ifndef BERYLRAMP_EXCHANGE_ATTEMPT_H
#define BERYLRAMP_EXCHANGE_ATTEMPT_H

#include "cancellable_timer.h"
#include "events.h"
#include "upstream_connection.h"

namespace berylramp {

class Attempt;

/// Receives the progress and result of an attempt.
class AttemptOwner {
public:
  virtual ~AttemptOwner() = default;
  virtual void onAttemptConnected(Attempt &Source) = 0;
  virtual void onAttemptHead(Attempt &Source, const HttpHead &Head) = 0;
  virtual void onAttemptBody(Attempt &Source, const std::string &Chunk) = 0;
  virtual void onAttemptEnd(Attempt &Source) = 0;
  /// \p Sent is true if the replica may have executed the request.
  virtual void onAttemptFailed(Attempt &Source, RetryReason Reason,
                               Outcome Result, bool Sent) = 0;
};

/// One transmission of a request to one replica.
class Attempt : public AnswerListener,
                public std::enable_shared_from_this<Attempt> {
public:
  Attempt(std::weak_ptr<AttemptOwner> Owner, ReplicaPtr TargetReplica,
          boost::asio::io_context &Loop, const HeldMemoryPtr &Memory)
      : TargetReplica(std::move(TargetReplica)), Owner(std::move(Owner)),
        TimeoutTimer(Loop), Held(Memory, HeldKind::Answer) {}

  ~Attempt() override { this->setReplicaBytes(0); }

  /// States how many bytes of this request the replica holds.
  void setReplicaBytes(int64_t Bytes) {
    this->TargetReplica->HeldBytes += Bytes - this->ReplicaBytes;
    this->ReplicaBytes = Bytes;
  }

  void onConnected() override {
    if (auto LockedOwner = this->Owner.lock())
      LockedOwner->onAttemptConnected(*this);
  }
  void onHead(const HttpHead &AnswerHead) override {
    this->TimeoutTimer.cancel();
    if (auto LockedOwner = this->Owner.lock())
      LockedOwner->onAttemptHead(*this, AnswerHead);
  }
  void onBody(std::string Chunk) override {
    if (auto LockedOwner = this->Owner.lock())
      LockedOwner->onAttemptBody(*this, Chunk);
  }
  void onEnd() override {
    this->TimeoutTimer.cancel();
    if (auto LockedOwner = this->Owner.lock())
      LockedOwner->onAttemptEnd(*this);
  }
  void onFault(ConnectionFault NewFault) override {
    this->TimeoutTimer.cancel();
    auto LockedOwner = this->Owner.lock();
    if (!LockedOwner)
      return;
    this->Fault = NewFault;
    bool Sent = mayHaveArrived(NewFault);
    RetryReason Reason =
        !Sent                                    ? RetryReason::ConnectFailed
        : NewFault == ConnectionFault::Abandoned ? RetryReason::LateAnswer
        : this->FirstByteReceived                ? RetryReason::CutMidStream
                                  : RetryReason::CutBeforeFirstByte;
    LockedOwner->onAttemptFailed(*this, Reason, Outcome::ConnectionFailed,
                                 Sent);
  }

  /// Fails the attempt if no byte arrives within \p Timeout.
  void startTimeout(absl::Duration Timeout) {
    this->TimeoutTimer.set(Timeout, [Weak = this->weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->onTimeout();
    });
  }

  void onTimeout() {
    if (this->Connection->hasUnread()) {
      this->startTimeout(UnreadDataDelay);
      return;
    }
    auto LockedOwner = this->Owner.lock();
    if (!LockedOwner)
      return;
    bool Sent = this->Connection->isConnected();
    if (Sent && this->AwaitingConnect) {
      this->AwaitingConnect = false;
      if (this->FirstByteTimeout > absl::ZeroDuration())
        this->startTimeout(this->FirstByteTimeout);
      return;
    }
    this->TimedOut = true;
    if (!Sent)
      this->Fault = this->Peer ? ConnectionFault::PeerUnavailable
                               : ConnectionFault::NotConnected;
    LockedOwner->onAttemptFailed(
        *this, Sent ? RetryReason::LateAnswer : RetryReason::ConnectFailed,
        Outcome::ConnectionFailed, Sent);
  }

  ReplicaPtr TargetReplica;
  Choice Selection;
  std::weak_ptr<AttemptOwner> Owner;
  CancellableTimer TimeoutTimer;
  UpstreamConnectionPtr Connection;
  Instant SentAt;
  absl::Duration FirstByteTimeout;
  bool AwaitingConnect = false;
  std::optional<ConnectionFault> Fault;
  bool TimedOut = false;
  /// The host over which the replica is reached; nothing for a direct
  /// connection.
  std::optional<Endpoint> Peer;
  Instant LastByteAt;
  bool FirstByteReceived = false;
  bool IsStreaming = false;
  /// Events of a stream that were forwarded.
  int EventCount = 0;
  /// An event with an id was received.
  bool IsInSequence = false;
  Instant FirstEventAt;
  bool EventsObserved = false;
  /// The replica has written long enough to show that it survives the prompt.
  bool IsProof = false;
  bool Observed = false;
  bool IsBad = false;
  HttpHead Head;
  /// The body received so far.
  std::string Body;
  /// The body, or the part of an event that is incomplete.
  HeldBytes Held;
  int64_t ReplicaBytes = 0;
  EventSplitter Splitter;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_ATTEMPT_H
