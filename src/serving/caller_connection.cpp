//===- caller_connection.cpp - One connection of a caller -----------------===//
//
// While a request is in progress, its connection continues to read up to a
// limit, so that a caller's disconnect is detected immediately.
//
//===----------------------------------------------------------------------===//

#include "caller_connection.h"

#include "absl/strings/str_cat.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace berylramp {

namespace {

/// Bytes of pipelined requests to buffer while a request is in progress.
constexpr size_t MaxBufferedBytes = 65536;
/// Unsent bytes of answers above which the next pipelined request waits. A
/// request is much smaller than its answer may be.
constexpr size_t MaxUnsentAnswers = 64U << 10;
/// Time for which the rest of a refused body is received and dropped, so that
/// the caller reads the refusal.
constexpr absl::Duration DiscardTime = absl::Seconds(2);
/// A body is counted twice while it is sent to a replica.
constexpr size_t BodyCopies = 2;
/// Memory of an open connection that has received nothing.
constexpr int64_t ConnectionBytes = 3584;
/// Time after which a refused caller finds room: the slowest of the others have
/// ended by then.
constexpr const char *RetryAfterFull = "1";
constexpr const char *TooLargeReason = "Content Too Large";

const char *reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return TooLargeReason;
  case 431:
    return "Request Header Fields Too Large";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Answer";
  }
}

/// Unlike an assignment, which keeps the capacity.
void freeMemory(std::string &Text) { std::string().swap(Text); }

bool statusAllowsBody(int Status) {
  return Status >= 200 && Status != 204 && Status != 304;
}

} // namespace

void CallerConnection::start() {
  this->Output.setEnd([Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->endSlowReader();
  });
  this->Transport->setListener(this->weak_from_this());
  this->Connection.set(ConnectionBytes);
  this->awaitRequest();
  this->Transport->startAccepted();
}

void CallerConnection::closeNow() {
  this->Transport->close();
  this->onDisconnected();
}

bool CallerConnection::isBusy() const {
  bool HasRequest = this->RequestActive ||
                    (this->Parser != nullptr && this->Parser->hasStarted());
  return HasRequest || this->Transport->unsentBytes() > 0 ||
         this->Transport->hasUnread();
}

void CallerConnection::identify(uint64_t Owner, const std::string &RequestId) {
  this->Output.identify(Owner, RequestId);
  this->Input.identify(Owner, RequestId);
}

void CallerConnection::onBytes(absl::string_view Bytes) {
  bool IsClosing = !this->RequestActive && this->Parser == nullptr;
  if (this->Discards || IsClosing)
    return;
  if (this->RequestActive || this->AwaitsReader) {
    this->Buffer.append(Bytes.data(), Bytes.size());
    if (this->Buffer.size() > MaxBufferedBytes || !this->admits(0))
      this->Transport->pauseReading();
    this->updateInput();
    return;
  }
  const HeldMemoryPtr &Memory = this->Hooks.Memory;
  if (Memory != nullptr &&
      !Memory->account().admitsInput(static_cast<int64_t>(Bytes.size()))) {
    this->refuseInput();
    return;
  }
  this->parse(Bytes);
}

void CallerConnection::sendWhole(const HttpHead &Head, const std::string &Body,
                                 bool CloseAfter) {
  if (!this->RequestActive)
    return;
  bool Close = this->shouldClose(CloseAfter);
  std::string Message = this->statusLine(Head);
  std::vector<HeaderField> Fields = Head.Headers;
  if (statusAllowsBody(Head.Status) && !this->HeadOnly)
    Fields.emplace_back("Content-Length", absl::StrCat(Body.size()));
  if (Close)
    Fields.emplace_back("Connection", "close");
  appendFields(Message, Fields);
  if (statusAllowsBody(Head.Status) && !this->HeadOnly)
    Message += Body;
  this->IsStream = false;
  this->Transport->send(std::move(Message));
  this->finish(Close);
}

