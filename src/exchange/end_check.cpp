//===- end_check.cpp - Whether a replica's process has ended --------------===//
//
// A replica may reset one connection and live on, and a link may fail. Only a
// refused connection shows that the process is gone.
//
//===----------------------------------------------------------------------===//

#include "end_check.h"

#include "absl/time/time.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace berylramp {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr absl::Duration CheckTimeout = absl::Milliseconds(500);

struct Check {
  explicit Check(boost::asio::io_context &Loop) : Socket(Loop), Timer(Loop) {}
  tcp::socket Socket;
  boost::asio::steady_timer Timer;
};

} // namespace

void checkEnded(boost::asio::io_context &Loop, const Endpoint &Address,
                std::function<void()> OnEnded) {
  ErrorCode Error;
  auto Ip = boost::asio::ip::make_address(Address.Ip, Error);
  if (Error)
    return;
  auto Running = std::make_shared<Check>(Loop);
  Running->Timer.expires_after(absl::ToChronoMilliseconds(CheckTimeout));
  Running->Timer.async_wait([Running](const ErrorCode &Cancelled) {
    ErrorCode Ignored;
    if (!Cancelled)
      Running->Socket.close(Ignored);
  });
  Running->Socket.async_connect(
      tcp::endpoint(Ip, static_cast<uint16_t>(Address.Port)),
      [Running, OnEnded = std::move(OnEnded)](const ErrorCode &Failed) {
        Running->Timer.cancel();
        if (Failed == boost::asio::error::connection_refused)
          OnEnded();
      });
}

} // namespace berylramp
