//===- rollout_controller_test.cpp - Roll-outs in progress ----------------===//

#include "rollout_controller.h"

#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

PeerState makeHost(uint32_t Ip) {
  PeerState State;
  State.Ip = Ip;
  State.Place = PlaceId("a1");
  State.Ready = true;
  return State;
}

struct RolloutControllerFixture {
  RolloutControllerFixture()
      : Peers(makeHost(1)), Controller({0.15, 30}, this->ports()) {}

  RolloutController::Ports ports() {
    RolloutController::Ports Callbacks;
    Callbacks.WriteState = [this](const RolloutOrder &, RolloutState State,
                                  const AppendCallback &Done) {
      this->WrittenStates.push_back(State);
      Done(this->WriteResult);
    };
    Callbacks.NotifyPeers = [this] { this->NotifyCount += 1; };
    Callbacks.WriterRank = [this] { return this->Rank; };
    Callbacks.Now = [this] { return Instant{absl::Seconds(this->Seconds)}; };
    Callbacks.CountReplicas = [this](const ServiceId &, const VersionId &) {
      return std::make_pair(this->TargetReplicaCount, this->OtherReplicaCount);
    };
    return Callbacks;
  }

  void tickAt(double At) {
    this->Seconds = At;
    this->Peers.self().Rollouts = this->Controller.reports();
    this->Controller.tick(this->Peers);
  }

  void recordOutcomes(const char *Version, bool Good, int Count) {
    AnswerObservation Observation;
    Observation.Service = this->Service;
    Observation.Version = VersionId(Version);
    Observation.Route = "route";
    Observation.Event = Good ? AnswerEvent::FirstByte : AnswerEvent::Failure;
    Observation.Time = absl::Milliseconds(100);
    for (int Index = 0; Index < Count; ++Index)
      this->Controller.observe(Observation);
  }

  const ServiceId Service{"s"};
  PeerTable Peers;
  double Seconds = 10;
  int Rank = 0;
  size_t TargetReplicaCount = 3;
  size_t OtherReplicaCount = 3;
  int NotifyCount = 0;
  absl::Status WriteResult;
  std::vector<RolloutState> WrittenStates;
  RolloutController Controller;
};

const RolloutOrder Order{ServiceId("s"), VersionId("v2"), absl::Seconds(20)};

} // namespace

TEST_CASE_METHOD(RolloutControllerFixture,
                 "Without an order every version serves") {
  CHECK(this->Controller.versionFor(this->Service, 0.5).Target.empty());
}

TEST_CASE_METHOD(RolloutControllerFixture,
                 "A session keeps its version in the first half") {
  this->Controller.onOrder(Order);
  this->tickAt(10);
  bool Low = this->Controller.versionFor(this->Service, 0.001).RequireTarget;
  bool High = this->Controller.versionFor(this->Service, 0.9).RequireTarget;
  CHECK(Low);
  CHECK_FALSE(High);
  this->recordOutcomes("v2", true, 20);
  this->recordOutcomes("v1", true, 200);
  this->tickAt(19);
  CHECK(this->Controller.versionFor(this->Service, 0.001).RequireTarget);
  CHECK_FALSE(this->Controller.versionFor(this->Service, 0.9).RequireTarget);
  // What the target may still receive lasts for less than two seconds.
  this->tickAt(29);
  CHECK(this->Controller.versionFor(this->Service, 0.9).RequireTarget);
}

TEST_CASE_METHOD(RolloutControllerFixture,
                 "A tripped target gets no requests and is reverted") {
  this->Controller.onOrder(Order);
  this->Controller.onStateRecorded(this->Service, VersionId("v2"),
                                   RolloutState::InProgress);
  this->recordOutcomes("v2", false, 5);
  this->recordOutcomes("v1", true, 50);
  this->tickAt(11);
  CHECK(this->NotifyCount == 1);
  CHECK_FALSE(this->Controller.versionFor(this->Service, 0.0001).RequireTarget);
  REQUIRE(this->WrittenStates.size() == 1);
  CHECK(this->WrittenStates[0] == RolloutState::Reverted);
}

TEST_CASE_METHOD(RolloutControllerFixture, "An end state is never changed") {
  this->Controller.onOrder(Order);
  this->Controller.onStateRecorded(this->Service, VersionId("v2"),
                                   RolloutState::Reverted);
  this->Controller.onStateRecorded(this->Service, VersionId("v2"),
                                   RolloutState::Complete);
  this->Controller.onStateRecorded(this->Service, VersionId("v2"),
                                   RolloutState::InProgress);
  this->tickAt(40);
  CHECK(this->WrittenStates.empty());
  CHECK_FALSE(this->Controller.versionFor(this->Service, 0.0001).RequireTarget);
}

