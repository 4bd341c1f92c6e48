//===- config_follower.h - Follows the log stream of the table --*- C++ -*-===//
//
// Keeps the folded table and the evidence of how recent it is, and publishes
// snapshots before the log forgets what they cover.
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

/// One state of the table together with its digest.
struct ConfigView {
  std::shared_ptr<const ConfigState> State;
  uint64_t Digest = 0;
};

class ConfigFollower {
public:
  explicit ConfigFollower(RouterContext &Context);

  /// \p OnChange is called after each newly applied offset.
  void start(std::function<void()> OnChange);
  void stop();

  ConfigView view() const;
  ViewEvidence evidence() const;
  bool isLogUp() const;
  /// True while the log no longer holds what comes after the applied offset
  /// and no snapshot bridges the gap.
  bool hasGap() const;

  /// A peer shows that the view was current at \p At.
  void confirm(Instant At);
  /// Takes a signed snapshot from a peer when it is ahead of this host.
  absl::Status adopt(const std::string &Snapshot);
  /// The state as a signed snapshot, for a peer.
  std::string snapshot() const;
  /// Waits until \p At is applied; false when it was not in time.
  bool waitFor(Offset At, absl::Duration For) const;

private:
  void run();
  void takePage(const LogPage &Page, Instant Began);
  void bridgeGap(const LogPage &Page);
  bool foldRecords(const std::vector<LogRecord> &Records);
  void noteSnapshot(const LogRecord &Record);
  void publish(std::shared_ptr<const ConfigState> Next);
  void publishSnapshotWhenDue();
  absl::Duration snapshotDueAfter() const;

  RouterContext &Context;
  OperatorKeys Keys;
  Worker Thread;
  std::function<void()> OnChange;

  mutable Mutex Lock;
  ConfigView Current;
  ViewEvidence Evidence;
  bool LogUp = false;
  bool Gap = false;

  /// Used by the follower's thread only.
  absl::Time LastSnapshotAt = absl::InfinitePast();
  absl::Time OldestUncoveredAt = absl::InfiniteFuture();
  Instant NextSnapshotTry;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_CONFIG_FOLLOWER_H
