//===- router.h - The path of a request, joined up --------------*- C++ -*-===//
//
// A Router follows the log, gossips with its peers, watches the replicas and
// answers callers. It owns threads but no socket: adapters come in as ports,
// and its handlers go out to an HTTP server.
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

/// One entry host's router. All handlers may be called from any thread.
class Router {
public:
  Router(EntrySettings Settings, RouterPorts Ports, TimerService &Timer,
         Metrics &Counts);
  ~Router();

  /// Adds the routes of callers, operators and peers to \p Server.
  void addRoutes(HttpServer &Server);
  /// Starts the threads and subscriptions. \p Address is where \p Server
  /// listens; other hosts and callers learn it from this one.
  void start(const Endpoint &Address);

  /// Announces that this host leaves: it is offered to no more callers, and
  /// goes on serving those that were.
  void announceLeaving();
  /// True once no caller can hold an address of this host that still counts,
  /// and no answer is under way.
  bool isDrained() const;
  /// Hands over what only this host holds and stops all threads. Call after
  /// the HTTP server has stopped.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace berylramp

#endif // BERYLRAMP_ROUTER_H
