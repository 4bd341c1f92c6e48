//===- freshness.cpp - When a host may act on its view --------------------===//
//
// Two rules keep a cut-off group from serving under an old table after an edit
// was called in force.
//
// A group that hears well over half of the known members, none of which has
// applied more than it has, may go on: an edit in force was confirmed by well
// over half too, and two such groups share a member, whose higher offset the
// group would have heard.
//
// A smaller group goes on for DetachedFor only, counted from when its last
// confirmation began. That confirmation began before an edit it knows nothing
// of was appended, so an edit that waits DetachedFor for a silent host cannot
// be in force before that host has stopped. Counting from when the silent host
// was last heard would not do: it may have read the log since, unheard.
//
// Only proven ages count: a request may have waited in the sockets of a paused
// host, and what it says would look new when the host wakes.
//
// What a group hears may be HeardWithin old, so a majority excuses a silent
// host only once it has stood for that long.
//
//===----------------------------------------------------------------------===//

#include "berylramp/fleet.h"

#include <algorithm>

namespace berylramp {

namespace {

bool isWellOverHalf(size_t Part, size_t Whole) {
  return static_cast<double>(Part) >= WellOverHalf * static_cast<double>(Whole);
}

bool isHeardPeer(const FleetView &View, const HostId &Host,
                 const KnownMember &Known, const FleetTimes &Times,
                 Instant Now) {
  return Host != View.Self && !Known.Gone &&
         Now - Known.ProvenAt <= Times.HeardWithin;
}

size_t countHeardPeers(const FleetView &View, const FleetTimes &Times,
                       Instant Now) {
  size_t Count = 0;
  for (const auto &[Host, Known] : View.Members) {
    if (isHeardPeer(View, Host, Known, Times, Now))
      ++Count;
  }
  return Count;
}

} // namespace

size_t countKnown(const FleetView &View) {
  size_t Count = 0;
  for (const auto &[Host, Known] : View.Members) {
    if (!Known.Gone || Host == View.Self)
      ++Count;
  }
  return std::max(Count, View.KnownFloor);
}

const char *freshnessName(Freshness Which) {
  switch (Which) {
  case Freshness::Fresh:
    return "fresh";
  case Freshness::Detached:
    return "detached";
  case Freshness::Isolated:
    return "isolated";
  }
  return "unknown";
}

size_t countHeardAtMost(const FleetView &View, Offset Applied,
                        const FleetTimes &Times, Instant Now) {
  size_t Count = 1;
  for (const auto &[Host, Known] : View.Members) {
    if (!isHeardPeer(View, Host, Known, Times, Now))
      continue;
    if (Known.What.Applied <= Applied)
      ++Count;
  }
  return Count;
}

Freshness judgeFreshness(const ViewEvidence &Evidence, const FleetView &View,
                         const FleetTimes &Times, Instant Now) {
  if (!Evidence.EverConfirmed)
    return Freshness::Isolated;
  absl::Duration Age = Now - Evidence.ConfirmedAt;
  if (Age <= Times.FreshnessBound)
    return Freshness::Fresh;
  if (countHeardPeers(View, Times, Now) == 0)
    return Freshness::Isolated;
  auto Self = View.Members.find(View.Self);
  Offset Applied =
      Self == View.Members.end() ? NoOffset : Self->second.What.Applied;
  size_t Heard = countHeardAtMost(View, Applied, Times, Now);
  if (isWellOverHalf(Heard, countKnown(View)))
    return Freshness::Detached;
  return Age <= Times.DetachedFor ? Freshness::Detached : Freshness::Isolated;
}

Acknowledgement judgeAcknowledgement(const FleetView &View, EditWatch &Watch,
                                     const FleetTimes &Times, Instant Now) {
  Acknowledgement Out;
  Out.Known = countKnown(View);
  bool AllConfirmed = true;
  bool SilentHaveStopped =
      Now - Watch.FoldedAt > Times.DetachedFor + Times.FreshnessBound;
  for (const auto &[Host, Known] : View.Members) {
    bool IsSelf = Host == View.Self;
    if (Known.Gone && !IsSelf)
      continue;
    if (Known.What.Applied >= Watch.At) {
      ++Out.Confirmed;
      continue;
    }
    AllConfirmed = false;
    bool IsSilent = !IsSelf && Now - Known.WrittenAt > Times.DetachedFor;
    if (!IsSilent || !SilentHaveStopped)
      Out.Missing.push_back(Host);
  }
  bool Majority = isWellOverHalf(Out.Confirmed, Out.Known);
  if (Majority && !Watch.HasMajority)
    Watch.MajoritySince = Now;
  Watch.HasMajority = Majority;
  bool Stands = Majority &&
                (AllConfirmed || Now - Watch.MajoritySince > Times.HeardWithin);
  Out.InForce = Out.Missing.empty() && Stands;
  return Out;
}

} // namespace berylramp
