//===- rating_desk.h - Ratings and the judgement of versions ----*- C++ -*-===//
//
// Hands answers to the rater in the background, keeps tallies and sequential
// tests, and trips a version on this host alone when its answers turned bad.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_RATING_DESK_H
#define BERYLRAMP_SRC_ROUTER_RATING_DESK_H

#include "berylramp/fleet.h"
#include "berylramp/sync.h"
#include "context.h"
#include "worker.h"
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

namespace berylramp::internal {

class RatingDesk {
public:
  /// An answer together with what the table agreed for its kind.
  struct Job {
    RatingQuery Query;
    double Quality = 0;
    double AgreedShare = 0;
    /// The roll-out's run for a candidate, else the version's own.
    std::string Run;
  };

  explicit RatingDesk(RouterContext &Context);

  /// \p OnTrip is called once for each version and run that trips here.
  void start(std::function<void(const VersionTrip &)> OnTrip);
  void stop();

  /// Queues an answer for rating; a full queue drops it.
  void submit(Job Which);
  /// Rates at once; an error when the rater did not answer in time.
  absl::StatusOr<Rating> rateNow(const Job &Which, absl::Duration Wait);

  /// Candidate answers not yet rated on this host.
  int unrated(const VersionKey &Key) const;
  void reserveUnrated(const VersionKey &Key);
  void releaseUnrated(const VersionKey &Key);

  bool raterAnswers() const;
  absl::Duration ratingTime() const;
  std::vector<RatingTally> tallies() const;
  std::vector<VersionTrip> trips() const;
  /// Ratings of a version in a run, under all kinds.
  int64_t ratedInRun(const VersionKey &Key, const std::string &Run) const;

private:
  struct PairKey {
    RequestKindId Kind;
    VersionKey Version;
    std::string Run;
    friend bool operator<(const PairKey &A, const PairKey &B) {
      return std::tie(A.Kind, A.Version, A.Run) <
             std::tie(B.Kind, B.Version, B.Run);
    }
  };
  struct RunKey {
    VersionKey Version;
    std::string Run;
    friend bool operator<(const RunKey &A, const RunKey &B) {
      return A.Version == B.Version ? A.Run < B.Run : A.Version < B.Version;
    }
  };
  struct Tally {
    double Good = 0;
    double Rated = 0;
  };
  /// The sequential tests of one version in one run, by request kind.
  struct RunState {
    std::map<RequestKindId, VersionQualityTest> Tests;
    int64_t Rated = 0;
    bool Tripped = false;
  };

  void work();
  bool nextJob(Job &Out);
  absl::StatusOr<Rating> rateLate(const Job &Which);
  void pause(absl::Duration For) const;
  void take(const Job &Which, double Score);
  void noteRater(bool Answered, absl::Duration Took);

  RouterContext &Context;
  std::function<void(const VersionTrip &)> OnTrip;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::atomic<int> FailuresInRow{0};
  std::atomic<int64_t> RatingMicros{0};

  mutable Mutex Lock;
  std::deque<Job> Jobs;
  bool Stopping = false;
  std::map<PairKey, Tally> Tallies;
  std::map<RunKey, RunState> Runs;
  std::vector<VersionTrip> Trips;
  std::map<VersionKey, int> Unrated;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_RATING_DESK_H
