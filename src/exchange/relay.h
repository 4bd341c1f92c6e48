//===- relay.h - Relays one request to replicas -----------------*- C++ -*-===//
//
// A relay admits a request, sends it to a replica, retries at other replicas as
// far as the route's repeat rule, the retry budget and the deadline allow, and
// forwards the answer to the caller.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_RELAY_H
#define BERYLRAMP_EXCHANGE_RELAY_H

#include "attempt.h"
#include "core.h"
#include "execution_tracker.h"
#include "forwarding.h"

namespace berylramp {

/// Retry-After values of refusals: the time in which a busy engine completes a
/// request; the time in which a restarted host reads its route table or a
/// failed replica is replaced; a minimal delay if another host can serve the
/// request.
inline constexpr absl::Duration RetryDelayWhenBusy = absl::Milliseconds(700);
inline constexpr absl::Duration RetryDelayWhenStarting =
    absl::Milliseconds(500);
/// The mean time in which slow readers end and replicas read requests.
inline constexpr absl::Duration RetryDelayWhenFull = absl::Seconds(1);
inline constexpr absl::Duration RetryDelayOtherHost = absl::Milliseconds(50);

/// A replica that ends under a prompt does so within this time after the first
/// event of the answer.
inline constexpr absl::Duration ProofTime = absl::Milliseconds(500);

class Relay : public AttemptOwner,
              public WaitingRequest,
              public std::enable_shared_from_this<Relay> {
public:
  Relay(std::shared_ptr<void> CoreOwner, RelayCore &Core, CallerRequest Request,
        ResponderPtr CallerResponder);

  void start();
  /// Where the request would go now, as the request of \p ForWorkspace if it
  /// is not empty. Called instead of start(); sends and counts nothing.
  Json::Value explain(const WorkspaceId &ForWorkspace);
  /// Ends the request without a complete answer.
  void abort(const char *Reason);

  /// Moves the request if it waits for a path that was lost. \p Hangs states
  /// that connections over the path are silent.
  void onPathLost(bool Hangs);

  void onDispatchRetry() override;
  void onAttemptConnected(Attempt &Source) override;
  void onAttemptHead(Attempt &Source, const HttpHead &Head) override;
  void onAttemptBody(Attempt &Source, const std::string &Chunk) override;
  void onAttemptEnd(Attempt &Source) override;
  void onAttemptFailed(Attempt &Source, RetryReason Reason, Outcome Result,
                       bool Sent) override;

private:
  /// Looks up route and workspace; returns false if the request was refused.
  bool admit();
  /// Refuses the request if this host holds too many bytes.
  bool admitBytes();
  /// Whose bytes the host holds for this request; 0 when unknown.
  uint64_t owner() const;
  void resolveRequest();
  void explainChoice(Json::Value &Result);
  void startNextAttempt();
  void sendAttempt(const Choice &Chosen, const ChoiceQuery &Query);
  /// Whether the first attempt may be sent now. Otherwise the request waits or
  /// was refused.
  bool mayDispatch(const Choice &Chosen, const ChoiceQuery &Query);
  DispatchQuery dispatchQuery(const Choice &Chosen, const ServiceRoom &Room,
                              DispatchController::Service &State) const;
  void waitForRoom(const DispatchQuery &Inquiry, DispatchController &Waiters);
  void stopWaiting();
  void logDispatch(const DispatchQuery &Inquiry,
                   const DispatchDecision &Decision,
                   const DispatchController::Service &State) const;
  /// Logs an attempt at \p Target if it names a limit.
  void logLimitedAttempt(const Replica &Target) const;
  EnginePace &pace();
  /// Compares the time to the first byte with what was expected.
  void learnPace(const Attempt &Source);
  ChoiceQuery choiceQuery() const;
  ModelId currentModel() const;
  /// 0 is the most urgent.
  int priority() const;
  bool mayRetry() const;
  /// Ends a request that no replica may serve now.
  void refuseWithoutReplica(const ChoiceQuery &Query);

  void onAttemptRejected(Attempt &Source, Outcome Result);
  /// Opens the connection of an attempt, or takes an idle one.
  void connectAttempt(Attempt &NewAttempt, bool MayReuse);
  /// Applies a failure of the connection to the paths that are known; returns
  /// what it says about the replica.
  Outcome notePathFailure(Attempt &Source, Outcome Result, bool Sent);

  void bufferAnswer(Attempt &Source, const std::string &Chunk);
  /// Starts to wait for the next event of a stream.
  void awaitEvent(Attempt &Source);
  void forwardEvents(Attempt &Source, const std::string &Chunk);
  void forwardAnswer(Attempt &Source);
  /// Applies what the replica states about itself in \p Head.
  void noteReplicaState(const Attempt &Source, const HttpHead &Head);
  /// Applies the limit that the replica names in \p Head, or that it names
  /// none.
  /// Counts a load report that could not be decoded, and logs it once for each
  /// replica.
  void noteUnusableLoad(const Replica &Target, const std::string &Text);
  void noteReplicaLimit(const Attempt &Source, const HttpHead &Head);
  bool shouldEscalate(const HttpHead &Head);
  bool largerModelIsLate();
  /// \p RetryAfter is used when the request was provably not executed; zero
  /// selects the delay of \p Kind.
  void failRequest(RefusalKind Kind, const std::string &Detail,
                   absl::Duration RetryAfter = absl::ZeroDuration());
  void refuse(RefusalKind Kind, const std::string &Detail,
              absl::Duration RetryAfter);
  void onDeadline();
  void onCallerLeft();
  void finish(const char *Result, int Status, const std::string &Reason);
  void endAttempt(Outcome Result);
  /// Gives up an answer that exceeds \p Limit bytes.
  void rejectOversized(Attempt &Source, const char *Part, size_t Limit);
  /// Refuses the request if its prompt is in quarantine; returns false then.
  bool checkQuarantine();
  /// Reports a replica that ended while it began this answer.
  void noteInputCrash(const Attempt &Source);
  void noteInputAnswered(Attempt &Source);
  void armDeadline();
  void observe(Attempt &Source, AnswerEvent Event);
  AnswerObservation observationOf(Attempt &Source, AnswerEvent Event);
  /// Observes an answer that did not come, or broke off, once the replica is
  /// known to be the cause.
  void observeMissing(Attempt &Source);
  /// Observes the pace of a stream once, when enough of it was received.
  void observeEvents(Attempt &Source, bool Ended);
  Instant now() const { return this->Core.Timer.now(); }

  std::shared_ptr<void> CoreOwner;
  RelayCore &Core;
  CallerRequest Request;
  ResponderPtr CallerResponder;
  RouteTablePtr Table;
  const Route *MatchedRoute = nullptr;
  WorkspaceInfo Workspace;
  ServiceId Service;
  /// The regions that the route and the workspace allow.
  AllowedRegions Regions;
  RegionRule RegionsOfReplicas;
  /// Same for all requests of a session, in [0, 1).
  double VersionDraw = 0;
  std::string RequestId;
  PromptInfo Prompt;
  RequestInput Input;
  /// Set when a repeat could end another replica.
  bool RepeatsForbidden = false;
  CascadeQuery Cascade;
  size_t ModelIndex = 0;
  bool ChoosesModel = false;
  ExecutionTracker Execution{Repeatability::AtMostOnce};
  Instant DeadlineAt;
  CancellableTimer DeadlineTimer;
  std::shared_ptr<Attempt> Current;
  std::vector<UpstreamId> TriedReplicas;
  std::vector<Endpoint> TriedPeers;
  /// A direct connection was not opened; the next one goes over another host.
  bool AvoidsDirectPath = false;
  std::string LastReplica;
  std::string LastVersion;
  /// Predicted wait and work of the last attempt, logged for comparison with
  /// the actual time.
  absl::Duration ExpectedTime;
  /// The choice of the last attempt that was sent, and the time to its head.
  Choice LastChoice;
  absl::Duration HeadDelay;
  ReportedLoad LastLoad;
  int AttemptsSent = 0;
  int AttemptsStarted = 0;
  EventSequence Sequence;
  bool StreamStarted = false;
  Instant LastEventAt;
  absl::Duration FirstEventDelay;
  absl::Duration MaxEventGap;
  bool RetryBudgetAcquired = false;
  /// Set while the request waits for room.
  WaiterId Waiting = 0;
  /// When the request was sent if it waited before.
  Instant DispatchedAt;
  bool Finished = false;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_RELAY_H
