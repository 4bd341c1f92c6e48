//===- judgement.cpp - Judging versions and stepping roll-outs ------------===//
//
// The test is a cumulative sum of log-likelihood ratios between the agreed
// share and a clearly worse one. It forgets good times, so a version that
// turns bad after long service trips as fast as a new one.
//
//===----------------------------------------------------------------------===//

#include "berylramp/policy.h"

#include "absl/strings/str_cat.h"
#include <algorithm>
#include <cmath>

namespace berylramp {

namespace {

constexpr double LeastShare = 0.05;
constexpr double MostShare = 0.99;
constexpr int WholeTraffic = 100;
constexpr const char *FleetAuthor = "berylramp";
/// Holds written for one run of a version; more edits of the row meanwhile
/// mean that operators are at work on it.
constexpr int MostHolds = 8;

/// What one rating says against the agreed share.
double stepOf(bool IsGood, double AgreedShare) {
  double Agreed = std::clamp(AgreedShare, LeastShare, MostShare);
  double Worse = Agreed * BadShareFactor;
  return IsGood ? std::log(Worse / Agreed)
                : std::log((1 - Worse) / (1 - Agreed));
}

CellChange setCell(const std::string &RowKey, const char *Field,
                   std::string Value) {
  return CellChange{RowKey, Field, std::move(Value), false};
}

} // namespace

double evidenceOf(int64_t Good, int64_t Rated, double AgreedShare) {
  return static_cast<double>(Good) * stepOf(true, AgreedShare) +
         static_cast<double>(Rated - Good) * stepOf(false, AgreedShare);
}

void addRating(VersionTest &Test, bool IsGood, double AgreedShare) {
  double Step = stepOf(IsGood, AgreedShare);
  Test.Evidence = std::max(0.0, Test.Evidence + Step);
  ++(IsGood ? Test.Good : Test.Bad);
}

bool hasTripped(const VersionTest &Test) {
  return Test.Evidence >= TripEvidence;
}

int candidateRoom(int FleetWide, size_t LiveHosts) {
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

Edit makeRolloutStep(const RolloutRow &Row, int NextPercent, Offset Base) {
  std::string Name = Row.Model.text() + "/" + Row.Candidate.text();
  Edit Out;
  Out.Id =
      EditId(absl::StrCat("rollout:", Name, ":", Row.Run, ":", NextPercent));
  Out.Author = FleetAuthor;
  Out.BaseOffset = Base;
  Out.Note = absl::StrCat("roll-out step from ", Row.Percent, " to ",
                          NextPercent, " percent");
  Out.Changes.push_back(setCell("rollout/" + Row.Model.text(), "percent",
                                absl::StrCat(NextPercent)));
  if (NextPercent == WholeTraffic)
    Out.Changes.push_back(setCell("version/" + Name, "state", "serving"));
  return Out;
}

Edit makeHold(const VersionKey &Version, const std::string &Run,
              const std::string &Evidence, const ConfigState &State) {
  Edit Out;
  Out.Id = EditId(absl::StrCat("hold:", Version.text(), ":", Run));
  // A hold that lost to another edit of the row is written again.
  for (int Try = 2; Try <= MostHolds; ++Try) {
    const EditOutcome *Last = findOutcome(State, Out.Id);
    if (Last == nullptr || Last->Verdict != EditVerdict::Conflict)
      break;
    Out.Id = EditId(absl::StrCat("hold:", Version.text(), ":", Run, ":", Try));
  }
  Out.Author = FleetAuthor;
  Out.BaseOffset = State.Applied;
  Out.Note = "held: " + Evidence;
  Out.Changes.push_back(setCell("version/" + Version.text(), "state", "held"));
  return Out;
}

} // namespace berylramp
