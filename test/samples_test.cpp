//===- samples_test.cpp - Runs every numbered sample ----------------------===//

#include "berylramp/policy.h"
#include "berylramp/settings.h"
#include "berylramp/table.h"

#include <catch2/catch.hpp>

namespace berylramp {
namespace {

const OperatorKeys Keys{{"sample-operator-key"}};

/// The table after sample 01 and, when named, one more sample.
ConfigState tableAfter(const std::string &Sample) {
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
    Edit Which;
    Which.Id = EditId(File);
    Which.Author = "sample";
    Which.BaseOffset = State.Applied;
    Which.Changes = *Changes;
    foldConfig(State, State.Applied + Offset(1), absl::UnixEpoch(),
               encodeEdit(Which, Keys), Keys);
    const EditOutcome *Outcome = findOutcome(State, Which.Id);
    REQUIRE(Outcome != nullptr);
    CAPTURE(File, Outcome->Reason);
    REQUIRE(Outcome->Verdict == EditVerdict::Accepted);
  }
  return State;
}

VersionKey reportVersion(const char *Name) {
  return VersionKey{ModelId("report-llm"), VersionId(Name)};
}

IneligibilityReason judge(const Table &Rows, const VersionKey &Key, int Draw,
                          bool IsDetached) {
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

// Verifies that the first table allows what it names and nothing else.
TEST_CASE("Sample 01 allows each workspace its models") {
  ConfigState State = tableAfter("");
  const Table &Rows = *State.Compiled;
  CHECK(judge(Rows, reportVersion("small-1"), 0, false) ==
        IneligibilityReason::None);
  CHECK(judge(Rows, VersionKey{ModelId("tag-llm"), VersionId("tag-1")}, 0,
              false) == IneligibilityReason::NotAllowed);
  CHECK(Rows.Limits.at(WorkspaceId("council")).RequestsPerSecond == 100);
}

// Verifies that the candidate takes 5 in 100, and none on a detached host.
TEST_CASE("Sample 02 gives its candidate five percent") {
  ConfigState State = tableAfter("02-a-rollout");
  const Table &Rows = *State.Compiled;
  VersionKey Candidate = reportVersion("small-2");
  CHECK(judge(Rows, Candidate, 4, false) == IneligibilityReason::None);
  CHECK(judge(Rows, Candidate, 5, false) ==
        IneligibilityReason::CandidateNotDrawn);
  CHECK(judge(Rows, Candidate, 4, true) != IneligibilityReason::None);
  CHECK(nextRolloutPercent(Rows.Rollouts.at(ModelId("report-llm")), 200) == 25);
}

// Verifies that the withdrawn version is out and its sessions move.
TEST_CASE("Sample 03 withdraws a version and hands its sessions on") {
  ConfigState State = tableAfter("03-a-withdrawal");
  const Table &Rows = *State.Compiled;
  VersionKey Gone = reportVersion("small-1");
  CHECK(judge(Rows, Gone, 0, false) == IneligibilityReason::Withdrawn);
  CHECK(followReplacement(Rows, Gone) == reportVersion("large-1"));
}

// Verifies that one kind may run once and the other may be repeated.
TEST_CASE("Sample 04 tells orders from calls that may be repeated") {
  ConfigState State = tableAfter("04-orders");
  const Table &Rows = *State.Compiled;
  CHECK_FALSE(Rows.Kinds.at(RequestKindId("road-closure")).Idempotent);
  CHECK(Rows.Kinds.at(RequestKindId("order-status")).Idempotent);
}

// Verifies that the cheapest plan for the kind is a cascade, and that without
// the rater it is the dear version alone.
TEST_CASE("Sample 05 is served by a cascade") {
  ConfigState State = tableAfter("05-a-cascade");
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
  Plan Made = makePlan(PlanPolicy::Cascade, Input);
  CHECK(Made.IsCascade);
  CHECK(Made.InitialVersion == reportVersion("small-1"));
  CHECK(Made.EscalationVersion == reportVersion("large-1"));
  Input.RaterAvailable = false;
  CHECK(makePlan(PlanPolicy::Cascade, Input).InitialVersion ==
        reportVersion("large-1"));
}

} // namespace
} // namespace berylramp
