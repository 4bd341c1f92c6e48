//===- edge_reader_loss_test.cpp - Loss of the hosts that read the store --===//

#include "partition_fixture.h"

#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

using boost::asio::ip::tcp;

/// The time that operators allow until an acknowledged table is in force.
constexpr absl::Duration TableTime = absl::Milliseconds(2500);

/// Three hosts of one region; the two that read the store first can lose power.
struct ReaderLossFixture : PartitionFixture {
  /// Ends a host; connections to it hang from then on.
  void losePower(size_t HostIndex) {
    this->endHost(HostIndex);
    const HostConfig &Lost = this->Hosts[HostIndex].Config;
    auto Address = boost::asio::ip::make_address_v4(Lost.Ip);
    this->Silent.emplace_back(
        this->Loop,
        tcp::endpoint(Address, static_cast<uint16_t>(Lost.Peers.Port)));
  }
  /// Starts all but the last host with a store of their own.
  void separateStores() {
    REQUIRE(this->OtherStore.listen().ok());
    this->OtherStore.put("keyed.op", "config",
                         standin::sampleTable(1, {"key-1"}));
    for (const auto &Group : {this->Engines, this->PlainReplicas})
      for (const auto &Target : Group)
        this->OtherStore.put("keyed.servers", Target->id(),
                             Target->entry("ready", "v1"));
    for (size_t Index = 0; Index + 1 < this->Hosts.size(); ++Index) {
      this->Hosts[Index].Config.Store = this->OtherStore.address();
      this->startHost(Index);
      this->awaitReady(this->Hosts[Index].Config.Ready);
    }
    this->runFor(absl::Seconds(3));
  }
  /// The time until the last host refuses the key that a new table drops.
  absl::Duration timeToRefuse(const std::string &Key) {
    Instant Written = this->Timer.now();
    for (int Number = 0;; ++Number) {
      Instant SentAt = this->Timer.now();
      RawCaller Caller(this->Loop, this->Hosts.back().Config.Callers);
      Caller.send(EdgeFixture::makeRequest("/safe/a", absl::StrCat("r", Number),
                                           "", "x", Key));
      REQUIRE(this->runUntil([&] { return Caller.hasCompleteAnswer(); }));
      if (Caller.status() == 401)
        return SentAt - Written;
      this->runFor(absl::Milliseconds(20));
    }
  }

  std::vector<tcp::acceptor> Silent;
  standin::Store OtherStore{this->Loop, this->Timer};
};

} // namespace

// A host whose region's readers lost power ran requests with a key for 3.4 s
// after a table without it was acknowledged (review/3).
TEST_CASE_METHOD(ReaderLossFixture,
                 "A host that is left alone learns of a table in time") {
  // The phase of the host's reads at the loss decides how late it is.
  absl::Duration Phase = absl::Milliseconds(GENERATE(0, 150, 300, 450));
  this->runFor(absl::Seconds(1) + Phase);
  this->losePower(0);
  this->losePower(1);
  this->putTable(2, {"key-2"});
  CHECK(this->timeToRefuse("key-1") < TableTime);
}

TEST_CASE_METHOD(ReaderLossFixture, "A host that is left alone learns of a "
                                    "table that is written later in time") {
  this->losePower(0);
  this->losePower(1);
  absl::Duration Later = absl::Milliseconds(GENERATE(1300, 2100, 2600));
  this->runFor(Later);
  this->putTable(2, {"key-2"});
  CHECK(this->timeToRefuse("key-1") < TableTime);
}

// The reader answers, but the store does not serve it any more.
TEST_CASE_METHOD(ReaderLossFixture,
                 "A host whose reader has old records learns of a table in "
                 "time") {
  this->separateStores();
  absl::Duration Phase = absl::Milliseconds(GENERATE(0, 150, 300, 450));
  this->runFor(Phase);
  this->OtherStore.Behavior = standin::StoreBehavior::Silent;
  this->putTable(2, {"key-2"});
  CHECK(this->timeToRefuse("key-1") < TableTime);
}
