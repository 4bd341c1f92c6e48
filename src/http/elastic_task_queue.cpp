//===- elastic_task_queue.cpp - Task queue that grows on demand -----------===//
//
// A thread, once started, runs until shutdown(), because the hosts of a fleet
// reconnect and need it again.
//
//===----------------------------------------------------------------------===//

#include "elastic_task_queue.h"

namespace berylramp::internal {

ElasticTaskQueue::ElasticTaskQueue(size_t MaxThreads)
    : MaxThreads(MaxThreads) {}

ElasticTaskQueue::~ElasticTaskQueue() { this->shutdown(); }

void ElasticTaskQueue::enqueue(std::function<void()> Task) {
  MutexLock Guard(&this->Lock);
  this->Tasks.push_back(std::move(Task));
  if (this->Tasks.size() <= this->Idle ||
      this->Threads.size() >= this->MaxThreads)
    return;
  this->Threads.emplace_back([this] { this->runWorker(); });
}

void ElasticTaskQueue::runWorker() {
  while (true) {
    std::function<void()> Task;
    {
      MutexLock Guard(&this->Lock);
      ++this->Idle;
      this->Lock.await([this] { return this->shouldWake(); });
      --this->Idle;
      if (this->Tasks.empty())
        return;
      Task = std::move(this->Tasks.front());
      this->Tasks.pop_front();
    }
    Task();
  }
}

void ElasticTaskQueue::shutdown() {
  std::vector<std::thread> Joining;
  {
    MutexLock Guard(&this->Lock);
    this->Stopping = true;
    Joining.swap(this->Threads);
  }
  for (std::thread &Worker : Joining)
    Worker.join();
}

} // namespace berylramp::internal
