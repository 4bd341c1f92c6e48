//===- router_config_test.cpp - Tests configuration with real adapters ----===//

#include "fleet_fixture.h"

#include "berylramp/json.h"

#include <catch2/catch.hpp>

namespace berylramp::test {
namespace {

std::string errorType(const HttpOutcome &Answer) {
  absl::StatusOr<Json::Value> Body = parseJson(Answer.Body);
  return Body.ok() ? textAt(memberAt(*Body, "error"), "type") : "";
}

std::string errorRan(const HttpOutcome &Answer) {
  absl::StatusOr<Json::Value> Body = parseJson(Answer.Body);
  return Body.ok() ? textAt(memberAt(*Body, "error"), "ran") : "";
}

// Verifies that an edit comes into force on every host, and that of two edits
// with the same base one is rejected with a reason that names the winner.
TEST_CASE("Config comes into force on all hosts and rejects a racing edit") {
  TestFleet Fleet(3);
  Fleet.publishInitialTable();
  EditId Winner = Fleet.publishEdit({"version/m/cheap.weight=50"}, Offset(0));
  EditId Loser = Fleet.publishEdit({"version/m/cheap.weight=60"}, Offset(0));
  REQUIRE(Fleet.waitUntilInForce(2, Winner));
  REQUIRE(eventually([&] { return !Fleet.editStatus(1, Loser).isNull(); }));
  Json::Value LoserStatus = Fleet.editStatus(1, Loser);
  CHECK(textAt(LoserStatus, "verdict") == "conflict");
  CHECK_THAT(textAt(LoserStatus, "reason"), Catch::Contains("tester"));
  for (size_t I = 0; I < Fleet.size(); ++I) {
    Json::Value Rows = Fleet.getAdmin(I, "/v1/admin/table")["rows"];
    CHECK(textAt(Rows["version/m/cheap"], "weight") == "50");
  }
}

// Verifies that the log's contents decide whether an append took effect: an
// edit comes into force although its publisher received no answer.
TEST_CASE("Config takes effect when the append's answer was lost") {
  TestFleet Fleet(2);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"log":{"lose_answers":1}})");
  EditId Id = Fleet.publishEdit({"version/m/cheap.weight=50"}, Offset(0));
  CHECK(Fleet.waitUntilInForce(0, Id));
}

// Verifies that a withdrawn version receives no new requests once the edit is
// in force, and that the other version serves them.
TEST_CASE("Config withdrawal stops new requests on every host") {
  TestFleet Fleet(3);
  Fleet.publishInitialTable();
  REQUIRE(Fleet.sendChat(0, "note").Status == 200);
  CHECK(Fleet.startedCount("m/cheap") == 1);
  EditId Id = Fleet.publishEdit({"version/m/cheap.state=withdrawn"}, Offset(0));
  REQUIRE(Fleet.waitUntilInForce(0, Id));
  int64_t Before = Fleet.startedCount("m/cheap");
  for (size_t I = 0; I < Fleet.size(); ++I)
    CHECK(Fleet.sendChat(I, "note").Status == 200);
  CHECK(Fleet.startedCount("m/cheap") == Before);
  CHECK(Fleet.startedCount("m/good") >= 3);
}

// Verifies that a host that starts while the log is down fetches the table from
// a peer and serves.
TEST_CASE("Config reaches a host that starts while the log is down") {
  TestFleet Fleet(3);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"log":{"down":true}})");
  Fleet.addHost(3);
  REQUIRE(eventually([&] {
    return intAt(Fleet.getAdmin(3, "/v1/admin/table"), "offset", -1) == 0;
  }));
  REQUIRE(eventually([&] { return Fleet.sendChat(3, "note").Status == 200; }));
}

// Verifies that a host that starts after the log expired the first records
// builds its table from a snapshot that another host published before.
TEST_CASE("Config survives records that have expired") {
  TestFleet Fleet(1);
  Fleet.publishInitialTable();
  EntrySettings Settings = Fleet.settingsFor(5);
  // With these settings the host publishes snapshots often enough for the short
  // log retention that is set below.
  Settings.LogRetention = absl::Seconds(2);
  Settings.Claims.Length = absl::Seconds(1);
  auto Pool = std::make_shared<HttpClientPool>();
  TestHost SnapshotPublisher(Settings, Fleet.partitioned());
  REQUIRE(eventually([&] {
    return SnapshotPublisher.metrics().value(Counter::SnapshotsPublished) > 0;
  }));
  LogPort Log = makeHttpLog(Pool, Settings.Log);
  Fleet.applyKnobs(R"({"log":{"retention_ms":1500}})");
  REQUIRE(eventually([&] {
    absl::StatusOr<LogPage> Page =
        Log.Read(ConfigStream, Offset(0), absl::ZeroDuration());
    return Page.ok() && Page->FirstRetained > Offset(0) &&
           !Page->Records.empty();
  }));
  SnapshotPublisher.kill();
  Settings = Fleet.settingsFor(6);
  Settings.Peers.clear();
  TestHost NewHost(Settings, Fleet.partitioned());
  CHECK(eventually([&] {
    HttpCall Call;
    Call.Path = "/readyz";
    return Pool->call(NewHost.address(), Call).Status == 200;
  }));
}

