//===- memory_account_test.cpp - Bytes that a host holds for others -------===//

#include "berylramp/memory_account.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>
#include <set>
#include <utility>
#include <vector>

using namespace berylramp;

namespace {

constexpr int64_t Kilobyte = 1024;
constexpr int64_t Megabyte = 1024 * Kilobyte;

Instant at(int64_t Ms) { return Instant{absl::Milliseconds(Ms)}; }

Holder reader(uint64_t Id, uint64_t Owner = 0) {
  Holder Result;
  Result.Id = Id;
  Result.Owner = Owner;
  Result.MayEnd = true;
  return Result;
}

MemoryBounds smallBounds() {
  MemoryBounds Bounds;
  Bounds.Total = 1000 * Kilobyte;
  Bounds.Relief = 750 * Kilobyte;
  Bounds.PerOwner = 375 * Kilobyte;
  return Bounds;
}

} // namespace

TEST_CASE("Held bytes leave the process its own memory on hosts of all sizes") {
  for (int64_t Memory : {85, 88, 120, 128, 260, 512}) {
    CAPTURE(Memory);
    MemoryBounds Bounds = memoryBounds(Memory * Megabyte);
    CHECK(Bounds.Total >= Memory * Megabyte / 8);
    CHECK(Bounds.Total <= Memory * Megabyte / 2);
    CHECK(Bounds.Relief < Bounds.Total);
    CHECK(Bounds.Answers + Bounds.PerOwner < Bounds.Total);
    CHECK(Bounds.PerReader < Bounds.PerOwner);
  }
}

TEST_CASE("The slowest reader ends first when memory is short") {
  MemoryAccount Account(smallBounds());
  Account.set(reader(1), 300 * Kilobyte, at(0));
  Account.set(reader(2), 300 * Kilobyte, at(400));
  CHECK_FALSE(Account.nextToEnd(at(5000)));
  Account.set(reader(3), 300 * Kilobyte, at(1500));
  CHECK(Account.nextToEnd(at(1600)) == 1U);
  Account.set(reader(1), 0, at(1600));
  CHECK_FALSE(Account.nextToEnd(at(1600)));
}

TEST_CASE("A reader that keeps up ends after all that do not") {
  MemoryAccount Account(smallBounds());
  // Reads 100 KB every 100 ms and always has 500 KB waiting.
  for (int64_t Ms = 0; Ms <= 10000; Ms += 100) {
    Account.set(reader(1), 500 * Kilobyte, at(Ms));
    Account.set(reader(1), 400 * Kilobyte, at(Ms + 50));
    if (Ms == 9000)
      Account.set(reader(2), 400 * Kilobyte, at(Ms));
  }
  CHECK(Account.nextToEnd(at(10100)) == 2U);
}

TEST_CASE("Readers that keep up end only above the bound on all bytes") {
  MemoryAccount Account(smallBounds());
  Account.set(reader(1), 500 * Kilobyte, at(0));
  Account.set(reader(2), 400 * Kilobyte, at(10));
  CHECK_FALSE(Account.nextToEnd(at(100)));
  Account.set(reader(3), 200 * Kilobyte, at(20));
  CHECK(Account.nextToEnd(at(100)) == 1U);
}

TEST_CASE("A holder that frees little does not end in place of one that frees "
          "much") {
  MemoryAccount Account(smallBounds());
  Account.set(reader(1), Kilobyte, at(0));
  Account.set(reader(2), 900 * Kilobyte, at(1000));
  CHECK(Account.nextToEnd(at(2000)) == 2U);
}

TEST_CASE("Requests and answers in progress are not ended") {
  MemoryAccount Account(smallBounds());
  Holder Fixed = reader(1);
  Fixed.MayEnd = false;
  Account.set(Fixed, 2000 * Kilobyte, at(0));
  CHECK_FALSE(Account.nextToEnd(at(9000)));
  CHECK_FALSE(Account.admits(1));
}

TEST_CASE("A stalled upload ends before one that grows") {
  MemoryAccount Account(smallBounds());
  Holder Growing = reader(1);
  Holder Stalled = reader(2);
  Growing.Kind = Stalled.Kind = HeldKind::CallerInput;
  Account.set(Stalled, 300 * Kilobyte, at(900));
  for (int64_t Ms = 0; Ms <= 2000; Ms += 100)
    Account.set(Growing, (300 + Ms / 20) * Kilobyte, at(Ms));
  CHECK_FALSE(Account.nextToEnd(at(2000)));
  Account.set(reader(3), 300 * Kilobyte, at(2000));
  CHECK(Account.nextToEnd(at(2000)) == 2U);
}

