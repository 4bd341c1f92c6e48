//===- replica.cpp - Choosing a replica -----------------------------------===//
//
// Every score is drawn from a replica's own id, never from its index, so that
// the order in which a host lists its replicas does not matter.
//
//===----------------------------------------------------------------------===//

#include "berylramp/policy.h"

#include <algorithm>
#include <limits>

namespace berylramp {

namespace {

/// What a request ahead in the queue is taken to cost in waiting time.
constexpr int64_t WaitPerQueuedMicros = 60000;
/// What a share of the slots in use adds, so that idle replicas come first.
constexpr int64_t WaitWhenBusyMicros = 30000;
/// Waiting a cached prefix is taken to save.
constexpr int64_t AffinityGainMicros = 40000;
/// A nearly full cache evicts prefixes and slows the engine down.
constexpr double CrowdedCacheShare = 0.95;
constexpr int64_t CrowdedCachePenaltyMicros = 50000;
constexpr int FaultsBeforeEjection = 3;
constexpr absl::Duration FirstEjection = absl::Seconds(2);
constexpr int MaxEjectionDoublings = 4;

uint64_t mix(uint64_t A, uint64_t B) {
  uint64_t X = A ^ (B + 0x9e3779b97f4a7c15ULL + (A << 6) + (A >> 2));
  X ^= X >> 31;
  X *= 0xbf58476d1ce4e5b9ULL;
  X ^= X >> 29;
  return X;
}

struct Scored {
  int Index = -1;
  uint64_t Rank = 0;
};

/// Keeps the two highest ranks seen.
struct TopTwo {
  Scored First;
  Scored Second;

