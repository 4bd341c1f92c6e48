//===- router_config_test.cpp - Configuration through real adapters -------===//

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

// Verifies that an edit comes in force on every host, and that of two racing
// edits one is rejected with the winner named.
TEST_CASE("Config comes in force on all hosts and racing edits are told") {
  TestFleet Fleet(3);
  Fleet.publishTable();
  EditId Winner = Fleet.publish({"version/m/cheap.weight=50"}, Offset(0));
  EditId Loser = Fleet.publish({"version/m/cheap.weight=60"}, Offset(0));
  REQUIRE(Fleet.waitInForce(2, Winner));
  REQUIRE(eventually([&] { return !Fleet.editStanding(1, Loser).isNull(); }));
  Json::Value Standing = Fleet.editStanding(1, Loser);
  CHECK(textAt(Standing, "verdict") == "conflict");
  CHECK_THAT(textAt(Standing, "reason"), Catch::Contains("tester"));
  for (size_t I = 0; I < Fleet.size(); ++I) {
    Json::Value Rows = Fleet.admin(I, "/v1/admin/table")["rows"];
    CHECK(textAt(Rows["version/m/cheap"], "weight") == "50");
  }
}

// Verifies that an append whose answer was lost is resolved by reading: the
// edit is in force although the publisher never heard so.
TEST_CASE("Config takes effect when the append's answer was lost") {
  TestFleet Fleet(2);
  Fleet.publishTable();
  Fleet.knobs(R"({"log":{"lose_answers":1}})");
  EditId Id = Fleet.publish({"version/m/cheap.weight=50"}, Offset(0));
  CHECK(Fleet.waitInForce(0, Id));
}

// Verifies that a withdrawn version receives no new work once the edit is in
// force, and that the other version takes over.
TEST_CASE("Config withdrawal keeps new work away on every host") {
  TestFleet Fleet(3);
  Fleet.publishTable();
  REQUIRE(Fleet.chat(0, "note").Status == 200);
  CHECK(Fleet.begunOn("m/cheap") == 1);
  EditId Id = Fleet.publish({"version/m/cheap.state=withdrawn"}, Offset(0));
  REQUIRE(Fleet.waitInForce(0, Id));
  int64_t Before = Fleet.begunOn("m/cheap");
  for (size_t I = 0; I < Fleet.size(); ++I)
    CHECK(Fleet.chat(I, "note").Status == 200);
  CHECK(Fleet.begunOn("m/cheap") == Before);
  CHECK(Fleet.begunOn("m/good") >= 3);
}

// Verifies that a host which starts while the log is down takes the table from
// a peer and serves.
TEST_CASE("Config reaches a host that starts while the log is down") {
  TestFleet Fleet(3);
  Fleet.publishTable();
  Fleet.knobs(R"({"log":{"down":true}})");
  Fleet.addHost(3);
  REQUIRE(eventually([&] {
    return intAt(Fleet.admin(3, "/v1/admin/table"), "offset", -1) == 0;
  }));
  REQUIRE(eventually([&] { return Fleet.chat(3, "note").Status == 200; }));
}

// Verifies that a host bridges records that the log has forgotten by the
// snapshot that some host published in time.
TEST_CASE("Config survives records that have expired") {
  TestFleet Fleet(1);
  Fleet.publishTable();
  EntrySettings Settings = Fleet.settingsFor(5);
  // This host publishes snapshots as for a log that forgets within a second.
  Settings.LogRetention = absl::Seconds(2);
  Settings.Claims.Length = absl::Seconds(1);
  auto Pool = std::make_shared<HttpClientPool>();
  TestHost Keeper(Settings, Fleet.cuts());
  REQUIRE(eventually(
      [&] { return Keeper.counts().value(Counter::SnapshotsPublished) > 0; }));
  LogPort Log = makeHttpLog(Pool, Settings.Log);
  Fleet.knobs(R"({"log":{"retention_ms":1500}})");
  REQUIRE(eventually([&] {
    absl::StatusOr<LogPage> Page =
        Log.Read(ConfigStream, Offset(0), absl::ZeroDuration());
    return Page.ok() && Page->FirstRetained > Offset(0) &&
           !Page->Records.empty();
  }));
  Keeper.kill();
  Settings = Fleet.settingsFor(6);
  Settings.Peers.clear();
  TestHost Starter(Settings, Fleet.cuts());
  CHECK(eventually([&] {
    HttpCall Call;
    Call.Path = "/readyz";
    return Pool->call(Starter.address(), Call).Status == 200;
  }));
}

