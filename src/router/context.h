//===- context.h - State shared by router components ------------*- C++ -*-===//
//
// Settings, ports, timer and metrics of one entry host.
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
  /// The incarnation of this host: its start time in Unix milliseconds, so that
  /// a replacement host with the same name has a higher value.
  Incarnation HostIncarnation;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_CONTEXT_H
