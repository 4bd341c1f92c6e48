//===- quarantine.h - Prompt segments that end engines ----------*- C++ -*-===//
//
// Finds prompt segments under which one engine after another ends, from reports
// of all hosts. Performs no I/O and reads no clock.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_QUARANTINE_H
#define BERYLRAMP_QUARANTINE_H

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "berylramp/timer.h"
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace berylramp {

/// A replica ended when it had just begun, or was about to begin, an answer to
/// a prompt with these segments.
struct PromptCrash {
  /// Hash of the replica's id.
  uint64_t Replica = 0;
  /// Ids of the segments that other requests may share, in the prompt's order.
  std::vector<uint64_t> Segments;
};

class PromptQuarantine {
public:
  /// Returns the segment that \p Crash puts into quarantine, if any.
  std::optional<uint64_t> onCrash(const PromptCrash &Crash, Instant Now);
  /// A replica that received a request at \p SentAt wrote its answer for a
  /// while, or completely.
  void onAnswered(const std::vector<uint64_t> &Segments, Instant SentAt);
  /// Adds a segment that another host found; false when it was in quarantine.
  bool add(uint64_t Segment, Instant Now);
  void release(uint64_t Segment);

  /// Remaining time for which prompts with these segments are refused; zero
  /// when they are not.
  absl::Duration refusedFor(const std::vector<uint64_t> &Segments,
                            Instant Now) const;
  /// Whether repeating a request with these segments may end another replica.
  bool isSuspect(const std::vector<uint64_t> &Segments) const;
  std::vector<uint64_t> segments() const;

private:
  struct Suspect {
    Instant FirstAt;
    Instant CountedAt;
    int Crashes = 0;
    std::set<uint64_t> Replicas;
    /// Crashes that were counted together with another segment.
    absl::flat_hash_map<uint64_t, int> Shared;
  };
  void count(uint64_t Segment, const PromptCrash &Crash, Instant Now);
  bool explainsCrashesAlone(uint64_t Segment, const Suspect &Candidate) const;
  void dropOldest();

  absl::flat_hash_map<uint64_t, Suspect> Suspects;
  /// When the quarantine of a segment ends. A later crash renews it at once.
  absl::flat_hash_map<uint64_t, Instant> EndsAt;
};

} // namespace berylramp

#endif // BERYLRAMP_QUARANTINE_H
