//===- edge_parts_test.cpp - Directory, record book, roll-out desk --------===//

#include "directory.h"
#include "record_book.h"
#include "rollout_desk.h"

#include <catch2/catch.hpp>

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
  B.Store = StoreUse::Reads;
  CHECK(chooseReader({&A, &B, &C}, 9) == 2);
  C.Store = StoreUse::Reads;
  CHECK(chooseReader({&C, &B, &A}, 9) == 2);
}

TEST_CASE("Hosts that read the store write states before others") {
  PeerState A = hostOf(1, "a1");
  PeerState B = hostOf(2, "a1");
  CHECK(writesBefore(A, B));
  CHECK_FALSE(writesBefore(B, A));
  B.Store = StoreUse::Reads;
  CHECK(writesBefore(B, A));
  CHECK_FALSE(writesBefore(A, B));
}

TEST_CASE("A host that the store does not serve reads for nobody") {
  PeerState A = hostOf(1, "a1");
  PeerState B = hostOf(2, "a1");
  A.Ready = true;
  B.Ready = true;
  A.Store = StoreUse::Away;
  CHECK(chooseReader({&A, &B}, 9) == 2);
  B.Leaving = true;
  CHECK(chooseReader({&A, &B}, 9) == 9);
}

TEST_CASE("A peer gets what changed since it asked") {
  RecordBook Book(Incarnation(1));
  Book.put(StoreTopic::Operators, {"t", "one"});
  Book.put(StoreTopic::Replicas, {"r", "up"});
  PeerRecords First = Book.since({});
  CHECK(First.Whole);
  CHECK(First.Operators.size() == 1);
  CHECK(Book.since(First.Mark).Replicas.empty());
  Book.put(StoreTopic::Replicas, {"r", std::nullopt});
  PeerRecords Next = Book.since(First.Mark);
  CHECK_FALSE(Next.Whole);
  REQUIRE(Next.Replicas.size() == 1);
  CHECK_FALSE(Next.Replicas[0].Value.has_value());
  CHECK(Next.Operators.empty());
  CHECK(Book.since({Incarnation(9), 99}).Whole);
  CHECK(Book.since({Incarnation(9), 99}).Replicas.empty());
}

TEST_CASE("A peer with entries as new gets none of them again") {
  RecordBook Book(Incarnation(1));
  Book.put(StoreTopic::Operators, {"t", "one"});
  Book.put(StoreTopic::Replicas, {"r", "up"});
  PeerQuery Query;
  Query.OwnAge = absl::Milliseconds(700);
  PeerRecords Out = Book.answer(Query, absl::Milliseconds(300));
  CHECK(Out.ReplicasLeftOut);
  CHECK(Out.Replicas.empty());
  CHECK(Out.Operators.size() == 1);
  Query.Since = Out.Mark;
  Book.put(StoreTopic::Replicas, {"s", "up"});
  Out = Book.answer(Query, absl::Milliseconds(300));
  CHECK_FALSE(Out.ReplicasLeftOut);
  CHECK(Out.Replicas.size() == 1);
}

TEST_CASE("A peer that has nothing, or old entries, gets all of them") {
  RecordBook Book(Incarnation(1));
  Book.put(StoreTopic::Replicas, {"r", "up"});
  PeerQuery Query;
  if (GENERATE(true, false))
    Query.OwnAge = absl::Seconds(9);
  PeerRecords Out = Book.answer(Query, absl::Milliseconds(300));
  CHECK_FALSE(Out.ReplicasLeftOut);
  CHECK(Out.Replicas.size() == 1);
}

TEST_CASE("A query for records goes both ways") {
  PeerQuery Query;
  Query.Since = {Incarnation(7), 12};
  Query.OwnAge = absl::Milliseconds(450);
  PeerQuery Back = decodePeerQuery(encodePeerQuery(Query));
  CHECK(Back.Since.Life == Query.Since.Life);
  CHECK(Back.Since.Sequence == 12);
  CHECK(Back.OwnAge == Query.OwnAge);
  CHECK(decodePeerQuery(PeerRecordsPath).OwnAge == absl::InfiniteDuration());
}

TEST_CASE("A peer's records go both ways") {
  RecordBook Book(Incarnation(3));
  Book.put(StoreTopic::RolloutStates, {"k", "v"});
  Book.put(StoreTopic::Replicas, {"gone", std::nullopt});
  PeerRecords Out = Book.since({Incarnation(3), 0});
  Out.Age = absl::Milliseconds(70);
  Out.ReplicasLeftOut = true;
  Out.ReplicasNext = Offset(41);
  auto Back = decodePeerRecords(encodePeerRecords(Out));
  REQUIRE(Back.ok());
  CHECK(Back->Mark.Sequence == 2);
  CHECK(Back->States.size() == 1);
  CHECK_FALSE(Back->Replicas[0].Value.has_value());
  CHECK(Back->Age == absl::Milliseconds(70));
  CHECK(Back->ReplicasLeftOut);
  CHECK(Back->ReplicasNext == Offset(41));
  CHECK_FALSE(decodePeerRecords("{}").ok());
}

