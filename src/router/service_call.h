//===- service_call.h - Execution of a plain service request ----*- C++ -*-===//
//
// Idempotent requests are retried within the retry budget. Non-idempotent
// requests are claimed on the log first and reach the service at most once.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_SERVICE_CALL_H
#define BERYLRAMP_SRC_ROUTER_SERVICE_CALL_H

#include "parts.h"
#include <string>

namespace berylramp::internal {

/// A service request whose syntax has been validated.
struct ServiceRequest {
  RequestId Id;
  WorkspaceId Workspace;
  RequestKindId Kind;
  ServiceId Service;
  std::string Method;
  std::string Path;
  std::string Body;
  std::string IdempotencyKey;
  /// Issue time of the key in Unix milliseconds; negative when unknown.
  int64_t IssuedMillis = -1;
};

struct ServiceAnswer {
  std::optional<Refusal> Refused;
  int Status = 0;
  std::string Body;
  /// True when the answer is the stored one of an earlier attempt.
  bool IsReplay = false;
};

/// Executes one service request. Not thread-safe.
class ServiceRequestHandler {
public:
  ServiceRequestHandler(RouterParts &Parts, ServiceRequest Request);
  ServiceAnswer run();

private:
  ServiceAnswer admitAndRun();
  std::optional<Refusal> checkIdempotencyKey() const;
  ServiceAnswer runIdempotent();
  ServiceAnswer runNonIdempotent();
  ServiceAnswer dispatchClaimed(const Claim &OwnClaim);
  ServiceAnswer answerFromOwner(const ClaimEvaluation &Evaluation);
  enum class CacheLookup {
    Found,
    /// The owner replied that it has no answer.
    NotCached,
    /// The owner has no known address or did not reply.
    NoReply
  };
  CacheLookup fetchCachedAnswer(const ClaimEntry &Owner, CachedAnswer &Answer);
  /// True when the incarnation that holds the claim can no longer answer.
  bool hasOwnerEnded(const Claim &OwnersClaim) const;
  ServiceResult callReplica(Replica &Target);
  int pickReplica(const ReplicaList &Replicas,
                  const std::vector<uint64_t> &Avoid) const;
  ReplicaList replicas() const;
  bool commitBill(const RequestId &Key);
  ServiceAnswer complete(const ServiceResult &Result, const RequestId &BillKey);
  Claim makeClaim() const;
  absl::Duration elapsed() const;
  void recordStep(const std::string &Step, const std::string &Detail = "");

  RouterParts &Parts;
  ServiceRequest Request;
  ActiveRequestCount ActiveCount;
  Instant StartTime;
  Admission Admitted;
  Trace Timeline;
};

/// Handles the peer method by which another host fetches a cached answer.
absl::StatusOr<Json::Value> onCachedAnswer(RouterParts &Parts,
                                           const Json::Value &Params);

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_SERVICE_CALL_H
