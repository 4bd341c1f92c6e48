//===- member_codec.cpp - Gossip messages as JSON -------------------------===//
//
// A core is encoded as an array, not as an object: each message of an exchange
// carries up to two dozen cores, and field names would be most of their bytes.
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
  FieldIncarnation,
  FieldHeartbeat,
  FieldEstimatedAgeMillis,
  FieldApplied,
  FieldActiveStreams,
  FieldLastLoggedBill,
  FieldFlags,
  FieldHeldDetailVersion,
  FieldMaxAgeMillis,
  FieldCount
};
constexpr int64_t UnknownMaxAge = -1;
constexpr int64_t FlagLeaving = 1;
constexpr int64_t FlagFinished = 2;

Json::ArrayIndex boundedSize(const Json::Value &Items) {
  return std::min(Items.size(), MaxListItems);
}

Json::Value makeArray(std::initializer_list<Json::Value> Items) {
  Json::Value Result(Json::arrayValue);
  for (const Json::Value &Item : Items)
    Result.append(Item);
  return Result;
}

std::string itemText(const Json::Value &Row, Json::ArrayIndex Index) {
  bool IsPresent = Row.isArray() && Index < Row.size() && Row[Index].isString();
  return IsPresent ? Row[Index].asString() : "";
}

int64_t itemInteger(const Json::Value &Row, Json::ArrayIndex Index) {
  bool IsPresent = Row.isArray() && Index < Row.size() && Row[Index].isInt64();
  return IsPresent ? Row[Index].asInt64() : 0;
}

double itemNumber(const Json::Value &Row, Json::ArrayIndex Index) {
  bool IsPresent =
      Row.isArray() && Index < Row.size() && Row[Index].isNumeric();
  return IsPresent ? Row[Index].asDouble() : 0;
}

VersionKey versionAt(const Json::Value &Row) {
  return VersionKey{ModelId(itemText(Row, 0)), VersionId(itemText(Row, 1))};
}

Json::Value detailToJson(const HostId &Host, Incarnation HostIncarnation,
                         const MemberDetail &Source) {
  Json::Value Result;
  Result["h"] = Host.text();
  Result["i"] = Json::Int64(HostIncarnation.count());
  Result["n"] = Json::Int64(Source.Version);
  Result["p"] = Source.Place.text();
  Result["a"] = Source.Address.text();
  for (const WorkspaceDemand &Entry : Source.Demand)
    Result["d"].append(
        makeArray({Entry.Workspace.text(), Entry.RequestsPerSecond}));
  for (const RatingTally &Entry : Source.Ratings)
    Result["r"].append(
        makeArray({Entry.Version.Model.text(), Entry.Version.Version.text(),
                   Entry.Kind.text(), Json::Int64(Entry.Good),
                   Json::Int64(Entry.Rated), Entry.Run}));
  for (const VersionTrip &Entry : Source.Trips)
    Result["t"].append(
        makeArray({Entry.Version.Model.text(), Entry.Version.Version.text(),
                   Entry.Run, Entry.Evidence}));
  return Result;
}

void readLists(const Json::Value &Item, MemberDetail &Result) {
  const Json::Value &Demand = arrayAt(Item, "d");
  for (Json::ArrayIndex I = 0; I < boundedSize(Demand); ++I)
    Result.Demand.push_back(
        WorkspaceDemand{WorkspaceId(itemText(Demand[I], 0)),
                        std::max(0.0, itemNumber(Demand[I], 1))});
  const Json::Value &Ratings = arrayAt(Item, "r");
  for (Json::ArrayIndex I = 0; I < boundedSize(Ratings); ++I)
    Result.Ratings.push_back(
        RatingTally{RequestKindId(itemText(Ratings[I], 2)),
                    versionAt(Ratings[I]), itemText(Ratings[I], 5),
                    itemInteger(Ratings[I], 3), itemInteger(Ratings[I], 4)});
  const Json::Value &Trips = arrayAt(Item, "t");
  for (Json::ArrayIndex I = 0; I < boundedSize(Trips); ++I)
    Result.Trips.push_back(VersionTrip{
        versionAt(Trips[I]), itemText(Trips[I], 2), itemText(Trips[I], 3)});
}

bool detailFromJson(const Json::Value &Item, GossipMessage::Detail &Result) {
  Result.Host = HostId(textAt(Item, "h"));
  Result.HostIncarnation = Incarnation(intAt(Item, "i", -1));
  Result.Content.Version = intAt(Item, "n", -1);
  Result.Content.Place = PlaceId(textAt(Item, "p"));
  bool HasAddress = parseEndpoint(textAt(Item, "a"), Result.Content.Address);
  readLists(Item, Result.Content);
  return HasAddress && !Result.Host.empty() && Result.Content.Version >= 0;
}

