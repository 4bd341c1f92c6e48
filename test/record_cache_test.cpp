//===- record_cache_test.cpp - Records that peers transfer ----------------===//

#include "record_cache.h"

#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace berylramp;

namespace {

StorePosition at(int64_t Next, int64_t Era = 0) {
  return {StoreEra(Era), Offset(Next)};
}

} // namespace

TEST_CASE("A peer gets the changes after the offset it has reached") {
  RecordCache Cache;
  StoreTopic Topic = StoreTopic::Replicas;
  Cache.put(Topic, {"r", "up"}, Offset(10));
  Cache.advance(Topic, Offset(10), true);
  Cache.put(Topic, {"s", "up"}, Offset(14));
  Cache.put(Topic, {"r", std::nullopt}, Offset(17));
  Cache.advance(Topic, Offset(17), false);
  RecordBatch Changes = Cache.since(Topic, at(14));
  CHECK_FALSE(Changes.IsSnapshot);
  CHECK(Changes.Next == Offset(17));
  REQUIRE(Changes.Records.size() == 1);
  CHECK_FALSE(Changes.Records[0].Value.has_value());
  CHECK(Cache.since(Topic, at(12)).Records.size() == 2);
  CHECK(Cache.since(Topic, at(17)).Records.empty());
}

TEST_CASE("A peer whose offset precedes the cache gets all keys") {
  RecordCache Cache;
  StoreTopic Topic = StoreTopic::Replicas;
  CHECK(Cache.since(Topic, {}).Next == NoOffset);
  Cache.put(Topic, {"r", "up"}, Offset(10));
  Cache.advance(Topic, Offset(10), true);
  Cache.put(Topic, {"s", std::nullopt}, Offset(12));
  Cache.advance(Topic, Offset(12), false);
  StorePosition From = at(GENERATE(-1, 9));
  CAPTURE(From.Next.count());
  RecordBatch Snapshot = Cache.since(Topic, From);
  CHECK(Snapshot.IsSnapshot);
  CHECK(Snapshot.Next == Offset(12));
  REQUIRE(Snapshot.Records.size() == 1);
  CHECK(Snapshot.Records[0].Key == "r");
}

TEST_CASE("Positions of a later era come after all of an earlier one") {
  CHECK(at(90, 1) < at(2, 2));
  CHECK_FALSE(at(2, 2) < at(90, 1));
  CHECK(at(2, 2) < at(3, 2));
  CHECK(at(5, 2) < StorePosition{StoreEra(3), NoOffset});
}

TEST_CASE("Offsets of an earlier era are not compared with the present ones") {
  RecordCache Cache;
  StoreTopic Topic = StoreTopic::Replicas;
  Cache.enterEra(Topic, StoreEra(1));
  Cache.put(Topic, {"kept", "up"}, Offset(40));
  Cache.put(Topic, {"gone", "up"}, Offset(41));
  Cache.advance(Topic, Offset(41), true);
  Cache.enterEra(Topic, StoreEra(2));
  CHECK(Cache.since(Topic, at(41, 1)).Next == NoOffset);
  Cache.put(Topic, {"kept", "up"}, Offset(30));
  Cache.put(Topic, {"gone", std::nullopt}, Offset(30));
  Cache.advance(Topic, Offset(30), true);
  Cache.put(Topic, {"new", "up"}, Offset(35));
  Cache.advance(Topic, Offset(35), false);
  // Offset 33 exists in both eras.
  RecordBatch Earlier = Cache.since(Topic, at(33, 1));
  CHECK(Earlier.IsSnapshot);
  CHECK(Earlier.position() == at(35, 2));
  CHECK(Earlier.Records.size() == 2);
  RecordBatch Present = Cache.since(Topic, at(33, 2));
  CHECK_FALSE(Present.IsSnapshot);
  REQUIRE(Present.Records.size() == 1);
  CHECK(Present.Records[0].Key == "new");
}

TEST_CASE("A host that switches between peers gets the same keys") {
  rc::prop("for any order of changes and peers", [] {
    StoreTopic Topic = StoreTopic::Replicas;
    std::map<std::string, std::string> Expected;
    std::vector<std::pair<StoreRecord, Offset>> Log;
    std::vector<RecordCache> Caches(2);
    std::vector<size_t> ReadCounts(Caches.size(), 0);
    std::map<std::string, std::string> HostRecords;
    Offset NextOffset = NoOffset;
    for (auto &Cache : Caches)
      Cache.advance(Topic, Offset(0), true);
    int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      int Action = *rc::gen::inRange(0, 4);
      auto Index = static_cast<size_t>(*rc::gen::inRange(0, 2));
      if (Action == 0) {
        StoreRecord Change{absl::StrCat("k", *rc::gen::inRange(0, 4)),
                           std::nullopt};
        if (*rc::gen::arbitrary<bool>())
          Change.Value = absl::StrCat("v", Step);
        Log.emplace_back(Change, Offset(static_cast<int64_t>(Log.size()) + 1));
        continue;
      }
      if (Action == 1) {
        Offset End(static_cast<int64_t>(Log.size()));
        for (; ReadCounts[Index] < Log.size(); ++ReadCounts[Index])
          Caches[Index].put(Topic, Log[ReadCounts[Index]].first, End);
        Caches[Index].advance(Topic, End, false);
        continue;
      }
      RecordBatch Batch = Caches[Index].since(Topic, {StoreEra(), NextOffset});
      if (Batch.Next < NextOffset)
        continue;
      if (Batch.IsSnapshot)
        HostRecords.clear();
      for (const StoreRecord &Record : Batch.Records) {
        HostRecords.erase(Record.Key);
        if (Record.Value)
          HostRecords[Record.Key] = *Record.Value;
      }
      NextOffset = Batch.Next;
      Expected.clear();
      for (const auto &[Record, End] : Log) {
        if (End > NextOffset)
          break;
        Expected.erase(Record.Key);
        if (Record.Value)
          Expected[Record.Key] = *Record.Value;
      }
      RC_ASSERT(HostRecords == Expected);
    }
  });
}

TEST_CASE("Peer records are decoded as encoded") {
  PeerRecords Encoded;
  Encoded.States = {StoreEra(3), Offset(4), true, {{"k", "v"}}};
  Encoded.Replicas = {StoreEra(3), Offset(41), false, {{"gone", std::nullopt}}};
  Encoded.Age = absl::Milliseconds(70);
  auto Decoded = decodePeerRecords(encodePeerRecords(Encoded));
  REQUIRE(Decoded.ok());
  CHECK(Decoded->Operators.Next == NoOffset);
  CHECK(Decoded->States.IsSnapshot);
  CHECK(Decoded->States.Records.size() == 1);
  CHECK(Decoded->Replicas.position() == at(41, 3));
  CHECK_FALSE(Decoded->Replicas.Records[0].Value.has_value());
  CHECK(Decoded->Age == absl::Milliseconds(70));
  CHECK_FALSE(decodePeerRecords("{}").ok());
}

TEST_CASE("A peer query is decoded as encoded") {
  PeerQuery Query =
      decodePeerQuery(encodePeerQuery({at(7, 2), at(-1), at(12, 1)}));
  CHECK(Query.Operators == at(7, 2));
  CHECK(Query.States == StorePosition());
  CHECK(Query.Replicas == at(12, 1));
  CHECK(decodePeerQuery("/peer/records?replicas=x").Replicas ==
        StorePosition());
}
