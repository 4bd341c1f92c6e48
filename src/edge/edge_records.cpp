//===- edge_records.cpp - Application of store records --------------------===//
//
// Records come from the store or from a peer. A record of another writer may be
// malformed: it is skipped and logged once per key, and the other records are
// applied.
//
//===----------------------------------------------------------------------===//

#include "edge_state.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "berylramp/json.h"
#include <algorithm>
#include <ctime>

namespace berylramp {

namespace {

/// A live replica whose entry lapsed while the store was unavailable writes its
/// entry again within about this long after the store recovered. Its removal is
/// delayed accordingly.
constexpr absl::Duration LapsedEntryGrace = absl::Seconds(2);

} // namespace

void EdgeDaemon::State::logSkippedRecord(const std::string &Key,
                                         const absl::Status &Cause) {
  // The writer repeats its record, so each key is logged only once.
  if (!this->SkippedKeys.insert(Key).second)
    return;
  Json::Value Line(Json::objectValue);
  Line["key"] = Key;
  Line["error"] = std::string(Cause.message());
  logEvent(LogLevel::Warn, "record_skipped", Line);
}

void EdgeDaemon::State::applyOperatorRecords(
    const std::vector<StoreRecord> &Records, Offset ReadTo) {
  for (const StoreRecord &Record : Records) {
    if (!Record.Value)
      continue;
    OperatorKey Kind = this->Platform.Codec.Classify(Record.Key);
    if (Kind == OperatorKey::Table) {
      this->applyTable(Record, ReadTo);
      continue;
    }
    if (Kind != OperatorKey::Rollout)
      continue;
    absl::StatusOr<RolloutOrder> Order =
        this->Platform.Codec.DecodeRollout(*Record.Value);
    if (!Order.ok()) {
      this->logSkippedRecord(Record.Key, Order.status());
      continue;
    }
    this->Cache.put(StoreTopic::Operators, Record, ReadTo);
    this->Rollouts->onOrder(*Order);
    std::string Key = this->Platform.Codec.RolloutKey(Order->Service);
    const std::string *Known = this->Cache.find(StoreTopic::RolloutStates, Key);
    if (Known != nullptr)
      this->applyRolloutStates({StoreRecord{Key, *Known}}, ReadTo);
  }
}

void EdgeDaemon::State::applyTable(const StoreRecord &Record, Offset ReadTo) {
  absl::StatusOr<RouteTable> Decoded =
      this->Platform.Codec.DecodeTable(*Record.Value);
  if (!Decoded.ok()) {
    this->logSkippedRecord(Record.Key, Decoded.status());
    return;
  }
  TableVersion Known = this->Table ? this->Table->Version : NoTable;
  if (Decoded->Version <= Known)
    return;
  Json::Value Line(Json::objectValue);
  Line["version"] = Json::Int64(Decoded->Version.count());
  Line["before"] = Json::Int64(Known.count());
  Line["routes"] = Json::Int64(Decoded->Routes.size());
  this->Table = std::make_shared<RouteTable>(*std::move(Decoded));
  this->Peers.self().Table = this->Table->Version;
  this->Cache.put(StoreTopic::Operators, Record, ReadTo);
  this->Counters.count(Counter::EditsAccepted);
  logEvent(LogLevel::Info, "table_in_force", Line);
}

void EdgeDaemon::State::applyRolloutStates(
    const std::vector<StoreRecord> &Records, Offset ReadTo) {
  for (const StoreRecord &Record : Records) {
    if (!Record.Value)
      continue;
    this->Cache.put(StoreTopic::RolloutStates, Record, ReadTo);
    auto Decoded = this->Platform.Codec.DecodeRolloutState(*Record.Value);
    if (!Decoded.ok()) {
      this->logSkippedRecord(Record.Key, Decoded.status());
      continue;
    }
    for (const ServiceId &Service : this->Rollouts->services())
      if (this->Platform.Codec.RolloutKey(Service) == Record.Key)
        this->Rollouts->onStateRecorded(Service, Decoded->first,
                                        Decoded->second);
  }
}

void EdgeDaemon::State::applyReplicaRecord(const StoreRecord &Record,
                                           Offset ReadTo,
                                           absl::Duration GracePeriod) {
  Instant Now = this->Timer.now();
  UpstreamId Id(Record.Key);
  ReplicaPtr Known = this->Registry.find(Id);
  Json::Value Line(Json::objectValue);
  Line["replica"] = Record.Key;
  if (!Record.Value) {
    this->Cache.put(StoreTopic::Replicas, Record, ReadTo);
    this->Registry.remove(Id, Now, GracePeriod);
    Line["usable_ms"] = Json::Int64(absl::ToInt64Milliseconds(GracePeriod));
    if (Known != nullptr)
      logEvent(LogLevel::Info, "replica_removed", Line);
    return;
  }
  absl::StatusOr<ReplicaEntry> Entry =
      this->Platform.Codec.DecodeReplica(Record.Key, *Record.Value);
  if (!Entry.ok()) {
    this->logSkippedRecord(Record.Key, Entry.status());
    this->Cache.put(StoreTopic::Replicas, {Record.Key, std::nullopt}, ReadTo);
    this->Registry.evict(Id, Now);
    return;
  }
  bool Unchanged =
      Known != nullptr && !Known->Removed && Known->Entry == *Entry;
  if (this->Registry.isOutdated(*Entry))
    return;
  if (Unchanged) {
    Known->Entry.Sequence = Entry->Sequence;
    return;
  }
  // A replica's heartbeats change only the text of its record; they are not
  // cached for peers.
  this->Cache.put(StoreTopic::Replicas, Record, ReadTo);
  Line["service"] = Entry->Service.text();
  Line["address"] = Entry->Address.text();
  Line["version"] = Entry->Version.text();
  Line["draining"] = Entry->Draining;
  logEvent(LogLevel::Info, "replica_entry", Line);
  this->Registry.put(*Entry, Now);
}

bool EdgeDaemon::State::storeRecentlyRecovered() const {
  return this->Replicas != nullptr &&
         this->Timer.now() - this->Replicas->recoveredAt() < LapsedEntryGrace;
}

void EdgeDaemon::State::applyReplicaRecords(const RecordBatch &Batch,
                                            bool RecentlyRecovered) {
  absl::Duration GracePeriod =
      RecentlyRecovered ? LapsedEntryGrace : absl::ZeroDuration();
  std::set<std::string> Seen;
  for (const StoreRecord &Record : Batch.Records) {
    this->applyReplicaRecord(Record, Batch.Next, GracePeriod);
    Seen.insert(Record.Key);
  }
  if (Batch.IsSnapshot)
    for (const UpstreamId &Id : this->Registry.ids())
      if (Seen.count(Id.text()) == 0)
        this->applyReplicaRecord({Id.text(), std::nullopt}, Batch.Next,
                                 GracePeriod);
  this->Registry.sweep(this->Timer.now());
}

void EdgeDaemon::State::applyHostRecords(
    const std::vector<StoreRecord> &Records) {
  for (const StoreRecord &Record : Records)
    if (Record.Value)
      this->Peers.addAddress(parseIp(*Record.Value), this->Timer.now());
}

void EdgeDaemon::State::advance(StoreTopic Topic, StoreFollower &Follower,
                                const RecordBatch &Batch) {
  if (Batch.Next == NoOffset)
    return;
  this->Cache.advance(Topic, Batch.Next, Batch.IsSnapshot);
  Follower.skipTo(Batch.Next);
}

void EdgeDaemon::State::applyPeerRecords(const PeerRecords &Records) {
  this->applyOperatorRecords(Records.Operators.Records, Records.Operators.Next);
  this->advance(StoreTopic::Operators, *this->Operators, Records.Operators);
  this->applyRolloutStates(Records.States.Records, Records.States.Next);
  this->advance(StoreTopic::RolloutStates, *this->States, Records.States);
  // Records of a peer that has read less than this host would restore older
  // entries.
  if (Records.Replicas.Next < this->Replicas->next())
    return;
  this->applyReplicaRecords(Records.Replicas, Records.StoreRecentlyRecovered);
  this->advance(StoreTopic::Replicas, *this->Replicas, Records.Replicas);
  this->PeerEntriesAsOf = this->Timer.now() + -Records.Age;
}

} // namespace berylramp
