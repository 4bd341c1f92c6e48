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

/// One part of a prompt. Requests with the same part share its text.
struct PromptPart {
  uint64_t Id = 0;
  int64_t Tokens = 0;
};

/// The parts that an engine read lately and probably still keeps.
class PartMemory {
public:
  bool holds(uint64_t Id) const;
  void note(uint64_t Id);

private:
  std::vector<uint64_t> Ring;
  size_t Next = 0;
};

/// How long engines take to read a token of a prompt, learned from the time to
/// the first byte of answers.
class ReadingPace {
public:
  /// Milliseconds a token.
  double msPerToken() const { return this->Pace; }
  /// An answer's first byte came \p Ms after \p Tokens were sent.
  void learn(int64_t Tokens, double Ms);

private:
  /// An engine's nominal pace; within a few dozen answers it is learned.
  double Pace = 0.02;
  int Samples = 0;
};

/// Tokens as if attention took no time: its cost grows with the square of the
/// prompt's length.
double effectiveTokens(int64_t Tokens);

/// A replica with all that this host knows of it.
struct Replica {
  ReplicaEntry Entry;
  /// The entry is gone from the store.
  bool Removed = false;
  Instant RemovedAt;
  /// Hash of the id, by which hosts name the replica to each other.
  uint64_t IdHash = 0;
  /// Requests of this host under way.
  int InFlight = 0;
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
  /// When the prompts that were sent to it should be read.
  Instant BusyUntil;
  /// Time that it takes, in times of what was expected.
  double Slowness = 1;
  PartMemory Parts;
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
  /// The prompt's parts in order; empty for a plain service.
  std::vector<PromptPart> Parts;
  /// Milliseconds that the model takes to read a token.
  double MsPerToken = 0;
  /// Part of a data centre's replicas, from 0 to 1, to prefer.
  double PartFrom = 0;
  double PartTo = 1;
  /// Replicas that this request has already been sent to.
  std::vector<UpstreamId> Tried;
  Instant Now;
};

/// A replica and what a request would meet there.
struct Choice {
  ReplicaPtr To;
  /// Time until the prompts sent before are read.
  absl::Duration Wait;
  /// Time to read this prompt.
  absl::Duration Work;
  /// The part of that time for text that other requests share.
  absl::Duration SharedWork;
};

/// How the choice weighs things.
struct ChoiceSettings {
  PlaceId OwnPlace;
  /// Other data centres of the own region, and how far they are; those of
  /// other regions are at distance 1.
  std::vector<PlaceId> SameRegion;
  double RegionDistance = 0.25;
  /// Load, in requests over slots, by which a replica elsewhere must be lower
  /// to be preferred.
  double RemotePenalty = 0.35;
  /// Time by which an engine elsewhere must be earlier to be preferred: the
  /// way there and back, the price of the bytes, and work that this host does
  /// not hear of.
  absl::Duration RemoteTime = absl::Milliseconds(400);
  /// Weight of this prompt's own time at an engine elsewhere: what others sent
  /// there is not heard of, and a long prompt would wait or stall the more.
  double BlindWeight = 2;
  /// Weight of reading a part again that another replica keeps, in times of
  /// the time that it takes.
  double RereadWeight = 3;
  /// Time that a stream under way adds to a new one.
  absl::Duration StreamTime = absl::Milliseconds(8);
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
  /// Changes what may be saved up; a larger bound is granted at once.
  void setMost(double Count);
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
  /// The best replica for \p Query; its replica is null when there is none.
  Choice choose(const ChoiceQuery &Query) const;
  /// Whether a replica of the service has room for another request.
  bool hasRoom(const ChoiceQuery &Query) const;
  /// Requests over slots at the replicas that fit the query.
  double utilization(const ChoiceQuery &Query) const;

  void began(const Choice &Which, const ChoiceQuery &Query) const;
  /// The first byte came \p Took after the request was sent.
  void firstByte(const Choice &Which, absl::Duration Took, Instant Now) const;
  /// The request was given up before its first byte.
  void withdrawn(const Choice &Which, Instant Now) const;
  /// Another host sent work to the replica with the hash \p IdHash.
  void workElsewhere(uint64_t IdHash, absl::Duration Work, Instant Now) const;
  void ended(Replica &Which, Outcome How, Instant Now) const;
  void reported(Replica &Which, const ReportedLoad &Load) const;

  size_t size() const { return this->ById.size(); }
  std::vector<UpstreamId> ids() const;
  std::vector<ReplicaPtr> replicasOf(const ServiceId &Service) const;
  ReplicaPtr find(const UpstreamId &Id) const;

private:
  double loadOf(const Replica &Which, Instant Now) const;
  std::vector<ReplicaPtr> candidates(const ChoiceQuery &Query) const;
  void eject(Replica &Which, Instant Now) const;
  Choice chooseEngine(const ChoiceQuery &Query,
                      const std::vector<ReplicaPtr> &Fit) const;
  double distance(const Replica &Which) const;
  Choice expected(const ReplicaPtr &Which, const ChoiceQuery &Query) const;

  ChoiceSettings Settings;
  absl::flat_hash_map<std::string, ReplicaPtr> ById;
  absl::flat_hash_map<std::string, std::vector<ReplicaPtr>> ByService;
};

} // namespace berylramp

#endif // BERYLRAMP_UPSTREAMS_H
