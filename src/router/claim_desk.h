//===- claim_desk.h - Claims orders on the log ------------------*- C++ -*-===//
//
// Follows the claim streams, appends claims in groups, and tells a request
// whether it owns its order. Whatever it cannot resolve by reading, it refuses.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_CLAIM_DESK_H
#define BERYLRAMP_SRC_ROUTER_CLAIM_DESK_H

#include "berylramp/claims.h"
#include "berylramp/sync.h"
#include "context.h"
#include "worker.h"
#include <deque>
#include <memory>
#include <vector>

namespace berylramp::internal {

class ClaimDesk {
public:
  explicit ClaimDesk(RouterContext &Context);
  ~ClaimDesk();

  void start();
  /// Appends what is queued, then ends.
  void stop();

  /// Claims an order and judges the claim once its own record was read back.
  /// An error means that the attempt has decided never to dispatch.
  absl::StatusOr<ClaimEvaluation> claim(const Claim &Which,
                                        absl::Duration Wait);
  /// Gives an order back that was won but never dispatched.
  void abandon(const Claim &Which);
  void finish(const Claim &Which, const std::string &OutcomeDigest);
  /// Ends a doubt as an operator found it; waits for the log.
  absl::Status resolve(const ClaimIdentity &Identity, const AttemptId &Attempt,
                       bool DidRun, const std::string &Author);
  /// True while the fold still gives the order to this attempt.
  bool stillOwns(const Claim &Which) const;
  /// What the fold says of an identity; false when nothing.
  bool lookUp(const ClaimIdentity &Identity, ClaimEntry &Out) const;

private:
  struct Outgoing {
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
    std::deque<Outgoing> Queue;
  };

  Shard &shardOf(const ClaimIdentity &Identity) const;
  void follow(Shard &Which);
  void takePage(Shard &Which, const LogPage &Page);
  void append(Shard &Which);
  void appendQueued(Shard &Which);
  static void decideNever(Shard &Which, const Claim &Given);

  RouterContext &Context;
  std::vector<std::unique_ptr<Shard>> Shards;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_CLAIM_DESK_H
