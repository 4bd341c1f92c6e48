//===- edge_cold_test.cpp - Replicas that return cold ---------------------===//

#include "edge_fixture.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

/// Requests per second that a cold replica tolerates, and the operators' bound
/// on those in any one second.
constexpr double ColdPerSecond = 4;
constexpr double ColdBound = 1.5 * ColdPerSecond + 5;
constexpr absl::Duration ColdTime = absl::Seconds(4);
/// Hosts take no part of a limit in the first seconds after their start.
constexpr absl::Duration SettleTime = absl::Seconds(3);

/// Two hosts and two plain replicas that end when they receive too much while
/// they are cold.
struct ColdFixture : TwoHostFixture {
  ColdFixture() {
    std::string Table = absl::StrReplaceAll(
        standin::sampleTable(50, {"key-1", "key-2"}),
        {{R"("name":"plain")",
          absl::StrCat(R"("name":"plain","coldStartS":3.0,"coldPerS":)",
                       ColdPerSecond)}});
    this->Store->put("keyed.op", "config", Table);
    this->startSecond(true);
    this->runFor(SettleTime);
  }

  void turnCold() {
    for (const auto &Replica : this->PlainReplicas) {
      Replica->ColdUntil = this->Timer.now() + ColdTime;
      Replica->ColdBound = ColdBound;
    }
    this->putReplicas();
  }

  bool bothKnow(int ColdReplicas) const {
    std::string Line = absl::StrCat("berylramp_replicas_cold ", ColdReplicas);
    return absl::StrContains(this->Daemon->metricsText(), Line) &&
           absl::StrContains(this->Second->metricsText(), Line);
  }

  /// Sends a request to each host at each \p Interval; returns the callers.
  std::vector<std::unique_ptr<RawCaller>> offer(absl::Duration Interval,
                                                absl::Duration Time) {
    std::vector<std::unique_ptr<RawCaller>> Callers;
    Instant End = this->Timer.now() + Time;
    while (this->Timer.now() < End) {
      for (const Endpoint &Host :
           {this->callerEndpoint(), this->SecondConfig.Callers}) {
        this->Count += 1;
        Callers.push_back(std::make_unique<RawCaller>(this->Loop, Host));
        Callers.back()->send(makeRequest(
            "/safe/a", absl::StrCat("c", this->Count), "", "x", "key-1"));
      }
      this->runFor(Interval);
    }
    return Callers;
  }

  int Count = 0;
};

int64_t answered(const std::vector<std::unique_ptr<RawCaller>> &Callers,
                 int Status) {
  return std::count_if(Callers.begin(), Callers.end(), [&](const auto &Caller) {
    return Caller->status() == Status;
  });
}

} // namespace

// Guards against a herd that ends replicas as soon as they return.
TEST_CASE_METHOD(ColdFixture, "Replicas that return cold survive the requests "
                              "that wait for them") {
  this->turnCold();
  REQUIRE(this->runUntil([&] { return this->bothKnow(2); }));
  auto Callers = this->offer(absl::Milliseconds(10), absl::Seconds(2));
  for (const auto &Replica : this->PlainReplicas)
    CHECK(Replica->Crashes == 0);
  CHECK(answered(Callers, 200) > 0);
  CHECK(answered(Callers, 503) > 0);
  // A refused request was sent to no replica, and states when to come again.
  for (const auto &Caller : Callers) {
    if (Caller->status() == 503)
      CHECK(absl::StrContains(Caller->received(), "Retry-After"));
  }
  REQUIRE(this->runUntil([&] { return this->bothKnow(0); }));
  Callers = this->offer(absl::Milliseconds(50), absl::Seconds(1));
  this->runFor(absl::Seconds(1));
  CHECK(answered(Callers, 200) == static_cast<int64_t>(Callers.size()));
}

TEST_CASE_METHOD(ColdFixture, "Answers that state a work time are accepted") {
  for (const auto &Replica : this->PlainReplicas)
    Replica->WorkPercent = "250";
  auto Callers = this->offer(absl::Milliseconds(50), absl::Milliseconds(500));
  this->runFor(absl::Seconds(1));
  CHECK(answered(Callers, 200) == static_cast<int64_t>(Callers.size()));
}
