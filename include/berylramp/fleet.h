//===- fleet.h - Members, freshness and acknowledgement ---------*- C++ -*-===//
//
// Entry hosts discover each other by gossip. The state of a host is described
// by a Member record that only this host writes. Among records of one host, the
// highest incarnation and then the highest heartbeat wins. All data here is
// advisory, except in two decisions on which the consistency guarantees depend:
// evaluateFreshness() and evaluateAcknowledgement().
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_FLEET_H
#define BERYLRAMP_FLEET_H

#include "absl/time/time.h"
#include "berylramp/timer.h"
#include "berylramp/units.h"
#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace berylramp {

/// One host's request rate for a workspace, on which its limit is divided.
struct WorkspaceDemand {
  WorkspaceId Workspace;
  double RequestsPerSecond = 0;

  friend bool operator==(const WorkspaceDemand &A, const WorkspaceDemand &B) {
    return A.Workspace == B.Workspace &&
           A.RequestsPerSecond == B.RequestsPerSecond;
  }
};

/// The run name of ratings outside any roll-out.
inline constexpr const char *ServingRun = "serving";

/// Ratings that one host has received for a version and a request kind.
struct RatingTally {
  RequestKindId Kind;
  VersionKey Version;
  /// The roll-out's run, or ServingRun.
  std::string Run;
  int64_t Good = 0;
  /// All rated answers, the good ones included.
  int64_t Rated = 0;

  friend bool operator==(const RatingTally &A, const RatingTally &B) {
    return A.Kind == B.Kind && A.Version == B.Version && A.Run == B.Run &&
           A.Good == B.Good && A.Rated == B.Rated;
  }
};

/// A version that a host has put on hold because of bad answers.
struct VersionTrip {
  VersionKey Version;
  std::string Run;
  std::string Evidence;

  friend bool operator==(const VersionTrip &A, const VersionTrip &B) {
    return A.Version == B.Version && A.Run == B.Run;
  }
};

/// The part of a member record that changes rarely or is large.
struct MemberDetail {
  /// Increases with each change; negative while the detail is unknown.
  int64_t Version = -1;
  PlaceId Place;
  Endpoint Address;
  std::vector<WorkspaceDemand> Demand;
  std::vector<RatingTally> Ratings;
  std::vector<VersionTrip> Trips;
};

/// Returns true when two details are equal apart from their versions.
bool hasSameContent(const MemberDetail &A, const MemberDetail &B);

/// The record that a host publishes about itself.
struct Member {
  HostId Host;
  Incarnation HostIncarnation;
  /// Increases whenever the host rewrites its record.
  int64_t Heartbeat = 0;
  /// The host is draining for a planned stop.
  bool Leaving = false;
  /// Set in the last record of a planned stop: nothing of this incarnation runs
  /// any more.
  bool Finished = false;
  /// The offset up to which the host has applied the configuration log.
  Offset Applied = NoOffset;
  int64_t ActiveStreams = 0;
  /// Bills of this incarnation up to this sequence number are in the log.
  int64_t LastLoggedBill = 0;
  MemberDetail Detail;
};

/// The latest record of a member that this host has received.
struct KnownMember {
  Member LatestRecord;
  /// The estimated time at which the subject wrote the record. The estimate may
  /// be later than the true time, since a message may have waited unread while
  /// this host was paused.
  Instant WrittenAt;
  /// Set once the subject itself has reported the end of its incarnation.
  bool HasStopped = false;
  /// The subject wrote this record, or a later one, no earlier than this. The
  /// bound comes only from responses whose round trip was timed by this host or
  /// by others.
  Instant EarliestWrittenAt{-absl::InfiniteDuration()};
};

/// All known members, including this host.
struct FleetView {
  HostId Self;
  std::map<HostId, KnownMember> Members;
  /// The size of the fleet when the view was last fresh, here or at a peer.
  /// Without it, a partitioned group that removes silent members would count
  /// itself as the whole fleet.
  size_t MinKnownMembers = 0;
};

/// Limits on the records and the bytes of details in one message. They bound
/// the size of a message regardless of the size of the fleet.
inline constexpr size_t MaxCoresPerMessage = 24;
inline constexpr size_t NewestCoresPerMessage = 8;
inline constexpr size_t MaxDetailBytes = 2400;

