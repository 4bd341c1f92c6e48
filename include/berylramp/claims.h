//===- claims.h - Claims of non-idempotent requests -------------*- C++ -*-===//
//
// A host appends a claim of a non-idempotent request to a log stream before it
// dispatches the request. All hosts fold the stream to the same owner, the
// claim at the lowest offset that is not void. Only the owner's host dispatches
// the request, once.
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

/// Identifies one non-idempotent request by the caller's idempotency key and
/// the key's issue time in Unix milliseconds.
struct ClaimIdentity {
  WorkspaceId Workspace;
  std::string Key;
  int64_t IssuedMillis = 0;

  std::string text() const;
};

/// The name of the stream, out of \p ShardCount, that holds the claims of an
/// identity or shard.
StreamName claimStream(const ClaimIdentity &Identity, int ShardCount);
StreamName claimStream(int Shard, int ShardCount);
int claimShard(const ClaimIdentity &Identity, int ShardCount);

/// A host's attempt to become the owner of a request.
struct Claim {
  ClaimIdentity Identity;
  /// Digest of the request's body.
  std::string BodyDigest;
  HostId Host;
  Incarnation HostIncarnation;
  AttemptId Attempt;
};

/// Recorded after the request has been executed.
struct ClaimDone {
  ClaimIdentity Identity;
  AttemptId Attempt;
  std::string OutcomeDigest;
};

enum class ClaimProgress { Claimed, Done, Resolved };

/// A folded claim and its progress.
struct ClaimEntry {
  Claim Record;
  Offset RecordOffset = NoOffset;
  ClaimProgress Progress = ClaimProgress::Claimed;
  std::string OutcomeDigest;
};

/// The claims of one identity that are not void, ordered by offset.
struct ClaimIndex {
  std::vector<ClaimEntry> Contenders;
  /// Kept because a delayed append of a claim may follow the void record of the
  /// same attempt.
  std::set<AttemptId> VoidAttempts;
  int64_t IssuedMillis = 0;
};

/// The folded state of one claim stream.
struct ClaimState {
  Offset Applied = NoOffset;
  absl::Time LastRecordTime = absl::UnixEpoch();
  /// Claims of identities issued before this time may be missing: they may
  /// precede the first record that the log retained when the fold began.
  absl::Time CompleteFrom = absl::InfinitePast();
  std::map<std::string, ClaimIndex> ClaimsByIdentity;
};

/// The period after its issue time in which an identity can be claimed. It is
/// well below the log's retention, so that a host that reads the retained
/// records receives every claim.
struct ClaimWindow {
  absl::Duration Length = absl::Hours(6);
  /// Maximum time by which a caller's clock may be ahead of the log's.
  absl::Duration MaxClockSkew = absl::Minutes(5);
};

std::string encodeClaim(const Claim &Record);
std::string encodeVoid(const ClaimIdentity &Identity, const AttemptId &Attempt);
std::string encodeDone(const ClaimDone &Record);
/// Encodes an operator's resolution of an attempt whose outcome is unknown.
/// \p WasExecuted is true when the request was executed.
std::string encodeResolved(const ClaimIdentity &Identity,
                           const AttemptId &Attempt, bool WasExecuted,
                           const std::string &Author);
/// Combines encoded records into a single log record for group commit.
std::string joinRecords(const std::vector<std::string> &Encoded);

/// Applies one record of a claim stream to the state. Records that are already
/// folded are ignored.
void foldClaims(ClaimState &State, Offset RecordOffset, absl::Time AppendedAt,
                const std::string &Data, const ClaimWindow &Window);

/// Result of evaluating one attempt against the folded state.
enum class ClaimVerdict {
  /// The state has no such attempt: it is not yet folded, void, or expired.
  NotFound,
  /// This attempt owns the request, which may be dispatched once.
  Won,
  /// Another attempt owns the request and has no completion record.
  Lost,
  /// The request was executed and its outcome is known.
  AlreadyDone,
  /// The key was already claimed for a different request body.
  BodyMismatch
};

struct ClaimEvaluation {
  ClaimVerdict Verdict = ClaimVerdict::NotFound;
  /// The entry that owns the request; meaningless for NotFound.
  ClaimEntry Owner;
};

ClaimEvaluation evaluateClaim(const ClaimState &State,
                              const ClaimIdentity &Identity,
                              const AttemptId &Attempt,
                              const std::string &BodyDigest);

/// True when the folded state contains every possible claim of an identity.
bool coversIdentity(const ClaimState &State, const ClaimIdentity &Identity,
                    const ClaimWindow &Window);

/// True when an identity may be claimed at \p Now: it has not expired, and its
/// issue time is at most MaxClockSkew in the future.
bool isIdentityCurrent(const ClaimIdentity &Identity, absl::Time Now,
                       const ClaimWindow &Window);

/// The entry that owns an identity, or null when none does.
const ClaimEntry *findOwner(const ClaimState &State,
                            const ClaimIdentity &Identity);

} // namespace berylramp

#endif // BERYLRAMP_CLAIMS_H
