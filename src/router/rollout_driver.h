//===- rollout_driver.h - Steps roll-outs and appends holds -----*- C++ -*-===//
//
// Any host may write the next step of a roll-out, or the hold of a version
// that tripped. The edit's id is derived from what it does, so that many hosts
// that write it make one edit, and a roll-out does not stop with a process.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_ROLLOUT_DRIVER_H
#define BERYLRAMP_SRC_ROUTER_ROLLOUT_DRIVER_H

#include "parts.h"
#include <map>

namespace berylramp::internal {

class RolloutDriver {
public:
  explicit RolloutDriver(RouterParts &Parts);
  void start();
  void stop();

private:
  void tick();
  void holdTripped(const ConfigView &View);
  /// Holds a candidate on the ratings of the whole fleet, of which each host
  /// has too few alone.
  void holdByFleet(const ConfigView &View);
  void stepRollouts(const ConfigView &View);
  void append(const Edit &Which);
  int64_t ratedOf(const Table &Rows, const VersionKey &Key) const;

  /// What a roll-out's candidate had been rated when its step began.
  struct StepStart {
    int Percent = -1;
    std::string Run;
    int64_t Rated = 0;
  };

  RouterParts &Parts;
  TimerService::Subscription Ticking = 0;
  std::map<ModelId, StepStart> Steps;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_ROLLOUT_DRIVER_H
