//===- edge_path_test.cpp - Requests through the daemon -------------------===//

#include "edge_fixture.h"
#include "forwarding.h"
#include "tunnel.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;
using standin::ReplicaBehavior;

namespace {

int countOccurrences(const std::string &Text, const std::string &Pattern) {
  int Count = 0;
  for (size_t Position = Text.find(Pattern); Position != std::string::npos;
       Position = Text.find(Pattern, Position + 1))
    Count += 1;
  return Count;
}

} // namespace

TEST_CASE_METHOD(ServingFixture,
                 "A whole answer reaches the caller unchanged") {
  RawCaller Caller = this->call("/once/a?b=c", "r1", "", "order");
  CHECK(Caller.status() == 200);
  CHECK(absl::EndsWith(Caller.received(), standin::Replica::bodyFor("r1")));
  CHECK(absl::StrContains(Caller.received(), "Berylramp-Replica-Signature"));
  REQUIRE(this->runCount("r1") == 1);
}

TEST_CASE_METHOD(ServingFixture,
                 "A replica receives the workspace, not the key") {
  this->call("/once/a?b=c", "r1",
             "Berylramp-Tenant: forged\r\nBerylramp-Retain: h\r\n", "order");
  std::vector<standin::ExecutedRequest> Runs =
      this->PlainReplicas[0]->ExecutedRequests;
  Runs.insert(Runs.end(), this->PlainReplicas[1]->ExecutedRequests.begin(),
              this->PlainReplicas[1]->ExecutedRequests.end());
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
  CHECK(this->runCount("r1") + this->runCount("r2") == 0);
}

TEST_CASE_METHOD(ServingFixture, "A stream is relayed in order and whole") {
  RawCaller Caller = this->call("/stream/a", "s1");
  CHECK(Caller.status() == 200);
  CHECK(countOccurrences(Caller.received(), "data: ") == 5);
  CHECK(Caller.hasCompleteAnswer());
}

TEST_CASE_METHOD(ServingFixture, "A cut stream resumes at another replica") {
  for (const auto &Instance : this->Engines)
    Instance->EventsBeforeCut = 3;
  RawCaller Caller = this->call("/stream/a", "s1");
  CHECK(Caller.hasCompleteAnswer());
  for (int Id = 1; Id <= 5; ++Id)
    CHECK(countOccurrences(Caller.received(), absl::StrCat("id: ", Id, "\n")) ==
          1);
  CHECK(this->runCount("s1") == 2);
}

TEST_CASE_METHOD(ServingFixture,
                 "A stream that cannot be resumed does not look complete") {
  for (const auto &Instance : this->Engines) {
    Instance->EventCount = 50;
    Instance->EventsBeforeCut = 1;
  }
  RawCaller Caller = this->call("/stream/a", "s1");
  CHECK_FALSE(Caller.hasCompleteAnswer());
  CHECK(Caller.isClosed());
  CHECK(this->runCount("s1") == 3);
}

TEST_CASE_METHOD(ServingFixture,
                 "A low-confidence answer is replaced by the large model's") {
  for (const auto &Instance : this->Engines)
    Instance->Confidence = 5;
  RawCaller Caller = this->call("/stream/a", "s1");
  CHECK(Caller.hasCompleteAnswer());
  std::vector<std::string> Models;
  for (const auto &Instance : this->Engines)
    for (const standin::ExecutedRequest &Execution : Instance->ExecutedRequests)
      Models.push_back(Execution.Model);
  std::sort(Models.begin(), Models.end());
  CHECK(Models == std::vector<std::string>{"large", "small"});
  CHECK(countOccurrences(Caller.received(), "data: ") == 5);
}

TEST_CASE_METHOD(ServingFixture,
                 "A high-confidence answer of the small model is kept") {
  this->call("/stream/a", "s1");
  CHECK(this->runCount("s1") == 1);
}

