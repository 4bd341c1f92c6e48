//===- rollout_exposure_test.cpp - Requests that a bad version receives ---===//
//
// Plays roll-outs on several hosts with a simulated clock, gossip and store,
// and counts the requests that the target receives.
//
//===----------------------------------------------------------------------===//

#include "rollout_controller.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <random>

using namespace berylramp;

namespace {

const ServiceId Service{"s"};
const VersionId OldVersion{"v1"};
const RolloutOrder Order{Service, VersionId("v2"), absl::Seconds(20)};
const ExposureBounds Bounds{0.15, 30};
/// Operators' bound on the time from the 50th bad answer of a version to the
/// last request that it receives.
constexpr absl::Duration RollbackTime = absl::Seconds(5);
constexpr int64_t BadAnswersBeforeRollback = 50;

struct RequestKind {
  std::string Route;
  /// Share of the service's requests.
  double Share = 1;
  /// Failure rate of every version.
  double FailureRate = 0;
};

/// What determines whether the target fails a request in addition.
struct TargetConditions {
  absl::Duration Elapsed;
  /// Share of the service's requests in the last second that it received.
  double Load = 0;
  const RequestKind &Kind;
};
using TargetFailureRate = std::function<double(const TargetConditions &)>;

struct RolloutResult {
  int64_t Requests = 0;
  int64_t TargetRequests = 0;
  std::optional<absl::Duration> FiftiethBadAt;
  absl::Duration LastTargetRequestAt = absl::ZeroDuration();
  std::optional<RolloutState> State;
  absl::Duration StateRecordedAt = absl::ZeroDuration();

  bool staysWithinBound() const {
    double Allowed = Bounds.Share * static_cast<double>(this->Requests) +
                     static_cast<double>(Bounds.Slack);
    return static_cast<double>(this->TargetRequests) <= Allowed;
  }
  bool rollsBackInTime() const {
    return !this->FiftiethBadAt ||
           this->LastTargetRequestAt <= *this->FiftiethBadAt + RollbackTime;
  }
};

class RolloutSimulation {
public:
  RolloutSimulation(std::vector<RequestKind> Kinds, TargetFailureRate Failures,
                    unsigned Seed)
      : Kinds(std::move(Kinds)), Failures(std::move(Failures)), Random(Seed) {
    for (uint32_t Index = 1; Index <= HostCount; ++Index)
      this->addHost(Index);
  }

  RolloutResult run() {
    constexpr absl::Duration TrafficBefore = absl::Seconds(10);
    for (this->Now = -TrafficBefore; this->Now < 2 * Order.TimeLimit;
         this->Now += Step)
      this->step();
    return this->Result;
  }

private:
  static constexpr uint32_t HostCount = 8;
  static constexpr absl::Duration Step = absl::Milliseconds(10);
  static constexpr double RequestsPerSecond = 40;
  static constexpr absl::Duration AnswerTime = absl::Milliseconds(60);
  static constexpr absl::Duration TickInterval = absl::Milliseconds(250);
  static constexpr absl::Duration GossipInterval = absl::Milliseconds(500);
  static constexpr absl::Duration StoreDelay = absl::Milliseconds(300);
  static constexpr size_t GossipTargets = 3;

  struct Host {
    explicit Host(PeerState Self) : Peers(std::move(Self)) {}
    PeerTable Peers;
    std::unique_ptr<RolloutController> Controller;
  };
  struct Answer {
    absl::Duration At;
    Host *Receiver = nullptr;
    const RequestKind *Kind = nullptr;
    VersionId Version;
    bool Good = true;
  };

  Instant instant() const { return Instant{absl::Seconds(100) + this->Now}; }

  void addHost(uint32_t Index) {
    PeerState Self;
    Self.Ip = Index;
    Self.Place = PlaceId("a");
    Self.Ready = true;
    this->Hosts.push_back(std::make_unique<Host>(Self));
    Host &Added = *this->Hosts.back();
    RolloutController::Ports Ports;
    Ports.WriteState = [this](const RolloutOrder &, RolloutState State,
                              const AppendCallback &Done) {
      this->writeState(State);
      Done(absl::OkStatus());
    };
    Ports.NotifyPeers = [this, &Added] { this->gossip(Added); };
    Ports.WriterRank = [Index] { return static_cast<int>(Index) - 1; };
    Ports.Now = [this] { return this->instant(); };
    Ports.CountReplicas = [](const ServiceId &, const VersionId &) {
      return std::make_pair(size_t{3}, size_t{3});
    };
    Added.Controller =
        std::make_unique<RolloutController>(Bounds, std::move(Ports));
  }

