//===- listener.cpp - Accepts connections of callers ----------------------===//

#include "caller_connection.h"

#include <unordered_set>

namespace berylramp {

namespace {

using boost::asio::ip::tcp;

/// Time until the next attempt after a connection could not be accepted, for
/// want of descriptors for example.
constexpr absl::Duration AcceptRetryDelay = absl::Milliseconds(100);

/// Connections that may wait to be accepted; sized for the burst of reconnects
/// after another host has failed.
constexpr int AcceptBacklog = 1024;

} // namespace

struct HttpListener::State : std::enable_shared_from_this<State> {
  State(boost::asio::io_context &Loop, TimerService &Timer)
      : Acceptor(Loop), RetryTimer(Loop), Loop(Loop), Timer(Timer) {}
  void accept();
  void open(tcp::socket Socket);
  void retryAccept();

  tcp::acceptor Acceptor;
  CancellableTimer RetryTimer;
  boost::asio::io_context &Loop;
  TimerService &Timer;
  std::function<CallerLimits()> Limits;
  RequestHandler Handler;
  std::function<void(HttpHead &, std::string &)> AddRefusalBody;
  HeldMemoryPtr Memory;
  ConnectionLimitPtr Limit;
  bool Draining = false;
  std::unordered_set<std::shared_ptr<ChannelListener>> Connections;
};

void HttpListener::State::accept() {
  auto Self = this->shared_from_this();
  this->Acceptor.async_accept(
      [Self](const boost::system::error_code &Error, tcp::socket Socket) {
        if (!Self->Acceptor.is_open())
          return;
        if (Error) {
          Self->retryAccept();
          return;
        }
        Self->open(std::move(Socket));
        Self->accept();
      });
}

void HttpListener::State::retryAccept() {
  // At once, the loop would do nothing else while the descriptors are used up.
  if (this->Limit != nullptr)
    this->Limit->endLongestWaiting();
  this->RetryTimer.set(AcceptRetryDelay, [Weak = this->weak_from_this()] {
    auto Self = Weak.lock();
    if (Self && Self->Acceptor.is_open())
      Self->accept();
  });
}

void HttpListener::State::open(tcp::socket Socket) {
  // Without room, the socket is closed.
  if (this->Limit != nullptr && !this->Limit->makeRoom())
    return;
  CallerConnection::ListenerHooks Hooks;
  Hooks.Limits = this->Limits;
  Hooks.Handler = this->Handler;
  Hooks.AddRefusalBody = this->AddRefusalBody;
  Hooks.Timer = &this->Timer;
  Hooks.Memory = this->Memory;
  Hooks.Connections = this->Limit;
  std::weak_ptr<State> Weak = this->weak_from_this();
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
      this->Loop, std::move(Socket), std::move(Hooks));
  this->Connections.insert(NewConnection);
  NewConnection->start();
}

ServingBounds makeServingBounds(boost::asio::io_context &Loop,
                                TimerService &Timer, Metrics &Counters,
                                const MemoryBounds &Memory,
                                size_t MaxConnections) {
  return {std::make_shared<HeldMemory>(Loop, Timer, Counters, Memory),
          std::make_shared<ConnectionLimit>(MaxConnections)};
}

HttpListener::HttpListener(boost::asio::io_context &Loop, TimerService &Timer,
                           std::function<CallerLimits()> Limits,
                           RequestHandler Handler, ServingBounds Bounds)
    : Shared(std::make_shared<State>(Loop, Timer)) {
  this->Shared->Limits = std::move(Limits);
  this->Shared->Handler = std::move(Handler);
  this->Shared->Memory = std::move(Bounds.Memory);
  this->Shared->Limit = std::move(Bounds.Connections);
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

void HttpListener::setRefusalBody(
    std::function<void(HttpHead &, std::string &)> Call) {
  this->Shared->AddRefusalBody = std::move(Call);
}

void HttpListener::stopAccepting() {
  boost::system::error_code Ignored;
  this->Shared->Acceptor.close(Ignored);
  this->Shared->RetryTimer.cancel();
}

void HttpListener::close() {
  this->stopAccepting();
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
