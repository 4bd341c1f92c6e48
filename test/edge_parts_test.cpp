//===- edge_parts_test.cpp - Directory, record book, roll-out desk --------===//

#include "directory.h"
#include "record_cache.h"
#include "rollout_controller.h"

#include "absl/strings/str_cat.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace berylramp;

namespace {

PeerState hostOf(uint32_t Ip, const std::string &Place) {
  PeerState State;
  State.Ip = Ip;
  State.Place = PlaceId(Place);
  State.Ready = true;
  return State;
}

const std::map<PlaceId, std::string> Regions = {
    {PlaceId("a1"), "a"}, {PlaceId("a2"), "a"}, {PlaceId("b1"), "b"}};

std::vector<uint32_t> toldTo(const std::string &Place,
                             const std::string &Region,
                             const std::vector<PeerState> &Hosts) {
  DirectoryQuery Query;
  Query.Place = PlaceId(Place);
  Query.Region = Region;
  Query.Regions = &Regions;
  return hostsFor(Query, Hosts);
}

} // namespace

TEST_CASE("Callers are told the hosts of their data centre") {
  CHECK(
      toldTo("a1", "a", {hostOf(1, "a1"), hostOf(2, "a1"), hostOf(3, "b1")}) ==
      std::vector<uint32_t>{1, 2});
}

TEST_CASE("A single near host is not enough") {
  CHECK(
      toldTo("a1", "a", {hostOf(1, "a1"), hostOf(2, "a2"), hostOf(3, "b1")}) ==
      std::vector<uint32_t>{1, 2});
  CHECK(toldTo("a1", "a", {hostOf(1, "a1"), hostOf(3, "b1")}).size() == 2);
}

TEST_CASE("Hosts that leave or are not ready are not told") {
  PeerState Leaving = hostOf(1, "a1");
  Leaving.Leaving = true;
  PeerState Starting = hostOf(2, "a1");
  Starting.Ready = false;
  CHECK(toldTo("a1", "a", {Leaving, Starting, hostOf(3, "b1")}) ==
        std::vector<uint32_t>{3});
}

TEST_CASE("The host that reads for a region keeps to it") {
  PeerState A = hostOf(1, "a1");
  PeerState B = hostOf(2, "a1");
  PeerState C = hostOf(3, "a1");
  for (PeerState *Each : {&A, &B, &C})
    Each->Ready = true;
  CHECK(chooseReader({&A, &B, &C}, 9) == 1);
  B.Store = StoreRole::Reader;
  CHECK(chooseReader({&A, &B, &C}, 9) == 2);
  C.Store = StoreRole::Reader;
  CHECK(chooseReader({&C, &B, &A}, 9) == 2);
}

TEST_CASE("Hosts that read the store write states before others") {
  PeerState A = hostOf(1, "a1");
  PeerState B = hostOf(2, "a1");
  CHECK(writesBefore(A, B));
  CHECK_FALSE(writesBefore(B, A));
  B.Store = StoreRole::Reader;
  CHECK(writesBefore(B, A));
  CHECK_FALSE(writesBefore(A, B));
}

TEST_CASE("A host that the store does not serve reads for nobody") {
  PeerState A = hostOf(1, "a1");
  PeerState B = hostOf(2, "a1");
  A.Ready = true;
  B.Ready = true;
  A.Store = StoreRole::Unreachable;
  CHECK(chooseReader({&A, &B}, 9) == 2);
  B.Leaving = true;
  CHECK(chooseReader({&A, &B}, 9) == 9);
}

TEST_CASE("A peer gets what changed behind the offset it has reached") {
  RecordCache Book;
  StoreTopic Topic = StoreTopic::Replicas;
  Book.put(Topic, {"r", "up"}, Offset(10));
  Book.advance(Topic, Offset(10), true);
  Book.put(Topic, {"s", "up"}, Offset(14));
  Book.put(Topic, {"r", std::nullopt}, Offset(17));
  Book.advance(Topic, Offset(17), false);
  RecordBatch Some = Book.since(Topic, Offset(14));
  CHECK_FALSE(Some.IsSnapshot);
  CHECK(Some.Next == Offset(17));
  REQUIRE(Some.Records.size() == 1);
  CHECK_FALSE(Some.Records[0].Value.has_value());
  CHECK(Book.since(Topic, Offset(12)).Records.size() == 2);
  CHECK(Book.since(Topic, Offset(17)).Records.empty());
}

TEST_CASE("A peer that is further back than the book gets all keys") {
  RecordCache Book;
  StoreTopic Topic = StoreTopic::Replicas;
  CHECK(Book.since(Topic, NoOffset).Next == NoOffset);
  Book.put(Topic, {"r", "up"}, Offset(10));
  Book.advance(Topic, Offset(10), true);
  Book.put(Topic, {"s", std::nullopt}, Offset(12));
  Book.advance(Topic, Offset(12), false);
  Offset From(GENERATE(-1, 9));
  CAPTURE(From.count());
  RecordBatch All = Book.since(Topic, From);
  CHECK(All.IsSnapshot);
  CHECK(All.Next == Offset(12));
  REQUIRE(All.Records.size() == 1);
  CHECK(All.Records[0].Key == "r");
}

