//===- record_cache.cpp - Cache of store records for peers ----------------===//
//
// A position of the store, an era and an offset, is the same at every host. A
// host can therefore continue at any peer from the position that it reached at
// another peer or at the store.
//
//===----------------------------------------------------------------------===//

#include "record_cache.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "berylramp/json.h"
#include <algorithm>

namespace berylramp {

namespace {

Json::Value encodeRecords(const std::vector<StoreRecord> &Records) {
  Json::Value List(Json::arrayValue);
  for (const StoreRecord &Record : Records) {
    Json::Value Row(Json::objectValue);
    Row["key"] = Record.Key;
    if (Record.Value)
      Row["value"] = *Record.Value;
    List.append(Row);
  }
  return List;
}

std::vector<StoreRecord> decodeRecords(const Json::Value &List) {
  std::vector<StoreRecord> Records;
  for (const Json::Value &Row : List) {
    StoreRecord Record;
    Record.Key = textAt(Row, "key");
    if (memberAt(Row, "value").isString())
      Record.Value = textAt(Row, "value");
    Records.push_back(std::move(Record));
  }
  return Records;
}

Json::Value encodeBatch(const RecordBatch &Batch) {
  Json::Value Object(Json::objectValue);
  Object["next"] = Json::Int64(Batch.Next.count());
  Object["era"] = Json::Int64(Batch.Era.count());
  if (Batch.IsSnapshot)
    Object["whole"] = true;
  if (!Batch.Records.empty())
    Object["records"] = encodeRecords(Batch.Records);
  return Object;
}

RecordBatch decodeBatch(const Json::Value &Value) {
  RecordBatch Batch;
  if (!memberAt(Value, "next").isIntegral())
    return Batch;
  Batch.Next = Offset(intAt(Value, "next"));
  Batch.Era = StoreEra(intAt(Value, "era"));
  Batch.IsSnapshot = boolAt(Value, "whole", false);
  Batch.Records = decodeRecords(arrayAt(Value, "records"));
  return Batch;
}

int64_t numberParameter(const std::string &Target, const std::string &Name,
                        int64_t Fallback) {
  size_t Position = Target.find(Name + "=");
  if (Position == std::string::npos)
    return Fallback;
  size_t Start = Position + Name.size() + 1;
  int64_t Value = 0;
  std::string Digits = Target.substr(Start, Target.find('&', Start) - Start);
  bool Valid = absl::SimpleAtoi(Digits, &Value) && Value >= 0;
  return Valid ? Value : Fallback;
}

StorePosition positionParameter(const std::string &Target,
                                const std::string &Name) {
  return {StoreEra(numberParameter(Target, Name + "_era", 0)),
          Offset(numberParameter(Target, Name, NoOffset.count()))};
}

std::string encodePosition(const char *Name, StorePosition Position) {
  return absl::StrCat(Name, "=", Position.Next.count(), "&", Name,
                      "_era=", Position.Era.count());
}

} // namespace

std::string encodePeerQuery(const PeerQuery &Query) {
  return absl::StrCat(PeerRecordsPath, "?",
                      encodePosition("operators", Query.Operators), "&",
                      encodePosition("states", Query.States), "&",
                      encodePosition("replicas", Query.Replicas));
}

PeerQuery decodePeerQuery(const std::string &Target) {
  return {positionParameter(Target, "operators"),
          positionParameter(Target, "states"),
          positionParameter(Target, "replicas")};
}

std::string encodePeerRecords(const PeerRecords &Records) {
  Json::Value Object(Json::objectValue);
  Object["age_ms"] = Json::Int64(absl::ToInt64Milliseconds(Records.Age));
  if (Records.StoreRecentlyRecovered)
    Object["store_just_back"] = true;
  Object["operators"] = encodeBatch(Records.Operators);
  Object["states"] = encodeBatch(Records.States);
  Object["replicas"] = encodeBatch(Records.Replicas);
  return writeJson(Object);
}

absl::StatusOr<PeerRecords> decodePeerRecords(const std::string &Text) {
  absl::StatusOr<Json::Value> Top = parseJson(Text);
  if (!Top.ok())
    return Top.status();
  if (!memberAt(*Top, "age_ms").isIntegral())
    return absl::InvalidArgumentError(
        "a peer's records have no integer field age_ms; check that both hosts "
        "run compatible versions");
  PeerRecords Records;
  Records.StoreRecentlyRecovered = boolAt(*Top, "store_just_back", false);
  Records.Age = absl::Milliseconds(intAt(*Top, "age_ms"));
  Records.Operators = decodeBatch(memberAt(*Top, "operators"));
  Records.States = decodeBatch(memberAt(*Top, "states"));
  Records.Replicas = decodeBatch(memberAt(*Top, "replicas"));
  return Records;
}

void RecordCache::enterEra(StoreTopic Topic, StoreEra Era) {
  TopicRows &Rows = this->Topics[Topic];
  if (Rows.Era == Era)
    return;
  Rows.Era = Era;
  Rows.CompleteFrom = NoOffset;
  Rows.Next = NoOffset;
  for (auto &[Key, Entry] : Rows.Rows)
    Entry.Before = NoOffset;
}

void RecordCache::drop(StoreTopic Topic, const std::string &Key) {
  this->Topics[Topic].Rows.erase(Key);
}

void RecordCache::put(StoreTopic Topic, const StoreRecord &Record,
                      Offset ReadTo) {
  auto [Found, New] = this->Topics[Topic].Rows.try_emplace(Record.Key);
  Row &Entry = Found->second;
  if (!New && Entry.Text == Record.Value)
    return;
  Entry.Text = Record.Value;
  Entry.Before = ReadTo;
}

void RecordCache::advance(StoreTopic Topic, Offset Next, bool IsSnapshot) {
  TopicRows &Rows = this->Topics[Topic];
  // A snapshot does not contain the changes between the previous read and its
  // offset, so the cache cannot serve changes from before it.
  if (IsSnapshot)
    Rows.CompleteFrom = std::max(Rows.CompleteFrom, Next);
  Rows.Next = std::max(Rows.Next, Next);
}

RecordBatch RecordCache::since(StoreTopic Topic, StorePosition From) const {
  RecordBatch Batch;
  auto Found = this->Topics.find(Topic);
  if (Found == this->Topics.end() || Found->second.CompleteFrom == NoOffset)
    return Batch;
  const TopicRows &Rows = Found->second;
  Batch.Next = Rows.Next;
  Batch.Era = Rows.Era;
  Batch.IsSnapshot = From.Era != Rows.Era || From.Next < Rows.CompleteFrom;
  for (const auto &[Key, Entry] : Rows.Rows)
    if (Batch.IsSnapshot ? Entry.Text.has_value() : Entry.Before > From.Next)
      Batch.Records.push_back({Key, Entry.Text});
  return Batch;
}

const std::string *RecordCache::find(StoreTopic Topic,
                                     const std::string &Key) const {
  auto Rows = this->Topics.find(Topic);
  if (Rows == this->Topics.end())
    return nullptr;
  auto Found = Rows->second.Rows.find(Key);
  if (Found == Rows->second.Rows.end() || !Found->second.Text)
    return nullptr;
  return &*Found->second.Text;
}

} // namespace berylramp
