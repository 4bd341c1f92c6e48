//===- edge_flood_test.cpp - Answers without end and slow callers ---------===//

#include "edge_fixture.h"
#include "http_parse.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace berylramp;
using standin::ReplicaBehavior;

namespace {

/// The memory of the smallest host.
constexpr int64_t HostMemory = 88LL << 20;

/// A host whose first engine and first plain replica misbehave.
struct FloodFixture : EdgeFixture {
  FloodFixture() {
    this->Config.MemoryBytes = HostMemory;
    // Every second request needs a second attempt.
    this->Config.Bounds.RetrySlack = 400;
    this->putTable(1, {"key-1"});
    this->putReplicas();
    this->start();
    REQUIRE(this->runUntil([&] {
      return this->call("/safe/a", absl::StrCat("probe", ++this->ProbeCount))
                 .status() == 200;
    }));
  }

  void misbehave(ReplicaBehavior Behavior) {
    this->Engines[0]->Behavior = Behavior;
    this->PlainReplicas[0]->Behavior = Behavior;
  }

  std::vector<RawCaller> sendAll(const std::string &Path, int Count) {
    std::vector<RawCaller> Callers;
    for (int Index = 0; Index < Count; ++Index) {
      Callers.emplace_back(this->Loop, this->callerEndpoint());
      Callers.back().send(
          makeRequest(Path, absl::StrCat(Path, Index), "", "x", "key-1"));
    }
    return Callers;
  }

  int ProbeCount = 0;
};

} // namespace

TEST_CASE_METHOD(FloodFixture,
                 "Answers without end are cut and asked for elsewhere") {
  auto Behavior =
      GENERATE(ReplicaBehavior::EndlessHead, ReplicaBehavior::EndlessBody);
  this->misbehave(Behavior);
  int64_t Before = residentBytes();
  std::vector<RawCaller> Callers = this->sendAll("/safe/a", 20);
  int64_t Peak = 0;
  for (RawCaller &Caller : Callers) {
    CHECK(this->runUntil([&] {
      Peak = std::max(Peak, residentBytes());
      return Caller.hasCompleteAnswer() || Caller.isClosed();
    }));
    CHECK(Caller.status() == 200);
  }
  CHECK(Peak - Before < HostMemory / 2);
}

// Heads that are incomplete were not counted, 80 KB and more for each request.
TEST_CASE_METHOD(FloodFixture,
                 "Many heads without end stay within the memory of the host") {
  constexpr int CallerCount = 800;
  constexpr size_t HeadBytes = 60U << 10;
  for (const auto &Instance : this->PlainReplicas) {
    Instance->Behavior = ReplicaBehavior::FollowsScript;
    Instance->Script.Bytes =
        absl::StrCat("HTTP/1.1 200 OK\r\nX: ", std::string(HeadBytes, 'y'));
    Instance->Slots = CallerCount;
  }
  this->putReplicas();
  this->runFor(absl::Seconds(1));
  int64_t Before = residentBytes();
  std::vector<RawCaller> Callers = this->sendAll("/once/a", CallerCount);
  int64_t Peak = 0;
  for (const RawCaller &Caller : Callers) {
    CHECK(this->runUntil([&] {
      Peak = std::max(Peak, residentBytes());
      return Caller.hasCompleteAnswer() || Caller.isClosed();
    }));
    CHECK(Caller.status() >= 500);
  }
  CAPTURE(Peak >> 20, Before >> 20);
  CHECK(Peak - Before < HostMemory / 2);
}

TEST_CASE_METHOD(FloodFixture,
                 "An event without end does not reach the caller") {
  this->misbehave(ReplicaBehavior::EndlessEvent);
  std::vector<RawCaller> Callers = this->sendAll("/stream/a", 20);
  for (RawCaller &Caller : Callers) {
    CHECK(this->runUntil(
        [&] { return Caller.hasCompleteAnswer() || Caller.isClosed(); }));
    CHECK(absl::EndsWith(Caller.received(), "0\r\n\r\n"));
    CHECK_FALSE(absl::StrContains(Caller.received(), "xxx"));
  }
}

TEST_CASE_METHOD(FloodFixture,
                 "Sound streams go on beside answers without end") {
  RawCaller Sound(this->Loop, this->callerEndpoint());
  Sound.send(makeRequest("/stream/long", "sound", "", "x", "key-1"));
  REQUIRE(this->runUntil(
      [&] { return absl::StrContains(Sound.received(), "id: 2\n"); }));
  this->misbehave(ReplicaBehavior::EndlessBody);
  std::vector<RawCaller> Callers = this->sendAll("/safe/a", 20);
  CHECK(this->runUntil([&] { return Sound.hasCompleteAnswer(); }));
  CHECK(absl::StrContains(Sound.received(),
                          absl::StrCat("id: ", standin::LongStreamEventCount)));
}

