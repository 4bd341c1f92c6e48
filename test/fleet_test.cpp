//===- fleet_test.cpp - Tests membership, freshness, acknowledgement ------===//

#include "berylramp/fleet.h"
#include "berylramp/json.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace berylramp {
namespace {

Member makeMember(const std::string &Host, int64_t Heartbeat,
                  int64_t Applied = 0) {
  Member Result;
  Result.Host = HostId(Host);
  Result.HostIncarnation = Incarnation(1);
  Result.Heartbeat = Heartbeat;
  Result.Applied = Offset(Applied);
  Result.Detail.Version = Heartbeat;
  Result.Detail.Place = PlaceId("p");
  Result.Detail.Address = Endpoint{"127.0.0.1", 1000};
  return Result;
}

void setWrittenAt(FleetView &View, const HostId &Host, Instant At) {
  View.Members[Host].WrittenAt = At;
  View.Members[Host].EarliestWrittenAt = At;
}

Instant at(double Seconds) { return Instant{absl::Seconds(Seconds)}; }

FleetView makeView(int Hosts, int64_t Applied, Instant WrittenAt) {
  FleetView View;
  View.Self = HostId("h0");
  for (int I = 0; I < Hosts; ++I) {
    std::string Name = "h" + std::to_string(I);
    View.Members[HostId(Name)] =
        KnownMember{makeMember(Name, 1, Applied), WrittenAt, false, WrittenAt};
  }
  return View;
}

// Verifies that the record with the higher incarnation, then heartbeat wins,
// and that a merge subtracts the age of the record from the time of its
// receipt.
TEST_CASE("Members merge by incarnation, then heartbeat") {
  FleetView View;
  View.Self = HostId("me");
  CHECK(
      mergeCore(View, makeMember("a", 5), RecordAge{absl::Seconds(2)}, at(10)));
  CHECK(View.Members[HostId("a")].WrittenAt.SinceStart == absl::Seconds(8));
  CHECK_FALSE(mergeCore(View, makeMember("a", 4), RecordAge{}, at(11)));
  Member Replacement = makeMember("a", 1);
  Replacement.HostIncarnation = Incarnation(2);
  CHECK(mergeCore(View, Replacement, RecordAge{}, at(12)));
  CHECK(View.Members[HostId("a")].LatestRecord.HostIncarnation ==
        Incarnation(2));
}

// Verifies that a host ignores records about itself from peers.
TEST_CASE("Members never take their own record from a peer") {
  FleetView View;
  View.Self = HostId("me");
  CHECK_FALSE(mergeCore(View, makeMember("me", 99), RecordAge{}, at(1)));
}

// Verifies that the size of a gossip message does not grow with the fleet.
TEST_CASE("Gossip messages stay bounded in a large fleet") {
  FleetView View = makeView(350, 0, at(0));
  GossipMessage OpeningMessage = openExchange(View, at(1), 0);
  CHECK(OpeningMessage.Cores.size() == MaxCoresPerMessage);
  CHECK_FALSE(OpeningMessage.IsComplete);
  GossipMessage EmptyMessage;
  EmptyMessage.IsComplete = true;
  GossipMessage AnswerMessage = answerExchange(View, EmptyMessage, at(1), 0);
  size_t Bytes = 0;
  for (const GossipMessage::Detail &Detail : AnswerMessage.Details)
    Bytes += detailBytes(Detail.Host, Detail.Content);
  CHECK(Bytes <= MaxDetailBytes);
}

// Verifies that messages that were queued while a host was paused are no
// evidence that its peers still use the old table. Otherwise the host would
// keep serving under that table after the pause.
TEST_CASE("Freshness takes no evidence from messages that may have waited") {
  FleetTimes Times;
  FleetView Peer = makeView(8, 0, at(10));
  Peer.Self = HostId("h1");
  GossipMessage DelayedMessage = openExchange(Peer, at(10), 0);
  FleetView Paused = makeView(8, 0, at(10));
  for (auto &[Host, Known] : Peer.Members)
    ++Known.LatestRecord.Heartbeat;
  GossipMessage SecondMessage = openExchange(Peer, at(11), 0);
  ViewEvidence Evidence{at(10), true};
  mergeMessage(Paused, DelayedMessage, at(200), /*IsTimed=*/false);
  mergeMessage(Paused, SecondMessage, at(200), /*IsTimed=*/false);
  CHECK(evaluateFreshness(Evidence, Paused, Times, at(200)) ==
        Freshness::Isolated);
  mergeMessage(Paused, SecondMessage, at(200), /*IsTimed=*/true);
  CHECK(evaluateFreshness(Evidence, Paused, Times, at(201)) ==
        Freshness::Detached);
}

// Verifies that a host without any peer records receives those of the whole
// fleet, details included, in bounded messages.
TEST_CASE("A host without peer records learns the fleet") {
  FleetView FullView = makeView(60, 0, at(0));
  FleetView NewView;
  NewView.Self = HostId("new");
  NewView.Members[NewView.Self] =
      KnownMember{makeMember("new", 1), at(0), false};
  for (int Round = 1; Round <= 200; ++Round) {
    // Each round one host of the fleet writes a new record.
    std::string Name = "h" + std::to_string(Round % 60);
    KnownMember &Updated = FullView.Members[HostId(Name)];
    ++Updated.LatestRecord.Heartbeat;
    Updated.WrittenAt = at(Round);
    GossipMessage OpeningMessage =
        gossipFromJson(gossipToJson(openExchange(NewView, at(Round), 0)));
    GossipMessage AnswerMessage = answerExchange(
        FullView, OpeningMessage, at(Round), static_cast<size_t>(Round) * 13);
    mergeMessage(NewView, gossipFromJson(gossipToJson(AnswerMessage)),
                 at(Round), true);
  }
  CHECK(NewView.Members.size() == 61);
  for (const auto &[Host, Known] : NewView.Members)
    CHECK(Known.LatestRecord.Detail.Version >= 0);
}

// Verifies that the detail of a replaced host is not attributed to the new
// incarnation.
TEST_CASE("A new incarnation begins without the old one's detail") {
  FleetView View;
  View.Self = HostId("me");
  mergeCore(View, makeMember("a", 5), RecordAge{}, at(1));
  mergeDetail(View, HostId("a"), Incarnation(1), makeMember("a", 5).Detail);
  CHECK(View.Members[HostId("a")].LatestRecord.Detail.Version == 5);
  Member Replacement = makeMember("a", 1);
  Replacement.HostIncarnation = Incarnation(2);
  mergeCore(View, Replacement, RecordAge{}, at(2));
  CHECK(View.Members[HostId("a")].LatestRecord.Detail.Version == -1);
  mergeDetail(View, HostId("a"), Incarnation(1), makeMember("a", 9).Detail);
  CHECK(View.Members[HostId("a")].LatestRecord.Detail.Version == -1);
}

// Verifies that the freshness of a view follows from the age of its evidence
// and the number of live peers.
TEST_CASE("Freshness is fresh, detached or isolated") {
  FleetTimes Times;
  ViewEvidence Evidence{at(100), true};
  FleetView View = makeView(8, 0, at(100));
  CHECK(evaluateFreshness(Evidence, View, Times, at(102)) == Freshness::Fresh);
  CHECK(evaluateFreshness(Evidence, View, Times, at(104)) ==
        Freshness::Detached);
  CHECK(evaluateFreshness(Evidence, View, Times, at(106)) ==
        Freshness::Isolated);
  CHECK(evaluateFreshness(ViewEvidence{}, View, Times, at(100)) ==
        Freshness::Isolated);
}

// Verifies that a group of clearly more than half of the fleet continues to
// serve without the log, and that a smaller one stops after DetachedTimeout.

TEST_CASE("Freshness lets only a large group serve without the log") {
  FleetTimes Times;
  ViewEvidence Evidence{at(0), true};
  FleetView Majority = makeView(8, 0, at(0));
  FleetView Minority = makeView(8, 0, at(0));
  for (int I = 0; I < 5; ++I)
    setWrittenAt(Majority, HostId("h" + std::to_string(I)), at(3600));
  for (int I = 0; I < 3; ++I)
    setWrittenAt(Minority, HostId("h" + std::to_string(I)), at(3600));
  CHECK(evaluateFreshness(Evidence, Majority, Times, at(3601)) ==
        Freshness::Detached);
  CHECK(evaluateFreshness(Evidence, Minority, Times, at(3601)) ==
        Freshness::Isolated);
  for (int I = 0; I < 3; ++I)
    setWrittenAt(Minority, HostId("h" + std::to_string(I)), at(30));
  CHECK(evaluateFreshness(Evidence, Minority, Times, at(31)) ==
        Freshness::Detached);
}

// Verifies that peers that have applied a higher offset do not count towards
// the group that may serve without the log.
TEST_CASE("Freshness does not count peers that are ahead") {
  FleetTimes Times;
  ViewEvidence Evidence{at(0), true};
  FleetView View = makeView(8, 5, at(3600));
  View.Members[View.Self].LatestRecord.Applied = Offset(4);
  CHECK(evaluateFreshness(Evidence, View, Times, at(3601)) ==
        Freshness::Isolated);
}

// Verifies that a partitioned group does not count as the whole fleet after its
// hosts restarted and lost the records of the others.
TEST_CASE("Freshness counts members known when the view was last fresh") {
  FleetTimes Times;
  ViewEvidence Evidence{at(0), true};
  FleetView View = makeView(3, 0, at(3600));
  View.MinKnownMembers = 8;
  CHECK(evaluateFreshness(Evidence, View, Times, at(3601)) ==
        Freshness::Isolated);
}

// Verifies that a single live host that has not confirmed keeps an edit
// pending.
TEST_CASE("An edit is pending while a live host has not confirmed") {
  FleetTimes Times;
  FleetView View = makeView(8, 7, at(10));
  AcknowledgementState Watch{Offset(7), at(10), false, {}};
  CHECK(evaluateAcknowledgement(View, Watch, Times, at(10)).InForce);
  View.Members[HostId("h3")].LatestRecord.Applied = Offset(6);
  Acknowledgement Ack = evaluateAcknowledgement(View, Watch, Times, at(11));
  CHECK_FALSE(Ack.InForce);
  CHECK(Ack.Missing == std::vector<HostId>{HostId("h3")});
}

// Verifies that an edit ignores a silent host only after the host must have
// stopped serving, and only when the majority has existed for as long as the
// records that other hosts hold may be old.
TEST_CASE("An edit waits for a silent host to have stopped") {
  FleetTimes Times;
  FleetView View = makeView(8, 7, at(10));
  View.Members[HostId("h3")].LatestRecord.Applied = Offset(6);
  AcknowledgementState Watch{Offset(7), at(100), false, {}};
  CHECK_FALSE(evaluateAcknowledgement(View, Watch, Times, at(101)).InForce);
  double MustHaveStopped =
      100 + absl::ToDoubleSeconds(Times.DetachedTimeout + Times.FreshnessBound);
  CHECK_FALSE(
      evaluateAcknowledgement(View, Watch, Times, at(MustHaveStopped - 1))
          .InForce);
  CHECK(evaluateAcknowledgement(View, Watch, Times, at(MustHaveStopped + 1))
            .InForce);
}
// Verifies that a majority must exist for PeerSilenceTimeout before an edit
// ignores a silent host. Until then another group may still count a member of
// the majority because of an older record.

TEST_CASE("A majority must last before an edit ignores a silent host") {
  FleetTimes Times;
  FleetView View = makeView(5, 7, at(1000));
  View.Members[HostId("h3")].LatestRecord.Applied = Offset(6);
  View.Members[HostId("h4")].LatestRecord.Applied = Offset(6);
  setWrittenAt(View, HostId("h4"), at(10));
  AcknowledgementState Watch{Offset(7), at(100), false, {}};
  CHECK_FALSE(evaluateAcknowledgement(View, Watch, Times, at(1000)).InForce);
  View.Members[HostId("h3")].LatestRecord.Applied = Offset(7);
  Watch.HasMajority = false;
  CHECK_FALSE(evaluateAcknowledgement(View, Watch, Times, at(1001)).InForce);
  CHECK(evaluateAcknowledgement(View, Watch, Times, at(1007)).InForce);
}

// Verifies that a minority cannot bring an edit into force.
TEST_CASE("An edit confirmed by a minority is not in force") {
  FleetTimes Times;
  FleetView View = makeView(8, 7, at(10));
  for (int I = 3; I < 8; ++I)
    View.Members[HostId("h" + std::to_string(I))].LatestRecord.Applied =
        Offset(6);
  AcknowledgementState Watch{Offset(7), at(10), false, {}};
  CHECK_FALSE(evaluateAcknowledgement(View, Watch, Times, at(10000)).InForce);
}

// Verifies the guarantee in a fleet that is partitioned at a random time with
// the log on one side: once that side reports an edit as in force, no host of
// the other side dispatches under the old table. Hosts know each other from
// records that are up to PeerSilenceTimeout old, and membership may lag.

TEST_CASE("No excluded group serves an old table once an edit is in force") {
  rc::prop("in force excludes serving under an older offset", [] {
    FleetTimes Times;
    int Hosts = *rc::gen::inRange(2, 12);
    int HostsWithLog = *rc::gen::inRange(1, Hosts);
    double LastConfirm = *rc::gen::inRange(0, 50);
    double EditAt = LastConfirm + *rc::gen::inRange(0, 40);
    double Lag = *rc::gen::inRange(0, 5);
    // The cut-off hosts may have read the log after the other side last
    // received a record of them.
    double LastSeen = LastConfirm - *rc::gen::inRange(0, 40);
    double FoldedAt = EditAt + *rc::gen::inRange(0, 3);
    AcknowledgementState Watch{Offset(1), at(FoldedAt), false, {}};
    for (double Now = EditAt; Now < EditAt + 300; Now += 1) {
      FleetView ServingView = makeView(Hosts, 1, at(Now - Lag));
      FleetView CutOffView = makeView(Hosts, 0, at(Now - Lag));
      CutOffView.Self = HostId("h" + std::to_string(Hosts - 1));
      for (int I = 0; I < Hosts; ++I) {
        HostId Host("h" + std::to_string(I));
        if (I >= HostsWithLog) {
          ServingView.Members[Host] = KnownMember{makeMember(Host.text(), 1, 0),
                                                  at(LastSeen - Lag), false};
        } else {
          setWrittenAt(CutOffView, Host, at(LastSeen - Lag));
        }
      }
      Acknowledgement ServingAck =
          evaluateAcknowledgement(ServingView, Watch, Times, at(Now));
      ViewEvidence Evidence{at(LastConfirm), true};
      Freshness CutOffFreshness =
          evaluateFreshness(Evidence, CutOffView, Times, at(Now));
      RC_ASSERT(
          !(ServingAck.InForce && CutOffFreshness != Freshness::Isolated));
    }
  });
}

// Verifies that the shares of a limit follow the demand, and that for any
// demand their sum exceeds one by at most GuaranteedLimitShare.
TEST_CASE("Limit shares add up to the limit and its slack") {
  rc::prop("the sum is between 1 and 1 + slack", [] {
    size_t Hosts = *rc::gen::inRange<size_t>(2, 20);
    std::vector<double> Demand;
    double TotalDemand = 0;
    for (size_t I = 0; I < Hosts; ++I) {
      Demand.push_back(*rc::gen::inRange(0, 100));
      TotalDemand += Demand.back();
    }
    double Sum = 0;
    for (double OwnDemand : Demand)
      Sum += limitShare(OwnDemand,
                        PeerDemand{TotalDemand - OwnDemand, Hosts, true, {}});
    RC_ASSERT(Sum <= 1 + GuaranteedLimitShare + 1e-9);
    RC_ASSERT(TotalDemand == 0 || Sum >= 1 - 1e-9);
  });
}

// Verifies that demand that rises on all hosts at once is split evenly until
// the hosts have received each other's demand, and that a demand that shifts
// between hosts changes the shares at once.
TEST_CASE("Limit shares are even while a demand is new to the fleet") {
  PeerDemand NoneReceived{0, 8, true, at(0)};
  CHECK(cappedLimitShare(50, at(10), NoneReceived, at(11)) == 1.0 / 8);
  PeerDemand PartlySeen{50, 8, true, at(10.5)};
  CHECK(cappedLimitShare(50, at(10), PartlySeen, at(11)) == 1.0 / 8);
  CHECK(cappedLimitShare(50, at(10), NoneReceived, at(20)) == 1.0);
  PeerDemand ShiftedDemand{50, 8, true, at(0)};
  CHECK(cappedLimitShare(150, at(10), ShiftedDemand, at(11)) == 0.75);
}

// Verifies that entry addresses list the hosts of the caller's place first and
// omit hosts that are leaving or silent.
TEST_CASE("Entry addresses leave out leaving and silent hosts") {
  FleetTimes Times;
  FleetView View = makeView(4, 0, at(100));
  View.Members[HostId("h1")].LatestRecord.Leaving = true;
  setWrittenAt(View, HostId("h2"), at(10));
  View.Members[HostId("h3")].LatestRecord.Detail.Place = PlaceId("near");
  std::vector<EntryAddress> Addresses =
      entryAddresses(View, PlaceId("near"), Times, at(101));
  REQUIRE(Addresses.size() == 2);
  CHECK(Addresses[0].Host == HostId("h3"));
  CHECK(Addresses[1].Host == HostId("h0"));
}

// Verifies that a message is unchanged by encoding and decoding, and that
// hostile text neither crashes the decoder nor adds a member.
TEST_CASE("Gossip messages survive encoding and hostile text") {
  FleetView View = makeView(3, 9, at(5));
  MemberDetail &Detail = View.Members[View.Self].LatestRecord.Detail;
  Detail.Demand.push_back(WorkspaceDemand{WorkspaceId("w"), 2.5});
  Detail.Trips.push_back(
      VersionTrip{VersionKey{ModelId("m"), VersionId("v")}, "run", "why"});
  GossipMessage Decoded =
      gossipFromJson(gossipToJson(openExchange(View, at(6), 0)));
  REQUIRE(Decoded.Cores.size() == 3);
  CHECK(Decoded.Cores.front().MemberRecord.Applied == Offset(9));
  CHECK(Decoded.Cores.front().Age.Estimated == absl::Seconds(1));
  REQUIRE(Decoded.Details.size() == 1);
  CHECK(Decoded.Details.front().Content.Demand.front().RequestsPerSecond ==
        2.5);
  CHECK(Decoded.Details.front().Content.Trips.front().Run == "run");
  rc::prop("any text is a message or none", [] {
    std::string Input = *rc::gen::arbitrary<std::string>();
    int Number = *rc::gen::arbitrary<int>();
    absl::StatusOr<Json::Value> Value =
        parseJson("{\"cores\":[[\"h\"," + std::to_string(Number) +
                  ",1,-5,0,0,0,0,0,0],[1],{}," + (Input.empty() ? "0" : "[]") +
                  "],\"details\":[{\"h\":\"x\",\"a\":\"y\"}]}");
    RC_ASSERT(Value.ok());
    GossipMessage Decoded = gossipFromJson(*Value);
    for (const GossipMessage::Core &Core : Decoded.Cores)
      RC_ASSERT(Core.Age.Estimated >= absl::ZeroDuration());
    RC_ASSERT(Decoded.Details.empty());
    absl::StatusOr<Json::Value> Invalid = parseJson(Input);
    if (Invalid.ok())
      gossipFromJson(*Invalid);
  });
}

} // namespace
} // namespace berylramp
