//===- reader_health.cpp - Failed readers of the region -------------------===//

#include "reader_health.h"

namespace berylramp {

namespace {

/// A reader that failed is not selected for this long.
constexpr absl::Duration FailedReaderTimeout = absl::Seconds(8);

} // namespace

void recordAnswer(ReaderHealth &Health, uint32_t Reader, ReaderAnswer Answer,
                  Instant Now) {
  bool IsStale = Answer == ReaderAnswer::Stale;
  bool Failed = Answer == ReaderAnswer::Missing ||
                (IsStale && Health.StaleReader == Reader);
  if (Failed)
    Health.FailedUntil[Reader] = Now + FailedReaderTimeout;
  Health.StaleReader = IsStale ? Reader : 0;
}

bool hasFailed(const ReaderHealth &Health, uint32_t Reader, Instant Now) {
  auto Found = Health.FailedUntil.find(Reader);
  return Found != Health.FailedUntil.end() && Now < Found->second;
}

} // namespace berylramp
