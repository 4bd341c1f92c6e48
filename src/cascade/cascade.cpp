//===- cascade.cpp - Which model answers ----------------------------------===//
//
// The smallest model costs a few hundredths of the largest, so a probe with it
// pays as soon as its own opinion tells good answers from poor ones.
//
//===----------------------------------------------------------------------===//

#include "berylramp/cascade.h"

namespace berylramp {

size_t firstModel(const CascadeQuery &Query, const CascadeSettings &Settings) {
  if (Query.CostPerThousand.empty())
    return 0;
  size_t Largest = Query.CostPerThousand.size() - 1;
  // A probe needs an attempt of its own and one to spare for a failure.
  if (Query.AttemptsLeft < 3 || Settings.KeepFrom > 100)
    return Largest;
  double Most = Query.CostPerThousand[Largest] * Settings.MostProbeCost;
  return Query.CostPerThousand[0] <= Most ? 0 : Largest;
}

size_t nextModel(const CascadeQuery &Query, size_t Index) {
  (void)Index;
  return Query.CostPerThousand.empty() ? 0 : Query.CostPerThousand.size() - 1;
}

bool keepsAnswer(const CascadeQuery &Query, const CascadeSettings &Settings,
                 size_t Index, int Confidence) {
  if (Index + 1 >= Query.CostPerThousand.size())
    return true;
  int From = Query.LargerIsLate ? Settings.KeepLateFrom : Settings.KeepFrom;
  return Confidence >= From || Query.AttemptsLeft <= 1;
}

} // namespace berylramp
