//===- router_failure_test.cpp - Tests requests and bills under faults ----===//

#include "fleet_fixture.h"

#include "berylramp/json.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

namespace berylramp::test {
namespace {

Json::Value errorObject(const HttpOutcome &Answer) {
  absl::StatusOr<Json::Value> Body = parseJson(Answer.Body);
  return Body.ok() ? memberAt(*Body, "error") : Json::Value();
}

// Verifies that a non-idempotent request that is sent through all hosts at the
// same time runs once, and that every caller receives the answer of that run or
// an "already_running" error.
TEST_CASE("Non-idempotent requests sent through all hosts run once") {
  TestFleet Fleet(8);
  Fleet.publishInitialTable();
  for (int Round = 0; Round < 5; ++Round) {
    std::string Key = makeIdempotencyKey();
    std::vector<HttpOutcome> Answers(Fleet.size());
    std::vector<std::thread> Callers;
    for (size_t I = 0; I < Fleet.size(); ++I)
      Callers.emplace_back([&, I] {
        Answers[I] = Fleet.sendNonIdempotent(I, Key, "{\"dig\":1}");
      });
    for (std::thread &Caller : Callers)
      Caller.join();
    int CompleteCount = 0;
    for (const HttpOutcome &Answer : Answers) {
      if (Answer.Status == 200) {
        ++CompleteCount;
        continue;
      }
      CAPTURE(Answer.Body);
      CHECK(textAt(errorObject(Answer), "type") == "already_running");
      CHECK(textAt(errorObject(Answer), "ran") == "unknown");
    }
    CHECK(CompleteCount >= 1);
    CHECK(Fleet.runCount(Key) == 1);
    // A repeated request returns the answer of the first run.
    CHECK(eventually([&] {
      return Fleet.sendNonIdempotent(5, Key, "{\"dig\":1}").Status == 200;
    }));
    CHECK(Fleet.runCount(Key) == 1);
    CHECK(textAt(errorObject(Fleet.sendNonIdempotent(4, Key, "{\"dig\":2}")),
                 "type") == "key_reused");
    std::vector<std::string> Bills = Fleet.billKeys();
    CHECK(std::count(Bills.begin(), Bills.end(), "w/order:" + Key) == 1);
  }
}

TEST_CASE("An answer at a host that does not reply is not in doubt") {
  TestFleet Fleet(3);
  Fleet.publishInitialTable();
  std::string Key = makeIdempotencyKey();
  REQUIRE(Fleet.sendNonIdempotent(0, Key, "{}").Status == 200);
  // The log holds the outcome of the run once another host repeats the answer.
  REQUIRE(eventually(
      [&] { return Fleet.sendNonIdempotent(1, Key, "{}").Status == 200; }));
  Fleet.partitioned().set(Fleet.host(0).address(), true);
  HttpOutcome Answer = Fleet.sendNonIdempotent(1, Key, "{}");
  CHECK(textAt(errorObject(Answer), "type") == "already_running");
  CHECK(textAt(errorObject(Answer), "ran") == "unknown");
  Fleet.partitioned().set(Fleet.host(0).address(), false);
  CHECK(eventually(
      [&] { return Fleet.sendNonIdempotent(1, Key, "{}").Status == 200; }));
  CHECK(Fleet.runCount(Key) == 1);
}

// Verifies that the outcome of a non-idempotent request whose answer was lost
// stays unknown and that no host runs it again, also after the first host was
// killed. Only an operator may state that it did not run.
TEST_CASE(
    "Non-idempotent requests with a lost answer keep an unknown outcome") {
  TestFleet Fleet(3);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"service":{"lose_answers":1}})");
  std::string Key = makeIdempotencyKey();
  HttpOutcome FirstAnswer = Fleet.sendNonIdempotent(0, Key, "{}");
  CHECK(textAt(errorObject(FirstAnswer), "type") == "in_doubt");
  CHECK(textAt(errorObject(FirstAnswer), "ran") == "unknown");
  CHECK(Fleet.runCount(Key) == 1);
  Fleet.host(0).kill();
  REQUIRE(eventually([&] {
    return textAt(errorObject(Fleet.sendNonIdempotent(1, Key, "{}")), "type") ==
           "in_doubt";
  }));
  CHECK(Fleet.runCount(Key) == 1);
}

