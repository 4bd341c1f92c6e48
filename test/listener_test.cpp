//===- listener_test.cpp - Connections of callers -------------------------===//

#include "berylramp/exchange.h"
#include "cancellable_timer.h"

#include "absl/strings/match.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <thread>

using namespace berylramp;
using boost::asio::ip::tcp;

namespace {

constexpr absl::Duration ListenerIdleTimeout = absl::Milliseconds(200);

/// A listener that answers each request after 50 ms.
struct ListenerFixture {
  ListenerFixture()
      : Timer(Loop),
        Listener(
            Loop, Timer,
            [] {
              CallerLimits Limits;
              Limits.IdleTimeout = ListenerIdleTimeout;
              return Limits;
            },
            [this](const CallerRequest &, const ResponderPtr &Responder) {
              this->Timer.after(absl::Milliseconds(50), [Responder] {
                HttpHead Head;
                Head.Status = 200;
                Responder->sendWhole(Head, "done", false);
              });
            }),
        Caller(CallerLoop) {
    REQUIRE(this->Listener.listen({"127.0.0.1", 0}).ok());
    tcp::endpoint ListenAddress(boost::asio::ip::address_v4::loopback(),
                                static_cast<uint16_t>(this->Listener.port()));
    this->Caller.connect(ListenAddress);
    this->runLoop(absl::Milliseconds(20));
    REQUIRE(this->Listener.connections() == 1);
  }

  void runLoop(absl::Duration Time) {
    this->Loop.run_for(absl::ToChronoMilliseconds(Time));
  }

  void send(const std::string &Bytes) {
    boost::asio::write(this->Caller, boost::asio::buffer(Bytes));
  }

  /// The bytes available now; does not wait.
  std::string received() {
    std::string Text(this->Caller.available(), '\0');
    this->Caller.read_some(boost::asio::buffer(Text));
    return Text;
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
                 "A request received in time is served after a blocked loop") {
  this->send(Request);
  // Processing a large table can block the loop for longer than the
  // connection's idle timeout while the request waits in the socket.
  std::this_thread::sleep_for(
      absl::ToChronoMilliseconds(2 * ListenerIdleTimeout));
  this->runLoop(absl::Milliseconds(150));
  CHECK(absl::EndsWith(this->received(), "done"));
}

TEST_CASE_METHOD(ListenerFixture,
                 "A body received in time is served after a blocked loop") {
  this->send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n");
  this->runLoop(absl::Milliseconds(20));
  this->send("ab");
  std::this_thread::sleep_for(
      absl::ToChronoMilliseconds(2 * ListenerIdleTimeout));
  this->runLoop(absl::Milliseconds(150));
  CHECK(absl::EndsWith(this->received(), "done"));
}

TEST_CASE_METHOD(ListenerFixture, "An idle connection is closed") {
  this->runLoop(2 * ListenerIdleTimeout);
  CHECK(this->Listener.connections() == 0);
}

namespace {

/// A listener of at most three connections, whose requests stay unanswered.
struct LimitedFixture {
  LimitedFixture()
      : Timer(Loop),
        Listener(
            Loop, Timer, [] { return CallerLimits(); },
            [this](const CallerRequest &, const ResponderPtr &Responder) {
              this->Responders.push_back(Responder);
            },
            makeServingBounds(Loop, Timer, Counters, MemoryBounds(), 3)) {
    REQUIRE(this->Listener.listen({"127.0.0.1", 0}).ok());
  }

  void connect(const std::string &Bytes) {
    this->Callers.emplace_back(this->CallerLoop);
    this->Callers.back().connect(
        {boost::asio::ip::address_v4::loopback(),
         static_cast<uint16_t>(this->Listener.port())});
    boost::asio::write(this->Callers.back(), boost::asio::buffer(Bytes));
  }

  bool runUntil(const std::function<bool()> &Condition) {
    Instant Deadline = this->Timer.now() + absl::Seconds(20);
    while (!Condition() && this->Timer.now() < Deadline) {
      this->Loop.restart();
      this->Loop.run_for(std::chrono::milliseconds(1));
    }
    return Condition();
  }

  /// Connects and waits until the listener has \p Count connections.
  void connectAs(size_t Count, const std::string &Bytes) {
    this->connect(Bytes);
    REQUIRE(
        this->runUntil([&] { return this->Listener.connections() == Count; }));
  }

  bool isClosed(size_t Index) {
    boost::system::error_code Error;
    char Byte = 0;
    this->Callers[Index].non_blocking(true);
    this->Callers[Index].read_some(boost::asio::buffer(&Byte, 1), Error);
    return Error && Error != boost::asio::error::would_block;
  }

  boost::asio::io_context Loop;
  boost::asio::io_context CallerLoop;
  LoopTimer Timer;
  Metrics Counters;
  std::vector<ResponderPtr> Responders;
  HttpListener Listener;
  std::deque<tcp::socket> Callers;
};

} // namespace

TEST_CASE_METHOD(LimitedFixture, "The connection that has waited longest for "
                                 "its caller closes for a new one") {
  this->connectAs(1, Request);
  REQUIRE(this->runUntil([&] { return this->Responders.size() == 1; }));
  this->connectAs(2, "GET /incomplete");
  this->connectAs(3, "");
  this->connect(Request);
  CHECK(this->runUntil([&] { return this->Responders.size() == 2; }));
  CHECK_FALSE(this->isClosed(0));
  CHECK(this->isClosed(1));
  CHECK_FALSE(this->isClosed(2));
}

TEST_CASE_METHOD(LimitedFixture, "A connection whose caller does not read a "
                                 "refusal closes for a new one") {
  for (size_t Count = 1; Count <= 3; ++Count) {
    this->connectAs(Count, "malformed\r\n\r\n");
    REQUIRE(this->runUntil([&] {
      return this->Callers.back().available() > 0; // The refusal.
    }));
  }
  this->connect(Request);
  CHECK(this->runUntil([&] { return this->Responders.size() == 1; }));
  CHECK(this->Listener.connections() <= 3);
}

TEST_CASE_METHOD(LimitedFixture, "A new connection closes when all others have "
                                 "requests in progress") {
  for (size_t Count = 1; Count <= 3; ++Count) {
    this->connectAs(Count, Request);
    REQUIRE(this->runUntil([&] { return this->Responders.size() == Count; }));
  }
  this->connect(Request);
  CHECK(this->runUntil([&] { return this->isClosed(3); }));
  CHECK(this->Responders.size() == 3);
  CHECK_FALSE(this->isClosed(0));
}

TEST_CASE("A timer whose handler is already queued can be cancelled") {
  boost::asio::io_context Loop;
  CancellableTimer First(Loop);
  CancellableTimer Second(Loop);
  int Calls = 0;
  // Both timers expire before the loop runs, so that both handlers are queued;
  // the handler called first cancels the other timer.
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
