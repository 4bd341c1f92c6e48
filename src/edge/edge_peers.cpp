//===- edge_peers.cpp - Selection of the host's source of records ---------===//
//
// One host of a region, the reader, reads the store for the others. A host
// reads the store itself while the reader does not answer or has old records,
// and fetches from any peer while its own reads of the store fail.
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

/// Time for which a peer must announce newer operators' records before this
/// host fetches records from a peer.
constexpr absl::Duration NewerRecordsDelay = absl::Milliseconds(300);
/// Fraction of the drain timeout. When reads of the store fail for longer, the
/// store counts as unavailable: this host fetches from peers and is no reader
/// for them.
constexpr double StoreUnavailableFraction = 0.35;
/// Fraction of the drain timeout. When the reader's replica entries are older,
/// this host reads the store itself.
constexpr double MaxReaderAgeFraction = 0.52;
/// Longer than the liveness timeout, because with hundreds of hosts a heartbeat
/// takes seconds to reach all of them.
constexpr absl::Duration ReaderSeenTimeout = absl::Seconds(10);
/// Time for which this host reads the store itself after a reader failed. The
/// next reader detects the failure within two of its requests.
constexpr absl::Duration DirectReadTime = absl::Milliseconds(1200);

} // namespace

std::vector<const PeerState *> EdgeDaemon::State::regionPeers() const {
  std::vector<const PeerState *> Found;
  for (const Peer *Candidate :
       this->Peers.seenWithin(ReaderSeenTimeout, this->Timer.now())) {
    auto Region = this->Config.Regions.find(Candidate->State.Place);
    bool SameRegion = Region != this->Config.Regions.end() &&
                      Region->second == this->Config.Region;
    if (SameRegion)
      Found.push_back(&Candidate->State);
  }
  return Found;
}

uint32_t EdgeDaemon::State::regionReader() const {
  std::vector<const PeerState *> Candidates;
  const PeerState &Self = this->Peers.self();
  if (this->isStoreAvailable())
    Candidates.push_back(&Self);
  for (const PeerState *Candidate : this->regionPeers())
    if (!hasFailed(this->Readers, Candidate->Ip, this->Timer.now()))
      Candidates.push_back(Candidate);
  return chooseReader(Candidates, Self.Ip);
}

// A host that has just started knows few peers and would take itself for the
// reader, as all others that start with it. After its first read it therefore
// waits for gossip of a reader. The host with the lowest address that it knows
// waits less, and a seed does not wait.
bool EdgeDaemon::State::isSettling() const {
  const PeerState &Self = this->Peers.self();
  Instant Now = this->Timer.now();
  bool HasRead = this->Replicas->position().Next != NoOffset;
  if (!HasRead || Self.Store == StoreRole::Reader || !(Now < this->SettledAt))
    return false;
  bool IsLowest = true;
  for (const PeerState *Other : this->regionPeers()) {
    if (Other->Store == StoreRole::Reader)
      return false;
    IsLowest = IsLowest && (Other->Leaving || Self.Ip < Other->Ip);
  }
  return !IsLowest || Now < this->ClaimAt;
}

// While the store fails all hosts, a few of a region probe it. The others learn
// from them by gossip that it serves again. A host without any records has no
// peer to rely on yet and probes often too.
void EdgeDaemon::State::limitProbes() {
  bool Often = probesOften(this->Peers.self().Ip, this->regionPeers());
  if (Often)
    this->Replicas->setBackoff(FollowerConfig().MinBackoff, FrequentProbeDelay);
  else
    this->Replicas->setBackoff(RareProbeDelay / 8, RareProbeDelay);
  if (this->Replicas->reachable())
    return;
  // The reads of the replica entries detect that the store serves again.
  this->Operators->pause();
  this->States->pause();
}

void EdgeDaemon::State::announceStoreRole(uint32_t Reader) {
  StoreRole Role = StoreRole::Standby;
  if (!this->isStoreAvailable())
    Role = StoreRole::Unreachable;
  else if (Reader == this->Peers.self().Ip && this->ready() &&
           this->replicaEntriesAge() < this->maxReaderAge())
    Role = StoreRole::Reader;
  if (Role == this->Peers.self().Store)
    return;
  this->Peers.self().Store = Role;
  this->Link->sendState();
}

bool EdgeDaemon::State::isStoreAvailable() const {
  return this->Replicas->reachable() ||
         this->Timer.now() - this->Replicas->lastSuccess() <
             this->Config.Bounds.DrainTimeout * StoreUnavailableFraction;
}

void EdgeDaemon::State::setRecordSource(bool Direct) {
  if (Direct == !this->Replicas->paused())
    return;
  Json::Value Line(Json::objectValue);
  Line["from"] = Direct ? "store" : "peer";
  Line["reader"] = formatIp(this->regionReader());
  logEvent(LogLevel::Info, "record_source", Line);
  if (Direct) {
    this->Replicas->resume();
    if (this->Replicas->reachable())
      this->resumeTableFollowers();
    return;
  }
  for (const auto &Follower : {this->Operators, this->States, this->Replicas})
    Follower->pause();
}

