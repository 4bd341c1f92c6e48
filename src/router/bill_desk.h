//===- bill_desk.h - Keeps bills until the log has them ---------*- C++ -*-===//
//
// A bill is safe when the log or two other hosts have it, and only then does
// the end marker go to the caller. Bills are appended in groups. What other
// hosts hand over is kept until the origin says the log has it, and appended
// here when the origin is gone.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_BILL_DESK_H
#define BERYLRAMP_SRC_ROUTER_BILL_DESK_H

#include "berylramp/billing.h"
#include "berylramp/sync.h"
#include "context.h"
#include "fleet_link.h"
#include "worker.h"
#include <map>
#include <vector>

namespace berylramp::internal {

class BillDesk {
public:
  BillDesk(RouterContext &Context, FleetLink &Fleet);

  void start();
  /// Hands over every bill that is not in the log, then ends.
  void stop();

  /// Takes room for the bill of a request that starts now; false when the
  /// buffer is full.
  bool reserve();
  void release();
  /// Waits until the bill is safe; false when it was not in time. A bill that
  /// failed is taken back, for its answer is not whole.
  bool secure(const Bill &Which, absl::Duration Wait);

  /// Holds bills for another host.
  absl::StatusOr<Json::Value> onHold(const Json::Value &Params);
  /// All bills of this life up to the returned number are in the log.
  int64_t loggedUpTo() const;
  size_t pending() const;
  size_t held() const;

private:
  struct Waiting {
    int64_t Sequence;
    Bill Which;
  };
  struct HeldKey {
    HostId Origin;
    Incarnation Life;
    friend bool operator<(const HeldKey &A, const HeldKey &B) {
      return A.Origin == B.Origin ? A.Life < B.Life : A.Origin < B.Origin;
    }
  };

  void runLog();
  void runHolders();
  bool waitForWork() const;
  void appendAll();
  std::vector<Waiting> unsafeBills() const;
  void sendToHolders(const std::vector<Waiting> &Which);
  std::vector<PeerAddress> chooseHolders() const;
  void tendHeld();
  void adopt(const HeldKey &Key, const std::map<int64_t, Bill> &Bills);

  RouterContext &Context;
  FleetLink &Fleet;
  Worker LogThread;
  Worker HolderThread;
  TimerService::Subscription Tending = 0;

  mutable Mutex Lock;
  BillBuffer Buffer;
  /// Not yet in the log, by sequence number.
  std::map<int64_t, Bill> Unlogged;
  int64_t NextSequence = 1;
  size_t Reserved = 0;
  size_t HeldCount = 0;
  std::map<HeldKey, std::map<int64_t, Bill>> Held;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_BILL_DESK_H