// Verifies that a host cut off from log and peers refuses, says that nothing
// ran, and serves again after the cut heals.
TEST_CASE("Freshness makes an isolated host refuse until it heals") {
  TestFleet Fleet(3);
  Fleet.publishTable();
  REQUIRE(Fleet.chat(2, "note").Status == 200);
  Fleet.host(2).cutOff(true);
  HttpOutcome Last;
  REQUIRE(eventually([&] {
    Last = Fleet.chat(2, "note");
    return Last.Status == 503;
  }));
  CHECK(errorType(Last) == "stale_view");
  CHECK(errorRan(Last) == "no");
  EditId Id = Fleet.publish({"version/m/cheap.state=withdrawn"}, Offset(0));
  // The cut-off host keeps the edit pending until it must have stopped.
  REQUIRE(Fleet.waitInForce(0, Id));
  int64_t Before = Fleet.begunOn("m/cheap");
  CHECK(Fleet.chat(2, "note").Status == 503);
  Fleet.host(2).cutOff(false);
  REQUIRE(eventually([&] { return Fleet.chat(2, "note").Status == 200; }));
  CHECK(Fleet.begunOn("m/cheap") == Before);
}

// Verifies that all hosts go on together without the log, since no edit can
// come in force without them.
TEST_CASE("Freshness lets the whole fleet go on while the log is down") {
  TestFleet Fleet(3);
  Fleet.publishTable();
  Fleet.knobs(R"({"log":{"down":true}})");
  REQUIRE(eventually([&] {
    return textAt(Fleet.admin(0, "/v1/admin/host"), "view") == "detached";
  }));
  absl::Time Until = absl::Now() + absl::Seconds(5);
  while (absl::Now() < Until) {
    for (size_t I = 0; I < Fleet.size(); ++I)
      REQUIRE(Fleet.chat(I, "note").Status == 200);
    absl::SleepFor(absl::Milliseconds(200));
  }
}

// Verifies that bad input gets a typed refusal with a remedy, and that nothing
// ran.
TEST_CASE("Caller API refuses bad input with type, remedy and ran: no") {
  TestFleet Fleet(1);
  Fleet.publishTable();
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
  const std::string Good = R"({"messages":[{"role":"user","content":"hi"}]})";
  struct Case {
    HttpOutcome Answer;
    const char *Type;
  };
  std::vector<Case> Cases = {
      {Post("{not json", CallerKey, "note"), "bad_body"},
      {Post("[]", CallerKey, "note"), "bad_body"},
      {Post(R"({"messages":[]})", CallerKey, "note"), "bad_body"},
      {Post(R"({"messages":[{"role":1}]})", CallerKey, "note"), "bad_body"},
      {Post(R"({"messages":[{"role":"u","content":"x"}],"max_tokens":-4})",
            CallerKey, "note"),
       "bad_body"},
      {Post(Good, "wrong-key", "note"), "bad_key"},
      {Post(Good, CallerKey, "no-such-kind"), "unknown_kind"},
      {Post(Good, CallerKey, "order"), "unknown_kind"},
      {Fleet.order(0, "not-a-uuid", "{}"), "missing_idempotency_key"},
      {Fleet.order(0, makeUuidV7(1000), "{}"), "key_too_old"},
      {Fleet.chat(0, "note", {{"X-Session-Token", "abc.def"}}), "bad_session"}};
  for (const Case &Each : Cases) {
    CAPTURE(Each.Type, Each.Answer.Body);
    CHECK(errorType(Each.Answer) == Each.Type);
    CHECK(errorRan(Each.Answer) == "no");
    absl::StatusOr<Json::Value> Body = parseJson(Each.Answer.Body);
    CHECK_FALSE(textAt(memberAt(*Body, "error"), "remedy").empty());
  }
  HttpOutcome TooLong = Post(std::string(3 << 20, 'x'), CallerKey, "note");
  CHECK(TooLong.Status == 413);
  CHECK(errorType(TooLong) == "body_too_long");
  CHECK(errorRan(TooLong) == "no");
  CHECK(Fleet.chat(0, "note").Status == 200);
}

} // namespace
} // namespace berylramp::test
