//===- fold.cpp - The fold of edits and snapshots -------------------------===//
//
// An edit is accepted or rejected here and not before it is appended: two
// operators may append concurrently, and the lower offset wins on every host.
// Code in this file must not depend on a clock, a random number or a setting
// other than the operators' keys; otherwise the states of hosts would diverge.
//
//===----------------------------------------------------------------------===//

#include "berylramp/json.h"
#include "berylramp/table.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace berylramp {

namespace {

constexpr const char *VerdictNames[] = {"accepted", "conflict", "invalid",
                                        "unauthorized"};

Json::Value changesToJson(const std::vector<CellChange> &Changes) {
  Json::Value Items(Json::arrayValue);
  for (const CellChange &Change : Changes) {
    Json::Value Item;
    Item["row"] = Change.RowKey;
    if (Change.RemoveRow)
      Item["remove"] = true;
    else {
      Item["field"] = Change.Field;
      Item["value"] = Change.Value;
    }
    Items.append(Item);
  }
  return Items;
}

Json::Value editBody(const Edit &Source) {
  Json::Value Body;
  Body["type"] = "edit";
  Body["fold"] = FoldVersion;
  Body["id"] = Source.Id.text();
  Body["author"] = Source.Author;
  Body["base"] = Json::Int64(Source.BaseOffset.count());
  Body["changes"] = changesToJson(Source.Changes);
  Body["note"] = Source.Note;
  return Body;
}

/// Extracts the body of a signed record; false when the signature is wrong.
bool verifySigned(const Json::Value &Record, const OperatorKeys &Keys,
                  Json::Value &Body) {
  Body = memberAt(Record, "body");
  return verifyKeyedDigest(Keys.Secrets, writeJson(Body),
                           textAt(Record, "mac"));
}

std::string signBody(const Json::Value &Body, const OperatorKeys &Keys) {
  Json::Value Record;
  Record["body"] = Body;
  if (!Keys.Secrets.empty())
    Record["mac"] = keyedDigest(Keys.Secrets.front(), writeJson(Body));
  return writeJson(Record);
}

Edit editFromBody(const Json::Value &Body) {
  Edit Result;
  Result.Id = EditId(textAt(Body, "id"));
  Result.Author = textAt(Body, "author");
  Result.BaseOffset = Offset(intAt(Body, "base", -1));
  Result.Note = textAt(Body, "note");
  for (const Json::Value &Item : arrayAt(Body, "changes"))
    Result.Changes.push_back(
        CellChange{textAt(Item, "row"), textAt(Item, "field"),
                   textAt(Item, "value"), boolAt(Item, "remove")});
  return Result;
}

/// Describes the first row of the edit that changed after the edit's base, or
/// returns an empty text.
std::string findConflict(const ConfigState &State, const Edit &Candidate) {
  for (const CellChange &Change : Candidate.Changes) {
    auto Found = State.TableRows.find(Change.RowKey);
    if (Found == State.TableRows.end())
      continue;
    const Row &ChangedRow = Found->second;
    if (ChangedRow.ChangedAt > Candidate.BaseOffset)
      return absl::StrCat("row ", Change.RowKey, " was changed by ",
                          ChangedRow.ChangedBy, " at offset ",
                          ChangedRow.ChangedAt.count(), ", after your base ",
                          Candidate.BaseOffset.count(),
                          "; read the table again and repeat the edit");
  }
  return "";
}

/// A removed row stays as a row without cells, so that an edit with an older
/// base conflicts with the removal.
void applyChanges(Rows &Target, const Edit &Candidate, Offset RecordOffset) {
  for (const CellChange &Change : Candidate.Changes) {
    Row &ChangedRow = Target[Change.RowKey];
    if (Change.RemoveRow)
      ChangedRow.Fields.clear();
    else if (Change.Value.empty())
      ChangedRow.Fields.erase(Change.Field);
    else
      ChangedRow.Fields[Change.Field] = Change.Value;
    ChangedRow.ChangedAt = RecordOffset;
    ChangedRow.ChangedBy = Candidate.Author;
  }
}

Rows withoutRemoved(const Rows &All) {
  Rows Remaining;
  for (const auto &[Key, Entry] : All) {
    if (!Entry.Fields.empty())
      Remaining.emplace(Key, Entry);
  }
  return Remaining;
}

void appendOutcome(ConfigState &State, EditOutcome Outcome) {
  State.Outcomes.push_back(std::move(Outcome));
  while (State.Outcomes.size() > MaxRememberedEdits)
    State.Outcomes.pop_front();
}

void foldEdit(ConfigState &State, Offset RecordOffset, const Edit &Candidate) {
  if (Candidate.Id.empty() || findOutcome(State, Candidate.Id) != nullptr)
    return;
  std::string Conflict = findConflict(State, Candidate);
  if (!Conflict.empty()) {
    appendOutcome(
        State, {Candidate.Id, RecordOffset, EditVerdict::Conflict, Conflict});
    return;
  }
  Rows NextRows = State.TableRows;
  applyChanges(NextRows, Candidate, RecordOffset);
  absl::StatusOr<Table> Compiled = compileTable(withoutRemoved(NextRows));
  if (!Compiled.ok()) {
    appendOutcome(State, {Candidate.Id, RecordOffset, EditVerdict::Invalid,
                          std::string(Compiled.status().message())});
    return;
  }
  State.TableRows = std::move(NextRows);
  State.Compiled = std::make_shared<const Table>(*std::move(Compiled));
  appendOutcome(State, {Candidate.Id, RecordOffset, EditVerdict::Accepted, ""});
}

Json::Value stateBody(const ConfigState &State) {
  Json::Value Body;
  Body["type"] = "snapshot";
  Body["fold"] = FoldVersion;
  Body["covers"] = Json::Int64(State.Applied.count());
  Body["covers_ms"] = Json::Int64(absl::ToUnixMillis(State.AppliedAt));
  Body["digest"] = toHex(configDigest(State));
  Body["rows"] = Json::Value(Json::objectValue);
  for (const auto &[Key, Entry] : State.TableRows) {
    Json::Value Item;
    Item["at"] = Json::Int64(Entry.ChangedAt.count());
    Item["by"] = Entry.ChangedBy;
    Item["cells"] = Json::Value(Json::objectValue);
    for (const auto &[Field, Value] : Entry.Fields)
      Item["cells"][Field] = Value;
    Body["rows"][Key] = Item;
  }
  Body["edits"] = Json::Value(Json::arrayValue);
  for (const EditOutcome &Outcome : State.Outcomes) {
    Json::Value Item;
    Item["id"] = Outcome.Id.text();
    Item["at"] = Json::Int64(Outcome.RecordOffset.count());
    Item["verdict"] = static_cast<int>(Outcome.Verdict);
    Item["reason"] = Outcome.Reason;
    Body["edits"].append(Item);
  }
  return Body;
}

Row rowFromJson(const Json::Value &Item) {
  Row Result;
  Result.ChangedAt = Offset(intAt(Item, "at", -1));
  Result.ChangedBy = textAt(Item, "by");
  const Json::Value &Fields = memberAt(Item, "cells");
  if (!Fields.isObject())
    return Result;
  for (const std::string &Field : Fields.getMemberNames())
    Result.Fields[Field] = textAt(Fields, Field.c_str());
  return Result;
}

EditOutcome outcomeFromJson(const Json::Value &Item) {
  EditOutcome Result;
  Result.Id = EditId(textAt(Item, "id"));
  Result.RecordOffset = Offset(intAt(Item, "at", -1));
  int64_t Verdict = intAt(Item, "verdict");
  bool Known =
      Verdict >= 0 && Verdict <= static_cast<int>(EditVerdict::Unauthorized);
  Result.Verdict =
      Known ? static_cast<EditVerdict>(Verdict) : EditVerdict::Invalid;
  Result.Reason = textAt(Item, "reason");
  return Result;
}

absl::StatusOr<ConfigState> stateFromBody(const Json::Value &Body) {
  if (textAt(Body, "type") != "snapshot")
    return absl::InvalidArgumentError("the record is not a snapshot");
  if (intAt(Body, "fold") != FoldVersion)
    return absl::FailedPreconditionError(
        "the snapshot has another fold version; upgrade this host");
  ConfigState State = emptyConfig();
  State.Applied = Offset(intAt(Body, "covers", -1));
  State.AppliedAt = absl::FromUnixMillis(intAt(Body, "covers_ms"));
  const Json::Value &AllRows = memberAt(Body, "rows");
  if (AllRows.isObject()) {
    for (const std::string &Key : AllRows.getMemberNames())
      State.TableRows[Key] = rowFromJson(AllRows[Key]);
  }
  for (const Json::Value &Item : arrayAt(Body, "edits"))
    appendOutcome(State, outcomeFromJson(Item));
  if (toHex(configDigest(State)) != textAt(Body, "digest"))
    return absl::DataLossError("the snapshot's digest does not match its rows");
  absl::StatusOr<Table> Compiled =
      compileTable(withoutRemoved(State.TableRows));
  if (!Compiled.ok())
    return Compiled.status();
  State.Compiled = std::make_shared<const Table>(*std::move(Compiled));
  return State;
}

} // namespace

