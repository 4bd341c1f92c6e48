//===- reader_health.h - Failed readers of the region -----------*- C++ -*-===//

#ifndef BERYLRAMP_EDGE_READER_HEALTH_H
#define BERYLRAMP_EDGE_READER_HEALTH_H

#include "berylramp/timer.h"
#include <cstdint>
#include <map>

namespace berylramp {

/// What a request for records to the region's reader resulted in.
enum class ReaderAnswer {
  Usable,
  /// The replica entries were too old.
  Stale,
  /// No answer arrived.
  Missing
};

/// The readers that did not serve this host.
struct ReaderHealth {
  /// When a failed reader may be selected again, by address.
  std::map<uint32_t, Instant> FailedUntil;
  /// The reader whose last answer was stale, or 0.
  uint32_t StaleReader = 0;
};

/// Records an answer of \p Reader. A reader fails when it does not answer, or
/// when two answers in a row are stale: the entries of a host that has just
/// become the reader are old until its first read.
void recordAnswer(ReaderHealth &Health, uint32_t Reader, ReaderAnswer Answer,
                  Instant Now);
bool hasFailed(const ReaderHealth &Health, uint32_t Reader, Instant Now);

} // namespace berylramp

#endif // BERYLRAMP_EDGE_READER_HEALTH_H
