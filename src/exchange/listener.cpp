//===- listener.cpp - Connections of callers ------------------------------===//
//
// While a request is in progress, its connection continues to read up to a
// limit, so that a caller's disconnect is detected immediately.
//
//===----------------------------------------------------------------------===//

#include "cancellable_timer.h"
#include "channel.h"
#include "http_parse.h"

#include "absl/strings/str_cat.h"
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <unordered_set>

namespace berylramp {

namespace {

using boost::asio::ip::tcp;

/// Bytes of pipelined requests to buffer while a request is in progress.
constexpr size_t MaxBufferedBytes = 65536;
/// Time for which the rest of a refused body is received and dropped, so that
/// the caller reads the refusal.
constexpr absl::Duration DiscardTime = absl::Seconds(2);
/// A body is held twice while it is sent to a replica.
constexpr int64_t BodyCopies = 2;
/// Connections that may wait to be accepted; sized for the burst of reconnects
/// after another host has failed.
constexpr int AcceptBacklog = 1024;

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

bool statusAllowsBody(int Status) {
  return Status >= 200 && Status != 204 && Status != 304;
}

} // namespace

struct HttpListener::State : std::enable_shared_from_this<State> {
  State(boost::asio::io_context &Loop, TimerService &Timer)
      : Acceptor(Loop), Loop(Loop), Timer(Timer) {}
  void accept();

