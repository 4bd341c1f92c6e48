//===- limit_desk.h - This host's part of the limits ------------*- C++ -*-===//
//
// Buckets and demand meters by workspace, in shards under their own locks.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_LIMIT_DESK_H
#define BERYLRAMP_SRC_ROUTER_LIMIT_DESK_H

#include "berylramp/fleet.h"
#include "berylramp/policy.h"
#include "berylramp/sync.h"
#include <array>
#include <map>
#include <vector>

namespace berylramp::internal {

class LimitDesk {
public:
  /// Counts the demand and takes one request from the workspace's bucket.
  LimitDecision take(const LimitRow &Row, const OthersDemand &Others,
                     Tokens Wanted, Instant Now);
  /// This host's share of a workspace's limit, 0 to 1.
  double share(const WorkspaceId &Workspace, const OthersDemand &Others,
               Instant Now) const;
  /// The demand of each workspace on this host, for the other hosts.
  std::vector<WorkspaceDemand> demand(Instant Now) const;

private:
  /// A rate that forgets with a half-life.
  struct Meter {
    double Rate = 0;
    Instant UpdatedAt;

    void add(double Count, Instant Now);
    double at(Instant Now) const;
  };
  struct Entry {
    LimitBucket Bucket;
    Meter Demand;
    /// When the demand began that has not ceased since.
    Instant Since;
  };
  static constexpr size_t ShardCount = 16;
  struct Shard {
    mutable Mutex Lock;
    std::map<WorkspaceId, Entry> Entries;
  };
  std::array<Shard, ShardCount> Shards;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_LIMIT_DESK_H
