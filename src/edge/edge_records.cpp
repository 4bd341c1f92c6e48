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

void EdgeDaemon::State::applyOperatorRecords(const RecordBatch &Batch) {
  for (const StoreRecord &Record : Batch.Records) {
    if (!Record.Value)
      continue;
    OperatorKey Kind = this->Platform.Codec.Classify(Record.Key);
    if (Kind == OperatorKey::Table)
      this->applyTable(Record, Batch.Next);
    else if (Kind == OperatorKey::Rollout)
      this->applyRollout(Record, Batch.Next);
  }
}

void EdgeDaemon::State::applyRollout(const StoreRecord &Record, Offset ReadTo) {
  absl::StatusOr<RolloutOrder> Order =
      this->Platform.Codec.DecodeRollout(*Record.Value);
  if (!Order.ok()) {
    this->logSkippedRecord(Record.Key, Order.status());
    return;
  }
  this->Cache.put(StoreTopic::Operators, Record, ReadTo);
  this->Rollouts->onOrder(*Order);
  std::string Key = this->Platform.Codec.RolloutKey(Order->Service);
  const std::string *Known = this->Cache.find(StoreTopic::RolloutStates, Key);
  if (Known != nullptr)
    this->applyRolloutStates({StoreRecord{Key, *Known}}, ReadTo);
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
  this->logUnservedRegions(*Decoded);
  this->Table = std::make_shared<RouteTable>(*std::move(Decoded));
  this->Peers.self().Table = this->Table->Version;
  this->applyWarmupRules();
  this->Cache.put(StoreTopic::Operators, Record, ReadTo);
  this->Counters.count(Counter::EditsAccepted);
  logEvent(LogLevel::Info, "table_in_force", Line);
}

void EdgeDaemon::State::logUnservedRegions(const RouteTable &Changed) const {
  Json::Value Line(Json::objectValue);
  auto AddIfUnserved = [&](const char *Kind, const std::string &Name,
                           const AllowedRegions &Regions) {
    bool Known =
        std::any_of(this->Config.Regions.begin(), this->Config.Regions.end(),
                    [&](const auto &Place) {
                      return allowsRegion(Regions, RegionId(Place.second));
                    });
    if (Regions && !Known)
      Line[Kind].append(Name);
  };
  for (const Route &Row : Changed.Routes)
    AddIfUnserved("routes", Row.Name, Row.Regions);
  for (const WorkspaceInfo &Row : Changed.Workspaces)
    AddIfUnserved("workspaces", Row.Id.text(), Row.Regions);
  if (!Line.empty())
    logEvent(LogLevel::Warn, "regions_without_places", Line);
}

void EdgeDaemon::State::applyRolloutStates(
    const std::vector<StoreRecord> &Records, Offset ReadTo) {
  for (const StoreRecord &Record : Records) {
    std::optional<uint64_t> Input =
        this->Platform.Codec.DecodeQuarantineKey(Record.Key);
    if (Input) {
      this->Cache.put(StoreTopic::RolloutStates, Record, ReadTo);
      this->Quarantine->onRecord(*Input, Record.Value.has_value());
      continue;
    }
    if (!Record.Value)
      continue;
    auto Decoded = this->Platform.Codec.DecodeRolloutState(*Record.Value);
    if (!Decoded.ok()) {
      this->logSkippedRecord(Record.Key, Decoded.status());
      continue;
    }
    this->Cache.put(StoreTopic::RolloutStates, Record, ReadTo);
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
    if (Entry->Sequence > Known->Entry.Sequence)
      this->Quarantine->onAlive(processHash(*Entry));
    // Peers learn of a longer cold time as they learn of a changed entry.
    if (this->Registry.onHeartbeat(*Known, *Entry, Now))
      this->Cache.put(StoreTopic::Replicas, Record, ReadTo);
    return;
  }
  // A replica's heartbeats change only the text of its record; they are not
  // cached for peers.
  this->Cache.put(StoreTopic::Replicas, Record, ReadTo);
  Line["service"] = Entry->Service.text();
  Line["address"] = Entry->Address.text();
  Line["version"] = Entry->Version.text();
  Line["draining"] = Entry->Draining;
  if (!Entry->ColdRemaining)
    Line["cold_time"] = "not stated or unusable";
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
  this->logWarmthChanges();
}

