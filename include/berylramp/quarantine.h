//===- quarantine.h - Requests that end replicas ----------------*- C++ -*-===//
//
// Finds requests, and segments of prompts, under which one replica after
// another ends, from reports of all hosts. Performs no I/O and reads no clock.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_QUARANTINE_H
#define BERYLRAMP_QUARANTINE_H

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "berylramp/timer.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace berylramp {

/// What may end a replica that runs a request.
struct RequestInput {
  /// Ids of the prompt's segments that other requests may share, in the
  /// prompt's order; empty for a plain service.
  std::vector<uint64_t> Segments;
  /// The same for all requests with the same path, caller and body.
  uint64_t Identity = 0;
};

/// A replica ended when it had just begun, or was about to begin, an answer.
struct InputCrash {
  /// Hash of the replica's id and start.
  uint64_t Replica = 0;
  RequestInput Input;
};

/// Refuses segments and identities of requests, which are both called inputs.
class InputQuarantine {
public:
  /// Returns the input that \p Crash puts into quarantine, if any.
  std::optional<uint64_t> onCrash(const InputCrash &Crash, Instant Now);
  /// A replica that received a request at \p SentAt wrote its answer for a
  /// while, or completely. Returns the inputs that this acquits.
  std::vector<uint64_t> onAnswered(const RequestInput &Input, Instant SentAt,
                                   Instant Now);
  /// The process with the hash \p Replica lives, although it was reported to
  /// have ended. Returns the inputs whose quarantine rested on that.
  std::vector<uint64_t> onAlive(uint64_t Replica, Instant Now);
  /// Adds an input that another host found; false when it was in quarantine.
  bool add(uint64_t Id, Instant Now);
  /// Ends the quarantine and the suspicion of an input; false if there was
  /// neither.
  bool release(uint64_t Id);

  /// Remaining time for which the request is refused; zero when it is not.
  absl::Duration refusedFor(const RequestInput &Input, Instant Now) const;
  /// Whether repeating the request may end another replica.
  bool isSuspect(const RequestInput &Input) const;
  std::vector<uint64_t> inputs() const;

private:
  struct Suspect {
    Instant FirstAt;
    Instant CountedAt;
    int Crashes = 0;
    /// When each replica ended last.
    std::map<uint64_t, Instant> Replicas;
    /// Identities of the requests that took part.
    std::set<uint64_t> Requests;
    /// Crashes that were counted together with another segment.
    absl::flat_hash_map<uint64_t, int> Shared;
  };
  Suspect &suspect(uint64_t Id, const InputCrash &Crash, Instant Now);
  void countSegment(uint64_t Segment, const InputCrash &Crash, Instant Now);
  bool explainsCrashesAlone(uint64_t Segment, const Suspect &Candidate) const;
  void dropOldest();

  struct Verdict {
    /// A later crash renews the quarantine at once.
    Instant EndsAt;
    /// When the first of the crashes was reported.
    Instant FirstAt;
    /// When each replica ended last; empty if another host found the input.
    std::map<uint64_t, Instant> Replicas;
  };
  /// Whether answers to requests with the input are still to be awaited.
  bool awaitsAnswers(uint64_t Id, const Suspect &Candidate, Instant Now) const;
  void noteAnswered(const std::vector<uint64_t> &Segments, Instant Now);

  absl::flat_hash_map<uint64_t, Suspect> Suspects;
  absl::flat_hash_map<uint64_t, Verdict> Verdicts;
  /// Segments of requests that were answered since RotatedAt, and in the
  /// interval of the same length before.
  absl::flat_hash_set<uint64_t> Answered;
  absl::flat_hash_set<uint64_t> AnsweredBefore;
  Instant RotatedAt;
  /// Observations of processes that live although they were reported to have
  /// ended.
  absl::flat_hash_map<uint64_t, int> SignsOfLife;
};

} // namespace berylramp

#endif // BERYLRAMP_QUARANTINE_H
