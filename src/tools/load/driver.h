//===- driver.h - Sends a workload and records the outcomes -----*- C++ -*-===//
//
// Behaves as a well-behaved client: it resolves the addresses of the entry
// hosts, caches them for their time to live, drops an address that refuses
// connections and retries at another one, and sends session tokens back.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_LOAD_DRIVER_H
#define BERYLRAMP_SRC_TOOLS_LOAD_DRIVER_H

#include "berylramp/http.h"
#include "berylramp/sync.h"
#include "workload.h"
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace berylramp::load {

/// Outcome and latencies of one request.
struct Sample {
  int64_t Number = 0;
  RequestId Request;
  WorkspaceId Workspace;
  RequestKindId Kind;
  /// "whole", the type of a refusal, or "broken" when the answer was truncated
  /// or the connection failed.
  std::string Outcome;
  /// For refusals, whether the request was executed: "no" or "unknown".
  std::string ExecutionStatus;
  std::string Version;
  std::string IdempotencyKey;
  bool IsGood = false;
  Tokens PromptTokens;
  Tokens AnswerTokens;
  /// Time at which the request was due, since the start of the run.
  absl::Duration DueAt;
  absl::Duration FirstToken;
  absl::Duration TotalTime;
  absl::Duration MaxGap;
  absl::Duration MeanGap;
};

class Driver {
public:
  explicit Driver(Workload Load);

  /// Sends all requests and waits for all answers. A non-null \p DirectEngine
  /// is the engine to send to, with \p Model, instead of the entry hosts.
  std::vector<Sample> run(const Endpoint *DirectEngine,
                          const std::string &Model);

private:
  void runWorker(const std::vector<Arrival> &Arrivals, absl::Time Start);
  Sample send(const Arrival &Planned, absl::Time Due);
  void sendChat(const Arrival &Planned, const KindShare &Kind, absl::Time Due,
                Sample &Result);
  std::string sessionToken(const Arrival &Planned);
  void storeSessionToken(const Arrival &Planned, const HttpOutcome &Answer);
  void sendService(const Arrival &Planned, const KindShare &Kind,
                   Sample &Result);
  Endpoint address();
  void refreshAddresses();
  void dropAddress(const Endpoint &Address);
  std::string chatBody(const Arrival &Planned, const KindShare &Kind,
                       const std::string &Id) const;

  Workload Load;
  std::shared_ptr<HttpClientPool> Pool;
  const Endpoint *DirectEngine = nullptr;
  std::string Model;

  std::atomic<size_t> NextArrival{0};
  Mutex Lock;
  std::vector<Endpoint> Addresses;
  absl::Time AddressesExpireAt = absl::InfinitePast();
  size_t NextAddress = 0;
  std::map<std::string, std::string> SessionTokens;
  std::vector<Sample> Samples;
};

} // namespace berylramp::load

#endif // BERYLRAMP_SRC_TOOLS_LOAD_DRIVER_H
