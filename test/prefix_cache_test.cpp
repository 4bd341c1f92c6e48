//===- prefix_cache_test.cpp - Ledger of cached prompt segments -----------===//

#include "berylramp/prefix_cache.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace berylramp;

namespace {

Instant atSecond(double Seconds) {
  return Instant{absl::Seconds(100 + Seconds)};
}

const std::vector<PromptSegment> Prompt = {{1, 500}, {2, 5000}};

} // namespace

TEST_CASE("A segment counts only if all segments before it are kept") {
  PrefixCache Cache;
  EngineIndex Whole = Cache.add();
  EngineIndex Rest = Cache.add();
  Cache.onStarted(Whole, {Prompt, 100}, atSecond(0));
  Cache.onStarted(Rest, {{{2, 5000}}, 100}, atSecond(0));
  std::vector<int64_t> Kept = Cache.keptTokens(Prompt, atSecond(1));
  CHECK(Kept[Whole] == 5500);
  CHECK(Kept[Rest] == 0);
  CHECK(Cache.keptTokens({{1, 500}, {3, 900}}, atSecond(1))[Whole] == 500);
}

TEST_CASE("Load pattern: a working set beyond the memory keeps the newest") {
  PrefixCache Cache;
  EngineIndex Engine = Cache.add();
  Cache.setCapacity(Engine, 20000);
  for (uint64_t Id = 1; Id <= 10; ++Id) {
    PromptUse Use{{{Id, 4000}}, 1000};
    Cache.onStarted(Engine, Use, atSecond(static_cast<double>(Id)));
    Cache.onEnded(Engine, Use, true, atSecond(static_cast<double>(Id) + 0.5));
    CHECK(Cache.cachedTokens(Engine) <= 20000);
  }
  CHECK(Cache.keptTokens({{1, 4000}}, atSecond(11))[Engine] == 0);
  for (uint64_t Id = 7; Id <= 10; ++Id)
    CHECK(Cache.keptTokens({{Id, 4000}}, atSecond(11))[Engine] == 4000);
}

TEST_CASE("A segment in use outlasts segments that are not asked for") {
  PrefixCache Cache;
  EngineIndex Engine = Cache.add();
  Cache.setCapacity(Engine, 10000);
  for (uint64_t Id = 1; Id <= 20; ++Id) {
    auto Now = atSecond(static_cast<double>(Id));
    Cache.onReported(Engine, {{{100, 3000}}, 10}, Now);
    Cache.onReported(Engine, {{{Id, 2000}}, 10}, Now);
  }
  CHECK(Cache.keptTokens({{100, 3000}}, atSecond(21))[Engine] == 3000);
  CHECK(Cache.keptTokens({{1, 2000}}, atSecond(21))[Engine] == 0);
}

TEST_CASE("Load pattern: running requests displace cached segments") {
  PrefixCache Cache;
  EngineIndex Engine = Cache.add();
  Cache.setCapacity(Engine, 10000);
  Cache.onReported(Engine, {{{1, 4000}}, 0}, atSecond(0));
  CHECK(Cache.displacedBy(Engine, 5000) == 0);
  CHECK(Cache.displacedBy(Engine, 7000) == 4000);
  PromptUse Long{{}, 8000};
  Cache.onStarted(Engine, Long, atSecond(1));
  CHECK(Cache.keptTokens({{1, 4000}}, atSecond(1))[Engine] == 0);
  CHECK(Cache.overflowOf(Engine, 1500) == 0);
  CHECK(Cache.overflowOf(Engine, 3000) == 1000);
  Cache.onEnded(Engine, Long, true, atSecond(2));
  CHECK(Cache.overflowOf(Engine, 3000) == 0);
}

TEST_CASE("Requests of other hosts count towards the memory in use") {
  PrefixCache Cache;
  EngineIndex Engine = Cache.add();
  Cache.setCapacity(Engine, 10000);
  for (int Count = 0; Count < 20; ++Count)
    Cache.onReported(Engine, {{}, 2000}, atSecond(0));
  Cache.setOthersRunning(Engine, 4);
  CHECK(Cache.overflowOf(Engine, 2000) == 0);
  CHECK(Cache.overflowOf(Engine, 3000) == 1000);
  Cache.setOthersRunning(Engine, -3);
  CHECK(Cache.runningTokens(Engine) == 0);
}