  tcp::acceptor Acceptor;
  boost::asio::io_context &Loop;
  TimerService &Timer;
  std::function<CallerLimits()> Limits;
  RequestHandler Handler;
  HeldMemoryPtr Memory;
  bool Draining = false;
  std::unordered_set<std::shared_ptr<ChannelListener>> Connections;
};

namespace {

/// One connection of a caller.
class CallerConnection : public ChannelListener,
                         public Responder,
                         public std::enable_shared_from_this<CallerConnection> {
public:
  struct ListenerHooks {
    std::function<CallerLimits()> Limits;
    std::function<bool()> Draining;
    std::function<void(std::shared_ptr<ChannelListener>)> RemoveConnection;
    RequestHandler Handler;
    HeldMemoryPtr Memory;
    TimerService *Timer = nullptr;
  };

  CallerConnection(boost::asio::io_context &Loop, tcp::socket Socket,
                   ListenerHooks Hooks)
      : Loop(Loop), Transport(std::make_shared<Channel>(std::move(Socket))),
        TimeoutTimer(Loop), Hooks(std::move(Hooks)),
        Output(this->Transport->countUnsent(this->Hooks.Memory,
                                            HeldKind::CallerOutput)),
        Input(this->Hooks.Memory, HeldKind::CallerInput) {}

  void start() {
    this->Output.setEnd([Weak = this->weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->endSlowReader();
    });
    this->Transport->setListener(this->weak_from_this());
    this->awaitRequest();
    this->Transport->startAccepted();
  }

  void closeNow() {
    this->Transport->close();
    this->onDisconnected();
  }

  bool isBusy() const {
    bool HasRequest = this->RequestActive ||
                      (this->Parser != nullptr && this->Parser->hasStarted());
    return HasRequest || this->Transport->unsentBytes() > 0 ||
           this->Transport->hasUnread();
  }

  void identify(uint64_t Owner, const std::string &RequestId) override {
    this->Output.identify(Owner, RequestId);
    this->Input.identify(Owner, RequestId);
  }

  void onBytes(absl::string_view Bytes) override {
    if (this->Discards)
      return;
    this->Buffer.append(Bytes.data(), Bytes.size());
    if (this->RequestActive) {
      if (this->Buffer.size() > MaxBufferedBytes || !this->admits(0))
        this->Transport->pauseReading();
      this->updateInput();
      return;
    }
    this->parse();
  }

  void onClosed(bool Orderly) override { this->onDisconnected(); }

  void sendWhole(const HttpHead &Head, const std::string &Body,
                 bool CloseAfter) override {
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

  void beginStream(const HttpHead &Head) override {
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

  void sendChunk(std::string Chunk) override {
    if (!this->RequestActive || Chunk.empty())
      return;
    this->Transport->send(
        absl::StrCat(absl::Hex(Chunk.size()), "\r\n", Chunk, "\r\n"));
    if (this->Transport->unsentBytes() > this->maxUnsentBytes())
      this->Output.end();
  }

  void endStream() override {
    if (!this->RequestActive)
      return;
    this->Transport->send("0\r\n\r\n");
    this->finish(this->CloseAfterStream || this->Hooks.Draining());
  }

  void abort() override {
    this->Transport->reset();
    this->DisconnectHandler = nullptr;
    this->onDisconnected();
  }

  void onCallerDisconnect(std::function<void()> Call) override {
    this->DisconnectHandler = std::move(Call);
  }

private:
  std::string statusLine(const HttpHead &Head) const {
    const std::string &Reason = Head.Reason;
    return absl::StrCat("HTTP/1.1 ", Head.Status, " ",
                        Reason.empty() ? reasonPhrase(Head.Status) : Reason,
                        "\r\n");
  }

  bool shouldClose(bool Requested) const {
    return Requested || !this->KeepAlive || this->Hooks.Draining();
  }

  bool admits(size_t Bytes) const {
    const HeldMemoryPtr &Memory = this->Hooks.Memory;
    return Memory == nullptr ||
           Memory->account().admits(static_cast<int64_t>(Bytes) * BodyCopies);
  }

  size_t maxUnsentBytes() const {
    const HeldMemoryPtr &Memory = this->Hooks.Memory;
    MemoryBounds Bounds =
        Memory == nullptr ? MemoryBounds() : Memory->account().bounds();
    return static_cast<size_t>(Bounds.PerReader);
  }

  void updateInput() {
    size_t Count = this->Buffer.size() + this->ActiveBodyBytes;
    if (this->Parser != nullptr && this->Parser->headDone())
      Count += this->Parser->bodyBytes();
    this->Input.set(static_cast<int64_t>(Count));
  }

  // A stream ends between two events, so that the caller can resume it.
  void endSlowReader() {
    if (this->IsStream)
      this->Transport->closeAfterMessage();
    else
      this->Transport->reset();
    this->onDisconnected();
  }

  /// Answers a request whose body is not received.
  void refuseBody() {
    this->Discards = true;
    CallerRequest Request = this->Parser->releaseRequest();
    Request.BodyRefused = true;
    Request.Body = std::string();
    this->Buffer = std::string();
    this->startRequest(std::move(Request), /*MayKeepAlive=*/false);
  }

  void awaitRequest() {
    this->RequestActive = false;
    this->DisconnectHandler = nullptr;
    this->Limits = this->Hooks.Limits();
    this->Parser = std::make_unique<RequestParser>(this->Limits);
    this->ContinueHandled = false;
    this->ActiveBodyBytes = 0;
    this->updateInput();
    this->startTimeout(this->Limits.IdleTimeout);
  }

  void parse() {
    bool HadStarted = this->Parser->hasStarted();
    ParseFault Fault = this->Parser->feed(this->Buffer);
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
    if (HasBody && !this->admits(Missing)) {
      this->refuseBody();
      return;
    }
    if (this->Parser->done()) {
      this->startRequest(this->Parser->releaseRequest(),
                         this->Parser->keepAlive());
      return;
    }
    this->updateInput();
    if (HasBody && !this->ContinueHandled)
      this->Input.setEnd([Weak = this->weak_from_this()] {
        auto Self = Weak.lock();
        if (Self && !Self->RequestActive && Self->Parser != nullptr)
          Self->refuseBody();
      });
    if (!HadStarted && !(this->Buffer.empty() && !this->Parser->hasStarted()))
      this->startTimeout(this->Limits.HeaderTimeout);
    if (this->Parser->headDone()) {
      if (this->Parser->wantsContinue() && !this->ContinueHandled)
        this->Transport->send("HTTP/1.1 100 Continue\r\n\r\n");
      this->ContinueHandled = true;
      this->startTimeout(this->Limits.IdleTimeout);
    }
  }

  void startRequest(CallerRequest Request, bool MayKeepAlive) {
    this->RequestActive = true;
    this->TimeoutTimer.cancel();
    this->KeepAlive = MayKeepAlive;
    this->Parser.reset();
    this->Input.setEnd(nullptr);
    this->ActiveBodyBytes = Request.Body.size();
    this->updateInput();
    Request.ArrivedAt = this->Hooks.Timer->now();
    this->HeadOnly = Request.Method == "HEAD";
    RequestHandler Handler = this->Hooks.Handler;
    Handler(std::move(Request), this->shared_from_this());
  }

  void rejectMalformed(ParseFault Fault) {
    HttpHead Head;
    Head.Status = Fault == ParseFault::HeaderTooLong ? 431
                  : Fault == ParseFault::BodyTooLong ? 413
                                                     : 400;
    this->RequestActive = true;
    this->KeepAlive = false;
    this->sendWhole(Head, "", true);
  }

  void finish(bool Close) {
    this->RequestActive = false;
    this->DisconnectHandler = nullptr;
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
    this->Transport->resumeReading();
    // Deferred to avoid recursion: a pipelined request may be answered
    // synchronously.
    if (!this->Buffer.empty())
      boost::asio::post(this->Loop, [Self = this->shared_from_this()] {
        if (!Self->RequestActive && Self->Transport->isOpen())
          Self->parse();
      });
  }

  void startTimeout(absl::Duration Timeout) {
    this->TimeoutTimer.set(Timeout, [Weak = this->weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->onTimeout();
    });
  }

  void onTimeout() {
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

  void onDisconnected() {
    this->TimeoutTimer.cancel();
    this->RequestActive = false;
    this->ActiveBodyBytes = 0;
    this->Buffer = std::string();
    this->Parser.reset();
    this->Input.set(0);
    auto Self = this->shared_from_this();
    std::function<void()> Call;
    std::swap(Call, this->DisconnectHandler);
    if (Call)
      Call();
    this->Hooks.RemoveConnection(Self);
  }

  boost::asio::io_context &Loop;
  std::shared_ptr<Channel> Transport;
  CancellableTimer TimeoutTimer;
  ListenerHooks Hooks;
  HeldBytes &Output;
  HeldBytes Input;
  size_t ActiveBodyBytes = 0;
  CallerLimits Limits;
  std::unique_ptr<RequestParser> Parser;
  std::string Buffer;
  std::function<void()> DisconnectHandler;
  bool RequestActive = false;
  bool KeepAlive = true;
  bool HeadOnly = false;
  bool ContinueHandled = false;
  bool CloseAfterStream = false;
  /// The last answer is a stream.
  bool IsStream = false;
  /// Received bytes are dropped until the connection closes.
  bool Discards = false;
};

} // namespace

void HttpListener::State::accept() {
  auto Self = this->shared_from_this();
  this->Acceptor.async_accept(
      [Self](const boost::system::error_code &Error, tcp::socket Socket) {
        if (!Self->Acceptor.is_open())
          return;
        if (!Error) {
          CallerConnection::ListenerHooks Hooks;
          Hooks.Limits = Self->Limits;
          Hooks.Handler = Self->Handler;
          Hooks.Timer = &Self->Timer;
          Hooks.Memory = Self->Memory;
          std::weak_ptr<State> Weak = Self;
          Hooks.Draining = [Weak] {
            auto Listener = Weak.lock();
            return !Listener || Listener->Draining;
          };
          Hooks.RemoveConnection =
              [Weak](const std::shared_ptr<ChannelListener> &Connection) {
                if (auto Listener = Weak.lock())
                  Listener->Connections.erase(Connection);
              };
          auto NewConnection = std::make_shared<CallerConnection>(
              Self->Loop, std::move(Socket), std::move(Hooks));
          Self->Connections.insert(NewConnection);
          NewConnection->start();
        }
        Self->accept();
      });
}

HttpListener::HttpListener(boost::asio::io_context &Loop, TimerService &Timer,
                           std::function<CallerLimits()> Limits,
                           RequestHandler Handler, HeldMemoryPtr Memory)
    : Shared(std::make_shared<State>(Loop, Timer)) {
  this->Shared->Limits = std::move(Limits);
  this->Shared->Handler = std::move(Handler);
  this->Shared->Memory = std::move(Memory);
}

// NOLINTNEXTLINE(bugprone-exception-escape): only if memory is exhausted.
HttpListener::~HttpListener() { this->close(); }

absl::Status HttpListener::listen(const Endpoint &ListenAddress) {
  absl::Status Opened =
      openAcceptor(this->Shared->Acceptor, ListenAddress, AcceptBacklog);
  if (Opened.ok())
    this->Shared->accept();
  return Opened;
}

void HttpListener::startDraining() { this->Shared->Draining = true; }

void HttpListener::close() {
  boost::system::error_code Ignored;
  this->Shared->Acceptor.close(Ignored);
  auto Open = this->Shared->Connections;
  for (const auto &OpenConnection : Open)
    static_cast<CallerConnection &>(*OpenConnection).closeNow();
  this->Shared->Connections.clear();
}

size_t HttpListener::connections() const {
  return this->Shared->Connections.size();
}

size_t HttpListener::busyConnections() const {
  size_t Count = 0;
  for (const auto &Connection : this->Shared->Connections)
    Count +=
        static_cast<const CallerConnection &>(*Connection).isBusy() ? 1 : 0;
  return Count;
}

int HttpListener::port() const {
  boost::system::error_code Ignored;
  return this->Shared->Acceptor.local_endpoint(Ignored).port();
}

} // namespace berylramp
