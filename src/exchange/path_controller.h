//===- path_controller.h - Paths to replicas --------------------*- C++ -*-===//
//
// Collects the evidence on this host's paths to replicas, probes lost ones, and
// finds out why a connection failed.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_PATH_CONTROLLER_H
#define BERYLRAMP_EXCHANGE_PATH_CONTROLLER_H

#include "tunnel.h"

namespace berylramp {

PathTarget pathTargetOf(const Replica &Target);

/// Why a connection to a replica failed.
enum class FailureCause {
  /// The replica's process ended: its address refuses connections, as other
  /// hosts confirm if there are any.
  ReplicaEnded,
  /// The replica accepts connections of this host; it broke or kept silent on
  /// that one.
  Replica,
  /// Only other hosts reach the replica.
  OwnPath,
  /// Nobody was able to tell.
  Unknown
};

class PathController : public std::enable_shared_from_this<PathController> {
public:
  using CauseCallback = std::function<void(FailureCause)>;

  PathController(boost::asio::io_context &Loop, TimerService &Timer,
                 UpstreamRegistry &Registry)
      : Loop(Loop), Timer(Timer), Registry(Registry) {}

  /// Chooses another host to reach the replica over, or nothing.
  std::function<std::optional<Endpoint>(const Replica &,
                                        const std::vector<Endpoint> &Tried)>
      ChoosePeer;
  /// Called when a path was lost; \p Hangs states that connections time out,
  /// so that open ones are probably silent too.
  std::function<void(bool Hangs)> OnLost;

  bool isLost(const Replica &Target) const {
    return this->Monitor.isLost(pathTargetOf(Target));
  }
  bool anyLost() const { return this->Monitor.anyLost(); }
  void onReached(const PathTarget &Target);
  /// A connection that was begun, or reset, at \p Since failed.
  void onUnreached(const PathTarget &Target, Instant Since, bool Hangs);
  void onReachedByPeer(const PathTarget &Target);
  /// The replica sent bytes over a direct connection.
  void onHeard(const Replica &Target);

  /// Finds out why a connection to \p Target broke, or was silent from
  /// \p SilentSince on.
  void explainFailure(const ReplicaPtr &Target, Instant SilentSince,
                      CauseCallback Done);
  /// Answers another host whose connection this host saw refused as well.
  void explainRefusal(const PathTarget &Target, const TunnelCallback &Done);
  /// Tries connections over lost paths; called periodically.
  void probe();

private:
  struct Explanation;
  /// Requests for an explanation; later ones wait for a new check.
  struct Waiting {
    std::vector<CauseCallback> Current;
    std::vector<CauseCallback> Next;
  };
  void startExplanation(const ReplicaPtr &Target);
  void askPeer(const std::shared_ptr<Explanation> &Running);
  void finishExplanation(const ReplicaPtr &Target, FailureCause Cause);
  void checkDirectly(const ReplicaPtr &Target, TunnelCallback Done);
  ReplicaPtr anyReplica(const std::function<bool(const Replica &)> &Matches);
  std::vector<PathTarget> knownTargets() const;
  void reportChanges(bool Hangs);

  boost::asio::io_context &Loop;
  TimerService &Timer;
  UpstreamRegistry &Registry;
  PathMonitor Monitor;
  std::map<uint64_t, Waiting> Explanations;
  absl::flat_hash_map<uint64_t, Instant> HeardAt;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_PATH_CONTROLLER_H
