//===- paths.cpp - Whether this host reaches the replicas -----------------===//
//
// A replica that is down is not reached by anybody, while the others are. A
// host that is cut off reaches none of a group. An opened connection therefore
// clears the whole group at once.
//
//===----------------------------------------------------------------------===//

#include "berylramp/paths.h"

#include "absl/strings/str_cat.h"
#include <algorithm>
#include <set>

namespace berylramp {

namespace {

/// Replicas of a group that must be unreached before its path is lost.
constexpr size_t MinUnreached = 2;
/// Older failures are no evidence, except of paths that are lost already.
constexpr absl::Duration EvidenceTime = absl::Seconds(3);

/// Time since a replica of a group with several services was reached, before
/// its path is lost: one service may be cut off alone.
constexpr absl::Duration MixedQuietTime = absl::Milliseconds(500);

} // namespace

std::array<PathMonitor::GroupKey, 4>
PathMonitor::groupsOf(const PathTarget &Target) {
  return {GroupKey{GroupKind::All, 0},
          GroupKey{GroupKind::Service, stableHash(Target.Service.text())},
          GroupKey{GroupKind::Place, stableHash(Target.Place.text())},
          GroupKey{GroupKind::Replica, Target.Replica}};
}

std::string PathMonitor::nameOf(GroupKind Kind, const PathTarget &Member) {
  switch (Kind) {
  case GroupKind::All:
    return "all";
  case GroupKind::Service:
    return absl::StrCat("service ", Member.Service.text());
  case GroupKind::Place:
    return absl::StrCat("place ", Member.Place.text());
  case GroupKind::Replica:
    break;
  }
  return absl::StrCat("replica ", absl::Hex(Member.Replica));
}

void PathMonitor::markLost(GroupKind Kind, Group &Changed,
                           const PathTarget &Member) {
  if (Changed.Lost)
    return;
  Changed.Lost = true;
  Changed.Name = nameOf(Kind, Member);
  this->LostCount += 1;
  this->Changes.push_back({Changed.Name, true, Changed.Unreached.size()});
}

void PathMonitor::markRegained(Group &Changed) {
  if (!Changed.Lost)
    return;
  Changed.Lost = false;
  this->LostCount -= 1;
  this->Changes.push_back({Changed.Name, false, Changed.Unreached.size()});
}

void PathMonitor::onReached(const PathTarget &Target, Instant Now) {
  for (const GroupKey &Key : groupsOf(Target)) {
    auto Found = this->Groups.find(Key);
    bool IsReplica = Key.first == GroupKind::Replica;
    if (Found == this->Groups.end() && IsReplica)
      continue;
    Group &Reached = this->Groups[Key];
    this->markRegained(Reached);
    Reached.ReachedAt = Now;
    Reached.Unreached.clear();
  }
}

// A connection that began to open before another one was opened says nothing:
// it may have been lost with a cut that has ended.
void PathMonitor::onUnreached(const PathTarget &Target, Instant Since) {
  for (const GroupKey &Key : groupsOf(Target)) {
    Group &Failed = this->Groups[Key];
    if (Since < Failed.ReachedAt)
      continue;
    if (!Failed.Lost)
      for (auto Entry = Failed.Unreached.begin();
           Entry != Failed.Unreached.end();)
        Entry = Since - Entry->second > EvidenceTime
                    ? Failed.Unreached.erase(Entry)
                    : std::next(Entry);
    Instant &Latest = Failed.Unreached[Target.Replica];
    Latest = std::max(Latest, Since);
    bool IsMixed = Key.first == GroupKind::All || Key.first == GroupKind::Place;
    bool IsQuiet = !IsMixed || Since - Failed.ReachedAt >= MixedQuietTime;
    if (Failed.Unreached.size() >= MinUnreached && IsQuiet)
      this->markLost(Key.first, Failed, Target);
  }
}

void PathMonitor::onReachedByPeer(const PathTarget &Target, Instant Now) {
  auto Found = this->Groups.find({GroupKind::Replica, Target.Replica});
  if (Found == this->Groups.end() || Found->second.Unreached.empty())
    return;
  if (Now - Found->second.Unreached.begin()->second < EvidenceTime)
    this->markLost(GroupKind::Replica, Found->second, Target);
}

bool PathMonitor::isLost(const PathTarget &Target) const {
  if (this->LostCount == 0)
    return false;
  std::array<GroupKey, 4> Keys = groupsOf(Target);
  return std::any_of(Keys.begin(), Keys.end(), [&](const GroupKey &Key) {
    auto Found = this->Groups.find(Key);
    return Found != this->Groups.end() && Found->second.Lost;
  });
}

std::vector<uint64_t>
PathMonitor::chooseProbes(const std::vector<PathTarget> &Known) {
  std::map<GroupKey, std::vector<uint64_t>> Members;
  for (const PathTarget &Target : Known)
    for (const GroupKey &Key : groupsOf(Target)) {
      auto Found = this->Groups.find(Key);
      if (Found != this->Groups.end() && Found->second.Lost)
        Members[Key].push_back(Target.Replica);
    }
  this->NextProbe += 1;
  std::vector<uint64_t> Chosen;
  for (const auto &[Key, Replicas] : Members) {
    uint64_t Replica = Replicas[this->NextProbe % Replicas.size()];
    if (std::find(Chosen.begin(), Chosen.end(), Replica) == Chosen.end())
      Chosen.push_back(Replica);
  }
  return Chosen;
}

void PathMonitor::retain(const std::vector<PathTarget> &Known) {
  std::set<GroupKey> Keys;
  for (const PathTarget &Target : Known)
    for (const GroupKey &Key : groupsOf(Target))
      Keys.insert(Key);
  absl::erase_if(this->Groups, [&](auto &Entry) {
    if (Keys.count(Entry.first) != 0)
      return false;
    this->markRegained(Entry.second);
    return true;
  });
}

std::vector<PathChange> PathMonitor::takeChanges() {
  std::vector<PathChange> Result;
  std::swap(Result, this->Changes);
  return Result;
}

} // namespace berylramp
