//===- hostile_entry_test.cpp - berylramp-entryd among hostile clients ----===//

#include "fleet_fixture.h"
#include "hostile_clients.h"
#include "process.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "berylramp/json.h"
#include "berylramp/settings.h"
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace berylramp;

namespace {

/// The smallest host that the daemon is meant for.
constexpr int64_t HostMegabytes = 120;
constexpr int HostDescriptors = 4100;
constexpr int FewDescriptors = 400;
constexpr int MaxConnections = 1024;
constexpr size_t MaxHeaderBytes = 16U << 10;
constexpr size_t UsualHeaderBytes = 512;
constexpr size_t MaxBodyBytes = 1U << 20;
constexpr size_t EndlessHeaderBytes = 8U << 20;

constexpr int HeaderCrowd = 60;
constexpr int EndlessHeaderCrowd = 20;
constexpr int BodyCrowd = 60;
constexpr int DescriptorCrowd = 500;
constexpr int ValuesCrowd = 8;
/// Repeats of an ordinary request that the daemon asked to come back.
constexpr int MaxReturns = 20;

int freePort() {
  boost::asio::io_context Loop;
  boost::asio::ip::tcp::acceptor Acceptor(
      Loop, {boost::asio::ip::address_v4::loopback(), 0});
  return Acceptor.local_endpoint().port();
}

/// A fleet of one host in this process, and the daemon in one of its own.
class HostileEntryFixture {
public:
  explicit HostileEntryFixture(int Descriptors = HostDescriptors)
      : Fleet(1),
        Pool(std::make_shared<HttpClientPool>()), Limits{HostMegabytes << 20,
                                                         Descriptors} {
    this->Address = {"127.0.0.1", freePort()};
    this->WorkFolder = std::filesystem::temp_directory_path() /
                       absl::StrCat("berylramp-hostile-entry-", getpid());
    std::filesystem::create_directories(this->WorkFolder);
    std::string SettingsPath = this->WorkFolder / "settings.json";
    std::ofstream(SettingsPath) << this->settingsText();
    this->Fleet.publishInitialTable();
    this->Process = std::make_unique<ChildProcess>(
        BERYLRAMP_ENTRYD, std::vector<std::string>{"--settings", SettingsPath},
        Descriptors, this->WorkFolder / "log");
    REQUIRE(test::eventually([&] { return this->askChat() == 200; }));
  }

  ~HostileEntryFixture() {
    this->Process.reset();
    std::error_code Ignored;
    std::filesystem::remove_all(this->WorkFolder, Ignored);
  }

  std::string requestHead() const {
    return absl::StrCat("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n",
                        "X-Request-Kind: note\r\nAuthorization: Bearer ",
                        test::CallerKey, "\r\n");
  }

  void runCrowds(const Crowds &All) {
    this->PeakDescriptors =
        berylramp::runCrowds(this->Loop, All, *this->Process);
  }

  void checkWithstood() {
    checkLimits(*this->Process, this->Limits, this->PeakDescriptors);
    int Status = 503;
    for (int Try = 0; Try < MaxReturns && Status == 503; ++Try) {
      if (Try > 0)
        absl::SleepFor(absl::Seconds(1));
      Status = this->askChat();
    }
    CHECK(Status == 200);
    checkLimits(*this->Process, this->Limits, this->PeakDescriptors);
  }

  /// The status of the answer to an ordinary request; 0 if there is none.
  int askChat() {
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = "/v1/chat/completions";
    Call.Headers = {{"Authorization", std::string("Bearer ") + test::CallerKey},
                    {"X-Request-Kind", "note"}};
    Json::Value Body;
    Body["messages"][0]["role"] = "user";
    Body["messages"][0]["content"] = absl::StrCat("ask ", this->Asked++);
    Call.Body = writeJson(Body);
    Call.FreshConnection = true;
    return this->Pool->call(this->Address, Call).Status;
  }

