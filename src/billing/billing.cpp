//===- billing.cpp - Bill records, fold and buffer ------------------------===//
//
// A bill may be appended more than once: by its origin, when the response to an
// append is lost and the append is repeated, and by a holder that considers the
// origin stopped. The fold counts only the first record of a key, so duplicates
// are harmless.
//
//===----------------------------------------------------------------------===//

#include "berylramp/billing.h"
#include "berylramp/json.h"

#include "absl/strings/str_cat.h"
#include <set>

namespace berylramp {

namespace {

Json::Value billToJson(const Bill &Source) {
  Json::Value Item;
  Item["w"] = Source.Workspace.text();
  Item["r"] = Source.Request.text();
  Item["kind"] = Source.Kind.text();
  Item["model"] = Source.Version.Model.text();
  Item["version"] = Source.Version.Version.text();
  Item["in"] = Json::Int64(Source.InputTokens.count());
  Item["out"] = Json::Int64(Source.OutputTokens.count());
  Item["cost"] = Json::Int64(Source.Cost.count());
  Item["host"] = Source.Origin.text();
  Item["ms"] = Json::Int64(Source.CompletedAtMillis);
  return Item;
}

Bill billFromJson(const Json::Value &Item) {
  Bill Result;
  Result.Workspace = WorkspaceId(textAt(Item, "w"));
  Result.Request = RequestId(textAt(Item, "r"));
  Result.Kind = RequestKindId(textAt(Item, "kind"));
  Result.Version = VersionKey{ModelId(textAt(Item, "model")),
                              VersionId(textAt(Item, "version"))};
  Result.InputTokens = Tokens(intAt(Item, "in"));
  Result.OutputTokens = Tokens(intAt(Item, "out"));
  Result.Cost = MicroCost(intAt(Item, "cost"));
  Result.Origin = HostId(textAt(Item, "host"));
  Result.CompletedAtMillis = intAt(Item, "ms");
  return Result;
}

} // namespace

std::string Bill::key() const {
  return this->Workspace.text() + "/" + this->Request.text();
}

std::string encodeBills(const std::vector<Bill> &Bills) {
  Json::Value Items(Json::arrayValue);
  for (const Bill &Entry : Bills)
    Items.append(billToJson(Entry));
  return writeJson(Items);
}

std::vector<Bill> decodeBills(const std::string &Data) {
  std::vector<Bill> Result;
  absl::StatusOr<Json::Value> Record = parseJson(Data);
  if (!Record.ok() || !Record->isArray())
    return Result;
  for (const Json::Value &Item : *Record) {
    Bill Decoded = billFromJson(Item);
    if (!Decoded.Workspace.empty() && !Decoded.Request.empty())
      Result.push_back(std::move(Decoded));
  }
  return Result;
}

void foldBills(BillState &State, Offset RecordOffset, const std::string &Data) {
  if (RecordOffset <= State.Applied)
    return;
  State.Applied = RecordOffset;
  for (Bill &Entry : decodeBills(Data)) {
    std::string Key = Entry.key();
    bool IsFirst = State.Counted.emplace(Key, std::move(Entry)).second;
    if (!IsFirst)
      ++State.Repeats;
  }
}

bool hasCapacity(const BillBuffer &Buffer, size_t Reserved) {
  return Buffer.Pending.size() + Reserved < Buffer.Capacity;
}

void addBill(BillBuffer &Buffer, const Bill &NewBill) {
  Buffer.Pending.emplace(NewBill.key(), PendingBill{NewBill, 0, false});
}

void recordHolder(BillBuffer &Buffer, const std::string &Key) {
  auto Found = Buffer.Pending.find(Key);
  if (Found != Buffer.Pending.end())
    ++Found->second.HolderCount;
}

void removeLogged(BillBuffer &Buffer, const std::string &Key) {
  Buffer.Pending.erase(Key);
}

BillDurability durabilityOf(const BillBuffer &Buffer, const std::string &Key) {
  auto Found = Buffer.Pending.find(Key);
  if (Found == Buffer.Pending.end())
    return BillDurability::InLog;
  if (Found->second.HolderCount >= RequiredHolders)
    return BillDurability::WithHolders;
  return BillDurability::NotDurable;
}

BillAudit auditBills(const BillState &State,
                     const std::vector<std::string> &CompleteAnswers) {
  BillAudit Audit;
  Audit.Repeats = State.Repeats;
  std::set<std::string> Answered(CompleteAnswers.begin(),
                                 CompleteAnswers.end());
  for (const std::string &Key : Answered) {
    if (State.Counted.count(Key) == 0)
      Audit.Missing.push_back(Key);
  }
  for (const auto &[Key, Entry] : State.Counted) {
    Audit.Total += Entry.Cost;
    if (Answered.count(Key) == 0)
      Audit.Orphans.push_back(Key);
  }
  return Audit;
}

} // namespace berylramp
