//===- settings.h - Entry daemon settings -----------------------*- C++ -*-===//
//
// The settings are one JSON document, which is validated against a JSON Schema.
// All errors are reported together, each with its path, its cause and a remedy.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SETTINGS_H
#define BERYLRAMP_SETTINGS_H

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "berylramp/claims.h"
#include "berylramp/fleet.h"
#include "berylramp/policy.h"
#include "berylramp/units.h"
#include <optional>
#include <string>
#include <vector>

namespace berylramp {

struct PeerSeed {
  HostId Host;
  Endpoint Address;
};

struct WorkspaceKeySetting {
  WorkspaceId Workspace;
  std::string Key;
};

/// The network link from this host to a place.
struct PlaceLink {
  PlaceId Place;
  /// One-way delay.
  absl::Duration Delay = absl::ZeroDuration();
  /// True when traffic over this link is billed by volume.
  bool IsPaid = false;
};

struct EntrySettings {
  HostId Host;
  PlaceId Place;
  Endpoint Listen;
  Endpoint Log;
  Endpoint HostList;
  Endpoint Rater;
  std::vector<PeerSeed> Peers;
  std::vector<WorkspaceKeySetting> WorkspaceKeys;
  std::vector<std::string> OperatorKeys;
  std::vector<std::string> AdminKeys;
  std::vector<std::string> SessionKeys;
  std::vector<std::string> PeerKeys;
  std::vector<PlaceLink> Links;

  FleetTimes Times;
  absl::Duration EntriesTtl = absl::Seconds(10);
  absl::Duration GossipInterval = absl::Seconds(1);
  absl::Duration LoadPollInterval = absl::Milliseconds(500);
  absl::Duration LogPollTimeout = absl::Milliseconds(500);
  absl::Duration LogRetention = absl::Hours(24);
  absl::Duration BillFlushInterval = absl::Milliseconds(20);
  ClaimWindow Claims;
  int ClaimShards = 2;
  size_t MaxBodyBytes = 1 << 20;
  size_t MaxConnections = 2048;
  /// Memory that the process may use, unless stated that of the machine.
  /// Requests and replies take a part of it.
  std::optional<int64_t> MemoryBytes;
  size_t MaxBufferedBills = 10000;
  PlanPolicy PlanSelection = PlanPolicy::Lean;
  ReplicaPolicy ReplicaSelection = ReplicaPolicy::Affinity;
  bool Verbose = false;
};

/// Parses and validates settings. The error status lists all errors, one per
/// line.
absl::StatusOr<EntrySettings> readEntrySettings(const std::string &Text);

/// Returns the effective settings as JSON with all secrets redacted.
std::string printEntrySettings(const EntrySettings &Settings);

/// Validates \p Document against \p Schema, both given as JSON text. The error
/// status lists all errors, one per line.
absl::StatusOr<Json::Value> validateAgainstSchema(const std::string &Document,
                                                  const std::string &Schema);

/// Reads an entire file. The error message includes a remedy.
absl::StatusOr<std::string> readFile(const std::string &Path);

} // namespace berylramp

#endif // BERYLRAMP_SETTINGS_H
