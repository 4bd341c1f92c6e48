//===- rollout_desk.h - Roll-outs under way ---------------------*- C++ -*-===//
//
// Keeps the operators' orders, this host's evidence and the recorded states,
// and drives each roll-out to its end. Any host may write the next state; the
// store orders the writers.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EDGE_ROLLOUT_DESK_H
#define BERYLRAMP_EDGE_ROLLOUT_DESK_H

#include "berylramp/edge.h"
#include "berylramp/gossip.h"

namespace berylramp {

class RolloutDesk {
public:
  struct Ports {
    /// Appends a state where the topic ends at the offset last read.
    std::function<void(const RolloutOrder &, RolloutState, AppendDone)> Write;
    /// Tells peers at once.
    std::function<void()> Urge;
    /// The number of live hosts before this one in the order of addresses.
    std::function<int()> Rank;
    std::function<Instant()> Now;
    /// Usable replicas of the target and of the other versions.
    std::function<std::pair<size_t, size_t>(const ServiceId &,
                                            const VersionId &)>
        Replicas;
  };

  RolloutDesk(ExposureBounds Bounds, Ports Outside)
      : Bounds(Bounds), Outside(std::move(Outside)) {}

  void ordered(const RolloutOrder &Order);
  void recorded(const ServiceId &Service, const VersionId &Target,
                RolloutState State);
  void judge(const ServiceId &Service, const VersionId &Version, bool Good,
             absl::Duration FirstByte);
  VersionRule versionFor(const ServiceId &Service, double Draw) const;
  /// Takes the next step of each roll-out from all hosts' evidence.
  void tick(const PeerView &Peers);
  /// Services with an order.
  std::vector<ServiceId> services() const;
  /// This host's notes for its peers.
  std::vector<RolloutNote> notes() const;

private:
  struct Entry {
    RolloutOrder Order;
    uint64_t Id = 0;
    Instant SeenAt;
    AnswerTally Target;
    AnswerTally Others;
    bool Tripped = false;
    bool Known = false;
    RolloutState State = RolloutState::InProgress;
    double Canary = 0;
    double ToldShare = 0;
    /// All hosts' evidence at the last tick.
    RolloutEvidence Seen;
    /// The state that this host wants to record, and since when.
    RolloutState Wanted = RolloutState::InProgress;
    Instant WantedSince;
    bool Writing = false;
  };
  void step(Entry &Which, const PeerView &Peers);
  void want(Entry &Which, RolloutState State);

  ExposureBounds Bounds;
  Ports Outside;
  std::map<ServiceId, Entry> Entries;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_ROLLOUT_DESK_H
