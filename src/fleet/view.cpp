//===- view.cpp - Merges and aggregates member records --------------------===//
//
// A record is sent with its age, so that a record forwarded by many hosts never
// appears newer than it is. Messages prefer the newest records: where this host
// has only an old record, its peers get a newer one from other hosts.
//
//===----------------------------------------------------------------------===//

#include "berylramp/fleet.h"

#include <algorithm>

namespace berylramp {

namespace {

bool isNewer(const Member &A, const Member &B) {
  if (A.HostIncarnation != B.HostIncarnation)
    return A.HostIncarnation > B.HostIncarnation;
  return A.Heartbeat > B.Heartbeat;
}

bool wasSeenRecently(const KnownMember &Known, const FleetTimes &Times,
                     Instant Now) {
  return !Known.HasStopped && Now - Known.WrittenAt <= Times.PeerSilenceTimeout;
}

GossipMessage::Core coreOf(const KnownMember &Known, Instant Now) {
  GossipMessage::Core Result;
  Result.MemberRecord = Known.LatestRecord;
  Result.MemberRecord.Detail = MemberDetail{};
  Result.Age = RecordAge{Now - Known.WrittenAt, Now - Known.EarliestWrittenAt};
  Result.HeldDetailVersion = Known.LatestRecord.Detail.Version;
  return Result;
}

/// Selects the newest records, including this host's own, and then consecutive
/// other records from \p RandomStart on, so that each record is sent
/// eventually. With the newest records alone, slightly older ones would never
/// be sent.
std::vector<GossipMessage::Core> selectCores(const FleetView &View, Instant Now,
                                             size_t RandomStart) {
  std::vector<const KnownMember *> All;
  All.reserve(View.Members.size());
  for (const auto &[Host, Known] : View.Members)
    All.push_back(&Known);
  size_t CoreCount = std::min(All.size(), MaxCoresPerMessage);
  size_t NewestCount = std::min(CoreCount, NewestCoresPerMessage);
  std::partial_sort(All.begin(), All.begin() + static_cast<long>(NewestCount),
                    All.end(), [](const KnownMember *A, const KnownMember *B) {
                      return B->WrittenAt < A->WrittenAt;
                    });
  std::vector<GossipMessage::Core> Selected;
  Selected.reserve(CoreCount);
  for (size_t I = 0; I < NewestCount; ++I)
    Selected.push_back(coreOf(*All[I], Now));
  size_t Others = All.size() - NewestCount;
  for (size_t I = 0; Selected.size() < CoreCount; ++I)
    Selected.push_back(
        coreOf(*All[NewestCount + (RandomStart + I) % Others], Now));
  return Selected;
}

const GossipMessage::Core *findCore(const GossipMessage &Message,
                                    const HostId &Host) {
  for (const GossipMessage::Core &Candidate : Message.Cores) {
    if (Candidate.MemberRecord.Host == Host)
      return &Candidate;
  }
  return nullptr;
}

/// Returns true when the sender of \p Request lacks the detail in \p Known.
bool lacksDetail(const GossipMessage &Request, const KnownMember &Known) {
  if (Known.LatestRecord.Detail.Version < 0)
    return false;
  const GossipMessage::Core *Held = findCore(Request, Known.LatestRecord.Host);
  if (Held == nullptr)
    return Request.IsComplete;
  if (Held->MemberRecord.HostIncarnation != Known.LatestRecord.HostIncarnation)
    return Held->MemberRecord.HostIncarnation <
           Known.LatestRecord.HostIncarnation;
  return Held->HeldDetailVersion < Known.LatestRecord.Detail.Version;
}

} // namespace

bool hasSameContent(const MemberDetail &A, const MemberDetail &B) {
  return A.Place == B.Place && A.Address == B.Address && A.Demand == B.Demand &&
         A.Ratings == B.Ratings && A.Trips == B.Trips;
}

bool mergeCore(FleetView &View, const Member &Received, RecordAge Age,
               Instant Now) {
  if (Received.Host == View.Self)
    return false;
  auto [Found, IsNew] = View.Members.try_emplace(Received.Host);
  KnownMember &Known = Found->second;
  bool IsSameIncarnation =
      !IsNew && Known.LatestRecord.HostIncarnation == Received.HostIncarnation;
  bool IsOlder = !IsNew && isNewer(Known.LatestRecord, Received);
  if (IsOlder)
    return false;
  Instant EarliestWrite = Now + -Age.UpperBound;
  if (!IsSameIncarnation || Known.EarliestWrittenAt < EarliestWrite)
    Known.EarliestWrittenAt = EarliestWrite;
  bool IsRepeat =
      IsSameIncarnation && Known.LatestRecord.Heartbeat == Received.Heartbeat;
  if (IsRepeat)
    return false;
  MemberDetail RetainedDetail;
  if (IsSameIncarnation)
    RetainedDetail = std::move(Known.LatestRecord.Detail);
  Known.LatestRecord = Received;
  Known.LatestRecord.Detail = std::move(RetainedDetail);
  Known.WrittenAt = Now + -Age.Estimated;
  Known.HasStopped = Received.Finished;
  return true;
}

void mergeDetail(FleetView &View, const HostId &Host,
                 Incarnation HostIncarnation, const MemberDetail &Received) {
  auto Found = View.Members.find(Host);
  if (Host == View.Self || Found == View.Members.end())
    return;
  Member &Record = Found->second.LatestRecord;
  if (Record.HostIncarnation == HostIncarnation &&
      Record.Detail.Version < Received.Version)
    Record.Detail = Received;
}

GossipMessage openExchange(const FleetView &View, Instant Now,
                           size_t RandomStart) {
  GossipMessage Result;
  Result.Cores = selectCores(View, Now, RandomStart);
  Result.IsComplete = Result.Cores.size() == View.Members.size();
  auto Self = View.Members.find(View.Self);
  if (Self != View.Members.end()) {
    const Member &Record = Self->second.LatestRecord;
    Result.Details.push_back(
        {Record.Host, Record.HostIncarnation, Record.Detail});
  }
  return Result;
}

GossipMessage answerExchange(const FleetView &View,
                             const GossipMessage &Request, Instant Now,
                             size_t RandomStart) {
  GossipMessage Answer;
  Answer.Cores = selectCores(View, Now, RandomStart);
  Answer.IsComplete = Answer.Cores.size() == View.Members.size();
  std::vector<const KnownMember *> MissingAtSender;
  for (const auto &[Host, Known] : View.Members) {
    if (lacksDetail(Request, Known))
      MissingAtSender.push_back(&Known);
  }
  std::sort(MissingAtSender.begin(), MissingAtSender.end(),
            [](const KnownMember *A, const KnownMember *B) {
              return B->WrittenAt < A->WrittenAt;
            });
  size_t Bytes = 0;
  for (const KnownMember *Known : MissingAtSender) {
    const Member &Record = Known->LatestRecord;
    Bytes += detailBytes(Record.Host, Record.Detail);
    // At least one detail is sent; otherwise a detail larger than the limit
    // would never be sent.
    if (Bytes > MaxDetailBytes && !Answer.Details.empty())
      break;
    Answer.Details.push_back(
        {Record.Host, Record.HostIncarnation, Record.Detail});
  }
  return Answer;
}

void mergeMessage(FleetView &View, const GossipMessage &Received, Instant Now,
                  bool IsTimed) {
  for (const GossipMessage::Core &Entry : Received.Cores) {
    RecordAge Age = Entry.Age;
    if (!IsTimed)
      Age.UpperBound = absl::InfiniteDuration();
    mergeCore(View, Entry.MemberRecord, Age, Now);
  }
  for (const GossipMessage::Detail &Entry : Received.Details)
    mergeDetail(View, Entry.Host, Entry.HostIncarnation, Entry.Content);
}

void removeSilentMembers(FleetView &View, const FleetTimes &Times,
                         Instant Now) {
  for (auto Entry = View.Members.begin(); Entry != View.Members.end();) {
    bool IsSelf = Entry->first == View.Self;
    bool IsSilent = Now - Entry->second.WrittenAt > Times.MemberRemovalDelay;
    if (IsSilent && !IsSelf)
      Entry = View.Members.erase(Entry);
    else
      ++Entry;
  }
}

std::vector<HostId> liveMembers(const FleetView &View, const FleetTimes &Times,
                                Instant Now) {
  std::vector<HostId> Live;
  for (const auto &[Host, Known] : View.Members) {
    bool IsSelf = Host == View.Self;
    if ((IsSelf || wasSeenRecently(Known, Times, Now)) &&
        !Known.LatestRecord.Leaving)
      Live.push_back(Host);
  }
  return Live;
}

bool hasIncarnationEnded(const FleetView &View, const HostId &Host,
                         Incarnation HostIncarnation, const FleetTimes &Times,
                         Instant Now) {
  auto Found = View.Members.find(Host);
  if (Found == View.Members.end())
    return true;
  const KnownMember &Known = Found->second;
  if (Known.LatestRecord.HostIncarnation > HostIncarnation || Known.HasStopped)
    return true;
  return Now - Known.WrittenAt > Times.DetachedTimeout;
}

std::vector<EntryAddress> entryAddresses(const FleetView &View,
                                         const PlaceId &PreferredPlace,
                                         const FleetTimes &Times, Instant Now) {
  std::vector<const Member *> Candidates;
  for (const auto &[Host, Known] : View.Members) {
    bool IsSelf = Host == View.Self;
    bool HasAddress = Known.LatestRecord.Detail.Version >= 0;
    if (HasAddress && (IsSelf || wasSeenRecently(Known, Times, Now)) &&
        !Known.LatestRecord.Leaving)
      Candidates.push_back(&Known.LatestRecord);
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [&PreferredPlace](const Member *A, const Member *B) {
              bool IsAPreferred = A->Detail.Place == PreferredPlace;
              bool IsBPreferred = B->Detail.Place == PreferredPlace;
              if (IsAPreferred != IsBPreferred)
                return IsAPreferred;
              if (A->ActiveStreams != B->ActiveStreams)
                return A->ActiveStreams < B->ActiveStreams;
              return A->Host < B->Host;
            });
  std::vector<EntryAddress> Addresses;
  Addresses.reserve(Candidates.size());
  for (const Member *Candidate : Candidates)
    Addresses.push_back(EntryAddress{Candidate->Host, Candidate->Detail.Place,
                                     Candidate->Detail.Address});
  return Addresses;
}

namespace {

/// Ratings are summed per run for roll-outs only; these are few.
void addRunRating(FleetSummary &Result, const RatingTally &Tally) {
  if (Tally.Run == ServingRun)
    return;
  for (RatingTally &Sum : Result.RatingsByRun) {
    if (Sum.Kind != Tally.Kind || Sum.Version != Tally.Version ||
        Sum.Run != Tally.Run)
      continue;
    Sum.Good += Tally.Good;
    Sum.Rated += Tally.Rated;
    return;
  }
  Result.RatingsByRun.push_back(Tally);
}

} // namespace

FleetSummary summarizeFleet(const FleetView &View, const FleetTimes &Times,
                            const FleetSummary &Previous, Instant Now) {
  FleetSummary Result;
  Result.LiveHosts = liveMembers(View, Times, Now).size();
  size_t KnownPeers = 0;
  size_t ActivePeers = 0;
  for (const auto &[Host, MemberEntry] : View.Members) {
    const MemberDetail &Detail = MemberEntry.LatestRecord.Detail;
    for (const RatingTally &Tally : Detail.Ratings) {
      RatingTally &Sum =
          Result
              .Ratings[FleetSummary::KindAndVersion{Tally.Kind, Tally.Version}];
      Sum.Good += Tally.Good;
      Sum.Rated += Tally.Rated;
      addRunRating(Result, Tally);
    }
    for (const VersionTrip &Trip : Detail.Trips) {
      if (std::find(Result.Trips.begin(), Result.Trips.end(), Trip) ==
          Result.Trips.end())
        Result.Trips.push_back(Trip);
    }
    if (Host == View.Self || MemberEntry.HasStopped)
      continue;
    ++KnownPeers;
    if (!wasSeenRecently(MemberEntry, Times, Now))
      continue;
    ++ActivePeers;
    for (const WorkspaceDemand &Demand : Detail.Demand)
      Result.PeerDemandRates[Demand.Workspace] += Demand.RequestsPerSecond;
  }
  for (const auto &[Workspace, Demand] : Result.PeerDemandRates) {
    auto PreviousEntry = Previous.PeerDemandSince.find(Workspace);
    bool IsNew = PreviousEntry == Previous.PeerDemandSince.end();
    Result.PeerDemandSince[Workspace] = IsNew ? Now : PreviousEntry->second;
  }
  Result.HasActivePeers = ActivePeers > 0;
  // When no other host was seen recently, all known ones may still be serving
  // and keep their shares.
  Result.SharingHosts = 1 + (Result.HasActivePeers ? ActivePeers : KnownPeers);
  return Result;
}

PeerDemand peerDemand(const FleetSummary &Summary,
                      const WorkspaceId &Workspace) {
  PeerDemand Result{0, Summary.SharingHosts, Summary.HasActivePeers, Instant{}};
  auto Found = Summary.PeerDemandRates.find(Workspace);
  if (Found == Summary.PeerDemandRates.end())
    return Result;
  Result.RequestsPerSecond = Found->second;
  Result.Since = Summary.PeerDemandSince.at(Workspace);
  return Result;
}

RatingTally ratingsOf(const FleetSummary &Summary, const RequestKindId &Kind,
                      const VersionKey &Version) {
  auto Found =
      Summary.Ratings.find(FleetSummary::KindAndVersion{Kind, Version});
  if (Found == Summary.Ratings.end())
    return RatingTally{Kind, Version, "", 0, 0};
  return Found->second;
}

double cappedLimitShare(double OwnDemand, Instant OwnDemandSince,
                        const PeerDemand &Others, Instant Now) {
  double Share = limitShare(OwnDemand, Others);
  bool IsOwnDemandNew = Now - OwnDemandSince < DemandPropagationDelay;
  bool IsPeerDemandNew = Others.RequestsPerSecond <= 0 ||
                         Now - Others.Since < DemandPropagationDelay;
  if (!IsOwnDemandNew || !IsPeerDemandNew)
    return Share;
  return std::min(Share, 1.0 / static_cast<double>(Others.Hosts));
}

double limitShare(double OwnDemand, const PeerDemand &Others) {
  double EvenShare = 1.0 / static_cast<double>(Others.Hosts);
  if (!Others.HasActivePeers)
    return EvenShare;
  double All = OwnDemand + Others.RequestsPerSecond;
  double DemandShare = All > 0 ? OwnDemand / All : EvenShare;
  return std::max(DemandShare, GuaranteedLimitShare * EvenShare);
}

} // namespace berylramp
