//===- upstreams.h - Registry and selection of replicas ---------*- C++ -*-===//
//
// Keeps the replicas of all services with their load and health, and selects
// the replica for a request. The registry opens no sockets and reads no clock.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_UPSTREAMS_H
#define BERYLRAMP_UPSTREAMS_H

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "berylramp/limits.h"
#include "berylramp/prefix_cache.h"
#include "berylramp/timer.h"
#include "berylramp/units.h"
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace berylramp {

/// A replica's entry in the platform's store.
struct ReplicaEntry {
  UpstreamId Id;
  ServiceId Service;
  Endpoint Address;
  PlaceId Place;
  /// The version of the replica's software.
  VersionId Version;
  int Slots = 1;
  bool Draining = false;
  /// Start of the replica's process in Unix milliseconds; 0 when not stated.
  int64_t StartedAtMs = 0;
  /// Counts the writes of the entry since the start of the replica.
  int64_t Sequence = 0;
  /// How long the replica stays cold from the write of the entry on; nothing
  /// when the entry states no usable time.
  std::optional<absl::Duration> ColdRemaining;

  bool isCold() const {
    return this->ColdRemaining.value_or(absl::ZeroDuration()) >
           absl::ZeroDuration();
  }

  /// Compares all fields but the sequence and the remaining cold time, which
  /// change with each heartbeat.
  friend bool operator==(const ReplicaEntry &A, const ReplicaEntry &B) {
    return A.Id == B.Id && A.Service == B.Service && A.Address == B.Address &&
           A.Place == B.Place && A.Version == B.Version && A.Slots == B.Slots &&
           A.Draining == B.Draining && A.StartedAtMs == B.StartedAtMs &&
           A.isCold() == B.isCold();
  }
};

/// Load that a replica reported with an answer.
struct ReportedLoad {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
  Instant At;
  /// How long work takes now, as a multiple of the usual time.
  double WorkTime = 1;
};

/// The multiple of the usual time that work is expected to take at \p Now where
/// \p Load was reported.
double expectedWorkTime(const ReportedLoad &Load, Instant Now);

/// Estimates the prefill time per prompt token from the time to the first byte
/// of answers.
class PrefillRateEstimator {
public:
  /// Milliseconds per token.
  double msPerToken() const { return this->Rate; }
  /// Adds the sample of an answer whose first byte arrived \p Ms milliseconds
  /// after a prompt of \p Tokens was sent.
  void addSample(int64_t Tokens, double Ms);

private:
  /// Milliseconds per token. Starts at an engine's nominal rate and converges
  /// within a few dozen answers.
  double Rate = 0.02;
  int Samples = 0;
};

/// Estimates a time by the median of its samples.
class MedianEstimator {
public:
  absl::Duration value() const { return absl::Milliseconds(this->Ms); }
  void addSample(absl::Duration Sample);

private:
  double Ms = 0;
  int Samples = 0;
};

/// The pace of a model at a service's engines.
struct EnginePace {
  PrefillRateEstimator Prefill;
  /// Time to the first byte beyond the wait and the prefill.
  MedianEstimator StartDelay;

  /// Adds an answer whose first byte arrived \p Elapsed after the expected end
  /// of the wait. The engine was to read \p Tokens in \p PrefillTime.
  void addSample(int64_t Tokens, absl::Duration Elapsed,
                 absl::Duration PrefillTime);
};

/// The number of tokens whose prefill without attention would take as long as
/// that of \p Tokens: the cost of attention grows with the square of the
/// prompt's length.
double effectiveTokens(int64_t Tokens);

/// What the process of a replica stated about itself. It holds until the
/// replica starts anew, also when its entry is removed and returns.
struct ReplicaNotice {
  int64_t StartedAtMs = 0;
  /// The sequence of the last entry before its removal.
  int64_t RemovedSequence = 0;
  /// The replica is shutting down.
  bool Leaving = false;
  /// The replica asked to receive no request before this time.
  Instant PausedUntil;
  Instant ExpiresAt;
};

/// A replica with the state that this host tracks for it.
struct Replica {
  ReplicaEntry Entry;
  /// The replica is shutting down; it receives no further request.
  bool Leaving = false;
  /// The replica asked to receive no request before this time.
  Instant PausedUntil;
  /// The entry was removed from the store.
  bool Removed = false;
  /// When a removed replica stops being a candidate.
  Instant UsableUntil;
  /// Hash of the id, which identifies the replica in datagrams between hosts.
  uint64_t IdHash = 0;
  /// The number of the replica's region; none when its place is unknown.
  std::optional<size_t> Region;
  /// The replica's data centre is being evacuated; it receives no further
  /// request.
  bool Evacuated = false;
  /// 0 in the own data centre, 1 in other regions.
  double Distance = 1;
  /// Requests of this host in progress.
  int InFlight = 0;
  /// Bytes of the bodies of these requests.
  int64_t HeldBytes = 0;
  ReportedLoad Load;
  /// Requests that this host sent after the last load report.
  int SentSinceReport = 0;
  int ConsecutiveFailures = 0;
  /// Moving average of failed requests, 0 to 1.
  double FailureRate = 0;
  /// Outcomes since the start or the last ejection.
  int64_t OutcomeCount = 0;
  Instant EjectedUntil;
  int Ejections = 0;
  /// Until when the replica counts as full after it refused a request.
  Instant FullUntil;
  /// Expected end of the prefill of all prompts sent to the replica.
  Instant BusyUntil;
  /// Moving ratio of the measured to the expected time to the first byte.
  double LatencyRatio = 1;
  /// Until when the replica is cold by its entry.
  Instant ColdUntil;
  /// Until when it counts as cold because it may have restarted unseen, unless
  /// an entry with the sequence WarmSequence or a later one states otherwise.
  Instant SuspectUntil;
  int64_t WarmSequence = 0;
  /// When it turned cold, if it was cold at the last look at all replicas.
  std::optional<Instant> ColdSince;
  /// The replica's ledger of cached segments; nothing once the replica is
  /// dropped.
  std::optional<EngineIndex> Engine;
};

using ReplicaPtr = std::shared_ptr<Replica>;

ReplicaProcess processOf(const Replica &Target);

/// How the replicas of a service warm up after a start.
struct WarmupRule {
  WarmupRate Rate;
  /// How long a replica is cold after it started.
  absl::Duration ColdTime;
};

/// Why a replica is cold.
enum class ColdReason {
  /// Its entry states it.
  Stated,
  /// It could not be reached, and may have restarted since.
  Unreachable
};

/// A replica that turned cold or warm.
struct WarmthChange {
  UpstreamId Replica;
  bool IsCold = false;
  ColdReason Reason = ColdReason::Stated;
  /// The remaining time of a cold replica, or for how long a warm one was cold.
  absl::Duration Time;
};

/// Outcome of a request at a replica.
enum class Outcome {
  Good,
  /// The replica answered with an error of its own.
  Failed,
  /// No connection, a reset, a timeout or a malformed answer.
  ConnectionFailed,
  /// The replica refused the request without running it because it is full.
  Full,
  /// A different replica answered at this address.
  Misdirected,
  /// The caller disconnected or the deadline passed; does not affect the
  /// replica's health.
  Neutral
};

/// Restricts the versions of a service that a request may be sent to.
struct VersionRule {
  /// Empty when no roll-out is in progress; then all versions are allowed.
  VersionId Target;
  /// True: only the target is allowed. False: every version except the target.
  bool RequireTarget = false;
};

/// The regions that a request may be sent to, by the numbers that the registry
/// gives them.
struct RegionRule {
  /// False when all regions are allowed.
  bool Binds = false;
  std::vector<bool> Allowed;
};

/// The request that a replica is selected for.
struct ChoiceQuery {
  ServiceId Service;
  VersionRule Rule;
  RegionRule Regions;
  /// The prompt's segments in order; empty for a plain service.
  std::vector<PromptSegment> Segments;
  /// The model's prefill time per token, in milliseconds.
  double MsPerToken = 0;
  /// Time from the end of the prefill to the first byte.
  absl::Duration StartDelay;
  /// The longest answer that the request allows, in tokens.
  int64_t OutputTokens = 0;
  /// The memory of one engine in tokens; 0 when the service states none.
  int64_t CacheTokens = 0;
  /// Range of the data centre's replicas, ordered by the hash of their ids, to
  /// prefer; 0 to 1 is all of them.
  double PreferredFrom = 0;
  double PreferredTo = 1;
  /// No other requests to the service are more urgent.
  bool Urgent = true;
  /// Replicas that this request has already been sent to.
  std::vector<UpstreamId> Tried;
  Instant Now;
};

/// A replica with the estimated time to the first token of a request there.
struct Choice {
  ReplicaPtr Target;
  /// Time until the prompts sent before are prefilled.
  absl::Duration QueueDelay;
  /// Time to prefill this prompt.
  absl::Duration PrefillTime;
  /// Time from the end of the prefill to the first byte.
  absl::Duration StartDelay;
  /// The part of the prefill time that segments shared with other requests
  /// take.
  absl::Duration SharedPrefillTime;
  /// Tokens of shared segments that the replica is expected to keep.
  int64_t KeptTokens = 0;
  /// The most tokens of them that any available replica keeps.
  int64_t MostKeptTokens = 0;
  /// The wait at the replica that keeps most.
  absl::Duration HolderDelay;
  /// When the replica last used the segments that it is expected to keep.
  Instant KeptUsedAt;
  /// Additional time to read the prompt if the replica has dropped them.
  absl::Duration SavedTime;
  /// What the request leaves in the replica's memory.
  PromptUse Use;
};

/// Why a replica is not considered for a request.
enum class Exclusion {
  None,
  /// Its entry was removed from the store.
  Removed,
  Leaving,
  Draining,
  /// Its data centre is evacuated.
  Evacuated,
  /// The request may not be sent to its region.
  OtherRegion,
  /// The roll-out allows this request another version only.
  OtherVersion,
  /// The request was sent to it before.
  Tried,
  /// It asked for a pause.
  Paused,
  /// This host has no part left of the limit that it names, or of what it
  /// tolerates while it is cold.
  LimitReached,
  /// It is brittle, and this host's part of its room is in use.
  NoRoom,
  /// Considered only if there are no others: a further request could be too
  /// much if it turned cold unnoticed.
  Crowded,
  /// Considered only if there are none of those either, as are full ones.
  Ejected,
  Full
};

const char *exclusionName(Exclusion Reason);

/// What this host knows of a replica for one request.
struct ReplicaView {
  ReplicaPtr Target;
  Exclusion Reason = Exclusion::None;
  bool IsCandidate = false;
  bool IsChosen = false;
  /// Requests per slot.
  double Load = 0;
  Choice Expected;
  /// Tokens at the prompt's beginning that the engine has cached.
  int64_t CachedTokens = 0;
};

/// The room of a service's replicas.
struct ServiceRoom {
  /// Mean of requests per slot over the candidates; 1 when there is none.
  double Utilization = 1;
  /// Mean time until the prompts sent before are prefilled, over the candidates
  /// in this host's data centre, or all of them when none is there.
  absl::Duration MeanWait;
  /// Requests that the candidates reported as waiting.
  int Waiting = 0;
};

/// Weights of the replica selection.
struct ChoiceSettings {
  PlaceId OwnPlace;
  /// Other data centres of the own region, and their distance; data centres of
  /// other regions are at distance 1.
  std::vector<PlaceId> SameRegion;
  /// The region of each data centre.
  std::map<PlaceId, RegionId> Regions;
  double RegionDistance = 0.25;
  /// Amount, in requests per slot, by which the load of a replica at distance 1
  /// must be lower for it to be preferred.
  double RemoteLoadPenalty = 0.35;
  /// Time by which the first token of an engine at distance 1 must be earlier
  /// for it to be preferred. Accounts for the round trip, the cost of the
  /// transferred bytes, and work that is not reported to this host.
  absl::Duration RemoteLatencyPenalty = absl::Milliseconds(400);
  /// Extra weight of this prompt's prefill time at an engine in another data
  /// centre. Other hosts' work there is not reported to this host, and a long
  /// prompt would queue or stall other streams for longer.
  double RemotePrefillWeight = 2;
  /// Extra weight of the prefill time of shared segments that the engine has
  /// not cached. Keeps requests with a shared segment at one replica.
  double SharedRecomputeWeight = 3;
  /// Distance of engines in other data centres of the own region if their
  /// memory is stated. Work there is reported to this host, so it accounts for
  /// transferred bytes alone.
  double RegionEngineDistance = 0.1;
  /// Shared segments that take longer to read are kept at one engine of the
  /// region instead of one of each data centre.
  absl::Duration RegionHomeTime = absl::Milliseconds(20);
  /// Weight of the time to read again what a prompt displaces. Not all of it is
  /// asked for again.
  double DisplacedWeight = 0.3;
  /// Cost of a prompt for which a replica would have to preempt a request. A
  /// preempted request reads its prompt and its answer again.
  absl::Duration PreemptionCost = absl::Milliseconds(500);
  /// Delay that each stream in progress adds to a new one.
  absl::Duration PerStreamDelay = absl::Milliseconds(8);
};

/// Why a request is sent to a second replica.
enum class RepeatReason {
  /// The attempt before failed.
  Failure,
  /// A larger model is to answer; the answer of the smaller one exists.
  LargerModel
};

/// Shares of the operators' bounds on repeats that one host may use.
struct RetryShares {
  /// Repeats per first attempt.
  double Ratio = 0;
  /// Unused repeats that are kept, per first attempt of the last window.
  double KeptRatio = 0;
  /// Additional repeats.
  double Slack = 0;
  absl::Duration Window = absl::Seconds(10);
};

/// Bounds repeats in proportion to first attempts. Every host keeps its own
/// budget. In any window, all hosts together repeat at most Ratio times the
/// first attempts in it, KeptRatio times those in the window before, and the
/// sum of their slacks, whatever the hosts see of each other.
class RetryBudget {
public:
  explicit RetryBudget(const RetryShares &Shares)
      : Shares(Shares), Balance(Shares.Slack) {}

  void onFirstAttempt(Instant Now);
  /// Changes the slack; an increase is added to the balance at once.
  void setSlack(double Count);
  /// Takes one repeat from the budget; false when it is exhausted. What is kept
  /// for a window is reserved for failures.
  bool tryAcquire(RepeatReason Reason, Instant Now);

private:
  static constexpr int64_t SlotsPerWindow = 20;
  struct Slot {
    int64_t Number = -1;
    int64_t FirstAttempts = 0;
  };
  int64_t slotNumber(Instant Now) const;
  double maxBalance(Instant Now) const;

  RetryShares Shares;
  double Balance;
  std::array<Slot, SlotsPerWindow> Slots;
};

/// The replicas of all services.
class UpstreamRegistry {
public:
  explicit UpstreamRegistry(ChoiceSettings Settings);

  /// Adds or updates a replica. A replica that restarted or changed its service
  /// is added anew, without the former state.
  void put(const ReplicaEntry &Entry, Instant Now);
  /// Marks a replica whose entry was removed from the store. It stays usable
  /// for \p GracePeriod.
  void remove(const UpstreamId &Id, Instant Now, absl::Duration GracePeriod);
  /// Whether \p Entry is older than what is known of the replica. A store that
  /// lost records returns such entries.
  bool isOutdated(const ReplicaEntry &Entry) const;
  /// Excludes a replica that is shutting down until it starts anew. Returns
  /// false when that was known.
  bool markLeaving(const UpstreamId &Id, Instant Now);
  /// The same for a replica that another host reported. Returns its id, or
  /// nothing when the replica is unknown, started anew or was marked before.
  std::optional<UpstreamId> markLeaving(uint64_t IdHash, int64_t StartedAtMs,
                                        Instant Now);
  /// Sends the replica nothing before \p Until.
  void pause(const UpstreamId &Id, Instant Until);
  /// When the first of the replicas that could serve \p Query but asked for a
  /// pause, or for fewer requests, accepts one again; the infinite future when
  /// there is none.
  Instant earliestAvailability(const ChoiceQuery &Query) const;
  /// Sends nothing to the replicas of \p Places, and again to those of places
  /// evacuated before.
  void setEvacuated(std::set<PlaceId> Places);
  RegionRule regionRule(const AllowedRegions &Regions) const;
  /// Drops a replica at once, e.g. when another replica answers at its address.
  void evict(const UpstreamId &Id, Instant Now);
  /// Drops removed replicas whose grace period has passed, and expired notices.
  void sweep(Instant Now);
  /// The best choice for \p Query; its replica is null when there is none.
  Choice choose(const ChoiceQuery &Query) const;
  /// All replicas of the service in the order of their ids, with the reasons of
  /// choose(). Changes nothing.
  std::vector<ReplicaView> explain(const ChoiceQuery &Query) const;
  /// Whether a candidate is below its slot count and not full.
  bool hasCapacity(const ChoiceQuery &Query) const;
  /// Mean of requests per slot over the candidates; 1 when there is none.
  double utilization(const ChoiceQuery &Query) const;
  ServiceRoom room(const ChoiceQuery &Query) const;

  void onRequestStarted(const Choice &Chosen, const ChoiceQuery &Query);
  /// The first byte arrived \p Latency after the request was sent.
  void onFirstByte(const Choice &Chosen, absl::Duration Latency, Instant Now);
  /// The request was cancelled before its first byte.
  void onRequestCancelled(const Choice &Chosen, Instant Now);
  /// The request did not leave this host.
  void onRequestNotSent(const Choice &Chosen) const;
  /// Another host sent a prompt to the replica with the hash \p IdHash.
  void addRemoteWork(uint64_t IdHash, absl::Duration PrefillTime,
                     Instant Now) const;
  /// Another host sent a prompt that uses \p Use of the replica's memory.
  void addRemoteUse(uint64_t IdHash, const PromptUse &Use, Instant Now);
  void onRequestEnded(Replica &Target, Outcome Result, Instant Now) const;
  /// The request of \p Chosen no longer uses the replica's memory; \p Complete
  /// states that its prompt was read.
  void onMemoryReleased(const Choice &Chosen, bool Complete, Instant Now);
  /// Drops what failed connections said about the replicas that \p Matches
  /// selects: this host was cut off from them.
  void
  forgiveFailures(const std::function<bool(const Replica &)> &Matches) const;
  void onLoadReport(Replica &Target, const ReportedLoad &Load);

  /// Replaces the rules of all services whose replicas warm up, by service id.
  void setWarmupRules(absl::flat_hash_map<std::string, WarmupRule> Rules,
                      Instant Now);
  /// The replica wrote its entry again. True if it turned cold or warm, or
  /// stays cold for longer than it stated before.
  bool onHeartbeat(Replica &Target, const ReplicaEntry &Entry, Instant Now);
  /// A connection to the replica could not be opened.
  void onUnreachable(Replica &Target, Instant Now);
  /// The replicas that turned cold or warm since the last call.
  std::vector<WarmthChange> takeWarmthChanges(Instant Now) const;
  size_t coldCount(Instant Now) const;

  /// The limits that replicas name, and this host's parts of them.
  ReplicaLimits &limits() { return this->Limits; }
  /// Another host was rejected by a brittle replica for want of room.
  void markFull(uint64_t IdHash, int64_t StartedAtMs, Instant Now);
  /// Computes this host's parts of all limits anew.
  void divideLimits(const LimitMembers &Members, Instant Now);

  const PrefixCache &prefixCache() const { return this->Cache; }
  size_t size() const { return this->ById.size(); }
  std::vector<UpstreamId> ids() const;
  std::vector<ReplicaPtr> replicasOf(const ServiceId &Service) const;
  ReplicaPtr find(const UpstreamId &Id) const;
  /// The id of the replica with the hash \p IdHash.
  std::optional<UpstreamId> idOf(uint64_t IdHash) const;

private:
  /// Requests per slot: the larger of this host's own requests and the reported
  /// load plus the requests sent since the report.
  double loadOf(const Replica &Target, Instant Now) const;
  /// The replicas that \p Query allows, without ejected and full ones unless
  /// there are no others.
  std::vector<ReplicaPtr> candidates(const ChoiceQuery &Query) const;
  /// False if the replica is brittle and this host's part of its room is in
  /// use.
  bool hasRoom(const Replica &Candidate, Instant Now) const;
  /// Why \p Query does not allow the replica, available or not.
  static Exclusion ineligibilityOf(const Replica &Candidate,
                                   const ChoiceQuery &Query);
  /// The same with the reasons that pass.
  Exclusion exclusionOf(const Replica &Candidate,
                        const ChoiceQuery &Query) const;
  const WarmupRule *warmupRuleOf(const Replica &Target) const;
  /// Applies the remaining cold time that the replica's entry states.
  void applyWarmth(Replica &Target, bool IsNew, Instant Now);
  void updateWarmup(const Replica &Target, Instant Now);
  ReplicaNotice &noticeOf(const Replica &Target, Instant Now);
  void eject(Replica &Target, Instant Now) const;
  Choice chooseEngine(const ChoiceQuery &Query,
                      const std::vector<ReplicaPtr> &Available) const;
  /// The distance of the data centre \p Place.
  double distance(const PlaceId &Place) const;
  double distanceOfEngine(const Replica &Target,
                          const ChoiceQuery &Query) const;
  /// The replica at which the shared segments of \p Use are kept by agreement;
  /// null when there is none. \p Local are the preferred replicas of the own
  /// data centre.
  const Replica *homeOf(const ChoiceQuery &Query, const PromptUse &Use,
                        const std::vector<ReplicaPtr> &Available,
                        const std::vector<const Replica *> &Local) const;
  Choice estimate(const ReplicaPtr &Target, const ChoiceQuery &Query,
                  const PromptUse &Use, int64_t KeptTokens) const;
  /// The time that a prompt of which \p NewTokens are not kept costs other
  /// requests at the replica: what it displaces is read again, and what does
  /// not fit is preempted.
  double costToOthers(const Replica &Target, const ChoiceQuery &Query,
                      double MsPerToken, int64_t NewTokens) const;

  ChoiceSettings Settings;
  std::map<RegionId, size_t> RegionNumbers;
  std::set<PlaceId> Evacuated;
  absl::flat_hash_map<std::string, ReplicaPtr> ById;
  absl::flat_hash_map<std::string, std::vector<ReplicaPtr>> ByService;
  absl::flat_hash_map<uint64_t, ReplicaPtr> ByHash;
  absl::flat_hash_map<std::string, ReplicaNotice> Notices;
  ReplicaLimits Limits;
  absl::flat_hash_map<std::string, WarmupRule> WarmupRules;
  PrefixCache Cache;
};

} // namespace berylramp

#endif // BERYLRAMP_UPSTREAMS_H
