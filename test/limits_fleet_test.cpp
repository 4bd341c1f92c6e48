//===- limits_fleet_test.cpp - Limits kept by many hosts ------------------===//
//
// Plays a replica that names a limit or is cold, and hosts that share it, with
// a simulated clock, lost datagrams, restarts and cuts between the hosts.
//
//===----------------------------------------------------------------------===//

#include "berylramp/limits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace berylramp;

namespace {

const ReplicaProcess Limited{77, 1, PlaceId("a")};
constexpr double StepSeconds = 0.02;
constexpr double TickSeconds = 0.25;
constexpr double GossipSeconds = 0.5;
constexpr int GossipTargets = 3;
constexpr double HeardSeconds = 8;
constexpr double LossRate = 0.2;
/// The operators' bound: requests in any window from SettledSeconds after the
/// first answer with the limit on.
constexpr double WindowSeconds = 4;
constexpr double SettledSeconds = 4;
constexpr double ColdWindowSeconds = 1;

Instant at(double Seconds) { return Instant{absl::Seconds(Seconds)}; }

struct FleetSettings {
  size_t Hosts = 8;
  double PerSecond = 1;
  /// Requests per second of each host that could go to the replica.
  double Demand = 5;
  /// Share of the hosts that are cut off from the others, but not from the
  /// replica, between the two times.
  double CutShare = 0;
  double CutFrom = 0;
  double CutTo = 0;
  /// When a third of the hosts restarts.
  double RestartAt = HUGE_VAL;
  double EndsAt = 60;
  /// The replica is cold and names no limit: the bound is the one on cold
  /// replicas, for any second from the start on.
  bool IsCold = false;
};

struct FleetResult {
  int64_t MostInWindow = 0;
  double Allowed = 0;
  /// Share of the limit that was used while it was settled.
  double Use = 0;
};

class LimitFleet {
public:
  LimitFleet(FleetSettings Options, uint32_t Seed)
      : Options(Options), Random(Seed) {
    for (size_t Index = 0; Index < Options.Hosts; ++Index)
      this->Hosts.push_back(this->makeHost(Index));
  }

  FleetResult play() {
    for (double Now = 0; Now < this->Options.EndsAt; Now += StepSeconds)
      this->step(Now);
    FleetResult Result;
    double Window = this->Options.IsCold ? ColdWindowSeconds : WindowSeconds;
    Result.Allowed = 1.5 * this->Options.PerSecond * Window + 5;
    int64_t Settled = 0;
    for (auto First = this->Arrivals.begin(); First != this->Arrivals.end();
         ++First) {
      if (*First < SettledSeconds && !this->Options.IsCold)
        continue;
      Settled += *First < SettledSeconds ? 0 : 1;
      auto End = std::lower_bound(First, this->Arrivals.end(), *First + Window);
      Result.MostInWindow = std::max<int64_t>(Result.MostInWindow, End - First);
    }
    Result.Use =
        static_cast<double>(Settled) /
        (this->Options.PerSecond * (this->Options.EndsAt - SettledSeconds));
    return Result;
  }

private:
  struct Host {
    LimitMember Self;
    LimitMembers Members;
    ReplicaLimits Limits;
    double StartedAt = 0;
    /// When this host last heard of each other one.
    std::vector<double> HeardAt;
  };
  struct Datagram {
    double At;
    size_t To;
    std::vector<NamedLimit> Reports;
  };

  Host makeHost(size_t Index) const {
    PlaceId Place(std::string(1, static_cast<char>('a' + Index % 3)));
    LimitMember Self{static_cast<uint32_t>(0x0A010000 + Index), Place};
    Host Made{Self, LimitMembers(Self), ReplicaLimits(), 0,
              std::vector<double>(this->Options.Hosts, -HeardSeconds)};
    if (this->Options.IsCold) {
      Made.Limits.setWarmup(Limited.IdHash, {this->Options.PerSecond, 1.5, 5});
      Made.Limits.setColdUntil(Limited.IdHash, at(this->Options.EndsAt + 1),
                               at(0));
    }
    return Made;
  }

  double draw() { return this->Unit(this->Random); }

  bool reach(size_t A, size_t B, double Now) const {
    bool IsCut = this->Options.CutFrom <= Now && Now < this->Options.CutTo;
    auto Last = static_cast<size_t>(this->Options.CutShare *
                                    static_cast<double>(this->Hosts.size()));
    return !IsCut || (A < Last) == (B < Last);
  }

