//===- billing.cpp - The fold and the buffer of bills ---------------------===//
//
// A bill may be appended twice: by its origin whose append answer was lost,
// and by a holder that took the origin for gone. The fold makes both harmless.
//
//===----------------------------------------------------------------------===//

#include "berylramp/billing.h"
#include "berylramp/json.h"

#include "absl/strings/str_cat.h"
#include <set>

namespace berylramp {

namespace {

Json::Value billToJson(const Bill &Which) {
  Json::Value Item;
  Item["w"] = Which.Workspace.text();
  Item["r"] = Which.Request.text();
  Item["kind"] = Which.Kind.text();
  Item["model"] = Which.Version.Model.text();
  Item["version"] = Which.Version.Version.text();
  Item["in"] = Json::Int64(Which.In.count());
  Item["out"] = Json::Int64(Which.Out.count());
  Item["cost"] = Json::Int64(Which.Cost.count());
  Item["host"] = Which.Origin.text();
  Item["ms"] = Json::Int64(Which.AtMillis);
  return Item;
}

Bill billFromJson(const Json::Value &Item) {
  Bill Out;
  Out.Workspace = WorkspaceId(textAt(Item, "w"));
  Out.Request = RequestId(textAt(Item, "r"));
  Out.Kind = RequestKindId(textAt(Item, "kind"));
  Out.Version = VersionKey{ModelId(textAt(Item, "model")),
                           VersionId(textAt(Item, "version"))};
  Out.In = Tokens(intAt(Item, "in"));
  Out.Out = Tokens(intAt(Item, "out"));
  Out.Cost = MicroCost(intAt(Item, "cost"));
  Out.Origin = HostId(textAt(Item, "host"));
  Out.AtMillis = intAt(Item, "ms");
  return Out;
}

} // namespace

std::string Bill::key() const {
  return this->Workspace.text() + "/" + this->Request.text();
}

std::string encodeBills(const std::vector<Bill> &Which) {
  Json::Value Out(Json::arrayValue);
  for (const Bill &Each : Which)
    Out.append(billToJson(Each));
  return writeJson(Out);
}

std::vector<Bill> decodeBills(const std::string &Data) {
  std::vector<Bill> Out;
  absl::StatusOr<Json::Value> Record = parseJson(Data);
  if (!Record.ok() || !Record->isArray())
    return Out;
  for (const Json::Value &Item : *Record) {
    Bill Read = billFromJson(Item);
    if (!Read.Workspace.empty() && !Read.Request.empty())
      Out.push_back(std::move(Read));
  }
  return Out;
}

void foldBills(BillState &State, Offset At, const std::string &Data) {
  if (At <= State.Applied)
    return;
  State.Applied = At;
  for (Bill &Each : decodeBills(Data)) {
    std::string Key = Each.key();
    bool IsFirst = State.Counted.emplace(Key, std::move(Each)).second;
    if (!IsFirst)
      ++State.Repeats;
  }
}

bool hasRoom(const BillBuffer &Buffer, size_t Reserved) {
  return Buffer.Pending.size() + Reserved < Buffer.Capacity;
}

void addBill(BillBuffer &Buffer, const Bill &Which) {
  Buffer.Pending.emplace(Which.key(), PendingBill{Which, 0, false});
}

void markHeld(BillBuffer &Buffer, const std::string &Key) {
  auto Found = Buffer.Pending.find(Key);
  if (Found != Buffer.Pending.end())
    ++Found->second.Holders;
}

void markLogged(BillBuffer &Buffer, const std::string &Key) {
  Buffer.Pending.erase(Key);
}

BillSafety safetyOf(const BillBuffer &Buffer, const std::string &Key) {
  auto Found = Buffer.Pending.find(Key);
  if (Found == Buffer.Pending.end())
    return BillSafety::InLog;
  if (Found->second.Holders >= WantedHolders)
    return BillSafety::WithHolders;
  return BillSafety::Nowhere;
}

BillAudit auditBills(const BillState &State,
                     const std::vector<std::string> &WholeAnswers) {
  BillAudit Out;
  Out.Repeats = State.Repeats;
  std::set<std::string> Answered(WholeAnswers.begin(), WholeAnswers.end());
  for (const std::string &Key : Answered) {
    if (State.Counted.count(Key) == 0)
      Out.Missing.push_back(Key);
  }
  for (const auto &[Key, Each] : State.Counted) {
    Out.Total += Each.Cost;
    if (Answered.count(Key) == 0)
      Out.Orphans.push_back(Key);
  }
  return Out;
}

} // namespace berylramp
