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
};

/// Ratings that one host heard for a version under one request kind.
struct RatingTally {
  RequestKindId Kind;
  VersionKey Version;
  int64_t Good = 0;
  int64_t Rated = 0;
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

/// What a host says about itself.
struct Member {
  HostId Host;
  Incarnation Life;
  /// Grows with each change and each exchange.
  int64_t Heartbeat = 0;
  PlaceId Place;
  Endpoint Address;
  bool Leaving = false;
  /// The last word of a planned stop: nothing of this life runs any more.
  bool Finished = false;
  Offset Applied = NoOffset;
  uint64_t TableDigest = 0;
  /// Streams under way.
  int64_t Streams = 0;
  /// Bills of this life up to this sequence number are in the log.
  int64_t BillsLogged = 0;
  std::vector<WorkspaceDemand> Demand;
  std::vector<RatingTally> Ratings;
  std::vector<VersionTrip> Trips;
};

Json::Value memberToJson(const Member &Which);
/// Reads a member; false when the record is malformed.
bool memberFromJson(const Json::Value &Item, Member &Out);

/// A member as this host knows it.
struct KnownMember {
  Member What;
  /// When the subject, as far as this host can show, last wrote the record.
  Instant WrittenAt;
  /// Set once the subject itself said that its life is over.
  bool Gone = false;
};

/// All members, this host included.
struct FleetView {
  HostId Self;
  std::map<HostId, KnownMember> Members;
  /// Where the next digest starts, so that a bounded one covers all in turn.
  HostId DigestCursor;
  /// The size of the fleet when the view was last fresh, here or at a peer. A
  /// cut-off group must not take itself for the whole fleet by forgetting.
  size_t KnownFloor = 0;
};

/// Member records and digest entries that one exchange carries at most. They
/// bound its bytes however large the fleet is.
inline constexpr size_t MaxMembersInExchange = 24;
inline constexpr size_t MaxDigestEntries = 64;

/// What a host holds of a member, for comparing.
struct DigestEntry {
  HostId Host;
  Incarnation Life;
  int64_t Heartbeat = 0;
};

/// Takes a record heard from a peer whose own copy is \p Age old. Returns true
/// when it was newer than what the view had.
bool mergeMember(FleetView &View, const Member &Heard, absl::Duration Age,
                 Instant Now);

/// The next bounded part of the view, for the peer to compare.
std::vector<DigestEntry> makeDigest(FleetView &View);

struct AgedMember {
  Member What;
  absl::Duration Age;
};

/// What the view has newer than \p Theirs, or that \p Theirs should have held,
/// most recently written first, bounded.
std::vector<AgedMember> newerThan(const FleetView &View,
                                  const std::vector<DigestEntry> &Theirs,
                                  Instant Now);

Json::Value digestToJson(const std::vector<DigestEntry> &Digest);
std::vector<DigestEntry> digestFromJson(const Json::Value &Items);
Json::Value agedMembersToJson(const std::vector<AgedMember> &Members);
std::vector<AgedMember> agedMembersFromJson(const Json::Value &Items);

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
};

OthersDemand othersDemand(const FleetView &View, const WorkspaceId &Workspace,
                          const FleetTimes &Times, Instant Now);

/// The part of a limit that every host has whatever the demand, of all hosts
/// together. It bounds what the fleet can exceed a limit by.
inline constexpr double LimitSlack = 0.05;

/// A host's share, 0 to 1, of a limit when \p Mine is its own demand. It
/// follows the demand; with nobody heard it is one over the number of hosts.
double limitShare(double Mine, const OthersDemand &Others);

/// The sum of the ratings that all members reported for one pair.
RatingTally sumRatings(const FleetView &View, const RequestKindId &Kind,
                       const VersionKey &Version);

} // namespace berylramp

#endif // BERYLRAMP_FLEET_H
