//===- gossip.h - Gossip protocol between hosts -----------------*- C++ -*-===//
//
// Spreads membership, table versions in force and roll-out evidence of all
// hosts by datagrams to a few random peers. The size of a datagram is bounded
// whatever the number of hosts. The code performs no I/O and reads no clock:
// callers pass bytes and instants.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_GOSSIP_H
#define BERYLRAMP_GOSSIP_H

#include "absl/container/flat_hash_map.h"
#include "berylramp/dispatch.h"
#include "berylramp/limits.h"
#include "berylramp/prefix_cache.h"
#include "berylramp/quarantine.h"
#include "berylramp/rollout.h"
#include "berylramp/routes.h"
#include "berylramp/timer.h"
#include "berylramp/units.h"
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace berylramp {

/// One host's report on a roll-out in progress.
struct RolloutReport {
  /// Hash of the order's service and target.
  uint64_t Order = 0;
  StratifiedTally Target;
  AnswerTally Others;
  bool Tripped = false;
  /// Milliseconds since the host first received the order, or since the start
  /// that peers reported if that is earlier.
  int64_t ElapsedMs = 0;
  /// The time of full traffic that the host plans, in milliseconds since the
  /// order; 0 when it has no plan yet.
  int64_t FullTrafficMs = 0;
};

/// Report on a prompt that a host sent to a replica which other hosts use too.
struct WorkReport {
  /// Hash of the replica's id.
  uint64_t Replica = 0;
  int64_t WorkMs = 0;
  PromptUse Use{};
};

/// The prompts that a host sent since its last digest; at most MaxReportedWork
/// of them fit a datagram.
using WorkDigest = std::vector<WorkReport>;
inline constexpr size_t MaxReportedWork = 24;
/// Longer chains of shared segments are reported without their end.
inline constexpr size_t MaxReportedChain = 4;

/// Collects the prompts that this host sends until the next digest.
class WorkOutbox {
public:
  /// Entries of all datagrams of one digest, so that what a host sends does not
  /// grow with the number of hosts.
  static constexpr size_t MaxEntriesSent = 96;

  void add(WorkReport Report) { this->Pending.push_back(std::move(Report)); }
  /// Returns what \p Recipients hosts are told, the most work first, and starts
  /// a new digest.
  WorkDigest take(size_t Recipients);

private:
  WorkDigest Pending;
};

/// Report that a replica is shutting down.
struct LeavingReport {
  /// Hash of the replica's id.
  uint64_t Replica = 0;
  /// Start of the replica's process in Unix milliseconds.
  int64_t StartedAtMs = 0;
};

/// Report that a brittle replica rejected a request for want of room.
struct FullReport {
  /// Hash of the replica's id.
  uint64_t Replica = 0;
  /// Start of the replica's process in Unix milliseconds.
  int64_t StartedAtMs = 0;
};

/// Report on an input: whether requests with it end replicas, or were answered.
struct InputReport {
  uint64_t Input = 0;
  bool EndsReplicas = false;
};

/// Limits that replicas named; at most MaxReportedLimits fit a datagram.
using LimitReports = std::vector<NamedLimit>;
inline constexpr size_t MaxReportedLimits = 24;

/// The shares of workspaces in the use of a service.
struct ShareReport {
  /// Hash of the service's id.
  uint64_t Service = 0;
  WorkspaceShares Shares;
};

/// What a datagram may contain instead of states of hosts.
using GossipReport =
    std::variant<WorkDigest, LeavingReport, FullReport, InputCrash, InputReport,
                 LimitReports, ShareReport>;

std::string encodeReport(const GossipReport &Report);
/// Nothing when \p Datagram contains no report.
std::optional<GossipReport> decodeReport(const std::string &Datagram);

/// A host's role with respect to the platform's store.
enum class StoreRole {
  /// Takes records from a peer; the host's last read of the store succeeded.
  Standby,
  /// Reads the store for its region.
  Reader,
  /// The host's reads of the store fail.
  Unreachable
};

/// The state that a host announces. The IPv4 address identifies a host, because
/// all hosts use the same ports.
struct PeerState {
  /// IPv4 address in host byte order.
  uint32_t Ip = 0;
  Incarnation IncarnationId;
  /// Incremented with each datagram that the host encodes.
  int64_t Heartbeat = 0;
  PlaceId Place;
  bool Ready = false;
  bool Leaving = false;
  /// The host lost its path to a group of replicas.
  bool LostPaths = false;
  StoreRole Store = StoreRole::Standby;
  TableVersion Table = NoTable;
  /// Position up to which the host has applied the operators' records.
  StorePosition Operators;
  std::vector<RolloutReport> Rollouts;
};

/// A peer's newest known state.
struct Peer {
  PeerState State;
  Instant LastSeen;
  /// When the host itself sent the state, at the latest.
  Instant SentAt;
};

/// The peers of this host.
class PeerTable {
public:
  explicit PeerTable(PeerState Self) : Self(std::move(Self)) {}

  PeerState &self() { return this->Self; }
  const PeerState &self() const { return this->Self; }

  /// Encodes a datagram with this host's state and as many peers' states as
  /// fit. Increments this host's heartbeat.
  std::string encode(Instant Now);
  /// Applies a received datagram; false when it is malformed.
  bool merge(const std::string &Datagram, Instant Now);
  /// Adds a peer by address before any datagram mentions it.
  void addAddress(uint32_t Ip, Instant Now);

  /// Addresses to send to: up to \p MaxCount random live peers, and one peer
  /// that is not live if there is any.
  std::vector<uint32_t> targets(size_t MaxCount, Instant Now);
  bool isLive(uint32_t Ip, Instant Now) const;
  /// The addresses of all hosts, heard of or not, that do not leave.
  std::vector<uint32_t> addresses() const;
  /// Peers last seen within the liveness timeout, without this host.
  std::vector<const Peer *> live(Instant Now) const;
  std::vector<const Peer *> seenWithin(absl::Duration Time, Instant Now) const;
  /// Removes peers that were not seen within the removal timeout.
  void sweep(Instant Now);
  size_t size() const { return this->Peers.size(); }

  /// The sum of all known hosts' evidence on \p Order, including what hosts
  /// reported before they restarted. Raises \p Elapsed to the
  /// longest time since the order that any of them reports.
  RolloutEvidence evidence(uint64_t Order, Instant Now,
                           absl::Duration &Elapsed) const;

private:
  void apply(const PeerState &State, absl::Duration Age, Instant Now);
  /// Keeps the reports of a host that has restarted.
  void keepReports(const PeerState &Former);

  PeerState Self;
  absl::flat_hash_map<uint32_t, Peer> Peers;
  std::vector<RolloutReport> FormerReports;
};

} // namespace berylramp

#endif // BERYLRAMP_GOSSIP_H
