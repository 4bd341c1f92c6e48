//===- local_entry.h - Entry host in the current process --------*- C++ -*-===//
//
// A router behind an HTTP server on a free loopback port, for experiments and
// tests.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_STANDIN_LOCAL_ENTRY_H
#define BERYLRAMP_SRC_TOOLS_STANDIN_LOCAL_ENTRY_H

#include "berylramp/http.h"
#include "berylramp/router.h"
#include <functional>
#include <memory>

namespace berylramp::standin {

/// Creates HTTP ports of a router like those of berylramp-entryd.
RouterPorts makeLocalPorts(const EntrySettings &Settings,
                           const std::shared_ptr<HttpClientPool> &Pool);

class LocalEntry {
public:
  /// \p Adapt may wrap the ports to inject failures. Throws std::runtime_error
  /// when the address cannot be bound.
  explicit LocalEntry(
      const EntrySettings &Settings,
      const std::function<void(RouterPorts &)> &Adapt = nullptr);
  ~LocalEntry();

  const HostId &id() const { return this->Name; }
  const Endpoint &address() const { return this->Address; }
  Metrics &counts() { return this->Counts; }
  Router &router() { return *this->EntryRouter; }
  /// Stops serving at once, without draining or transferring bills.
  void stop();

private:
  HostId Name;
  Endpoint Address;
  ThreadTimer Timer;
  Metrics Counts;
  std::unique_ptr<Router> EntryRouter;
  std::unique_ptr<HttpServer> Server;
};

} // namespace berylramp::standin

#endif // BERYLRAMP_SRC_TOOLS_STANDIN_LOCAL_ENTRY_H