// Verifies that non-idempotent requests are refused with "ran": "no" while the
// log is unavailable, and that the same key can run afterwards.
TEST_CASE("Non-idempotent requests are refused while the log is down") {
  TestFleet Fleet(2);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"log":{"down":true}})");
  std::string Key = makeIdempotencyKey();
  HttpOutcome RefusedAnswer = Fleet.sendNonIdempotent(0, Key, "{}");
  CHECK(textAt(errorObject(RefusedAnswer), "type") == "log_unavailable");
  CHECK(textAt(errorObject(RefusedAnswer), "ran") == "no");
  CHECK(Fleet.runCount(Key) == 0);
  Fleet.applyKnobs(R"({"log":{"down":false}})");
  // The refused attempt is void, so the same key runs once the log has
  // recovered.
  REQUIRE(eventually(
      [&] { return Fleet.sendNonIdempotent(1, Key, "{}").Status == 200; }));
  CHECK(Fleet.runCount(Key) == 1);
}

// Verifies that a non-idempotent request still runs once when the answer to the
// append of its claim was lost.
TEST_CASE("Non-idempotent requests survive a lost append answer") {
  TestFleet Fleet(2);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"log":{"lose_answers":1}})");
  std::string Key = makeIdempotencyKey();
  CHECK(Fleet.sendNonIdempotent(0, Key, "{}").Status == 200);
  CHECK(Fleet.runCount(Key) == 1);
}

// Verifies that a stream that is interrupted before or after its first token
// reaches the caller complete, without repeated tokens, and is billed once.
TEST_CASE("Interrupted answers are resumed and billed once") {
  TestFleet Fleet(2);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"engines":{"*":{"cut_next":1}}})");
  HttpOutcome Answer =
      Fleet.sendChat(0, "note", {{"X-Request-Id", "cut-1"}}, /*Streamed=*/true);
  REQUIRE(Answer.Status == 200);
  CHECK_THAT(Answer.Body, Catch::Contains("[DONE]"));
  for (int I = 1; I < 8; ++I) {
    std::string TokenText = "\"w" + std::to_string(I) + " \"";
    size_t Position = Answer.Body.find(TokenText);
    CAPTURE(TokenText);
    CHECK(Position != std::string::npos);
    CHECK(Answer.Body.find(TokenText, Position + 1) == std::string::npos);
  }
  CHECK(Fleet.host(0).metrics().retries(RetryReason::CutMidStream) >= 1);
  std::vector<std::string> Bills = Fleet.billKeys();
  CHECK(std::count(Bills.begin(), Bills.end(), "w/cut-1") == 1);
}

// Verifies that an answer to another request never reaches the caller.
TEST_CASE("Answers to other requests are dropped and retried") {
  TestFleet Fleet(1);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"engines":{"*":{"cross_next":1}}})");
  HttpOutcome Answer = Fleet.sendChat(0, "note", {}, /*Streamed=*/true);
  CHECK_THAT(Answer.Body, Catch::Contains("[DONE]"));
  CHECK_THAT(Answer.Body, !Catch::Contains("of-somebody-else"));
  CHECK(Fleet.host(0).metrics().retries(RetryReason::CrossedAnswer) >= 1);
}

// Verifies that retries stay within their budget when every answer is faulty.
TEST_CASE("Retries add no more than their budget in an outage") {
  TestFleet Fleet(1);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"engines":{"*":{"cross_next":100000}}})");
  constexpr int Requests = 200;
  for (int I = 0; I < Requests; ++I)
    Fleet.sendChat(0, "note");
  int64_t Retries = Fleet.host(0).metrics().retries(RetryReason::CrossedAnswer);
  CHECK(Retries <= 10 + Requests * 0.1 + 1);
}

// Verifies that every bill is counted once although append answers were lost.
TEST_CASE("Bills are counted once when append answers are lost") {
  TestFleet Fleet(3);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"log":{"lose_answers":3}})");
  for (int I = 0; I < 6; ++I)
    CHECK(Fleet.sendChat(0, "note", {{"X-Request-Id", "r" + std::to_string(I)}})
              .Status == 200);
  REQUIRE(eventually([&] { return Fleet.billKeys().size() == 6; }));
}

