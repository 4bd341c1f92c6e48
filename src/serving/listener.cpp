//===- listener.cpp - Accepts connections of callers ----------------------===//

#include "accept_loop.h"
#include "caller_connection.h"

#include <limits>
#include <sys/resource.h>
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
      : Loop(Loop), Timer(Timer) {}
  void open(tcp::socket Socket);

  std::shared_ptr<AcceptLoop> Accepting;
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

void HttpListener::State::open(tcp::socket Socket) {
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

int64_t descriptorsOfProcess() {
  rlimit Limit{};
  bool IsKnown =
      getrlimit(RLIMIT_NOFILE, &Limit) == 0 && Limit.rlim_cur != RLIM_INFINITY;
  return IsKnown ? static_cast<int64_t>(Limit.rlim_cur)
                 : std::numeric_limits<int32_t>::max();
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
  this->Shared->Accepting = std::make_shared<AcceptLoop>(
      Loop, this->Shared->Limit,
      [Weak = std::weak_ptr<State>(this->Shared)](tcp::socket Socket) {
        if (auto Self = Weak.lock())
          Self->open(std::move(Socket));
      });
}

// NOLINTNEXTLINE(bugprone-exception-escape): only if memory is exhausted.
HttpListener::~HttpListener() { this->close(); }

absl::Status HttpListener::listen(const Endpoint &ListenAddress) {
  return this->Shared->Accepting->listen(ListenAddress, AcceptBacklog);
}

void HttpListener::startDraining() { this->Shared->Draining = true; }

void HttpListener::setRefusalBody(
    std::function<void(HttpHead &, std::string &)> Call) {
  this->Shared->AddRefusalBody = std::move(Call);
}

void HttpListener::stopAccepting() { this->Shared->Accepting->close(); }

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

int HttpListener::port() const { return this->Shared->Accepting->port(); }

} // namespace berylramp
