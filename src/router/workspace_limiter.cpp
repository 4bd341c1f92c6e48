//===- workspace_limiter.cpp - Rate limits of workspaces ------------------===//
//
// Demand includes refused requests, because a host whose share is too small
// must be able to report the demand that it refuses.
//
//===----------------------------------------------------------------------===//

#include "workspace_limiter.h"

#include <cmath>

namespace berylramp::internal {

namespace {

/// Time constant: without requests the rate falls to 1/e in this time.
constexpr double DecaySeconds = 1.0;
/// Requests per second.
constexpr double NegligibleRate = 0.05;

/// Rounds to two significant digits, so that a steady demand is published
/// unchanged from one exchange to the next.
double roundToTwoDigits(double Rate) {
  if (Rate < NegligibleRate)
    return 0;
  double Unit = std::pow(10.0, std::floor(std::log10(Rate)) - 1);
  return std::round(Rate / Unit) * Unit;
}

} // namespace

void WorkspaceLimiter::DecayingRate::add(double Count, Instant Now) {
  this->Rate = this->valueAt(Now) + Count / DecaySeconds;
  this->UpdatedAt = Now;
}

double WorkspaceLimiter::DecayingRate::valueAt(Instant Now) const {
  double Elapsed = absl::ToDoubleSeconds(Now - this->UpdatedAt);
  return this->Rate * std::exp(-Elapsed / DecaySeconds);
}

LimitDecision WorkspaceLimiter::admit(const LimitRow &Row,
                                      const PeerDemand &Others,
                                      Tokens RequestedTokens, Instant Now) {
  Shard &OwningShard =
      this->Shards[stableHash(Row.Workspace.text()) % ShardCount];
  MutexLock Guard(&OwningShard.Lock);
  Entry &Local = OwningShard.Entries[Row.Workspace];
  if (Local.Demand.valueAt(Now) < NegligibleRate)
    Local.ActiveSince = Now;
  Local.Demand.add(1, Now);
  double Share = cappedLimitShare(Local.Demand.valueAt(Now), Local.ActiveSince,
                                  Others, Now);
  return consumeLimit(Local.Bucket, Row, Share, RequestedTokens, Now);
}

double WorkspaceLimiter::share(const WorkspaceId &Workspace,
                               const PeerDemand &Others, Instant Now) const {
  const Shard &OwningShard =
      this->Shards[stableHash(Workspace.text()) % ShardCount];
  MutexLock Guard(&OwningShard.Lock);
  auto Found = OwningShard.Entries.find(Workspace);
  double LocalRate = Found == OwningShard.Entries.end()
                         ? 0
                         : Found->second.Demand.valueAt(Now);
  return limitShare(LocalRate, Others);
}

std::vector<WorkspaceDemand> WorkspaceLimiter::demands(Instant Now) const {
  std::vector<WorkspaceDemand> Demands;
  for (const Shard &OwningShard : this->Shards) {
    MutexLock Guard(&OwningShard.Lock);
    for (const auto &[Workspace, WorkspaceEntry] : OwningShard.Entries) {
      double Rate = roundToTwoDigits(WorkspaceEntry.Demand.valueAt(Now));
      if (Rate > NegligibleRate)
        Demands.push_back(WorkspaceDemand{Workspace, Rate});
    }
  }
  return Demands;
}

} // namespace berylramp::internal
