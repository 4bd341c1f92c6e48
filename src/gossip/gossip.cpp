//===- gossip.cpp - Membership and evidence by datagrams ------------------===//
//
// A beat that grows proves that its host lives, whoever passed it on. The
// newest life of an address wins, then the highest beat. A datagram carries
// the sender and a random part of the peers that fit, so that its size does
// not grow with the number of hosts.
//
//===----------------------------------------------------------------------===//

#include "berylramp/gossip.h"

#include <algorithm>
#include <msgpack.hpp>

namespace berylramp {

namespace {

/// Marks the layout; a datagram of another layout is ignored.
constexpr int LayoutVersion = 2;
/// Marks a datagram with a note of work.
constexpr int WorkLayout = 101;
/// Fits one Ethernet frame with its headers.
constexpr size_t MostBytes = 1350;
/// A peer that nothing was heard of for this long does not count as live;
/// eight beats of the daemon.
constexpr absl::Duration LiveFor = absl::Seconds(4);
/// A silent peer is forgotten after this long.
constexpr absl::Duration ForgetAfter = absl::Seconds(60);

using Packer = msgpack::packer<msgpack::sbuffer>;

void packTally(Packer &Out, const AnswerTally &Tally) {
  Out.pack(Tally.Good);
  Out.pack(Tally.Bad);
  Out.pack(Tally.FirstByteMs);
}

constexpr uint32_t NoteFields = 9;

void packNote(Packer &Out, const RolloutNote &Note) {
  Out.pack_array(NoteFields);
  Out.pack(Note.Order);
  packTally(Out, Note.Target);
  packTally(Out, Note.Others);
  Out.pack(Note.Tripped);
  Out.pack(Note.ElapsedMs);
}

constexpr uint32_t StateFields = 9;

void packState(Packer &Out, const PeerState &State) {
  Out.pack_array(StateFields);
  Out.pack(State.Ip);
  Out.pack(State.Life.count());
  Out.pack(State.Beat);
  Out.pack(State.Place.text());
  Out.pack(State.Ready);
  Out.pack(State.Leaving);
  Out.pack(static_cast<int>(State.Store));
  Out.pack(State.Table.count());
  Out.pack_array(static_cast<uint32_t>(State.Rollouts.size()));
  for (const RolloutNote &Note : State.Rollouts)
    packNote(Out, Note);
}

/// A stated length is believed only within what a datagram can hold: a header
/// of five bytes may claim gigabytes.
msgpack::object_handle unpackBounded(const std::string &Datagram) {
  constexpr size_t MostEntries = 512;
  constexpr size_t LongestText = 256;
  constexpr size_t Deepest = 8;
  msgpack::unpack_limit Limit(MostEntries, 0, LongestText, 0, 0, Deepest);
  return msgpack::unpack(Datagram.data(), Datagram.size(), nullptr, nullptr,
                         Limit);
}

const msgpack::object *listOf(const msgpack::object &From, uint32_t Size) {
  if (From.type != msgpack::type::ARRAY || From.via.array.size != Size)
    throw msgpack::type_error();
  return From.via.array.ptr;
}

AnswerTally tallyFrom(const msgpack::object *Fields) {
  return {Fields[0].as<int64_t>(), Fields[1].as<int64_t>(),
          Fields[2].as<int64_t>()};
}

RolloutNote noteFrom(const msgpack::object &From) {
  const msgpack::object *Fields = listOf(From, NoteFields);
  RolloutNote Note;
  Note.Order = Fields[0].as<uint64_t>();
  Note.Target = tallyFrom(Fields + 1);
  Note.Others = tallyFrom(Fields + 4);
  Note.Tripped = Fields[7].as<bool>();
  Note.ElapsedMs = Fields[8].as<int64_t>();
  return Note;
}

StoreUse storeUseFrom(const msgpack::object &From) {
  int Value = From.as<int>();
  if (Value < 0 || Value > static_cast<int>(StoreUse::Away))
    throw msgpack::type_error();
  return static_cast<StoreUse>(Value);
}

PeerState stateFrom(const msgpack::object &From) {
  const msgpack::object *Fields = listOf(From, StateFields);
  PeerState State;
  State.Ip = Fields[0].as<uint32_t>();
  State.Life = Incarnation(Fields[1].as<int64_t>());
  State.Beat = Fields[2].as<int64_t>();
  State.Place = PlaceId(Fields[3].as<std::string>());
  State.Ready = Fields[4].as<bool>();
  State.Leaving = Fields[5].as<bool>();
  State.Store = storeUseFrom(Fields[6]);
  State.Table = TableVersion(Fields[7].as<int64_t>());
  const msgpack::object &Notes = Fields[8];
  if (Notes.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  for (uint32_t Index = 0; Index < Notes.via.array.size; ++Index)
    State.Rollouts.push_back(noteFrom(Notes.via.array.ptr[Index]));
  return State;
}

bool isNewer(const PeerState &A, const PeerState &B) {
  if (A.Life != B.Life)
    return A.Life > B.Life;
  return A.Beat > B.Beat;
}

} // namespace

std::string encodeWork(const WorkNote &Note) {
  msgpack::sbuffer Bytes;
  Packer Out(Bytes);
  Out.pack_array(3);
  Out.pack(WorkLayout);
  Out.pack(Note.Replica);
  Out.pack(Note.WorkMs);
  return {Bytes.data(), Bytes.size()};
}

bool decodeWork(const std::string &Datagram, WorkNote &Out) {
  try {
    msgpack::object_handle Handle = unpackBounded(Datagram);
    const msgpack::object *Fields = listOf(Handle.get(), 3);
    if (Fields[0].as<int>() != WorkLayout)
      return false;
    Out.Replica = Fields[1].as<uint64_t>();
    Out.WorkMs = Fields[2].as<int64_t>();
    return true;
  } catch (const std::exception &) {
    // Another kind of datagram; the caller tries the next one.
    return false;
  }
}

std::string PeerView::encode(Instant Now) {
  this->Self.Beat += 1;
  std::vector<const Peer *> Others = this->live(Now);
  for (size_t Index = Others.size(); Index > 1; --Index)
    std::swap(Others[Index - 1], Others[randomUint64() % Index]);
  std::vector<msgpack::sbuffer> Parts;
  size_t Bytes = 0;
  auto Add = [&](const PeerState &State) {
    msgpack::sbuffer Part;
    Packer Out(Part);
    packState(Out, State);
    if (!Parts.empty() && Bytes + Part.size() > MostBytes)
      return false;
    Bytes += Part.size();
    Parts.push_back(std::move(Part));
    return true;
  };
  Add(this->Self);
  for (const Peer *Each : Others)
    if (!Add(Each->State))
      break;
  msgpack::sbuffer Whole;
  Packer Out(Whole);
  Out.pack_array(2);
  Out.pack(LayoutVersion);
  Out.pack_array(static_cast<uint32_t>(Parts.size()));
  for (const msgpack::sbuffer &Part : Parts)
    Whole.write(Part.data(), Part.size());
  return {Whole.data(), Whole.size()};
}

bool PeerView::merge(const std::string &Datagram, Instant Now) {
  try {
    msgpack::object_handle Handle = unpackBounded(Datagram);
    const msgpack::object *Top = listOf(Handle.get(), 2);
    if (Top[0].as<int>() != LayoutVersion ||
        Top[1].type != msgpack::type::ARRAY)
      return false;
    std::vector<PeerState> States;
    for (uint32_t Index = 0; Index < Top[1].via.array.size; ++Index)
      States.push_back(stateFrom(Top[1].via.array.ptr[Index]));
    for (const PeerState &State : States)
      this->take(State, Now);
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

void PeerView::take(const PeerState &State, Instant Now) {
  if (State.Ip == this->Self.Ip || State.Ip == 0)
    return;
  Peer &Known = this->Peers[State.Ip];
  if (Known.State.Ip != 0 && !isNewer(State, Known.State))
    return;
  Known.State = State;
  Known.HeardAt = Now;
}

void PeerView::introduce(uint32_t Ip, Instant Now) {
  if (Ip == this->Self.Ip || this->Peers.contains(Ip))
    return;
  Peer &Known = this->Peers[Ip];
  Known.State.Ip = Ip;
  // Known by name only: not live, yet worth a datagram for a while.
  Known.HeardAt = Instant{Now.SinceStart - LiveFor};
}

std::vector<uint32_t> PeerView::targets(size_t Most, Instant Now) {
  std::vector<uint32_t> Live;
  std::vector<uint32_t> Silent;
  for (const auto &[Ip, Each] : this->Peers)
    (Now - Each.HeardAt < LiveFor ? Live : Silent).push_back(Ip);
  std::vector<uint32_t> Chosen;
  auto Draw = [&](std::vector<uint32_t> &From) {
    if (From.empty())
      return;
    size_t Index = randomUint64() % From.size();
    Chosen.push_back(From[Index]);
    From.erase(From.begin() + static_cast<std::ptrdiff_t>(Index));
  };
  while (Chosen.size() < Most && !Live.empty())
    Draw(Live);
  // One silent peer: it may be back, or this host may have been cut off.
  Draw(Silent);
  return Chosen;
}

std::vector<const Peer *> PeerView::live(Instant Now) const {
  return this->heardWithin(LiveFor, Now);
}

std::vector<const Peer *> PeerView::heardWithin(absl::Duration Time,
                                                Instant Now) const {
  std::vector<const Peer *> Found;
  for (const auto &[Ip, Each] : this->Peers)
    if (Now - Each.HeardAt < Time)
      Found.push_back(&Each);
  return Found;
}

void PeerView::sweep(Instant Now) {
  absl::erase_if(this->Peers, [&](const auto &Each) {
    return Now - Each.second.HeardAt > ForgetAfter;
  });
}

RolloutEvidence PeerView::evidence(uint64_t Order, Instant Now,
                                   absl::Duration &Elapsed) const {
  RolloutEvidence Seen;
  auto Add = [&](const PeerState &State) {
    for (const RolloutNote &Note : State.Rollouts) {
      if (Note.Order != Order)
        continue;
      Seen.Target += Note.Target;
      Seen.Others += Note.Others;
      Seen.Tripped = Seen.Tripped || Note.Tripped;
      Elapsed = std::max(Elapsed, absl::Milliseconds(Note.ElapsedMs));
    }
  };
  Add(this->Self);
  // A silent host's evidence stays true; its answers were given.
  for (const auto &[Ip, Each] : this->Peers)
    Add(Each.State);
  return Seen;
}

} // namespace berylramp
