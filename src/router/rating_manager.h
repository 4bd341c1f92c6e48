//===- rating_manager.h - Ratings and trip tests of versions ----*- C++ -*-===//
//
// Submits answers to the rater in the background, keeps tallies and sequential
// tests per version, and trips a version on this host alone when its answers
// turn bad.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_RATING_MANAGER_H
#define BERYLRAMP_SRC_ROUTER_RATING_MANAGER_H

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

class RatingManager {
public:
  /// An answer to be rated, with the minimum score of a good answer and the
  /// share of good answers against which its version is tested.
  struct Job {
    RatingQuery Query;
    double MinGoodScore = 0;
    double AgreedShare = 0;
    /// The run of the roll-out for a candidate, else the serving run.
    std::string Run;
  };

  explicit RatingManager(RouterContext &Context);

  /// Calls \p OnTrip once for each version and run that trips on this host.
  void start(std::function<void(const VersionTrip &)> OnTrip);
  void stop();

  /// Queues an answer for rating; drops it when the queue is full.
  void submit(Job RatedJob);
  /// Rates an answer synchronously; an error when the rater does not answer
  /// within \p Timeout.
  absl::StatusOr<Rating> rateNow(const Job &RatedJob, absl::Duration Timeout);

  /// Number of answers of a version that are not yet rated on this host.
  int unratedCount(const VersionKey &Key) const;
  void reserveUnrated(const VersionKey &Key);
  void releaseUnrated(const VersionKey &Key);

  /// False after several consecutive failures of rateNow().
  bool isRaterResponsive() const;
  /// Moving average of the duration of rateNow().
  absl::Duration averageRatingTime() const;
  std::vector<RatingTally> tallies() const;
  std::vector<VersionTrip> trips() const;
  /// Number of ratings of a version in a run, over all request kinds.
  int64_t ratingCountInRun(const VersionKey &Key, const std::string &Run) const;

private:
  struct TallyKey {
    RequestKindId Kind;
    VersionKey Version;
    std::string Run;
    friend bool operator<(const TallyKey &A, const TallyKey &B) {
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

  void runWorker();
  bool nextJob(Job &Result);
  absl::StatusOr<Rating> rateInBackground(const Job &RatedJob);
  void waitUnlessStopping(absl::Duration MaxWait) const;
  void recordScore(const Job &RatedJob, double Score);
  void recordRaterOutcome(bool HasAnswered, absl::Duration CallDuration);

  RouterContext &Context;
  std::function<void(const VersionTrip &)> OnTrip;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::atomic<int> ConsecutiveFailures{0};
  std::atomic<int64_t> AverageRatingMicros{0};

  mutable Mutex Lock;
  std::deque<Job> Jobs;
  bool Stopping = false;
  std::map<TallyKey, Tally> Tallies;
  std::map<RunKey, RunState> Runs;
  std::vector<VersionTrip> Trips;
  std::map<VersionKey, int> UnratedCounts;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_RATING_MANAGER_H
