//===- core.h - State shared by the relays of an exchange -------*- C++ -*-===//

#ifndef BERYLRAMP_EXCHANGE_CORE_H
#define BERYLRAMP_EXCHANGE_CORE_H

#include "connection_limit.h"
#include "dispatch_controller.h"
#include "engine_stats.h"
#include "held_memory.h"
#include "path_controller.h"
#include "upstream_connection.h"
#include <map>
#include <set>
#include <unordered_set>

namespace berylramp {

class Relay;

struct RelayCore {
  RelayCore(boost::asio::io_context &Loop, TimerService &Timer,
            Metrics &Counters, UpstreamRegistry &Registry,
            ExchangeSettings Settings, ExchangeHooks Hooks)
      : Loop(Loop), Timer(Timer), Counters(Counters), Registry(Registry),
        Settings(std::move(Settings)), Hooks(std::move(Hooks)),
        Pool(this->Settings.MaxIdleTime),
        Memory(std::make_shared<HeldMemory>(Loop, Timer, Counters,
                                            this->Settings.Memory)),
        Connections(
            std::make_shared<ConnectionLimit>(this->Settings.MaxConnections)),
        Paths(std::make_shared<PathController>(Loop, Timer, Registry)),
        Dispatch(std::make_unique<DispatchController>(
            Loop, Timer, this->Settings.Dispatch)) {
    // Checks of paths send no request.
    this->Paths->ChoosePeer = [this](const Replica &Target,
                                     const std::vector<Endpoint> &Tried) {
      return this->Hooks.ChoosePeer(Target, Tried, std::nullopt);
    };
    this->Paths->OnLost = [this](bool Hangs) { this->onPathLost(Hangs); };
  }

  /// Moves requests that wait for lost paths.
  void onPathLost(bool Hangs);

  RetryBudget &budget(const ServiceId &Service) {
    auto Found = this->Budgets.find(Service);
    if (Found == this->Budgets.end())
      Found =
          this->Budgets.emplace(Service, RetryBudget(this->Settings.Retries))
              .first;
    return Found->second;
  }

  boost::asio::io_context &Loop;
  TimerService &Timer;
  Metrics &Counters;
  UpstreamRegistry &Registry;
  ExchangeSettings Settings;
  ExchangeHooks Hooks;
  UpstreamPool Pool;
  HeldMemoryPtr Memory;
  ConnectionLimitPtr Connections;
  std::shared_ptr<PathController> Paths;
  std::unique_ptr<DispatchController> Dispatch;
  std::map<ServiceId, RetryBudget> Budgets;
  /// By service and model.
  std::map<std::pair<ServiceId, ModelId>, EnginePace> Paces;
  EngineStats Engines;
  std::unordered_set<std::shared_ptr<Relay>> Active;
  /// Replicas whose load reports were logged as unusable.
  std::set<UpstreamId> LoggedLoads;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_CORE_H
