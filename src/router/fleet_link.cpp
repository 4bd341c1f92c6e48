//===- fleet_link.cpp - Gossip with the other entry hosts -----------------===//
//
// An exchange is symmetrical: request and answer have the same form, and both
// sides take what the other sent. Records travel with their age.
//
//===----------------------------------------------------------------------===//

#include "fleet_link.h"

#include "berylramp/json.h"

#include <algorithm>

namespace berylramp::internal {

namespace {

/// One exchange in this many goes to another place.
constexpr int64_t AcrossEvery = 3;
constexpr size_t SmallFleet = 16;
constexpr int ExchangesInSmallFleet = 2;
/// Hosts not heard lately are tried at one exchange in this many only.
constexpr int64_t SilentEvery = 4;
/// Hosts asked directly about one edit, at most.
constexpr size_t MaxAskedAboutEdit = 64;
constexpr size_t MaxWatches = 256;
constexpr int64_t NeverConfirmed = -1;

} // namespace

FleetLink::FleetLink(RouterContext &Context, ConfigFollower &Config)
    : Context(Context), Config(Config) {
  this->View.Self = Context.Settings.Host;
  this->Summary = std::make_shared<const FleetSummary>();
}

void FleetLink::start(const Endpoint &Listening,
                      std::function<void(Member &)> Call) {
  this->Address = Listening;
  this->Describe = std::move(Call);
  this->refreshSelf();
  this->Ticking = this->Context.Timer.every(this->Context.Settings.GossipEvery,
                                            [this] { this->tick(); });
}

void FleetLink::stop() { this->Context.Timer.cancel(this->Ticking); }

void FleetLink::refreshSelf() {
  ConfigView Table = this->Config.view();
  Member Said;
  if (this->Describe)
    this->Describe(Said);
  MutexLock Hold(&this->Lock);
  KnownMember &Self = this->View.Members[this->Context.Settings.Host];
  Member &What = Self.LatestRecord;
  Said.Host = this->Context.Settings.Host;
  Said.HostIncarnation = this->Context.Life;
  Said.Heartbeat = What.Heartbeat + 1;
  Said.Leaving = What.Leaving;
  Said.Finished = What.Finished;
  // A host whose table differs from its peers' confirms nothing new.
  Said.Applied =
      this->Diverged ? this->ConfirmedBeforeDivergence : Table.State->Applied;
  Said.Detail.Place = this->Context.Settings.Place;
  Said.Detail.Address = this->Address;
  // An unchanged detail keeps its version, so that nobody sends it again.
  Said.Detail.Version = hasSameContent(Said.Detail, What.Detail)
                            ? What.Detail.Version
                            : Said.Heartbeat;
  What = std::move(Said);
  Self.WrittenAt = this->Context.Timer.now();
  Self.EarliestWrittenAt = Self.WrittenAt;
  this->renewSummary();
}

void FleetLink::renewSummary() {
  this->Summary = std::make_shared<const FleetSummary>(
      summarizeFleet(this->View, this->Context.Settings.Times, *this->Summary,
                     this->Context.Timer.now()));
}

size_t FleetLink::drawTurn() { return absl::Uniform<uint32_t>(this->Draws); }

std::shared_ptr<const FleetSummary> FleetLink::summary() const {
  MutexLock Hold(&this->Lock);
  return this->Summary;
}

void FleetLink::setLeaving() {
  this->Leaving = true;
  MutexLock Hold(&this->Lock);
  this->View.Members[this->Context.Settings.Host].LatestRecord.Leaving = true;
}

void FleetLink::setFinished() {
  MutexLock Hold(&this->Lock);
  this->View.Members[this->Context.Settings.Host].LatestRecord.Finished = true;
}

void FleetLink::tick() {
  this->refreshSelf();
  Instant Now = this->Context.Timer.now();
  if (this->freshness() == Freshness::Fresh) {
    MutexLock Hold(&this->Lock);
    removeSilentMembers(this->View, this->Context.Settings.Times, Now);
    this->View.MinKnownMembers = 0;
    this->View.MinKnownMembers = countKnownMembers(this->View);
  }
  ++this->Ticks;
  // A small fleet can afford to hear of itself sooner.
  int Exchanges =
      this->summary()->SharingHosts <= SmallFleet ? ExchangesInSmallFleet : 1;
  for (int I = 0; I < Exchanges; ++I) {
    PeerAddress Peer;
    if (this->pickPeer((this->Ticks + I) % AcrossEvery == 0, Peer))
      this->exchangeWith(Peer);
  }
}

std::vector<PeerAddress> FleetLink::candidates() const {
  std::map<HostId, PeerAddress> Found;
  for (const PeerSeed &Seed : this->Context.Settings.Peers)
    Found[Seed.Host] = PeerAddress{Seed.Host, PlaceId(), Seed.Address};
  MutexLock Hold(&this->Lock);
  for (const PeerAddress &Each : this->Listed)
    Found[Each.Host] = Each;
  Instant Now = this->Context.Timer.now();
  bool TryTheSilent = this->Ticks % SilentEvery == 0;
  for (const auto &[Host, Known] : this->View.Members) {
    bool IsSilent =
        Now - Known.WrittenAt > this->Context.Settings.Times.PeerSilenceTimeout;
    bool HasAddress = Known.LatestRecord.Detail.Version >= 0;
    if (Known.HasStopped || (IsSilent && !TryTheSilent))
      Found.erase(Host);
    else if (HasAddress)
      Found[Host] = PeerAddress{Host, Known.LatestRecord.Detail.Place,
                                Known.LatestRecord.Detail.Address};
  }
  Found.erase(this->Context.Settings.Host);
  std::vector<PeerAddress> Out;
  Out.reserve(Found.size());
  for (const auto &[Host, Each] : Found)
    Out.push_back(Each);
  return Out;
}

std::vector<PeerAddress> FleetLink::peers() const {
  FleetView Copy = this->view();
  Instant Now = this->Context.Timer.now();
  std::vector<PeerAddress> Out;
  for (const HostId &Host :
       liveMembers(Copy, this->Context.Settings.Times, Now)) {
    const MemberDetail &Detail = Copy.Members[Host].LatestRecord.Detail;
    if (Host != Copy.Self && Detail.Version >= 0)
      Out.push_back(PeerAddress{Host, Detail.Place, Detail.Address});
  }
  return Out;
}

bool FleetLink::pickPeer(bool Across, PeerAddress &Out) {
  std::vector<PeerAddress> Wanted;
  std::vector<PeerAddress> All = this->candidates();
  for (const PeerAddress &Each : All) {
    bool IsAcross = Each.Place != this->Context.Settings.Place;
    if (IsAcross == Across)
      Wanted.push_back(Each);
  }
  if (Wanted.empty())
    Wanted = std::move(All);
  if (Wanted.empty())
    return false;
  MutexLock Hold(&this->Lock);
  Out = Wanted[absl::Uniform<size_t>(this->Draws, 0, Wanted.size())];
  return true;
}

Json::Value FleetLink::makeMessage() {
  Instant Now = this->Context.Timer.now();
  ViewEvidence Evidence = this->Config.evidence();
  ConfigView Table = this->Config.view();
  Json::Value Out;
  Out["confirm_age_ms"] = Json::Int64(
      Evidence.HasBeenConfirmed
          ? absl::ToInt64Milliseconds(Now - Evidence.ConfirmedAt) + 1
          : NeverConfirmed);
  Out["applied"] = Json::Int64(Table.State->Applied.count());
  Out["table"] = hexText(Table.Digest);
  MutexLock Hold(&this->Lock);
  Out["floor"] = Json::UInt64(countKnownMembers(this->View));
  return Out;
}

void FleetLink::exchangeWith(const PeerAddress &Peer) {
  Json::Value Message = this->makeMessage();
  {
    MutexLock Hold(&this->Lock);
    Message["gossip"] = gossipToJson(
        openExchange(this->View, this->Context.Timer.now(), this->drawTurn()));
  }
  Instant Began = this->Context.Timer.now();
  absl::StatusOr<Json::Value> Answer =
      this->Context.Ports.Peers.Call(Peer.Address, "exchange", Message);
  this->Context.Counts.count(Answer.ok() ? Counter::PeerExchanges
                                         : Counter::PeerExchangeFailures);
  if (Answer.ok())
    this->takeMessage(*Answer, Began, Peer.Address);
}

absl::StatusOr<Json::Value> FleetLink::onExchange(const Json::Value &Params) {
  // The peer's own evidence may be as old as its message says; how long the
  // message was under way is unknown here, so no confirmation is taken from a
  // request, only from an answer, whose round trip this host has timed.
  Instant Now = this->Context.Timer.now();
  Json::Value Answer = this->makeMessage();
  GossipMessage Heard = gossipFromJson(memberAt(Params, "gossip"));
  {
    MutexLock Hold(&this->Lock);
    mergeMessage(this->View, Heard, Now, /*IsTimed=*/false);
    Answer["gossip"] =
        gossipToJson(answerExchange(this->View, Heard, Now, this->drawTurn()));
  }
  this->compareTables(Params);
  return Answer;
}

void FleetLink::takeMessage(const Json::Value &Message, Instant Began,
                            const Endpoint &From) {
  // Ages count from when the exchange began, so that the time under way makes
  // records and confirmations older, never younger.
  {
    MutexLock Hold(&this->Lock);
    mergeMessage(this->View, gossipFromJson(memberAt(Message, "gossip")), Began,
                 /*IsTimed=*/true);
    size_t Floor = static_cast<size_t>(std::clamp<int64_t>(
        intAt(Message, "floor"), 0, static_cast<int64_t>(1) << 20));
    this->View.MinKnownMembers = std::max(this->View.MinKnownMembers, Floor);
  }
  this->compareTables(Message);
  Offset Theirs(intAt(Message, "applied", -1));
  if (Theirs > this->Config.view().State->Applied) {
    this->catchUpFrom(From, Theirs);
    return;
  }
  int64_t AgeMillis = intAt(Message, "confirm_age_ms", NeverConfirmed);
  if (AgeMillis >= 0 && !this->hasDiverged())
    this->Config.confirm(Began + -absl::Milliseconds(AgeMillis));
}

void FleetLink::compareTables(const Json::Value &Message) {
  ConfigView Table = this->Config.view();
  if (Offset(intAt(Message, "applied", -1)) != Table.State->Applied)
    return;
  bool Differs = textAt(Message, "table") != hexText(Table.Digest);
  if (Differs) {
    this->Context.Counts.count(Counter::DigestMismatches);
    logEvent(LogLevel::Error, "table_digest_differs");
  }
  MutexLock Hold(&this->Lock);
  if (!Differs)
    this->ConfirmedBeforeDivergence = Table.State->Applied;
  this->Diverged = Differs;
}

void FleetLink::catchUpFrom(const Endpoint &From, Offset Theirs) {
  // The log is the usual way; a peer helps when the log does not answer or no
  // longer holds what is missing.
  if (this->Config.isLogUp() && !this->Config.hasGap())
    return;
  absl::StatusOr<Json::Value> Answer = this->Context.Ports.Peers.Call(
      From, "config_snapshot", Json::Value(Json::objectValue));
  if (!Answer.ok())
    return;
  absl::Status Adopted = this->Config.adopt(textAt(*Answer, "snapshot"));
  if (Adopted.ok())
    return;
  Json::Value Fields;
  Fields["offset"] = Json::Int64(Theirs.count());
  Fields["why"] = std::string(Adopted.message());
  logEvent(LogLevel::Warn, "peer_snapshot_refused", Fields);
}

void FleetLink::tellAll() {
  this->refreshSelf();
  for (const PeerAddress &Peer : this->peers())
    this->exchangeWith(Peer);
}

FleetView FleetLink::view() const {
  MutexLock Hold(&this->Lock);
  return this->View;
}

Freshness FleetLink::freshness() const {
  ViewEvidence Evidence = this->Config.evidence();
  Instant Now = this->Context.Timer.now();
  // The common case needs no look at the members.
  if (Evidence.HasBeenConfirmed &&
      Now - Evidence.ConfirmedAt <= this->Context.Settings.Times.FreshnessBound)
    return Freshness::Fresh;
  MutexLock Hold(&this->Lock);
  return evaluateFreshness(Evidence, this->View, this->Context.Settings.Times,
                           Now);
}

Acknowledgement FleetLink::acknowledge(Offset At) {
  this->refreshSelf();
  auto Judge = [this, At] {
    MutexLock Hold(&this->Lock);
    AcknowledgementState &Watch = this->Watches[At];
    if (Watch.EditOffset == NoOffset)
      Watch =
          AcknowledgementState{At, this->Context.Timer.now(), false, Instant{}};
    Acknowledgement Out =
        evaluateAcknowledgement(this->View, Watch, this->Context.Settings.Times,
                                this->Context.Timer.now());
    if (this->Watches.size() > MaxWatches)
      this->Watches.erase(this->Watches.begin());
    return Out;
  };
  Acknowledgement First = Judge();
  if (First.InForce)
    return First;
  size_t Asked = 0;
  for (const HostId &Host : First.Missing) {
    PeerAddress Peer{Host, PlaceId(), Endpoint{}};
    if (!this->addressOf(Host, Peer.Address) || Host == this->View.Self)
      continue;
    this->exchangeWith(Peer);
    if (++Asked == MaxAskedAboutEdit)
      break;
  }
  return Judge();
}

bool FleetLink::isPeerGone(const HostId &Host, Incarnation Life) const {
  MutexLock Hold(&this->Lock);
  return hasIncarnationEnded(this->View, Host, Life,
                             this->Context.Settings.Times,
                             this->Context.Timer.now());
}

bool FleetLink::addressOf(const HostId &Host, Endpoint &Out) const {
  MutexLock Hold(&this->Lock);
  auto Found = this->View.Members.find(Host);
  if (Found == this->View.Members.end())
    return false;
  Out = Found->second.LatestRecord.Detail.Address;
  return Found->second.LatestRecord.Detail.Version >= 0;
}

std::vector<EntryAddress> FleetLink::entries(const PlaceId &Near) const {
  MutexLock Hold(&this->Lock);
  return entryAddresses(this->View, Near, this->Context.Settings.Times,
                        this->Context.Timer.now());
}

bool FleetLink::hasDiverged() const {
  MutexLock Hold(&this->Lock);
  return this->Diverged;
}

void FleetLink::learnListed(const std::vector<ListedHost> &Hosts) {
  std::vector<PeerAddress> Entries;
  for (const ListedHost &Each : Hosts) {
    if (Each.Role == HostRole::Entry)
      Entries.push_back(
          PeerAddress{HostId(Each.Name), Each.Place, Each.Address});
  }
  MutexLock Hold(&this->Lock);
  this->Listed = std::move(Entries);
}

} // namespace berylramp::internal
