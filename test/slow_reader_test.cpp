//===- slow_reader_test.cpp - Callers and replicas that read slowly -------===//

#include "edge_fixture.h"
#include "held_memory.h"
#include "upstream_connection.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace berylramp;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr int64_t SmallHostMemory = 120LL << 20;
constexpr size_t EventBytes = 16U << 10;

/// A caller that reads nothing before it is told to.
class SlowCaller {
public:
  SlowCaller(boost::asio::io_context &Loop, const Endpoint &Target)
      : Socket(Loop) {
    this->Socket.open(tcp::v4());
    this->Socket.set_option(
        boost::asio::socket_base::receive_buffer_size(4096));
    this->Socket.connect({boost::asio::ip::make_address_v4(Target.Ip),
                          static_cast<uint16_t>(Target.Port)});
  }

  void send(const std::string &Bytes) {
    boost::asio::write(this->Socket, boost::asio::buffer(Bytes));
  }

  /// Reads what is available; false once the connection has ended.
  bool read() {
    std::string Bytes(EventBytes, '\0');
    ErrorCode Error;
    this->Socket.non_blocking(true);
    size_t Count = this->Socket.read_some(boost::asio::buffer(Bytes), Error);
    this->Received.append(Bytes, 0, Count);
    return !Error || Error == boost::asio::error::would_block;
  }

  tcp::socket Socket;
  std::string Received;
};

std::string eventOf(int Id) {
  return absl::StrCat("id: ", Id, "\ndata: ", std::string(EventBytes, 'x'),
                      "\n\n");
}

/// The ids of the events in \p Body, a part of an answer.
std::vector<int> eventIds(const std::string &Body) {
  std::vector<int> Ids;
  for (absl::string_view Line : absl::StrSplit(Body, '\n')) {
    int Id = 0;
    if (absl::ConsumePrefix(&Line, "id: ") && absl::SimpleAtoi(Line, &Id))
      Ids.push_back(Id);
  }
  return Ids;
}

std::vector<int> numbersTo(int From, int To) {
  std::vector<int> Numbers;
  for (int Number = From; Number <= To; ++Number)
    Numbers.push_back(Number);
  return Numbers;
}

/// A listener whose handler keeps the responders, on a host of 120 MB.
struct HeldFixture {
  HeldFixture()
      : Timer(Loop), Memory(std::make_shared<HeldMemory>(
                         Loop, Clock, Counters, memoryBounds(SmallHostMemory))),
        Listener(
            Loop, Timer, [] { return CallerLimits(); },
            [this](CallerRequest Request, const ResponderPtr &Responder) {
              this->Requests.push_back(std::move(Request));
              this->Responders.push_back(Responder);
            },
            ServingBounds{Memory, nullptr}) {
    REQUIRE(this->Listener.listen({"127.0.0.1", 0}).ok());
  }

  Endpoint address() const { return {"127.0.0.1", this->Listener.port()}; }

  bool runUntil(const std::function<bool()> &Condition) {
    Instant Deadline = this->Timer.now() + absl::Seconds(20);
    while (!Condition() && this->Timer.now() < Deadline) {
      this->Loop.restart();
      this->Loop.run_for(std::chrono::milliseconds(1));
    }
    return Condition();
  }

  const MemoryAccount &account() const { return this->Memory->account(); }

  boost::asio::io_context Loop;
  LoopTimer Timer;
  /// The clock by which readers are slow.
  ManualTimer Clock;
  Metrics Counters;
  HeldMemoryPtr Memory;
  std::vector<CallerRequest> Requests;
  std::vector<ResponderPtr> Responders;
  HttpListener Listener;
};

HttpHead okHead() {
  HttpHead Head;
  Head.Status = 200;
  return Head;
}

constexpr const char *GetRequest = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

double gaugeOf(EdgeDaemon &Daemon, const std::string &Name) {
  for (absl::string_view Line : absl::StrSplit(Daemon.metricsText(), '\n')) {
    double Value = 0;
    if (absl::ConsumePrefix(&Line, absl::StrCat("berylramp_", Name, " ")) &&
        absl::SimpleAtod(Line, &Value))
      return Value;
  }
  return -1;
}

} // namespace

