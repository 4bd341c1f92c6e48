//===- replica_tracker.h - Known replicas and their load --------*- C++ -*-===//
//
// Engines and services are discovered from the platform's host list, which lags
// behind the fleet. Their load reports, which lag less, state which versions
// they serve and whether they are leaving.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_REPLICA_TRACKER_H
#define BERYLRAMP_SRC_ROUTER_REPLICA_TRACKER_H

#include "berylramp/sync.h"
#include "context.h"
#include "worker.h"
#include <atomic>
#include <map>
#include <memory>
#include <vector>

namespace berylramp::internal {

/// One upstream. The public members are immutable; all other state is guarded
/// by the lock.
class Replica {
public:
  Replica(const ListedHost &Host, const PlaceLink &Link, bool UsesPaidLink);

  const UpstreamId Id;
  const uint64_t IdHash;
  const Endpoint Address;
  const ServiceId Service;
  const int64_t LinkMicros;
  const bool UsesPaidLink;

  ReplicaView view(Instant Now) const;
  std::vector<VersionKey> versions() const;
  void applyLoadReport(const EngineLoad &Load);
  void setListedLeaving(bool Leaving);
  /// Records that the upstream refused a request because it accepts no new
  /// work. The next load report clears this state.
  void markLeaving();
  void beginCall();
  /// Records the result of a call; true when it ejected the replica.
  bool endCall(bool Failed, Instant Now);

private:
  mutable Mutex Lock;
  EngineLoad Load;
  ReplicaHealth Health;
  int OwnInFlight = 0;
  int SentSinceReport = 0;
  bool ListedLeaving = false;
  bool RefusesNewWork = false;
};

using ReplicaList = std::vector<std::shared_ptr<Replica>>;

/// Replicas by the version or service they serve. Immutable once published.
struct ReplicaIndex {
  std::map<VersionKey, ReplicaList> ByVersion;
  std::map<ServiceId, ReplicaList> ByService;
};

class ReplicaTracker {
public:
  explicit ReplicaTracker(RouterContext &Context);

  void start(std::function<void(const std::vector<ListedHost> &)> OnHostList);
  void stop();

  std::shared_ptr<const ReplicaIndex> index() const;

private:
  void refreshList();
  void pollShard(size_t Shard);
  void rebuildIndex();
  PlaceLink linkTo(const PlaceId &Place) const;

  RouterContext &Context;
  std::function<void(const std::vector<ListedHost> &)> OnHostList;
  std::vector<TimerService::Subscription> Subscriptions;

  mutable Mutex Lock;
  std::map<UpstreamId, std::shared_ptr<Replica>> ReplicasById;
  std::shared_ptr<const ReplicaIndex> Index;
};

/// Returns a view of each replica, in the order of the list.
std::vector<ReplicaView> viewsOf(const ReplicaList &Replicas, Instant Now);

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_REPLICA_TRACKER_H
