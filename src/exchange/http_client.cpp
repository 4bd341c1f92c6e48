//===- http_client.cpp - HTTP client with a keep-alive connection ---------===//
//
// The peer may close a keep-alive connection while it is idle. A call that
// finds its connection closed before any byte of an answer is sent once more on
// a new connection, but only if it is a GET: any other call may have taken
// effect.
//
//===----------------------------------------------------------------------===//

#include "cancellable_timer.h"
#include "channel.h"
#include "http_parse.h"

#include "absl/strings/str_cat.h"
#include "berylramp/exchange.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace berylramp {

namespace {

/// A page of the store has about 1 MB, a peer's records a few.
constexpr uint64_t MaxBodyBytes = 16ULL << 20;

} // namespace

struct HttpClient::State : ChannelListener,
                           std::enable_shared_from_this<State> {
  State(boost::asio::io_context &Loop, TimerService &Timer, Endpoint Remote)
      : Loop(Loop), Timer(Timer), Remote(std::move(Remote)),
        TimeoutTimer(Loop) {}

  struct PendingCall {
    OutgoingCall Call;
    CallCallback Done;
  };

  void startNextCall() {
    if (this->Current != nullptr || this->Queue.empty() || this->Closed)
      return;
    this->Current =
        std::make_unique<PendingCall>(std::move(this->Queue.front()));
    this->Queue.pop_front();
    this->DeadlineAt = this->Timer.now() + this->Current->Call.Timeout;
    this->LastByteAt = this->Timer.now();
    this->startTimeout(this->timeoutAt() - this->Timer.now());
    this->ReusedConnection =
        this->Transport != nullptr && this->Transport->isOpen();
    this->sendRequest();
  }

  /// Time at which the call times out unless a byte arrives before.
  Instant timeoutAt() const {
    return std::min(this->DeadlineAt,
                    this->LastByteAt + this->Current->Call.IdleTimeout);
  }

  void startTimeout(absl::Duration Timeout) {
    this->TimeoutTimer.set(Timeout, [Weak = this->weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->onTimeout();
    });
  }

  void sendRequest() {
    this->Parser = std::make_unique<AnswerParser>(false, MaxBodyBytes);
    this->Buffer.clear();
    bool IsNewConnection =
        this->Transport == nullptr || !this->Transport->isOpen();
    if (IsNewConnection) {
      this->Transport = std::make_shared<Channel>(this->Loop);
      this->Transport->setListener(this->weak_from_this());
    }
    const OutgoingCall &Call = this->Current->Call;
    std::string Message =
        absl::StrCat(Call.Method, " ", Call.Target, " HTTP/1.1\r\n");
    std::vector<HeaderField> Fields = {{"Host", this->Remote.text()}};
    if (!Call.ContentType.empty())
      Fields.emplace_back("Content-Type", Call.ContentType);
    if (Call.Method != "GET" || !Call.Body.empty())
      Fields.emplace_back("Content-Length", absl::StrCat(Call.Body.size()));
    appendFields(Message, Fields);
    Message += Call.Body;
    this->Transport->send(std::move(Message));
    if (IsNewConnection)
      this->Transport->connect(this->Remote);
  }

  void onConnected(ConnectResult Result) override {
    if (Result != ConnectResult::Connected)
      this->fail(absl::UnavailableError(
          absl::StrCat("cannot connect to ", this->Remote.text())));
  }

  void onBytes(absl::string_view Bytes) override {
    if (this->Current == nullptr) {
      // Unsolicited bytes: no call is in progress.
      this->Transport->close();
      return;
    }
    this->LastByteAt = this->Timer.now();
    this->Buffer.append(Bytes.data(), Bytes.size());
    if (this->Parser->feed(this->Buffer) != ParseFault::None) {
      this->fail(absl::UnknownError(
          "malformed HTTP response; check that the service at the "
          "configured address speaks HTTP/1.1"));
      return;
    }
    if (this->Parser->done())
      this->complete(this->Parser->keepAlive() && this->Buffer.empty());
  }

  void onClosed(bool Orderly) override {
    if (this->Current == nullptr)
      return;
    bool NoAnswerByte = !this->Parser->headDone() && this->Buffer.empty();
    if (this->ReusedConnection && NoAnswerByte &&
        this->Current->Call.Method == "GET") {
      this->ReusedConnection = false;
      this->sendRequest();
      return;
    }
    if (Orderly && this->Parser->finishAtEof()) {
      this->complete(false);
      return;
    }
    this->fail(absl::UnknownError(absl::StrCat(
        this->Remote.text(),
        " closed the connection before its response was complete")));
  }

  void onTimeout() {
    if (this->Timer.now() < this->timeoutAt()) {
      this->startTimeout(this->timeoutAt() - this->Timer.now());
      return;
    }
    if (this->Transport != nullptr && this->Transport->hasUnread()) {
      this->startTimeout(UnreadDataDelay);
      return;
    }
    this->fail(absl::DeadlineExceededError(absl::StrCat(
        "no response from ", this->Remote.text(), " within the time limit")));
  }

  void complete(bool KeepConnection) {
    CallAnswer Answer;
    HttpHead Head = this->Parser->head();
    Answer.Status = Head.Status;
    Answer.Headers = std::move(Head.Headers);
    Answer.Body = this->Parser->takeBody();
    if (!KeepConnection)
      this->Transport->close();
    this->deliverResult(std::move(Answer));
  }

  void fail(absl::Status Error) {
    if (this->Transport != nullptr)
      this->Transport->close();
    this->deliverResult(std::move(Error));
  }

  void deliverResult(absl::StatusOr<CallAnswer> Result) {
    this->TimeoutTimer.cancel();
    if (this->Current == nullptr)
      return;
    CallCallback Done = std::move(this->Current->Done);
    this->Current.reset();
    auto Self = this->shared_from_this();
    Done(std::move(Result));
    Self->startNextCall();
  }

  boost::asio::io_context &Loop;
  TimerService &Timer;
  Endpoint Remote;
  CancellableTimer TimeoutTimer;
  std::deque<PendingCall> Queue;
  std::unique_ptr<PendingCall> Current;
  std::shared_ptr<Channel> Transport;
  std::unique_ptr<AnswerParser> Parser;
  std::string Buffer;
  Instant DeadlineAt;
  Instant LastByteAt;
  bool ReusedConnection = false;
  bool Closed = false;
};

HttpClient::HttpClient(boost::asio::io_context &Loop, TimerService &Timer,
                       Endpoint Remote)
    : Shared(std::make_shared<State>(Loop, Timer, std::move(Remote))) {}

// NOLINTNEXTLINE(bugprone-exception-escape): only if memory is exhausted.
HttpClient::~HttpClient() {
  this->Shared->Closed = true;
  this->Shared->TimeoutTimer.cancel();
  this->Shared->Current.reset();
  this->Shared->Queue.clear();
  if (this->Shared->Transport != nullptr)
    this->Shared->Transport->close();
}

void HttpClient::call(OutgoingCall Call, CallCallback Done) {
  this->Shared->Queue.push_back({std::move(Call), std::move(Done)});
  this->Shared->startNextCall();
}

} // namespace berylramp
