//===- samples_test.cpp - Tests the numbered samples ----------------------===//

#include "berylramp/policy.h"
#include "berylramp/settings.h"
#include "berylramp/table.h"

#include <catch2/catch.hpp>

namespace berylramp {
namespace {

const OperatorKeys Keys{{"sample-operator-key"}};

/// The configuration after sample 01 and, unless empty, \p Sample.
ConfigState foldSample(const std::string &Sample) {
  ConfigState State = emptyConfig();
  std::vector<std::string> Files = {"01-first-table/table.csv"};
  if (!Sample.empty())
    Files.push_back(Sample + "/changes.csv");
  for (const std::string &File : Files) {
    absl::StatusOr<std::string> Csv =
        readFile(std::string(BERYLRAMP_SAMPLES) + "/" + File);
    REQUIRE(Csv.ok());
    absl::StatusOr<std::vector<CellChange>> Changes = changesFromCsv(*Csv);
    REQUIRE(Changes.ok());
    Edit SampleEdit;
    SampleEdit.Id = EditId(File);
    SampleEdit.Author = "sample";
    SampleEdit.BaseOffset = State.Applied;
    SampleEdit.Changes = *Changes;
    foldConfig(State, State.Applied + Offset(1), absl::UnixEpoch(),
               encodeEdit(SampleEdit, Keys), Keys);
    const EditOutcome *Outcome = findOutcome(State, SampleEdit.Id);
    REQUIRE(Outcome != nullptr);
    CAPTURE(File, Outcome->Reason);
    REQUIRE(Outcome->Verdict == EditVerdict::Accepted);
  }
  return State;
}

VersionKey reportVersion(const char *Name) {
  return VersionKey{ModelId("report-llm"), VersionId(Name)};
}

IneligibilityReason evaluateVersion(const Table &Rows, const VersionKey &Key,
                                    int Draw, bool IsDetached) {
  EligibilityInput Input;
  Input.Workspace = WorkspaceId("council");
  Input.RolloutDraw = Draw;
  Input.IsDetached = IsDetached;
  for (const VersionEligibility &Choice : evaluateVersions(Rows, Input)) {
    if (Choice.Row->Key == Key)
      return Choice.Reason;
  }
  return IneligibilityReason::NotAllowed;
}

// Verifies that the first table allows the models that it lists and no others.
TEST_CASE("Sample 01 allows each workspace its models") {
  ConfigState State = foldSample("");
  const Table &Rows = *State.Compiled;
  CHECK(evaluateVersion(Rows, reportVersion("small-1"), 0, false) ==
        IneligibilityReason::None);
  CHECK(evaluateVersion(Rows,
                        VersionKey{ModelId("tag-llm"), VersionId("tag-1")}, 0,
                        false) == IneligibilityReason::NotAllowed);
  CHECK(Rows.Limits.at(WorkspaceId("council")).RequestsPerSecond == 100);
}

// Verifies that the candidate receives 5 % of the requests, and none on a
// detached host.
TEST_CASE("Sample 02 gives its candidate five percent") {
  ConfigState State = foldSample("02-a-rollout");
  const Table &Rows = *State.Compiled;
  VersionKey Candidate = reportVersion("small-2");
  CHECK(evaluateVersion(Rows, Candidate, 4, false) ==
        IneligibilityReason::None);
  CHECK(evaluateVersion(Rows, Candidate, 5, false) ==
        IneligibilityReason::CandidateNotDrawn);
  CHECK(evaluateVersion(Rows, Candidate, 4, true) != IneligibilityReason::None);
  CHECK(nextRolloutPercent(Rows.Rollouts.at(ModelId("report-llm")), 200) == 25);
}

// Verifies that the withdrawn version is not eligible and that its sessions
// move to the replacement.
TEST_CASE("Sample 03 withdraws a version and moves its sessions") {
  ConfigState State = foldSample("03-a-withdrawal");
  const Table &Rows = *State.Compiled;
  VersionKey WithdrawnKey = reportVersion("small-1");
  CHECK(evaluateVersion(Rows, WithdrawnKey, 0, false) ==
        IneligibilityReason::Withdrawn);
  CHECK(followReplacement(Rows, WithdrawnKey) == reportVersion("large-1"));
}

// Verifies that one request kind is non-idempotent and the other idempotent.
TEST_CASE("Sample 04 has idempotent and non-idempotent request kinds") {
  ConfigState State = foldSample("04-orders");
  const Table &Rows = *State.Compiled;
  CHECK_FALSE(Rows.Kinds.at(RequestKindId("road-closure")).Idempotent);
  CHECK(Rows.Kinds.at(RequestKindId("order-status")).Idempotent);
}

// Verifies that the cheapest plan for the request kind is a cascade, and that
// without the rater it is the more expensive version alone.
TEST_CASE("Sample 05 is served by a cascade") {
  ConfigState State = foldSample("05-a-cascade");
  const Table &Rows = *State.Compiled;
  PlanInput Input;
  Input.Kind = Rows.Kinds.at(RequestKindId("summary"));
  Input.PromptTokens = Tokens(100);
  Input.AnswerTokens = Tokens(64);
  Input.RaterAvailable = true;
  for (const char *Name : {"small-1", "large-1"})
    Input.Options.push_back(PlanOption{&Rows.Versions.at(reportVersion(Name)),
                                       QualityEstimate{}, absl::Seconds(2),
                                       absl::ZeroDuration()});
  Plan Selected = makePlan(PlanPolicy::Cascade, Input);
  CHECK(Selected.IsCascade);
  CHECK(Selected.InitialVersion == reportVersion("small-1"));
  CHECK(Selected.EscalationVersion == reportVersion("large-1"));
  Input.RaterAvailable = false;
  CHECK(makePlan(PlanPolicy::Cascade, Input).InitialVersion ==
        reportVersion("large-1"));
}

} // namespace
} // namespace berylramp
