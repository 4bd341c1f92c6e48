//===- tunnel_test.cpp - Answers over another host ------------------------===//

#include "standin.h"
#include "tunnel.h"
#include "upstream_connection.h"

#include "absl/strings/match.h"
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

using boost::asio::ip::tcp;

const std::string UnframedHead = "HTTP/1.1 200 OK\r\n\r\n";
const std::string PartOfBody = "half of it";

/// The listening end of one connection.
class Server {
public:
  explicit Server(boost::asio::io_context &Loop)
      : Acceptor(Loop,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        Socket(Loop) {
    this->Acceptor.async_accept(this->Socket,
                                [this](const boost::system::error_code &Error) {
                                  this->Accepted = !Error;
                                  this->read();
                                });
  }
  Endpoint address() const {
    return {"127.0.0.1", this->Acceptor.local_endpoint().port()};
  }
  void send(const std::string &Bytes) {
    boost::asio::write(this->Socket, boost::asio::buffer(Bytes));
  }
  /// As the kernel does when a process ends.
  void close() { this->Socket.close(); }

  bool Accepted = false;
  std::string Received;

private:
  void read() {
    this->Socket.async_read_some(
        boost::asio::buffer(this->Bytes),
        [this](const boost::system::error_code &Error, size_t Count) {
          if (Error)
            return;
          this->Received.append(this->Bytes.data(), Count);
          this->read();
        });
  }

  tcp::acceptor Acceptor;
  tcp::socket Socket;
  std::array<char, 4096> Bytes{};
};

struct Recorder : AnswerListener {
  void onHead(const HttpHead &Head) override {}
  void onBody(std::string Chunk) override { this->Body += Chunk; }
  void onEnd() override { this->Ended = true; }
  void onFault(ConnectionFault NewFault) override { this->Fault = NewFault; }

  std::string Body;
  bool Ended = false;
  std::optional<ConnectionFault> Fault;
};

/// A host that reaches a replica over another host.
struct TunnelFixture {
  TunnelFixture() : Timer(Loop), Replica(Loop) {
    TunnelHooks Hooks;
    Hooks.Find = [](uint64_t) { return std::make_optional<PathTarget>(); };
    Hooks.AddressOf = [this](uint64_t) { return this->Replica.address(); };
    Hooks.RejectsNew = [] { return false; };
    Hooks.OnReached = [](const PathTarget &) {};
    Hooks.OnUnreached = [](const PathTarget &, Instant, bool) {};
    this->Between = std::make_unique<TunnelServer>(this->Loop, this->Timer,
                                                   std::move(Hooks));
    this->Address = {"127.0.0.1", standin::findFreePort()};
    REQUIRE(this->Between->listen(this->Address).ok());
  }

  void runUntil(const std::function<bool()> &Condition) {
    for (int Step = 0; Step < 2000 && !Condition(); ++Step) {
      this->Loop.restart();
      this->Loop.run_for(std::chrono::milliseconds(2));
    }
    REQUIRE(Condition());
  }
  bool hasResult() const {
    return this->Answer->Ended || this->Answer->Fault.has_value();
  }
  void request(const Endpoint &Peer) {
    this->Connection =
        std::make_shared<UpstreamConnection>(this->Loop, Peer, 1);
    this->Connection->start("GET / HTTP/1.1\r\n\r\n", false, this->Answer);
  }
  /// Answers the request for a tunnel with \p Head, as the host \p Peer.
  void requestOver(Server &Peer, const std::string &Head) {
    this->request(Peer.address());
    this->runUntil([&] { return !Peer.Received.empty(); });
    CHECK(absl::StrContains(Peer.Received, "Tunnel-Framing: chunked"));
    Peer.Received.clear();
    Peer.send(Head);
    this->runUntil([&] { return !Peer.Received.empty(); });
  }
  /// Lets a part of an answer without a length arrive over the other host.
  void beginAnswer() {
    this->request(this->Address);
    this->runUntil([&] { return !this->Replica.Received.empty(); });
    this->Replica.send(UnframedHead + PartOfBody);
    this->runUntil([&] { return this->Answer->Body == PartOfBody; });
  }

  void checkBroken() {
    this->runUntil([&] { return this->hasResult(); });
    CHECK_FALSE(this->Answer->Ended);
    CHECK(this->Answer->Fault == ConnectionFault::Reset);
  }

  boost::asio::io_context Loop;
  LoopTimer Timer;
  Server Replica;
  std::unique_ptr<TunnelServer> Between;
  Endpoint Address;
  std::shared_ptr<Recorder> Answer = std::make_shared<Recorder>();
  UpstreamConnectionPtr Connection;
};

/// Connects as a host of the version before chunks.
struct EarlierHostFixture : TunnelFixture {
  EarlierHostFixture() : Socket(Loop) {
    this->Socket.connect(
        tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                      static_cast<uint16_t>(this->Address.Port)));
    boost::asio::write(this->Socket,
                       boost::asio::buffer(std::string(
                           "CONNECT 1 HTTP/1.1\r\nHost: replica\r\n\r\nGET / "
                           "HTTP/1.1\r\n\r\n")));
    this->runUntil([&] { return !this->Replica.Received.empty(); });
    this->Replica.send(UnframedHead + PartOfBody);
    std::string Expected =
        "HTTP/1.1 200 Tunnel\r\n\r\n" + UnframedHead + PartOfBody;
    this->runUntil([&] { return this->Socket.available() >= Expected.size(); });
    std::string Received(Expected.size(), ' ');
    boost::asio::read(this->Socket, boost::asio::buffer(Received));
    REQUIRE(Received == Expected);
  }
  /// How the connection ends.
  boost::system::error_code end() {
    boost::system::error_code Error;
    bool Done = false;
    this->Socket.async_wait(
        tcp::socket::wait_read,
        [&](const boost::system::error_code &) { Done = true; });
    this->runUntil([&] { return Done; });
    char Byte = 0;
    this->Socket.read_some(boost::asio::buffer(&Byte, 1), Error);
    return Error;
  }

