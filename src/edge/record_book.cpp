//===- record_book.cpp - The store's records, for peers -------------------===//

#include "record_book.h"

#include "absl/strings/str_cat.h"
#include "berylramp/json.h"
#include <cstdlib>

namespace berylramp {

namespace {

/// All entries are handed over only if they are newer by this: two of the
/// asking host's own reads of the store.
constexpr absl::Duration WorthSending = absl::Milliseconds(1300);

int64_t numberAfter(const std::string &Target, const std::string &Name,
                    int64_t Otherwise) {
  size_t At = Target.find(Name + "=");
  if (At == std::string::npos)
    return Otherwise;
  return std::strtoll(Target.c_str() + At + Name.size() + 1, nullptr, 10);
}

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

} // namespace

std::string encodePeerQuery(const PeerQuery &Query) {
  std::string Out =
      absl::StrCat(PeerRecordsPath, "?life=", Query.Since.Life.count(),
                   "&sequence=", Query.Since.Sequence);
  if (Query.OwnAge < absl::InfiniteDuration())
    absl::StrAppend(&Out, "&age_ms=", absl::ToInt64Milliseconds(Query.OwnAge));
  return Out;
}

PeerQuery decodePeerQuery(const std::string &Target) {
  PeerQuery Query;
  Query.Since.Life = Incarnation(numberAfter(Target, "life", 0));
  Query.Since.Sequence = numberAfter(Target, "sequence", 0);
  int64_t Age = numberAfter(Target, "age_ms", -1);
  if (Age >= 0)
    Query.OwnAge = absl::Milliseconds(Age);
  return Query;
}

std::string encodePeerRecords(const PeerRecords &Records) {
  Json::Value Out(Json::objectValue);
  Out["life"] = Json::Int64(Records.Mark.Life.count());
  Out["sequence"] = Json::Int64(Records.Mark.Sequence);
  Out["whole"] = Records.Whole;
  Out["store_just_back"] = Records.StoreJustBack;
  if (Records.ReplicasLeftOut)
    Out["replicas_left_out"] = true;
  Out["replicas_next"] = Json::Int64(Records.ReplicasNext.count());
  Out["age_ms"] = Json::Int64(absl::ToInt64Milliseconds(Records.Age));
  if (!Records.Operators.empty())
    Out["operators"] = listOf(Records.Operators);
  if (!Records.States.empty())
    Out["states"] = listOf(Records.States);
  if (!Records.Replicas.empty())
    Out["replicas"] = listOf(Records.Replicas);
  return writeJson(Out);
}

absl::StatusOr<PeerRecords> decodePeerRecords(const std::string &Text) {
  absl::StatusOr<Json::Value> Top = parseJson(Text);
  if (!Top.ok())
    return Top.status();
  if (!memberAt(*Top, "life").isIntegral() ||
      !memberAt(*Top, "age_ms").isIntegral())
    return absl::InvalidArgumentError("a peer's records lack life or age");
  PeerRecords Out;
  Out.Mark.Life = Incarnation(intAt(*Top, "life"));
  Out.Mark.Sequence = intAt(*Top, "sequence");
  Out.Whole = boolAt(*Top, "whole", false);
  Out.StoreJustBack = boolAt(*Top, "store_just_back", false);
  Out.ReplicasLeftOut = boolAt(*Top, "replicas_left_out", false);
  if (memberAt(*Top, "replicas_next").isIntegral())
    Out.ReplicasNext = Offset(intAt(*Top, "replicas_next"));
  Out.Age = absl::Milliseconds(intAt(*Top, "age_ms"));
  Out.Operators = recordsOf(arrayAt(*Top, "operators"));
  Out.States = recordsOf(arrayAt(*Top, "states"));
  Out.Replicas = recordsOf(arrayAt(*Top, "replicas"));
  return Out;
}

void RecordBook::put(StoreTopic Topic, const StoreRecord &Record) {
  Row &Which = this->Topics[Topic][Record.Key];
  if (Which.Sequence > 0 && Which.Text == Record.Value)
    return;
  Which.Text = Record.Value;
  this->Sequence += 1;
  Which.Sequence = this->Sequence;
}

std::vector<StoreRecord> RecordBook::changed(const Rows &From, int64_t Since,
                                             bool Whole) {
  std::vector<StoreRecord> Out;
  for (const auto &[Key, Which] : From)
    if (Which.Sequence > Since && (Which.Text || !Whole))
      Out.push_back({Key, Which.Text});
  return Out;
}

PeerRecords RecordBook::since(const BookMark &Since) const {
  PeerRecords Out;
  Out.Mark = {this->Life, this->Sequence};
  Out.Whole = Since.Life != this->Life;
  int64_t From = Out.Whole ? 0 : Since.Sequence;
  auto Take = [&](StoreTopic Topic) {
    auto Found = this->Topics.find(Topic);
    return Found == this->Topics.end()
               ? std::vector<StoreRecord>()
               : changed(Found->second, From, Out.Whole);
  };
  Out.Operators = Take(StoreTopic::Operators);
  Out.States = Take(StoreTopic::RolloutStates);
  Out.Replicas = Take(StoreTopic::Replicas);
  return Out;
}

PeerRecords RecordBook::answer(const PeerQuery &Query,
                               absl::Duration Age) const {
  PeerRecords Out = this->since(Query.Since);
  Out.Age = Age;
  Out.ReplicasLeftOut = Out.Whole && Age + WorthSending >= Query.OwnAge;
  if (Out.ReplicasLeftOut)
    Out.Replicas.clear();
  return Out;
}

const std::string *RecordBook::find(StoreTopic Topic,
                                    const std::string &Key) const {
  auto Rows = this->Topics.find(Topic);
  if (Rows == this->Topics.end())
    return nullptr;
  auto Found = Rows->second.find(Key);
  if (Found == Rows->second.end() || !Found->second.Text)
    return nullptr;
  return &*Found->second.Text;
}

} // namespace berylramp
