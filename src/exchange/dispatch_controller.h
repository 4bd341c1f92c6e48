//===- dispatch_controller.h - Requests that wait for room ------*- C++ -*-===//

#ifndef BERYLRAMP_EXCHANGE_DISPATCH_CONTROLLER_H
#define BERYLRAMP_EXCHANGE_DISPATCH_CONTROLLER_H

#include "berylramp/dispatch.h"
#include "cancellable_timer.h"
#include <memory>

namespace berylramp {

/// A request that waits for room at the replicas of its service.
class WaitingRequest {
public:
  virtual ~WaitingRequest() = default;
  /// Decides anew; the request is sent or refused, or it stays in the queue.
  virtual void onDispatchRetry() = 0;
};

/// The queues of waiting requests, and the use of workspaces, by service.
class DispatchController {
public:
  struct Service {
    DispatchQueue Queue;
    ShareTable Shares;
    /// Classes of the routes in this table.
    UrgencyClasses Classes;
    TableVersion Table = NoTable;
    absl::flat_hash_map<WaiterId, std::weak_ptr<WaitingRequest>> Requests;
  };

  DispatchController(boost::asio::io_context &Loop, TimerService &Timer,
                     DispatchSettings Settings)
      : Settings(Settings), Timer(Timer), RetryTimer(Loop) {}

  /// The state of \p Id with the classes that \p Table holds.
  Service &service(const ServiceId &Id, const RouteTable &Table);
  /// Puts a request into the queue of \p Id, or moves it there.
  void wait(const ServiceId &Id, const Waiter &Entry,
            const std::shared_ptr<WaitingRequest> &Request);
  void remove(const ServiceId &Id, WaiterId Waiting);
  WaiterId newId() { return ++this->LastId; }
  /// Decides on waiting requests soon: a replica may have room.
  void onRoom();
  /// Decides on all waiting requests now.
  void retryAll();
  size_t waiting() const;
  bool hasSpace(size_t Bytes) const;

  /// The shares of the services that have urgency classes.
  std::vector<std::pair<uint64_t, WorkspaceShares>> shares();
  void mergeShares(uint64_t ServiceHash, const WorkspaceShares &Shares);

  const DispatchSettings Settings;

private:
  void arm(absl::Duration Delay);
  void retry();
  void retryService(Service &Entry, int &Decisions);
  /// Returns whether the request left the queue.
  static bool retryRequest(Service &Entry, WaiterId Waiting);

  TimerService &Timer;
  std::map<ServiceId, Service> Services;
  CancellableTimer RetryTimer;
  bool IsArmed = false;
  Instant ArmedFor;
  Instant RetriedAt;
  WaiterId LastId = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_DISPATCH_CONTROLLER_H
