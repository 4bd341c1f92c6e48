//===- listener_test.cpp - Connections of callers -------------------------===//

#include "berylramp/exchange.h"
#include "cancellable_timer.h"

#include "absl/strings/match.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace berylramp;
using boost::asio::ip::tcp;

namespace {

constexpr absl::Duration IdleTime = absl::Milliseconds(200);

/// A listener whose answers come a moment after the request.
struct ListenerFixture {
  ListenerFixture()
      : Timer(Loop), Listener(
                         Loop, Timer,
                         [] {
                           CallerLimits Limits;
                           Limits.IdleTimeout = IdleTime;
                           return Limits;
                         },
                         [this](const HttpRequest &, const ResponderPtr &To) {
                           this->Timer.after(absl::Milliseconds(50), [To] {
                             HttpHead Head;
                             Head.Status = 200;
                             To->sendWhole(Head, "done", false);
                           });
                         }),
        Caller(CallerLoop) {
    REQUIRE(this->Listener.listen({"127.0.0.1", 0}).ok());
    tcp::endpoint At(boost::asio::ip::address_v4::loopback(),
                     static_cast<uint16_t>(this->Listener.port()));
    this->Caller.connect(At);
    this->turn(absl::Milliseconds(20));
    REQUIRE(this->Listener.connections() == 1);
  }

  void turn(absl::Duration Time) {
    this->Loop.run_for(absl::ToChronoMilliseconds(Time));
  }

  void send(const std::string &Bytes) {
    boost::asio::write(this->Caller, boost::asio::buffer(Bytes));
  }

  /// What has come, without waiting.
  std::string received() {
    std::string Out(this->Caller.available(), '\0');
    this->Caller.read_some(boost::asio::buffer(Out));
    return Out;
  }

  boost::asio::io_context Loop;
  boost::asio::io_context CallerLoop;
  LoopTimer Timer;
  HttpListener Listener;
  tcp::socket Caller;
};

constexpr const char *Request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE_METHOD(ListenerFixture,
                 "A request that came in time is served after a long turn") {
  this->send(Request);
  // The loop is kept busy, as by a large table, until the connection's idle
  // time has passed.
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(2 * IdleTime));
  this->turn(absl::Milliseconds(150));
  CHECK(absl::EndsWith(this->received(), "done"));
}

TEST_CASE_METHOD(ListenerFixture,
                 "A request whose body came in time is served after a pause") {
  this->send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n");
  this->turn(absl::Milliseconds(20));
  this->send("ab");
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(2 * IdleTime));
  this->turn(absl::Milliseconds(150));
  CHECK(absl::EndsWith(this->received(), "done"));
}

TEST_CASE_METHOD(ListenerFixture, "An idle connection is closed") {
  this->turn(2 * IdleTime);
  CHECK(this->Listener.connections() == 0);
}

TEST_CASE("An alarm that is queued already can be taken back") {
  boost::asio::io_context Loop;
  CancellableTimer First(Loop);
  CancellableTimer Second(Loop);
  int Calls = 0;
  // Both have expired before the loop turns; the first one called takes the
  // other back.
  First.set(absl::Milliseconds(1), [&] {
    Calls += 1;
    Second.cancel();
  });
  Second.set(absl::Milliseconds(1), [&] {
    Calls += 1;
    First.cancel();
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  Loop.run();
  CHECK(Calls == 1);
}
