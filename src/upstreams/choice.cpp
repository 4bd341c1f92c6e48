//===- choice.cpp - Choice of a replica -----------------------------------===//
//
// Plain services are compared by their reported load and the number of requests
// sent since the report.
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
  Available.reserve(Group->second.size());
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
           Candidate.Distance * this->Settings.RemoteLoadPenalty;
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

double UpstreamRegistry::distance(const PlaceId &Place) const {
  if (Place == this->Settings.OwnPlace)
    return 0;
  const std::vector<PlaceId> &Nearby = this->Settings.SameRegion;
  bool InRegion =
      std::find(Nearby.begin(), Nearby.end(), Place) != Nearby.end();
  return InRegion ? this->Settings.RegionDistance : 1;
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
