//===- policy.h - All decisions of the router -------------------*- C++ -*-===//
//
// Pure functions over plain structs: which versions a request may run on, the
// cheapest plan that meets the agreed quality, the replica, admission under
// limits, what to do after a failed attempt, and when a version has gone bad.
// None of them reads a clock or draws a random number; both come in as
// arguments, so that each decision can be repeated.
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

/// Why a version may not take a request.
enum class Ineligible {
  No,
  NotAllowed,
  Withdrawn,
  Held,
  Tripped,
  CandidateNotDrawn,
  CandidateDetached,
  RefusedDetached,
  CandidateFull
};
const char *ineligibleName(Ineligible Why);

/// What decides about a version besides the table.
struct EligibilityInput {
  WorkspaceId Workspace;
  /// Set while the host serves without the log.
  bool IsDetached = false;
  /// 0 to 99: the request takes a candidate whose percentage is above it.
  int RolloutDraw = 0;
  /// Versions that a host of the fleet has tripped.
  std::vector<VersionKey> Tripped;
  /// Candidates with no room for another unrated answer.
  std::vector<VersionKey> FullCandidates;
};

/// Points into the table that was judged.
struct VersionChoice {
  const VersionRow *Row = nullptr;
  Ineligible Why = Ineligible::No;
};

/// Judges each version of the models that the table names.
std::vector<VersionChoice> judgeVersions(const Table &Rows,
                                         const EligibilityInput &Input);

/// Judges a version that a session is pinned to: a held one still serves it.
Ineligible judgePinned(const Table &Rows, const EligibilityInput &Input,
                       const VersionKey &Pinned);

/// Where a session goes whose version no longer serves: along replaced_by,
/// the same on every host. Empty when the chain ends.
VersionKey followReplacement(const Table &Rows, const VersionKey &From);

//===----------------------------------------------------------------------===//
// Quality and plans
//===----------------------------------------------------------------------===//

/// What ratings say of one version under one request kind.
struct QualityBelief {
  double Good = 0;
  double Rated = 0;
};

/// The expected share of good answers: the ratings, together with the
/// operator's expectation as if it were PriorWeight ratings.
double expectedShare(const QualityBelief &Belief, const VersionRow &Row);
/// A share that the true one exceeds with high confidence.
double cautiousShare(const QualityBelief &Belief, const VersionRow &Row);

/// The ways of choosing versions that can be selected and compared.
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
/// False when no policy has that name.
bool parsePlanPolicy(const std::string &Name, PlanPolicy &Out);

/// One version that a plan may use; points into the table.
struct PlanOption {
  const VersionRow *Row = nullptr;
  QualityBelief Belief;
  /// The time that a whole answer of it is expected to take now.
  absl::Duration ExpectedTime = absl::ZeroDuration();
  /// Expected wait of its least loaded replica.
  absl::Duration Wait = absl::ZeroDuration();
};

struct PlanInput {
  RequestKindRow Kind;
  std::vector<PlanOption> Options;
  Tokens In;
  Tokens Out;
  bool RaterAnswers = false;
  absl::Duration RatingTime = absl::ZeroDuration();
  /// Changes with every request; RoundRobin and mixtures draw by it.
  uint64_t Turn = 0;
  /// False when this one request has to meet the share by itself, as the first
  /// of a session does, and not as one of many.
  bool MayMix = true;
};

/// What to run for one request.
struct Plan {
  bool Found = false;
  VersionKey First;
  /// Set: rate the first answer, and run Escalate when it is not good.
  bool IsCascade = false;
  VersionKey Escalate;
  MicroCost ExpectedCost;
  double ExpectedShare = 0;
  /// True when no plan meets the agreed share and this is the best there is.
  bool BelowShare = false;
  std::string Why;
};

/// What an answer of that many tokens costs on a version.
MicroCost answerCost(const VersionRow &Row, Tokens In, Tokens Out);

/// Chooses among the options; the order of the options does not matter.
Plan makePlan(PlanPolicy Policy, const PlanInput &Input);

//===----------------------------------------------------------------------===//
// Replicas
//===----------------------------------------------------------------------===//

/// A replica that serves the wanted version, as this host knows it.
struct ReplicaView {
  /// Hash of the replica's id: what the choice ranks by.
  uint64_t IdHash = 0;
  int Running = 0;
  int Waiting = 0;
  int Slots = 1;
  /// Share of the cache in use, 0 to 1.
  double CacheShare = 0;
  /// What this host has under way there.
  int OwnInFlight = 0;
  /// What this host has sent since the report was made.
  int SentSince = 0;
  /// Leaving, or ejected for faults: nothing new goes there.
  bool IsShut = false;
  /// One way from this host, in microseconds.
  int64_t LinkMicros = 0;
  /// True when traffic to it is paid by volume.
  bool IsAcross = false;
};

enum class ReplicaPolicy { RoundRobin, LeastLoaded, TwoChoices, Affinity };

