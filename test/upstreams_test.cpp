//===- upstreams_test.cpp - Replica registry and selection ----------------===//

#include "berylramp/upstreams.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace berylramp;

namespace {

Instant atSecond(double Seconds) {
  return Instant{absl::Seconds(100 + Seconds)};
}

ReplicaEntry makeEntry(const std::string &Id, const std::string &Place = "near",
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

ChoiceSettings makeSettings() {
  ChoiceSettings Settings;
  Settings.OwnPlace = PlaceId("near");
  Settings.SameRegion = {PlaceId("beside")};
  return Settings;
}

ChoiceQuery makeQuery(double Seconds) {
  ChoiceQuery Query;
  Query.Service = ServiceId("s");
  Query.Now = atSecond(Seconds);
  return Query;
}

ChoiceQuery makePromptQuery(std::vector<PromptSegment> Segments,
                            double Seconds = 0) {
  ChoiceQuery Query = makeQuery(Seconds);
  Query.Segments = std::move(Segments);
  Query.MsPerToken = 0.03;
  return Query;
}

} // namespace

TEST_CASE("A leaving replica stays excluded until it starts anew") {
  UpstreamRegistry Registry(makeSettings());
  ReplicaEntry Entry = makeEntry("a");
  Entry.StartedAtMs = 5;
  Registry.put(Entry, atSecond(0));
  CHECK(Registry.markLeaving(UpstreamId("a"), atSecond(0)));
  CHECK_FALSE(Registry.markLeaving(UpstreamId("a"), atSecond(0)));
  CHECK(Registry.choose(makeQuery(0)).Target == nullptr);
  Registry.remove(UpstreamId("a"), atSecond(1), absl::ZeroDuration());
  Registry.sweep(atSecond(2));
  Registry.put(Entry, atSecond(3));
  CHECK(Registry.choose(makeQuery(3)).Target == nullptr);
  Entry.StartedAtMs = 6;
  Registry.put(Entry, atSecond(4));
  CHECK(Registry.choose(makeQuery(4)).Target != nullptr);
}

TEST_CASE("Only a later entry ends the draining of a process") {
  UpstreamRegistry Registry(makeSettings());
  ReplicaEntry Entry = makeEntry("a");
  Entry.Draining = true;
  Entry.Sequence = 5;
  Registry.put(Entry, atSecond(0));
  Entry.Draining = false;
  Entry.Sequence = 4;
  CHECK(Registry.isOutdated(Entry));
  CHECK(Registry.choose(makeQuery(1)).Target == nullptr);
  Entry.Sequence = 6;
  CHECK_FALSE(Registry.isOutdated(Entry));
  Registry.put(Entry, atSecond(2));
  CHECK(Registry.choose(makeQuery(2)).Target != nullptr);
}

TEST_CASE("A peer's report excludes only the process that it names") {
  UpstreamRegistry Registry(makeSettings());
  ReplicaEntry Entry = makeEntry("a");
  Entry.StartedAtMs = 5;
  Registry.put(Entry, atSecond(0));
  uint64_t Hash = stableHash("a");
  CHECK_FALSE(Registry.markLeaving(Hash, 4, atSecond(0)));
  CHECK_FALSE(Registry.markLeaving(stableHash("b"), 5, atSecond(0)));
  CHECK(Registry.choose(makeQuery(0)).Target != nullptr);
  CHECK(Registry.markLeaving(Hash, 5, atSecond(0)) == UpstreamId("a"));
  CHECK(Registry.choose(makeQuery(0)).Target == nullptr);
}

TEST_CASE("A paused replica is no last resort either") {
  UpstreamRegistry Registry(makeSettings());
  Registry.put(makeEntry("a"), atSecond(0));
  Registry.put(makeEntry("b"), atSecond(0));
  Registry.pause(UpstreamId("a"), atSecond(4));
  CHECK(Registry.choose(makeQuery(1)).Target->Entry.Id == UpstreamId("b"));
  Registry.pause(UpstreamId("b"), atSecond(3));
  // A shorter pause does not end a longer one.
  Registry.pause(UpstreamId("b"), atSecond(2));
  CHECK(Registry.choose(makeQuery(1)).Target == nullptr);
  CHECK_FALSE(Registry.hasCapacity(makeQuery(1)));
  CHECK(Registry.earliestAvailability(makeQuery(1)).SinceStart ==
        atSecond(3).SinceStart);
  // The pause outlives the entry.
  Registry.evict(UpstreamId("a"), atSecond(1));
  Registry.put(makeEntry("a"), atSecond(1));
  CHECK(Registry.choose(makeQuery(3.5)).Target->Entry.Id == UpstreamId("b"));
  CHECK(Registry.earliestAvailability(makeQuery(5)).SinceStart ==
        absl::InfiniteDuration());
}

TEST_CASE("An entry from before the known one is outdated") {
  UpstreamRegistry Registry(makeSettings());
  ReplicaEntry Entry = makeEntry("a");
  Entry.StartedAtMs = 5;
  Entry.Sequence = 50;
  CHECK_FALSE(Registry.isOutdated(Entry));
  Registry.put(Entry, atSecond(0));
  ReplicaEntry Older = Entry;
  Older.Sequence = 47;
  CHECK(Registry.isOutdated(Older));
  CHECK_FALSE(Registry.isOutdated(Entry));
  ReplicaEntry Unnumbered = Entry;
  Unnumbered.Sequence = 0;
  CHECK_FALSE(Registry.isOutdated(Unnumbered));
  Registry.remove(Entry.Id, atSecond(1), absl::ZeroDuration());
  Registry.sweep(atSecond(2));
  CHECK(Registry.isOutdated(Older));
  CHECK_FALSE(Registry.isOutdated(Entry));
  Older.StartedAtMs = 6;
  CHECK_FALSE(Registry.isOutdated(Older));
  Older.StartedAtMs = 4;
  CHECK(Registry.isOutdated(Older));
}

TEST_CASE("A near replica is preferred while it has room") {
  UpstreamRegistry Registry(makeSettings());
  Registry.put(makeEntry("far", "far"), atSecond(0));
  Registry.put(makeEntry("here"), atSecond(0));
  CHECK(Registry.choose(makeQuery(0)).Target->Entry.Id == UpstreamId("here"));
  ReportedLoad Full{8, 0, 8, atSecond(0)};
  Registry.onLoadReport(*Registry.find(UpstreamId("here")), Full);
  CHECK(Registry.choose(makeQuery(0)).Target->Entry.Id == UpstreamId("far"));
}

TEST_CASE("Load pattern: one request each from many hosts stays near") {
  UpstreamRegistry Registry(makeSettings());
  Registry.put(makeEntry("far", "far"), atSecond(0));
  Registry.put(makeEntry("here"), atSecond(0));
  Registry.onRequestStarted(Registry.choose(makeQuery(0)), makeQuery(0));
  CHECK(Registry.choose(makeQuery(1)).Target->Entry.Id == UpstreamId("here"));
}

TEST_CASE("Draining and removed replicas get no requests") {
  UpstreamRegistry Registry(makeSettings());
  ReplicaEntry Leaving = makeEntry("a");
  Leaving.Draining = true;
  Registry.put(Leaving, atSecond(0));
  CHECK(Registry.choose(makeQuery(0)).Target == nullptr);
  Registry.put(makeEntry("b"), atSecond(0));
  Registry.remove(UpstreamId("b"), atSecond(1), absl::ZeroDuration());
  CHECK(Registry.choose(makeQuery(1)).Target == nullptr);
}

TEST_CASE("An entry lost in a store outage stays usable for a while") {
  UpstreamRegistry Registry(makeSettings());
  Registry.put(makeEntry("a"), atSecond(0));
  Registry.remove(UpstreamId("a"), atSecond(0), absl::Seconds(2));
  CHECK(Registry.choose(makeQuery(1)).Target != nullptr);
  CHECK(Registry.choose(makeQuery(3)).Target == nullptr);
  Registry.put(makeEntry("a"), atSecond(4));
  CHECK(Registry.choose(makeQuery(4)).Target != nullptr);
}

TEST_CASE("A restarted replica replaces the one with its id") {
  UpstreamRegistry Registry(makeSettings());
  Registry.put(makeEntry("a"), atSecond(0));
  ReplicaPtr Old = Registry.find(UpstreamId("a"));
  ReplicaEntry Restarted = makeEntry("a");
  Restarted.StartedAtMs = 5;
  Registry.put(Restarted, atSecond(1));
  CHECK(Registry.find(UpstreamId("a")) != Old);
  CHECK(Registry.size() == 1);
}

TEST_CASE("The choice always follows the roll-out's version rule") {
  rc::prop("for any loads", [] {
    UpstreamRegistry Registry(makeSettings());
    for (int Index = 0; Index < 6; ++Index)
      Registry.put(makeEntry(std::to_string(Index), "near",
                             Index % 2 == 0 ? "v1" : "v2"),
                   atSecond(0));
    ChoiceQuery Query = makeQuery(0);
    Query.Rule = {VersionId("v2"), *rc::gen::arbitrary<bool>()};
    for (int Count = *rc::gen::inRange(0, 30); Count > 0; --Count)
      Registry.onRequestStarted(Registry.choose(Query), Query);
    Choice Chosen = Registry.choose(Query);
    bool IsTarget = Chosen.Target->Entry.Version == VersionId("v2");
    RC_ASSERT(IsTarget == Query.Rule.RequireTarget);
  });
}

TEST_CASE("Consecutive connection failures eject a replica briefly") {
  UpstreamRegistry Registry(makeSettings());
  Registry.put(makeEntry("a"), atSecond(0));
  Registry.put(makeEntry("b"), atSecond(0));
  ReplicaPtr Bad = Registry.find(UpstreamId("a"));
  for (int Count = 0; Count < 3; ++Count) {
    Choice Picked;
    Picked.Target = Bad;
    Registry.onRequestStarted(Picked, makeQuery(0));
    Registry.onRequestEnded(*Bad, Outcome::ConnectionFailed, atSecond(0));
  }
  CHECK(Registry.choose(makeQuery(0.1)).Target->Entry.Id == UpstreamId("b"));
  CHECK(Bad->EjectedUntil < atSecond(30));
}

TEST_CASE("At most half of a service's replicas are ejected") {
  UpstreamRegistry Registry(makeSettings());
  for (int Index = 0; Index < 6; ++Index)
    Registry.put(makeEntry(std::to_string(Index)), atSecond(0));
  for (const ReplicaPtr &Candidate : Registry.replicasOf(ServiceId("s")))
    for (int Count = 0; Count < 5; ++Count) {
      Choice Picked;
      Picked.Target = Candidate;
      Registry.onRequestStarted(Picked, makeQuery(0));
      Registry.onRequestEnded(*Candidate, Outcome::ConnectionFailed,
                              atSecond(0));
    }
  int EjectedCount = 0;
  for (const ReplicaPtr &Candidate : Registry.replicasOf(ServiceId("s")))
    EjectedCount += atSecond(0.1) < Candidate->EjectedUntil ? 1 : 0;
  CHECK(EjectedCount <= 3);
}

TEST_CASE("A replica that fails more than the others is ejected") {
  UpstreamRegistry Registry(makeSettings());
  for (const char *Id : {"a", "b", "c", "d"})
    Registry.put(makeEntry(Id), atSecond(0));
  auto FinishRequest = [&](const char *Id, Outcome Result) {
    ReplicaPtr Upstream = Registry.find(UpstreamId(Id));
    Choice Picked;
    Picked.Target = Upstream;
    Registry.onRequestStarted(Picked, makeQuery(0));
    Registry.onRequestEnded(*Upstream, Result, atSecond(0));
  };
  for (int Round = 0; Round < 20; ++Round) {
    for (const char *Id : {"b", "c", "d"})
      FinishRequest(Id, Round % 7 == 0 ? Outcome::Failed : Outcome::Good);
    FinishRequest("a", Round % 2 == 0 ? Outcome::Failed : Outcome::Good);
  }
  CHECK(Registry.find(UpstreamId("a"))->Ejections > 0);
  CHECK(Registry.find(UpstreamId("b"))->Ejections == 0);
}

TEST_CASE("Load pattern: a long prompt occupies an engine for seconds") {
  UpstreamRegistry Registry(makeSettings());
  Registry.put(makeEntry("a"), atSecond(0));
  Registry.put(makeEntry("b"), atSecond(0));
  ChoiceQuery Long = makePromptQuery({{1, 60000}});
  Choice First = Registry.choose(Long);
  Registry.onRequestStarted(First, Long);
  CHECK(First.PrefillTime > absl::Seconds(1));
  for (int Count = 0; Count < 5; ++Count) {
    ChoiceQuery Short =
        makePromptQuery({{100 + static_cast<uint64_t>(Count), 500}});
    Choice Next = Registry.choose(Short);
    CHECK(Next.Target != First.Target);
    Registry.onRequestStarted(Next, Short);
  }
}

TEST_CASE("Load pattern: other hosts' long prompts are avoided too") {
  UpstreamRegistry Registry(makeSettings());
  Registry.put(makeEntry("a"), atSecond(0));
  Registry.put(makeEntry("b"), atSecond(0));
  ReplicaPtr Busy = Registry.find(UpstreamId("a"));
  Registry.addRemoteWork(Busy->IdHash, absl::Seconds(3), atSecond(0));
  CHECK(Registry.choose(makePromptQuery({{1, 500}})).Target != Busy);
}

TEST_CASE("Load pattern: requests that share a prefix use one engine") {
  UpstreamRegistry Registry(makeSettings());
  for (const char *Id : {"a", "b", "c", "d"})
    Registry.put(makeEntry(Id), atSecond(0));
  std::map<std::string, int> RequestCounts;
  for (int Count = 0; Count < 20; ++Count) {
    double Now = Count;
    ChoiceQuery Query = makePromptQuery(
        {{7, 5000}, {1000 + static_cast<uint64_t>(Count), 300}}, Now);
    Choice Chosen = Registry.choose(Query);
    Registry.onRequestStarted(Chosen, Query);
    Registry.onFirstByte(Chosen, Chosen.QueueDelay + Chosen.PrefillTime,
                         atSecond(Now + 0.2));
    Registry.onRequestEnded(*Chosen.Target, Outcome::Good, atSecond(Now + 0.5));
    RequestCounts[Chosen.Target->Entry.Id.text()] += 1;
  }
  CHECK(RequestCounts.size() == 1);
}

TEST_CASE("Load pattern: a hot prefix spreads when its engine is busy") {
  UpstreamRegistry Registry(makeSettings());
  for (const char *Id : {"a", "b", "c", "d"})
    Registry.put(makeEntry(Id), atSecond(0));
  std::map<std::string, int> RequestCounts;
  for (int Count = 0; Count < 40; ++Count) {
    ChoiceQuery Query = makePromptQuery(
        {{7, 5000}, {1000 + static_cast<uint64_t>(Count), 4000}});
    Choice Chosen = Registry.choose(Query);
    Registry.onRequestStarted(Chosen, Query);
    RequestCounts[Chosen.Target->Entry.Id.text()] += 1;
  }
  CHECK(RequestCounts.size() == 4);
}

TEST_CASE("A cancelled prompt no longer delays others") {
  UpstreamRegistry Registry(makeSettings());
  Registry.put(makeEntry("a"), atSecond(0));
  ChoiceQuery Query = makePromptQuery({{1, 30000}});
  Choice Chosen = Registry.choose(Query);
  Registry.onRequestStarted(Chosen, Query);
  Registry.onRequestCancelled(Chosen, atSecond(0));
  CHECK(Registry.choose(makePromptQuery({{2, 10}})).QueueDelay <=
        absl::Milliseconds(1));
}

TEST_CASE("The prefill rate converges to the samples") {
  PrefillRateEstimator Estimator;
  for (int Count = 0; Count < 300; ++Count)
    Estimator.addSample(4000, effectiveTokens(4000) * 0.04);
  CHECK(Estimator.msPerToken() == Approx(0.04).epsilon(0.1));
}

namespace {

const RetryShares Shares{0.5, 0.2, 3, absl::Seconds(10)};

/// Times of events in seconds.
struct TimeSeries {
  std::vector<double> Times;
  double countIn(double After, double Until) const {
    return static_cast<double>(
        std::count_if(this->Times.begin(), this->Times.end(),
                      [&](double At) { return At > After && At <= Until; }));
  }
};

} // namespace

TEST_CASE("Retries never exceed the budget") {
  rc::prop("over any order of attempts", [] {
    RetryBudget Budget(Shares);
    int FirstAttempts = 0;
    int Retries = 0;
    for (bool IsRetry : *rc::gen::arbitrary<std::vector<bool>>()) {
      if (!IsRetry) {
        Budget.onFirstAttempt(atSecond(0));
        FirstAttempts += 1;
      } else if (Budget.tryAcquire(RepeatReason::Failure, atSecond(0))) {
        Retries += 1;
      }
      RC_ASSERT(Retries <= Shares.Ratio * FirstAttempts + Shares.Slack);
    }
  });
}

TEST_CASE("Retries of all hosts stay within the bound in every window") {
  rc::prop("over any times and any partition of the traffic", [] {
    constexpr size_t HostCount = 4;
    std::vector<RetryBudget> Hosts(HostCount, RetryBudget(Shares));
    TimeSeries FirstAttempts;
    TimeSeries Retries;
    double Seconds = 0;
    int Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      Seconds += *rc::gen::inRange(0, 8) * 0.25;
      RetryBudget &Host = Hosts[*rc::gen::inRange<size_t>(0, HostCount)];
      int Count = *rc::gen::inRange(1, 12);
      bool IsRetry = *rc::gen::arbitrary<bool>();
      for (int Index = 0; Index < Count; ++Index) {
        if (!IsRetry) {
          Host.onFirstAttempt(atSecond(Seconds));
          FirstAttempts.Times.push_back(Seconds);
        } else if (Host.tryAcquire(RepeatReason::Failure, atSecond(Seconds))) {
          Retries.Times.push_back(Seconds);
        }
      }
      double Window = absl::ToDoubleSeconds(Shares.Window);
      double Bound =
          Shares.Ratio * FirstAttempts.countIn(Seconds - Window, Seconds) +
          Shares.KeptRatio *
              FirstAttempts.countIn(Seconds - 2 * Window, Seconds - Window) +
          Shares.Slack * HostCount;
      RC_ASSERT(Retries.countIn(Seconds - Window, Seconds) <= Bound);
    }
  });
}