void CallerConnection::beginStream(const HttpHead &Head) {
  if (!this->RequestActive)
    return;
  this->CloseAfterStream = this->shouldClose(false);
  std::string Message = this->statusLine(Head);
  std::vector<HeaderField> Fields = Head.Headers;
  Fields.emplace_back("Transfer-Encoding", "chunked");
  if (this->CloseAfterStream)
    Fields.emplace_back("Connection", "close");
  appendFields(Message, Fields);
  this->IsStream = true;
  this->Transport->send(std::move(Message));
}

void CallerConnection::sendChunk(std::string Chunk) {
  if (!this->RequestActive || Chunk.empty())
    return;
  this->Transport->send(
      absl::StrCat(absl::Hex(Chunk.size()), "\r\n", Chunk, "\r\n"));
  if (this->Transport->unsentBytes() > this->maxUnsentBytes())
    this->Output.end();
}

void CallerConnection::endStream() {
  if (!this->RequestActive)
    return;
  this->Transport->send("0\r\n\r\n");
  this->finish(this->CloseAfterStream || this->Hooks.Draining());
}

void CallerConnection::cutStream() {
  if (!this->RequestActive)
    return;
  this->finish(/*Close=*/true);
}

void CallerConnection::abort() {
  this->Transport->reset();
  this->DisconnectHandler = nullptr;
  this->onDisconnected();
}

void CallerConnection::onCallerDisconnect(std::function<void()> Call) {
  this->DisconnectHandler = std::move(Call);
}

std::string CallerConnection::statusLine(const HttpHead &Head) const {
  const std::string &Reason = Head.Reason;
  return absl::StrCat("HTTP/1.1 ", Head.Status, " ",
                      Reason.empty() ? reasonPhrase(Head.Status) : Reason,
                      "\r\n");
}

bool CallerConnection::shouldClose(bool Requested) const {
  return Requested || !this->KeepAlive || this->Hooks.Draining();
}

bool CallerConnection::admits(size_t Bytes) const {
  const HeldMemoryPtr &Memory = this->Hooks.Memory;
  return Memory == nullptr ||
         Memory->account().admits(static_cast<int64_t>(Bytes));
}

size_t CallerConnection::maxUnsentBytes() const {
  const HeldMemoryPtr &Memory = this->Hooks.Memory;
  MemoryBounds Bounds =
      Memory == nullptr ? MemoryBounds() : Memory->account().bounds();
  return static_cast<size_t>(Bounds.PerReader);
}

void CallerConnection::updateInput() {
  size_t Count = this->ActiveBytes;
  if (!this->Buffer.empty())
    Count += this->Buffer.capacity();
  if (this->Parser != nullptr && this->Parser->hasStarted())
    Count += this->Parser->memory();
  this->Input.set(static_cast<int64_t>(Count));
}

// A stream ends between two events, so that the caller can resume it.
void CallerConnection::endSlowReader() {
  if (this->IsStream)
    this->Transport->closeAfterMessage();
  else
    this->Transport->reset();
  this->onDisconnected();
}

void CallerConnection::refuseInput() {
  if (this->RequestActive || this->Discards || this->Parser == nullptr)
    return;
  if (this->Parser->headDone())
    this->refuseBody();
  else if (this->Parser->hasStarted() || !this->Buffer.empty())
    this->refuseHead();
  else
    this->closeNow();
}

void CallerConnection::refuseHead() {
  this->Discards = true;
  this->Parser.reset();
  freeMemory(this->Buffer);
  this->updateInput();
  HttpHead Head;
  Head.Status = 503;
  Head.Headers.emplace_back("Retry-After", RetryAfterFull);
  this->refuse(std::move(Head));
}

