//===- http_client_test.cpp - Timeouts of HTTP client calls ---------------===//

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

/// Accepts one connection and writes a text one byte at a time, with a pause
/// after each byte.
class SlowServer {
public:
  SlowServer(boost::asio::io_context &Loop, std::string Text,
             std::chrono::milliseconds Pause)
      : Acceptor(Loop, {boost::asio::ip::address_v4::loopback(), 0}),
        Peer(Loop), PauseTimer(Loop), Text(std::move(Text)), Pause(Pause) {
    this->Acceptor.async_accept(this->Peer,
                                [this](const boost::system::error_code &E) {
                                  if (!E)
                                    this->writeNextByte();
                                });
  }

  Endpoint address() const {
    return {"127.0.0.1", this->Acceptor.local_endpoint().port()};
  }

private:
  void writeNextByte() {
    if (this->Position == this->Text.size())
      return;
    boost::system::error_code Ignored;
    boost::asio::write(this->Peer,
                       boost::asio::buffer(&this->Text[this->Position], 1),
                       Ignored);
    this->Position += 1;
    this->PauseTimer.expires_after(this->Pause);
    this->PauseTimer.async_wait([this](const boost::system::error_code &E) {
      if (!E)
        this->writeNextByte();
    });
  }

  tcp::acceptor Acceptor;
  tcp::socket Peer;
  boost::asio::steady_timer PauseTimer;
  std::string Text;
  std::chrono::milliseconds Pause;
  size_t Position = 0;
};

struct HttpClientFixture {
  absl::StatusOr<CallAnswer> call(const Endpoint &Address, OutgoingCall Call) {
    HttpClient Client(this->Loop, this->Timer, Address);
    std::optional<absl::StatusOr<CallAnswer>> Result;
    Call.Target = "/page";
    Client.call(std::move(Call),
                [&](absl::StatusOr<CallAnswer> Answer) { Result = Answer; });
    while (!Result)
      this->Loop.run_one();
    return *Result;
  }

  boost::asio::io_context Loop;
  LoopTimer Timer{Loop};
};

constexpr const char *FullAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage";

} // namespace

TEST_CASE_METHOD(HttpClientFixture,
                 "A slow answer within the idle timeout completes") {
  SlowServer Server(this->Loop, FullAnswer, std::chrono::milliseconds(25));
  OutgoingCall Call;
  Call.Timeout = absl::Minutes(1);
  Call.IdleTimeout = absl::Milliseconds(800);
  absl::StatusOr<CallAnswer> Answer = this->call(Server.address(), Call);
  REQUIRE(Answer.ok());
  CHECK(Answer->Body == "page");
}

TEST_CASE_METHOD(HttpClientFixture,
                 "A stalled answer ends at the idle timeout") {
  SlowServer Server(this->Loop, "HTTP/1.1 200 OK\r\n",
                    std::chrono::milliseconds(1));
  OutgoingCall Call;
  Call.Timeout = absl::Minutes(1);
  Call.IdleTimeout = absl::Milliseconds(300);
  absl::Time StartedAt = absl::Now();
  absl::StatusOr<CallAnswer> Answer = this->call(Server.address(), Call);
  CHECK(absl::IsDeadlineExceeded(Answer.status()));
  CHECK(absl::Now() - StartedAt < Call.Timeout);
}

TEST_CASE_METHOD(HttpClientFixture,
                 "A slow answer ends at the call's timeout") {
  SlowServer Server(this->Loop, FullAnswer, std::chrono::milliseconds(100));
  OutgoingCall Call;
  Call.Timeout = absl::Milliseconds(400);
  Call.IdleTimeout = absl::Minutes(1);
  absl::StatusOr<CallAnswer> Answer = this->call(Server.address(), Call);
  CHECK(absl::IsDeadlineExceeded(Answer.status()));
}

TEST_CASE("A destroyed store client releases its pending calls") {
  boost::asio::io_context Loop;
  LoopTimer Timer(Loop);
  SlowServer Server(Loop, "", std::chrono::milliseconds(1));
  auto CallbackToken = std::make_shared<int>(0);
  {
    StorePort Port =
        platform::createStorePort(Loop, Timer, Server.address(), {});
    Port.Newest(StoreTopic::Replicas,
                [CallbackToken](const absl::StatusOr<StorePage> &) {});
    Port.Newest(StoreTopic::Replicas,
                [CallbackToken](const absl::StatusOr<StorePage> &) {});
    Loop.run_for(std::chrono::milliseconds(50));
    CHECK(CallbackToken.use_count() == 3);
  }
  CHECK(CallbackToken.use_count() == 1);
}
