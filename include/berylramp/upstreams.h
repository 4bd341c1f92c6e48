//===- upstreams.h - Replicas of services and the choice of one -*- C++ -*-===//
//
// Which replicas exist, what is known of their load and health, and which one
// gets a request. The registry knows no socket and reads no clock.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_UPSTREAMS_H
#define BERYLRAMP_UPSTREAMS_H

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "berylramp/timer.h"
#include "berylramp/units.h"
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace berylramp {

/// What a replica has told of itself in the platform's store.
struct ReplicaEntry {
  UpstreamId Id;
  ServiceId Service;
  Endpoint Address;
  PlaceId Place;
  /// The version of the replica's software.
  VersionId Version;
  int Slots = 1;
  bool Draining = false;
  /// Unix milliseconds of the replica's start; 0 when not told.
  int64_t BornMs = 0;

  friend bool operator==(const ReplicaEntry &A, const ReplicaEntry &B) {
    return A.Id == B.Id && A.Service == B.Service && A.Address == B.Address &&
           A.Place == B.Place && A.Version == B.Version && A.Slots == B.Slots &&
           A.Draining == B.Draining && A.BornMs == B.BornMs;
  }
};

/// Load that a replica reported with an answer.
struct ReportedLoad {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
  Instant At;
};

/// A replica with all that this host knows of it.
struct Replica {
  ReplicaEntry Entry;
  /// The entry is gone from the store.
  bool Removed = false;
  Instant RemovedAt;
  /// Requests of this host under way, and their tokens.
  int InFlight = 0;
  int64_t TokensInFlight = 0;
  ReportedLoad Load;
  /// Requests of this host that began after the last report.
  int SentSinceReport = 0;
  /// Failures in a row.
  int FailuresInRow = 0;
  /// Moving share of failed requests, 0 to 1.
  double FailingShare = 0;
  int64_t Outcomes = 0;
  Instant EjectedUntil;
  int Ejections = 0;
  /// Said "full" recently.
  Instant FullUntil;
};

using ReplicaPtr = std::shared_ptr<Replica>;

/// How a request ended at a replica.
enum class Outcome {
  Good,
  /// The replica answered with a failure of its own.
  Failed,
  /// No connection, a reset, silence or bytes that are no answer.
  Broken,
  /// The replica said that it did not run the request, as it is full.
  Full,
  /// Another replica answers at this address.
  Misdirected,
  /// The caller left or the deadline passed: says nothing about the replica.
  Neutral
};

/// Which version of a service a request may go to.
struct VersionRule {
  /// Empty when no roll-out is under way.
  VersionId Target;
  /// True: only the target. False: every version but the target.
  bool ToTarget = false;
};

/// What the choice of a replica depends on.
struct ChoiceQuery {
  ServiceId Service;
  VersionRule Rule;
  /// Requests with equal keys prefer the same replica; 0 has no preference.
  uint64_t AffinityKey = 0;
  int64_t PromptTokens = 0;
  /// Replicas that this request has already been sent to.
  std::vector<UpstreamId> Tried;
  Instant Now;
};

/// How the choice weighs things; all loads in requests over slots.
struct ChoiceSettings {
  PlaceId OwnPlace;
  /// Load by which a replica elsewhere must be lower to be preferred.
  double RemotePenalty = 0.35;
  /// Load above which an affinity key moves on to its next replica.
  double AffinityBound = 0.55;
  /// Hosts that are assumed to send as much as this one does.
  int HostsSharing = 1;
};

/// Bounds second attempts by the first ones. Every host keeps its own budget,
/// and the sum over all hosts stays below what the operators allow.
class RetryBudget {
public:
  /// \p Ratio second attempts for each first one, and at most \p Most saved
  /// up.
  RetryBudget(double Ratio, double Most)
      : Ratio(Ratio), Most(Most), Saved(Most) {}

  void firstAttempt();
  void setMost(double Count) { this->Most = Count; }
  /// Takes one second attempt out of the budget; false when it is empty.
  bool take();

private:
  double Ratio;
  double Most;
  double Saved;
};

/// The replicas that this host knows.
class UpstreamRegistry {
public:
  explicit UpstreamRegistry(ChoiceSettings Settings)
      : Settings(std::move(Settings)) {}

  /// Adds or updates a replica.
  void put(const ReplicaEntry &Entry, Instant Now);
  /// The entry left the store. It stays usable until \p UsableFor has passed.
  void remove(const UpstreamId &Id, Instant Now, absl::Duration UsableFor);
  /// Another replica answers at this one's address.
  void evict(const UpstreamId &Id, Instant Now);
  /// Drops removed replicas that nothing uses any more.
  void sweep(Instant Now);
  /// The best replica for \p Query, or null.
  ReplicaPtr choose(const ChoiceQuery &Query) const;
  /// Whether a replica of the service has room for another request.
  bool hasRoom(const ChoiceQuery &Query) const;
  /// Requests over slots at the replicas that fit the query.
  double utilization(const ChoiceQuery &Query) const;

  void began(Replica &Which, int64_t PromptTokens) const;
  void ended(Replica &Which, int64_t PromptTokens, Outcome How,
             Instant Now) const;
  void reported(Replica &Which, const ReportedLoad &Load) const;

  void setHostsSharing(int Count) { this->Settings.HostsSharing = Count; }
  size_t size() const { return this->ById.size(); }
  std::vector<UpstreamId> ids() const;
  std::vector<ReplicaPtr> replicasOf(const ServiceId &Service) const;
  ReplicaPtr find(const UpstreamId &Id) const;

private:
  double loadOf(const Replica &Which, Instant Now) const;
  std::vector<ReplicaPtr> candidates(const ChoiceQuery &Query) const;
  void eject(Replica &Which, Instant Now) const;

  ChoiceSettings Settings;
  absl::flat_hash_map<std::string, ReplicaPtr> ById;
  absl::flat_hash_map<std::string, std::vector<ReplicaPtr>> ByService;
};

} // namespace berylramp

#endif // BERYLRAMP_UPSTREAMS_H
