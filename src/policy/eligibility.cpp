//===- eligibility.cpp - Which versions a request may run on --------------===//
//
// The table decides alone, but for three things that only take away: trips by
// any host, a detached view, and candidates with too many unrated answers.
//
//===----------------------------------------------------------------------===//

#include "berylramp/policy.h"

#include <algorithm>
#include <array>

namespace berylramp {

namespace {

constexpr size_t MaxReplacements = 16;

bool contains(const std::vector<VersionKey> &Keys, const VersionKey &Key) {
  return std::find(Keys.begin(), Keys.end(), Key) != Keys.end();
}

bool isAllowed(const Table &Rows, const WorkspaceId &Workspace,
               const ModelId &Model) {
  auto Found = Rows.Allowed.find(Workspace);
  return Found != Rows.Allowed.end() && Found->second.count(Model) != 0;
}

int rolloutPercent(const Table &Rows, const VersionKey &Key) {
  auto Found = Rows.Rollouts.find(Key.Model);
  if (Found == Rows.Rollouts.end() || Found->second.Candidate != Key.Version)
    return 0;
  return Found->second.Percent;
}

Ineligible judgeCandidate(const Table &Rows, const EligibilityInput &Input,
                          const VersionKey &Key) {
  if (Input.IsDetached)
    return Ineligible::CandidateDetached;
  if (Input.RolloutDraw >= rolloutPercent(Rows, Key))
    return Ineligible::CandidateNotDrawn;
  if (contains(Input.FullCandidates, Key))
    return Ineligible::CandidateFull;
  return Ineligible::No;
}

/// What holds for new and for pinned requests alike.
Ineligible judgeAlways(const Table &Rows, const EligibilityInput &Input,
                       const VersionRow &Row) {
  if (!isAllowed(Rows, Input.Workspace, Row.Key.Model))
    return Ineligible::NotAllowed;
  if (Row.State == VersionState::Withdrawn)
    return Ineligible::Withdrawn;
  if (Input.IsDetached && Row.Detached == DetachedPolicy::Refuse)
    return Ineligible::RefusedDetached;
  return Ineligible::No;
}

Ineligible judgeNew(const Table &Rows, const EligibilityInput &Input,
                    const VersionRow &Row) {
  Ineligible Always = judgeAlways(Rows, Input, Row);
  if (Always != Ineligible::No)
    return Always;
  if (Row.State == VersionState::Held)
    return Ineligible::Held;
  if (contains(Input.Tripped, Row.Key))
    return Ineligible::Tripped;
  if (Row.State == VersionState::Candidate)
    return judgeCandidate(Rows, Input, Row.Key);
  return Ineligible::No;
}

} // namespace

const char *ineligibleName(Ineligible Why) {
  static constexpr std::array<const char *, 9> Names = {"eligible",
                                                        "not_allowed",
                                                        "withdrawn",
                                                        "held",
                                                        "tripped",
                                                        "candidate_not_drawn",
                                                        "candidate_detached",
                                                        "refused_detached",
                                                        "candidate_full"};
  return Names[static_cast<size_t>(Why)];
}

std::vector<VersionChoice> judgeVersions(const Table &Rows,
                                         const EligibilityInput &Input) {
  std::vector<VersionChoice> Out;
  Out.reserve(Rows.Versions.size());
  for (const auto &[Key, Row] : Rows.Versions)
    Out.push_back(VersionChoice{&Row, judgeNew(Rows, Input, Row)});
  return Out;
}

Ineligible judgePinned(const Table &Rows, const EligibilityInput &Input,
                       const VersionKey &Pinned) {
  auto Found = Rows.Versions.find(Pinned);
  if (Found == Rows.Versions.end())
    return Ineligible::Withdrawn;
  const VersionRow &Row = Found->second;
  if (Row.State == VersionState::Candidate && Input.IsDetached)
    return Ineligible::CandidateDetached;
  return judgeAlways(Rows, Input, Row);
}

VersionKey followReplacement(const Table &Rows, const VersionKey &From) {
  VersionKey Current = From;
  for (size_t I = 0; I < MaxReplacements; ++I) {
    auto Found = Rows.Versions.find(Current);
    if (Found == Rows.Versions.end() || Found->second.ReplacedBy.empty())
      return VersionKey{};
    Current.Version = Found->second.ReplacedBy;
    auto Next = Rows.Versions.find(Current);
    if (Next != Rows.Versions.end() &&
        Next->second.State == VersionState::Serving)
      return Current;
  }
  return VersionKey{};
}

} // namespace berylramp
