//===- generation_plan.cpp - What is decided before work is sent ----------===//
//
// Options are versions that are eligible and that have a replica taking new
// work, so that a plan never names one that cannot run.
//
//===----------------------------------------------------------------------===//

#include "generation.h"

#include "absl/strings/str_cat.h"
#include <algorithm>
#include <limits>

namespace berylramp::internal {

namespace {

constexpr int DrawRange = 100;
constexpr size_t PrefixBytes = 256;
constexpr int64_t BytesPerToken = 4;
constexpr double DefaultTokensPerSecond = 40;
constexpr absl::Duration NoReplicaRetry = absl::Seconds(1);
constexpr absl::Duration LeastOverloadRetry = absl::Milliseconds(200);
constexpr double MaxSteps = 1e6;

int64_t promptBytes(const std::vector<ChatMessage> &Messages) {
  int64_t Sum = 0;
  for (const ChatMessage &Message : Messages)
    Sum += static_cast<int64_t>(Message.Content.size());
  return Sum;
}

/// Prompts that begin alike share a replica's cache. The first of several
/// messages is the part that callers of one kind have in common.
uint64_t prefixHashOf(const std::vector<ChatMessage> &Messages) {
  if (Messages.empty())
    return 0;
  const std::string &First = Messages.front().Content;
  return stableHash(Messages.size() > 1 ? First : First.substr(0, PrefixBytes));
}

} // namespace

std::string runOf(const Table &Rows, const VersionKey &Key) {
  auto Found = Rows.Rollouts.find(Key.Model);
  if (Found != Rows.Rollouts.end() && Found->second.Candidate == Key.Version)
    return Found->second.Run;
  return ServingRun;
}

Generation::Generation(RouterParts &Parts, ChatRequest Request)
    : Parts(Parts), Asked(std::move(Request)), Counted(Parts),
      Began(Parts.Context.Timer.now()) {
  this->PromptTokens =
      Tokens(1 + promptBytes(this->Asked.Messages) / BytesPerToken);
  this->PrefixHash = prefixHashOf(this->Asked.Messages);
  this->Draw = stableHash(this->Asked.Request.text());
  this->Story.Request = this->Asked.Request;
  this->Story.Workspace = this->Asked.Workspace;
  this->Story.StartedAt = Parts.Context.Timer.wallNow();
}

Generation::~Generation() = default;

Offset Generation::tableOffset() const {
  return this->Admitted.Table.State->Applied;
}

absl::Duration Generation::elapsed() const {
  return this->Parts.Context.Timer.now() - this->Began;
}

void Generation::note(const std::string &What, const std::string &Detail) {
  this->Story.add(this->elapsed(), What, Detail);
}

std::optional<Refusal> Generation::prepare() {
  Offset AtLeast = this->Asked.HasPin ? this->Asked.Pin.TableOffset : NoOffset;
  this->Admitted =
      admitRequest(this->Parts, this->Asked.Workspace, this->Asked.Kind,
                   this->Asked.MaxTokens, AtLeast);
  this->Story.TableOffset = this->tableOffset();
  if (this->Admitted.Refused)
    return this->Admitted.Refused;
  if (!this->Admitted.Kind.Service.empty())
    return notRun(RefusalKind::UnknownKind,
                  absl::StrCat("kind '", this->Asked.Kind.text(),
                               "' is answered by a plain service, at "
                               "/v1/services/"));
  this->note("admitted", freshnessName(this->Admitted.View));
  this->Room.emplace(this->Parts.Bills);
  if (!this->Room->got())
    return notRun(RefusalKind::BillBufferFull, "no room for another bill",
                  NoReplicaRetry);
  this->Granted = clampRequest(this->Admitted.Kind, this->Asked.MaxTokens,
                               this->Asked.Priority);
  Metrics &Counts = this->Parts.Context.Counts;
  if (this->Granted.LengthClamped)
    Counts.count(Counter::ClampedLength);
  if (this->Granted.PriorityClamped)
    Counts.count(Counter::ClampedPriority);
  Instant DecisionBegan = this->Parts.Context.Timer.now();
  std::optional<Refusal> Refused =
      this->Asked.HasPin ? this->checkPin()
                         : this->choosePlan(this->gatherOptions());
  Counts.observe(Latency::Decision,
                 this->Parts.Context.Timer.now() - DecisionBegan);
  bool IsClamped =
      !this->Asked.AskedModel.empty() && !Refused &&
      this->Asked.AskedModel != this->Chosen.InitialVersion.Model.text();
  if (IsClamped)
    Counts.count(Counter::ClampedModel);
  return Refused;
}

EligibilityInput Generation::eligibility() const {
  const Table &Rows = *this->Parts.Config.view().State->Compiled;
  EligibilityInput Out;
  Out.Workspace = this->Asked.Workspace;
  Out.IsDetached = this->Admitted.View == Freshness::Detached;
  Out.RolloutDraw = static_cast<int>(this->Draw % DrawRange);
  std::shared_ptr<const FleetSummary> Summary = this->Parts.Fleet.summary();
  for (const VersionTrip &Trip : Summary->Trips) {
    // A trip counts for the run it was seen in, not for a later roll-out.
    if (Trip.Run == runOf(Rows, Trip.Version))
      Out.Tripped.push_back(Trip.Version);
  }
  int Room = maxUnratedPerHost(MaxUnratedFleetWide, Summary->LiveHosts);
  for (const auto &[Model, Rollout] : Rows.Rollouts) {
    VersionKey Key{Model, Rollout.Candidate};
    if (this->Parts.Ratings.unrated(Key) >= Room)
      Out.FullCandidates.push_back(Key);
  }
  return Out;
}

PlanOption Generation::makeOption(const VersionRow &Row,
                                  const ReplicaList &Replicas) {
  Instant Now = this->Parts.Context.Timer.now();
  PlanOption Out;
  Out.Row = &Row;
  Out.Wait = shortestWait(viewsOf(Replicas, Now));
  double Rate = DefaultTokensPerSecond;
  Out.ExpectedTime =
      Out.Wait +
      absl::Seconds(static_cast<double>(this->Granted.MaxTokens.count()) /
                    Rate);
  RatingTally Tally =
      ratingsOf(*this->Parts.Fleet.summary(), this->Admitted.Kind.Id, Row.Key);
  Out.Quality = QualityEstimate{static_cast<double>(Tally.Good),
                                static_cast<double>(Tally.Rated)};
  return Out;
}

std::vector<PlanOption> Generation::gatherOptions() {
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  std::shared_ptr<const ReplicaIndex> Index = this->Parts.Board.index();
  std::vector<PlanOption> Out;
  std::string Left;
  for (const VersionEligibility &Choice :
       evaluateVersions(Rows, this->eligibility())) {
    if (Choice.Reason != IneligibilityReason::None) {
      absl::StrAppend(&Left, Left.empty() ? "" : ", ", Choice.Row->Key.text(),
                      " ", ineligibilityReasonName(Choice.Reason));
      continue;
    }
    auto Found = Index->ByVersion.find(Choice.Row->Key);
    PlanOption Option;
    if (Found != Index->ByVersion.end())
      Option = this->makeOption(*Choice.Row, Found->second);
    bool CanRun = Found != Index->ByVersion.end() &&
                  Option.Wait < absl::InfiniteDuration();
    if (CanRun)
      Out.push_back(Option);
    else
      absl::StrAppend(&Left, Left.empty() ? "" : ", ", Choice.Row->Key.text(),
                      " no_replica");
  }
  if (!Left.empty())
    this->note("left out", Left);
  return Out;
}

std::optional<Refusal> Generation::choosePlan(std::vector<PlanOption> Options) {
  if (Options.empty()) {
    bool IsAllowed = false;
    const Table &Rows = *this->Admitted.Table.State->Compiled;
    for (const VersionEligibility &Choice :
         evaluateVersions(Rows, this->eligibility()))
      IsAllowed |= Choice.Reason == IneligibilityReason::None;
    if (IsAllowed)
      return notRun(RefusalKind::NoReplica,
                    "no replica of an allowed version takes new work",
                    NoReplicaRetry);
    return notRun(RefusalKind::NoVersionAllowed,
                  "the table allows this workspace no serving version");
  }
  // A request that could not be whole in time is told so at once.
  absl::Duration Soonest = absl::InfiniteDuration();
  for (const PlanOption &Option : Options)
    Soonest = std::min(Soonest, Option.Wait);
  if (Soonest > this->Admitted.Kind.Deadline)
    return notRun(
        RefusalKind::Overloaded,
        "every allowed replica is busy for longer than the deadline",
        std::max(LeastOverloadRetry, Soonest - this->Admitted.Kind.Deadline));
  PlanInput Input;
  Input.Kind = this->Admitted.Kind;
  Input.Options = std::move(Options);
  Input.PromptTokens = this->PromptTokens;
  Input.AnswerTokens = this->Granted.MaxTokens;
  // A streamed answer shows its first token before it could be rated, and a
  // session is pinned to one version, which has to meet the share alone.
  bool MayCascade = !this->Asked.Streamed && !this->Asked.WantsSession;
  Input.RaterAvailable = MayCascade && this->Parts.Ratings.raterAnswers();
  Input.RatingTime = this->Parts.Ratings.ratingTime();
  Input.RequestDraw = this->Draw;
  Input.AllowMixture = !this->Asked.WantsSession;
  this->Chosen = makePlan(this->Parts.Context.Settings.Plans, Input);
  this->note("plan",
             absl::StrCat(this->Chosen.InitialVersion.text(),
                          this->Chosen.IsCascade
                              ? " then " + this->Chosen.EscalationVersion.text()
                              : "",
                          " (", this->Chosen.Reason, ")"));
  return std::nullopt;
}

std::optional<Refusal> Generation::checkPin() {
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  if (this->Asked.Pin.Workspace != this->Asked.Workspace)
    return notRun(RefusalKind::BadSession,
                  "the session belongs to another workspace");
  VersionKey Key = this->Asked.Pin.Version;
  IneligibilityReason Why =
      evaluatePinnedVersion(Rows, this->eligibility(), Key);
  if (Why == IneligibilityReason::Withdrawn) {
    VersionKey Next = followReplacement(Rows, Key);
    this->note("session moves",
               absl::StrCat(Key.text(), " was withdrawn, to ", Next.text()));
    Key = Next;
    Why = evaluatePinnedVersion(Rows, this->eligibility(), Key);
  }
  if (Why != IneligibilityReason::None)
    return notRun(RefusalKind::NoVersionAllowed,
                  absl::StrCat("the session's version is ",
                               ineligibilityReasonName(Why)));
  this->Chosen = Plan{};
  this->Chosen.Found = true;
  this->Chosen.InitialVersion = Key;
  this->Chosen.Reason = "session";
  this->note("plan", Key.text() + " (session)");
  return std::nullopt;
}

} // namespace berylramp::internal
