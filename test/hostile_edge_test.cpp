//===- hostile_edge_test.cpp - berylramp-edged among hostile clients ------===//
//
// The daemon runs in a process of its own, on a host with little memory, so
// that a small crowd is enough to exceed it.
//
//===----------------------------------------------------------------------===//

#include "edge_fixture.h"
#include "hostile_clients.h"
#include "process.h"
#include "proxy.h"
#include "tunnel.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "berylramp/json.h"
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace berylramp;

namespace {

enum class Listener {
  Frontend,
  Ready,
  Directory,
  ControlPlane,
  Tunnels,
  Metrics
};

constexpr size_t MaxHeaderBytes = 16U << 10;
constexpr size_t MaxBodyBytes = 4U << 20;
/// Room for the request line and the usual fields.
constexpr size_t UsualHeaderBytes = 512;

/// The host of the crowds: its memory, and its descriptors, of which 200 are
/// reserved for files.
constexpr int64_t HostMegabytes = 64;
constexpr int HostDescriptors = 4100;
constexpr int FewDescriptors = 400;
/// The smallest host of the users' deployments.
constexpr int64_t SmallestHostMegabytes = 110;

constexpr int HeaderCrowd = 80;
constexpr int BodyCrowd = 15;
constexpr int UnreadCrowd = 20;
constexpr int DescriptorCrowd = 500;
constexpr int EarlyBytesCrowd = 4;
/// Repeats of an ordinary request that the daemon asked to come back.
constexpr int MaxReturns = 10;

class HostileFixture : public EdgeFixture {
public:
  void startProcess(int64_t Megabytes = HostMegabytes,
                    int Descriptors = HostDescriptors) {
    this->Limits = {Megabytes << 20, Descriptors};
    this->MetricsPort = standin::findFreePort();
    this->WorkFolder = std::filesystem::temp_directory_path() /
                       absl::StrCat("berylramp-hostile-", getpid());
    std::filesystem::create_directories(this->WorkFolder);
    std::string SettingsPath = this->WorkFolder / "settings.json";
    std::ofstream(SettingsPath) << this->settingsText(Megabytes, Descriptors);
    this->Store->put("keyed.op", "config", this->tableText());
    this->putReplicas();
    this->Process = std::make_unique<ChildProcess>(
        BERYLRAMP_EDGED,
        std::vector<std::string>{"--settings", SettingsPath, "--metrics-port",
                                 absl::StrCat(this->MetricsPort)},
        Descriptors, this->WorkFolder / "log");
    this->awaitReady(this->Config.Ready);
  }

  ~HostileFixture() {
    this->Process.reset();
    std::error_code Ignored;
    std::filesystem::remove_all(this->WorkFolder, Ignored);
  }

  Endpoint address(Listener Which) const {
    switch (Which) {
    case Listener::Frontend:
      return this->Config.Callers;
    case Listener::Ready:
      return this->Config.Ready;
    case Listener::Directory:
      return this->Config.Directory;
    case Listener::ControlPlane:
      return this->Config.Peers;
    case Listener::Tunnels:
      return {this->Config.Ip, this->Config.GossipPort};
    case Listener::Metrics:
      break;
    }
    return {this->Config.Ip, this->MetricsPort};
  }

  /// The beginning of a request that the listener serves, without the empty
  /// line that ends its header.
  std::string requestHead(Listener Which,
                          const std::string &Method = "POST") const {
    std::string Target;
    switch (Which) {
    case Listener::Frontend:
      return absl::StrCat(Method, " /safe/a HTTP/1.1\r\nHost: api.test\r\n",
                          "Berylramp-Attempt-Id: hostile\r\n",
                          "Berylramp-Deadline-Ms: 5000\r\n",
                          "Authorization: Token key-1\r\n");
    case Listener::Ready:
      Target = "/berylramp/readyz";
      break;
    case Listener::Directory:
      Target = "/berylramp/resolve?name=api.test&region=region-zone-a&zone="
               "zone-a";
      break;
    case Listener::ControlPlane:
      Target = Method == "POST" ? "/peer/where" : "/peer/records";
      break;
    case Listener::Tunnels:
      return absl::StrCat("CONNECT ", absl::Hex(stableHash("plain-0")),
                          " HTTP/1.1\r\nHost: replica\r\n");
    case Listener::Metrics:
      Target = "/metrics";
      break;
    }
    return absl::StrCat(Method, " ", Target, " HTTP/1.1\r\nHost: x\r\n");
  }

  void runCrowds(const Crowds &All) {
    this->PeakDescriptors =
        berylramp::runCrowds(this->Loop, All, *this->Process);
  }

