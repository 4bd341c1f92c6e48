//===- bill_manager.cpp - Buffers bills until the log has them ------------===//
//
// An append whose response was lost is repeated: the fold counts only the first
// record of a key. The log is tried first; bills that it has not accepted
// within a short delay are also sent to holders.
//
//===----------------------------------------------------------------------===//

#include "bill_manager.h"

#include "berylramp/json.h"

#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr absl::Duration RetryDelay = absl::Milliseconds(100);
constexpr absl::Duration IdleTimeout = absl::Milliseconds(200);
/// Time that the log has for an append before bills are sent to holders as
/// well.
constexpr absl::Duration HolderDelay = absl::Milliseconds(10);
/// Upper limit of the time in which bills are batched for holders.
constexpr absl::Duration MaxHolderBatchDelay = absl::Milliseconds(20);
constexpr absl::Duration HeldReviewInterval = absl::Seconds(1);
constexpr size_t MaxBillsInRecord = 500;

} // namespace

BillManager::BillManager(RouterContext &Context, FleetLink &Fleet)
    : Context(Context), Fleet(Fleet) {
  this->Buffer.Capacity = Context.Settings.MaxBufferedBills;
}

void BillManager::start() {
  this->LogThread.start([this] { this->runAppender(); });
  this->HolderThread.start([this] { this->runHolders(); });
  this->ReviewSubscription = this->Context.Timer.schedulePeriodic(
      HeldReviewInterval, [this] { this->reviewHeldBills(); });
}

void BillManager::stop() {
  this->Context.Timer.cancel(this->ReviewSubscription);
  this->LogThread.stop();
  this->HolderThread.stop();
  this->appendUnlogged();
  std::vector<SequencedBill> Remaining = this->nonDurableBills();
  if (!Remaining.empty())
    this->sendToHolders(Remaining);
}

bool BillManager::reserve() {
  MutexLock Guard(&this->Lock);
  if (!hasCapacity(this->Buffer, this->Reserved + this->HeldCount))
    return false;
  ++this->Reserved;
  return true;
}

void BillManager::release() {
  MutexLock Guard(&this->Lock);
  --this->Reserved;
}

bool BillManager::commit(const Bill &Record, absl::Duration Timeout) {
  Instant Start = this->Context.Timer.now();
  std::string Key = Record.key();
  MutexLock Guard(&this->Lock);
  int64_t Sequence = this->NextSequence++;
  addBill(this->Buffer, Record);
  this->Unlogged[Sequence] = Record;
  auto IsDurable = [this, &Key] {
    return durabilityOf(this->Buffer, Key) != BillDurability::NotDurable;
  };
  bool Durable = this->Lock.awaitWithTimeout(IsDurable, Timeout);
  if (!Durable) {
    removeLogged(this->Buffer, Key);
    this->Unlogged.erase(Sequence);
    return false;
  }
  this->Context.Counts.count(Counter::BillsRecorded);
  this->Context.Counts.observe(Latency::BillSafe,
                               this->Context.Timer.now() - Start);
  return true;
}

void BillManager::runAppender() {
  while (!this->LogThread.isStopping()) {
    if (!this->waitForWork())
      continue;
    this->LogThread.pause(this->Context.Settings.BillFlushInterval);
    this->appendUnlogged();
  }
}

/// Waits for a bill that is not in the log; false after IdleTimeout. Without
/// the wait, the threads of an idle host would run continuously.
bool BillManager::waitForWork() const {
  MutexLock Guard(&this->Lock);
  auto HasWork = [this] { return !this->Unlogged.empty(); };
  return this->Lock.awaitWithTimeout(HasWork, IdleTimeout);
}

void BillManager::appendUnlogged() {
  while (true) {
    std::vector<int64_t> Sequences;
    std::vector<Bill> Bills;
    {
      MutexLock Guard(&this->Lock);
      for (const auto &[Sequence, Record] : this->Unlogged) {
        Sequences.push_back(Sequence);
        Bills.push_back(Record);
        if (Bills.size() == MaxBillsInRecord)
          break;
      }
    }
    if (Bills.empty())
      return;
    Instant AppendStart = this->Context.Timer.now();
    absl::StatusOr<Offset> At =
        this->Context.Ports.Log.Append(BillStream, encodeBills(Bills));
    if (!At.ok()) {
      this->Context.Counts.count(Counter::LogAppendFailures);
      this->LogThread.pause(RetryDelay);
      return;
    }
    this->Context.Counts.observe(Latency::LogAppend,
                                 this->Context.Timer.now() - AppendStart);
    this->Context.Counts.count(Counter::BillsAppended,
                               static_cast<int64_t>(Bills.size()));
    MutexLock Guard(&this->Lock);
    for (size_t I = 0; I < Bills.size(); ++I) {
      removeLogged(this->Buffer, Bills[I].key());
      this->Unlogged.erase(Sequences[I]);
    }
  }
}

std::vector<BillManager::SequencedBill> BillManager::nonDurableBills() const {
  std::vector<SequencedBill> Result;
  MutexLock Guard(&this->Lock);
  for (const auto &[Sequence, Record] : this->Unlogged) {
    if (durabilityOf(this->Buffer, Record.key()) == BillDurability::NotDurable)
      Result.push_back(SequencedBill{Sequence, Record});
    if (Result.size() == MaxBillsInRecord)
      break;
  }
  return Result;
}

void BillManager::runHolders() {
  while (!this->HolderThread.isStopping()) {
    if (!this->waitForWork())
      continue;
    // Callers wait until their bills are durable, so a long bill_ms must not
    // extend this delay.
    this->HolderThread.pause(std::min(this->Context.Settings.BillFlushInterval,
                                      MaxHolderBatchDelay) +
                             HolderDelay);
    std::vector<SequencedBill> NonDurable = this->nonDurableBills();
    if (!NonDurable.empty())
      this->sendToHolders(NonDurable);
  }
}

