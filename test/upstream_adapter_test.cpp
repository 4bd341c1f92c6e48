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
