//===- dispatch.h - Whether a request is sent, waits or is refused -*- C++ -*-//
//
// When replicas are short of room, requests are sent in order of urgency: less
// urgent ones wait at the host, so that their work does not queue inside the
// replicas ahead of more urgent requests. The code performs no I/O and reads no
// clock.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_DISPATCH_H
#define BERYLRAMP_DISPATCH_H

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "berylramp/routes.h"
#include "berylramp/timer.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace berylramp {

/// The priorities of the requests to one service.
struct UrgencyClasses {
  /// Without duplicates, the most urgent one first.
  std::vector<int> Priorities;
  /// The shortest response target of the most urgent routes.
  absl::Duration UrgentTarget;

  bool differ() const { return this->Priorities.size() > 1; }
  /// The number of more urgent priorities.
  int rankOf(int Priority) const;
};

UrgencyClasses urgencyClasses(const RouteTable &Table,
                              const ServiceId &Service);

struct DispatchSettings {
  /// Wait at a replica up to which a request of the second class is sent, as a
  /// share of the most urgent routes' target. It halves with each further
  /// class.
  double HeadRoomShare = 0.25;
  /// The same for a request that has no slack left, whatever its class.
  double AgedShare = 0.5;
  /// Share of the recent work of a class that is sent whatever the wait.
  double FloorRatio = 0.3;
  /// A request is refused if the queue ahead of it is expected to take more
  /// than this share of its remaining time.
  double QueueDeadlineShare = 0.8;
  /// Requests per slot above which new requests are refused.
  double MaxUtilization = 2.5;
  /// Time by which a request is sent before its latest start.
  absl::Duration Margin = absl::Milliseconds(50);
  /// Maximum time between two decisions on a waiting request.
  absl::Duration RetryInterval = absl::Milliseconds(50);
  /// Bounds for the waiting requests of a host.
  size_t MaxWaiting = 512;
  size_t MaxWaitingBytes = 8U << 20;
};

/// A request and the room that it finds.
struct DispatchQuery {
  Instant Now;
  Instant ArrivedAt;
  Instant DeadlineAt;
  /// The route's response target and timeout.
  absl::Duration Target;
  absl::Duration Timeout;
  /// The response target of the service's most urgent routes.
  absl::Duration UrgentTarget;
  /// The number of more urgent classes.
  int Rank = 0;
  /// The request's workspace uses more than its share.
  bool OverShare = false;
  /// Less than the floor of the class's recent work was sent.
  bool BelowFloor = false;
  /// The expected wait at the chosen replica, and the work of the request.
  absl::Duration Wait;
  absl::Duration Work;
  /// The mean wait at the replicas.
  absl::Duration MeanWait;
  /// Requests per slot, over all replicas.
  double Utilization = 0;
  /// Replicas reported requests that wait for a slot or for memory.
  bool ReplicasQueue = false;
  /// Time until the requests ahead in this host's queue are sent.
  absl::Duration QueueWait;
  /// A new request that would overtake requests that wait.
  bool Overtakes = false;
  bool QueueHasSpace = true;
  /// A random number in [0, 1) that spreads the returns of refused callers.
  double Spread = 0.5;
};

enum class DispatchAction { Send, Wait, Refuse };

enum class DispatchReason {
  /// There is room.
  Room,
  /// No other class is more urgent.
  MostUrgent,
  /// The request has no slack left.
  LatestStart,
  /// The floor of the request's class.
  Floor,
  /// The host's queue has reached its bounds.
  QueueFull,
  /// More urgent requests need the room.
  HeadRoom,
  /// Requests of the same or a more urgent class wait.
  Order,
  /// The request would not be served before its deadline.
  Deadline,
  /// The replicas' queues are full.
  Utilization
};

const char *dispatchReasonName(DispatchReason Reason);

struct DispatchDecision {
  DispatchAction Action = DispatchAction::Send;
  DispatchReason Reason = DispatchReason::Room;
  /// Set if the request is refused.
  absl::Duration RetryAfter;
  /// The wait at a replica up to which the request is sent.
  absl::Duration WaitBound;
};

DispatchDecision decideDispatch(const DispatchQuery &Query,
                                const DispatchSettings &Settings);

