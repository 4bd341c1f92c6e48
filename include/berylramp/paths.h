//===- paths.h - Whether this host reaches the replicas ---------*- C++ -*-===//
//
// Finds out from failed and opened connections that a host has lost its path to
// a group of replicas, so that it reaches them over another host and does not
// hold its own failure against them. Performs no I/O and reads no clock.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_PATHS_H
#define BERYLRAMP_PATHS_H

#include "absl/container/flat_hash_map.h"
#include "berylramp/timer.h"
#include "berylramp/units.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylramp {

/// A replica and the groups that it belongs to: the replicas of its service,
/// those in its data centre, and all.
struct PathTarget {
  /// Hash of the replica's id.
  uint64_t Replica = 0;
  ServiceId Service;
  PlaceId Place;
};

/// The path to a group was lost, or works again.
struct PathChange {
  /// "all", "service NAME", "place NAME" or "replica HASH".
  std::string Group;
  bool Lost = false;
  /// Replicas of the group that were not reached.
  size_t Unreached = 0;
};

/// The paths of one host. A path is lost if several replicas of a group were
/// not reached since one was, or if another host reaches the only one that was
/// not.
class PathMonitor {
public:
  /// A connection to the replica was opened.
  void onReached(const PathTarget &Target, Instant Now);
  /// A connection whose opening began at \p Since was not opened, or a
  /// connection was reset at \p Since.
  void onUnreached(const PathTarget &Target, Instant Since);
  /// Another host opened a connection to the replica.
  void onReachedByPeer(const PathTarget &Target, Instant Now);

  /// Whether this host should reach the replica over another host.
  bool isLost(const PathTarget &Target) const;
  bool anyLost() const { return this->LostCount > 0; }
  /// When a connection was opened last.
  Instant lastReached() const { return this->LastReached; }
  /// One replica for each lost group, among \p Known, to which a connection
  /// should be tried; others at each call.
  std::vector<uint64_t> chooseProbes(const std::vector<PathTarget> &Known);
  /// Drops lost groups without any replica in \p Known.
  void retain(const std::vector<PathTarget> &Known);
  /// Returns the changes since the last call.
  std::vector<PathChange> takeChanges();

private:
  struct Group {
    /// When one of the group's replicas was reached last.
    Instant ReachedAt;
    /// Since when each of the others was not.
    std::map<uint64_t, Instant> Unreached;
    bool Lost = false;
  };
  void setLost(const std::string &Name, Group &Changed, bool Lost);
  static std::vector<std::string> groupsOf(const PathTarget &Target);

  absl::flat_hash_map<std::string, Group> Groups;
  std::vector<PathChange> Changes;
  Instant LastReached{-absl::InfiniteDuration()};
  size_t LostCount = 0;
  size_t NextProbe = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_PATHS_H
