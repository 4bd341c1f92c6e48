//===- driver.h - Sends a workload and notes what came back -----*- C++ -*-===//
//
// Behaves as a good caller: it asks for addresses, keeps them for their time
// to live, goes to another one when one does not answer, and keeps sessions'
// tokens.
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

/// What became of one request.
struct Sample {
  int64_t Number = 0;
  RequestId Request;
  WorkspaceId Workspace;
  RequestKindId Kind;
  /// "whole", a refusal's type, or "broken" when the answer had no end.
  std::string Outcome;
  /// For refusals: "no" or "unknown".
  std::string DidRun;
  std::string Version;
  std::string IdempotencyKey;
  bool IsGood = false;
  Tokens In;
  Tokens Out;
  /// Since the start of the run, when the request was due.
  absl::Duration DueAt;
  absl::Duration FirstToken;
  absl::Duration Whole;
  absl::Duration LongestGap;
  absl::Duration MeanGap;
};

class Driver {
public:
  explicit Driver(Workload Given);

  /// Sends everything and waits for all answers. \p Direct, when set, is an
  /// engine that is asked in place of the entry hosts.
  std::vector<Sample> run(const Endpoint *Direct, const std::string &Model);

private:
  void work(const std::vector<Arrival> &All, absl::Time Start);
  Sample send(const Arrival &Which, absl::Time Due);
  void sendChat(const Arrival &Which, const KindShare &Kind, absl::Time Due,
                Sample &Out);
  std::string sessionToken(const Arrival &Which);
  void keepSessionToken(const Arrival &Which, const HttpOutcome &Answer);
  void sendService(const Arrival &Which, const KindShare &Kind, Sample &Out);
  Endpoint address();
  void refreshAddresses();
  void dropAddress(const Endpoint &Which);
  std::string chatBody(const Arrival &Which, const KindShare &Kind,
                       const std::string &Id) const;

  Workload Given;
  std::shared_ptr<HttpClientPool> Pool;
  const Endpoint *Direct = nullptr;
  std::string Model;

  std::atomic<size_t> Next{0};
  Mutex Lock;
  std::vector<Endpoint> Addresses;
  absl::Time AddressesUntil = absl::InfinitePast();
  size_t Turn = 0;
  std::map<std::string, std::string> SessionTokens;
  std::vector<Sample> Samples;
};

} // namespace berylramp::load

#endif // BERYLRAMP_SRC_TOOLS_LOAD_DRIVER_H
