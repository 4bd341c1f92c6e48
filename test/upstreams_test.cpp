//===- upstreams_test.cpp - Replicas and the choice of one ----------------===//

#include "berylramp/upstreams.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace berylramp;

namespace {

Instant at(double Seconds) { return Instant{absl::Seconds(100 + Seconds)}; }

ReplicaEntry entryOf(const std::string &Id, const std::string &Place = "near",
                     const std::string &Version = "v1") {
  ReplicaEntry Entry;
  Entry.Id = UpstreamId(Id);
  Entry.Service = ServiceId("s");
  Entry.Address = {"127.0.0.1", 1};
  Entry.Place = PlaceId(Place);
  Entry.Version = VersionId(Version);
  Entry.Slots = 8;
  return Entry;
}

ChoiceSettings settings() {
  ChoiceSettings Out;
  Out.OwnPlace = PlaceId("near");
  Out.SameRegion = {PlaceId("beside")};
  return Out;
}

ChoiceQuery queryOf(double Seconds) {
  ChoiceQuery Query;
  Query.Service = ServiceId("s");
  Query.Now = at(Seconds);
  return Query;
}

ChoiceQuery promptOf(std::vector<PromptSegment> Segments, double Seconds = 0) {
  ChoiceQuery Query = queryOf(Seconds);
  Query.Segments = std::move(Segments);
  Query.MsPerToken = 0.03;
  return Query;
}

} // namespace

TEST_CASE("A near replica is preferred while it has room") {
  UpstreamRegistry Registry(settings());
  Registry.put(entryOf("far", "far"), at(0));
  Registry.put(entryOf("here"), at(0));
  CHECK(Registry.choose(queryOf(0)).Target->Entry.Id == UpstreamId("here"));
  ReportedLoad Full{8, 0, 8, at(0)};
  Registry.onLoadReport(*Registry.find(UpstreamId("here")), Full);
  CHECK(Registry.choose(queryOf(0)).Target->Entry.Id == UpstreamId("far"));
}

TEST_CASE("Load pattern: one request each from many hosts stays near") {
  UpstreamRegistry Registry(settings());
  Registry.put(entryOf("far", "far"), at(0));
  Registry.put(entryOf("here"), at(0));
  Registry.onRequestStarted(Registry.choose(queryOf(0)), queryOf(0));
  CHECK(Registry.choose(queryOf(1)).Target->Entry.Id == UpstreamId("here"));
}

TEST_CASE("Draining and removed replicas get nothing") {
  UpstreamRegistry Registry(settings());
  ReplicaEntry Leaving = entryOf("a");
  Leaving.Draining = true;
  Registry.put(Leaving, at(0));
  CHECK(Registry.choose(queryOf(0)).Target == nullptr);
  Registry.put(entryOf("b"), at(0));
  Registry.remove(UpstreamId("b"), at(1), absl::ZeroDuration());
  CHECK(Registry.choose(queryOf(1)).Target == nullptr);
}

TEST_CASE("An entry that lapsed with the store stays usable for a while") {
  UpstreamRegistry Registry(settings());
  Registry.put(entryOf("a"), at(0));
  Registry.remove(UpstreamId("a"), at(0), absl::Seconds(2));
  CHECK(Registry.choose(queryOf(1)).Target != nullptr);
  CHECK(Registry.choose(queryOf(3)).Target == nullptr);
  Registry.put(entryOf("a"), at(4));
  CHECK(Registry.choose(queryOf(4)).Target != nullptr);
}

TEST_CASE("A replica that starts again under its id begins anew") {
  UpstreamRegistry Registry(settings());
  Registry.put(entryOf("a"), at(0));
  ReplicaPtr Old = Registry.find(UpstreamId("a"));
  ReplicaEntry Again = entryOf("a");
  Again.StartedAtMs = 5;
  Registry.put(Again, at(1));
  CHECK(Registry.find(UpstreamId("a")) != Old);
  CHECK(Registry.size() == 1);
}

