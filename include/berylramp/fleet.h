//===- fleet.h - Members, freshness and acknowledgement ---------*- C++ -*-===//
//
// Entry hosts learn of each other by gossip. What a host knows of another is
// a Member record that only its subject writes; the highest incarnation and
// then the highest heartbeat win. Everything here is a hint but for two
// decisions, which the promises rest on: judgeFreshness() and
// judgeAcknowledgement().
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

/// What one host asks of a workspace's limit, per second.
struct WorkspaceDemand {
  WorkspaceId Workspace;
  double RequestsPerSecond = 0;

  friend bool operator==(const WorkspaceDemand &A, const WorkspaceDemand &B) {
    return A.Workspace == B.Workspace &&
           A.RequestsPerSecond == B.RequestsPerSecond;
  }
};

/// The run of ratings outside any roll-out.
inline constexpr const char *ServingRun = "serving";

/// Ratings that one host heard for a version under one request kind.
struct RatingTally {
  RequestKindId Kind;
  VersionKey Version;
  /// The roll-out's run, or ServingRun.
  std::string Run;
  int64_t Good = 0;
  int64_t Rated = 0;

  friend bool operator==(const RatingTally &A, const RatingTally &B) {
    return A.Kind == B.Kind && A.Version == B.Version && A.Run == B.Run &&
           A.Good == B.Good && A.Rated == B.Rated;
  }
};

/// A version that a host holds because its answers turned bad.
struct VersionTrip {
  VersionKey Version;
  std::string Run;
  std::string Evidence;

  friend bool operator==(const VersionTrip &A, const VersionTrip &B) {
    return A.Version == B.Version && A.Run == B.Run;
  }
};

/// The part of what a host says about itself that changes seldom or is large.
struct MemberDetail {
  /// Grows with each change; negative while nothing is known.
  int64_t Version = -1;
  PlaceId Place;
  Endpoint Address;
  std::vector<WorkspaceDemand> Demand;
  std::vector<RatingTally> Ratings;
  std::vector<VersionTrip> Trips;
};

/// True when two details say the same, whatever their versions.
bool sameDetail(const MemberDetail &A, const MemberDetail &B);

/// What a host says about itself.
struct Member {
  HostId Host;
  Incarnation Life;
  /// Grows with each exchange.
  int64_t Heartbeat = 0;
  bool Leaving = false;
  /// The last word of a planned stop: nothing of this life runs any more.
  bool Finished = false;
  Offset Applied = NoOffset;
  /// Streams under way.
  int64_t Streams = 0;
  /// Bills of this life up to this sequence number are in the log.
  int64_t BillsLogged = 0;
  MemberDetail Detail;
};

/// A member as this host knows it.
struct KnownMember {
  Member What;
  /// When the subject seems to have written the record: a hint, since a
  /// message may have waited unread while this host was paused.
  Instant WrittenAt;
  /// Set once the subject itself said that its life is over.
  bool Gone = false;
  /// The subject wrote this record, or a later one, no earlier than this. Only
  /// answers whose round trip was timed show it, by this host or by others.
  Instant ProvenAt{-absl::InfiniteDuration()};
};

/// All members, this host included.
struct FleetView {
  HostId Self;
  std::map<HostId, KnownMember> Members;
  /// The size of the fleet when the view was last fresh, here or at a peer. A
  /// cut-off group must not take itself for the whole fleet by forgetting.
  size_t KnownFloor = 0;
};

/// Records that one message carries at most, and the bytes of details. They
/// bound a message however large the fleet is.
inline constexpr size_t MaxCoresInMessage = 24;
inline constexpr size_t YoungestInMessage = 8;
inline constexpr size_t MaxDetailBytes = 2400;

/// How old a record is: as it seems, and as it was shown to be at most.
struct RecordAge {
  absl::Duration Seeming = absl::ZeroDuration();
  absl::Duration Proven = absl::InfiniteDuration();
};

/// Takes the core of a record, all but its detail. Returns true when it was
/// newer than what the view had.
bool mergeCore(FleetView &View, const Member &Heard, RecordAge Age,
               Instant Now);
/// Takes a detail of a life that the view knows.
void mergeDetail(FleetView &View, const HostId &Host, Incarnation Life,
                 const MemberDetail &Heard);

/// What one side of an exchange tells the other: the youngest records that it
/// has, and details that the other lacks.
struct GossipMessage {
  struct Core {
    Member What;
    RecordAge Age;
    /// The version of the detail that the sender holds.
    int64_t HeldDetail = -1;
  };
  struct Detail {
    HostId Host;
    Incarnation Life;
    MemberDetail What;
  };
  std::vector<Core> Cores;
  std::vector<Detail> Details;
  /// True when the cores are all that the sender knows.
  bool IsWhole = false;
};

/// The message that opens an exchange; it carries this host's own detail.
/// \p Turn is random for each message: it picks which older records go along.
GossipMessage openExchange(const FleetView &View, Instant Now, size_t Turn);
/// The message that answers \p Theirs.
GossipMessage answerExchange(const FleetView &View, const GossipMessage &Theirs,
                             Instant Now, size_t Turn);
/// Takes a message; ages count back from \p Now. \p IsTimed is false for a
/// message that may have waited: its ages then prove nothing.
void mergeMessage(FleetView &View, const GossipMessage &Heard, Instant Now,
                  bool IsTimed);

Json::Value gossipToJson(const GossipMessage &Message);
/// Reads a message; malformed records are left out.
GossipMessage gossipFromJson(const Json::Value &Value);
/// How many bytes the JSON text of a detail takes.
size_t detailBytes(const HostId &Host, const MemberDetail &Which);

