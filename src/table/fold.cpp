//===- fold.cpp - The fold of edits and snapshots -------------------------===//
//
// The decision about an edit is taken here, not before it is appended: two
// operators may append at once, and the lower offset wins on every host.
// Nothing in this file may read a clock, a random number or a setting other
// than the operators' keys, or hosts would differ.
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
  Json::Value Out(Json::arrayValue);
  for (const CellChange &Change : Changes) {
    Json::Value Item;
    Item["row"] = Change.RowKey;
    if (Change.RemoveRow)
      Item["remove"] = true;
    else {
      Item["field"] = Change.Field;
      Item["value"] = Change.Value;
    }
    Out.append(Item);
  }
  return Out;
}

Json::Value editBody(const Edit &Which) {
  Json::Value Body;
  Body["type"] = "edit";
  Body["fold"] = FoldVersion;
  Body["id"] = Which.Id.text();
  Body["author"] = Which.Author;
  Body["base"] = Json::Int64(Which.Base.count());
  Body["changes"] = changesToJson(Which.Changes);
  Body["note"] = Which.Note;
  return Body;
}

/// Splits a signed record into its body; false when the signature is wrong.
bool openSigned(const Json::Value &Record, const OperatorKeys &Keys,
                Json::Value &Body) {
  Body = memberAt(Record, "body");
  return checkKeyedDigest(Keys.Secrets, writeJson(Body), textAt(Record, "mac"));
}

std::string signBody(const Json::Value &Body, const OperatorKeys &Keys) {
  Json::Value Record;
  Record["body"] = Body;
  if (!Keys.Secrets.empty())
    Record["mac"] = keyedDigest(Keys.Secrets.front(), writeJson(Body));
  return writeJson(Record);
}

Edit editFromBody(const Json::Value &Body) {
  Edit Out;
  Out.Id = EditId(textAt(Body, "id"));
  Out.Author = textAt(Body, "author");
  Out.Base = Offset(intAt(Body, "base", -1));
  Out.Note = textAt(Body, "note");
  for (const Json::Value &Item : arrayAt(Body, "changes"))
    Out.Changes.push_back(CellChange{textAt(Item, "row"), textAt(Item, "field"),
                                     textAt(Item, "value"),
                                     boolAt(Item, "remove")});
  return Out;
}

/// Names the first touched row that changed after the edit's base.
std::string findConflict(const ConfigState &State, const Edit &Which) {
  for (const CellChange &Change : Which.Changes) {
    auto Found = State.Cells.find(Change.RowKey);
    if (Found == State.Cells.end())
      continue;
    const Row &Touched = Found->second;
    if (Touched.ChangedAt > Which.Base)
      return absl::StrCat(
          "row ", Change.RowKey, " was changed by ", Touched.ChangedBy,
          " at offset ", Touched.ChangedAt.count(), ", after your base ",
          Which.Base.count(), "; read the table again and repeat the edit");
  }
  return "";
}

/// A removed row keeps its place without cells, so that an edit from an older
/// base still meets the removal.
void applyChanges(Rows &Target, const Edit &Which, Offset At) {
  for (const CellChange &Change : Which.Changes) {
    Row &Touched = Target[Change.RowKey];
    if (Change.RemoveRow)
      Touched.Fields.clear();
    else if (Change.Value.empty())
      Touched.Fields.erase(Change.Field);
    else
      Touched.Fields[Change.Field] = Change.Value;
    Touched.ChangedAt = At;
    Touched.ChangedBy = Which.Author;
  }
}

Rows withoutRemoved(const Rows &All) {
  Rows Out;
  for (const auto &[Key, Each] : All) {
    if (!Each.Fields.empty())
      Out.emplace(Key, Each);
  }
  return Out;
}

void remember(ConfigState &State, EditOutcome Outcome) {
  State.Outcomes.push_back(std::move(Outcome));
  while (State.Outcomes.size() > RememberedEdits)
    State.Outcomes.pop_front();
}

void foldEdit(ConfigState &State, Offset At, const Edit &Which) {
  if (Which.Id.empty() || findOutcome(State, Which.Id) != nullptr)
    return;
  std::string Conflict = findConflict(State, Which);
  if (!Conflict.empty()) {
    remember(State, {Which.Id, At, EditVerdict::Conflict, Conflict});
    return;
  }
  Rows Next = State.Cells;
  applyChanges(Next, Which, At);
  absl::StatusOr<Table> Compiled = compileTable(withoutRemoved(Next));
  if (!Compiled.ok()) {
    remember(State, {Which.Id, At, EditVerdict::Invalid,
                     std::string(Compiled.status().message())});
    return;
  }
  State.Cells = std::move(Next);
  State.Compiled = std::make_shared<const Table>(*std::move(Compiled));
  remember(State, {Which.Id, At, EditVerdict::Accepted, ""});
}