TEST_CASE("A host that goes on at any peer ends with the same keys") {
  rc::prop("for any order of changes and peers", [] {
    StoreTopic Topic = StoreTopic::Replicas;
    std::map<std::string, std::string> Truth;
    std::vector<std::pair<StoreRecord, Offset>> Log;
    std::vector<RecordCache> Peers(2);
    std::vector<size_t> Read(Peers.size(), 0);
    std::map<std::string, std::string> Host;
    Offset Reached = NoOffset;
    for (auto &Each : Peers)
      Each.advance(Topic, Offset(0), true);
    int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      int What = *rc::gen::inRange(0, 4);
      auto Which = static_cast<size_t>(*rc::gen::inRange(0, 2));
      if (What == 0) {
        StoreRecord Made{absl::StrCat("k", *rc::gen::inRange(0, 4)),
                         std::nullopt};
        if (*rc::gen::arbitrary<bool>())
          Made.Value = absl::StrCat("v", Step);
        Log.emplace_back(Made, Offset(static_cast<int64_t>(Log.size()) + 1));
        continue;
      }
      if (What == 1) {
        Offset End(static_cast<int64_t>(Log.size()));
        for (; Read[Which] < Log.size(); ++Read[Which])
          Peers[Which].put(Topic, Log[Read[Which]].first, End);
        Peers[Which].advance(Topic, End, false);
        continue;
      }
      RecordBatch Got = Peers[Which].since(Topic, Reached);
      if (Got.Next < Reached)
        continue;
      if (Got.IsSnapshot)
        Host.clear();
      for (const StoreRecord &Each : Got.Records) {
        Host.erase(Each.Key);
        if (Each.Value)
          Host[Each.Key] = *Each.Value;
      }
      Reached = Got.Next;
      Truth.clear();
      for (const auto &[Record, End] : Log) {
        if (End > Reached)
          break;
        Truth.erase(Record.Key);
        if (Record.Value)
          Truth[Record.Key] = *Record.Value;
      }
      RC_ASSERT(Host == Truth);
    }
  });
}

TEST_CASE("A peer's records go both ways") {
  PeerRecords Out;
  Out.States = {Offset(4), true, {{"k", "v"}}};
  Out.Replicas = {Offset(41), false, {{"gone", std::nullopt}}};
  Out.Age = absl::Milliseconds(70);
  auto Back = decodePeerRecords(encodePeerRecords(Out));
  REQUIRE(Back.ok());
  CHECK(Back->Operators.Next == NoOffset);
  CHECK(Back->States.IsSnapshot);
  CHECK(Back->States.Records.size() == 1);
  CHECK(Back->Replicas.Next == Offset(41));
  CHECK_FALSE(Back->Replicas.Records[0].Value.has_value());
  CHECK(Back->Age == absl::Milliseconds(70));
  CHECK_FALSE(decodePeerRecords("{}").ok());
}

TEST_CASE("A query for records goes both ways") {
  PeerQuery Query =
      decodePeerQuery(encodePeerQuery({Offset(7), NoOffset, Offset(12)}));
  CHECK(Query.Operators == Offset(7));
  CHECK(Query.States == NoOffset);
  CHECK(Query.Replicas == Offset(12));
  CHECK(decodePeerQuery("/peer/records?replicas=x").Replicas == NoOffset);
}

namespace {

struct DeskFixture {
  DeskFixture() : View(hostOf(1, "a1")), Desk({0.15, 30}, this->ports()) {}

  RolloutController::Ports ports() {
    RolloutController::Ports Out;
    Out.WriteState = [this](const RolloutOrder &, RolloutState State,
                            const AppendCallback &Done) {
      this->Written.push_back(State);
      Done(this->WriteResult);
    };
    Out.NotifyPeers = [this] { this->Urged += 1; };
    Out.WriterRank = [this] { return this->Rank; };
    Out.Now = [this] { return Instant{absl::Seconds(this->Seconds)}; };
    Out.CountReplicas = [this](const ServiceId &, const VersionId &) {
      return std::make_pair(this->Targets, this->Others);
    };
    return Out;
  }

  void tickAt(double At) {
    this->Seconds = At;
    this->View.self().Rollouts = this->Desk.reports();
    this->Desk.tick(this->View);
  }

  void judge(const char *Version, bool Good, int Count) {
    for (int Index = 0; Index < Count; ++Index)
      this->Desk.recordOutcome(Service, VersionId(Version), Good,
                               absl::Milliseconds(100));
  }

  const ServiceId Service{"s"};
  PeerTable View;
  double Seconds = 10;
  int Rank = 0;
  size_t Targets = 3;
  size_t Others = 3;
  int Urged = 0;
  absl::Status WriteResult;
  std::vector<RolloutState> Written;
  RolloutController Desk;
};

const RolloutOrder Order{ServiceId("s"), VersionId("v2"), absl::Seconds(20)};

} // namespace

