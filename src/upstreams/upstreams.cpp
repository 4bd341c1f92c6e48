//===- upstreams.cpp - Replicas and the choice of one ---------------------===//
//
// A replica's report is old when it arrives and other hosts read the same one.
// So the estimate adds what this host sent since, requests with a shared prompt
// rank replicas by a hash instead of all picking the emptiest, and the others
// compare two random replicas.
//
//===----------------------------------------------------------------------===//

#include "berylramp/upstreams.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp {

namespace {

/// A report older than this says nothing about the present load; answers take
/// some seconds.
constexpr absl::Duration ReportLifetime = absl::Seconds(3);
/// A replica that said "full" gets nothing for this long unless all are full.
constexpr absl::Duration FullPause = absl::Milliseconds(150);
/// Failures in a row after which a replica is left out.
constexpr int FailuresToEject = 3;
/// The first ejection's length; each further one doubles it up to the most.
constexpr absl::Duration FirstEjection = absl::Seconds(1);
constexpr absl::Duration LongestEjection = absl::Seconds(8);
/// Weight of the newest outcome in the moving failing share.
constexpr double OutcomeWeight = 0.12;
constexpr int64_t OutcomesToJudge = 8;
/// A replica is an outlier when its failing share exceeds the service's mean
/// by this margin.
constexpr double OutlierMargin = 0.25;
/// Never leave out more than this part of a service.
constexpr double MostEjected = 0.5;

bool contains(const std::vector<UpstreamId> &Ids, const UpstreamId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

bool allows(const VersionRule &Rule, const VersionId &Version) {
  if (Rule.Target.empty())
    return true;
  return Rule.ToTarget == (Version == Rule.Target);
}

uint64_t rank(uint64_t Key, const Replica &Which) {
  return stableHash(absl::StrCat(Key, "/", Which.Entry.Id.text()));
}

} // namespace

void RetryBudget::firstAttempt() {
  this->Saved = std::min(this->Most, this->Saved + this->Ratio);
}

bool RetryBudget::take() {
  if (this->Saved < 1)
    return false;
  this->Saved -= 1;
  return true;
}

void UpstreamRegistry::put(const ReplicaEntry &Entry, Instant Now) {
  ReplicaPtr &Slot = this->ById[Entry.Id.text()];
  bool Reborn = Slot != nullptr && Slot->Entry.BornMs != Entry.BornMs;
  bool Moved = Slot != nullptr && Slot->Entry.Service != Entry.Service;
  if (Slot != nullptr && (Reborn || Moved)) {
    this->evict(Entry.Id, Now);
    this->put(Entry, Now);
    return;
  }
  if (Slot == nullptr) {
    Slot = std::make_shared<Replica>();
    this->ByService[Entry.Service.text()].push_back(Slot);
  }
  Slot->Entry = Entry;
  Slot->Removed = false;
}

void UpstreamRegistry::remove(const UpstreamId &Id, Instant Now,
                              absl::Duration UsableFor) {
  ReplicaPtr Found = this->find(Id);
  if (Found == nullptr || Found->Removed)
    return;
  Found->Removed = true;
  Found->RemovedAt = Now + UsableFor;
}

void UpstreamRegistry::evict(const UpstreamId &Id, Instant Now) {
  ReplicaPtr Found = this->find(Id);
  if (Found == nullptr)
    return;
  Found->Removed = true;
  Found->RemovedAt = Now;
  auto &Group = this->ByService[Found->Entry.Service.text()];
  Group.erase(std::remove(Group.begin(), Group.end(), Found), Group.end());
  this->ById.erase(Id.text());
}

void UpstreamRegistry::sweep(Instant Now) {
  std::vector<UpstreamId> Over;
  for (const auto &[Text, Each] : this->ById)
    if (Each->Removed && !(Now < Each->RemovedAt))
      Over.push_back(Each->Entry.Id);
  for (const UpstreamId &Id : Over)
    this->evict(Id, Now);
}

std::vector<UpstreamId> UpstreamRegistry::ids() const {
  std::vector<UpstreamId> Out;
  for (const auto &[Text, Each] : this->ById)
    Out.push_back(Each->Entry.Id);
  return Out;
}

double UpstreamRegistry::loadOf(const Replica &Which, Instant Now) const {
  double Slots = std::max(Which.Entry.Slots, 1);
  double Own = Which.InFlight;
  if (Which.Load.Slots > 0 && Now - Which.Load.At < ReportLifetime) {
    double Reported = Which.Load.Running + Which.Load.Waiting;
    return std::max(Own, Reported + Which.SentSinceReport) / Slots;
  }
  return Own * this->Settings.HostsSharing / Slots;
}

std::vector<ReplicaPtr>
UpstreamRegistry::candidates(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Fit;
  auto Group = this->ByService.find(Query.Service.text());
  if (Group == this->ByService.end())
    return Fit;
  std::vector<ReplicaPtr> Left;
  for (const ReplicaPtr &Each : Group->second) {
    bool Gone = Each->Removed && !(Query.Now < Each->RemovedAt);
    if (Gone || Each->Entry.Draining ||
        !allows(Query.Rule, Each->Entry.Version) ||
        contains(Query.Tried, Each->Entry.Id))
      continue;
    bool Out =
        Query.Now < Each->EjectedUntil || Query.Now < Each->FullUntil;
    (Out ? Left : Fit).push_back(Each);
  }
  return Fit.empty() ? Left : Fit;
}

ReplicaPtr UpstreamRegistry::choose(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Fit = this->candidates(Query);
  if (Fit.empty())
    return nullptr;
  auto Cost = [&](const Replica &Which) {
    bool Remote = Which.Entry.Place != this->Settings.OwnPlace;
    return this->loadOf(Which, Query.Now) +
           (Remote ? this->Settings.RemotePenalty : 0);
  };
  auto Cheapest = [&](const std::vector<ReplicaPtr> &Group) {
    return *std::min_element(
        Group.begin(), Group.end(),
        [&](const ReplicaPtr &A, const ReplicaPtr &B) {
          return Cost(*A) < Cost(*B);
        });
  };
  ReplicaPtr Least = Cheapest(Fit);
  if (Query.AffinityKey == 0)
    return Least;
  std::vector<ReplicaPtr> Near;
  for (const ReplicaPtr &Each : Fit)
    if (Each->Entry.Place == this->Settings.OwnPlace)
      Near.push_back(Each);
  if (Near.empty())
    Near = Fit;
  std::sort(Near.begin(), Near.end(),
            [&](const ReplicaPtr &A, const ReplicaPtr &B) {
              return rank(Query.AffinityKey, *A) < rank(Query.AffinityKey, *B);
            });
  double Bound = std::max(this->Settings.AffinityBound,
                          this->loadOf(*Least, Query.Now) * 1.5);
  for (const ReplicaPtr &Each : Near)
    if (this->loadOf(*Each, Query.Now) < Bound)
      return Each;
  return Least;
}

bool UpstreamRegistry::hasRoom(const ChoiceQuery &Query) const {
  for (const ReplicaPtr &Each : this->candidates(Query))
    if (!(Query.Now < Each->FullUntil) &&
        this->loadOf(*Each, Query.Now) < 1.0)
      return true;
  return false;
}

double UpstreamRegistry::utilization(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Fit = this->candidates(Query);
  if (Fit.empty())
    return 1;
  double Sum = 0;
  for (const ReplicaPtr &Each : Fit)
    Sum += this->loadOf(*Each, Query.Now);
  return Sum / static_cast<double>(Fit.size());
}

void UpstreamRegistry::began(Replica &Which, int64_t PromptTokens) const {
  Which.InFlight += 1;
  Which.TokensInFlight += PromptTokens;
  Which.SentSinceReport += 1;
}

void UpstreamRegistry::eject(Replica &Which, Instant Now) const {
  auto Group = this->ByService.find(Which.Entry.Service.text());
  if (Group == this->ByService.end())
    return;
  int64_t Out = 0;
  for (const ReplicaPtr &Each : Group->second)
    Out += Now < Each->EjectedUntil ? 1 : 0;
  double Most = MostEjected * static_cast<double>(Group->second.size());
  if (static_cast<double>(Out + 1) > Most)
    return;
  absl::Duration For = FirstEjection;
  for (int Step = 0; Step < Which.Ejections && For < LongestEjection; ++Step)
    For = For * 2;
  Which.EjectedUntil = Now + std::min(For, LongestEjection);
  Which.Ejections += 1;
  Which.FailuresInRow = 0;
  Which.Outcomes = 0;
  Which.FailingShare = 0;
}

void UpstreamRegistry::ended(Replica &Which, int64_t PromptTokens, Outcome How,
                             Instant Now) const {
  Which.InFlight -= 1;
  Which.TokensInFlight -= PromptTokens;
  if (How == Outcome::Neutral || How == Outcome::Misdirected)
    return;
  if (How == Outcome::Full) {
    Which.FullUntil = Now + FullPause;
    return;
  }
  double Failed = How == Outcome::Good ? 0 : 1;
  Which.Outcomes += 1;
  Which.FailingShare += OutcomeWeight * (Failed - Which.FailingShare);
  if (How == Outcome::Good) {
    Which.FailuresInRow = 0;
    if (Which.Outcomes >= OutcomesToJudge)
      Which.Ejections = 0;
    return;
  }
  Which.FailuresInRow += 1;
  // An answer that is a failure is common at some services; a broken
  // connection is not.
  bool InRow = How == Outcome::Broken && Which.FailuresInRow >= FailuresToEject;
  double Mean = 0;
  int64_t Others = 0;
  auto Group = this->ByService.find(Which.Entry.Service.text());
  if (Group != this->ByService.end())
    for (const ReplicaPtr &Each : Group->second)
      if (Each.get() != &Which && Each->Outcomes > 0) {
        Mean += Each->FailingShare;
        Others += 1;
      }
  if (Others > 0)
    Mean /= static_cast<double>(Others);
  bool Outlier = Which.Outcomes >= OutcomesToJudge && Others > 0 &&
                 Which.FailingShare > Mean + OutlierMargin;
  if (InRow || Outlier)
    this->eject(Which, Now);
}

void UpstreamRegistry::reported(Replica &Which,
                                const ReportedLoad &Load) const {
  Which.Load = Load;
  Which.SentSinceReport = 0;
}

std::vector<ReplicaPtr>
UpstreamRegistry::replicasOf(const ServiceId &Service) const {
  auto Group = this->ByService.find(Service.text());
  return Group == this->ByService.end() ? std::vector<ReplicaPtr>()
                                        : Group->second;
}

ReplicaPtr UpstreamRegistry::find(const UpstreamId &Id) const {
  auto Found = this->ById.find(Id.text());
  return Found == this->ById.end() ? nullptr : Found->second;
}

} // namespace berylramp
