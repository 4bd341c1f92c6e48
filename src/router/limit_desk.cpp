//===- limit_desk.cpp - This host's part of the limits --------------------===//
//
// The meter counts what was asked for, refused or not: a host whose share is
// too small must be able to show it.
//
//===----------------------------------------------------------------------===//

#include "limit_desk.h"

#include <cmath>

namespace berylramp::internal {

namespace {

/// After this long without requests a demand has fallen to 1/e.
constexpr double MeterSeconds = 1.0;
constexpr double NegligibleRate = 0.05;

/// Rounds to two significant digits, so that a steady demand reads the same
/// from one exchange to the next.
double twoDigits(double Rate) {
  if (Rate < NegligibleRate)
    return 0;
  double Unit = std::pow(10.0, std::floor(std::log10(Rate)) - 1);
  return std::round(Rate / Unit) * Unit;
}

} // namespace

void LimitDesk::Meter::add(double Count, Instant Now) {
  this->Rate = this->at(Now) + Count / MeterSeconds;
  this->UpdatedAt = Now;
}

double LimitDesk::Meter::at(Instant Now) const {
  double Passed = absl::ToDoubleSeconds(Now - this->UpdatedAt);
  return this->Rate * std::exp(-Passed / MeterSeconds);
}

LimitDecision LimitDesk::take(const LimitRow &Row, const OthersDemand &Others,
                              Tokens Wanted, Instant Now) {
  Shard &Home = this->Shards[stableHash(Row.Workspace.text()) % ShardCount];
  MutexLock Hold(&Home.Lock);
  Entry &Mine = Home.Entries[Row.Workspace];
  if (Mine.Demand.at(Now) < NegligibleRate)
    Mine.Since = Now;
  Mine.Demand.add(1, Now);
  double Share =
      settledLimitShare(Mine.Demand.at(Now), Mine.Since, Others, Now);
  return consumeLimit(Mine.Bucket, Row, Share, Wanted, Now);
}

double LimitDesk::share(const WorkspaceId &Workspace,
                        const OthersDemand &Others, Instant Now) const {
  const Shard &Home = this->Shards[stableHash(Workspace.text()) % ShardCount];
  MutexLock Hold(&Home.Lock);
  auto Found = Home.Entries.find(Workspace);
  double Mine = Found == Home.Entries.end() ? 0 : Found->second.Demand.at(Now);
  return limitShare(Mine, Others);
}

std::vector<WorkspaceDemand> LimitDesk::demand(Instant Now) const {
  std::vector<WorkspaceDemand> Out;
  for (const Shard &Home : this->Shards) {
    MutexLock Hold(&Home.Lock);
    for (const auto &[Workspace, Each] : Home.Entries) {
      double Rate = twoDigits(Each.Demand.at(Now));
      if (Rate > NegligibleRate)
        Out.push_back(WorkspaceDemand{Workspace, Rate});
    }
  }
  return Out;
}

} // namespace berylramp::internal
