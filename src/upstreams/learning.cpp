//===- learning.cpp - What hosts learn of engines, and retries ------------===//

#include "berylramp/upstreams.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Parts that an engine is assumed to keep; the least recently used yield.
constexpr size_t PartsRemembered = 96;
/// Prompt length, in tokens, at which attention takes as long as the rest.
constexpr double AttentionDoublesAt = 60000;
/// Shorter prompts say little about the pace, as the first step dominates.
constexpr int64_t TokensToLearn = 1500;
/// Step of the pace towards a sample, and the quantile that it settles at:
/// waiting makes samples too long, cached parts too short.
constexpr double PaceStep = 0.04;
constexpr double FirstPaceStep = 1.5;
constexpr double MostPaceStep = 0.5;
constexpr double PaceQuantile = 0.3;
} // namespace

bool PartMemory::holds(uint64_t Id) const {
  return std::find(this->Ring.begin(), this->Ring.end(), Id) !=
         this->Ring.end();
}

void PartMemory::note(uint64_t Id) {
  if (this->holds(Id))
    return;
  if (this->Ring.size() < PartsRemembered) {
    this->Ring.push_back(Id);
    return;
  }
  this->Ring[this->Next] = Id;
  this->Next = (this->Next + 1) % PartsRemembered;
}

void ReadingPace::learn(int64_t Tokens, double Ms) {
  if (Tokens < TokensToLearn)
    return;
  double Sample = Ms / effectiveTokens(Tokens);
  double Step = Sample < this->Pace ? PaceQuantile - 1 : PaceQuantile;
  // A host that just started learns in large steps.
  this->Samples += 1;
  double Size =
      std::clamp(FirstPaceStep / this->Samples, PaceStep, FirstPaceStep);
  this->Pace *= 1 + std::min(Size, MostPaceStep) * Step;
}

double effectiveTokens(int64_t Tokens) {
  auto Count = static_cast<double>(Tokens);
  return Count * (1 + Count / AttentionDoublesAt);
}

void RetryBudget::firstAttempt() {
  this->Saved = std::min(this->Most, this->Saved + this->Ratio);
}

void RetryBudget::setMost(double Count) {
  this->Saved += std::max(0.0, Count - this->Most);
  this->Most = Count;
  this->Saved = std::min(this->Saved, this->Most);
}

bool RetryBudget::take() {
  if (this->Saved < 1)
    return false;
  this->Saved -= 1;
  return true;
}

} // namespace berylramp
