//===- exchange.cpp - The set of active relays ----------------------------===//

#include "relay.h"
#include "tunnel.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "berylramp/json.h"
#include <algorithm>

namespace berylramp {

Exchange::Exchange(boost::asio::io_context &Loop, TimerService &Timer,
                   Metrics &Counters, UpstreamRegistry &Registry,
                   ExchangeSettings Settings, ExchangeHooks Hooks)
    : Shared(std::make_shared<RelayCore>(Loop, Timer, Counters, Registry,
                                         std::move(Settings),
                                         std::move(Hooks))) {
  TunnelHooks Server;
  std::weak_ptr<PathController> Weak = this->Shared->Paths;
  Server.Find = [&Registry](uint64_t Hash) -> std::optional<PathTarget> {
    std::optional<UpstreamId> Id = Registry.idOf(Hash);
    if (!Id)
      return std::nullopt;
    return pathTargetOf(*Registry.find(*Id));
  };
  Server.AddressOf = [&Registry](uint64_t Hash) {
    return Registry.find(*Registry.idOf(Hash))->Entry.Address;
  };
  Server.RejectsNew = [&Core = *this->Shared] {
    return Core.Hooks.RejectsNewRequests();
  };
  Server.OnReached = [Weak](const PathTarget &Target) {
    if (auto Paths = Weak.lock())
      Paths->onReached(Target);
  };
  Server.OnUnreached = [Weak](const PathTarget &Target, Instant Since,
                              bool Hangs) {
    if (auto Paths = Weak.lock())
      Paths->onUnreached(Target, Since, Hangs);
  };
  Server.ExplainRefusal = [Weak](const PathTarget &Target,
                                 const TunnelCallback &Done) {
    if (auto Paths = Weak.lock())
      Paths->explainRefusal(Target, Done);
  };
  Server.Memory = this->Shared->Memory;
  Server.Connections =
      std::make_shared<ConnectionLimit>(this->Shared->Settings.MaxTunnels);
  this->Tunnels =
      std::make_unique<TunnelServer>(Loop, Timer, std::move(Server));
}

// NOLINTNEXTLINE(bugprone-exception-escape): only if memory is exhausted.
Exchange::~Exchange() { this->abortAll(); }

void Exchange::handle(CallerRequest Request, ResponderPtr CallerResponder) {
  auto NewRelay =
      std::make_shared<Relay>(this->Shared, *this->Shared, std::move(Request),
                              std::move(CallerResponder));
  this->Shared->Active.insert(NewRelay);
  NewRelay->start();
}

Json::Value Exchange::explain(CallerRequest Request,
                              const WorkspaceId &Workspace) const {
  Relay Explained(this->Shared, *this->Shared, std::move(Request), nullptr);
  return Explained.explain(Workspace);
}

void Exchange::setRetrySlack(double Slack) {
  this->Shared->Settings.Retries.Slack = Slack;
  for (auto &[Service, Budget] : this->Shared->Budgets)
    Budget.setSlack(Slack);
}

size_t Exchange::activeRequests() const { return this->Shared->Active.size(); }

ServingBounds Exchange::servingBounds() const {
  return {this->Shared->Memory, this->Shared->Connections};
}

const MemoryAccount &Exchange::memoryAccount() const {
  return this->Shared->Memory->account();
}

std::vector<Gauge> Exchange::engineGauges() const {
  return this->Shared->Engines.gauges();
}

size_t Exchange::waitingRequests() const {
  return this->Shared->Dispatch->waiting();
}

void Exchange::retryWaiting() { this->Shared->Dispatch->retryAll(); }

std::vector<std::pair<uint64_t, WorkspaceShares>> Exchange::workspaceShares() {
  return this->Shared->Dispatch->shares();
}

void Exchange::mergeShares(uint64_t ServiceHash,
                           const WorkspaceShares &Shares) {
  this->Shared->Dispatch->mergeShares(ServiceHash, Shares);
}

void Exchange::abortAll() {
  auto Relays = this->Shared->Active;
  for (const std::shared_ptr<Relay> &ActiveRelay : Relays)
    ActiveRelay->abort("the host is shutting down");
}

void Exchange::probePaths() { this->Shared->Paths->probe(); }

bool Exchange::hasLostPaths() const { return this->Shared->Paths->anyLost(); }

absl::Status Exchange::serveTunnels(const Endpoint &ListenAddress) {
  return this->Tunnels->listen(ListenAddress);
}

size_t Exchange::busyTunnels() const { return this->Tunnels->busyTunnels(); }

size_t Exchange::openTunnels() const { return this->Tunnels->tunnels(); }

void Exchange::closeTunnels() { this->Tunnels->close(); }

void Exchange::closeIdleConnections() {
  this->Shared->Pool.closeExpired(this->Shared->Timer.now());
}

void Exchange::closeTunnelsOver(
    const std::function<bool(const Endpoint &)> &IsLeaving) {
  this->Shared->Pool.closeTunnelsOver(IsLeaving);
}

} // namespace berylramp
