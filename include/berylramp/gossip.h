//===- gossip.h - What hosts tell each other in datagrams -------*- C++ -*-===//
//
// Membership, versions in force and roll-out evidence of all hosts, spread by
// datagrams to a few random peers. A datagram has a bounded size whatever the
// number of hosts. Pure: bytes and instants go in and come out.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_GOSSIP_H
#define BERYLRAMP_GOSSIP_H

#include "absl/container/flat_hash_map.h"
#include "berylramp/rollout.h"
#include "berylramp/routes.h"
#include "berylramp/timer.h"
#include "berylramp/units.h"
#include <cstdint>
#include <string>
#include <vector>

namespace berylramp {

/// One host's word on a roll-out under way.
struct RolloutNote {
  /// Hash of service and target.
  uint64_t Order = 0;
  AnswerTally Target;
  AnswerTally Others;
  bool Tripped = false;
  /// How long ago the order came, as far as this host knows.
  int64_t ElapsedMs = 0;
};

/// Work that a host sent to a replica that others use too.
struct WorkNote {
  /// Hash of the replica's id.
  uint64_t Replica = 0;
  int64_t WorkMs = 0;
};

std::string encodeWork(const WorkNote &Note);
/// False when the bytes hold no note.
bool decodeWork(const std::string &Datagram, WorkNote &Out);

/// How a host stands to the platform's store.
enum class StoreUse {
  /// Takes records from a peer; the store served it when it last read.
  Rests,
  /// Reads the store for its region.
  Reads,
  /// The store does not serve it.
  Away
};

/// What a host says of itself. All hosts use the same ports, so its IPv4
/// address names it.
struct PeerState {
  /// IPv4 address in host byte order.
  uint32_t Ip = 0;
  Incarnation Life;
  /// Grows with each word of the host.
  int64_t Beat = 0;
  PlaceId Place;
  bool Ready = false;
  bool Leaving = false;
  StoreUse Store = StoreUse::Rests;
  TableVersion Table = NoTable;
  std::vector<RolloutNote> Rollouts;
};

/// A peer as last heard of.
struct Peer {
  PeerState State;
  Instant HeardAt;
};

/// The peers that this host knows.
class PeerView {
public:
  explicit PeerView(PeerState Self) : Self(std::move(Self)) {}

  PeerState &self() { return this->Self; }
  const PeerState &self() const { return this->Self; }

  /// A datagram with this host's state and as many others as fit. Advances
  /// this host's beat.
  std::string encode(Instant Now);
  /// Takes in a datagram; false when its bytes are not valid.
  bool merge(const std::string &Datagram, Instant Now);
  /// Makes an address known before anything was heard from it.
  void introduce(uint32_t Ip, Instant Now);

  /// Up to \p Most addresses to send to, mostly live ones.
  std::vector<uint32_t> targets(size_t Most, Instant Now);
  /// Peers heard of recently, without this host.
  std::vector<const Peer *> live(Instant Now) const;
  std::vector<const Peer *> heardWithin(absl::Duration Time, Instant Now) const;
  /// Drops peers that have been silent for long.
  void sweep(Instant Now);
  size_t size() const { return this->Peers.size(); }

  /// The evidence of all live hosts on \p Order, and its age.
  RolloutEvidence evidence(uint64_t Order, Instant Now,
                           absl::Duration &Elapsed) const;

private:
  void take(const PeerState &State, Instant Now);

  PeerState Self;
  absl::flat_hash_map<uint32_t, Peer> Peers;
};

} // namespace berylramp

#endif // BERYLRAMP_GOSSIP_H
