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

/// A peer's newer table, or a store that fails, for this long has this host
/// ask a peer.
constexpr absl::Duration AskPeerAfter = absl::Milliseconds(300);
constexpr absl::Duration StoreAwayAfter = absl::Milliseconds(1500);
/// Records older than this at the host that reads for the region have this
/// host read the store itself: two reads that failed.
constexpr absl::Duration ReaderAgeBound = absl::Milliseconds(1300);
/// With hundreds of hosts a beat takes seconds to come around. A change of the
/// reader costs all records, so that a host is passed over only after this.
constexpr absl::Duration ReaderHeardWithin = absl::Seconds(10);
/// A reader that failed is passed over for this long.
constexpr absl::Duration ReaderBadFor = absl::Seconds(8);
/// After a reader failed, how long this host reads the store itself.
constexpr absl::Duration DirectFor = absl::Seconds(4);

} // namespace

uint32_t EdgeDaemon::State::readerOfRegion() const {
  uint32_t Reader = this->Peers.self().Ip;
  Instant Now = this->Timer.now();
  for (const Peer *Each : this->Peers.heardWithin(ReaderHeardWithin, Now)) {
    auto Bad = this->BadReaders.find(Each->State.Ip);
    if (Bad != this->BadReaders.end() && Now < Bad->second)
      continue;
    auto Region = this->Facts.Regions.find(Each->State.Place);
    bool Near = Region != this->Facts.Regions.end() &&
                Region->second == this->Facts.Region;
    if (Near && !Each->State.Leaving && Each->State.Ready)
      Reader = std::min(Reader, Each->State.Ip);
  }
  return Reader;
}

void EdgeDaemon::State::followStore(bool Direct) {
  if (Direct == !this->Replicas->paused())
    return;
  Json::Value Line(Json::objectValue);
  Line["from"] = Direct ? "store" : "peer";
  Line["reader"] = ipText(this->readerOfRegion());
  logEvent(LogLevel::Info, "record_source", Line);
  for (const auto &Each : {this->Operators, this->States, this->Replicas}) {
    if (Direct)
      Each->resume();
    else
      Each->pause();
  }
}

bool EdgeDaemon::State::needsPeer() const {
  bool Away = !this->Replicas->reachable() &&
              this->Timer.now() - this->Replicas->lastGood() > StoreAwayAfter;
  return Away || this->Timer.now() - this->NewerTableSince > AskPeerAfter;
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
  bool Direct = Reader == this->Peers.self().Ip || !this->ready() ||
                this->Leaving || Now < this->DirectUntil;
  if (Direct)
    this->followStore(true);
  if (!Direct)
    this->askReader(Reader);
  else if (this->needsPeer())
    this->askAnyPeer(Newer.empty() ? Any : Newer);
}

void EdgeDaemon::State::askAnyPeer(const std::vector<uint32_t> &From) {
  if (From.empty())
    return;
  PeerQuery Query;
  Query.OwnAge = this->entriesAge();
  auto Weak = this->weak_from_this();
  this->Link->fetch(From[randomDraw() % From.size()], Query,
                    [Weak](const absl::StatusOr<PeerRecords> &Records) {
                      auto Self = Weak.lock();
                      if (Self && Records.ok())
                        Self->peerRecords(*Records);
                    });
}

void EdgeDaemon::State::askReader(uint32_t Reader) {
  bool Marked = this->FromReader.Ip == Reader;
  bool Pending = Marked && !this->FromReader.Settled;
  bool ReadSince = this->FromReader.TakenAt < this->Replicas->lastGoodBegan();
  if (Pending && this->Replicas->reachable() && !ReadSince)
    return;
  PeerQuery Query;
  Query.OwnAge = this->entriesAge();
  if (Marked && (this->FromReader.Settled || ReadSince))
    Query.Since = this->FromReader.Mark;
  auto Weak = this->weak_from_this();
  this->Link->fetch(Reader, Query,
                    [Weak, Reader](const absl::StatusOr<PeerRecords> &Records) {
                      if (auto Self = Weak.lock())
                        Self->tookFromReader(Records, Reader);
                    });
}

void EdgeDaemon::State::tookFromReader(
    const absl::StatusOr<PeerRecords> &Records, uint32_t Reader) {
  if (!Records.ok() || Records->Age >= ReaderAgeBound) {
    this->BadReaders[Reader] = this->Timer.now() + ReaderBadFor;
    this->DirectUntil = this->Timer.now() + DirectFor;
    this->FromReader = ReaderMark();
    this->followStore(true);
    return;
  }
  this->peerRecords(*Records);
  this->FromReader = {Reader, Records->Mark, this->Timer.now(),
                      !Records->ReplicasLeftOut};
  this->followStore(Records->ReplicasLeftOut);
}

int EdgeDaemon::State::rank() const {
  int Before = 0;
  for (const Peer *Each : this->Peers.live(this->Timer.now()))
    if (Each->State.Ip < this->Peers.self().Ip && !Each->State.Leaving)
      Before += 1;
  return Before;
}

} // namespace berylramp
