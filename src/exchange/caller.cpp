//===- caller.cpp - Small calls over one kept connection ------------------===//
//
// A kept connection may have been closed by the other side while it was idle.
// A call that meets this before any byte of an answer is sent once more on a
// new connection only if it is a read.
//
//===----------------------------------------------------------------------===//

#include "alarm.h"
#include "channel.h"
#include "http_parse.h"

#include "absl/strings/str_cat.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace berylramp {

struct HttpCaller::State : ChannelUser, std::enable_shared_from_this<State> {
  State(boost::asio::io_context &Loop, TimerService &Timer, Endpoint To)
      : Loop(Loop), Timer(Timer), To(std::move(To)), Clock(Loop) {}

  struct Item {
    OutgoingCall Call;
    CallDone Done;
  };

  void begin() {
    if (this->Current != nullptr || this->Queue.empty() || this->Closed)
      return;
    this->Current = std::make_unique<Item>(std::move(this->Queue.front()));
    this->Queue.pop_front();
    this->Ends = this->Timer.now() + this->Current->Call.Timeout;
    this->LastByte = this->Timer.now();
    this->watch(this->patience() - this->Timer.now());
    this->Kept = this->Wire != nullptr && this->Wire->isOpen();
    this->write();
  }

  /// When the call has waited too long, unless a byte comes before.
  Instant patience() const {
    return std::min(this->Ends,
                    this->LastByte + this->Current->Call.SilenceTime);
  }

  void watch(absl::Duration After) {
    this->Clock.set(After, [Weak = this->weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->expired();
    });
  }

  void write() {
    this->Parser = std::make_unique<AnswerParser>(false);
    this->Buffer.clear();
    bool New = this->Wire == nullptr || !this->Wire->isOpen();
    if (New) {
      this->Wire = std::make_shared<Channel>(this->Loop);
      this->Wire->setUser(this->weak_from_this());
    }
    const OutgoingCall &Call = this->Current->Call;
    std::string Out =
        absl::StrCat(Call.Method, " ", Call.Target, " HTTP/1.1\r\n");
    std::vector<HeaderField> Fields = {{"Host", this->To.text()}};
    if (!Call.ContentType.empty())
      Fields.emplace_back("Content-Type", Call.ContentType);
    if (Call.Method != "GET" || !Call.Body.empty())
      Fields.emplace_back("Content-Length", absl::StrCat(Call.Body.size()));
    appendFields(Out, Fields);
    Out += Call.Body;
    this->Wire->send(std::move(Out));
    if (New)
      this->Wire->connect(this->To);
  }

  void onConnected(bool Worked) override {
    if (!Worked)
      this->fail(absl::UnavailableError(
          absl::StrCat("no connection to ", this->To.text())));
  }

  void onBytes(absl::string_view Bytes) override {
    if (this->Current == nullptr) {
      // Bytes that belong to no call.
      this->Wire->close();
      return;
    }
    this->LastByte = this->Timer.now();
    this->Buffer.append(Bytes.data(), Bytes.size());
    if (this->Parser->feed(this->Buffer) != ParseFault::None) {
      this->fail(absl::UnknownError("the answer is not HTTP"));
      return;
    }
    if (this->Parser->done())
      this->complete(this->Parser->keepAlive() && this->Buffer.empty());
  }

  void onClosed(bool Orderly) override {
    if (this->Current == nullptr)
      return;
    bool Untouched = !this->Parser->headDone() && this->Buffer.empty();
    if (this->Kept && Untouched && this->Current->Call.Method == "GET") {
      this->Kept = false;
      this->write();
      return;
    }
    if (Orderly && this->Parser->finishAtEof()) {
      this->complete(false);
      return;
    }
    this->fail(absl::UnknownError(
        absl::StrCat(this->To.text(), " closed before its answer")));
  }

  void expired() {
    if (this->Timer.now() < this->patience()) {
      this->watch(this->patience() - this->Timer.now());
      return;
    }
    if (this->Wire != nullptr && this->Wire->hasUnread()) {
      this->watch(UnreadTime);
      return;
    }
    this->fail(absl::DeadlineExceededError(
        absl::StrCat("no answer from ", this->To.text(), " in time")));
  }

  void complete(bool Keep) {
    CallAnswer Answer;
    Answer.Status = this->Parser->head().Status;
    Answer.Body = this->Parser->takeBody();
    if (!Keep)
      this->Wire->close();
    this->report(std::move(Answer));
  }

  void fail(absl::Status Why) {
    if (this->Wire != nullptr)
      this->Wire->close();
    this->report(std::move(Why));
  }

  void report(absl::StatusOr<CallAnswer> Result) {
    this->Clock.cancel();
    if (this->Current == nullptr)
      return;
    CallDone Done = std::move(this->Current->Done);
    this->Current.reset();
    auto Self = this->shared_from_this();
    Done(std::move(Result));
    Self->begin();
  }

  boost::asio::io_context &Loop;
  TimerService &Timer;
  Endpoint To;
  Alarm Clock;
  std::deque<Item> Queue;
  std::unique_ptr<Item> Current;
  std::shared_ptr<Channel> Wire;
  std::unique_ptr<AnswerParser> Parser;
  std::string Buffer;
  Instant Ends;
  Instant LastByte;
  bool Kept = false;
  bool Closed = false;
};

HttpCaller::HttpCaller(boost::asio::io_context &Loop, TimerService &Timer,
                       Endpoint To)
    : Shared(std::make_shared<State>(Loop, Timer, std::move(To))) {}

// NOLINTNEXTLINE(bugprone-exception-escape): only when memory is gone.
HttpCaller::~HttpCaller() {
  this->Shared->Closed = true;
  this->Shared->Clock.cancel();
  this->Shared->Current.reset();
  this->Shared->Queue.clear();
  if (this->Shared->Wire != nullptr)
    this->Shared->Wire->close();
}

void HttpCaller::call(OutgoingCall Call, CallDone Done) {
  this->Shared->Queue.push_back({std::move(Call), std::move(Done)});
  this->Shared->begin();
}

} // namespace berylramp
