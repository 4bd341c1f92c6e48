//===- decision_bench.cpp - How long a decision takes ---------------------===//
//
// Plan and replica choice at the size that the users target: 34 versions and
// 750 replicas, and how the time grows with the replicas of one model.
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
  Table Out;
  for (int I = 0; I < Versions; ++I) {
    VersionRow Row;
    Row.Key = VersionKey{ModelId("model-" + std::to_string(I % ModelCount)),
                         VersionId("version-" + std::to_string(I))};
    Row.CostOut = MicroCost(100 + I * 37);
    Row.ExpectedShare = 0.7 + 0.29 * I / Versions;
    Out.Models[Row.Key.Model] = ModelRow{Row.Key.Model, ""};
    Out.Versions[Row.Key] = Row;
    Out.Allowed[WorkspaceId("w")].insert(Row.Key.Model);
  }
  return Out;
}

std::vector<ReplicaView> makeReplicas(int Count) {
  std::vector<ReplicaView> Out;
  for (int I = 0; I < Count; ++I) {
    ReplicaView View;
    View.IdHash = stableHash("replica-" + std::to_string(I));
    View.Running = I % 17;
    View.Slots = 16;
    View.IsAcross = I % 3 == 0;
    Out.push_back(View);
  }
  return Out;
}

Plan decide(const Table &Rows, const std::vector<ReplicaView> &Replicas,
            uint64_t Draw) {
  EligibilityInput Eligibility;
  Eligibility.Workspace = WorkspaceId("w");
  Eligibility.RolloutDraw = static_cast<int>(Draw % 100);
  PlanInput Input;
  Input.Kind.RequiredGoodShare = 0.95;
  Input.In = Tokens(300);
  Input.Out = Tokens(200);
  Input.RaterAnswers = true;
  Input.Turn = Draw;
  for (const VersionChoice &Choice : judgeVersions(Rows, Eligibility)) {
    if (Choice.Why == Ineligible::No)
      Input.Options.push_back(PlanOption{Choice.Row, QualityBelief{80, 100},
                                         absl::Seconds(2),
                                         absl::ZeroDuration()});
  }
  Plan Out = makePlan(PlanPolicy::Cascade, Input);
  ReplicaInput Where;
  Where.Draw = Draw;
  Where.PrefixHash = Draw % 64;
  benchmark::DoNotOptimize(chooseReplica(Replicas, Where));
  return Out;
}

/// The whole decision, with its p99 as a counter.
void planAndReplica(benchmark::State &State) {
  Table Rows = makeTable(static_cast<int>(State.range(0)));
  std::vector<ReplicaView> Replicas = makeReplicas(
      static_cast<int>(State.range(1)) / static_cast<int>(State.range(0)));
  std::vector<double> Micros;
  uint64_t Draw = 1;
  for (auto Step : State) {
    auto Began = std::chrono::steady_clock::now();
    benchmark::DoNotOptimize(decide(Rows, Replicas, Draw++));
    std::chrono::duration<double, std::micro> Took =
        std::chrono::steady_clock::now() - Began;
    Micros.push_back(Took.count());
  }
  std::sort(Micros.begin(), Micros.end());
  State.counters["p50_us"] = Micros[Micros.size() / 2];
  State.counters["p99_us"] = Micros[Micros.size() * 99 / 100];
}

void replicaChoice(benchmark::State &State) {
  std::vector<ReplicaView> Replicas =
      makeReplicas(static_cast<int>(State.range(0)));
  ReplicaInput Where;
  for (auto Step : State) {
    Where.Draw = Where.Draw * 6364136223846793005ULL + 1;
    Where.PrefixHash = Where.Draw % 64;
    benchmark::DoNotOptimize(chooseReplica(Replicas, Where));
  }
}

BENCHMARK(planAndReplica)
    ->Args({TargetVersions, TargetReplicas})
    ->Args({4, 15})
    ->Args({17, TargetReplicas});
BENCHMARK(replicaChoice)->Arg(22)->Arg(94)->Arg(188)->Arg(375)->Arg(750);

} // namespace

BENCHMARK_MAIN();
