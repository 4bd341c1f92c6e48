//===- rating_desk.cpp - Ratings and the judgement of versions ------------===//
//
// A late rater holds a worker for each answer it has, so there are many of
// them; they are started only when the queue grows.
//
//===----------------------------------------------------------------------===//

#include "rating_desk.h"

#include "absl/strings/str_format.h"
#include <algorithm>
#include <cmath>

namespace berylramp::internal {

namespace {

constexpr size_t MaxWorkers = 64;
constexpr size_t MaxJobs = 2000;
constexpr absl::Duration BackgroundWait = absl::Seconds(40);
constexpr absl::Duration TurnWait = absl::Seconds(1);
constexpr int FailuresThatSilence = 3;
/// Tallies are halved at this count, so that old ratings fade.
constexpr double TallyBound = 400;
constexpr double RatingTimeWeight = 0.2;

} // namespace

RatingDesk::RatingDesk(RouterContext &Context) : Context(Context) {}

void RatingDesk::start(std::function<void(const VersionTrip &)> Call) {
  this->OnTrip = std::move(Call);
}

void RatingDesk::stop() {
  std::vector<std::unique_ptr<Worker>> Ending;
  {
    MutexLock Hold(&this->Lock);
    this->Stopping = true;
    Ending.swap(this->Workers);
  }
  for (std::unique_ptr<Worker> &Each : Ending)
    Each->stop();
}

void RatingDesk::submit(Job Which) {
  MutexLock Hold(&this->Lock);
  if (this->Stopping || this->Jobs.size() >= MaxJobs) {
    int &Count = this->Unrated[Which.Query.Version];
    Count = std::max(0, Count - 1);
    return;
  }
  this->Jobs.push_back(std::move(Which));
  bool HasIdle = this->Jobs.size() <= 1 && !this->Workers.empty();
  if (HasIdle || this->Workers.size() >= MaxWorkers)
    return;
  this->Workers.push_back(std::make_unique<Worker>());
  this->Workers.back()->start([this] { this->work(); });
}

bool RatingDesk::nextJob(Job &Out) {
  MutexLock Hold(&this->Lock);
  auto Ready = [this] { return this->Stopping || !this->Jobs.empty(); };
  this->Lock.await(Ready);
  if (this->Stopping)
    return false;
  Out = std::move(this->Jobs.front());
  this->Jobs.pop_front();
  return true;
}

void RatingDesk::work() {
  Job Which;
  while (this->nextJob(Which)) {
    absl::StatusOr<Rating> Found = this->rateLate(Which);
    if (Found.ok())
      this->take(Which, Found->Score);
    this->releaseUnrated(Which.Query.Version);
  }
}

/// Asks in short turns, so that a late rater does not hold up a stop.
absl::StatusOr<Rating> RatingDesk::rateLate(const Job &Which) {
  Instant Began = this->Context.Timer.now();
  absl::StatusOr<Rating> Found = absl::UnavailableError("not rated");
  while (!Found.ok() && this->Context.Timer.now() - Began < BackgroundWait) {
    {
      MutexLock Hold(&this->Lock);
      if (this->Stopping)
        break;
    }
    Instant Asked = this->Context.Timer.now();
    Found = this->Context.Ports.Rater.Rate(Which.Query, TurnWait);
    // A rater that refuses at once is not asked in a tight loop.
    absl::Duration Took = this->Context.Timer.now() - Asked;
    if (!Found.ok() && Took < TurnWait)
      this->pause(TurnWait - Took);
  }
  return Found;
}

void RatingDesk::pause(absl::Duration For) const {
  MutexLock Hold(&this->Lock);
  this->Lock.awaitFor([this] { return this->Stopping; }, For);
}

absl::StatusOr<Rating> RatingDesk::rateNow(const Job &Which,
                                           absl::Duration Wait) {
  Instant Began = this->Context.Timer.now();
  absl::StatusOr<Rating> Found =
      this->Context.Ports.Rater.Rate(Which.Query, Wait);
  this->noteRater(Found.ok(), this->Context.Timer.now() - Began);
  if (Found.ok())
    this->take(Which, Found->Score);
  return Found;
}

void RatingDesk::noteRater(bool Answered, absl::Duration Took) {
  this->FailuresInRow = Answered ? 0 : this->FailuresInRow + 1;
  double Before = static_cast<double>(this->RatingMicros);
  double Now = static_cast<double>(absl::ToInt64Microseconds(Took));
  this->RatingMicros = std::llround(Before + RatingTimeWeight * (Now - Before));
}

void RatingDesk::take(const Job &Which, double Score) {
  this->Context.Counts.count(Counter::RatingsReceived);
  bool IsGood = Score >= Which.Quality;
  const RatingQuery &Query = Which.Query;
  VersionTrip Trip{Query.Version, Which.Run, ""};
  {
    MutexLock Hold(&this->Lock);
    Tally &Sum = this->Tallies[PairKey{Query.Kind, Query.Version, Which.Run}];
    Sum.Good += IsGood ? 1 : 0;
    Sum.Rated += 1;
    if (Sum.Rated > TallyBound)
      Sum = Tally{Sum.Good / 2, Sum.Rated / 2};
    RunState &Run = this->Runs[RunKey{Query.Version, Which.Run}];
    ++Run.Rated;
    VersionQualityTest &Test = Run.Tests[Query.Kind];
    recordRating(Test, IsGood, Which.AgreedShare);
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

int RatingDesk::unrated(const VersionKey &Key) const {
  MutexLock Hold(&this->Lock);
  auto Found = this->Unrated.find(Key);
  return Found == this->Unrated.end() ? 0 : Found->second;
}

void RatingDesk::reserveUnrated(const VersionKey &Key) {
  MutexLock Hold(&this->Lock);
  ++this->Unrated[Key];
}

void RatingDesk::releaseUnrated(const VersionKey &Key) {
  MutexLock Hold(&this->Lock);
  int &Count = this->Unrated[Key];
  Count = std::max(0, Count - 1);
}

bool RatingDesk::raterAnswers() const {
  return this->FailuresInRow < FailuresThatSilence;
}

absl::Duration RatingDesk::ratingTime() const {
  return absl::Microseconds(this->RatingMicros.load());
}

std::vector<RatingTally> RatingDesk::tallies() const {
  std::vector<RatingTally> Out;
  MutexLock Hold(&this->Lock);
  for (const auto &[Key, Sum] : this->Tallies)
    Out.push_back(RatingTally{Key.Kind, Key.Version, Key.Run,
                              std::llround(Sum.Good), std::llround(Sum.Rated)});
  return Out;
}

std::vector<VersionTrip> RatingDesk::trips() const {
  MutexLock Hold(&this->Lock);
  return this->Trips;
}

int64_t RatingDesk::ratedInRun(const VersionKey &Key,
                               const std::string &Run) const {
  MutexLock Hold(&this->Lock);
  auto Found = this->Runs.find(RunKey{Key, Run});
  return Found == this->Runs.end() ? 0 : Found->second.Rated;
}

} // namespace berylramp::internal
