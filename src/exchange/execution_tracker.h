//===- execution_tracker.h - Whether a request may have run -----*- C++ -*-===//
//
// A refusal states that its request was not executed only if this class proves
// it. Performs no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_EXECUTION_TRACKER_H
#define BERYLRAMP_EXCHANGE_EXECUTION_TRACKER_H

#include "berylramp/routes.h"

namespace berylramp {

class ExecutionTracker {
public:
  explicit ExecutionTracker(Repeatability Rule) : Rule(Rule) {}

  /// Bytes of the request may have reached a replica.
  void markSent() { this->UnresolvedAttempts += 1; }
  /// The replica of the last attempt stated that it did not execute the
  /// request.
  void markRejected() { this->UnresolvedAttempts -= 1; }
  /// No byte of the last attempt left this host.
  void markNotSent() { this->UnresolvedAttempts -= 1; }

  /// True if no replica has executed, executes or will execute the request.
  bool provablyNotExecuted() const { return this->UnresolvedAttempts == 0; }
  /// Whether the request may now be sent to another replica.
  bool mayRepeat() const {
    return this->provablyNotExecuted() ||
           this->Rule != Repeatability::AtMostOnce;
  }

private:
  Repeatability Rule;
  int UnresolvedAttempts = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_EXECUTION_TRACKER_H
