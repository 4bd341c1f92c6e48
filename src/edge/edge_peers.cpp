//===- edge_peers.cpp - Which source of records a host uses ---------------===//
//
// One host of a region reads the store for the others. A host reads the store
// itself while that one is silent or behind, and asks any peer while the store
// does not serve it.
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

/// A peer's newer table for this long has this host ask a peer.
constexpr absl::Duration AskPeerAfter = absl::Milliseconds(300);
/// Part of the bound on work for a leaving replica. A store whose reads fail
/// for longer counts as away: this host asks peers and does not read for them.
constexpr double StoreAwayPart = 0.35;
/// Part of the bound on work for a leaving replica. Records older than this at
/// the host that reads for the region have this host read the store itself.
constexpr double ReaderAgePart = 0.52;
/// With hundreds of hosts a beat takes seconds to come around.
constexpr absl::Duration ReaderHeardWithin = absl::Seconds(10);
/// A reader that failed is passed over for this long.
constexpr absl::Duration ReaderBadFor = absl::Seconds(8);
/// After a reader failed, how long this host reads the store itself: the next
/// reader notices the failure within two of its questions.
constexpr absl::Duration DirectFor = absl::Milliseconds(1200);
/// A host that reads the replicas' entries itself for this long reads the
/// other topics too. Before that a newer table is heard of from peers.
constexpr absl::Duration TablesAfter = absl::Seconds(1);

} // namespace

uint32_t EdgeDaemon::State::readerOfRegion() const {
  std::vector<const PeerState *> Able;
  const PeerState &Self = this->Peers.self();
  if (this->storeServes())
    Able.push_back(&Self);
  Instant Now = this->Timer.now();
  for (const Peer *Each : this->Peers.heardWithin(ReaderHeardWithin, Now)) {
    auto Bad = this->BadReaders.find(Each->State.Ip);
    if (Bad != this->BadReaders.end() && Now < Bad->second)
      continue;
    auto Region = this->Facts.Regions.find(Each->State.Place);
    bool Near = Region != this->Facts.Regions.end() &&
                Region->second == this->Facts.Region;
    if (Near)
      Able.push_back(&Each->State);
  }
  return chooseReader(Able, Self.Ip);
}

void EdgeDaemon::State::tellStoreUse(uint32_t Reader) {
  StoreUse Use = StoreUse::Rests;
  if (!this->storeServes())
    Use = StoreUse::Away;
  else if (Reader == this->Peers.self().Ip && this->ready())
    Use = StoreUse::Reads;
  if (Use == this->Peers.self().Store)
    return;
  this->Peers.self().Store = Use;
  this->Link->spread();
}

bool EdgeDaemon::State::storeServes() const {
  return this->Replicas->reachable() ||
         this->Timer.now() - this->Replicas->lastGood() <
             this->Facts.Bounds.Drain * StoreAwayPart;
}

void EdgeDaemon::State::followStore(bool Direct) {
  if (Direct == !this->Replicas->paused())
    return;
  Json::Value Line(Json::objectValue);
  Line["from"] = Direct ? "store" : "peer";
  Line["reader"] = ipText(this->readerOfRegion());
  logEvent(LogLevel::Info, "record_source", Line);
  if (Direct) {
    this->DirectSince = this->Timer.now();
    this->Replicas->resume();
    return;
  }
  for (const auto &Each : {this->Operators, this->States, this->Replicas})
    Each->pause();
}

void EdgeDaemon::State::followTables() {
  bool Reads = this->Peers.self().Store == StoreUse::Reads;
  if (!Reads && this->Timer.now() - this->DirectSince < TablesAfter)
    return;
  this->Operators->resume();
  this->States->resume();
}

bool EdgeDaemon::State::needsPeer() const {
  return !this->storeServes() ||
         this->Timer.now() - this->NewerTableSince > AskPeerAfter;
}

absl::Duration EdgeDaemon::State::entriesAge() const {
  return this->Timer.now() -
         std::max(this->Replicas->lastGood(), this->PeerEntriesAsOf);
}

void EdgeDaemon::State::askPeer() {
  Instant Now = this->Timer.now();
  TableVersion Own = this->Table ? this->Table->Version : NoTable;
  std::vector<uint32_t> Newer;
  std::vector<uint32_t> Any;
  for (const Peer *Each : this->Peers.live(Now)) {
    Any.push_back(Each->State.Ip);
    if (Each->State.Table > Own)
      Newer.push_back(Each->State.Ip);
  }
  if (Newer.empty())
    this->NewerTableSince = Now;
  uint32_t Reader = this->readerOfRegion();
  this->tellStoreUse(Reader);
  bool Direct = Reader == this->Peers.self().Ip || !this->ready() ||
                this->Leaving || Now < this->DirectUntil;
  if (Direct) {
    this->followStore(true);
    this->followTables();
  }
  if (!Direct)
    this->askReader(Reader);
  else if (this->needsPeer())
    this->askAnyPeer(Newer.empty() ? Any : Newer);
}

PeerQuery EdgeDaemon::State::peerQuery() const {
  return {this->Operators->next(), this->States->next(),
          this->Replicas->next()};
}

void EdgeDaemon::State::askAnyPeer(const std::vector<uint32_t> &From) {
  if (From.empty())
    return;
  auto Weak = this->weak_from_this();
  this->Link->fetch(From[randomUint64() % From.size()], this->peerQuery(),
                    [Weak](const absl::StatusOr<PeerRecords> &Records) {
                      auto Self = Weak.lock();
                      if (Self && Records.ok())
                        Self->peerRecords(*Records);
                    });
}

void EdgeDaemon::State::askReader(uint32_t Reader) {
  auto Weak = this->weak_from_this();
  this->Link->fetch(Reader, this->peerQuery(),
                    [Weak, Reader](const absl::StatusOr<PeerRecords> &Records) {
                      if (auto Self = Weak.lock())
                        Self->tookFromReader(Records, Reader);
                    });
}

void EdgeDaemon::State::tookFromReader(
    const absl::StatusOr<PeerRecords> &Records, uint32_t Reader) {
  if (!Records.ok() ||
      Records->Age >= this->Facts.Bounds.Drain * ReaderAgePart) {
    this->BadReaders[Reader] = this->Timer.now() + ReaderBadFor;
    this->DirectUntil = this->Timer.now() + DirectFor;
    this->followStore(true);
    return;
  }
  this->peerRecords(*Records);
  this->followStore(false);
}

int EdgeDaemon::State::rank() const {
  int Before = 0;
  for (const Peer *Each : this->Peers.live(this->Timer.now()))
    if (!Each->State.Leaving && writesBefore(Each->State, this->Peers.self()))
      Before += 1;
  return Before;
}

} // namespace berylramp
