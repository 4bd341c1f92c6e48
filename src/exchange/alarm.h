//===- alarm.h - A timer that can be taken back -----------------*- C++ -*-===//

#ifndef BERYLRAMP_EXCHANGE_ALARM_H
#define BERYLRAMP_EXCHANGE_ALARM_H

#include "absl/time/time.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace berylramp {

/// Until bytes that wait in a socket are read: a turn of the loop. After a
/// pause of the process an alarm may come before bytes that were sent in time.
inline constexpr absl::Duration UnreadTime = absl::Milliseconds(20);

/// Calls once after a time. A timer of the loop that has expired is queued and
/// can't be cancelled any more; one that was set anew or cancelled meanwhile
/// does not call here.
class Alarm {
public:
  explicit Alarm(boost::asio::io_context &Loop) : Clock(Loop) {}
  ~Alarm() { *this->Newest += 1; }
  Alarm(const Alarm &) = delete;
  Alarm &operator=(const Alarm &) = delete;

  /// \p Call must not keep its owner alive.
  void set(absl::Duration After, std::function<void()> Call) {
    *this->Newest += 1;
    this->Clock.expires_after(absl::ToChronoNanoseconds(After));
    this->Clock.async_wait(
        [Newest = this->Newest, Own = *this->Newest,
         Call = std::move(Call)](const boost::system::error_code &Error) {
          if (!Error && *Newest == Own)
            Call();
        });
  }

  void cancel() {
    *this->Newest += 1;
    this->Clock.cancel();
  }

private:
  boost::asio::steady_timer Clock;
  /// Number of the last call of set() or cancel().
  std::shared_ptr<int64_t> Newest = std::make_shared<int64_t>(0);
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_ALARM_H
