//===- engine_choice.cpp - Choice of an engine ----------------------------===//
//
// An engine prefills one prompt at a time, and a long prefill stalls all
// streams that the engine serves. Engines are therefore compared by the
// expected time to the first token: the prefill work that this host and the
// other hosts of the region sent before, and the segments of this prompt that
// the engine does not keep. What the prompt costs others counts too: segments
// that it displaces are read again, and requests that no longer fit are
// preempted.
//
//===----------------------------------------------------------------------===//

#include "berylramp/upstreams.h"

#include <algorithm>

namespace berylramp {

namespace {

using Group = std::vector<const Replica *>;

double toMs(absl::Duration Time) { return absl::ToDoubleMilliseconds(Time); }

/// The replicas of \p Members that lie in the range that \p Query prefers, or
/// all of them when none does.
Group preferredSlice(Group Members, const ChoiceQuery &Query) {
  if (Query.PreferredFrom <= 0 && Query.PreferredTo >= 1)
    return Members;
  std::sort(
      Members.begin(), Members.end(),
      [](const Replica *A, const Replica *B) { return A->IdHash < B->IdHash; });
  Group Slice;
  for (size_t Index = 0; Index < Members.size(); ++Index) {
    double Position = (static_cast<double>(Index) + 0.5) /
                      static_cast<double>(Members.size());
    if (Position >= Query.PreferredFrom && Position < Query.PreferredTo)
      Slice.push_back(Members[Index]);
  }
  return Slice.empty() ? Members : Slice;
}

uint64_t mixHashes(uint64_t A, uint64_t B) {
  constexpr uint64_t GoldenRatio = 0x9E3779B97F4A7C15ULL;
  uint64_t Mixed = (A ^ (B + GoldenRatio + (A << 6) + (A >> 2))) * GoldenRatio;
  return Mixed ^ (Mixed >> 29);
}

int64_t tokensOf(const std::vector<PromptSegment> &Segments) {
  int64_t Sum = 0;
  for (const PromptSegment &Segment : Segments)
    Sum += Segment.Tokens;
  return Sum;
}

} // namespace

Choice UpstreamRegistry::estimate(const ReplicaPtr &Target,
                                  const ChoiceQuery &Query,
                                  const PromptUse &Use,
                                  int64_t KeptTokens) const {
  int64_t SharedUncached = tokensOf(Use.Shared) - KeptTokens;
  int64_t Uncached = SharedUncached + Query.Segments.back().Tokens;
  Choice Estimate;
  Estimate.Target = Target;
  Estimate.KeptTokens = KeptTokens;
  double Rate = Query.MsPerToken * Target->LatencyRatio *
                expectedWorkTime(Target->Load, Query.Now);
  double PrefillMs = effectiveTokens(Uncached) * Rate;
  double WholeMs = effectiveTokens(Uncached + KeptTokens) * Rate;
  Estimate.PrefillTime = absl::Milliseconds(PrefillMs);
  Estimate.SharedPrefillTime =
      absl::Milliseconds(effectiveTokens(SharedUncached) * Rate);
  Estimate.SavedTime = absl::Milliseconds(WholeMs - PrefillMs);
  Estimate.StartDelay = Query.StartDelay;
  Estimate.QueueDelay =
      std::max(absl::ZeroDuration(), Target->BusyUntil - Query.Now);
  int64_t Before = 0;
  for (const PromptSegment &Segment : Use.Shared) {
    Before += Segment.Tokens;
    if (Before > KeptTokens)
      break;
    Estimate.KeptUsedAt =
        this->Cache.lastUse(*Target->Engine, Segment.Id).value_or(Instant());
  }
  return Estimate;
}

double UpstreamRegistry::costToOthers(const Replica &Target,
                                      const ChoiceQuery &Query,
                                      double MsPerToken,
                                      int64_t NewTokens) const {
  if (Query.CacheTokens == 0 || !Target.Engine)
    return 0;
  int64_t Displaced = this->Cache.displacedBy(*Target.Engine, NewTokens);
  int64_t Overflow = this->Cache.overflowOf(*Target.Engine, NewTokens);
  double Ms = this->Settings.DisplacedWeight * MsPerToken *
              static_cast<double>(Displaced);
  if (Overflow > 0)
    Ms += toMs(this->Settings.PreemptionCost) +
          MsPerToken * static_cast<double>(Overflow);
  return Ms;
}

double UpstreamRegistry::distanceOfEngine(const Replica &Target,
                                          const ChoiceQuery &Query) const {
  bool InOwnRegion = Target.Distance < 1;
  return Query.CacheTokens > 0 && InOwnRegion
             ? std::min(Target.Distance, this->Settings.RegionEngineDistance)
             : Target.Distance;
}

// Rendezvous hashing: hosts that have no record of a shared segment choose the
// same replica for it, and the next in rank when it is not available.
const Replica *
UpstreamRegistry::homeOf(const ChoiceQuery &Query, const PromptUse &Use,
                         const std::vector<ReplicaPtr> &Available,
                         const std::vector<const Replica *> &Local) const {
  if (Use.Shared.empty())
    return nullptr;
  uint64_t Segment = Use.Shared.back().Id;
  const Replica *Home = nullptr;
  uint64_t HomeHash = 0;
  auto Consider = [&](const Group &Members) {
    for (const Replica *Candidate : Members) {
      uint64_t Hash = mixHashes(Segment, Candidate->IdHash);
      if (Home != nullptr && Hash <= HomeHash)
        continue;
      HomeHash = Hash;
      Home = Candidate;
    }
  };
  Consider(Local);
  absl::Duration ReadTime = absl::Milliseconds(
      effectiveTokens(tokensOf(Use.Shared)) * Query.MsPerToken);
  if (Query.CacheTokens == 0 || ReadTime < this->Settings.RegionHomeTime)
    return Home;
  for (const PlaceId &Place : this->Settings.SameRegion) {
    Group Members;
    for (const ReplicaPtr &Candidate : Available)
      if (Candidate->Distance > 0 && Candidate->Distance < 1 &&
          Candidate->Entry.Place == Place)
        Members.push_back(Candidate.get());
    Consider(preferredSlice(std::move(Members), Query));
  }
  return Home;
}

Choice
UpstreamRegistry::chooseEngine(const ChoiceQuery &Query,
                               const std::vector<ReplicaPtr> &Available) const {
  PromptUse Use = promptUse(Query.Segments, Query.OutputTokens);
  Group Local;
  for (const ReplicaPtr &Candidate : Available)
    if (Candidate->Distance == 0)
      Local.push_back(Candidate.get());
  Local = preferredSlice(std::move(Local), Query);
  const Replica *Home = this->homeOf(Query, Use, Available, Local);
  std::sort(Local.begin(), Local.end());
  std::vector<int64_t> Kept = this->Cache.keptTokens(Use.Shared, Query.Now);
  int64_t SharedTokens = tokensOf(Use.Shared);
  int64_t OwnTokens = Query.Segments.back().Tokens;
  double StreamMs = toMs(this->Settings.PerStreamDelay);
  double RemoteMs = toMs(this->Settings.RemoteLatencyPenalty);
  int64_t MostKept = 0;
  Instant HolderBusyUntil;
  const ReplicaPtr *Best = nullptr;
  double BestMs = 0;
  for (const ReplicaPtr &Candidate : Available) {
    int64_t KeptTokens = Kept[*Candidate->Engine];
    if (KeptTokens > MostKept) {
      MostKept = KeptTokens;
      HolderBusyUntil = Candidate->BusyUntil;
    }
    double Rate = Query.MsPerToken * Candidate->LatencyRatio *
                  expectedWorkTime(Candidate->Load, Query.Now);
    int64_t SharedUncached = SharedTokens - KeptTokens;
    double PrefillMs = Rate * effectiveTokens(SharedUncached + OwnTokens);
    double Ms = std::max(0.0, toMs(Candidate->BusyUntil - Query.Now)) +
                PrefillMs + StreamMs * Candidate->InFlight;
    if (Candidate.get() != Home)
      Ms += this->Settings.SharedRecomputeWeight * Rate *
            effectiveTokens(SharedUncached);
    double Distance = this->distanceOfEngine(*Candidate, Query);
    bool Preferred =
        Distance > 0 ||
        std::binary_search(Local.begin(), Local.end(), Candidate.get());
    Ms += RemoteMs * (Preferred ? Distance : 1) +
          this->Settings.RemotePrefillWeight * Distance * PrefillMs;
    Ms += this->costToOthers(*Candidate, Query, Rate,
                             SharedUncached + Use.PrivateTokens);
    if (Best == nullptr || Ms < BestMs) {
      Best = &Candidate;
      BestMs = Ms;
    }
  }
  Choice Chosen = this->estimate(*Best, Query, Use, Kept[*(*Best)->Engine]);
  Chosen.MostKeptTokens = MostKept;
  Chosen.HolderDelay =
      std::max(absl::ZeroDuration(), HolderBusyUntil - Query.Now);
  Chosen.Use = std::move(Use);
  return Chosen;
}

} // namespace berylramp
