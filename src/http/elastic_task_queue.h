//===- elastic_task_queue.h - Threads on demand for the server --*- C++ -*-===//
//
// cpp-httplib gives each connection a thread for as long as it is open. A
// fixed pool would need as many threads as streams held at once from the
// start; this one starts a thread when none is idle, up to a bound.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_HTTP_ELASTIC_TASK_QUEUE_H
#define BERYLRAMP_SRC_HTTP_ELASTIC_TASK_QUEUE_H

#include "berylramp/sync.h"
#include <deque>
#include <functional>
#include <httplib.h>
#include <thread>
#include <vector>

namespace berylramp::internal {

class ElasticTaskQueue : public httplib::TaskQueue {
public:
  explicit ElasticTaskQueue(size_t MaxThreads);
  ~ElasticTaskQueue() override;

  // The names are those of the library's interface.
  void enqueue(std::function<void()> Task) override;
  void shutdown() override;

private:
  void work();
  bool hasWork() const { return this->Stopping || !this->Tasks.empty(); }

  const size_t MaxThreads;
  Mutex Lock;
  std::deque<std::function<void()>> Tasks;
  std::vector<std::thread> Threads;
  size_t Idle = 0;
  bool Stopping = false;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_HTTP_ELASTIC_TASK_QUEUE_H