TEST_CASE_METHOD(HeldFixture,
                 "200 callers that do not read cost a normal reader nothing") {
  std::vector<std::unique_ptr<SlowCaller>> Slow;
  for (int Index = 0; Index < 200; ++Index) {
    Slow.push_back(std::make_unique<SlowCaller>(this->Loop, this->address()));
    Slow.back()->send(GetRequest);
  }
  REQUIRE(this->runUntil([&] { return this->Responders.size() == 200; }));
  RawCaller Normal(this->Loop, this->address());
  Normal.send(GetRequest);
  REQUIRE(this->runUntil([&] { return this->Responders.size() == 201; }));
  for (const ResponderPtr &Responder : this->Responders)
    Responder->beginStream(okHead());
  constexpr int Rounds = 60;
  for (int Round = 1; Round <= Rounds; ++Round) {
    for (const ResponderPtr &Responder : this->Responders)
      Responder->sendChunk(eventOf(Round));
    // The next event comes once the normal reader has this one.
    REQUIRE(this->runUntil([&] {
      return absl::StrContains(Normal.received(),
                               absl::StrCat("id: ", Round, "\n"));
    }));
    this->Clock.advance(absl::Milliseconds(100));
  }
  this->Responders.back()->endStream();
  CHECK(this->runUntil([&] { return Normal.hasCompleteAnswer(); }));
  CHECK(eventIds(Normal.received()) == numbersTo(1, Rounds));
  CHECK(this->account().peak() <= this->account().bounds().Total);
  CHECK(this->Counters.value(Counter::SlowReadersEnded) > 0);
  // Closed connections keep nothing.
  for (auto &Caller : Slow)
    Caller->Socket.close();
  CHECK(this->runUntil([&] { return this->account().total() == 0; }));
}

TEST_CASE_METHOD(HeldFixture,
                 "A stream that ends for slowness ends between two events") {
  SlowCaller Slow(this->Loop, this->address());
  Slow.send(GetRequest);
  REQUIRE(this->runUntil([&] { return this->Responders.size() == 1; }));
  this->Responders[0]->beginStream(okHead());
  bool HasLeft = false;
  this->Responders[0]->onCallerDisconnect([&] { HasLeft = true; });
  for (int Id = 1; Id <= 10000 && !HasLeft; ++Id)
    this->Responders[0]->sendChunk(eventOf(Id));
  CHECK(HasLeft);
  CHECK(this->Listener.connections() == 0);
  CHECK(this->runUntil([&] { return !Slow.read(); }));
  CHECK_FALSE(absl::EndsWith(Slow.Received, "0\r\n\r\n"));
  std::vector<int> Ids = eventIds(Slow.Received);
  REQUIRE_FALSE(Ids.empty());
  CHECK(Ids == numbersTo(1, Ids.back()));
  CHECK(absl::EndsWith(Slow.Received, "x\n\n\r\n"));
  CHECK(this->account().total() == 0);
}

TEST_CASE_METHOD(HeldFixture,
                 "A whole answer to a slow caller never looks complete") {
  SlowCaller Slow(this->Loop, this->address());
  Slow.send(GetRequest);
  REQUIRE(this->runUntil([&] { return this->Responders.size() == 1; }));
  this->Responders[0]->sendWhole(okHead(), std::string(3U << 20, 'x'), false);
  REQUIRE(this->account().of(HeldKind::CallerOutput) > 0);
  HeldBytes Others(this->Memory, HeldKind::Answer);
  this->Clock.advance(absl::Seconds(1));
  Others.set(this->account().bounds().Relief);
  CHECK(this->runUntil([&] { return !Slow.read(); }));
  CHECK(Slow.Received.size() < (3U << 20));
  CHECK(this->account().of(HeldKind::CallerOutput) == 0);
}

TEST_CASE_METHOD(HeldFixture,
                 "Pipelined requests wait until their answers are read") {
  constexpr size_t AnswerBytes = 256U << 10;
  constexpr size_t Count = 60;
  SlowCaller Slow(this->Loop, this->address());
  std::string Pipeline;
  for (size_t Index = 0; Index < Count; ++Index)
    Pipeline += GetRequest;
  Slow.send(Pipeline);
  auto AnswerAll = [&] {
    for (const ResponderPtr &Responder : std::exchange(this->Responders, {}))
      Responder->sendWhole(okHead(), std::string(AnswerBytes, 'x'), false);
  };
  for (int Round = 0; Round < 500; ++Round) {
    this->Loop.restart();
    this->Loop.run_for(std::chrono::milliseconds(1));
    AnswerAll();
  }
  CHECK(this->Requests.size() < Count / 2);
  CHECK(this->account().of(HeldKind::CallerOutput) < 3 * int64_t{AnswerBytes});
  // The caller that reads after all gets all answers.
  CHECK(this->runUntil([&] {
    AnswerAll();
    Slow.read();
    return Slow.Received.size() >= Count * AnswerBytes;
  }));
  CHECK(this->Requests.size() == Count);
}

