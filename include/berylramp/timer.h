//===- timer.h - The timer service ------------------------------*- C++ -*-===//
//
// Parts subscribe to a TimerService in place of sleeping or reading a clock.
// ThreadTimer runs in the daemons; ManualTimer lets a test move time by hand.
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

/// A point on the monotonic clock of this process; it never jumps.
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

/// Tells the time and calls subscribers periodically.
class TimerService {
public:
  using Callback = std::function<void()>;
  using Subscription = int64_t;

  virtual ~TimerService() = default;

  virtual Instant now() const = 0;
  virtual absl::Time wallNow() const = 0;
  /// Calls \p Call every \p Period until cancelled. Calls of one subscription
  /// never overlap.
  virtual Subscription every(absl::Duration Period, Callback Call) = 0;
  /// After the return no further call of \p Which starts.
  virtual void cancel(Subscription Which) = 0;
};

/// The real timer: each subscription has a thread, so that a slow subscriber
/// delays no other.
class ThreadTimer : public TimerService {
public:
  ThreadTimer();
  ~ThreadTimer() override;

  Instant now() const override;
  absl::Time wallNow() const override;
  Subscription every(absl::Duration Period, Callback Call) override;
  void cancel(Subscription Which) override;
  /// Ends all subscriptions and waits for calls under way.
  void stop();

private:
  struct Ticker;
  static void run(Ticker &Which, absl::Duration Period, const Callback &Call);

  Mutex Lock;
  std::map<Subscription, std::unique_ptr<Ticker>> Tickers;
  Subscription Next = 1;
};

/// A timer whose time moves only in advance().
class ManualTimer : public TimerService {
public:
  Instant now() const override;
  absl::Time wallNow() const override;
  Subscription every(absl::Duration Period, Callback Call) override;
  void cancel(Subscription Which) override;
  /// Moves time on and calls, in order of due time, what became due.
  void advance(absl::Duration By);
  /// Moves the monotonic clock without calls, as a paused process sees it.
  void pause(absl::Duration For);

private:
  struct Entry {
    absl::Duration Period;
    Instant Due;
    Callback Call;
  };
  absl::Duration Elapsed = absl::Seconds(1);
  std::map<Subscription, Entry> Entries;
  Subscription Next = 1;
};

} // namespace berylramp

#endif // BERYLRAMP_TIMER_H
