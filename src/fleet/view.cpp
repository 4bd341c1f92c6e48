//===- view.cpp - Merging and summing up what members say -----------------===//
//
// The age of a record travels with it, so that a record passed on by many
// hosts never looks younger than it is. The youngest records are passed on:
// what a host knows to be old, others know from somebody who heard later.
//
//===----------------------------------------------------------------------===//

#include "berylramp/fleet.h"

#include <algorithm>

namespace berylramp {

namespace {

bool isNewer(const Member &A, const Member &B) {
  if (A.Life != B.Life)
    return A.Life > B.Life;
  return A.Heartbeat > B.Heartbeat;
}

bool isHeard(const KnownMember &Known, const FleetTimes &Times, Instant Now) {
  return !Known.Gone && Now - Known.WrittenAt <= Times.HeardWithin;
}

GossipMessage::Core coreOf(const KnownMember &Known, Instant Now) {
  GossipMessage::Core Out;
  Out.What = Known.What;
  Out.What.Detail = MemberDetail{};
  Out.Age = RecordAge{Now - Known.WrittenAt, Now - Known.ProvenAt};
  Out.HeldDetail = Known.What.Detail.Version;
  return Out;
}

/// The youngest records, this host's own among them, and after them a run of
/// the others that begins at \p Turn, so that in time each record goes to
/// somebody. The youngest alone would starve all that is a little older.
std::vector<GossipMessage::Core> coresToTell(const FleetView &View, Instant Now,
                                             size_t Turn) {
  std::vector<const KnownMember *> All;
  All.reserve(View.Members.size());
  for (const auto &[Host, Known] : View.Members)
    All.push_back(&Known);
  size_t Wanted = std::min(All.size(), MaxCoresInMessage);
  size_t Youngest = std::min(Wanted, YoungestInMessage);
  std::partial_sort(All.begin(), All.begin() + static_cast<long>(Youngest),
                    All.end(), [](const KnownMember *A, const KnownMember *B) {
                      return B->WrittenAt < A->WrittenAt;
                    });
  std::vector<GossipMessage::Core> Out;
  Out.reserve(Wanted);
  for (size_t I = 0; I < Youngest; ++I)
    Out.push_back(coreOf(*All[I], Now));
  size_t Others = All.size() - Youngest;
  for (size_t I = 0; Out.size() < Wanted; ++I)
    Out.push_back(coreOf(*All[Youngest + (Turn + I) % Others], Now));
  return Out;
}

const GossipMessage::Core *findCore(const GossipMessage &Message,
                                    const HostId &Host) {
  for (const GossipMessage::Core &Each : Message.Cores) {
    if (Each.What.Host == Host)
      return &Each;
  }
  return nullptr;
}

/// Whether the sender of \p Theirs lacks the detail that this host holds.
bool lacksDetail(const GossipMessage &Theirs, const KnownMember &Known) {
  if (Known.What.Detail.Version < 0)
    return false;
  const GossipMessage::Core *Held = findCore(Theirs, Known.What.Host);
  if (Held == nullptr)
    return Theirs.IsWhole;
  if (Held->What.Life != Known.What.Life)
    return Held->What.Life < Known.What.Life;
  return Held->HeldDetail < Known.What.Detail.Version;
}

} // namespace

bool sameDetail(const MemberDetail &A, const MemberDetail &B) {
  return A.Place == B.Place && A.Address == B.Address && A.Demand == B.Demand &&
         A.Ratings == B.Ratings && A.Trips == B.Trips;
}

bool mergeCore(FleetView &View, const Member &Heard, RecordAge Age,
               Instant Now) {
  if (Heard.Host == View.Self)
    return false;
  auto [Found, IsNew] = View.Members.try_emplace(Heard.Host);
  KnownMember &Known = Found->second;
  bool IsSameLife = !IsNew && Known.What.Life == Heard.Life;
  bool IsOlder = !IsNew && isNewer(Known.What, Heard);
  if (IsOlder)
    return false;
  Instant Proven = Now + -Age.Proven;
  if (!IsSameLife || Known.ProvenAt < Proven)
    Known.ProvenAt = Proven;
  bool IsRepeat = IsSameLife && Known.What.Heartbeat == Heard.Heartbeat;
  if (IsRepeat)
    return false;
  MemberDetail Kept;
  if (IsSameLife)
    Kept = std::move(Known.What.Detail);
  Known.What = Heard;
  Known.What.Detail = std::move(Kept);
  Known.WrittenAt = Now + -Age.Seeming;
  Known.Gone = Heard.Finished;
  return true;
}

void mergeDetail(FleetView &View, const HostId &Host, Incarnation Life,
                 const MemberDetail &Heard) {
  auto Found = View.Members.find(Host);
  if (Host == View.Self || Found == View.Members.end())
    return;
  Member &What = Found->second.What;
  if (What.Life == Life && What.Detail.Version < Heard.Version)
    What.Detail = Heard;
}

GossipMessage openExchange(const FleetView &View, Instant Now, size_t Turn) {
  GossipMessage Out;
  Out.Cores = coresToTell(View, Now, Turn);
  Out.IsWhole = Out.Cores.size() == View.Members.size();
  auto Self = View.Members.find(View.Self);
  if (Self != View.Members.end()) {
    const Member &What = Self->second.What;
    Out.Details.push_back({What.Host, What.Life, What.Detail});
  }
  return Out;
}

GossipMessage answerExchange(const FleetView &View, const GossipMessage &Theirs,
                             Instant Now, size_t Turn) {
  GossipMessage Out;
  Out.Cores = coresToTell(View, Now, Turn);
  Out.IsWhole = Out.Cores.size() == View.Members.size();
  std::vector<const KnownMember *> Lacking;
  for (const auto &[Host, Known] : View.Members) {
    if (lacksDetail(Theirs, Known))
      Lacking.push_back(&Known);
  }
  std::sort(Lacking.begin(), Lacking.end(),
            [](const KnownMember *A, const KnownMember *B) {
              return B->WrittenAt < A->WrittenAt;
            });
  size_t Bytes = 0;
  for (const KnownMember *Known : Lacking) {
    const Member &What = Known->What;
    Bytes += detailBytes(What.Host, What.Detail);
    // One detail always goes, or a large one would never.
    if (Bytes > MaxDetailBytes && !Out.Details.empty())
      break;
    Out.Details.push_back({What.Host, What.Life, What.Detail});
  }
  return Out;
}

void mergeMessage(FleetView &View, const GossipMessage &Heard, Instant Now,
                  bool IsTimed) {
  for (const GossipMessage::Core &Each : Heard.Cores) {
    RecordAge Age = Each.Age;
    if (!IsTimed)
      Age.Proven = absl::InfiniteDuration();
    mergeCore(View, Each.What, Age, Now);
  }
  for (const GossipMessage::Detail &Each : Heard.Details)
    mergeDetail(View, Each.Host, Each.Life, Each.What);
}

void forgetSilent(FleetView &View, const FleetTimes &Times, Instant Now) {
  for (auto Each = View.Members.begin(); Each != View.Members.end();) {
    bool IsSelf = Each->first == View.Self;
    bool IsSilent = Now - Each->second.WrittenAt > Times.ForgetAfter;
    if (IsSilent && !IsSelf)
      Each = View.Members.erase(Each);
    else
      ++Each;
  }
}

std::vector<HostId> liveMembers(const FleetView &View, const FleetTimes &Times,
                                Instant Now) {
  std::vector<HostId> Out;
  for (const auto &[Host, Known] : View.Members) {
    bool IsSelf = Host == View.Self;
    if ((IsSelf || isHeard(Known, Times, Now)) && !Known.What.Leaving)
      Out.push_back(Host);
  }
  return Out;
}

bool isGone(const FleetView &View, const HostId &Host, Incarnation Life,
            const FleetTimes &Times, Instant Now) {
  auto Found = View.Members.find(Host);
  if (Found == View.Members.end())
    return true;
  const KnownMember &Known = Found->second;
  if (Known.What.Life > Life || Known.Gone)
    return true;
  return Now - Known.WrittenAt > Times.DetachedFor;
}

std::vector<EntryAddress> entryAddresses(const FleetView &View,
                                         const PlaceId &Near,
                                         const FleetTimes &Times, Instant Now) {
  std::vector<const Member *> Offered;
  for (const auto &[Host, Known] : View.Members) {
    bool IsSelf = Host == View.Self;
    bool HasAddress = Known.What.Detail.Version >= 0;
    if (HasAddress && (IsSelf || isHeard(Known, Times, Now)) &&
        !Known.What.Leaving)
      Offered.push_back(&Known.What);
  }
  std::sort(Offered.begin(), Offered.end(),
            [&Near](const Member *A, const Member *B) {
              bool ANear = A->Detail.Place == Near;
              bool BNear = B->Detail.Place == Near;
              if (ANear != BNear)
                return ANear;
              if (A->Streams != B->Streams)
                return A->Streams < B->Streams;
              return A->Host < B->Host;
            });
  std::vector<EntryAddress> Out;
  Out.reserve(Offered.size());
  for (const Member *Each : Offered)
    Out.push_back(
        EntryAddress{Each->Host, Each->Detail.Place, Each->Detail.Address});
  return Out;
}

namespace {

/// Only roll-outs are summed by run: they are few.
void addRunRating(FleetSummary &Out, const RatingTally &Tally) {
  if (Tally.Run == ServingRun)
    return;
  for (RatingTally &Sum : Out.RunRatings) {
    if (Sum.Kind != Tally.Kind || Sum.Version != Tally.Version ||
        Sum.Run != Tally.Run)
      continue;
    Sum.Good += Tally.Good;
    Sum.Rated += Tally.Rated;
    return;
  }
  Out.RunRatings.push_back(Tally);
}

} // namespace

FleetSummary summarizeFleet(const FleetView &View, const FleetTimes &Times,
                            const FleetSummary &Before, Instant Now) {
  FleetSummary Out;
  Out.LiveHosts = liveMembers(View, Times, Now).size();
  size_t Known = 0;
  size_t Heard = 0;
  for (const auto &[Host, Each] : View.Members) {
    const MemberDetail &Detail = Each.What.Detail;
    for (const RatingTally &Tally : Detail.Ratings) {
      RatingTally &Sum =
          Out.Ratings[FleetSummary::PairKey{Tally.Kind, Tally.Version}];
      Sum.Good += Tally.Good;
      Sum.Rated += Tally.Rated;
      addRunRating(Out, Tally);
    }
    for (const VersionTrip &Trip : Detail.Trips) {
      if (std::find(Out.Trips.begin(), Out.Trips.end(), Trip) ==
          Out.Trips.end())
        Out.Trips.push_back(Trip);
    }
    if (Host == View.Self || Each.Gone)
      continue;
    ++Known;
    if (!isHeard(Each, Times, Now))
      continue;
    ++Heard;
    for (const WorkspaceDemand &Demand : Detail.Demand)
      Out.DemandOfOthers[Demand.Workspace] += Demand.RequestsPerSecond;
  }
  for (const auto &[Workspace, Demand] : Out.DemandOfOthers) {
    auto Known = Before.DemandSince.find(Workspace);
    bool IsNew = Known == Before.DemandSince.end();
    Out.DemandSince[Workspace] = IsNew ? Now : Known->second;
  }
  Out.IsHeard = Heard > 0;
  // Hosts that are not heard may still serve: they keep their part.
  Out.SharingHosts = 1 + (Out.IsHeard ? Heard : Known);
  return Out;
}

OthersDemand othersDemand(const FleetSummary &Summary,
                          const WorkspaceId &Workspace) {
  OthersDemand Out{0, Summary.SharingHosts, Summary.IsHeard, Instant{}};
  auto Found = Summary.DemandOfOthers.find(Workspace);
  if (Found == Summary.DemandOfOthers.end())
    return Out;
  Out.RequestsPerSecond = Found->second;
  Out.Since = Summary.DemandSince.at(Workspace);
  return Out;
}

RatingTally ratingsOf(const FleetSummary &Summary, const RequestKindId &Kind,
                      const VersionKey &Version) {
  auto Found = Summary.Ratings.find(FleetSummary::PairKey{Kind, Version});
  if (Found == Summary.Ratings.end())
    return RatingTally{Kind, Version, "", 0, 0};
  return Found->second;
}

double settledLimitShare(double Mine, Instant MineSince,
                         const OthersDemand &Others, Instant Now) {
  double Share = limitShare(Mine, Others);
  bool MineIsNew = Now - MineSince < DemandSettles;
  bool OthersAreNew =
      Others.RequestsPerSecond <= 0 || Now - Others.Since < DemandSettles;
  if (!MineIsNew || !OthersAreNew)
    return Share;
  return std::min(Share, 1.0 / static_cast<double>(Others.Hosts));
}

double limitShare(double Mine, const OthersDemand &Others) {
  double Even = 1.0 / static_cast<double>(Others.Hosts);
  if (!Others.IsHeard)
    return Even;
  double All = Mine + Others.RequestsPerSecond;
  double Wanted = All > 0 ? Mine / All : Even;
  return std::max(Wanted, LimitSlack * Even);
}

} // namespace berylramp
