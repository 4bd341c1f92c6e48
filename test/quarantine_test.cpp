//===- quarantine_test.cpp - Requests that end replicas -------------------===//

#include "berylramp/quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace berylramp;

namespace {

Instant at(double Seconds) { return Instant{absl::Seconds(Seconds)}; }

constexpr uint64_t Bad = 99;

/// A crash under a request of its own.
InputCrash crashOf(uint64_t Replica, std::vector<uint64_t> Segments) {
  static uint64_t LastIdentity = 1000;
  LastIdentity += 1;
  return {Replica, {std::move(Segments), LastIdentity}};
}

RequestInput inputOf(std::vector<uint64_t> Segments) {
  return {std::move(Segments), 500};
}

} // namespace

TEST_CASE("A segment that takes part in each of three crashes is quarantined") {
  InputQuarantine Quarantine;
  CHECK_FALSE(Quarantine.onCrash(crashOf(1, {7, Bad}), at(1)));
  CHECK_FALSE(Quarantine.onCrash(crashOf(2, {8, Bad}), at(2)));
  CHECK(Quarantine.refusedFor(inputOf({Bad}), at(2)) == absl::ZeroDuration());
  CHECK(Quarantine.onCrash(crashOf(3, {7, Bad}), at(3)) == Bad);
  CHECK(Quarantine.refusedFor(inputOf({5, Bad}), at(3)) > absl::Minutes(1));
  CHECK(Quarantine.refusedFor(inputOf({7}), at(3)) == absl::ZeroDuration());
  CHECK_FALSE(Quarantine.isSuspect(inputOf({7})));
}

TEST_CASE("A segment that is answered between crashes is not quarantined") {
  InputQuarantine Quarantine;
  for (int Round = 1; Round < 20; ++Round) {
    CHECK_FALSE(Quarantine.onCrash(crashOf(static_cast<uint64_t>(Round), {7}),
                                   at(Round)));
    Quarantine.onAnswered(inputOf({7}), at(Round + 0.5), at(Round + 0.5));
  }
}

TEST_CASE("An answer to a request from before the first crash proves nothing") {
  InputQuarantine Quarantine;
  Quarantine.onCrash(crashOf(1, {Bad}), at(1));
  CHECK(Quarantine.onAnswered(inputOf({Bad}), at(0.9), at(1.1)).empty());
  Quarantine.onCrash(crashOf(2, {Bad}), at(2));
  Quarantine.onCrash(crashOf(3, {Bad}), at(3));
  CHECK(Quarantine.isSuspect(inputOf({Bad})));
  CHECK(Quarantine.onCrash(crashOf(4, {Bad}), at(3.6)) == Bad);
}

TEST_CASE("Of segments that always occur together the last one is quarantined "
          "first") {
  InputQuarantine Quarantine;
  for (int Round = 1; Round < 5; ++Round)
    CHECK_FALSE(Quarantine.onCrash(
        crashOf(static_cast<uint64_t>(Round), {7, Bad}), at(Round)));
  CHECK(Quarantine.onCrash(crashOf(5, {7, Bad}), at(5)) == Bad);
  CHECK(Quarantine.refusedFor(inputOf({7}), at(5)) == absl::ZeroDuration());
}

TEST_CASE("Replicas that end at the same time count once") {
  InputQuarantine Quarantine;
  for (uint64_t Replica = 1; Replica < 20; ++Replica)
    CHECK_FALSE(Quarantine.onCrash(
        crashOf(Replica, {7}), at(1 + 0.01 * static_cast<double>(Replica))));
}

TEST_CASE("Failures of one replica alone quarantine nothing") {
  InputQuarantine Quarantine;
  for (int Round = 1; Round < 20; ++Round)
    CHECK_FALSE(Quarantine.onCrash(crashOf(1, {7}), at(Round)));
}

TEST_CASE("A quarantine ends, and one crash renews it") {
  InputQuarantine Quarantine;
  CHECK(Quarantine.add(Bad, at(0)));
  CHECK_FALSE(Quarantine.add(Bad, at(1)));
  CHECK(Quarantine.refusedFor(inputOf({Bad}), at(3600)) <=
        absl::ZeroDuration());
  CHECK(Quarantine.onCrash(crashOf(1, {Bad}), at(3600)) == Bad);
  CHECK(Quarantine.refusedFor(inputOf({Bad}), at(3601)) > absl::ZeroDuration());
  Quarantine.release(Bad);
  CHECK(Quarantine.refusedFor(inputOf({Bad}), at(3601)) ==
        absl::ZeroDuration());
}

