//===- proxy.h - A fault-injecting loopback proxy ---------------*- C++ -*-===//

#ifndef BERYLRAMP_TEST_SUPPORT_PROXY_H
#define BERYLRAMP_TEST_SUPPORT_PROXY_H

#include "berylramp/exchange.h"
#include <boost/asio/ip/tcp.hpp>
#include <set>
#include <vector>

namespace berylramp {

/// How the proxy treats the bytes of its connections. The Drop modes discard
/// them in both directions or in one.
enum class FaultMode { None, Delay, DropAll, DropToServer, DropToCaller };

/// How the proxy treats new connections.
enum class NewConnections { Accepted, Refused, Hang };

/// Forwards bytes between callers and one server.
class Proxy : public std::enable_shared_from_this<Proxy> {
public:
  Proxy(boost::asio::io_context &Loop, LoopTimer &Timer, Endpoint Server);

  void listen();
  Endpoint address() const;
  /// Closes every connection with a TCP reset.
  void resetAll();
  void setNewConnections(NewConnections Treatment);

  /// Applies to open connections and to new ones.
  FaultMode Mode = FaultMode::None;
  absl::Duration DelayTime = absl::Milliseconds(80);

private:
  struct Connection;
  void accept();
  void reservePort();
  void listenOn(int Backlog);

  boost::asio::io_context &Loop;
  LoopTimer &Timer;
  Endpoint Server;
  boost::asio::ip::tcp::endpoint ListenAddress;
  /// Bound and never listening, so that nobody else gets the port.
  boost::asio::ip::tcp::socket Reservation;
  boost::asio::ip::tcp::acceptor Acceptor;
  /// Fills the accept queue while new connections hang.
  std::vector<boost::asio::ip::tcp::socket> Fillers;
  std::set<std::shared_ptr<Connection>> Connections;
};

} // namespace berylramp

#endif // BERYLRAMP_TEST_SUPPORT_PROXY_H