  void offer(int Index, uint64_t Rank) {
    if (this->First.Index < 0 || Rank > this->First.Rank) {
      this->Second = this->First;
      this->First = Scored{Index, Rank};
    } else if (this->Second.Index < 0 || Rank > this->Second.Rank) {
      this->Second = Scored{Index, Rank};
    }
  }
};

/// Whole microseconds: a choice weighs hundreds of replicas, and durations of
/// the library are an order of magnitude slower.
int64_t waitMicros(const ReplicaView &Replica) {
  int Known = std::max(Replica.Running + Replica.Waiting + Replica.SentSince,
                       Replica.OwnInFlight);
  int64_t Queued = std::max(0, Known + 1 - Replica.Slots);
  int64_t Busy = std::min(Known, Replica.Slots) * WaitWhenBusyMicros /
                 std::max(1, Replica.Slots);
  bool IsCrowded = Replica.CacheShare > CrowdedCacheShare;
  return Queued * WaitPerQueuedMicros + Busy +
         (IsCrowded ? CrowdedCachePenaltyMicros : 0);
}

int64_t priceOf(const ReplicaView &Replica, const ReplicaInput &Input) {
  int64_t Price = waitMicros(Replica) + 2 * Replica.LinkMicros;
  return Replica.IsAcross ? Price + Input.AcrossPriceMicros : Price;
}

bool isAvoided(const ReplicaInput &Input, uint64_t IdHash) {
  return std::find(Input.Avoid.begin(), Input.Avoid.end(), IdHash) !=
         Input.Avoid.end();
}

int cheaperOf(const std::vector<ReplicaView> &Replicas,
              const ReplicaInput &Input, int A, int B) {
  if (B < 0)
    return A;
  if (A < 0)
    return B;
  int64_t PriceA = priceOf(Replicas[A], Input);
  int64_t PriceB = priceOf(Replicas[B], Input);
  return PriceB < PriceA ? B : A;
}

/// The best of two candidates in the host's own place and two from elsewhere.
struct Candidates {
  TopTwo Near;
  TopTwo Across;
  TopTwo NearByPrefix;
  Scored Least;
};

Candidates gather(const std::vector<ReplicaView> &Replicas,
                  const ReplicaInput &Input, bool UseAvoided) {
  Candidates Out;
  int64_t LeastPrice = std::numeric_limits<int64_t>::max();
  for (size_t I = 0; I < Replicas.size(); ++I) {
    const ReplicaView &Each = Replicas[I];
    if (Each.IsShut || (!UseAvoided && isAvoided(Input, Each.IdHash)))
      continue;
    uint64_t Rank = mix(Each.IdHash, Input.Draw);
    int Index = static_cast<int>(I);
    (Each.IsAcross ? Out.Across : Out.Near).offer(Index, Rank);
    if (!Each.IsAcross)
      Out.NearByPrefix.offer(Index, mix(Each.IdHash, Input.PrefixHash));
    int64_t Price = priceOf(Each, Input);
    bool IsLess =
        Price < LeastPrice || (Price == LeastPrice && Rank > Out.Least.Rank);
    if (IsLess) {
      LeastPrice = Price;
      Out.Least = Scored{Index, Rank};
    }
  }
  return Out;
}

int twoChoices(const std::vector<ReplicaView> &Replicas,
               const ReplicaInput &Input, const Candidates &Found) {
  int Near = cheaperOf(Replicas, Input, Found.Near.First.Index,
                       Found.Near.Second.Index);
  int Across = cheaperOf(Replicas, Input, Found.Across.First.Index,
                         Found.Across.Second.Index);
  return cheaperOf(Replicas, Input, Near, Across);
}

int byAffinity(const std::vector<ReplicaView> &Replicas,
               const ReplicaInput &Input, const Candidates &Found) {
  int Balanced = twoChoices(Replicas, Input, Found);
  int Home = Found.NearByPrefix.First.Index;
  if (Home < 0 || Input.PrefixHash == 0)
    return Balanced;
  bool IsWorth = priceOf(Replicas[Home], Input) <=
                 priceOf(Replicas[Balanced], Input) + AffinityGainMicros;
  if (IsWorth)
    return Home;
  int Second = Found.NearByPrefix.Second.Index;
  bool SecondIsWorth = Second >= 0 && priceOf(Replicas[Second], Input) <=
                                          priceOf(Replicas[Balanced], Input) +
                                              AffinityGainMicros / 2;
  return SecondIsWorth ? Second : Balanced;
}

int choose(const std::vector<ReplicaView> &Replicas, const ReplicaInput &Input,
           bool UseAvoided) {
  Candidates Found = gather(Replicas, Input, UseAvoided);
  switch (Input.Policy) {
  case ReplicaPolicy::RoundRobin: {
    bool IsNear = Found.Near.First.Index >= 0;
    if (IsNear && Found.Across.First.Rank <= Found.Near.First.Rank)
      return Found.Near.First.Index;
    return Found.Across.First.Index >= 0 ? Found.Across.First.Index
                                         : Found.Near.First.Index;
  }
  case ReplicaPolicy::LeastLoaded:
    return Found.Least.Index;
  case ReplicaPolicy::TwoChoices:
    return twoChoices(Replicas, Input, Found);
  case ReplicaPolicy::Affinity:
    return byAffinity(Replicas, Input, Found);
  }
  return -1;
}

} // namespace

absl::Duration expectedWait(const ReplicaView &Replica) {
  return absl::Microseconds(waitMicros(Replica));
}

int chooseReplica(const std::vector<ReplicaView> &Replicas,
                  const ReplicaInput &Input) {
  int Chosen = choose(Replicas, Input, /*UseAvoided=*/false);
  if (Chosen >= 0 || Input.Avoid.empty())
    return Chosen;
  return choose(Replicas, Input, /*UseAvoided=*/true);
}

absl::Duration shortestWait(const std::vector<ReplicaView> &Replicas) {
  int64_t Shortest = std::numeric_limits<int64_t>::max();
  bool IsOpen = false;
  for (const ReplicaView &Each : Replicas) {
    if (Each.IsShut)
      continue;
    IsOpen = true;
    Shortest = std::min(Shortest, waitMicros(Each));
  }
  return IsOpen ? absl::Microseconds(Shortest) : absl::InfiniteDuration();
}

void noteReplicaResult(ReplicaHealth &Health, bool Failed, Instant Now) {
  if (!Failed) {
    Health = ReplicaHealth{};
    return;
  }
  ++Health.FaultsInRow;
  if (Health.FaultsInRow < FaultsBeforeEjection)
    return;
  int Doublings = std::min(Health.Ejections, MaxEjectionDoublings);
  Health.EjectedUntil = Now + FirstEjection * (1 << Doublings);
  ++Health.Ejections;
  Health.FaultsInRow = 0;
}

bool isEjected(const ReplicaHealth &Health, Instant Now) {
  return Health.Ejections > 0 && Now < Health.EjectedUntil;
}

} // namespace berylramp
