//===- limits.h - Limits that replicas name for all hosts -------*- C++ -*-===//
//
// A replica in need names the requests per second that it takes from all hosts
// together. Each host keeps a part of that limit, computed from the hosts that
// it knows. Performs no I/O and reads no clock.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_LIMITS_H
#define BERYLRAMP_LIMITS_H

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "berylramp/timer.h"
#include "berylramp/units.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylramp {

/// One process of a replica.
struct ReplicaProcess {
  /// Hash of the replica's id.
  uint64_t IdHash = 0;
  /// Start of the process in Unix milliseconds.
  int64_t StartedAtMs = 0;
  PlaceId Place;
};

/// What hosts tell each other of a replica's limit.
struct NamedLimit {
  uint64_t Replica = 0;
  int64_t StartedAtMs = 0;
  /// Incremented by the host that observes a change. Of two reports of one
  /// process the one with the higher sequence holds, then the lower limit.
  int64_t Sequence = 0;
  /// Requests per second; nothing when the replica names no limit any more.
  std::optional<double> PerSecond;
  /// Rejections for want of room per second above which the replica ends;
  /// nothing while it is not brittle.
  std::optional<double> Rejections;

  bool isNamed() const { return this->PerSecond || this->Rejections; }
};

/// What the store states about a replica whose limit is divided.
struct LimitedReplica {
  PlaceId Place;
  int Slots = 1;
};

/// A host among which limits are divided.
struct LimitMember {
  /// IPv4 address in host byte order.
  uint32_t Ip = 0;
  /// Empty while only the address is known.
  PlaceId Place;
};

/// The hosts among which limits are divided. Hosts that are cut off from each
/// other keep their parts of a limit or take none, so that the parts add up.
class LimitMembers {
public:
  explicit LimitMembers(LimitMember Self) : Self(std::move(Self)) {}

  /// \p Heard are the other hosts that were heard of recently, \p KnownIps the
  /// addresses of all others.
  void update(const std::vector<LimitMember> &Heard,
              const std::vector<uint32_t> &KnownIps, Instant Now);
  /// Drops a host that announced that it is leaving.
  void remove(uint32_t Ip);
  std::vector<LimitMember> all() const;
  const LimitMember &self() const { return this->Self; }
  /// False while this host hears less than half of the hosts: the others may
  /// divide its part among themselves.
  bool mayShare() const { return this->MayShare; }

private:
  struct Entry {
    PlaceId Place;
    Instant HeardAt;
  };
  LimitMember Self;
  std::map<uint32_t, Entry> Others;
  bool MayShare = true;
};

/// The part of a limit that one host may use.
struct LimitPart {
  /// Requests per second, and unused requests that are kept.
  double PerSecond = 0;
  double Burst = 0;
};

/// The part of \p Self. A small limit is divided among a few hosts, those in
/// the replica's data centre if there are any.
LimitPart partOfLimit(double PerSecond, const ReplicaProcess &Replica,
                      const std::vector<LimitMember> &Members,
                      const LimitMember &Self);

/// The requests per second that a cold replica tolerates from all hosts.
struct WarmupRate {
  double PerSecond = 0;
  /// The operators' bound for any one second is Overshoot times the rate and
  /// Slack further requests.
  double Overshoot = 1.5;
  double Slack = 5;

  double mostInOneSecond() const {
    return this->PerSecond * this->Overshoot + this->Slack;
  }
  friend bool operator==(const WarmupRate &A, const WarmupRate &B) {
    return A.PerSecond == B.PerSecond && A.Overshoot == B.Overshoot &&
           A.Slack == B.Slack;
  }
};

/// The part of \p Self in the requests that a cold replica tolerates. Its burst
/// is also the most that the host may send in any one second.
LimitPart partOfWarmup(const WarmupRate &Rate, const ReplicaProcess &Replica,
                       const std::vector<LimitMember> &Members,
                       const LimitMember &Self);

/// The part of \p Self in the requests that a replica would tolerate if it
/// turned cold unnoticed. All hosts have one.
LimitPart partOfGuard(const WarmupRate &Rate, const ReplicaProcess &Replica,
                      const std::vector<LimitMember> &Members,
                      const LimitMember &Self);

/// The number of requests that \p Self may have in progress at a brittle
/// replica with \p Slots slots. The parts of all members together leave room
/// for requests that end late. Hosts in the replica's data centre have most of
/// it.
int roomPart(int Slots, const ReplicaProcess &Replica,
             const std::vector<LimitMember> &Members, const LimitMember &Self);

