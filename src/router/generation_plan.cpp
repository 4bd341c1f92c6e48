//===- generation_plan.cpp - Admission and planning of a request ----------===//
//
// Only versions that are eligible and have a replica accepting new requests
// become plan options, so a plan never names a version that cannot run.
//
//===----------------------------------------------------------------------===//

#include "generation.h"

#include "absl/strings/str_cat.h"
#include <algorithm>
#include <limits>

namespace berylramp::internal {

namespace {

constexpr int DrawPercentRange = 100;
constexpr size_t PrefixBytes = 256;
constexpr int64_t BytesPerToken = 4;
constexpr double DefaultTokensPerSecond = 40;
constexpr absl::Duration NoReplicaRetryDelay = absl::Seconds(1);
constexpr absl::Duration MinOverloadRetryDelay = absl::Milliseconds(200);
constexpr double MaxSteps = 1e6;

int64_t promptBytes(const std::vector<ChatMessage> &Messages) {
  int64_t Sum = 0;
  for (const ChatMessage &Message : Messages)
    Sum += static_cast<int64_t>(Message.Content.size());
  return Sum;
}

/// Hashes the prompt's prefix, so that prompts with a common prefix go to the
/// same replica's cache. In a prompt of several messages the first message is
/// the part that requests of one kind share.
uint64_t prefixHashOf(const std::vector<ChatMessage> &Messages) {
  if (Messages.empty())
    return 0;
  const std::string &First = Messages.front().Content;
  return stableHash(Messages.size() > 1 ? First : First.substr(0, PrefixBytes));
}

} // namespace

std::string ratingRunOf(const Table &Rows, const VersionKey &Key) {
  auto Found = Rows.Rollouts.find(Key.Model);
  if (Found != Rows.Rollouts.end() && Found->second.Candidate == Key.Version)
    return Found->second.Run;
  return ServingRun;
}

Generation::Generation(RouterParts &Parts, ChatRequest Request)
    : Parts(Parts), Request(std::move(Request)), ActiveCount(Parts),
      StartTime(Parts.Context.Timer.now()) {
  this->PromptTokens =
      Tokens(1 + promptBytes(this->Request.Messages) / BytesPerToken);
  this->PrefixHash = prefixHashOf(this->Request.Messages);
  this->Draw = stableHash(this->Request.Id.text());
  this->Timeline.Request = this->Request.Id;
  this->Timeline.Workspace = this->Request.Workspace;
  this->Timeline.StartedAt = Parts.Context.Timer.wallNow();
}

Generation::~Generation() = default;

Offset Generation::tableOffset() const {
  return this->Admitted.Table.State->Applied;
}

absl::Duration Generation::elapsed() const {
  return this->Parts.Context.Timer.now() - this->StartTime;
}

void Generation::recordStep(const std::string &Step,
                            const std::string &Detail) {
  this->Timeline.add(this->elapsed(), Step, Detail);
}

std::optional<Refusal> Generation::prepare() {
  Offset AtLeast =
      this->Request.HasPin ? this->Request.Pin.TableOffset : NoOffset;
  this->Admitted =
      admitRequest(this->Parts, this->Request.Workspace, this->Request.Kind,
                   this->Request.MaxTokens, AtLeast);
  this->Timeline.TableOffset = this->tableOffset();
  if (this->Admitted.Refused)
    return this->Admitted.Refused;
  if (!this->Admitted.Kind.Service.empty())
    return makeNotRunRefusal(
        RefusalKind::UnknownKind,
        absl::StrCat("request kind '", this->Request.Kind.text(),
                     "' is served by a plain service; call it under "
                     "/v1/services/"));
  this->recordStep("admitted", freshnessName(this->Admitted.TableFreshness));
  this->Reservation.emplace(this->Parts.Bills);
  if (!this->Reservation->isReserved())
    return makeNotRunRefusal(RefusalKind::BillBufferFull,
                             "the bill buffer of this host is full",
                             NoReplicaRetryDelay);
  this->Granted = clampRequest(this->Admitted.Kind, this->Request.MaxTokens,
                               this->Request.Priority);
  Metrics &Counts = this->Parts.Context.Counts;
  if (this->Granted.LengthClamped)
    Counts.count(Counter::ClampedLength);
  if (this->Granted.PriorityClamped)
    Counts.count(Counter::ClampedPriority);
  Instant DecisionStart = this->Parts.Context.Timer.now();
  std::optional<Refusal> Refused =
      this->Request.HasPin ? this->checkPin()
                           : this->choosePlan(this->gatherOptions());
  Counts.observe(Latency::Decision,
                 this->Parts.Context.Timer.now() - DecisionStart);
  bool IsClamped = !this->Request.RequestedModel.empty() && !Refused &&
                   this->Request.RequestedModel !=
                       this->ChosenPlan.InitialVersion.Model.text();
  if (IsClamped)
    Counts.count(Counter::ClampedModel);
  return Refused;
}

EligibilityInput Generation::eligibility() const {
  const Table &Rows = *this->Parts.Config.view().State->Compiled;
  EligibilityInput Input;
  Input.Workspace = this->Request.Workspace;
  Input.IsDetached = this->Admitted.TableFreshness == Freshness::Detached;
  Input.RolloutDraw = static_cast<int>(this->Draw % DrawPercentRange);
  std::shared_ptr<const FleetSummary> Summary = this->Parts.Fleet.summary();
  for (const VersionTrip &Trip : Summary->Trips) {
    // A trip applies only to the run in which it was detected. It must not
    // block a later roll-out of the same version.
    if (Trip.Run == ratingRunOf(Rows, Trip.Version))
      Input.Tripped.push_back(Trip.Version);
  }
  int MaxUnrated = maxUnratedPerHost(MaxUnratedFleetWide, Summary->LiveHosts);
  for (const auto &[Model, Rollout] : Rows.Rollouts) {
    VersionKey Key{Model, Rollout.Candidate};
    if (this->Parts.Ratings.unratedCount(Key) >= MaxUnrated)
      Input.FullCandidates.push_back(Key);
  }
  return Input;
}

PlanOption Generation::makeOption(const VersionRow &Row,
                                  const ReplicaList &Replicas) {
  Instant Now = this->Parts.Context.Timer.now();
  PlanOption Option;
  Option.Row = &Row;
  Option.Wait = shortestWait(viewsOf(Replicas, Now));
  double Rate = DefaultTokensPerSecond;
  Option.ExpectedTime =
      Option.Wait +
      absl::Seconds(static_cast<double>(this->Granted.MaxTokens.count()) /
                    Rate);
  RatingTally Tally =
      ratingsOf(*this->Parts.Fleet.summary(), this->Admitted.Kind.Id, Row.Key);
  Option.Quality = QualityEstimate{static_cast<double>(Tally.Good),
                                   static_cast<double>(Tally.Rated)};
  return Option;
}

std::vector<PlanOption> Generation::gatherOptions() {
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  std::shared_ptr<const ReplicaIndex> Index = this->Parts.Replicas.index();
  std::vector<PlanOption> Options;
  std::string Excluded;
  for (const VersionEligibility &Choice :
       evaluateVersions(Rows, this->eligibility())) {
    if (Choice.Reason != IneligibilityReason::None) {
      absl::StrAppend(&Excluded, Excluded.empty() ? "" : ", ",
                      Choice.Row->Key.text(), " ",
                      ineligibilityReasonName(Choice.Reason));
      continue;
    }
    auto Found = Index->ByVersion.find(Choice.Row->Key);
    PlanOption Option;
    if (Found != Index->ByVersion.end())
      Option = this->makeOption(*Choice.Row, Found->second);
    bool CanRun = Found != Index->ByVersion.end() &&
                  Option.Wait < absl::InfiniteDuration();
    if (CanRun)
      Options.push_back(Option);
    else
      absl::StrAppend(&Excluded, Excluded.empty() ? "" : ", ",
                      Choice.Row->Key.text(), " no_replica");
  }
  if (!Excluded.empty())
    this->recordStep("left out", Excluded);
  return Options;
}

std::optional<Refusal> Generation::choosePlan(std::vector<PlanOption> Options) {
  if (Options.empty()) {
    bool IsAllowed = false;
    const Table &Rows = *this->Admitted.Table.State->Compiled;
    for (const VersionEligibility &Choice :
         evaluateVersions(Rows, this->eligibility()))
      IsAllowed |= Choice.Reason == IneligibilityReason::None;
    if (IsAllowed)
      return makeNotRunRefusal(
          RefusalKind::NoReplica,
          "no replica of an allowed version accepts new requests",
          NoReplicaRetryDelay);
    return makeNotRunRefusal(
        RefusalKind::NoVersionAllowed,
        "the table allows no serving version for this workspace");
  }
  // Refuses at once when no answer could be completed before the deadline.
  absl::Duration ShortestWait = absl::InfiniteDuration();
  for (const PlanOption &Option : Options)
    ShortestWait = std::min(ShortestWait, Option.Wait);
  if (ShortestWait > this->Admitted.Kind.Deadline)
    return makeNotRunRefusal(
        RefusalKind::Overloaded,
        "the expected wait at every allowed replica exceeds the deadline",
        std::max(MinOverloadRetryDelay,
                 ShortestWait - this->Admitted.Kind.Deadline));
  PlanInput Input;
  Input.Kind = this->Admitted.Kind;
  Input.Options = std::move(Options);
  Input.PromptTokens = this->PromptTokens;
  Input.AnswerTokens = this->Granted.MaxTokens;
  // A cascade rates the whole answer before it delivers it, which a streamed
  // answer cannot wait for. A session is pinned to one version, which must meet
  // the agreed share on its own.
  bool MayCascade = !this->Request.IsStreamed && !this->Request.WantsSession;
  Input.RaterAvailable = MayCascade && this->Parts.Ratings.isRaterResponsive();
  Input.RatingTime = this->Parts.Ratings.averageRatingTime();
  Input.RequestDraw = this->Draw;
  Input.AllowMixture = !this->Request.WantsSession;
  this->ChosenPlan =
      makePlan(this->Parts.Context.Settings.PlanSelection, Input);
  this->recordStep(
      "plan",
      absl::StrCat(this->ChosenPlan.InitialVersion.text(),
                   this->ChosenPlan.IsCascade
                       ? " then " + this->ChosenPlan.EscalationVersion.text()
                       : "",
                   " (", this->ChosenPlan.Reason, ")"));
  return std::nullopt;
}

std::optional<Refusal> Generation::checkPin() {
  const Table &Rows = *this->Admitted.Table.State->Compiled;
  if (this->Request.Pin.Workspace != this->Request.Workspace)
    return makeNotRunRefusal(
        RefusalKind::BadSession,
        "the session token was issued to another workspace");
  VersionKey Key = this->Request.Pin.Version;
  IneligibilityReason Reason =
      evaluatePinnedVersion(Rows, this->eligibility(), Key);
  if (Reason == IneligibilityReason::Withdrawn) {
    VersionKey Next = followReplacement(Rows, Key);
    this->recordStep(
        "session moves",
        absl::StrCat(Key.text(), " was withdrawn; replaced by ", Next.text()));
    Key = Next;
    Reason = evaluatePinnedVersion(Rows, this->eligibility(), Key);
  }
  if (Reason != IneligibilityReason::None)
    return makeNotRunRefusal(
        RefusalKind::NoVersionAllowed,
        absl::StrCat("the session's version is not eligible: ",
                     ineligibilityReasonName(Reason)));
  this->ChosenPlan = Plan{};
  this->ChosenPlan.Found = true;
  this->ChosenPlan.InitialVersion = Key;
  this->ChosenPlan.Reason = "session";
  this->recordStep("plan", Key.text() + " (session)");
  return std::nullopt;
}

} // namespace berylramp::internal
