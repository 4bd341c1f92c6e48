//===- attempt.h - One hand-over to one replica -----------------*- C++ -*-===//

#ifndef BERYLRAMP_EXCHANGE_ATTEMPT_H
#define BERYLRAMP_EXCHANGE_ATTEMPT_H

#include "alarm.h"
#include "events.h"
#include "upstream_connection.h"

namespace berylramp {

class Attempt;

/// Hears how an attempt goes.
class AttemptOwner {
public:
  virtual ~AttemptOwner() = default;
  virtual void headArrived(Attempt &From, const HttpHead &Head) = 0;
  virtual void bodyArrived(Attempt &From, const std::string &Part) = 0;
  virtual void ended(Attempt &From) = 0;
  /// \p Sent: the replica may have run the request.
  virtual void failed(Attempt &From, RetryReason Reason, Outcome How,
                      bool Sent) = 0;
};

/// One hand-over to one replica.
class Attempt : public AnswerListener,
                public std::enable_shared_from_this<Attempt> {
public:
  Attempt(std::weak_ptr<AttemptOwner> Owner, ReplicaPtr To,
          boost::asio::io_context &Loop)
      : To(std::move(To)), Owner(std::move(Owner)), Clock(Loop) {}

  void onHead(const HttpHead &Answer) override {
    this->Clock.cancel();
    if (auto Up = this->Owner.lock())
      Up->headArrived(*this, Answer);
  }
  void onBody(std::string Part) override {
    if (auto Up = this->Owner.lock())
      Up->bodyArrived(*this, Part);
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
    Up->failed(*this, Reason, Outcome::ConnectionFailed, Sent);
  }

  /// Ends the attempt when nothing has come for \p After.
  void watch(absl::Duration After) {
    this->Clock.set(After, [Weak = this->weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->silent();
    });
  }

  void silent() {
    if (this->Wire->hasUnread()) {
      this->watch(UnreadTime);
      return;
    }
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
               Outcome::ConnectionFailed, Sent);
  }

  ReplicaPtr To;
  Choice Expected;
  std::weak_ptr<AttemptOwner> Owner;
  Alarm Clock;
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

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_ATTEMPT_H
