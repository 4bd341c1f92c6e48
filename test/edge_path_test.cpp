//===- edge_path_test.cpp - Requests through the daemon -------------------===//

#include "edge_fixture.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;
using standin::ReplicaBehavior;

namespace {

/// A daemon that serves.
struct ServingFixture : EdgeFixture {
  ServingFixture() {
    this->putTable(1, {"key-1"});
    this->putReplicas();
    this->start();
    REQUIRE(this->until([&] {
      RawCaller Probe(this->Loop, this->Facts.Ready);
      Probe.send("GET /berylramp/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
      this->until([&] { return Probe.answered() || Probe.ended(); });
      return Probe.status() == 200;
    }));
  }

  void moodOfAll(ReplicaBehavior Mood) {
    for (const auto &Group : {this->Engines, this->Plains})
      for (const auto &Each : Group)
        Each->Behavior = Mood;
  }
};

int countOf(const std::string &Text, const std::string &Part) {
  int Count = 0;
  for (size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    Count += 1;
  return Count;
}

} // namespace

TEST_CASE_METHOD(ServingFixture, "A whole answer reaches the caller as made") {
  RawCaller Caller = this->call("/once/a?b=c", "r1", "", "order");
  CHECK(Caller.status() == 200);
  CHECK(absl::EndsWith(Caller.received(), standin::Replica::bodyFor("r1")));
  CHECK(absl::StrContains(Caller.received(), "Berylramp-Replica-Signature"));
  REQUIRE(this->runsOf("r1") == 1);
}

TEST_CASE_METHOD(ServingFixture, "A replica sees the workspace, not the key") {
  this->call("/once/a?b=c", "r1",
             "Berylramp-Tenant: forged\r\nBerylramp-Retain: h\r\n", "order");
  std::vector<standin::ExecutedRequest> Runs =
      this->Plains[0]->ExecutedRequests;
  Runs.insert(Runs.end(), this->Plains[1]->ExecutedRequests.begin(),
              this->Plains[1]->ExecutedRequests.end());
  REQUIRE(Runs.size() == 1);
  CHECK(Runs[0].Workspace == "w1");
  CHECK_FALSE(Runs[0].HasAuthorization);
  CHECK(Runs[0].Path == "POST /once/a?b=c HTTP/1.1");
  CHECK(Runs[0].Body == "order");
  CHECK(Runs[0].DeadlineMs <= 3000);
}

TEST_CASE_METHOD(ServingFixture, "Unknown keys and routes are refused") {
  CHECK(this->call("/once/a", "r1", "", "x", "stranger").status() == 401);
  CHECK(this->call("/nowhere/", "r2").status() == 404);
  CHECK(this->runsOf("r1") + this->runsOf("r2") == 0);
}

TEST_CASE_METHOD(ServingFixture, "A stream is relayed in order and whole") {
  RawCaller Caller = this->call("/stream/a", "s1");
  CHECK(Caller.status() == 200);
  CHECK(countOf(Caller.received(), "data: ") == 5);
  CHECK(Caller.answered());
}

TEST_CASE_METHOD(ServingFixture, "A stream that is cut goes on elsewhere") {
  for (const auto &Each : this->Engines)
    Each->EventsBeforeCut = 3;
  RawCaller Caller = this->call("/stream/a", "s1");
  CHECK(Caller.answered());
  for (int Id = 1; Id <= 5; ++Id)
    CHECK(countOf(Caller.received(), absl::StrCat("id: ", Id, "\n")) == 1);
  CHECK(this->runsOf("s1") == 2);
}

TEST_CASE_METHOD(ServingFixture,
                 "A stream that cannot go on does not look complete") {
  for (const auto &Each : this->Engines) {
    Each->EventCount = 50;
    Each->EventsBeforeCut = 1;
  }
  RawCaller Caller = this->call("/stream/a", "s1");
  CHECK_FALSE(Caller.answered());
  CHECK(Caller.ended());
  CHECK(this->runsOf("s1") == 3);
}

TEST_CASE_METHOD(ServingFixture, "An unsure small model gives way") {
  for (const auto &Each : this->Engines)
    Each->Confidence = 5;
  RawCaller Caller = this->call("/stream/a", "s1");
  CHECK(Caller.answered());
  std::vector<std::string> Models;
  for (const auto &Each : this->Engines)
    for (const standin::ExecutedRequest &Made : Each->ExecutedRequests)
      Models.push_back(Made.Model);
  std::sort(Models.begin(), Models.end());
  CHECK(Models == std::vector<std::string>{"large", "small"});
  CHECK(countOf(Caller.received(), "data: ") == 5);
}

TEST_CASE_METHOD(ServingFixture, "A sure small model's answer is kept") {
  this->call("/stream/a", "s1");
  CHECK(this->runsOf("s1") == 1);
}

TEST_CASE_METHOD(ServingFixture,
                 "A request that may run once is never sent again in doubt") {
  auto Mood =
      GENERATE(ReplicaBehavior::ResetsAfterRun, ReplicaBehavior::Truncates,
               ReplicaBehavior::CrossesAnswers, ReplicaBehavior::Unsigned);
  this->moodOfAll(Mood);
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(this->runsOf("r1") == 1);
  CHECK(Caller.status() == 502);
}

TEST_CASE_METHOD(ServingFixture, "A refusal that says not run is true") {
  auto Mood =
      GENERATE(ReplicaBehavior::RefusesAsFull, ReplicaBehavior::Misdirects);
  this->moodOfAll(Mood);
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(Caller.status() == 503);
  CHECK(absl::StrContains(Caller.received(), "Retry-After"));
  CHECK(this->runsOf("r1") == 0);
}

TEST_CASE_METHOD(ServingFixture, "A replica's own failure is passed on") {
  this->moodOfAll(ReplicaBehavior::Fails);
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(Caller.status() == 500);
  CHECK(absl::EndsWith(Caller.received(), "oops"));
  CHECK(this->runsOf("r1") == 1);
}

TEST_CASE_METHOD(ServingFixture, "A safe request is repeated elsewhere") {
  this->Plains[0]->Behavior = ReplicaBehavior::Fails;
  this->Plains[1]->Behavior = ReplicaBehavior::Answers;
  for (int Index = 0; Index < 4; ++Index) {
    std::string Id = absl::StrCat("r", Index);
    RawCaller Caller = this->call("/safe/a", Id);
    CAPTURE(Caller.received());
    CHECK(Caller.status() == 200);
    CHECK(this->runsOf(Id) <= 2);
  }
}

TEST_CASE_METHOD(ServingFixture,
                 "A broken whole answer never reaches the caller as whole") {
  auto Mood =
      GENERATE(ReplicaBehavior::Truncates, ReplicaBehavior::CrossesAnswers,
               ReplicaBehavior::Unsigned, ReplicaBehavior::ResetsAfterRun);
  this->moodOfAll(Mood);
  RawCaller Caller = this->call("/safe/a", "r1");
  CHECK(Caller.status() == 502);
  CHECK(this->runsOf("r1") == 2);
}

TEST_CASE_METHOD(
    ServingFixture,
    "A second answer spoils the connection, not the next request") {
  this->moodOfAll(ReplicaBehavior::DuplicatesAnswer);
  for (int Index = 0; Index < 6; ++Index) {
    std::string Id = absl::StrCat("r", Index);
    RawCaller Caller = this->call("/safe/a", Id);
    CHECK(Caller.status() == 200);
    CHECK(absl::EndsWith(Caller.received(), standin::Replica::bodyFor(Id)));
  }
}

TEST_CASE_METHOD(ServingFixture, "An answer without a length is relayed") {
  this->moodOfAll(ReplicaBehavior::Unframed);
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(Caller.status() == 200);
  CHECK(absl::EndsWith(Caller.received(), standin::Replica::bodyFor("r1")));
}

TEST_CASE_METHOD(ServingFixture, "A silent replica ends at the deadline") {
  this->moodOfAll(ReplicaBehavior::Hangs);
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(Caller.status() == 504);
  CHECK(this->runsOf("r1") == 1);
}

TEST_CASE_METHOD(ServingFixture, "A caller that leaves cancels its run") {
  this->moodOfAll(ReplicaBehavior::Hangs);
  RawCaller Caller(this->Loop, this->callers());
  Caller.send(request("/stream/a", "s1", "", "x", "key-1"));
  REQUIRE(this->until([&] { return this->runsOf("s1") == 1; }));
  Caller.close();
  CHECK(this->until([&] {
    return this->Engines[0]->CancelledRequests +
               this->Engines[1]->CancelledRequests ==
           1;
  }));
}

TEST_CASE_METHOD(ServingFixture, "A kept connection serves many requests") {
  RawCaller Caller(this->Loop, this->callers());
  for (int Index = 0; Index < 3; ++Index)
    Caller.send(request("/once/a", absl::StrCat("r", Index), "", "x", "key-1"));
  CHECK(this->until(
      [&] { return countOf(Caller.received(), "HTTP/1.1 200") == 3; }));
  size_t First = Caller.received().find("answer to r0");
  size_t Last = Caller.received().find("answer to r2");
  CHECK(First < Last);
}

TEST_CASE_METHOD(ServingFixture, "Limits on requests are answered in form") {
  RawCaller Long(this->Loop, this->callers());
  Long.send("POST /once/a HTTP/1.1\r\nHost: api.test\r\nX: " +
            std::string(9000, 'x') + "\r\n\r\n");
  CHECK(this->until([&] { return Long.answered(); }));
  CHECK(Long.status() == 431);
  RawCaller Big(this->Loop, this->callers());
  Big.send("POST /once/a HTTP/1.1\r\nHost: api.test\r\nContent-Length: "
           "200000\r\n\r\n");
  CHECK(this->until([&] { return Big.answered(); }));
  CHECK(Big.status() == 413);
  RawCaller Bad(this->Loop, this->callers());
  Bad.send("nonsense\r\n\r\n");
  CHECK(this->until([&] { return Bad.answered(); }));
  CHECK(Bad.status() == 400);
  RawCaller Slow(this->Loop, this->callers());
  Slow.send("POST /once/a HTTP/1.1\r\n");
  CHECK(this->until([&] { return Slow.answered(); }));
  CHECK(Slow.status() == 408);
}

TEST_CASE_METHOD(ServingFixture, "A request hidden in another is refused") {
  RawCaller Caller(this->Loop, this->callers());
  Caller.send("POST /once/a HTTP/1.1\r\nHost: api.test\r\n"
              "Authorization: Token key-1\r\nBerylramp-Attempt-Id: r1\r\n"
              "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\n\r\nPOST /once/b HTTP/1.1\r\nHost: api.test\r\n\r\n");
  CHECK(this->until([&] { return Caller.answered() || Caller.ended(); }));
  CHECK(this->runsOf("r1") == 0);
  CHECK(Caller.status() == 400);
}

TEST_CASE_METHOD(ServingFixture, "A chunked body arrives unchanged") {
  RawCaller Caller(this->Loop, this->callers());
  Caller.send("POST /once/a HTTP/1.1\r\nHost: api.test\r\n"
              "Authorization: Token key-1\r\nBerylramp-Attempt-Id: r1\r\n"
              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n");
  this->runFor(absl::Milliseconds(20));
  Caller.send("0\r\n\r\n");
  CHECK(this->until([&] { return Caller.answered(); }));
  REQUIRE(this->runsOf("r1") == 1);
  const auto &Runs = this->Plains[0]->ExecutedRequests.empty()
                         ? this->Plains[1]->ExecutedRequests
                         : this->Plains[0]->ExecutedRequests;
  CHECK(Runs[0].Body == "abcde");
}

TEST_CASE_METHOD(ServingFixture, "A newer table is in force, an older never") {
  this->putTable(5, {"key-2"});
  CHECK(this->until([&] {
    return this->call("/once/a", "probe", "", "x", "key-2").status() == 200;
  }));
  CHECK(this->call("/once/a", "r1", "", "x", "key-1").status() == 401);
  this->putTable(3, {"key-1"});
  this->runFor(absl::Milliseconds(200));
  CHECK(this->call("/once/a", "r2", "", "x", "key-1").status() == 401);
}

TEST_CASE_METHOD(ServingFixture,
                 "A table is in force in time though waiting reads miss it") {
  this->Store->Behavior = standin::StoreBehavior::DelaysReads;
  this->runFor(absl::Seconds(2));
  this->putTable(5, {"key-2"});
  CHECK(this->until([&] {
    return this->call("/once/a", "probe", "", "x", "key-2").status() == 200;
  }));
  // Of the 2.5 s that the operators allow, a read that misses the record and
  // the question of another host to this one take 0.5 s each at most.
  CHECK(this->Store->MaxWaitMs["keyed.op"] <= 1500);
}

TEST_CASE_METHOD(ServingFixture, "A forgotten history is read anew") {
  this->Store->put("keyed.op", "note", "{}");
  this->putTable(7, {"key-7"});
  this->Store->compact("keyed.op");
  this->Store->compact("keyed.servers");
  CHECK(this->until([&] {
    return this->call("/once/a", "probe", "", "x", "key-7").status() == 200;
  }));
}

TEST_CASE_METHOD(ServingFixture, "A draining replica gets nothing new") {
  this->Store->put("keyed.servers", "plain-0",
                   this->Plains[0]->entry("draining", "v1"));
  this->runFor(absl::Seconds(2));
  size_t Before = this->Plains[0]->ExecutedRequests.size();
  for (int Index = 0; Index < 6; ++Index)
    CHECK(this->call("/once/a", absl::StrCat("r", Index)).status() == 200);
  CHECK(this->Plains[0]->ExecutedRequests.size() == Before);
}

TEST_CASE_METHOD(ServingFixture, "A replica without a record gets nothing") {
  this->Store->put("keyed.servers", "plain-0", std::nullopt);
  this->runFor(absl::Seconds(2));
  size_t Before = this->Plains[0]->ExecutedRequests.size();
  for (int Index = 0; Index < 6; ++Index)
    CHECK(this->call("/once/a", absl::StrCat("r", Index)).status() == 200);
  CHECK(this->Plains[0]->ExecutedRequests.size() == Before);
}

TEST_CASE_METHOD(ServingFixture, "Records of other writers harm nothing") {
  this->Store->put("keyed.servers", "odd", "not json");
  this->Store->put("keyed.servers", "plain-9", R"({"service":3})");
  this->Store->put("keyed.op", "config", R"({"version":"x"})");
  this->Store->put("keyed.op", "rollout/engine", R"({"service":"engine"})");
  this->runFor(absl::Seconds(1));
  CHECK(this->call("/once/a", "r1").status() == 200);
}

TEST_CASE_METHOD(ServingFixture,
                 "Requests are served while the store is away") {
  this->Store->Behavior =
      GENERATE(standin::StoreBehavior::Refuses, standin::StoreBehavior::Silent);
  this->runFor(absl::Seconds(3));
  CHECK(this->call("/once/a", "r1").status() == 200);
  CHECK(this->call("/stream/a", "s1").answered());
}

TEST_CASE_METHOD(ServingFixture, "Callers are told the ready hosts") {
  RawCaller Caller(this->Loop, this->Facts.Directory);
  Caller.send("GET /berylramp/resolve?name=a&region=r&zone=zone-a HTTP/1.1\r\n"
              "Host: x\r\n\r\n");
  CHECK(this->until([&] { return Caller.answered(); }));
  CHECK(absl::StrContains(Caller.received(), this->callers().text()));
}

TEST_CASE_METHOD(ServingFixture, "A planned stop cuts no request") {
  for (const auto &Each : this->Engines) {
    Each->EventCount = 40;
    Each->EventInterval = absl::Milliseconds(20);
  }
  RawCaller Caller(this->Loop, this->callers());
  Caller.send(request("/stream/a", "s1", "", "x", "key-1"));
  REQUIRE(this->until([&] { return this->runsOf("s1") == 1; }));
  bool Stopped = false;
  this->Daemon->stop([&] { Stopped = true; });
  RawCaller Ready(this->Loop, this->Facts.Ready);
  Ready.send("GET /berylramp/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(this->until([&] { return Ready.answered(); }));
  CHECK(Ready.status() == 503);
  CHECK(this->call("/once/a", "r1").status() == 200);
  CHECK(this->until([&] { return Stopped; }));
  CHECK(Caller.answered());
  CHECK(countOf(Caller.received(), "data: ") == 40);
}

TEST_CASE_METHOD(EdgeFixture, "Without a table nothing is judged") {
  this->Store->Behavior = standin::StoreBehavior::Refuses;
  this->start();
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(Caller.status() == 503);
  CHECK(absl::StrContains(Caller.received(), "Retry-After"));
}

TEST_CASE_METHOD(ServingFixture, "A bad version is reverted and gets no more") {
  auto Bad = std::make_shared<standin::Replica>(this->Loop, this->Timer,
                                                "engine-9", "engine", "zone-a");
  REQUIRE(Bad->listen().ok());
  Bad->Behavior = ReplicaBehavior::Fails;
  this->Store->put("keyed.servers", Bad->id(), Bad->entry("ready", "v2"));
  this->Store->put("keyed.op", "rollout/engine",
                   R"({"service":"engine","target":"v2","durationS":60})");
  int Sent = 0;
  CHECK(this->until(
      [&] {
        Sent += 1;
        this->call("/stream/a", absl::StrCat("s", Sent));
        return absl::StrContains(
            this->Store->newest("keyed.status", "rollout/engine"), "reverted");
      },
      absl::Seconds(60)));
  size_t Before = Bad->ExecutedRequests.size();
  for (int Index = 0; Index < 50; ++Index)
    this->call("/stream/a", absl::StrCat("after", Index));
  CHECK(Bad->ExecutedRequests.size() == Before);
}

TEST_CASE_METHOD(ServingFixture, "A good version completes") {
  auto Good = std::make_shared<standin::Replica>(
      this->Loop, this->Timer, "engine-9", "engine", "zone-a");
  REQUIRE(Good->listen().ok());
  this->Store->put("keyed.servers", Good->id(), Good->entry("ready", "v2"));
  this->Store->put("keyed.op", "rollout/engine",
                   R"({"service":"engine","target":"v2","durationS":6})");
  int Sent = 0;
  CHECK(this->until(
      [&] {
        Sent += 1;
        this->call("/stream/a", absl::StrCat("s", Sent));
        return absl::StrContains(
            this->Store->newest("keyed.status", "rollout/engine"), "complete");
      },
      absl::Seconds(60)));
}

TEST_CASE_METHOD(EdgeFixture,
                 "A host that starts after the end of a roll-out keeps it") {
  this->putTable(1, {"key-1"});
  this->putReplicas();
  this->Store->put("keyed.op", "rollout/engine",
                   R"({"service":"engine","target":"v2","durationS":60})");
  this->Store->put("keyed.status", "rollout/engine",
                   R"({"state":"complete","target":"v2"})");
  for (const auto &Each : this->Engines)
    this->Store->put("keyed.servers", Each->id(), Each->entry("ready", "v2"));
  this->start();
  CHECK(this->until(
      [&] { return this->call("/stream/a", "s1").status() == 200; }));
  this->runFor(absl::Seconds(2));
  CHECK(absl::StrContains(this->Store->newest("keyed.status", "rollout/engine"),
                          "complete"));
}
