//===- generation.h - The path of a generated answer ------------*- C++ -*-===//
//
// From a checked request to a whole answer: eligible versions, plan, replica,
// attempts, rating and bill.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_GENERATION_H
#define BERYLRAMP_SRC_ROUTER_GENERATION_H

#include "parts.h"
#include "session_token.h"
#include <string>
#include <vector>

namespace berylramp::internal {

/// A caller's request after its form was checked.
struct ChatRequest {
  RequestId Request;
  WorkspaceId Workspace;
  RequestKindId Kind;
  std::string AskedModel;
  std::vector<ChatMessage> Messages;
  Tokens MaxTokens;
  int Priority = 0;
  bool Streamed = false;
  bool WantsSession = false;
  bool HasPin = false;
  SessionPin Pin;
};

/// A finished answer, or why there is none.
struct ChatAnswer {
  std::optional<Refusal> Refused;
  VersionKey Version;
  std::string Text;
  Tokens In;
  Tokens Out;
  MicroCost Cost;
};

/// One request on its way. Used by one thread.
class Generation {
public:
  Generation(RouterParts &Parts, ChatRequest Request);
  ~Generation();

  /// Decides everything that can be decided before work is sent. On a refusal
  /// nothing was sent.
  std::optional<Refusal> prepare();
  /// The plan's first version: what a streamed answer will come from.
  const VersionKey &version() const { return this->Chosen.InitialVersion; }
  Offset tableOffset() const;

  /// Runs the plan. Text goes to \p OnText as it comes, or, for a cascade,
  /// once the answer is chosen. Returns after the bill is safe.
  ChatAnswer run(const TextSink &OnText);

  /// Keeps the trace; the last call on a generation.
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
  GenerateResult attempt(Replica &Where, const VersionKey &Key,
                         Tokens ResumeFrom, const TextSink &OnText);
  bool secureBill(ChatAnswer &Answer);
  void submitRating(const ChatAnswer &Answer);
  RatingDesk::Job ratingJob(const ChatAnswer &Answer) const;
  Refusal giveUp(const GenerateResult &Last, bool MaySent, Tokens Delivered);
  absl::Duration elapsed() const;
  void note(const std::string &What, const std::string &Detail = "");

  RouterParts &Parts;
  ChatRequest Asked;
  UnderWay Counted;
  std::optional<BillRoom> Room;
  Instant Began;
  Admission Admitted;
  ClampedRequest Granted;
  Plan Chosen;
  Tokens PromptTokens;
  uint64_t PrefixHash = 0;
  uint64_t Draw = 0;
  bool SawFirstToken = false;
  Trace Story;
  /// Costs of answers of this request that were not delivered.
  MicroCost SunkCost;
};

/// Where a version's candidates are counted: the roll-out's run.
std::string runOf(const Table &Rows, const VersionKey &Key);

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_GENERATION_H