// Verifies that a host partitioned from the log and its peers refuses requests
// with "ran": "no", and serves again after the partition ends.
TEST_CASE("Freshness makes an isolated host refuse until it reconnects") {
  TestFleet Fleet(3);
  Fleet.publishInitialTable();
  REQUIRE(Fleet.sendChat(2, "note").Status == 200);
  Fleet.host(2).setPartitioned(true);
  HttpOutcome LastAnswer;
  REQUIRE(eventually([&] {
    LastAnswer = Fleet.sendChat(2, "note");
    return LastAnswer.Status == 503;
  }));
  CHECK(errorType(LastAnswer) == "stale_view");
  CHECK(errorRan(LastAnswer) == "no");
  EditId Id = Fleet.publishEdit({"version/m/cheap.state=withdrawn"}, Offset(0));
  // The edit stays pending until the partitioned host must have stopped
  // serving.
  REQUIRE(Fleet.waitUntilInForce(0, Id));
  int64_t Before = Fleet.startedCount("m/cheap");
  CHECK(Fleet.sendChat(2, "note").Status == 503);
  Fleet.host(2).setPartitioned(false);
  REQUIRE(eventually([&] { return Fleet.sendChat(2, "note").Status == 200; }));
  CHECK(Fleet.startedCount("m/cheap") == Before);
}

// Verifies that a complete fleet continues to serve without the log, since no
// edit can come into force without its hosts.
TEST_CASE("Freshness lets the whole fleet serve while the log is down") {
  TestFleet Fleet(3);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"log":{"down":true}})");
  REQUIRE(eventually([&] {
    return textAt(Fleet.getAdmin(0, "/v1/admin/host"), "view") == "detached";
  }));
  absl::Time Deadline = absl::Now() + absl::Seconds(5);
  while (absl::Now() < Deadline) {
    for (size_t I = 0; I < Fleet.size(); ++I)
      REQUIRE(Fleet.sendChat(I, "note").Status == 200);
    absl::SleepFor(absl::Milliseconds(200));
  }
}

// Verifies that invalid input is refused with an error type, a remedy and the
// statement that nothing ran.
TEST_CASE("Caller API refuses bad input with type, remedy and ran: no") {
  TestFleet Fleet(1);
  Fleet.publishInitialTable();
  HttpClientPool Pool;
  auto Post = [&](const std::string &Body, const std::string &Key,
                  const std::string &Kind) {
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = "/v1/chat/completions";
    Call.Body = Body;
    Call.Headers = {{"Authorization", "Bearer " + Key},
                    {"X-Request-Kind", Kind}};
    return Pool.call(Fleet.host(0).address(), Call);
  };
  const std::string ValidBody =
      R"({"messages":[{"role":"user","content":"hi"}]})";
  struct BadInputCase {
    HttpOutcome Answer;
    const char *Type;
  };
  std::vector<BadInputCase> Cases = {
      {Post("{not json", CallerKey, "note"), "bad_body"},
      {Post("[]", CallerKey, "note"), "bad_body"},
      {Post(R"({"messages":[]})", CallerKey, "note"), "bad_body"},
      {Post(R"({"messages":[{"role":1}]})", CallerKey, "note"), "bad_body"},
      {Post(R"({"messages":[{"role":"u","content":"x"}],"max_tokens":-4})",
            CallerKey, "note"),
       "bad_body"},
      {Post(ValidBody, "wrong-key", "note"), "bad_key"},
      {Post(ValidBody, CallerKey, "no-such-kind"), "unknown_kind"},
      {Post(ValidBody, CallerKey, "order"), "unknown_kind"},
      {Fleet.sendNonIdempotent(0, "not-a-uuid", "{}"),
       "missing_idempotency_key"},
      {Fleet.sendNonIdempotent(0, makeUuidV7(1000), "{}"), "key_too_old"},
      {Fleet.sendChat(0, "note", {{"X-Session-Token", "abc.def"}}),
       "bad_session"}};
  for (const BadInputCase &BadInput : Cases) {
    CAPTURE(BadInput.Type, BadInput.Answer.Body);
    CHECK(errorType(BadInput.Answer) == BadInput.Type);
    CHECK(errorRan(BadInput.Answer) == "no");
    absl::StatusOr<Json::Value> Body = parseJson(BadInput.Answer.Body);
    CHECK_FALSE(textAt(memberAt(*Body, "error"), "remedy").empty());
  }
  HttpOutcome OversizedAnswer =
      Post(std::string(3 << 20, 'x'), CallerKey, "note");
  CHECK(OversizedAnswer.Status == 413);
  CHECK(errorType(OversizedAnswer) == "body_too_long");
  CHECK(errorRan(OversizedAnswer) == "no");
  CHECK(Fleet.sendChat(0, "note").Status == 200);
}

} // namespace
} // namespace berylramp::test
