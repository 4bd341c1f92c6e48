//===- entry_settings.cpp - Entry daemon settings -------------------------===//
//
// Members are read after the schema has validated their types and ranges.
// Constraints between members, which a schema cannot express, are checked here.
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
constexpr int64_t BytesPerMegabyte = 1 << 20;
/// Shorter than the minimum key length, so that printed settings are rejected
/// when they are used as input.
constexpr const char *RedactedSecret = "hidden";

void readMillis(const Json::Value &Object, const char *Key,
                absl::Duration &Value) {
  Value =
      absl::Milliseconds(intAt(Object, Key, absl::ToInt64Milliseconds(Value)));
}

std::vector<std::string> stringsAt(const Json::Value &Object, const char *Key) {
  std::vector<std::string> Values;
  for (const Json::Value &Item : arrayAt(Object, Key))
    Values.push_back(Item.asString());
  return Values;
}

void readTimes(const Json::Value &Document, EntrySettings &Settings) {
  readMillis(Document, "freshness_ms", Settings.Times.FreshnessBound);
  readMillis(Document, "detached_for_ms", Settings.Times.DetachedTimeout);
  readMillis(Document, "heard_within_ms", Settings.Times.PeerSilenceTimeout);
  readMillis(Document, "forget_after_ms", Settings.Times.MemberRemovalDelay);
  readMillis(Document, "entries_ttl_ms", Settings.EntriesTtl);
  readMillis(Document, "gossip_ms", Settings.GossipInterval);
  readMillis(Document, "load_ms", Settings.LoadPollInterval);
  readMillis(Document, "log_wait_ms", Settings.LogPollTimeout);
  readMillis(Document, "log_retention_ms", Settings.LogRetention);
  readMillis(Document, "bill_ms", Settings.BillFlushInterval);
  readMillis(Document, "claim_window_ms", Settings.Claims.Length);
}

void readSizes(const Json::Value &Document, EntrySettings &Settings) {
  Settings.ClaimShards =
      static_cast<int>(intAt(Document, "claim_shards", Settings.ClaimShards));
  Settings.MaxBodyBytes = static_cast<size_t>(intAt(
      Document, "max_body_bytes", static_cast<int64_t>(Settings.MaxBodyBytes)));
  Settings.MaxConnections =
      static_cast<size_t>(intAt(Document, "max_connections",
                                static_cast<int64_t>(Settings.MaxConnections)));
  if (Document.isMember("memory_mb"))
    Settings.MemoryBytes = intAt(Document, "memory_mb") * BytesPerMegabyte;
  Settings.MaxBufferedBills = static_cast<size_t>(
      intAt(Document, "bill_buffer",
            static_cast<int64_t>(Settings.MaxBufferedBills)));
}

void readLists(const Json::Value &Document, EntrySettings &Settings) {
  for (const Json::Value &Item : arrayAt(Document, "peers")) {
    PeerSeed Seed{HostId(textAt(Item, "host")), Endpoint{}};
    parseEndpoint(textAt(Item, "address"), Seed.Address);
    Settings.Peers.push_back(Seed);
  }
  for (const Json::Value &Item : arrayAt(Document, "workspace_keys"))
    Settings.WorkspaceKeys.push_back(WorkspaceKeySetting{
        WorkspaceId(textAt(Item, "workspace")), textAt(Item, "key")});
  for (const Json::Value &Item : arrayAt(Document, "links"))
    Settings.Links.push_back(
        PlaceLink{PlaceId(textAt(Item, "place")),
                  absl::Milliseconds(numberAt(Item, "one_way_ms")),
                  boolAt(Item, "paid")});
  Settings.OperatorKeys = stringsAt(Document, "operator_keys");
  Settings.AdminKeys = stringsAt(Document, "admin_keys");
  Settings.SessionKeys = stringsAt(Document, "session_keys");
  Settings.PeerKeys = stringsAt(Document, "peer_keys");
}

void readPolicies(const Json::Value &Document, EntrySettings &Settings) {
  parsePlanPolicy(
      textAt(Document, "plan_policy", planPolicyName(Settings.PlanSelection)),
      Settings.PlanSelection);
  std::string Name = textAt(Document, "replica_policy", "affinity");
  for (size_t I = 0; I < ReplicaPolicyNames.size(); ++I) {
    if (Name == ReplicaPolicyNames[I])
      Settings.ReplicaSelection = static_cast<ReplicaPolicy>(I);
  }
}

void checkConstraints(const EntrySettings &Settings,
                      std::vector<std::string> &Errors) {
  if (Settings.Claims.Length * 2 > Settings.LogRetention)
    Errors.push_back("claim_window_ms: set it to at most half of "
                     "log_retention_ms, because the log would otherwise "
                     "discard records that claims still need");
  if (Settings.Times.DetachedTimeout < Settings.Times.FreshnessBound)
    Errors.push_back("detached_for_ms: set it to at least freshness_ms");
  if (Settings.Times.PeerSilenceTimeout < Settings.GossipInterval * 2)
    Errors.push_back("heard_within_ms: set it to at least twice gossip_ms");
  if (Settings.LogPollTimeout * 2 > Settings.Times.FreshnessBound)
    Errors.push_back("log_wait_ms: set it to at most half of freshness_ms");
}

