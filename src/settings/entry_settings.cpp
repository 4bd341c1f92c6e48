//===- entry_settings.cpp - The settings of an entry daemon ---------------===//
//
// The schema has checked types and ranges by the time a member is read; what
// a schema cannot say about two members together is checked here.
//
//===----------------------------------------------------------------------===//

#include "berylramp/json.h"
#include "berylramp/settings.h"
#include "entry_schema.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include <array>

namespace berylramp {

namespace {

constexpr std::array<const char *, 4> ReplicaPolicyNames = {
    "round-robin", "least-loaded", "two-choices", "affinity"};
/// Too short for a key, so that printed settings cannot be used as they are.
constexpr const char *Hidden = "hidden";

void readMillis(const Json::Value &In, const char *Key, absl::Duration &Out) {
  Out = absl::Milliseconds(intAt(In, Key, absl::ToInt64Milliseconds(Out)));
}

std::vector<std::string> textsAt(const Json::Value &In, const char *Key) {
  std::vector<std::string> Out;
  for (const Json::Value &Item : arrayAt(In, Key))
    Out.push_back(Item.asString());
  return Out;
}

void readTimes(const Json::Value &In, EntrySettings &Out) {
  readMillis(In, "freshness_ms", Out.Times.FreshnessBound);
  readMillis(In, "detached_for_ms", Out.Times.DetachedTimeout);
  readMillis(In, "heard_within_ms", Out.Times.PeerSilenceTimeout);
  readMillis(In, "forget_after_ms", Out.Times.MemberRemovalDelay);
  readMillis(In, "entries_ttl_ms", Out.EntriesTtl);
  readMillis(In, "gossip_ms", Out.GossipEvery);
  readMillis(In, "load_ms", Out.LoadEvery);
  readMillis(In, "log_wait_ms", Out.LogWait);
  readMillis(In, "log_retention_ms", Out.LogRetention);
  readMillis(In, "bill_ms", Out.BillEvery);
  readMillis(In, "claim_window_ms", Out.Claims.Length);
}

void readSizes(const Json::Value &In, EntrySettings &Out) {
  Out.ClaimShards =
      static_cast<int>(intAt(In, "claim_shards", Out.ClaimShards));
  Out.MaxBodyBytes = static_cast<size_t>(
      intAt(In, "max_body_bytes", static_cast<int64_t>(Out.MaxBodyBytes)));
  Out.MaxConnections = static_cast<size_t>(
      intAt(In, "max_connections", static_cast<int64_t>(Out.MaxConnections)));
  Out.BillBuffer = static_cast<size_t>(
      intAt(In, "bill_buffer", static_cast<int64_t>(Out.BillBuffer)));
}

void readLists(const Json::Value &In, EntrySettings &Out) {
  for (const Json::Value &Item : arrayAt(In, "peers")) {
    PeerSeed Seed{HostId(textAt(Item, "host")), Endpoint{}};
    parseEndpoint(textAt(Item, "address"), Seed.Address);
    Out.Peers.push_back(Seed);
  }
  for (const Json::Value &Item : arrayAt(In, "workspace_keys"))
    Out.WorkspaceKeys.push_back(WorkspaceKeySetting{
        WorkspaceId(textAt(Item, "workspace")), textAt(Item, "key")});
  for (const Json::Value &Item : arrayAt(In, "links"))
    Out.Links.push_back(
        PlaceLink{PlaceId(textAt(Item, "place")),
                  absl::Milliseconds(numberAt(Item, "one_way_ms")),
                  boolAt(Item, "paid")});
  Out.OperatorKeys = textsAt(In, "operator_keys");
  Out.AdminKeys = textsAt(In, "admin_keys");
  Out.SessionKeys = textsAt(In, "session_keys");
  Out.PeerKeys = textsAt(In, "peer_keys");
}

void readPolicies(const Json::Value &In, EntrySettings &Out) {
  parsePlanPolicy(textAt(In, "plan_policy", planPolicyName(Out.Plans)),
                  Out.Plans);
  std::string Name = textAt(In, "replica_policy", "affinity");
  for (size_t I = 0; I < ReplicaPolicyNames.size(); ++I) {
    if (Name == ReplicaPolicyNames[I])
      Out.Replicas = static_cast<ReplicaPolicy>(I);
  }
}

void checkTogether(const EntrySettings &In, std::vector<std::string> &Faults) {
  if (In.Claims.Length * 2 > In.LogRetention)
    Faults.push_back("claim_window_ms: set it to at most half of "
                     "log_retention_ms, or the log forgets claims too early");
  if (In.Times.DetachedTimeout < In.Times.FreshnessBound)
    Faults.push_back("detached_for_ms: set it to at least freshness_ms");
  if (In.Times.PeerSilenceTimeout < In.GossipEvery * 2)
    Faults.push_back("heard_within_ms: set it to at least twice gossip_ms");
  if (In.LogWait * 2 > In.Times.FreshnessBound)
    Faults.push_back("log_wait_ms: set it to at most half of freshness_ms");
}

Json::Value millis(absl::Duration Time) {
  return Json::Int64(absl::ToInt64Milliseconds(Time));
}

Json::Value hide(const std::vector<std::string> &Secrets) {
  Json::Value Out(Json::arrayValue);
  for (size_t I = 0; I < Secrets.size(); ++I)
    Out.append(Hidden);
  return Out;
}

void printTimes(const EntrySettings &In, Json::Value &Out) {
  Out["freshness_ms"] = millis(In.Times.FreshnessBound);
  Out["detached_for_ms"] = millis(In.Times.DetachedTimeout);
  Out["heard_within_ms"] = millis(In.Times.PeerSilenceTimeout);
  Out["forget_after_ms"] = millis(In.Times.MemberRemovalDelay);
  Out["entries_ttl_ms"] = millis(In.EntriesTtl);
  Out["gossip_ms"] = millis(In.GossipEvery);
  Out["load_ms"] = millis(In.LoadEvery);
  Out["log_wait_ms"] = millis(In.LogWait);
  Out["log_retention_ms"] = millis(In.LogRetention);
  Out["bill_ms"] = millis(In.BillEvery);
  Out["claim_window_ms"] = millis(In.Claims.Length);
}

void printLists(const EntrySettings &In, Json::Value &Out) {
  for (const PeerSeed &Seed : In.Peers) {
    Json::Value Item;
    Item["host"] = Seed.Host.text();
    Item["address"] = Seed.Address.text();
    Out["peers"].append(Item);
  }
  for (const WorkspaceKeySetting &Each : In.WorkspaceKeys) {
    Json::Value Item;
    Item["workspace"] = Each.Workspace.text();
    Item["key"] = Hidden;
    Out["workspace_keys"].append(Item);
  }
  for (const PlaceLink &Link : In.Links) {
    Json::Value Item;
    Item["place"] = Link.Place.text();
    Item["one_way_ms"] = absl::ToDoubleMilliseconds(Link.Delay);
    Item["paid"] = Link.IsPaid;
    Out["links"].append(Item);
  }
  Out["operator_keys"] = hide(In.OperatorKeys);
  Out["admin_keys"] = hide(In.AdminKeys);
  Out["session_keys"] = hide(In.SessionKeys);
  Out["peer_keys"] = hide(In.PeerKeys);
}

} // namespace

absl::StatusOr<EntrySettings> readEntrySettings(const std::string &Text) {
  absl::StatusOr<Json::Value> In =
      checkAgainstSchema(Text, internal::EntrySchema);
  if (!In.ok())
    return In.status();
  EntrySettings Out;
  Out.Host = HostId(textAt(*In, "host"));
  Out.Place = PlaceId(textAt(*In, "place"));
  Out.Verbose = boolAt(*In, "verbose");
  parseEndpoint(textAt(*In, "listen"), Out.Listen);
  parseEndpoint(textAt(*In, "log"), Out.Log);
  parseEndpoint(textAt(*In, "host_list"), Out.HostList);
  parseEndpoint(textAt(*In, "rater"), Out.Rater);
  readTimes(*In, Out);
  readSizes(*In, Out);
  readLists(*In, Out);
  readPolicies(*In, Out);
  std::vector<std::string> Faults;
  checkTogether(Out, Faults);
  if (!Faults.empty())
    return absl::InvalidArgumentError(absl::StrJoin(Faults, "\n"));
  return Out;
}

std::string printEntrySettings(const EntrySettings &In) {
  Json::Value Out;
  Out["host"] = In.Host.text();
  Out["place"] = In.Place.text();
  Out["listen"] = In.Listen.text();
  Out["log"] = In.Log.text();
  Out["host_list"] = In.HostList.text();
  Out["rater"] = In.Rater.text();
  printTimes(In, Out);
  printLists(In, Out);
  Out["claim_shards"] = In.ClaimShards;
  Out["max_body_bytes"] = Json::UInt64(In.MaxBodyBytes);
  Out["max_connections"] = Json::UInt64(In.MaxConnections);
  Out["bill_buffer"] = Json::UInt64(In.BillBuffer);
  Out["plan_policy"] = planPolicyName(In.Plans);
  Out["replica_policy"] = ReplicaPolicyNames[static_cast<size_t>(In.Replicas)];
  Out["verbose"] = In.Verbose;
  return writePrettyJson(Out);
}

} // namespace berylramp
