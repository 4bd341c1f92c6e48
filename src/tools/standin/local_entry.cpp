//===- local_entry.cpp - Entry host in the current process ----------------===//
//
// The server uses the short keep-alive of standinLimits, because a stop waits
// for idle connections to close.
//
//===----------------------------------------------------------------------===//

#include "local_entry.h"

#include "berylramp/rpc.h"
#include "engine.h"

#include <stdexcept>

namespace berylramp::standin {

RouterPorts makeLocalPorts(const EntrySettings &Settings,
                           const std::shared_ptr<HttpClientPool> &Pool) {
  RouterPorts Ports;
  Ports.Log = makeHttpLog(Pool, Settings.Log);
  Ports.Hosts = makeHttpHostList(Pool, Settings.HostList);
  Ports.Rater = makeHttpRater(Pool, Settings.Rater);
  Ports.Upstreams = makeHttpUpstreams(Pool);
  Ports.Peers = makePeerPort(makePeerTransport(Pool), Settings.PeerKeys.front(),
                             [](size_t, size_t) {});
  return Ports;
}

LocalEntry::LocalEntry(const EntrySettings &Settings,
                       const std::function<void(RouterPorts &)> &Adapt)
    : Name(Settings.Host) {
  RouterPorts Ports =
      makeLocalPorts(Settings, std::make_shared<HttpClientPool>());
  if (Adapt)
    Adapt(Ports);
  this->EntryRouter = std::make_unique<Router>(Settings, std::move(Ports),
                                               this->Timer, this->Counts);
  this->Server = std::make_unique<HttpServer>(standinLimits());
  this->EntryRouter->addRoutes(*this->Server);
  absl::StatusOr<Endpoint> Bound = this->Server->bind(Settings.Listen);
  if (!Bound.ok())
    throw std::runtime_error(std::string(Bound.status().message()));
  this->Address = *Bound;
  this->EntryRouter->start(this->Address);
  this->Server->serve();
}

LocalEntry::~LocalEntry() { this->stop(); }

void LocalEntry::stop() {
  if (!this->Server)
    return;
  this->Server->stop();
  this->Server.reset();
  this->EntryRouter->stop();
}

} // namespace berylramp::standin
