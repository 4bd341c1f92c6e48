//===- choice.cpp - Choice of a replica -----------------------------------===//
//
// An engine prefills one prompt at a time, and a long prefill stalls all
// streams that the engine serves. Engines are therefore compared by the
// expected time to the first token: the prefill work that this host and the
// other hosts of its data centre sent before, and the segments of this prompt
// that the engine has not cached. Plain services are compared by their reported
// load and the number of requests sent since the report.
//
//===----------------------------------------------------------------------===//

#include "berylramp/upstreams.h"

#include <algorithm>
#include <functional>

namespace berylramp {

namespace {

/// Older load reports are ignored: answers take a few seconds, so the load has
/// changed by then.
constexpr absl::Duration ReportLifetime = absl::Seconds(3);
/// Time in which a request in progress at a brittle replica makes room.
constexpr absl::Duration RoomDelay = absl::Milliseconds(300);

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

double UpstreamRegistry::loadOf(const Replica &Target, Instant Now) const {
  double Slots = std::max(Target.Entry.Slots, 1);
  double Own = Target.InFlight;
  if (Target.Load.Slots > 0 && Now - Target.Load.At < ReportLifetime) {
    double Reported = Target.Load.Running + Target.Load.Waiting;
    return std::max(Own, Reported + Target.SentSinceReport) / Slots;
  }
  return Own / Slots;
}

Instant UpstreamRegistry::earliestAvailability(const ChoiceQuery &Query) const {
  Instant Earliest{absl::InfiniteDuration()};
  for (const ReplicaPtr &Candidate : this->replicasOf(Query.Service)) {
    if (ineligibilityOf(*Candidate, Query) != Exclusion::None)
      continue;
    Instant At = std::max(
        Candidate->PausedUntil,
        this->Limits.allowedAt(processOf(*Candidate), Query.Urgent, Query.Now),
        std::less<>());
    if (!this->hasRoom(*Candidate, Query.Now))
      At = std::max(At, Query.Now + RoomDelay, std::less<>());
    if (Query.Now < At)
      Earliest = std::min(Earliest, At);
  }
  return Earliest;
}

bool UpstreamRegistry::hasRoom(const Replica &Candidate, Instant Now) const {
  std::optional<int> Room = this->Limits.roomOf(processOf(Candidate));
  return !Room || (Candidate.InFlight < *Room && !(Now < Candidate.FullUntil));
}

std::vector<ReplicaPtr>
UpstreamRegistry::candidates(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Available;
  auto Group = this->ByService.find(Query.Service.text());
  if (Group == this->ByService.end())
    return Available;
  std::vector<ReplicaPtr> Crowded;
  std::vector<ReplicaPtr> Unavailable;
  for (const ReplicaPtr &Candidate : Group->second) {
    Exclusion Reason = this->exclusionOf(*Candidate, Query);
    if (Reason == Exclusion::None)
      Available.push_back(Candidate);
    else if (Reason == Exclusion::Crowded)
      Crowded.push_back(Candidate);
    else if (Reason == Exclusion::Ejected || Reason == Exclusion::Full)
      Unavailable.push_back(Candidate);
  }
  if (!Available.empty())
    return Available;
  return Crowded.empty() ? Unavailable : Crowded;
}

Choice UpstreamRegistry::choose(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Available = this->candidates(Query);
  if (Available.empty())
    return {};
  std::vector<ReplicaPtr> Unconfirmed;
  bool HasLimits = !this->Limits.empty();
  for (const ReplicaPtr &Candidate : Available)
    if (HasLimits &&
        this->Limits.needsConfirmation(processOf(*Candidate), Query.Now))
      Unconfirmed.push_back(Candidate);
  if (!Unconfirmed.empty())
    Available = std::move(Unconfirmed);
  if (!Query.Segments.empty())
    return this->chooseEngine(Query, Available);
  auto Cost = [&](const Replica &Candidate) {
    return this->loadOf(Candidate, Query.Now) +
           this->distance(Candidate) * this->Settings.RemoteLoadPenalty;
  };
  Choice Chosen;
  Chosen.Target =
      *std::min_element(Available.begin(), Available.end(),
                        [&](const ReplicaPtr &A, const ReplicaPtr &B) {
                          return std::make_pair(Cost(*A), A->HeldBytes) <
                                 std::make_pair(Cost(*B), B->HeldBytes);
                        });
  return Chosen;
}

double UpstreamRegistry::distance(const Replica &Target) const {
  const PlaceId &Place = Target.Entry.Place;
  if (Place == this->Settings.OwnPlace)
    return 0;
  const std::vector<PlaceId> &Nearby = this->Settings.SameRegion;
  bool InRegion =
      std::find(Nearby.begin(), Nearby.end(), Place) != Nearby.end();
  return InRegion ? this->Settings.RegionDistance : 1;
}

Choice UpstreamRegistry::estimate(const ReplicaPtr &Target,
                                  const ChoiceQuery &Query) const {
  int64_t UncachedTokens = 0;
  int64_t SharedUncachedTokens = 0;
  bool Cached = true;
  for (size_t Index = 0; Index < Query.Segments.size(); ++Index) {
    const PromptSegment &Segment = Query.Segments[Index];
    // A prefix cache can use a segment only if all segments before it are
    // cached too.
    bool Shared = Index + 1 < Query.Segments.size();
    Cached = Cached && Shared && Target->CachedSegments.holds(Segment.Id);
    if (Cached)
      continue;
    UncachedTokens += Segment.Tokens;
    SharedUncachedTokens += Shared ? Segment.Tokens : 0;
  }
  Choice Estimate;
  Estimate.Target = Target;
  double Rate = Query.MsPerToken * Target->LatencyRatio;
  Estimate.PrefillTime =
      absl::Milliseconds(effectiveTokens(UncachedTokens) * Rate);
  Estimate.SharedPrefillTime =
      absl::Milliseconds(effectiveTokens(SharedUncachedTokens) * Rate);
  Estimate.QueueDelay =
      std::max(absl::ZeroDuration(), Target->BusyUntil - Query.Now);
  return Estimate;
}

Choice
UpstreamRegistry::chooseEngine(const ChoiceQuery &Query,
                               const std::vector<ReplicaPtr> &Available) const {
  std::vector<ReplicaPtr> Local;
  for (const ReplicaPtr &Candidate : Available)
    if (Candidate->Entry.Place == this->Settings.OwnPlace)
      Local.push_back(Candidate);
  Local = preferredSlice(Local, Query);
  // Rendezvous hashing: hosts that have no record of a shared segment choose
  // the same replica for it.
  uint64_t SharedSegment = Query.Segments.size() > 1
                               ? Query.Segments[Query.Segments.size() - 2].Id
                               : 0;
  uint64_t PreferredHash = 0;
  for (const ReplicaPtr &Candidate : Local)
    PreferredHash =
        std::max(PreferredHash, mixHashes(SharedSegment, Candidate->IdHash));
  Choice Best;
  double BestMs = 0;
  for (const ReplicaPtr &Candidate : Available) {
    Choice Estimate = this->estimate(Candidate, Query);
    bool Remote = Candidate->Entry.Place != this->Settings.OwnPlace;
    bool Preferred = Remote || std::find(Local.begin(), Local.end(),
                                         Candidate) != Local.end();
    double RecomputeWeight = this->Settings.SharedRecomputeWeight;
    if (SharedSegment != 0 && !Remote &&
        mixHashes(SharedSegment, Candidate->IdHash) == PreferredHash)
      RecomputeWeight = 0;
    double Ms = absl::ToDoubleMilliseconds(Estimate.QueueDelay) +
                absl::ToDoubleMilliseconds(Estimate.PrefillTime) +
                RecomputeWeight *
                    absl::ToDoubleMilliseconds(Estimate.SharedPrefillTime) +
                absl::ToDoubleMilliseconds(this->Settings.PerStreamDelay) *
                    Candidate->InFlight;
    double DistanceFactor = Preferred ? this->distance(*Candidate) : 1;
    Ms += DistanceFactor *
          absl::ToDoubleMilliseconds(this->Settings.RemoteLatencyPenalty);
    Ms += this->distance(*Candidate) * this->Settings.RemotePrefillWeight *
          absl::ToDoubleMilliseconds(Estimate.PrefillTime);
    if (Best.Target == nullptr || Ms < BestMs) {
      Best = Estimate;
      BestMs = Ms;
    }
  }
  return Best;
}

bool UpstreamRegistry::hasCapacity(const ChoiceQuery &Query) const {
  for (const ReplicaPtr &Candidate : this->candidates(Query))
    if (!(Query.Now < Candidate->FullUntil) &&
        this->loadOf(*Candidate, Query.Now) < 1.0)
      return true;
  return false;
}

double UpstreamRegistry::utilization(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Available = this->candidates(Query);
  if (Available.empty())
    return 1;
  double Sum = 0;
  for (const ReplicaPtr &Candidate : Available)
    Sum += this->loadOf(*Candidate, Query.Now);
  return Sum / static_cast<double>(Available.size());
}

} // namespace berylramp
