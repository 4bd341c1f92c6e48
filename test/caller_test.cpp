//===- caller_test.cpp - Small calls against a server of bytes ------------===//

#include "berylramp/exchange.h"

#include "platform.h"

#include "absl/strings/match.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

using namespace berylramp;
using boost::asio::ip::tcp;

namespace {

/// Accepts one connection and writes a text a byte at a time.
class DripServer {
public:
  DripServer(boost::asio::io_context &Loop, std::string Text,
             std::chrono::milliseconds Pause)
      : Acceptor(Loop, {boost::asio::ip::address_v4::loopback(), 0}),
        Peer(Loop), Clock(Loop), Text(std::move(Text)), Pause(Pause) {
    this->Acceptor.async_accept(this->Peer,
                                [this](const boost::system::error_code &E) {
                                  if (!E)
                                    this->drip();
                                });
  }

  Endpoint address() const {
    return {"127.0.0.1", this->Acceptor.local_endpoint().port()};
  }

private:
  void drip() {
    if (this->At == this->Text.size())
      return;
    boost::system::error_code Gone;
    boost::asio::write(this->Peer,
                       boost::asio::buffer(&this->Text[this->At], 1), Gone);
    this->At += 1;
    this->Clock.expires_after(this->Pause);
    this->Clock.async_wait([this](const boost::system::error_code &E) {
      if (!E)
        this->drip();
    });
  }

  tcp::acceptor Acceptor;
  tcp::socket Peer;
  boost::asio::steady_timer Clock;
  std::string Text;
  std::chrono::milliseconds Pause;
  size_t At = 0;
};

struct CallerFixture {
  absl::StatusOr<CallAnswer> call(const Endpoint &To, OutgoingCall Call) {
    HttpCaller Caller(this->Loop, this->Timer, To);
    std::optional<absl::StatusOr<CallAnswer>> Got;
    Call.Target = "/page";
    Caller.call(std::move(Call),
                [&](absl::StatusOr<CallAnswer> Answer) { Got = Answer; });
    while (!Got)
      this->Loop.run_one();
    return *Got;
  }

  boost::asio::io_context Loop;
  LoopTimer Timer{Loop};
};

constexpr const char *Whole =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage";

} // namespace

TEST_CASE_METHOD(CallerFixture, "A slow answer that goes on is waited for") {
  DripServer Server(this->Loop, Whole, std::chrono::milliseconds(25));
  OutgoingCall Call;
  Call.Timeout = absl::Minutes(1);
  Call.SilenceTime = absl::Milliseconds(800);
  absl::StatusOr<CallAnswer> Answer = this->call(Server.address(), Call);
  REQUIRE(Answer.ok());
  CHECK(Answer->Body == "page");
}

TEST_CASE_METHOD(CallerFixture, "An answer that stays silent is given up") {
  DripServer Server(this->Loop, "HTTP/1.1 200 OK\r\n",
                    std::chrono::milliseconds(1));
  OutgoingCall Call;
  Call.Timeout = absl::Minutes(1);
  Call.SilenceTime = absl::Milliseconds(300);
  absl::Time Began = absl::Now();
  absl::StatusOr<CallAnswer> Answer = this->call(Server.address(), Call);
  CHECK(absl::IsDeadlineExceeded(Answer.status()));
  CHECK(absl::Now() - Began < Call.Timeout);
}

TEST_CASE_METHOD(CallerFixture, "An answer that drips on ends with its call") {
  DripServer Server(this->Loop, Whole, std::chrono::milliseconds(100));
  OutgoingCall Call;
  Call.Timeout = absl::Milliseconds(400);
  Call.SilenceTime = absl::Minutes(1);
  absl::StatusOr<CallAnswer> Answer = this->call(Server.address(), Call);
  CHECK(absl::IsDeadlineExceeded(Answer.status()));
}

TEST_CASE("A store client that goes away takes its calls with it") {
  boost::asio::io_context Loop;
  LoopTimer Timer(Loop);
  DripServer Server(Loop, "", std::chrono::milliseconds(1));
  auto Held = std::make_shared<int>(0);
  {
    StorePort Port =
        platform::createStorePort(Loop, Timer, Server.address(), {});
    Port.Newest(StoreTopic::Replicas,
                [Held](const absl::StatusOr<StorePage> &) {});
    Port.Newest(StoreTopic::Replicas,
                [Held](const absl::StatusOr<StorePage> &) {});
    Loop.run_for(std::chrono::milliseconds(50));
    CHECK(Held.use_count() == 3);
  }
  CHECK(Held.use_count() == 1);
}
