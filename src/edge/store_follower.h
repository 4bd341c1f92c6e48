//===- store_follower.h - Follows one topic of the store --------*- C++ -*-===//

#ifndef BERYLRAMP_EDGE_STORE_FOLLOWER_H
#define BERYLRAMP_EDGE_STORE_FOLLOWER_H

#include "berylramp/edge.h"

namespace berylramp {

/// Configuration of the reads of one topic.
struct FollowerConfig {
  StoreTopic Topic = StoreTopic::Operators;
  const char *Name = "";
  /// Time that a read waits for a record; zero for reads that return at once.
  absl::Duration PollTimeout;
  /// Time between reads that return at once.
  absl::Duration ReadInterval;
  /// Maximum delay after a failed read, before jitter.
  absl::Duration MaxBackoff = absl::Milliseconds(1200);
  /// Whether failed reads are repeated while the follower is paused, so that
  /// the host learns when the store serves it again.
  bool ProbesWhilePaused = false;
  /// Delay after the first failed read. It doubles with each further failure
  /// and has jitter, so that hosts whose reads began to fail at the same time
  /// do not all retry at the same time.
  absl::Duration MinBackoff = absl::Milliseconds(100);
};

/// Reads the newest records of a topic, then each further record, and passes
/// them to a callback.
class StoreFollower : public std::enable_shared_from_this<StoreFollower> {
public:
  /// \p IsSnapshot: the records are all existing keys.
  using RecordsCallback =
      std::function<void(const StorePage &, bool IsSnapshot)>;

  StoreFollower(const StorePort &Store, LoopTimer &Timer, Metrics &Counters,
                FollowerConfig Config, RecordsCallback OnRecords)
      : Store(Store), Timer(Timer), Counters(Counters), Config(Config),
        OnRecords(std::move(OnRecords)), LastSuccess(Timer.now()) {}

  void start() { this->readNewest(); }
  void stop() { this->Stopped = true; }
  /// Starts no more reads until resume(). The callback still receives the
  /// result of a read in progress.
  void pause() { this->Paused = true; }
  /// Continues to read; starts with the newest records when nothing was read
  /// yet.
  void resume();
  void setBackoff(absl::Duration Min, absl::Duration Max) {
    this->Config.MinBackoff = Min;
    this->Config.MaxBackoff = Max;
  }
  /// Reads at once if the last read failed and the next one is delayed.
  void retryNow();
  /// Continues at \p From if that is after the position and no read is in
  /// progress. Used when a peer supplied the records before \p From.
  void skipTo(StorePosition From);
  bool paused() const { return this->Paused; }
  /// Position of the next read.
  StorePosition position() const { return this->Position; }
  /// Whether the last read succeeded; true before the first one.
  bool reachable() const { return this->Reachable; }
  /// When the last successful read was answered; the time of construction
  /// before the first one.
  Instant lastSuccess() const { return this->LastSuccess; }
  /// When reads last succeeded again after a failure, or when the store was
  /// found to have returned from an older copy.
  Instant recoveredAt() const { return this->RecoveredAt; }

private:
  void readNewest();
  void readNext();
  void onPage(const absl::StatusOr<StorePage> &Page, bool IsSnapshot);
  void onDelayElapsed();
  /// Whether \p Page continues the records read so far. Otherwise the follower
  /// reads the newest records of the era of \p Page.
  bool acceptEra(const StorePage &Page, bool IsSnapshot);
  void onFailure(const absl::Status &Failure);
  void scheduleRead(absl::Duration Delay);

  const StorePort &Store;
  LoopTimer &Timer;
  Metrics &Counters;
  FollowerConfig Config;
  RecordsCallback OnRecords;
  StorePosition Position;
  Instant LastSuccess;
  Instant RecoveredAt{-absl::InfiniteDuration()};
  absl::Duration Backoff;
  bool Reachable = true;
  bool Stopped = false;
  bool Paused = false;
  /// A read or the delay before one is in progress.
  bool Active = false;
  /// True during the delay before a read. The generation identifies the current
  /// delay, so that the timer of a delay that was cut short has no effect.
  bool Delaying = false;
  int64_t DelayGeneration = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_STORE_FOLLOWER_H
