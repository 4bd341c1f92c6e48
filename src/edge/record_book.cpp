//===- record_book.cpp - The store's records, for peers -------------------===//
//
// Offsets of the store name a place in a topic at every host alike, so that a
// host may go on at any peer where it left off at another one or at the store.
//
//===----------------------------------------------------------------------===//

#include "record_book.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "berylramp/json.h"
#include <algorithm>

namespace berylramp {

namespace {

Json::Value listOf(const std::vector<StoreRecord> &Records) {
  Json::Value Out(Json::arrayValue);
  for (const StoreRecord &Each : Records) {
    Json::Value Row(Json::objectValue);
    Row["key"] = Each.Key;
    if (Each.Value)
      Row["value"] = *Each.Value;
    Out.append(Row);
  }
  return Out;
}

std::vector<StoreRecord> recordsOf(const Json::Value &List) {
  std::vector<StoreRecord> Out;
  for (const Json::Value &Row : List) {
    StoreRecord Record;
    Record.Key = textAt(Row, "key");
    if (memberAt(Row, "value").isString())
      Record.Value = textAt(Row, "value");
    Out.push_back(std::move(Record));
  }
  return Out;
}

Json::Value jsonOf(const RecordBatch &Batch) {
  Json::Value Out(Json::objectValue);
  Out["next"] = Json::Int64(Batch.Next.count());
  if (Batch.Whole)
    Out["whole"] = true;
  if (!Batch.Records.empty())
    Out["records"] = listOf(Batch.Records);
  return Out;
}

RecordBatch batchOf(const Json::Value &From) {
  RecordBatch Out;
  if (!memberAt(From, "next").isIntegral())
    return Out;
  Out.Next = Offset(intAt(From, "next"));
  Out.Whole = boolAt(From, "whole", false);
  Out.Records = recordsOf(arrayAt(From, "records"));
  return Out;
}

Offset offsetAfter(const std::string &Target, const std::string &Name) {
  size_t At = Target.find(Name + "=");
  if (At == std::string::npos)
    return NoOffset;
  size_t From = At + Name.size() + 1;
  int64_t Value = 0;
  std::string Digits = Target.substr(From, Target.find('&', From) - From);
  bool Read = absl::SimpleAtoi(Digits, &Value) && Value >= 0;
  return Read ? Offset(Value) : NoOffset;
}

} // namespace

std::string encodePeerQuery(const PeerQuery &Query) {
  return absl::StrCat(PeerRecordsPath, "?operators=", Query.Operators.count(),
                      "&states=", Query.States.count(),
                      "&replicas=", Query.Replicas.count());
}

PeerQuery decodePeerQuery(const std::string &Target) {
  return {offsetAfter(Target, "operators"), offsetAfter(Target, "states"),
          offsetAfter(Target, "replicas")};
}

std::string encodePeerRecords(const PeerRecords &Records) {
  Json::Value Out(Json::objectValue);
  Out["age_ms"] = Json::Int64(absl::ToInt64Milliseconds(Records.Age));
  if (Records.StoreJustBack)
    Out["store_just_back"] = true;
  Out["operators"] = jsonOf(Records.Operators);
  Out["states"] = jsonOf(Records.States);
  Out["replicas"] = jsonOf(Records.Replicas);
  return writeJson(Out);
}

absl::StatusOr<PeerRecords> decodePeerRecords(const std::string &Text) {
  absl::StatusOr<Json::Value> Top = parseJson(Text);
  if (!Top.ok())
    return Top.status();
  if (!memberAt(*Top, "age_ms").isIntegral())
    return absl::InvalidArgumentError("a peer's records lack their age");
  PeerRecords Out;
  Out.StoreJustBack = boolAt(*Top, "store_just_back", false);
  Out.Age = absl::Milliseconds(intAt(*Top, "age_ms"));
  Out.Operators = batchOf(memberAt(*Top, "operators"));
  Out.States = batchOf(memberAt(*Top, "states"));
  Out.Replicas = batchOf(memberAt(*Top, "replicas"));
  return Out;
}

void RecordBook::put(StoreTopic Topic, const StoreRecord &Record,
                     Offset ReadTo) {
  auto [Found, New] = this->Topics[Topic].Rows.try_emplace(Record.Key);
  Row &Which = Found->second;
  if (!New && Which.Text == Record.Value)
    return;
  Which.Text = Record.Value;
  Which.Before = ReadTo;
}

void RecordBook::reached(StoreTopic Topic, Offset Next, bool Whole) {
  TopicRows &Which = this->Topics[Topic];
  // What happened to a key between two whole reads is not known.
  if (Whole)
    Which.CompleteFrom = std::max(Which.CompleteFrom, Next);
  Which.Next = std::max(Which.Next, Next);
}

RecordBatch RecordBook::since(StoreTopic Topic, Offset From) const {
  RecordBatch Out;
  auto Found = this->Topics.find(Topic);
  if (Found == this->Topics.end() || Found->second.CompleteFrom == NoOffset)
    return Out;
  const TopicRows &Which = Found->second;
  Out.Next = Which.Next;
  Out.Whole = From < Which.CompleteFrom;
  for (const auto &[Key, Each] : Which.Rows)
    if (Out.Whole ? Each.Text.has_value() : Each.Before > From)
      Out.Records.push_back({Key, Each.Text});
  return Out;
}

const std::string *RecordBook::find(StoreTopic Topic,
                                    const std::string &Key) const {
  auto Which = this->Topics.find(Topic);
  if (Which == this->Topics.end())
    return nullptr;
  auto Found = Which->second.Rows.find(Key);
  if (Found == Which->second.Rows.end() || !Found->second.Text)
    return nullptr;
  return &*Found->second.Text;
}

} // namespace berylramp
