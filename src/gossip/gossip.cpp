//===- gossip.cpp - Gossip protocol between hosts -------------------------===//
//
// A heartbeat that increases shows that its host is alive, whichever peer
// relays it. Of two states of an address, the one with the newer incarnation
// wins, then the one with the higher heartbeat. A datagram carries the sender's
// state and as many randomly selected peers' states as fit, so that its size
// does not grow with the number of hosts.
//
//===----------------------------------------------------------------------===//

#include "codec.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Version of the datagram layout; datagrams of other versions are ignored.
constexpr int LayoutVersion = 5;
/// Fits one Ethernet frame together with the protocol headers.
constexpr size_t MaxDatagramBytes = 1350;
/// A peer that was not seen for this long does not count as live. Equals eight
/// gossip intervals of the daemon.
constexpr absl::Duration LivenessTimeout = absl::Seconds(4);
/// A peer that was not seen for this long is removed.
constexpr absl::Duration RemovalTimeout = absl::Seconds(60);

bool isNewer(const PeerState &A, const PeerState &B) {
  if (A.IncarnationId != B.IncarnationId)
    return A.IncarnationId > B.IncarnationId;
  return A.Heartbeat > B.Heartbeat;
}

} // namespace

std::string PeerTable::encode(Instant Now) {
  this->Self.Heartbeat += 1;
  std::vector<const Peer *> Others = this->live(Now);
  for (size_t Index = Others.size(); Index > 1; --Index)
    std::swap(Others[Index - 1], Others[randomUint64() % Index]);
  std::vector<msgpack::sbuffer> EncodedStates;
  size_t Bytes = 0;
  auto Add = [&](const PeerState &State, absl::Duration Age) {
    msgpack::sbuffer Encoded;
    Packer Writer(Encoded);
    packState(Writer, State, Age);
    if (!EncodedStates.empty() && Bytes + Encoded.size() > MaxDatagramBytes)
      return false;
    Bytes += Encoded.size();
    EncodedStates.push_back(std::move(Encoded));
    return true;
  };
  Add(this->Self, absl::ZeroDuration());
  for (const Peer *Other : Others)
    if (!Add(Other->State, Now - Other->SentAt))
      break;
  msgpack::sbuffer Datagram;
  Packer Writer(Datagram);
  Writer.pack_array(2);
  Writer.pack(LayoutVersion);
  Writer.pack_array(static_cast<uint32_t>(EncodedStates.size()));
  for (const msgpack::sbuffer &Encoded : EncodedStates)
    Datagram.write(Encoded.data(), Encoded.size());
  return {Datagram.data(), Datagram.size()};
}

