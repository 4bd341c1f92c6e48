//===- replica_board.h - What this host knows of upstreams ------*- C++ -*-===//
//
// Engines and services come from the platform's host list, which lags; their
// load reports, which lag less, say what they serve and whether they leave.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_REPLICA_BOARD_H
#define BERYLRAMP_SRC_ROUTER_REPLICA_BOARD_H

#include "berylramp/sync.h"
#include "context.h"
#include "worker.h"
#include <atomic>
#include <map>
#include <memory>
#include <vector>

namespace berylramp::internal {

/// One upstream. The facts never change; the rest is under the lock.
class Replica {
public:
  Replica(const ListedHost &Listed, const PlaceLink &Link, bool IsAcross);

  const UpstreamId Id;
  const uint64_t IdHash;
  const Endpoint Address;
  const ServiceId Service;
  const int64_t LinkMicros;
  const bool IsAcross;

  ReplicaView view(Instant Now) const;
  std::vector<VersionKey> versions() const;
  void takeReport(const EngineLoad &Load);
  void setListedLeaving(bool Leaving);
  /// The upstream said itself that it takes nothing new.
  void markLeaving();
  void beginCall();
  /// Returns true when the result ejected the replica.
  bool endCall(bool Failed, Instant Now);

private:
  mutable Mutex Lock;
  EngineLoad Load;
  ReplicaHealth Health;
  int OwnInFlight = 0;
  int SentSince = 0;
  bool ListedLeaving = false;
  bool SaidLeaving = false;
};

using ReplicaList = std::vector<std::shared_ptr<Replica>>;

/// Replicas by what they serve. Never changes once made.
struct ReplicaIndex {
  std::map<VersionKey, ReplicaList> ByVersion;
  std::map<ServiceId, ReplicaList> ByService;
};

class ReplicaBoard {
public:
  explicit ReplicaBoard(RouterContext &Context);

  void start(std::function<void(const std::vector<ListedHost> &)> OnListed);
  void stop();

  std::shared_ptr<const ReplicaIndex> index() const;

private:
  void refreshList();
  void pollShard(size_t Shard);
  void rebuildIndex();
  PlaceLink linkTo(const PlaceId &Place) const;

  RouterContext &Context;
  std::function<void(const std::vector<ListedHost> &)> OnListed;
  std::vector<TimerService::Subscription> Subscriptions;

  mutable Mutex Lock;
  std::map<UpstreamId, std::shared_ptr<Replica>> All;
  std::shared_ptr<const ReplicaIndex> Index;
};

/// The views of a list, in its order.
std::vector<ReplicaView> viewsOf(const ReplicaList &Replicas, Instant Now);

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_REPLICA_BOARD_H
