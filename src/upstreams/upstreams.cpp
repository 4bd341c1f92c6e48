//===- upstreams.cpp - The replicas of all services -----------------------===//

#include "berylramp/upstreams.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Notices of replicas are kept for this long after their last change. An entry
/// from before the notice is gone by then.
constexpr absl::Duration NoticeLifetime = absl::Seconds(60);

} // namespace

ReplicaProcess processOf(const Replica &Target) {
  return {Target.IdHash, Target.Entry.StartedAtMs, Target.Entry.Place};
}

UpstreamRegistry::UpstreamRegistry(ChoiceSettings Settings)
    : Settings(std::move(Settings)) {
  for (const auto &[Place, Region] : this->Settings.Regions)
    this->RegionNumbers.try_emplace(Region, this->RegionNumbers.size());
}

RegionRule UpstreamRegistry::regionRule(const AllowedRegions &Regions) const {
  RegionRule Rule;
  if (!Regions)
    return Rule;
  Rule.Binds = true;
  Rule.Allowed.resize(this->RegionNumbers.size());
  for (const RegionId &Region : *Regions) {
    auto Known = this->RegionNumbers.find(Region);
    if (Known != this->RegionNumbers.end())
      Rule.Allowed[Known->second] = true;
  }
  return Rule;
}

void UpstreamRegistry::setEvacuated(std::set<PlaceId> Places) {
  this->Evacuated = std::move(Places);
  for (const auto &[Text, Record] : this->ById)
    Record->Evacuated = this->Evacuated.count(Record->Entry.Place) > 0;
}

void UpstreamRegistry::put(const ReplicaEntry &Entry, Instant Now) {
  ReplicaPtr &Slot = this->ById[Entry.Id.text()];
  bool Restarted =
      Slot != nullptr && Slot->Entry.StartedAtMs != Entry.StartedAtMs;
  bool Moved = Slot != nullptr && Slot->Entry.Service != Entry.Service;
  if (Slot != nullptr && (Restarted || Moved)) {
    this->evict(Entry.Id, Now);
    this->put(Entry, Now);
    return;
  }
  bool IsNew = Slot == nullptr;
  if (IsNew) {
    Slot = std::make_shared<Replica>();
    Slot->IdHash = stableHash(Entry.Id.text());
    Slot->Engine = this->Cache.add();
    this->ByService[Entry.Service.text()].push_back(Slot);
    this->ByHash[Slot->IdHash] = Slot;
    auto Notice = this->Notices.find(Entry.Id.text());
    if (Notice != this->Notices.end() &&
        Notice->second.StartedAtMs == Entry.StartedAtMs) {
      Slot->Leaving = Notice->second.Leaving;
      Slot->PausedUntil = Notice->second.PausedUntil;
    }
  }
  // A replica that returns after a silence and is cold has restarted.
  bool MayHaveRestarted = Slot->Removed || Now < Slot->SuspectUntil;
  if (MayHaveRestarted && Entry.isCold())
    this->Cache.clear(*Slot->Engine);
  Slot->Entry = Entry;
  Slot->Distance = this->distance(Entry.Place);
  Slot->Removed = false;
  Slot->Evacuated = this->Evacuated.count(Entry.Place) > 0;
  auto Region = this->Settings.Regions.find(Entry.Place);
  Slot->Region =
      Region == this->Settings.Regions.end()
          ? std::nullopt
          : std::make_optional(this->RegionNumbers.at(Region->second));
  this->applyWarmth(*Slot, IsNew, Now);
}

bool UpstreamRegistry::isOutdated(const ReplicaEntry &Entry) const {
  ReplicaPtr Known = this->find(Entry.Id);
  if (Known != nullptr && Entry.StartedAtMs != Known->Entry.StartedAtMs)
    return Entry.StartedAtMs < Known->Entry.StartedAtMs;
  // An entry of another writer may lack the sequence.
  bool HasSequence = Entry.Sequence != 0;
  if (Known != nullptr && !Known->Removed)
    return HasSequence && Entry.Sequence < Known->Entry.Sequence;
  auto Notice = this->Notices.find(Entry.Id.text());
  return Notice != this->Notices.end() &&
         (Entry.StartedAtMs < Notice->second.StartedAtMs ||
          (HasSequence && Entry.StartedAtMs == Notice->second.StartedAtMs &&
           Entry.Sequence < Notice->second.RemovedSequence));
}