TEST_CASE_METHOD(HeldFixture,
                 "Pipelined requests are not received faster than answered") {
  SlowCaller Fast(this->Loop, this->address());
  std::string Pipeline;
  while (Pipeline.size() < (200U << 10))
    Pipeline += GetRequest;
  Fast.Socket.non_blocking(true);
  int64_t Peak = 0;
  size_t Sent = 0;
  for (int Round = 0; Round < 300; ++Round) {
    ErrorCode Ignored;
    Sent += Fast.Socket.write_some(
        boost::asio::buffer(Pipeline.data() + Sent, Pipeline.size() - Sent),
        Ignored);
    this->Loop.restart();
    this->Loop.poll_one();
    for (const ResponderPtr &Responder : std::exchange(this->Responders, {}))
      Responder->sendWhole(okHead(), "", false);
    Peak = std::max(Peak, this->account().of(HeldKind::CallerInput));
  }
  CHECK(this->Requests.size() > 50);
  CHECK(Peak > 0);
  CHECK(Peak < 100 << 10);
}

TEST_CASE_METHOD(HeldFixture,
                 "A body is refused at once when memory is short") {
  HeldBytes Others(this->Memory, HeldKind::Answer);
  Others.set(this->account().bounds().Total - (4 << 20));
  RawCaller Caller(this->Loop, this->address());
  constexpr size_t BodyBytes = 4U << 20;
  Caller.send(absl::StrCat("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: ",
                           BodyBytes, "\r\n\r\nbegin"));
  REQUIRE(this->runUntil([&] { return this->Requests.size() == 1; }));
  CHECK(this->Requests[0].BodyRefused);
  CHECK(this->Requests[0].Body.empty());
  HttpHead Head;
  Head.Status = 503;
  this->Responders[0]->sendWhole(Head, "full", false);
  // The caller reads the refusal although it goes on sending.
  for (int Step = 0; Step < 20; ++Step) {
    Caller.send(std::string(16U << 10, 'x'));
    this->Loop.restart();
    this->Loop.run_for(std::chrono::milliseconds(1));
  }
  CHECK(this->runUntil([&] { return Caller.hasCompleteAnswer(); }));
  CHECK_FALSE(Caller.wasReset());
  CHECK(this->account().of(HeldKind::CallerInput) == 0);
  CHECK(this->Requests.size() == 1);
}

TEST_CASE_METHOD(HeldFixture, "A stalled upload is refused when others need "
                              "its memory") {
  RawCaller Caller(this->Loop, this->address());
  Caller.send(absl::StrCat("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: ",
                           4U << 20, "\r\n\r\n", std::string(40000, 'x')));
  REQUIRE(this->runUntil(
      [&] { return this->account().of(HeldKind::CallerInput) >= 40000; }));
  // The memory of a string counts, which is at most twice its bytes.
  CHECK(this->account().of(HeldKind::CallerInput) <= 2 * 40000);
  this->Clock.advance(absl::Seconds(1));
  HeldBytes Others(this->Memory, HeldKind::Answer);
  Others.set(this->account().bounds().Relief);
  REQUIRE(this->runUntil([&] { return this->Requests.size() == 1; }));
  CHECK(this->Requests[0].BodyRefused);
  // Only the header of the refused request is left.
  CHECK(this->account().of(HeldKind::CallerInput) ==
        static_cast<int64_t>(memoryOf(this->Requests[0])));
  CHECK(memoryOf(this->Requests[0]) < 200);
}