  void step() {
    if (this->Now >= absl::ZeroDuration() && !this->OrderGiven) {
      this->OrderGiven = true;
      for (auto &Member : this->Hosts)
        Member->Controller->onOrder(Order);
    }
    std::bernoulli_distribution Arrives(RequestsPerSecond *
                                        absl::ToDoubleSeconds(Step));
    if (Arrives(this->Random))
      this->sendRequest();
    while (!this->Answers.empty() && this->Answers.front().At <= this->Now) {
      this->receive(this->Answers.front());
      this->Answers.pop_front();
    }
    for (size_t Index = 0; Index < this->Hosts.size(); ++Index) {
      Host &Member = *this->Hosts[Index];
      absl::Duration Offset = 3 * Step * static_cast<int>(Index);
      if (this->isDue(TickInterval, Offset))
        Member.Controller->tick(Member.Peers);
      if (this->isDue(GossipInterval, Offset))
        this->gossip(Member);
    }
    if (this->Recorded && this->Now >= this->RecordedVisibleAt)
      for (auto &Member : this->Hosts)
        Member->Controller->onStateRecorded(Service, Order.Target,
                                            *this->Recorded);
  }

  bool isDue(absl::Duration Interval, absl::Duration Offset) const {
    return (this->Now + absl::Seconds(100) - Offset) % Interval < Step;
  }

  void gossip(Host &Sender) {
    Sender.Peers.self().Rollouts = Sender.Controller->reports();
    std::string Datagram = Sender.Peers.encode(this->instant());
    for (size_t Count = 0; Count < GossipTargets; ++Count)
      this->Hosts[this->Random() % this->Hosts.size()]->Peers.merge(
          Datagram, this->instant());
  }

  void writeState(RolloutState State) {
    bool Ended = this->Recorded && *this->Recorded != RolloutState::InProgress;
    if (Ended || this->Recorded == State)
      return;
    this->Recorded = State;
    this->RecordedVisibleAt = this->Now + StoreDelay;
    if (State == RolloutState::InProgress)
      return;
    this->Result.State = State;
    this->Result.StateRecordedAt = this->Now;
  }

  const RequestKind &drawKind() {
    double Draw = this->uniform();
    for (const RequestKind &Kind : this->Kinds) {
      if (Draw < Kind.Share)
        return Kind;
      Draw -= Kind.Share;
    }
    return this->Kinds.back();
  }

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }

  double targetLoad() {
    while (!this->Recent.empty() &&
           this->Recent.front().first < this->Now - absl::Seconds(1))
      this->Recent.pop_front();
    double Targets = 0;
    for (const auto &[At, IsTarget] : this->Recent)
      Targets += IsTarget ? 1 : 0;
    return this->Recent.empty()
               ? 0
               : Targets / static_cast<double>(this->Recent.size());
  }

  void sendRequest() {
    Host &Receiver = *this->Hosts[this->Random() % this->Hosts.size()];
    const RequestKind &Kind = this->drawKind();
    double Draw = this->uniform();
    bool IsTarget =
        this->Now >= absl::ZeroDuration() &&
        Receiver.Controller->versionFor(Service, Draw).RequireTarget;
    this->Recent.emplace_back(this->Now, IsTarget);
    bool Counts =
        this->Now >= absl::ZeroDuration() && this->Now <= Order.TimeLimit;
    this->Result.Requests += Counts ? 1 : 0;
    double FailureRate = Kind.FailureRate;
    if (IsTarget) {
      this->Result.TargetRequests += Counts ? 1 : 0;
      this->Result.LastTargetRequestAt = this->Now;
      FailureRate = std::max(
          FailureRate, this->Failures({this->Now, this->targetLoad(), Kind}));
    }
    this->Answers.push_back({this->Now + AnswerTime, &Receiver, &Kind,
                             IsTarget ? Order.Target : OldVersion,
                             this->uniform() >= FailureRate});
  }

  void receive(const Answer &Received) {
    bool IsTarget = Received.Version == Order.Target;
    if (IsTarget && !Received.Good) {
      this->BadTargetAnswers += 1;
      if (this->BadTargetAnswers == BadAnswersBeforeRollback)
        this->Result.FiftiethBadAt = this->Now;
    }
    AnswerObservation Observation;
    Observation.Service = Service;
    Observation.Version = Received.Version;
    Observation.Route = Received.Kind->Route;
    Observation.Event =
        Received.Good ? AnswerEvent::FirstByte : AnswerEvent::Failure;
    Observation.Time = AnswerTime;
    Received.Receiver->Controller->observe(Observation);
  }

