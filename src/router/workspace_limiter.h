//===- workspace_limiter.h - Rate limits of workspaces ----------*- C++ -*-===//
//
// Keeps a token bucket and a demand rate per workspace, in shards with a lock
// each, and enforces this host's share of each limit.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_WORKSPACE_LIMITER_H
#define BERYLRAMP_SRC_ROUTER_WORKSPACE_LIMITER_H

#include "berylramp/fleet.h"
#include "berylramp/policy.h"
#include "berylramp/sync.h"
#include <array>
#include <map>
#include <vector>

namespace berylramp::internal {

class WorkspaceLimiter {
public:
  /// Records one request as demand and takes it from the workspace's bucket.
  LimitDecision admit(const LimitRow &Row, const PeerDemand &Others,
                      Tokens RequestedTokens, Instant Now);
  /// This host's share of a workspace's limit, 0 to 1.
  double share(const WorkspaceId &Workspace, const PeerDemand &Others,
               Instant Now) const;
  /// Demand of each workspace on this host in requests per second, for
  /// publication to the other hosts.
  std::vector<WorkspaceDemand> demands(Instant Now) const;

private:
  /// An exponentially decaying rate in requests per second.
  struct DecayingRate {
    double Rate = 0;
    Instant UpdatedAt;

    void add(double Count, Instant Now);
    double valueAt(Instant Now) const;
  };
  struct Entry {
    LimitBucket Bucket;
    DecayingRate Demand;
    /// Start of the current uninterrupted period of demand.
    Instant ActiveSince;
  };
  static constexpr size_t ShardCount = 16;
  struct Shard {
    mutable Mutex Lock;
    std::map<WorkspaceId, Entry> Entries;
  };
  std::array<Shard, ShardCount> Shards;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_WORKSPACE_LIMITER_H
