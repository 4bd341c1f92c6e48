//===- parts.h - Components that serve a request ----------------*- C++ -*-===//
//
// Declares the components shared by all request paths and the checks that every
// request passes before it is dispatched.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_PARTS_H
#define BERYLRAMP_SRC_ROUTER_PARTS_H

#include "answer_cache.h"
#include "bill_manager.h"
#include "claim_manager.h"
#include "config_follower.h"
#include "context.h"
#include "fleet_link.h"
#include "rating_manager.h"
#include "replica_tracker.h"
#include "workspace_limiter.h"
#include <optional>

namespace berylramp::internal {

/// The components of one entry host, in order of construction.
struct RouterParts {
  explicit RouterParts(RouterContext &Context)
      : Context(Context), Config(Context), Fleet(Context, Config),
        Replicas(Context), Ratings(Context), Claims(Context),
        Bills(Context, Fleet) {}

  RouterContext &Context;
  ConfigFollower Config;
  FleetLink Fleet;
  ReplicaTracker Replicas;
  WorkspaceLimiter Limits;
  RatingManager Ratings;
  ClaimManager Claims;
  BillManager Bills;
  AnswerCache Answers;
  TraceRing Traces;
  std::atomic<int64_t> ActiveRequests{0};

  Mutex RetryLock;
  RetryBudget Retries;
};

/// RAII guard that counts one active request of the host.
class ActiveRequestCount {
public:
  explicit ActiveRequestCount(RouterParts &Parts) : Parts(Parts) {
    ++Parts.ActiveRequests;
  }
  ~ActiveRequestCount() { --this->Parts.ActiveRequests; }
  ActiveRequestCount(const ActiveRequestCount &) = delete;
  ActiveRequestCount &operator=(const ActiveRequestCount &) = delete;

private:
  RouterParts &Parts;
};

/// RAII guard that reserves one slot in the bill buffer.
class BillReservation {
public:
  explicit BillReservation(BillManager &Bills)
      : Bills(Bills), IsReserved(Bills.reserve()) {}
  ~BillReservation() {
    if (this->IsReserved)
      this->Bills.release();
  }
  BillReservation(const BillReservation &) = delete;
  BillReservation &operator=(const BillReservation &) = delete;
  bool isReserved() const { return this->IsReserved; }

private:
  BillManager &Bills;
  bool IsReserved;
};

/// The result of the checks that precede every dispatch. `Table` and
/// `TableFreshness` are always set; `Kind` only when the kind was found.
struct Admission {
  std::optional<Refusal> Refused;
  ConfigView Table;
  RequestKindRow Kind;
  Freshness TableFreshness = Freshness::Isolated;
};

/// Checks the table's freshness, the request kind and the workspace's rate
/// limit. Waits briefly for the table to reach \p AtLeast.
Admission admitRequest(RouterParts &Parts, const WorkspaceId &Workspace,
                       const RequestKindId &Kind, Tokens RequestedTokens,
                       Offset AtLeast);

/// Builds a refusal that states that the request was not executed.
Refusal makeNotRunRefusal(RefusalKind Kind, std::string Detail,
                          absl::Duration RetryAfter = absl::ZeroDuration());

/// Returns true unless this host is isolated. Must be called right before each
/// dispatch, because the table's freshness can change while a request runs.
bool mayDispatch(RouterParts &Parts);

/// Consumes one retry of the budget shared by all requests of the host; false
/// when the budget is exhausted.
bool consumeRetryBudget(RouterParts &Parts);
/// Credits the shared retry budget for one new request.
void creditRetryBudget(RouterParts &Parts);

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_PARTS_H
