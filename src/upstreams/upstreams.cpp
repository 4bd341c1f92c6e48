//===- upstreams.cpp - Replicas and the choice of one ---------------------===//
//
// An engine reads one prompt after another, and a long one stalls every stream
// beside it. So engines are compared by the time at which a request's first
// token is expected: what was sent there before, by this host and by the others
// of its data centre, and the parts of this prompt that are not kept there.
// Plain services are compared by their reported load and what was sent since.
//
//===----------------------------------------------------------------------===//

#include "berylramp/upstreams.h"

#include <algorithm>
#include <functional>

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
constexpr double OutlierMargin = 0.2;
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

/// Weight of the newest answer in a replica's slowness, and its bounds.
constexpr double SlownessWeight = 0.06;
constexpr double LeastSlowness = 0.7;
constexpr double MostSlowness = 8;
/// Answers quicker than this are dominated by the network.
constexpr double ShortestExpectedMs = 40;

/// The replicas of \p Group that belong to the part that \p Query prefers, or
/// all of them when none does.
std::vector<ReplicaPtr> partOf(std::vector<ReplicaPtr> Group,
                               const ChoiceQuery &Query) {
  if (Query.PartFrom <= 0 && Query.PartTo >= 1)
    return Group;
  std::sort(Group.begin(), Group.end(),
            [](const ReplicaPtr &A, const ReplicaPtr &B) {
              return A->Entry.Id < B->Entry.Id;
            });
  std::vector<ReplicaPtr> Part;
  for (size_t Index = 0; Index < Group.size(); ++Index) {
    double At =
        (static_cast<double>(Index) + 0.5) / static_cast<double>(Group.size());
    if (At >= Query.PartFrom && At < Query.PartTo)
      Part.push_back(Group[Index]);
  }
  return Part.empty() ? Group : Part;
}

/// Mixes two hashes into one.
uint64_t mixed(uint64_t A, uint64_t B) {
  constexpr uint64_t Odd = 0x9E3779B97F4A7C15ULL;
  uint64_t Out = (A ^ (B + Odd + (A << 6) + (A >> 2))) * Odd;
  return Out ^ (Out >> 29);
}

double msOf(absl::Duration Time) { return absl::ToDoubleMilliseconds(Time); }

} // namespace

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
    Slot->IdHash = stableHash(Entry.Id.text());
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
  return Own / Slots;
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
    bool Out = Query.Now < Each->EjectedUntil || Query.Now < Each->FullUntil;
    (Out ? Left : Fit).push_back(Each);
  }
  return Fit.empty() ? Left : Fit;
}

Choice UpstreamRegistry::choose(const ChoiceQuery &Query) const {
  std::vector<ReplicaPtr> Fit = this->candidates(Query);
  if (Fit.empty())
    return {};
  if (!Query.Parts.empty())
    return this->chooseEngine(Query, Fit);
  auto Cost = [&](const Replica &Which) {
    return this->loadOf(Which, Query.Now) +
           this->distance(Which) * this->Settings.RemotePenalty;
  };
  Choice Out;
  Out.To = *std::min_element(Fit.begin(), Fit.end(),
                             [&](const ReplicaPtr &A, const ReplicaPtr &B) {
                               return Cost(*A) < Cost(*B);
                             });
  return Out;
}

double UpstreamRegistry::distance(const Replica &Which) const {
  const PlaceId &Place = Which.Entry.Place;
  if (Place == this->Settings.OwnPlace)
    return 0;
  const std::vector<PlaceId> &Near = this->Settings.SameRegion;
  bool InRegion = std::find(Near.begin(), Near.end(), Place) != Near.end();
  return InRegion ? this->Settings.RegionDistance : 1;
}

Choice UpstreamRegistry::expected(const ReplicaPtr &Which,
                                  const ChoiceQuery &Query) const {
  int64_t Unread = 0;
  int64_t SharedUnread = 0;
  bool Kept = true;
  for (size_t Index = 0; Index < Query.Parts.size(); ++Index) {
    const PromptPart &Part = Query.Parts[Index];
    // A part is of use only behind the parts before it.
    bool Shared = Index + 1 < Query.Parts.size();
    Kept = Kept && Shared && Which->Parts.holds(Part.Id);
    if (Kept)
      continue;
    Unread += Part.Tokens;
    SharedUnread += Shared ? Part.Tokens : 0;
  }
  Choice Out;
  Out.To = Which;
  double Pace = Query.MsPerToken * Which->Slowness;
  Out.Work = absl::Milliseconds(effectiveTokens(Unread) * Pace);
  Out.SharedWork = absl::Milliseconds(effectiveTokens(SharedUnread) * Pace);
  Out.Wait = std::max(absl::ZeroDuration(), Which->BusyUntil - Query.Now);
  return Out;
}

