//===- upstreams.cpp - Replicas and the choice of one ---------------------===//
//
// An engine prefills one prompt at a time, and a long prefill stalls all
// streams that the engine serves. Engines are therefore compared by the
// expected time to the first token: the prefill work that this host and the
// other hosts of its data centre sent before, and the segments of this prompt
// that the engine has not cached. Plain services are compared by their reported
// load and the number of requests sent since the report.
//
//===----------------------------------------------------------------------===//

#include "berylramp/upstreams.h"

#include <algorithm>
#include <functional>

namespace berylramp {

namespace {

/// Older load reports are ignored: answers take a few seconds, so the load has
/// changed by then.
constexpr absl::Duration ReportLifetime = absl::Seconds(3);
/// A replica that refused a request because it is full is not chosen for this
/// long, unless no other replica is available.
constexpr absl::Duration FullBackoff = absl::Milliseconds(150);
/// The same for a brittle replica, on all hosts, whatever else is available.
constexpr absl::Duration BrittleBackoff = absl::Seconds(1);
/// Time in which a request in progress at a brittle replica makes room.
constexpr absl::Duration RoomDelay = absl::Milliseconds(300);
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

/// Notices of replicas are kept for this long after their last change. An entry
/// from before the notice is gone by then.
constexpr absl::Duration NoticeLifetime = absl::Seconds(60);

bool contains(const std::vector<UpstreamId> &Ids, const UpstreamId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

bool allows(const VersionRule &Rule, const VersionId &Version) {
  if (Rule.Target.empty())
    return true;
  return Rule.RequireTarget == (Version == Rule.Target);
}

/// Weight of the newest answer in a replica's latency ratio, and the bounds of
/// the ratio.
constexpr double LatencyRatioWeight = 0.06;
constexpr double MinLatencyRatio = 0.7;
constexpr double MaxLatencyRatio = 8;
/// Answers expected sooner than this do not change the latency ratio: network
/// latency dominates them.
constexpr double MinExpectedMs = 40;

/// The replicas of \p Group that lie in the range that \p Query prefers, or all
/// of them when none does.
std::vector<ReplicaPtr> preferredSlice(std::vector<ReplicaPtr> Group,
                                       const ChoiceQuery &Query) {
  if (Query.PreferredFrom <= 0 && Query.PreferredTo >= 1)
    return Group;
  std::sort(Group.begin(), Group.end(),
            [](const ReplicaPtr &A, const ReplicaPtr &B) {
              return A->Entry.Id < B->Entry.Id;
            });
  std::vector<ReplicaPtr> Slice;
  for (size_t Index = 0; Index < Group.size(); ++Index) {
    double Position =
        (static_cast<double>(Index) + 0.5) / static_cast<double>(Group.size());
    if (Position >= Query.PreferredFrom && Position < Query.PreferredTo)
      Slice.push_back(Group[Index]);
  }
  return Slice.empty() ? Group : Slice;
}

uint64_t mixHashes(uint64_t A, uint64_t B) {
  constexpr uint64_t GoldenRatio = 0x9E3779B97F4A7C15ULL;
  uint64_t Mixed = (A ^ (B + GoldenRatio + (A << 6) + (A >> 2))) * GoldenRatio;
  return Mixed ^ (Mixed >> 29);
}

double toMilliseconds(absl::Duration Time) {
  return absl::ToDoubleMilliseconds(Time);
}

} // namespace

ReplicaProcess processOf(const Replica &Target) {
  return {Target.IdHash, Target.Entry.StartedAtMs, Target.Entry.Place};
}

void UpstreamRegistry::put(const ReplicaEntry &Entry, Instant Now) {
  ReplicaPtr &Slot = this->ById[Entry.Id.text()];
  bool Restarted =
      Slot != nullptr && Slot->Entry.StartedAtMs != Entry.StartedAtMs;
  bool Moved = Slot != nullptr && Slot->Entry.Service != Entry.Service;
  if (Slot != nullptr && (Restarted || Moved)) {
    this->evict(Entry.Id, Now);
    this->put(Entry, Now);
    return;
  }
  if (Slot == nullptr) {
    Slot = std::make_shared<Replica>();
    Slot->IdHash = stableHash(Entry.Id.text());
    this->ByService[Entry.Service.text()].push_back(Slot);
    this->ByHash[Slot->IdHash] = Slot;
    auto Notice = this->Notices.find(Entry.Id.text());
    if (Notice != this->Notices.end() &&
        Notice->second.StartedAtMs == Entry.StartedAtMs) {
      Slot->Leaving = Notice->second.Leaving;
      Slot->PausedUntil = Notice->second.PausedUntil;
    }
  }
  Slot->Entry = Entry;
  Slot->Removed = false;
}

bool UpstreamRegistry::isOutdated(const ReplicaEntry &Entry) const {
  ReplicaPtr Known = this->find(Entry.Id);
  if (Known != nullptr && Entry.StartedAtMs != Known->Entry.StartedAtMs)
    return Entry.StartedAtMs < Known->Entry.StartedAtMs;
  // An entry of another writer may lack the sequence.
  bool HasSequence = Entry.Sequence != 0;
  if (Known != nullptr && !Known->Removed)
    return HasSequence && Entry.Sequence < Known->Entry.Sequence;
  auto Notice = this->Notices.find(Entry.Id.text());
  return Notice != this->Notices.end() &&
         (Entry.StartedAtMs < Notice->second.StartedAtMs ||
          (HasSequence && Entry.StartedAtMs == Notice->second.StartedAtMs &&
           Entry.Sequence < Notice->second.RemovedSequence));
}

ReplicaNotice &UpstreamRegistry::noticeOf(const Replica &Target, Instant Now) {
  ReplicaNotice &Notice = this->Notices[Target.Entry.Id.text()];
  if (Notice.StartedAtMs != Target.Entry.StartedAtMs)
    Notice = ReplicaNotice();
  Notice.StartedAtMs = Target.Entry.StartedAtMs;
  Notice.ExpiresAt = std::max(Notice.ExpiresAt, Now + NoticeLifetime);
  return Notice;
}

bool UpstreamRegistry::markLeaving(const UpstreamId &Id, Instant Now) {
  ReplicaPtr Found = this->find(Id);
  if (Found == nullptr)
    return false;
  this->noticeOf(*Found, Now).Leaving = true;
  bool IsNew = !Found->Leaving;
  Found->Leaving = true;
  return IsNew;
}

std::optional<UpstreamId> UpstreamRegistry::markLeaving(uint64_t IdHash,
                                                        int64_t StartedAtMs,
                                                        Instant Now) {
  auto Found = this->ByHash.find(IdHash);
  if (Found == this->ByHash.end() ||
      Found->second->Entry.StartedAtMs != StartedAtMs)
    return std::nullopt;
  UpstreamId Id = Found->second->Entry.Id;
  if (!this->markLeaving(Id, Now))
    return std::nullopt;
  return Id;
}

void UpstreamRegistry::pause(const UpstreamId &Id, Instant Until) {
  ReplicaPtr Found = this->find(Id);
  if (Found == nullptr)
    return;
  Found->PausedUntil = std::max(Found->PausedUntil, Until);
  this->noticeOf(*Found, Until).PausedUntil = Found->PausedUntil;
}

void UpstreamRegistry::remove(const UpstreamId &Id, Instant Now,
                              absl::Duration GracePeriod) {
  ReplicaPtr Found = this->find(Id);
  if (Found == nullptr || Found->Removed)
    return;
  Found->Removed = true;
  Found->UsableUntil = Now + GracePeriod;
  this->noticeOf(*Found, Now).RemovedSequence = Found->Entry.Sequence;
}

void UpstreamRegistry::evict(const UpstreamId &Id, Instant Now) {
  ReplicaPtr Found = this->find(Id);
  if (Found == nullptr)
    return;
  Found->Removed = true;
  Found->UsableUntil = Now;
  auto &Group = this->ByService[Found->Entry.Service.text()];
  Group.erase(std::remove(Group.begin(), Group.end(), Found), Group.end());
  this->ByHash.erase(Found->IdHash);
  this->ById.erase(Id.text());
}

void UpstreamRegistry::sweep(Instant Now) {
  std::vector<UpstreamId> Expired;
  for (const auto &[Text, Record] : this->ById)
    if (Record->Removed && !(Now < Record->UsableUntil))
      Expired.push_back(Record->Entry.Id);
  for (const UpstreamId &Id : Expired)
    this->evict(Id, Now);
  absl::erase_if(this->Notices, [&](const auto &Notice) {
    return Notice.second.ExpiresAt < Now;
  });
  this->Limits.sweep(Now);
}

std::vector<UpstreamId> UpstreamRegistry::ids() const {
  std::vector<UpstreamId> Ids;
  for (const auto &[Text, Record] : this->ById)
    Ids.push_back(Record->Entry.Id);
  return Ids;
}

double UpstreamRegistry::loadOf(const Replica &Target, Instant Now) const {
  double Slots = std::max(Target.Entry.Slots, 1);
  double Own = Target.InFlight;
  if (Target.Load.Slots > 0 && Now - Target.Load.At < ReportLifetime) {
    double Reported = Target.Load.Running + Target.Load.Waiting;
    return std::max(Own, Reported + Target.SentSinceReport) / Slots;
  }
  return Own / Slots;
}

bool UpstreamRegistry::isEligible(const Replica &Candidate,
                                  const ChoiceQuery &Query) const {
  bool Expired = Candidate.Removed && !(Query.Now < Candidate.UsableUntil);
  return !Expired && !Candidate.Leaving && !Candidate.Entry.Draining &&
         allows(Query.Rule, Candidate.Entry.Version) &&
         !contains(Query.Tried, Candidate.Entry.Id);
}

Instant UpstreamRegistry::earliestAvailability(const ChoiceQuery &Query) const {
  Instant Earliest{absl::InfiniteDuration()};
  for (const ReplicaPtr &Candidate : this->replicasOf(Query.Service)) {
    if (!this->isEligible(*Candidate, Query))
      continue;
    Instant At = std::max(
        Candidate->PausedUntil,
        this->Limits.allowedAt(processOf(*Candidate), Query.Urgent, Query.Now),
        std::less<>());
    if (!this->hasRoom(*Candidate, Query.Now))
      At = std::max(At, Query.Now + RoomDelay, std::less<>());
    if (Query.Now < At)
      Earliest = std::min(Earliest, At);
  }
  return Earliest;
}

void UpstreamRegistry::divideLimits(const LimitMembers &Members, Instant Now) {
  auto Find = [this](uint64_t IdHash) -> std::optional<LimitedReplica> {
    auto Found = this->ByHash.find(IdHash);
    if (Found == this->ByHash.end())
      return std::nullopt;
    const ReplicaEntry &Entry = Found->second->Entry;
    return LimitedReplica{Entry.Place, Entry.Slots};
  };
  if (!this->Limits.empty())
    this->Limits.divide(Members, Find, Now);
}

bool UpstreamRegistry::hasRoom(const Replica &Candidate, Instant Now) const {
  std::optional<int> Room = this->Limits.roomOf(processOf(Candidate));
  return !Room || (Candidate.InFlight < *Room && !(Now < Candidate.FullUntil));
}

void UpstreamRegistry::markFull(uint64_t IdHash, int64_t StartedAtMs,
                                Instant Now) {
  auto Found = this->ByHash.find(IdHash);
  if (Found == this->ByHash.end() ||
      Found->second->Entry.StartedAtMs != StartedAtMs)
    return;
  Instant &Until = Found->second->FullUntil;
  Until = std::max(Until, Now + BrittleBackoff);
}

std::vector<ReplicaPtr>
UpstreamRegistry::candidates(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Available;
  auto Group = this->ByService.find(Query.Service.text());
  if (Group == this->ByService.end())
    return Available;
  std::vector<ReplicaPtr> Unavailable;
  bool HasLimits = !this->Limits.empty();
  for (const ReplicaPtr &Candidate : Group->second) {
    if (!this->isEligible(*Candidate, Query) ||
        Query.Now < Candidate->PausedUntil ||
        (HasLimits && (!this->Limits.allows(processOf(*Candidate), Query.Urgent,
                                            Query.Now) ||
                       !this->hasRoom(*Candidate, Query.Now))))
      continue;
    bool Excluded =
        Query.Now < Candidate->EjectedUntil || Query.Now < Candidate->FullUntil;
    (Excluded ? Unavailable : Available).push_back(Candidate);
  }
  return Available.empty() ? Unavailable : Available;
}

Choice UpstreamRegistry::choose(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Available = this->candidates(Query);
  if (Available.empty())
    return {};
  std::vector<ReplicaPtr> Unconfirmed;
  bool HasLimits = !this->Limits.empty();
  for (const ReplicaPtr &Candidate : Available)
    if (HasLimits &&
        this->Limits.needsConfirmation(processOf(*Candidate), Query.Now))
      Unconfirmed.push_back(Candidate);
  if (!Unconfirmed.empty())
    Available = std::move(Unconfirmed);
  if (!Query.Segments.empty())
    return this->chooseEngine(Query, Available);
  auto Cost = [&](const Replica &Candidate) {
    return this->loadOf(Candidate, Query.Now) +
           this->distance(Candidate) * this->Settings.RemoteLoadPenalty;
  };
  Choice Chosen;
  Chosen.Target =
      *std::min_element(Available.begin(), Available.end(),
                        [&](const ReplicaPtr &A, const ReplicaPtr &B) {
                          return Cost(*A) < Cost(*B);
                        });
  return Chosen;
}

double UpstreamRegistry::distance(const Replica &Target) const {
  const PlaceId &Place = Target.Entry.Place;
  if (Place == this->Settings.OwnPlace)
    return 0;
  const std::vector<PlaceId> &Nearby = this->Settings.SameRegion;
  bool InRegion =
      std::find(Nearby.begin(), Nearby.end(), Place) != Nearby.end();
  return InRegion ? this->Settings.RegionDistance : 1;
}

Choice UpstreamRegistry::estimate(const ReplicaPtr &Target,
                                  const ChoiceQuery &Query) const {
  int64_t UncachedTokens = 0;
  int64_t SharedUncachedTokens = 0;
  bool Cached = true;
  for (size_t Index = 0; Index < Query.Segments.size(); ++Index) {
    const PromptSegment &Segment = Query.Segments[Index];
    // A prefix cache can use a segment only if all segments before it are
    // cached too.
    bool Shared = Index + 1 < Query.Segments.size();
    Cached = Cached && Shared && Target->CachedSegments.holds(Segment.Id);
    if (Cached)
      continue;
    UncachedTokens += Segment.Tokens;
    SharedUncachedTokens += Shared ? Segment.Tokens : 0;
  }
  Choice Estimate;
  Estimate.Target = Target;
  double Rate = Query.MsPerToken * Target->LatencyRatio;
  Estimate.PrefillTime =
      absl::Milliseconds(effectiveTokens(UncachedTokens) * Rate);
  Estimate.SharedPrefillTime =
      absl::Milliseconds(effectiveTokens(SharedUncachedTokens) * Rate);
  Estimate.QueueDelay =
      std::max(absl::ZeroDuration(), Target->BusyUntil - Query.Now);
  return Estimate;
}

Choice
UpstreamRegistry::chooseEngine(const ChoiceQuery &Query,
                               const std::vector<ReplicaPtr> &Available) const {
  std::vector<ReplicaPtr> Local;
  for (const ReplicaPtr &Candidate : Available)
    if (Candidate->Entry.Place == this->Settings.OwnPlace)
      Local.push_back(Candidate);
  Local = preferredSlice(Local, Query);
  // Rendezvous hashing: hosts that have no record of a shared segment choose
  // the same replica for it.
  uint64_t SharedSegment = Query.Segments.size() > 1
                               ? Query.Segments[Query.Segments.size() - 2].Id
                               : 0;
  uint64_t PreferredHash = 0;
  for (const ReplicaPtr &Candidate : Local)
    PreferredHash =
        std::max(PreferredHash, mixHashes(SharedSegment, Candidate->IdHash));
  Choice Best;
  double BestMs = 0;
  for (const ReplicaPtr &Candidate : Available) {
    Choice Estimate = this->estimate(Candidate, Query);
    bool Remote = Candidate->Entry.Place != this->Settings.OwnPlace;
    bool Preferred = Remote || std::find(Local.begin(), Local.end(),
                                         Candidate) != Local.end();
    double RecomputeWeight = this->Settings.SharedRecomputeWeight;
    if (SharedSegment != 0 && !Remote &&
        mixHashes(SharedSegment, Candidate->IdHash) == PreferredHash)
      RecomputeWeight = 0;
    double Ms =
        toMilliseconds(Estimate.QueueDelay) +
        toMilliseconds(Estimate.PrefillTime) +
        RecomputeWeight * toMilliseconds(Estimate.SharedPrefillTime) +
        toMilliseconds(this->Settings.PerStreamDelay) * Candidate->InFlight;
    double DistanceFactor = Preferred ? this->distance(*Candidate) : 1;
    Ms += DistanceFactor * toMilliseconds(this->Settings.RemoteLatencyPenalty);
    Ms += this->distance(*Candidate) * this->Settings.RemotePrefillWeight *
          toMilliseconds(Estimate.PrefillTime);
    if (Best.Target == nullptr || Ms < BestMs) {
      Best = Estimate;
      BestMs = Ms;
    }
  }
  return Best;
}

bool UpstreamRegistry::hasCapacity(const ChoiceQuery &Query) const {
  for (const ReplicaPtr &Candidate : this->candidates(Query))
    if (!(Query.Now < Candidate->FullUntil) &&
        this->loadOf(*Candidate, Query.Now) < 1.0)
      return true;
  return false;
}

double UpstreamRegistry::utilization(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Available = this->candidates(Query);
  if (Available.empty())
    return 1;
  double Sum = 0;
  for (const ReplicaPtr &Candidate : Available)
    Sum += this->loadOf(*Candidate, Query.Now);
  return Sum / static_cast<double>(Available.size());
}

void UpstreamRegistry::onRequestStarted(const Choice &Chosen,
                                        const ChoiceQuery &Query) {
  Replica &Target = *Chosen.Target;
  if (!this->Limits.empty())
    this->Limits.onSent(processOf(Target), Query.Now);
  Target.InFlight += 1;
  Target.SentSinceReport += 1;
  Target.BusyUntil =
      std::max(Target.BusyUntil, Query.Now, std::less<>()) + Chosen.PrefillTime;
  for (const PromptSegment &Segment : Query.Segments)
    Target.CachedSegments.record(Segment.Id);
}

void UpstreamRegistry::onFirstByte(const Choice &Chosen, absl::Duration Latency,
                                   Instant Now) const {
  Replica &Target = *Chosen.Target;
  double Expected = toMilliseconds(Chosen.QueueDelay + Chosen.PrefillTime);
  if (Expected < MinExpectedMs)
    return;
  double Ratio = toMilliseconds(Latency) / Expected;
  Target.LatencyRatio += LatencyRatioWeight * (Ratio - 1) * Target.LatencyRatio;
  Target.LatencyRatio =
      std::clamp(Target.LatencyRatio, MinLatencyRatio, MaxLatencyRatio);
  // The prompts that were queued before this request are prefilled by now.
  absl::Duration Delay = Latency - (Chosen.QueueDelay + Chosen.PrefillTime);
  Target.BusyUntil = Target.BusyUntil + Delay;
  if (Target.BusyUntil < Now)
    Target.BusyUntil = Now;
}

void UpstreamRegistry::onRequestCancelled(const Choice &Chosen,
                                          Instant Now) const {
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
  }
}

void UpstreamRegistry::onLoadReport(Replica &Target,
                                    const ReportedLoad &Load) const {
  Target.Load = Load;
  Target.SentSinceReport = 0;
}

std::vector<ReplicaPtr>
UpstreamRegistry::replicasOf(const ServiceId &Service) const {
  auto Group = this->ByService.find(Service.text());
  return Group == this->ByService.end() ? std::vector<ReplicaPtr>()
                                        : Group->second;
}

std::optional<UpstreamId> UpstreamRegistry::idOf(uint64_t IdHash) const {
  auto Found = this->ByHash.find(IdHash);
  if (Found == this->ByHash.end())
    return std::nullopt;
  return Found->second->Entry.Id;
}

ReplicaPtr UpstreamRegistry::find(const UpstreamId &Id) const {
  auto Found = this->ById.find(Id.text());
  return Found == this->ById.end() ? nullptr : Found->second;
}

} // namespace berylramp
