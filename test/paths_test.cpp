//===- paths_test.cpp - Whether this host reaches the replicas ------------===//

#include "berylramp/paths.h"
#include "directory.h"

#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>
#include <random>

using namespace berylramp;

namespace {

Instant at(double Seconds) { return Instant{absl::Seconds(Seconds)}; }

PathTarget target(uint64_t Replica, const std::string &Service = "engine",
                  const std::string &Place = "a") {
  return {Replica, ServiceId(Service), PlaceId(Place)};
}

} // namespace

TEST_CASE("A single replica that is not reached is no lost path") {
  PathMonitor Paths;
  for (int Failure = 0; Failure < 20; ++Failure)
    Paths.onUnreached(target(1), at(1 + Failure * 0.1));
  CHECK_FALSE(Paths.isLost(target(1)));
  CHECK_FALSE(Paths.anyLost());
}

TEST_CASE(
    "Several replicas that are not reached are a lost path until one is") {
  PathMonitor Paths;
  Paths.onReached(target(3), at(0.5));
  Paths.onUnreached(target(1), at(1));
  Paths.onUnreached(target(2), at(1.2));
  CHECK(Paths.isLost(target(3)));
  std::vector<PathChange> Changes = Paths.takeChanges();
  CHECK(Changes.size() == 3);
  CHECK(Paths.takeChanges().empty());
  Paths.onReached(target(3), at(1.5));
  CHECK_FALSE(Paths.isLost(target(1)));
  CHECK_FALSE(Paths.anyLost());
}

TEST_CASE("A connection that began before another was opened is no evidence") {
  PathMonitor Paths;
  Paths.onReached(target(3), at(2));
  Paths.onUnreached(target(1), at(1.7));
  Paths.onUnreached(target(2), at(1.9));
  CHECK_FALSE(Paths.anyLost());
}

TEST_CASE("Failures that are far apart are no lost path") {
  PathMonitor Paths;
  Paths.onUnreached(target(1), at(1));
  Paths.onUnreached(target(2), at(9));
  CHECK_FALSE(Paths.anyLost());
}

TEST_CASE("A service that is cut off alone leaves the paths to others") {
  PathMonitor Paths;
  Paths.onUnreached(target(1, "engine"), at(1));
  Paths.onUnreached(target(2, "engine"), at(1.1));
  Paths.onReached(target(3, "plain"), at(1.2));
  CHECK(Paths.isLost(target(1, "engine")));
  CHECK(Paths.isLost(target(4, "engine", "b")));
  CHECK_FALSE(Paths.isLost(target(3, "plain")));
}

TEST_CASE("A service that is cut off alone leaves mixed groups alone") {
  PathMonitor Paths;
  for (int Step = 0; Step < 20; ++Step) {
    Paths.onReached(target(3, "plain"), at(1 + Step * 0.3));
    Paths.onUnreached(target(1, "engine"), at(1.1 + Step * 0.3));
    Paths.onUnreached(target(2, "engine"), at(1.2 + Step * 0.3));
  }
  std::vector<PathChange> Changes = Paths.takeChanges();
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Group == "service engine");
}

TEST_CASE("A data centre that is cut off alone leaves the paths to others") {
  PathMonitor Paths;
  Paths.onUnreached(target(1, "engine", "a"), at(1));
  Paths.onUnreached(target(2, "engine", "a"), at(1.1));
  Paths.onReached(target(3, "engine", "b"), at(1.2));
  CHECK(Paths.isLost(target(1, "engine", "a")));
  CHECK_FALSE(Paths.isLost(target(3, "engine", "b")));
}

TEST_CASE("A replica that only other hosts reach is a lost path") {
  PathMonitor Paths;
  Paths.onReachedByPeer(target(1), at(0.5));
  CHECK_FALSE(Paths.anyLost());
  Paths.onUnreached(target(1), at(1));
  Paths.onReachedByPeer(target(1), at(1.1));
  CHECK(Paths.isLost(target(1)));
  CHECK_FALSE(Paths.isLost(target(2)));
  Paths.onReached(target(1), at(3));
  CHECK_FALSE(Paths.isLost(target(1)));
}

TEST_CASE("Probes of a lost path reach all its replicas in turn") {
  PathMonitor Paths;
  Paths.onUnreached(target(1), at(1));
  Paths.onUnreached(target(2), at(1));
  std::vector<PathTarget> Known = {target(1), target(2), target(3)};
  std::set<uint64_t> Probed;
  for (int Round = 0; Round < 3; ++Round)
    for (uint64_t Replica : Paths.chooseProbes(Known))
      Probed.insert(Replica);
  CHECK(Probed.size() == 3);
  Paths.retain({});
  CHECK_FALSE(Paths.anyLost());
}

