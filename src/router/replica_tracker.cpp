//===- replica_tracker.cpp - Known replicas and their load ----------------===//
//
// Load reports are polled by a few subscriptions, each for its own shard of the
// replicas, so that a replica that does not answer delays only its own shard.
//
//===----------------------------------------------------------------------===//

#include "replica_tracker.h"

#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr size_t PollShardCount = 4;
constexpr absl::Duration ListRefreshInterval = absl::Seconds(1);

double cacheShare(const EngineLoad &Load) {
  if (Load.CacheSize.count() <= 0)
    return 0;
  return static_cast<double>(Load.CacheUsed.count()) /
         static_cast<double>(Load.CacheSize.count());
}

} // namespace

Replica::Replica(const ListedHost &Host, const PlaceLink &Link,
                 bool UsesPaidLink)
    : Id(Host.Name), IdHash(stableHash(Host.Name)), Address(Host.Address),
      Service(Host.Service), LinkMicros(absl::ToInt64Microseconds(Link.Delay)),
      UsesPaidLink(UsesPaidLink) {}

ReplicaView Replica::view(Instant Now) const {
  ReplicaView View;
  View.IdHash = this->IdHash;
  View.LinkMicros = this->LinkMicros;
  View.IsCrossZone = this->UsesPaidLink;
  MutexLock Guard(&this->Lock);
  View.Running = this->Load.Running;
  View.Waiting = this->Load.Waiting;
  View.Slots = this->Load.Slots;
  View.CacheShare = cacheShare(this->Load);
  View.OwnInFlight = this->OwnInFlight;
  View.SentSinceReport = this->SentSinceReport;
  View.IsUnavailable = this->ListedLeaving || this->RefusesNewWork ||
                       this->Load.Leaving || isEjected(this->Health, Now);
  return View;
}

std::vector<VersionKey> Replica::versions() const {
  MutexLock Guard(&this->Lock);
  return this->Load.Versions;
}

void Replica::applyLoadReport(const EngineLoad &Report) {
  MutexLock Guard(&this->Lock);
  this->Load = Report;
  this->SentSinceReport = 0;
  this->RefusesNewWork = false;
}

void Replica::setListedLeaving(bool Leaving) {
  MutexLock Guard(&this->Lock);
  this->ListedLeaving = Leaving;
}

void Replica::markLeaving() {
  MutexLock Guard(&this->Lock);
  this->RefusesNewWork = true;
}

void Replica::beginCall() {
  MutexLock Guard(&this->Lock);
  ++this->OwnInFlight;
  ++this->SentSinceReport;
}

bool Replica::endCall(bool Failed, Instant Now) {
  MutexLock Guard(&this->Lock);
  --this->OwnInFlight;
  int Before = this->Health.Ejections;
  recordReplicaResult(this->Health, Failed, Now);
  return this->Health.Ejections > Before;
}

ReplicaTracker::ReplicaTracker(RouterContext &Context)
    : Context(Context), Index(std::make_shared<const ReplicaIndex>()) {}

void ReplicaTracker::start(
    std::function<void(const std::vector<ListedHost> &)> Callback) {
  this->OnHostList = std::move(Callback);
  this->refreshList();
  for (size_t Shard = 0; Shard < PollShardCount; ++Shard)
    this->pollShard(Shard);
  TimerService &Timer = this->Context.Timer;
  this->Subscriptions.push_back(Timer.schedulePeriodic(
      ListRefreshInterval, [this] { this->refreshList(); }));
  for (size_t Shard = 0; Shard < PollShardCount; ++Shard)
    this->Subscriptions.push_back(
        Timer.schedulePeriodic(this->Context.Settings.LoadPollInterval,
                               [this, Shard] { this->pollShard(Shard); }));
}

void ReplicaTracker::stop() {
  for (TimerService::Subscription Subscription : this->Subscriptions)
    this->Context.Timer.cancel(Subscription);
  this->Subscriptions.clear();
}

std::shared_ptr<const ReplicaIndex> ReplicaTracker::index() const {
  MutexLock Guard(&this->Lock);
  return this->Index;
}

PlaceLink ReplicaTracker::linkTo(const PlaceId &Place) const {
  for (const PlaceLink &Link : this->Context.Settings.Links) {
    if (Link.Place == Place)
      return Link;
  }
  return PlaceLink{Place, absl::ZeroDuration(), false};
}

void ReplicaTracker::refreshList() {
  absl::StatusOr<std::vector<ListedHost>> Listed =
      this->Context.Ports.Hosts.Fetch();
  // When the list is unavailable the previous one stays in use; load reports
  // still show which replicas are leaving.
  if (!Listed.ok())
    return;
  {
    MutexLock Guard(&this->Lock);
    std::map<UpstreamId, std::shared_ptr<Replica>> Next;
    for (const ListedHost &Host : *Listed) {
      if (Host.Role == HostRole::Entry)
        continue;
      UpstreamId Id(Host.Name);
      auto Found = this->ReplicasById.find(Id);
      bool IsSame = Found != this->ReplicasById.end() &&
                    Found->second->Address == Host.Address &&
                    Found->second->Service == Host.Service;
      PlaceLink Link = this->linkTo(Host.Place);
      std::shared_ptr<Replica> Target =
          IsSame ? Found->second
                 : std::make_shared<Replica>(Host, Link, Link.IsPaid);
      Target->setListedLeaving(Host.Leaving);
      Next[Id] = std::move(Target);
    }
    this->ReplicasById = std::move(Next);
  }
  this->rebuildIndex();
  if (this->OnHostList)
    this->OnHostList(*Listed);
}

void ReplicaTracker::pollShard(size_t Shard) {
  ReplicaList ShardReplicas;
  {
    MutexLock Guard(&this->Lock);
    for (const auto &[Id, Target] : this->ReplicasById) {
      if (Target->IdHash % PollShardCount == Shard)
        ShardReplicas.push_back(Target);
    }
  }
  bool Changed = false;
  for (const std::shared_ptr<Replica> &Target : ShardReplicas) {
    absl::StatusOr<EngineLoad> Report =
        this->Context.Ports.Upstreams.ReadLoad(Target->Address);
    if (!Report.ok())
      continue;
    Changed |= Target->versions() != Report->Versions;
    Target->applyLoadReport(*Report);
  }
  if (Changed)
    this->rebuildIndex();
}

void ReplicaTracker::rebuildIndex() {
  MutexLock Guard(&this->Lock);
  auto Next = std::make_shared<ReplicaIndex>();
  for (const auto &[Id, Target] : this->ReplicasById) {
    if (!Target->Service.empty())
      Next->ByService[Target->Service].push_back(Target);
    for (const VersionKey &Key : Target->versions())
      Next->ByVersion[Key].push_back(Target);
  }
  this->Index = std::move(Next);
}

std::vector<ReplicaView> viewsOf(const ReplicaList &Replicas, Instant Now) {
  std::vector<ReplicaView> Views;
  Views.reserve(Replicas.size());
  for (const std::shared_ptr<Replica> &Target : Replicas)
    Views.push_back(Target->view(Now));
  return Views;
}

} // namespace berylramp::internal
