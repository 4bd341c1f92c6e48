//===- routes.h - The table of routes, services and keys --------*- C++ -*-===//
//
// The part of the operators' table that decides where a request may go. A
// RouteTable is immutable once compiled; a newer version replaces it whole.
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

/// Whether and how a request may be run again.
enum class Repeat {
  /// May run any number of times.
  Idempotent,
  /// Runs at most once for each request of a caller.
  AtMostOnce,
  /// An event stream that another replica can continue after a given event.
  Resumable
};

/// A service and its share of a route's requests.
struct ServiceShare {
  ServiceId Service;
  int64_t Weight = 1;
};

/// Where requests with one host and path prefix go.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  Repeat Rule = Repeat::AtMostOnce;
  bool EventStream = false;
  bool Anonymous = false;
  /// The longest time to keep a caller waiting.
  absl::Duration Timeout = absl::Seconds(30);
  /// The time to the first event or the whole answer that earns full credit.
  absl::Duration Target = absl::Seconds(1);
  /// The longest pause between events of an answer that is on time.
  absl::Duration PauseTarget = absl::Seconds(1);
  /// 0 is the most urgent.
  int Priority = 5;
  /// The most upstreams that one request may be sent to.
  int MaxAttempts = 1;
  /// Models to choose from when the caller leaves the choice open, smallest
  /// first.
  std::vector<ModelId> Models;
  std::vector<ServiceShare> Split;
};

/// What a model costs the operator.
struct ModelPrice {
  ModelId Model;
  /// Per 1,000 generated tokens; a token read counts a quarter.
  double CostPerThousand = 0;
};

/// A group of upstreams that answer the same requests.
struct ServiceInfo {
  ServiceId Id;
  std::string HealthPath;
  /// Connections that one upstream accepts from all hosts together.
  int MaxConnections = 100;
  /// Requests that one upstream works on at once; 0 when not stated.
  int Slots = 0;
  /// Tokens that fit into the memory of one engine; 0 for a plain service.
  Tokens CacheTokens;
  std::vector<ModelPrice> Prices;
};

/// Bounds on what a caller may send.
struct CallerLimits {
  int64_t HeaderBytes = 16384;
  int64_t BodyBytes = 4 << 20;
  absl::Duration HeaderTime = absl::Seconds(5);
  absl::Duration IdleTime = absl::Seconds(15);
};

/// A customer of the operators.
struct WorkspaceInfo {
  WorkspaceId Id;
  /// Replaces the route's priority unless negative.
  int Priority = -1;
};

/// Counts the operators' changes; a larger number is a newer table.
using TableVersion = Quantity<struct TableVersionTag>;
inline constexpr TableVersion NoTable{-1};

/// An immutable version of the table.
struct RouteTable {
  TableVersion Version = NoTable;
  std::vector<Route> Routes;
  std::vector<ServiceInfo> Services;
  std::vector<WorkspaceInfo> Workspaces;
  CallerLimits Limits;
  /// Key text to an index of Workspaces.
  absl::flat_hash_map<std::string, size_t> Keys;
  /// Host to indices of Routes, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<size_t>> ByHost;

  const ServiceInfo *service(const ServiceId &Id) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Builds the indices; call once after the rows are filled.
void indexRoutes(RouteTable &Table);

/// The route with the longest prefix that begins \p Path, or null.
const Route *findRoute(const RouteTable &Table, absl::string_view Host,
                       absl::string_view Path);

/// The workspace that holds \p Key, or null.
const WorkspaceInfo *findWorkspace(const RouteTable &Table,
                                   absl::string_view Key);

/// The service for a request: \p Draw in [0, 1) picks by weight.
ServiceId pickService(const Route &Which, double Draw);

} // namespace berylramp

#endif // BERYLRAMP_ROUTES_H