  void send(size_t From, size_t To, std::vector<NamedLimit> Reports,
            double Now) {
    if (!this->reach(From, To, Now) || this->draw() < LossRate)
      return;
    this->Datagrams.push_back(
        {Now + 0.005 + 0.03 * this->draw(), To, std::move(Reports)});
  }

  void step(double Now) {
    bool Restarts = Now <= this->Options.RestartAt &&
                    this->Options.RestartAt < Now + StepSeconds;
    for (size_t Index = 0; Restarts && Index < this->Hosts.size(); Index += 3) {
      this->Hosts[Index] = this->makeHost(Index);
      this->Hosts[Index].StartedAt = Now;
    }
    auto Due = std::stable_partition(
        this->Datagrams.begin(), this->Datagrams.end(),
        [&](const Datagram &Sent) { return Now < Sent.At; });
    for (auto Sent = Due; Sent != this->Datagrams.end(); ++Sent)
      for (const NamedLimit &Report : Sent->Reports)
        this->Hosts[Sent->To].Limits.merge(Report, at(Now));
    this->Datagrams.erase(Due, this->Datagrams.end());
    this->StepCount += 1;
    for (size_t Index = 0; Index < this->Hosts.size(); ++Index)
      this->stepHost(Index, Now);
  }

  bool isDue(size_t Index, double Interval) const {
    auto Steps = static_cast<int64_t>(Interval / StepSeconds);
    return (this->StepCount + static_cast<int64_t>(Index)) % Steps == 0;
  }

  void stepHost(size_t Index, double Now) {
    Host &Own = this->Hosts[Index];
    if (this->isDue(Index, TickSeconds))
      this->tick(Index, Now);
    if (this->isDue(Index, GossipSeconds)) {
      std::vector<NamedLimit> Reports = Own.Limits.reports(24);
      for (int Target = 0; Target < GossipTargets && !Reports.empty(); ++Target)
        this->send(Index, this->Random() % this->Hosts.size(), Reports, Now);
    }
    if (this->draw() >= this->Options.Demand * StepSeconds ||
        !Own.Limits.allows(Limited, true, at(Now)))
      return;
    Own.Limits.onSent(Limited, at(Now));
    this->Arrivals.push_back(Now);
    if (this->Options.IsCold)
      return;
    std::optional<NamedLimit> News = Own.Limits.observe(
        Limited, this->Options.PerSecond, std::nullopt, at(Now), at(Now));
    for (size_t To = 0; News && To < this->Hosts.size(); ++To)
      this->send(Index, To, {*News}, Now);
  }

  void tick(size_t Index, double Now) {
    Host &Own = this->Hosts[Index];
    std::vector<LimitMember> Heard;
    std::vector<uint32_t> Known;
    for (size_t Other = 0; Other < this->Hosts.size(); ++Other) {
      if (Other == Index)
        continue;
      if (this->reach(Index, Other, Now))
        Own.HeardAt[Other] = Now;
      if (Own.StartedAt == 0)
        Known.push_back(this->Hosts[Other].Self.Ip);
      if (Now - Own.HeardAt[Other] < HeardSeconds)
        Heard.push_back(this->Hosts[Other].Self);
    }
    Own.Members.update(Heard, Known, at(Now));
    if (Now - Own.StartedAt >= 2 || Own.StartedAt == 0)
      Own.Limits.divide(
          Own.Members,
          [](uint64_t) {
            return std::make_optional(LimitedReplica{Limited.Place, 1});
          },
          at(Now));
  }

  FleetSettings Options;
  std::mt19937 Random;
  std::uniform_real_distribution<double> Unit{0, 1};
  std::vector<Host> Hosts;
  std::vector<Datagram> Datagrams;
  std::vector<double> Arrivals;
  int64_t StepCount = 0;
};

/// The hosts of the replica's data centre, a third, offer three times the
/// limit.
double demandFor(double PerSecond, size_t Hosts) {
  return std::max(4.0, 9 * PerSecond / static_cast<double>(Hosts));
}

void checkFleet(const FleetSettings &Options, uint32_t Seed) {
  FleetResult Result = LimitFleet(Options, Seed).play();
  INFO("hosts " << Options.Hosts << ", limit " << Options.PerSecond << ", cut "
                << Options.CutShare << ", seed " << Seed);
  CHECK(static_cast<double>(Result.MostInWindow) <= Result.Allowed);
}

} // namespace