ReplicaNotice &UpstreamRegistry::noticeOf(const Replica &Target, Instant Now) {
  ReplicaNotice &Notice = this->Notices[Target.Entry.Id.text()];
  if (Notice.StartedAtMs != Target.Entry.StartedAtMs)
    Notice = ReplicaNotice();
  Notice.StartedAtMs = Target.Entry.StartedAtMs;
  Notice.ExpiresAt = std::max(Notice.ExpiresAt, Now + NoticeLifetime);
  return Notice;
}

bool UpstreamRegistry::markLeaving(const UpstreamId &Id, Instant Now) {
  ReplicaPtr Found = this->find(Id);
  if (Found == nullptr)
    return false;
  this->noticeOf(*Found, Now).Leaving = true;
  bool IsNew = !Found->Leaving;
  Found->Leaving = true;
  return IsNew;
}

std::optional<UpstreamId> UpstreamRegistry::markLeaving(uint64_t IdHash,
                                                        int64_t StartedAtMs,
                                                        Instant Now) {
  auto Found = this->ByHash.find(IdHash);
  if (Found == this->ByHash.end() ||
      Found->second->Entry.StartedAtMs != StartedAtMs)
    return std::nullopt;
  UpstreamId Id = Found->second->Entry.Id;
  if (!this->markLeaving(Id, Now))
    return std::nullopt;
  return Id;
}

void UpstreamRegistry::pause(const UpstreamId &Id, Instant Until) {
  ReplicaPtr Found = this->find(Id);
  if (Found == nullptr)
    return;
  Found->PausedUntil = std::max(Found->PausedUntil, Until);
  this->noticeOf(*Found, Until).PausedUntil = Found->PausedUntil;
}

void UpstreamRegistry::remove(const UpstreamId &Id, Instant Now,
                              absl::Duration GracePeriod) {
  ReplicaPtr Found = this->find(Id);
  if (Found == nullptr || Found->Removed)
    return;
  Found->Removed = true;
  Found->UsableUntil = Now + GracePeriod;
  this->noticeOf(*Found, Now).RemovedSequence = Found->Entry.Sequence;
}

void UpstreamRegistry::evict(const UpstreamId &Id, Instant Now) {
  ReplicaPtr Found = this->find(Id);
  if (Found == nullptr)
    return;
  Found->Removed = true;
  Found->UsableUntil = Now;
  this->Cache.remove(*Found->Engine);
  Found->Engine.reset();
  auto &Group = this->ByService[Found->Entry.Service.text()];
  Group.erase(std::remove(Group.begin(), Group.end(), Found), Group.end());
  this->ByHash.erase(Found->IdHash);
  this->Limits.clearWarmup(Found->IdHash);
  this->ById.erase(Id.text());
}

void UpstreamRegistry::sweep(Instant Now) {
  std::vector<UpstreamId> Expired;
  for (const auto &[Text, Record] : this->ById)
    if (Record->Removed && !(Now < Record->UsableUntil))
      Expired.push_back(Record->Entry.Id);
  for (const UpstreamId &Id : Expired)
    this->evict(Id, Now);
  absl::erase_if(this->Notices, [&](const auto &Notice) {
    return Notice.second.ExpiresAt < Now;
  });
  this->Limits.sweep(Now);
}

std::vector<UpstreamId> UpstreamRegistry::ids() const {
  std::vector<UpstreamId> Ids;
  for (const auto &[Text, Record] : this->ById)
    Ids.push_back(Record->Entry.Id);
  return Ids;
}

void UpstreamRegistry::divideLimits(const LimitMembers &Members, Instant Now) {
  auto Find = [this](uint64_t IdHash) -> std::optional<LimitedReplica> {
    auto Found = this->ByHash.find(IdHash);
    if (Found == this->ByHash.end())
      return std::nullopt;
    const ReplicaEntry &Entry = Found->second->Entry;
    return LimitedReplica{Entry.Place, Entry.Slots};
  };
  if (!this->Limits.empty() || this->Limits.hasWarmups())
    this->Limits.divide(Members, Find, Now);
}

std::vector<ReplicaPtr>
UpstreamRegistry::replicasOf(const ServiceId &Service) const {
  auto Group = this->ByService.find(Service.text());
  return Group == this->ByService.end() ? std::vector<ReplicaPtr>()
                                        : Group->second;
}

std::optional<UpstreamId> UpstreamRegistry::idOf(uint64_t IdHash) const {
  auto Found = this->ByHash.find(IdHash);
  if (Found == this->ByHash.end())
    return std::nullopt;
  return Found->second->Entry.Id;
}

ReplicaPtr UpstreamRegistry::find(const UpstreamId &Id) const {
  auto Found = this->ById.find(Id.text());
  return Found == this->ById.end() ? nullptr : Found->second;
}

} // namespace berylramp
