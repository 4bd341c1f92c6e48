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

namespace berylramp {

namespace {

/// Replicas of a group that must be unreached before its path is lost.
constexpr size_t MinUnreached = 2;
/// Older failures are no evidence, except of paths that are lost already.
constexpr absl::Duration EvidenceTime = absl::Seconds(3);

/// Time since a replica of a group with several services was reached, before
/// its path is lost: one service may be cut off alone.
constexpr absl::Duration MixedQuietTime = absl::Milliseconds(500);

constexpr const char *AllGroup = "all";

std::string replicaGroup(const PathTarget &Target) {
  return absl::StrCat("replica ", absl::Hex(Target.Replica));
}

} // namespace

std::vector<std::string> PathMonitor::groupsOf(const PathTarget &Target) {
  return {AllGroup, absl::StrCat("service ", Target.Service.text()),
          absl::StrCat("place ", Target.Place.text()), replicaGroup(Target)};
}

void PathMonitor::setLost(const std::string &Name, Group &Changed, bool Lost) {
  if (Changed.Lost == Lost)
    return;
  Changed.Lost = Lost;
  this->LostCount = Lost ? this->LostCount + 1 : this->LostCount - 1;
  this->Changes.push_back({Name, Lost, Changed.Unreached.size()});
}

void PathMonitor::onReached(const PathTarget &Target, Instant Now) {
  this->LastReached = Now;
  for (const std::string &Name : groupsOf(Target)) {
    auto Found = this->Groups.find(Name);
    if (Found == this->Groups.end() && Name == replicaGroup(Target))
      continue;
    Group &Reached = this->Groups[Name];
    this->setLost(Name, Reached, false);
    Reached.ReachedAt = Now;
    Reached.Unreached.clear();
  }
}

// A connection that began to open before another one was opened says nothing:
// it may have been lost with a cut that has ended.
void PathMonitor::onUnreached(const PathTarget &Target, Instant Since) {
  for (const std::string &Name : groupsOf(Target)) {
    Group &Failed = this->Groups[Name];
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
    bool IsMixed =
        Name == AllGroup || Name == absl::StrCat("place ", Target.Place.text());
    bool IsQuiet = !IsMixed || Since - Failed.ReachedAt >= MixedQuietTime;
    if (Failed.Unreached.size() >= MinUnreached && IsQuiet)
      this->setLost(Name, Failed, true);
  }
}

void PathMonitor::onReachedByPeer(const PathTarget &Target, Instant Now) {
  std::string Name = replicaGroup(Target);
  auto Found = this->Groups.find(Name);
  if (Found == this->Groups.end() || Found->second.Unreached.empty())
    return;
  if (Now - Found->second.Unreached.begin()->second < EvidenceTime)
    this->setLost(Name, Found->second, true);
}

bool PathMonitor::isLost(const PathTarget &Target) const {
  if (this->LostCount == 0)
    return false;
  std::vector<std::string> Names = groupsOf(Target);
  return std::any_of(Names.begin(), Names.end(), [&](const std::string &Name) {
    auto Found = this->Groups.find(Name);
    return Found != this->Groups.end() && Found->second.Lost;
  });
}

std::vector<uint64_t>
PathMonitor::chooseProbes(const std::vector<PathTarget> &Known) {
  std::vector<uint64_t> Chosen;
  this->NextProbe += 1;
  for (const auto &[Name, Lost] : this->Groups) {
    if (!Lost.Lost)
      continue;
    std::vector<uint64_t> Members;
    for (const PathTarget &Target : Known) {
      std::vector<std::string> Names = groupsOf(Target);
      if (std::find(Names.begin(), Names.end(), Name) != Names.end())
        Members.push_back(Target.Replica);
    }
    if (Members.empty())
      continue;
    uint64_t Replica = Members[this->NextProbe % Members.size()];
    if (std::find(Chosen.begin(), Chosen.end(), Replica) == Chosen.end())
      Chosen.push_back(Replica);
  }
  return Chosen;
}

void PathMonitor::retain(const std::vector<PathTarget> &Known) {
  std::vector<std::string> Names;
  for (const PathTarget &Target : Known)
    for (std::string &Name : groupsOf(Target))
      Names.push_back(std::move(Name));
  std::sort(Names.begin(), Names.end());
  absl::erase_if(this->Groups, [&](auto &Entry) {
    if (std::binary_search(Names.begin(), Names.end(), Entry.first))
      return false;
    this->setLost(Entry.first, Entry.second, false);
    return true;
  });
}

std::vector<PathChange> PathMonitor::takeChanges() {
  std::vector<PathChange> Result;
  std::swap(Result, this->Changes);
  return Result;
}

} // namespace berylramp