TEST_CASE("An engine that restarted or was replaced keeps nothing") {
  PrefixCache Cache;
  EngineIndex Engine = Cache.add();
  Cache.onStarted(Engine, {Prompt, 10}, atSecond(0));
  Cache.clear(Engine);
  CHECK(Cache.keptTokens(Prompt, atSecond(0))[Engine] == 0);
  Cache.onStarted(Engine, {Prompt, 10}, atSecond(0));
  Cache.remove(Engine);
  CHECK(Cache.segmentCount() == 0);
  CHECK(Cache.add() == Engine);
  CHECK(Cache.runningTokens(Engine) == 0);
  CHECK(Cache.keptTokens(Prompt, atSecond(0))[Engine] == 0);
}

TEST_CASE("A segment that was found dropped takes older ones with it") {
  PrefixCache Cache;
  EngineIndex Engine = Cache.add();
  for (uint64_t Id = 1; Id <= 3; ++Id)
    Cache.onReported(Engine, {{{Id, 100}}, 0},
                     atSecond(static_cast<double>(Id)));
  Cache.dropUsedUntil(Engine, *Cache.lastUse(Engine, 2));
  CHECK_FALSE(Cache.lastUse(Engine, 1));
  CHECK_FALSE(Cache.lastUse(Engine, 2));
  REQUIRE(Cache.lastUse(Engine, 3));
  CHECK(Cache.lastUse(Engine, 3)->SinceStart == atSecond(3).SinceStart);
}

TEST_CASE("A host that hears nothing stops relying on old segments") {
  PrefixCacheSettings Settings;
  PrefixCache Cache(Settings);
  EngineIndex Engine = Cache.add();
  Cache.onStarted(Engine, {Prompt, 10}, atSecond(0));
  Instant Later = atSecond(0) + Settings.MaxAge;
  CHECK(Cache.keptTokens(Prompt, Later)[Engine] == 0);
}

TEST_CASE("Load pattern: more segments than the cache tracks") {
  PrefixCacheSettings Settings;
  Settings.MaxSegments = 1000;
  PrefixCache Cache(Settings);
  for (int Index = 0; Index < 10; ++Index)
    Cache.add();
  for (uint64_t Id = 1; Id <= 5000; ++Id)
    for (EngineIndex Engine = 0; Engine < 10; ++Engine)
      Cache.onReported(Engine, {{{Id, 100}}, 10}, atSecond(0));
  CHECK(Cache.segmentCount() <= 1000);
  CHECK(Cache.keptTokens({{5000, 100}}, atSecond(0))[9] == 100);
}

TEST_CASE("Reports with zero or negative tokens change nothing") {
  PrefixCache Cache;
  EngineIndex Engine = Cache.add();
  Cache.setCapacity(Engine, 1000);
  Cache.onReported(Engine, {{{1, -5}, {0, 10}, {2, 0}}, -100}, atSecond(0));
  CHECK(Cache.segmentCount() == 0);
  CHECK(Cache.cachedTokens(Engine) == 0);
}

TEST_CASE("Cached and running tokens never exceed the memory") {
  rc::prop("for any order of requests", [] {
    constexpr int64_t Capacity = 30000;
    PrefixCache Cache;
    EngineIndex Engine = Cache.add();
    Cache.setCapacity(Engine, Capacity);
    std::vector<PromptUse> Running;
    for (int Step = 0; Step < 100; ++Step) {
      Instant Now = atSecond(Step);
      bool Starts = Running.empty() || *rc::gen::arbitrary<bool>();
      if (Starts) {
        PromptUse Use{
            {{*rc::gen::inRange<uint64_t>(1, 20), *rc::gen::inRange(1, 5000)}},
            *rc::gen::inRange(0, 3000)};
        Cache.onStarted(Engine, Use, Now);
        Running.push_back(Use);
      } else {
        Cache.onEnded(Engine, Running.back(), true, Now);
        Running.pop_back();
      }
      RC_ASSERT(Cache.cachedTokens(Engine) <=
                std::max<int64_t>(0, Capacity - Cache.runningTokens(Engine)));
    }
  });
}
