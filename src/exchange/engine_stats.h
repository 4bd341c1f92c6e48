//===- engine_stats.h - Metrics of the choice of engines --------*- C++ -*-===//

#ifndef BERYLRAMP_EXCHANGE_ENGINE_STATS_H
#define BERYLRAMP_EXCHANGE_ENGINE_STATS_H

#include "berylramp/observe.h"
#include "berylramp/upstreams.h"
#include <array>
#include <map>

namespace berylramp {

/// Counts shared tokens by service, and compares expected with actual times to
/// the first token by model and data centre.
class EngineStats {
public:
  void onSent(const ServiceId &Service, const Choice &Chosen);
  void onFirstByte(const ModelId &Model, const PlaceId &Place,
                   absl::Duration Expected, absl::Duration Actual);
  std::vector<Gauge> gauges() const;

private:
  /// Upper bounds of the ratio of the actual to the expected time; the last
  /// bucket has none.
  static constexpr std::array<double, 6> Bounds = {0.5, 0.8, 1.25, 2, 4, 8};
  /// Models and data centres are few; entries beyond these are not counted.
  static constexpr size_t MaxSeries = 64;
  struct SharedTokens {
    int64_t Kept = 0;
    int64_t Read = 0;
  };
  std::map<ServiceId, SharedTokens> ByService;
  std::map<std::pair<ModelId, PlaceId>, std::array<int64_t, Bounds.size() + 1>>
      Errors;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_ENGINE_STATS_H
