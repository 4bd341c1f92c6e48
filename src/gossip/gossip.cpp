//===- gossip.cpp - Gossip protocol between hosts -------------------------===//
//
// A heartbeat that increases shows that its host is alive, whichever peer
// relays it. Of two states of an address, the one with the newer incarnation
// wins, then the one with the higher heartbeat. A datagram carries the sender's
// state and as many randomly selected peers' states as fit, so that its size
// does not grow with the number of hosts.
//
//===----------------------------------------------------------------------===//

#include "berylramp/gossip.h"

#include <algorithm>
#include <msgpack.hpp>

namespace berylramp {

namespace {

/// Version of the datagram layout; datagrams of other versions are ignored.
constexpr int LayoutVersion = 3;
/// Identifies a datagram with a work report.
constexpr int WorkReportLayout = 101;
/// Identifies a datagram with a report of a leaving replica.
constexpr int LeavingReportLayout = 102;
/// Identifies a datagram with a replica that ended, and with an input in
/// quarantine.
constexpr int InputCrashLayout = 106;
constexpr int QuarantineLayout = 104;
/// Identifies a datagram with limits that replicas named.
constexpr int LimitsLayout = 105;
/// Layout of reports of brittle replicas without room.
constexpr int FullReportLayout = 107;
constexpr int AcquittalLayout = 108;
/// More segments of a prompt are not reported.
constexpr size_t MaxReportedSegments = 32;
/// Fits one Ethernet frame together with the protocol headers.
constexpr size_t MaxDatagramBytes = 1350;
/// A peer that was not seen for this long does not count as live. Equals eight
/// gossip intervals of the daemon.
constexpr absl::Duration LivenessTimeout = absl::Seconds(4);
/// A peer that was not seen for this long is removed.
constexpr absl::Duration RemovalTimeout = absl::Seconds(60);

using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr uint32_t TallyFields = 4;
constexpr uint32_t StratumFields = TallyFields + 1;

void packTally(Packer &Writer, const AnswerTally &Tally) {
  Writer.pack(Tally.Count);
  Writer.pack(Tally.Bad);
  Writer.pack(Tally.ToleratedMilli);
  Writer.pack(Tally.VarianceMilli);
}

void packStrata(Packer &Writer, const StratifiedTally &Strata) {
  auto IsUsed = [](const AnswerTally &Tally) { return Tally.Count > 0; };
  Writer.pack_array(static_cast<uint32_t>(
      std::count_if(Strata.begin(), Strata.end(), IsUsed)));
  for (size_t Index = 0; Index < StratumCount; ++Index) {
    if (!IsUsed(Strata[Index]))
      continue;
    Writer.pack_array(StratumFields);
    Writer.pack(Index);
    packTally(Writer, Strata[Index]);
  }
}

constexpr uint32_t ReportFields = 9;

void packReport(Packer &Writer, const RolloutReport &Report) {
  Writer.pack_array(ReportFields);
  Writer.pack(Report.Order);
  packStrata(Writer, Report.Target);
  packTally(Writer, Report.Others);
  Writer.pack(Report.Tripped);
  Writer.pack(Report.ElapsedMs);
  Writer.pack(Report.FullTrafficMs);
}

constexpr uint32_t CrashFields = 4;
constexpr uint32_t LimitFields = 5;
/// States that a replica names no limit any more.
constexpr double NoLimit = -1;

constexpr uint32_t StateFields = 10;

void packState(Packer &Writer, const PeerState &State) {
  Writer.pack_array(StateFields);
  Writer.pack(State.Ip);
  Writer.pack(State.IncarnationId.count());
  Writer.pack(State.Heartbeat);
  Writer.pack(State.Place.text());
  Writer.pack(State.Ready);
  Writer.pack(State.Leaving);
  Writer.pack(State.LostPaths);
  Writer.pack(static_cast<int>(State.Store));
  Writer.pack(State.Table.count());
  Writer.pack_array(static_cast<uint32_t>(State.Rollouts.size()));
  for (const RolloutReport &Report : State.Rollouts)
    packReport(Writer, Report);
}

/// Unpacks with limits that fit a datagram: a malformed header of five bytes
/// can state a length of gigabytes, which must not be allocated.
msgpack::object_handle unpackBounded(const std::string &Datagram) {
  constexpr size_t MaxArrayEntries = 512;
  constexpr size_t MaxTextBytes = 256;
  constexpr size_t MaxDepth = 8;
  msgpack::unpack_limit Limit(MaxArrayEntries, 0, MaxTextBytes, 0, 0, MaxDepth);
  return msgpack::unpack(Datagram.data(), Datagram.size(), nullptr, nullptr,
                         Limit);
}

const msgpack::object *arrayFields(const msgpack::object &Value,
                                   uint32_t Size) {
  if (Value.type != msgpack::type::ARRAY || Value.via.array.size != Size)
    throw msgpack::type_error();
  return Value.via.array.ptr;
}

AnswerTally unpackTally(const msgpack::object *Fields) {
  return {Fields[0].as<int64_t>(), Fields[1].as<int64_t>(),
          Fields[2].as<int64_t>(), Fields[3].as<int64_t>()};
}

StratifiedTally unpackStrata(const msgpack::object &Value) {
  if (Value.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  StratifiedTally Strata;
  for (uint32_t Position = 0; Position < Value.via.array.size; ++Position) {
    const msgpack::object *Fields =
        arrayFields(Value.via.array.ptr[Position], StratumFields);
    auto Index = Fields[0].as<size_t>();
    if (Index >= StratumCount)
      throw msgpack::type_error();
    Strata[Index] = unpackTally(Fields + 1);
  }
  return Strata;
}

RolloutReport unpackReport(const msgpack::object &Value) {
  const msgpack::object *Fields = arrayFields(Value, ReportFields);
  RolloutReport Report;
  Report.Order = Fields[0].as<uint64_t>();
  Report.Target = unpackStrata(Fields[1]);
  Report.Others = unpackTally(Fields + 2);
  Report.Tripped = Fields[6].as<bool>();
  Report.ElapsedMs = Fields[7].as<int64_t>();
  Report.FullTrafficMs = Fields[8].as<int64_t>();
  return Report;
}

StoreRole unpackStoreRole(const msgpack::object &Value) {
  int Number = Value.as<int>();
  if (Number < 0 || Number > static_cast<int>(StoreRole::Unreachable))
    throw msgpack::type_error();
  return static_cast<StoreRole>(Number);
}

PeerState unpackState(const msgpack::object &Value) {
  const msgpack::object *Fields = arrayFields(Value, StateFields);
  PeerState State;
  State.Ip = Fields[0].as<uint32_t>();
  State.IncarnationId = Incarnation(Fields[1].as<int64_t>());
  State.Heartbeat = Fields[2].as<int64_t>();
  State.Place = PlaceId(Fields[3].as<std::string>());
  State.Ready = Fields[4].as<bool>();
  State.Leaving = Fields[5].as<bool>();
  State.LostPaths = Fields[6].as<bool>();
  State.Store = unpackStoreRole(Fields[7]);
  State.Table = TableVersion(Fields[8].as<int64_t>());
  const msgpack::object &Reports = Fields[9];
  if (Reports.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  for (uint32_t Index = 0; Index < Reports.via.array.size; ++Index)
    State.Rollouts.push_back(unpackReport(Reports.via.array.ptr[Index]));
  return State;
}

std::string encodeReplicaReport(int Layout, uint64_t Replica, int64_t Value) {
  msgpack::sbuffer Bytes;
  Packer Writer(Bytes);
  Writer.pack_array(3);
  Writer.pack(Layout);
  Writer.pack(Replica);
  Writer.pack(Value);
  return {Bytes.data(), Bytes.size()};
}

bool decodeReplicaReport(const std::string &Datagram, int Layout,
                         uint64_t &Replica, int64_t &Value) {
  try {
    msgpack::object_handle Handle = unpackBounded(Datagram);
    const msgpack::object *Fields = arrayFields(Handle.get(), 3);
    if (Fields[0].as<int>() != Layout)
      return false;
    Replica = Fields[1].as<uint64_t>();
    Value = Fields[2].as<int64_t>();
    return true;
  } catch (const std::exception &) {
    // The datagram is of another kind, which the caller decodes next.
    return false;
  }
}

bool isNewer(const PeerState &A, const PeerState &B) {
  if (A.IncarnationId != B.IncarnationId)
    return A.IncarnationId > B.IncarnationId;
  return A.Heartbeat > B.Heartbeat;
}

} // namespace

std::string encodeWorkReport(const WorkReport &Report) {
  return encodeReplicaReport(WorkReportLayout, Report.Replica, Report.WorkMs);
}

bool decodeWorkReport(const std::string &Datagram, WorkReport &Report) {
  return decodeReplicaReport(Datagram, WorkReportLayout, Report.Replica,
                             Report.WorkMs);
}

std::string encodeLeavingReport(const LeavingReport &Report) {
  return encodeReplicaReport(LeavingReportLayout, Report.Replica,
                             Report.StartedAtMs);
}

bool decodeLeavingReport(const std::string &Datagram, LeavingReport &Report) {
  return decodeReplicaReport(Datagram, LeavingReportLayout, Report.Replica,
                             Report.StartedAtMs);
}

std::string encodeFullReport(const FullReport &Report) {
  return encodeReplicaReport(FullReportLayout, Report.Replica,
                             Report.StartedAtMs);
}

bool decodeFullReport(const std::string &Datagram, FullReport &Report) {
  return decodeReplicaReport(Datagram, FullReportLayout, Report.Replica,
                             Report.StartedAtMs);
}

std::string encodeInputCrash(const InputCrash &Crash) {
  msgpack::sbuffer Bytes;
  Packer Writer(Bytes);
  const std::vector<uint64_t> &Segments = Crash.Input.Segments;
  size_t Count = std::min(Segments.size(), MaxReportedSegments);
  Writer.pack_array(CrashFields);
  Writer.pack(InputCrashLayout);
  Writer.pack(Crash.Replica);
  Writer.pack(Crash.Input.Identity);
  Writer.pack_array(static_cast<uint32_t>(Count));
  for (size_t Index = 0; Index < Count; ++Index)
    Writer.pack(Segments[Index]);
  return {Bytes.data(), Bytes.size()};
}

bool decodeInputCrash(const std::string &Datagram, InputCrash &Crash) {
  try {
    msgpack::object_handle Handle = unpackBounded(Datagram);
    const msgpack::object *Fields = arrayFields(Handle.get(), CrashFields);
    if (Fields[0].as<int>() != InputCrashLayout ||
        Fields[3].type != msgpack::type::ARRAY)
      return false;
    Crash.Replica = Fields[1].as<uint64_t>();
    Crash.Input.Identity = Fields[2].as<uint64_t>();
    const msgpack::object_array &Segments = Fields[3].via.array;
    for (uint32_t Index = 0; Index < Segments.size; ++Index)
      Crash.Input.Segments.push_back(Segments.ptr[Index].as<uint64_t>());
    return true;
  } catch (const std::exception &) {
    // The datagram is of another kind, which the caller decodes next.
    return false;
  }
}

std::string encodeQuarantine(uint64_t Input) {
  return encodeReplicaReport(QuarantineLayout, Input, 0);
}

bool decodeQuarantine(const std::string &Datagram, uint64_t &Input) {
  int64_t Unused = 0;
  return decodeReplicaReport(Datagram, QuarantineLayout, Input, Unused);
}

std::string encodeAcquittal(uint64_t Input) {
  return encodeReplicaReport(AcquittalLayout, Input, 0);
}

bool decodeAcquittal(const std::string &Datagram, uint64_t &Input) {
  int64_t Unused = 0;
  return decodeReplicaReport(Datagram, AcquittalLayout, Input, Unused);
}

std::string encodeLimits(const std::vector<NamedLimit> &Reports) {
  msgpack::sbuffer Bytes;
  Packer Writer(Bytes);
  Writer.pack_array(2);
  Writer.pack(LimitsLayout);
  size_t Count = std::min(Reports.size(), MaxReportedLimits);
  Writer.pack_array(static_cast<uint32_t>(Count));
  for (size_t Index = 0; Index < Count; ++Index) {
    const NamedLimit &Report = Reports[Index];
    Writer.pack_array(LimitFields);
    Writer.pack(Report.Replica);
    Writer.pack(Report.StartedAtMs);
    Writer.pack(Report.Sequence);
    Writer.pack(Report.PerSecond.value_or(NoLimit));
    Writer.pack(Report.Rejections.value_or(NoLimit));
  }
  return {Bytes.data(), Bytes.size()};
}

bool decodeLimits(const std::string &Datagram,
                  std::vector<NamedLimit> &Reports) {
  try {
    msgpack::object_handle Handle = unpackBounded(Datagram);
    const msgpack::object *Top = arrayFields(Handle.get(), 2);
    if (Top[0].as<int>() != LimitsLayout || Top[1].type != msgpack::type::ARRAY)
      return false;
    for (uint32_t Index = 0; Index < Top[1].via.array.size; ++Index) {
      const msgpack::object *Fields =
          arrayFields(Top[1].via.array.ptr[Index], LimitFields);
      NamedLimit Report;
      Report.Replica = Fields[0].as<uint64_t>();
      Report.StartedAtMs = Fields[1].as<int64_t>();
      Report.Sequence = Fields[2].as<int64_t>();
      auto PerSecond = Fields[3].as<double>();
      if (PerSecond >= 0)
        Report.PerSecond = PerSecond;
      auto Rejections = Fields[4].as<double>();
      if (Rejections >= 0)
        Report.Rejections = Rejections;
      Reports.push_back(Report);
    }
    return true;
  } catch (const std::exception &) {
    // The datagram is of another kind, which the caller decodes next.
    return false;
  }
}

std::string PeerTable::encode(Instant Now) {
  this->Self.Heartbeat += 1;
  std::vector<const Peer *> Others = this->live(Now);
  for (size_t Index = Others.size(); Index > 1; --Index)
    std::swap(Others[Index - 1], Others[randomUint64() % Index]);
  std::vector<msgpack::sbuffer> EncodedStates;
  size_t Bytes = 0;
  auto Add = [&](const PeerState &State) {
    msgpack::sbuffer Encoded;
    Packer Writer(Encoded);
    packState(Writer, State);
    if (!EncodedStates.empty() && Bytes + Encoded.size() > MaxDatagramBytes)
      return false;
    Bytes += Encoded.size();
    EncodedStates.push_back(std::move(Encoded));
    return true;
  };
  Add(this->Self);
  for (const Peer *Other : Others)
    if (!Add(Other->State))
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
    std::vector<PeerState> States;
    for (uint32_t Index = 0; Index < Top[1].via.array.size; ++Index)
      States.push_back(unpackState(Top[1].via.array.ptr[Index]));
    for (const PeerState &State : States)
      this->apply(State, Now);
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

void PeerTable::apply(const PeerState &State, Instant Now) {
  if (State.Ip == this->Self.Ip || State.Ip == 0)
    return;
  Peer &Known = this->Peers[State.Ip];
  if (Known.State.Ip != 0 && !isNewer(State, Known.State))
    return;
  if (Known.State.IncarnationId != State.IncarnationId)
    this->keepReports(Known.State);
  Known.State = State;
  Known.LastSeen = Now;
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
