//===- rollout_driver.cpp - Steps roll-outs and appends holds -------------===//
//
// The evidence for a step is the ratings of the fleet since the step began, as
// received by this host. A host that receives the step later also starts
// counting later; that only slows the roll-out down.
//
//===----------------------------------------------------------------------===//

#include "rollout_driver.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr absl::Duration TickInterval = absl::Milliseconds(500);

} // namespace

RolloutDriver::RolloutDriver(RouterParts &Parts) : Parts(Parts) {}

void RolloutDriver::start() {
  this->TickSubscription = this->Parts.Context.Timer.schedulePeriodic(
      TickInterval, [this] { this->tick(); });
}

void RolloutDriver::stop() {
  this->Parts.Context.Timer.cancel(this->TickSubscription);
}

void RolloutDriver::tick() {
  ConfigView View = this->Parts.Config.view();
  this->holdTrippedVersions(View);
  this->holdOnFleetRatings(View);
  if (this->Parts.Fleet.freshness() == Freshness::Fresh)
    this->stepRollouts(View);
}

void RolloutDriver::append(const Edit &Change) {
  ConfigView View = this->Parts.Config.view();
  if (findOutcome(*View.State, Change.Id) != nullptr)
    return;
  absl::StatusOr<Offset> At = this->Parts.Context.Ports.Log.Append(
      ConfigStream,
      encodeEdit(Change,
                 OperatorKeys{this->Parts.Context.Settings.OperatorKeys}));
  if (!At.ok())
    this->Parts.Context.Counts.count(Counter::LogAppendFailures);
  Json::Value Fields;
  Fields["edit"] = Change.Id.text();
  Fields["note"] = Change.Note;
  logEvent(LogLevel::Warn, "edit_by_fleet", Fields);
}

void RolloutDriver::holdTrippedVersions(const ConfigView &View) {
  const Table &Rows = *View.State->Compiled;
  // Only the hosts whose own ratings tripped the version append the hold; the
  // other hosts receive the trip through gossip.
  for (const VersionTrip &Trip : this->Parts.Ratings.trips()) {
    auto Found = Rows.Versions.find(Trip.Version);
    if (Found == Rows.Versions.end())
      continue;
    VersionState State = Found->second.State;
    bool CanBeHeld =
        State == VersionState::Candidate || State == VersionState::Serving;
    if (!CanBeHeld)
      continue;
    this->append(
        makeHoldEdit(Trip.Version, Trip.Run, Trip.Evidence, *View.State));
  }
}

void RolloutDriver::holdOnFleetRatings(const ConfigView &View) {
  const Table &Rows = *View.State->Compiled;
  std::shared_ptr<const FleetSummary> Summary = this->Parts.Fleet.summary();
  for (const RatingTally &Tally : Summary->RatingsByRun) {
    auto Kind = Rows.Kinds.find(Tally.Kind);
    auto Version = Rows.Versions.find(Tally.Version);
    auto Rollout = Rows.Rollouts.find(Tally.Version.Model);
    bool IsCurrent = Kind != Rows.Kinds.end() &&
                     Version != Rows.Versions.end() &&
                     Rollout != Rows.Rollouts.end() &&
                     Rollout->second.Candidate == Tally.Version.Version &&
                     Rollout->second.Run == Tally.Run &&
                     Version->second.State == VersionState::Candidate;
    if (!IsCurrent)
      continue;
    double Baseline =
        std::min(Kind->second.RequiredGoodShare, Version->second.ExpectedShare);
    if (evidenceAgainst(Tally.Good, Tally.Rated, Baseline) < TripEvidence)
      continue;
    std::string Evidence =
        absl::StrCat(Tally.Kind.text(), " in the whole fleet: ", Tally.Good,
                     " good of ", Tally.Rated);
    this->append(makeHoldEdit(Tally.Version, Tally.Run, Evidence, *View.State));
  }
}

int64_t RolloutDriver::ratedCount(const Table &Rows,
                                  const VersionKey &Key) const {
  int64_t Total = 0;
  for (const auto &[Kind, Row] : Rows.Kinds)
    Total += ratingsOf(*this->Parts.Fleet.summary(), Kind, Key).Rated;
  return Total;
}

void RolloutDriver::stepRollouts(const ConfigView &View) {
  const Table &Rows = *View.State->Compiled;
  std::vector<VersionTrip> Trips = this->Parts.Fleet.summary()->Trips;
  for (const auto &[Model, Row] : Rows.Rollouts) {
    VersionKey Key{Model, Row.Candidate};
    auto Version = Rows.Versions.find(Key);
    bool IsCandidate = Version != Rows.Versions.end() &&
                       Version->second.State == VersionState::Candidate;
    VersionTrip CandidateTrip{Key, Row.Run, ""};
    bool IsTripped =
        std::find(Trips.begin(), Trips.end(), CandidateTrip) != Trips.end();
    if (!IsCandidate || IsTripped)
      continue;
    int64_t Rated = this->ratedCount(Rows, Key);
    StepStart &Start = this->Steps[Model];
    // Tallies are halved periodically, so a lower count restarts the step.
    if (Start.Percent != Row.Percent || Start.Run != Row.Run ||
        Rated < Start.Rated)
      Start = StepStart{Row.Percent, Row.Run, Rated};
    int Next = nextRolloutPercent(Row, Rated - Start.Rated);
    if (Next >= 0)
      this->append(makeRolloutStepEdit(Row, Next, View.State->Applied));
  }
}

} // namespace berylramp::internal
