//===- listener.cpp - Accepts connections of callers ----------------------===//

#include "caller_connection.h"

#include <unordered_set>

namespace berylramp {

namespace {

using boost::asio::ip::tcp;

/// Connections that may wait to be accepted; sized for the burst of reconnects
/// after another host has failed.
constexpr int AcceptBacklog = 1024;

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
