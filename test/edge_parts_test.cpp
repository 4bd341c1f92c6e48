//===- edge_parts_test.cpp - Directory and health of readers --------------===//

#include "directory.h"
#include "reader_health.h"

#include <catch2/catch.hpp>
#include <map>

using namespace berylramp;

namespace {

PeerState makeHost(uint32_t Ip, const std::string &Place) {
  PeerState State;
  State.Ip = Ip;
  State.Place = PlaceId(Place);
  State.Ready = true;
  return State;
}

const std::map<PlaceId, std::string> Regions = {
    {PlaceId("a1"), "a"}, {PlaceId("a2"), "a"}, {PlaceId("b1"), "b"}};

std::vector<uint32_t> listHosts(const std::string &Place,
                                const std::string &Region,
                                const std::vector<PeerState> &Hosts) {
  DirectoryQuery Query;
  Query.Place = PlaceId(Place);
  Query.Region = Region;
  Query.Regions = &Regions;
  return hostsFor(Query, Hosts);
}

} // namespace

TEST_CASE("The directory lists the hosts of the caller's data centre") {
  CHECK(listHosts("a1", "a",
                  {makeHost(1, "a1"), makeHost(2, "a1"), makeHost(3, "b1")}) ==
        std::vector<uint32_t>{1, 2});
}

TEST_CASE("The directory lists the region when only one host is near") {
  CHECK(listHosts("a1", "a",
                  {makeHost(1, "a1"), makeHost(2, "a2"), makeHost(3, "b1")}) ==
        std::vector<uint32_t>{1, 2});
  CHECK(listHosts("a1", "a", {makeHost(1, "a1"), makeHost(3, "b1")}).size() ==
        2);
}

TEST_CASE("The directory omits hosts that leave or are not ready") {
  PeerState Leaving = makeHost(1, "a1");
  Leaving.Leaving = true;
  PeerState Starting = makeHost(2, "a1");
  Starting.Ready = false;
  CHECK(listHosts("a1", "a", {Leaving, Starting, makeHost(3, "b1")}) ==
        std::vector<uint32_t>{3});
}

TEST_CASE("Callers without near hosts are named those in allowed regions") {
  DirectoryQuery Query;
  Query.Place = PlaceId("a1");
  Query.Region = "a";
  std::map<PlaceId, std::string> Three = Regions;
  Three[PlaceId("c1")] = "c";
  Query.Regions = &Three;
  Query.Allowed = {{RegionId("c")}};
  std::vector<PeerState> Hosts = {makeHost(1, "b1"), makeHost(2, "c1"),
                                  makeHost(3, "unknown")};
  CHECK(hostsFor(Query, Hosts) == std::vector<uint32_t>{2});
  Hosts.push_back(makeHost(4, "a2"));
  CHECK(hostsFor(Query, Hosts) == std::vector<uint32_t>{2, 4});
  Hosts.push_back(makeHost(5, "a1"));
  CHECK(hostsFor(Query, Hosts) == std::vector<uint32_t>{4, 5});
  // Any host is better than none.
  Query.Allowed = {{RegionId("d")}};
  CHECK(hostsFor(Query, {makeHost(1, "b1"), makeHost(2, "c1")}).size() == 2);
}

TEST_CASE("The current reader of a region stays the reader") {
  PeerState A = makeHost(1, "a1");
  PeerState B = makeHost(2, "a1");
  PeerState C = makeHost(3, "a1");
  for (PeerState *Host : {&A, &B, &C})
    Host->Ready = true;
  CHECK(chooseReader({&A, &B, &C}, 9) == 1);
  B.Store = StoreRole::Reader;
  CHECK(chooseReader({&A, &B, &C}, 9) == 2);
  C.Store = StoreRole::Reader;
  CHECK(chooseReader({&C, &B, &A}, 9) == 2);
}

TEST_CASE("Hosts that read the store write states before others") {
  PeerState A = makeHost(1, "a1");
  PeerState B = makeHost(2, "a1");
  CHECK(writesBefore(A, B));
  CHECK_FALSE(writesBefore(B, A));
  B.Store = StoreRole::Reader;
  CHECK(writesBefore(B, A));
  CHECK_FALSE(writesBefore(A, B));
}

TEST_CASE("A few hosts probe a failing store, however many there are") {
  for (uint32_t Count : {1U, 2U, 30U, 300U}) {
    CAPTURE(Count);
    std::vector<PeerState> Hosts;
    for (uint32_t Ip = 1; Ip <= Count; ++Ip)
      Hosts.push_back(makeHost(Ip, "a1"));
    size_t Probers = 0;
    for (const PeerState &Self : Hosts) {
      std::vector<const PeerState *> Others;
      for (const PeerState &Host : Hosts)
        if (Host.Ip != Self.Ip)
          Others.push_back(&Host);
      Probers += probesOften(Self.Ip, Others) ? 1 : 0;
    }
    CHECK(Probers == std::min<size_t>(Count, ProbersPerRegion));
  }
}

TEST_CASE("A host that the store does not serve is not the reader") {
  PeerState A = makeHost(1, "a1");
  PeerState B = makeHost(2, "a1");
  A.Ready = true;
  B.Ready = true;
  A.Store = StoreRole::Unreachable;
  CHECK(chooseReader({&A, &B}, 9) == 2);
  B.Leaving = true;
  CHECK(chooseReader({&A, &B}, 9) == 9);
}

TEST_CASE("A reader fails after two stale answers in a row or a missing one") {
  ReaderHealth Health;
  Instant Now{absl::Seconds(10)};
  recordAnswer(Health, 1, ReaderAnswer::Stale, Now);
  CHECK_FALSE(hasFailed(Health, 1, Now));
  // Another reader's stale answer is not the second one of the first reader.
  recordAnswer(Health, 2, ReaderAnswer::Stale, Now);
  recordAnswer(Health, 1, ReaderAnswer::Stale, Now);
  CHECK_FALSE(hasFailed(Health, 1, Now));
  recordAnswer(Health, 1, ReaderAnswer::Usable, Now);
  recordAnswer(Health, 1, ReaderAnswer::Stale, Now);
  CHECK_FALSE(hasFailed(Health, 1, Now));
  recordAnswer(Health, 1, ReaderAnswer::Stale, Now);
  CHECK(hasFailed(Health, 1, Now));
  recordAnswer(Health, 2, ReaderAnswer::Missing, Now);
  CHECK(hasFailed(Health, 2, Now));
  CHECK_FALSE(hasFailed(Health, 2, Now + absl::Minutes(1)));
}
