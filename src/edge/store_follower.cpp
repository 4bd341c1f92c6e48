//===- store_follower.cpp - Follows one topic of the store ----------------===//

#include "store_follower.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Delay between long polls, so that a burst of records takes few calls.
constexpr absl::Duration MinReadInterval = absl::Milliseconds(20);
/// Minimum delay after the store refused a call because the calls of all hosts
/// together exceed its limit.
constexpr absl::Duration RateLimitBackoff = absl::Milliseconds(400);

} // namespace

void StoreFollower::skipTo(StorePosition From) {
  bool Reading = this->Active && !this->Delaying;
  if (!Reading && this->Position < From)
    this->Position = From;
}

void StoreFollower::resume() {
  if (!this->Paused)
    return;
  this->Paused = false;
  if (this->Active)
    return;
  if (this->Position.Next == NoOffset)
    this->readNewest();
  else
    this->readNext();
}

void StoreFollower::readNewest() {
  this->Active = true;
  this->Counters.count(Counter::LogReads);
  this->Store.Newest(
      this->Config.Topic,
      [Weak = this->weak_from_this()](const absl::StatusOr<StorePage> &Page) {
        if (auto Self = Weak.lock())
          Self->onPage(Page, true);
      });
}

void StoreFollower::readNext() {
  this->Active = true;
  this->Counters.count(Counter::LogReads);
  this->Store.Read(
      this->Config.Topic, this->Position.Next, this->Config.PollTimeout,
      [Weak = this->weak_from_this()](const absl::StatusOr<StorePage> &Page) {
        if (auto Self = Weak.lock())
          Self->onPage(Page, false);
      });
}

void StoreFollower::onPage(const absl::StatusOr<StorePage> &Page,
                           bool IsSnapshot) {
  if (this->Stopped)
    return;
  if (absl::IsOutOfRange(Page.status())) {
    this->readNewest();
    return;
  }
  if (!Page.ok()) {
    this->onFailure(Page.status());
    return;
  }
  this->LastSuccess = this->Timer.now();
  this->Backoff = absl::ZeroDuration();
  if (!this->Reachable) {
    this->RecoveredAt = this->LastSuccess;
    this->Reachable = true;
    Json::Value Line(Json::objectValue);
    Line["topic"] = this->Config.Name;
    logEvent(LogLevel::Info, "store_regained", Line);
  }
  if (!this->acceptEra(*Page, IsSnapshot))
    return;
  this->Position = Page->position();
  this->OnRecords(*Page, IsSnapshot);
  bool LongPolls = this->Config.PollTimeout > absl::ZeroDuration();
  this->scheduleRead(LongPolls ? MinReadInterval
                               : this->Config.ReadInterval * randomFactor());
}

bool StoreFollower::acceptEra(const StorePage &Page, bool IsSnapshot) {
  bool IsFirst = this->Position.Next == NoOffset;
  StoreEra Known = this->Position.Era;
  if (Page.Era == Known || (IsFirst && Page.Era > Known))
    return true;
  Json::Value Line(Json::objectValue);
  Line["topic"] = this->Config.Name;
  Line["era"] = Json::Int64(Page.Era.count());
  Line["known_era"] = Json::Int64(Known.count());
  logEvent(LogLevel::Warn, "store_era_changed", Line);
  if (Page.Era < Known) {
    // A peer knows a later era, so the answer is from before the change.
    this->Position.Next = NoOffset;
    this->scheduleRead(this->Config.MinBackoff * randomFactor());
    return false;
  }
  this->RecoveredAt = this->Timer.now();
  if (IsSnapshot)
    return true;
  this->Position = {Page.Era, NoOffset};
  this->readNewest();
  return false;
}

void StoreFollower::onFailure(const absl::Status &Failure) {
  this->Counters.count(Counter::LogReadFailures);
  if (this->Reachable) {
    Json::Value Line(Json::objectValue);
    Line["topic"] = this->Config.Name;
    Line["error"] = std::string(Failure.message());
    logEvent(LogLevel::Warn, "store_lost", Line);
  }
  this->Reachable = false;
  this->Backoff = std::clamp(this->Backoff * 2, this->Config.MinBackoff,
                             this->Config.MaxBackoff);
  if (absl::IsResourceExhausted(Failure))
    this->Backoff = std::max(this->Backoff, RateLimitBackoff);
  this->scheduleRead(this->Backoff * randomFactor());
}

void StoreFollower::scheduleRead(absl::Duration Delay) {
  this->Delaying = true;
  this->DelayGeneration += 1;
  this->Timer.after(Delay, [Weak = this->weak_from_this(),
                            Generation = this->DelayGeneration] {
    auto Self = Weak.lock();
    if (Self && Self->Delaying && Self->DelayGeneration == Generation)
      Self->onDelayElapsed();
  });
}

void StoreFollower::onDelayElapsed() {
  this->Delaying = false;
  this->Active = false;
  bool Probes = this->Config.ProbesWhilePaused && !this->Reachable;
  if (this->Stopped || (this->Paused && !Probes))
    return;
  if (this->Position.Next == NoOffset)
    this->readNewest();
  else
    this->readNext();
}

void StoreFollower::retryNow() {
  if (!this->Reachable && this->Delaying)
    this->onDelayElapsed();
}

} // namespace berylramp