ConfigState emptyConfig() {
  ConfigState State;
  State.Compiled = std::make_shared<const Table>();
  return State;
}

void foldConfig(ConfigState &State, Offset RecordOffset, absl::Time AppendedAt,
                const std::string &Data, const OperatorKeys &Keys) {
  if (RecordOffset <= State.Applied)
    return;
  State.Applied = RecordOffset;
  State.AppliedAt = AppendedAt;
  if (Data.size() > MaxConfigRecordBytes)
    return;
  absl::StatusOr<Json::Value> Record = parseJson(Data);
  if (!Record.ok())
    return;
  Json::Value Body;
  bool Authentic = verifySigned(*Record, Keys, Body);
  if (intAt(Body, "fold") > FoldVersion && Authentic) {
    State.HasNewerFoldVersion = true;
    return;
  }
  if (textAt(Body, "type") != "edit")
    return;
  Edit Candidate = editFromBody(Body);
  if (Authentic)
    foldEdit(State, RecordOffset, Candidate);
}

std::string encodeEdit(const Edit &Source, const OperatorKeys &Keys) {
  return signBody(editBody(Source), Keys);
}

std::string encodeSnapshot(const ConfigState &State, const OperatorKeys &Keys) {
  return signBody(stateBody(State), Keys);
}

