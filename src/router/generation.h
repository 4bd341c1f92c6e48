//===- generation.h - Execution of a chat request ---------------*- C++ -*-===//
//
// Takes a validated chat request through version selection, planning, replica
// selection, attempts, rating and billing.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_GENERATION_H
#define BERYLRAMP_SRC_ROUTER_GENERATION_H

#include "parts.h"
#include "session_token.h"
#include <string>
#include <vector>

namespace berylramp::internal {

/// A chat request whose syntax has been validated.
struct ChatRequest {
  RequestId Id;
  WorkspaceId Workspace;
  RequestKindId Kind;
  std::string RequestedModel;
  std::vector<ChatMessage> Messages;
  Tokens MaxTokens;
  int Priority = 0;
  bool IsStreamed = false;
  bool WantsSession = false;
  bool HasPin = false;
  SessionPin Pin;
};

/// A complete answer, or the refusal that replaces it.
struct ChatAnswer {
  std::optional<Refusal> Refused;
  VersionKey Version;
  std::string Text;
  Tokens PromptTokens;
  Tokens CompletionTokens;
  MicroCost Cost;
};

/// Executes one chat request. Not thread-safe.
class Generation {
public:
  Generation(RouterParts &Parts, ChatRequest Request);
  ~Generation();

  /// Admits the request and chooses its plan. Sends nothing to an upstream, so
  /// a refusal returned here means that the request was not executed.
  std::optional<Refusal> prepare();
  /// The first version of the plan. It is the only version of a streamed
  /// request, because a streamed request never uses a cascade.
  const VersionKey &version() const { return this->ChosenPlan.InitialVersion; }
  Offset tableOffset() const;

  /// Runs the plan. Passes text to \p OnText as it arrives or, for a cascade,
  /// after the final answer has been selected. Returns after the bill has been
  /// made durable.
  ChatAnswer run(const TextSink &OnText);

  /// Stores the trace. Must be the last call on this object.
  void finish(const ChatAnswer &Answer);

private:
  std::vector<PlanOption> gatherOptions();
  PlanOption makeOption(const VersionRow &Row, const ReplicaList &Replicas);
  std::optional<Refusal> choosePlan(std::vector<PlanOption> Options);
  std::optional<Refusal> checkPin();
  EligibilityInput eligibility() const;

  ChatAnswer runVersion(const VersionKey &Key, const TextSink &OnText);
  ChatAnswer runAttempts(const VersionKey &Key, const TextSink &OnText);
  bool isCandidate(const VersionKey &Key) const;
  ChatAnswer runCascade(const TextSink &OnText);
  std::optional<Refusal> checkDispatch(const VersionKey &Key, bool WasSent);
  int pickReplica(const ReplicaList &Replicas,
                  const std::vector<uint64_t> &Avoid) const;
  GenerateResult attempt(Replica &Target, const VersionKey &Key,
                         Tokens ResumeFrom, const TextSink &OnText);
  bool commitBill(ChatAnswer &Answer);
  void submitRating(const ChatAnswer &Answer);
  RatingManager::Job ratingJob(const ChatAnswer &Answer) const;
  Refusal makeFailure(const GenerateResult &Last, bool MaybeSent,
                      Tokens Delivered);
  absl::Duration elapsed() const;
  void recordStep(const std::string &Step, const std::string &Detail = "");

  RouterParts &Parts;
  ChatRequest Request;
  ActiveRequestCount ActiveCount;
  std::optional<BillReservation> Reservation;
  Instant StartTime;
  Admission Admitted;
  ClampedRequest Granted;
  Plan ChosenPlan;
  Tokens PromptTokens;
  uint64_t PrefixHash = 0;
  uint64_t Draw = 0;
  bool SawFirstToken = false;
  Trace Timeline;
  /// Cost of answers that were generated for this request but not delivered.
  MicroCost UndeliveredCost;
};

/// Returns the roll-out run under which ratings of a version are counted: the
/// run of its roll-out for a candidate, else the serving run.
std::string ratingRunOf(const Table &Rows, const VersionKey &Key);

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_GENERATION_H
