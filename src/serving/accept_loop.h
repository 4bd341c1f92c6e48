//===- accept_loop.h - Accepts connections within a bound -------*- C++ -*-===//

#ifndef BERYLRAMP_SERVING_ACCEPT_LOOP_H
#define BERYLRAMP_SERVING_ACCEPT_LOOP_H

#include "absl/status/status.h"
#include "berylramp/units.h"
#include "cancellable_timer.h"
#include "connection_limit.h"
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace berylramp {

/// Accepts connections on one address until it is closed.
class AcceptLoop : public std::enable_shared_from_this<AcceptLoop> {
public:
  using SocketCallback = std::function<void(boost::asio::ip::tcp::socket)>;

  /// Without \p Limit, the number of connections is not bounded.
  AcceptLoop(boost::asio::io_context &Loop, ConnectionLimitPtr Limit,
             SocketCallback OnAccepted)
      : Acceptor(Loop), RetryTimer(Loop), Limit(std::move(Limit)),
        OnAccepted(std::move(OnAccepted)) {}

  /// Up to \p Backlog connections may wait to be accepted.
  absl::Status listen(const Endpoint &ListenAddress, int Backlog);
  void close();
  /// The bound port.
  int port() const;

private:
  void accept();
  void retryLater(const boost::system::error_code &Error);

  boost::asio::ip::tcp::acceptor Acceptor;
  CancellableTimer RetryTimer;
  ConnectionLimitPtr Limit;
  SocketCallback OnAccepted;
};

} // namespace berylramp

#endif // BERYLRAMP_SERVING_ACCEPT_LOOP_H
