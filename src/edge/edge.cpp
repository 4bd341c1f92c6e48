//===- edge.cpp - The entry daemon on a platform --------------------------===//
//
// All code runs on one event loop. Requests never wait for the store: followers
// keep the table, the replica entries and the roll-out states in memory, and a
// host whose reads of the store fail fetches them from its peers.
//
//===----------------------------------------------------------------------===//

#include "edge_state.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "berylramp/json.h"
#include <algorithm>
#include <ctime>

namespace berylramp {

namespace {

/// Minimum advance of the boot clock over the steady clock between two readings
/// that is logged as a pause of the host.
constexpr absl::Duration MinReportedPause = absl::Milliseconds(400);

absl::Duration readClock(clockid_t Clock) {
  timespec Now{};
  clock_gettime(Clock, &Now);
  return absl::DurationFromTimespec(Now);
}

} // namespace

void EdgeDaemon::State::tick() {
  this->Peers.self().Ready = this->ready();
  this->Peers.self().Leaving = this->Leaving;
  this->Relayer->setRetrySlack(this->retrySlackShare());
  this->Rollouts->tick(this->Peers);
  this->Quarantine->tick();
  this->logWarmthChanges();
  this->divideLimits();
  this->closeTunnelsOverLeavingHosts();
  this->detectHostPause();
}

double EdgeDaemon::State::retrySlackShare() const {
  return std::max(1.0, this->Config.Bounds.RetrySlack * RetrySlackFraction /
                           static_cast<double>(this->hostCount()));
}

size_t EdgeDaemon::State::hostCount() const {
  // The retry slack is divided by at least this number, because hosts that this
  // host has not seen yet use a part of it too.
  constexpr size_t MinHostCount = 8;
  return std::max(MinHostCount, this->Peers.live(this->Timer.now()).size() + 1);
}

void EdgeDaemon::State::sweep() {
  Instant Now = this->Timer.now();
  this->Registry.sweep(Now);
  this->Peers.sweep(Now);
  this->Relayer->closeIdleConnections();
  for (auto Failed = this->FailedPeers.begin();
       Failed != this->FailedPeers.end();)
    Failed = Now - Failed->second > PeerFailureTime
                 ? this->FailedPeers.erase(Failed)
                 : std::next(Failed);
}

void EdgeDaemon::State::detectHostPause() {
  absl::Duration Gap = readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
  bool IsFirstReading = this->ClockGap == absl::InfiniteDuration();
  absl::Duration Pause =
      IsFirstReading ? absl::ZeroDuration() : Gap - this->ClockGap;
  this->ClockGap = Gap;
  if (Pause < MinReportedPause)
    return;
  Json::Value Line(Json::objectValue);
  Line["paused_ms"] = Json::Int64(absl::ToInt64Milliseconds(Pause));
  logEvent(LogLevel::Warn, "host_paused", Line);
}

void EdgeDaemon::State::finishStop() {
  if (!this->OnStopped)
    return;
  this->closeAll();
  std::function<void()> Done;
  std::swap(Done, this->OnStopped);
  Done();
}

void EdgeDaemon::State::closeAll() {
  this->Relayer->abortAll();
  this->Relayer->closeTunnels();
  this->CallerListener->close();
  this->ReadyListener->close();
  this->DirectoryListener->close();
  this->PeerListener->close();
  this->Link->close();
  for (const auto &Follower : {this->Operators, this->States, this->Replicas})
    if (Follower != nullptr)
      Follower->stop();
}

EdgeDaemon::EdgeDaemon(boost::asio::io_context &Loop, LoopTimer &Timer,
                       HostConfig Config, EdgePlatform Platform,
                       EdgeSettings Settings)
    : Shared(std::make_shared<State>(Loop, Timer, std::move(Config),
                                     std::move(Platform), Settings)) {}

EdgeDaemon::~EdgeDaemon() {
  if (this->Shared->Link != nullptr)
    this->Shared->closeAll();
}

absl::Status EdgeDaemon::start() { return this->Shared->start(); }

absl::Status EdgeDaemon::serveMetrics(const Endpoint &ListenAddress) {
  State &Self = *this->Shared;
  Self.MetricsListener = Self.makeServiceListener(
      [this](const CallerRequest &, const ResponderPtr &Responder) {
        HttpHead Head;
        Head.Status = 200;
        Head.Headers.emplace_back("Content-Type", "text/plain");
        Responder->sendWhole(Head, this->metricsText(), false);
      });
  return Self.MetricsListener->listen(ListenAddress);
}

void EdgeDaemon::stop(std::function<void()> Done) {
  auto Self = this->Shared;
  if (Self->Leaving)
    return;
  Self->Leaving = true;
  Self->LeavingSince = Self->Timer.now();
  Self->OnStopped = std::move(Done);
  Self->Peers.self().Leaving = true;
  Self->CallerListener->startDraining();
  Self->Link->sendState();
  absl::Duration CloseDelay =
      Self->Config.Bounds.GracePeriod - Self->Settings.CloseMargin;
  Self->Timer.after(CloseDelay, [Self] { Self->finishStop(); });
  Self->Timer.schedulePeriodic(TickInterval, [Self] {
    bool RefusesNew =
        Self->Timer.now() - Self->LeavingSince > Self->Settings.RefuseNewDelay;
    if (RefusesNew)
      Self->Relayer->retryWaiting();
    // An answer that its caller has not read completely is still sent.
    if (RefusesNew && Self->Relayer->activeRequests() == 0 &&
        Self->Relayer->busyTunnels() == 0 &&
        Self->CallerListener->busyConnections() == 0)
      Self->finishStop();
  });
}

void EdgeDaemon::reload(const HostConfig &Config) {
  this->Shared->Config.Seeds = Config.Seeds;
  for (const Endpoint &Seed : Config.Seeds)
    this->Shared->Peers.addAddress(parseIp(Seed.Ip), this->Shared->Timer.now());
}

Metrics &EdgeDaemon::metrics() { return this->Shared->Counters; }

std::string EdgeDaemon::metricsText() {
  std::vector<Gauge> Gauges;
  Gauges.push_back(
      {"berylramp_requests_active",
       static_cast<double>(this->Shared->Relayer->activeRequests())});
  Gauges.push_back(
      {"berylramp_requests_waiting",
       static_cast<double>(this->Shared->Relayer->waitingRequests())});
  Gauges.push_back({"berylramp_tunnels_open",
                    static_cast<double>(this->Shared->Relayer->openTunnels())});
  Gauges.push_back({"berylramp_paths_lost",
                    this->Shared->Relayer->hasLostPaths() ? 1.0 : 0.0});
  Gauges.push_back({"berylramp_places_evacuated",
                    static_cast<double>(this->Shared->Evacuations.size())});
  Gauges.push_back({"berylramp_replicas_known",
                    static_cast<double>(this->Shared->Registry.size())});
  Gauges.push_back({"berylramp_replicas_cold",
                    static_cast<double>(this->Shared->Registry.coldCount(
                        this->Shared->Timer.now()))});
  Gauges.push_back({"berylramp_peers_known",
                    static_cast<double>(this->Shared->Peers.size())});
  const MemoryAccount &Held = this->Shared->Relayer->memoryAccount();
  for (int Index = 0; Index < HeldKindCount; ++Index) {
    auto Kind = static_cast<HeldKind>(Index);
    Gauges.push_back(
        {absl::StrCat("held_bytes{kind=\"", heldKindName(Kind), "\"}"),
         static_cast<double>(Held.of(Kind))});
  }
  Gauges.push_back({"held_bytes_peak", static_cast<double>(Held.peak())});
  Gauges.push_back(
      {"held_bytes_bound", static_cast<double>(Held.bounds().Total)});
  RouteTablePtr Table = this->Shared->Table;
  Gauges.push_back({"berylramp_table_version",
                    Table ? static_cast<double>(Table->Version.count()) : -1});
  for (Gauge &Sample : this->Shared->Relayer->engineGauges())
    Gauges.push_back(std::move(Sample));
  return this->Shared->Counters.exposition(Gauges);
}

} // namespace berylramp