TEST_CASE_METHOD(ServingFixture,
                 "A non-idempotent request of unknown outcome is not resent") {
  auto NewBehavior =
      GENERATE(ReplicaBehavior::ResetsAfterRun, ReplicaBehavior::Truncates,
               ReplicaBehavior::CrossesAnswers, ReplicaBehavior::Unsigned);
  this->setBehavior(NewBehavior);
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(this->runCount("r1") == 1);
  CHECK(Caller.status() == 502);
}

TEST_CASE_METHOD(ServingFixture,
                 "A request that every replica refuses does not run") {
  auto NewBehavior =
      GENERATE(ReplicaBehavior::RefusesAsFull, ReplicaBehavior::Misdirects);
  this->setBehavior(NewBehavior);
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(Caller.status() == 503);
  CHECK(absl::StrContains(Caller.received(), "Retry-After"));
  CHECK(this->runCount("r1") == 0);
}

TEST_CASE_METHOD(ServingFixture, "A replica's error answer is passed on") {
  this->setBehavior(ReplicaBehavior::Fails);
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(Caller.status() == 500);
  CHECK(absl::EndsWith(Caller.received(), "oops"));
  CHECK(this->runCount("r1") == 1);
}

TEST_CASE_METHOD(ServingFixture,
                 "A failed safe request is retried at another replica") {
  this->PlainReplicas[0]->Behavior = ReplicaBehavior::Fails;
  this->PlainReplicas[1]->Behavior = ReplicaBehavior::Answers;
  for (int Index = 0; Index < 4; ++Index) {
    std::string Id = absl::StrCat("r", Index);
    RawCaller Caller = this->call("/safe/a", Id);
    CAPTURE(Caller.received());
    CHECK(Caller.status() == 200);
    CHECK(this->runCount(Id) <= 2);
  }
}

TEST_CASE_METHOD(ServingFixture,
                 "A broken answer never reaches the caller as complete") {
  auto NewBehavior =
      GENERATE(ReplicaBehavior::Truncates, ReplicaBehavior::CrossesAnswers,
               ReplicaBehavior::Unsigned, ReplicaBehavior::ResetsAfterRun);
  this->setBehavior(NewBehavior);
  RawCaller Caller = this->call("/safe/a", "r1");
  CHECK(Caller.status() == 502);
  CHECK(this->runCount("r1") == 2);
}

TEST_CASE_METHOD(ServingFixture,
                 "A surplus answer never reaches the next request") {
  this->setBehavior(ReplicaBehavior::DuplicatesAnswer);
  for (int Index = 0; Index < 6; ++Index) {
    std::string Id = absl::StrCat("r", Index);
    RawCaller Caller = this->call("/safe/a", Id);
    CHECK(Caller.status() == 200);
    CHECK(absl::EndsWith(Caller.received(), standin::Replica::bodyFor(Id)));
  }
}

// Callers found the text of an error in the middle of their stream, or the end
// of the stream, when the replica that was to go on with it answered with an
// error.
TEST_CASE_METHOD(ServingFixture,
                 "An error of the next replica is no part of a stream") {
  auto Error = GENERATE(
      ReplicaBehavior::SendsErrorText, ReplicaBehavior::SendsErrorEvent,
      ReplicaBehavior::SendsNoContent, ReplicaBehavior::Fails,
      ReplicaBehavior::RefusesAfterRun, ReplicaBehavior::RefusesAsFull,
      ReplicaBehavior::Misdirects);
  CAPTURE(static_cast<int>(Error));
  for (const auto &Engine : this->Engines) {
    Engine->EventCount = 40;
    Engine->EventsBeforeCut = 5;
    Engine->EventInterval = absl::Milliseconds(20);
  }
  RawCaller Caller(this->Loop, this->callerEndpoint());
  Caller.send(EdgeFixture::makeRequest("/stream/a", "r1", "", "x", "key-1"));
  REQUIRE(this->runUntil(
      [&] { return absl::StrContains(Caller.received(), "id: 2\n"); }));
  bool FirstRan = !this->Engines[0]->ExecutedRequests.empty();
  this->Engines[FirstRan ? 1 : 0]->Behavior = Error;
  REQUIRE(this->runUntil(
      [&] { return Caller.hasCompleteAnswer() || Caller.isClosed(); }));
  INFO(Caller.received());
  CHECK_FALSE(absl::StrContains(Caller.received(), "out of memory"));
  CHECK_FALSE(absl::StrContains(Caller.received(), "oops"));
  CHECK_FALSE(absl::StrContains(Caller.received().substr(1), "HTTP/1.1"));
  if (Caller.hasCompleteAnswer())
    CHECK(absl::StrContains(Caller.received(), "id: 40\n"));
}