TEST_CASE_METHOD(RolloutControllerFixture,
                 "A host with a higher writer rank delays its write") {
  this->Rank = 2;
  this->Controller.onOrder(Order);
  this->tickAt(10);
  CHECK(this->WrittenStates.empty());
  this->tickAt(11);
  CHECK(this->WrittenStates.size() == 1);
}

TEST_CASE_METHOD(RolloutControllerFixture,
                 "A second driver keeps the recorded end state") {
  this->Controller.onOrder(Order);
  this->WriteResult =
      absl::FailedPreconditionError("another host wrote the state");
  this->tickAt(10.3);
  this->recordOutcomes("v1", true, 100);
  this->recordOutcomes("v2", false, 40);
  this->tickAt(11);
  // The other driver had evidence of a good target and recorded the end state.
  this->Controller.onStateRecorded(this->Service, VersionId("v2"),
                                   RolloutState::Complete);
  size_t Before = this->WrittenStates.size();
  this->WriteResult = absl::OkStatus();
  this->tickAt(12);
  this->tickAt(40);
  CHECK(this->WrittenStates.size() == Before);
}

TEST_CASE_METHOD(RolloutControllerFixture,
                 "A driver that was paused still completes the roll-out") {
  this->Controller.onOrder(Order);
  this->tickAt(10.3);
  this->recordOutcomes("v1", true, 400);
  this->recordOutcomes("v2", true, 12);
  this->tickAt(12);
  // The driver did not run for most of the order's time limit.
  this->tickAt(28.5);
  this->tickAt(29.9);
  REQUIRE_FALSE(this->WrittenStates.empty());
  CHECK(this->WrittenStates.back() == RolloutState::Complete);
}

TEST_CASE_METHOD(RolloutControllerFixture,
                 "A state that the store lost is written again once") {
  this->Controller.onOrder(Order);
  this->Controller.onStateRecorded(this->Service, Order.Target,
                                   RolloutState::Complete);
  this->tickAt(12);
  CHECK(this->WrittenStates.empty());
  SECTION("the store has no state") {
    this->Controller.compareWithStore(this->Service, std::nullopt);
  }
  SECTION("the store has an earlier state") {
    this->Controller.compareWithStore(this->Service, RolloutState::InProgress);
  }
  // The recorded end state stays in force meanwhile.
  CHECK(this->Controller.versionFor(this->Service, 0.9).RequireTarget);
  this->tickAt(13);
  CHECK(this->WrittenStates ==
        std::vector<RolloutState>{RolloutState::Complete});
  this->Controller.onStateRecorded(this->Service, Order.Target,
                                   RolloutState::Complete);
  this->tickAt(14);
  CHECK(this->WrittenStates.size() == 1);
}

TEST_CASE_METHOD(RolloutControllerFixture, "A failed write is retried") {
  this->WriteResult = absl::UnavailableError("store unavailable");
  this->Controller.onOrder(Order);
  this->tickAt(10);
  this->tickAt(11);
  CHECK(this->WrittenStates.size() == 2);
}

TEST_CASE_METHOD(RolloutControllerFixture,
                 "The target serves when no other version is left") {
  this->Controller.onOrder(Order);
  this->OtherReplicaCount = 0;
  this->tickAt(10);
  CHECK(this->Controller.versionFor(this->Service, 0.9).RequireTarget);
}

TEST_CASE_METHOD(
    RolloutControllerFixture,
    "A host that starts late gets elapsed time and plan from peers") {
  this->Controller.onOrder(Order);
  PeerState Other = makeHost(2);
  RolloutReport Report = this->Controller.reports()[0];
  Report.ElapsedMs = 19500;
  Report.FullTrafficMs = 18500;
  Report.Target[0] = {50, 0, 2500, 2400};
  Report.Others = {500, 0};
  Other.Rollouts = {Report};
  PeerTable Sender(Other);
  REQUIRE(this->Peers.merge(Sender.encode(Instant{absl::Seconds(10)}),
                            Instant{absl::Seconds(10)}));
  this->tickAt(10.5);
  CHECK(this->Controller.versionFor(this->Service, 0.9).RequireTarget);
}
