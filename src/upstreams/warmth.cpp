//===- warmth.cpp - Replicas that are cold --------------------------------===//
//
// A replica states in its entry how long it stays cold. It may also have
// restarted without this host's knowledge: while it could not be reached, it
// counts as cold.
//
//===----------------------------------------------------------------------===//

#include "berylramp/upstreams.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Time until a replica that started has written its entry and this host has
/// read it.
constexpr absl::Duration EntryDelay = absl::Milliseconds(2400);
/// Entries from a replica's time before it became unreachable that this host
/// may still read: the one that it knows, and one that is under way.
constexpr int64_t FormerEntries = 2;

Instant coldUntil(const Replica &Target) {
  return std::max(Target.ColdUntil, Target.SuspectUntil, std::less<>());
}

} // namespace

const WarmupRule *UpstreamRegistry::warmupRuleOf(const Replica &Target) const {
  auto Found = this->WarmupRules.find(Target.Entry.Service.text());
  return Found == this->WarmupRules.end() ? nullptr : &Found->second;
}

void UpstreamRegistry::updateWarmup(const Replica &Target, Instant Now) {
  const WarmupRule *Rule = this->warmupRuleOf(Target);
  if (Rule == nullptr) {
    this->Limits.clearWarmup(Target.IdHash);
    return;
  }
  this->Limits.setWarmup(Target.IdHash, Rule->Rate);
  this->Limits.setColdUntil(Target.IdHash, coldUntil(Target), Now);
}

void UpstreamRegistry::setWarmupRules(
    absl::flat_hash_map<std::string, WarmupRule> Rules, Instant Now) {
  if (Rules.empty() && this->WarmupRules.empty())
    return;
  this->WarmupRules = std::move(Rules);
  for (const auto &[Text, Record] : this->ById)
    this->updateWarmup(*Record, Now);
}

// An unusable time counts once, at a replica's first entry, so that it ends.
void UpstreamRegistry::applyWarmth(Replica &Target, bool IsNew, Instant Now) {
  const ReplicaEntry &Entry = Target.Entry;
  const WarmupRule *Rule = this->warmupRuleOf(Target);
  if (Entry.ColdRemaining)
    Target.ColdUntil = Now + *Entry.ColdRemaining;
  else if (IsNew && Rule != nullptr)
    Target.ColdUntil = Now + Rule->ColdTime;
  if (Entry.ColdRemaining && Entry.Sequence >= Target.WarmSequence)
    Target.SuspectUntil = Instant();
  this->updateWarmup(Target, Now);
}

bool UpstreamRegistry::onHeartbeat(Replica &Target, const ReplicaEntry &Entry,
                                   Instant Now) {
  bool IsNewer = Entry.Sequence > Target.Entry.Sequence;
  bool IsProlonged = Entry.isCold() && Target.Entry.isCold() &&
                     *Entry.ColdRemaining > *Target.Entry.ColdRemaining;
  bool IsOther = Entry.isCold() != Target.Entry.isCold() || IsProlonged;
  Target.Entry.Sequence = Entry.Sequence;
  if (!IsNewer && !IsOther)
    return false;
  Target.Entry.ColdRemaining = Entry.ColdRemaining;
  this->applyWarmth(Target, false, Now);
  return IsOther;
}

void UpstreamRegistry::onUnreachable(Replica &Target, Instant Now) {
  const WarmupRule *Rule = this->warmupRuleOf(Target);
  if (Rule == nullptr)
    return;
  Target.SuspectUntil = Now + Rule->ColdTime + EntryDelay;
  Target.WarmSequence = Target.Entry.Sequence + FormerEntries;
  this->updateWarmup(Target, Now);
}

std::vector<WarmthChange>
UpstreamRegistry::takeWarmthChanges(Instant Now) const {
  std::vector<WarmthChange> Changes;
  for (const auto &[Text, Record] : this->ById) {
    bool IsCold = this->Limits.isCold(Record->IdHash, Now);
    if (IsCold == Record->ColdSince.has_value())
      continue;
    WarmthChange Change{Record->Entry.Id, IsCold};
    if (IsCold) {
      if (Record->ColdUntil < Record->SuspectUntil)
        Change.Reason = ColdReason::Unreachable;
      Change.Time = coldUntil(*Record) - Now;
      Record->ColdSince = Now;
    } else {
      Change.Time = Now - *Record->ColdSince;
      Record->ColdSince.reset();
    }
    Changes.push_back(std::move(Change));
  }
  return Changes;
}

size_t UpstreamRegistry::coldCount(Instant Now) const {
  size_t Count = 0;
  for (const auto &[Text, Record] : this->ById)
    Count += this->Limits.isCold(Record->IdHash, Now) ? 1 : 0;
  return Count;
}

} // namespace berylramp
