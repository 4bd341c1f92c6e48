//===- policy.h - Routing decisions -----------------------------*- C++ -*-===//
//
// Pure functions over plain structs: version eligibility, the cheapest plan
// that meets the agreed quality, replica selection, admission under limits, the
// action after a failed attempt, and the detection of bad versions. Time and
// random numbers are passed as arguments, so that each decision is
// reproducible.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_POLICY_H
#define BERYLRAMP_POLICY_H

#include "absl/time/time.h"
#include "berylramp/ports.h"
#include "berylramp/refusal.h"
#include "berylramp/table.h"
#include "berylramp/timer.h"
#include "berylramp/units.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylramp {

//===----------------------------------------------------------------------===//
// Eligibility
//===----------------------------------------------------------------------===//

/// Why a version may not serve a request; None when it may.
enum class IneligibilityReason {
  None,
  NotAllowed,
  Withdrawn,
  Held,
  Tripped,
  CandidateNotDrawn,
  CandidateDetached,
  RefusedDetached,
  CandidateFull
};
const char *ineligibilityReasonName(IneligibilityReason Reason);

/// Inputs of the eligibility check besides the table.
struct EligibilityInput {
  WorkspaceId Workspace;
  /// True while the host serves requests without access to the log.
  bool IsDetached = false;
  /// 0 to 99. The request may use a candidate whose roll-out percentage is
  /// greater.
  int RolloutDraw = 0;
  /// Versions that any host of the fleet has tripped.
  std::vector<VersionKey> Tripped;
  /// Candidates that have reached their limit of unrated answers.
  std::vector<VersionKey> FullCandidates;
};

/// The eligibility of one version. Points into the evaluated table.
struct VersionEligibility {
  const VersionRow *Row = nullptr;
  IneligibilityReason Reason = IneligibilityReason::None;
};

/// Evaluates each version in the table for a new request.
std::vector<VersionEligibility> evaluateVersions(const Table &Rows,
                                                 const EligibilityInput &Input);

/// Evaluates a version that a session is pinned to. A held version still serves
/// its sessions.
IneligibilityReason evaluatePinnedVersion(const Table &Rows,
                                          const EligibilityInput &Input,
                                          const VersionKey &Pinned);

/// The version that takes over the sessions of \p From when it no longer
/// serves: the first serving version along replaced_by, which is the same on
/// every host. Empty when the chain has no serving version.
VersionKey followReplacement(const Table &Rows, const VersionKey &From);

//===----------------------------------------------------------------------===//
// Quality and plans
//===----------------------------------------------------------------------===//

/// Rating counts of one version for one request kind: Good of Rated answers.
struct QualityEstimate {
  double Good = 0;
  double Rated = 0;
};

/// The estimated share of good answers. The operator's expected share is a
/// prior that counts as much as PriorWeight ratings.
double expectedShare(const QualityEstimate &Quality, const VersionRow &Row);
/// A lower confidence bound of the share of good answers.
double shareLowerBound(const QualityEstimate &Quality, const VersionRow &Row);

/// Selectable policies for choosing the versions of a request.
enum class PlanPolicy {
  Largest,
  RoundRobin,
  LeastLoaded,
  StaticCheapest,
  Direct,
  Cascade,
  Lean
};
const char *planPolicyName(PlanPolicy Policy);
/// Returns false when no policy has that name.
bool parsePlanPolicy(const std::string &Name, PlanPolicy &Result);

/// A version that a plan may use. Points into the table.
struct PlanOption {
  const VersionRow *Row = nullptr;
  QualityEstimate Quality;
  /// Expected time to a complete answer under the current load.
  absl::Duration ExpectedTime = absl::ZeroDuration();
  /// Expected queueing time at its least loaded replica.
  absl::Duration Wait = absl::ZeroDuration();
};

