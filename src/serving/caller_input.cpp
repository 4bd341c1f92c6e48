//===- caller_input.cpp - Receives the requests of a caller ---------------===//
//
// While a request is in progress, its connection continues to read up to a
// limit, so that a caller's disconnect is detected immediately. What is being
// received is counted, and may be given up at any point for want of memory.
//
//===----------------------------------------------------------------------===//

#include "caller_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace berylramp {

namespace {

/// Bytes of pipelined requests to buffer while a request is in progress.
constexpr size_t MaxBufferedBytes = 65536;
/// A body is counted twice while it is sent to a replica.
constexpr size_t BodyCopies = 2;
/// Time after which a refused caller finds room: the slowest of the others have
/// ended by then.
constexpr const char *RetryAfterFull = "1";

/// Unlike an assignment, which keeps the capacity.
void freeMemory(std::string &Text) { std::string().swap(Text); }

} // namespace

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

bool CallerConnection::admits(size_t Bytes) const {
  const HeldMemoryPtr &Memory = this->Hooks.Memory;
  return Memory == nullptr ||
         Memory->account().admits(static_cast<int64_t>(Bytes));
}

void CallerConnection::updateInput() {
  size_t Count = this->ActiveBytes;
  if (!this->Buffer.empty())
    Count += this->Buffer.capacity();
  if (this->Parser != nullptr && this->Parser->hasStarted())
    Count += this->Parser->memory();
  this->Input.set(static_cast<int64_t>(Count));
}

void CallerConnection::releaseInput() {
  this->Parser.reset();
  freeMemory(this->Buffer);
  this->ActiveBytes = 0;
  this->updateInput();
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
  this->releaseInput();
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
  this->Slot.startWaiting();
  this->startTimeout(this->Limits.IdleTimeout);
}

void CallerConnection::setMayEnd(bool MayEnd) {
  this->Connection.setMayEnd(MayEnd);
  this->Input.setMayEnd(MayEnd);
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
    this->ReadsChunks = this->Parser->readsChunks();
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
  // A successful answer to it has no body for a caller, and may have one for a
  // replica.
  if (Request.Method == "CONNECT") {
    this->rejectMethod();
    return;
  }
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

void CallerConnection::rejectMethod() {
  HttpHead Head;
  Head.Status = 501;
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

} // namespace berylramp