/// The time by which the request has to be sent to be in time or, once that
/// has passed, to be served before its deadline.
Instant latestStart(const DispatchQuery &Query,
                    const DispatchSettings &Settings);

/// Amounts that decay with time, by key.
class DecayingSum {
public:
  explicit DecayingSum(absl::Duration TimeConstant)
      : TimeConstant(TimeConstant) {}

  void add(double Amount, Instant Now);
  double value(Instant Now) const;
  /// The mean amount per second.
  double rate(Instant Now) const;

private:
  absl::Duration TimeConstant;
  double Sum = 0;
  Instant At;
};

/// Identifies a waiting request within its queue.
using WaiterId = uint64_t;

/// A request that waits at this host.
struct Waiter {
  WaiterId Id = 0;
  /// The number of more urgent classes, with one more if the workspace uses
  /// more than its share.
  int Rank = 0;
  Instant LatestStart;
  Instant Since;
  absl::Duration Work;
  size_t Bytes = 0;
};

/// The waiting requests of one service, in order of rank and latest start.
class DispatchQueue {
public:
  void add(const Waiter &Entry);
  void remove(WaiterId Id);
  bool empty() const { return this->Entries.empty(); }
  size_t size() const { return this->Entries.size(); }
  size_t bytes() const { return this->Bytes; }
  /// The first request of each rank, the most urgent one first.
  std::vector<WaiterId> heads() const;
  /// The requests whose latest start is not after \p Now, at most \p MaxCount.
  std::vector<WaiterId> due(Instant Now, size_t MaxCount) const;

  /// Records the work of a request of class \p Rank that arrived or was sent.
  void onOffered(int Rank, absl::Duration Work, Instant Now);
  void onSent(int Rank, absl::Duration Work, Instant Now);
  /// Whether less than \p FloorRatio of the recent work of \p Rank was sent.
  bool isBelowFloor(int Rank, double FloorRatio, Instant Now) const;
  /// Whether requests of \p Rank or a more urgent rank wait.
  bool hasAhead(int Rank) const;
  /// Time until the work that waits ahead of a new request of \p Rank is sent
  /// at the recent rate.
  absl::Duration waitAhead(int Rank, Instant Now) const;

private:
  struct RankState {
    std::set<std::pair<absl::Duration, WaiterId>> Order;
    absl::Duration Work;
    DecayingSum Offered{absl::Seconds(5)};
    DecayingSum Sent{absl::Seconds(5)};
  };
  std::map<int, RankState> Ranks;
  absl::flat_hash_map<WaiterId, Waiter> Entries;
  size_t Bytes = 0;
  DecayingSum SentWork{absl::Seconds(2)};
};

/// The recent use of one workspace, as a share of the use of all.
struct WorkspaceShare {
  /// Hash of the workspace's id.
  uint64_t Workspace = 0;
  double Recent = 0;
  double Usual = 0;
};

/// The largest shares; at most MaxReportedShares fit a datagram.
using WorkspaceShares = std::vector<WorkspaceShare>;
inline constexpr size_t MaxReportedShares = 8;

/// The shares of workspaces in the use of a service, measured at this host and
/// averaged with what other hosts reported. A host that hears no other host
/// takes its own part for the whole.
class ShareTable {
public:
  void onUse(uint64_t Workspace, double Amount, Instant Now);
  /// Moves the shares towards the use that this host measured.
  void update(Instant Now);
  /// Moves the shares towards those of another host.
  void merge(const WorkspaceShares &Reported);
  WorkspaceShares report() const;
  /// Whether the workspace's recent share is well above its usual one and above
  /// an equal part.
  bool isOverShare(uint64_t Workspace) const;
  double recentShare(uint64_t Workspace) const;

private:
  struct Use {
    double Recent = 0;
    double Usual = 0;
    DecayingSum Measured{absl::Seconds(3)};
  };
  absl::flat_hash_map<uint64_t, Use> Uses;
  Instant UpdatedAt;
  /// Time over which the usual shares are averaged so far.
  absl::Duration Observed;
};

} // namespace berylramp

#endif // BERYLRAMP_DISPATCH_H
