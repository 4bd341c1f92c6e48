//===- config_follower.h - Follows the log stream of the table --*- C++ -*-===//
//
// Maintains the folded table and the evidence of how recent it is, and
// publishes snapshots before the retention of the log drops the records that
// they cover.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_CONFIG_FOLLOWER_H
#define BERYLRAMP_SRC_ROUTER_CONFIG_FOLLOWER_H

#include "berylramp/fleet.h"
#include "berylramp/sync.h"
#include "berylramp/table.h"
#include "context.h"
#include "worker.h"
#include <functional>
#include <memory>

namespace berylramp::internal {

/// A state of the table together with its digest.
struct ConfigView {
  std::shared_ptr<const ConfigState> State;
  uint64_t Digest = 0;
};

class ConfigFollower {
public:
  explicit ConfigFollower(RouterContext &Context);

  /// Calls \p OnChange after each advance of the applied offset.
  void start(std::function<void()> OnChange);
  void stop();

  ConfigView view() const;
  ViewEvidence evidence() const;
  bool isLogUp() const;
  /// True while the log no longer holds the records that follow the applied
  /// offset and no snapshot bridges the gap.
  bool hasGap() const;

  /// Records evidence from a peer that the view was current at \p ConfirmedAt.
  void confirm(Instant ConfirmedAt);
  /// Applies a signed snapshot of a peer if it is ahead of this host; an error
  /// if it cannot be decoded.
  absl::Status adopt(const std::string &Snapshot);
  /// Encodes the state as a signed snapshot for a peer.
  std::string snapshot() const;
  /// Waits until \p Target is applied; false on time-out.
  bool waitFor(Offset Target, absl::Duration Timeout) const;

private:
  void run();
  void applyPage(const LogPage &Page, Instant ReadStart);
  void bridgeGap(const LogPage &Page);
  bool foldRecords(const std::vector<LogRecord> &Records);
  void recordSnapshot(const LogRecord &Record);
  void publish(std::shared_ptr<const ConfigState> Next);
  void publishSnapshotWhenDue();
  absl::Duration snapshotDelay() const;

  RouterContext &Context;
  OperatorKeys Keys;
  Worker Thread;
  std::function<void()> OnChange;

  mutable Mutex Lock;
  ConfigView Current;
  ViewEvidence Evidence;
  bool LogUp = false;
  bool Gap = false;

  /// Accessed only by the follower's thread.
  absl::Time LastSnapshotAt = absl::InfinitePast();
  absl::Time OldestUncoveredAt = absl::InfiniteFuture();
  Instant NextSnapshotAttempt;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_CONFIG_FOLLOWER_H