TEST_CASE("A roll-out's rule is never broken by the choice") {
  rc::prop("for any loads", [] {
    UpstreamRegistry Registry(settings());
    for (int Index = 0; Index < 6; ++Index)
      Registry.put(
          entryOf(std::to_string(Index), "near", Index % 2 == 0 ? "v1" : "v2"),
          at(0));
    ChoiceQuery Query = queryOf(0);
    Query.Rule = {VersionId("v2"), *rc::gen::arbitrary<bool>()};
    for (int Count = *rc::gen::inRange(0, 30); Count > 0; --Count)
      Registry.onRequestStarted(Registry.choose(Query), Query);
    Choice Chosen = Registry.choose(Query);
    bool IsTarget = Chosen.Target->Entry.Version == VersionId("v2");
    RC_ASSERT(IsTarget == Query.Rule.RequireTarget);
  });
}

TEST_CASE("Broken connections in a row leave a replica out, then let it back") {
  UpstreamRegistry Registry(settings());
  Registry.put(entryOf("a"), at(0));
  Registry.put(entryOf("b"), at(0));
  ReplicaPtr Bad = Registry.find(UpstreamId("a"));
  for (int Count = 0; Count < 3; ++Count) {
    Choice Sent;
    Sent.Target = Bad;
    Registry.onRequestStarted(Sent, queryOf(0));
    Registry.onRequestEnded(*Bad, Outcome::ConnectionFailed, at(0));
  }
  CHECK(Registry.choose(queryOf(0.1)).Target->Entry.Id == UpstreamId("b"));
  CHECK(Bad->EjectedUntil < at(30));
}

TEST_CASE("Most of a service is never left out") {
  UpstreamRegistry Registry(settings());
  for (int Index = 0; Index < 6; ++Index)
    Registry.put(entryOf(std::to_string(Index)), at(0));
  for (const ReplicaPtr &Each : Registry.replicasOf(ServiceId("s")))
    for (int Count = 0; Count < 5; ++Count) {
      Choice Sent;
      Sent.Target = Each;
      Registry.onRequestStarted(Sent, queryOf(0));
      Registry.onRequestEnded(*Each, Outcome::ConnectionFailed, at(0));
    }
  int Out = 0;
  for (const ReplicaPtr &Each : Registry.replicasOf(ServiceId("s")))
    Out += at(0.1) < Each->EjectedUntil ? 1 : 0;
  CHECK(Out <= 3);
}

TEST_CASE("A replica that fails more than the others is left out") {
  UpstreamRegistry Registry(settings());
  for (const char *Id : {"a", "b", "c", "d"})
    Registry.put(entryOf(Id), at(0));
  auto End = [&](const char *Id, Outcome How) {
    ReplicaPtr Which = Registry.find(UpstreamId(Id));
    Choice Sent;
    Sent.Target = Which;
    Registry.onRequestStarted(Sent, queryOf(0));
    Registry.onRequestEnded(*Which, How, at(0));
  };
  for (int Round = 0; Round < 20; ++Round) {
    for (const char *Id : {"b", "c", "d"})
      End(Id, Round % 7 == 0 ? Outcome::Failed : Outcome::Good);
    End("a", Round % 2 == 0 ? Outcome::Failed : Outcome::Good);
  }
  CHECK(Registry.find(UpstreamId("a"))->Ejections > 0);
  CHECK(Registry.find(UpstreamId("b"))->Ejections == 0);
}