// Does not wait for gossip of newer tables, because all other hosts may have
// failed at once.
void EdgeDaemon::State::resumeTableFollowers() {
  this->Operators->resume();
  this->States->resume();
}

bool EdgeDaemon::State::hasNewerRecords() const {
  return this->Timer.now() - this->NewerRecordsSince > NewerRecordsDelay;
}

bool EdgeDaemon::State::needsPeerRecords() const {
  return !this->isStoreAvailable() || this->hasNewerRecords();
}

absl::Duration EdgeDaemon::State::maxReaderAge() const {
  return this->Config.Bounds.DrainTimeout * MaxReaderAgeFraction;
}

absl::Duration EdgeDaemon::State::replicaEntriesAge() const {
  return this->Timer.now() -
         std::max(this->Replicas->lastSuccess(), this->PeerEntriesAsOf);
}

void EdgeDaemon::State::updateRecordSource() {
  Instant Now = this->Timer.now();
  TableVersion Own = this->Table ? this->Table->Version : NoTable;
  std::vector<uint32_t> Newer;
  std::vector<uint32_t> All;
  for (const Peer *Candidate : this->Peers.live(Now)) {
    All.push_back(Candidate->State.Ip);
    if (Candidate->State.Table > Own ||
        this->Peers.self().Operators < Candidate->State.Operators)
      Newer.push_back(Candidate->State.Ip);
  }
  if (Newer.empty())
    this->NewerRecordsSince = Now;
  uint32_t Reader = this->regionReader();
  if (this->isSettling()) {
    for (const auto &Follower : {this->Operators, this->States, this->Replicas})
      Follower->pause();
    if (this->needsPeerRecords())
      this->fetchFromAnyPeer(Newer.empty() ? All : Newer);
    return;
  }
  this->announceStoreRole(Reader);
  bool NeedsStart = !this->ready() && !(Now < this->SettledAt);
  bool Direct = Reader == this->Peers.self().Ip || NeedsStart ||
                this->Leaving || Now < this->DirectReadUntil;
  if (Direct)
    this->setRecordSource(true);
  // Until a reader's answer is usable, this host depends on the store.
  if (!this->Replicas->paused() && this->Replicas->reachable())
    this->resumeTableFollowers();
  this->limitProbes();
  // The reader itself may be the one that has older records. It is asked every
  // other time, because this host depends on its replica entries.
  this->AsksNewer = !this->AsksNewer && this->hasNewerRecords();
  bool PassesReader = this->AsksNewer && std::find(Newer.begin(), Newer.end(),
                                                   Reader) == Newer.end();
  if (!Direct && PassesReader)
    this->fetchFromAnyPeer(Newer);
  else if (!Direct)
    this->fetchFromReader(Reader);
  else if (this->needsPeerRecords())
    this->fetchFromAnyPeer(Newer.empty() ? All : Newer);
}

PeerQuery EdgeDaemon::State::peerQuery() const {
  return {this->Operators->position(), this->States->position(),
          this->Replicas->position()};
}

void EdgeDaemon::State::fetchFromAnyPeer(
    const std::vector<uint32_t> &Candidates) {
  if (Candidates.empty())
    return;
  auto Weak = this->weak_from_this();
  this->Link->fetch(
      Candidates[randomUint64() % Candidates.size()], this->peerQuery(),
      [Weak](const absl::StatusOr<PeerRecords> &Records) {
        auto Self = Weak.lock();
        if (Self && Records.ok())
          Self->applyPeerRecords(*Records);
        else if (Self && Self->Replicas->paused() && !Self->isSettling())
          Self->readStoreForNow();
      });
}

void EdgeDaemon::State::readStoreForNow() {
  this->DirectReadUntil = this->Timer.now() + DirectReadTime;
  this->setRecordSource(true);
}

void EdgeDaemon::State::fetchFromReader(uint32_t Reader) {
  auto Weak = this->weak_from_this();
  this->Link->fetch(Reader, this->peerQuery(),
                    [Weak, Reader](const absl::StatusOr<PeerRecords> &Records) {
                      if (auto Self = Weak.lock())
                        Self->onReaderRecords(Records, Reader);
                    });
}

void EdgeDaemon::State::onReaderRecords(
    const absl::StatusOr<PeerRecords> &Records, uint32_t Reader) {
  ReaderAnswer Answer = ReaderAnswer::Usable;
  if (!Records.ok())
    Answer = ReaderAnswer::Missing;
  else if (Records->Age >= this->maxReaderAge() ||
           Records->Replicas.Era < this->Replicas->position().Era)
    Answer = ReaderAnswer::Stale;
  recordAnswer(this->Readers, Reader, Answer, this->Timer.now());
  if (Answer != ReaderAnswer::Usable) {
    this->readStoreForNow();
    return;
  }
  this->applyPeerRecords(*Records);
  this->setRecordSource(false);
}

int EdgeDaemon::State::writerRank() const {
  int Rank = 0;
  for (const Peer *Candidate : this->Peers.live(this->Timer.now()))
    if (!Candidate->State.Leaving &&
        writesBefore(Candidate->State, this->Peers.self()))
      Rank += 1;
  return Rank;
}

} // namespace berylramp
