//===- answer_cache.h - Answers of non-idempotent requests ------*- C++ -*-===//
//
// A caller that repeats a non-idempotent request receives the answer of the
// first run from the host that ran it, as long as the bounded cache holds it.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_ANSWER_CACHE_H
#define BERYLRAMP_SRC_ROUTER_ANSWER_CACHE_H

#include "berylramp/sync.h"
#include "berylramp/units.h"
#include <array>
#include <deque>
#include <map>
#include <string>

namespace berylramp::internal {

struct CachedAnswer {
  int Status = 0;
  std::string Body;
  /// Key of the bill, shared by all repeats of the request.
  RequestId BillKey;
};

/// Bounded first-in, first-out cache of answers by attempt, in shards with a
/// lock each.
class AnswerCache {
public:
  void store(const AttemptId &Attempt, CachedAnswer Answer) {
    Shard &OwningShard = this->shardOf(Attempt);
    MutexLock Guard(&OwningShard.Lock);
    bool IsNew = OwningShard.Answers.emplace(Attempt, std::move(Answer)).second;
    if (IsNew)
      OwningShard.InsertionOrder.push_back(Attempt);
    while (OwningShard.InsertionOrder.size() > MaxAnswersPerShard) {
      OwningShard.Answers.erase(OwningShard.InsertionOrder.front());
      OwningShard.InsertionOrder.pop_front();
    }
  }

  bool find(const AttemptId &Attempt, CachedAnswer &Answer) {
    Shard &OwningShard = this->shardOf(Attempt);
    MutexLock Guard(&OwningShard.Lock);
    auto Found = OwningShard.Answers.find(Attempt);
    if (Found == OwningShard.Answers.end())
      return false;
    Answer = Found->second;
    return true;
  }

private:
  static constexpr size_t ShardCount = 16;
  static constexpr size_t MaxAnswersPerShard = 512;
  struct Shard {
    Mutex Lock;
    std::map<AttemptId, CachedAnswer> Answers;
    std::deque<AttemptId> InsertionOrder;
  };
  Shard &shardOf(const AttemptId &Attempt) {
    return this->Shards[stableHash(Attempt.text()) % ShardCount];
  }
  std::array<Shard, ShardCount> Shards;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_ANSWER_CACHE_H
