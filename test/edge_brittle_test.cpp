//===- edge_brittle_test.cpp - Replicas that end when they reject ---------===//

#include "edge_fixture.h"

#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

/// From this time after the first answer that states it on, the operators count
/// the ends of brittle replicas.
constexpr absl::Duration SettleTime = absl::Seconds(4);
/// The operators' bound: two, and a tenth of the replicas.
constexpr int64_t MaxEnds = 2;
constexpr int Slots = 4;
constexpr absl::Duration Work = absl::Milliseconds(100);

/// Two hosts and two plain replicas with few slots, which reject what exceeds
/// them and end if they do so more than once a second.
struct BrittleFixture : TwoHostFixture {
  BrittleFixture() {
    for (const auto &Replica : this->PlainReplicas) {
      Replica->Slots = Slots;
      Replica->EnforcesSlots = true;
      Replica->ProcessingTime = Work;
      Replica->CrashTime = absl::Seconds(2);
    }
    this->putReplicas();
  }

  void setBrittle(const std::string &Bound) {
    for (const auto &Replica : this->PlainReplicas)
      Replica->Brittle = Bound;
  }

  /// Sends one request to each of \p Hosts at each \p Interval.
  void offer(const std::vector<Endpoint> &Hosts, absl::Duration Interval,
             absl::Duration Time) {
    Instant End = this->Timer.now() + Time;
    while (this->Timer.now() < End) {
      for (const Endpoint &Host : Hosts) {
        this->Count += 1;
        this->Callers.push_back(std::make_unique<RawCaller>(this->Loop, Host));
        this->Callers.back()->send(makeRequest(
            "/safe/a", absl::StrCat("b", this->Count), "", "x", "key-1"));
      }
      this->runFor(Interval);
    }
  }

  int64_t ends() const {
    int64_t Sum = 0;
    for (const auto &Replica : this->PlainReplicas)
      Sum += Replica->Crashes;
    return Sum;
  }

  int served() const {
    int Sum = 0;
    for (const auto &Caller : this->Callers)
      Sum += Caller->status() == 200 ? 1 : 0;
    return Sum;
  }

  std::vector<Endpoint> bothHosts() const {
    return {this->callerEndpoint(), this->SecondConfig.Callers};
  }

  std::vector<std::unique_ptr<RawCaller>> Callers;
  int Count = 0;
};

} // namespace

// Guards against brittle replicas that end under rejections, one after another.
TEST_CASE_METHOD(BrittleFixture,
                 "Hosts leave brittle replicas room and use it") {
  this->startSecond(true);
  this->setBrittle("1");
  // Little load, so that the replicas say it without having to reject.
  this->offer(this->bothHosts(), absl::Milliseconds(100), SettleTime);
  int64_t EndsBefore = this->ends();
  this->Callers.clear();
  constexpr int Seconds = 4;
  this->offer(this->bothHosts(), absl::Milliseconds(10),
              absl::Seconds(Seconds));
  CHECK(this->ends() - EndsBefore <= MaxEnds);
  double Capacity = 2 * Slots * Seconds / absl::ToDoubleSeconds(Work);
  CHECK(this->served() >= 0.6 * Capacity);
}

TEST_CASE_METHOD(BrittleFixture,
                 "A host that starts leaves brittle replicas their room") {
  this->setBrittle("1");
  this->offer({this->callerEndpoint()}, absl::Milliseconds(100),
              absl::Seconds(1));
  this->startSecond(true);
  this->offer({this->callerEndpoint()}, absl::Milliseconds(100), SettleTime);
  int64_t EndsBefore = this->ends();
  this->offer({this->SecondConfig.Callers}, absl::Milliseconds(5),
              absl::Seconds(3));
  CHECK(this->ends() - EndsBefore <= MaxEnds);
}

TEST_CASE_METHOD(BrittleFixture,
                 "Replicas that are not brittle any more are used in full") {
  this->startSecond(true);
  this->setBrittle("1");
  this->offer(this->bothHosts(), absl::Milliseconds(100), absl::Seconds(2));
  this->setBrittle("");
  this->offer(this->bothHosts(), absl::Milliseconds(50), absl::Seconds(3));
  for (const auto &Replica : this->PlainReplicas)
    Replica->EnforcesSlots = false;
  this->Callers.clear();
  this->offer(this->bothHosts(), absl::Milliseconds(10), absl::Seconds(1));
  this->runFor(absl::Seconds(1));
  CHECK(this->served() >= this->Callers.size() * 0.95);
}
