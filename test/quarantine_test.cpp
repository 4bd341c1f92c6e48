//===- quarantine_test.cpp - Prompt segments that end engines -------------===//

#include "berylramp/quarantine.h"

#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

Instant at(double Seconds) { return Instant{absl::Seconds(Seconds)}; }

constexpr uint64_t Bad = 99;

} // namespace

TEST_CASE("A segment that takes part in each of three crashes is quarantined") {
  PromptQuarantine Quarantine;
  CHECK_FALSE(Quarantine.onCrash({1, {7, Bad}}, at(1)));
  CHECK_FALSE(Quarantine.onCrash({2, {8, Bad}}, at(2)));
  CHECK(Quarantine.refusedFor({Bad}, at(2)) == absl::ZeroDuration());
  CHECK(Quarantine.onCrash({3, {7, Bad}}, at(3)) == Bad);
  CHECK(Quarantine.refusedFor({5, Bad}, at(3)) > absl::Minutes(1));
  CHECK(Quarantine.refusedFor({7}, at(3)) == absl::ZeroDuration());
  CHECK_FALSE(Quarantine.isSuspect({7}));
}

TEST_CASE("A segment that is answered between crashes is not quarantined") {
  PromptQuarantine Quarantine;
  for (int Round = 1; Round < 20; ++Round) {
    CHECK_FALSE(
        Quarantine.onCrash({static_cast<uint64_t>(Round), {7}}, at(Round)));
    Quarantine.onAnswered({7}, at(Round + 0.5));
  }
}

TEST_CASE("An answer to a request from before the first crash proves nothing") {
  PromptQuarantine Quarantine;
  Quarantine.onCrash({1, {Bad}}, at(1));
  Quarantine.onAnswered({Bad}, at(0.9));
  Quarantine.onCrash({2, {Bad}}, at(2));
  CHECK(Quarantine.onCrash({3, {Bad}}, at(3)) == Bad);
}

TEST_CASE("Of segments that always occur together the last one is quarantined "
          "first") {
  PromptQuarantine Quarantine;
  for (int Round = 1; Round < 5; ++Round)
    CHECK_FALSE(Quarantine.onCrash({static_cast<uint64_t>(Round), {7, Bad}},
                                   at(Round)));
  CHECK(Quarantine.onCrash({5, {7, Bad}}, at(5)) == Bad);
  CHECK(Quarantine.refusedFor({7}, at(5)) == absl::ZeroDuration());
}

TEST_CASE("Replicas that end at the same time count once") {
  PromptQuarantine Quarantine;
  for (uint64_t Replica = 1; Replica < 20; ++Replica)
    CHECK_FALSE(Quarantine.onCrash(
        {Replica, {7}}, at(1 + 0.01 * static_cast<double>(Replica))));
}

TEST_CASE("Failures of one replica alone quarantine nothing") {
  PromptQuarantine Quarantine;
  for (int Round = 1; Round < 20; ++Round)
    CHECK_FALSE(Quarantine.onCrash({1, {7}}, at(Round)));
}

TEST_CASE("A quarantine ends, and one crash renews it") {
  PromptQuarantine Quarantine;
  CHECK(Quarantine.add(Bad, at(0)));
  CHECK_FALSE(Quarantine.add(Bad, at(1)));
  CHECK(Quarantine.refusedFor({Bad}, at(3600)) <= absl::ZeroDuration());
  CHECK(Quarantine.onCrash({1, {Bad}}, at(3600)) == Bad);
  CHECK(Quarantine.refusedFor({Bad}, at(3601)) > absl::ZeroDuration());
  Quarantine.release(Bad);
  CHECK(Quarantine.refusedFor({Bad}, at(3601)) == absl::ZeroDuration());
}