  std::vector<RequestKind> Kinds;
  TargetFailureRate Failures;
  std::mt19937 Random;
  std::vector<std::unique_ptr<Host>> Hosts;
  absl::Duration Now = absl::ZeroDuration();
  bool OrderGiven = false;
  std::deque<Answer> Answers;
  std::deque<std::pair<absl::Duration, bool>> Recent;
  std::optional<RolloutState> Recorded;
  absl::Duration RecordedVisibleAt = absl::ZeroDuration();
  int64_t BadTargetAnswers = 0;
  RolloutResult Result;
};

constexpr unsigned SeedCount = 20;

/// Plays the roll-out with several seeds and checks each result.
void playRollouts(const std::vector<RequestKind> &Kinds,
                  const TargetFailureRate &Failures,
                  const std::function<void(const RolloutResult &)> &Check) {
  for (unsigned Seed = 1; Seed <= SeedCount; ++Seed) {
    RolloutResult Result = RolloutSimulation(Kinds, Failures, Seed).run();
    INFO("seed " << Seed << ": " << Result.TargetRequests << " of "
                 << Result.Requests << " requests, last at "
                 << Result.LastTargetRequestAt << ", 50th bad answer at "
                 << Result.FiftiethBadAt.value_or(absl::InfiniteDuration())
                 << ", recorded at " << Result.StateRecordedAt);
    Check(Result);
  }
}

const std::vector<RequestKind> OneKind = {{"orders/", 1, 0.01}};

} // namespace

// Guards against a schedule that gives a version more requests than operators
// allow before it could be found bad.
TEST_CASE("A version stays within the exposure bound whatever it turns out to "
          "be, and a good one completes") {
  playRollouts(
      OneKind, [](const TargetConditions &) { return 0.0; },
      [](const RolloutResult &Result) {
        CHECK(Result.staysWithinBound());
        CHECK(Result.State == RolloutState::Complete);
        CHECK(Result.StateRecordedAt <= Order.TimeLimit);
      });
}

// Guards against a jump to all traffic for a version that fails only there.
TEST_CASE("A version that fails only under all traffic stays within the "
          "exposure bound and is reverted") {
  playRollouts(
      OneKind,
      [](const TargetConditions &At) { return At.Load > 0.5 ? 0.6 : 0.0; },
      [](const RolloutResult &Result) {
        CHECK(Result.staysWithinBound());
        CHECK(Result.rollsBackInTime());
        CHECK(Result.State == RolloutState::Reverted);
      });
}

// Guards against good answers of the past that hide a version's present fault.
TEST_CASE("A version that turns bad after many good answers is reverted") {
  playRollouts(
      OneKind,
      [](const TargetConditions &At) {
        return At.Elapsed > absl::Seconds(14) ? 0.5 : 0.0;
      },
      [](const RolloutResult &Result) {
        CHECK(Result.staysWithinBound());
        CHECK(Result.rollsBackInTime());
        CHECK(Result.State == RolloutState::Reverted);
      });
}

// Guards against routes that fail on every version and so hide a fault of the
// target on the others.
TEST_CASE("A fault of the target is seen beside routes that fail on every "
          "version") {
  const std::vector<RequestKind> MixedKinds = {
      {"orders/", 0.55, 0}, {"charges/", 0.35, 0.3}, {"broken/", 0.1, 1}};
  playRollouts(
      MixedKinds,
      [](const TargetConditions &At) { return At.Load > 0.5 ? 0.4 : 0.0; },
      [](const RolloutResult &Result) {
        CHECK(Result.staysWithinBound());
        CHECK(Result.rollsBackInTime());
        CHECK(Result.State == RolloutState::Reverted);
      });
}

// Guards against a fault of one route that the answers of the others hide.
TEST_CASE("A version that is bad on one route is reverted") {
  const std::vector<RequestKind> TwoKinds = {{"orders/", 0.8, 0.01},
                                             {"lookups/", 0.2, 0.01}};
  playRollouts(
      TwoKinds,
      [](const TargetConditions &At) {
        return At.Kind.Route == "lookups/" ? 0.5 : 0.0;
      },
      [](const RolloutResult &Result) {
        CHECK(Result.staysWithinBound());
        CHECK(Result.rollsBackInTime());
        CHECK(Result.State == RolloutState::Reverted);
      });
}
