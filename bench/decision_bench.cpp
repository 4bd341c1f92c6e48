//===- decision_bench.cpp - Latency of a routing decision -----------------===//
//
// Measures the plan and the replica choice at the target size of 34 versions
// and 750 replicas, and how the time grows with the replicas of one model.
//
//===----------------------------------------------------------------------===//

#include "berylramp/policy.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>

namespace {

using namespace berylramp;

constexpr int ModelCount = 8;
constexpr int TargetVersions = 34;
constexpr int TargetReplicas = 750;

Table makeTable(int Versions) {
  Table Result;
  for (int I = 0; I < Versions; ++I) {
    VersionRow Row;
    Row.Key = VersionKey{ModelId("model-" + std::to_string(I % ModelCount)),
                         VersionId("version-" + std::to_string(I))};
    Row.CostOut = MicroCost(100 + I * 37);
    Row.ExpectedShare = 0.7 + 0.29 * I / Versions;
    Result.Models[Row.Key.Model] = ModelRow{Row.Key.Model, ""};
    Result.Versions[Row.Key] = Row;
    Result.Allowed[WorkspaceId("w")].insert(Row.Key.Model);
  }
  return Result;
}

std::vector<ReplicaView> makeReplicas(int Count) {
  std::vector<ReplicaView> Result;
  for (int I = 0; I < Count; ++I) {
    ReplicaView View;
    View.IdHash = stableHash("replica-" + std::to_string(I));
    View.Running = I % 17;
    View.Slots = 16;
    View.IsCrossZone = I % 3 == 0;
    Result.push_back(View);
  }
  return Result;
}

Plan decide(const Table &Rows, const std::vector<ReplicaView> &Replicas,
            uint64_t Draw) {
  EligibilityInput Eligibility;
  Eligibility.Workspace = WorkspaceId("w");
  Eligibility.RolloutDraw = static_cast<int>(Draw % 100);
  PlanInput Input;
  Input.Kind.RequiredGoodShare = 0.95;
  Input.PromptTokens = Tokens(300);
  Input.AnswerTokens = Tokens(200);
  Input.RaterAvailable = true;
  Input.RequestDraw = Draw;
  for (const VersionEligibility &Choice : evaluateVersions(Rows, Eligibility)) {
    if (Choice.Reason == IneligibilityReason::None)
      Input.Options.push_back(PlanOption{Choice.Row, QualityEstimate{80, 100},
                                         absl::Seconds(2),
                                         absl::ZeroDuration()});
  }
  Plan Result = makePlan(PlanPolicy::Cascade, Input);
  ReplicaInput Replica;
  Replica.Draw = Draw;
  Replica.PrefixHash = Draw % 64;
  benchmark::DoNotOptimize(chooseReplica(Replicas, Replica));
  return Result;
}

/// Measures the plan and the replica choice, with p50 and p99 as counters.
void planAndReplica(benchmark::State &State) {
  Table Rows = makeTable(static_cast<int>(State.range(0)));
  std::vector<ReplicaView> Replicas = makeReplicas(
      static_cast<int>(State.range(1)) / static_cast<int>(State.range(0)));
  std::vector<double> Micros;
  uint64_t Draw = 1;
  for (auto Step : State) {
    auto Start = std::chrono::steady_clock::now();
    benchmark::DoNotOptimize(decide(Rows, Replicas, Draw++));
    std::chrono::duration<double, std::micro> Elapsed =
        std::chrono::steady_clock::now() - Start;
    Micros.push_back(Elapsed.count());
  }
  std::sort(Micros.begin(), Micros.end());
  State.counters["p50_us"] = Micros[Micros.size() / 2];
  State.counters["p99_us"] = Micros[Micros.size() * 99 / 100];
}

void replicaChoice(benchmark::State &State) {
  std::vector<ReplicaView> Replicas =
      makeReplicas(static_cast<int>(State.range(0)));
  ReplicaInput Replica;
  for (auto Step : State) {
    Replica.Draw = Replica.Draw * 6364136223846793005ULL + 1;
    Replica.PrefixHash = Replica.Draw % 64;
    benchmark::DoNotOptimize(chooseReplica(Replicas, Replica));
  }
}

BENCHMARK(planAndReplica)
    ->Args({TargetVersions, TargetReplicas})
    ->Args({4, 15})
    ->Args({17, TargetReplicas});
BENCHMARK(replicaChoice)->Arg(22)->Arg(94)->Arg(188)->Arg(375)->Arg(750);

} // namespace

BENCHMARK_MAIN();
