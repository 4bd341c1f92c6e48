//===- dispatch_test.cpp - Decision, queue and shares ---------------------===//

#include "berylramp/dispatch.h"
#include "berylramp/gossip.h"

#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

Instant at(double Seconds) { return Instant{absl::Seconds(100 + Seconds)}; }

/// A request of the second class that finds a queue of a second.
DispatchQuery makeQuery() {
  DispatchQuery Query;
  Query.Now = at(0);
  Query.ArrivedAt = at(0);
  Query.DeadlineAt = at(10);
  Query.Target = absl::Seconds(4);
  Query.Timeout = absl::Seconds(10);
  Query.UrgentTarget = absl::Seconds(1);
  Query.Rank = 1;
  Query.Wait = Query.MeanWait = absl::Seconds(1);
  Query.Work = absl::Milliseconds(200);
  Query.Utilization = 0.6;
  return Query;
}

Waiter makeWaiter(WaiterId Id, int Rank, double LatestStart) {
  return {Id, Rank, at(LatestStart), at(0), absl::Milliseconds(100), 10};
}

Route makeRoute(const std::string &Service, int Priority, double Target) {
  Route Made;
  Made.Priority = Priority;
  Made.ResponseTarget = absl::Seconds(Target);
  Made.ServiceShares = {{ServiceId(Service), 1}};
  return Made;
}

} // namespace

TEST_CASE("The most urgent request is sent whatever the wait") {
  DispatchQuery Query = makeQuery();
  Query.Rank = 0;
  CHECK(decideDispatch(Query, {}).Action == DispatchAction::Send);
}

TEST_CASE("A less urgent request waits for head room") {
  DispatchQuery Query = makeQuery();
  CHECK(decideDispatch(Query, {}).Action == DispatchAction::Wait);
  Query.MeanWait = absl::Milliseconds(200);
  CHECK(decideDispatch(Query, {}).Action == DispatchAction::Send);
  Query.Rank = 2;
  CHECK(decideDispatch(Query, {}).Action == DispatchAction::Wait);
  Query.MeanWait = absl::ZeroDuration();
  Query.Utilization = 1;
  CHECK(decideDispatch(Query, {}).Action == DispatchAction::Wait);
}

TEST_CASE("The bound of a waiting request grows with its age") {
  DispatchQuery Query = makeQuery();
  absl::Duration Before = decideDispatch(Query, {}).WaitBound;
  for (int Seconds = 1; Seconds < 4; ++Seconds) {
    Query.Now = at(Seconds);
    absl::Duration Bound = decideDispatch(Query, {}).WaitBound;
    CHECK(Bound > Before);
    Before = Bound;
  }
}

TEST_CASE("A waiting request is refused once it is too late to run") {
  DispatchQuery Query = makeQuery();
  Query.Now = latestStart(Query, {});
  CHECK(Query.Now < at(4));
  Query.Now = latestStart(Query, {});
  CHECK(Query.Now < Query.DeadlineAt);
  DispatchDecision Decision = decideDispatch(Query, {});
  CHECK(Decision.Action == DispatchAction::Refuse);
  Query.Utilization = 0.4;
  CHECK(decideDispatch(Query, {}).Reason == DispatchReason::LatestStart);
  Query.BelowFloor = true;
  CHECK(decideDispatch(Query, {}).Reason == DispatchReason::Floor);
}

TEST_CASE("A request that cannot be served in time is refused at once") {
  DispatchQuery Query = makeQuery();
  Query.QueueWait = absl::Seconds(10);
  DispatchDecision Decision = decideDispatch(Query, {});
  CHECK(Decision.Action == DispatchAction::Refuse);
  CHECK(Decision.Reason == DispatchReason::Deadline);
  CHECK(Decision.RetryAfter <= absl::Seconds(10) / 3.0);
  Query.Rank = 0;
  CHECK(decideDispatch(Query, {}).Action == DispatchAction::Send);
}

TEST_CASE("Nothing is refused while most places are free and nothing waits") {
  DispatchQuery Query = makeQuery();
  Query.QueueWait = absl::Seconds(20);
  Query.Utilization = 0.4;
  CHECK(decideDispatch(Query, {}).Action == DispatchAction::Wait);
  Query.ReplicasQueue = true;
  CHECK(decideDispatch(Query, {}).Action == DispatchAction::Refuse);
}

TEST_CASE("A class below its floor is sent whatever the wait") {
  DispatchQuery Query = makeQuery();
  Query.BelowFloor = true;
  CHECK(decideDispatch(Query, {}).Reason == DispatchReason::Floor);
}