void CallerConnection::refuseBody() {
  this->Discards = true;
  CallerRequest Request = this->Parser->releaseRequest();
  Request.BodyRefused = true;
  freeMemory(Request.Body);
  freeMemory(this->Buffer);
  this->startRequest(std::move(Request), /*MayKeepAlive=*/false);
}

void CallerConnection::awaitRequest() {
  this->RequestActive = false;
  this->DisconnectHandler = nullptr;
  this->Limits = this->Hooks.Limits();
  this->Parser = std::make_unique<RequestParser>(this->Limits);
  this->ContinueHandled = false;
  this->ActiveBytes = 0;
  this->updateInput();
  this->Input.identify(0, "");
  this->setMayEnd(true);
  this->startWaiting();
  this->startTimeout(this->Limits.IdleTimeout);
}

void CallerConnection::startWaiting() {
  this->Slot.startWaiting([Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->closeNow();
  });
}

void CallerConnection::setMayEnd(bool MayEnd) {
  for (HeldBytes *Held : {&this->Connection, &this->Input}) {
    if (!MayEnd) {
      Held->setEnd(nullptr);
      continue;
    }
    Held->setEnd([Weak = this->weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->refuseInput();
    });
  }
}

// Most requests arrive in one read, which is parsed where it is.
ParseFault CallerConnection::feed(absl::string_view Bytes) {
  size_t Consumed = 0;
  if (this->Buffer.empty()) {
    ParseFault Fault = this->Parser->feed(Bytes, Consumed);
    Bytes.remove_prefix(Consumed);
    this->Buffer.assign(Bytes.data(), Bytes.size());
    return Fault;
  }
  this->Buffer.append(Bytes.data(), Bytes.size());
  ParseFault Fault = this->Parser->feed(this->Buffer, Consumed);
  if (Consumed == this->Buffer.size())
    freeMemory(this->Buffer);
  else
    this->Buffer.erase(0, Consumed);
  return Fault;
}

void CallerConnection::parse(absl::string_view Bytes) {
  bool HadStarted = this->Parser->hasStarted();
  ParseFault Fault = this->feed(Bytes);
  if (Fault != ParseFault::None) {
    this->rejectMalformed(Fault);
    return;
  }
  bool HasBody = this->Parser->headDone() &&
                 (!this->Parser->done() || this->Parser->bodyBytes() > 0);
  size_t Missing = 0;
  if (HasBody && !this->ContinueHandled)
    Missing =
        std::max(this->Parser->announcedBytes(), this->Parser->bodyBytes()) -
        this->Parser->bodyBytes();
  this->updateInput();
  // A complete body is about to be copied for a replica.
  size_t Needed =
      this->Parser->done() ? this->Parser->bodyBytes() : Missing * BodyCopies;
  if (HasBody && !this->admits(Needed)) {
    this->refuseBody();
    return;
  }
  if (this->Parser->done()) {
    this->startRequest(this->Parser->releaseRequest(),
                       this->Parser->keepAlive());
    return;
  }
  this->Transport->resumeReading();
  if (!HadStarted && !(this->Buffer.empty() && !this->Parser->hasStarted()))
    this->startTimeout(this->Limits.HeaderTimeout);
  if (this->Parser->headDone()) {
    if (this->Parser->wantsContinue() && !this->ContinueHandled)
      this->Transport->send("HTTP/1.1 100 Continue\r\n\r\n");
    this->ContinueHandled = true;
    this->startTimeout(this->Limits.IdleTimeout);
  }
}

void CallerConnection::startRequest(CallerRequest Request, bool MayKeepAlive) {
  this->RequestActive = true;
  this->TimeoutTimer.cancel();
  this->KeepAlive = MayKeepAlive;
  this->Parser.reset();
  this->setMayEnd(false);
  this->Slot.stopWaiting();
  this->ActiveBytes = memoryOf(Request);
  this->updateInput();
  // Detects that the caller leaves.
  if (this->Buffer.size() <= MaxBufferedBytes && !this->Discards)
    this->Transport->resumeReading();
  Request.ArrivedAt = this->Hooks.Timer->now();
  this->HeadOnly = Request.Method == "HEAD";
  RequestHandler Handler = this->Hooks.Handler;
  Handler(std::move(Request), this->shared_from_this());
}

