//===- sync.h - Mutex with conditions ---------------------------*- C++ -*-===//
//
// Wrappers of Abseil's mutex. The packaged Abseil is built without
// ThreadSanitizer, which therefore cannot observe its locks. The wrappers
// annotate each acquire and release, so that the tsan preset detects real races
// and does not report correctly locked accesses.
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

/// A mutex that supports waiting for a condition on the data it protects.
class ABSL_LOCKABLE Mutex {
public:
  void lock() ABSL_EXCLUSIVE_LOCK_FUNCTION() {
    this->Underlying.Lock();
    this->annotateAcquired();
  }

  void unlock() ABSL_UNLOCK_FUNCTION() {
    this->annotateReleased();
    this->Underlying.Unlock();
  }

  /// Blocks until \p Condition returns true. The caller must hold the lock; the
  /// lock is held while \p Condition runs and when this function returns.
  template <typename Predicate> void await(Predicate Condition) {
    this->awaitWithTimeout(Condition, absl::InfiniteDuration());
  }

  /// Like await(), but waits for at most \p Timeout. Returns the final value of
  /// the condition.
  template <typename Predicate>
  bool awaitWithTimeout(Predicate Condition, absl::Duration Timeout) {
    // Abseil may evaluate the condition on the thread that releases the lock,
    // so the evaluation is annotated as well.
    auto AnnotatedCondition = [this, &Condition] {
      this->annotateAcquired();
      bool IsTrue = Condition();
      this->annotateReleased();
      return IsTrue;
    };
    this->annotateReleased();
    bool IsTrue = this->Underlying.AwaitWithTimeout(
        absl::Condition(&AnnotatedCondition), Timeout);
    this->annotateAcquired();
    return IsTrue;
  }

private:
#if defined(__SANITIZE_THREAD__)
  void annotateAcquired() { __tsan_acquire(this); }
  void annotateReleased() { __tsan_release(this); }
#else
  void annotateAcquired() {}
  void annotateReleased() {}
#endif

  absl::Mutex Underlying;
};

/// Locks a mutex on construction and unlocks it on destruction.
class ABSL_SCOPED_LOCKABLE MutexLock {
public:
  explicit MutexLock(Mutex *Target) ABSL_EXCLUSIVE_LOCK_FUNCTION(Target)
      : Target(Target) {
    Target->lock();
  }
  ~MutexLock() ABSL_UNLOCK_FUNCTION() { this->Target->unlock(); }
  MutexLock(const MutexLock &) = delete;
  MutexLock &operator=(const MutexLock &) = delete;

private:
  Mutex *Target;
};

} // namespace berylramp

#endif // BERYLRAMP_SYNC_H
