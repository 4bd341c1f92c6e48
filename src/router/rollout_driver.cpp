//===- rollout_driver.cpp - Steps roll-outs and appends holds -------------===//
//
// The evidence for a step is the fleet's ratings since the step began, as this
// host has heard them. A host that heard of the step later waits longer; that
// only makes a roll-out slower.
//
//===----------------------------------------------------------------------===//

#include "rollout_driver.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr absl::Duration DriveEvery = absl::Milliseconds(500);

} // namespace

RolloutDriver::RolloutDriver(RouterParts &Parts) : Parts(Parts) {}

void RolloutDriver::start() {
  this->Ticking =
      this->Parts.Context.Timer.every(DriveEvery, [this] { this->tick(); });
}

void RolloutDriver::stop() { this->Parts.Context.Timer.cancel(this->Ticking); }

void RolloutDriver::tick() {
  ConfigView View = this->Parts.Config.view();
  this->holdTripped(View);
  this->holdByFleet(View);
  if (this->Parts.Fleet.freshness() == Freshness::Fresh)
    this->stepRollouts(View);
}

void RolloutDriver::append(const Edit &Which) {
  ConfigView View = this->Parts.Config.view();
  if (findOutcome(*View.State, Which.Id) != nullptr)
    return;
  absl::StatusOr<Offset> At = this->Parts.Context.Ports.Log.Append(
      ConfigStream,
      encodeEdit(Which,
                 OperatorKeys{this->Parts.Context.Settings.OperatorKeys}));
  if (!At.ok())
    this->Parts.Context.Counts.count(Counter::LogAppendFailures);
  Json::Value Fields;
  Fields["edit"] = Which.Id.text();
  Fields["note"] = Which.Note;
  logEvent(LogLevel::Warn, "edit_by_fleet", Fields);
}

void RolloutDriver::holdTripped(const ConfigView &View) {
  const Table &Rows = *View.State->Compiled;
  // Only the hosts that tripped write the hold; the others heard of it.
  for (const VersionTrip &Trip : this->Parts.Ratings.trips()) {
    auto Found = Rows.Versions.find(Trip.Version);
    if (Found == Rows.Versions.end())
      continue;
    VersionState State = Found->second.State;
    bool IsOpen =
        State == VersionState::Candidate || State == VersionState::Serving;
    if (!IsOpen)
      continue;
    this->append(makeHold(Trip.Version, Trip.Run, Trip.Evidence, *View.State));
  }
}

void RolloutDriver::holdByFleet(const ConfigView &View) {
  const Table &Rows = *View.State->Compiled;
  std::shared_ptr<const FleetSummary> Summary = this->Parts.Fleet.summary();
  for (const RatingTally &Sum : Summary->RatingsByRun) {
    auto Kind = Rows.Kinds.find(Sum.Kind);
    auto Version = Rows.Versions.find(Sum.Version);
    auto Rollout = Rows.Rollouts.find(Sum.Version.Model);
    bool IsCurrent = Kind != Rows.Kinds.end() &&
                     Version != Rows.Versions.end() &&
                     Rollout != Rows.Rollouts.end() &&
                     Rollout->second.Candidate == Sum.Version.Version &&
                     Rollout->second.Run == Sum.Run &&
                     Version->second.State == VersionState::Candidate;
    if (!IsCurrent)
      continue;
    double Baseline =
        std::min(Kind->second.RequiredGoodShare, Version->second.ExpectedShare);
    if (evidenceOf(Sum.Good, Sum.Rated, Baseline) < TripEvidence)
      continue;
    std::string Why =
        absl::StrCat(Sum.Kind.text(), " in the whole fleet: ", Sum.Good,
                     " good of ", Sum.Rated);
    this->append(makeHold(Sum.Version, Sum.Run, Why, *View.State));
  }
}

int64_t RolloutDriver::ratedOf(const Table &Rows, const VersionKey &Key) const {
  int64_t Sum = 0;
  for (const auto &[Kind, Row] : Rows.Kinds)
    Sum += ratingsOf(*this->Parts.Fleet.summary(), Kind, Key).Rated;
  return Sum;
}

void RolloutDriver::stepRollouts(const ConfigView &View) {
  const Table &Rows = *View.State->Compiled;
  std::vector<VersionTrip> Trips = this->Parts.Fleet.summary()->Trips;
  for (const auto &[Model, Row] : Rows.Rollouts) {
    VersionKey Key{Model, Row.Candidate};
    auto Version = Rows.Versions.find(Key);
    bool IsCandidate = Version != Rows.Versions.end() &&
                       Version->second.State == VersionState::Candidate;
    VersionTrip Wanted{Key, Row.Run, ""};
    bool IsTripped =
        std::find(Trips.begin(), Trips.end(), Wanted) != Trips.end();
    if (!IsCandidate || IsTripped)
      continue;
    int64_t Rated = this->ratedOf(Rows, Key);
    StepStart &Start = this->Steps[Model];
    // Tallies are halved now and then; a count that fell starts anew.
    if (Start.Percent != Row.Percent || Start.Run != Row.Run ||
        Rated < Start.Rated)
      Start = StepStart{Row.Percent, Row.Run, Rated};
    int Next = nextRolloutPercent(Row, Rated - Start.Rated);
    if (Next >= 0)
      this->append(makeRolloutStep(Row, Next, View.State->Applied));
  }
}

} // namespace berylramp::internal
