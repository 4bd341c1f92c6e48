//===- kept_answers.h - Answers of orders that ran --------------*- C++ -*-===//
//
// A caller that asks again for an order that ran gets the same answer, from
// the host that ran it, for as long as the bounded memory holds it.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_KEPT_ANSWERS_H
#define BERYLRAMP_SRC_ROUTER_KEPT_ANSWERS_H

#include "berylramp/sync.h"
#include "berylramp/units.h"
#include <array>
#include <deque>
#include <map>
#include <string>

namespace berylramp::internal {

struct KeptAnswer {
  int Status = 0;
  std::string Body;
  RequestId Request;
};

class KeptAnswers {
public:
  void keep(const AttemptId &Attempt, KeptAnswer Answer) {
    Shard &Home = this->shardOf(Attempt);
    MutexLock Hold(&Home.Lock);
    bool IsNew = Home.Answers.emplace(Attempt, std::move(Answer)).second;
    if (IsNew)
      Home.Order.push_back(Attempt);
    while (Home.Order.size() > AnswersInShard) {
      Home.Answers.erase(Home.Order.front());
      Home.Order.pop_front();
    }
  }

  bool find(const AttemptId &Attempt, KeptAnswer &Out) {
    Shard &Home = this->shardOf(Attempt);
    MutexLock Hold(&Home.Lock);
    auto Found = Home.Answers.find(Attempt);
    if (Found == Home.Answers.end())
      return false;
    Out = Found->second;
    return true;
  }

private:
  static constexpr size_t ShardCount = 16;
  static constexpr size_t AnswersInShard = 512;
  struct Shard {
    Mutex Lock;
    std::map<AttemptId, KeptAnswer> Answers;
    std::deque<AttemptId> Order;
  };
  Shard &shardOf(const AttemptId &Attempt) {
    return this->Shards[stableHash(Attempt.text()) % ShardCount];
  }
  std::array<Shard, ShardCount> Shards;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_KEPT_ANSWERS_H
