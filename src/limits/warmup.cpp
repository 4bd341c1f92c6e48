//===- warmup.cpp - Requests that cold replicas tolerate ------------------===//
//
// The operators state the rate, so that no report between hosts is needed: each
// host divides it as soon as it learns that a replica is cold.
//
//===----------------------------------------------------------------------===//

#include "berylramp/limits.h"

#include <algorithm>
#include <functional>

namespace berylramp {

namespace {

/// The operators count the requests that a cold replica receives in any such
/// time.
constexpr absl::Duration CountedTime = absl::Seconds(1);

} // namespace

int ReplicaLimits::Warmup::sentInLastSecond(Instant Now) const {
  return static_cast<int>(
      std::count_if(this->LastSent.begin(), this->LastSent.end(),
                    [&](Instant At) { return Now - At <= CountedTime; }));
}

Instant ReplicaLimits::Warmup::windowOpensAt(Instant Now) const {
  if (this->sentInLastSecond(Now) < this->Cold.Part.Burst ||
      this->LastSent.empty())
    return Now;
  return std::max(Now, this->LastSent.front() + CountedTime, std::less<>());
}

void ReplicaLimits::onSentToWarmup(uint64_t Replica, Instant Now) {
  auto Found = this->Warmups.find(Replica);
  if (Found == this->Warmups.end())
    return;
  Warmup &Known = Found->second;
  Known.Guard.take(Now);
  if (!(Now < Known.ColdUntil))
    return;
  Known.Cold.take(Now);
  std::vector<Instant> &Sent = Known.LastSent;
  Sent.erase(std::remove_if(Sent.begin(), Sent.end(),
                            [&](Instant At) { return Now - At > CountedTime; }),
             Sent.end());
  Sent.push_back(Now);
}

void ReplicaLimits::setWarmup(uint64_t Replica, const WarmupRate &Rate) {
  Warmup &Known = this->Warmups[Replica];
  if (Known.Rate == Rate)
    return;
  Known.Rate = Rate;
  Known.Cold.Part = {};
  Known.Guard.Part = {};
}

// The bucket starts empty: the requests that this host sent before it learned
// of the warm-up count too.
void ReplicaLimits::setColdUntil(uint64_t Replica, Instant Until, Instant Now) {
  auto Found = this->Warmups.find(Replica);
  if (Found == this->Warmups.end())
    return;
  Warmup &Known = Found->second;
  if (!(Now < Known.ColdUntil))
    Known.Cold = {LimitPart(), 0, Now};
  Known.ColdUntil = Until;
}

const ReplicaLimits::Warmup *ReplicaLimits::findCold(uint64_t Replica,
                                                     Instant Now) const {
  auto Found = this->Warmups.find(Replica);
  if (Found == this->Warmups.end() || !(Now < Found->second.ColdUntil))
    return nullptr;
  return &Found->second;
}

bool ReplicaLimits::isCold(uint64_t Replica, Instant Now) const {
  return this->findCold(Replica, Now) != nullptr;
}

bool ReplicaLimits::isCrowded(uint64_t Replica, Instant Now) const {
  auto Found = this->Warmups.find(Replica);
  if (Found == this->Warmups.end())
    return false;
  const RequestBucket &Guard = Found->second.Guard;
  return Guard.Part.Burst > 0 && Guard.at(Now) < 1;
}

void ReplicaLimits::divideWarmups(
    const LimitMembers &Members,
    const std::function<std::optional<LimitedReplica>(uint64_t)> &Find,
    Instant Now) {
  std::vector<LimitMember> All = Members.all();
  for (auto &[Hash, Known] : this->Warmups) {
    std::optional<LimitedReplica> Found = Find(Hash);
    if (!Found)
      continue;
    ReplicaProcess Process{Hash, 0, Found->Place};
    Known.Guard.setPart(partOfGuard(Known.Rate, Process, All, Members.self()),
                        Now);
    LimitPart Part;
    if (Now < Known.ColdUntil && Members.mayShare())
      Part = partOfWarmup(Known.Rate, Process, All, Members.self());
    Known.Cold.setPart(Part, Now);
  }
}

} // namespace berylramp
