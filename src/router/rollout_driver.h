//===- rollout_driver.h - Steps roll-outs and appends holds -----*- C++ -*-===//
//
// Any host may append the next step of a roll-out, or the hold of a version
// that tripped. The id of the edit is derived from its content, so that the
// same edit from several hosts takes effect once, and a roll-out continues when
// a process stops.
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
  void holdTrippedVersions(const ConfigView &View);
  /// Holds a candidate based on the ratings of the whole fleet, for the case in
  /// which no single host has enough ratings of its own.
  void holdOnFleetRatings(const ConfigView &View);
  void stepRollouts(const ConfigView &View);
  void append(const Edit &Change);
  int64_t ratedCount(const Table &Rows, const VersionKey &Key) const;

  /// The state of a roll-out, and the number of ratings of its candidate, at
  /// the start of the current step.
  struct StepStart {
    int Percent = -1;
    std::string Run;
    int64_t Rated = 0;
  };

  RouterParts &Parts;
  TimerService::Subscription TickSubscription = 0;
  std::map<ModelId, StepStart> Steps;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_ROLLOUT_DRIVER_H