Json::Value coreToJson(const GossipMessage::Core &Source) {
  const Member &Record = Source.MemberRecord;
  Json::Value Result(Json::arrayValue);
  Result.resize(FieldCount);
  Result[FieldHost] = Record.Host.text();
  Result[FieldIncarnation] = Json::Int64(Record.HostIncarnation.count());
  Result[FieldHeartbeat] = Json::Int64(Record.Heartbeat);
  Result[FieldEstimatedAgeMillis] =
      Json::Int64(absl::ToInt64Milliseconds(Source.Age.Estimated));
  bool IsBounded = Source.Age.UpperBound < absl::Milliseconds(MaxAgeMillis);
  Result[FieldMaxAgeMillis] = Json::Int64(
      IsBounded ? absl::ToInt64Milliseconds(Source.Age.UpperBound) + 1
                : UnknownMaxAge);
  Result[FieldApplied] = Json::Int64(Record.Applied.count());
  Result[FieldActiveStreams] = Json::Int64(Record.ActiveStreams);
  Result[FieldLastLoggedBill] = Json::Int64(Record.LastLoggedBill);
  Result[FieldFlags] = Json::Int64((Record.Leaving ? FlagLeaving : 0) |
                                   (Record.Finished ? FlagFinished : 0));
  Result[FieldHeldDetailVersion] = Json::Int64(Source.HeldDetailVersion);
  return Result;
}

bool coreFromJson(const Json::Value &Item, GossipMessage::Core &Result) {
  if (!Item.isArray() || Item.size() != FieldCount ||
      !Item[FieldHost].isString())
    return false;
  for (Json::ArrayIndex I = FieldIncarnation; I < FieldCount; ++I) {
    if (!Item[I].isInt64())
      return false;
  }
  Member &Record = Result.MemberRecord;
  Record.Host = HostId(Item[FieldHost].asString());
  Record.HostIncarnation = Incarnation(Item[FieldIncarnation].asInt64());
  Record.Heartbeat = Item[FieldHeartbeat].asInt64();
  Result.Age.Estimated = absl::Milliseconds(std::clamp<int64_t>(
      Item[FieldEstimatedAgeMillis].asInt64(), 0, MaxAgeMillis));
  int64_t UpperBound = Item[FieldMaxAgeMillis].asInt64();
  if (UpperBound >= 0)
    Result.Age.UpperBound = absl::Milliseconds(UpperBound);
  Record.Applied = Offset(Item[FieldApplied].asInt64());
  Record.ActiveStreams = Item[FieldActiveStreams].asInt64();
  Record.LastLoggedBill = Item[FieldLastLoggedBill].asInt64();
  Record.Leaving = (Item[FieldFlags].asInt64() & FlagLeaving) != 0;
  Record.Finished = (Item[FieldFlags].asInt64() & FlagFinished) != 0;
  Result.HeldDetailVersion = Item[FieldHeldDetailVersion].asInt64();
  return !Record.Host.empty() && Record.HostIncarnation.count() >= 0 &&
         Record.Heartbeat >= 0;
}

} // namespace

size_t detailBytes(const HostId &Host, const MemberDetail &Source) {
  return writeJson(detailToJson(Host, Incarnation(), Source)).size();
}

Json::Value gossipToJson(const GossipMessage &Message) {
  Json::Value Result;
  Result["whole"] = Message.IsComplete;
  Result["cores"] = Json::Value(Json::arrayValue);
  for (const GossipMessage::Core &Entry : Message.Cores)
    Result["cores"].append(coreToJson(Entry));
  for (const GossipMessage::Detail &Entry : Message.Details)
    Result["details"].append(
        detailToJson(Entry.Host, Entry.HostIncarnation, Entry.Content));
  return Result;
}

GossipMessage gossipFromJson(const Json::Value &Value) {
  GossipMessage Result;
  Result.IsComplete = boolAt(Value, "whole");
  const Json::Value &Cores = arrayAt(Value, "cores");
  for (Json::ArrayIndex I = 0; I < boundedSize(Cores); ++I) {
    GossipMessage::Core Entry;
    if (coreFromJson(Cores[I], Entry))
      Result.Cores.push_back(std::move(Entry));
  }
  const Json::Value &Details = arrayAt(Value, "details");
  for (Json::ArrayIndex I = 0; I < boundedSize(Details); ++I) {
    GossipMessage::Detail Entry;
    if (detailFromJson(Details[I], Entry))
      Result.Details.push_back(std::move(Entry));
  }
  return Result;
}

} // namespace berylramp
