//===- caller_connection.cpp - Answers to a caller ------------------------===//
//
// Requests are received in caller_input.cpp.
//
//===----------------------------------------------------------------------===//

#include "caller_connection.h"

#include "absl/strings/str_cat.h"

namespace berylramp {

namespace {

/// Unsent bytes of answers above which the next pipelined request waits. A
/// request is much smaller than its answer may be.
constexpr size_t MaxUnsentAnswers = 64U << 10;
/// Time for which the rest of a refused body is received and dropped, so that
/// the caller reads the refusal.
constexpr absl::Duration DiscardTime = absl::Seconds(2);
/// Memory of an open connection that has received nothing.
constexpr int64_t ConnectionBytes = 3584;
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
  case 501:
    return "Not Implemented";
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

bool statusAllowsBody(int Status) {
  return Status >= 200 && Status != 204 && Status != 304;
}

} // namespace

void CallerConnection::start() {
  this->Output.setEnd([Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->endSlowReader();
  });
  for (HeldBytes *Held : {&this->Connection, &this->Input})
    Held->setEnd([Weak = this->weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->refuseInput();
    });
  this->Slot.setEnd([Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->closeNow();
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
  // A caller that does not read chunks takes the close as the end.
  this->CloseAfterStream = this->shouldClose(!this->ReadsChunks);
  std::string Message = this->statusLine(Head);
  std::vector<HeaderField> Fields = Head.Headers;
  if (this->ReadsChunks)
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
  if (this->ReadsChunks)
    Chunk = absl::StrCat(absl::Hex(Chunk.size()), "\r\n", Chunk, "\r\n");
  this->Transport->send(std::move(Chunk));
  if (this->Transport->unsentBytes() > this->maxUnsentBytes())
    this->Output.end();
}

void CallerConnection::endStream() {
  if (!this->RequestActive)
    return;
  if (this->ReadsChunks)
    this->Transport->send("0\r\n\r\n");
  this->finish(this->CloseAfterStream || this->Hooks.Draining());
}

void CallerConnection::cutStream() {
  if (!this->RequestActive)
    return;
  if (this->ReadsChunks)
    this->finish(/*Close=*/true);
  else
    this->abort();
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

size_t CallerConnection::maxUnsentBytes() const {
  const HeldMemoryPtr &Memory = this->Hooks.Memory;
  MemoryBounds Bounds =
      Memory == nullptr ? MemoryBounds() : Memory->account().bounds();
  return static_cast<size_t>(Bounds.PerReader);
}

// A stream ends between two events, so that the caller can resume it.
void CallerConnection::endSlowReader() {
  if (this->IsStream && this->ReadsChunks)
    this->Transport->closeAfterMessage();
  else
    this->Transport->reset();
  this->onDisconnected();
}

void CallerConnection::finish(bool Close) {
  this->RequestActive = false;
  this->DisconnectHandler = nullptr;
  if (Close) {
    this->setMayEnd(false);
    this->releaseInput();
    // Waits for the caller to read the answer.
    this->Slot.startWaiting();
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
  this->releaseInput();
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