TEST_CASE_METHOD(HeldFixture,
                 "Replicas that do not read are given up before memory ends") {
  struct Receiver : AnswerListener {
    void onHead(const HttpHead &) override {}
    void onBody(std::string) override {}
    void onEnd() override {}
    void onFault(ConnectionFault NewFault) override { this->Fault = NewFault; }
    std::optional<ConnectionFault> Fault;
  };
  tcp::acceptor Replica(this->Loop,
                        {boost::asio::ip::address_v4::loopback(), 0});
  std::vector<UpstreamConnectionPtr> Connections;
  std::vector<std::shared_ptr<Receiver>> Receivers;
  for (int Index = 0; Index < 40; ++Index) {
    Receivers.push_back(std::make_shared<Receiver>());
    Connections.push_back(std::make_shared<UpstreamConnection>(
        this->Loop, Endpoint{"127.0.0.1", Replica.local_endpoint().port()}));
    Connections.back()->countBytes(this->Memory, 0, absl::StrCat(Index));
    Connections.back()->start(std::string(2U << 20, 'x'), false,
                              Receivers.back());
    this->runUntil([&] { return Connections.back()->isConnected(); });
    this->Clock.advance(absl::Milliseconds(100));
  }
  CHECK(this->account().peak() <= this->account().bounds().Total);
  CHECK(Receivers.front()->Fault == ConnectionFault::Abandoned);
  CHECK_FALSE(Receivers.back()->Fault);
}

TEST_CASE_METHOD(EdgeFixture,
                 "A stream that ended for slowness resumes without a gap") {
  // The bounds are small, so that few bytes make the caller slow.
  this->Config.MemoryBytes = 8LL << 20;
  this->putTable(1, {"key-1"});
  this->putReplicas();
  constexpr int Events = 400;
  for (const auto &Engine : this->Engines) {
    Engine->EventCount = Events;
    Engine->EventPadding = 6000;
    Engine->EventInterval = absl::Milliseconds(1);
  }
  this->start();
  this->awaitReady(this->Config.Ready);
  SlowCaller Slow(this->Loop, this->callerEndpoint());
  Slow.send(makeRequest("/stream/a", "slow", "", "x", "key-1"));
  REQUIRE(this->runUntil([&] {
    return this->Daemon->metrics().value(Counter::SlowReadersEnded) == 1;
  }));
  REQUIRE(this->runUntil([&] { return !Slow.read(); }));
  CHECK_FALSE(absl::EndsWith(Slow.Received, "0\r\n\r\n"));
  std::vector<int> Ids = eventIds(Slow.Received);
  REQUIRE_FALSE(Ids.empty());
  CHECK(Ids == numbersTo(1, Ids.back()));
  RawCaller Resumed =
      this->call("/stream/a", "resumed",
                 absl::StrCat("Last-Event-Id: ", Ids.back(), "\r\n"));
  CHECK(Resumed.hasCompleteAnswer());
  CHECK(eventIds(Resumed.received()) == numbersTo(Ids.back() + 1, Events));
}

TEST_CASE_METHOD(EdgeFixture,
                 "Large bodies from many callers are served or refused unrun") {
  this->Config.MemoryBytes = 8LL << 20;
  this->putTable(1, {"key-1"});
  this->putReplicas();
  for (const auto &Replica : this->PlainReplicas)
    Replica->ProcessingTime = absl::Milliseconds(200);
  this->start();
  this->awaitReady(this->Config.Ready);
  std::string Body(40000, 'x');
  std::vector<RawCaller> Callers;
  for (int Index = 0; Index < 60; ++Index) {
    Callers.emplace_back(this->Loop, this->callerEndpoint());
    Callers.back().send(
        makeRequest("/once/a", absl::StrCat("body", Index), "", Body, "key-1"));
  }
  int Served = 0;
  int Refused = 0;
  for (size_t Index = 0; Index < Callers.size(); ++Index) {
    CAPTURE(Index);
    REQUIRE(this->runUntil([&] { return Callers[Index].hasCompleteAnswer(); }));
    bool IsServed = Callers[Index].status() == 200;
    (IsServed ? Served : Refused) += 1;
    CHECK(this->runCount(absl::StrCat("body", Index)) == (IsServed ? 1 : 0));
    if (IsServed)
      continue;
    CHECK(Callers[Index].status() == 503);
    CHECK(absl::StrContains(Callers[Index].received(), "Retry-After: "));
  }
  CHECK(Served > 0);
  CHECK(Refused > 0);
  EdgeDaemon &Host = *this->Daemon;
  CHECK(gaugeOf(Host, "held_bytes_peak") <= gaugeOf(Host, "held_bytes_bound"));
  CHECK(gaugeOf(Host, "held_bytes{kind=\"caller_input\"}") == 0);
  CHECK(this->call("/once/a", "after", "", Body).status() == 200);
}