  boost::asio::io_context Loop;
  Endpoint Address;

private:
  std::string settingsText() {
    EntrySettings Settings = this->Fleet.settingsFor(1);
    Settings.Listen = this->Address;
    Settings.MaxBodyBytes = MaxBodyBytes;
    Settings.MaxConnections = MaxConnections;
    Settings.MemoryBytes = HostMegabytes << 20;
    Json::Value Document = *parseJson(printEntrySettings(Settings));
    Document["workspace_keys"][0]["key"] = test::CallerKey;
    Document["operator_keys"][0] = test::OperatorKey;
    Document["admin_keys"][0] = test::AdminKey;
    Document["session_keys"][0] = "test-session-key";
    Document["peer_keys"][0] = "test-peer-key";
    return writeJson(Document);
  }

  test::TestFleet Fleet;
  std::shared_ptr<HttpClientPool> Pool;
  std::filesystem::path WorkFolder;
  std::unique_ptr<ChildProcess> Process;
  int Asked = 0;
  HostLimits Limits;
  int PeakDescriptors = 0;
};

} // namespace

TEST_CASE("Hostile header lines to the entry daemon") {
  HostileEntryFixture Host;
  std::string Head = absl::StrCat(Host.requestHead(), "Content-Length: 10\r\n");
  size_t Rest = MaxHeaderBytes - UsualHeaderBytes;
  Crowds All;
  for (const std::string &Lines :
       {shortHeaderLines(Rest), oddHeaderLines(Rest)})
    for (Delivery How : AllDeliveries)
      All.push_back(std::make_unique<Crowd>(
          Host.Loop, Host.Address, absl::StrCat(Head, Lines, "\r\n0123456789"),
          HeaderCrowd, How));
  All.push_back(std::make_unique<Crowd>(
      Host.Loop, Host.Address,
      absl::StrCat(Head, shortHeaderLines(EndlessHeaderBytes)),
      EndlessHeaderCrowd, Delivery::Whole));
  Host.runCrowds(All);
  Host.checkWithstood();
}

TEST_CASE("Hostile bodies to the entry daemon") {
  HostileEntryFixture Host;
  std::string Announced =
      absl::StrCat(Host.requestHead(), "Content-Length: ", MaxBodyBytes,
                   "\r\n\r\n", std::string(MaxBodyBytes, 'x'));
  std::string Chunked =
      absl::StrCat(Host.requestHead(), "Transfer-Encoding: chunked\r\n\r\n",
                   chunkedBody(MaxBodyBytes, 1000));
  Crowds All;
  for (const std::string &Payload : {Announced, Chunked})
    for (Delivery How : AllDeliveries)
      All.push_back(std::make_unique<Crowd>(Host.Loop, Host.Address, Payload,
                                            BodyCrowd, How));
  Host.runCrowds(All);
  Host.checkWithstood();
}

TEST_CASE("Hostile connections without an end to the entry daemon") {
  HostileEntryFixture Host(FewDescriptors);
  Crowds All;
  All.push_back(std::make_unique<Crowd>(Host.Loop, Host.Address,
                                        Host.requestHead(), DescriptorCrowd,
                                        Delivery::ShortOfEnd));
  Host.runCrowds(All);
  Host.checkWithstood();
}

TEST_CASE("Hostile JSON of many small values to the entry daemon") {
  HostileEntryFixture Host;
  std::string Body = "{\"messages\":[0";
  while (Body.size() + 4 < MaxBodyBytes)
    Body += ",0";
  Body += "]}";
  Crowds All;
  All.push_back(std::make_unique<Crowd>(
      Host.Loop, Host.Address,
      absl::StrCat(Host.requestHead(), "Content-Length: ", Body.size(),
                   "\r\n\r\n", Body),
      ValuesCrowd, Delivery::Whole));
  Host.runCrowds(All);
  Host.checkWithstood();
}

TEST_CASE("Hostile paths and ranges to the entry daemon") {
  HostileEntryFixture Host;
  constexpr size_t LongBytes = 8000;
  std::string Path(LongBytes, 'p');
  std::string Ranges = "bytes=0-1";
  while (Ranges.size() + 4 < LongBytes)
    Ranges += ",0-1";
  Crowds All;
  All.push_back(std::make_unique<Crowd>(
      Host.Loop, Host.Address,
      absl::StrCat("GET /", Path, " HTTP/1.1\r\nHost: x\r\nRange: ", Ranges,
                   "\r\n\r\n"),
      HeaderCrowd, Delivery::Whole));
  Host.runCrowds(All);
  Host.checkWithstood();
}
