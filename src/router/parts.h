//===- parts.h - The parts that serve a request -----------------*- C++ -*-===//
//
// One struct that the request paths share, so that each names what it uses.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_PARTS_H
#define BERYLRAMP_SRC_ROUTER_PARTS_H

#include "bill_manager.h"
#include "claim_manager.h"
#include "config_follower.h"
#include "context.h"
#include "fleet_link.h"
#include "kept_answers.h"
#include "limit_desk.h"
#include "rating_desk.h"
#include "replica_board.h"
#include <optional>

namespace berylramp::internal {

struct RouterParts {
  explicit RouterParts(RouterContext &Context)
      : Context(Context), Config(Context), Fleet(Context, Config),
        Board(Context), Ratings(Context), Claims(Context),
        Bills(Context, Fleet) {}

  RouterContext &Context;
  ConfigFollower Config;
  FleetLink Fleet;
  ReplicaBoard Board;
  LimitDesk Limits;
  RatingDesk Ratings;
  ClaimManager Claims;
  BillManager Bills;
  KeptAnswers Answers;
  TraceRing Traces;
  std::atomic<int64_t> Streams{0};

  Mutex RetryLock;
  RetryBudget Retries;
};

/// Counts a request as under way for as long as it lives.
class UnderWay {
public:
  explicit UnderWay(RouterParts &Parts) : Parts(Parts) { ++Parts.Streams; }
  ~UnderWay() { --this->Parts.Streams; }
  UnderWay(const UnderWay &) = delete;
  UnderWay &operator=(const UnderWay &) = delete;

private:
  RouterParts &Parts;
};

/// Holds room in the bill buffer for as long as it lives.
class BillRoom {
public:
  explicit BillRoom(BillManager &Bills) : Bills(Bills), Got(Bills.reserve()) {}
  ~BillRoom() {
    if (this->Got)
      this->Bills.release();
  }
  BillRoom(const BillRoom &) = delete;
  BillRoom &operator=(const BillRoom &) = delete;
  bool got() const { return this->Got; }

private:
  BillManager &Bills;
  bool Got;
};

/// What every request has to pass before any of its work may start.
struct Admission {
  std::optional<Refusal> Refused;
  ConfigView Table;
  RequestKindRow Kind;
  Freshness View = Freshness::Isolated;
};

/// Checks the view, the kind and the workspace's limit.
Admission admitRequest(RouterParts &Parts, const WorkspaceId &Workspace,
                       const RequestKindId &Kind, Tokens WantedTokens,
                       Offset AtLeast);

/// A refusal before anything was sent.
Refusal notRun(RefusalKind Kind, std::string Detail,
               absl::Duration RetryAfter = absl::ZeroDuration());

/// Whether the view still allows a dispatch; checked right before each one.
bool mayDispatch(RouterParts &Parts);

/// Takes one retry from the budget that all requests of the host share.
bool takeRetryFromBudget(RouterParts &Parts);
void creditRetryBudget(RouterParts &Parts);

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_PARTS_H