// Verifies that two other hosts hold a bill while the log is down, and that
// they append it when the host that created it was killed.
TEST_CASE("Bills survive a log outage and the loss of their host") {
  TestFleet Fleet(4);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"log":{"down":true}})");
  REQUIRE(eventually([&] {
    return Fleet.sendChat(0, "note", {{"X-Request-Id", "held"}}).Status == 200;
  }));
  Fleet.host(0).kill();
  Fleet.applyKnobs(R"({"log":{"down":false}})");
  REQUIRE(eventually([&] { return Fleet.billKeys().size() == 1; }));
  CHECK(Fleet.billKeys().front() == "w/held");
}

// Verifies that a request that its caller repeats on another host is billed
// once.
TEST_CASE("Bills count a request once that was retried on another host") {
  TestFleet Fleet(2);
  Fleet.publishInitialTable();
  CHECK(Fleet.sendChat(0, "note", {{"X-Request-Id", "same"}}).Status == 200);
  CHECK(Fleet.sendChat(1, "note", {{"X-Request-Id", "same"}}).Status == 200);
  CHECK(Fleet.billKeys() == std::vector<std::string>{"w/same"});
}

// Verifies that a session keeps its version while the version is held, follows
// replaced_by when it is withdrawn, and that a host whose table is older than
// the token's catches up first.
TEST_CASE("Sessions keep their version, also held, until it is withdrawn") {
  TestFleet Fleet(2);
  Fleet.publishInitialTable();
  HttpOutcome FirstAnswer = Fleet.sendChat(0, "note", {{"X-Session", "new"}});
  std::string Token = FirstAnswer.header("X-Session-Token");
  REQUIRE_FALSE(Token.empty());
  std::string Version = textAt(*parseJson(FirstAnswer.Body), "model");
  REQUIRE(Version == "m/cheap");
  EditId HoldEdit = Fleet.publishEdit(
      {"version/m/cheap.state=held", "version/m/cheap.replaced_by=good"},
      Offset(0));
  REQUIRE(Fleet.waitUntilInForce(0, HoldEdit));
  HttpOutcome AnswerWhileHeld =
      Fleet.sendChat(1, "note", {{"X-Session-Token", Token}});
  CHECK(textAt(*parseJson(AnswerWhileHeld.Body), "model") == "m/cheap");
  HttpOutcome NewSessionAnswer = Fleet.sendChat(1, "note");
  CHECK(textAt(*parseJson(NewSessionAnswer.Body), "model") == "m/good");
  EditId WithdrawalEdit =
      Fleet.publishEdit({"version/m/cheap.state=withdrawn"}, Offset(1));
  REQUIRE(Fleet.waitUntilInForce(0, WithdrawalEdit));
  HttpOutcome AnswerAfterWithdrawal =
      Fleet.sendChat(1, "note", {{"X-Session-Token", Token}});
  CHECK(textAt(*parseJson(AnswerAfterWithdrawal.Body), "model") == "m/good");
  std::string TamperedToken = Token;
  TamperedToken[3] = TamperedToken[3] == 'A' ? 'B' : 'A';
  HttpOutcome TamperedAnswer =
      Fleet.sendChat(1, "note", {{"X-Session-Token", TamperedToken}});
  CHECK(textAt(errorObject(TamperedAnswer), "type") == "bad_session");
}

// Verifies that an engine that announces its leaving receives no new requests,
// although the platform's host list still contains it.
TEST_CASE("Leaving engines get no new requests while the host list lags") {
  TestFleet Fleet(1);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"hosts":{"lag_ms":3600000}})");
  Fleet.applyKnobs(R"({"engines":{"e1":{"leaving":true}}})");
  REQUIRE(eventually([&] {
    Json::Value Replicas = Fleet.getAdmin(0, "/v1/admin/replicas")["replicas"];
    for (const Json::Value &Replica : Replicas) {
      if (textAt(Replica, "replica") == "e1" && !boolAt(Replica, "shut"))
        return false;
    }
    return true;
  }));
  auto StartedOnE1 = [&] {
    int64_t Sum = 0;
    for (const auto &[Version, Count] :
         Fleet.platform().findEngine("e1")->startedAnswers())
      Sum += Count;
    return Sum;
  };
  int64_t Before = StartedOnE1();
  for (int I = 0; I < 20; ++I)
    CHECK(Fleet.sendChat(0, "note").Status == 200);
  CHECK(StartedOnE1() == Before);
}

