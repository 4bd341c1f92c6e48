//===- upstream_adapter_test.cpp - Tests faults of calls to an engine -----===//

#include "berylramp/http.h"

#include <array>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace berylramp;

namespace {

/// A listening socket that never answers: the kernel completes connections, but
/// nothing accepts them.
class SilentServer {
public:
  SilentServer() : Descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t AddressSize = sizeof(Address);
    auto *GenericAddress = reinterpret_cast<sockaddr *>(&Address);
    REQUIRE(bind(this->Descriptor, GenericAddress, AddressSize) == 0);
    REQUIRE(listen(this->Descriptor, 4) == 0);
    REQUIRE(getsockname(this->Descriptor, GenericAddress, &AddressSize) == 0);
    this->Port = ntohs(Address.sin_port);
  }
  ~SilentServer() { close(this->Descriptor); }

  /// Accepts the next connection and closes it.
  void closeNextConnection() const {
    int Connection = accept(this->Descriptor, nullptr, nullptr);
    close(Connection);
  }

  /// Accepts the next connection, sends \p Bytes and closes it.
  void answerNextConnection(const std::string &Bytes) const {
    int Connection = accept(this->Descriptor, nullptr, nullptr);
    CHECK(send(Connection, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Bytes.size()));
    shutdown(Connection, SHUT_WR);
    std::array<char, 1024> Request{};
    while (recv(Connection, Request.data(), Request.size(), 0) > 0) {
    }
    close(Connection);
  }

  /// Accepts the next connection, sends \p Begin, and then \p Flood again and
  /// again until the connection is closed or \p MaxBytes are sent. Returns the
  /// bytes that the peer took.
  size_t floodNextConnection(const std::string &Begin, const std::string &Flood,
                             size_t MaxBytes) const {
    int Connection = accept(this->Descriptor, nullptr, nullptr);
    size_t Sent = 0;
    ssize_t Count = send(Connection, Begin.data(), Begin.size(), MSG_NOSIGNAL);
    while (Count >= 0 && Sent < MaxBytes) {
      Sent += static_cast<size_t>(Count);
      Count = send(Connection, Flood.data(), Flood.size(), MSG_NOSIGNAL);
    }
    close(Connection);
    return Sent;
  }

  /// Accepts two connections and sends an answer on each as soon as it is open.
  void answerTwice(const std::string &First, const std::string &Second) const {
    int Connections[2] = {};
    int Index = 0;
    for (const std::string &Answer : {First, Second}) {
      Connections[Index] = accept(this->Descriptor, nullptr, nullptr);
      send(Connections[Index], Answer.data(), Answer.size(), MSG_NOSIGNAL);
      Index += 1;
    }
    for (int Connection : Connections) {
      std::array<char, 1024> Request{};
      while (recv(Connection, Request.data(), Request.size(), 0) > 0) {
      }
      close(Connection);
    }
  }

  /// Accepts the next connection, returns the request that has arrived, and
  /// closes it.
  std::string receiveRequest() const {
    int Connection = accept(this->Descriptor, nullptr, nullptr);
    std::string Request;
    while (Request.find("\r\n\r\n") == std::string::npos) {
      std::array<char, 1024> Part{};
      ssize_t Count = recv(Connection, Part.data(), Part.size(), 0);
      if (Count <= 0)
        break;
      Request.append(Part.data(), static_cast<size_t>(Count));
    }
    close(Connection);
    return Request;
  }

  /// Accepts the next connection, sends \p Bytes once a part of a request has
  /// arrived, and resets it.
  void resetNextConnection(const std::string &Bytes) const {
    int Connection = accept(this->Descriptor, nullptr, nullptr);
    char Byte = 0;
    CHECK(recv(Connection, &Byte, 1, 0) == 1);
    CHECK(send(Connection, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Bytes.size()));
    linger Immediately{1, 0};
    setsockopt(Connection, SOL_SOCKET, SO_LINGER, &Immediately,
               sizeof(Immediately));
    close(Connection);
  }

  Endpoint address() const { return {"127.0.0.1", this->Port}; }

  int Port = 0;

private:
  int Descriptor;
};

GenerateResult generate(const SilentServer &Server, absl::Duration Timeout) {
  UpstreamPort Port = makeHttpUpstreams(std::make_shared<HttpClientPool>());
  GenerateCall Call;
  Call.Address = {"127.0.0.1", Server.Port};
  Call.Timeout = Timeout;
  return Port.Generate(Call, [](const std::string &) { return true; });
}

/// The outcome of a call that the server answers with \p Bytes.
HttpOutcome outcomeOf(const std::string &Bytes, bool Resets = false,
                      const std::string &Body = "") {
  SilentServer Server;
  std::thread Answerer([&] {
    if (Resets)
      Server.resetNextConnection(Bytes);
    else
      Server.answerNextConnection(Bytes);
  });
  HttpCall Call;
  Call.Method = "POST";
  Call.Body = Body;
  Call.ReadTimeout = absl::Seconds(60);
  // The pool must not keep the connection, whose end the server awaits.
  HttpOutcome Outcome = HttpClientPool().call(Server.address(), Call);
  Answerer.join();
  return Outcome;
}

const std::string Success = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_CASE("An engine that does not answer in time is reported as late") {
  SilentServer Server;
  CHECK(generate(Server, absl::Milliseconds(200)).Fault ==
        UpstreamFault::TimedOut);
}

