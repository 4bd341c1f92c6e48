//===- relay.h - One caller's request on its way ----------------*- C++ -*-===//
//
// A relay admits a request, sends it to one replica after another as far as
// that is allowed, and passes on the answer.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_RELAY_H
#define BERYLRAMP_EXCHANGE_RELAY_H

#include "attempt.h"
#include "core.h"
#include "forwarding.h"
#include "run_ledger.h"

namespace berylramp {

/// When a refused caller should come back: after the time in which a busy
/// engine ends a request, a restarted host reads its table or a lost replica is
/// replaced, or at once at another host.
inline constexpr absl::Duration BackWhenBusy = absl::Milliseconds(700);
inline constexpr absl::Duration BackWhenStarting = absl::Milliseconds(500);
inline constexpr absl::Duration BackElsewhere = absl::Milliseconds(50);

class Relay : public AttemptOwner, public std::enable_shared_from_this<Relay> {
public:
  Relay(std::shared_ptr<void> Keep, RelayCore &Core, HttpRequest Request,
        ResponderPtr Answer);

  void start();
  /// Ends the request without a whole answer.
  void abort(const char *Why);

  void headArrived(Attempt &From, const HttpHead &Head) override;
  void bodyArrived(Attempt &From, const std::string &Part) override;
  void ended(Attempt &From) override;
  void failed(Attempt &From, RetryReason Reason, Outcome How,
              bool Sent) override;

private:
  /// Finds route and workspace; false when the request was answered.
  bool admit();
  void describe();
  void next();
  void send(const Choice &Chosen, const ChoiceQuery &Query);
  PrefillRateEstimator &pace();
  ChoiceQuery query() const;
  ModelId modelOfAttempt() const;
  bool maySecond() const;

  void rejected(Attempt &From, Outcome How);

  void passEvents(Attempt &From, const std::string &Part);
  void passWhole(Attempt &From);
  bool tooUnsure(const HttpHead &Head);
  bool largerIsLate();
  void giveUp(RefusalKind Kind, const std::string &Detail);
  void refuse(RefusalKind Kind, const std::string &Detail,
              absl::Duration RetryAfter);
  void expired();
  void callerGone();
  void finish(const char *Result, int Status, const std::string &Why);
  void dropAttempt(Outcome How);
  void armDeadline();
  void judge(const Attempt &Of, bool Good);
  Instant now() const { return this->Core.Timer.now(); }

  std::shared_ptr<void> Keep;
  RelayCore &Core;
  HttpRequest Request;
  ResponderPtr Answer;
  RouteTablePtr Table;
  const Route *Which = nullptr;
  WorkspaceInfo Workspace;
  ServiceId Service;
  VersionRule Rule;
  std::string RequestId;
  PromptFacts Prompt;
  CascadeQuery Models;
  size_t ModelIndex = 0;
  bool ChoosesModel = false;
  RunLedger Ledger{Repeat::AtMostOnce};
  Instant DeadlineAt;
  Alarm Deadline;
  std::shared_ptr<Attempt> Current;
  std::vector<UpstreamId> Tried;
  std::string LastReplica;
  /// What was expected of it and is compared with what came.
  absl::Duration LastExpected;
  ReportedLoad LastLoad;
  int AttemptsSent = 0;
  int Tries = 0;
  EventOrder Order;
  bool StreamBegun = false;
  Instant LastEventAt;
  absl::Duration FirstEventAfter;
  absl::Duration LongestPause;
  bool BudgetTaken = false;
  bool Done = false;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_RELAY_H
