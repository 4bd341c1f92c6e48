//===- gossip_test.cpp - Gossip datagrams and peer table ------------------===//

#include "berylramp/gossip.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace berylramp;

namespace {

Instant atSecond(double Seconds) {
  return Instant{absl::Seconds(100 + Seconds)};
}

PeerState makeState(uint32_t Ip, int64_t IncarnationNumber = 1) {
  PeerState State;
  State.Ip = Ip;
  State.IncarnationId = Incarnation(IncarnationNumber);
  State.Place = PlaceId("a");
  State.Ready = true;
  return State;
}

} // namespace

TEST_CASE("A report of a leaving replica is told apart from others") {
  LeavingReport Report{7, 12345};
  std::string Datagram = encodeLeavingReport(Report);
  LeavingReport Decoded;
  REQUIRE(decodeLeavingReport(Datagram, Decoded));
  CHECK(Decoded.Replica == 7);
  CHECK(Decoded.StartedAtMs == 12345);
  WorkReport Work;
  CHECK_FALSE(decodeWorkReport(Datagram, Work));
  CHECK_FALSE(decodeLeavingReport(encodeWorkReport({7, 80}), Decoded));
}

TEST_CASE("A host's state spreads through other hosts") {
  PeerTable A(makeState(1));
  PeerTable B(makeState(2));
  PeerTable C(makeState(3));
  REQUIRE(B.merge(A.encode(atSecond(0)), atSecond(0)));
  REQUIRE(C.merge(B.encode(atSecond(0)), atSecond(0)));
  CHECK(C.live(atSecond(0)).size() == 2);
}

TEST_CASE("A stale state does not make a silent host live again") {
  PeerTable A(makeState(1));
  PeerTable B(makeState(2));
  std::string Old = A.encode(atSecond(0));
  REQUIRE(B.merge(Old, atSecond(0)));
  REQUIRE(B.merge(Old, atSecond(9)));
  CHECK(B.live(atSecond(9)).empty());
}

TEST_CASE("A newer incarnation replaces an older one, not the reverse") {
  PeerTable Old(makeState(1, 10));
  PeerTable New(makeState(1, 20));
  PeerTable B(makeState(2));
  std::string First = Old.encode(atSecond(0));
  for (int Count = 0; Count < 5; ++Count)
    First = Old.encode(atSecond(0));
  REQUIRE(B.merge(New.encode(atSecond(1)), atSecond(1)));
  REQUIRE(B.merge(First, atSecond(2)));
  REQUIRE(B.live(atSecond(2)).size() == 1);
  CHECK(B.live(atSecond(2))[0]->State.IncarnationId == Incarnation(20));
}

TEST_CASE("A datagram fits a frame however many hosts there are") {
  PeerTable Peers(makeState(1));
  for (uint32_t Ip = 2; Ip < 1000; ++Ip) {
    PeerTable Other(makeState(Ip));
    REQUIRE(Peers.merge(Other.encode(atSecond(0)), atSecond(0)));
  }
  CHECK(Peers.encode(atSecond(0)).size() < 1472);
}

TEST_CASE("Evidence of all hosts is summed") {
  PeerState One = makeState(1);
  RolloutReport Report;
  Report.Order = 7;
  Report.Target[2] = {5, 2, 300, 200};
  Report.ElapsedMs = 4000;
  One.Rollouts = {Report};
  PeerTable A(One);
  PeerState Two = makeState(2);
  Report.Target[2] = {2, 1, 100, 50};
  Report.ElapsedMs = 100;
  Two.Rollouts = {Report};
  PeerTable B(Two);
  REQUIRE(B.merge(A.encode(atSecond(0)), atSecond(0)));
  absl::Duration Elapsed;
  RolloutEvidence Evidence = B.evidence(7, atSecond(0), Elapsed);
  CHECK(Evidence.Target[2].Count == 7);
  CHECK(Evidence.Target[2].Bad == 3);
  CHECK(Evidence.Target[2].ToleratedMilli == 400);
  CHECK(Evidence.Target[2].VarianceMilli == 250);
  CHECK(sumOf(Evidence.Target).Count == 7);
  CHECK(Elapsed == absl::Milliseconds(4000));
}

TEST_CASE("Roll-out evidence of a host outlives its restart") {
  PeerTable Receiver(makeState(2));
  RolloutReport Report;
  Report.Order = 7;
  Report.Target[0] = {5, 2, 300, 200};
  PeerState Former = makeState(1);
  Former.Rollouts = {Report};
  REQUIRE(Receiver.merge(PeerTable(Former).encode(atSecond(0)), atSecond(0)));
  PeerState Restarted = makeState(1);
  Restarted.IncarnationId = Incarnation(Former.IncarnationId.count() + 1);
  Report.Target[0] = {1, 0, 30, 20};
  Restarted.Rollouts = {Report};
  REQUIRE(
      Receiver.merge(PeerTable(Restarted).encode(atSecond(1)), atSecond(1)));
  absl::Duration Elapsed;
  CHECK(Receiver.evidence(7, atSecond(1), Elapsed).Target[0].Count == 6);
  CHECK(Receiver.evidence(7, atSecond(1), Elapsed).Target[0].Bad == 2);
}

TEST_CASE("Malformed datagrams change nothing") {
  rc::prop("for any bytes", [] {
    PeerTable Peers(makeState(1));
    auto Bytes = *rc::gen::arbitrary<std::string>();
    Peers.merge(Bytes, atSecond(0));
    WorkReport Report;
    decodeWorkReport(Bytes, Report);
    RC_ASSERT(Peers.live(atSecond(0)).empty());
  });
}

TEST_CASE("A datagram that claims gigabytes is refused") {
  // Memory reserved for the claimed length could exhaust the host.
  PeerTable Peers(makeState(1));
  WorkReport Report;
  for (const char *Header : {"\xdf", "\xdd", "\xdb", "\xc6", "\xc9"}) {
    std::string Bytes = Header + std::string("\xff\xff\xff\xff", 4);
    CHECK_FALSE(Peers.merge(Bytes, atSecond(0)));
    CHECK_FALSE(decodeWorkReport(Bytes, Report));
  }
}

TEST_CASE("Truncated datagrams are refused") {
  PeerTable A(makeState(1));
  std::string Datagram = A.encode(atSecond(0));
  for (size_t Size = 0; Size < Datagram.size(); ++Size) {
    PeerTable B(makeState(2));
    CHECK_FALSE(B.merge(Datagram.substr(0, Size), atSecond(0)));
  }
}

TEST_CASE("A work report is decoded as encoded") {
  WorkReport Decoded;
  REQUIRE(decodeWorkReport(encodeWorkReport({42, 350}), Decoded));
  CHECK(Decoded.Replica == 42);
  CHECK(Decoded.WorkMs == 350);
  PeerTable A(makeState(1));
  CHECK_FALSE(decodeWorkReport(A.encode(atSecond(0)), Decoded));
}

TEST_CASE("A silent host stays among the targets") {
  PeerTable Peers(makeState(1));
  Peers.addAddress(2, atSecond(0));
  CHECK(Peers.live(atSecond(0)).empty());
  CHECK(Peers.targets(3, atSecond(0)) == std::vector<uint32_t>{2});
}