struct PlanInput {
  RequestKindRow Kind;
  std::vector<PlanOption> Options;
  Tokens PromptTokens;
  Tokens AnswerTokens;
  bool RaterAvailable = false;
  absl::Duration RatingTime = absl::ZeroDuration();
  /// Differs for each request. Selects the version in RoundRobin, in mixtures
  /// and among versions of equal cost.
  uint64_t RequestDraw = 0;
  /// False when this request must meet the share on its own instead of on
  /// average, as the first request of a session must.
  bool AllowMixture = true;
};

/// The versions to run for one request.
struct Plan {
  bool Found = false;
  VersionKey InitialVersion;
  /// True when the first answer is rated, and EscalationVersion is run if the
  /// answer is not good.
  bool IsCascade = false;
  VersionKey EscalationVersion;
  MicroCost ExpectedCost;
  double ExpectedShare = 0;
  /// True when no plan meets the agreed share and this one has the highest
  /// share.
  bool BelowShare = false;
  std::string Reason;
};

/// The cost of an answer on a version, by prompt and answer length.
MicroCost answerCost(const VersionRow &Row, Tokens PromptTokens,
                     Tokens AnswerTokens);

/// Selects a plan. The result does not depend on the order of the options.
Plan makePlan(PlanPolicy Policy, const PlanInput &Input);

//===----------------------------------------------------------------------===//
// Replicas
//===----------------------------------------------------------------------===//

/// The known state of a replica that serves the selected version.
struct ReplicaView {
  /// Hash of the replica's id, by which replicas are ranked.
  uint64_t IdHash = 0;
  int Running = 0;
  int Waiting = 0;
  int Slots = 1;
  /// Used share of the cache, 0 to 1.
  double CacheShare = 0;
  /// Requests of this host that are in flight at the replica.
  int OwnInFlight = 0;
  /// Requests that this host has sent since the replica's last load report.
  int SentSinceReport = 0;
  /// True when the replica is leaving or ejected, and receives no new requests.
  bool IsUnavailable = false;
  /// One-way network delay from this host, in microseconds.
  int64_t LinkMicros = 0;
  /// True when the replica is in another zone, to which traffic is billed by
  /// volume.
  bool IsCrossZone = false;
};

enum class ReplicaPolicy { RoundRobin, LeastLoaded, TwoChoices, Affinity };

struct ReplicaInput {
  ReplicaPolicy Policy = ReplicaPolicy::Affinity;
  /// Hash of the prompt's shared prefix; requests with equal prefixes can share
  /// a cache. 0 disables affinity.
  uint64_t PrefixHash = 0;
  /// A random number, different for each attempt.
  uint64_t Draw = 0;
  /// Minimum reduction of the waiting time that justifies the price of a
  /// cross-zone link, in microseconds.
  int64_t CrossZonePenaltyMicros = 150000;
  /// IdHash values of the replicas at which an earlier attempt failed.
  std::vector<uint64_t> AvoidedIds;
};

/// Expected time to the first token of a request sent now.
absl::Duration expectedWait(const ReplicaView &Replica);

/// The index of the selected replica, or -1 when none is available. The
/// selection does not depend on the order of the replicas.
int chooseReplica(const std::vector<ReplicaView> &Replicas,
                  const ReplicaInput &Input);

//===----------------------------------------------------------------------===//
// Admission and limits
//===----------------------------------------------------------------------===//

/// Token bucket with a host's remaining allowance of a workspace's limit.
struct LimitBucket {
  double Requests = 0;
  double AnswerTokens = 0;
  Instant RefilledAt;
  bool IsInitialized = false;
};

/// Capacity of a bucket, in seconds of its rate.
inline constexpr double BucketCapacitySeconds = 0.25;

struct LimitDecision {
  bool Admitted = true;
  absl::Duration RetryAfter = absl::ZeroDuration();
};

/// Charges one request of \p AnswerLength tokens to the bucket, which is
/// refilled with the host's \p Share of the row's rates.
LimitDecision consumeLimit(LimitBucket &Bucket, const LimitRow &Row,
                           double Share, Tokens AnswerLength, Instant Now);

