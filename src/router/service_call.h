//===- service_call.h - The path of a plain service's call ------*- C++ -*-===//
//
// Calls that may be repeated are retried inside the budget. Orders, which may
// not, are claimed on the log first and dispatched once.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_SERVICE_CALL_H
#define BERYLRAMP_SRC_ROUTER_SERVICE_CALL_H

#include "parts.h"
#include <string>

namespace berylramp::internal {

/// A caller's call after its form was checked.
struct ServiceRequest {
  RequestId Request;
  WorkspaceId Workspace;
  RequestKindId Kind;
  ServiceId Service;
  std::string Method;
  std::string Path;
  std::string Body;
  std::string IdempotencyKey;
  /// When the key was issued, in Unix milliseconds; negative when unknown.
  int64_t IssuedMillis = -1;
};

struct ServiceAnswer {
  std::optional<Refusal> Refused;
  int Status = 0;
  std::string Body;
  /// True when the answer is that of an earlier attempt.
  bool IsReplay = false;
};

/// One call on its way. Used by one thread.
class ServicePath {
public:
  ServicePath(RouterParts &Parts, ServiceRequest Request);
  ServiceAnswer run();

private:
  ServiceAnswer checked();
  std::optional<Refusal> checkOrder() const;
  ServiceAnswer runRepeatable();
  ServiceAnswer runOrder();
  ServiceAnswer dispatchOrder(const Claim &Which);
  ServiceAnswer answerFromOwner(const ClaimEvaluation &Judged);
  bool fetchKept(const ClaimEntry &Owner, KeptAnswer &Out);
  ServiceResult callOnce(Replica &Where);
  int pickReplica(const ReplicaList &Replicas,
                  const std::vector<uint64_t> &Avoid) const;
  ReplicaList replicas() const;
  bool secureBill(const RequestId &Key);
  ServiceAnswer complete(const ServiceResult &Result, const RequestId &BillKey);
  Claim makeClaim() const;
  absl::Duration elapsed() const;
  void note(const std::string &What, const std::string &Detail = "");

  RouterParts &Parts;
  ServiceRequest Asked;
  UnderWay Counted;
  Instant Began;
  Admission Admitted;
  Trace Story;
};

/// The peer method by which another host fetches a kept answer.
absl::StatusOr<Json::Value> onKeptAnswer(RouterParts &Parts,
                                         const Json::Value &Params);

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_SERVICE_CALL_H
