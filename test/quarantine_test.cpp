//===- quarantine_test.cpp - Requests that end replicas -------------------===//

#include "berylramp/quarantine.h"

#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

Instant at(double Seconds) { return Instant{absl::Seconds(Seconds)}; }

constexpr uint64_t Bad = 99;

/// A crash under a request of its own.
InputCrash crashOf(uint64_t Replica, std::vector<uint64_t> Segments) {
  static uint64_t LastIdentity = 1000;
  LastIdentity += 1;
  return {Replica, {std::move(Segments), LastIdentity}};
}

RequestInput inputOf(std::vector<uint64_t> Segments) {
  return {std::move(Segments), 500};
}

} // namespace

TEST_CASE("A segment that takes part in each of three crashes is quarantined") {
  InputQuarantine Quarantine;
  CHECK_FALSE(Quarantine.onCrash(crashOf(1, {7, Bad}), at(1)));
  CHECK_FALSE(Quarantine.onCrash(crashOf(2, {8, Bad}), at(2)));
  CHECK(Quarantine.refusedFor(inputOf({Bad}), at(2)) == absl::ZeroDuration());
  CHECK(Quarantine.onCrash(crashOf(3, {7, Bad}), at(3)) == Bad);
  CHECK(Quarantine.refusedFor(inputOf({5, Bad}), at(3)) > absl::Minutes(1));
  CHECK(Quarantine.refusedFor(inputOf({7}), at(3)) == absl::ZeroDuration());
  CHECK_FALSE(Quarantine.isSuspect(inputOf({7})));
}

TEST_CASE("A segment that is answered between crashes is not quarantined") {
  InputQuarantine Quarantine;
  for (int Round = 1; Round < 20; ++Round) {
    CHECK_FALSE(Quarantine.onCrash(crashOf(static_cast<uint64_t>(Round), {7}),
                                   at(Round)));
    Quarantine.onAnswered(inputOf({7}), at(Round + 0.5));
  }
}

TEST_CASE("An answer to a request from before the first crash proves nothing") {
  InputQuarantine Quarantine;
  Quarantine.onCrash(crashOf(1, {Bad}), at(1));
  Quarantine.onAnswered(inputOf({Bad}), at(0.9));
  Quarantine.onCrash(crashOf(2, {Bad}), at(2));
  CHECK(Quarantine.onCrash(crashOf(3, {Bad}), at(3)) == Bad);
}

TEST_CASE("Of segments that always occur together the last one is quarantined "
          "first") {
  InputQuarantine Quarantine;
  for (int Round = 1; Round < 5; ++Round)
    CHECK_FALSE(Quarantine.onCrash(
        crashOf(static_cast<uint64_t>(Round), {7, Bad}), at(Round)));
  CHECK(Quarantine.onCrash(crashOf(5, {7, Bad}), at(5)) == Bad);
  CHECK(Quarantine.refusedFor(inputOf({7}), at(5)) == absl::ZeroDuration());
}

TEST_CASE("Replicas that end at the same time count once") {
  InputQuarantine Quarantine;
  for (uint64_t Replica = 1; Replica < 20; ++Replica)
    CHECK_FALSE(Quarantine.onCrash(
        crashOf(Replica, {7}), at(1 + 0.01 * static_cast<double>(Replica))));
}

TEST_CASE("Failures of one replica alone quarantine nothing") {
  InputQuarantine Quarantine;
  for (int Round = 1; Round < 20; ++Round)
    CHECK_FALSE(Quarantine.onCrash(crashOf(1, {7}), at(Round)));
}

TEST_CASE("A quarantine ends, and one crash renews it") {
  InputQuarantine Quarantine;
  CHECK(Quarantine.add(Bad, at(0)));
  CHECK_FALSE(Quarantine.add(Bad, at(1)));
  CHECK(Quarantine.refusedFor(inputOf({Bad}), at(3600)) <=
        absl::ZeroDuration());
  CHECK(Quarantine.onCrash(crashOf(1, {Bad}), at(3600)) == Bad);
  CHECK(Quarantine.refusedFor(inputOf({Bad}), at(3601)) > absl::ZeroDuration());
  Quarantine.release(Bad);
  CHECK(Quarantine.refusedFor(inputOf({Bad}), at(3601)) ==
        absl::ZeroDuration());
}

// Guards against requests that end replica after replica.
TEST_CASE("A request under which three replicas ended is quarantined") {
  InputQuarantine Quarantine;
  RequestInput Deadly{{7}, 11};
  CHECK_FALSE(Quarantine.onCrash({1, Deadly}, at(1)));
  CHECK_FALSE(Quarantine.onCrash({1, Deadly}, at(1.01)));
  CHECK_FALSE(Quarantine.onCrash({2, Deadly}, at(1.1)));
  CHECK(Quarantine.isSuspect(Deadly));
  CHECK(Quarantine.onCrash({3, Deadly}, at(1.2)) == Deadly.Identity);
  CHECK(Quarantine.refusedFor(Deadly, at(1.2)) > absl::Minutes(1));
  CHECK(Quarantine.refusedFor({{7}, 12}, at(1.2)) == absl::ZeroDuration());
}

TEST_CASE("A segment of several requests that end replicas is quarantined") {
  InputQuarantine Quarantine;
  for (uint64_t Replica = 1; Replica <= 3; ++Replica)
    Quarantine.onCrash({Replica, {{Bad}, 11}},
                       at(static_cast<double>(Replica)));
  CHECK(Quarantine.onCrash({4, {{Bad}, 12}}, at(4)) == Bad);
}

TEST_CASE("A request that is answered in between is not quarantined") {
  InputQuarantine Quarantine;
  for (int Round = 1; Round < 20; ++Round) {
    CHECK_FALSE(Quarantine.onCrash({static_cast<uint64_t>(Round), {{}, 11}},
                                   at(Round)));
    Quarantine.onAnswered({{}, 11}, at(Round + 0.5));
  }
}
