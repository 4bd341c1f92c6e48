//===- sync.h - The mutex of the shards -------------------------*- C++ -*-===//
//
// Abseil's mutex with conditions. The packaged Abseil is built without
// ThreadSanitizer, which therefore cannot see its locks; these wrappers tell
// it, so that the tsan preset finds races and reports no lock as one.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SYNC_H
#define BERYLRAMP_SYNC_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace berylramp {

/// A mutex that can wait for a condition on what it guards.
class ABSL_LOCKABLE Mutex {
public:
  void lock() ABSL_EXCLUSIVE_LOCK_FUNCTION() {
    this->Inner.Lock();
    this->noteAcquired();
  }

  void unlock() ABSL_UNLOCK_FUNCTION() {
    this->noteReleased();
    this->Inner.Unlock();
  }

  /// Waits until \p Condition holds. Call with the lock held; it is held
  /// whenever \p Condition runs and after the return.
  template <typename Predicate> void await(Predicate Condition) {
    this->awaitFor(Condition, absl::InfiniteDuration());
  }

  /// Like await(), for at most \p Most; returns what the condition is then.
  template <typename Predicate>
  bool awaitFor(Predicate Condition, absl::Duration Most) {
    // The condition may run on the thread that unlocks.
    auto Checked = [this, &Condition] {
      this->noteAcquired();
      bool Holds = Condition();
      this->noteReleased();
      return Holds;
    };
    this->noteReleased();
    bool Holds = this->Inner.AwaitWithTimeout(absl::Condition(&Checked), Most);
    this->noteAcquired();
    return Holds;
  }

private:
#if defined(__SANITIZE_THREAD__)
  void noteAcquired() { __tsan_acquire(this); }
  void noteReleased() { __tsan_release(this); }
#else
  void noteAcquired() {}
  void noteReleased() {}
#endif

  absl::Mutex Inner;
};

/// Holds a mutex for as long as it lives.
class ABSL_SCOPED_LOCKABLE MutexLock {
public:
  explicit MutexLock(Mutex *Which) ABSL_EXCLUSIVE_LOCK_FUNCTION(Which)
      : Which(Which) {
    Which->lock();
  }
  ~MutexLock() ABSL_UNLOCK_FUNCTION() { this->Which->unlock(); }
  MutexLock(const MutexLock &) = delete;
  MutexLock &operator=(const MutexLock &) = delete;

private:
  Mutex *Which;
};

} // namespace berylramp

#endif // BERYLRAMP_SYNC_H
