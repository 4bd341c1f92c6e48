//===- worker.h - A thread that can be asked to stop ------------*- C++ -*-===//
//
// Runs one function until it returns; the function asks stopped() between
// steps and naps in pause(), which stop() cuts short.
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

  /// Asks the body to end and waits until it has.
  void stop() {
    {
      MutexLock Hold(&this->Lock);
      this->Stopping = true;
    }
    if (this->Thread.joinable())
      this->Thread.join();
  }

  bool stopped() const {
    MutexLock Hold(&this->Lock);
    return this->Stopping;
  }

  /// Waits for the duration, or until stop().
  void pause(absl::Duration For) {
    MutexLock Hold(&this->Lock);
    this->Lock.awaitFor([this] { return this->Stopping; }, For);
  }

private:
  mutable Mutex Lock;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_WORKER_H
