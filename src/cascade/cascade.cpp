//===- cascade.cpp - Model selection for each attempt ---------------------===//
//
// The smallest model costs a few hundredths of the largest. Trying it first is
// worthwhile if the confidence that it reports separates good answers from poor
// ones.
//
//===----------------------------------------------------------------------===//

#include "berylramp/cascade.h"

namespace berylramp {

size_t firstModel(const CascadeQuery &Query, const CascadeSettings &Settings) {
  if (Query.CostPerThousand.empty())
    return 0;
  size_t Largest = Query.CostPerThousand.size() - 1;
  // The smaller model's attempt is additional to the largest model's, and a
  // third one is reserved for a failure.
  if (Query.AttemptsLeft < 3 || Settings.MinConfidence > 100)
    return Largest;
  double MaxProbeCost =
      Query.CostPerThousand[Largest] * Settings.MaxProbeCostRatio;
  return Query.CostPerThousand[0] <= MaxProbeCost ? 0 : Largest;
}

size_t nextModel(const CascadeQuery &Query, size_t Index) {
  (void)Index;
  return Query.CostPerThousand.empty() ? 0 : Query.CostPerThousand.size() - 1;
}

bool shouldKeepAnswer(const CascadeQuery &Query,
                      const CascadeSettings &Settings, size_t Index,
                      int Confidence) {
  if (Index + 1 >= Query.CostPerThousand.size())
    return true;
  int Threshold = Query.LargerIsLate ? Settings.MinConfidenceWhenLate
                                     : Settings.MinConfidence;
  return Confidence >= Threshold || Query.AttemptsLeft <= 1;
}

} // namespace berylramp
