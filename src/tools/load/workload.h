//===- workload.h - Workload of simulated callers ---------------*- C++ -*-===//
//
// A workload is a JSON document with workspaces (keys and weights), request
// kinds (weights and sizes) and an arrival rate. The same seed produces the
// same requests.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_LOAD_WORKLOAD_H
#define BERYLRAMP_SRC_TOOLS_LOAD_WORKLOAD_H

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "berylramp/units.h"
#include <string>
#include <vector>

namespace berylramp::load {

struct WorkspaceShare {
  WorkspaceId Workspace;
  std::string Key;
  double Weight = 1;
};

struct KindShare {
  RequestKindId Kind;
  double Weight = 1;
  Tokens MaxTokens{64};
  int Priority = 0;
  bool Streamed = false;
  bool InSession = false;
  /// Size in bytes of the shared prompt prefix and of the unique rest.
  int PrefixBytes = 400;
  int UniqueBytes = 100;
  /// Number of distinct shared prefixes; lower ones are used more often.
  int Prefixes = 8;
  /// Set for calls of a plain service; empty for calls of a model.
  ServiceId Service;
  std::string Path = "/";
  bool IsNonIdempotent = false;
};

struct Workload {
  std::vector<Endpoint> Entries;
  /// Uses only these entries instead of resolving addresses, as when many
  /// callers are concentrated on a few hosts.
  bool IsPinned = false;
  std::string Place;
  std::string AdminKey;
  Endpoint Log;
  std::vector<WorkspaceShare> Workspaces;
  std::vector<KindShare> Kinds;
  uint64_t Seed = 1;
  /// Requests per second in an open loop; 0 selects a closed loop.
  double Rate = 50;
  int Workers = 64;
  absl::Duration RunDuration = absl::Seconds(5);
  /// Maximum number of requests of the run; 0 means no limit.
  int64_t MaxRequests = 0;
};

/// One request to send.
struct Arrival {
  int64_t Number = 0;
  /// Time at which the request is due, since the start of the run.
  absl::Duration DueAt;
  size_t Workspace = 0;
  size_t Kind = 0;
  std::string Prefix;
  std::string Prompt;
  /// Index of the session, for kinds that use sessions.
  int64_t Session = 0;
};

absl::StatusOr<Workload> readWorkload(const std::string &Text);

/// Returns all arrivals of the run in order of time.
std::vector<Arrival> makeArrivals(const Workload &Load);

} // namespace berylramp::load

#endif // BERYLRAMP_SRC_TOOLS_LOAD_WORKLOAD_H
