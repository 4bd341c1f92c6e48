//===- loop_timer.cpp - The timer service of a loop -----------------------===//

#include "berylramp/exchange.h"

namespace berylramp {

namespace {

std::chrono::steady_clock::time_point processStart() {
  static const auto Start = std::chrono::steady_clock::now();
  return Start;
}

} // namespace

LoopTimer::LoopTimer(boost::asio::io_context &Loop) : Loop(Loop) {
  processStart();
}

LoopTimer::~LoopTimer() = default;

Instant LoopTimer::now() const {
  auto Since = std::chrono::steady_clock::now() - processStart();
  // Instants begin at one second, so that "never" at zero lies in the past.
  return Instant{absl::Seconds(1) + absl::FromChrono(Since)};
}

absl::Time LoopTimer::wallNow() const { return absl::Now(); }

TimerService::Subscription LoopTimer::schedulePeriodic(absl::Duration Period,
                                                       Callback Call) {
  Subscription Which = this->Next++;
  auto &Slot = this->Entries[Which];
  Slot = std::make_unique<Entry>(this->Loop);
  Slot->Period = Period;
  Slot->Call = std::move(Call);
  this->arm(Which);
  return Which;
}

TimerService::Subscription LoopTimer::after(absl::Duration Delay,
                                            Callback Call) {
  Subscription Which = this->schedulePeriodic(Delay, std::move(Call));
  this->Entries[Which]->Repeats = false;
  return Which;
}

void LoopTimer::cancel(Subscription Which) { this->Entries.erase(Which); }

void LoopTimer::arm(Subscription Which) {
  Entry &Due = *this->Entries[Which];
  Due.Clock.expires_after(absl::ToChronoNanoseconds(Due.Period));
  Due.Clock.async_wait([this, Which](const boost::system::error_code &Error) {
    auto Found = this->Entries.find(Which);
    if (Error || Found == this->Entries.end())
      return;
    Callback Call = Found->second->Call;
    if (!Found->second->Repeats)
      this->Entries.erase(Found);
    Call();
    if (this->Entries.count(Which) != 0)
      this->arm(Which);
  });
}

} // namespace berylramp
