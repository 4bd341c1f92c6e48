//===- rollout_controller.h - Roll-outs in progress -------------*- C++ -*-===//
//
// Keeps the operators' orders, this host's evidence and the recorded states,
// and advances each roll-out to its end state. Any host may write the next
// state; the store serializes the writes.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EDGE_ROLLOUT_CONTROLLER_H
#define BERYLRAMP_EDGE_ROLLOUT_CONTROLLER_H

#include "berylramp/edge.h"
#include "berylramp/gossip.h"
#include <array>
#include <deque>

namespace berylramp {

class RolloutController {
public:
  struct Ports {
    /// Appends a state if the topic ends at the offset last read.
    std::function<void(const RolloutOrder &, RolloutState, AppendCallback)>
        WriteState;
    /// Sends this host's state to peers at once.
    std::function<void()> NotifyPeers;
    /// The number of live hosts that write before this one.
    std::function<int()> WriterRank;
    std::function<Instant()> Now;
    /// Numbers of usable replicas of the target and of the other versions.
    std::function<std::pair<size_t, size_t>(const ServiceId &,
                                            const VersionId &)>
        CountReplicas;
  };

  RolloutController(ExposureBounds Bounds, Ports Callbacks)
      : Bounds(Bounds), Callbacks(std::move(Callbacks)) {}

  void onOrder(const RolloutOrder &Order);
  /// Compares the recorded state with the one in a snapshot of the store. A
  /// state that the store lost is written again.
  void compareWithStore(const ServiceId &Service,
                        std::optional<RolloutState> Stored);
  void onStateRecorded(const ServiceId &Service, const VersionId &Target,
                       RolloutState State);
  /// Counts an answer as evidence or as usual; returns whether it is bad.
  bool observe(const AnswerObservation &Observation);
  VersionRule versionFor(const ServiceId &Service, double Draw) const;
  /// Advances each roll-out in progress by all hosts' evidence.
  void tick(const PeerTable &Peers);
  /// The services that have an order.
  std::vector<ServiceId> services() const;
  /// This host's reports for its peers.
  std::vector<RolloutReport> reports() const;

private:
  struct Entry {
    RolloutOrder Order;
    uint64_t Id = 0;
    Instant StartedAt;
    StratifiedTally Target;
    AnswerTally Others;
    bool Tripped = false;
    bool Recorded = false;
    /// The store lost the recorded state.
    bool NeedsRewrite = false;
    RolloutState State = RolloutState::InProgress;
    RolloutSchedule Schedule;
    /// Number of requests at the beginning of the current and of the last
    /// interval in which their rate is measured.
    std::array<std::pair<Instant, int64_t>, 2> RateSamples;
    double LoggedShare = 0;
    Instant EvidenceLoggedAt{-absl::InfiniteDuration()};
    /// All hosts' evidence at the last tick.
    RolloutEvidence Evidence;
    /// All hosts' evidence on the target at the last ticks.
    std::deque<std::pair<Instant, StratifiedTally>> History;
    /// The state that this host will write, and since when.
    RolloutState PendingState = RolloutState::InProgress;
    Instant PendingSince;
    bool WriteInFlight = false;
  };
  void advance(Entry &Rollout, const PeerTable &Peers);
  /// Plans when the target receives all requests. Hosts adopt the latest plan,
  /// so that a session does not reach hosts before and after that time.
  void plan(Entry &Rollout, absl::Duration Elapsed);
  RolloutTraffic trafficOf(Entry &Rollout, absl::Duration Elapsed);
  void requestState(Entry &Rollout, RolloutState State);
  static StratifiedTally
  recentEvidence(Entry &Rollout, const StratifiedTally &Sum, Instant Now);
  /// Logs all hosts' evidence in regular intervals.
  void logEvidence(Entry &Rollout, absl::Duration Elapsed);

  ExposureBounds Bounds;
  Ports Callbacks;
  std::map<ServiceId, Entry> Entries;
  /// By service and route.
  std::map<std::pair<ServiceId, std::string>, RouteBaseline> Baselines;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_ROLLOUT_CONTROLLER_H
