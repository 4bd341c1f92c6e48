//===- table_fold_test.cpp - Tests the fold of edits and snapshots --------===//

#include "berylramp/table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace berylramp {
namespace {

const OperatorKeys Keys{{"operator-key"}};

CellChange cell(const std::string &Row, const std::string &Field,
                const std::string &Value) {
  return CellChange{Row, Field, Value, false};
}

Edit makeEdit(const std::string &Id, Offset Base,
              std::vector<CellChange> Changes) {
  Edit Out;
  Out.Id = EditId(Id);
  Out.Author = "author of " + Id;
  Out.BaseOffset = Base;
  Out.Changes = std::move(Changes);
  return Out;
}

absl::Time timeOf(int64_t At) { return absl::FromUnixSeconds(1700000000 + At); }

void foldAt(ConfigState &State, int64_t At, const std::string &Data) {
  foldConfig(State, Offset(At), timeOf(At), Data, Keys);
}

EditVerdict verdictOf(const ConfigState &State, const std::string &Id) {
  const EditOutcome *Found = findOutcome(State, EditId(Id));
  REQUIRE(Found != nullptr);
  return Found->Verdict;
}

/// A log of random edits over a few rows, with repeats and stale bases.
std::vector<std::string> genLog() {
  int Length = *rc::gen::inRange(1, 25);
  std::vector<std::string> Out;
  for (int I = 0; I < Length; ++I) {
    int Kind = *rc::gen::inRange(0, 10);
    if (Kind == 0) {
      Out.push_back("not a record");
      continue;
    }
    if (Kind == 1 && !Out.empty()) {
      Out.push_back(Out[*rc::gen::inRange<size_t>(0, Out.size())]);
      continue;
    }
    int Row = *rc::gen::inRange(0, 3);
    int64_t Base = *rc::gen::inRange(-1, I + 1);
    Out.push_back(
        encodeEdit(makeEdit("edit-" + std::to_string(I), Offset(Base),
                            {cell("workspace/w" + std::to_string(Row), "title",
                                  std::to_string(*rc::gen::inRange(0, 5)))}),
                   Keys));
  }
  return Out;
}

ConfigState foldAll(const std::vector<std::string> &Log) {
  ConfigState State = emptyConfig();
  for (size_t I = 0; I < Log.size(); ++I)
    foldAt(State, static_cast<int64_t>(I), Log[I]);
  return State;
}

// Verifies that two edits of one row from one base make one accepted edit, and
// that the other's author is told who won and where.
TEST_CASE("TableFold accepts exactly one of two racing edits") {
  ConfigState State = emptyConfig();
  foldAt(State, 0,
         encodeEdit(
             makeEdit("first", NoOffset, {cell("workspace/a", "title", "x")}),
             Keys));
  foldAt(State, 1,
         encodeEdit(
             makeEdit("winner", Offset(0), {cell("workspace/a", "title", "y")}),
             Keys));
  foldAt(State, 2,
         encodeEdit(
             makeEdit("loser", Offset(0), {cell("workspace/a", "title", "z")}),
             Keys));
  CHECK(verdictOf(State, "winner") == EditVerdict::Accepted);
  CHECK(verdictOf(State, "loser") == EditVerdict::Conflict);
  std::string Reason = findOutcome(State, EditId("loser"))->Reason;
  CHECK_THAT(Reason, Catch::Contains("author of winner") &&
                         Catch::Contains("offset 1") &&
                         Catch::Contains("workspace/a"));
  CHECK(State.TableRows["workspace/a"].Fields["title"] == "y");
}

// Verifies that edits of different rows from the same base do not conflict.
TEST_CASE("TableFold accepts edits of different rows from one base") {
  ConfigState State = emptyConfig();
  foldAt(
      State, 0,
      encodeEdit(makeEdit("a", NoOffset, {cell("workspace/a", "title", "x")}),
                 Keys));
  foldAt(
      State, 1,
      encodeEdit(makeEdit("b", NoOffset, {cell("workspace/b", "title", "x")}),
                 Keys));
  CHECK(verdictOf(State, "a") == EditVerdict::Accepted);
  CHECK(verdictOf(State, "b") == EditVerdict::Accepted);
}

// Verifies that a removed row still conflicts with an edit made before.
TEST_CASE("TableFold remembers a removed row") {
  ConfigState State = emptyConfig();
  foldAt(
      State, 0,
      encodeEdit(makeEdit("add", NoOffset, {cell("workspace/a", "title", "x")}),
                 Keys));
  foldAt(State, 1,
         encodeEdit(makeEdit("remove", Offset(0),
                             {CellChange{"workspace/a", "", "", true}}),
                    Keys));
  foldAt(State, 2,
         encodeEdit(
             makeEdit("late", Offset(0), {cell("workspace/a", "title", "z")}),
             Keys));
  CHECK(verdictOf(State, "late") == EditVerdict::Conflict);
  CHECK(State.Compiled->Workspaces.empty());
}

// Verifies that an edit that would leave the table invalid changes nothing and
// is told every fault.
TEST_CASE("TableFold rejects an edit with all its faults") {
  ConfigState State = emptyConfig();
  foldAt(State, 0,
         encodeEdit(makeEdit("bad", NoOffset,
                             {cell("version/m/v", "state", "flying"),
                              cell("limit/nobody", "requests_per_second", "5"),
                              cell("planet/x", "title", "y")}),
                    Keys));
  CHECK(verdictOf(State, "bad") == EditVerdict::Invalid);
  std::string Reason = findOutcome(State, EditId("bad"))->Reason;
  CHECK_THAT(Reason, Catch::Contains("flying") &&
                         Catch::Contains("workspace/nobody") &&
                         Catch::Contains("no such kind of row") &&
                         Catch::Contains("model/m"));
  CHECK(State.TableRows.empty());
}

// Verifies that an edit without a known operator's signature has no effect.
TEST_CASE("TableFold ignores an edit signed with another key") {
  ConfigState State = emptyConfig();
  OperatorKeys Other{{"some-other-key"}};
  foldAt(State, 0,
         encodeEdit(
             makeEdit("forged", NoOffset, {cell("workspace/a", "title", "x")}),
             Other));
  CHECK(State.TableRows.empty());
  CHECK(State.Applied == Offset(0));
}

// Verifies that hosts that folded the same prefix agree, although one of them
// met records twice and another began with a snapshot.
TEST_CASE("TableFold gives equal states for equal prefixes") {
  rc::prop("repeats and snapshots do not matter", [] {
    std::vector<std::string> Log = genLog();
    ConfigState Plain = foldAll(Log);
    ConfigState Repeating = emptyConfig();
    for (size_t I = 0; I < Log.size(); ++I) {
      foldAt(Repeating, static_cast<int64_t>(I), Log[I]);
      size_t Back = *rc::gen::inRange<size_t>(0, I + 1);
      Offset Before = Repeating.Applied;
      foldAt(Repeating, static_cast<int64_t>(Back), Log[Back]);
      RC_ASSERT(Repeating.Applied == Before);
    }
    RC_ASSERT(configDigest(Plain) == configDigest(Repeating));
    size_t Cut = *rc::gen::inRange<size_t>(0, Log.size());
    std::vector<std::string> Head(Log.begin(),
                                  Log.begin() + static_cast<long>(Cut) + 1);
    absl::StatusOr<ConfigState> Started =
        decodeSnapshot(encodeSnapshot(foldAll(Head), Keys), Keys);
    RC_ASSERT(Started.ok());
    for (size_t I = 0; I < Log.size(); ++I)
      foldAt(*Started, static_cast<int64_t>(I), Log[I]);
    RC_ASSERT(configDigest(Plain) == configDigest(*Started));
    RC_ASSERT(rowsToCsv(Plain.TableRows) == rowsToCsv(Started->TableRows));
  });
}

// Verifies that a repeated edit id keeps its first outcome.
TEST_CASE("TableFold keeps the first outcome of a repeated edit") {
  ConfigState State = emptyConfig();
  std::string Record = encodeEdit(
      makeEdit("same", NoOffset, {cell("workspace/a", "title", "x")}), Keys);
  foldAt(State, 0, Record);
  foldAt(State, 1, Record);
  CHECK(findOutcome(State, EditId("same"))->RecordOffset == Offset(0));
  CHECK(State.Outcomes.size() == 1);
}

// Verifies that a snapshot whose rows were altered is not taken.
TEST_CASE("Snapshot with a wrong digest or signature is refused") {
  ConfigState State = emptyConfig();
  foldAt(
      State, 0,
      encodeEdit(makeEdit("a", NoOffset, {cell("workspace/a", "title", "x")}),
                 Keys));
  std::string Record = encodeSnapshot(State, Keys);
  std::string Altered = Record;
  Altered.replace(Altered.find("\"x\""), 3, "\"y\"");
  CHECK_FALSE(decodeSnapshot(Altered, Keys).ok());
  CHECK_FALSE(decodeSnapshot(Record, OperatorKeys{{"another"}}).ok());
  CHECK(decodeSnapshot(Record, Keys).ok());
}

// Verifies that no text makes the fold crash or lose its offset.
TEST_CASE("TableFold survives hostile records") {
  rc::prop("any text is a record that changes nothing", [] {
    ConfigState State = emptyConfig();
    std::string Text = *rc::gen::arbitrary<std::string>();
    foldAt(State, 0, Text);
    foldAt(State, 1, "{\"body\":{\"type\":\"edit\",\"changes\":" + Text + "}}");
    foldAt(State, 2, "{\"body\":" + Text + ",\"mac\":[]}");
    RC_ASSERT(State.Applied == Offset(2));
    RC_ASSERT(State.TableRows.empty());
  });
}

// Verifies that CSV gives back the cells it was made from.
TEST_CASE("Table CSV round trip keeps every cell") {
  rc::prop("quotes and commas survive", [] {
    Rows All;
    std::string Value = *rc::gen::nonEmpty(rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("ab,\" '#x="))));
    All["workspace/a"].Fields["title"] = "v" + Value + "v";
    absl::StatusOr<std::vector<CellChange>> Read =
        changesFromCsv(rowsToCsv(All));
    RC_ASSERT(Read.ok());
    RC_ASSERT(Read->size() == 1u);
    RC_ASSERT(Read->front().Value == "v" + Value + "v");
  });
}

} // namespace
} // namespace berylramp