void CallerConnection::rejectMalformed(ParseFault Fault) {
  HttpHead Head;
  Head.Status = Fault == ParseFault::HeaderTooLong ? 431
                : Fault == ParseFault::BodyTooLong ? 413
                                                   : 400;
  // The caller goes on sending, and reads the refusal all the same.
  this->Discards = true;
  this->refuse(std::move(Head));
}

void CallerConnection::refuse(HttpHead Head) {
  this->RequestActive = true;
  this->KeepAlive = false;
  std::string Body;
  if (this->Hooks.AddRefusalBody)
    this->Hooks.AddRefusalBody(Head, Body);
  this->sendWhole(Head, Body, true);
}

void CallerConnection::finish(bool Close) {
  this->RequestActive = false;
  this->DisconnectHandler = nullptr;
  if (Close) {
    this->setMayEnd(false);
    this->Parser.reset();
    freeMemory(this->Buffer);
    this->ActiveBytes = 0;
    this->updateInput();
    // Waits for the caller to read the answer.
    this->startWaiting();
  }
  if (Close && this->Discards) {
    this->startTimeout(DiscardTime);
    return;
  }
  if (Close) {
    this->Transport->closeAfterSending();
    if (!this->Transport->isOpen())
      this->onDisconnected();
    else
      this->startTimeout(this->Limits.IdleTimeout);
    return;
  }
  this->awaitRequest();
  if (this->Transport->unsentBytes() > MaxUnsentAnswers) {
    this->AwaitsReader = true;
    this->Transport->pauseReading();
    return;
  }
  this->takeNextRequest();
}

void CallerConnection::onDrained() {
  if (!this->AwaitsReader)
    return;
  this->AwaitsReader = false;
  this->takeNextRequest();
}

void CallerConnection::takeNextRequest() {
  if (this->Buffer.empty()) {
    this->Transport->resumeReading();
    return;
  }
  // Reads nothing more until what was received is used: reading may be faster
  // than answering. Deferred to avoid recursion: a pipelined request may be
  // answered synchronously.
  this->Transport->pauseReading();
  boost::asio::post(this->Loop, [Self = this->shared_from_this()] {
    if (!Self->RequestActive && !Self->AwaitsReader &&
        Self->Parser != nullptr && Self->Transport->isOpen())
      Self->parse("");
  });
}

void CallerConnection::startTimeout(absl::Duration Timeout) {
  this->TimeoutTimer.set(Timeout, [Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->onTimeout();
  });
}

void CallerConnection::onTimeout() {
  if (this->Parser != nullptr && this->Transport->hasUnread()) {
    this->startTimeout(UnreadDataDelay);
    return;
  }
  if (this->Parser == nullptr || !this->Parser->hasStarted()) {
    // A reader that is slow, but reads, keeps its connection.
    if (!this->Discards && this->Transport->unsentBytes() > 0)
      this->startTimeout(this->Limits.IdleTimeout);
    else
      this->closeNow();
    return;
  }
  HttpHead Head;
  Head.Status = 408;
  this->RequestActive = true;
  this->sendWhole(Head, "", true);
}

void CallerConnection::onDisconnected() {
  this->TimeoutTimer.cancel();
  this->RequestActive = false;
  this->ActiveBytes = 0;
  freeMemory(this->Buffer);
  this->Parser.reset();
  this->Input.set(0);
  this->Connection.set(0);
  this->Slot.release();
  auto Self = this->shared_from_this();
  std::function<void()> Call;
  std::swap(Call, this->DisconnectHandler);
  if (Call)
    Call();
  this->Hooks.RemoveConnection(Self);
}
} // namespace berylramp
