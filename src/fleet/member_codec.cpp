//===- member_codec.cpp - Gossip messages as JSON -------------------------===//
//
// A core is an array and not an object, because two dozen of them cross the
// fleet with every exchange: its names would be most of its bytes.
//
//===----------------------------------------------------------------------===//

#include "berylramp/fleet.h"
#include "berylramp/json.h"

#include <algorithm>

namespace berylramp {

namespace {

constexpr Json::ArrayIndex MaxListItems = 256;
constexpr int64_t MaxAgeMillis = int64_t{3600} * 1000;
/// Positions in the array of a core, in order.
enum CoreField : Json::ArrayIndex {
  FieldHost,
  FieldLife,
  FieldHeartbeat,
  FieldAgeMillis,
  FieldApplied,
  FieldStreams,
  FieldBillsLogged,
  FieldFlags,
  FieldHeldDetail,
  FieldProvenAgeMillis,
  FieldCount
};
constexpr int64_t NotProven = -1;
constexpr int64_t FlagLeaving = 1;
constexpr int64_t FlagFinished = 2;

Json::ArrayIndex boundedSize(const Json::Value &Items) {
  return std::min(Items.size(), MaxListItems);
}

Json::Value rowOf(std::initializer_list<Json::Value> Items) {
  Json::Value Out(Json::arrayValue);
  for (const Json::Value &Item : Items)
    Out.append(Item);
  return Out;
}

std::string itemText(const Json::Value &Row, Json::ArrayIndex Index) {
  bool Has = Row.isArray() && Index < Row.size() && Row[Index].isString();
  return Has ? Row[Index].asString() : "";
}

int64_t itemWhole(const Json::Value &Row, Json::ArrayIndex Index) {
  bool Has = Row.isArray() && Index < Row.size() && Row[Index].isInt64();
  return Has ? Row[Index].asInt64() : 0;
}

double itemNumber(const Json::Value &Row, Json::ArrayIndex Index) {
  bool Has = Row.isArray() && Index < Row.size() && Row[Index].isNumeric();
  return Has ? Row[Index].asDouble() : 0;
}

VersionKey versionAt(const Json::Value &Row) {
  return VersionKey{ModelId(itemText(Row, 0)), VersionId(itemText(Row, 1))};
}

Json::Value detailToJson(const HostId &Host, Incarnation Life,
                         const MemberDetail &Which) {
  Json::Value Out;
  Out["h"] = Host.text();
  Out["i"] = Json::Int64(Life.count());
  Out["n"] = Json::Int64(Which.Version);
  Out["p"] = Which.Place.text();
  Out["a"] = Which.Address.text();
  for (const WorkspaceDemand &Each : Which.Demand)
    Out["d"].append(rowOf({Each.Workspace.text(), Each.RequestsPerSecond}));
  for (const RatingTally &Each : Which.Ratings)
    Out["r"].append(
        rowOf({Each.Version.Model.text(), Each.Version.Version.text(),
               Each.Kind.text(), Json::Int64(Each.Good),
               Json::Int64(Each.Rated), Each.Run}));
  for (const VersionTrip &Each : Which.Trips)
    Out["t"].append(
        rowOf({Each.Version.Model.text(), Each.Version.Version.text(), Each.Run,
               Each.Evidence}));
  return Out;
}

void readLists(const Json::Value &Item, MemberDetail &Out) {
  const Json::Value &Demand = arrayAt(Item, "d");
  for (Json::ArrayIndex I = 0; I < boundedSize(Demand); ++I)
    Out.Demand.push_back(
        WorkspaceDemand{WorkspaceId(itemText(Demand[I], 0)),
                        std::max(0.0, itemNumber(Demand[I], 1))});
  const Json::Value &Ratings = arrayAt(Item, "r");
  for (Json::ArrayIndex I = 0; I < boundedSize(Ratings); ++I)
    Out.Ratings.push_back(
        RatingTally{RequestKindId(itemText(Ratings[I], 2)),
                    versionAt(Ratings[I]), itemText(Ratings[I], 5),
                    itemWhole(Ratings[I], 3), itemWhole(Ratings[I], 4)});
  const Json::Value &Trips = arrayAt(Item, "t");
  for (Json::ArrayIndex I = 0; I < boundedSize(Trips); ++I)
    Out.Trips.push_back(VersionTrip{versionAt(Trips[I]), itemText(Trips[I], 2),
                                    itemText(Trips[I], 3)});
}

bool detailFromJson(const Json::Value &Item, GossipMessage::Detail &Out) {
  Out.Host = HostId(textAt(Item, "h"));
  Out.Life = Incarnation(intAt(Item, "i", -1));
  Out.What.Version = intAt(Item, "n", -1);
  Out.What.Place = PlaceId(textAt(Item, "p"));
  bool HasAddress = parseEndpoint(textAt(Item, "a"), Out.What.Address);
  readLists(Item, Out.What);
  return HasAddress && !Out.Host.empty() && Out.What.Version >= 0;
}

Json::Value coreToJson(const GossipMessage::Core &Which) {
  const Member &What = Which.What;
  Json::Value Out(Json::arrayValue);
  Out.resize(FieldCount);
  Out[FieldHost] = What.Host.text();
  Out[FieldLife] = Json::Int64(What.Life.count());
  Out[FieldHeartbeat] = Json::Int64(What.Heartbeat);
  Out[FieldAgeMillis] =
      Json::Int64(absl::ToInt64Milliseconds(Which.Age.Seeming));
  bool IsProven = Which.Age.Proven < absl::Milliseconds(MaxAgeMillis);
  Out[FieldProvenAgeMillis] = Json::Int64(
      IsProven ? absl::ToInt64Milliseconds(Which.Age.Proven) + 1 : NotProven);
  Out[FieldApplied] = Json::Int64(What.Applied.count());
  Out[FieldStreams] = Json::Int64(What.Streams);
  Out[FieldBillsLogged] = Json::Int64(What.BillsLogged);
  Out[FieldFlags] = Json::Int64((What.Leaving ? FlagLeaving : 0) |
                                (What.Finished ? FlagFinished : 0));
  Out[FieldHeldDetail] = Json::Int64(Which.HeldDetail);
  return Out;
}

bool coreFromJson(const Json::Value &Item, GossipMessage::Core &Out) {
  if (!Item.isArray() || Item.size() != FieldCount ||
      !Item[FieldHost].isString())
    return false;
  for (Json::ArrayIndex I = FieldLife; I < FieldCount; ++I) {
    if (!Item[I].isInt64())
      return false;
  }
  Member &What = Out.What;
  What.Host = HostId(Item[FieldHost].asString());
  What.Life = Incarnation(Item[FieldLife].asInt64());
  What.Heartbeat = Item[FieldHeartbeat].asInt64();
  Out.Age.Seeming = absl::Milliseconds(
      std::clamp<int64_t>(Item[FieldAgeMillis].asInt64(), 0, MaxAgeMillis));
  int64_t Proven = Item[FieldProvenAgeMillis].asInt64();
  if (Proven >= 0)
    Out.Age.Proven = absl::Milliseconds(Proven);
  What.Applied = Offset(Item[FieldApplied].asInt64());
  What.Streams = Item[FieldStreams].asInt64();
  What.BillsLogged = Item[FieldBillsLogged].asInt64();
  What.Leaving = (Item[FieldFlags].asInt64() & FlagLeaving) != 0;
  What.Finished = (Item[FieldFlags].asInt64() & FlagFinished) != 0;
  Out.HeldDetail = Item[FieldHeldDetail].asInt64();
  return !What.Host.empty() && What.Life.count() >= 0 && What.Heartbeat >= 0;
}

} // namespace

size_t detailBytes(const HostId &Host, const MemberDetail &Which) {
  return writeJson(detailToJson(Host, Incarnation(), Which)).size();
}

Json::Value gossipToJson(const GossipMessage &Message) {
  Json::Value Out;
  Out["whole"] = Message.IsWhole;
  Out["cores"] = Json::Value(Json::arrayValue);
  for (const GossipMessage::Core &Each : Message.Cores)
    Out["cores"].append(coreToJson(Each));
  for (const GossipMessage::Detail &Each : Message.Details)
    Out["details"].append(detailToJson(Each.Host, Each.Life, Each.What));
  return Out;
}

GossipMessage gossipFromJson(const Json::Value &Value) {
  GossipMessage Out;
  Out.IsWhole = boolAt(Value, "whole");
  const Json::Value &Cores = arrayAt(Value, "cores");
  for (Json::ArrayIndex I = 0; I < boundedSize(Cores); ++I) {
    GossipMessage::Core Each;
    if (coreFromJson(Cores[I], Each))
      Out.Cores.push_back(std::move(Each));
  }
  const Json::Value &Details = arrayAt(Value, "details");
  for (Json::ArrayIndex I = 0; I < boundedSize(Details); ++I) {
    GossipMessage::Detail Each;
    if (detailFromJson(Details[I], Each))
      Out.Details.push_back(std::move(Each));
  }
  return Out;
}

} // namespace berylramp
