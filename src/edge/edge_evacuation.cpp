//===- edge_evacuation.cpp - Evacuated data centres -----------------------===//
//
// An evacuation lasts while its record exists. A store that returned from an
// older copy may lack the record; the evacuation then stays in force until the
// operators remove it.
//
//===----------------------------------------------------------------------===//

#include "edge_state.h"

#include "berylramp/json.h"

namespace berylramp {

void EdgeDaemon::State::applyEvacuations(const RecordBatch &Batch,
                                         const char *Source) {
  // A read that was in progress while a peer supplied later records.
  if (Batch.position() < this->Peers.self().Operators)
    return;
  this->Peers.self().Operators = Batch.position();
  bool Changed = false;
  std::set<std::string> Stated;
  for (const StoreRecord &Record : Batch.Records) {
    if (this->Platform.Codec.Classify(Record.Key) != OperatorKey::Evacuation)
      continue;
    absl::StatusOr<PlaceId> Place =
        this->Platform.Codec.DecodeEvacuationKey(Record.Key);
    if (!Place.ok()) {
      this->logSkippedRecord(Record.Key, Place.status());
      continue;
    }
    if (!Record.Value) {
      Changed = this->endEvacuation(Record.Key, Batch, Source) || Changed;
      continue;
    }
    Stated.insert(Record.Key);
    this->Cache.put(StoreTopic::Operators, Record, Batch.Next);
    auto [Known, IsNew] = this->Evacuations.try_emplace(Record.Key, Batch.Era);
    Known->second = Batch.Era;
    if (!IsNew)
      continue;
    Changed = true;
    Json::Value Line(Json::objectValue);
    Line["place"] = Place->text();
    Line["known_place"] = this->Config.Regions.count(*Place) > 0;
    Line["source"] = Source;
    logEvent(LogLevel::Info, "evacuation_begun", Line);
  }
  std::vector<std::string> Missing;
  for (const auto &[Key, Era] : this->Evacuations)
    if (Batch.IsSnapshot && Stated.count(Key) == 0 && Era == Batch.Era)
      Missing.push_back(Key);
  for (const std::string &Key : Missing)
    Changed = this->endEvacuation(Key, Batch, Source) || Changed;
  if (!Changed)
    return;
  std::set<PlaceId> Places;
  for (const auto &[Key, Era] : this->Evacuations)
    Places.insert(*this->Platform.Codec.DecodeEvacuationKey(Key));
  this->Registry.setEvacuated(std::move(Places));
  this->Link->broadcastState();
}

bool EdgeDaemon::State::endEvacuation(const std::string &Key,
                                      const RecordBatch &Batch,
                                      const char *Source) {
  this->Cache.put(StoreTopic::Operators, {Key, std::nullopt}, Batch.Next);
  if (this->Evacuations.erase(Key) == 0)
    return false;
  Json::Value Line(Json::objectValue);
  Line["place"] = this->Platform.Codec.DecodeEvacuationKey(Key)->text();
  Line["source"] = Source;
  logEvent(LogLevel::Info, "evacuation_ended", Line);
  return true;
}

} // namespace berylramp
