//===- routes.h - Table of routes, services and keys ------------*- C++ -*-===//
//
// The part of the operators' table that determines the services a request may
// be sent to. A RouteTable is immutable once compiled; a newer version replaces
// it as a whole.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_ROUTES_H
#define BERYLRAMP_ROUTES_H

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "berylramp/units.h"
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace berylramp {

/// Whether and how a request may be repeated.
enum class Repeatability {
  /// May be executed any number of times.
  Idempotent,
  /// Must be executed at most once for each caller request.
  AtMostOnce,
  /// An event stream that another replica can resume after a given event.
  Resumable
};

/// A service and its share of a route's requests.
struct ServiceShare {
  ServiceId Service;
  int64_t Weight = 1;
};

/// The rules for requests with a given host and path prefix.
struct Route {
  std::string Name;
  std::string Host;
  /// Starts and ends with a slash.
  std::string Prefix;
  Repeatability Repeats = Repeatability::AtMostOnce;
  bool EventStream = false;
  bool Anonymous = false;
  /// Maximum time until the caller receives an answer.
  absl::Duration Timeout = absl::Seconds(30);
  /// Target time to the first event of a stream, or to the whole answer.
  absl::Duration ResponseTarget = absl::Seconds(1);
  /// Target for the maximum gap between two events of a stream.
  absl::Duration EventGapTarget = absl::Seconds(1);
  /// 0 is the most urgent.
  int Priority = 5;
  /// Maximum number of upstreams that one request may be sent to.
  int MaxAttempts = 1;
  /// Models to select from when the caller names none, smallest first.
  std::vector<ModelId> Models;
  std::vector<ServiceShare> ServiceShares;
  AllowedRegions Regions;
};

/// The operator's cost of a model.
struct ModelPrice {
  ModelId Model;
  /// Cost of 1,000 generated tokens. A prompt token costs a quarter of a
  /// generated one.
  double CostPerThousand = 0;
};

/// A group of interchangeable upstreams.
struct ServiceInfo {
  ServiceId Id;
  std::string HealthPath;
  /// Maximum connections of one upstream, summed over all hosts.
  int MaxConnections = 100;
  /// Requests that one upstream processes concurrently; 0 when not stated.
  int Slots = 0;
  /// Capacity of one engine's KV cache in tokens; 0 for a plain service.
  Tokens CacheTokens;
  std::vector<ModelPrice> Prices;
  /// Requests per second that a cold upstream tolerates, summed over all hosts;
  /// 0 when upstreams need no warm-up.
  double ColdPerSecond = 0;
  /// How long an upstream is cold after its start.
  absl::Duration ColdTime;
};

/// Limits on a caller's requests and connections.
struct CallerLimits {
  int64_t HeaderBytes = 16384;
  int64_t BodyBytes = 4 << 20;
  absl::Duration HeaderTimeout = absl::Seconds(5);
  absl::Duration IdleTimeout = absl::Seconds(15);
};

/// A workspace, which is one customer of the operators.
struct WorkspaceInfo {
  WorkspaceId Id;
  /// Replaces the route's priority unless negative.
  int Priority = -1;
  AllowedRegions Regions = std::nullopt;
};

/// Sequence number of the operators' changes; a larger one is newer.
using TableVersion = Quantity<struct TableVersionTag>;
inline constexpr TableVersion NoTable{-1};

/// One immutable version of the table.
struct RouteTable {
  TableVersion Version = NoTable;
  std::vector<Route> Routes;
  std::vector<ServiceInfo> Services;
  std::vector<WorkspaceInfo> Workspaces;
  CallerLimits Limits;
  /// Maps the text of a key to an index into Workspaces.
  absl::flat_hash_map<std::string, size_t> Keys;
  /// Maps a host to indices into Routes, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<size_t>> RoutesByHost;

  const ServiceInfo *service(const ServiceId &Id) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Builds the lookup indices. Must be called once after all rows are set.
void indexRoutes(RouteTable &Table);

/// The route of \p Host with the longest prefix of \p Path, or null.
const Route *findRoute(const RouteTable &Table, absl::string_view Host,
                       absl::string_view Path);

/// The workspace that \p Key belongs to, or null.
const WorkspaceInfo *findWorkspace(const RouteTable &Table,
                                   absl::string_view Key);

/// The regions that both allow; each that states some binds.
AllowedRegions combineRegions(const AllowedRegions &A, const AllowedRegions &B);

/// Whether \p Regions allow \p Region.
bool allowsRegion(const AllowedRegions &Regions, const RegionId &Region);

/// The regions that the routes of \p Host allow: those that all of them allow,
/// or else those that any of them states.
AllowedRegions regionsOfHost(const RouteTable &Table, absl::string_view Host);

/// The priority of the most urgent route to \p Service.
int mostUrgentPriority(const RouteTable &Table, const ServiceId &Service);

/// Selects a service by weight. \p Draw is a random number in [0, 1).
ServiceId pickService(const Route &Source, double Draw);

} // namespace berylramp

#endif // BERYLRAMP_ROUTES_H
