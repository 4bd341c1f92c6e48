//===- fleet_test.cpp - Tests members, freshness, acknowledgement ---------===//

#include "berylramp/fleet.h"
#include "berylramp/json.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace berylramp {
namespace {

Member memberOf(const std::string &Host, int64_t Heartbeat,
                int64_t Applied = 0) {
  Member Out;
  Out.Host = HostId(Host);
  Out.HostIncarnation = Incarnation(1);
  Out.Heartbeat = Heartbeat;
  Out.Applied = Offset(Applied);
  Out.Detail.Version = Heartbeat;
  Out.Detail.Place = PlaceId("p");
  Out.Detail.Address = Endpoint{"127.0.0.1", 1000};
  return Out;
}

void hear(FleetView &View, const HostId &Host, Instant At) {
  View.Members[Host].WrittenAt = At;
  View.Members[Host].EarliestWrittenAt = At;
}

Instant at(double Seconds) { return Instant{absl::Seconds(Seconds)}; }

FleetView viewOf(int Hosts, int64_t Applied, Instant WrittenAt) {
  FleetView View;
  View.Self = HostId("h0");
  for (int I = 0; I < Hosts; ++I) {
    std::string Name = "h" + std::to_string(I);
    View.Members[HostId(Name)] =
        KnownMember{memberOf(Name, 1, Applied), WrittenAt, false, WrittenAt};
  }
  return View;
}

// Verifies that a newer heartbeat and a higher incarnation win, and that the
// age of a record is kept.
TEST_CASE("Members merge by incarnation, then heartbeat") {
  FleetView View;
  View.Self = HostId("me");
  CHECK(mergeCore(View, memberOf("a", 5), RecordAge{absl::Seconds(2)}, at(10)));
  CHECK(View.Members[HostId("a")].WrittenAt.SinceStart == absl::Seconds(8));
  CHECK_FALSE(mergeCore(View, memberOf("a", 4), RecordAge{}, at(11)));
  Member Replaced = memberOf("a", 1);
  Replaced.HostIncarnation = Incarnation(2);
  CHECK(mergeCore(View, Replaced, RecordAge{}, at(12)));
  CHECK(View.Members[HostId("a")].LatestRecord.HostIncarnation ==
        Incarnation(2));
}

// Verifies that what a host says of itself is not overwritten by others.
TEST_CASE("Members never take their own record from a peer") {
  FleetView View;
  View.Self = HostId("me");
  CHECK_FALSE(mergeCore(View, memberOf("me", 99), RecordAge{}, at(1)));
}

// Verifies that a message's size does not grow with the fleet.
TEST_CASE("Exchanges stay bounded in a large fleet") {
  FleetView View = viewOf(350, 0, at(0));
  GossipMessage Opened = openExchange(View, at(1), 0);
  CHECK(Opened.Cores.size() == MaxCoresPerMessage);
  CHECK_FALSE(Opened.IsComplete);
  GossipMessage Nothing;
  Nothing.IsComplete = true;
  GossipMessage Answered = answerExchange(View, Nothing, at(1), 0);
  size_t Bytes = 0;
  for (const GossipMessage::Detail &Each : Answered.Details)
    Bytes += detailBytes(Each.Host, Each.Content);
  CHECK(Bytes <= MaxDetailBytes);
}

// Verifies that requests which waited while a host was paused do not make it
// take the fleet for heard under its old table.
TEST_CASE("Freshness takes no evidence from messages that may have waited") {
  FleetTimes Times;
  FleetView Peer = viewOf(8, 0, at(10));
  Peer.Self = HostId("h1");
  GossipMessage Waited = openExchange(Peer, at(10), 0);
  FleetView Paused = viewOf(8, 0, at(10));
  for (auto &[Host, Known] : Peer.Members)
    ++Known.LatestRecord.Heartbeat;
  GossipMessage Later = openExchange(Peer, at(11), 0);
  ViewEvidence Evidence{at(10), true};
  mergeMessage(Paused, Waited, at(200), /*IsTimed=*/false);
  mergeMessage(Paused, Later, at(200), /*IsTimed=*/false);
  CHECK(evaluateFreshness(Evidence, Paused, Times, at(200)) ==
        Freshness::Isolated);
  mergeMessage(Paused, Later, at(200), /*IsTimed=*/true);
  CHECK(evaluateFreshness(Evidence, Paused, Times, at(201)) ==
        Freshness::Detached);
}

// Verifies that a host that knows nobody learns the whole fleet, details too,
// from bounded messages.
TEST_CASE("A host that knows nobody learns the fleet") {
  FleetView Old = viewOf(60, 0, at(0));
  FleetView New;
  New.Self = HostId("new");
  New.Members[New.Self] = KnownMember{memberOf("new", 1), at(0), false};
  for (int Round = 1; Round <= 200; ++Round) {
    // Every host writes a new record now and then.
    std::string Name = "h" + std::to_string(Round % 60);
    KnownMember &Written = Old.Members[HostId(Name)];
    ++Written.LatestRecord.Heartbeat;
    Written.WrittenAt = at(Round);
    GossipMessage Sent =
        gossipFromJson(gossipToJson(openExchange(New, at(Round), 0)));
    GossipMessage Back =
        answerExchange(Old, Sent, at(Round), static_cast<size_t>(Round) * 13);
    mergeMessage(New, gossipFromJson(gossipToJson(Back)), at(Round), true);
  }
  CHECK(New.Members.size() == 61);
  for (const auto &[Host, Known] : New.Members)
    CHECK(Known.LatestRecord.Detail.Version >= 0);
}

// Verifies that a replaced host's old detail is not taken for the new life's.
TEST_CASE("A new life begins without the old one's detail") {
  FleetView View;
  View.Self = HostId("me");
  mergeCore(View, memberOf("a", 5), RecordAge{}, at(1));
  mergeDetail(View, HostId("a"), Incarnation(1), memberOf("a", 5).Detail);
  CHECK(View.Members[HostId("a")].LatestRecord.Detail.Version == 5);
  Member Replaced = memberOf("a", 1);
  Replaced.HostIncarnation = Incarnation(2);
  mergeCore(View, Replaced, RecordAge{}, at(2));
  CHECK(View.Members[HostId("a")].LatestRecord.Detail.Version == -1);
  mergeDetail(View, HostId("a"), Incarnation(1), memberOf("a", 9).Detail);
  CHECK(View.Members[HostId("a")].LatestRecord.Detail.Version == -1);
}

// Verifies the three states of a view.
TEST_CASE("Freshness is fresh, detached or isolated") {
  FleetTimes Times;
  ViewEvidence Evidence{at(100), true};
  FleetView View = viewOf(8, 0, at(100));
  CHECK(evaluateFreshness(Evidence, View, Times, at(102)) == Freshness::Fresh);
  CHECK(evaluateFreshness(Evidence, View, Times, at(104)) ==
        Freshness::Detached);
  CHECK(evaluateFreshness(Evidence, View, Times, at(106)) ==
        Freshness::Isolated);
  CHECK(evaluateFreshness(ViewEvidence{}, View, Times, at(100)) ==
        Freshness::Isolated);
}

// Verifies that a group of well over half goes on without the log, and that a
// smaller one stops after DetachedTimeout.
TEST_CASE("Freshness lets only a large group go on without the log") {
  FleetTimes Times;
  ViewEvidence Evidence{at(0), true};
  FleetView Large = viewOf(8, 0, at(0));
  FleetView Small = viewOf(8, 0, at(0));
  for (int I = 0; I < 5; ++I)
    hear(Large, HostId("h" + std::to_string(I)), at(3600));
  for (int I = 0; I < 3; ++I)
    hear(Small, HostId("h" + std::to_string(I)), at(3600));
  CHECK(evaluateFreshness(Evidence, Large, Times, at(3601)) ==
        Freshness::Detached);
  CHECK(evaluateFreshness(Evidence, Small, Times, at(3601)) ==
        Freshness::Isolated);
  for (int I = 0; I < 3; ++I)
    hear(Small, HostId("h" + std::to_string(I)), at(30));
  CHECK(evaluateFreshness(Evidence, Small, Times, at(31)) ==
        Freshness::Detached);
}

// Verifies that a peer that has applied more does not count for going on.
TEST_CASE("Freshness does not count peers that are ahead") {
  FleetTimes Times;
  ViewEvidence Evidence{at(0), true};
  FleetView View = viewOf(8, 5, at(3600));
  View.Members[View.Self].LatestRecord.Applied = Offset(4);
  CHECK(evaluateFreshness(Evidence, View, Times, at(3601)) ==
        Freshness::Isolated);
}

// Verifies that a cut-off group cannot take itself for the whole fleet after
// its hosts restarted and forgot the others.
TEST_CASE("Freshness counts members known when the view was last fresh") {
  FleetTimes Times;
  ViewEvidence Evidence{at(0), true};
  FleetView View = viewOf(3, 0, at(3600));
  View.MinKnownMembers = 8;
  CHECK(evaluateFreshness(Evidence, View, Times, at(3601)) ==
        Freshness::Isolated);
}

// Verifies that one live host that has not confirmed keeps an edit pending.
TEST_CASE("An edit is pending while a live host has not confirmed") {
  FleetTimes Times;
  FleetView View = viewOf(8, 7, at(10));
  AcknowledgementState Watch{Offset(7), at(10), false, {}};
  CHECK(evaluateAcknowledgement(View, Watch, Times, at(10)).InForce);
  View.Members[HostId("h3")].LatestRecord.Applied = Offset(6);
  Acknowledgement Found = evaluateAcknowledgement(View, Watch, Times, at(11));
  CHECK_FALSE(Found.InForce);
  CHECK(Found.Missing == std::vector<HostId>{HostId("h3")});
}

// Verifies that a silent host is excused only after it must have stopped, and
// after the majority has stood for as long as what others hear may be old.
TEST_CASE("An edit waits for a silent host to have stopped") {
  FleetTimes Times;
  FleetView View = viewOf(8, 7, at(10));
  View.Members[HostId("h3")].LatestRecord.Applied = Offset(6);
  AcknowledgementState Watch{Offset(7), at(100), false, {}};
  CHECK_FALSE(evaluateAcknowledgement(View, Watch, Times, at(101)).InForce);
  double Stopped =
      100 + absl::ToDoubleSeconds(Times.DetachedTimeout + Times.FreshnessBound);
  CHECK_FALSE(
      evaluateAcknowledgement(View, Watch, Times, at(Stopped - 1)).InForce);
  CHECK(evaluateAcknowledgement(View, Watch, Times, at(Stopped + 1)).InForce);
}

// Verifies that a majority has to stand for PeerSilenceTimeout before it
// excuses a silent host: another group may still count a member by its older
// record.
TEST_CASE("A majority must stand before it excuses a silent host") {
  FleetTimes Times;
  FleetView View = viewOf(5, 7, at(1000));
  View.Members[HostId("h3")].LatestRecord.Applied = Offset(6);
  View.Members[HostId("h4")].LatestRecord.Applied = Offset(6);
  hear(View, HostId("h4"), at(10));
  AcknowledgementState Watch{Offset(7), at(100), false, {}};
  CHECK_FALSE(evaluateAcknowledgement(View, Watch, Times, at(1000)).InForce);
  View.Members[HostId("h3")].LatestRecord.Applied = Offset(7);
  Watch.HasMajority = false;
  CHECK_FALSE(evaluateAcknowledgement(View, Watch, Times, at(1001)).InForce);
  CHECK(evaluateAcknowledgement(View, Watch, Times, at(1007)).InForce);
}

// Verifies that a minority cannot call an edit in force.
TEST_CASE("An edit confirmed by a minority is not in force") {
  FleetTimes Times;
  FleetView View = viewOf(8, 7, at(10));
  for (int I = 3; I < 8; ++I)
    View.Members[HostId("h" + std::to_string(I))].LatestRecord.Applied =
        Offset(6);
  AcknowledgementState Watch{Offset(7), at(10), false, {}};
  CHECK_FALSE(evaluateAcknowledgement(View, Watch, Times, at(10000)).InForce);
}

// Verifies the promise itself in a fleet cut in two at a random time, the log
// on one side: no host of the cut-off group dispatches under the old table
// after the other side called an edit in force. Hosts hear each other through
// records up to PeerSilenceTimeout old, and membership may lag.
TEST_CASE("No excluded group serves an old table once an edit is in force") {
  rc::prop("in force excludes serving under an older offset", [] {
    FleetTimes Times;
    int Hosts = *rc::gen::inRange(2, 12);
    int WithLog = *rc::gen::inRange(1, Hosts);
    double LastConfirm = *rc::gen::inRange(0, 50);
    double EditAt = LastConfirm + *rc::gen::inRange(0, 40);
    double Lag = *rc::gen::inRange(0, 5);
    // The cut-off hosts may have read the log, unheard, since they were heard.
    double LastHeard = LastConfirm - *rc::gen::inRange(0, 40);
    double FoldedAt = EditAt + *rc::gen::inRange(0, 3);
    AcknowledgementState Watch{Offset(1), at(FoldedAt), false, {}};
    for (double Now = EditAt; Now < EditAt + 300; Now += 1) {
      FleetView Inside = viewOf(Hosts, 1, at(Now - Lag));
      FleetView Outside = viewOf(Hosts, 0, at(Now - Lag));
      Outside.Self = HostId("h" + std::to_string(Hosts - 1));
      for (int I = 0; I < Hosts; ++I) {
        HostId Host("h" + std::to_string(I));
        if (I >= WithLog) {
          Inside.Members[Host] = KnownMember{memberOf(Host.text(), 1, 0),
                                             at(LastHeard - Lag), false};
        } else {
          hear(Outside, Host, at(LastHeard - Lag));
        }
      }
      Acknowledgement Said =
          evaluateAcknowledgement(Inside, Watch, Times, at(Now));
      ViewEvidence Evidence{at(LastConfirm), true};
      Freshness Cut = evaluateFreshness(Evidence, Outside, Times, at(Now));
      RC_ASSERT(!(Said.InForce && Cut != Freshness::Isolated));
    }
  });
}

// Verifies that a limit's shares follow demand and add up to little more than
// one whatever the demand.
TEST_CASE("Limit shares add up to the limit and its slack") {
  rc::prop("the sum is between 1 and 1 + slack", [] {
    size_t Hosts = *rc::gen::inRange<size_t>(2, 20);
    std::vector<double> Demand;
    double All = 0;
    for (size_t I = 0; I < Hosts; ++I) {
      Demand.push_back(*rc::gen::inRange(0, 100));
      All += Demand.back();
    }
    double Sum = 0;
    for (double Mine : Demand)
      Sum += limitShare(Mine, PeerDemand{All - Mine, Hosts, true, {}});
    RC_ASSERT(Sum <= 1 + GuaranteedLimitShare + 1e-9);
    RC_ASSERT(All == 0 || Sum >= 1 - 1e-9);
  });
}

// Verifies that a demand which rises on all hosts at once gets even parts until
// it was heard of, and that one which moves follows at once.
TEST_CASE("Limit shares are even while a demand is new to the fleet") {
  PeerDemand Unheard{0, 8, true, at(0)};
  CHECK(cappedLimitShare(50, at(10), Unheard, at(11)) == 1.0 / 8);
  PeerDemand Partly{50, 8, true, at(10.5)};
  CHECK(cappedLimitShare(50, at(10), Partly, at(11)) == 1.0 / 8);
  CHECK(cappedLimitShare(50, at(10), Unheard, at(20)) == 1.0);
  PeerDemand Moving{50, 8, true, at(0)};
  CHECK(cappedLimitShare(150, at(10), Moving, at(11)) == 0.75);
}

// Verifies that addresses put the caller's place first and leave out hosts
// that leave or are silent.
TEST_CASE("Entry addresses leave out leaving and silent hosts") {
  FleetTimes Times;
  FleetView View = viewOf(4, 0, at(100));
  View.Members[HostId("h1")].LatestRecord.Leaving = true;
  hear(View, HostId("h2"), at(10));
  View.Members[HostId("h3")].LatestRecord.Detail.Place = PlaceId("near");
  std::vector<EntryAddress> Found =
      entryAddresses(View, PlaceId("near"), Times, at(101));
  REQUIRE(Found.size() == 2);
  CHECK(Found[0].Host == HostId("h3"));
  CHECK(Found[1].Host == HostId("h0"));
}

// Verifies that a message survives its encoding and that hostile text makes
// neither a crash nor a member.
TEST_CASE("Gossip messages survive encoding and hostile text") {
  FleetView View = viewOf(3, 9, at(5));
  MemberDetail &Detail = View.Members[View.Self].LatestRecord.Detail;
  Detail.Demand.push_back(WorkspaceDemand{WorkspaceId("w"), 2.5});
  Detail.Trips.push_back(
      VersionTrip{VersionKey{ModelId("m"), VersionId("v")}, "run", "why"});
  GossipMessage Read =
      gossipFromJson(gossipToJson(openExchange(View, at(6), 0)));
  REQUIRE(Read.Cores.size() == 3);
  CHECK(Read.Cores.front().MemberRecord.Applied == Offset(9));
  CHECK(Read.Cores.front().Age.Estimated == absl::Seconds(1));
  REQUIRE(Read.Details.size() == 1);
  CHECK(Read.Details.front().Content.Demand.front().RequestsPerSecond == 2.5);
  CHECK(Read.Details.front().Content.Trips.front().Run == "run");
  rc::prop("any text is a message or none", [] {
    std::string Text = *rc::gen::arbitrary<std::string>();
    int Number = *rc::gen::arbitrary<int>();
    absl::StatusOr<Json::Value> Value =
        parseJson("{\"cores\":[[\"h\"," + std::to_string(Number) +
                  ",1,-5,0,0,0,0,0,0],[1],{}," + (Text.empty() ? "0" : "[]") +
                  "],\"details\":[{\"h\":\"x\",\"a\":\"y\"}]}");
    RC_ASSERT(Value.ok());
    GossipMessage Heard = gossipFromJson(*Value);
    for (const GossipMessage::Core &Each : Heard.Cores)
      RC_ASSERT(Each.Age.Estimated >= absl::ZeroDuration());
    RC_ASSERT(Heard.Details.empty());
    absl::StatusOr<Json::Value> Odd = parseJson(Text);
    if (Odd.ok())
      gossipFromJson(*Odd);
  });
}

} // namespace
} // namespace berylramp