void EdgeDaemon::State::applyHostRecords(
    const std::vector<StoreRecord> &Records) {
  for (const StoreRecord &Record : Records) {
    if (!Record.Value)
      continue;
    uint32_t Ip = parseIp(*Record.Value);
    if (Ip == 0)
      this->logSkippedRecord(
          Record.Key,
          absl::InvalidArgumentError(
              "the record of a host is not an IPv4 address; the host "
              "writes it again when it starts"));
    else
      this->Peers.addAddress(Ip, this->Timer.now());
  }
}

StoreFollower &EdgeDaemon::State::follower(StoreTopic Topic) const {
  if (Topic == StoreTopic::Operators)
    return *this->Operators;
  return Topic == StoreTopic::RolloutStates ? *this->States : *this->Replicas;
}

void EdgeDaemon::State::noteEra(StoreEra Era) {
  bool IsLater = this->LatestEra && *this->LatestEra < Era;
  this->LatestEra = std::max(this->LatestEra.value_or(Era), Era);
  if (!IsLater)
    return;
  Json::Value Line(Json::objectValue);
  Line["era"] = Json::Int64(Era.count());
  logEvent(LogLevel::Warn, "store_restored", Line);
  // Spread over time: all hosts write at about the same moment.
  auto Weak = this->weak_from_this();
  this->Timer.after(this->Settings.RewriteSpread * randomFactor(), [Weak] {
    if (auto Self = Weak.lock()) {
      Self->announceHost(InitialHostsRetry);
      Self->Quarantine->rewriteRecords();
    }
  });
}

void EdgeDaemon::State::findLostStates(const RecordBatch &Snapshot) {
  std::map<std::string, RolloutState> Stored;
  for (const StoreRecord &Record : Snapshot.Records) {
    auto Decoded = Record.Value
                       ? this->Platform.Codec.DecodeRolloutState(*Record.Value)
                       : absl::NotFoundError("deleted");
    if (Decoded.ok())
      Stored[Record.Key] = Decoded->second;
  }
  for (const ServiceId &Service : this->Rollouts->services()) {
    std::string Key = this->Platform.Codec.RolloutKey(Service);
    auto Found = Stored.find(Key);
    if (Found != Stored.end()) {
      this->Rollouts->compareWithStore(Service, Found->second);
      continue;
    }
    this->Cache.drop(StoreTopic::RolloutStates, Key);
    this->Rollouts->compareWithStore(Service, std::nullopt);
  }
}

void EdgeDaemon::State::applyBatch(StoreTopic Topic, const RecordBatch &Batch,
                                   bool RecentlyRecovered, const char *Source) {
  this->noteEra(Batch.Era);
  // A page that the store returned before a peer reported a later era.
  if (Batch.Era < *this->LatestEra)
    return;
  this->Cache.enterEra(Topic, Batch.Era);
  switch (Topic) {
  case StoreTopic::Operators:
    // Before the table, with which the host becomes ready.
    this->applyEvacuations(Batch, Source);
    this->applyOperatorRecords(Batch);
    break;
  case StoreTopic::RolloutStates:
    this->applyRolloutStates(Batch.Records, Batch.Next);
    if (Batch.IsSnapshot)
      this->findLostStates(Batch);
    break;
  case StoreTopic::Replicas:
    this->applyReplicaRecords(Batch, RecentlyRecovered);
    break;
  case StoreTopic::Hosts:
    this->applyHostRecords(Batch.Records);
    break;
  }
  this->Cache.advance(Topic, Batch.Next, Batch.IsSnapshot);
}

void EdgeDaemon::State::applyPeerRecords(const PeerRecords &Records) {
  auto Apply = [&](StoreTopic Topic, const RecordBatch &Batch) {
    StoreFollower &Follower = this->follower(Topic);
    // Records of a peer that has read less than this host would restore older
    // ones.
    if (Batch.Next == NoOffset || Batch.position() < Follower.position())
      return false;
    this->applyBatch(Topic, Batch, Records.StoreRecentlyRecovered, "peer");
    Follower.skipTo(Batch.position());
    return true;
  };
  Apply(StoreTopic::Operators, Records.Operators);
  Apply(StoreTopic::RolloutStates, Records.States);
  if (Apply(StoreTopic::Replicas, Records.Replicas))
    this->PeerEntriesAsOf = this->Timer.now() + -Records.Age;
}

} // namespace berylramp
