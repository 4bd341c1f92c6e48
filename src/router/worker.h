//===- worker.h - A thread with cooperative shutdown ------------*- C++ -*-===//
//
// Runs one function on its own thread until the function returns. The function
// polls isStopping() between steps and sleeps in pause(), which returns early
// when stop() is called.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_WORKER_H
#define BERYLRAMP_SRC_ROUTER_WORKER_H

#include "absl/time/time.h"
#include "berylramp/sync.h"
#include <functional>
#include <thread>

namespace berylramp::internal {

class Worker {
public:
  ~Worker() { this->stop(); }

  void start(std::function<void()> Body) {
    this->Thread = std::thread(std::move(Body));
  }

  /// Requests that the body returns, then joins the thread.
  void stop() {
    {
      MutexLock Guard(&this->Lock);
      this->Stopping = true;
    }
    if (this->Thread.joinable())
      this->Thread.join();
  }

  bool isStopping() const {
    MutexLock Guard(&this->Lock);
    return this->Stopping;
  }

  /// Sleeps for \p Timeout or until stop() is called, whichever is earlier.
  void pause(absl::Duration Timeout) {
    MutexLock Guard(&this->Lock);
    this->Lock.awaitWithTimeout([this] { return this->Stopping; }, Timeout);
  }

private:
  mutable Mutex Lock;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_WORKER_H
