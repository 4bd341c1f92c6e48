//===- policy_test.cpp - Tests the decisions ------------------------------===//

#include "berylramp/policy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck/catch.h>

namespace berylramp {
namespace {

Instant at(double Seconds) { return Instant{absl::Seconds(Seconds)}; }

/// A table of random states, allowances and roll-outs.
Table genTable() {
  Table Out;
  int Models = *rc::gen::inRange(1, 4);
  for (int M = 0; M < Models; ++M) {
    ModelId Model("m" + std::to_string(M));
    Out.Models[Model] = ModelRow{Model, ""};
    int Versions = *rc::gen::inRange(1, 4);
    for (int V = 0; V < Versions; ++V) {
      VersionRow Row;
      Row.Key = VersionKey{Model, VersionId("v" + std::to_string(V))};
      Row.State = static_cast<VersionState>(*rc::gen::inRange(0, 4));
      Row.Detached = static_cast<DetachedPolicy>(*rc::gen::inRange(0, 2));
      Row.CostOut = MicroCost(*rc::gen::inRange(1, 10000));
      Row.ExpectedShare = *rc::gen::inRange(0, 101) / 100.0;
      Out.Versions[Row.Key] = Row;
    }
    if (*rc::gen::arbitrary<bool>())
      Out.Allowed[WorkspaceId("w")].insert(Model);
    RolloutRow Rollout;
    Rollout.Model = Model;
    Rollout.Candidate = VersionId("v0");
    Rollout.Percent = *rc::gen::inRange(0, 101);
    Out.Rollouts[Model] = Rollout;
  }
  return Out;
}

// Verifies on random tables that a version is eligible only if the workspace
// is allowed its model, it is neither withdrawn, held nor tripped, and no
// candidate goes to a detached host.
TEST_CASE("Eligibility never lets a forbidden version through") {
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

// Verifies that a session stays on a held version but never on a withdrawn
// one, and that every host moves it alike to a serving one.
TEST_CASE("Pinned sessions keep held versions and leave withdrawn ones") {
  rc::prop("pins follow the table", [] {
    Table Rows = genTable();
    Rows.Allowed[WorkspaceId("w")].insert(ModelId("m0"));
    EligibilityInput Input;
    Input.Workspace = WorkspaceId("w");
    for (const auto &[Key, Row] : Rows.Versions) {
      IneligibilityReason Why = evaluatePinnedVersion(Rows, Input, Key);
      if (Row.State == VersionState::Withdrawn)
        RC_ASSERT(Why != IneligibilityReason::None);
      if (Row.State == VersionState::Held && Key.Model == ModelId("m0"))
        RC_ASSERT(Why == IneligibilityReason::None);
      VersionKey Next = followReplacement(Rows, Key);
      if (!Next.Version.empty())
        RC_ASSERT(Rows.Versions[Next].State == VersionState::Serving);
    }
  });
}

/// Options over the versions of a table.
PlanInput genPlanInput(const Table &Rows) {
  PlanInput Input;
  Input.Kind.RequiredGoodShare = *rc::gen::inRange(50, 100) / 100.0;
  Input.Kind.Deadline = absl::Seconds(*rc::gen::inRange(1, 20));
  Input.PromptTokens = Tokens(*rc::gen::inRange(1, 1000));
  Input.AnswerTokens = Tokens(*rc::gen::inRange(1, 1000));
  Input.RaterAvailable = *rc::gen::arbitrary<bool>();
  Input.RequestDraw = *rc::gen::arbitrary<uint64_t>();
  for (const auto &[Key, Row] : Rows.Versions) {
    double Rated = *rc::gen::inRange(0, 500);
    Input.Options.push_back(PlanOption{
        &Row, QualityEstimate{Rated * Row.ExpectedShare, Rated},
        absl::Seconds(*rc::gen::inRange(0, 10)), absl::ZeroDuration()});
  }
  return Input;
}

// Verifies that a plan names only its options, whatever the policy, and does
// not depend on their order.
TEST_CASE("Plans use only their options, in any order") {
  rc::prop("plans are closed and order-free", [] {
    Table Rows = genTable();
    PlanInput Input = genPlanInput(Rows);
    PlanInput Shuffled = Input;
    std::mt19937 Bits(*rc::gen::arbitrary<uint32_t>());
    std::shuffle(Shuffled.Options.begin(), Shuffled.Options.end(), Bits);
    for (int P = 0; P <= static_cast<int>(PlanPolicy::Lean); ++P) {
      PlanPolicy Policy = static_cast<PlanPolicy>(P);
      Plan Made = makePlan(Policy, Input);
      RC_ASSERT(Made.Found);
      RC_ASSERT(Rows.Versions.count(Made.InitialVersion) == 1u);
      if (Made.IsCascade) {
        RC_ASSERT(Input.RaterAvailable);
        RC_ASSERT(Rows.Versions.count(Made.EscalationVersion) == 1u);
        RC_ASSERT(Made.InitialVersion != Made.EscalationVersion);
      }
      Plan Again = makePlan(Policy, Shuffled);
      RC_ASSERT(Again.InitialVersion == Made.InitialVersion);
      RC_ASSERT(Again.EscalationVersion == Made.EscalationVersion);
    }
  });
}

// Verifies that a plan that says it meets the share does, and that with the
// cascade no plan gets dearer.
TEST_CASE("Plans meet the agreed share at the least cost") {
  rc::prop("cascade is never dearer than direct", [] {
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

// Verifies that a mixture meets the share over many requests and costs no more
// than the cheapest single plan.
TEST_CASE("Mixtures meet the share over many requests at less cost") {
  rc::prop("the mean of a mixture", [] {
    Table Rows = genTable();
    PlanInput Input = genPlanInput(Rows);
    Plan Single = makePlan(PlanPolicy::Cascade, Input);
    if (Single.BelowShare)
      return;
    double Share = 0;
    double Cost = 0;
    constexpr int Draws = 500;
    for (int I = 0; I < Draws; ++I) {
      Input.RequestDraw = static_cast<uint64_t>(I) * 20;
      Plan Mixed = makePlan(PlanPolicy::Lean, Input);
      Share += Mixed.ExpectedShare / Draws;
      Cost += static_cast<double>(Mixed.ExpectedCost.count()) / Draws;
    }
    RC_ASSERT(Share >= Input.Kind.RequiredGoodShare - 0.003);
    RC_ASSERT(Cost <=
              static_cast<double>(Single.ExpectedCost.count()) * 1.01 + 1);
  });
}

std::vector<ReplicaView> genReplicas() {
  std::vector<ReplicaView> Out;
  int Count = *rc::gen::inRange(1, 20);
  for (int I = 0; I < Count; ++I) {
    ReplicaView View;
    View.IdHash = stableHash("r" + std::to_string(I));
    View.Slots = *rc::gen::inRange(1, 16);
    View.Running = *rc::gen::inRange(0, 20);
    View.Waiting = *rc::gen::inRange(0, 20);
    View.IsUnavailable = *rc::gen::inRange(0, 4) == 0;
    View.IsCrossZone = *rc::gen::arbitrary<bool>();
    Out.push_back(View);
  }
  return Out;
}

// Verifies that no policy chooses a replica that is leaving or ejected, that
// one is found where there is one, and that their order does not matter.
TEST_CASE("Replica choice is order-free and never takes a shut replica") {
  rc::prop("the same replica in any order", [] {
    std::vector<ReplicaView> Replicas = genReplicas();
    std::vector<ReplicaView> Shuffled = Replicas;
    std::mt19937 Bits(*rc::gen::arbitrary<uint32_t>());
    std::shuffle(Shuffled.begin(), Shuffled.end(), Bits);
    bool AnyOpen =
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
      RC_ASSERT((Chosen >= 0) == AnyOpen);
      if (Chosen < 0)
        continue;
      RC_ASSERT(!Replicas[static_cast<size_t>(Chosen)].IsUnavailable);
      int Again = chooseReplica(Shuffled, Input);
      RC_ASSERT(Shuffled[static_cast<size_t>(Again)].IdHash ==
                Replicas[static_cast<size_t>(Chosen)].IdHash);
    }
  });
}

// Verifies that equal prompts share a replica until it is clearly busier, and
// that a paid link is taken only when it gains more than its price.
TEST_CASE("Replica choice weighs affinity and paid links") {
  std::vector<ReplicaView> Replicas(4);
  for (size_t I = 0; I < Replicas.size(); ++I)
    Replicas[I].IdHash = stableHash("r" + std::to_string(I));
  Replicas[3].IsCrossZone = true;
  ReplicaInput Input;
  Input.PrefixHash = 77;
  int Home = chooseReplica(Replicas, Input);
  for (uint64_t Draw = 0; Draw < 50; ++Draw) {
    Input.Draw = Draw;
    CHECK(chooseReplica(Replicas, Input) == Home);
    CHECK(Home != 3);
  }
  Replicas[static_cast<size_t>(Home)].Waiting = 100;
  CHECK(chooseReplica(Replicas, Input) != Home);
  for (ReplicaView &Each : Replicas)
    Each.Waiting = Each.IsCrossZone ? 0 : 100;
  CHECK(chooseReplica(Replicas, Input) == 3);
}

// Verifies that over any ten seconds a bucket gives at most its share of the
// limit and 5 in 100 more, however the requests come.
TEST_CASE("Limits are kept over any ten seconds") {
  rc::prop("excess is at most the slack", [] {
    LimitRow Row;
    Row.RequestsPerSecond = *rc::gen::inRange(20, 500);
    Row.TokensPerSecond = 1e9;
    std::mt19937_64 Bits(*rc::gen::arbitrary<uint32_t>());
    std::uniform_real_distribution<double> Gap(0, 0.02);
    std::bernoulli_distribution Pauses(0.005);
    LimitBucket Bucket;
    double Now = 0;
    std::vector<double> Taken;
    while (Now < 25) {
      Now += Gap(Bits) + (Pauses(Bits) ? 2 : 0);
      if (consumeLimit(Bucket, Row, 1.0, Tokens(1), at(Now)).Admitted)
        Taken.push_back(Now);
    }
    for (size_t I = 0; I < Taken.size(); ++I) {
      auto End = std::lower_bound(Taken.begin(), Taken.end(), Taken[I] + 10);
      double Count =
          static_cast<double>(End - Taken.begin()) - static_cast<double>(I);
      RC_ASSERT(Count <= Row.RequestsPerSecond * 10 * 1.05 + 1);
    }
  });
}

// Verifies that retries stay within their share whatever the faults.
TEST_CASE("Retry budget bounds retries by the requests") {
  rc::prop("retries are at most a tenth and the start", [] {
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

// Verifies that an order is never sent again once bytes may have left.
TEST_CASE("Next step never repeats what may have run once") {
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

/// How many ratings a version gets before it trips; Bound when it does not.
int ratingsUntilTrip(std::mt19937_64 &Bits, double Share, double Agreed,
                     int Bound) {
  VersionQualityTest Test;
  std::bernoulli_distribution Good(Share);
  for (int I = 1; I <= Bound; ++I) {
    recordRating(Test, Good(Bits), Agreed);
    if (isTripped(Test))
      return I;
  }
  return Bound;
}

// Verifies with 1000 seeded runs that a good candidate is held in at most one
// run in a hundred over a whole roll-out's evidence, and that one whose share
// falls from 0.97 to 0.6 trips within 60 bad answers in each.
TEST_CASE("Version test holds bad candidates soon and good ones seldom") {
  constexpr int Runs = 1000;
  constexpr int RolloutRatings = 400;
  std::mt19937_64 Bits(20261204);
  int HeldGood = 0;
  int MostRatings = 0;
  for (int I = 0; I < Runs; ++I) {
    HeldGood +=
        ratingsUntilTrip(Bits, 0.97, 0.95, RolloutRatings) < RolloutRatings ? 1
                                                                            : 0;
    MostRatings =
        std::max(MostRatings, ratingsUntilTrip(Bits, 0.6, 0.95, 1000));
  }
  CAPTURE(HeldGood, MostRatings);
  CHECK(HeldGood <= Runs / 100);
  CHECK(MostRatings * 0.4 <= 60);
}

// Verifies that the fleet's ratings together condemn a bad candidate with few
// ratings on each host, and no good one.
TEST_CASE("Fleet evidence condemns bad candidates and no good ones") {
  CHECK(evidenceAgainst(12, 20, 0.95) >= TripEvidence);
  CHECK(evidenceAgainst(97, 100, 0.95) < 0);
  CHECK(evidenceAgainst(388, 400, 0.95) < 0);
  CHECK(evidenceAgainst(0, 0, 0.95) == 0);
}

// Verifies that steps and holds carry ids that every host derives alike.
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

TEST_CASE("A hold that lost to an edit is written again, an accepted one not") {
  VersionKey Key{ModelId("m"), VersionId("v")};
  ConfigState State;
  EditId First = makeHoldEdit(Key, "7", "a", State).Id;
  State.Outcomes.push_back({First, Offset(4), EditVerdict::Conflict, ""});
  State.Applied = Offset(4);
  Edit Again = makeHoldEdit(Key, "7", "a", State);
  CHECK(Again.Id != First);
  CHECK(Again.BaseOffset == Offset(4));
  State.Outcomes.push_back({Again.Id, Offset(6), EditVerdict::Accepted, ""});
  CHECK(makeHoldEdit(Key, "7", "a", State).Id == Again.Id);
}

// Verifies that a replica is ejected after faults in a row, longer each time,
// and forgiven after a success.
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
