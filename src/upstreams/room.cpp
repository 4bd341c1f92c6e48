//===- room.cpp - The room of a service's replicas ------------------------===//

#include "berylramp/upstreams.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Older reports say nothing about requests that wait now.
constexpr absl::Duration WaitingLifetime = absl::Seconds(1);

} // namespace

ServiceRoom UpstreamRegistry::room(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Available = this->candidates(Query);
  ServiceRoom Room;
  if (Available.empty())
    return Room;
  double Load = 0;
  absl::Duration LocalWait;
  absl::Duration Wait;
  int64_t LocalCount = 0;
  for (const ReplicaPtr &Candidate : Available) {
    Load += this->loadOf(*Candidate, Query.Now);
    if (Query.Now - Candidate->Load.At < WaitingLifetime)
      Room.Waiting += Candidate->Load.Waiting;
    absl::Duration Busy =
        std::max(absl::ZeroDuration(), Candidate->BusyUntil - Query.Now);
    Wait += Busy;
    if (Candidate->Entry.Place == this->Settings.OwnPlace) {
      LocalWait += Busy;
      LocalCount += 1;
    }
  }
  auto Count = static_cast<int64_t>(Available.size());
  Room.Utilization = Load / static_cast<double>(Count);
  Room.MeanWait = LocalCount > 0 ? LocalWait / LocalCount : Wait / Count;
  return Room;
}

} // namespace berylramp
