//===- store_follower.h - Follows one topic of the store --------*- C++ -*-===//

#ifndef BERYLRAMP_EDGE_STORE_FOLLOWER_H
#define BERYLRAMP_EDGE_STORE_FOLLOWER_H

#include "berylramp/edge.h"

namespace berylramp {

/// How a topic is read.
struct FollowPlan {
  StoreTopic Topic = StoreTopic::Operators;
  const char *Name = "";
  /// How long a read waits for a record; zero for reads that return at once.
  absl::Duration Wait;
  /// Time between reads.
  absl::Duration Period;
  /// The longest pause after a failed read.
  absl::Duration LongestBackoff = absl::Milliseconds(1200);
};

/// Hands over the newest records of a topic, then each further one.
class StoreFollower : public std::enable_shared_from_this<StoreFollower> {
public:
  /// \p Whole: the records are all keys that exist.
  using Hear = std::function<void(const StorePage &, bool Whole)>;

  StoreFollower(const StorePort &Store, LoopTimer &Timer, Metrics &Counters,
                FollowPlan Plan, Hear Heard)
      : Store(Store), Timer(Timer), Counters(Counters), Plan(Plan),
        Heard(std::move(Heard)), LastGood(Timer.now()) {}

  void start() { this->readNewest(); }
  void stop() { this->Stopped = true; }
  /// Reads no more until resume(); a read under way is still heard.
  void pause() { this->Paused = true; }
  /// Reads on; from the newest records where nothing was read yet.
  void resume();
  /// Reads now where reads failed and the next one waits.
  void nudge();
  /// Continues behind what a peer has read, where that is further.
  void skipTo(Offset From);
  bool paused() const { return this->Paused; }
  /// Where the topic ends as far as is known; NoOffset before the first read.
  Offset next() const { return this->Next; }
  /// False while reads fail.
  bool reachable() const { return this->Reachable; }
  /// When the last read that worked was answered.
  Instant lastGood() const { return this->LastGood; }
  /// When reads began to work again after a failure.
  Instant regainedAt() const { return this->RegainedAt; }

private:
  void readNewest();
  void readOn();
  void took(const absl::StatusOr<StorePage> &Page, bool Whole);
  void rested();
  void again(absl::Duration After);

  const StorePort &Store;
  LoopTimer &Timer;
  Metrics &Counters;
  FollowPlan Plan;
  Hear Heard;
  Offset Next = NoOffset;
  Instant LastGood;
  Instant RegainedAt{-absl::InfiniteDuration()};
  absl::Duration Backoff;
  bool Reachable = true;
  bool Stopped = false;
  bool Paused = false;
  /// A read or the pause before one is under way.
  bool Active = false;
  /// True in the pause before a read; a pause that was cut short has another
  /// number than the current one.
  bool Resting = false;
  int64_t Rest = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_STORE_FOLLOWER_H
