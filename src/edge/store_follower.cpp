//===- store_follower.cpp - Follows one topic of the store ----------------===//

#include "store_follower.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Pause after a failed read: doubles, with jitter, so that hosts which lost
/// the store together do not return together.
constexpr absl::Duration FirstBackoff = absl::Milliseconds(100);
/// Pause between reads that wait, so that a burst of records costs few calls.
constexpr absl::Duration ShortestPause = absl::Milliseconds(20);
/// A refused call was one too many for all hosts together.
constexpr absl::Duration RefusedPause = absl::Milliseconds(400);

double jitter() {
  constexpr double Steps = 1000;
  return 0.5 + static_cast<double>(randomUint64() % 1000) / Steps;
}

} // namespace

void StoreFollower::skipTo(Offset From) {
  bool Reading = this->Active && !this->Resting;
  if (!Reading && From > this->Next)
    this->Next = From;
}

void StoreFollower::resume() {
  if (!this->Paused)
    return;
  this->Paused = false;
  if (this->Active)
    return;
  if (this->Next == NoOffset)
    this->readNewest();
  else
    this->readOn();
}

void StoreFollower::readNewest() {
  this->Active = true;
  this->Counters.count(Counter::LogReads);
  this->Store.Newest(
      this->Plan.Topic,
      [Weak = this->weak_from_this()](const absl::StatusOr<StorePage> &Page) {
        if (auto Self = Weak.lock())
          Self->took(Page, true);
      });
}

void StoreFollower::readOn() {
  this->Active = true;
  this->Counters.count(Counter::LogReads);
  this->Store.Read(
      this->Plan.Topic, this->Next, this->Plan.Wait,
      [Weak = this->weak_from_this()](const absl::StatusOr<StorePage> &Page) {
        if (auto Self = Weak.lock())
          Self->took(Page, false);
      });
}

void StoreFollower::took(const absl::StatusOr<StorePage> &Page, bool Whole) {
  if (this->Stopped)
    return;
  if (absl::IsOutOfRange(Page.status())) {
    this->readNewest();
    return;
  }
  Json::Value Line(Json::objectValue);
  Line["topic"] = this->Plan.Name;
  if (!Page.ok()) {
    this->Counters.count(Counter::LogReadFailures);
    if (this->Reachable) {
      Line["error"] = std::string(Page.status().message());
      logEvent(LogLevel::Warn, "store_lost", Line);
    }
    this->Reachable = false;
    this->Backoff =
        std::clamp(this->Backoff * 2, FirstBackoff, this->Plan.LongestBackoff);
    if (absl::IsResourceExhausted(Page.status()))
      this->Backoff = std::max(this->Backoff, RefusedPause);
    this->again(this->Backoff * jitter());
    return;
  }
  this->LastGood = this->Timer.now();
  this->Backoff = absl::ZeroDuration();
  if (!this->Reachable) {
    this->RegainedAt = this->LastGood;
    this->Reachable = true;
    logEvent(LogLevel::Info, "store_regained", Line);
  }
  this->Next = Page->Next;
  this->Heard(*Page, Whole);
  bool Waits = this->Plan.Wait > absl::ZeroDuration();
  this->again(Waits ? ShortestPause : this->Plan.Period * jitter());
}

void StoreFollower::again(absl::Duration After) {
  this->Resting = true;
  this->Rest += 1;
  this->Timer.after(After,
                    [Weak = this->weak_from_this(), Number = this->Rest] {
                      auto Self = Weak.lock();
                      if (Self && Self->Resting && Self->Rest == Number)
                        Self->rested();
                    });
}

void StoreFollower::rested() {
  this->Resting = false;
  this->Active = false;
  if (this->Stopped || this->Paused)
    return;
  if (this->Next == NoOffset)
    this->readNewest();
  else
    this->readOn();
}

void StoreFollower::nudge() {
  if (!this->Reachable && this->Resting)
    this->rested();
}

} // namespace berylramp