// Guards against requests that end replica after replica.
TEST_CASE("A request under which three replicas ended is quarantined") {
  InputQuarantine Quarantine;
  RequestInput Deadly{{7}, 11};
  CHECK_FALSE(Quarantine.onCrash({1, Deadly}, at(1)));
  CHECK_FALSE(Quarantine.onCrash({1, Deadly}, at(1.01)));
  CHECK_FALSE(Quarantine.onCrash({2, Deadly}, at(1.1)));
  CHECK(Quarantine.isSuspect(Deadly));
  CHECK(Quarantine.onCrash({3, Deadly}, at(1.2)) == Deadly.Identity);
  CHECK(Quarantine.refusedFor(Deadly, at(1.2)) > absl::Minutes(1));
  CHECK(Quarantine.refusedFor({{7}, 12}, at(1.2)) == absl::ZeroDuration());
}

TEST_CASE("A segment of several requests that end replicas is quarantined") {
  InputQuarantine Quarantine;
  for (uint64_t Replica = 1; Replica <= 3; ++Replica)
    Quarantine.onCrash({Replica, {{Bad}, 11}},
                       at(static_cast<double>(Replica)));
  CHECK(Quarantine.onCrash({4, {{Bad}, 12}}, at(4)) == Bad);
}

TEST_CASE("A request that is answered in between is not quarantined") {
  InputQuarantine Quarantine;
  for (int Round = 1; Round < 20; ++Round) {
    CHECK_FALSE(Quarantine.onCrash({static_cast<uint64_t>(Round), {{}, 11}},
                                   at(Round)));
    Quarantine.onAnswered({{}, 11}, at(Round + 0.5), at(Round + 0.5));
  }
}

TEST_CASE("An answer withdraws the quarantine of a sound segment") {
  InputQuarantine Quarantine;
  for (uint64_t Replica = 1; Replica <= 3; ++Replica)
    Quarantine.onCrash(crashOf(Replica, {7}), at(static_cast<double>(Replica)));
  REQUIRE(Quarantine.refusedFor(inputOf({7}), at(4)) > absl::ZeroDuration());
  // Sent before the first crash.
  CHECK(Quarantine.onAnswered(inputOf({7}), at(0.5), at(4)).empty());
  CHECK(Quarantine.onAnswered(inputOf({7}), at(2.5), at(4)) ==
        std::vector<uint64_t>{7});
  CHECK(Quarantine.refusedFor(inputOf({7}), at(4)) == absl::ZeroDuration());
}

TEST_CASE("A segment that was answered before is given time for an answer") {
  InputQuarantine Quarantine;
  Quarantine.onAnswered(inputOf({7}), at(0), at(0.5));
  for (uint64_t Replica = 1; Replica <= 4; ++Replica)
    CHECK_FALSE(Quarantine.onCrash(crashOf(Replica, {7}),
                                   at(1 + 0.3 * static_cast<double>(Replica))));
  CHECK(Quarantine.onCrash(crashOf(9, {7}), at(4)) == 7);
}

// Guards against verdicts on replicas that never ended.
TEST_CASE(
    "Replicas that live withdraw the quarantine that rested on their end") {
  InputQuarantine Quarantine;
  for (uint64_t Replica = 1; Replica <= 3; ++Replica)
    Quarantine.onCrash(crashOf(Replica, {7}), at(static_cast<double>(Replica)));
  REQUIRE(Quarantine.refusedFor(inputOf({7}), at(4)) > absl::ZeroDuration());
  // A heartbeat from before the end may arrive late.
  CHECK(Quarantine.onAlive(3, at(3.5)).empty());
  CHECK(Quarantine.onAlive(3, at(5.2)).empty());
  CHECK(Quarantine.onAlive(4, at(6)).empty());
  CHECK(Quarantine.onAlive(3, at(6.4)) == std::vector<uint64_t>{7});
  CHECK(Quarantine.refusedFor(inputOf({7}), at(6.5)) == absl::ZeroDuration());
}

namespace {

constexpr uint64_t Guilty = 999;

/// Hosts that send requests with popular segments, a few also with a segment
/// that ends replicas, and tell each other of crashes and answers by datagrams
/// that are delayed and lost.
class QuarantineFleet {
public:
  QuarantineFleet(size_t HostCount, uint32_t Seed)
      : Hosts(HostCount), Random(Seed) {}

  void run(double Seconds) {
    for (double Now = 0; Now < Seconds; Now += Step) {
      this->deliver(Now);
      if (Now > GuiltyFrom && this->Random() % 10 == 0)
        this->send(Now, true);
      this->send(Now, false);
      this->progress(Now);
    }
  }

  /// Crashes later than the time in which the operators want all hosts to know.
  int lateCrashes() const {
    int Late = 0;
    for (size_t Index = 5; Index < this->CrashTimes.size(); ++Index)
      Late += this->CrashTimes[Index] > this->CrashTimes[4] + 4 ? 1 : 0;
    return Late;
  }
  /// Share of sound requests that were refused from \p From on.
  double refusedShare(double From) const {
    int Refused = 0;
    int All = 0;
    for (const auto &[At, WasRefused] : this->Sound) {
      All += At >= From ? 1 : 0;
      Refused += At >= From && WasRefused ? 1 : 0;
    }
    return All == 0 ? 1 : static_cast<double>(Refused) / All;
  }