Choice
UpstreamRegistry::chooseEngine(const ChoiceQuery &Query,
                               const std::vector<ReplicaPtr> &Fit) const {
  std::vector<ReplicaPtr> Near;
  for (const ReplicaPtr &Each : Fit)
    if (Each->Entry.Place == this->Settings.OwnPlace)
      Near.push_back(Each);
  Near = partOf(Near, Query);
  // Hosts that know nothing of a shared part agree on who gets it first.
  uint64_t Shared =
      Query.Parts.size() > 1 ? Query.Parts[Query.Parts.size() - 2].Id : 0;
  uint64_t Home = 0;
  for (const ReplicaPtr &Each : Near)
    Home = std::max(Home, mixed(Shared, Each->IdHash));
  Choice Best;
  double BestMs = 0;
  for (const ReplicaPtr &Each : Fit) {
    Choice Here = this->expected(Each, Query);
    bool Remote = Each->Entry.Place != this->Settings.OwnPlace;
    bool Preferred =
        Remote || std::find(Near.begin(), Near.end(), Each) != Near.end();
    double Reads = this->Settings.RereadWeight;
    if (Shared != 0 && !Remote && mixed(Shared, Each->IdHash) == Home)
      Reads = 0;
    double Ms = msOf(Here.Wait) + msOf(Here.Work) +
                Reads * msOf(Here.SharedWork) +
                msOf(this->Settings.StreamTime) * Each->InFlight;
    double Away = Preferred ? this->distance(*Each) : 1;
    Ms += Away * msOf(this->Settings.RemoteTime);
    Ms += this->distance(*Each) * this->Settings.BlindWeight * msOf(Here.Work);
    if (Best.To == nullptr || Ms < BestMs) {
      Best = Here;
      BestMs = Ms;
    }
  }
  return Best;
}

bool UpstreamRegistry::hasRoom(const ChoiceQuery &Query) const {
  for (const ReplicaPtr &Each : this->candidates(Query))
    if (!(Query.Now < Each->FullUntil) && this->loadOf(*Each, Query.Now) < 1.0)
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

void UpstreamRegistry::began(const Choice &Which,
                             const ChoiceQuery &Query) const {
  Replica &To = *Which.To;
  To.InFlight += 1;
  To.SentSinceReport += 1;
  To.BusyUntil = std::max(To.BusyUntil, Query.Now, std::less<>()) + Which.Work;
  for (const PromptPart &Part : Query.Parts)
    To.Parts.note(Part.Id);
}

void UpstreamRegistry::firstByte(const Choice &Which, absl::Duration Took,
                                 Instant Now) const {
  Replica &From = *Which.To;
  double Expected = msOf(Which.Wait + Which.Work);
  if (Expected < ShortestExpectedMs)
    return;
  double Ratio = msOf(Took) / Expected;
  From.Slowness += SlownessWeight * (Ratio - 1) * From.Slowness;
  From.Slowness = std::clamp(From.Slowness, LeastSlowness, MostSlowness);
  // What came before this request is read by now.
  absl::Duration Late = Took - (Which.Wait + Which.Work);
  From.BusyUntil = From.BusyUntil + Late;
  if (From.BusyUntil < Now)
    From.BusyUntil = Now;
}

void UpstreamRegistry::withdrawn(const Choice &Which, Instant Now) const {
  Replica &From = *Which.To;
  From.BusyUntil = Instant{From.BusyUntil.SinceStart - Which.Work};
  if (From.BusyUntil < Now)
    From.BusyUntil = Now;
}

void UpstreamRegistry::workElsewhere(uint64_t IdHash, absl::Duration Work,
                                     Instant Now) const {
  for (const auto &[Text, Each] : this->ById)
    if (Each->IdHash == IdHash)
      Each->BusyUntil = std::max(Each->BusyUntil, Now, std::less<>()) + Work;
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

void UpstreamRegistry::ended(Replica &Which, Outcome How, Instant Now) const {
  Which.InFlight -= 1;
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