struct ReplicaInput {
  ReplicaPolicy Policy = ReplicaPolicy::Affinity;
  /// Hash of the prompt's shared beginning; equal prompts share a cache.
  uint64_t PrefixHash = 0;
  /// Random for each attempt.
  uint64_t Draw = 0;
  /// What a paid link must gain in waiting time to be worth its price, in
  /// microseconds.
  int64_t AcrossPriceMicros = 150000;
  /// Id hashes of replicas that an earlier attempt failed on.
  std::vector<uint64_t> Avoid;
};

/// How long a request sent now would wait for its first token.
absl::Duration expectedWait(const ReplicaView &Replica);

/// The index of the chosen replica, or -1 when none can serve. The order of
/// the replicas does not matter.
int chooseReplica(const std::vector<ReplicaView> &Replicas,
                  const ReplicaInput &Input);

//===----------------------------------------------------------------------===//
// Admission and limits
//===----------------------------------------------------------------------===//

/// The allowance that a host has left of a workspace's limit.
struct LimitBucket {
  double Requests = 0;
  double AnswerTokens = 0;
  Instant FilledAt;
  bool Started = false;
};

/// How much a bucket can hold, in seconds of its rate.
inline constexpr double BucketSeconds = 0.25;

struct LimitVerdict {
  bool Admitted = true;
  absl::Duration RetryAfter = absl::ZeroDuration();
};

/// Takes one request of \p Wanted tokens from the bucket, which fills with the
/// host's share of the row's rates.
LimitVerdict takeFromLimit(LimitBucket &Bucket, const LimitRow &Row,
                           double Share, Tokens Wanted, Instant Now);

/// What a caller asked for and what the table lets it have.
struct Clamped {
  Tokens MaxTokens;
  int Priority = 0;
  bool LengthClamped = false;
  bool PriorityClamped = false;
};
Clamped clampRequest(const RequestKindRow &Kind, Tokens WantedTokens,
                     int WantedPriority);

/// The shortest expected wait; infinite when nothing takes new work.
absl::Duration shortestWait(const std::vector<ReplicaView> &Replicas);

//===----------------------------------------------------------------------===//
// Next attempt
//===----------------------------------------------------------------------===//

/// Keeps retries to a share of the requests, so that an outage is not made
/// worse by them.
struct RetryBudget {
  double Allowance = 10;
};
inline constexpr double RetryShare = 0.1;
inline constexpr double MostRetriesSaved = 50;

void creditRequest(RetryBudget &Budget);
bool takeRetry(RetryBudget &Budget);

enum class NextStep { Finish, Retry, Resume, GiveUp };

struct AttemptOutcome {
  UpstreamFault Fault = UpstreamFault::None;
  bool Idempotent = true;
  /// Tokens that already went to the caller.
  Tokens Delivered;
  int Attempts = 1;
  absl::Duration TimeLeft = absl::ZeroDuration();
};
inline constexpr int MaxAttempts = 4;

NextStep nextStep(const AttemptOutcome &Outcome);
/// The counter's reason for a retry after \p Fault.
RetryReason retryReasonOf(UpstreamFault Fault, Tokens Delivered);

//===----------------------------------------------------------------------===//
// Judging versions and replicas
//===----------------------------------------------------------------------===//

/// A sequential test that a version's share of good answers is still the
/// agreed one. It sums evidence against it and never goes below zero.
struct VersionTest {
  double Evidence = 0;
  int64_t Good = 0;
  int64_t Bad = 0;
};

/// The share, below the agreed one, that the test looks for.
inline constexpr double BadShareFactor = 0.82;
/// The evidence at which a version trips; larger is slower and surer.
inline constexpr double TripEvidence = 7.0;

void addRating(VersionTest &Test, bool IsGood, double AgreedShare);
bool hasTripped(const VersionTest &Test);

/// The evidence of all ratings of a version together, in no order; negative
/// when they speak for it. It may lag, but it sees what no host sees alone.
double evidenceOf(int64_t Good, int64_t Rated, double AgreedShare);

/// Unrated answers that a candidate may have out on one host.
int candidateRoom(int FleetWide, size_t LiveHosts);
/// Unrated answers that a candidate may have out in the whole fleet.
inline constexpr int CandidateUnratedFleetWide = 40;

/// Consecutive faults of one replica and what became of them.
struct ReplicaHealth {
  int FaultsInRow = 0;
  Instant EjectedUntil;
  int Ejections = 0;
};
void noteReplicaResult(ReplicaHealth &Health, bool Failed, Instant Now);
bool isEjected(const ReplicaHealth &Health, Instant Now);

/// The edit that takes a roll-out to its next step, or that holds its
/// candidate, under an id that every host derives alike.
Edit makeRolloutStep(const RolloutRow &Row, int NextPercent, Offset Base);
Edit makeHold(const VersionKey &Version, const std::string &Run,
              const std::string &Evidence, const ConfigState &State);
/// The next percentage, or -1 when the roll-out should stay as it is.
int nextRolloutPercent(const RolloutRow &Row, int64_t RatedSinceStep);

} // namespace berylramp

#endif // BERYLRAMP_POLICY_H
