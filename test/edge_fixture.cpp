//===- edge_fixture.cpp - A daemon with a stand-in platform ---------------===//

#include "edge_fixture.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace berylramp {

namespace {
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;
} // namespace

RawCaller::RawCaller(boost::asio::io_context &Loop, const Endpoint &To)
    : Shared(std::make_shared<State>(Loop)) {
  ErrorCode Error;
  this->Shared->Socket.connect(
      tcp::endpoint(boost::asio::ip::make_address_v4(To.Ip),
                    static_cast<uint16_t>(To.Port)),
      Error);
  if (Error) {
    this->Shared->Ended = true;
    return;
  }
  this->Shared->read();
}

void RawCaller::State::read() {
  auto Self = this->shared_from_this();
  this->Socket.async_read_some(
      boost::asio::buffer(this->Buffer),
      [Self](const ErrorCode &Error, size_t Count) {
        Self->Received.append(Self->Buffer.data(), Count);
        if (Error) {
          Self->Ended = true;
          Self->Reset = Error != boost::asio::error::eof;
          return;
        }
        Self->read();
      });
}

void RawCaller::send(const std::string &Bytes) {
  ErrorCode Ignored;
  boost::asio::write(this->Shared->Socket, boost::asio::buffer(Bytes), Ignored);
}

void RawCaller::close() {
  ErrorCode Ignored;
  this->Shared->Socket.close(Ignored);
}

int RawCaller::status() const {
  const std::string &Text = this->Shared->Received;
  return Text.size() < 12 ? 0 : std::stoi(Text.substr(9, 3));
}

bool RawCaller::answered() const {
  const std::string &Text = this->Shared->Received;
  size_t End = Text.find("\r\n\r\n");
  if (End == std::string::npos)
    return false;
  if (absl::StrContains(Text, "Transfer-Encoding: chunked"))
    return absl::EndsWith(Text, "\r\n0\r\n\r\n");
  size_t At = Text.find("Content-Length: ");
  if (At == std::string::npos)
    return this->Shared->Ended;
  return Text.size() >= End + 4 + std::stoul(Text.substr(At + 16));
}

EdgeFixture::EdgeFixture() : Timer(Loop) {
  this->Store = std::make_unique<standin::Store>(this->Loop, this->Timer);
  REQUIRE(this->Store->listen().ok());
  for (int Index = 0; Index < 2; ++Index) {
    this->Engines.push_back(std::make_shared<standin::Replica>(
        this->Loop, this->Timer, absl::StrCat("engine-", Index), "engine",
        "zone-a"));
    this->Plains.push_back(std::make_shared<standin::Replica>(
        this->Loop, this->Timer, absl::StrCat("plain-", Index), "plain",
        "zone-a"));
    REQUIRE(this->Engines.back()->listen().ok());
    REQUIRE(this->Plains.back()->listen().ok());
  }
  std::vector<int> Ports;
  for (int Index = 0; Index < 5; ++Index)
    Ports.push_back(standin::findFreePort());
  absl::StatusOr<HostFacts> Read =
      platform::decodeSettings(standin::sampleSettings(
          "host-1", "zone-a", "127.0.0.1", Ports, this->Store->address(), ""));
  REQUIRE(Read.ok());
  this->Facts = *Read;
}

EdgeFixture::~EdgeFixture() {
  this->Daemon.reset();
  this->Store.reset();
  this->Engines.clear();
  this->Plains.clear();
}

void EdgeFixture::putTable(int64_t Version,
                           const std::vector<std::string> &Keys) {
  this->Store->put("keyed.op", "config", standin::sampleTable(Version, Keys));
}

void EdgeFixture::putReplicas(const std::string &State) {
  for (const auto &Group : {this->Engines, this->Plains})
    for (const auto &Each : Group)
      this->Store->put("keyed.servers", Each->id(), Each->entry(State, "v1"));
}

void EdgeFixture::start(EdgeSettings Settings) {
  EdgePlatform Parts;
  Parts.Store = platform::createStorePort(this->Loop, this->Timer,
                                          this->Facts.Store, Settings);
  Parts.Codec = platform::codec();
  this->Daemon = std::make_unique<EdgeDaemon>(
      this->Loop, this->Timer, this->Facts, std::move(Parts), Settings);
  REQUIRE(this->Daemon->start().ok());
}

bool EdgeFixture::until(const std::function<bool()> &Holds,
                        absl::Duration Most) {
  Instant End = this->Timer.now() + Most;
  while (!Holds()) {
    if (End < this->Timer.now())
      return false;
    this->Loop.restart();
    this->Loop.run_for(std::chrono::milliseconds(2));
  }
  return true;
}

void EdgeFixture::runFor(absl::Duration Time) {
  Instant End = this->Timer.now() + Time;
  this->until([&] { return End < this->Timer.now(); });
}

std::string EdgeFixture::request(const std::string &Path, const std::string &Id,
                                 const std::string &Extra,
                                 const std::string &Body,
                                 const std::string &Key) {
  return absl::StrCat(
      "POST ", Path, " HTTP/1.1\r\nHost: api.test\r\n",
      "Berylramp-Attempt-Id: ", Id, "\r\nBerylramp-Deadline-Ms: 5000\r\n",
      "Berylramp-Model: *\r\n", "Authorization: Token ", Key, "\r\n", Extra,
      "Content-Length: ", Body.size(), "\r\n\r\n", Body);
}

RawCaller EdgeFixture::call(const std::string &Path, const std::string &Id,
                            const std::string &Extra, const std::string &Body,
                            const std::string &Key) {
  RawCaller Caller(this->Loop, this->callers());
  Caller.send(request(Path, Id, Extra, Body, Key));
  REQUIRE(this->until([&] { return Caller.answered() || Caller.ended(); }));
  return Caller;
}

int EdgeFixture::runsOf(const std::string &Id) const {
  int Count = 0;
  for (const auto &Group : {this->Engines, this->Plains})
    for (const auto &Each : Group)
      for (const standin::ExecutedRequest &Made : Each->ExecutedRequests)
        Count += Made.RequestId == Id ? 1 : 0;
  return Count;
}

} // namespace berylramp
