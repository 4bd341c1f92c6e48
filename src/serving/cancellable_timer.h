//===- cancellable_timer.h - One-shot timer with reliable cancel *- C++ -*-===//

#ifndef BERYLRAMP_SERVING_CANCELLABLE_TIMER_H
#define BERYLRAMP_SERVING_CANCELLABLE_TIMER_H

#include "absl/time/time.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace berylramp {

/// Time in which the loop reads bytes that are waiting in a socket: one
/// iteration. A timeout is evaluated again after this delay, because after a
/// pause of the process a timer can expire before the loop has read bytes that
/// arrived in time.
inline constexpr absl::Duration UnreadDataDelay = absl::Milliseconds(20);

/// One-shot timer whose callback does not run after set() or cancel() has been
/// called again. A plain Asio timer cannot guarantee this: once it has expired,
/// its handler is queued and can no longer be cancelled.
class CancellableTimer {
public:
  explicit CancellableTimer(boost::asio::io_context &Loop) : Timer(Loop) {}
  ~CancellableTimer() { *this->LatestGeneration += 1; }
  CancellableTimer(const CancellableTimer &) = delete;
  CancellableTimer &operator=(const CancellableTimer &) = delete;

  /// \p Callback must not own the object that owns this timer.
  void set(absl::Duration Delay, std::function<void()> Callback) {
    *this->LatestGeneration += 1;
    this->Timer.expires_after(absl::ToChronoNanoseconds(Delay));
    this->Timer.async_wait([LatestGeneration = this->LatestGeneration,
                            Generation = *this->LatestGeneration,
                            Callback = std::move(Callback)](
                               const boost::system::error_code &Error) {
      if (!Error && *LatestGeneration == Generation)
        Callback();
    });
  }

  void cancel() {
    *this->LatestGeneration += 1;
    this->Timer.cancel();
  }

private:
  boost::asio::steady_timer Timer;
  /// Incremented by each call of set() and cancel().
  std::shared_ptr<int64_t> LatestGeneration = std::make_shared<int64_t>(0);
};

} // namespace berylramp

#endif // BERYLRAMP_SERVING_CANCELLABLE_TIMER_H