  tcp::socket Socket;
};

} // namespace

// A planned stop of the host in between turned a part of an answer without a
// length into a complete one (review/1).
TEST_CASE_METHOD(TunnelFixture, "An answer without a length does not end with "
                                "the host that it goes over") {
  this->beginAnswer();
  this->Between->close();
  this->checkBroken();
}

// The kernel closes the connections of a killed process in order (review/2).
TEST_CASE_METHOD(TunnelFixture, "An orderly close of the host in between is no "
                                "end of an answer") {
  Server Killed(this->Loop);
  this->requestOver(
      Killed, "HTTP/1.1 200 Tunnel\r\nTransfer-Encoding: chunked\r\n\r\n");
  Killed.send("1d\r\n" + UnframedHead + PartOfBody + "\r\n");
  this->runUntil([&] { return this->Answer->Body == PartOfBody; });
  Killed.close();
  this->checkBroken();
}

TEST_CASE_METHOD(TunnelFixture, "A host in between that answers no HTTP has "
                                "sent no request") {
  Server Odd(this->Loop);
  this->request(Odd.address());
  this->runUntil([&] { return !Odd.Received.empty(); });
  Odd.send("no HTTP\r\n\r\n");
  this->runUntil([&] { return this->hasResult(); });
  CHECK(this->Answer->Fault == ConnectionFault::PeerUnavailable);
}

TEST_CASE_METHOD(TunnelFixture, "An answer without a length ends with its "
                                "replica over another host") {
  this->beginAnswer();
  this->Replica.send(", and the rest");
  this->Replica.close();
  this->runUntil([&] { return this->hasResult(); });
  CHECK(this->Answer->Ended);
  CHECK(this->Answer->Body == PartOfBody + ", and the rest");
  CHECK_FALSE(this->Connection->reusable());
}

TEST_CASE_METHOD(TunnelFixture, "An answer that its replica breaks off is cut "
                                "over another host too") {
  this->request(this->Address);
  this->runUntil([&] { return !this->Replica.Received.empty(); });
  this->Replica.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" +
                     PartOfBody);
  this->Replica.close();
  this->runUntil([&] { return this->hasResult(); });
  CHECK(this->Answer->Fault == ConnectionFault::Cut);
}

TEST_CASE_METHOD(TunnelFixture,
                 "A tunnel carries several answers with a length") {
  const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  this->request(this->Address);
  this->runUntil([&] { return !this->Replica.Received.empty(); });
  this->Replica.send(Whole);
  this->runUntil([&] { return this->Answer->Ended; });
  REQUIRE(this->Connection->reusable());
  this->Answer->Ended = false;
  this->Replica.Received.clear();
  this->Connection->start("GET / HTTP/1.1\r\n\r\n", false, this->Answer);
  this->runUntil([&] { return !this->Replica.Received.empty(); });
  this->Replica.send(Whole);
  this->runUntil([&] { return this->Answer->Ended; });
  CHECK(this->Answer->Body == "okok");
}

// A stream that paused for longer than half a second did not keep the host in
// between from ending.
TEST_CASE_METHOD(TunnelFixture,
                 "A host in between waits for an answer that pauses") {
  this->beginAnswer();
  Instant Begun = this->Timer.now();
  this->runUntil(
      [&] { return this->Timer.now() - Begun > absl::Milliseconds(700); });
  CHECK(this->Between->busyTunnels() == 1);
  this->Connection->cancel();
  this->runUntil([&] { return this->Between->busyTunnels() == 0; });
}

// Hosts of both versions run side by side during an upgrade.
TEST_CASE_METHOD(TunnelFixture, "An answer without a length is not complete "
                                "over a host that does not state its end") {
  Server Earlier(this->Loop);
  this->requestOver(Earlier, "HTTP/1.1 200 Tunnel\r\n\r\n");
  Earlier.send(UnframedHead + PartOfBody);
  this->runUntil([&] { return this->Answer->Body == PartOfBody; });
  Earlier.close();
  this->checkBroken();
}

TEST_CASE_METHOD(TunnelFixture, "An answer with a length is complete over a "
                                "host that does not state its end") {
  Server Earlier(this->Loop);
  this->requestOver(Earlier, "HTTP/1.1 200 Tunnel\r\n\r\n");
  Earlier.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  this->runUntil([&] { return this->hasResult(); });
  CHECK(this->Answer->Ended);
  CHECK(this->Connection->reusable());
}

TEST_CASE_METHOD(EarlierHostFixture,
                 "A host of an earlier version sees a reset when the host in "
                 "between ends") {
  this->Between->close();
  CHECK(this->end() == boost::asio::error::connection_reset);
}

TEST_CASE_METHOD(EarlierHostFixture,
                 "A host of an earlier version sees the replica's orderly "
                 "close") {
  this->Replica.close();
  CHECK(this->end() == boost::asio::error::eof);
}
