//===- edge_partition_test.cpp - Hosts cut off from replicas --------------===//

#include "partition_fixture.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

/// Time after the start of a cut, or of its end, from which on all callers are
/// to be served.
constexpr absl::Duration SettleTime = absl::Seconds(1);

Partition anyPartition() {
  return GENERATE(Partition::Silent, Partition::OneWay, Partition::Reset,
                  Partition::RefusesNew);
}

bool hasLine(EdgeDaemon &Daemon, const std::string &Line) {
  return absl::StrContains(Daemon.metricsText(), Line);
}

} // namespace

// Callers of a host without a path to any replica were refused for the whole
// cut.
TEST_CASE_METHOD(
    PartitionFixture,
    "A host that is cut off from all replicas serves its callers") {
  Partition Kind = anyPartition();
  CAPTURE(static_cast<int>(Kind));
  this->sendFor(absl::Milliseconds(500));
  this->cut(0, Kind);
  this->sendFor(SettleTime);
  Instant Settled = this->Timer.now();
  this->sendFor(absl::Seconds(2));
  this->checkAllServed(Settled);
  for (size_t Host = 0; Host < this->Hosts.size(); ++Host)
    CHECK(this->count(Host, Settled, /*Served=*/true) > 30);
}

// Streams that a host's own cut broke convicted prompts on all hosts.
TEST_CASE_METHOD(PartitionFixture,
                 "A cut of one host quarantines no input on any host") {
  for (const auto &Engine : this->Engines) {
    Engine->EventCount = 20;
    Engine->EventInterval = absl::Milliseconds(20);
  }
  for (int Series = 0; Series < 6; ++Series) {
    // The hosts use their own connections again by then.
    this->sendFor(absl::Milliseconds(700), {0, 1});
    for (size_t Host : {0, 1})
      this->cut(Host, Partition::Reset);
    this->sendFor(absl::Milliseconds(300), {0, 1});
    for (size_t Host : {0, 1})
      this->heal(Host);
  }
  this->runFor(SettleTime);
  Instant Settled = this->Timer.now();
  this->sendFor(absl::Seconds(1));
  this->awaitAnswers();
  for (const Sent &Request : this->Requests)
    CHECK_FALSE(
        absl::StrContains(Request.Caller->received(), "input_quarantined"));
  this->checkAllServed(Settled);
}

TEST_CASE_METHOD(PartitionFixture,
                 "Most of the hosts are cut off and all serve their callers") {
  Partition Kind = anyPartition();
  CAPTURE(static_cast<int>(Kind));
  this->sendFor(absl::Milliseconds(300));
  this->cut(0, Kind);
  this->cut(1, Kind);
  this->sendFor(SettleTime);
  Instant Settled = this->Timer.now();
  this->sendFor(absl::Seconds(1));
  this->checkAllServed(Settled);
}

TEST_CASE_METHOD(PartitionFixture,
                 "A host that is cut off from one service serves its callers") {
  std::string Service = GENERATE("engine", "plain");
  Partition Kind = GENERATE(Partition::Silent, Partition::Reset);
  CAPTURE(Service, static_cast<int>(Kind));
  this->sendFor(absl::Milliseconds(300));
  this->cut(0, Kind, Service);
  this->sendFor(SettleTime);
  Instant Settled = this->Timer.now();
  this->sendFor(absl::Seconds(1));
  this->awaitAnswers();
  CHECK(this->count(0, Settled, /*Served=*/false) == 0);
}

TEST_CASE_METHOD(PartitionFixture,
                 "A host uses its own connections again after a cut") {
  this->sendFor(absl::Milliseconds(300));
  this->cut(0, Partition::Silent);
  this->sendFor(SettleTime);
  CHECK(hasLine(*this->Hosts[0].Daemon, "berylramp_paths_lost 1"));
  this->heal(0);
  this->runFor(SettleTime);
  CHECK(hasLine(*this->Hosts[0].Daemon, "berylramp_paths_lost 0"));
  // Idle tunnels are closed.
  CHECK(this->runUntil([&] {
    return hasLine(*this->Hosts[1].Daemon, "berylramp_tunnels_open 0") &&
           hasLine(*this->Hosts[2].Daemon, "berylramp_tunnels_open 0");
  }));
  Instant Healed = this->Timer.now();
  this->sendFor(absl::Milliseconds(500));
  CHECK(hasLine(*this->Hosts[1].Daemon, "berylramp_tunnels_open 0"));
  CHECK(hasLine(*this->Hosts[2].Daemon, "berylramp_tunnels_open 0"));
  this->awaitAnswers();
  CHECK(this->count(0, Healed, /*Served=*/false) == 0);
}