TEST_CASE_METHOD(DeskFixture, "Without an order every version serves") {
  CHECK(this->Desk.versionFor(this->Service, 0.5).Target.empty());
}

TEST_CASE_METHOD(DeskFixture, "A session keeps its side in the first half") {
  this->Desk.onOrder(Order);
  this->tickAt(10);
  bool Low = this->Desk.versionFor(this->Service, 0.001).RequireTarget;
  bool High = this->Desk.versionFor(this->Service, 0.9).RequireTarget;
  CHECK(Low);
  CHECK_FALSE(High);
  this->judge("v2", true, 20);
  this->judge("v1", true, 200);
  this->tickAt(19);
  CHECK(this->Desk.versionFor(this->Service, 0.001).RequireTarget);
  CHECK_FALSE(this->Desk.versionFor(this->Service, 0.9).RequireTarget);
  this->tickAt(21);
  CHECK(this->Desk.versionFor(this->Service, 0.9).RequireTarget);
}

TEST_CASE_METHOD(DeskFixture, "A tripped target gets nothing and is recorded") {
  this->Desk.onOrder(Order);
  this->Desk.onStateRecorded(this->Service, VersionId("v2"),
                             RolloutState::InProgress);
  this->judge("v2", false, 5);
  this->judge("v1", true, 50);
  this->tickAt(11);
  CHECK(this->Urged == 1);
  CHECK_FALSE(this->Desk.versionFor(this->Service, 0.0001).RequireTarget);
  REQUIRE(this->Written.size() == 1);
  CHECK(this->Written[0] == RolloutState::Reverted);
}

TEST_CASE_METHOD(DeskFixture, "An end state is never taken back") {
  this->Desk.onOrder(Order);
  this->Desk.onStateRecorded(this->Service, VersionId("v2"),
                             RolloutState::Reverted);
  this->Desk.onStateRecorded(this->Service, VersionId("v2"),
                             RolloutState::Complete);
  this->Desk.onStateRecorded(this->Service, VersionId("v2"),
                             RolloutState::InProgress);
  this->tickAt(40);
  CHECK(this->Written.empty());
  CHECK_FALSE(this->Desk.versionFor(this->Service, 0.0001).RequireTarget);
}

TEST_CASE_METHOD(DeskFixture, "A later host waits before it writes") {
  this->Rank = 2;
  this->Desk.onOrder(Order);
  this->tickAt(10);
  CHECK(this->Written.empty());
  this->tickAt(11);
  CHECK(this->Written.size() == 1);
}

TEST_CASE_METHOD(DeskFixture,
                 "Of two drivers the second keeps the first's end") {
  this->Desk.onOrder(Order);
  this->WriteResult = absl::FailedPreconditionError("another one wrote");
  this->tickAt(10.3);
  this->judge("v1", true, 100);
  this->judge("v2", false, 40);
  this->tickAt(11);
  // The other driver saw a good target; its end stands in the store.
  this->Desk.onStateRecorded(this->Service, VersionId("v2"),
                             RolloutState::Complete);
  size_t Before = this->Written.size();
  this->WriteResult = absl::OkStatus();
  this->tickAt(12);
  this->tickAt(40);
  CHECK(this->Written.size() == Before);
}

TEST_CASE_METHOD(DeskFixture, "A driver that was paused midway still ends it") {
  this->Desk.onOrder(Order);
  this->tickAt(10.3);
  this->judge("v1", true, 400);
  this->judge("v2", true, 60);
  this->tickAt(12);
  // Nothing ran here for most of the order's time.
  this->tickAt(28.5);
  REQUIRE_FALSE(this->Written.empty());
  CHECK(this->Written.back() == RolloutState::Complete);
}

TEST_CASE_METHOD(DeskFixture, "A failed write is tried again") {
  this->WriteResult = absl::UnavailableError("away");
  this->Desk.onOrder(Order);
  this->tickAt(10);
  this->tickAt(11);
  CHECK(this->Written.size() == 2);
}

TEST_CASE_METHOD(DeskFixture,
                 "The target serves when no other version is left") {
  this->Desk.onOrder(Order);
  this->Others = 0;
  this->tickAt(10);
  CHECK(this->Desk.versionFor(this->Service, 0.9).RequireTarget);
}

TEST_CASE_METHOD(DeskFixture, "A host that starts late learns the age") {
  this->Desk.onOrder(Order);
  PeerState Other = hostOf(2, "a1");
  RolloutReport Note = this->Desk.reports()[0];
  Note.ElapsedMs = 15000;
  Note.Target = {50, 0, 5000};
  Note.Others = {500, 0, 50000};
  Other.Rollouts = {Note};
  PeerTable Sender(Other);
  REQUIRE(this->View.merge(Sender.encode(Instant{absl::Seconds(10)}),
                           Instant{absl::Seconds(10)}));
  this->tickAt(10.5);
  CHECK(this->Desk.versionFor(this->Service, 0.9).RequireTarget);
}