Json::Value stateBody(const ConfigState &State) {
  Json::Value Body;
  Body["type"] = "snapshot";
  Body["fold"] = FoldVersion;
  Body["covers"] = Json::Int64(State.Applied.count());
  Body["covers_ms"] = Json::Int64(absl::ToUnixMillis(State.AppliedAt));
  Body["digest"] = toHex(configDigest(State));
  Body["rows"] = Json::Value(Json::objectValue);
  for (const auto &[Key, Each] : State.Cells) {
    Json::Value Item;
    Item["at"] = Json::Int64(Each.ChangedAt.count());
    Item["by"] = Each.ChangedBy;
    Item["cells"] = Json::Value(Json::objectValue);
    for (const auto &[Field, Value] : Each.Fields)
      Item["cells"][Field] = Value;
    Body["rows"][Key] = Item;
  }
  Body["edits"] = Json::Value(Json::arrayValue);
  for (const EditOutcome &Outcome : State.Outcomes) {
    Json::Value Item;
    Item["id"] = Outcome.Id.text();
    Item["at"] = Json::Int64(Outcome.At.count());
    Item["verdict"] = static_cast<int>(Outcome.Verdict);
    Item["reason"] = Outcome.Reason;
    Body["edits"].append(Item);
  }
  return Body;
}

Row rowFromJson(const Json::Value &Item) {
  Row Out;
  Out.ChangedAt = Offset(intAt(Item, "at", -1));
  Out.ChangedBy = textAt(Item, "by");
  const Json::Value &Fields = memberAt(Item, "cells");
  if (!Fields.isObject())
    return Out;
  for (const std::string &Field : Fields.getMemberNames())
    Out.Fields[Field] = textAt(Fields, Field.c_str());
  return Out;
}

EditOutcome outcomeFromJson(const Json::Value &Item) {
  EditOutcome Out;
  Out.Id = EditId(textAt(Item, "id"));
  Out.At = Offset(intAt(Item, "at", -1));
  int64_t Verdict = intAt(Item, "verdict");
  bool Known =
      Verdict >= 0 && Verdict <= static_cast<int>(EditVerdict::Unauthorized);
  Out.Verdict =
      Known ? static_cast<EditVerdict>(Verdict) : EditVerdict::Invalid;
  Out.Reason = textAt(Item, "reason");
  return Out;
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
      State.Cells[Key] = rowFromJson(AllRows[Key]);
  }
  for (const Json::Value &Item : arrayAt(Body, "edits"))
    remember(State, outcomeFromJson(Item));
  if (toHex(configDigest(State)) != textAt(Body, "digest"))
    return absl::DataLossError("the snapshot's digest does not match its rows");
  absl::StatusOr<Table> Compiled = compileTable(withoutRemoved(State.Cells));
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

void foldConfig(ConfigState &State, Offset At, absl::Time AppendedAt,
                const std::string &Data, const OperatorKeys &Keys) {
  if (At <= State.Applied)
    return;
  State.Applied = At;
  State.AppliedAt = AppendedAt;
  if (Data.size() > MaxConfigRecordBytes)
    return;
  absl::StatusOr<Json::Value> Record = parseJson(Data);
  if (!Record.ok())
    return;
  Json::Value Body;
  bool Authentic = openSigned(*Record, Keys, Body);
  if (intAt(Body, "fold") > FoldVersion && Authentic) {
    State.FromNewerFold = true;
    return;
  }
  if (textAt(Body, "type") != "edit")
    return;
  Edit Which = editFromBody(Body);
  if (Authentic)
    foldEdit(State, At, Which);
}

std::string encodeEdit(const Edit &Which, const OperatorKeys &Keys) {
  return signBody(editBody(Which), Keys);
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
  if (!openSigned(*Record, Keys, Body))
    return absl::PermissionDeniedError(
        "the record is not signed with a known operator key");
  return stateFromBody(Body);
}

uint64_t configDigest(const ConfigState &State) {
  std::string Text = absl::StrCat(State.Applied.count(), "\n");
  for (const auto &[Key, Each] : State.Cells) {
    absl::StrAppend(&Text, Key, "\x1f", Each.ChangedAt.count(), "\x1f",
                    Each.ChangedBy, "\x1f");
    for (const auto &[Field, Value] : Each.Fields)
      absl::StrAppend(&Text, Field, "\x1e", Value, "\x1f");
    Text += '\n';
  }
  for (const EditOutcome &Outcome : State.Outcomes)
    absl::StrAppend(&Text, Outcome.Id.text(), "\x1f", Outcome.At.count(),
                    "\x1f", VerdictNames[static_cast<int>(Outcome.Verdict)],
                    "\n");
  return stableHash(Text);
}

const EditOutcome *findOutcome(const ConfigState &State, const EditId &Id) {
  for (auto Each = State.Outcomes.rbegin(); Each != State.Outcomes.rend();
       ++Each) {
    if (Each->Id == Id)
      return &*Each;
  }
  return nullptr;
}

} // namespace berylramp
