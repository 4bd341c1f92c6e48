//===- elastic_task_queue.cpp - Threads on demand for the server ----------===//
//
// Threads are kept once started: connections of a fleet come back.
//
//===----------------------------------------------------------------------===//

#include "elastic_task_queue.h"

namespace berylramp::internal {

ElasticTaskQueue::ElasticTaskQueue(size_t MaxThreads)
    : MaxThreads(MaxThreads) {}

ElasticTaskQueue::~ElasticTaskQueue() { this->shutdown(); }

void ElasticTaskQueue::enqueue(std::function<void()> Task) {
  MutexLock Hold(&this->Lock);
  this->Tasks.push_back(std::move(Task));
  if (this->Tasks.size() <= this->Idle ||
      this->Threads.size() >= this->MaxThreads)
    return;
  this->Threads.emplace_back([this] { this->work(); });
}

void ElasticTaskQueue::work() {
  while (true) {
    std::function<void()> Task;
    {
      MutexLock Hold(&this->Lock);
      ++this->Idle;
      this->Lock.await([this] { return this->hasWork(); });
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
  std::vector<std::thread> Finishing;
  {
    MutexLock Hold(&this->Lock);
    this->Stopping = true;
    Finishing.swap(this->Threads);
  }
  for (std::thread &Each : Finishing)
    Each.join();
}

} // namespace berylramp::internal