std::vector<PeerAddress> BillManager::chooseHolders() const {
  std::vector<PeerAddress> All = this->Fleet.peers();
  const PlaceId &OwnPlace = this->Context.Settings.Place;
  // Prefers one holder in another place, if there is one, and the others in the
  // place of this host. One holder more than required is chosen, in case one
  // does not accept the bills.
  std::stable_partition(
      All.begin(), All.end(),
      [&OwnPlace](const PeerAddress &Peer) { return Peer.Place == OwnPlace; });
  std::vector<PeerAddress> Result;
  if (!All.empty())
    Result.push_back(All.back());
  for (const PeerAddress &Peer : All) {
    if (Result.size() >= static_cast<size_t>(RequiredHolders) + 1)
      break;
    if (Peer.Host != Result.front().Host)
      Result.push_back(Peer);
  }
  return Result;
}

void BillManager::sendToHolders(const std::vector<SequencedBill> &NonDurable) {
  Json::Value Params;
  Params["origin"] = this->Context.Settings.Host.text();
  Params["life"] = Json::Int64(this->Context.HostIncarnation.count());
  std::vector<Bill> Bills;
  for (const SequencedBill &Item : NonDurable) {
    Params["sequences"].append(Json::Int64(Item.Sequence));
    Bills.push_back(Item.Record);
  }
  Params["bills"] = encodeBills(Bills);
  int Holders = 0;
  for (const PeerAddress &Peer : this->chooseHolders()) {
    absl::StatusOr<Json::Value> Answer =
        this->Context.Ports.Peers.Call(Peer.Address, "hold_bills", Params);
    if (!Answer.ok() || !boolAt(*Answer, "held"))
      continue;
    MutexLock Guard(&this->Lock);
    for (const SequencedBill &Item : NonDurable)
      recordHolder(this->Buffer, Item.Record.key());
    if (++Holders == RequiredHolders)
      return;
  }
}

absl::StatusOr<Json::Value>
BillManager::onHoldBills(const Json::Value &Params) {
  HeldKey Key{HostId(textAt(Params, "origin")),
              Incarnation(intAt(Params, "life"))};
  std::vector<Bill> Bills = decodeBills(textAt(Params, "bills"));
  const Json::Value &Sequences = arrayAt(Params, "sequences");
  if (Key.Origin.empty() || Bills.size() != Sequences.size())
    return absl::InvalidArgumentError(
        "the numbers of bills and sequences differ");
  Json::Value Answer;
  MutexLock Guard(&this->Lock);
  bool HasRoom = hasCapacity(this->Buffer,
                             this->Reserved + this->HeldCount + Bills.size());
  Answer["held"] = HasRoom;
  if (!HasRoom)
    return Answer;
  for (Json::ArrayIndex I = 0; I < Sequences.size(); ++I) {
    if (!Sequences[I].isInt64())
      continue;
    bool IsNew =
        this->Held[Key].emplace(Sequences[I].asInt64(), Bills[I]).second;
    this->HeldCount += IsNew ? 1 : 0;
  }
  return Answer;
}

int64_t BillManager::lastLoggedSequence() const {
  MutexLock Guard(&this->Lock);
  if (this->Unlogged.empty())
    return this->NextSequence - 1;
  return this->Unlogged.begin()->first - 1;
}

size_t BillManager::pendingCount() const {
  MutexLock Guard(&this->Lock);
  return this->Unlogged.size();
}

size_t BillManager::heldCount() const {
  MutexLock Guard(&this->Lock);
  return this->HeldCount;
}

void BillManager::reviewHeldBills() {
  FleetView View = this->Fleet.view();
  std::map<HeldKey, std::map<int64_t, Bill>> BillsToAdopt;
  {
    MutexLock Guard(&this->Lock);
    for (auto &[Key, Bills] : this->Held) {
      auto Found = View.Members.find(Key.Origin);
      bool IsSameIncarnation =
          Found != View.Members.end() &&
          Found->second.LatestRecord.HostIncarnation == Key.OriginIncarnation;
      if (IsSameIncarnation) {
        auto Last =
            Bills.upper_bound(Found->second.LatestRecord.LastLoggedBill);
        this->HeldCount -=
            static_cast<size_t>(std::distance(Bills.begin(), Last));
        Bills.erase(Bills.begin(), Last);
      }
      if (!Bills.empty() &&
          this->Fleet.isPeerUnavailable(Key.Origin, Key.OriginIncarnation))
        BillsToAdopt[Key] = Bills;
    }
  }
  for (const auto &[Key, Bills] : BillsToAdopt)
    this->adopt(Key, Bills);
}

void BillManager::adopt(const HeldKey &Key,
                        const std::map<int64_t, Bill> &Bills) {
  std::vector<Bill> Batch;
  Batch.reserve(Bills.size());
  for (const auto &[Sequence, Record] : Bills)
    Batch.push_back(Record);
  absl::StatusOr<Offset> At =
      this->Context.Ports.Log.Append(BillStream, encodeBills(Batch));
  if (!At.ok()) {
    this->Context.Counts.count(Counter::LogAppendFailures);
    return;
  }
  this->Context.Counts.count(Counter::BillsAdopted,
                             static_cast<int64_t>(Batch.size()));
  MutexLock Guard(&this->Lock);
  this->HeldCount -= this->Held[Key].size();
  this->Held.erase(Key);
}

} // namespace berylramp::internal
