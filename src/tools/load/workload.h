//===- workload.h - What callers ask for ------------------------*- C++ -*-===//
//
// A workload is a JSON document: workspaces with keys and weights, kinds of
// requests with weights and sizes, and how fast they come. The same seed gives
// the same requests.
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
  /// Bytes of the prompt's part that requests share, and of its own part.
  int PrefixBytes = 400;
  int OwnBytes = 100;
  /// Different shared parts; lower numbers are asked more often.
  int Prefixes = 8;
  /// Set for calls of a plain service.
  ServiceId Service;
  std::string Path = "/";
  bool IsOrder = false;
};

struct Workload {
  std::vector<Endpoint> Entries;
  /// Set to use just these entries, as a crowd of callers in one spot does.
  bool IsPinned = false;
  std::string Place;
  std::string AdminKey;
  Endpoint Log;
  std::vector<WorkspaceShare> Workspaces;
  std::vector<KindShare> Kinds;
  uint64_t Seed = 1;
  /// Requests a second, in an open loop; 0 means a closed loop.
  double Rate = 50;
  int Workers = 64;
  absl::Duration Length = absl::Seconds(5);
  /// Ends the run after this many requests; 0 means no bound.
  int64_t MaxRequests = 0;
};

/// One request to send.
struct Arrival {
  int64_t Number = 0;
  /// Since the start of the run.
  absl::Duration DueAt;
  size_t Workspace = 0;
  size_t Kind = 0;
  std::string Prefix;
  std::string Prompt;
  /// For a session: which one.
  int64_t Session = 0;
};

absl::StatusOr<Workload> readWorkload(const std::string &Text);

/// All arrivals of the run, in order.
std::vector<Arrival> makeArrivals(const Workload &Given);

} // namespace berylramp::load

#endif // BERYLRAMP_SRC_TOOLS_LOAD_WORKLOAD_H
