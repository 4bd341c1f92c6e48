//===- estimators.cpp - Estimates of engine state, and retry budget -------===//

#include "berylramp/upstreams.h"

#include <algorithm>
#include <cmath>

namespace berylramp {

namespace {

/// Prompt length, in tokens, at which attention takes as long as all other
/// computation of the prefill.
constexpr double AttentionParityTokens = 60000;
/// Shorter prompts are not used as samples: the first decoding step dominates
/// their time to the first byte.
constexpr int64_t MinSampleTokens = 1500;
/// Relative step of the estimate towards a sample, and the quantile of the
/// samples that it converges to. A wait that is not known makes some samples
/// far too long, so the mean would be biased.
constexpr double RateStep = 0.04;
constexpr double InitialRateStep = 1.5;
constexpr double MaxRateStep = 0.5;
constexpr double RateQuantile = 0.5;
/// Age at which half of a stated work time's deviation from the usual one is
/// still expected. Replicas state a new one many times a second.
constexpr absl::Duration WorkTimeHalfLife = absl::Milliseconds(100);
/// Bounds of the stated work time.
constexpr double MinWorkTime = 0.2;
constexpr double MaxWorkTime = 10;
/// Step of a median estimate towards a sample, as a part of the estimate or of
/// the least time that matters.
constexpr double MedianStep = 0.05;
constexpr double MinMedianMs = 4;

} // namespace

void PrefillRateEstimator::addSample(int64_t Tokens, double Ms) {
  if (Tokens < MinSampleTokens)
    return;
  double Sample = std::max(Ms, 0.0) / effectiveTokens(Tokens);
  double Step = Sample < this->Rate ? RateQuantile - 1 : RateQuantile;
  this->Samples += 1;
  // The first sample replaces the nominal rate, and the next ones move the
  // estimate in large steps: a host sees few long prompts of the largest model.
  if (this->Samples == 1 && Sample > 0) {
    this->Rate = Sample;
    return;
  }
  double Size =
      std::clamp(InitialRateStep / this->Samples, RateStep, InitialRateStep);
  this->Rate *= 1 + std::min(Size, MaxRateStep) * Step;
}

void MedianEstimator::addSample(absl::Duration Sample) {
  double SampleMs = std::max(0.0, absl::ToDoubleMilliseconds(Sample));
  this->Samples += 1;
  if (this->Samples == 1) {
    this->Ms = SampleMs;
    return;
  }
  double Weight = std::max(MedianStep, 1.0 / this->Samples);
  double Step = Weight * std::max(this->Ms, MinMedianMs);
  if (SampleMs < this->Ms)
    this->Ms = std::max(SampleMs, this->Ms - Step);
  else
    this->Ms = std::min(SampleMs, this->Ms + Step);
}

void EnginePace::addSample(int64_t Tokens, absl::Duration Elapsed,
                           absl::Duration PrefillTime) {
  // Short prompts show the delay, and long ones the rate.
  if (Tokens < MinSampleTokens)
    this->StartDelay.addSample(Elapsed - PrefillTime);
  else
    this->Prefill.addSample(
        Tokens, absl::ToDoubleMilliseconds(Elapsed - this->StartDelay.value()));
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
