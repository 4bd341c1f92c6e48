//===- generation_run.cpp - Attempts, ratings and the bill ----------------===//
//
// An attempt that is cut after text has reached the caller is resumed on the
// same version after the tokens already delivered. An attempt that is cut
// earlier is retried from the start.
//
//===----------------------------------------------------------------------===//

#include "generation.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr absl::Duration BillTimeout = absl::Seconds(5);
constexpr absl::Duration FailureRetryDelay = absl::Milliseconds(500);
constexpr absl::Duration MaxInlineRatingWait = absl::Seconds(2);
/// Once a serving version has MinRatingsForSampling ratings, one in this many
/// of its answers is rated.
constexpr uint64_t RatingSampleInterval = 4;
constexpr int64_t MinRatingsForSampling = 100;

const char *faultName(UpstreamFault Fault) {
  switch (Fault) {
  case UpstreamFault::None:
    return "whole";
  case UpstreamFault::ConnectFailed:
    return "connect failed";
  case UpstreamFault::Refused:
    return "refused";
  case UpstreamFault::Interrupted:
    return "cut";
  case UpstreamFault::Misdirected:
    return "answer does not belong to this attempt";
  case UpstreamFault::TimedOut:
    return "late";
  case UpstreamFault::CallerDisconnected:
    return "caller disconnected";
  }
  return "unknown";
}

} // namespace

std::optional<Refusal> Generation::checkDispatch(const VersionKey &Key,
                                                 bool WasSent) {
  ExecutionStatus Execution =
      WasSent ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted;
  // Reads the current table and freshness again, because a host that was paused
  // must not dispatch on an outdated table.
  if (!mayDispatch(this->Parts))
    return Refusal{RefusalKind::StaleView, Execution,
                   "this host's table has not been confirmed recently enough",
                   FailureRetryDelay};
  const Table &Rows = *this->Parts.Config.view().State->Compiled;
  this->Admitted.TableFreshness = this->Parts.Fleet.freshness();
  IneligibilityReason Reason =
      evaluatePinnedVersion(Rows, this->eligibility(), Key);
  if (Reason == IneligibilityReason::None)
    return std::nullopt;
  return Refusal{RefusalKind::NoVersionAllowed, Execution,
                 absl::StrCat(Key.text(), " is no longer eligible: ",
                              ineligibilityReasonName(Reason)),
                 FailureRetryDelay};
}

int Generation::pickReplica(const ReplicaList &Replicas,
                            const std::vector<uint64_t> &Avoid) const {
  ReplicaInput Input;
  Input.Policy = this->Parts.Context.Settings.ReplicaSelection;
  Input.PrefixHash = this->PrefixHash;
  Input.Draw = randomUint64();
  Input.AvoidedIds = Avoid;
  return chooseReplica(viewsOf(Replicas, this->Parts.Context.Timer.now()),
                       Input);
}

GenerateResult Generation::attempt(Replica &Target, const VersionKey &Key,
                                   Tokens ResumeFrom, const TextSink &OnText) {
  GenerateCall Call;
  Call.Address = Target.Address;
  Call.Attempt = AttemptId(
      makeUuidV7(absl::ToUnixMillis(this->Parts.Context.Timer.wallNow())));
  Call.Version = Key;
  Call.Messages = this->Request.Messages;
  Call.MaxTokens = this->Granted.MaxTokens;
  Call.Priority = this->Granted.Priority;
  Call.ResumeFrom = ResumeFrom;
  Call.Timeout = std::max(absl::Milliseconds(1),
                          this->Admitted.Kind.Deadline - this->elapsed());
  Target.beginCall();
  GenerateResult Result =
      this->Parts.Context.Ports.Upstreams.Generate(Call, OnText);
  bool Failed = Result.Fault != UpstreamFault::None &&
                Result.Fault != UpstreamFault::CallerDisconnected;
  if (Result.Fault == UpstreamFault::Refused)
    Target.markLeaving();
  if (Target.endCall(Failed, this->Parts.Context.Timer.now()))
    this->Parts.Context.Counts.count(Counter::ReplicaEjections);
  if (Target.UsesPaidLink)
    this->Parts.Context.Counts.count(
        Counter::PaidLinkBytes,
        static_cast<int64_t>(Result.CompletionTokens.count() +
                             Result.PromptTokens.count()) *
            4);
  this->recordStep("attempt",
                   absl::StrCat(Key.text(), " on ", Target.Id.text(), ": ",
                                faultName(Result.Fault), " ", Result.Detail));
  return Result;
}

