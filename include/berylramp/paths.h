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
#include <array>
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
  /// One replica for each lost group, among \p Known, to which a connection
  /// should be tried; others at each call.
  std::vector<uint64_t> chooseProbes(const std::vector<PathTarget> &Known);
  /// Drops lost groups without any replica in \p Known.
  void retain(const std::vector<PathTarget> &Known);
  /// Returns the changes since the last call.
  std::vector<PathChange> takeChanges();

private:
  enum class GroupKind { All, Service, Place, Replica };
  /// The kind, and the hash of the name of a service or place or the id of a
  /// replica.
  using GroupKey = std::pair<GroupKind, uint64_t>;
  struct Group {
    /// When one of the group's replicas was reached last.
    Instant ReachedAt;
    /// Since when each of the others was not.
    std::map<uint64_t, Instant> Unreached;
    bool Lost = false;
    /// Set when the path is lost.
    std::string Name;
  };
  void markLost(GroupKind Kind, Group &Changed, const PathTarget &Member);
  void markRegained(Group &Changed);
  static std::array<GroupKey, 4> groupsOf(const PathTarget &Target);
  static std::string nameOf(GroupKind Kind, const PathTarget &Member);

  absl::flat_hash_map<GroupKey, Group> Groups;
  std::vector<PathChange> Changes;
  size_t LostCount = 0;
  size_t NextProbe = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_PATHS_H
