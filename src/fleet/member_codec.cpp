//===- member_codec.cpp - Member records as JSON --------------------------===//
//
// Keys are short because a record crosses the fleet every second.
//
//===----------------------------------------------------------------------===//

#include "berylramp/fleet.h"
#include "berylramp/json.h"

#include "absl/strings/numbers.h"
#include <algorithm>

namespace berylramp {

namespace {

constexpr Json::ArrayIndex MaxListItems = 256;
constexpr int64_t MaxAgeMillis = int64_t{3600} * 1000;

Json::ArrayIndex boundedSize(const Json::Value &Items) {
  return std::min(Items.size(), MaxListItems);
}

Json::Value versionToJson(const VersionKey &Key) {
  Json::Value Out;
  Out["m"] = Key.Model.text();
  Out["v"] = Key.Version.text();
  return Out;
}

VersionKey versionFromJson(const Json::Value &Item) {
  return VersionKey{ModelId(textAt(Item, "m")), VersionId(textAt(Item, "v"))};
}

void writeLists(const Member &Which, Json::Value &Out) {
  for (const WorkspaceDemand &Each : Which.Demand) {
    Json::Value Item;
    Item["w"] = Each.Workspace.text();
    Item["rps"] = Each.RequestsPerSecond;
    Out["demand"].append(Item);
  }
  for (const RatingTally &Each : Which.Ratings) {
    Json::Value Item = versionToJson(Each.Version);
    Item["k"] = Each.Kind.text();
    Item["g"] = Json::Int64(Each.Good);
    Item["n"] = Json::Int64(Each.Rated);
    Out["ratings"].append(Item);
  }
  for (const VersionTrip &Each : Which.Trips) {
    Json::Value Item = versionToJson(Each.Version);
    Item["run"] = Each.Run;
    Item["why"] = Each.Evidence;
    Out["trips"].append(Item);
  }
}

void readLists(const Json::Value &Item, Member &Out) {
  const Json::Value &Demand = arrayAt(Item, "demand");
  for (Json::ArrayIndex I = 0; I < boundedSize(Demand); ++I)
    Out.Demand.push_back(WorkspaceDemand{WorkspaceId(textAt(Demand[I], "w")),
                                         numberAt(Demand[I], "rps")});
  const Json::Value &Ratings = arrayAt(Item, "ratings");
  for (Json::ArrayIndex I = 0; I < boundedSize(Ratings); ++I)
    Out.Ratings.push_back(RatingTally{
        RequestKindId(textAt(Ratings[I], "k")), versionFromJson(Ratings[I]),
        intAt(Ratings[I], "g"), intAt(Ratings[I], "n")});
  const Json::Value &Trips = arrayAt(Item, "trips");
  for (Json::ArrayIndex I = 0; I < boundedSize(Trips); ++I)
    Out.Trips.push_back(VersionTrip{versionFromJson(Trips[I]),
                                    textAt(Trips[I], "run"),
                                    textAt(Trips[I], "why")});
}

} // namespace

Json::Value memberToJson(const Member &Which) {
  Json::Value Out;
  Out["h"] = Which.Host.text();
  Out["i"] = Json::Int64(Which.Life.count());
  Out["b"] = Json::Int64(Which.Heartbeat);
  Out["p"] = Which.Place.text();
  Out["a"] = Which.Address.text();
  if (Which.Leaving)
    Out["leaving"] = true;
  if (Which.Finished)
    Out["finished"] = true;
  Out["o"] = Json::Int64(Which.Applied.count());
  Out["d"] = hexText(Which.TableDigest);
  Out["s"] = Json::Int64(Which.Streams);
  Out["bl"] = Json::Int64(Which.BillsLogged);
  writeLists(Which, Out);
  return Out;
}

bool memberFromJson(const Json::Value &Item, Member &Out) {
  Out = Member{};
  Out.Host = HostId(textAt(Item, "h"));
  Out.Life = Incarnation(intAt(Item, "i", -1));
  Out.Heartbeat = intAt(Item, "b", -1);
  Out.Place = PlaceId(textAt(Item, "p"));
  Out.Leaving = boolAt(Item, "leaving");
  Out.Finished = boolAt(Item, "finished");
  Out.Applied = Offset(intAt(Item, "o", -1));
  Out.Streams = intAt(Item, "s");
  Out.BillsLogged = intAt(Item, "bl");
  bool HasDigest = absl::SimpleHexAtoi(textAt(Item, "d"), &Out.TableDigest);
  bool HasAddress = parseEndpoint(textAt(Item, "a"), Out.Address);
  readLists(Item, Out);
  return HasDigest && HasAddress && !Out.Host.empty() &&
         Out.Life.count() >= 0 && Out.Heartbeat >= 0;
}

Json::Value digestToJson(const std::vector<DigestEntry> &Digest) {
  Json::Value Out(Json::arrayValue);
  for (const DigestEntry &Each : Digest) {
    Json::Value Item(Json::arrayValue);
    Item.append(Each.Host.text());
    Item.append(Json::Int64(Each.Life.count()));
    Item.append(Json::Int64(Each.Heartbeat));
    Out.append(Item);
  }
  return Out;
}

std::vector<DigestEntry> digestFromJson(const Json::Value &Items) {
  std::vector<DigestEntry> Out;
  if (!Items.isArray())
    return Out;
  for (Json::ArrayIndex I = 0; I < boundedSize(Items); ++I) {
    const Json::Value &Item = Items[I];
    if (!Item.isArray() || Item.size() != 3 || !Item[0U].isString() ||
        !Item[1U].isInt64() || !Item[2U].isInt64())
      continue;
    Out.push_back(DigestEntry{HostId(Item[0U].asString()),
                              Incarnation(Item[1U].asInt64()),
                              Item[2U].asInt64()});
  }
  return Out;
}

Json::Value agedMembersToJson(const std::vector<AgedMember> &Members) {
  Json::Value Out(Json::arrayValue);
  for (const AgedMember &Each : Members) {
    Json::Value Item;
    Item["age_ms"] = Json::Int64(absl::ToInt64Milliseconds(Each.Age));
    Item["member"] = memberToJson(Each.What);
    Out.append(Item);
  }
  return Out;
}

std::vector<AgedMember> agedMembersFromJson(const Json::Value &Items) {
  std::vector<AgedMember> Out;
  if (!Items.isArray())
    return Out;
  for (Json::ArrayIndex I = 0; I < boundedSize(Items); ++I) {
    AgedMember Each;
    int64_t Age = intAt(Items[I], "age_ms", MaxAgeMillis);
    Each.Age = absl::Milliseconds(std::clamp<int64_t>(Age, 0, MaxAgeMillis));
    if (memberFromJson(memberAt(Items[I], "member"), Each.What))
      Out.push_back(std::move(Each));
  }
  return Out;
}

} // namespace berylramp
