//===- edge_dispatch_test.cpp - Requests that wait for room ---------------===//

#include "edge_fixture.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "berylramp/json.h"
#include <catch2/catch.hpp>
#include <json/reader.h>

using namespace berylramp;

namespace {

/// A host whose plain service has two routes of different priority and two
/// slots, which hold requests for as long as a test needs.
struct DispatchFixture : EdgeFixture {
  DispatchFixture() {
    Json::Value Table;
    REQUIRE(Json::Reader().parse(standin::sampleTable(1, {"key-1"}), Table));
    for (Json::Value &Route : Table["routes"]) {
      Route["priority"] = Route["name"] == "once" ? 2 : 0;
      Route["sloMs"] = 2000;
    }
    this->Store->put("keyed.op", "config", writeJson(Table));
    for (const auto &Plain : this->PlainReplicas)
      Plain->Slots = 1;
    this->putReplicas();
    this->start();
    this->awaitReady(this->Config.Ready);
  }

  /// Takes all slots with urgent requests, then sends a less urgent one.
  void fill(absl::Duration Time) {
    for (const auto &Plain : this->PlainReplicas)
      Plain->ProcessingTime = Time;
    for (int Index = 0; Index < 2; ++Index)
      this->send("/safe/a", absl::StrCat("urgent", Index));
    REQUIRE(this->runUntil([&] {
      return this->PlainReplicas[0]->ArrivedRequests +
                 this->PlainReplicas[1]->ArrivedRequests >=
             2;
    }));
    this->send("/once/a", "batch");
    REQUIRE(this->runUntil([&] { return this->waiting() == 1; }));
  }

  void send(const std::string &Path, const std::string &Id) {
    this->Callers.emplace_back(this->Loop, this->callerEndpoint());
    this->Callers.back().send(makeRequest(Path, Id, "", "x", "key-1"));
  }

  int waiting() const {
    return absl::StrContains(this->Daemon->metricsText(),
                             "requests_waiting 1\n")
               ? 1
               : 0;
  }

  std::vector<RawCaller> Callers;
};

} // namespace

TEST_CASE_METHOD(DispatchFixture,
                 "A less urgent request waits for room and is served once") {
  this->fill(absl::Milliseconds(300));
  this->send("/safe/a", "late-urgent");
  REQUIRE(this->runUntil([&] { return this->Callers[3].hasCompleteAnswer(); }));
  CHECK(this->Callers[3].status() == 200);
  REQUIRE(this->runUntil([&] { return this->Callers[2].hasCompleteAnswer(); }));
  CHECK(this->Callers[2].status() == 200);
  CHECK(this->runCount("batch") == 1);
  CHECK(this->waiting() == 0);
}

TEST_CASE_METHOD(DispatchFixture, "A caller that leaves stops waiting") {
  this->fill(absl::Milliseconds(400));
  this->Callers[2].close();
  CHECK(this->runUntil([&] { return this->waiting() == 0; }));
  REQUIRE(this->runUntil([&] { return this->Callers[1].hasCompleteAnswer(); }));
  this->runFor(absl::Milliseconds(200));
  CHECK(this->runCount("batch") == 0);
}

TEST_CASE_METHOD(DispatchFixture,
                 "A stop ends the wait with a refusal that nothing was run") {
  this->fill(absl::Seconds(2));
  this->Daemon->stop([] {});
  REQUIRE(this->runUntil([&] { return this->Callers[2].hasCompleteAnswer(); }));
  bool Refused = this->Callers[2].status() == 503;
  CHECK((Refused || this->Callers[2].status() == 200));
  CHECK(this->runCount("batch") == (Refused ? 0 : 1));
}
