//===- explain.cpp - Why a replica is or is not chosen --------------------===//
//
// The choice and its explanation use the same reasons, so that they cannot
// differ.
//
//===----------------------------------------------------------------------===//

#include "berylramp/upstreams.h"

#include <algorithm>

namespace berylramp {

namespace {

bool allows(const VersionRule &Rule, const VersionId &Version) {
  if (Rule.Target.empty())
    return true;
  return Rule.RequireTarget == (Version == Rule.Target);
}

bool allows(const RegionRule &Rule, const std::optional<size_t> &Region) {
  return !Rule.Binds ||
         (Region && *Region < Rule.Allowed.size() && Rule.Allowed[*Region]);
}

bool contains(const std::vector<UpstreamId> &Ids, const UpstreamId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

} // namespace

const char *exclusionName(Exclusion Reason) {
  switch (Reason) {
  case Exclusion::None:
    return "none";
  case Exclusion::Removed:
    return "removed";
  case Exclusion::Leaving:
    return "leaving";
  case Exclusion::Draining:
    return "draining";
  case Exclusion::Evacuated:
    return "evacuated";
  case Exclusion::OtherRegion:
    return "another_region";
  case Exclusion::OtherVersion:
    return "another_version";
  case Exclusion::Tried:
    return "tried";
  case Exclusion::Paused:
    return "paused";
  case Exclusion::LimitReached:
    return "limit";
  case Exclusion::NoRoom:
    return "no_room";
  case Exclusion::Crowded:
    return "crowded";
  case Exclusion::Ejected:
    return "ejected";
  case Exclusion::Full:
    break;
  }
  return "full";
}

Exclusion UpstreamRegistry::ineligibilityOf(const Replica &Candidate,
                                            const ChoiceQuery &Query) {
  if (Candidate.Removed && !(Query.Now < Candidate.UsableUntil))
    return Exclusion::Removed;
  if (Candidate.Leaving)
    return Exclusion::Leaving;
  if (Candidate.Entry.Draining)
    return Exclusion::Draining;
  if (Candidate.Evacuated)
    return Exclusion::Evacuated;
  if (!allows(Query.Regions, Candidate.Region))
    return Exclusion::OtherRegion;
  if (!allows(Query.Rule, Candidate.Entry.Version))
    return Exclusion::OtherVersion;
  return contains(Query.Tried, Candidate.Entry.Id) ? Exclusion::Tried
                                                   : Exclusion::None;
}

Exclusion UpstreamRegistry::exclusionOf(const Replica &Candidate,
                                        const ChoiceQuery &Query) const {
  Exclusion Reason = ineligibilityOf(Candidate, Query);
  if (Reason != Exclusion::None)
    return Reason;
  if (Query.Now < Candidate.PausedUntil)
    return Exclusion::Paused;
  bool HasWarmups = this->Limits.hasWarmups();
  if (!this->Limits.empty() || HasWarmups) {
    if (!this->Limits.allows(processOf(Candidate), Query.Urgent, Query.Now))
      return Exclusion::LimitReached;
    if (!this->hasRoom(Candidate, Query.Now))
      return Exclusion::NoRoom;
  }
  if (Query.Now < Candidate.EjectedUntil)
    return Exclusion::Ejected;
  if (Query.Now < Candidate.FullUntil)
    return Exclusion::Full;
  return HasWarmups && this->Limits.isCrowded(Candidate.IdHash, Query.Now)
             ? Exclusion::Crowded
             : Exclusion::None;
}

std::vector<ReplicaView>
UpstreamRegistry::explain(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Considered = this->candidates(Query);
  Choice Chosen = this->choose(Query);
  PromptUse Use = promptUse(Query.Segments, Query.OutputTokens);
  std::vector<int64_t> Kept = this->Cache.keptTokens(Use.Shared, Query.Now);
  std::vector<ReplicaView> Views;
  for (const ReplicaPtr &Member : this->replicasOf(Query.Service)) {
    ReplicaView View;
    View.Target = Member;
    View.Reason = this->exclusionOf(*Member, Query);
    View.IsCandidate = std::find(Considered.begin(), Considered.end(),
                                 Member) != Considered.end();
    View.IsChosen = Member == Chosen.Target;
    View.Load = this->loadOf(*Member, Query.Now);
    if (!Query.Segments.empty()) {
      View.CachedTokens = Kept[*Member->Engine];
      View.Expected = this->estimate(Member, Query, Use, View.CachedTokens);
    }
    Views.push_back(std::move(View));
  }
  std::sort(Views.begin(), Views.end(),
            [](const ReplicaView &A, const ReplicaView &B) {
              return A.Target->Entry.Id < B.Target->Entry.Id;
            });
  return Views;
}

} // namespace berylramp
