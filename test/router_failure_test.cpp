//===- router_failure_test.cpp - Orders, bills and answers under failure --===//

#include "fleet_fixture.h"

#include "berylramp/json.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

namespace berylramp::test {
namespace {

Json::Value errorOf(const HttpOutcome &Answer) {
  absl::StatusOr<Json::Value> Body = parseJson(Answer.Body);
  return Body.ok() ? memberAt(*Body, "error") : Json::Value();
}

// Verifies that one order sent at once through all hosts runs once, and that
// every caller hears its one answer or that it is under way.
TEST_CASE("Orders sent at once through all hosts run once") {
  TestFleet Fleet(8);
  Fleet.publishTable();
  for (int Round = 0; Round < 5; ++Round) {
    std::string Key = freshKey();
    std::vector<HttpOutcome> Answers(Fleet.size());
    std::vector<std::thread> Callers;
    for (size_t I = 0; I < Fleet.size(); ++I)
      Callers.emplace_back(
          [&, I] { Answers[I] = Fleet.order(I, Key, "{\"dig\":1}"); });
    for (std::thread &Each : Callers)
      Each.join();
    int Whole = 0;
    for (const HttpOutcome &Answer : Answers) {
      if (Answer.Status == 200) {
        ++Whole;
        continue;
      }
      CAPTURE(Answer.Body);
      CHECK(textAt(errorOf(Answer), "type") == "already_running");
      CHECK(textAt(errorOf(Answer), "ran") == "unknown");
    }
    CHECK(Whole >= 1);
    CHECK(Fleet.runsOf(Key) == 1);
    // Whoever asks again gets the answer of the one run.
    CHECK(eventually(
        [&] { return Fleet.order(5, Key, "{\"dig\":1}").Status == 200; }));
    CHECK(Fleet.runsOf(Key) == 1);
    CHECK(textAt(errorOf(Fleet.order(4, Key, "{\"dig\":2}")), "type") ==
          "key_reused");
    std::vector<std::string> Bills = Fleet.bills();
    CHECK(std::count(Bills.begin(), Bills.end(), "w/order:" + Key) == 1);
  }
}

// Verifies that an order whose answer was lost stays in doubt on every host,
// and runs again only after an operator said that it did not run.
TEST_CASE("Orders whose answer was lost stay in doubt") {
  TestFleet Fleet(3);
  Fleet.publishTable();
  Fleet.knobs(R"({"service":{"lose_answers":1}})");
  std::string Key = freshKey();
  HttpOutcome First = Fleet.order(0, Key, "{}");
  CHECK(textAt(errorOf(First), "type") == "in_doubt");
  CHECK(textAt(errorOf(First), "ran") == "unknown");
  CHECK(Fleet.runsOf(Key) == 1);
  Fleet.host(0).kill();
  REQUIRE(eventually([&] {
    return textAt(errorOf(Fleet.order(1, Key, "{}")), "type") == "in_doubt";
  }));
  CHECK(Fleet.runsOf(Key) == 1);
}

// Verifies that the log's outage refuses orders truthfully, also when the
// claim took effect though its answer was lost.
TEST_CASE("Orders are refused, not run, while the log is away") {
  TestFleet Fleet(2);
  Fleet.publishTable();
  Fleet.knobs(R"({"log":{"down":true}})");
  std::string Key = freshKey();
  HttpOutcome Refused = Fleet.order(0, Key, "{}");
  CHECK(textAt(errorOf(Refused), "type") == "log_unavailable");
  CHECK(textAt(errorOf(Refused), "ran") == "no");
  CHECK(Fleet.runsOf(Key) == 0);
  Fleet.knobs(R"({"log":{"down":false}})");
  // The same key runs once the log is back: its first attempt is void.
  REQUIRE(eventually([&] { return Fleet.order(1, Key, "{}").Status == 200; }));
  CHECK(Fleet.runsOf(Key) == 1);
}

// Verifies that a claim whose append answer was lost still runs once.
TEST_CASE("Orders survive a lost answer of the claim's append") {
  TestFleet Fleet(2);
  Fleet.publishTable();
  Fleet.knobs(R"({"log":{"lose_answers":1}})");
  std::string Key = freshKey();
  CHECK(Fleet.order(0, Key, "{}").Status == 200);
  CHECK(Fleet.runsOf(Key) == 1);
}

// Verifies that an answer cut before or in the middle reaches the caller
// whole, from the same version, and is billed once.
TEST_CASE("Answers that were cut are resumed and billed once") {
  TestFleet Fleet(2);
  Fleet.publishTable();
  Fleet.knobs(R"({"engines":{"*":{"cut_next":1}}})");
  HttpOutcome Answer =
      Fleet.chat(0, "note", {{"X-Request-Id", "cut-1"}}, /*Streamed=*/true);
  REQUIRE(Answer.Status == 200);
  CHECK_THAT(Answer.Body, Catch::Contains("[DONE]"));
  for (int I = 1; I < 8; ++I) {
    std::string Word = "\"w" + std::to_string(I) + " \"";
    size_t First = Answer.Body.find(Word);
    CAPTURE(Word);
    CHECK(First != std::string::npos);
    CHECK(Answer.Body.find(Word, First + 1) == std::string::npos);
  }
  CHECK(Fleet.host(0).counts().retries(RetryReason::CutMidStream) >= 1);
  std::vector<std::string> Bills = Fleet.bills();
  CHECK(std::count(Bills.begin(), Bills.end(), "w/cut-1") == 1);
}

// Verifies that an answer to somebody else never reaches the caller.
TEST_CASE("Answers that crossed are dropped and asked for again") {
  TestFleet Fleet(1);
  Fleet.publishTable();
  Fleet.knobs(R"({"engines":{"*":{"cross_next":1}}})");
  HttpOutcome Answer = Fleet.chat(0, "note", {}, /*Streamed=*/true);
  CHECK_THAT(Answer.Body, Catch::Contains("[DONE]"));
  CHECK_THAT(Answer.Body, !Catch::Contains("of-somebody-else"));
  CHECK(Fleet.host(0).counts().retries(RetryReason::CrossedAnswer) >= 1);
}

// Verifies that in an outage retries stay within their budget.
TEST_CASE("Retries add no more than their budget in an outage") {
  TestFleet Fleet(1);
  Fleet.publishTable();
  Fleet.knobs(R"({"engines":{"*":{"cross_next":100000}}})");
  constexpr int Requests = 200;
  for (int I = 0; I < Requests; ++I)
    Fleet.chat(0, "note");
  int64_t Retries = Fleet.host(0).counts().retries(RetryReason::CrossedAnswer);
  CHECK(Retries <= 10 + Requests * 0.1 + 1);
}

// Verifies that bills reach the log once although append answers were lost.
TEST_CASE("Bills are counted once when append answers are lost") {
  TestFleet Fleet(3);
  Fleet.publishTable();
  Fleet.knobs(R"({"log":{"lose_answers":3}})");
  for (int I = 0; I < 6; ++I)
    CHECK(Fleet.chat(0, "note", {{"X-Request-Id", "r" + std::to_string(I)}})
              .Status == 200);
  REQUIRE(eventually([&] { return Fleet.bills().size() == 6; }));
}

// Verifies that with the log down a bill is safe with two other hosts, and
// that they append it when its origin is killed.
TEST_CASE("Bills survive the log's outage and their origin's death") {
  TestFleet Fleet(4);
  Fleet.publishTable();
  Fleet.knobs(R"({"log":{"down":true}})");
  REQUIRE(eventually([&] {
    return Fleet.chat(0, "note", {{"X-Request-Id", "held"}}).Status == 200;
  }));
  Fleet.host(0).kill();
  Fleet.knobs(R"({"log":{"down":false}})");
  REQUIRE(eventually([&] { return Fleet.bills().size() == 1; }));
  CHECK(Fleet.bills().front() == "w/held");
}

// Verifies that the same request, retried by its caller on another host, is
// billed once.
TEST_CASE("Bills count a request once that was retried on another host") {
  TestFleet Fleet(2);
  Fleet.publishTable();
  CHECK(Fleet.chat(0, "note", {{"X-Request-Id", "same"}}).Status == 200);
  CHECK(Fleet.chat(1, "note", {{"X-Request-Id", "same"}}).Status == 200);
  CHECK(Fleet.bills() == std::vector<std::string>{"w/same"});
}

// Verifies that a session keeps its version while it is held, moves along
// replaced_by when it is withdrawn, and that a host behind the token's table
// catches up first.
TEST_CASE("Sessions keep their version, also held, until it is withdrawn") {
  TestFleet Fleet(2);
  Fleet.publishTable();
  HttpOutcome First = Fleet.chat(0, "note", {{"X-Session", "new"}});
  std::string Token = First.header("X-Session-Token");
  REQUIRE_FALSE(Token.empty());
  std::string Version = textAt(*parseJson(First.Body), "model");
  REQUIRE(Version == "m/cheap");
  EditId Held = Fleet.publish(
      {"version/m/cheap.state=held", "version/m/cheap.replaced_by=good"},
      Offset(0));
  REQUIRE(Fleet.waitInForce(0, Held));
  HttpOutcome Kept = Fleet.chat(1, "note", {{"X-Session-Token", Token}});
  CHECK(textAt(*parseJson(Kept.Body), "model") == "m/cheap");
  HttpOutcome New = Fleet.chat(1, "note");
  CHECK(textAt(*parseJson(New.Body), "model") == "m/good");
  EditId Gone = Fleet.publish({"version/m/cheap.state=withdrawn"}, Offset(1));
  REQUIRE(Fleet.waitInForce(0, Gone));
  HttpOutcome Moved = Fleet.chat(1, "note", {{"X-Session-Token", Token}});
  CHECK(textAt(*parseJson(Moved.Body), "model") == "m/good");
  std::string Tampered = Token;
  Tampered[3] = Tampered[3] == 'A' ? 'B' : 'A';
  HttpOutcome Bad = Fleet.chat(1, "note", {{"X-Session-Token", Tampered}});
  CHECK(textAt(errorOf(Bad), "type") == "bad_session");
}

// Verifies that an engine that says it leaves gets nothing new although the
// platform's list lags.
TEST_CASE("Leaving engines get nothing new though the list lags") {
  TestFleet Fleet(1);
  Fleet.publishTable();
  Fleet.knobs(R"({"hosts":{"lag_ms":3600000}})");
  Fleet.knobs(R"({"engines":{"e1":{"leaving":true}}})");
  REQUIRE(eventually([&] {
    Json::Value Replicas = Fleet.admin(0, "/v1/admin/replicas")["replicas"];
    for (const Json::Value &Each : Replicas) {
      if (textAt(Each, "replica") == "e1" && !boolAt(Each, "shut"))
        return false;
    }
    return true;
  }));
  auto BegunOnE1 = [&] {
    int64_t Sum = 0;
    for (const auto &[Version, Count] :
         Fleet.platform().findEngine("e1")->startedAnswers())
      Sum += Count;
    return Sum;
  };
  int64_t Before = BegunOnE1();
  for (int I = 0; I < 20; ++I)
    CHECK(Fleet.chat(0, "note").Status == 200);
  CHECK(BegunOnE1() == Before);
}

// Verifies that a version whose answers turn bad is tripped, held by an edit of
// the fleet, and left out on every host.
TEST_CASE("Versions that turn bad are held on every host") {
  TestFleet Fleet(3);
  Fleet.publishTable();
  Fleet.knobs(R"({"engines":{"*":{"shares":{"m/cheap":0.2}}}})");
  REQUIRE(eventually([&] {
    for (size_t I = 0; I < Fleet.size(); ++I)
      Fleet.chat(I, "note");
    Json::Value Rows = Fleet.admin(0, "/v1/admin/table")["rows"];
    return textAt(Rows["version/m/cheap"], "state") == "held";
  }));
  for (size_t I = 0; I < Fleet.size(); ++I) {
    REQUIRE(eventually([&] {
      Json::Value Rows = Fleet.admin(I, "/v1/admin/table")["rows"];
      return textAt(Rows["version/m/cheap"], "state") == "held";
    }));
  }
  int64_t Before = Fleet.begunOn("m/cheap");
  for (size_t I = 0; I < Fleet.size(); ++I)
    CHECK(Fleet.chat(I, "note").Status == 200);
  CHECK(Fleet.begunOn("m/cheap") == Before);
}

// Verifies that a version which is below the agreed share by design, as the
// first of a cascade, is not held for it.
TEST_CASE("Versions below the agreed share by design are not held") {
  TestFleet Fleet(1);
  Fleet.publishTable();
  Fleet.knobs(R"({"engines":{"*":{"shares":{"m/cheap":0.7}}}})");
  EditId Id = Fleet.publish({"version/m/cheap.expected_share=0.65"}, Offset(0));
  REQUIRE(Fleet.waitInForce(0, Id));
  for (int I = 0; I < 120; ++I)
    REQUIRE(Fleet.chat(0, "note").Status == 200);
  CHECK(Fleet.begunOn("m/cheap") > 100);
  CHECK(Fleet.host(0).counts().value(Counter::Escalations) > 10);
  CHECK(Fleet.host(0).counts().value(Counter::HoldsTripped) == 0);
}

// Verifies that a host that leaves is offered to no one, serves what it was
// offered for, and is drained only then.
TEST_CASE("Leaving hosts are not offered and finish their streams") {
  TestFleet Fleet(3);
  Fleet.publishTable();
  HttpOutcome Long;
  std::thread Caller(
      [&] { Long = Fleet.chat(2, "long", {}, /*Streamed=*/true); });
  REQUIRE(eventually(
      [&] { return intAt(Fleet.admin(2, "/v1/admin/host"), "streams") == 1; }));
  Fleet.host(2).router().announceLeaving();
  CHECK_FALSE(Fleet.host(2).router().isDrained());
  REQUIRE(eventually(
      [&] { return Fleet.admin(0, "/v1/entries")["entries"].size() == 2; }));
  CHECK(Fleet.chat(2, "note").Status == 200);
  REQUIRE(eventually([&] { return Fleet.host(2).router().isDrained(); }));
  Caller.join();
  CHECK_THAT(Long.Body, Catch::Contains("[DONE]"));
}

// Verifies that a replaced host that reuses a name is taken for a new life.
TEST_CASE("Members take a replaced host for a new life") {
  TestFleet Fleet(3);
  Fleet.publishTable();
  auto LifeOfH2 = [&]() -> int64_t {
    Json::Value Members = Fleet.admin(0, "/v1/admin/members")["members"];
    for (const Json::Value &Each : Members) {
      if (textAt(Each, "host") == "h2")
        return intAt(Each, "life");
    }
    return -1;
  };
  int64_t Before = LifeOfH2();
  Fleet.host(2).kill();
  Fleet.addHost(2);
  CHECK(eventually([&] { return LifeOfH2() > Before; }));
}

// Verifies that peers without the fleet's key are not listened to.
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