Refusal Generation::makeFailure(const GenerateResult &Last, bool MaybeSent,
                                Tokens Delivered) {
  Refusal Failure;
  Failure.Execution =
      MaybeSent ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted;
  Failure.RetryAfter = FailureRetryDelay;
  Failure.Detail =
      absl::StrCat("the last attempt failed: ", faultName(Last.Fault));
  if (this->elapsed() >= this->Admitted.Kind.Deadline)
    Failure.Kind = RefusalKind::DeadlinePassed;
  else if (Delivered.count() > 0)
    Failure.Kind = RefusalKind::AnswerCut;
  else
    Failure.Kind = RefusalKind::UpstreamFailed;
  return Failure;
}

bool Generation::isCandidate(const VersionKey &Key) const {
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  auto Found = Rows.Versions.find(Key);
  return Found != Rows.Versions.end() &&
         Found->second.State == VersionState::Candidate;
}

ChatAnswer Generation::runVersion(const VersionKey &Key,
                                  const TextSink &OnText) {
  // A candidate's answer counts as unrated before it is dispatched, so that
  // concurrent requests count towards the limit on unrated answers.
  bool IsUnratedCandidate = this->isCandidate(Key);
  if (IsUnratedCandidate)
    this->Parts.Ratings.reserveUnrated(Key);
  ChatAnswer Answer = this->runAttempts(Key, OnText);
  if (IsUnratedCandidate && Answer.Refused)
    this->Parts.Ratings.releaseUnrated(Key);
  return Answer;
}

ChatAnswer Generation::runAttempts(const VersionKey &Key,
                                   const TextSink &OnText) {
  ChatAnswer Answer;
  Answer.Version = Key;
  std::vector<uint64_t> Avoid;
  Tokens Delivered;
  bool MaybeSent = false;
  TextSink Deliver = [&](const std::string &Text) {
    if (!this->SawFirstToken)
      this->Parts.Context.Counts.observe(Latency::FirstToken, this->elapsed());
    this->SawFirstToken = true;
    Delivered += Tokens(1);
    Answer.Text += Text;
    return OnText(Text);
  };
  for (int Attempts = 1;; ++Attempts) {
    Answer.Refused = this->checkDispatch(Key, MaybeSent);
    if (Answer.Refused)
      return Answer;
    std::shared_ptr<const ReplicaIndex> Index = this->Parts.Replicas.index();
    auto Found = Index->ByVersion.find(Key);
    int SelectedIndex = Found == Index->ByVersion.end()
                            ? -1
                            : this->pickReplica(Found->second, Avoid);
    if (SelectedIndex < 0) {
      Answer.Refused = Refusal{
          Delivered.count() > 0 ? RefusalKind::AnswerCut
                                : RefusalKind::NoReplica,
          MaybeSent ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted,
          "no replica of " + Key.text() + " accepts new requests",
          FailureRetryDelay};
      return Answer;
    }
    Replica &Target = *Found->second[static_cast<size_t>(SelectedIndex)];
    GenerateResult Result = this->attempt(Target, Key, Delivered, Deliver);
    MaybeSent |= Result.Fault != UpstreamFault::ConnectFailed;
    Answer.PromptTokens = Result.PromptTokens;
    Answer.CompletionTokens = std::max(Result.CompletionTokens, Delivered);
    AttemptOutcome Outcome{Result.Fault, this->Admitted.Kind.Idempotent,
                           Delivered, Attempts,
                           this->Admitted.Kind.Deadline - this->elapsed()};
    AttemptAction Next = nextAttemptAction(Outcome);
    if (Next == AttemptAction::Finish)
      return Answer;
    bool MayRetry =
        Next != AttemptAction::Abandon && consumeRetryBudget(this->Parts);
    if (!MayRetry) {
      Answer.Refused = this->makeFailure(Result, MaybeSent, Delivered);
      return Answer;
    }
    this->Parts.Context.Counts.countRetry(
        retryReasonOf(Result.Fault, Delivered));
    Avoid.push_back(Target.IdHash);
  }
}

RatingManager::Job Generation::ratingJob(const ChatAnswer &Answer) const {
  RatingManager::Job Job;
  Job.Query.Request = this->Request.Id;
  Job.Query.Kind = this->Admitted.Kind.Id;
  Job.Query.Version = Answer.Version;
  if (!this->Request.Messages.empty())
    Job.Query.Prompt = this->Request.Messages.back().Content;
  Job.Query.Answer = Answer.Text;
  Job.MinGoodScore = this->Admitted.Kind.MinGoodScore;
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  Job.Run = ratingRunOf(Rows, Answer.Version);
  // A cheap version that serves as the first stage of a cascade is below the
  // agreed share by design. It counts as bad only when it falls below its own
  // expected share.
  Job.AgreedShare = this->Admitted.Kind.RequiredGoodShare;
  auto Found = Rows.Versions.find(Answer.Version);
  if (Found != Rows.Versions.end())
    Job.AgreedShare = std::min(Job.AgreedShare, Found->second.ExpectedShare);
  return Job;
}

