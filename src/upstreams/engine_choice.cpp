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
#include <map>

namespace berylramp {

namespace {

/// The replicas of \p Group that lie in the range that \p Query prefers, or all
/// of them when none does.
std::vector<ReplicaPtr> preferredSlice(std::vector<ReplicaPtr> Group,
                                       const ChoiceQuery &Query) {
  if (Query.PreferredFrom <= 0 && Query.PreferredTo >= 1)
    return Group;
  std::sort(Group.begin(), Group.end(),
            [](const ReplicaPtr &A, const ReplicaPtr &B) {
              return A->Entry.Id < B->Entry.Id;
            });
  std::vector<ReplicaPtr> Slice;
  for (size_t Index = 0; Index < Group.size(); ++Index) {
    double Position =
        (static_cast<double>(Index) + 0.5) / static_cast<double>(Group.size());
    if (Position >= Query.PreferredFrom && Position < Query.PreferredTo)
      Slice.push_back(Group[Index]);
  }
  return Slice.empty() ? Group : Slice;
}

uint64_t mixHashes(uint64_t A, uint64_t B) {
  constexpr uint64_t GoldenRatio = 0x9E3779B97F4A7C15ULL;
  uint64_t Mixed = (A ^ (B + GoldenRatio + (A << 6) + (A >> 2))) * GoldenRatio;
  return Mixed ^ (Mixed >> 29);
}

} // namespace

Choice UpstreamRegistry::estimate(const ReplicaPtr &Target,
                                  const ChoiceQuery &Query,
                                  const std::vector<int64_t> &Kept) const {
  int64_t Shared = 0;
  for (size_t Index = 0; Index + 1 < Query.Segments.size(); ++Index)
    Shared += Query.Segments[Index].Tokens;
  Choice Estimate;
  Estimate.KeptTokens = Target->Engine ? Kept[*Target->Engine] : 0;
  int64_t SharedUncachedTokens = Shared - Estimate.KeptTokens;
  int64_t UncachedTokens = SharedUncachedTokens + Query.Segments.back().Tokens;
  Estimate.Target = Target;
  double Rate = Query.MsPerToken * Target->LatencyRatio *
                expectedWorkTime(Target->Load, Query.Now);
  Estimate.StartDelay = Query.StartDelay;
  Estimate.PrefillTime =
      absl::Milliseconds(effectiveTokens(UncachedTokens) * Rate);
  Estimate.SharedPrefillTime =
      absl::Milliseconds(effectiveTokens(SharedUncachedTokens) * Rate);
  Estimate.SavedTime =
      absl::Milliseconds((effectiveTokens(UncachedTokens + Estimate.KeptTokens) -
                          effectiveTokens(UncachedTokens)) *
                         Rate);
  Estimate.QueueDelay =
      std::max(absl::ZeroDuration(), Target->BusyUntil - Query.Now);
  return Estimate;
}

double UpstreamRegistry::costToOthers(const Replica &Target,
                                      const ChoiceQuery &Query,
                                      const Choice &Estimate) const {
  if (Query.CacheTokens == 0 || !Target.Engine)
    return 0;
  int64_t Tokens = Query.OutputTokens - Estimate.KeptTokens;
  for (const PromptSegment &Segment : Query.Segments)
    Tokens += Segment.Tokens;
  double Rate = Query.MsPerToken * Target.LatencyRatio *
                expectedWorkTime(Target.Load, Query.Now);
  double Ms = this->Settings.DisplacedWeight * Rate *
              static_cast<double>(this->Cache.displacedBy(*Target.Engine, Tokens));
  int64_t Overflow = this->Cache.overflowOf(*Target.Engine, Tokens);
  if (Overflow > 0)
    Ms += absl::ToDoubleMilliseconds(this->Settings.PreemptionCost) +
          Rate * static_cast<double>(Overflow);
  return Ms;
}

// Rendezvous hashing: hosts that have no record of a shared segment choose the
// same replica for it, and the next in rank when it is not available.
uint64_t
UpstreamRegistry::homeOf(const ChoiceQuery &Query, const PromptUse &Use,
                         const std::vector<ReplicaPtr> &Available,
                         const std::vector<ReplicaPtr> &Local) const {
  if (Use.Shared.empty())
    return 0;
  uint64_t Segment = Use.Shared.back().Id;
  uint64_t Home = 0;
  uint64_t HomeHash = 0;
  auto Consider = [&](const std::vector<ReplicaPtr> &Group) {
    for (const ReplicaPtr &Candidate : Group) {
      uint64_t Hash = mixHashes(Segment, Candidate->IdHash);
      if (Hash <= HomeHash)
        continue;
      HomeHash = Hash;
      Home = Candidate->IdHash;
    }
  };
  Consider(Local);
  int64_t SharedTokens = 0;
  for (const PromptSegment &Shared : Use.Shared)
    SharedTokens += Shared.Tokens;
  absl::Duration ReadTime =
      absl::Milliseconds(effectiveTokens(SharedTokens) * Query.MsPerToken);
  if (Query.CacheTokens == 0 || ReadTime < this->Settings.RegionHomeTime)
    return Home;
  std::map<PlaceId, std::vector<ReplicaPtr>> Nearby;
  for (const ReplicaPtr &Candidate : Available)
    if (Candidate->Entry.Place != this->Settings.OwnPlace &&
        this->distance(*Candidate) < 1)
      Nearby[Candidate->Entry.Place].push_back(Candidate);
  for (auto &[Place, Group] : Nearby)
    Consider(preferredSlice(std::move(Group), Query));
  return Home;
}

Choice
UpstreamRegistry::chooseEngine(const ChoiceQuery &Query,
                               const std::vector<ReplicaPtr> &Available) const {
  PromptUse Use = promptUse(Query.Segments, Query.OutputTokens);
  std::vector<ReplicaPtr> Local;
  for (const ReplicaPtr &Candidate : Available)
    if (Candidate->Entry.Place == this->Settings.OwnPlace)
      Local.push_back(Candidate);
  Local = preferredSlice(Local, Query);
  uint64_t Home = this->homeOf(Query, Use, Available, Local);
  std::vector<int64_t> Kept = this->Cache.keptTokens(Use.Shared, Query.Now);
  int64_t MostKept = 0;
  Choice Best;
  double BestMs = 0;
  for (const ReplicaPtr &Candidate : Available) {
    Choice Estimate = this->estimate(Candidate, Query, Kept);
    MostKept = std::max(MostKept, Estimate.KeptTokens);
    bool Remote = Candidate->Entry.Place != this->Settings.OwnPlace;
    bool Preferred = Remote || std::find(Local.begin(), Local.end(),
                                         Candidate) != Local.end();
    double RecomputeWeight = this->Settings.SharedRecomputeWeight;
    if (Home != 0 && Candidate->IdHash == Home)
      RecomputeWeight = 0;
    double Ms = absl::ToDoubleMilliseconds(Estimate.QueueDelay) +
                absl::ToDoubleMilliseconds(Estimate.PrefillTime) +
                RecomputeWeight *
                    absl::ToDoubleMilliseconds(Estimate.SharedPrefillTime) +
                absl::ToDoubleMilliseconds(this->Settings.PerStreamDelay) *
                    Candidate->InFlight;
    double Distance = this->distance(*Candidate);
    if (Query.CacheTokens > 0 && Distance < 1)
      Distance = std::min(Distance, this->Settings.RegionEngineDistance);
    double DistanceFactor = Preferred ? Distance : 1;
    Ms += DistanceFactor *
          absl::ToDoubleMilliseconds(this->Settings.RemoteLatencyPenalty);
    Ms += Distance * this->Settings.RemotePrefillWeight *
          absl::ToDoubleMilliseconds(Estimate.PrefillTime);
    Ms += this->costToOthers(*Candidate, Query, Estimate);
    if (Best.Target == nullptr || Ms < BestMs) {
      Best = Estimate;
      BestMs = Ms;
    }
  }
  Best.MostKeptTokens = MostKept;
  int64_t Before = 0;
  for (const PromptSegment &Segment : Use.Shared) {
    Before += Segment.Tokens;
    if (Before > Best.KeptTokens)
      break;
    Best.KeptUsedAt = this->Cache.lastUse(*Best.Target->Engine, Segment.Id)
                          .value_or(Instant());
  }
  Best.Use = std::move(Use);
  return Best;
}

} // namespace berylramp
