//===- estimators.cpp - Estimates of engine state, and retry budget -------===//

#include "berylramp/upstreams.h"

#include <algorithm>
#include <cmath>

namespace berylramp {

namespace {

/// Segments that an engine is assumed to cache; when the ring is full, the
/// segment that was added first is replaced.
constexpr size_t MaxCachedSegments = 96;
/// Prompt length, in tokens, at which attention takes as long as all other
/// computation of the prefill.
constexpr double AttentionParityTokens = 60000;
/// Shorter prompts are not used as samples: the first decoding step dominates
/// their time to the first byte.
constexpr int64_t MinSampleTokens = 1500;
/// Relative step of the estimate towards a sample, and the quantile of the
/// samples that it converges to. Queueing makes samples too long and cached
/// segments make them too short, so the mean would be biased.
constexpr double RateStep = 0.04;
constexpr double InitialRateStep = 1.5;
constexpr double MaxRateStep = 0.5;
constexpr double RateQuantile = 0.3;
/// Age at which half of a stated work time's deviation from the usual one is
/// still expected. Replicas state a new one many times a second.
constexpr absl::Duration WorkTimeHalfLife = absl::Milliseconds(100);
/// Bounds of the stated work time.
constexpr double MinWorkTime = 0.2;
constexpr double MaxWorkTime = 10;

} // namespace

bool PrefixCacheEstimate::holds(uint64_t Id) const {
  return std::find(this->Ring.begin(), this->Ring.end(), Id) !=
         this->Ring.end();
}

void PrefixCacheEstimate::record(uint64_t Id) {
  if (this->holds(Id))
    return;
  if (this->Ring.size() < MaxCachedSegments) {
    this->Ring.push_back(Id);
    return;
  }
  this->Ring[this->Next] = Id;
  this->Next = (this->Next + 1) % MaxCachedSegments;
}

void PrefillRateEstimator::addSample(int64_t Tokens, double Ms) {
  if (Tokens < MinSampleTokens)
    return;
  double Sample = Ms / effectiveTokens(Tokens);
  double Step = Sample < this->Rate ? RateQuantile - 1 : RateQuantile;
  // The first samples move the estimate in large steps, so that it converges
  // soon after the host starts.
  this->Samples += 1;
  double Size =
      std::clamp(InitialRateStep / this->Samples, RateStep, InitialRateStep);
  this->Rate *= 1 + std::min(Size, MaxRateStep) * Step;
}

double expectedWorkTime(const ReportedLoad &Load, Instant Now) {
  double Ages = absl::FDivDuration(Now - Load.At, WorkTimeHalfLife);
  double Stated = std::clamp(Load.WorkTime, MinWorkTime, MaxWorkTime);
  return 1 + (Stated - 1) * std::exp2(-std::max(0.0, Ages));
}

double effectiveTokens(int64_t Tokens) {
  auto Count = static_cast<double>(Tokens);
  return Count * (1 + Count / AttentionParityTokens);
}

int64_t RetryBudget::slotNumber(Instant Now) const {
  absl::Duration Remainder;
  return absl::IDivDuration(Now.SinceStart,
                            this->Shares.Window / SlotsPerWindow, &Remainder);
}

double RetryBudget::maxBalance(Instant Now) const {
  int64_t Current = this->slotNumber(Now);
  int64_t FirstAttempts = 0;
  for (const Slot &Entry : this->Slots)
    if (Entry.Number > Current - SlotsPerWindow)
      FirstAttempts += Entry.FirstAttempts;
  return this->Shares.Slack +
         this->Shares.KeptRatio * static_cast<double>(FirstAttempts);
}

void RetryBudget::onFirstAttempt(Instant Now) {
  // The balance is limited before this attempt counts, so that what is kept
  // never exceeds the share of earlier attempts.
  this->Balance = std::min(this->Balance, this->maxBalance(Now));
  int64_t Number = this->slotNumber(Now);
  Slot &Current = this->Slots[static_cast<size_t>(Number % SlotsPerWindow)];
  if (Current.Number != Number)
    Current = Slot{Number, 0};
  Current.FirstAttempts += 1;
  this->Balance += this->Shares.Ratio;
}

void RetryBudget::setSlack(double Count) {
  this->Balance += std::max(0.0, Count - this->Shares.Slack);
  this->Shares.Slack = Count;
}

bool RetryBudget::tryAcquire(RepeatReason Reason, Instant Now) {
  double Max = this->maxBalance(Now);
  this->Balance = std::min(this->Balance, Max);
  double Reserved =
      Reason == RepeatReason::LargerModel ? Max - this->Shares.Slack : 0;
  if (this->Balance < 1 + Reserved)
    return false;
  this->Balance -= 1;
  return true;
}

} // namespace berylramp
