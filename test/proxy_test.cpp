//===- proxy_test.cpp - The fault-injecting proxy of the tests ------------===//

#include "proxy.h"

#include <catch2/catch.hpp>

using namespace berylramp;
using boost::asio::ip::tcp;

// Other tests took the port of a proxy that refused connections, which failed
// with "Address already in use" when it accepted them again.
TEST_CASE("A proxy that refuses connections keeps its port") {
  boost::asio::io_context Loop;
  LoopTimer Timer(Loop);
  auto Kept = std::make_shared<Proxy>(Loop, Timer, Endpoint{"127.0.0.1", 9});
  Kept->listen();
  Kept->setNewConnections(NewConnections::Refused);
  tcp::endpoint Address(boost::asio::ip::address_v4::loopback(),
                        static_cast<uint16_t>(Kept->address().Port));
  boost::system::error_code Error;
  tcp::socket Other(Loop, tcp::v4());
  Other.bind(Address, Error);
  CHECK(Error == boost::asio::error::address_in_use);
  tcp::socket Refused(Loop);
  Refused.connect(Address, Error);
  CHECK(Error == boost::asio::error::connection_refused);
  Kept->setNewConnections(NewConnections::Accepted);
  tcp::socket Accepted(Loop);
  Accepted.connect(Address, Error);
  CHECK_FALSE(Error);
}