// Guards against requests in excess of a limit that a replica named.
TEST_CASE("Fleets of any size keep a limit and use it") {
  for (size_t Hosts : {1U, 8U, 78U, 300U})
    for (double PerSecond : {0.5, 1.0, 4.0, 50.0}) {
      FleetSettings Options;
      Options.Hosts = Hosts;
      Options.PerSecond = PerSecond;
      Options.Demand = demandFor(PerSecond, Hosts);
      FleetResult Result = LimitFleet(Options, 1).play();
      INFO("hosts " << Hosts << ", limit " << PerSecond);
      CHECK(static_cast<double>(Result.MostInWindow) <= Result.Allowed);
      CHECK(Result.Use >= 0.9);
    }
}

// Guards against parts of a limit that grow when hosts don't reach each other.
TEST_CASE("Fleets keep a limit while hosts are cut off from each other") {
  for (size_t Hosts : {2U, 8U, 78U})
    for (double PerSecond : {0.5, 1.0, 4.0, 50.0})
      for (double CutShare : {0.13, 0.4, 0.5, 0.8})
        for (uint32_t Seed : {1U, 2U}) {
          FleetSettings Options;
          Options.Hosts = Hosts;
          Options.PerSecond = PerSecond;
          Options.Demand = demandFor(PerSecond, Hosts);
          Options.CutShare = CutShare;
          Options.CutFrom = 10;
          Options.CutTo = 36;
          checkFleet(Options, Seed);
        }
}

// Guards against hosts that forget a limit when they restart.
TEST_CASE("Fleets keep a limit while hosts restart") {
  for (size_t Hosts : {8U, 78U})
    for (double PerSecond : {0.5, 1.0, 10.0})
      for (uint32_t Seed : {1U, 2U, 3U}) {
        FleetSettings Options;
        Options.Hosts = Hosts;
        Options.PerSecond = PerSecond;
        Options.RestartAt = 12;
        checkFleet(Options, Seed);
      }
}

// Guards against a herd at a cold replica, which would end under it.
TEST_CASE("Fleets of any size keep the rate of a cold replica and use it") {
  for (size_t Hosts : {1U, 8U, 85U, 300U})
    for (double PerSecond : {1.0, 4.0, 9.1, 50.0}) {
      FleetSettings Options;
      Options.Hosts = Hosts;
      Options.PerSecond = PerSecond;
      Options.Demand = demandFor(PerSecond, Hosts);
      Options.IsCold = true;
      FleetResult Result = LimitFleet(Options, 1).play();
      INFO("hosts " << Hosts << ", rate " << PerSecond);
      CHECK(static_cast<double>(Result.MostInWindow) <= Result.Allowed);
      CHECK(Result.Use >= 0.8);
    }
}

// Guards against parts of a cold replica's rate that grow when hosts don't
// reach each other.
TEST_CASE("Fleets keep the rate of a cold replica while hosts are cut off") {
  for (size_t Hosts : {8U, 85U, 300U})
    for (double PerSecond : {1.0, 9.1, 50.0})
      for (double CutShare : {0.13, 0.4, 0.5, 0.8}) {
        FleetSettings Options;
        Options.Hosts = Hosts;
        Options.PerSecond = PerSecond;
        Options.Demand = demandFor(PerSecond, Hosts);
        Options.CutShare = CutShare;
        Options.CutFrom = 5;
        Options.CutTo = 20;
        Options.EndsAt = 30;
        Options.IsCold = true;
        checkFleet(Options, 1);
      }
}

// Guards against hosts that take a part before they know the others.
TEST_CASE("Fleets keep the rate of a cold replica while hosts restart") {
  for (size_t Hosts : {8U, 85U, 300U})
    for (double PerSecond : {1.0, 9.1, 50.0})
      for (uint32_t Seed : {1U, 2U}) {
        FleetSettings Options;
        Options.Hosts = Hosts;
        Options.PerSecond = PerSecond;
        Options.Demand = demandFor(PerSecond, Hosts);
        Options.RestartAt = 8;
        Options.EndsAt = 20;
        Options.IsCold = true;
        checkFleet(Options, Seed);
      }
}

TEST_CASE("A host sends a cold replica nothing before the rate is divided") {
  ReplicaLimits Limits;
  Limits.setWarmup(Limited.IdHash, {9, 1.5, 5});
  CHECK(Limits.allows(Limited, true, at(1)));
  Limits.setColdUntil(Limited.IdHash, at(4), at(1));
  CHECK_FALSE(Limits.allows(Limited, true, at(3)));
  CHECK(at(3) < Limits.allowedAt(Limited, true, at(3)));
  CHECK(Limits.allows(Limited, true, at(4)));
}