Json::Value millis(absl::Duration Time) {
  return Json::Int64(absl::ToInt64Milliseconds(Time));
}

Json::Value redact(const std::vector<std::string> &Secrets) {
  Json::Value Redacted(Json::arrayValue);
  for (size_t I = 0; I < Secrets.size(); ++I)
    Redacted.append(RedactedSecret);
  return Redacted;
}

void printTimes(const EntrySettings &Settings, Json::Value &Document) {
  Document["freshness_ms"] = millis(Settings.Times.FreshnessBound);
  Document["detached_for_ms"] = millis(Settings.Times.DetachedTimeout);
  Document["heard_within_ms"] = millis(Settings.Times.PeerSilenceTimeout);
  Document["forget_after_ms"] = millis(Settings.Times.MemberRemovalDelay);
  Document["entries_ttl_ms"] = millis(Settings.EntriesTtl);
  Document["gossip_ms"] = millis(Settings.GossipInterval);
  Document["load_ms"] = millis(Settings.LoadPollInterval);
  Document["log_wait_ms"] = millis(Settings.LogPollTimeout);
  Document["log_retention_ms"] = millis(Settings.LogRetention);
  Document["bill_ms"] = millis(Settings.BillFlushInterval);
  Document["claim_window_ms"] = millis(Settings.Claims.Length);
}

void printLists(const EntrySettings &Settings, Json::Value &Document) {
  for (const PeerSeed &Seed : Settings.Peers) {
    Json::Value Item;
    Item["host"] = Seed.Host.text();
    Item["address"] = Seed.Address.text();
    Document["peers"].append(Item);
  }
  for (const WorkspaceKeySetting &Entry : Settings.WorkspaceKeys) {
    Json::Value Item;
    Item["workspace"] = Entry.Workspace.text();
    Item["key"] = RedactedSecret;
    Document["workspace_keys"].append(Item);
  }
  for (const PlaceLink &Link : Settings.Links) {
    Json::Value Item;
    Item["place"] = Link.Place.text();
    Item["one_way_ms"] = absl::ToDoubleMilliseconds(Link.Delay);
    Item["paid"] = Link.IsPaid;
    Document["links"].append(Item);
  }
  Document["operator_keys"] = redact(Settings.OperatorKeys);
  Document["admin_keys"] = redact(Settings.AdminKeys);
  Document["session_keys"] = redact(Settings.SessionKeys);
  Document["peer_keys"] = redact(Settings.PeerKeys);
}

} // namespace

absl::StatusOr<EntrySettings> readEntrySettings(const std::string &Text) {
  absl::StatusOr<Json::Value> Document =
      validateAgainstSchema(Text, internal::EntrySchema);
  if (!Document.ok())
    return Document.status();
  EntrySettings Settings;
  Settings.Host = HostId(textAt(*Document, "host"));
  Settings.Place = PlaceId(textAt(*Document, "place"));
  Settings.Verbose = boolAt(*Document, "verbose");
  parseEndpoint(textAt(*Document, "listen"), Settings.Listen);
  parseEndpoint(textAt(*Document, "log"), Settings.Log);
  parseEndpoint(textAt(*Document, "host_list"), Settings.HostList);
  parseEndpoint(textAt(*Document, "rater"), Settings.Rater);
  readTimes(*Document, Settings);
  readSizes(*Document, Settings);
  readLists(*Document, Settings);
  readPolicies(*Document, Settings);
  std::vector<std::string> Errors;
  checkConstraints(Settings, Errors);
  if (!Errors.empty())
    return absl::InvalidArgumentError(absl::StrJoin(Errors, "\n"));
  return Settings;
}

std::string printEntrySettings(const EntrySettings &Settings) {
  Json::Value Document;
  Document["host"] = Settings.Host.text();
  Document["place"] = Settings.Place.text();
  Document["listen"] = Settings.Listen.text();
  Document["log"] = Settings.Log.text();
  Document["host_list"] = Settings.HostList.text();
  Document["rater"] = Settings.Rater.text();
  printTimes(Settings, Document);
  printLists(Settings, Document);
  Document["claim_shards"] = Settings.ClaimShards;
  Document["max_body_bytes"] = Json::UInt64(Settings.MaxBodyBytes);
  Document["max_connections"] = Json::UInt64(Settings.MaxConnections);
  if (Settings.MemoryBytes)
    Document["memory_mb"] =
        Json::Int64(*Settings.MemoryBytes / BytesPerMegabyte);
  Document["bill_buffer"] = Json::UInt64(Settings.MaxBufferedBills);
  Document["plan_policy"] = planPolicyName(Settings.PlanSelection);
  Document["replica_policy"] =
      ReplicaPolicyNames[static_cast<size_t>(Settings.ReplicaSelection)];
  Document["verbose"] = Settings.Verbose;
  return writePrettyJson(Document);
}

} // namespace berylramp
