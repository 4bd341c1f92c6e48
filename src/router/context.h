//===- context.h - What all parts of a router share -------------*- C++ -*-===//
//
// Settings, ports, time and counters of one entry host.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_CONTEXT_H
#define BERYLRAMP_SRC_ROUTER_CONTEXT_H

#include "berylramp/router.h"

namespace berylramp::internal {

struct RouterContext {
  EntrySettings Settings;
  RouterPorts Ports;
  TimerService &Timer;
  Metrics &Counts;
  /// This life of the host: its start time in Unix milliseconds, so that a
  /// replaced host that reuses the name has a higher one.
  Incarnation Life;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_CONTEXT_H