TEST_CASE("Load pattern: many streams of a host break at the same moment") {
  RetryBudget Budget(Shares);
  for (int Index = 0; Index < 60; ++Index)
    Budget.onFirstAttempt(atSecond(Index * 0.1));
  int Repeated = 0;
  for (int Index = 0; Index < 30; ++Index)
    Repeated += Budget.tryAcquire(RepeatReason::Failure, atSecond(6)) ? 1 : 0;
  CHECK(Repeated >= 12);
  // The window has passed; nothing was kept, and the slack is used.
  CHECK_FALSE(Budget.tryAcquire(RepeatReason::Failure, atSecond(30)));
}

TEST_CASE("Steps to a larger model leave a part of the budget to failures") {
  RetryBudget Budget(Shares);
  for (int Index = 0; Index < 100; ++Index)
    Budget.onFirstAttempt(atSecond(0));
  int Steps = 0;
  while (Budget.tryAcquire(RepeatReason::LargerModel, atSecond(1)))
    Steps += 1;
  int Failures = 0;
  while (Budget.tryAcquire(RepeatReason::Failure, atSecond(1)))
    Failures += 1;
  CHECK(Steps == static_cast<int>(Shares.Slack));
  CHECK(Failures == 20);
}

TEST_CASE("Only replicas in allowed regions are eligible") {
  ChoiceSettings Settings = makeSettings();
  Settings.Regions = {{PlaceId("near"), RegionId("x")},
                      {PlaceId("far"), RegionId("y")}};
  UpstreamRegistry Registry(Settings);
  Registry.put(makeEntry("here"), atSecond(0));
  Registry.put(makeEntry("far", "far"), atSecond(0));
  Registry.put(makeEntry("lost", "unknown"), atSecond(0));
  ChoiceQuery Query = makeQuery(0);
  auto Chosen = [&](const AllowedRegions &Regions) {
    Query.Regions = Registry.regionRule(Regions);
    ReplicaPtr Target = Registry.choose(Query).Target;
    return Target ? Target->Entry.Id.text() : "";
  };
  CHECK(Chosen({}) == "here");
  CHECK(Chosen({{RegionId("y")}}) == "far");
  CHECK(Chosen({{RegionId("?"), RegionId("y")}}) == "far");
  CHECK(Chosen({{RegionId("?")}}).empty());
  CHECK(Chosen(AllowedRegions(std::vector<RegionId>())).empty());
  Registry.pause(UpstreamId("far"), atSecond(5));
  Query.Regions = Registry.regionRule({{RegionId("y")}});
  CHECK(Registry.earliestAvailability(Query).SinceStart ==
        atSecond(5).SinceStart);
  Query.Regions = Registry.regionRule({{RegionId("x")}});
  CHECK(Registry.earliestAvailability(Query).SinceStart ==
        absl::InfiniteDuration());
}

TEST_CASE("Replicas of an evacuated data centre leave every sum") {
  UpstreamRegistry Registry(makeSettings());
  Registry.put(makeEntry("here"), atSecond(0));
  Registry.put(makeEntry("far", "far"), atSecond(0));
  Registry.onLoadReport(*Registry.find(UpstreamId("far")),
                        {8, 0, 8, atSecond(0)});
  Registry.setEvacuated({PlaceId("near"), PlaceId("nowhere")});
  CHECK(Registry.choose(makeQuery(0)).Target->Entry.Id == UpstreamId("far"));
  CHECK(Registry.utilization(makeQuery(0)) == 1);
  CHECK_FALSE(Registry.hasCapacity(makeQuery(0)));
  // A replica that starts there, and one that moves there.
  Registry.put(makeEntry("new"), atSecond(0));
  Registry.put(makeEntry("far"), atSecond(0));
  CHECK(Registry.choose(makeQuery(0)).Target == nullptr);
  CHECK(Registry.earliestAvailability(makeQuery(0)).SinceStart ==
        absl::InfiniteDuration());
  Registry.setEvacuated({});
  CHECK(Registry.hasCapacity(makeQuery(0)));
}
