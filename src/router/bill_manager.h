//===- bill_manager.h - Buffers bills until the log has them ----*- C++ -*-===//
//
// A bill is durable when the log or two other hosts have it; only then is the
// end marker of the answer sent to the caller. Bills are appended in batches.
// Bills held for another host are kept until that origin reports that the log
// has them, and are appended by this host if the origin becomes unavailable.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_BILL_MANAGER_H
#define BERYLRAMP_SRC_ROUTER_BILL_MANAGER_H

#include "berylramp/billing.h"
#include "berylramp/sync.h"
#include "context.h"
#include "fleet_link.h"
#include "worker.h"
#include <map>
#include <vector>

namespace berylramp::internal {

class BillManager {
public:
  BillManager(RouterContext &Context, FleetLink &Fleet);

  void start();
  /// Stops the threads, appends the bills that are not in the log, and sends
  /// the ones that are still not durable to holders.
  void stop();

  /// Reserves space for the bill of a request that is about to start; false if
  /// the buffer is full.
  bool reserve();
  void release();
  /// Adds a bill and waits until it is durable; false on time-out. On time-out
  /// the bill is removed again, because the caller does not get a complete
  /// answer.
  bool commit(const Bill &Record, absl::Duration Timeout);

  /// Handles a peer's request to hold bills.
  absl::StatusOr<Json::Value> onHoldBills(const Json::Value &Params);
  /// The highest sequence number up to which all bills of this incarnation are
  /// in the log.
  int64_t lastLoggedSequence() const;
  size_t pendingCount() const;
  size_t heldCount() const;

private:
  struct SequencedBill {
    int64_t Sequence;
    Bill Record;
  };
  struct HeldKey {
    HostId Origin;
    Incarnation OriginIncarnation;
    friend bool operator<(const HeldKey &A, const HeldKey &B) {
      return A.Origin == B.Origin ? A.OriginIncarnation < B.OriginIncarnation
                                  : A.Origin < B.Origin;
    }
  };

  void runAppender();
  void runHolders();
  bool waitForWork() const;
  void appendUnlogged();
  std::vector<SequencedBill> nonDurableBills() const;
  void sendToHolders(const std::vector<SequencedBill> &NonDurable);
  std::vector<PeerAddress> chooseHolders() const;
  void reviewHeldBills();
  void adopt(const HeldKey &Key, const std::map<int64_t, Bill> &Bills);

  RouterContext &Context;
  FleetLink &Fleet;
  Worker LogThread;
  Worker HolderThread;
  TimerService::Subscription ReviewSubscription = 0;

  mutable Mutex Lock;
  BillBuffer Buffer;
  /// Bills that are not in the log yet, by sequence number.
  std::map<int64_t, Bill> Unlogged;
  int64_t NextSequence = 1;
  size_t Reserved = 0;
  size_t HeldCount = 0;
  std::map<HeldKey, std::map<int64_t, Bill>> Held;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_BILL_MANAGER_H
