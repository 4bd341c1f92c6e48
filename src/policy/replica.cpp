//===- replica.cpp - Replica selection ------------------------------------===//
//
// Ranks are derived from a replica's id and not from its index, so that the
// selection does not depend on the order in which a host lists its replicas.
//
//===----------------------------------------------------------------------===//

#include "berylramp/policy.h"

#include <algorithm>
#include <limits>

namespace berylramp {

namespace {

/// Estimated waiting time for each request ahead in the queue.
constexpr int64_t WaitPerQueuedMicros = 60000;
/// Added in proportion to the used slots, so that idle replicas are preferred.
constexpr int64_t WaitWhenBusyMicros = 30000;
/// Estimated waiting time that a cached prefix saves.
constexpr int64_t AffinityGainMicros = 40000;
/// A nearly full cache evicts prefixes and slows down the engine.
constexpr double NearlyFullCacheShare = 0.95;
constexpr int64_t NearlyFullCachePenaltyMicros = 50000;
constexpr int EjectionFaultThreshold = 3;
constexpr absl::Duration BaseEjectionDuration = absl::Seconds(2);
constexpr int MaxEjectionDoublings = 4;

uint64_t combineHashes(uint64_t A, uint64_t B) {
  uint64_t X = A ^ (B + 0x9e3779b97f4a7c15ULL + (A << 6) + (A >> 2));
  X ^= X >> 31;
  X *= 0xbf58476d1ce4e5b9ULL;
  X ^= X >> 29;
  return X;
}

struct RankedReplica {
  int Index = -1;
  uint64_t Rank = 0;
};

/// The two replicas with the highest ranks.
struct TopTwo {
  RankedReplica First;
  RankedReplica Second;

