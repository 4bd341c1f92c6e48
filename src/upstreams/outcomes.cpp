//===- outcomes.cpp - What requests show of a replica ---------------------===//

#include "berylramp/upstreams.h"

#include <algorithm>
#include <functional>

namespace berylramp {

namespace {

/// A replica that refused a request because it is full is not chosen for this
/// long, unless no other replica is available.
constexpr absl::Duration FullBackoff = absl::Milliseconds(150);
/// The same for a brittle replica, on all hosts, whatever else is available.
constexpr absl::Duration BrittleBackoff = absl::Seconds(1);
/// Consecutive connection failures after which a replica is ejected.
constexpr int EjectionFailures = 3;
/// Length of the first ejection; each further one doubles it up to the maximum.
constexpr absl::Duration InitialEjectionTime = absl::Seconds(1);
constexpr absl::Duration MaxEjectionTime = absl::Seconds(8);
/// Weight of the newest outcome in the moving failure rate.
constexpr double OutcomeWeight = 0.12;
/// Outcomes needed before the failure rate is evaluated.
constexpr int64_t MinOutcomes = 8;
/// A replica is an outlier when its failure rate exceeds the mean of the other
/// replicas of the service by this margin.
constexpr double OutlierMargin = 0.2;
/// Largest fraction of a service's replicas that may be ejected at a time.
constexpr double MaxEjectedFraction = 0.5;

/// Weight of the newest answer in a replica's latency ratio, and the bounds of
/// the ratio.
constexpr double LatencyRatioWeight = 0.06;
constexpr double MinLatencyRatio = 0.7;
constexpr double MaxLatencyRatio = 8;
/// Answers expected sooner than this do not change the latency ratio: network
/// latency dominates them.
constexpr double MinExpectedMs = 40;
/// A prompt's time to the first byte shows whether cached segments were used
/// only if they save at least this time.
constexpr absl::Duration MinVisibleSaving = absl::Milliseconds(150);

} // namespace

void UpstreamRegistry::markFull(uint64_t IdHash, int64_t StartedAtMs,
                                Instant Now) {
  auto Found = this->ByHash.find(IdHash);
  if (Found == this->ByHash.end() ||
      Found->second->Entry.StartedAtMs != StartedAtMs)
    return;
  Instant &Until = Found->second->FullUntil;
  Until = std::max(Until, Now + BrittleBackoff);
}

void UpstreamRegistry::onRequestStarted(const Choice &Chosen,
                                        const ChoiceQuery &Query) {
  Replica &Target = *Chosen.Target;
  if (!this->Limits.empty() || this->Limits.hasWarmups())
    this->Limits.onSent(processOf(Target), Query.Now);
  Target.InFlight += 1;
  Target.SentSinceReport += 1;
  Target.BusyUntil =
      std::max(Target.BusyUntil, Query.Now, std::less<>()) + Chosen.PrefillTime;
  if (Query.Segments.empty() || !Target.Engine)
    return;
  if (Query.CacheTokens > 0)
    this->Cache.setCapacity(*Target.Engine, Query.CacheTokens);
  this->Cache.onStarted(*Target.Engine, Chosen.Use, Query.Now);
}

void UpstreamRegistry::onFirstByte(const Choice &Chosen, absl::Duration Latency,
                                   Instant Now) {
  Replica &Target = *Chosen.Target;
  // The wait is known only in part, so a short saving would not show.
  absl::Duration ExpectedTime =
      Chosen.QueueDelay + Chosen.PrefillTime + Chosen.StartDelay;
  bool WasDropped = Chosen.SavedTime >= MinVisibleSaving &&
                    Latency >= ExpectedTime + Chosen.SavedTime;
  if (WasDropped && Target.Engine)
    this->Cache.dropUsedUntil(*Target.Engine, Chosen.KeptUsedAt);
  double Expected = absl::ToDoubleMilliseconds(ExpectedTime);
  if (Expected < MinExpectedMs)
    return;
  double Ratio = absl::ToDoubleMilliseconds(Latency) / Expected;
  Target.LatencyRatio += LatencyRatioWeight * (Ratio - 1) * Target.LatencyRatio;
  Target.LatencyRatio =
      std::clamp(Target.LatencyRatio, MinLatencyRatio, MaxLatencyRatio);
  // The prompts that were queued before this request are prefilled by now.
  absl::Duration Delay = Latency - ExpectedTime;
  Target.BusyUntil = Target.BusyUntil + Delay;
  if (Target.BusyUntil < Now)
    Target.BusyUntil = Now;
}

void UpstreamRegistry::onMemoryReleased(const Choice &Chosen, bool Complete,
                                        Instant Now) {
  if (!Chosen.Target->Engine || Chosen.Use.PrivateTokens == 0)
    return;
  EngineIndex Engine = *Chosen.Target->Engine;
  this->Cache.onEnded(Engine, Chosen.Use, Complete, Now);
  if (!Complete && Chosen.KeptTokens == 0)
    this->Cache.forget(Engine, Chosen.Use.Shared);
}

void UpstreamRegistry::onRequestCancelled(const Choice &Chosen, Instant Now) {
  Replica &Target = *Chosen.Target;
  Target.BusyUntil = Instant{Target.BusyUntil.SinceStart - Chosen.PrefillTime};
  if (Target.BusyUntil < Now)
    Target.BusyUntil = Now;
}

void UpstreamRegistry::onRequestNotSent(const Choice &Chosen) const {
  Replica &Target = *Chosen.Target;
  Target.SentSinceReport = std::max(0, Target.SentSinceReport - 1);
}

void UpstreamRegistry::addRemoteWork(uint64_t IdHash,
                                     absl::Duration PrefillTime,
                                     Instant Now) const {
  auto Found = this->ByHash.find(IdHash);
  if (Found == this->ByHash.end())
    return;
  Replica &Target = *Found->second;
  Target.BusyUntil =
      std::max(Target.BusyUntil, Now, std::less<>()) + PrefillTime;
}

void UpstreamRegistry::addRemoteUse(uint64_t IdHash, const PromptUse &Use,
                                    Instant Now) {
  auto Found = this->ByHash.find(IdHash);
  if (Found != this->ByHash.end())
    this->Cache.onReported(*Found->second->Engine, Use, Now);
}

void UpstreamRegistry::eject(Replica &Target, Instant Now) const {
  auto Group = this->ByService.find(Target.Entry.Service.text());
  if (Group == this->ByService.end())
    return;
  int64_t EjectedCount = 0;
  for (const ReplicaPtr &Member : Group->second)
    EjectedCount += Now < Member->EjectedUntil ? 1 : 0;
  double MaxEjected =
      MaxEjectedFraction * static_cast<double>(Group->second.size());
  if (static_cast<double>(EjectedCount + 1) > MaxEjected)
    return;
  absl::Duration Length = InitialEjectionTime;
  for (int Step = 0; Step < Target.Ejections && Length < MaxEjectionTime;
       ++Step)
    Length = Length * 2;
  Target.EjectedUntil = Now + std::min(Length, MaxEjectionTime);
  Target.Ejections += 1;
  Target.ConsecutiveFailures = 0;
  Target.OutcomeCount = 0;
  Target.FailureRate = 0;
}

void UpstreamRegistry::onRequestEnded(Replica &Target, Outcome Result,
                                      Instant Now) const {
  Target.InFlight -= 1;
  if (Result == Outcome::Neutral || Result == Outcome::Misdirected)
    return;
  if (Result == Outcome::Full) {
    bool IsBrittle = this->Limits.roomOf(processOf(Target)).has_value();
    Target.FullUntil = Now + (IsBrittle ? BrittleBackoff : FullBackoff);
    return;
  }
  double Failed = Result == Outcome::Good ? 0 : 1;
  Target.OutcomeCount += 1;
  Target.FailureRate += OutcomeWeight * (Failed - Target.FailureRate);
  if (Result == Outcome::Good) {
    Target.ConsecutiveFailures = 0;
    if (Target.OutcomeCount >= MinOutcomes)
      Target.Ejections = 0;
    return;
  }
  Target.ConsecutiveFailures += 1;
  // Failure answers are common at some services, so only connection failures
  // count towards the consecutive limit.
  bool ConsecutiveLimit = Result == Outcome::ConnectionFailed &&
                          Target.ConsecutiveFailures >= EjectionFailures;
  double MeanFailureRate = 0;
  int64_t Others = 0;
  auto Group = this->ByService.find(Target.Entry.Service.text());
  if (Group != this->ByService.end())
    for (const ReplicaPtr &Member : Group->second)
      if (Member.get() != &Target && Member->OutcomeCount > 0) {
        MeanFailureRate += Member->FailureRate;
        Others += 1;
      }
  if (Others > 0)
    MeanFailureRate /= static_cast<double>(Others);
  bool Outlier = Target.OutcomeCount >= MinOutcomes && Others > 0 &&
                 Target.FailureRate > MeanFailureRate + OutlierMargin;
  if (ConsecutiveLimit || Outlier)
    this->eject(Target, Now);
}

void UpstreamRegistry::forgiveFailures(
    const std::function<bool(const Replica &)> &Matches) const {
  for (const auto &[Text, Record] : this->ById) {
    if (!Matches(*Record))
      continue;
    Record->ConsecutiveFailures = 0;
    Record->OutcomeCount = 0;
    Record->FailureRate = 0;
    Record->EjectedUntil = Instant();
    Record->SuspectUntil = Instant();
  }
}

void UpstreamRegistry::onLoadReport(Replica &Target, const ReportedLoad &Load) {
  Target.Load = Load;
  Target.SentSinceReport = 0;
  if (Target.Engine)
    this->Cache.setOthersRunning(*Target.Engine,
                                 Load.Running - Target.InFlight);
}

} // namespace berylramp