TEST_CASE("An answer from before a change of a limit does not undo it") {
  ReplicaLimits Limits;
  REQUIRE(Limits.observe(Limited, 2, std::nullopt, at(1), at(1)));
  CHECK_FALSE(
      Limits.observe(Limited, std::nullopt, std::nullopt, at(0.5), at(1.1)));
  CHECK(Limits.limitOf(Limited) == 2);
  CHECK_FALSE(Limits.observe(Limited, 4, std::nullopt, at(0.9), at(1.2)));
  CHECK(Limits.observe(Limited, 1, std::nullopt, at(0.9), at(1.3)));
  CHECK(Limits.observe(Limited, 4, std::nullopt, at(2), at(2.1)));
  CHECK(Limits.observe(Limited, std::nullopt, std::nullopt, at(3), at(3.1)));
  CHECK(Limits.limitOf(Limited) == std::nullopt);
  CHECK(Limits.allows(Limited, false, at(3.1)));
}

TEST_CASE("A limit holds for the replica's process that named it") {
  ReplicaLimits Limits;
  REQUIRE(Limits.observe(Limited, 2, std::nullopt, at(1), at(1)));
  ReplicaProcess Restarted = Limited;
  Restarted.StartedAtMs += 1;
  CHECK(Limits.allows(Restarted, false, at(1)));
  CHECK_FALSE(Limits.allows(Limited, false, at(1)));
}

TEST_CASE("Reports of a limit that were overtaken are ignored") {
  ReplicaLimits Limits;
  CHECK(Limits.merge({77, 1, 2, std::nullopt, std::nullopt}, at(1)));
  CHECK_FALSE(Limits.merge({77, 1, 1, 3.0, std::nullopt}, at(2)));
  CHECK_FALSE(Limits.merge({77, 1, 2, std::nullopt, std::nullopt}, at(2)));
  CHECK(Limits.merge({77, 1, 2, 5.0, std::nullopt}, at(3)));
  CHECK_FALSE(Limits.merge({77, 1, 2, 6.0, std::nullopt}, at(3)));
  CHECK(Limits.limitOf(Limited) == 5);
}

TEST_CASE("A request that is not urgent leaves a reserve of a limit") {
  ReplicaLimits Limits;
  LimitMembers Members({1, PlaceId("a")});
  REQUIRE(Limits.observe(Limited, 1, std::nullopt, at(0), at(0)));
  Limits.divide(
      Members,
      [](uint64_t) {
        return std::make_optional(LimitedReplica{Limited.Place, 1});
      },
      at(0));
  CHECK(Limits.allows(Limited, true, at(1.01)));
  CHECK_FALSE(Limits.allows(Limited, false, at(1.01)));
  CHECK(at(1.3) < Limits.allowedAt(Limited, false, at(1.01)));
  CHECK(Limits.allows(Limited, false, at(1.5)));
}

TEST_CASE(
    "The parts of a brittle replica's room add up to less than its slots") {
  for (size_t Hosts : {1U, 2U, 8U, 78U, 300U})
    for (int Slots : {1, 2, 6, 32, 64}) {
      std::vector<LimitMember> Members;
      for (size_t Index = 0; Index < Hosts; ++Index)
        Members.push_back(
            {static_cast<uint32_t>(Index + 1),
             PlaceId(std::string(1, static_cast<char>('a' + Index % 3)))});
      int Sum = 0;
      for (const LimitMember &Member : Members)
        Sum += roomPart(Slots, Limited, Members, Member);
      CAPTURE(Hosts, Slots);
      CHECK(Sum <= Slots);
      CHECK(Sum >= std::max(1, static_cast<int>(0.8 * Slots)));
    }
}

TEST_CASE("A host has no room at a brittle replica until room is divided") {
  ReplicaLimits Limits;
  LimitMembers Members({1, PlaceId("a")});
  CHECK(Limits.roomOf(Limited) == std::nullopt);
  std::optional<NamedLimit> News =
      Limits.observe(Limited, std::nullopt, 3, at(0), at(0));
  REQUIRE(News);
  CHECK(Limits.roomOf(Limited) == 0);
  Limits.divide(
      Members,
      [](uint64_t) {
        return std::make_optional(LimitedReplica{Limited.Place, 10});
      },
      at(0));
  CHECK(Limits.roomOf(Limited) == 9);
  CHECK(Limits.allows(Limited, false, at(0)));
  ReplicaLimits Others;
  CHECK(Others.merge(*News, at(0)));
  CHECK(Others.roomOf(Limited) == 0);
  CHECK(Limits.observe(Limited, std::nullopt, std::nullopt, at(1), at(1)));
  CHECK(Limits.roomOf(Limited) == std::nullopt);
}
