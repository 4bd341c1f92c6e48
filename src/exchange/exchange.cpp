//===- exchange.cpp - The set of active relays ----------------------------===//

#include "relay.h"

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
                                         std::move(Hooks))) {}

// NOLINTNEXTLINE(bugprone-exception-escape): only if memory is exhausted.
Exchange::~Exchange() { this->abortAll(); }

void Exchange::handle(CallerRequest Request, ResponderPtr CallerResponder) {
  auto NewRelay =
      std::make_shared<Relay>(this->Shared, *this->Shared, std::move(Request),
                              std::move(CallerResponder));
  this->Shared->Active.insert(NewRelay);
  NewRelay->start();
}

void Exchange::setRetrySlack(double Slack) {
  this->Shared->Settings.Retries.Slack = Slack;
  for (auto &[Service, Budget] : this->Shared->Budgets)
    Budget.setSlack(Slack);
}

size_t Exchange::activeRequests() const { return this->Shared->Active.size(); }

void Exchange::abortAll() {
  auto Relays = this->Shared->Active;
  for (const std::shared_ptr<Relay> &ActiveRelay : Relays)
    ActiveRelay->abort("the host is shutting down");
}

void Exchange::closeIdleConnections() {
  this->Shared->Pool.closeExpired(this->Shared->Timer.now());
}

} // namespace berylramp
