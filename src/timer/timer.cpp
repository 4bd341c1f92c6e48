//===- timer.cpp - Timer service ------------------------------------------===//
//
// The monotonic clock is CLOCK_BOOTTIME, which also advances while the machine
// is suspended. Otherwise a stale view would look recent after a suspension.
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

  void requestStop() {
    MutexLock Guard(&this->Lock);
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

void ThreadTimer::run(Ticker &Worker, absl::Duration Period,
                      const Callback &Call) {
  while (true) {
    {
      MutexLock Guard(&Worker.Lock);
      bool Stopped = Worker.Lock.awaitWithTimeout(
          [&Worker] { return Worker.Stopped; }, Period);
      if (Stopped)
        return;
    }
    Call();
  }
}

TimerService::Subscription ThreadTimer::schedulePeriodic(absl::Duration Period,
                                                         Callback Call) {
  auto NewTicker = std::make_unique<Ticker>();
  Ticker &Worker = *NewTicker;
  MutexLock Guard(&this->Lock);
  Subscription Id = this->NextId++;
  this->Tickers[Id] = std::move(NewTicker);
  Worker.Thread = std::thread(
      [&Worker, Period, Call = std::move(Call)] { run(Worker, Period, Call); });
  return Id;
}

void ThreadTimer::cancel(Subscription Id) {
  std::unique_ptr<Ticker> Removed;
  {
    MutexLock Guard(&this->Lock);
    auto Found = this->Tickers.find(Id);
    if (Found == this->Tickers.end())
      return;
    Removed = std::move(Found->second);
    this->Tickers.erase(Found);
  }
  Removed->requestStop();
  Removed->Thread.join();
}

void ThreadTimer::stop() {
  std::map<Subscription, std::unique_ptr<Ticker>> Removed;
  {
    MutexLock Guard(&this->Lock);
    Removed.swap(this->Tickers);
  }
  for (auto &[Id, Worker] : Removed)
    Worker->requestStop();
  for (auto &[Id, Worker] : Removed)
    Worker->Thread.join();
}

Instant ManualTimer::now() const { return Instant{this->Elapsed}; }

absl::Time ManualTimer::wallNow() const {
  return absl::FromUnixSeconds(1700000000) + this->Elapsed;
}

TimerService::Subscription ManualTimer::schedulePeriodic(absl::Duration Period,
                                                         Callback Call) {
  Subscription Id = this->NextId++;
  this->Entries[Id] = Entry{Period, this->now() + Period, std::move(Call)};
  return Id;
}

void ManualTimer::cancel(Subscription Id) { this->Entries.erase(Id); }

void ManualTimer::advance(absl::Duration Step) {
  absl::Duration Target = this->Elapsed + Step;
  while (true) {
    Entry *Earliest = nullptr;
    for (auto &[Id, Candidate] : this->Entries) {
      if (Earliest == nullptr || Candidate.Due < Earliest->Due)
        Earliest = &Candidate;
    }
    if (Earliest == nullptr || Target < Earliest->Due.SinceStart)
      break;
    this->Elapsed = std::max(this->Elapsed, Earliest->Due.SinceStart);
    Earliest->Due = Earliest->Due + Earliest->Period;
    Callback Call = Earliest->Call;
    Call();
  }
  this->Elapsed = Target;
}

void ManualTimer::skip(absl::Duration Step) { this->Elapsed += Step; }

} // namespace berylramp
