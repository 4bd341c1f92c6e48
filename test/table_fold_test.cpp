//===- table_fold_test.cpp - Tests the fold of edits and snapshots --------===//

#include "berylramp/table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace berylramp {
namespace {

const OperatorKeys Keys{{"operator-key"}};

CellChange setCell(const std::string &Row, const std::string &Field,
                   const std::string &Value) {
  return CellChange{Row, Field, Value, false};
}

Edit makeEdit(const std::string &Id, Offset Base,
              std::vector<CellChange> Changes) {
  Edit Result;
  Result.Id = EditId(Id);
  Result.Author = "author of " + Id;
  Result.BaseOffset = Base;
  Result.Changes = std::move(Changes);
  return Result;
}

absl::Time appendTime(int64_t At) {
  return absl::FromUnixSeconds(1700000000 + At);
}

void foldAt(ConfigState &State, int64_t At, const std::string &Data) {
  foldConfig(State, Offset(At), appendTime(At), Data, Keys);
}

EditVerdict verdictOf(const ConfigState &State, const std::string &Id) {
  const EditOutcome *Outcome = findOutcome(State, EditId(Id));
  REQUIRE(Outcome != nullptr);
  return Outcome->Verdict;
}

/// Generates a log of random edits of a few rows, with repeated records, stale
/// bases and invalid records.
std::vector<std::string> genLog() {
  int Length = *rc::gen::inRange(1, 25);
  std::vector<std::string> Log;
  for (int I = 0; I < Length; ++I) {
    int Kind = *rc::gen::inRange(0, 10);
    if (Kind == 0) {
      Log.push_back("not a record");
      continue;
    }
    if (Kind == 1 && !Log.empty()) {
      Log.push_back(Log[*rc::gen::inRange<size_t>(0, Log.size())]);
      continue;
    }
    int Row = *rc::gen::inRange(0, 3);
    int64_t Base = *rc::gen::inRange(-1, I + 1);
    Log.push_back(encodeEdit(
        makeEdit("edit-" + std::to_string(I), Offset(Base),
                 {setCell("workspace/w" + std::to_string(Row), "title",
                          std::to_string(*rc::gen::inRange(0, 5)))}),
        Keys));
  }
  return Log;
}

ConfigState foldAll(const std::vector<std::string> &Log) {
  ConfigState State = emptyConfig();
  for (size_t I = 0; I < Log.size(); ++I)
    foldAt(State, static_cast<int64_t>(I), Log[I]);
  return State;
}

// Verifies that of two edits of one row with the same base only the first one
// is accepted, and that the reason of the other one names the winner's author,
// offset and row.
TEST_CASE("TableFold accepts exactly one of two racing edits") {
  ConfigState State = emptyConfig();
  foldAt(State, 0,
         encodeEdit(makeEdit("first", NoOffset,
                             {setCell("workspace/a", "title", "x")}),
                    Keys));
  foldAt(State, 1,
         encodeEdit(makeEdit("winner", Offset(0),
                             {setCell("workspace/a", "title", "y")}),
                    Keys));
  foldAt(State, 2,
         encodeEdit(makeEdit("loser", Offset(0),
                             {setCell("workspace/a", "title", "z")}),
                    Keys));
  CHECK(verdictOf(State, "winner") == EditVerdict::Accepted);
  CHECK(verdictOf(State, "loser") == EditVerdict::Conflict);
  std::string Reason = findOutcome(State, EditId("loser"))->Reason;
  CHECK_THAT(Reason, Catch::Contains("author of winner") &&
                         Catch::Contains("offset 1") &&
                         Catch::Contains("workspace/a"));
  CHECK(State.TableRows["workspace/a"].Fields["title"] == "y");
}

// Verifies that edits of different rows with the same base do not conflict.
TEST_CASE("TableFold accepts edits of different rows from one base") {
  ConfigState State = emptyConfig();
  foldAt(State, 0,
         encodeEdit(
             makeEdit("a", NoOffset, {setCell("workspace/a", "title", "x")}),
             Keys));
  foldAt(State, 1,
         encodeEdit(
             makeEdit("b", NoOffset, {setCell("workspace/b", "title", "x")}),
             Keys));
  CHECK(verdictOf(State, "a") == EditVerdict::Accepted);
  CHECK(verdictOf(State, "b") == EditVerdict::Accepted);
}

// Verifies that the removal of a row conflicts with an edit of that row whose
// base is older than the removal.
TEST_CASE("TableFold remembers a removed row") {
  ConfigState State = emptyConfig();
  foldAt(State, 0,
         encodeEdit(
             makeEdit("add", NoOffset, {setCell("workspace/a", "title", "x")}),
             Keys));
  foldAt(State, 1,
         encodeEdit(makeEdit("remove", Offset(0),
                             {CellChange{"workspace/a", "", "", true}}),
                    Keys));
  foldAt(State, 2,
         encodeEdit(makeEdit("late", Offset(0),
                             {setCell("workspace/a", "title", "z")}),
                    Keys));
  CHECK(verdictOf(State, "late") == EditVerdict::Conflict);
  CHECK(State.Compiled->Workspaces.empty());
}

// Verifies that an edit that would make the table invalid changes nothing, and
// that its rejection lists every fault.
TEST_CASE("TableFold rejects an invalid edit and lists all faults") {
  ConfigState State = emptyConfig();
  foldAt(
      State, 0,
      encodeEdit(makeEdit("bad", NoOffset,
                          {setCell("version/m/v", "state", "flying"),
                           setCell("limit/nobody", "requests_per_second", "5"),
                           setCell("planet/x", "title", "y")}),
                 Keys));
  CHECK(verdictOf(State, "bad") == EditVerdict::Invalid);
  std::string Reason = findOutcome(State, EditId("bad"))->Reason;
  CHECK_THAT(Reason, Catch::Contains("flying") &&
                         Catch::Contains("workspace/nobody") &&
                         Catch::Contains("no such kind of row") &&
                         Catch::Contains("model/m"));
  CHECK(State.TableRows.empty());
}

// Verifies that an edit without the signature of a known operator has no
// effect.
TEST_CASE("TableFold ignores an edit signed with another key") {
  ConfigState State = emptyConfig();
  OperatorKeys OtherKeys{{"some-other-key"}};
  foldAt(State, 0,
         encodeEdit(makeEdit("forged", NoOffset,
                             {setCell("workspace/a", "title", "x")}),
                    OtherKeys));
  CHECK(State.TableRows.empty());
  CHECK(State.Applied == Offset(0));
}

// Verifies that hosts that folded the same prefix of the log have equal states,
// although one read records twice and another began with a snapshot.
TEST_CASE("TableFold gives equal states for equal prefixes") {
  rc::prop("repeats and snapshots do not change the state", [] {
    std::vector<std::string> Log = genLog();
    ConfigState Direct = foldAll(Log);
    ConfigState WithRepeats = emptyConfig();
    for (size_t I = 0; I < Log.size(); ++I) {
      foldAt(WithRepeats, static_cast<int64_t>(I), Log[I]);
      size_t Earlier = *rc::gen::inRange<size_t>(0, I + 1);
      Offset Before = WithRepeats.Applied;
      foldAt(WithRepeats, static_cast<int64_t>(Earlier), Log[Earlier]);
      RC_ASSERT(WithRepeats.Applied == Before);
    }
    RC_ASSERT(configDigest(Direct) == configDigest(WithRepeats));
    size_t SnapshotIndex = *rc::gen::inRange<size_t>(0, Log.size());
    std::vector<std::string> Prefix(
        Log.begin(), Log.begin() + static_cast<long>(SnapshotIndex) + 1);
    absl::StatusOr<ConfigState> FromSnapshot =
        decodeSnapshot(encodeSnapshot(foldAll(Prefix), Keys), Keys);
    RC_ASSERT(FromSnapshot.ok());
    for (size_t I = 0; I < Log.size(); ++I)
      foldAt(*FromSnapshot, static_cast<int64_t>(I), Log[I]);
    RC_ASSERT(configDigest(Direct) == configDigest(*FromSnapshot));
    RC_ASSERT(rowsToCsv(Direct.TableRows) ==
              rowsToCsv(FromSnapshot->TableRows));
  });
}

// Verifies that a repeated edit id keeps its first outcome.
TEST_CASE("TableFold keeps the first outcome of a repeated edit") {
  ConfigState State = emptyConfig();
  std::string Record = encodeEdit(
      makeEdit("same", NoOffset, {setCell("workspace/a", "title", "x")}), Keys);
  foldAt(State, 0, Record);
  foldAt(State, 1, Record);
  CHECK(findOutcome(State, EditId("same"))->RecordOffset == Offset(0));
  CHECK(State.Outcomes.size() == 1);
}

// Verifies that a snapshot is refused if its rows were altered or its signature
// does not match.
TEST_CASE("Snapshot with a wrong digest or signature is refused") {
  ConfigState State = emptyConfig();
  foldAt(State, 0,
         encodeEdit(
             makeEdit("a", NoOffset, {setCell("workspace/a", "title", "x")}),
             Keys));
  std::string Record = encodeSnapshot(State, Keys);
  std::string Altered = Record;
  Altered.replace(Altered.find("\"x\""), 3, "\"y\"");
  CHECK_FALSE(decodeSnapshot(Altered, Keys).ok());
  CHECK_FALSE(decodeSnapshot(Record, OperatorKeys{{"another"}}).ok());
  CHECK(decodeSnapshot(Record, Keys).ok());
}

// Verifies that no record text crashes the fold or stops its offset.
TEST_CASE("TableFold survives hostile records") {
  rc::prop("any text is a record that changes nothing", [] {
    ConfigState State = emptyConfig();
    std::string Input = *rc::gen::arbitrary<std::string>();
    foldAt(State, 0, Input);
    foldAt(State, 1,
           "{\"body\":{\"type\":\"edit\",\"changes\":" + Input + "}}");
    foldAt(State, 2, "{\"body\":" + Input + ",\"mac\":[]}");
    RC_ASSERT(State.Applied == Offset(2));
    RC_ASSERT(State.TableRows.empty());
  });
}

// Verifies that parsing the CSV of a table yields the same cells.
TEST_CASE("Table CSV round trip keeps every cell") {
  rc::prop("quotes and commas survive", [] {
    Rows SampleRows;
    std::string Value = *rc::gen::nonEmpty(rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("ab,\" '#x="))));
    SampleRows["workspace/a"].Fields["title"] = "v" + Value + "v";
    absl::StatusOr<std::vector<CellChange>> Parsed =
        changesFromCsv(rowsToCsv(SampleRows));
    RC_ASSERT(Parsed.ok());
    RC_ASSERT(Parsed->size() == 1u);
    RC_ASSERT(Parsed->front().Value == "v" + Value + "v");
  });
}

} // namespace
} // namespace berylramp