/// The age of a record: an estimate and a proven upper bound.
struct RecordAge {
  absl::Duration Estimated = absl::ZeroDuration();
  absl::Duration UpperBound = absl::InfiniteDuration();
};

/// Merges the core of a record, that is everything but its detail. Returns true
/// when it was newer than the record in the view.
bool mergeCore(FleetView &View, const Member &Received, RecordAge Age,
               Instant Now);
/// Merges a detail if the view has the same incarnation of the host and an
/// older version of the detail.
void mergeDetail(FleetView &View, const HostId &Host,
                 Incarnation HostIncarnation, const MemberDetail &Received);

/// One side's message of an exchange: a selection of the sender's records, and
/// details that the receiver lacks.
struct GossipMessage {
  struct Core {
    Member MemberRecord;
    RecordAge Age;
    /// The version of the detail that the sender holds.
    int64_t HeldDetailVersion = -1;
  };
  struct Detail {
    HostId Host;
    Incarnation HostIncarnation;
    MemberDetail Content;
  };
  std::vector<Core> Cores;
  std::vector<Detail> Details;
  /// True when the cores cover all members in the view of the sender.
  bool IsComplete = false;
};

/// Creates the message that opens an exchange. It carries this host's own
/// detail. \p RandomStart, a new random number for each message, selects the
/// older records that are included.
GossipMessage openExchange(const FleetView &View, Instant Now,
                           size_t RandomStart);
/// Creates the response to \p Request.
GossipMessage answerExchange(const FleetView &View,
                             const GossipMessage &Request, Instant Now,
                             size_t RandomStart);
/// Merges a message; ages are relative to \p Now. \p IsTimed is false for a
/// message that may have waited in a buffer; its ages are then no upper bounds.
void mergeMessage(FleetView &View, const GossipMessage &Received, Instant Now,
                  bool IsTimed);

Json::Value gossipToJson(const GossipMessage &Message);
/// Decodes a message; malformed records are skipped.
GossipMessage gossipFromJson(const Json::Value &Value);
/// The size of the JSON text of a detail, in bytes.
size_t detailBytes(const HostId &Host, const MemberDetail &Source);

/// Durations set by the operator. They must be equal on all hosts of a fleet.
struct FleetTimes {
  /// The maximum age of a fresh view. A host with an older view dispatches only
  /// while it is detached.
  absl::Duration FreshnessBound = absl::Seconds(3);
  /// The longest time that a host with recent records from too few others keeps
  /// serving without a confirmation of its view.
  absl::Duration DetachedTimeout = absl::Seconds(60);
  /// A peer whose latest record is older than this does not count as active.
  absl::Duration PeerSilenceTimeout = absl::Seconds(5);
  /// A member silent for this long is removed from the view.
  absl::Duration MemberRemovalDelay = absl::Minutes(30);
};

/// The share of the known members that forms a supermajority. Two groups of
/// this size always have a member in common.
inline constexpr double SupermajorityShare = 0.6;

enum class Freshness { Fresh, Detached, Isolated };
const char *freshnessName(Freshness Level);

/// Evidence for the age of a host's table.
struct ViewEvidence {
  /// The start of the last check that confirmed the view as current.
  Instant ConfirmedAt;
  bool HasBeenConfirmed = false;
};

/// Fresh: the view was confirmed within the bound. Detached: the host may go on
/// serving with its last view. Isolated: it must refuse requests.
Freshness evaluateFreshness(const ViewEvidence &Evidence, const FleetView &View,
                            const FleetTimes &Times, Instant Now);

/// Counts the members, including this host, whose records are provably recent
/// and that have applied the log no further than \p Applied.
size_t countActiveMembersUpTo(const FleetView &View, Offset Applied,
                              const FleetTimes &Times, Instant Now);

struct Acknowledgement {
  /// True when no host may still serve under the table before the edit.
  bool InForce = false;
  /// Hosts that have applied the edit.
  size_t Confirmed = 0;
  size_t Known = 0;
  /// Hosts that still have to confirm.
  std::vector<HostId> Missing;
};

/// What a host tracks for an edit until its acknowledgement.
struct AcknowledgementState {
  Offset EditOffset = NoOffset;
  /// When this host folded the edit. The edit was appended before.
  Instant FoldedAt;
  /// Whether a supermajority confirms the edit, and since when.
  bool HasMajority = false;
  Instant MajoritySince;
};

