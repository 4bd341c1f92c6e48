//===- listener.cpp - Connections of callers ------------------------------===//
//
// While a request is under way the connection keeps reading, up to a bound, so
// that a caller that leaves is noticed at once.
//
//===----------------------------------------------------------------------===//

#include "alarm.h"
#include "channel.h"
#include "http_parse.h"

#include "absl/strings/str_cat.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <unordered_set>

namespace berylramp {

namespace {

using boost::asio::ip::tcp;

/// Bytes of a next request that are kept while the present one is under way.
constexpr size_t MostBuffered = 65536;
/// A caller that reads this slowly is cut off; answers are smaller.
constexpr size_t MostUnsent = 4U << 20;
/// Connections that may wait to be accepted: a burst after a host's failure.
constexpr int Backlog = 1024;

constexpr const char *TooLargeReason = "Content Too Large";

const char *reasonOf(int Status) {
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

bool mayHaveBody(int Status) {
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
  bool Leaving = false;
  std::unordered_set<std::shared_ptr<ChannelUser>> Connections;
};

namespace {

/// One connection of a caller.
class CallerConnection : public ChannelUser,
                         public Responder,
                         public std::enable_shared_from_this<CallerConnection> {
public:
  struct Owner {
    std::function<CallerLimits()> Limits;
    std::function<bool()> Leaving;
    std::function<void(std::shared_ptr<ChannelUser>)> Forget;
    RequestHandler Handler;
    TimerService *Timer = nullptr;
  };

  CallerConnection(boost::asio::io_context &Loop, tcp::socket Socket, Owner Up)
      : Loop(Loop), Wire(std::make_shared<Channel>(std::move(Socket))),
        Clock(Loop), Up(std::move(Up)) {}

  void start() {
    this->Wire->setUser(this->weak_from_this());
    this->nextRequest();
    this->Wire->startAccepted();
  }

  void shut() {
    this->Wire->close();
    this->gone();
  }

  void onBytes(absl::string_view Bytes) override {
    this->Buffer.append(Bytes.data(), Bytes.size());
    if (this->Busy) {
      if (this->Buffer.size() > MostBuffered)
        this->Wire->pauseReading();
      return;
    }
    this->parse();
  }

  void onClosed(bool Orderly) override { this->gone(); }

  void sendWhole(const HttpHead &Head, const std::string &Body,
                 bool CloseAfter) override {
    if (!this->Busy)
      return;
    bool Close = this->closesAfter(CloseAfter);
    std::string Out = this->statusLine(Head);
    std::vector<HeaderField> Fields = Head.Headers;
    if (mayHaveBody(Head.Status) && !this->HeadOnly)
      Fields.emplace_back("Content-Length", absl::StrCat(Body.size()));
    if (Close)
      Fields.emplace_back("Connection", "close");
    appendFields(Out, Fields);
    if (mayHaveBody(Head.Status) && !this->HeadOnly)
      Out += Body;
    this->Wire->send(std::move(Out));
    this->finish(Close);
  }

  void beginStream(const HttpHead &Head) override {
    if (!this->Busy)
      return;
    this->StreamCloses = this->closesAfter(false);
    std::string Out = this->statusLine(Head);
    std::vector<HeaderField> Fields = Head.Headers;
    Fields.emplace_back("Transfer-Encoding", "chunked");
    if (this->StreamCloses)
      Fields.emplace_back("Connection", "close");
    appendFields(Out, Fields);
    this->Wire->send(std::move(Out));
  }

  void sendPart(std::string Part) override {
    if (!this->Busy || Part.empty())
      return;
    this->Wire->send(
        absl::StrCat(absl::Hex(Part.size()), "\r\n", Part, "\r\n"));
    if (this->Wire->unsent() > MostUnsent)
      this->abort();
  }

  void endStream() override {
    if (!this->Busy)
      return;
    this->Wire->send("0\r\n\r\n");
    this->finish(this->StreamCloses || this->Up.Leaving());
  }

  void abort() override {
    this->Wire->reset();
    this->CallerGone = nullptr;
    this->gone();
  }

  void onCallerGone(std::function<void()> Call) override {
    this->CallerGone = std::move(Call);
  }

private:
  std::string statusLine(const HttpHead &Head) const {
    const std::string &Reason = Head.Reason;
    return absl::StrCat("HTTP/1.1 ", Head.Status, " ",
                        Reason.empty() ? reasonOf(Head.Status) : Reason,
                        "\r\n");
  }

  bool closesAfter(bool Asked) const {
    return Asked || !this->KeepAlive || this->Up.Leaving();
  }

  void nextRequest() {
    this->Busy = false;
    this->CallerGone = nullptr;
    this->Limits = this->Up.Limits();
    this->Parser = std::make_unique<RequestParser>(this->Limits);
    this->Continued = false;
    this->arm(this->Limits.IdleTimeout);
  }

  void parse() {
    bool Began = this->Parser->started();
    ParseFault Fault = this->Parser->feed(this->Buffer);
    if (Fault != ParseFault::None) {
      this->refuse(Fault);
      return;
    }
    if (this->Parser->done()) {
      this->dispatch();
      return;
    }
    if (!Began && !(this->Buffer.empty() && !this->Parser->started()))
      this->arm(this->Limits.HeaderTimeout);
    if (this->Parser->headDone()) {
      if (this->Parser->wantsContinue() && !this->Continued)
        this->Wire->send("HTTP/1.1 100 Continue\r\n\r\n");
      this->Continued = true;
      this->arm(this->Limits.IdleTimeout);
    }
  }

  void dispatch() {
    this->Busy = true;
    this->Clock.cancel();
    this->KeepAlive = this->Parser->keepAlive();
    HttpRequest Request = this->Parser->take();
    this->Parser.reset();
    Request.ArrivedAt = this->Up.Timer->now();
    this->HeadOnly = Request.Method == "HEAD";
    RequestHandler Handler = this->Up.Handler;
    Handler(std::move(Request), this->shared_from_this());
  }

  void refuse(ParseFault Fault) {
    HttpHead Head;
    Head.Status = Fault == ParseFault::HeaderTooLong ? 431
                  : Fault == ParseFault::BodyTooLong ? 413
                                                     : 400;
    this->Busy = true;
    this->KeepAlive = false;
    this->sendWhole(Head, "", true);
  }

  void finish(bool Close) {
    this->Busy = false;
    this->CallerGone = nullptr;
    if (Close) {
      this->Wire->closeAfterSending();
      if (!this->Wire->isOpen())
        this->gone();
      else
        this->arm(this->Limits.IdleTimeout);
      return;
    }
    this->nextRequest();
    this->Wire->resumeReading();
    // Not from within this call: a pipelined request may be answered at once.
    if (!this->Buffer.empty())
      boost::asio::post(this->Loop, [Self = this->shared_from_this()] {
        if (!Self->Busy && Self->Wire->isOpen())
          Self->parse();
      });
  }

  void arm(absl::Duration After) {
    this->Clock.set(After, [Weak = this->weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->expired();
    });
  }

  void expired() {
    if (this->Parser != nullptr && this->Wire->hasUnread()) {
      this->arm(UnreadTime);
      return;
    }
    if (this->Parser == nullptr || !this->Parser->started()) {
      this->shut();
      return;
    }
    HttpHead Head;
    Head.Status = 408;
    this->Busy = true;
    this->sendWhole(Head, "", true);
  }

  void gone() {
    this->Clock.cancel();
    this->Busy = false;
    auto Self = this->shared_from_this();
    std::function<void()> Call;
    std::swap(Call, this->CallerGone);
    if (Call)
      Call();
    this->Up.Forget(Self);
  }

  boost::asio::io_context &Loop;
  std::shared_ptr<Channel> Wire;
  Alarm Clock;
  Owner Up;
  CallerLimits Limits;
  std::unique_ptr<RequestParser> Parser;
  std::string Buffer;
  std::function<void()> CallerGone;
  bool Busy = false;
  bool KeepAlive = true;
  bool HeadOnly = false;
  bool Continued = false;
  bool StreamCloses = false;
};

} // namespace

void HttpListener::State::accept() {
  auto Self = this->shared_from_this();
  this->Acceptor.async_accept(
      [Self](const boost::system::error_code &Error, tcp::socket Socket) {
        if (!Self->Acceptor.is_open())
          return;
        if (!Error) {
          CallerConnection::Owner Up;
          Up.Limits = Self->Limits;
          Up.Handler = Self->Handler;
          Up.Timer = &Self->Timer;
          std::weak_ptr<State> Weak = Self;
          Up.Leaving = [Weak] {
            auto Held = Weak.lock();
            return !Held || Held->Leaving;
          };
          Up.Forget = [Weak](const std::shared_ptr<ChannelUser> &Which) {
            if (auto Held = Weak.lock())
              Held->Connections.erase(Which);
          };
          auto Made = std::make_shared<CallerConnection>(
              Self->Loop, std::move(Socket), std::move(Up));
          Self->Connections.insert(Made);
          Made->start();
        }
        Self->accept();
      });
}

HttpListener::HttpListener(boost::asio::io_context &Loop, TimerService &Timer,
                           std::function<CallerLimits()> Limits,
                           RequestHandler Handler)
    : Shared(std::make_shared<State>(Loop, Timer)) {
  this->Shared->Limits = std::move(Limits);
  this->Shared->Handler = std::move(Handler);
}

// NOLINTNEXTLINE(bugprone-exception-escape): only when memory is gone.
HttpListener::~HttpListener() { this->close(); }

absl::Status HttpListener::listen(const Endpoint &At) {
  boost::system::error_code Error;
  auto Fail = [&](const char *What) {
    return absl::UnavailableError(
        absl::StrCat(What, " ", At.text(), " failed: ", Error.message(),
                     "; free the address or correct it in the settings file"));
  };
  auto Address = boost::asio::ip::make_address_v4(At.Ip, Error);
  if (Error)
    return Fail("reading the address");
  tcp::acceptor &Acceptor = this->Shared->Acceptor;
  Acceptor.open(tcp::v4(), Error);
  if (Error)
    return Fail("opening a socket for");
  Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  Acceptor.bind(tcp::endpoint(Address, static_cast<uint16_t>(At.Port)), Error);
  if (Error)
    return Fail("binding");
  Acceptor.listen(Backlog, Error);
  if (Error)
    return Fail("listening at");
  this->Shared->accept();
  return absl::OkStatus();
}

void HttpListener::startLeaving() { this->Shared->Leaving = true; }

void HttpListener::close() {
  boost::system::error_code Ignored;
  this->Shared->Acceptor.close(Ignored);
  auto Open = this->Shared->Connections;
  for (const auto &Each : Open)
    static_cast<CallerConnection &>(*Each).shut();
  this->Shared->Connections.clear();
}

size_t HttpListener::connections() const {
  return this->Shared->Connections.size();
}

int HttpListener::port() const {
  boost::system::error_code Ignored;
  return this->Shared->Acceptor.local_endpoint(Ignored).port();
}

} // namespace berylramp