/// A caller's request parameters after they are clamped to the table's limits.
struct ClampedRequest {
  Tokens MaxTokens;
  int Priority = 0;
  bool LengthClamped = false;
  bool PriorityClamped = false;
};
ClampedRequest clampRequest(const RequestKindRow &Kind, Tokens RequestedTokens,
                            int RequestedPriority);

/// The shortest expected wait; infinite when no replica is available.
absl::Duration shortestWait(const std::vector<ReplicaView> &Replicas);

//===----------------------------------------------------------------------===//
// Next attempt
//===----------------------------------------------------------------------===//

/// Limits retries to a share of the requests, so that retries do not aggravate
/// an outage.
struct RetryBudget {
  double Allowance = 10;
};
inline constexpr double RetryShare = 0.1;
inline constexpr double MaxRetryAllowance = 50;

void creditRetry(RetryBudget &Budget);
bool consumeRetry(RetryBudget &Budget);

enum class AttemptAction { Finish, Retry, Resume, Abandon };

struct AttemptOutcome {
  UpstreamFault Fault = UpstreamFault::None;
  bool Idempotent = true;
  /// Tokens already sent to the caller.
  Tokens Delivered;
  int Attempts = 1;
  absl::Duration TimeLeft = absl::ZeroDuration();
};
inline constexpr int MaxAttempts = 4;

AttemptAction nextAttemptAction(const AttemptOutcome &Outcome);
/// The reason under which a retry after \p Fault is counted.
RetryReason retryReasonOf(UpstreamFault Fault, Tokens Delivered);

//===----------------------------------------------------------------------===//
// Health of versions and replicas
//===----------------------------------------------------------------------===//

/// A sequential test (CUSUM) of whether a version's share of good answers has
/// dropped below the agreed one. Evidence accumulates and is never negative.
struct VersionQualityTest {
  double Evidence = 0;
  int64_t Good = 0;
  int64_t Bad = 0;
};

/// The degraded share that the test detects, as a fraction of the agreed one.
inline constexpr double BadShareFactor = 0.82;
/// The evidence at which a version trips. A larger threshold delays detection
/// and reduces false trips.
inline constexpr double TripEvidence = 7.0;

void recordRating(VersionQualityTest &Test, bool IsGood, double AgreedShare);
bool isTripped(const VersionQualityTest &Test);

/// The evidence against a version from the fleet-wide rating totals, regardless
/// of their order; negative when they support the agreed share. The totals may
/// lag, but they reveal degradation that no single host can detect.
double evidenceAgainst(int64_t Good, int64_t Rated, double AgreedShare);

/// Maximum number of unrated answers of a candidate on one host.
int maxUnratedPerHost(int FleetWide, size_t LiveHosts);
/// Maximum number of unrated answers of a candidate in the whole fleet.
inline constexpr int MaxUnratedFleetWide = 40;

/// Consecutive faults of one replica and the resulting ejections.
struct ReplicaHealth {
  int ConsecutiveFaults = 0;
  Instant EjectedUntil;
  int Ejections = 0;
};
void recordReplicaResult(ReplicaHealth &Health, bool Failed, Instant Now);
bool isEjected(const ReplicaHealth &Health, Instant Now);

/// Edits that advance a roll-out to its next step or hold its candidate. All
/// hosts derive the same edit id.
Edit makeRolloutStepEdit(const RolloutRow &Row, int NextPercent, Offset Base);
Edit makeHoldEdit(const VersionKey &Version, const std::string &Run,
                  const std::string &Evidence, const ConfigState &State);
/// The next percentage of a roll-out, or -1 when it stays unchanged.
int nextRolloutPercent(const RolloutRow &Row, int64_t RatedSinceStep);

} // namespace berylramp

#endif // BERYLRAMP_POLICY_H
