//===- bill_desk.cpp - Keeps bills until the log has them -----------------===//
//
// An append whose answer was lost is simply made again: the fold counts the
// first record of a key. The log is tried first; holders are asked for bills
// that it has not taken within a short grace.
//
//===----------------------------------------------------------------------===//

#include "bill_desk.h"

#include "berylramp/json.h"

#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr absl::Duration PauseAfterFailure = absl::Milliseconds(100);
constexpr absl::Duration IdleWait = absl::Milliseconds(200);
/// How long the log may take before holders are asked as well.
constexpr absl::Duration HolderGrace = absl::Milliseconds(10);
/// How long holders' messages may gather bills.
constexpr absl::Duration LongestGroup = absl::Milliseconds(20);
constexpr absl::Duration TendEvery = absl::Seconds(1);
constexpr size_t MaxBillsInRecord = 500;

} // namespace

BillDesk::BillDesk(RouterContext &Context, FleetLink &Fleet)
    : Context(Context), Fleet(Fleet) {
  this->Buffer.Capacity = Context.Settings.BillBuffer;
}

void BillDesk::start() {
  this->LogThread.start([this] { this->runLog(); });
  this->HolderThread.start([this] { this->runHolders(); });
  this->Tending =
      this->Context.Timer.every(TendEvery, [this] { this->tendHeld(); });
}

void BillDesk::stop() {
  this->Context.Timer.cancel(this->Tending);
  this->LogThread.stop();
  this->HolderThread.stop();
  this->appendAll();
  std::vector<Waiting> Left = this->unsafeBills();
  if (!Left.empty())
    this->sendToHolders(Left);
}

bool BillDesk::reserve() {
  MutexLock Hold(&this->Lock);
  if (!hasCapacity(this->Buffer, this->Reserved + this->HeldCount))
    return false;
  ++this->Reserved;
  return true;
}

void BillDesk::release() {
  MutexLock Hold(&this->Lock);
  --this->Reserved;
}

bool BillDesk::secure(const Bill &Which, absl::Duration Wait) {
  Instant Began = this->Context.Timer.now();
  std::string Key = Which.key();
  MutexLock Hold(&this->Lock);
  int64_t Sequence = this->NextSequence++;
  addBill(this->Buffer, Which);
  this->Unlogged[Sequence] = Which;
  auto IsSafe = [this, &Key] {
    return durabilityOf(this->Buffer, Key) != BillDurability::NotDurable;
  };
  bool Safe = this->Lock.awaitFor(IsSafe, Wait);
  if (!Safe) {
    removeLogged(this->Buffer, Key);
    this->Unlogged.erase(Sequence);
    return false;
  }
  this->Context.Counts.count(Counter::BillsRecorded);
  this->Context.Counts.observe(Latency::BillSafe,
                               this->Context.Timer.now() - Began);
  return true;
}

void BillDesk::runLog() {
  while (!this->LogThread.stopped()) {
    if (!this->waitForWork())
      continue;
    this->LogThread.pause(this->Context.Settings.BillEvery);
    this->appendAll();
  }
}

/// Woken by work, so that an idle host does not poll.
bool BillDesk::waitForWork() const {
  MutexLock Hold(&this->Lock);
  auto HasWork = [this] { return !this->Unlogged.empty(); };
  return this->Lock.awaitFor(HasWork, IdleWait);
}

void BillDesk::appendAll() {
  while (true) {
    std::vector<int64_t> Sequences;
    std::vector<Bill> Bills;
    {
      MutexLock Hold(&this->Lock);
      for (const auto &[Sequence, Which] : this->Unlogged) {
        Sequences.push_back(Sequence);
        Bills.push_back(Which);
        if (Bills.size() == MaxBillsInRecord)
          break;
      }
    }
    if (Bills.empty())
      return;
    Instant Began = this->Context.Timer.now();
    absl::StatusOr<Offset> At =
        this->Context.Ports.Log.Append(BillStream, encodeBills(Bills));
    if (!At.ok()) {
      this->Context.Counts.count(Counter::LogAppendFailures);
      this->LogThread.pause(PauseAfterFailure);
      return;
    }
    this->Context.Counts.observe(Latency::LogAppend,
                                 this->Context.Timer.now() - Began);
    this->Context.Counts.count(Counter::BillsAppended,
                               static_cast<int64_t>(Bills.size()));
    MutexLock Hold(&this->Lock);
    for (size_t I = 0; I < Bills.size(); ++I) {
      removeLogged(this->Buffer, Bills[I].key());
      this->Unlogged.erase(Sequences[I]);
    }
  }
}

std::vector<BillDesk::Waiting> BillDesk::unsafeBills() const {
  std::vector<Waiting> Out;
  MutexLock Hold(&this->Lock);
  for (const auto &[Sequence, Which] : this->Unlogged) {
    if (durabilityOf(this->Buffer, Which.key()) == BillDurability::NotDurable)
      Out.push_back(Waiting{Sequence, Which});
    if (Out.size() == MaxBillsInRecord)
      break;
  }
  return Out;
}