TEST_CASE_METHOD(ServingFixture, "An answer without a length is relayed") {
  this->setBehavior(ReplicaBehavior::Unframed);
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(Caller.status() == 200);
  CHECK(absl::EndsWith(Caller.received(), standin::Replica::bodyFor("r1")));
}

TEST_CASE_METHOD(ServingFixture,
                 "A request to a silent replica ends at the deadline") {
  this->setBehavior(ReplicaBehavior::Hangs);
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(Caller.status() == 504);
  CHECK(this->runCount("r1") == 1);
}

TEST_CASE_METHOD(ServingFixture, "A caller that leaves cancels its run") {
  this->setBehavior(ReplicaBehavior::Hangs);
  RawCaller Caller(this->Loop, this->callerEndpoint());
  Caller.send(makeRequest("/stream/a", "s1", "", "x", "key-1"));
  REQUIRE(this->runUntil([&] { return this->runCount("s1") == 1; }));
  Caller.close();
  CHECK(this->runUntil([&] {
    return this->Engines[0]->CancelledRequests +
               this->Engines[1]->CancelledRequests ==
           1;
  }));
}

TEST_CASE_METHOD(ServingFixture,
                 "A keep-alive connection serves many requests") {
  RawCaller Caller(this->Loop, this->callerEndpoint());
  for (int Index = 0; Index < 3; ++Index)
    Caller.send(
        makeRequest("/once/a", absl::StrCat("r", Index), "", "x", "key-1"));
  CHECK(this->runUntil([&] {
    return countOccurrences(Caller.received(), "HTTP/1.1 200") == 3;
  }));
  size_t First = Caller.received().find("answer to r0");
  size_t Last = Caller.received().find("answer to r2");
  CHECK(First < Last);
}

TEST_CASE_METHOD(ServingFixture,
                 "Requests over a limit get the matching status") {
  RawCaller Long(this->Loop, this->callerEndpoint());
  Long.send("POST /once/a HTTP/1.1\r\nHost: api.test\r\nX: " +
            std::string(9000, 'x') + "\r\n\r\n");
  CHECK(this->runUntil([&] { return Long.hasCompleteAnswer(); }));
  CHECK(Long.status() == 431);
  RawCaller Big(this->Loop, this->callerEndpoint());
  Big.send("POST /once/a HTTP/1.1\r\nHost: api.test\r\nContent-Length: "
           "200000\r\n\r\n");
  CHECK(this->runUntil([&] { return Big.hasCompleteAnswer(); }));
  CHECK(Big.status() == 413);
  RawCaller Bad(this->Loop, this->callerEndpoint());
  Bad.send("nonsense\r\n\r\n");
  CHECK(this->runUntil([&] { return Bad.hasCompleteAnswer(); }));
  CHECK(Bad.status() == 400);
  RawCaller Slow(this->Loop, this->callerEndpoint());
  Slow.send("POST /once/a HTTP/1.1\r\n");
  CHECK(this->runUntil([&] { return Slow.hasCompleteAnswer(); }));
  CHECK(Slow.status() == 408);
}

