//===- generation_run.cpp - Attempts, ratings and the bill ----------------===//
//
// An attempt that was cut after text reached the caller is resumed on the same
// version from the tokens delivered; one that was cut before is tried again.
//
//===----------------------------------------------------------------------===//

#include "generation.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr absl::Duration BillWait = absl::Seconds(5);
constexpr absl::Duration RetryAfterFailure = absl::Milliseconds(500);
constexpr absl::Duration LongestRating = absl::Seconds(2);
/// Answers of a serving version are rated one in this many, once it is known.
constexpr uint64_t RateOneIn = 4;
constexpr int64_t KnownAfterRatings = 100;

const char *faultName(UpstreamFault Fault) {
  switch (Fault) {
  case UpstreamFault::None:
    return "whole";
  case UpstreamFault::ConnectFailed:
    return "connect failed";
  case UpstreamFault::Refused:
    return "refused";
  case UpstreamFault::Cut:
    return "cut";
  case UpstreamFault::Crossed:
    return "crossed answer";
  case UpstreamFault::Late:
    return "late";
  case UpstreamFault::CallerGone:
    return "caller gone";
  }
  return "unknown";
}

} // namespace

std::optional<Refusal> Generation::checkDispatch(const VersionKey &Key,
                                                 bool WasSent) {
  ExecutionStatus DidRun =
      WasSent ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted;
  // The view is read anew: a host that was paused must not act on the past.
  if (!mayDispatch(this->Parts))
    return Refusal{RefusalKind::StaleView, DidRun,
                   "this host's view became too old", RetryAfterFailure};
  const Table &Rows = *this->Parts.Config.view().State->Compiled;
  this->Admitted.View = this->Parts.Fleet.freshness();
  IneligibilityReason Why =
      evaluatePinnedVersion(Rows, this->eligibility(), Key);
  if (Why == IneligibilityReason::None)
    return std::nullopt;
  return Refusal{
      RefusalKind::NoVersionAllowed, DidRun,
      absl::StrCat(Key.text(), " became ", ineligibilityReasonName(Why)),
      RetryAfterFailure};
}

int Generation::pickReplica(const ReplicaList &Replicas,
                            const std::vector<uint64_t> &Avoid) const {
  ReplicaInput Input;
  Input.Policy = this->Parts.Context.Settings.Replicas;
  Input.PrefixHash = this->PrefixHash;
  Input.Draw = randomDraw();
  Input.AvoidedIds = Avoid;
  return chooseReplica(viewsOf(Replicas, this->Parts.Context.Timer.now()),
                       Input);
}

GenerateResult Generation::attempt(Replica &Where, const VersionKey &Key,
                                   Tokens ResumeFrom, const TextSink &OnText) {
  GenerateCall Call;
  Call.To = Where.Address;
  Call.Attempt = AttemptId(
      makeUuidV7(absl::ToUnixMillis(this->Parts.Context.Timer.wallNow())));
  Call.Version = Key;
  Call.Messages = this->Asked.Messages;
  Call.MaxTokens = this->Granted.MaxTokens;
  Call.Priority = this->Granted.Priority;
  Call.ResumeFrom = ResumeFrom;
  Call.Timeout = std::max(absl::Milliseconds(1),
                          this->Admitted.Kind.Deadline - this->elapsed());
  Where.beginCall();
  GenerateResult Result =
      this->Parts.Context.Ports.Upstreams.Generate(Call, OnText);
  bool Failed = Result.Fault != UpstreamFault::None &&
                Result.Fault != UpstreamFault::CallerGone;
  if (Result.Fault == UpstreamFault::Refused)
    Where.markLeaving();
  if (Where.endCall(Failed, this->Parts.Context.Timer.now()))
    this->Parts.Context.Counts.count(Counter::ReplicaEjections);
  if (Where.IsAcross)
    this->Parts.Context.Counts.count(
        Counter::BytesAcross,
        static_cast<int64_t>(Result.Out.count() + Result.In.count()) * 4);
  this->note("attempt",
             absl::StrCat(Key.text(), " on ", Where.Id.text(), ": ",
                          faultName(Result.Fault), " ", Result.Detail));
  return Result;
}