namespace {

struct DeskFixture {
  DeskFixture() : View(hostOf(1, "a1")), Desk({0.15, 30}, this->ports()) {}

  RolloutDesk::Ports ports() {
    RolloutDesk::Ports Out;
    Out.Write = [this](const RolloutOrder &, RolloutState State,
                       const AppendDone &Done) {
      this->Written.push_back(State);
      Done(this->WriteResult);
    };
    Out.Urge = [this] { this->Urged += 1; };
    Out.Rank = [this] { return this->Rank; };
    Out.Now = [this] { return Instant{absl::Seconds(this->Seconds)}; };
    Out.Replicas = [this](const ServiceId &, const VersionId &) {
      return std::make_pair(this->Targets, this->Others);
    };
    return Out;
  }

  void tickAt(double At) {
    this->Seconds = At;
    this->View.self().Rollouts = this->Desk.notes();
    this->Desk.tick(this->View);
  }

  void judge(const char *Version, bool Good, int Count) {
    for (int Index = 0; Index < Count; ++Index)
      this->Desk.judge(Service, VersionId(Version), Good,
                       absl::Milliseconds(100));
  }

  const ServiceId Service{"s"};
  PeerView View;
  double Seconds = 10;
  int Rank = 0;
  size_t Targets = 3;
  size_t Others = 3;
  int Urged = 0;
  absl::Status WriteResult;
  std::vector<RolloutState> Written;
  RolloutDesk Desk;
};

const RolloutOrder Order{ServiceId("s"), VersionId("v2"), absl::Seconds(20)};

} // namespace

TEST_CASE_METHOD(DeskFixture, "Without an order every version serves") {
  CHECK(this->Desk.versionFor(this->Service, 0.5).Target.empty());
}

TEST_CASE_METHOD(DeskFixture, "A session keeps its side in the first half") {
  this->Desk.ordered(Order);
  this->tickAt(10);
  bool Low = this->Desk.versionFor(this->Service, 0.001).ToTarget;
  bool High = this->Desk.versionFor(this->Service, 0.9).ToTarget;
  CHECK(Low);
  CHECK_FALSE(High);
  this->judge("v2", true, 20);
  this->judge("v1", true, 200);
  this->tickAt(19);
  CHECK(this->Desk.versionFor(this->Service, 0.001).ToTarget);
  CHECK_FALSE(this->Desk.versionFor(this->Service, 0.9).ToTarget);
  this->tickAt(21);
  CHECK(this->Desk.versionFor(this->Service, 0.9).ToTarget);
}

TEST_CASE_METHOD(DeskFixture, "A tripped target gets nothing and is recorded") {
  this->Desk.ordered(Order);
  this->Desk.recorded(this->Service, VersionId("v2"), RolloutState::InProgress);
  this->judge("v2", false, 5);
  this->judge("v1", true, 50);
  this->tickAt(11);
  CHECK(this->Urged == 1);
  CHECK_FALSE(this->Desk.versionFor(this->Service, 0.0001).ToTarget);
  REQUIRE(this->Written.size() == 1);
  CHECK(this->Written[0] == RolloutState::Reverted);
}

TEST_CASE_METHOD(DeskFixture, "An end state is never taken back") {
  this->Desk.ordered(Order);
  this->Desk.recorded(this->Service, VersionId("v2"), RolloutState::Reverted);
  this->Desk.recorded(this->Service, VersionId("v2"), RolloutState::Complete);
  this->Desk.recorded(this->Service, VersionId("v2"), RolloutState::InProgress);
  this->tickAt(40);
  CHECK(this->Written.empty());
  CHECK_FALSE(this->Desk.versionFor(this->Service, 0.0001).ToTarget);
}

TEST_CASE_METHOD(DeskFixture, "A later host waits before it writes") {
  this->Rank = 2;
  this->Desk.ordered(Order);
  this->tickAt(10);
  CHECK(this->Written.empty());
  this->tickAt(11);
  CHECK(this->Written.size() == 1);
}

TEST_CASE_METHOD(DeskFixture, "A failed write is tried again") {
  this->WriteResult = absl::UnavailableError("away");
  this->Desk.ordered(Order);
  this->tickAt(10);
  this->tickAt(11);
  CHECK(this->Written.size() == 2);
}

TEST_CASE_METHOD(DeskFixture,
                 "The target serves when no other version is left") {
  this->Desk.ordered(Order);
  this->Others = 0;
  this->tickAt(10);
  CHECK(this->Desk.versionFor(this->Service, 0.9).ToTarget);
}

TEST_CASE_METHOD(DeskFixture, "A host that starts late learns the age") {
  this->Desk.ordered(Order);
  PeerState Other = hostOf(2, "a1");
  RolloutNote Note = this->Desk.notes()[0];
  Note.ElapsedMs = 15000;
  Note.Target = {50, 0, 5000};
  Note.Others = {500, 0, 50000};
  Other.Rollouts = {Note};
  PeerView Sender(Other);
  REQUIRE(this->View.merge(Sender.encode(Instant{absl::Seconds(10)}),
                           Instant{absl::Seconds(10)}));
  this->tickAt(10.5);
  CHECK(this->Desk.versionFor(this->Service, 0.9).ToTarget);
}