TEST_CASE_METHOD(ServingFixture, "A request hidden in another is refused") {
  RawCaller Caller(this->Loop, this->callerEndpoint());
  Caller.send("POST /once/a HTTP/1.1\r\nHost: api.test\r\n"
              "Authorization: Token key-1\r\nBerylramp-Attempt-Id: r1\r\n"
              "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\n\r\nPOST /once/b HTTP/1.1\r\nHost: api.test\r\n\r\n");
  CHECK(this->runUntil(
      [&] { return Caller.hasCompleteAnswer() || Caller.isClosed(); }));
  CHECK(this->runCount("r1") == 0);
  CHECK(Caller.status() == 400);
}

TEST_CASE_METHOD(ServingFixture, "A chunked body arrives unchanged") {
  RawCaller Caller(this->Loop, this->callerEndpoint());
  Caller.send("POST /once/a HTTP/1.1\r\nHost: api.test\r\n"
              "Authorization: Token key-1\r\nBerylramp-Attempt-Id: r1\r\n"
              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n");
  this->runFor(absl::Milliseconds(20));
  Caller.send("0\r\n\r\n");
  CHECK(this->runUntil([&] { return Caller.hasCompleteAnswer(); }));
  REQUIRE(this->runCount("r1") == 1);
  const auto &Runs = this->PlainReplicas[0]->ExecutedRequests.empty()
                         ? this->PlainReplicas[1]->ExecutedRequests
                         : this->PlainReplicas[0]->ExecutedRequests;
  CHECK(Runs[0].Body == "abcde");
}

TEST_CASE_METHOD(ServingFixture,
                 "A newer table comes into force, an older one never does") {
  this->putTable(5, {"key-2"});
  CHECK(this->runUntil([&] {
    return this->call("/once/a", "probe", "", "x", "key-2").status() == 200;
  }));
  CHECK(this->call("/once/a", "r1", "", "x", "key-1").status() == 401);
  this->putTable(3, {"key-1"});
  this->runFor(absl::Milliseconds(200));
  CHECK(this->call("/once/a", "r2", "", "x", "key-1").status() == 401);
}

TEST_CASE_METHOD(ServingFixture,
                 "A table comes into force in time if long polls miss it") {
  this->Store->Behavior = standin::StoreBehavior::DelaysReads;
  this->runFor(absl::Seconds(2));
  this->putTable(5, {"key-2"});
  CHECK(this->runUntil([&] {
    return this->call("/once/a", "probe", "", "x", "key-2").status() == 200;
  }));
  // Operators allow 2.5 s until a new table is in force. A read that misses the
  // record and a peer's query to this host add at most 0.5 s each, which leaves
  // 1.5 s for the wait.
  CHECK(this->Store->MaxWaitMs["keyed.op"] <= 1500);
}

TEST_CASE_METHOD(ServingFixture,
                 "A newer table comes into force after a compaction") {
  this->Store->put("keyed.op", "note", "{}");
  this->putTable(7, {"key-7"});
  this->Store->compact("keyed.op");
  this->Store->compact("keyed.servers");
  CHECK(this->runUntil([&] {
    return this->call("/once/a", "probe", "", "x", "key-7").status() == 200;
  }));
}

TEST_CASE_METHOD(ServingFixture, "A draining replica gets no new requests") {
  this->Store->put("keyed.servers", "plain-0",
                   this->PlainReplicas[0]->entry("draining", "v1"));
  this->runFor(absl::Seconds(2));
  size_t Before = this->PlainReplicas[0]->ExecutedRequests.size();
  for (int Index = 0; Index < 6; ++Index)
    CHECK(this->call("/once/a", absl::StrCat("r", Index)).status() == 200);
  CHECK(this->PlainReplicas[0]->ExecutedRequests.size() == Before);
}

TEST_CASE_METHOD(ServingFixture,
                 "A replica without a record gets no requests") {
  this->Store->put("keyed.servers", "plain-0", std::nullopt);
  this->runFor(absl::Seconds(2));
  size_t Before = this->PlainReplicas[0]->ExecutedRequests.size();
  for (int Index = 0; Index < 6; ++Index)
    CHECK(this->call("/once/a", absl::StrCat("r", Index)).status() == 200);
  CHECK(this->PlainReplicas[0]->ExecutedRequests.size() == Before);
}

TEST_CASE_METHOD(ServingFixture, "Malformed records do not stop requests") {
  this->Store->put("keyed.servers", "odd", "not json");
  this->Store->put("keyed.servers", "plain-9", R"({"service":3})");
  this->Store->put("keyed.op", "config", R"({"version":"x"})");
  this->Store->put("keyed.op", "rollout/engine", R"({"service":"engine"})");
  this->runFor(absl::Seconds(1));
  CHECK(this->call("/once/a", "r1").status() == 200);
}

TEST_CASE_METHOD(ServingFixture,
                 "Requests are served while the store is unavailable") {
  this->Store->Behavior =
      GENERATE(standin::StoreBehavior::Refuses, standin::StoreBehavior::Silent);
  this->runFor(absl::Seconds(3));
  CHECK(this->call("/once/a", "r1").status() == 200);
  CHECK(this->call("/stream/a", "s1").hasCompleteAnswer());
}

TEST_CASE_METHOD(ServingFixture, "The directory lists the ready hosts") {
  RawCaller Caller(this->Loop, this->Config.Directory);
  Caller.send("GET /berylramp/resolve?name=a&region=r&zone=zone-a HTTP/1.1\r\n"
              "Host: x\r\n\r\n");
  CHECK(this->runUntil([&] { return Caller.hasCompleteAnswer(); }));
  CHECK(absl::StrContains(Caller.received(), this->callerEndpoint().text()));
}

TEST_CASE_METHOD(ServingFixture, "A planned stop cuts no request") {
  for (const auto &Instance : this->Engines) {
    Instance->EventCount = 40;
    Instance->EventInterval = absl::Milliseconds(20);
  }
  RawCaller Caller(this->Loop, this->callerEndpoint());
  Caller.send(makeRequest("/stream/a", "s1", "", "x", "key-1"));
  REQUIRE(this->runUntil([&] { return this->runCount("s1") == 1; }));
  bool Stopped = false;
  this->Daemon->stop([&] { Stopped = true; });
  RawCaller Ready(this->Loop, this->Config.Ready);
  Ready.send("GET /berylramp/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(this->runUntil([&] { return Ready.hasCompleteAnswer(); }));
  CHECK(Ready.status() == 503);
  CHECK(this->call("/once/a", "r1").status() == 200);
  CHECK(this->runUntil([&] { return Stopped; }));
  CHECK(Caller.hasCompleteAnswer());
  CHECK(countOccurrences(Caller.received(), "data: ") == 40);
}

namespace {

/// A host that begins to stop while it serves a request.
struct StoppingFixture : EdgeFixture {
  StoppingFixture() {
    // No request below is cut at the end of the grace period.
    this->Config.Bounds.GracePeriod = absl::Seconds(20);
    this->putTable(1, {"key-1"});
    this->putReplicas();
    EdgeSettings Settings;
    Settings.RefuseNewDelay = absl::Milliseconds(300);
    this->start(Settings);
    this->awaitReady(this->Config.Ready);
    for (const auto &Instance : this->Engines) {
      Instance->EventCount = 20;
      Instance->EventInterval = absl::Milliseconds(100);
    }
    this->Long =
        std::make_unique<RawCaller>(this->Loop, this->callerEndpoint());
    this->Long->send(makeRequest("/stream/a", "long", "", "x", "key-1"));
    REQUIRE(this->runUntil([&] { return this->runCount("long") == 1; }));
  }
  ~StoppingFixture() { this->Long.reset(); }

  /// Begins to stop and waits until new requests are refused.
  void stop() {
    this->Daemon->stop([&] { this->Stopped = true; });
    this->runFor(absl::Milliseconds(400));
    REQUIRE_FALSE(this->Stopped);
  }
  void awaitEnd() {
    CHECK(this->runUntil([&] { return this->Stopped; }));
    CHECK(this->Long->hasCompleteAnswer());
  }

  std::unique_ptr<RawCaller> Long;
  bool Stopped = false;
};

} // namespace

// On other systems, such requests were passed on and cut at the end of the
// grace period.
TEST_CASE_METHOD(StoppingFixture, "A request that comes late in a planned stop "
                                  "is refused and does not run") {
  RawCaller Kept(this->Loop, this->callerEndpoint());
  RawCaller Uploading(this->Loop, this->callerEndpoint());
  std::string Upload = makeRequest("/once/a", "upload", "", "ab", "key-1");
  Uploading.send(Upload.substr(0, Upload.size() - 1));
  this->stop();
  Kept.send(makeRequest("/once/a", "kept", "", "x", "key-1"));
  Uploading.send(Upload.substr(Upload.size() - 1));
  RawCaller New = this->call("/once/a", "new");
  CHECK(this->runUntil([&] {
    return Kept.hasCompleteAnswer() && Uploading.hasCompleteAnswer();
  }));
  for (const RawCaller *Caller : {&Kept, &Uploading, &New}) {
    CHECK(Caller->status() == 503);
    CHECK(absl::StrContains(Caller->received(), "Retry-After: "));
    CHECK(absl::StrContains(Caller->received(), "Connection: close"));
  }
  this->awaitEnd();
  for (const char *Id : {"kept", "upload", "new"})
    CHECK(this->runCount(Id) == 0);
}

// A host in between that stops took tunnels until its end, and cut the requests
// in them.
TEST_CASE_METHOD(
    StoppingFixture,
    "A host that stops opens no tunnels late in its planned stop") {
  const Endpoint Tunnels{this->Config.Ip, this->Config.GossipPort};
  const std::string Open = tunnelRequest(stableHash("plain-0"));
  RawCaller Early(this->Loop, Tunnels);
  Early.send(Open);
  CHECK(this->runUntil([&] { return Early.status() != 0; }));
  CHECK(Early.status() == 200);
  this->stop();
  RawCaller Late(this->Loop, Tunnels);
  Late.send(Open);
  CHECK(this->runUntil([&] { return Late.status() != 0; }));
  CHECK(Late.status() == 503);
  CHECK_FALSE(Early.isClosed());
  Early.close();
  Late.close();
  this->awaitEnd();
}

TEST_CASE_METHOD(EdgeFixture,
                 "Requests are refused before a table is in force") {
  this->Store->Behavior = standin::StoreBehavior::Refuses;
  this->start();
  RawCaller Caller = this->call("/once/a", "r1");
  CHECK(Caller.status() == 503);
  CHECK(absl::StrContains(Caller.received(), "Retry-After"));
}

TEST_CASE_METHOD(ServingFixture,
                 "A stream without length or chunks ends with its connection") {
  this->setBehavior(ReplicaBehavior::Unframed);
  RawCaller Whole = this->call("/stream/a", "unframed-1");
  CHECK(Whole.status() == 200);
  CHECK(Whole.hasCompleteAnswer());
  CHECK(absl::StrContains(Whole.received(), "5 of unframed-1"));
  CHECK(this->runCount("unframed-1") == 1);
}

TEST_CASE_METHOD(ServingFixture,
                 "A stream without length or chunks that ends inside an event "
                 "is resumed") {
  this->setBehavior(ReplicaBehavior::Unframed);
  for (const auto &Engine : this->Engines)
    Engine->EventsBeforeCut = 3;
  RawCaller Caller = this->call("/stream/a", "unframed-2");
  CHECK(Caller.status() == 200);
  CHECK(Caller.hasCompleteAnswer());
  CHECK(absl::StrContains(Caller.received(), "5 of unframed-2"));
  CHECK(this->runCount("unframed-2") == 2);
}
