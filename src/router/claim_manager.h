//===- claim_manager.h - Claims non-idempotent requests ---------*- C++ -*-===//
//
// Follows the claim streams of the log, appends claims in batches, and
// determines whether an attempt owns a non-idempotent request. A claim that
// cannot be resolved by reading the log is refused.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_CLAIM_MANAGER_H
#define BERYLRAMP_SRC_ROUTER_CLAIM_MANAGER_H

#include "berylramp/claims.h"
#include "berylramp/sync.h"
#include "context.h"
#include "worker.h"
#include <deque>
#include <memory>
#include <vector>

namespace berylramp::internal {

class ClaimManager {
public:
  explicit ClaimManager(RouterContext &Context);
  ~ClaimManager();

  void start();
  /// Stops all threads and appends a final batch of queued records per stream.
  void stop();

  /// Claims a non-idempotent request and waits until the record of the claim is
  /// read back from the log. After an error the attempt must never dispatch the
  /// request.
  absl::StatusOr<ClaimEvaluation> claim(const Claim &OwnClaim,
                                        absl::Duration Timeout);
  /// Voids a claim that was won but whose request was never dispatched.
  void abandon(const Claim &OwnClaim);
  /// Queues a record of the outcome of a request that was executed.
  void recordOutcome(const Claim &OwnClaim, const std::string &OutcomeDigest);
  /// Records whether an operator found that a request with an unknown outcome
  /// was executed; waits for the log.
  absl::Status resolve(const ClaimIdentity &Identity, const AttemptId &Attempt,
                       bool WasExecuted, const std::string &Author);
  /// True while this attempt owns the request according to the fold.
  bool isOwner(const Claim &OwnClaim) const;
  /// Finds the claim that owns an identity; false if there is none.
  bool lookUp(const ClaimIdentity &Identity, ClaimEntry &Result) const;

private:
  struct QueuedRecord {
    AttemptId Attempt;
    std::string Encoded;
    bool IsClaim = false;
  };
  struct Shard {
    StreamName Stream;
    Worker Follower;
    Worker Appender;
    mutable Mutex Lock;
    ClaimState State;
    bool LogUp = false;
    bool CaughtUp = false;
    std::deque<QueuedRecord> Queue;
  };

  Shard &shardOf(const ClaimIdentity &Identity) const;
  void runFollower(Shard &Target);
  void applyPage(Shard &Target, const LogPage &Page);
  void runAppender(Shard &Target);
  void appendQueued(Shard &Target);
  /// Withdraws a claim permanently: removes it from the queue and queues its
  /// void.
  static void voidClaim(Shard &Target, const Claim &OwnClaim);

  RouterContext &Context;
  std::vector<std::unique_ptr<Shard>> Shards;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_CLAIM_MANAGER_H
