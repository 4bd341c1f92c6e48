//===- eligibility.cpp - Eligible versions of a request -------------------===//
//
// The table determines the eligible versions. Three conditions can only exclude
// further ones: a trip by any host, a detached view, and a candidate with too
// many unrated answers.
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

IneligibilityReason evaluateCandidate(const Table &Rows,
                                      const EligibilityInput &Input,
                                      const VersionKey &Key) {
  if (Input.IsDetached)
    return IneligibilityReason::CandidateDetached;
  if (Input.RolloutDraw >= rolloutPercent(Rows, Key))
    return IneligibilityReason::CandidateNotDrawn;
  if (contains(Input.FullCandidates, Key))
    return IneligibilityReason::CandidateFull;
  return IneligibilityReason::None;
}

/// Rules that apply to both new and pinned requests.
IneligibilityReason evaluateCommonRules(const Table &Rows,
                                        const EligibilityInput &Input,
                                        const VersionRow &Row) {
  if (!isAllowed(Rows, Input.Workspace, Row.Key.Model))
    return IneligibilityReason::NotAllowed;
  if (Row.State == VersionState::Withdrawn)
    return IneligibilityReason::Withdrawn;
  if (Input.IsDetached && Row.Detached == DetachedPolicy::Refuse)
    return IneligibilityReason::RefusedDetached;
  return IneligibilityReason::None;
}

IneligibilityReason evaluateForNewRequest(const Table &Rows,
                                          const EligibilityInput &Input,
                                          const VersionRow &Row) {
  IneligibilityReason CommonReason = evaluateCommonRules(Rows, Input, Row);
  if (CommonReason != IneligibilityReason::None)
    return CommonReason;
  if (Row.State == VersionState::Held)
    return IneligibilityReason::Held;
  if (contains(Input.Tripped, Row.Key))
    return IneligibilityReason::Tripped;
  if (Row.State == VersionState::Candidate)
    return evaluateCandidate(Rows, Input, Row.Key);
  return IneligibilityReason::None;
}

} // namespace

const char *ineligibilityReasonName(IneligibilityReason Reason) {
  static constexpr std::array<const char *, 9> Names = {"eligible",
                                                        "not_allowed",
                                                        "withdrawn",
                                                        "held",
                                                        "tripped",
                                                        "candidate_not_drawn",
                                                        "candidate_detached",
                                                        "refused_detached",
                                                        "candidate_full"};
  return Names[static_cast<size_t>(Reason)];
}

std::vector<VersionEligibility>
evaluateVersions(const Table &Rows, const EligibilityInput &Input) {
  std::vector<VersionEligibility> Result;
  Result.reserve(Rows.Versions.size());
  for (const auto &[Key, Row] : Rows.Versions)
    Result.push_back(
        VersionEligibility{&Row, evaluateForNewRequest(Rows, Input, Row)});
  return Result;
}

IneligibilityReason evaluatePinnedVersion(const Table &Rows,
                                          const EligibilityInput &Input,
                                          const VersionKey &Pinned) {
  auto Found = Rows.Versions.find(Pinned);
  if (Found == Rows.Versions.end())
    return IneligibilityReason::Withdrawn;
  const VersionRow &Row = Found->second;
  if (Row.State == VersionState::Candidate && Input.IsDetached)
    return IneligibilityReason::CandidateDetached;
  return evaluateCommonRules(Rows, Input, Row);
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