  static constexpr double GuiltyFrom = 5;

private:
  static constexpr double Step = 0.02;
  static constexpr size_t ReplicaCount = 12;
  static constexpr double CrashAfter = 0.3;
  static constexpr double ProvenAfter = 1;

  struct Running {
    size_t Host;
    size_t Replica;
    double SentAt;
    RequestInput Input;
    bool IsGuilty;
  };
  struct Datagram {
    double At;
    size_t To;
    std::optional<InputCrash> Crash;
    uint64_t Acquitted;
    uint64_t Quarantined;
  };

  void broadcast(size_t From, double Now, Datagram Sent) {
    for (size_t To = 0; To < this->Hosts.size(); ++To) {
      if (To == From || this->Random() % 5 == 0)
        continue;
      Sent.To = To;
      Sent.At = Now + 0.001 * static_cast<double>(5 + this->Random() % 40);
      this->Datagrams.push_back(Sent);
    }
  }

  void deliver(double Now) {
    auto Due = std::stable_partition(
        this->Datagrams.begin(), this->Datagrams.end(),
        [&](const Datagram &Sent) { return Sent.At > Now; });
    std::vector<Datagram> Arrived(Due, this->Datagrams.end());
    this->Datagrams.erase(Due, this->Datagrams.end());
    for (const Datagram &Sent : Arrived) {
      if (Sent.Crash)
        this->onCrash(Sent.To, *Sent.Crash, Now, false);
      else if (Sent.Quarantined != 0)
        this->Hosts[Sent.To].add(Sent.Quarantined, at(Now));
      else
        this->Hosts[Sent.To].release(Sent.Acquitted);
    }
  }

  void onCrash(size_t Host, const InputCrash &Crash, double Now, bool IsOwn) {
    if (IsOwn)
      this->broadcast(Host, Now, {0, 0, Crash, 0, 0});
    std::optional<uint64_t> Found = this->Hosts[Host].onCrash(Crash, at(Now));
    if (Found)
      this->broadcast(Host, Now, {0, 0, std::nullopt, 0, *Found});
  }

  void send(double Now, bool IsGuilty) {
    size_t Host = this->Random() % this->Hosts.size();
    RequestInput Input;
    Input.Identity = 10000 + this->Random();
    Input.Segments = {1, 10 + this->Random() % 3};
    Input.Segments.push_back(IsGuilty ? Guilty : 100 + this->Random() % 40);
    bool IsRefused =
        this->Hosts[Host].refusedFor(Input, at(Now)) > absl::ZeroDuration();
    if (!IsGuilty)
      this->Sound.emplace_back(Now, IsRefused);
    size_t Replica = this->Random() % ReplicaCount;
    if (!IsRefused)
      this->Requests.push_back({Host, Replica, Now, Input, IsGuilty});
  }

  void progress(double Now) {
    std::vector<size_t> Crashed;
    for (const Running &Request : this->Requests)
      if (Request.IsGuilty && Now - Request.SentAt >= CrashAfter)
        Crashed.push_back(Request.Replica);
    std::vector<Running> Left;
    for (Running &Request : this->Requests) {
      bool IsBroken = std::find(Crashed.begin(), Crashed.end(),
                                Request.Replica) != Crashed.end();
      if (IsBroken) {
        this->onCrash(
            Request.Host,
            {Request.Replica * 1000 + this->CrashTimes.size(), Request.Input},
            Now, true);
      } else if (Now - Request.SentAt >= ProvenAfter) {
        for (uint64_t Id : this->Hosts[Request.Host].onAnswered(
                 Request.Input, at(Request.SentAt), at(Now)))
          this->broadcast(Request.Host, Now, {0, 0, std::nullopt, Id, 0});
      } else {
        Left.push_back(std::move(Request));
      }
    }
    this->Requests = std::move(Left);
    std::sort(Crashed.begin(), Crashed.end());
    Crashed.erase(std::unique(Crashed.begin(), Crashed.end()), Crashed.end());
    for (size_t Index = 0; Index < Crashed.size(); ++Index)
      this->CrashTimes.push_back(Now);
  }

  std::vector<InputQuarantine> Hosts;
  std::mt19937 Random;
  std::vector<Running> Requests;
  std::vector<Datagram> Datagrams;
  std::vector<double> CrashTimes;
  std::vector<std::pair<double, bool>> Sound;
};

} // namespace

// Guards against sound prompts that are refused with a guilty one.
TEST_CASE("Fleets convict a segment that ends replicas, and no popular one") {
  for (size_t Hosts : {1U, 3U, 8U, 78U})
    for (uint32_t Seed = 1; Seed <= 10; ++Seed) {
      CAPTURE(Hosts, Seed);
      QuarantineFleet Fleet(Hosts, Seed);
      Fleet.run(30);
      CHECK(Fleet.lateCrashes() <= 3);
      CHECK(Fleet.refusedShare(QuarantineFleet::GuiltyFrom + 10) <= 0.02);
    }
}
