//===- upstream_adapter_test.cpp - How calls to an engine end -------------===//

#include "berylramp/http.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace berylramp;

namespace {

/// A listening socket whose connections are taken by the kernel only.
class MuteServer {
public:
  MuteServer() : File(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(At);
    auto *Plain = reinterpret_cast<sockaddr *>(&At);
    REQUIRE(bind(this->File, Plain, Size) == 0);
    REQUIRE(listen(this->File, 4) == 0);
    REQUIRE(getsockname(this->File, Plain, &Size) == 0);
    this->Port = ntohs(At.sin_port);
  }
  ~MuteServer() { close(this->File); }

  /// Closes the next connection.
  void cutNext() const {
    int Taken = accept(this->File, nullptr, nullptr);
    close(Taken);
  }

  int Port = 0;

private:
  int File;
};

GenerateResult ask(const MuteServer &Server, absl::Duration Timeout) {
  UpstreamPort Port = makeHttpUpstreams(std::make_shared<HttpClientPool>());
  GenerateCall Call;
  Call.Address = {"127.0.0.1", Server.Port};
  Call.Timeout = Timeout;
  return Port.Generate(Call, [](const std::string &) { return true; });
}

} // namespace

TEST_CASE("An engine that stays silent is late") {
  MuteServer Server;
  CHECK(ask(Server, absl::Milliseconds(200)).Fault == UpstreamFault::TimedOut);
}

TEST_CASE("An engine that closes has cut its answer") {
  MuteServer Server;
  std::thread Closer([&] { Server.cutNext(); });
  CHECK(ask(Server, absl::Seconds(60)).Fault == UpstreamFault::Interrupted);
  Closer.join();
}