TEST_CASE("A request beyond the bounds of the queue does not wait") {
  DispatchQuery Query = makeQuery();
  Query.QueueHasSpace = false;
  CHECK(decideDispatch(Query, {}).Reason == DispatchReason::QueueFull);
}

TEST_CASE("A new request does not overtake requests that wait") {
  DispatchQuery Query = makeQuery();
  Query.Wait = absl::ZeroDuration();
  Query.Overtakes = true;
  CHECK(decideDispatch(Query, {}).Reason == DispatchReason::Order);
}

TEST_CASE("Waiting requests are ordered by urgency, then by latest start") {
  DispatchQueue Queue;
  Queue.add(makeWaiter(1, 2, 1));
  Queue.add(makeWaiter(2, 1, 5));
  Queue.add(makeWaiter(3, 1, 3));
  CHECK(Queue.heads() == std::vector<WaiterId>{3, 1});
  CHECK(Queue.due(at(1), 8) == std::vector<WaiterId>{1});
  CHECK(Queue.hasAhead(1));
  CHECK_FALSE(Queue.hasAhead(0));
  Queue.add(makeWaiter(3, 1, 8));
  CHECK(Queue.heads() == std::vector<WaiterId>{2, 1});
  CHECK(Queue.size() == 3);
  CHECK(Queue.bytes() == 30);
  for (WaiterId Id : {1, 2, 3, 3})
    Queue.remove(Id);
  CHECK(Queue.empty());
  CHECK(Queue.bytes() == 0);
}

TEST_CASE("The wait ahead follows from the rate at which work is sent") {
  DispatchQueue Queue;
  for (int Step = 0; Step < 100; ++Step)
    Queue.onSent(0, absl::Milliseconds(50), at(Step * 0.1));
  CHECK(Queue.waitAhead(1, at(10)) == absl::ZeroDuration());
  for (WaiterId Id = 1; Id <= 10; ++Id)
    Queue.add(makeWaiter(Id, 1, 20));
  absl::Duration Ahead = Queue.waitAhead(1, at(10));
  CHECK(Ahead > absl::Seconds(1.5));
  CHECK(Ahead < absl::Seconds(2.5));
  CHECK(Queue.waitAhead(0, at(10)) == absl::ZeroDuration());
}

TEST_CASE("Urgency classes are those of the routes and workspaces") {
  RouteTable Table;
  Table.Routes = {makeRoute("s", 2, 8), makeRoute("s", 0, 2),
                  makeRoute("s", 0, 1), makeRoute("other", 1, 1)};
  UrgencyClasses Classes = urgencyClasses(Table, ServiceId("s"));
  CHECK(Classes.Priorities == std::vector<int>{0, 2});
  CHECK(Classes.UrgentTarget == absl::Seconds(1));
  CHECK(Classes.rankOf(2) == 1);
  CHECK_FALSE(urgencyClasses(Table, ServiceId("other")).differ());
  Table.Workspaces = {{WorkspaceId("w"), 4}};
  CHECK(urgencyClasses(Table, ServiceId("other")).differ());
}

TEST_CASE("A workspace is over its share only far above its usual part") {
  ShareTable Shares;
  auto Use = [&](double From, double To, double Factor) {
    for (double Time = From; Time < To; Time += 0.25) {
      Shares.onUse(1, 4, at(Time));
      Shares.onUse(2, Factor, at(Time));
      Shares.onUse(3, 1, at(Time));
      Shares.update(at(Time));
    }
  };
  Use(0, 20, 1);
  CHECK_FALSE(Shares.isOverShare(1));
  Use(20, 26, 20);
  CHECK(Shares.isOverShare(2));
  CHECK_FALSE(Shares.isOverShare(1));
  Use(26, 60, 1);
  CHECK_FALSE(Shares.isOverShare(2));
}

TEST_CASE("A report of shares is bounded and survives its encoding") {
  ShareTable Shares;
  for (uint64_t Workspace = 0; Workspace < 100; ++Workspace)
    Shares.onUse(Workspace, static_cast<double>(Workspace + 1), at(0));
  Shares.update(at(0));
  WorkspaceShares Report = Shares.report();
  REQUIRE(Report.size() == MaxReportedShares);
  CHECK(Report.front().Workspace == 99);
  std::string Datagram = encodeReport(ShareReport{7, Report});
  CHECK(Datagram.size() < 256);
  std::optional<GossipReport> Decoded = decodeReport(Datagram);
  REQUIRE(Decoded.has_value());
  const auto &Read = std::get<ShareReport>(*Decoded);
  CHECK(Read.Service == 7);
  CHECK(Read.Shares.size() == MaxReportedShares);
  Report.front().Recent = -1;
  CHECK_FALSE(decodeReport(encodeReport(ShareReport{7, Report})).has_value());
}