TEST_CASE_METHOD(FloodFixture,
                 "A stream of single bytes ends at its deadline") {
  for (const auto &Engine : this->Engines)
    Engine->Behavior = ReplicaBehavior::Trickles;
  RawCaller Caller = this->call("/stream/a", "trickle");
  CHECK(Caller.status() == 504);
}

TEST_CASE_METHOD(EdgeFixture,
                 "A slow stream is not cut for want of another try") {
  this->putTable(1, {"key-1"});
  this->putReplicas();
  EdgeSettings Settings;
  Settings.StreamIdleTimeout = absl::Milliseconds(100);
  this->start(Settings);
  for (const auto &Engine : this->Engines) {
    Engine->EventInterval = absl::Milliseconds(150);
    Engine->EventCount = 12;
  }
  int Calls = 0;
  REQUIRE(this->runUntil([&] {
    return this->call("/safe/a", absl::StrCat("probe", ++Calls)).status() ==
           200;
  }));
  RawCaller Caller = this->call("/stream/a", "slow");
  CHECK(Caller.status() == 200);
  CHECK(absl::EndsWith(Caller.received(), "0\r\n\r\n"));
}

TEST_CASE("A parser does not keep a chunk header or a trailer without end") {
  std::string Head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char *Start : {"5;extension=", "0\r\nTrailer: "}) {
    CAPTURE(Start);
    AnswerParser Parser(false);
    std::string Buffer = Head + Start;
    ParseFault Fault = Parser.feed(Buffer);
    for (int Step = 0; Step < 100 && Fault == ParseFault::None; ++Step) {
      Buffer += std::string(4096, 'x');
      Fault = Parser.feed(Buffer);
    }
    CHECK(Fault != ParseFault::None);
  }
}

TEST_CASE("A caller that does not read releases its stream") {
  boost::asio::io_context Loop;
  LoopTimer Timer(Loop);
  bool HasLeft = false;
  ResponderPtr Stream;
  HttpListener Listener(
      Loop, Timer, [] { return CallerLimits(); },
      [&](const CallerRequest &, const ResponderPtr &Responder) {
        Stream = Responder;
        Responder->onCallerDisconnect([&] { HasLeft = true; });
        HttpHead Head;
        Head.Status = 200;
        Responder->beginStream(Head);
      });
  REQUIRE(Listener.listen({"127.0.0.1", 0}).ok());
  boost::asio::ip::tcp::socket Socket(Loop);
  Socket.connect({boost::asio::ip::address_v4::loopback(),
                  static_cast<uint16_t>(Listener.port())});
  boost::asio::write(Socket, boost::asio::buffer(std::string(
                                 "GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
  while (!Stream)
    Loop.run_one();
  // The kernel's buffers take some megabytes before the queue grows.
  constexpr int MaxChunks = 1024;
  int Sent = 0;
  for (; Sent < MaxChunks && !HasLeft; ++Sent)
    Stream->sendChunk(std::string(64U << 10, 'x'));
  CHECK(HasLeft);
  CHECK(Listener.connections() == 0);
}

TEST_CASE("A connection is busy until its caller has the whole answer") {
  boost::asio::io_context Loop;
  LoopTimer Timer(Loop);
  constexpr size_t AnswerBytes = 32U << 20;
  HttpListener Listener(
      Loop, Timer, [] { return CallerLimits(); },
      [&](const CallerRequest &, const ResponderPtr &Responder) {
        HttpHead Head;
        Head.Status = 200;
        Responder->sendWhole(Head, std::string(AnswerBytes, 'x'), false);
      });
  REQUIRE(Listener.listen({"127.0.0.1", 0}).ok());
  RawCaller Caller(Loop, {"127.0.0.1", Listener.port()});
  auto RunUntil = [&](const std::function<bool()> &Condition) {
    Instant Deadline = Timer.now() + absl::Seconds(20);
    while (!Condition() && Timer.now() < Deadline) {
      Loop.restart();
      Loop.run_one_for(std::chrono::milliseconds(2));
    }
    return Condition();
  };
  CHECK(Listener.busyConnections() == 0);
  Caller.send("GET / HTTP/1.1\r\nHo");
  CHECK(RunUntil([&] { return Listener.busyConnections() == 1; }));
  Caller.send("st: x\r\n\r\n");
  CHECK(RunUntil([&] { return Caller.received().size() > 1000; }));
  CHECK(Listener.busyConnections() == 1);
  CHECK(RunUntil([&] { return Caller.received().size() > AnswerBytes; }));
  CHECK(RunUntil([&] { return Listener.busyConnections() == 0; }));
}

TEST_CASE("An exception of a handler does not end the loop") {
  boost::asio::io_context Loop;
  int Runs = 0;
  boost::asio::post(Loop, [] { throw std::runtime_error("unexpected"); });
  boost::asio::post(Loop, [&] { Runs += 1; });
  runLoop(Loop);
  CHECK(Runs == 1);
}
