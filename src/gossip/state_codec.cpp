//===- state_codec.cpp - Packing of hosts' states -------------------------===//

#include "codec.h"

#include <algorithm>

namespace berylramp {

namespace {

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

constexpr uint32_t StateFields = 13;

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

} // namespace

// A malformed header of five bytes can state a length of gigabytes, which must
// not be allocated.
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

void packState(Packer &Writer, const PeerState &State, absl::Duration Age) {
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
  Writer.pack(State.Operators.Era.count());
  Writer.pack(State.Operators.Next.count());
  Writer.pack(absl::ToInt64Milliseconds(Age));
  Writer.pack_array(static_cast<uint32_t>(State.Rollouts.size()));
  for (const RolloutReport &Report : State.Rollouts)
    packReport(Writer, Report);
}

AgedState unpackState(const msgpack::object &Value) {
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
  State.Operators = {StoreEra(Fields[9].as<int64_t>()),
                     Offset(Fields[10].as<int64_t>())};
  absl::Duration Age = absl::Milliseconds(Fields[11].as<int64_t>());
  const msgpack::object &Reports = Fields[12];
  if (Reports.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  for (uint32_t Index = 0; Index < Reports.via.array.size; ++Index)
    State.Rollouts.push_back(unpackReport(Reports.via.array.ptr[Index]));
  return {std::move(State), std::max(Age, absl::ZeroDuration())};
}

} // namespace berylramp
