//===- elastic_task_queue.h - Task queue that grows on demand ---*- C++ -*-===//
//
// Each request in progress occupies a thread. A fixed-size pool would have to
// start with one thread for each concurrent stream. This queue starts a thread
// when none is idle, up to a maximum.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_HTTP_ELASTIC_TASK_QUEUE_H
#define BERYLRAMP_SRC_HTTP_ELASTIC_TASK_QUEUE_H

#include "berylramp/sync.h"
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace berylramp::internal {

class ElasticTaskQueue {
public:
  explicit ElasticTaskQueue(size_t MaxThreads);
  ~ElasticTaskQueue();

  void enqueue(std::function<void()> Task);
  /// Runs the tasks that were enqueued and ends all threads.
  void shutdown();

private:
  void runWorker();
  bool shouldWake() const { return this->Stopping || !this->Tasks.empty(); }

  const size_t MaxThreads;
  Mutex Lock;
  std::deque<std::function<void()>> Tasks;
  std::vector<std::thread> Threads;
  size_t Idle = 0;
  bool Stopping = false;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_HTTP_ELASTIC_TASK_QUEUE_H
