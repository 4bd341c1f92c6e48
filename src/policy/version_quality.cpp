//===- version_quality.cpp - Version quality tests and roll-out edits -----===//
//
// The test is a cumulative sum (CUSUM) of log-likelihood ratios between the
// agreed share and a degraded one. The sum is never negative, so that a version
// that degrades after a long good period trips as fast as a new one.
//
//===----------------------------------------------------------------------===//

#include "berylramp/policy.h"

#include "absl/strings/str_cat.h"
#include <algorithm>
#include <cmath>

namespace berylramp {

namespace {

constexpr double MinTestedShare = 0.05;
constexpr double MaxTestedShare = 0.99;
constexpr int FullTrafficPercent = 100;
constexpr const char *FleetAuthor = "berylramp";
/// Maximum number of hold edits for one run of a version. More conflicts mean
/// that operators are editing the row.
constexpr int MaxHoldEdits = 8;

/// Log-likelihood ratio of one rating; positive values count against the agreed
/// share.
double logLikelihoodRatio(bool IsGood, double AgreedShare) {
  double Agreed = std::clamp(AgreedShare, MinTestedShare, MaxTestedShare);
  double Worse = Agreed * BadShareFactor;
  return IsGood ? std::log(Worse / Agreed)
                : std::log((1 - Worse) / (1 - Agreed));
}

CellChange setCell(const std::string &RowKey, const char *Field,
                   std::string Value) {
  return CellChange{RowKey, Field, std::move(Value), false};
}

} // namespace

double evidenceAgainst(int64_t Good, int64_t Rated, double AgreedShare) {
  return static_cast<double>(Good) * logLikelihoodRatio(true, AgreedShare) +
         static_cast<double>(Rated - Good) *
             logLikelihoodRatio(false, AgreedShare);
}

void recordRating(VersionQualityTest &Test, bool IsGood, double AgreedShare) {
  double Step = logLikelihoodRatio(IsGood, AgreedShare);
  Test.Evidence = std::max(0.0, Test.Evidence + Step);
  ++(IsGood ? Test.Good : Test.Bad);
}

bool isTripped(const VersionQualityTest &Test) {
  return Test.Evidence >= TripEvidence;
}

int maxUnratedPerHost(int FleetWide, size_t LiveHosts) {
  int Hosts = static_cast<int>(std::max<size_t>(1, LiveHosts));
  return std::max(1, FleetWide / Hosts);
}

int nextRolloutPercent(const RolloutRow &Row, int64_t RatedSinceStep) {
  if (Row.Percent <= 0 || RatedSinceStep < Row.RatingsPerStep)
    return -1;
  for (int Step : Row.Steps) {
    if (Step > Row.Percent)
      return Step;
  }
  return -1;
}

Edit makeRolloutStepEdit(const RolloutRow &Row, int NextPercent, Offset Base) {
  std::string Name = Row.Model.text() + "/" + Row.Candidate.text();
  Edit Result;
  Result.Id =
      EditId(absl::StrCat("rollout:", Name, ":", Row.Run, ":", NextPercent));
  Result.Author = FleetAuthor;
  Result.BaseOffset = Base;
  Result.Note = absl::StrCat("roll-out step from ", Row.Percent, " to ",
                             NextPercent, " percent");
  Result.Changes.push_back(setCell("rollout/" + Row.Model.text(), "percent",
                                   absl::StrCat(NextPercent)));
  if (NextPercent == FullTrafficPercent)
    Result.Changes.push_back(setCell("version/" + Name, "state", "serving"));
  return Result;
}

Edit makeHoldEdit(const VersionKey &Version, const std::string &Run,
                  const std::string &Evidence, const ConfigState &State) {
  Edit Result;
  Result.Id = EditId(absl::StrCat("hold:", Version.text(), ":", Run));
  // A hold that conflicts with another edit of the row is issued again under a
  // new id.
  for (int Retry = 2; Retry <= MaxHoldEdits; ++Retry) {
    const EditOutcome *Last = findOutcome(State, Result.Id);
    if (Last == nullptr || Last->Verdict != EditVerdict::Conflict)
      break;
    Result.Id =
        EditId(absl::StrCat("hold:", Version.text(), ":", Run, ":", Retry));
  }
  Result.Author = FleetAuthor;
  Result.BaseOffset = State.Applied;
  Result.Note = "held: " + Evidence;
  Result.Changes.push_back(
      setCell("version/" + Version.text(), "state", "held"));
  return Result;
}

} // namespace berylramp
