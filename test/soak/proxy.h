//===- proxy.h - A loopback proxy that harms connections --------*- C++ -*-===//

#ifndef BERYLRAMP_TEST_SOAK_PROXY_H
#define BERYLRAMP_TEST_SOAK_PROXY_H

#include "berylramp/exchange.h"
#include <boost/asio/ip/tcp.hpp>
#include <set>

namespace berylramp::soak {

enum class Harm { None, Delay, Silence, CutToServer, CutToCaller };

/// Passes bytes between callers and one server.
class Proxy : public std::enable_shared_from_this<Proxy> {
public:
  Proxy(boost::asio::io_context &Loop, LoopTimer &Timer, Endpoint Server);

  void listen();
  Endpoint address() const;
  void resetAll();

  Harm Mode = Harm::None;
  absl::Duration DelayTime = absl::Milliseconds(80);

private:
  struct Pair;
  void accept();

  boost::asio::io_context &Loop;
  LoopTimer &Timer;
  Endpoint Server;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::set<std::shared_ptr<Pair>> Pairs;
};

} // namespace berylramp::soak

#endif // BERYLRAMP_TEST_SOAK_PROXY_H