/// Times that the operator sets and that all hosts of a fleet share.
struct FleetTimes {
  /// The oldest view on which a request may be dispatched.
  absl::Duration FreshnessBound = absl::Seconds(3);
  /// How long a host that hears few others goes on without the log.
  absl::Duration DetachedFor = absl::Seconds(60);
  /// A peer not heard for this long is not counted as heard.
  absl::Duration HeardWithin = absl::Seconds(5);
  /// A member silent for this long is forgotten altogether.
  absl::Duration ForgetAfter = absl::Minutes(30);
};

/// The share of the known members that counts as well over half. Two groups
/// of that size always have a member in common.
inline constexpr double WellOverHalf = 0.6;

enum class Freshness { Fresh, Detached, Isolated };
const char *freshnessName(Freshness Which);

/// What a host can show about the age of its table.
struct ViewEvidence {
  /// When the last confirmation that the view is current began.
  Instant ConfirmedAt;
  bool EverConfirmed = false;
};

/// Judges how recent the view of the table is.
Freshness judgeFreshness(const ViewEvidence &Evidence, const FleetView &View,
                         const FleetTimes &Times, Instant Now);

/// Members that this host heard within the bound and that have applied no more
/// of the log than it has; itself included.
size_t countHeardAtMost(const FleetView &View, Offset Applied,
                        const FleetTimes &Times, Instant Now);

struct Acknowledgement {
  bool InForce = false;
  size_t Confirmed = 0;
  size_t Known = 0;
  /// Hosts that still have to confirm.
  std::vector<HostId> Missing;
};

/// What a host remembers of an edit whose acknowledgement it judges.
struct EditWatch {
  Offset At = NoOffset;
  /// When this host folded the edit; it was appended earlier.
  Instant FoldedAt;
  /// When well over half were first seen to have confirmed it.
  bool HasMajority = false;
  Instant MajoritySince;
};

/// Whether an edit is in force everywhere; notes a majority in \p Watch.
Acknowledgement judgeAcknowledgement(const FleetView &View, EditWatch &Watch,
                                     const FleetTimes &Times, Instant Now);

/// The members known now, or when the view was last fresh, if those were more.
size_t countKnown(const FleetView &View);

/// Drops members that have been silent for Times.ForgetAfter.
void forgetSilent(FleetView &View, const FleetTimes &Times, Instant Now);

/// Hosts heard within the bound and not leaving, this host included.
std::vector<HostId> liveMembers(const FleetView &View, const FleetTimes &Times,
                                Instant Now);

/// Members whose life is over: replaced by a higher one, said gone, or silent
/// for Times.DetachedFor.
bool isGone(const FleetView &View, const HostId &Host, Incarnation Life,
            const FleetTimes &Times, Instant Now);

/// One address that callers may use.
struct EntryAddress {
  HostId Host;
  PlaceId Place;
  Endpoint Address;
};

/// Addresses for callers near \p Near: that place first, then by load.
std::vector<EntryAddress> entryAddresses(const FleetView &View,
                                         const PlaceId &Near,
                                         const FleetTimes &Times, Instant Now);

/// What the other hosts ask of a workspace's limit, as far as heard.
struct OthersDemand {
  double RequestsPerSecond = 0;
  /// Hosts that share the limit, this host included.
  size_t Hosts = 1;
  /// False when no other host was heard lately.
  bool IsHeard = false;
  /// Since when this host has heard of such a demand without a break.
  Instant Since;
};

/// What all members together say, summed up once for many requests.
struct FleetSummary {
  struct PairKey {
    RequestKindId Kind;
    VersionKey Version;
    friend bool operator<(const PairKey &A, const PairKey &B) {
      return A.Version == B.Version ? A.Kind < B.Kind : A.Version < B.Version;
    }
  };
  /// Over all runs of a version: what plans believe.
  std::map<PairKey, RatingTally> Ratings;
  /// By run: what a candidate is judged by.
  std::vector<RatingTally> RunRatings;
  std::vector<VersionTrip> Trips;
  std::map<WorkspaceId, double> DemandOfOthers;
  std::map<WorkspaceId, Instant> DemandSince;
  size_t LiveHosts = 1;
  /// Hosts that share limits, and whether any other was heard.
  size_t SharingHosts = 1;
  bool IsHeard = false;
};
/// \p Before is the last summary: it tells since when demand was heard.
FleetSummary summarizeFleet(const FleetView &View, const FleetTimes &Times,
                            const FleetSummary &Before, Instant Now);

OthersDemand othersDemand(const FleetSummary &Summary,
                          const WorkspaceId &Workspace);
/// The sum of the ratings that all members reported for one pair.
RatingTally ratingsOf(const FleetSummary &Summary, const RequestKindId &Kind,
                      const VersionKey &Version);

/// The part of a limit that every host has whatever the demand, of all hosts
/// together. It bounds what the fleet can exceed a limit by.
inline constexpr double LimitSlack = 0.05;

/// A host's share, 0 to 1, of a limit when \p Mine is its own demand. It
/// follows the demand; with nobody heard it is one over the number of hosts.
double limitShare(double Mine, const OthersDemand &Others);

/// How long hosts take to hear of each other's demand.
inline constexpr absl::Duration DemandSettles = absl::Seconds(4);

/// Like limitShare(), but at most an even part while the workspace's demand is
/// new to the whole fleet: all hosts may see it rise at once, unheard.
/// \p MineSince is when this host's own demand began.
double settledLimitShare(double Mine, Instant MineSince,
                         const OthersDemand &Others, Instant Now);

} // namespace berylramp

#endif // BERYLRAMP_FLEET_H