TEST_CASE("An engine that closes the connection is reported as cut") {
  SilentServer Server;
  std::thread Closer([&] { Server.closeNextConnection(); });
  CHECK(generate(Server, absl::Seconds(60)).Fault ==
        UpstreamFault::Interrupted);
  Closer.join();
}

// The sum of two loads near 2^31 overflowed.
TEST_CASE("The load that an engine reports is bounded") {
  SilentServer Server;
  std::string Body = R"({"running":2147483647,"waiting":4294967297,)"
                     R"("slots":9223372036854775807})";
  std::thread Answerer([&] {
    Server.answerNextConnection(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body);
  });
  UpstreamPort Port = makeHttpUpstreams(std::make_shared<HttpClientPool>());
  absl::StatusOr<EngineLoad> Load = Port.ReadLoad({"127.0.0.1", Server.Port});
  Answerer.join();
  REQUIRE(Load.ok());
  CHECK(Load->Running == 1000000);
  CHECK(Load->Waiting == 1000000);
  CHECK(Load->Slots == 1000000);
}

// A status 000 was passed on as the answer.
TEST_CASE("An answer with a status that does not exist is a fault") {
  for (const char *Status : {"000", "099", "600", "999"}) {
    CAPTURE(Status);
    HttpOutcome Outcome = outcomeOf(std::string("HTTP/1.1 ") + Status +
                                    " Trouble\r\nContent-Length: 2\r\n\r\nno");
    CHECK(Outcome.Fault == HttpFault::Interrupted);
  }
}

// A body in a coding that nobody removes was passed on as the answer.
TEST_CASE("An answer with an unknown or ambiguous framing is a fault") {
  for (const char *Framing :
       {"Transfer-Encoding: gzip\r\n\r\nabc",
        "Transfer-Encoding: identity\r\nContent-Length: 3\r\n\r\nabc",
        "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\n\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: +3\r\n\r\nabc",
        "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n"}) {
    CAPTURE(Framing);
    CHECK(outcomeOf(Success + Framing).Fault == HttpFault::Interrupted);
  }
}

TEST_CASE("An answer that its sender breaks off is a fault") {
  for (const char *Bytes :
       {"HTTP/1.1 2", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
        "0\r\n"}) {
    CAPTURE(Bytes);
    CHECK(outcomeOf(Bytes).Fault == HttpFault::Interrupted);
    CHECK(outcomeOf(Bytes, /*Resets=*/true).Fault == HttpFault::Interrupted);
  }
}

TEST_CASE("An answer without a length that is reset under an upload is a "
          "fault") {
  constexpr size_t UploadBytes = 8U << 20;
  CHECK(outcomeOf(Success + "\r\nhalf", /*Resets=*/true,
                  std::string(UploadBytes, 'u'))
            .Fault == HttpFault::Interrupted);
}

// The bytes were kept until the process ran out of memory.
TEST_CASE("An answer without end is given up") {
  constexpr size_t MaxBytes = 256U << 20;
  const std::string Chunked = Success + "Transfer-Encoding: chunked\r\n\r\n";
  std::string Line(60000, 'x');
  std::string Lines;
  while (Lines.size() < Line.size())
    Lines += "X: y\r\n";
  for (const auto &[Begin, Flood] :
       std::vector<std::pair<std::string, std::string>>{
           {"", Line},
           {"HTTP/1.1 200 ", Line},
           {Success + "X: ", Line},
           {Success, Lines},
           {Chunked + "1;", Line},
           {Chunked + "0\r\n", Lines},
           {Success + "\r\n", Line},
           {Success + "Content-Length: 999999999999\r\n\r\n", Line}}) {
    CAPTURE(Begin, Flood.substr(0, 10));
    SilentServer Server;
    size_t Sent = 0;
    std::thread Flooder(
        [&] { Sent = Server.floodNextConnection(Begin, Flood, MaxBytes); });
    HttpOutcome Outcome = HttpClientPool().call(Server.address(), HttpCall());
    Flooder.join();
    CHECK(Outcome.Fault == HttpFault::Interrupted);
    CHECK(Sent < MaxBytes);
  }
}

TEST_CASE("A path or a header of a call begins no other request") {
  SilentServer Server;
  HttpCall Call;
  Call.Path = "/a b\r\nX: y\r\n\r\nGET /inner?q=%20\xc3\xa9";
  Call.Headers = {
      {"Sound", "yes"}, {"Broken", "a\r\nX: y"}, {"Broken\r\nX", "y"}};
  std::string Request;
  std::thread Receiver([&] { Request = Server.receiveRequest(); });
  HttpClientPool().call(Server.address(), Call);
  Receiver.join();
  CHECK(Request.substr(0, Request.find("\r\nHost")) ==
        "GET /a%20b%0d%0aX:%20y%0d%0a%0d%0aGET%20/inner?q=%20%c3%a9 HTTP/1.1");
  CHECK(Request.find("\r\nSound: yes\r\n") != std::string::npos);
  CHECK(Request.find("Broken") == std::string::npos);
}

TEST_CASE("Bytes after an answer do not reach the next call") {
  SilentServer Server;
  auto Answer = [](const std::string &Body) {
    return Success + "Content-Length: 5\r\n\r\n" + Body;
  };
  std::thread Answerer([&] {
    Server.answerTwice(Answer("first") + Answer("stale"), Answer("fresh"));
  });
  {
    HttpClientPool Pool;
    CHECK(Pool.call(Server.address(), HttpCall()).Body == "first");
    CHECK(Pool.call(Server.address(), HttpCall()).Body == "fresh");
  }
  Answerer.join();
}
