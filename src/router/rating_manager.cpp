//===- rating_manager.cpp - Ratings and trip tests of versions ------------===//
//
// A slow rater occupies one worker per pending answer, so many workers are
// allowed. They are started only when the queue grows.
//
//===----------------------------------------------------------------------===//

#include "rating_manager.h"

#include "absl/strings/str_format.h"
#include <algorithm>
#include <cmath>

namespace berylramp::internal {

namespace {

constexpr size_t MaxWorkers = 64;
constexpr size_t MaxQueuedJobs = 2000;
constexpr absl::Duration BackgroundRatingTimeout = absl::Seconds(40);
constexpr absl::Duration RatingAttemptTimeout = absl::Seconds(1);
constexpr int MaxConsecutiveFailures = 3;
/// Tallies are halved above this count, so that old ratings lose weight.
constexpr double MaxTallyCount = 400;
constexpr double RatingTimeSmoothing = 0.2;

} // namespace

RatingManager::RatingManager(RouterContext &Context) : Context(Context) {}

void RatingManager::start(std::function<void(const VersionTrip &)> Callback) {
  this->OnTrip = std::move(Callback);
}

void RatingManager::stop() {
  std::vector<std::unique_ptr<Worker>> StoppingWorkers;
  {
    MutexLock Guard(&this->Lock);
    this->Stopping = true;
    StoppingWorkers.swap(this->Workers);
  }
  for (std::unique_ptr<Worker> &StoppingWorker : StoppingWorkers)
    StoppingWorker->stop();
}

void RatingManager::submit(Job RatedJob) {
  MutexLock Guard(&this->Lock);
  if (this->Stopping || this->Jobs.size() >= MaxQueuedJobs) {
    int &Count = this->UnratedCounts[RatedJob.Query.Version];
    Count = std::max(0, Count - 1);
    return;
  }
  this->Jobs.push_back(std::move(RatedJob));
  bool HasIdleWorker = this->Jobs.size() <= 1 && !this->Workers.empty();
  if (HasIdleWorker || this->Workers.size() >= MaxWorkers)
    return;
  this->Workers.push_back(std::make_unique<Worker>());
  this->Workers.back()->start([this] { this->runWorker(); });
}

bool RatingManager::nextJob(Job &Result) {
  MutexLock Guard(&this->Lock);
  auto Ready = [this] { return this->Stopping || !this->Jobs.empty(); };
  this->Lock.await(Ready);
  if (this->Stopping)
    return false;
  Result = std::move(this->Jobs.front());
  this->Jobs.pop_front();
  return true;
}

void RatingManager::runWorker() {
  Job RatedJob;
  while (this->nextJob(RatedJob)) {
    absl::StatusOr<Rating> Result = this->rateInBackground(RatedJob);
    if (Result.ok())
      this->recordScore(RatedJob, Result->Score);
    this->releaseUnrated(RatedJob.Query.Version);
  }
}

/// Calls the rater with short timeouts, so that a slow rater does not delay
/// stop().
absl::StatusOr<Rating> RatingManager::rateInBackground(const Job &RatedJob) {
  Instant StartTime = this->Context.Timer.now();
  absl::StatusOr<Rating> Result =
      absl::UnavailableError("the rater returned no rating");
  while (!Result.ok() &&
         this->Context.Timer.now() - StartTime < BackgroundRatingTimeout) {
    {
      MutexLock Guard(&this->Lock);
      if (this->Stopping)
        break;
    }
    Instant AttemptStart = this->Context.Timer.now();
    Result =
        this->Context.Ports.Rater.Rate(RatedJob.Query, RatingAttemptTimeout);
    // Waits out the rest of the attempt, so that a rater that fails immediately
    // is not called in a tight loop.
    absl::Duration CallDuration = this->Context.Timer.now() - AttemptStart;
    if (!Result.ok() && CallDuration < RatingAttemptTimeout)
      this->waitUnlessStopping(RatingAttemptTimeout - CallDuration);
  }
  return Result;
}

void RatingManager::waitUnlessStopping(absl::Duration MaxWait) const {
  MutexLock Guard(&this->Lock);
  this->Lock.awaitWithTimeout([this] { return this->Stopping; }, MaxWait);
}

absl::StatusOr<Rating> RatingManager::rateNow(const Job &RatedJob,
                                              absl::Duration Timeout) {
  Instant StartTime = this->Context.Timer.now();
  absl::StatusOr<Rating> Result =
      this->Context.Ports.Rater.Rate(RatedJob.Query, Timeout);
  this->recordRaterOutcome(Result.ok(), this->Context.Timer.now() - StartTime);
  if (Result.ok())
    this->recordScore(RatedJob, Result->Score);
  return Result;
}

void RatingManager::recordRaterOutcome(bool HasAnswered,
                                       absl::Duration CallDuration) {
  this->ConsecutiveFailures = HasAnswered ? 0 : this->ConsecutiveFailures + 1;
  double Average = static_cast<double>(this->AverageRatingMicros);
  double Sample = static_cast<double>(absl::ToInt64Microseconds(CallDuration));
  this->AverageRatingMicros =
      std::llround(Average + RatingTimeSmoothing * (Sample - Average));
}

void RatingManager::recordScore(const Job &RatedJob, double Score) {
  this->Context.Counts.count(Counter::RatingsReceived);
  bool IsGood = Score >= RatedJob.MinGoodScore;
  const RatingQuery &Query = RatedJob.Query;
  VersionTrip Trip{Query.Version, RatedJob.Run, ""};
  {
    MutexLock Guard(&this->Lock);
    Tally &Sum =
        this->Tallies[TallyKey{Query.Kind, Query.Version, RatedJob.Run}];
    Sum.Good += IsGood ? 1 : 0;
    Sum.Rated += 1;
    if (Sum.Rated > MaxTallyCount)
      Sum = Tally{Sum.Good / 2, Sum.Rated / 2};
    RunState &Run = this->Runs[RunKey{Query.Version, RatedJob.Run}];
    ++Run.Rated;
    VersionQualityTest &Test = Run.Tests[Query.Kind];
    recordRating(Test, IsGood, RatedJob.AgreedShare);
    if (Run.Tripped || !isTripped(Test))
      return;
    Run.Tripped = true;
    Trip.Evidence =
        absl::StrFormat("%s: %d good, %d bad, evidence %.1f", Query.Kind.text(),
                        Test.Good, Test.Bad, Test.Evidence);
    this->Trips.push_back(Trip);
  }
  this->Context.Counts.count(Counter::HoldsTripped);
  if (this->OnTrip)
    this->OnTrip(Trip);
}

int RatingManager::unratedCount(const VersionKey &Key) const {
  MutexLock Guard(&this->Lock);
  auto Found = this->UnratedCounts.find(Key);
  return Found == this->UnratedCounts.end() ? 0 : Found->second;
}

void RatingManager::reserveUnrated(const VersionKey &Key) {
  MutexLock Guard(&this->Lock);
  ++this->UnratedCounts[Key];
}

void RatingManager::releaseUnrated(const VersionKey &Key) {
  MutexLock Guard(&this->Lock);
  int &Count = this->UnratedCounts[Key];
  Count = std::max(0, Count - 1);
}

bool RatingManager::isRaterResponsive() const {
  return this->ConsecutiveFailures < MaxConsecutiveFailures;
}

absl::Duration RatingManager::averageRatingTime() const {
  return absl::Microseconds(this->AverageRatingMicros.load());
}

std::vector<RatingTally> RatingManager::tallies() const {
  std::vector<RatingTally> Snapshot;
  MutexLock Guard(&this->Lock);
  for (const auto &[Key, Sum] : this->Tallies)
    Snapshot.push_back(RatingTally{Key.Kind, Key.Version, Key.Run,
                                   std::llround(Sum.Good),
                                   std::llround(Sum.Rated)});
  return Snapshot;
}

std::vector<VersionTrip> RatingManager::trips() const {
  MutexLock Guard(&this->Lock);
  return this->Trips;
}

int64_t RatingManager::ratingCountInRun(const VersionKey &Key,
                                        const std::string &Run) const {
  MutexLock Guard(&this->Lock);
  auto Found = this->Runs.find(RunKey{Key, Run});
  return Found == this->Runs.end() ? 0 : Found->second.Rated;
}

} // namespace berylramp::internal