ChatAnswer Generation::runCascade(const TextSink &OnText) {
  TextSink Collect = [](const std::string &) { return true; };
  ChatAnswer First = this->runVersion(this->ChosenPlan.InitialVersion, Collect);
  if (!First.Refused) {
    absl::Duration Remaining = this->Admitted.Kind.Deadline - this->elapsed();
    absl::StatusOr<Rating> RatingResult = this->Parts.Ratings.rateNow(
        this->ratingJob(First), std::min(MaxInlineRatingWait, Remaining));
    if (this->isCandidate(First.Version))
      this->Parts.Ratings.releaseUnrated(First.Version);
    // Without a rating the request escalates to the known-good version.
    bool IsGood = RatingResult.ok() &&
                  RatingResult->Score >= this->Admitted.Kind.MinGoodScore;
    this->recordStep("rating", RatingResult.ok()
                                   ? absl::StrCat(RatingResult->Score)
                                   : "no rating before the timeout");
    if (IsGood) {
      OnText(First.Text);
      return First;
    }
    const Table &Rows = *this->Admitted.Table.State->Compiled;
    this->UndeliveredCost +=
        answerCost(Rows.Versions.at(First.Version), First.PromptTokens,
                   First.CompletionTokens);
  }
  this->Parts.Context.Counts.count(Counter::Escalations);
  ChatAnswer Second =
      this->runVersion(this->ChosenPlan.EscalationVersion, Collect);
  if (!Second.Refused) {
    this->submitRating(Second);
    OnText(Second.Text);
    return Second;
  }
  // An unrated or poorly rated but complete answer is better than none.
  if (!First.Refused) {
    OnText(First.Text);
    return First;
  }
  return Second;
}

bool Generation::commitBill(ChatAnswer &Answer) {
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  auto Found = Rows.Versions.find(Answer.Version);
  if (Found != Rows.Versions.end())
    Answer.Cost =
        answerCost(Found->second, Answer.PromptTokens, Answer.CompletionTokens);
  Bill Record;
  Record.Workspace = this->Request.Workspace;
  Record.Request = this->Request.Id;
  Record.Kind = this->Admitted.Kind.Id;
  Record.Version = Answer.Version;
  Record.InputTokens = Answer.PromptTokens;
  Record.OutputTokens = Answer.CompletionTokens;
  Record.Cost = Answer.Cost + this->UndeliveredCost;
  Record.Origin = this->Parts.Context.Settings.Host;
  Record.CompletedAtMillis =
      absl::ToUnixMillis(this->Parts.Context.Timer.wallNow());
  return this->Parts.Bills.commit(Record, BillTimeout);
}

void Generation::submitRating(const ChatAnswer &Answer) {
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  auto Found = Rows.Versions.find(Answer.Version);
  if (Found == Rows.Versions.end())
    return;
  bool IsCandidate = this->isCandidate(Answer.Version);
  RatingTally FleetTally = ratingsOf(*this->Parts.Fleet.summary(),
                                     this->Admitted.Kind.Id, Answer.Version);
  bool IsSampled = this->Draw / 100 % RatingSampleInterval == 0;
  if (!IsCandidate && FleetTally.Rated >= MinRatingsForSampling && !IsSampled)
    return;
  this->Parts.Ratings.submit(this->ratingJob(Answer));
}

ChatAnswer Generation::run(const TextSink &OnText) {
  creditRetryBudget(this->Parts);
  ChatAnswer Answer =
      this->ChosenPlan.IsCascade
          ? this->runCascade(OnText)
          : this->runVersion(this->ChosenPlan.InitialVersion, OnText);
  if (Answer.Refused)
    return Answer;
  if (!this->ChosenPlan.IsCascade)
    this->submitRating(Answer);
  if (!this->commitBill(Answer)) {
    Answer.Refused = Refusal{RefusalKind::AnswerCut, ExecutionStatus::Unknown,
                             "the bill could not be stored durably in time; "
                             "the answer is incomplete",
                             FailureRetryDelay};
    return Answer;
  }
  this->recordStep("bill", absl::StrCat("cost ", Answer.Cost.count()));
  Metrics &Counts = this->Parts.Context.Counts;
  Counts.count(this->Request.IsStreamed ? Counter::AnswersStreamed
                                        : Counter::AnswersWhole);
  Counts.count(Counter::TokensIn, Answer.PromptTokens.count());
  Counts.count(Counter::TokensOut, Answer.CompletionTokens.count());
  Counts.observe(Latency::WholeRequest, this->elapsed());
  return Answer;
}

void Generation::finish(const ChatAnswer &Answer) {
  if (Answer.Refused) {
    this->Parts.Context.Counts.countRefusal(Answer.Refused->Kind);
    this->recordStep("refused", absl::StrCat(refusalName(Answer.Refused->Kind),
                                             ": ", Answer.Refused->Detail));
  }
  this->Parts.Traces.add(std::move(this->Timeline));
}

} // namespace berylramp::internal
