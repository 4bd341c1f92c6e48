//===- gossip_test.cpp - What hosts tell each other -----------------------===//

#include "berylramp/gossip.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace berylramp;

namespace {

Instant at(double Seconds) { return Instant{absl::Seconds(100 + Seconds)}; }

PeerState stateOf(uint32_t Ip, int64_t Life = 1) {
  PeerState State;
  State.Ip = Ip;
  State.IncarnationId = Incarnation(Life);
  State.Place = PlaceId("a");
  State.Ready = true;
  return State;
}

} // namespace

TEST_CASE("A host is heard through others") {
  PeerTable A(stateOf(1));
  PeerTable B(stateOf(2));
  PeerTable C(stateOf(3));
  REQUIRE(B.merge(A.encode(at(0)), at(0)));
  REQUIRE(C.merge(B.encode(at(0)), at(0)));
  CHECK(C.live(at(0)).size() == 2);
}

TEST_CASE("An old word does not bring a silent host back") {
  PeerTable A(stateOf(1));
  PeerTable B(stateOf(2));
  std::string Old = A.encode(at(0));
  REQUIRE(B.merge(Old, at(0)));
  REQUIRE(B.merge(Old, at(9)));
  CHECK(B.live(at(9)).empty());
}

TEST_CASE("A new life replaces the old one, never the reverse") {
  PeerTable Old(stateOf(1, 10));
  PeerTable New(stateOf(1, 20));
  PeerTable B(stateOf(2));
  std::string First = Old.encode(at(0));
  for (int Count = 0; Count < 5; ++Count)
    First = Old.encode(at(0));
  REQUIRE(B.merge(New.encode(at(1)), at(1)));
  REQUIRE(B.merge(First, at(2)));
  REQUIRE(B.live(at(2)).size() == 1);
  CHECK(B.live(at(2))[0]->State.IncarnationId == Incarnation(20));
}

TEST_CASE("A datagram fits a frame however many hosts there are") {
  PeerTable View(stateOf(1));
  for (uint32_t Ip = 2; Ip < 1000; ++Ip) {
    PeerTable Other(stateOf(Ip));
    REQUIRE(View.merge(Other.encode(at(0)), at(0)));
  }
  CHECK(View.encode(at(0)).size() < 1472);
}

TEST_CASE("Evidence of all hosts adds up") {
  PeerState One = stateOf(1);
  RolloutReport Note;
  Note.Order = 7;
  Note.Target = {3, 2, 300};
  Note.ElapsedMs = 4000;
  One.Rollouts = {Note};
  PeerTable A(One);
  PeerState Two = stateOf(2);
  Note.Target = {1, 1, 100};
  Note.ElapsedMs = 100;
  Two.Rollouts = {Note};
  PeerTable B(Two);
  REQUIRE(B.merge(A.encode(at(0)), at(0)));
  absl::Duration Elapsed;
  RolloutEvidence Seen = B.evidence(7, at(0), Elapsed);
  CHECK(Seen.Target.Good == 4);
  CHECK(Seen.Target.Bad == 3);
  CHECK(Elapsed == absl::Milliseconds(4000));
}

TEST_CASE("Bytes that are no datagram change nothing") {
  rc::prop("for any bytes", [] {
    PeerTable View(stateOf(1));
    auto Bytes = *rc::gen::arbitrary<std::string>();
    View.merge(Bytes, at(0));
    WorkReport Note;
    decodeWorkReport(Bytes, Note);
    RC_ASSERT(View.live(at(0)).empty());
  });
}

TEST_CASE("A datagram that claims gigabytes takes no memory") {
  PeerTable View(stateOf(1));
  WorkReport Note;
  for (const char *Header : {"\xdf", "\xdd", "\xdb", "\xc6", "\xc9"}) {
    std::string Bytes = Header + std::string("\xff\xff\xff\xff", 4);
    CHECK_FALSE(View.merge(Bytes, at(0)));
    CHECK_FALSE(decodeWorkReport(Bytes, Note));
  }
}

TEST_CASE("Cut datagrams are refused") {
  PeerTable A(stateOf(1));
  std::string Whole = A.encode(at(0));
  for (size_t Size = 0; Size < Whole.size(); ++Size) {
    PeerTable B(stateOf(2));
    CHECK_FALSE(B.merge(Whole.substr(0, Size), at(0)));
  }
}

TEST_CASE("A note of work arrives as sent") {
  WorkReport Out;
  REQUIRE(decodeWorkReport(encodeWorkReport({42, 350}), Out));
  CHECK(Out.Replica == 42);
  CHECK(Out.WorkMs == 350);
  PeerTable A(stateOf(1));
  CHECK_FALSE(decodeWorkReport(A.encode(at(0)), Out));
}

TEST_CASE("A silent host is asked again now and then") {
  PeerTable View(stateOf(1));
  View.addAddress(2, at(0));
  CHECK(View.live(at(0)).empty());
  CHECK(View.targets(3, at(0)) == std::vector<uint32_t>{2});
}
