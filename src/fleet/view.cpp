//===- view.cpp - Merging and comparing what members say ------------------===//
//
// The age of a record travels with it, so that a record passed on by many
// hosts never looks younger than it is.
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

bool isNewerThanEntry(const Member &A, const DigestEntry &B) {
  if (A.Life != B.Life)
    return A.Life > B.Life;
  return A.Heartbeat > B.Heartbeat;
}

const DigestEntry *findEntry(const std::vector<DigestEntry> &Digest,
                             const HostId &Host) {
  for (const DigestEntry &Each : Digest) {
    if (Each.Host == Host)
      return &Each;
  }
  return nullptr;
}

bool isHeard(const KnownMember &Known, const FleetTimes &Times, Instant Now) {
  return !Known.Gone && Now - Known.WrittenAt <= Times.HeardWithin;
}

} // namespace

bool mergeMember(FleetView &View, const Member &Heard, absl::Duration Age,
                 Instant Now) {
  if (Heard.Host == View.Self)
    return false;
  Instant WrittenAt = Now + -Age;
  auto Found = View.Members.find(Heard.Host);
  if (Found == View.Members.end()) {
    View.Members[Heard.Host] = KnownMember{Heard, WrittenAt, Heard.Finished};
    return true;
  }
  KnownMember &Known = Found->second;
  if (!isNewer(Heard, Known.What))
    return false;
  Known = KnownMember{Heard, WrittenAt, Heard.Finished};
  return true;
}

std::vector<DigestEntry> makeDigest(FleetView &View) {
  std::vector<DigestEntry> Out;
  auto Each = View.Members.lower_bound(View.DigestCursor);
  size_t Wanted = std::min(MaxDigestEntries, View.Members.size());
  while (Out.size() < Wanted) {
    if (Each == View.Members.end())
      Each = View.Members.begin();
    const Member &What = Each->second.What;
    Out.push_back(DigestEntry{What.Host, What.Life, What.Heartbeat});
    ++Each;
  }
  View.DigestCursor = Each == View.Members.end() ? HostId() : Each->first;
  return Out;
}

std::vector<AgedMember> newerThan(const FleetView &View,
                                  const std::vector<DigestEntry> &Theirs,
                                  Instant Now) {
  // A digest that names every member it has also says which ones it lacks; a
  // partial one says nothing about the members outside it.
  bool IsWhole = Theirs.size() < MaxDigestEntries;
  std::vector<AgedMember> Out;
  for (const auto &[Host, Known] : View.Members) {
    const DigestEntry *Held = findEntry(Theirs, Host);
    bool Lacks = Held == nullptr && (IsWhole || Host == View.Self);
    bool IsOlder = Held != nullptr && isNewerThanEntry(Known.What, *Held);
    if (Lacks || IsOlder)
      Out.push_back(AgedMember{Known.What, Now - Known.WrittenAt});
  }
  std::sort(
      Out.begin(), Out.end(),
      [](const AgedMember &A, const AgedMember &B) { return A.Age < B.Age; });
  if (Out.size() > MaxMembersInExchange)
    Out.resize(MaxMembersInExchange);
  return Out;
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
    if ((IsSelf || isHeard(Known, Times, Now)) && !Known.What.Leaving)
      Offered.push_back(&Known.What);
  }
  std::sort(Offered.begin(), Offered.end(),
            [&Near](const Member *A, const Member *B) {
              bool ANear = A->Place == Near;
              bool BNear = B->Place == Near;
              if (ANear != BNear)
                return ANear;
              if (A->Streams != B->Streams)
                return A->Streams < B->Streams;
              return A->Host < B->Host;
            });
  std::vector<EntryAddress> Out;
  Out.reserve(Offered.size());
  for (const Member *Each : Offered)
    Out.push_back(EntryAddress{Each->Host, Each->Place, Each->Address});
  return Out;
}

RatingTally sumRatings(const FleetView &View, const RequestKindId &Kind,
                       const VersionKey &Version) {
  RatingTally Sum{Kind, Version, 0, 0};
  for (const auto &[Host, Known] : View.Members) {
    for (const RatingTally &Each : Known.What.Ratings) {
      if (Each.Kind != Kind || Each.Version != Version)
        continue;
      Sum.Good += Each.Good;
      Sum.Rated += Each.Rated;
    }
  }
  return Sum;
}

OthersDemand othersDemand(const FleetView &View, const WorkspaceId &Workspace,
                          const FleetTimes &Times, Instant Now) {
  OthersDemand Out;
  size_t Known = 0;
  for (const auto &[Host, Each] : View.Members) {
    if (Host == View.Self || Each.Gone)
      continue;
    ++Known;
    if (!isHeard(Each, Times, Now))
      continue;
    Out.IsHeard = true;
    ++Out.Hosts;
    for (const WorkspaceDemand &Demand : Each.What.Demand) {
      if (Demand.Workspace == Workspace)
        Out.RequestsPerSecond += Demand.RequestsPerSecond;
    }
  }
  // Hosts that are not heard may still serve: they keep their part.
  if (!Out.IsHeard)
    Out.Hosts = Known + 1;
  return Out;
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