// Hosts that lost their paths must spread over all hosts that did not.
TEST_CASE("Tunnels of half of the hosts spread over the others") {
  size_t HostCount = GENERATE(8, 78, 300);
  CAPTURE(HostCount);
  std::mt19937 Random(20261204);
  constexpr size_t PlaceCount = 3;
  std::map<PlaceId, std::string> Regions;
  for (size_t Place = 0; Place < PlaceCount; ++Place)
    Regions[PlaceId(absl::StrCat("p", Place))] = absl::StrCat("r", Place);
  auto PlaceOf = [&](size_t Index) {
    return PlaceId(absl::StrCat("p", Index % PlaceCount));
  };
  std::vector<PeerState> States(HostCount);
  for (size_t Index = 0; Index < HostCount; ++Index) {
    States[Index].Ip = static_cast<uint32_t>(Index + 1);
    States[Index].Place = PlaceOf(Index);
    States[Index].Ready = true;
    States[Index].LostPaths = Random() % 2 == 0;
  }
  // One data centre whose hosts were all cut off.
  for (PeerState &State : States)
    if (State.Place == PlaceOf(0))
      State.LostPaths = true;
  std::map<uint32_t, int> Tunnels;
  int Total = 0;
  for (const PeerState &Own : States) {
    if (!Own.LostPaths)
      continue;
    for (int Request = 0; Request < 60; ++Request) {
      TunnelQuery Query{Own.Place, PlaceOf(Random()), &Regions, {}};
      std::vector<const PeerState *> Others;
      for (const PeerState &Other : States)
        if (Other.Ip != Own.Ip)
          Others.push_back(&Other);
      std::vector<uint32_t> Candidates = tunnelCandidates(Query, Others);
      REQUIRE_FALSE(Candidates.empty());
      Tunnels[Candidates[Random() % Candidates.size()]] += 1;
      Total += 1;
    }
  }
  size_t Sound = 0;
  int Most = 0;
  for (const PeerState &State : States) {
    Sound += State.LostPaths ? 0 : 1;
    Most = std::max(Most, Tunnels[State.Ip]);
    if (State.LostPaths)
      CHECK(Tunnels[State.Ip] == 0);
  }
  CHECK(Most <= 3.0 * Total / static_cast<double>(Sound));
}

TEST_CASE(
    "A tunnel leads over a host in the replica's data centre if possible") {
  std::map<PlaceId, std::string> Regions = {
      {PlaceId("a"), "x"}, {PlaceId("b"), "x"}, {PlaceId("c"), "y"}};
  std::vector<PeerState> States(3);
  const std::vector<std::string> Places = {"a", "b", "c"};
  std::vector<const PeerState *> Hosts;
  for (size_t Index = 0; Index < States.size(); ++Index) {
    States[Index].Ip = static_cast<uint32_t>(Index + 1);
    States[Index].Place = PlaceId(Places[Index]);
    States[Index].Ready = true;
    Hosts.push_back(&States[Index]);
  }
  TunnelQuery Query{PlaceId("a"), PlaceId("c"), &Regions, {}};
  CHECK(tunnelCandidates(Query, Hosts) == std::vector<uint32_t>{3});
  Query.Excluded = {3};
  CHECK(tunnelCandidates(Query, Hosts) == std::vector<uint32_t>{1});
  States[0].Leaving = true;
  CHECK(tunnelCandidates(Query, Hosts) == std::vector<uint32_t>{2});
  States[1].LostPaths = true;
  States[2].LostPaths = true;
  Query.Excluded.clear();
  CHECK(tunnelCandidates(Query, Hosts) == std::vector<uint32_t>{3});
}

TEST_CASE("A tunnel leads over hosts in allowed regions only") {
  std::map<PlaceId, std::string> Regions = {{PlaceId("a"), "x"},
                                            {PlaceId("b"), "y"}};
  std::vector<PeerState> States(3);
  const std::vector<std::string> Places = {"a", "b", "unknown"};
  std::vector<const PeerState *> Hosts;
  for (size_t Index = 0; Index < States.size(); ++Index) {
    States[Index].Ip = static_cast<uint32_t>(Index + 1);
    States[Index].Place = PlaceId(Places[Index]);
    States[Index].Ready = true;
    Hosts.push_back(&States[Index]);
  }
  TunnelQuery Query{PlaceId("a"), PlaceId("b"), &Regions, {}, {}};
  Query.Allowed = {{RegionId("x")}};
  CHECK(tunnelCandidates(Query, Hosts) == std::vector<uint32_t>{1});
  Query.Allowed = {{RegionId("z")}};
  CHECK(tunnelCandidates(Query, Hosts).empty());
  Query.Allowed.emplace();
  CHECK(tunnelCandidates(Query, Hosts).empty());
}