  void add(int Index, uint64_t Rank) {
    if (this->First.Index < 0 || Rank > this->First.Rank) {
      this->Second = this->First;
      this->First = RankedReplica{Index, Rank};
    } else if (this->Second.Index < 0 || Rank > this->Second.Rank) {
      this->Second = RankedReplica{Index, Rank};
    }
  }
};

/// Uses integer microseconds because a selection evaluates hundreds of replicas
/// and absl::Duration arithmetic is an order of magnitude slower.
int64_t expectedWaitMicros(const ReplicaView &Replica) {
  int Load =
      std::max(Replica.Running + Replica.Waiting + Replica.SentSinceReport,
               Replica.OwnInFlight);
  int64_t Queued = std::max(0, Load + 1 - Replica.Slots);
  int64_t Busy = std::min(Load, Replica.Slots) * WaitWhenBusyMicros /
                 std::max(1, Replica.Slots);
  bool IsNearlyFull = Replica.CacheShare > NearlyFullCacheShare;
  return Queued * WaitPerQueuedMicros + Busy +
         (IsNearlyFull ? NearlyFullCachePenaltyMicros : 0);
}

int64_t expectedCostMicros(const ReplicaView &Replica,
                           const ReplicaInput &Input) {
  int64_t Cost = expectedWaitMicros(Replica) + 2 * Replica.LinkMicros;
  return Replica.IsCrossZone ? Cost + Input.CrossZonePenaltyMicros : Cost;
}

bool isAvoided(const ReplicaInput &Input, uint64_t IdHash) {
  return std::find(Input.AvoidedIds.begin(), Input.AvoidedIds.end(), IdHash) !=
         Input.AvoidedIds.end();
}

int cheaperOf(const std::vector<ReplicaView> &Replicas,
              const ReplicaInput &Input, int A, int B) {
  if (B < 0)
    return A;
  if (A < 0)
    return B;
  int64_t CostA = expectedCostMicros(Replicas[A], Input);
  int64_t CostB = expectedCostMicros(Replicas[B], Input);
  return CostB < CostA ? B : A;
}

/// The two highest-ranked replicas in the host's own zone and in other zones.
struct Candidates {
  TopTwo Local;
  TopTwo Remote;
  TopTwo LocalByPrefix;
  RankedReplica Cheapest;
};

Candidates collectCandidates(const std::vector<ReplicaView> &Replicas,
                             const ReplicaInput &Input, bool UseAvoided) {
  Candidates Result;
  int64_t LowestCost = std::numeric_limits<int64_t>::max();
  for (size_t I = 0; I < Replicas.size(); ++I) {
    const ReplicaView &View = Replicas[I];
    if (View.IsUnavailable || (!UseAvoided && isAvoided(Input, View.IdHash)))
      continue;
    uint64_t Rank = combineHashes(View.IdHash, Input.Draw);
    int Index = static_cast<int>(I);
    (View.IsCrossZone ? Result.Remote : Result.Local).add(Index, Rank);
    if (!View.IsCrossZone)
      Result.LocalByPrefix.add(Index,
                               combineHashes(View.IdHash, Input.PrefixHash));
    int64_t Cost = expectedCostMicros(View, Input);
    bool IsCheaper = Cost < LowestCost ||
                     (Cost == LowestCost && Rank > Result.Cheapest.Rank);
    if (IsCheaper) {
      LowestCost = Cost;
      Result.Cheapest = RankedReplica{Index, Rank};
    }
  }
  return Result;
}

int chooseByTwoChoices(const std::vector<ReplicaView> &Replicas,
                       const ReplicaInput &Input, const Candidates &Found) {
  int Local = cheaperOf(Replicas, Input, Found.Local.First.Index,
                        Found.Local.Second.Index);
  int Remote = cheaperOf(Replicas, Input, Found.Remote.First.Index,
                         Found.Remote.Second.Index);
  return cheaperOf(Replicas, Input, Local, Remote);
}

int chooseByAffinity(const std::vector<ReplicaView> &Replicas,
                     const ReplicaInput &Input, const Candidates &Found) {
  int Balanced = chooseByTwoChoices(Replicas, Input, Found);
  int PrefixReplica = Found.LocalByPrefix.First.Index;
  if (PrefixReplica < 0 || Input.PrefixHash == 0)
    return Balanced;
  bool PrefersFirst =
      expectedCostMicros(Replicas[PrefixReplica], Input) <=
      expectedCostMicros(Replicas[Balanced], Input) + AffinityGainMicros;
  if (PrefersFirst)
    return PrefixReplica;
  int Second = Found.LocalByPrefix.Second.Index;
  bool PrefersSecond =
      Second >= 0 && expectedCostMicros(Replicas[Second], Input) <=
                         expectedCostMicros(Replicas[Balanced], Input) +
                             AffinityGainMicros / 2;
  return PrefersSecond ? Second : Balanced;
}

int choose(const std::vector<ReplicaView> &Replicas, const ReplicaInput &Input,
           bool UseAvoided) {
  Candidates Found = collectCandidates(Replicas, Input, UseAvoided);
  switch (Input.Policy) {
  case ReplicaPolicy::RoundRobin: {
    bool HasLocal = Found.Local.First.Index >= 0;
    if (HasLocal && Found.Remote.First.Rank <= Found.Local.First.Rank)
      return Found.Local.First.Index;
    return Found.Remote.First.Index >= 0 ? Found.Remote.First.Index
                                         : Found.Local.First.Index;
  }
  case ReplicaPolicy::LeastLoaded:
    return Found.Cheapest.Index;
  case ReplicaPolicy::TwoChoices:
    return chooseByTwoChoices(Replicas, Input, Found);
  case ReplicaPolicy::Affinity:
    return chooseByAffinity(Replicas, Input, Found);
  }
  return -1;
}

} // namespace

absl::Duration expectedWait(const ReplicaView &Replica) {
  return absl::Microseconds(expectedWaitMicros(Replica));
}

int chooseReplica(const std::vector<ReplicaView> &Replicas,
                  const ReplicaInput &Input) {
  int Chosen = choose(Replicas, Input, /*UseAvoided=*/false);
  if (Chosen >= 0 || Input.AvoidedIds.empty())
    return Chosen;
  return choose(Replicas, Input, /*UseAvoided=*/true);
}

absl::Duration shortestWait(const std::vector<ReplicaView> &Replicas) {
  int64_t Shortest = std::numeric_limits<int64_t>::max();
  bool HasAvailable = false;
  for (const ReplicaView &View : Replicas) {
    if (View.IsUnavailable)
      continue;
    HasAvailable = true;
    Shortest = std::min(Shortest, expectedWaitMicros(View));
  }
  return HasAvailable ? absl::Microseconds(Shortest) : absl::InfiniteDuration();
}

void recordReplicaResult(ReplicaHealth &Health, bool Failed, Instant Now) {
  if (!Failed) {
    Health = ReplicaHealth{};
    return;
  }
  ++Health.ConsecutiveFaults;
  if (Health.ConsecutiveFaults < EjectionFaultThreshold)
    return;
  int Doublings = std::min(Health.Ejections, MaxEjectionDoublings);
  Health.EjectedUntil = Now + BaseEjectionDuration * (1 << Doublings);
  ++Health.Ejections;
  Health.ConsecutiveFaults = 0;
}

bool isEjected(const ReplicaHealth &Health, Instant Now) {
  return Health.Ejections > 0 && Now < Health.EjectedUntil;
}

} // namespace berylramp