Refusal Generation::giveUp(const GenerateResult &Last, bool MaySent,
                           Tokens Delivered) {
  Refusal Out;
  Out.Execution =
      MaySent ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted;
  Out.RetryAfter = RetryAfterFailure;
  Out.Detail = absl::StrCat("the last attempt ended: ", faultName(Last.Fault));
  if (this->elapsed() >= this->Admitted.Kind.Deadline)
    Out.Kind = RefusalKind::DeadlinePassed;
  else if (Delivered.count() > 0)
    Out.Kind = RefusalKind::AnswerCut;
  else
    Out.Kind = RefusalKind::UpstreamFailed;
  return Out;
}

bool Generation::isCandidate(const VersionKey &Key) const {
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  auto Found = Rows.Versions.find(Key);
  return Found != Rows.Versions.end() &&
         Found->second.State == VersionState::Candidate;
}

ChatAnswer Generation::runVersion(const VersionKey &Key,
                                  const TextSink &OnText) {
  // An answer of a candidate counts as unrated from before it is sent.
  bool Counts = this->isCandidate(Key);
  if (Counts)
    this->Parts.Ratings.reserveUnrated(Key);
  ChatAnswer Answer = this->runAttempts(Key, OnText);
  if (Counts && Answer.Refused)
    this->Parts.Ratings.releaseUnrated(Key);
  return Answer;
}

ChatAnswer Generation::runAttempts(const VersionKey &Key,
                                   const TextSink &OnText) {
  ChatAnswer Answer;
  Answer.Version = Key;
  std::vector<uint64_t> Avoid;
  Tokens Delivered;
  bool MaySent = false;
  TextSink Deliver = [&](const std::string &Text) {
    if (!this->SawFirstToken)
      this->Parts.Context.Counts.observe(Latency::FirstToken, this->elapsed());
    this->SawFirstToken = true;
    Delivered += Tokens(1);
    Answer.Text += Text;
    return OnText(Text);
  };
  for (int Attempts = 1;; ++Attempts) {
    Answer.Refused = this->checkDispatch(Key, MaySent);
    if (Answer.Refused)
      return Answer;
    std::shared_ptr<const ReplicaIndex> Index = this->Parts.Board.index();
    auto Found = Index->ByVersion.find(Key);
    int Where = Found == Index->ByVersion.end()
                    ? -1
                    : this->pickReplica(Found->second, Avoid);
    if (Where < 0) {
      Answer.Refused = Refusal{
          Delivered.count() > 0 ? RefusalKind::AnswerCut
                                : RefusalKind::NoReplica,
          MaySent ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted,
          "no replica of " + Key.text() + " takes new work", RetryAfterFailure};
      return Answer;
    }
    Replica &Chosen = *Found->second[static_cast<size_t>(Where)];
    GenerateResult Result = this->attempt(Chosen, Key, Delivered, Deliver);
    MaySent |= Result.Fault != UpstreamFault::ConnectFailed;
    Answer.In = Result.In;
    Answer.Out = std::max(Result.Out, Delivered);
    AttemptOutcome Outcome{Result.Fault, this->Admitted.Kind.Idempotent,
                           Delivered, Attempts,
                           this->Admitted.Kind.Deadline - this->elapsed()};
    AttemptAction Next = nextAttemptAction(Outcome);
    if (Next == AttemptAction::Finish)
      return Answer;
    bool Again =
        Next != AttemptAction::Abandon && takeRetryFromBudget(this->Parts);
    if (!Again) {
      Answer.Refused = this->giveUp(Result, MaySent, Delivered);
      return Answer;
    }
    this->Parts.Context.Counts.countRetry(
        retryReasonOf(Result.Fault, Delivered));
    Avoid.push_back(Chosen.IdHash);
  }
}

RatingDesk::Job Generation::ratingJob(const ChatAnswer &Answer) const {
  RatingDesk::Job Job;
  Job.Query.Request = this->Asked.Request;
  Job.Query.Kind = this->Admitted.Kind.Id;
  Job.Query.Version = Answer.Version;
  if (!this->Asked.Messages.empty())
    Job.Query.Prompt = this->Asked.Messages.back().Content;
  Job.Query.Answer = Answer.Text;
  Job.Quality = this->Admitted.Kind.Quality;
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  Job.Run = runOf(Rows, Answer.Version);
  // A cheap version that serves as the first of a cascade is below the agreed
  // share by design; it turns bad when it falls below what it is expected.
  Job.AgreedShare = this->Admitted.Kind.Share;
  auto Found = Rows.Versions.find(Answer.Version);
  if (Found != Rows.Versions.end())
    Job.AgreedShare = std::min(Job.AgreedShare, Found->second.ExpectedShare);
  return Job;
}

