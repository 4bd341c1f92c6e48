//===- timer.cpp - The timer service --------------------------------------===//
//
// The monotonic clock is CLOCK_BOOTTIME: it also counts while the machine is
// suspended, so a view cannot look recent after a long pause.
//
//===----------------------------------------------------------------------===//

#include "berylramp/timer.h"

#include "absl/time/clock.h"
#include <ctime>

namespace berylramp {

struct ThreadTimer::Ticker {
  Mutex Lock;
  bool Stopped = false;
  std::thread Thread;

  void halt() {
    MutexLock Hold(&this->Lock);
    this->Stopped = true;
  }
};

ThreadTimer::ThreadTimer() = default;
ThreadTimer::~ThreadTimer() { this->stop(); }

Instant ThreadTimer::now() const {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return Instant{absl::DurationFromTimespec(Now)};
}

absl::Time ThreadTimer::wallNow() const { return absl::Now(); }

void ThreadTimer::run(Ticker &Which, absl::Duration Period,
                      const Callback &Call) {
  while (true) {
    {
      MutexLock Hold(&Which.Lock);
      bool Stopped =
          Which.Lock.awaitFor([&Which] { return Which.Stopped; }, Period);
      if (Stopped)
        return;
    }
    Call();
  }
}

TimerService::Subscription ThreadTimer::every(absl::Duration Period,
                                              Callback Call) {
  auto Made = std::make_unique<Ticker>();
  Ticker &Which = *Made;
  MutexLock Hold(&this->Lock);
  Subscription Id = this->Next++;
  this->Tickers[Id] = std::move(Made);
  Which.Thread = std::thread(
      [&Which, Period, Call = std::move(Call)] { run(Which, Period, Call); });
  return Id;
}

void ThreadTimer::cancel(Subscription Which) {
  std::unique_ptr<Ticker> Taken;
  {
    MutexLock Hold(&this->Lock);
    auto Found = this->Tickers.find(Which);
    if (Found == this->Tickers.end())
      return;
    Taken = std::move(Found->second);
    this->Tickers.erase(Found);
  }
  Taken->halt();
  Taken->Thread.join();
}

void ThreadTimer::stop() {
  std::map<Subscription, std::unique_ptr<Ticker>> Taken;
  {
    MutexLock Hold(&this->Lock);
    Taken.swap(this->Tickers);
  }
  for (auto &[Id, Which] : Taken)
    Which->halt();
  for (auto &[Id, Which] : Taken)
    Which->Thread.join();
}

Instant ManualTimer::now() const { return Instant{this->Elapsed}; }

absl::Time ManualTimer::wallNow() const {
  return absl::FromUnixSeconds(1700000000) + this->Elapsed;
}

TimerService::Subscription ManualTimer::every(absl::Duration Period,
                                              Callback Call) {
  Subscription Id = this->Next++;
  this->Entries[Id] = Entry{Period, this->now() + Period, std::move(Call)};
  return Id;
}

void ManualTimer::cancel(Subscription Which) { this->Entries.erase(Which); }

void ManualTimer::advance(absl::Duration By) {
  absl::Duration Until = this->Elapsed + By;
  while (true) {
    Entry *First = nullptr;
    for (auto &[Id, Each] : this->Entries) {
      if (First == nullptr || Each.Due < First->Due)
        First = &Each;
    }
    if (First == nullptr || Until < First->Due.SinceStart)
      break;
    this->Elapsed = std::max(this->Elapsed, First->Due.SinceStart);
    First->Due = First->Due + First->Period;
    Callback Call = First->Call;
    Call();
  }
  this->Elapsed = Until;
}

void ManualTimer::pause(absl::Duration For) { this->Elapsed += For; }

} // namespace berylramp