  /// Sends \p Request on a new connection until it is not asked to come back;
  /// returns the status of the answer, or 0 if there is none.
  int ask(Listener Which, const std::string &Request) {
    for (int Try = 0; Try < MaxReturns; ++Try) {
      RawCaller Caller(this->Loop, this->address(Which));
      Caller.send(Request);
      this->runUntil([&] {
        return Caller.hasCompleteAnswer() || Caller.isClosed() ||
               (Which == Listener::Tunnels && Caller.status() != 0);
      });
      UNSCOPED_INFO(Caller.received());
      if (Caller.status() != 503)
        return Caller.status();
      this->runFor(absl::Seconds(1));
    }
    return 503;
  }

  /// The daemon lives, stayed within its bounds and serves ordinary requests.
  void checkWithstood(Listener Which) {
    checkLimits(*this->Process, this->Limits, this->PeakDescriptors);
    CHECK(this->ask(Listener::Frontend, makeRequest("/safe/a", "ordinary", "",
                                                    "x", "key-1")) == 200);
    if (Which != Listener::Frontend)
      CHECK(this->ask(Which, this->requestHead(Which, "GET") + "\r\n") == 200);
    checkLimits(*this->Process, this->Limits, this->PeakDescriptors);
  }

  std::unique_ptr<ChildProcess> Process;

private:
  std::string settingsText(int64_t Megabytes, int Descriptors) const {
    std::vector<int> Ports = {this->Config.Callers.Port,
                              this->Config.Ready.Port,
                              this->Config.Directory.Port,
                              this->Config.Peers.Port, this->Config.GossipPort};
    Json::Value Settings = *parseJson(standin::sampleSettings(
        "host-1", "zone-a", "127.0.0.1", Ports, this->Store->address(), ""));
    Settings["limits"]["memoryMb"] = Json::Int64(Megabytes);
    Settings["limits"]["maxFds"] = Descriptors;
    return writeJson(Settings);
  }

  /// No time limit of the table ends a hostile client.
  std::string tableText() const {
    Json::Value Table = *parseJson(standin::sampleTable(1, {"key-1"}));
    Table["limits"]["maxHeaderBytes"] = Json::UInt64(MaxHeaderBytes);
    Table["limits"]["maxBodyBytes"] = Json::UInt64(MaxBodyBytes);
    Table["limits"]["headerTimeoutMs"] = 120000;
    Table["limits"]["idleTimeoutMs"] = 120000;
    return writeJson(Table);
  }

  std::filesystem::path WorkFolder;
  int MetricsPort = 0;
  HostLimits Limits;
  int PeakDescriptors = 0;
};

} // namespace

#define ALL_LISTENERS                                                          \
  Listener::Frontend, Listener::Ready, Listener::Directory,                    \
      Listener::ControlPlane, Listener::Tunnels, Listener::Metrics

TEMPLATE_TEST_CASE_SIG("Hostile header lines", "", ((Listener Which), Which),
                       ALL_LISTENERS) {
  HostileFixture Host;
  Host.startProcess();
  std::string Head =
      absl::StrCat(Host.requestHead(Which), "Content-Length: 10\r\n");
  size_t Rest = MaxHeaderBytes - UsualHeaderBytes;
  Crowds All;
  for (const std::string &Lines :
       {shortHeaderLines(Rest), oddHeaderLines(Rest)})
    for (Delivery How : AllDeliveries)
      All.push_back(std::make_unique<Crowd>(
          Host.Loop, Host.address(Which),
          absl::StrCat(Head, Lines, "\r\n0123456789"), HeaderCrowd, How));
  // The header of these requests is not complete.
  All.push_back(std::make_unique<Crowd>(
      Host.Loop, Host.address(Which),
      absl::StrCat(Head, shortHeaderLines(Rest), "\r\n"), HeaderCrowd,
      Delivery::ShortOfEnd));
  Host.runCrowds(All);
  Host.checkWithstood(Which);
}

TEMPLATE_TEST_CASE_SIG("Hostile bodies", "", ((Listener Which), Which),
                       ALL_LISTENERS) {
  HostileFixture Host;
  for (const auto &Replica : Host.PlainReplicas)
    Replica->ProcessingTime = absl::Milliseconds(300);
  Host.startProcess();
  std::string Head = Host.requestHead(Which);
  std::string Announced =
      absl::StrCat(Head, "Content-Length: ", MaxBodyBytes, "\r\n\r\n",
                   std::string(MaxBodyBytes, 'x'));
  std::string Chunked = absl::StrCat(Head, "Transfer-Encoding: chunked\r\n\r\n",
                                     chunkedBody(MaxBodyBytes, 1000));
  Crowds All;
  for (const std::string &Payload : {Announced, Chunked})
    for (Delivery How : AllDeliveries)
      All.push_back(std::make_unique<Crowd>(Host.Loop, Host.address(Which),
                                            Payload, BodyCrowd, How));
  Host.runCrowds(All);
  Host.checkWithstood(Which);
}