TEST_CASE("A request that is being received ends before one that keeps up at a "
          "replica") {
  MemoryAccount Account(smallBounds());
  Holder Sent = reader(1);
  Holder Flood = reader(2);
  Sent.Kind = HeldKind::ReplicaOutput;
  Flood.Kind = HeldKind::CallerInput;
  Account.set(Sent, 100 * Kilobyte, at(0));
  Account.set(Flood, 600 * Kilobyte, at(5));
  Account.set(Flood, 1000 * Kilobyte, at(9));
  CHECK(Account.nextToEnd(at(10)) == 2U);
}

TEST_CASE("One owner's slow readers end at its share and leave room for the "
          "others") {
  MemoryAccount Account(smallBounds());
  for (uint64_t Id = 1; Id <= 4; ++Id)
    Account.set(reader(Id, 7), 100 * Kilobyte, at(static_cast<int64_t>(Id)));
  Account.set(reader(5, 8), 100 * Kilobyte, at(0));
  CHECK(Account.nextToEnd(at(1000)) == 1U);
  Account.set(reader(1, 7), 0, at(1000));
  CHECK_FALSE(Account.nextToEnd(at(1000)));
  Account.set(reader(6), 500 * Kilobyte, at(1000));
  CHECK(Account.admitsOwner(7));
  Account.set(reader(1, 7), 100 * Kilobyte, at(1000));
  CHECK_FALSE(Account.admitsOwner(7));
  CHECK(Account.admitsOwner(8));
}

TEST_CASE("200 slow readers stay within the bound beside a normal one") {
  MemoryAccount Account(memoryBounds(120 * Megabyte));
  constexpr int64_t EventBytes = 4 * Kilobyte;
  constexpr uint64_t Normal = 1000;
  std::map<uint64_t, int64_t> Held;
  std::set<uint64_t> Ended;
  for (int64_t Ms = 0; Ms < 60000; Ms += 50) {
    for (uint64_t Id = 1; Id <= 200; ++Id) {
      if (Ended.count(Id) != 0)
        continue;
      // Some read a little.
      int64_t Taken = Id % 4 == 0 ? EventBytes / 4 : 0;
      Held[Id] += EventBytes;
      Account.set(reader(Id, 1 + Id % 5), Held[Id], at(Ms));
      Held[Id] -= Taken;
      Account.set(reader(Id, 1 + Id % 5), Held[Id], at(Ms));
    }
    Account.set(reader(Normal, 1), EventBytes, at(Ms));
    while (std::optional<uint64_t> Id = Account.nextToEnd(at(Ms))) {
      REQUIRE(*Id != Normal);
      Ended.insert(*Id);
      Account.set(reader(*Id, 1 + *Id % 5), 0, at(Ms));
    }
    Account.set(reader(Normal, 1), 0, at(Ms + 20));
  }
  CHECK(Account.peak() <= Account.bounds().Total);
  CHECK_FALSE(Ended.empty());
}

TEST_CASE("Sums of held bytes are those of their holders") {
  rc::prop("over any order of changes", [] {
    MemoryAccount Account(smallBounds());
    std::map<uint64_t, int64_t> Held;
    auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(1, 6), rc::gen::inRange(0, 400)));
    int64_t Ms = 0;
    for (auto [Id, Kilobytes] : Steps) {
      auto Key = static_cast<uint64_t>(Id);
      Holder Target = reader(Key, Key % 2 + 1);
      Target.Kind = static_cast<HeldKind>(Id % HeldKindCount);
      Held[Key] = Kilobytes * Kilobyte;
      Account.set(Target, Held[Key], at(Ms += 10));
      int64_t Sum = 0;
      int64_t OfOwner = 0;
      int64_t OfKind = 0;
      for (auto [Other, Bytes] : Held) {
        Sum += Bytes;
        OfOwner += Other % 2 + 1 == Target.Owner ? Bytes : 0;
        OfKind += static_cast<int>(Other) % HeldKindCount == Id % HeldKindCount
                      ? Bytes
                      : 0;
      }
      RC_ASSERT(Account.total() == Sum);
      RC_ASSERT(Account.ofOwner(Target.Owner) == OfOwner);
      RC_ASSERT(Account.of(Target.Kind) == OfKind);
      std::optional<uint64_t> Next = Account.nextToEnd(at(Ms));
      RC_ASSERT(!Next || Held[*Next] > 0);
      RC_ASSERT(Sum <= smallBounds().Total || Next);
    }
  });
}
