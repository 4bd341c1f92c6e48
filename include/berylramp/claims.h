//===- claims.h - The fold of at-most-once claims ---------------*- C++ -*-===//
//
// A request that may run at most once is claimed on a log stream before it is
// dispatched. The claim at the lowest offset that is not void wins, on every
// host alike, and only the winner's host dispatches, once.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_CLAIMS_H
#define BERYLRAMP_CLAIMS_H

#include "absl/time/time.h"
#include "berylramp/units.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace berylramp {

/// What names one order: the caller's key, and when the caller issued it.
struct ClaimIdentity {
  WorkspaceId Workspace;
  std::string Key;
  int64_t IssuedMillis = 0;

  std::string text() const;
};

/// The stream that holds the claims of an identity, of \p ShardCount streams.
StreamName claimStream(const ClaimIdentity &Which, int ShardCount);
StreamName claimStream(int Shard, int ShardCount);
int claimShard(const ClaimIdentity &Which, int ShardCount);

/// One attempt of one host to own an order.
struct Claim {
  ClaimIdentity Identity;
  /// Digest of the request's body.
  std::string BodyDigest;
  HostId Host;
  Incarnation Life;
  AttemptId Attempt;
};

/// Written after the order ran.
struct ClaimDone {
  ClaimIdentity Identity;
  AttemptId Attempt;
  std::string OutcomeDigest;
};

enum class ClaimProgress { Claimed, Done, Resolved };

/// A claim in the fold.
struct ClaimEntry {
  Claim Which;
  Offset At = NoOffset;
  ClaimProgress Progress = ClaimProgress::Claimed;
  std::string OutcomeDigest;
};

/// All claims of one identity, by offset; void ones are gone.
struct ClaimBook {
  std::vector<ClaimEntry> Contenders;
  /// Void attempts: a slow append of a claim may land after its void.
  std::set<AttemptId> Void;
  int64_t IssuedMillis = 0;
};

/// The state of one claim stream.
struct ClaimState {
  Offset Applied = NoOffset;
  absl::Time LastRecordAt = absl::UnixEpoch();
  /// Claims of identities issued before this may lie before the first record
  /// that the log still kept when the fold began.
  absl::Time CompleteFrom = absl::InfinitePast();
  std::map<std::string, ClaimBook> Books;
};

/// How long an identity counts, from its issue time on. It is well under the
/// log's retention, so that a host that reads the kept log sees every claim.
struct ClaimWindow {
  absl::Duration Length = absl::Hours(6);
  /// How far a caller's clock may be ahead of the log's.
  absl::Duration AheadBy = absl::Minutes(5);
};

std::string encodeClaim(const Claim &Which);
std::string encodeVoid(const ClaimIdentity &Identity, const AttemptId &Attempt);
std::string encodeDone(const ClaimDone &Which);
/// Written by an operator to end a doubt about one attempt: \p DidRun says
/// what was found out.
std::string encodeResolved(const ClaimIdentity &Identity,
                           const AttemptId &Attempt, bool DidRun,
                           const std::string &Author);
/// Joins encoded records into one, for group commit.
std::string joinRecords(const std::vector<std::string> &Encoded);

/// Folds one record of a claim stream; ignores records already folded.
void foldClaims(ClaimState &State, Offset At, absl::Time AppendedAt,
                const std::string &Data, const ClaimWindow &Window);

/// What the fold says to the host of one attempt.
enum class ClaimVerdict {
  /// The fold does not hold the attempt (not yet read, void, or too old).
  NotFound,
  /// This attempt owns the order and may dispatch it once.
  Won,
  /// Another attempt owns it and has not finished, as far as the log tells.
  Lost,
  /// The order ran and its outcome is known.
  AlreadyDone,
  /// The key was claimed before for another body.
  OtherBody
};

struct ClaimJudgement {
  ClaimVerdict Verdict = ClaimVerdict::NotFound;
  /// For all but NotFound and Won: the entry that owns the order.
  ClaimEntry Owner;
};

ClaimJudgement judgeClaim(const ClaimState &State,
                          const ClaimIdentity &Identity,
                          const AttemptId &Attempt,
                          const std::string &BodyDigest);

/// Whether the fold has seen every claim that there can be of an identity.
bool coversIdentity(const ClaimState &State, const ClaimIdentity &Identity,
                    const ClaimWindow &Window);

/// Whether an identity may be claimed at \p Now: neither too old nor from the
/// future.
bool isIdentityCurrent(const ClaimIdentity &Identity, absl::Time Now,
                       const ClaimWindow &Window);

/// The entry that owns an identity, or null when none does.
const ClaimEntry *findOwner(const ClaimState &State,
                            const ClaimIdentity &Identity);

} // namespace berylramp

#endif // BERYLRAMP_CLAIMS_H
