//===- freshness.cpp - Freshness and acknowledgement of a view ------------===//
//
// Two rules prevent a partitioned group of hosts from serving under an old
// table after an edit was reported as in force.
//
// A group may continue when it receives recent records from a supermajority of
// the known members, none of which has applied more of the log than it has. An
// edit in force was confirmed by a supermajority too, and two such groups share
// a member, so the group would have received that member's higher offset.
//
// A smaller group continues for DetachedTimeout only, counted from the start of
// its last confirmation. That confirmation started before any edit that the
// group has not received was appended. An edit that waits DetachedTimeout for a
// silent host therefore cannot be in force before that host has stopped
// serving. Counting from the last message of the silent host would be wrong:
// the host may have read the log since then without being able to report it.
//
// Only proven ages count. A request may have waited in the socket buffers of a
// paused host, and its records would seem recent when the host resumes.
//
// A received record may be as old as PeerSilenceTimeout. An edit that a silent
// host has not confirmed is therefore in force only after the supermajority has
// lasted for that long.
//
//===----------------------------------------------------------------------===//

#include "berylramp/fleet.h"

#include <algorithm>

namespace berylramp {

namespace {

bool isSupermajority(size_t Part, size_t Whole) {
  return static_cast<double>(Part) >=
         SupermajorityShare * static_cast<double>(Whole);
}

bool isProvablyActivePeer(const FleetView &View, const HostId &Host,
                          const KnownMember &Known, const FleetTimes &Times,
                          Instant Now) {
  return Host != View.Self && !Known.HasStopped &&
         Now - Known.EarliestWrittenAt <= Times.PeerSilenceTimeout;
}

size_t countProvablyActivePeers(const FleetView &View, const FleetTimes &Times,
                                Instant Now) {
  size_t Count = 0;
  for (const auto &[Host, Known] : View.Members) {
    if (isProvablyActivePeer(View, Host, Known, Times, Now))
      ++Count;
  }
  return Count;
}

} // namespace

size_t countKnownMembers(const FleetView &View) {
  size_t Count = 0;
  for (const auto &[Host, Known] : View.Members) {
    if (!Known.HasStopped || Host == View.Self)
      ++Count;
  }
  return std::max(Count, View.MinKnownMembers);
}

const char *freshnessName(Freshness Level) {
  switch (Level) {
  case Freshness::Fresh:
    return "fresh";
  case Freshness::Detached:
    return "detached";
  case Freshness::Isolated:
    return "isolated";
  }
  return "unknown";
}

size_t countActiveMembersUpTo(const FleetView &View, Offset Applied,
                              const FleetTimes &Times, Instant Now) {
  size_t Count = 1;
  for (const auto &[Host, Known] : View.Members) {
    if (!isProvablyActivePeer(View, Host, Known, Times, Now))
      continue;
    if (Known.LatestRecord.Applied <= Applied)
      ++Count;
  }
  return Count;
}

Freshness evaluateFreshness(const ViewEvidence &Evidence, const FleetView &View,
                            const FleetTimes &Times, Instant Now) {
  if (!Evidence.HasBeenConfirmed)
    return Freshness::Isolated;
  absl::Duration Age = Now - Evidence.ConfirmedAt;
  if (Age <= Times.FreshnessBound)
    return Freshness::Fresh;
  if (countProvablyActivePeers(View, Times, Now) == 0)
    return Freshness::Isolated;
  auto Self = View.Members.find(View.Self);
  Offset Applied =
      Self == View.Members.end() ? NoOffset : Self->second.LatestRecord.Applied;
  size_t ActiveMembers = countActiveMembersUpTo(View, Applied, Times, Now);
  if (isSupermajority(ActiveMembers, countKnownMembers(View)))
    return Freshness::Detached;
  return Age <= Times.DetachedTimeout ? Freshness::Detached
                                      : Freshness::Isolated;
}

Acknowledgement evaluateAcknowledgement(const FleetView &View,
                                        AcknowledgementState &State,
                                        const FleetTimes &Times, Instant Now) {
  Acknowledgement Result;
  Result.Known = countKnownMembers(View);
  bool AllConfirmed = true;
  bool SilentHostsHaveStopped =
      Now - State.FoldedAt > Times.DetachedTimeout + Times.FreshnessBound;
  for (const auto &[Host, Known] : View.Members) {
    bool IsSelf = Host == View.Self;
    if (Known.HasStopped && !IsSelf)
      continue;
    if (Known.LatestRecord.Applied >= State.EditOffset) {
      ++Result.Confirmed;
      continue;
    }
    AllConfirmed = false;
    bool IsSilent = !IsSelf && Now - Known.WrittenAt > Times.DetachedTimeout;
    if (!IsSilent || !SilentHostsHaveStopped)
      Result.Missing.push_back(Host);
  }
  bool Majority = isSupermajority(Result.Confirmed, Result.Known);
  if (Majority && !State.HasMajority)
    State.MajoritySince = Now;
  State.HasMajority = Majority;
  bool IsStableMajority =
      Majority &&
      (AllConfirmed || Now - State.MajoritySince > Times.PeerSilenceTimeout);
  Result.InForce = Result.Missing.empty() && IsStableMajority;
  return Result;
}

} // namespace berylramp
