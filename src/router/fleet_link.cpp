//===- fleet_link.cpp - Gossip with the other entry hosts -----------------===//
//
// An exchange is symmetrical: request and response have the same form, and each
// side applies the records of the other. Records are sent with their age.
//
//===----------------------------------------------------------------------===//

#include "fleet_link.h"

#include "berylramp/json.h"

#include <algorithm>

namespace berylramp::internal {

namespace {

/// One exchange in this many goes to another place.
constexpr int64_t ExchangesPerCrossPlace = 3;
constexpr size_t SmallFleetSize = 16;
constexpr int ExchangesInSmallFleet = 2;
/// Hosts that have been silent for longer than PeerSilenceTimeout are
/// candidates only in one tick of this many.
constexpr int64_t TicksPerSilentRetry = 4;
/// Maximum number of hosts queried directly about one edit.
constexpr size_t MaxQueriedPerEdit = 64;
constexpr size_t MaxWatches = 256;
constexpr int64_t NeverConfirmed = -1;

} // namespace

FleetLink::FleetLink(RouterContext &Context, ConfigFollower &Config)
    : Context(Context), Config(Config) {
  this->View.Self = Context.Settings.Host;
  this->Summary = std::make_shared<const FleetSummary>();
}

void FleetLink::start(const Endpoint &ListenAddress,
                      std::function<void(Member &)> Callback) {
  this->Address = ListenAddress;
  this->Describe = std::move(Callback);
  this->refreshSelf();
  this->TickSubscription = this->Context.Timer.schedulePeriodic(
      this->Context.Settings.GossipInterval, [this] { this->tick(); });
}

void FleetLink::stop() { this->Context.Timer.cancel(this->TickSubscription); }

void FleetLink::refreshSelf() {
  ConfigView Table = this->Config.view();
  Member Updated;
  if (this->Describe)
    this->Describe(Updated);
  MutexLock Guard(&this->Lock);
  KnownMember &Self = this->View.Members[this->Context.Settings.Host];
  Member &Previous = Self.LatestRecord;
  Updated.Host = this->Context.Settings.Host;
  Updated.HostIncarnation = this->Context.HostIncarnation;
  Updated.Heartbeat = Previous.Heartbeat + 1;
  Updated.Leaving = Previous.Leaving;
  Updated.Finished = Previous.Finished;
  // A host whose table differs from that of its peers confirms no new offset.
  Updated.Applied =
      this->Diverged ? this->ConfirmedBeforeDivergence : Table.State->Applied;
  Updated.Detail.Place = this->Context.Settings.Place;
  Updated.Detail.Address = this->Address;
  // An unchanged detail keeps its version, so that peers do not resend it.
  Updated.Detail.Version = hasSameContent(Updated.Detail, Previous.Detail)
                               ? Previous.Detail.Version
                               : Updated.Heartbeat;
  Previous = std::move(Updated);
  Self.WrittenAt = this->Context.Timer.now();
  Self.EarliestWrittenAt = Self.WrittenAt;
  this->renewSummary();
}

void FleetLink::renewSummary() {
  this->Summary = std::make_shared<const FleetSummary>(
      summarizeFleet(this->View, this->Context.Settings.Times, *this->Summary,
                     this->Context.Timer.now()));
}

size_t FleetLink::randomStart() {
  return absl::Uniform<uint32_t>(this->Random);
}

std::shared_ptr<const FleetSummary> FleetLink::summary() const {
  MutexLock Guard(&this->Lock);
  return this->Summary;
}

void FleetLink::setLeaving() {
  this->Leaving = true;
  MutexLock Guard(&this->Lock);
  this->View.Members[this->Context.Settings.Host].LatestRecord.Leaving = true;
}

void FleetLink::setFinished() {
  MutexLock Guard(&this->Lock);
  this->View.Members[this->Context.Settings.Host].LatestRecord.Finished = true;
}

void FleetLink::tick() {
  this->refreshSelf();
  Instant Now = this->Context.Timer.now();
  if (this->freshness() == Freshness::Fresh) {
    MutexLock Guard(&this->Lock);
    removeSilentMembers(this->View, this->Context.Settings.Times, Now);
    this->View.MinKnownMembers = 0;
    this->View.MinKnownMembers = countKnownMembers(this->View);
  }
  ++this->Ticks;
  // In a small fleet, more exchanges per tick are cheap and spread updates
  // sooner.
  int Exchanges = this->summary()->SharingHosts <= SmallFleetSize
                      ? ExchangesInSmallFleet
                      : 1;
  for (int I = 0; I < Exchanges; ++I) {
    PeerAddress Peer;
    if (this->pickPeer((this->Ticks + I) % ExchangesPerCrossPlace == 0, Peer))
      this->exchangeWith(Peer);
  }
}

std::vector<PeerAddress> FleetLink::candidates() const {
  std::map<HostId, PeerAddress> Found;
  for (const PeerSeed &Seed : this->Context.Settings.Peers)
    Found[Seed.Host] = PeerAddress{Seed.Host, PlaceId(), Seed.Address};
  MutexLock Guard(&this->Lock);
  for (const PeerAddress &Peer : this->Listed)
    Found[Peer.Host] = Peer;
  Instant Now = this->Context.Timer.now();
  bool IncludeSilent = this->Ticks % TicksPerSilentRetry == 0;
  for (const auto &[Host, Known] : this->View.Members) {
    bool IsSilent =
        Now - Known.WrittenAt > this->Context.Settings.Times.PeerSilenceTimeout;
    bool HasAddress = Known.LatestRecord.Detail.Version >= 0;
    if (Known.HasStopped || (IsSilent && !IncludeSilent))
      Found.erase(Host);
    else if (HasAddress)
      Found[Host] = PeerAddress{Host, Known.LatestRecord.Detail.Place,
                                Known.LatestRecord.Detail.Address};
  }
  Found.erase(this->Context.Settings.Host);
  std::vector<PeerAddress> Result;
  Result.reserve(Found.size());
  for (const auto &[Host, Peer] : Found)
    Result.push_back(Peer);
  return Result;
}

std::vector<PeerAddress> FleetLink::peers() const {
  FleetView Copy = this->view();
  Instant Now = this->Context.Timer.now();
  std::vector<PeerAddress> Result;
  for (const HostId &Host :
       liveMembers(Copy, this->Context.Settings.Times, Now)) {
    const MemberDetail &Detail = Copy.Members[Host].LatestRecord.Detail;
    if (Host != Copy.Self && Detail.Version >= 0)
      Result.push_back(PeerAddress{Host, Detail.Place, Detail.Address});
  }
  return Result;
}

bool FleetLink::pickPeer(bool CrossPlace, PeerAddress &Result) {
  std::vector<PeerAddress> Preferred;
  std::vector<PeerAddress> All = this->candidates();
  for (const PeerAddress &Peer : All) {
    bool IsCrossPlace = Peer.Place != this->Context.Settings.Place;
    if (IsCrossPlace == CrossPlace)
      Preferred.push_back(Peer);
  }
  if (Preferred.empty())
    Preferred = std::move(All);
  if (Preferred.empty())
    return false;
  MutexLock Guard(&this->Lock);
  Result = Preferred[absl::Uniform<size_t>(this->Random, 0, Preferred.size())];
  return true;
}

Json::Value FleetLink::makeMessage() {
  Instant Now = this->Context.Timer.now();
  ViewEvidence Evidence = this->Config.evidence();
  ConfigView Table = this->Config.view();
  Json::Value Result;
  Result["confirm_age_ms"] = Json::Int64(
      Evidence.HasBeenConfirmed
          ? absl::ToInt64Milliseconds(Now - Evidence.ConfirmedAt) + 1
          : NeverConfirmed);
  Result["applied"] = Json::Int64(Table.State->Applied.count());
  Result["table"] = toHex(Table.Digest);
  MutexLock Guard(&this->Lock);
  Result["floor"] = Json::UInt64(countKnownMembers(this->View));
  return Result;
}

void FleetLink::exchangeWith(const PeerAddress &Peer) {
  Json::Value Message = this->makeMessage();
  {
    MutexLock Guard(&this->Lock);
    Message["gossip"] = gossipToJson(openExchange(
        this->View, this->Context.Timer.now(), this->randomStart()));
  }
  Instant ExchangeStart = this->Context.Timer.now();
  absl::StatusOr<Json::Value> Answer =
      this->Context.Ports.Peers.Call(Peer.Address, "exchange", Message);
  this->Context.Counts.count(Answer.ok() ? Counter::PeerExchanges
                                         : Counter::PeerExchangeFailures);
  if (Answer.ok())
    this->applyMessage(*Answer, ExchangeStart, Peer.Address);
}

absl::StatusOr<Json::Value> FleetLink::onExchange(const Json::Value &Params) {
  // The message states the age of the peer's evidence, but the time that the
  // message spent in transit is unknown here. Confirmations are therefore not
  // accepted from a request, only from a response, whose round trip this host
  // has timed.
  Instant Now = this->Context.Timer.now();
  Json::Value Answer = this->makeMessage();
  GossipMessage Received = gossipFromJson(memberAt(Params, "gossip"));
  {
    MutexLock Guard(&this->Lock);
    mergeMessage(this->View, Received, Now, /*IsTimed=*/false);
    Answer["gossip"] = gossipToJson(
        answerExchange(this->View, Received, Now, this->randomStart()));
  }
  this->compareTables(Params);
  return Answer;
}

void FleetLink::applyMessage(const Json::Value &Message, Instant ExchangeStart,
                             const Endpoint &From) {
  // Ages are relative to the start of the exchange, so that the time in transit
  // makes records and confirmations older, never younger.
  {
    MutexLock Guard(&this->Lock);
    mergeMessage(this->View, gossipFromJson(memberAt(Message, "gossip")),
                 ExchangeStart,
                 /*IsTimed=*/true);
    size_t PeerKnownMembers = static_cast<size_t>(std::clamp<int64_t>(
        intAt(Message, "floor"), 0, static_cast<int64_t>(1) << 20));
    this->View.MinKnownMembers =
        std::max(this->View.MinKnownMembers, PeerKnownMembers);
  }
  this->compareTables(Message);
  Offset PeerOffset(intAt(Message, "applied", -1));
  if (PeerOffset > this->Config.view().State->Applied) {
    this->catchUpFrom(From, PeerOffset);
    return;
  }
  int64_t AgeMillis = intAt(Message, "confirm_age_ms", NeverConfirmed);
  if (AgeMillis >= 0 && !this->hasDiverged())
    this->Config.confirm(ExchangeStart + -absl::Milliseconds(AgeMillis));
}

void FleetLink::compareTables(const Json::Value &Message) {
  ConfigView Table = this->Config.view();
  if (Offset(intAt(Message, "applied", -1)) != Table.State->Applied)
    return;
  bool Differs = textAt(Message, "table") != toHex(Table.Digest);
  if (Differs) {
    this->Context.Counts.count(Counter::DigestMismatches);
    logEvent(LogLevel::Error, "table_digest_differs");
  }
  MutexLock Guard(&this->Lock);
  if (!Differs)
    this->ConfirmedBeforeDivergence = Table.State->Applied;
  this->Diverged = Differs;
}

void FleetLink::catchUpFrom(const Endpoint &From, Offset PeerOffset) {
  // Missing records normally come from the log. A peer's snapshot is used only
  // if the log is unavailable or no longer holds them.
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
  Fields["offset"] = Json::Int64(PeerOffset.count());
  Fields["why"] = std::string(Adopted.message());
  logEvent(LogLevel::Warn, "peer_snapshot_refused", Fields);
}

void FleetLink::notifyPeers() {
  this->refreshSelf();
  for (const PeerAddress &Peer : this->peers())
    this->exchangeWith(Peer);
}

FleetView FleetLink::view() const {
  MutexLock Guard(&this->Lock);
  return this->View;
}

Freshness FleetLink::freshness() const {
  ViewEvidence Evidence = this->Config.evidence();
  Instant Now = this->Context.Timer.now();
  // The common case does not need the member records.
  if (Evidence.HasBeenConfirmed &&
      Now - Evidence.ConfirmedAt <= this->Context.Settings.Times.FreshnessBound)
    return Freshness::Fresh;
  MutexLock Guard(&this->Lock);
  return evaluateFreshness(Evidence, this->View, this->Context.Settings.Times,
                           Now);
}

Acknowledgement FleetLink::acknowledgementOf(Offset Target) {
  this->refreshSelf();
  auto Evaluate = [this, Target] {
    MutexLock Guard(&this->Lock);
    AcknowledgementState &Watch = this->Watches[Target];
    if (Watch.EditOffset == NoOffset)
      Watch = AcknowledgementState{Target, this->Context.Timer.now(), false,
                                   Instant{}};
    Acknowledgement Result =
        evaluateAcknowledgement(this->View, Watch, this->Context.Settings.Times,
                                this->Context.Timer.now());
    if (this->Watches.size() > MaxWatches)
      this->Watches.erase(this->Watches.begin());
    return Result;
  };
  Acknowledgement First = Evaluate();
  if (First.InForce)
    return First;
  size_t Queried = 0;
  for (const HostId &Host : First.Missing) {
    PeerAddress Peer{Host, PlaceId(), Endpoint{}};
    if (!this->addressOf(Host, Peer.Address) || Host == this->View.Self)
      continue;
    this->exchangeWith(Peer);
    if (++Queried == MaxQueriedPerEdit)
      break;
  }
  return Evaluate();
}

bool FleetLink::isPeerUnavailable(const HostId &Host,
                                  Incarnation PeerIncarnation) const {
  MutexLock Guard(&this->Lock);
  return hasIncarnationEnded(this->View, Host, PeerIncarnation,
                             this->Context.Settings.Times,
                             this->Context.Timer.now());
}

bool FleetLink::isKnown(const HostId &Host) const {
  MutexLock Guard(&this->Lock);
  return this->View.Members.count(Host) != 0;
}

bool FleetLink::addressOf(const HostId &Host, Endpoint &Result) const {
  MutexLock Guard(&this->Lock);
  auto Found = this->View.Members.find(Host);
  if (Found == this->View.Members.end())
    return false;
  Result = Found->second.LatestRecord.Detail.Address;
  return Found->second.LatestRecord.Detail.Version >= 0;
}

std::vector<EntryAddress>
FleetLink::entries(const PlaceId &PreferredPlace) const {
  MutexLock Guard(&this->Lock);
  return entryAddresses(this->View, PreferredPlace,
                        this->Context.Settings.Times,
                        this->Context.Timer.now());
}

bool FleetLink::hasDiverged() const {
  MutexLock Guard(&this->Lock);
  return this->Diverged;
}

void FleetLink::setListedHosts(const std::vector<ListedHost> &Hosts) {
  std::vector<PeerAddress> Entries;
  for (const ListedHost &Listed : Hosts) {
    if (Listed.Role == HostRole::Entry)
      Entries.push_back(
          PeerAddress{HostId(Listed.Name), Listed.Place, Listed.Address});
  }
  MutexLock Guard(&this->Lock);
  this->Listed = std::move(Entries);
}

} // namespace berylramp::internal
