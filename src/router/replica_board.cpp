//===- replica_board.cpp - What this host knows of upstreams --------------===//
//
// Reports are read by a few subscriptions, each with its share of the
// replicas, so that one replica that does not answer delays few others.
//
//===----------------------------------------------------------------------===//

#include "replica_board.h"

#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr size_t PollShards = 4;
constexpr absl::Duration ListEvery = absl::Seconds(1);

double cacheShare(const EngineLoad &Load) {
  if (Load.CacheSize.count() <= 0)
    return 0;
  return static_cast<double>(Load.CacheUsed.count()) /
         static_cast<double>(Load.CacheSize.count());
}

} // namespace

Replica::Replica(const ListedHost &Listed, const PlaceLink &Link, bool IsAcross)
    : Id(Listed.Name), IdHash(stableHash(Listed.Name)), Address(Listed.Address),
      Service(Listed.Service),
      LinkMicros(absl::ToInt64Microseconds(Link.Delay)), IsAcross(IsAcross) {}

ReplicaView Replica::view(Instant Now) const {
  ReplicaView Out;
  Out.IdHash = this->IdHash;
  Out.LinkMicros = this->LinkMicros;
  Out.IsCrossZone = this->IsAcross;
  MutexLock Hold(&this->Lock);
  Out.Running = this->Load.Running;
  Out.Waiting = this->Load.Waiting;
  Out.Slots = this->Load.Slots;
  Out.CacheShare = cacheShare(this->Load);
  Out.OwnInFlight = this->OwnInFlight;
  Out.SentSinceReport = this->SentSince;
  Out.IsUnavailable = this->ListedLeaving || this->SaidLeaving ||
                      this->Load.Leaving || isEjected(this->Health, Now);
  return Out;
}

std::vector<VersionKey> Replica::versions() const {
  MutexLock Hold(&this->Lock);
  return this->Load.Versions;
}

void Replica::takeReport(const EngineLoad &Report) {
  MutexLock Hold(&this->Lock);
  this->Load = Report;
  this->SentSince = 0;
  this->SaidLeaving = false;
}

void Replica::setListedLeaving(bool Leaving) {
  MutexLock Hold(&this->Lock);
  this->ListedLeaving = Leaving;
}

void Replica::markLeaving() {
  MutexLock Hold(&this->Lock);
  this->SaidLeaving = true;
}

void Replica::beginCall() {
  MutexLock Hold(&this->Lock);
  ++this->OwnInFlight;
  ++this->SentSince;
}

bool Replica::endCall(bool Failed, Instant Now) {
  MutexLock Hold(&this->Lock);
  --this->OwnInFlight;
  int Before = this->Health.Ejections;
  recordReplicaResult(this->Health, Failed, Now);
  return this->Health.Ejections > Before;
}

ReplicaBoard::ReplicaBoard(RouterContext &Context)
    : Context(Context), Index(std::make_shared<const ReplicaIndex>()) {}

void ReplicaBoard::start(
    std::function<void(const std::vector<ListedHost> &)> Call) {
  this->OnListed = std::move(Call);
  this->refreshList();
  for (size_t Shard = 0; Shard < PollShards; ++Shard)
    this->pollShard(Shard);
  TimerService &Timer = this->Context.Timer;
  this->Subscriptions.push_back(
      Timer.every(ListEvery, [this] { this->refreshList(); }));
  for (size_t Shard = 0; Shard < PollShards; ++Shard)
    this->Subscriptions.push_back(
        Timer.every(this->Context.Settings.LoadEvery,
                    [this, Shard] { this->pollShard(Shard); }));
}

void ReplicaBoard::stop() {
  for (TimerService::Subscription Each : this->Subscriptions)
    this->Context.Timer.cancel(Each);
  this->Subscriptions.clear();
}

std::shared_ptr<const ReplicaIndex> ReplicaBoard::index() const {
  MutexLock Hold(&this->Lock);
  return this->Index;
}

PlaceLink ReplicaBoard::linkTo(const PlaceId &Place) const {
  for (const PlaceLink &Link : this->Context.Settings.Links) {
    if (Link.Place == Place)
      return Link;
  }
  return PlaceLink{Place, absl::ZeroDuration(), false};
}

void ReplicaBoard::refreshList() {
  absl::StatusOr<std::vector<ListedHost>> Listed =
      this->Context.Ports.Hosts.Fetch();
  // Without the list the last one stands; load reports still tell who leaves.
  if (!Listed.ok())
    return;
  {
    MutexLock Hold(&this->Lock);
    std::map<UpstreamId, std::shared_ptr<Replica>> Next;
    for (const ListedHost &Each : *Listed) {
      if (Each.Role == HostRole::Entry)
        continue;
      UpstreamId Id(Each.Name);
      auto Found = this->All.find(Id);
      bool IsSame = Found != this->All.end() &&
                    Found->second->Address == Each.Address &&
                    Found->second->Service == Each.Service;
      PlaceLink Link = this->linkTo(Each.Place);
      std::shared_ptr<Replica> Kept =
          IsSame ? Found->second
                 : std::make_shared<Replica>(Each, Link, Link.IsPaid);
      Kept->setListedLeaving(Each.Leaving);
      Next[Id] = std::move(Kept);
    }
    this->All = std::move(Next);
  }
  this->rebuildIndex();
  if (this->OnListed)
    this->OnListed(*Listed);
}

void ReplicaBoard::pollShard(size_t Shard) {
  ReplicaList Mine;
  {
    MutexLock Hold(&this->Lock);
    for (const auto &[Id, Each] : this->All) {
      if (Each->IdHash % PollShards == Shard)
        Mine.push_back(Each);
    }
  }
  bool Changed = false;
  for (const std::shared_ptr<Replica> &Each : Mine) {
    absl::StatusOr<EngineLoad> Report =
        this->Context.Ports.Upstreams.ReadLoad(Each->Address);
    if (!Report.ok())
      continue;
    Changed |= Each->versions() != Report->Versions;
    Each->takeReport(*Report);
  }
  if (Changed)
    this->rebuildIndex();
}

void ReplicaBoard::rebuildIndex() {
  MutexLock Hold(&this->Lock);
  auto Next = std::make_shared<ReplicaIndex>();
  for (const auto &[Id, Each] : this->All) {
    if (!Each->Service.empty())
      Next->ByService[Each->Service].push_back(Each);
    for (const VersionKey &Key : Each->versions())
      Next->ByVersion[Key].push_back(Each);
  }
  this->Index = std::move(Next);
}

std::vector<ReplicaView> viewsOf(const ReplicaList &Replicas, Instant Now) {
  std::vector<ReplicaView> Out;
  Out.reserve(Replicas.size());
  for (const std::shared_ptr<Replica> &Each : Replicas)
    Out.push_back(Each->view(Now));
  return Out;
}

} // namespace berylramp::internal