void BillDesk::runHolders() {
  while (!this->HolderThread.stopped()) {
    if (!this->waitForWork())
      continue;
    // Callers wait for this, so it does not grow with a long bill_ms.
    this->HolderThread.pause(
        std::min(this->Context.Settings.BillEvery, LongestGroup) + HolderGrace);
    std::vector<Waiting> Unsafe = this->unsafeBills();
    if (!Unsafe.empty())
      this->sendToHolders(Unsafe);
  }
}

std::vector<PeerAddress> BillDesk::chooseHolders() const {
  std::vector<PeerAddress> All = this->Fleet.peers();
  const PlaceId &Own = this->Context.Settings.Place;
  // One in another place where there is one, the other near.
  std::stable_partition(All.begin(), All.end(), [&Own](const PeerAddress &P) {
    return P.Place == Own;
  });
  std::vector<PeerAddress> Out;
  if (!All.empty())
    Out.push_back(All.back());
  for (const PeerAddress &Each : All) {
    if (Out.size() >= static_cast<size_t>(RequiredHolders) + 1)
      break;
    if (Each.Host != Out.front().Host)
      Out.push_back(Each);
  }
  return Out;
}

void BillDesk::sendToHolders(const std::vector<Waiting> &Which) {
  Json::Value Params;
  Params["origin"] = this->Context.Settings.Host.text();
  Params["life"] = Json::Int64(this->Context.Life.count());
  std::vector<Bill> Bills;
  for (const Waiting &Each : Which) {
    Params["sequences"].append(Json::Int64(Each.Sequence));
    Bills.push_back(Each.Which);
  }
  Params["bills"] = encodeBills(Bills);
  int Holders = 0;
  for (const PeerAddress &Peer : this->chooseHolders()) {
    absl::StatusOr<Json::Value> Answer =
        this->Context.Ports.Peers.Call(Peer.Address, "hold_bills", Params);
    if (!Answer.ok() || !boolAt(*Answer, "held"))
      continue;
    MutexLock Hold(&this->Lock);
    for (const Waiting &Each : Which)
      recordHolder(this->Buffer, Each.Which.key());
    if (++Holders == RequiredHolders)
      return;
  }
}

absl::StatusOr<Json::Value> BillDesk::onHold(const Json::Value &Params) {
  HeldKey Key{HostId(textAt(Params, "origin")),
              Incarnation(intAt(Params, "life"))};
  std::vector<Bill> Bills = decodeBills(textAt(Params, "bills"));
  const Json::Value &Sequences = arrayAt(Params, "sequences");
  if (Key.Origin.empty() || Bills.size() != Sequences.size())
    return absl::InvalidArgumentError("bills and sequences do not match");
  Json::Value Answer;
  MutexLock Hold(&this->Lock);
  bool Fits = hasCapacity(this->Buffer,
                          this->Reserved + this->HeldCount + Bills.size());
  Answer["held"] = Fits;
  if (!Fits)
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

int64_t BillDesk::loggedUpTo() const {
  MutexLock Hold(&this->Lock);
  if (this->Unlogged.empty())
    return this->NextSequence - 1;
  return this->Unlogged.begin()->first - 1;
}

size_t BillDesk::pending() const {
  MutexLock Hold(&this->Lock);
  return this->Unlogged.size();
}

size_t BillDesk::held() const {
  MutexLock Hold(&this->Lock);
  return this->HeldCount;
}

void BillDesk::tendHeld() {
  FleetView View = this->Fleet.view();
  std::map<HeldKey, std::map<int64_t, Bill>> Orphans;
  {
    MutexLock Hold(&this->Lock);
    for (auto &[Key, Bills] : this->Held) {
      auto Found = View.Members.find(Key.Origin);
      bool IsSameLife = Found != View.Members.end() &&
                        Found->second.LatestRecord.HostIncarnation == Key.Life;
      if (IsSameLife) {
        auto Last =
            Bills.upper_bound(Found->second.LatestRecord.LastLoggedBill);
        this->HeldCount -=
            static_cast<size_t>(std::distance(Bills.begin(), Last));
        Bills.erase(Bills.begin(), Last);
      }
      if (!Bills.empty() && this->Fleet.isPeerGone(Key.Origin, Key.Life))
        Orphans[Key] = Bills;
    }
  }
  for (const auto &[Key, Bills] : Orphans)
    this->adopt(Key, Bills);
}

void BillDesk::adopt(const HeldKey &Key, const std::map<int64_t, Bill> &Bills) {
  std::vector<Bill> Batch;
  Batch.reserve(Bills.size());
  for (const auto &[Sequence, Which] : Bills)
    Batch.push_back(Which);
  absl::StatusOr<Offset> At =
      this->Context.Ports.Log.Append(BillStream, encodeBills(Batch));
  if (!At.ok()) {
    this->Context.Counts.count(Counter::LogAppendFailures);
    return;
  }
  this->Context.Counts.count(Counter::BillsAdopted,
                             static_cast<int64_t>(Batch.size()));
  MutexLock Hold(&this->Lock);
  this->HeldCount -= this->Held[Key].size();
  this->Held.erase(Key);
}

} // namespace berylramp::internal
