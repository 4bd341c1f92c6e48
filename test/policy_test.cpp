//===- policy_test.cpp - Tests routing decisions --------------------------===//

#include "berylramp/policy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck/catch.h>

namespace berylramp {
namespace {

Instant at(double Seconds) { return Instant{absl::Seconds(Seconds)}; }

/// Generates a table of random version states, allowed models and roll-outs.
Table genTable() {
  Table Result;
  int Models = *rc::gen::inRange(1, 4);
  for (int M = 0; M < Models; ++M) {
    ModelId Model("m" + std::to_string(M));
    Result.Models[Model] = ModelRow{Model, ""};
    int Versions = *rc::gen::inRange(1, 4);
    for (int V = 0; V < Versions; ++V) {
      VersionRow Row;
      Row.Key = VersionKey{Model, VersionId("v" + std::to_string(V))};
      Row.State = static_cast<VersionState>(*rc::gen::inRange(0, 4));
      Row.Detached = static_cast<DetachedPolicy>(*rc::gen::inRange(0, 2));
      Row.CostOut = MicroCost(*rc::gen::inRange(1, 10000));
      Row.ExpectedShare = *rc::gen::inRange(0, 101) / 100.0;
      Result.Versions[Row.Key] = Row;
    }
    if (*rc::gen::arbitrary<bool>())
      Result.Allowed[WorkspaceId("w")].insert(Model);
    RolloutRow Rollout;
    Rollout.Model = Model;
    Rollout.Candidate = VersionId("v0");
    Rollout.Percent = *rc::gen::inRange(0, 101);
    Result.Rollouts[Model] = Rollout;
  }
  return Result;
}

// Verifies on random tables that a version is eligible only if the workspace
// may use its model and the version is neither withdrawn, held nor tripped, and
// that a detached host serves no candidate.
TEST_CASE("Eligibility never admits a forbidden version") {
  rc::prop("eligible implies allowed, open and confirmed", [] {
    Table Rows = genTable();
    EligibilityInput Input;
    Input.Workspace = WorkspaceId("w");
    Input.IsDetached = *rc::gen::arbitrary<bool>();
    Input.RolloutDraw = *rc::gen::inRange(0, 100);
    if (*rc::gen::arbitrary<bool>())
      Input.Tripped.push_back(Rows.Versions.begin()->first);
    for (const VersionEligibility &Choice : evaluateVersions(Rows, Input)) {
      if (Choice.Reason != IneligibilityReason::None)
        continue;
      const VersionRow &Row = *Choice.Row;
      RC_ASSERT(Rows.Allowed[WorkspaceId("w")].count(Row.Key.Model) == 1u);
      RC_ASSERT(Row.State != VersionState::Withdrawn);
      RC_ASSERT(Row.State != VersionState::Held);
      RC_ASSERT(
          std::count(Input.Tripped.begin(), Input.Tripped.end(), Row.Key) == 0);
      if (Row.State == VersionState::Candidate) {
        RC_ASSERT(!Input.IsDetached);
        RC_ASSERT(Input.RolloutDraw < Rows.Rollouts[Row.Key.Model].Percent);
      }
      if (Input.IsDetached)
        RC_ASSERT(Row.Detached == DetachedPolicy::Serve);
    }
  });
}

// Verifies that a session stays on a held version but never on a withdrawn one,
// and that the replacement is always a serving version.
TEST_CASE("Pinned sessions keep held versions and leave withdrawn ones") {
  rc::prop("pins follow the table", [] {
    Table Rows = genTable();
    Rows.Allowed[WorkspaceId("w")].insert(ModelId("m0"));
    EligibilityInput Input;
    Input.Workspace = WorkspaceId("w");
    for (const auto &[Key, Row] : Rows.Versions) {
      IneligibilityReason PinReason = evaluatePinnedVersion(Rows, Input, Key);
      if (Row.State == VersionState::Withdrawn)
        RC_ASSERT(PinReason != IneligibilityReason::None);
      if (Row.State == VersionState::Held && Key.Model == ModelId("m0"))
        RC_ASSERT(PinReason == IneligibilityReason::None);
      VersionKey Next = followReplacement(Rows, Key);
      if (!Next.Version.empty())
        RC_ASSERT(Rows.Versions[Next].State == VersionState::Serving);
    }
  });
}

/// Generates a plan input with one option for each version of a table.
PlanInput genPlanInput(const Table &Rows) {
  PlanInput Input;
  Input.Kind.RequiredGoodShare = *rc::gen::inRange(50, 100) / 100.0;
  Input.Kind.Deadline = absl::Seconds(*rc::gen::inRange(1, 20));
  Input.PromptTokens = Tokens(*rc::gen::inRange(1, 1000));
  Input.AnswerTokens = Tokens(*rc::gen::inRange(1, 1000));
  Input.RaterAvailable = *rc::gen::arbitrary<bool>();
  Input.RequestDraw = *rc::gen::arbitrary<uint64_t>();
  for (const auto &[Key, Row] : Rows.Versions) {
    double RatingCount = *rc::gen::inRange(0, 500);
    Input.Options.push_back(PlanOption{
        &Row, QualityEstimate{RatingCount * Row.ExpectedShare, RatingCount},
        absl::Seconds(*rc::gen::inRange(0, 10)), absl::ZeroDuration()});
  }
  return Input;
}

// Verifies for every policy that a plan names only versions among its options
// and does not depend on their order.
TEST_CASE("Plans use only their options, in any order") {
  rc::prop("plans use only their options in any order", [] {
    Table Rows = genTable();
    PlanInput Input = genPlanInput(Rows);
    PlanInput Shuffled = Input;
    std::mt19937 Random(*rc::gen::arbitrary<uint32_t>());
    std::shuffle(Shuffled.Options.begin(), Shuffled.Options.end(), Random);
    for (int P = 0; P <= static_cast<int>(PlanPolicy::Lean); ++P) {
      PlanPolicy Policy = static_cast<PlanPolicy>(P);
      Plan Selected = makePlan(Policy, Input);
      RC_ASSERT(Selected.Found);
      RC_ASSERT(Rows.Versions.count(Selected.InitialVersion) == 1u);
      if (Selected.IsCascade) {
        RC_ASSERT(Input.RaterAvailable);
        RC_ASSERT(Rows.Versions.count(Selected.EscalationVersion) == 1u);
        RC_ASSERT(Selected.InitialVersion != Selected.EscalationVersion);
      }
      Plan ShuffledPlan = makePlan(Policy, Shuffled);
      RC_ASSERT(ShuffledPlan.InitialVersion == Selected.InitialVersion);
      RC_ASSERT(ShuffledPlan.EscalationVersion == Selected.EscalationVersion);
    }
  });
}

// Verifies that a plan without BelowShare meets the agreed share, and that
// allowing cascades never makes a plan more expensive.
TEST_CASE("Plans meet the agreed share at the least cost") {
  rc::prop("a cascade never costs more than a direct plan", [] {
    Table Rows = genTable();
    PlanInput Input = genPlanInput(Rows);
    Plan Direct = makePlan(PlanPolicy::Direct, Input);
    Plan Cascade = makePlan(PlanPolicy::Cascade, Input);
    if (!Direct.BelowShare) {
      RC_ASSERT(Direct.ExpectedShare >= Input.Kind.RequiredGoodShare);
      RC_ASSERT(!Cascade.BelowShare);
      RC_ASSERT(Cascade.ExpectedCost <= Direct.ExpectedCost);
    }
    if (!Cascade.BelowShare)
      RC_ASSERT(Cascade.ExpectedShare >= Input.Kind.RequiredGoodShare);
  });
}

// Verifies that a mixture of plans meets the share on average over many
// requests and costs no more than the cheapest single plan.
TEST_CASE("Mixtures meet the share over many requests at less cost") {
  rc::prop("the mean of a mixture", [] {
    Table Rows = genTable();
    PlanInput Input = genPlanInput(Rows);
    Plan SinglePlan = makePlan(PlanPolicy::Cascade, Input);
    if (SinglePlan.BelowShare)
      return;
    double Share = 0;
    double Cost = 0;
    constexpr int Draws = 500;
    for (int I = 0; I < Draws; ++I) {
      Input.RequestDraw = static_cast<uint64_t>(I) * 20;
      Plan MixturePlan = makePlan(PlanPolicy::Lean, Input);
      Share += MixturePlan.ExpectedShare / Draws;
      Cost += static_cast<double>(MixturePlan.ExpectedCost.count()) / Draws;
    }
    RC_ASSERT(Share >= Input.Kind.RequiredGoodShare - 0.003);
    RC_ASSERT(Cost <=
              static_cast<double>(SinglePlan.ExpectedCost.count()) * 1.01 + 1);
  });
}

std::vector<ReplicaView> genReplicas() {
  std::vector<ReplicaView> Replicas;
  int Count = *rc::gen::inRange(1, 20);
  for (int I = 0; I < Count; ++I) {
    ReplicaView View;
    View.IdHash = stableHash("r" + std::to_string(I));
    View.Slots = *rc::gen::inRange(1, 16);
    View.Running = *rc::gen::inRange(0, 20);
    View.Waiting = *rc::gen::inRange(0, 20);
    View.IsUnavailable = *rc::gen::inRange(0, 4) == 0;
    View.IsCrossZone = *rc::gen::arbitrary<bool>();
    Replicas.push_back(View);
  }
  return Replicas;
}

// Verifies that no policy chooses a replica that is leaving or ejected, that an
// available replica is found if there is one, and that the order of the
// replicas does not matter.
TEST_CASE("Replica choice ignores order and unavailable replicas") {
  rc::prop("the same replica in any order", [] {
    std::vector<ReplicaView> Replicas = genReplicas();
    std::vector<ReplicaView> Shuffled = Replicas;
    std::mt19937 Random(*rc::gen::arbitrary<uint32_t>());
    std::shuffle(Shuffled.begin(), Shuffled.end(), Random);
    bool AnyAvailable =
        std::any_of(Replicas.begin(), Replicas.end(),
                    [](const ReplicaView &R) { return !R.IsUnavailable; });
    ReplicaInput Input;
    Input.Draw = *rc::gen::arbitrary<uint64_t>();
    Input.PrefixHash = *rc::gen::arbitrary<uint64_t>();
    if (*rc::gen::arbitrary<bool>())
      Input.AvoidedIds.push_back(Replicas.front().IdHash);
    for (int P = 0; P <= static_cast<int>(ReplicaPolicy::Affinity); ++P) {
      Input.Policy = static_cast<ReplicaPolicy>(P);
      int Chosen = chooseReplica(Replicas, Input);
      RC_ASSERT((Chosen >= 0) == AnyAvailable);
      if (Chosen < 0)
        continue;
      RC_ASSERT(!Replicas[static_cast<size_t>(Chosen)].IsUnavailable);
      int ShuffledChoice = chooseReplica(Shuffled, Input);
      RC_ASSERT(Shuffled[static_cast<size_t>(ShuffledChoice)].IdHash ==
                Replicas[static_cast<size_t>(Chosen)].IdHash);
    }
  });
}

// Verifies that equal prompts go to the same replica until it is clearly busier
// than others, and that a replica across a paid link is chosen only when the
// shorter wait outweighs the price of the link.
TEST_CASE("Replica choice weighs affinity and paid links") {
  std::vector<ReplicaView> Replicas(4);
  for (size_t I = 0; I < Replicas.size(); ++I)
    Replicas[I].IdHash = stableHash("r" + std::to_string(I));
  Replicas[3].IsCrossZone = true;
  ReplicaInput Input;
  Input.PrefixHash = 77;
  int PreferredReplica = chooseReplica(Replicas, Input);
  for (uint64_t Draw = 0; Draw < 50; ++Draw) {
    Input.Draw = Draw;
    CHECK(chooseReplica(Replicas, Input) == PreferredReplica);
    CHECK(PreferredReplica != 3);
  }
  Replicas[static_cast<size_t>(PreferredReplica)].Waiting = 100;
  CHECK(chooseReplica(Replicas, Input) != PreferredReplica);
  for (ReplicaView &Replica : Replicas)
    Replica.Waiting = Replica.IsCrossZone ? 0 : 100;
  CHECK(chooseReplica(Replicas, Input) == 3);
}

// Verifies that in any ten seconds a bucket admits at most its share of the
// limit plus 5 %, whatever the arrival times of the requests.
TEST_CASE("Limits are kept over any ten seconds") {
  rc::prop("excess is at most the slack", [] {
    LimitRow Row;
    Row.RequestsPerSecond = *rc::gen::inRange(20, 500);
    Row.TokensPerSecond = 1e9;
    std::mt19937_64 Random(*rc::gen::arbitrary<uint32_t>());
    std::uniform_real_distribution<double> ArrivalGap(0, 0.02);
    std::bernoulli_distribution IsPause(0.005);
    LimitBucket Bucket;
    double Now = 0;
    std::vector<double> AdmittedAt;
    while (Now < 25) {
      Now += ArrivalGap(Random) + (IsPause(Random) ? 2 : 0);
      if (consumeLimit(Bucket, Row, 1.0, Tokens(1), at(Now)).Admitted)
        AdmittedAt.push_back(Now);
    }
    for (size_t I = 0; I < AdmittedAt.size(); ++I) {
      auto End = std::lower_bound(AdmittedAt.begin(), AdmittedAt.end(),
                                  AdmittedAt[I] + 10);
      double Count = static_cast<double>(End - AdmittedAt.begin()) -
                     static_cast<double>(I);
      RC_ASSERT(Count <= Row.RequestsPerSecond * 10 * 1.05 + 1);
    }
  });
}

// Verifies that retries stay within their share of the requests, even when
// every attempt fails.
TEST_CASE("Retry budget bounds retries by the requests") {
  rc::prop(
      "retries are at most a tenth of the requests plus the initial credit",
      [] {
        RetryBudget Budget;
        int Requests = *rc::gen::inRange(1, 500);
        int Retries = 0;
        for (int I = 0; I < Requests; ++I) {
          creditRetry(Budget);
          while (consumeRetry(Budget))
            ++Retries;
        }
        RC_ASSERT(Retries <= Requests * RetryShare + 10 + 1);
      });
}

// Verifies that a non-idempotent request is never sent again once any of its
// bytes may have been sent.
TEST_CASE("Next action never repeats a request that may have run") {
  for (UpstreamFault Fault :
       {UpstreamFault::Refused, UpstreamFault::Interrupted,
        UpstreamFault::Misdirected, UpstreamFault::TimedOut}) {
    AttemptOutcome Outcome{Fault, /*Idempotent=*/false, Tokens(0), 1,
                           absl::Seconds(10)};
    CHECK(nextAttemptAction(Outcome) == AttemptAction::Abandon);
  }
  AttemptOutcome NotSent{UpstreamFault::ConnectFailed, false, Tokens(0), 1,
                         absl::Seconds(10)};
  CHECK(nextAttemptAction(NotSent) == AttemptAction::Retry);
}

/// Number of ratings until a version trips; RatingLimit when it does not.
int ratingsUntilTrip(std::mt19937_64 &Random, double Share, double AgreedShare,
                     int RatingLimit) {
  VersionQualityTest Test;
  std::bernoulli_distribution IsGood(Share);
  for (int I = 1; I <= RatingLimit; ++I) {
    recordRating(Test, IsGood(Random), AgreedShare);
    if (isTripped(Test))
      return I;
  }
  return RatingLimit;
}

// Verifies with 1000 seeded runs that a good candidate trips in at most 1 % of
// the runs over the ratings of a whole roll-out, and that a version whose share
// falls from 0.97 to 0.6 trips within 60 bad answers in every run.
TEST_CASE("Version test trips bad candidates early and good ones rarely") {
  constexpr int Runs = 1000;
  constexpr int RolloutRatings = 400;
  std::mt19937_64 Random(20261204);
  int GoodTripped = 0;
  int MaxRatings = 0;
  for (int I = 0; I < Runs; ++I) {
    GoodTripped +=
        ratingsUntilTrip(Random, 0.97, 0.95, RolloutRatings) < RolloutRatings
            ? 1
            : 0;
    MaxRatings =
        std::max(MaxRatings, ratingsUntilTrip(Random, 0.6, 0.95, 1000));
  }
  CAPTURE(GoodTripped, MaxRatings);
  CHECK(GoodTripped <= Runs / 100);
  CHECK(MaxRatings * 0.4 <= 60);
}

// Verifies that the combined ratings of the fleet trip a bad candidate that has
// few ratings on each host, and never a good one.
TEST_CASE("Fleet evidence trips bad candidates and no good ones") {
  CHECK(evidenceAgainst(12, 20, 0.95) >= TripEvidence);
  CHECK(evidenceAgainst(97, 100, 0.95) < 0);
  CHECK(evidenceAgainst(388, 400, 0.95) < 0);
  CHECK(evidenceAgainst(0, 0, 0.95) == 0);
}

// Verifies that every host derives the same ids for the edits of a roll-out
// step and of a hold, so that the log accepts each edit once.
TEST_CASE("Roll-out edits have derived ids") {
  RolloutRow Row;
  Row.Model = ModelId("m");
  Row.Candidate = VersionId("v");
  Row.Percent = 5;
  Row.Run = "7";
  Row.Steps = {5, 25, 100};
  Row.RatingsPerStep = 50;
  CHECK(nextRolloutPercent(Row, 49) == -1);
  CHECK(nextRolloutPercent(Row, 50) == 25);
  CHECK(makeRolloutStepEdit(Row, 25, Offset(3)).Id ==
        makeRolloutStepEdit(Row, 25, Offset(9)).Id);
  CHECK(makeRolloutStepEdit(Row, 100, Offset(3)).Changes.size() == 2);
  VersionKey Key{Row.Model, Row.Candidate};
  ConfigState First;
  First.Applied = Offset(1);
  ConfigState Second;
  Second.Applied = Offset(2);
  CHECK(makeHoldEdit(Key, "7", "a", First).Id ==
        makeHoldEdit(Key, "7", "b", Second).Id);
}

TEST_CASE("A hold is written again after a conflict but not once accepted") {
  VersionKey Key{ModelId("m"), VersionId("v")};
  ConfigState State;
  EditId First = makeHoldEdit(Key, "7", "a", State).Id;
  State.Outcomes.push_back({First, Offset(4), EditVerdict::Conflict, ""});
  State.Applied = Offset(4);
  Edit RepeatedHold = makeHoldEdit(Key, "7", "a", State);
  CHECK(RepeatedHold.Id != First);
  CHECK(RepeatedHold.BaseOffset == Offset(4));
  State.Outcomes.push_back(
      {RepeatedHold.Id, Offset(6), EditVerdict::Accepted, ""});
  CHECK(makeHoldEdit(Key, "7", "a", State).Id == RepeatedHold.Id);
}

// Verifies that consecutive faults eject a replica, that every further ejection
// lasts longer, and that a success ends the ejection.
TEST_CASE("Replicas are ejected after faults in a row") {
  ReplicaHealth Health;
  for (int I = 0; I < 3; ++I)
    recordReplicaResult(Health, true, at(0));
  CHECK(isEjected(Health, at(1)));
  CHECK_FALSE(isEjected(Health, at(3)));
  for (int I = 0; I < 3; ++I)
    recordReplicaResult(Health, true, at(3));
  CHECK(isEjected(Health, at(6)));
  recordReplicaResult(Health, false, at(8));
  CHECK_FALSE(isEjected(Health, at(8)));
}

} // namespace
} // namespace berylramp