/// Decides whether an edit is in force everywhere and records the state of the
/// supermajority in \p State.
Acknowledgement evaluateAcknowledgement(const FleetView &View,
                                        AcknowledgementState &State,
                                        const FleetTimes &Times, Instant Now);

/// The number of members that are known now or that were known when the view
/// was last fresh, whichever is larger.
size_t countKnownMembers(const FleetView &View);

/// Removes members that have been silent for Times.MemberRemovalDelay.
void removeSilentMembers(FleetView &View, const FleetTimes &Times, Instant Now);

/// Hosts last seen within Times.PeerSilenceTimeout and not leaving, including
/// this host.
std::vector<HostId> liveMembers(const FleetView &View, const FleetTimes &Times,
                                Instant Now);

/// Returns true when the incarnation was replaced by a higher one, reported its
/// end, was silent for Times.DetachedTimeout, or belongs to an unknown host.
bool hasIncarnationEnded(const FleetView &View, const HostId &Host,
                         Incarnation HostIncarnation, const FleetTimes &Times,
                         Instant Now);

/// The address of an entry host for callers.
struct EntryAddress {
  HostId Host;
  PlaceId Place;
  Endpoint Address;
};

/// Addresses of live hosts, those in \p PreferredPlace first, then by ascending
/// number of active streams.
std::vector<EntryAddress> entryAddresses(const FleetView &View,
                                         const PlaceId &PreferredPlace,
                                         const FleetTimes &Times, Instant Now);

/// The demand of the other hosts on a workspace's limit, as last received.
struct PeerDemand {
  double RequestsPerSecond = 0;
  /// Hosts that share the limit, including this host.
  size_t Hosts = 1;
  /// False when no other host was seen recently.
  bool HasActivePeers = false;
  /// Since when the other hosts have reported a demand without a break.
  Instant Since;
};

/// The records of all members, aggregated once for many requests.
struct FleetSummary {
  struct KindAndVersion {
    RequestKindId Kind;
    VersionKey Version;
    friend bool operator<(const KindAndVersion &A, const KindAndVersion &B) {
      return A.Version == B.Version ? A.Kind < B.Kind : A.Version < B.Version;
    }
  };
  /// Summed over all runs of a version; input to plans.
  std::map<KindAndVersion, RatingTally> Ratings;
  /// Summed per roll-out run; input to the evaluation of candidates.
  std::vector<RatingTally> RatingsByRun;
  std::vector<VersionTrip> Trips;
  std::map<WorkspaceId, double> PeerDemandRates;
  std::map<WorkspaceId, Instant> PeerDemandSince;
  size_t LiveHosts = 1;
  /// Hosts that share limits, and whether any other host was seen recently.
  size_t SharingHosts = 1;
  bool HasActivePeers = false;
};
/// \p Previous is the last summary; start times of demand are carried over from
/// it.
FleetSummary summarizeFleet(const FleetView &View, const FleetTimes &Times,
                            const FleetSummary &Previous, Instant Now);

PeerDemand peerDemand(const FleetSummary &Summary,
                      const WorkspaceId &Workspace);
/// The sum of the ratings that all members have reported for a request kind and
/// a version.
RatingTally ratingsOf(const FleetSummary &Summary, const RequestKindId &Kind,
                      const VersionKey &Version);

/// The share of a limit that is guaranteed to all hosts together, in even parts
/// and regardless of demand. It bounds how far the fleet can exceed a limit.
inline constexpr double GuaranteedLimitShare = 0.05;

/// A host's share of a limit, 0 to 1. It is proportional to the host's part of
/// the demand; when no other host was seen recently, it is one over the number
/// of hosts.
double limitShare(double OwnDemand, const PeerDemand &Others);

/// The time within which hosts receive each other's demand.
inline constexpr absl::Duration DemandPropagationDelay = absl::Seconds(4);

/// Like limitShare(), but at most an even part while the workspace's demand is
/// new to the whole fleet. Demand may rise on all hosts at once, before any of
/// them has received the demand of the others. \p OwnDemandSince is the start
/// of this host's own demand.
double cappedLimitShare(double OwnDemand, Instant OwnDemandSince,
                        const PeerDemand &Others, Instant Now);

} // namespace berylramp

#endif // BERYLRAMP_FLEET_H
