//===- local_entry.h - An entry host inside this process --------*- C++ -*-===//
//
// A router behind an HTTP server on a free port of loopback, as experiments
// and tests use it.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_STANDIN_LOCAL_ENTRY_H
#define BERYLRAMP_SRC_TOOLS_STANDIN_LOCAL_ENTRY_H

#include "berylramp/http.h"
#include "berylramp/router.h"
#include <functional>
#include <memory>

namespace berylramp::standin {

/// The ports of a daemon over HTTP, as berylramp-entryd makes them.
RouterPorts makeLocalPorts(const EntrySettings &Settings,
                           const std::shared_ptr<HttpClientPool> &Pool);

class LocalEntry {
public:
  /// \p Adapt may wrap the ports, to make them fail.
  explicit LocalEntry(
      const EntrySettings &Settings,
      const std::function<void(RouterPorts &)> &Adapt = nullptr);
  ~LocalEntry();

  const HostId &id() const { return this->Name; }
  const Endpoint &address() const { return this->Address; }
  Metrics &counts() { return this->Counts; }
  Router &router() { return *this->Work; }
  /// Stops to serve without handing over to other hosts.
  void stop();

private:
  HostId Name;
  Endpoint Address;
  ThreadTimer Timer;
  Metrics Counts;
  std::unique_ptr<Router> Work;
  std::unique_ptr<HttpServer> Server;
};

} // namespace berylramp::standin

#endif // BERYLRAMP_SRC_TOOLS_STANDIN_LOCAL_ENTRY_H
