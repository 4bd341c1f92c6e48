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

TEST_CASE("Reports are decoded as what was encoded") {
  auto Decode = [](const GossipReport &Report) {
    std::optional<GossipReport> Decoded = decodeReport(encodeReport(Report));
    REQUIRE(Decoded);
    REQUIRE(Decoded->index() == Report.index());
    return *Decoded;
  };
  auto Leaving = std::get<LeavingReport>(Decode(LeavingReport{7, 12345}));
  CHECK(Leaving.Replica == 7);
  CHECK(Leaving.StartedAtMs == 12345);
  auto Full = std::get<FullReport>(Decode(FullReport{8, 12346}));
  CHECK(Full.Replica == 8);
  CHECK(Full.StartedAtMs == 12346);
  auto Work = std::get<WorkDigest>(
      Decode(WorkDigest{{9, 80, {{{1, 500}, {2, 4000}}, 700}}, {10, 20}}));
  REQUIRE(Work.size() == 2);
  CHECK(Work[0].Replica == 9);
  CHECK(Work[0].WorkMs == 80);
  CHECK(Work[0].Use.PrivateTokens == 700);
  REQUIRE(Work[0].Use.Shared.size() == 2);
  CHECK(Work[0].Use.Shared[1].Id == 2);
  CHECK(Work[0].Use.Shared[1].Tokens == 4000);
  CHECK(Work[1].Replica == 10);
  CHECK(Work[1].WorkMs == 20);
  for (bool Ends : {true, false}) {
    auto Input = std::get<InputReport>(Decode(InputReport{10, Ends}));
    CHECK(Input.Input == 10);
    CHECK(Input.EndsReplicas == Ends);
  }
  auto Crash = std::get<InputCrash>(Decode(InputCrash{11, {{1, 2, 3}, 12}}));
  CHECK(Crash.Replica == 11);
  CHECK(Crash.Input.Segments == std::vector<uint64_t>{1, 2, 3});
  CHECK(Crash.Input.Identity == 12);
  auto Limits = std::get<LimitReports>(
      Decode(LimitReports{{13, 1, 2, 0.5, std::nullopt}, {14, 1, 3, {}, 4}}));
  REQUIRE(Limits.size() == 2);
  CHECK(Limits[0].PerSecond == 0.5);
  CHECK(Limits[0].Rejections == std::nullopt);
  CHECK(Limits[1].PerSecond == std::nullopt);
  CHECK(Limits[1].Rejections == 4);
}

TEST_CASE("States of hosts and reports are told apart") {
  PeerTable Peers(makeState(1));
  PeerTable Other(makeState(2));
  CHECK_FALSE(decodeReport(Peers.encode(atSecond(0))));
  CHECK_FALSE(Other.merge(encodeReport(WorkDigest{{7, 80}}), atSecond(0)));
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
    decodeReport(Bytes);
    RC_ASSERT(Peers.live(atSecond(0)).empty());
  });
}

TEST_CASE("A datagram that claims gigabytes is refused") {
  // Memory reserved for the claimed length could exhaust the host.
  PeerTable Peers(makeState(1));
  for (const char *Header : {"\xdf", "\xdd", "\xdb", "\xc6", "\xc9"}) {
    std::string Bytes = Header + std::string("\xff\xff\xff\xff", 4);
    CHECK_FALSE(Peers.merge(Bytes, atSecond(0)));
    CHECK_FALSE(decodeReport(Bytes));
  }
}

TEST_CASE("Truncated datagrams are refused") {
  PeerTable A(makeState(1));
  std::string Datagram = A.encode(atSecond(0));
  for (size_t Size = 0; Size < Datagram.size(); ++Size) {
    PeerTable B(makeState(2));
    CHECK_FALSE(B.merge(Datagram.substr(0, Size), atSecond(0)));
  }
  std::string Report = encodeReport(WorkDigest{{42, 350, {{{1, 5}}, 3}}});
  for (size_t Size = 0; Size < Report.size(); ++Size)
    CHECK_FALSE(decodeReport(Report.substr(0, Size)));
}

TEST_CASE("Digests of work have a bounded size and plausible figures") {
  uint64_t Large = ~uint64_t{0};
  WorkReport Long{Large, 90'000'000, {{}, 90'000'000}};
  for (uint64_t Id = 0; Id < 40; ++Id)
    Long.Use.Shared.push_back({Large - Id, 90'000'000});
  std::string Datagram = encodeReport(WorkDigest(100, Long));
  // Hosts read datagrams of at most 2,048 bytes.
  CHECK(Datagram.size() <= 2048);
  auto Decoded = std::get<WorkDigest>(*decodeReport(Datagram));
  CHECK(Decoded.size() == MaxReportedWork);
  CHECK(Decoded[0].Use.Shared.size() == MaxReportedChain);
  for (int64_t Bad : {int64_t{-1}, int64_t{1} << 60}) {
    CHECK_FALSE(decodeReport(encodeReport(WorkDigest{{7, Bad}})));
    CHECK_FALSE(decodeReport(encodeReport(WorkDigest{{7, 1, {{}, Bad}}})));
    CHECK_FALSE(
        decodeReport(encodeReport(WorkDigest{{7, 1, {{{1, Bad}}, 0}}})));
  }
}

TEST_CASE("A silent host stays among the targets") {
  PeerTable Peers(makeState(1));
  Peers.addAddress(2, atSecond(0));
  CHECK(Peers.live(atSecond(0)).empty());
  CHECK(Peers.targets(3, atSecond(0)) == std::vector<uint32_t>{2});
}

TEST_CASE("The position in the operators' records and its age spread") {
  PeerTable A(makeState(1));
  PeerTable B(makeState(2));
  PeerTable C(makeState(3));
  A.self().Operators = {StoreEra(2), Offset(40)};
  REQUIRE(B.merge(A.encode(atSecond(0)), atSecond(0)));
  // Relayed by a host that has not heard of it since.
  REQUIRE(C.merge(B.encode(atSecond(3)), atSecond(3)));
  const Peer *Relayed = nullptr;
  for (const Peer *Other : C.live(atSecond(3)))
    if (Other->State.Ip == 1)
      Relayed = Other;
  REQUIRE(Relayed != nullptr);
  CHECK(Relayed->State.Operators == StorePosition{StoreEra(2), Offset(40)});
  CHECK(Relayed->SentAt.SinceStart == atSecond(0).SinceStart);
}