TEMPLATE_TEST_CASE_SIG("Hostile connections without an end", "",
                       ((Listener Which), Which), ALL_LISTENERS) {
  HostileFixture Host;
  Host.startProcess(HostMegabytes, FewDescriptors);
  Crowds All;
  All.push_back(std::make_unique<Crowd>(Host.Loop, Host.address(Which),
                                        Host.requestHead(Which),
                                        DescriptorCrowd, Delivery::ShortOfEnd));
  Host.runCrowds(All);
  Host.checkWithstood(Which);
}

TEMPLATE_TEST_CASE_SIG("Hostile idle connections", "",
                       ((Listener Which), Which), ALL_LISTENERS) {
  HostileFixture Host;
  Host.startProcess(HostMegabytes, FewDescriptors);
  Crowds All;
  // One byte short of one byte: these clients send nothing.
  All.push_back(std::make_unique<Crowd>(Host.Loop, Host.address(Which), "G",
                                        DescriptorCrowd, Delivery::ShortOfEnd));
  Host.runCrowds(All);
  Host.checkWithstood(Which);
}

TEMPLATE_TEST_CASE_SIG("Hostile requests whose answers are not read", "",
                       ((Listener Which), Which), Listener::Frontend,
                       Listener::Ready, Listener::Directory,
                       Listener::ControlPlane, Listener::Metrics) {
  HostileFixture Host;
  Host.startProcess();
  std::string Request = Host.requestHead(Which, "GET") + "\r\n";
  constexpr size_t PipelinedBytes = 1U << 20;
  std::string Payload;
  while (Payload.size() < PipelinedBytes)
    Payload += Request;
  Crowds All;
  All.push_back(std::make_unique<Crowd>(Host.Loop, Host.address(Which), Payload,
                                        UnreadCrowd, Delivery::Whole,
                                        Reading::No));
  Host.runCrowds(All);
  Host.checkWithstood(Which);
}

TEST_CASE("Hostile bytes before a tunnel is open") {
  HostileFixture Host;
  auto Silent =
      std::make_shared<Proxy>(Host.Loop, Host.Timer, Endpoint{"127.0.0.1", 1});
  Silent->listen();
  Silent->setNewConnections(NewConnections::Hang);
  Host.PlainReplicas[0]->AdvertisedAddress = Silent->address();
  Host.startProcess();
  constexpr size_t EarlyBytes = 96U << 20;
  Crowds All;
  All.push_back(std::make_unique<Crowd>(
      Host.Loop, Host.address(Listener::Tunnels),
      absl::StrCat(Host.requestHead(Listener::Tunnels), "\r\n",
                   std::string(EarlyBytes, 'x')),
      EarlyBytesCrowd, Delivery::Whole));
  Host.runCrowds(All);
  Host.checkWithstood(Listener::Metrics);
}

TEST_CASE("Hostile explanations of many small values") {
  HostileFixture Host;
  Host.startProcess();
  std::string Body = "[0";
  while (Body.size() + 3 < MaxBodyBytes)
    Body += ",0";
  Body += "]";
  Crowds All;
  All.push_back(std::make_unique<Crowd>(
      Host.Loop, Host.address(Listener::ControlPlane),
      absl::StrCat(Host.requestHead(Listener::ControlPlane),
                   "Content-Length: ", Body.size(), "\r\n\r\n", Body),
      1, Delivery::Whole));
  Host.runCrowds(All);
  Host.checkWithstood(Listener::ControlPlane);
}

TEST_CASE("One request at the limits is served in calm") {
  HostileFixture Host;
  Host.startProcess(SmallestHostMegabytes);
  std::string Usual = absl::StrCat(Host.requestHead(Listener::Frontend),
                                   "Content-Length: ", MaxBodyBytes, "\r\n");
  for (const std::string &Lines :
       {shortHeaderLines(MaxHeaderBytes - Usual.size() - 2),
        oddHeaderLines(MaxHeaderBytes - Usual.size() - 2)}) {
    RawCaller Caller(Host.Loop, Host.address(Listener::Frontend));
    Caller.send(absl::StrCat(Usual, Lines, "\r\n"));
    // In portions, so that the caller's loop goes on.
    constexpr size_t PortionBytes = 64U << 10;
    for (size_t Sent = 0; Sent < MaxBodyBytes; Sent += PortionBytes)
      Caller.send(std::string(PortionBytes, 'x'));
    REQUIRE(Host.runUntil(
        [&] { return Caller.hasCompleteAnswer() || Caller.isClosed(); }));
    CHECK(Caller.status() == 200);
  }
  Host.checkWithstood(Listener::Frontend);
}
