//===- timer.h - Timer service ----------------------------------*- C++ -*-===//
//
// Components use a TimerService instead of sleeping or reading a clock
// directly. The daemons use ThreadTimer; ManualTimer lets a test control the
// time.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_TIMER_H
#define BERYLRAMP_TIMER_H

#include "absl/time/time.h"
#include "berylramp/sync.h"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace berylramp {

/// A point in time on the monotonic clock, which is not affected by adjustments
/// of the wall clock.
struct Instant {
  absl::Duration SinceStart = absl::ZeroDuration();

  friend absl::Duration operator-(Instant A, Instant B) {
    return A.SinceStart - B.SinceStart;
  }
  friend Instant operator+(Instant A, absl::Duration B) {
    return Instant{A.SinceStart + B};
  }
  friend bool operator<(Instant A, Instant B) {
    return A.SinceStart < B.SinceStart;
  }
};

/// Provides the current time and invokes callbacks periodically.
class TimerService {
public:
  using Callback = std::function<void()>;
  using Subscription = int64_t;

  virtual ~TimerService() = default;

  virtual Instant now() const = 0;
  virtual absl::Time wallNow() const = 0;
  /// Invokes \p Call every \p Period until the subscription is cancelled.
  /// Invocations of one subscription never overlap.
  virtual Subscription schedulePeriodic(absl::Duration Period,
                                        Callback Call) = 0;
  /// No invocation of \p Id starts after this function has returned.
  virtual void cancel(Subscription Id) = 0;
};

/// A timer on the system clocks. Each subscription has its own thread, so that
/// a slow callback does not delay other subscriptions.
class ThreadTimer : public TimerService {
public:
  ThreadTimer();
  ~ThreadTimer() override;

  Instant now() const override;
  absl::Time wallNow() const override;
  Subscription schedulePeriodic(absl::Duration Period, Callback Call) override;
  void cancel(Subscription Id) override;
  /// Cancels all subscriptions and waits for running callbacks to return.
  void stop();

private:
  struct Ticker;
  static void run(Ticker &Worker, absl::Duration Period, const Callback &Call);

  Mutex Lock;
  std::map<Subscription, std::unique_ptr<Ticker>> Tickers;
  Subscription NextId = 1;
};

/// A timer for tests. Time passes only in advance() and skip().
class ManualTimer : public TimerService {
public:
  Instant now() const override;
  absl::Time wallNow() const override;
  Subscription schedulePeriodic(absl::Duration Period, Callback Call) override;
  void cancel(Subscription Id) override;
  /// Advances the time by \p Step and invokes the callbacks that become due, in
  /// the order of their due times.
  void advance(absl::Duration Step);
  /// Advances the time by \p Step without invoking callbacks, which simulates a
  /// suspended process.
  void skip(absl::Duration Step);

private:
  struct Entry {
    absl::Duration Period;
    Instant Due;
    Callback Call;
  };
  absl::Duration Elapsed = absl::Seconds(1);
  std::map<Subscription, Entry> Entries;
  Subscription NextId = 1;
};

} // namespace berylramp

#endif // BERYLRAMP_TIMER_H