TEST_CASE("Load pattern: a long prompt keeps an engine for seconds") {
  UpstreamRegistry Registry(settings());
  Registry.put(entryOf("a"), at(0));
  Registry.put(entryOf("b"), at(0));
  ChoiceQuery Long = promptOf({{1, 60000}});
  Choice First = Registry.choose(Long);
  Registry.onRequestStarted(First, Long);
  CHECK(First.PrefillTime > absl::Seconds(1));
  for (int Count = 0; Count < 5; ++Count) {
    ChoiceQuery Short = promptOf({{100 + static_cast<uint64_t>(Count), 500}});
    Choice Next = Registry.choose(Short);
    CHECK(Next.Target != First.Target);
    Registry.onRequestStarted(Next, Short);
  }
}

TEST_CASE("Load pattern: other hosts' long prompts are avoided too") {
  UpstreamRegistry Registry(settings());
  Registry.put(entryOf("a"), at(0));
  Registry.put(entryOf("b"), at(0));
  ReplicaPtr Busy = Registry.find(UpstreamId("a"));
  Registry.addRemoteWork(Busy->IdHash, absl::Seconds(3), at(0));
  CHECK(Registry.choose(promptOf({{1, 500}})).Target != Busy);
}

TEST_CASE("Load pattern: requests with a shared part meet at one engine") {
  UpstreamRegistry Registry(settings());
  for (const char *Id : {"a", "b", "c", "d"})
    Registry.put(entryOf(Id), at(0));
  std::map<std::string, int> Used;
  for (int Count = 0; Count < 20; ++Count) {
    double Now = Count;
    ChoiceQuery Query =
        promptOf({{7, 5000}, {1000 + static_cast<uint64_t>(Count), 300}}, Now);
    Choice Chosen = Registry.choose(Query);
    Registry.onRequestStarted(Chosen, Query);
    Registry.onFirstByte(Chosen, Chosen.QueueDelay + Chosen.PrefillTime,
                         at(Now + 0.2));
    Registry.onRequestEnded(*Chosen.Target, Outcome::Good, at(Now + 0.5));
    Used[Chosen.Target->Entry.Id.text()] += 1;
  }
  CHECK(Used.size() == 1);
}

TEST_CASE("Load pattern: a hot shared part spreads when its engine is busy") {
  UpstreamRegistry Registry(settings());
  for (const char *Id : {"a", "b", "c", "d"})
    Registry.put(entryOf(Id), at(0));
  std::map<std::string, int> Used;
  for (int Count = 0; Count < 40; ++Count) {
    ChoiceQuery Query =
        promptOf({{7, 5000}, {1000 + static_cast<uint64_t>(Count), 4000}});
    Choice Chosen = Registry.choose(Query);
    Registry.onRequestStarted(Chosen, Query);
    Used[Chosen.Target->Entry.Id.text()] += 1;
  }
  CHECK(Used.size() == 4);
}

TEST_CASE("A withdrawn prompt takes its time back") {
  UpstreamRegistry Registry(settings());
  Registry.put(entryOf("a"), at(0));
  ChoiceQuery Query = promptOf({{1, 30000}});
  Choice Chosen = Registry.choose(Query);
  Registry.onRequestStarted(Chosen, Query);
  Registry.onRequestCancelled(Chosen, at(0));
  CHECK(Registry.choose(promptOf({{2, 10}})).QueueDelay <=
        absl::Milliseconds(1));
}

TEST_CASE("The reading pace settles near what is measured") {
  PrefillRateEstimator Pace;
  for (int Count = 0; Count < 300; ++Count)
    Pace.addSample(4000, effectiveTokens(4000) * 0.04);
  CHECK(Pace.msPerToken() == Approx(0.04).epsilon(0.1));
}

TEST_CASE("Second attempts never exceed the budget") {
  rc::prop("over any order of attempts", [] {
    RetryBudget Budget(0.5, 3);
    int First = 0;
    int Second = 0;
    for (bool Again : *rc::gen::arbitrary<std::vector<bool>>()) {
      if (!Again) {
        Budget.onFirstAttempt();
        First += 1;
      } else if (Budget.tryAcquire()) {
        Second += 1;
      }
      RC_ASSERT(Second <= 0.5 * First + 3);
    }
  });
}
