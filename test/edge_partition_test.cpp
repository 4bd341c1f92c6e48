//===- edge_partition_test.cpp - Hosts cut off from replicas --------------===//

#include "partition_fixture.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

/// Time after the start of a cut, or of its end, from which on all callers are
/// to be served.
constexpr absl::Duration SettleTime = absl::Seconds(1);

Partition anyPartition() {
  return GENERATE(Partition::Silent, Partition::OneWay, Partition::Reset,
                  Partition::RefusesNew);
}

} // namespace

// Callers of a host without a path to any replica were refused for the whole
// cut.
TEST_CASE_METHOD(
    PartitionFixture,
    "A host that is cut off from all replicas serves its callers") {
  Partition Kind = anyPartition();
  CAPTURE(static_cast<int>(Kind));
  this->sendFor(absl::Milliseconds(500));
  this->cut(0, Kind);
  this->sendFor(SettleTime);
  Instant Settled = this->Timer.now();
  this->sendFor(absl::Seconds(2));
  this->awaitAnswers();
  for (size_t Host = 0; Host < this->Hosts.size(); ++Host) {
    CAPTURE(Host);
    CHECK(this->count(Host, Settled, /*Served=*/false) == 0);
    CHECK(this->count(Host, Settled, /*Served=*/true) > 30);
  }
}

// Streams that a host's own cut broke convicted prompts on all hosts.
TEST_CASE_METHOD(PartitionFixture,
                 "A cut of one host quarantines no input on any host") {
  for (const auto &Engine : this->Engines) {
    Engine->EventCount = 20;
    Engine->EventInterval = absl::Milliseconds(20);
  }
  for (int Series = 0; Series < 6; ++Series) {
    this->sendFor(absl::Milliseconds(300), {0, 1});
    for (size_t Host : {0, 1})
      this->cut(Host, Partition::Reset);
    this->sendFor(absl::Milliseconds(300), {0, 1});
    for (size_t Host : {0, 1})
      this->heal(Host);
  }
  this->runFor(SettleTime);
  Instant Settled = this->Timer.now();
  this->sendFor(absl::Seconds(1));
  this->awaitAnswers();
  for (const Sent &Request : this->Requests)
    CHECK_FALSE(
        absl::StrContains(Request.Caller->received(), "input_quarantined"));
  for (size_t Host = 0; Host < this->Hosts.size(); ++Host) {
    CAPTURE(Host);
    CHECK(this->count(Host, Settled, /*Served=*/false) == 0);
  }
}