bool PeerTable::merge(const std::string &Datagram, Instant Now) {
  try {
    msgpack::object_handle Handle = unpackBounded(Datagram);
    const msgpack::object *Top = arrayFields(Handle.get(), 2);
    if (Top[0].as<int>() != LayoutVersion ||
        Top[1].type != msgpack::type::ARRAY)
      return false;
    std::vector<AgedState> States;
    for (uint32_t Index = 0; Index < Top[1].via.array.size; ++Index)
      States.push_back(unpackState(Top[1].via.array.ptr[Index]));
    for (const AgedState &Received : States)
      this->apply(Received.State, Received.Age, Now);
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

void PeerTable::apply(const PeerState &State, absl::Duration Age, Instant Now) {
  if (State.Ip == this->Self.Ip || State.Ip == 0)
    return;
  Peer &Known = this->Peers[State.Ip];
  if (Known.State.Ip != 0 && !isNewer(State, Known.State))
    return;
  if (Known.State.IncarnationId != State.IncarnationId)
    this->keepReports(Known.State);
  Known.State = State;
  Known.LastSeen = Now;
  Known.SentAt = Now + -Age;
}

void PeerTable::keepReports(const PeerState &Former) {
  // Roll-outs that ended long ago are dropped first.
  constexpr size_t MaxFormerReports = 256;
  for (const RolloutReport &Report : Former.Rollouts) {
    if (this->FormerReports.size() >= MaxFormerReports)
      this->FormerReports.erase(this->FormerReports.begin());
    this->FormerReports.push_back(Report);
  }
}

void PeerTable::addAddress(uint32_t Ip, Instant Now) {
  if (Ip == this->Self.Ip || this->Peers.contains(Ip))
    return;
  Peer &Known = this->Peers[Ip];
  Known.State.Ip = Ip;
  // Only the address is known: the peer is not live, but it stays a target
  // until the removal timeout.
  Known.LastSeen = Instant{Now.SinceStart - LivenessTimeout};
}

std::vector<uint32_t> PeerTable::targets(size_t MaxCount, Instant Now) {
  std::vector<uint32_t> Live;
  std::vector<uint32_t> NotLive;
  for (const auto &[Ip, Record] : this->Peers)
    (Now - Record.LastSeen < LivenessTimeout ? Live : NotLive).push_back(Ip);
  std::vector<uint32_t> Chosen;
  auto Draw = [&](std::vector<uint32_t> &Pool) {
    if (Pool.empty())
      return;
    size_t Index = randomUint64() % Pool.size();
    Chosen.push_back(Pool[Index]);
    Pool.erase(Pool.begin() + static_cast<std::ptrdiff_t>(Index));
  };
  while (Chosen.size() < MaxCount && !Live.empty())
    Draw(Live);
  // One peer that is not live: it may have recovered, or this host may have
  // been partitioned from it.
  Draw(NotLive);
  return Chosen;
}

bool PeerTable::isLive(uint32_t Ip, Instant Now) const {
  auto Found = this->Peers.find(Ip);
  return Found != this->Peers.end() &&
         Now - Found->second.LastSeen < LivenessTimeout;
}

std::vector<uint32_t> PeerTable::addresses() const {
  std::vector<uint32_t> Result;
  for (const auto &[Ip, Record] : this->Peers)
    if (!Record.State.Leaving)
      Result.push_back(Ip);
  return Result;
}

std::vector<const Peer *> PeerTable::live(Instant Now) const {
  return this->seenWithin(LivenessTimeout, Now);
}

std::vector<const Peer *> PeerTable::seenWithin(absl::Duration Time,
                                                Instant Now) const {
  std::vector<const Peer *> Found;
  for (const auto &[Ip, Record] : this->Peers)
    if (Now - Record.LastSeen < Time)
      Found.push_back(&Record);
  return Found;
}

void PeerTable::sweep(Instant Now) {
  absl::erase_if(this->Peers, [&](const auto &Record) {
    return Now - Record.second.LastSeen > RemovalTimeout;
  });
}

RolloutEvidence PeerTable::evidence(uint64_t Order, Instant Now,
                                    absl::Duration &Elapsed) const {
  RolloutEvidence Evidence;
  auto Add = [&](const std::vector<RolloutReport> &Reports) {
    for (const RolloutReport &Report : Reports) {
      if (Report.Order != Order)
        continue;
      Evidence.Target += Report.Target;
      Evidence.Others += Report.Others;
      Evidence.Tripped = Evidence.Tripped || Report.Tripped;
      Elapsed = std::max(Elapsed, absl::Milliseconds(Report.ElapsedMs));
      Evidence.FullTrafficAt = std::max(
          Evidence.FullTrafficAt, absl::Milliseconds(Report.FullTrafficMs));
    }
  };
  Add(this->Self.Rollouts);
  // Evidence of hosts that are not live or have restarted stays valid, because
  // its answers were served. A former report's elapsed time is a lower bound.
  for (const auto &[Ip, Record] : this->Peers)
    Add(Record.State.Rollouts);
  Add(this->FormerReports);
  return Evidence;
}

} // namespace berylramp