ChatAnswer Generation::runCascade(const TextSink &OnText) {
  TextSink Collect = [](const std::string &) { return true; };
  ChatAnswer First = this->runVersion(this->Chosen.InitialVersion, Collect);
  if (!First.Refused) {
    absl::Duration Left = this->Admitted.Kind.Deadline - this->elapsed();
    absl::StatusOr<Rating> Rated = this->Parts.Ratings.rateNow(
        this->ratingJob(First), std::min(LongestRating, Left));
    if (this->isCandidate(First.Version))
      this->Parts.Ratings.releaseUnrated(First.Version);
    // Without a rating the known-good version decides.
    bool IsGood = Rated.ok() && Rated->Score >= this->Admitted.Kind.Quality;
    this->note("rating",
               Rated.ok() ? absl::StrCat(Rated->Score) : "none in time");
    if (IsGood) {
      OnText(First.Text);
      return First;
    }
    const Table &Rows = *this->Admitted.Table.State->Compiled;
    this->SunkCost +=
        answerCost(Rows.Versions.at(First.Version), First.In, First.Out);
  }
  this->Parts.Context.Counts.count(Counter::Escalations);
  ChatAnswer Second = this->runVersion(this->Chosen.EscalationVersion, Collect);
  if (!Second.Refused) {
    this->submitRating(Second);
    OnText(Second.Text);
    return Second;
  }
  // A doubtful whole answer is better than none.
  if (!First.Refused) {
    OnText(First.Text);
    return First;
  }
  return Second;
}

bool Generation::secureBill(ChatAnswer &Answer) {
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  auto Found = Rows.Versions.find(Answer.Version);
  if (Found != Rows.Versions.end())
    Answer.Cost = answerCost(Found->second, Answer.In, Answer.Out);
  Bill Which;
  Which.Workspace = this->Asked.Workspace;
  Which.Request = this->Asked.Request;
  Which.Kind = this->Admitted.Kind.Id;
  Which.Version = Answer.Version;
  Which.In = Answer.In;
  Which.Out = Answer.Out;
  Which.Cost = Answer.Cost + this->SunkCost;
  Which.Origin = this->Parts.Context.Settings.Host;
  Which.AtMillis = absl::ToUnixMillis(this->Parts.Context.Timer.wallNow());
  return this->Parts.Bills.secure(Which, BillWait);
}

void Generation::submitRating(const ChatAnswer &Answer) {
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  auto Found = Rows.Versions.find(Answer.Version);
  if (Found == Rows.Versions.end())
    return;
  bool IsCandidate = this->isCandidate(Answer.Version);
  RatingTally Known = ratingsOf(*this->Parts.Fleet.summary(),
                                this->Admitted.Kind.Id, Answer.Version);
  bool IsDrawn = this->Draw / 100 % RateOneIn == 0;
  if (!IsCandidate && Known.Rated >= KnownAfterRatings && !IsDrawn)
    return;
  this->Parts.Ratings.submit(this->ratingJob(Answer));
}

ChatAnswer Generation::run(const TextSink &OnText) {
  creditRetryBudget(this->Parts);
  ChatAnswer Answer =
      this->Chosen.IsCascade
          ? this->runCascade(OnText)
          : this->runVersion(this->Chosen.InitialVersion, OnText);
  if (Answer.Refused)
    return Answer;
  if (!this->Chosen.IsCascade)
    this->submitRating(Answer);
  if (!this->secureBill(Answer)) {
    Answer.Refused = Refusal{
        RefusalKind::AnswerCut, ExecutionStatus::Unknown,
        "the bill could not be made safe, so the answer is not complete",
        RetryAfterFailure};
    return Answer;
  }
  this->note("bill", absl::StrCat("cost ", Answer.Cost.count()));
  Metrics &Counts = this->Parts.Context.Counts;
  Counts.count(this->Asked.Streamed ? Counter::AnswersStreamed
                                    : Counter::AnswersWhole);
  Counts.count(Counter::TokensIn, Answer.In.count());
  Counts.count(Counter::TokensOut, Answer.Out.count());
  Counts.observe(Latency::WholeRequest, this->elapsed());
  return Answer;
}

void Generation::finish(const ChatAnswer &Answer) {
  if (Answer.Refused) {
    this->Parts.Context.Counts.countRefusal(Answer.Refused->Kind);
    this->note("refused", absl::StrCat(refusalName(Answer.Refused->Kind), ": ",
                                       Answer.Refused->Detail));
  }
  this->Parts.Traces.keep(std::move(this->Story));
}

} // namespace berylramp::internal
