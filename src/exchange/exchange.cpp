//===- exchange.cpp - The relays under way --------------------------------===//

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

// NOLINTNEXTLINE(bugprone-exception-escape): only when memory is gone.
Exchange::~Exchange() { this->abortAll(); }

void Exchange::handle(HttpRequest Request, ResponderPtr Answer) {
  auto Made = std::make_shared<Relay>(this->Shared, *this->Shared,
                                      std::move(Request), std::move(Answer));
  this->Shared->Active.insert(Made);
  Made->start();
}

void Exchange::setRetrySlack(double Slack) {
  this->Shared->Settings.RetrySlack = Slack;
  for (auto &[Service, Budget] : this->Shared->Budgets)
    Budget.setMaxBalance(Slack);
}

size_t Exchange::active() const { return this->Shared->Active.size(); }

void Exchange::abortAll() {
  auto All = this->Shared->Active;
  for (const std::shared_ptr<Relay> &Each : All)
    Each->abort("the host stops");
}

void Exchange::sweep() { this->Shared->Pool.sweep(this->Shared->Timer.now()); }

} // namespace berylramp