// Hosts that ask each other for tunnels must neither loop nor wait.
TEST_CASE_METHOD(PartitionFixture,
                 "Hosts that are all cut off serve within a second after it") {
  Partition Kind = anyPartition();
  CAPTURE(static_cast<int>(Kind));
  this->sendFor(absl::Milliseconds(300));
  for (size_t Host = 0; Host < this->Hosts.size(); ++Host)
    this->cut(Host, Kind);
  this->sendFor(absl::Milliseconds(1500));
  for (size_t Host = 0; Host < this->Hosts.size(); ++Host)
    this->heal(Host);
  this->runFor(SettleTime);
  Instant Settled = this->Timer.now();
  this->sendFor(absl::Seconds(1));
  this->checkAllServed(Settled);
}

TEST_CASE_METHOD(PartitionFixture,
                 "Series of cuts and a restart run no request twice") {
  for (Partition Kind : {Partition::Reset, Partition::Silent,
                         Partition::RefusesNew, Partition::OneWay}) {
    this->sendFor(absl::Milliseconds(300));
    this->cut(0, Kind);
    this->sendFor(absl::Milliseconds(500));
    this->startHost(1);
    this->cut(2, Kind);
    this->sendFor(absl::Milliseconds(500), {0, 2});
    this->heal(0);
    this->heal(2);
  }
  this->awaitAnswers();
  for (const auto &Plain : this->PlainReplicas)
    for (const standin::ExecutedRequest &Run : Plain->ExecutedRequests)
      if (absl::StrContains(Run.Path, "/once/"))
        CHECK(this->runCount(Run.RequestId) == 1);
}

TEST_CASE_METHOD(PartitionFixture,
                 "A stream goes on when the host of its tunnel ends") {
  for (const auto &Engine : this->Engines) {
    Engine->EventCount = 60;
    Engine->EventInterval = absl::Milliseconds(20);
  }
  this->cut(0, Partition::Reset);
  this->sendFor(absl::Milliseconds(900), {0});
  Instant Settled = this->Timer.now();
  this->sendFor(absl::Milliseconds(300), {0});
  this->endHost(1);
  this->awaitAnswers();
  int Unserved = 0;
  for (const Sent &Request : this->Requests)
    if (!(Request.At < Settled) && !Request.isServed() &&
        absl::StrContains(Request.Caller->received(), "event-stream")) {
      UNSCOPED_INFO(Request.Caller->received());
      Unserved += 1;
    }
  CHECK(Unserved == 0);
}

// Callers took the first events of a stream for the whole one (review/1).
TEST_CASE_METHOD(PartitionFixture, "A stream without a length is not complete "
                                   "when the host of its tunnel ends") {
  constexpr int EventCount = 60;
  for (const auto &Engine : this->Engines) {
    Engine->Behavior = standin::ReplicaBehavior::Unframed;
    Engine->EventCount = EventCount;
    Engine->EventInterval = absl::Milliseconds(20);
  }
  this->cut(0, Partition::Reset);
  this->sendFor(absl::Milliseconds(1200), {0});
  this->endHost(1);
  this->awaitAnswers();
  for (const Sent &Request : this->Requests)
    if (absl::StrContains(Request.Caller->received(), "event-stream") &&
        Request.isServed()) {
      INFO(Request.Caller->received());
      CHECK(absl::StrContains(Request.Caller->received(),
                              absl::StrCat("id: ", EventCount, "\n")));
    }
}

TEST_CASE_METHOD(PartitionFixture,
                 "A tunnel server opens no connection to unknown addresses") {
  RawCaller Stranger(
      this->Loop, {this->Hosts[1].Config.Ip, this->Hosts[1].Config.GossipPort});
  std::string Request = GENERATE("CONNECT 12345 HTTP/1.1\r\nHost: x\r\n\r\n",
                                 "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
                                 "CONNECT 127.0.0.1:80 HTTP/1.1\r\n\r\n");
  Stranger.send(Request);
  REQUIRE(this->runUntil([&] { return Stranger.isClosed(); }));
  CHECK((Stranger.status() == 503 || Stranger.received().empty()));
}
