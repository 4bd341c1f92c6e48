//===- edge_rollout_test.cpp - Roll-outs through the daemon ---------------===//

#include "edge_fixture.h"
#include "forwarding.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;
using standin::ReplicaBehavior;

TEST_CASE_METHOD(ServingFixture,
                 "A bad version is reverted and gets no more requests") {
  auto Bad = std::make_shared<standin::Replica>(this->Loop, this->Timer,
                                                "engine-9", "engine", "zone-a");
  REQUIRE(Bad->listen().ok());
  Bad->Behavior = ReplicaBehavior::Fails;
  this->Store->put("keyed.servers", Bad->id(), Bad->entry("ready", "v2"));
  this->Store->put("keyed.op", "rollout/engine",
                   R"({"service":"engine","target":"v2","durationS":60})");
  int RequestCount = 0;
  CHECK(this->runUntil(
      [&] {
        RequestCount += 1;
        this->call("/stream/a", absl::StrCat("s", RequestCount));
        return absl::StrContains(
            this->Store->newest("keyed.status", "rollout/engine"), "reverted");
      },
      absl::Seconds(60)));
  size_t Before = Bad->ExecutedRequests.size();
  for (int Index = 0; Index < 50; ++Index)
    this->call("/stream/a", absl::StrCat("after", Index));
  CHECK(Bad->ExecutedRequests.size() == Before);
}

// Guards against a version that is kept although its streams are several times
// slower: their first events come in time.
TEST_CASE_METHOD(
    ServingFixture,
    "A version whose streams are slow between events is reverted") {
  auto Slow = std::make_shared<standin::Replica>(
      this->Loop, this->Timer, "engine-9", "engine", "zone-a");
  REQUIRE(Slow->listen().ok());
  Slow->EventInterval = absl::Milliseconds(60);
  this->Store->put("keyed.servers", Slow->id(), Slow->entry("ready", "v2"));
  this->Store->put("keyed.op", "rollout/engine",
                   R"({"service":"engine","target":"v2","durationS":60})");
  REQUIRE(this->runUntil([&] {
    return absl::StrContains(
        this->Store->newest("keyed.status", "rollout/engine"), "in_progress");
  }));
  for (int Count = 0; Count < 40; ++Count)
    this->call("/stream/a", absl::StrCat("usual", Count));
  // Request ids that the canary share sends to the target.
  constexpr double CanaryDraw = 0.01;
  int Id = 0;
  auto NextTargetId = [&] {
    std::string Text;
    do {
      Id += 1;
      Text = absl::StrCat("target", Id);
    } while (hashToUnitInterval(absl::StrCat("version/", Text)) > CanaryDraw);
    return Text;
  };
  constexpr size_t MaxSlowAnswers = 40;
  CHECK(this->runUntil([&] {
    this->call("/stream/a", NextTargetId());
    return Slow->ExecutedRequests.size() > MaxSlowAnswers ||
           absl::StrContains(
               this->Store->newest("keyed.status", "rollout/engine"),
               "reverted");
  }));
  CHECK(Slow->ExecutedRequests.size() <= MaxSlowAnswers);
}

TEST_CASE_METHOD(ServingFixture, "A good version completes") {
  auto Good = std::make_shared<standin::Replica>(
      this->Loop, this->Timer, "engine-9", "engine", "zone-a");
  REQUIRE(Good->listen().ok());
  this->Store->put("keyed.servers", Good->id(), Good->entry("ready", "v2"));
  this->Store->put("keyed.op", "rollout/engine",
                   R"({"service":"engine","target":"v2","durationS":6})");
  int RequestCount = 0;
  bool IsComplete = this->runUntil(
      [&] {
        RequestCount += 1;
        this->call("/stream/a", absl::StrCat("s", RequestCount));
        return absl::StrContains(
            this->Store->newest("keyed.status", "rollout/engine"), "complete");
      },
      absl::Seconds(60));
  CAPTURE(RequestCount, Good->ExecutedRequests.size(),
          this->Store->newest("keyed.status", "rollout/engine"));
  CHECK(IsComplete);
}

// Guards against a request that is bound to the version it started on, which is
// gone when the roll-out completes.
TEST_CASE_METHOD(ServingFixture,
                 "A stream of the old version resumes at the new one after the "
                 "roll-out completed") {
  auto Target = std::make_shared<standin::Replica>(
      this->Loop, this->Timer, "engine-9", "engine", "zone-a");
  REQUIRE(Target->listen().ok());
  this->Store->put("keyed.servers", Target->id(), Target->entry("ready", "v2"));
  this->Store->put("keyed.op", "rollout/engine",
                   R"({"service":"engine","target":"v2","durationS":60})");
  REQUIRE(this->runUntil([&] {
    return absl::StrContains(
        this->Store->newest("keyed.status", "rollout/engine"), "in_progress");
  }));
  RawCaller Caller(this->Loop, this->callerEndpoint());
  Caller.send(makeRequest("/stream/long", "long-1", "", "x", "key-1"));
  REQUIRE(this->runUntil(
      [&] { return absl::StrContains(Caller.received(), "3 of long-1"); }));
  REQUIRE(Target->ExecutedRequests.empty());
  this->Store->put("keyed.status", "rollout/engine",
                   R"({"state":"complete","target":"v2"})");
  this->runFor(absl::Milliseconds(600));
  for (const auto &Old : this->Engines) {
    Old->EventsBeforeCut = 1;
    Old->Behavior = ReplicaBehavior::RefusesAsFull;
  }
  CHECK(this->runUntil([&] { return Caller.hasCompleteAnswer(); }));
  CHECK(Target->ExecutedRequests.size() == 1);
}

TEST_CASE_METHOD(EdgeFixture,
                 "A host that starts after a roll-out keeps its end state") {
  this->putTable(1, {"key-1"});
  this->putReplicas();
  this->Store->put("keyed.op", "rollout/engine",
                   R"({"service":"engine","target":"v2","durationS":60})");
  this->Store->put("keyed.status", "rollout/engine",
                   R"({"state":"complete","target":"v2"})");
  for (const auto &Instance : this->Engines)
    this->Store->put("keyed.servers", Instance->id(),
                     Instance->entry("ready", "v2"));
  this->start();
  CHECK(this->runUntil(
      [&] { return this->call("/stream/a", "s1").status() == 200; }));
  this->runFor(absl::Seconds(2));
  CHECK(absl::StrContains(this->Store->newest("keyed.status", "rollout/engine"),
                          "complete"));
}
