//===- cascade.h - Which model answers --------------------------*- C++ -*-===//
//
// Chooses the model of each attempt when the caller leaves the choice open,
// and judges an answer by the confidence that its model states before any of
// it has reached the caller. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_CASCADE_H
#define BERYLRAMP_CASCADE_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace berylramp {

/// What the choice depends on.
struct CascadeQuery {
  /// Models of the route, smallest first, by cost of 1,000 generated tokens.
  std::vector<double> CostPerThousand;
  int64_t PromptTokens = 0;
  int64_t OutputTokens = 0;
  /// Attempts that may still be made, this one included.
  int AttemptsLeft = 1;
  /// The larger model's answer would come after the route's target.
  bool LargerIsLate = false;
};

struct CascadeSettings {
  /// Try a smaller model first only when it costs at most this part of the
  /// largest: the probe is lost whenever its answer is dropped.
  double MostProbeCost = 0.15;
  /// Confidence, 0 to 100, from which a smaller model's answer is kept.
  int KeepFrom = 44;
  /// The same when the larger model's answer would be late.
  int KeepLateFrom = 25;
};

/// The index of the model for the first attempt.
size_t firstModel(const CascadeQuery &Query, const CascadeSettings &Settings);

/// The index of the model after \p Index was not good enough.
size_t nextModel(const CascadeQuery &Query, size_t Index);

/// Whether an answer of model \p Index with \p Confidence is kept.
bool keepsAnswer(const CascadeQuery &Query, const CascadeSettings &Settings,
                 size_t Index, int Confidence);

} // namespace berylramp

#endif // BERYLRAMP_CASCADE_H
