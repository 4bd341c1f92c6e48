//===- cascade.h - Model selection for each attempt -------------*- C++ -*-===//
//
// Selects the model of each attempt when the caller names none, and accepts or
// rejects an answer by the confidence that its model reports, before any part
// of the answer is sent to the caller. All functions are pure.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_CASCADE_H
#define BERYLRAMP_CASCADE_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace berylramp {

/// Inputs of the model selection.
struct CascadeQuery {
  /// Cost of 1,000 generated tokens of each model of the route, smallest
  /// model first.
  std::vector<double> CostPerThousand;
  int64_t PromptTokens = 0;
  int64_t OutputTokens = 0;
  /// Remaining attempts, including the current one.
  int AttemptsLeft = 1;
  /// True when the larger model's answer would miss the route's target time.
  bool LargerIsLate = false;
};

struct CascadeSettings {
  /// Maximum cost of the smallest model, as a fraction of the largest model's
  /// cost, at which it is tried first. The cost of the attempt is wasted when
  /// its answer is rejected.
  double MaxProbeCostRatio = 0.15;
  /// Minimum confidence, 0 to 100, at which a smaller model's answer is kept.
  int MinConfidence = 44;
  /// Minimum confidence when the larger model's answer would be late.
  int MinConfidenceWhenLate = 25;
};

/// The index of the model for the first attempt.
size_t firstModel(const CascadeQuery &Query, const CascadeSettings &Settings);

/// The index of the model to try after the answer of model \p Index was
/// rejected.
size_t nextModel(const CascadeQuery &Query, size_t Index);

/// True when an answer of model \p Index with \p Confidence, 0 to 100, is sent
/// to the caller.
bool shouldKeepAnswer(const CascadeQuery &Query,
                      const CascadeSettings &Settings, size_t Index,
                      int Confidence);

} // namespace berylramp

#endif // BERYLRAMP_CASCADE_H
