//===- shares.cpp - Shares of workspaces in the use of a service ----------===//
//
// Each host sees a small part of the requests. Averaging the shares with those
// of random other hosts brings all hosts close to the mean.
//
//===----------------------------------------------------------------------===//

#include "berylramp/dispatch.h"

#include <algorithm>
#include <cmath>

namespace berylramp {

namespace {

/// Time constants with which the recent share follows the measured use, and the
/// usual share follows the recent one.
constexpr absl::Duration RecentTime = absl::Seconds(2);
constexpr absl::Duration UsualTime = absl::Seconds(60);
/// A longer pause between two updates counts as this time.
constexpr absl::Duration MaxStepTime = absl::Seconds(1);
/// Weight of the shares that another host reported.
constexpr double MergeWeight = 0.25;
/// Ratio of the recent to the usual share from which a workspace is over it.
constexpr double OverRatio = 2;
/// Shares below this are forgotten.
constexpr double MinShare = 1e-5;

} // namespace

void ShareTable::onUse(uint64_t Workspace, double Amount, Instant Now) {
  this->Uses[Workspace].Measured.add(Amount, Now);
}

void ShareTable::update(Instant Now) {
  double Total = 0;
  for (const auto &[Workspace, Entry] : this->Uses)
    Total += Entry.Measured.value(Now);
  absl::Duration Elapsed = std::min(Now - this->UpdatedAt, MaxStepTime);
  this->UpdatedAt = Now;
  if (Total <= 0 || Elapsed <= absl::ZeroDuration())
    return;
  // Until UsualTime has passed, the usual share is the mean since the start.
  this->Observed = std::min(this->Observed + Elapsed, UsualTime);
  double RecentStep = 1 - std::exp(-absl::FDivDuration(Elapsed, RecentTime));
  double UsualStep = absl::FDivDuration(Elapsed, this->Observed);
  for (auto &[Workspace, Entry] : this->Uses) {
    double Share = Entry.Measured.value(Now) / Total;
    Entry.Recent += RecentStep * (Share - Entry.Recent);
    Entry.Usual += UsualStep * (Entry.Recent - Entry.Usual);
  }
  absl::erase_if(this->Uses, [&](const auto &Item) {
    const Use &Entry = Item.second;
    return Entry.Recent < MinShare && Entry.Usual < MinShare &&
           Entry.Measured.value(Now) < MinShare * Total;
  });
}

void ShareTable::merge(const WorkspaceShares &Reported) {
  for (const WorkspaceShare &Share : Reported) {
    Use &Entry = this->Uses[Share.Workspace];
    Entry.Recent += MergeWeight * (Share.Recent - Entry.Recent);
    Entry.Usual += MergeWeight * (Share.Usual - Entry.Usual);
  }
}

WorkspaceShares ShareTable::report() const {
  WorkspaceShares Shares;
  for (const auto &[Workspace, Entry] : this->Uses)
    Shares.push_back({Workspace, Entry.Recent, Entry.Usual});
  std::sort(Shares.begin(), Shares.end(),
            [](const WorkspaceShare &A, const WorkspaceShare &B) {
              return A.Recent != B.Recent ? A.Recent > B.Recent
                                          : A.Workspace < B.Workspace;
            });
  if (Shares.size() > MaxReportedShares)
    Shares.resize(MaxReportedShares);
  return Shares;
}

bool ShareTable::isOverShare(uint64_t Workspace) const {
  auto Found = this->Uses.find(Workspace);
  if (Found == this->Uses.end() || this->Uses.size() < 2)
    return false;
  double EqualPart = 1.0 / static_cast<double>(this->Uses.size());
  const Use &Entry = Found->second;
  return Entry.Recent > EqualPart && Entry.Recent > OverRatio * Entry.Usual;
}

double ShareTable::recentShare(uint64_t Workspace) const {
  auto Found = this->Uses.find(Workspace);
  return Found == this->Uses.end() ? 0 : Found->second.Recent;
}

} // namespace berylramp
