//===- settings.h - The settings of an entry daemon -------------*- C++ -*-===//
//
// Settings are one JSON document, checked against a JSON Schema. Every fault is
// reported at once, with its path, what is wrong and the remedy.
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

/// How this host reaches a place.
struct PlaceLink {
  PlaceId Place;
  /// One way.
  absl::Duration Delay = absl::ZeroDuration();
  /// True when traffic there is paid by volume.
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
  absl::Duration GossipEvery = absl::Seconds(1);
  absl::Duration LoadEvery = absl::Milliseconds(500);
  absl::Duration LogWait = absl::Milliseconds(500);
  absl::Duration LogRetention = absl::Hours(24);
  absl::Duration BillEvery = absl::Milliseconds(20);
  ClaimWindow Claims;
  int ClaimShards = 2;
  size_t MaxBodyBytes = 1 << 20;
  size_t MaxConnections = 2048;
  size_t BillBuffer = 10000;
  PlanPolicy Plans = PlanPolicy::Lean;
  ReplicaPolicy Replicas = ReplicaPolicy::Affinity;
  bool Verbose = false;
};

/// Reads and checks settings; the error lists every fault, a line each.
absl::StatusOr<EntrySettings> readEntrySettings(const std::string &Text);

/// The effective settings as JSON, secrets left out.
std::string printEntrySettings(const EntrySettings &Settings);

/// Checks \p Document against \p Schema, both JSON text; the error lists every
/// fault, a line each.
absl::StatusOr<Json::Value> checkAgainstSchema(const std::string &Document,
                                               const std::string &Schema);

/// Reads a whole file; the error names the remedy.
absl::StatusOr<std::string> readFile(const std::string &Path);

} // namespace berylramp

#endif // BERYLRAMP_SETTINGS_H