/// Requests that this host may send within a part.
struct RequestBucket {
  LimitPart Part;
  double Balance = 0;
  Instant BalanceAt;

  double at(Instant Now) const;
  /// The balance carries over as far as \p Changed can hold it.
  void setPart(const LimitPart &Changed, Instant Now);
  void take(Instant Now);
};

/// The limits of all replicas, and this host's part of each.
class ReplicaLimits {
public:
  /// Applies what an answer to a request that was sent at \p SentAt stated.
  /// Returns the news for the other hosts, if any.
  std::optional<NamedLimit> observe(const ReplicaProcess &Replica,
                                    std::optional<double> PerSecond,
                                    std::optional<double> Rejections,
                                    Instant SentAt, Instant Now);
  /// Applies another host's report; false when it is no news.
  bool merge(const NamedLimit &Report, Instant Now);
  /// Computes this host's parts anew. \p Find returns nothing if the replica is
  /// unknown.
  void
  divide(const LimitMembers &Members,
         const std::function<std::optional<LimitedReplica>(uint64_t)> &Find,
         Instant Now);
  /// Drops the limits of replicas that have been unknown for a while, and
  /// limits that ended long ago.
  void sweep(Instant Now);

  bool empty() const { return this->ByReplica.empty(); }
  /// The limit that the replica names now.
  std::optional<double> limitOf(const ReplicaProcess &Replica) const;
  /// Whether this host may send the replica a request now. A request that is
  /// not \p Urgent leaves a reserve for others.
  bool allows(const ReplicaProcess &Replica, bool Urgent, Instant Now) const;
  /// The requests that this host may have in progress at the replica; nothing
  /// if the replica is not brittle.
  std::optional<int> roomOf(const ReplicaProcess &Replica) const;
  /// When this host, or if it has no part another one, may send the replica a
  /// request.
  Instant allowedAt(const ReplicaProcess &Replica, bool Urgent,
                    Instant Now) const;
  /// Whether the limit should be confirmed by the answer to a request, because
  /// this host has not observed it for a while.
  bool needsConfirmation(const ReplicaProcess &Replica, Instant Now) const;
  void onSent(const ReplicaProcess &Replica, Instant Now);

  /// States the rate that a replica tolerates while it is cold.
  void setWarmup(uint64_t Replica, const WarmupRate &Rate);
  void clearWarmup(uint64_t Replica) { this->Warmups.erase(Replica); }
  bool hasWarmups() const { return !this->Warmups.empty(); }
  /// The replica is cold until \p Until; a time that has passed ends it.
  void setColdUntil(uint64_t Replica, Instant Until, Instant Now);
  bool isCold(uint64_t Replica, Instant Now) const;
  /// Whether a further request of this host may be too much for a replica that
  /// turned cold unnoticed.
  bool isCrowded(uint64_t Replica, Instant Now) const;
  /// Up to \p MaxCount reports for another host, another part at each call.
  std::vector<NamedLimit> reports(size_t MaxCount);

private:
  struct Entry {
    NamedLimit Named;
    RequestBucket Bucket;
    int Room = 0;
    Instant ChangedAt;
    Instant ObservedAt;
    /// When the replica was last known to this host.
    Instant KnownAt;
  };
  struct Warmup {
    WarmupRate Rate;
    Instant ColdUntil;
    RequestBucket Cold;
    RequestBucket Guard;
    /// When this host sent requests in the last second, while the replica was
    /// cold.
    std::vector<Instant> LastSent;

    int sentInLastSecond(Instant Now) const;
    /// When the host may send a request, as far as the last second matters.
    Instant windowOpensAt(Instant Now) const;
  };
  const Entry *find(const ReplicaProcess &Replica) const;
  void onSentToWarmup(uint64_t Replica, Instant Now);
  const Warmup *findCold(uint64_t Replica, Instant Now) const;
  void divideWarmups(
      const LimitMembers &Members,
      const std::function<std::optional<LimitedReplica>(uint64_t)> &Find,
      Instant Now);
  void apply(Entry &Limited, const NamedLimit &Report, Instant Now);

  absl::flat_hash_map<uint64_t, Entry> ByReplica;
  absl::flat_hash_map<uint64_t, Warmup> Warmups;
  size_t NextReport = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_LIMITS_H
