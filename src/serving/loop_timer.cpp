//===- loop_timer.cpp - Timer service on the event loop -------------------===//

#include "berylramp/observe.h"
#include "berylramp/serving.h"

namespace berylramp {

void runLoop(boost::asio::io_context &Loop) {
  while (true) {
    try {
      Loop.run();
      return;
    } catch (const std::exception &Error) {
      Json::Value Line(Json::objectValue);
      Line["error"] = Error.what();
      logEvent(LogLevel::Error, "unexpected_error", Line);
    }
  }
}

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
  auto Elapsed = std::chrono::steady_clock::now() - processStart();
  // Instants start at one second, so that zero, which means "never", is in the
  // past.
  return Instant{absl::Seconds(1) + absl::FromChrono(Elapsed)};
}

absl::Time LoopTimer::wallNow() const { return absl::Now(); }

TimerService::Subscription LoopTimer::schedulePeriodic(absl::Duration Period,
                                                       Callback Call) {
  Subscription Id = this->NextId++;
  auto &Slot = this->Entries[Id];
  Slot = std::make_unique<Entry>(this->Loop);
  Slot->Period = Period;
  Slot->Call = std::move(Call);
  this->arm(Id);
  return Id;
}

TimerService::Subscription LoopTimer::after(absl::Duration Delay,
                                            Callback Call) {
  Subscription Id = this->schedulePeriodic(Delay, std::move(Call));
  this->Entries[Id]->Repeats = false;
  return Id;
}

void LoopTimer::cancel(Subscription Id) { this->Entries.erase(Id); }

void LoopTimer::arm(Subscription Id) {
  Entry &Scheduled = *this->Entries[Id];
  Scheduled.DelayTimer.expires_after(
      absl::ToChronoNanoseconds(Scheduled.Period));
  Scheduled.DelayTimer.async_wait(
      [this, Id, Weak = std::weak_ptr<bool>(this->Alive)](
          const boost::system::error_code &Error) {
        // A handler that was queued may run after the timer's destruction.
        if (Weak.expired())
          return;
        auto Found = this->Entries.find(Id);
        if (Error || Found == this->Entries.end())
          return;
        Callback Call = Found->second->Call;
        if (!Found->second->Repeats)
          this->Entries.erase(Found);
        Call();
        if (!Weak.expired() && this->Entries.count(Id) != 0)
          this->arm(Id);
      });
}

} // namespace berylramp