// Verifies that a version whose share of good answers drops is tripped, is held
// by an edit of the fleet, and receives no requests on any host.
TEST_CASE("Versions whose quality drops are held on every host") {
  TestFleet Fleet(3);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"engines":{"*":{"shares":{"m/cheap":0.2}}}})");
  REQUIRE(eventually([&] {
    for (size_t I = 0; I < Fleet.size(); ++I)
      Fleet.sendChat(I, "note");
    Json::Value Rows = Fleet.getAdmin(0, "/v1/admin/table")["rows"];
    return textAt(Rows["version/m/cheap"], "state") == "held";
  }));
  for (size_t I = 0; I < Fleet.size(); ++I) {
    REQUIRE(eventually([&] {
      Json::Value Rows = Fleet.getAdmin(I, "/v1/admin/table")["rows"];
      return textAt(Rows["version/m/cheap"], "state") == "held";
    }));
  }
  int64_t Before = Fleet.startedCount("m/cheap");
  for (size_t I = 0; I < Fleet.size(); ++I)
    CHECK(Fleet.sendChat(I, "note").Status == 200);
  CHECK(Fleet.startedCount("m/cheap") == Before);
}

// Verifies that a version that is expected to stay below the agreed share, as
// the first one of a cascade, is not held for it.
TEST_CASE("Versions below the agreed share by design are not held") {
  TestFleet Fleet(1);
  Fleet.publishInitialTable();
  Fleet.applyKnobs(R"({"engines":{"*":{"shares":{"m/cheap":0.7}}}})");
  EditId Id =
      Fleet.publishEdit({"version/m/cheap.expected_share=0.65"}, Offset(0));
  REQUIRE(Fleet.waitUntilInForce(0, Id));
  for (int I = 0; I < 120; ++I)
    REQUIRE(Fleet.sendChat(0, "note").Status == 200);
  CHECK(Fleet.startedCount("m/cheap") > 100);
  CHECK(Fleet.host(0).metrics().value(Counter::Escalations) > 10);
  CHECK(Fleet.host(0).metrics().value(Counter::HoldsTripped) == 0);
}

// Verifies that a leaving host is removed from the entry list, still serves the
// callers that use it, and counts as drained only when its streams have ended.
TEST_CASE("Leaving hosts are not listed and finish their streams") {
  TestFleet Fleet(3);
  Fleet.publishInitialTable();
  HttpOutcome LongAnswer;
  std::thread Caller(
      [&] { LongAnswer = Fleet.sendChat(2, "long", {}, /*Streamed=*/true); });
  REQUIRE(eventually([&] {
    return intAt(Fleet.getAdmin(2, "/v1/admin/host"), "streams") == 1;
  }));
  Fleet.host(2).router().announceLeaving();
  CHECK_FALSE(Fleet.host(2).router().isDrained());
  REQUIRE(eventually(
      [&] { return Fleet.getAdmin(0, "/v1/entries")["entries"].size() == 2; }));
  CHECK(Fleet.sendChat(2, "note").Status == 200);
  REQUIRE(eventually([&] { return Fleet.host(2).router().isDrained(); }));
  Caller.join();
  CHECK_THAT(LongAnswer.Body, Catch::Contains("[DONE]"));
}

// Verifies that a host that reuses the name of a killed one becomes a member
// with a higher incarnation.
TEST_CASE("Members give a replaced host a new incarnation") {
  TestFleet Fleet(3);
  Fleet.publishInitialTable();
  auto IncarnationOfH2 = [&]() -> int64_t {
    Json::Value Members = Fleet.getAdmin(0, "/v1/admin/members")["members"];
    for (const Json::Value &Member : Members) {
      if (textAt(Member, "host") == "h2")
        return intAt(Member, "life");
    }
    return -1;
  };
  int64_t Before = IncarnationOfH2();
  Fleet.host(2).kill();
  Fleet.addHost(2);
  CHECK(eventually([&] { return IncarnationOfH2() > Before; }));
}

// Verifies that a peer call without a valid MAC of the fleet's key is refused.
TEST_CASE("Peer calls without the fleet's key are refused") {
  TestFleet Fleet(1);
  HttpClientPool Pool;
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = PeerPath;
  Call.Body =
      R"({"jsonrpc":"2.0","id":1,"method":"config_snapshot","params":{}})";
  Call.Headers = {{PeerMacHeader, "0000"}};
  CHECK(Pool.call(Fleet.host(0).address(), Call).Status == 401);
}

} // namespace
} // namespace berylramp::test
