//===- run_ledger.h - Whether a request may have run ------------*- C++ -*-===//
//
// The only source of the promise "not run". Pure.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_RUN_LEDGER_H
#define BERYLRAMP_EXCHANGE_RUN_LEDGER_H

#include "berylramp/routes.h"

namespace berylramp {

class RunLedger {
public:
  explicit RunLedger(Repeatability Rule) : Rule(Rule) {}

  /// Bytes of the request may have reached a replica.
  void handedOver() { this->InDoubt += 1; }
  /// The replica of the last hand-over stated that it did not run it.
  void rejected() { this->InDoubt -= 1; }
  /// Nothing of the last hand-over left this host.
  void neverSent() { this->InDoubt -= 1; }

  /// True when no replica runs, ran or will run the request.
  bool provablyNotRun() const { return this->InDoubt == 0; }
  /// Whether another replica may get the request now.
  bool mayRepeat() const {
    return this->provablyNotRun() || this->Rule != Repeatability::AtMostOnce;
  }

private:
  Repeatability Rule;
  int InDoubt = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_RUN_LEDGER_H
