//===- edge.cpp - The entry daemon on a platform --------------------------===//
//
// Everything runs on one loop. Nothing on the path of a request waits for the
// store: followers keep the table, the replicas and the roll-outs' states in
// memory, and a host that the store turns away learns them from its peers.
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

/// A step of the boot clock against the steady clock that shows a pause.
constexpr absl::Duration PauseNoticed = absl::Milliseconds(400);

absl::Duration clockOf(clockid_t Which) {
  timespec Now{};
  clock_gettime(Which, &Now);
  return absl::DurationFromTimespec(Now);
}

} // namespace

void EdgeDaemon::State::tick() {
  this->Peers.self().Ready = this->ready();
  this->Peers.self().Leaving = this->Leaving;
  this->Relays->setRetrySlack(
      std::max(1.0, this->Facts.Bounds.RetrySlack * SlackPart /
                        static_cast<double>(this->hosts())));
  this->Rollouts->tick(this->Peers);
  this->noticePause();
}

size_t EdgeDaemon::State::hosts() const {
  // Hosts that were not heard of yet share the retry slack too.
  constexpr size_t Fewest = 8;
  return std::max(Fewest, this->Peers.live(this->Timer.now()).size() + 1);
}

void EdgeDaemon::State::sweep() {
  Instant Now = this->Timer.now();
  this->Registry.sweep(Now);
  this->Peers.sweep(Now);
  this->Relays->sweep();
}

void EdgeDaemon::State::noticePause() {
  absl::Duration Gap = clockOf(CLOCK_BOOTTIME) - clockOf(CLOCK_MONOTONIC);
  bool First = this->ClockGap == absl::InfiniteDuration();
  absl::Duration Slept = First ? absl::ZeroDuration() : Gap - this->ClockGap;
  this->ClockGap = Gap;
  if (Slept < PauseNoticed)
    return;
  Json::Value Line(Json::objectValue);
  Line["paused_ms"] = Json::Int64(absl::ToInt64Milliseconds(Slept));
  logEvent(LogLevel::Warn, "host_paused", Line);
}

void EdgeDaemon::State::finishStop() {
  if (!this->Stopped)
    return;
  this->Relays->abortAll();
  this->Callers->close();
  this->Ready->close();
  this->Directory->close();
  this->PeerCalls->close();
  this->Link->close();
  this->Operators->stop();
  this->States->stop();
  this->Replicas->stop();
  std::function<void()> Done;
  std::swap(Done, this->Stopped);
  Done();
}

EdgeDaemon::EdgeDaemon(boost::asio::io_context &Loop, LoopTimer &Timer,
                       HostFacts Facts, EdgePlatform Platform,
                       EdgeSettings Settings)
    : Shared(std::make_shared<State>(Loop, Timer, std::move(Facts),
                                     std::move(Platform), Settings)) {}

EdgeDaemon::~EdgeDaemon() = default;

absl::Status EdgeDaemon::start() { return this->Shared->start(); }

void EdgeDaemon::stop(std::function<void()> Done) {
  auto Self = this->Shared;
  if (Self->Leaving)
    return;
  Self->Leaving = true;
  Self->LeavingSince = Self->Timer.now();
  Self->Stopped = std::move(Done);
  Self->Peers.self().Leaving = true;
  Self->Callers->startLeaving();
  Self->Link->spread();
  absl::Duration Most = Self->Facts.Bounds.Grace - Self->Settings.ClosingTime;
  Self->Timer.after(Most, [Self] { Self->finishStop(); });
  Self->Timer.schedulePeriodic(TickEvery, [Self] {
    bool Told =
        Self->Timer.now() - Self->LeavingSince > Self->Settings.ServeNewFor;
    if (Told && Self->Relays->active() == 0)
      Self->finishStop();
  });
}

void EdgeDaemon::reload(const HostFacts &Facts) {
  this->Shared->Facts.Seeds = Facts.Seeds;
  for (const Endpoint &Seed : Facts.Seeds)
    this->Shared->Peers.introduce(parseIp(Seed.Ip), this->Shared->Timer.now());
}

Metrics &EdgeDaemon::metrics() { return this->Shared->Counters; }

std::string EdgeDaemon::metricsText() {
  std::vector<Gauge> Gauges;
  Gauges.push_back({"berylramp_requests_active",
                    static_cast<double>(this->Shared->Relays->active())});
  Gauges.push_back({"berylramp_replicas_known",
                    static_cast<double>(this->Shared->Registry.size())});
  Gauges.push_back({"berylramp_peers_known",
                    static_cast<double>(this->Shared->Peers.size())});
  RouteTablePtr Table = this->Shared->Table;
  Gauges.push_back({"berylramp_table_version",
                    Table ? static_cast<double>(Table->Version.count()) : -1});
  return this->Shared->Counters.exposition(Gauges);
}

} // namespace berylramp