absl::StatusOr<ConfigState> decodeSnapshot(const std::string &Data,
                                           const OperatorKeys &Keys) {
  absl::StatusOr<Json::Value> Record = parseJson(Data);
  if (!Record.ok())
    return Record.status();
  Json::Value Body;
  if (!verifySigned(*Record, Keys, Body))
    return absl::PermissionDeniedError(
        "the record is not signed with a known operator key");
  return stateFromBody(Body);
}

uint64_t configDigest(const ConfigState &State) {
  std::string Text = absl::StrCat(State.Applied.count(), "\n");
  for (const auto &[Key, Entry] : State.TableRows) {
    absl::StrAppend(&Text, Key, "\x1f", Entry.ChangedAt.count(), "\x1f",
                    Entry.ChangedBy, "\x1f");
    for (const auto &[Field, Value] : Entry.Fields)
      absl::StrAppend(&Text, Field, "\x1e", Value, "\x1f");
    Text += '\n';
  }
  for (const EditOutcome &Outcome : State.Outcomes)
    absl::StrAppend(&Text, Outcome.Id.text(), "\x1f",
                    Outcome.RecordOffset.count(), "\x1f",
                    VerdictNames[static_cast<int>(Outcome.Verdict)], "\n");
  return stableHash(Text);
}

const EditOutcome *findOutcome(const ConfigState &State, const EditId &Id) {
  for (auto Entry = State.Outcomes.rbegin(); Entry != State.Outcomes.rend();
       ++Entry) {
    if (Entry->Id == Id)
      return &*Entry;
  }
  return nullptr;
}

} // namespace berylramp
