//===- router.h - The router of one entry host ------------------*- C++ -*-===//
//
// A Router follows the log, gossips with its peers, monitors the replicas and
// serves callers. It owns threads but no sockets: it receives its adapters as
// ports and registers its handlers with an HTTP server.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_ROUTER_H
#define BERYLRAMP_ROUTER_H

#include "berylramp/http.h"
#include "berylramp/observe.h"
#include "berylramp/ports.h"
#include "berylramp/settings.h"
#include "berylramp/timer.h"
#include <memory>

namespace berylramp {

struct RouterPorts {
  LogPort Log;
  HostListPort Hosts;
  RaterPort Rater;
  UpstreamPort Upstreams;
  PeerPort Peers;
};

/// The router of one entry host. All handlers may be called from any thread.
class Router {
public:
  Router(EntrySettings Settings, RouterPorts Ports, TimerService &Timer,
         Metrics &Counts);
  ~Router();

  /// Registers the routes for callers, operators and peers with \p Server.
  void addRoutes(HttpServer &Server);
  /// Starts the threads and subscriptions. \p Address is where the HTTP server
  /// listens; this host advertises it to other hosts and to callers.
  void start(const Endpoint &Address);

  /// Announces that this host is leaving. The fleet stops offering it to
  /// callers; callers that already have its address are still served.
  void announceLeaving();
  /// True once every address of this host that a caller may have cached has
  /// expired and no request is active.
  bool isDrained() const;
  /// Transfers data that exists only on this host, then stops all threads. Call
  /// after the HTTP server has stopped.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace berylramp

#endif // BERYLRAMP_ROUTER_H
