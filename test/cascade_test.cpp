//===- cascade_test.cpp - Selection of models -----------------------------===//

#include "berylramp/cascade.h"

#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

CascadeQuery makeQuery(std::vector<double> Costs, int AttemptsLeft) {
  CascadeQuery Query;
  Query.CostPerThousand = std::move(Costs);
  Query.AttemptsLeft = AttemptsLeft;
  return Query;
}

} // namespace

TEST_CASE("A cheap small model is tried first") {
  CHECK(firstModel(makeQuery({0.01, 0.1, 0.2}, 3), {}) == 0);
}

TEST_CASE("A small model that costs nearly as much is not tried") {
  CHECK(firstModel(makeQuery({0.15, 0.2}, 3), {}) == 1);
}

TEST_CASE("Without a spare attempt the largest model answers") {
  CHECK(firstModel(makeQuery({0.01, 0.2}, 2), {}) == 1);
  CHECK(firstModel(makeQuery({0.01, 0.2}, 1), {}) == 1);
}

TEST_CASE("A low-confidence answer goes to the largest model") {
  CascadeQuery Query = makeQuery({0.01, 0.1, 0.2}, 3);
  CascadeSettings Settings;
  CHECK_FALSE(shouldKeepAnswer(Query, Settings, 0, Settings.MinConfidence - 1));
  CHECK(shouldKeepAnswer(Query, Settings, 0, Settings.MinConfidence));
  CHECK(nextModel(Query, 0) == 2);
  CHECK(shouldKeepAnswer(Query, Settings, 2, 0));
}

TEST_CASE("Load pattern: a burst fills the engines of the largest model") {
  CascadeQuery Query = makeQuery({0.01, 0.2}, 3);
  CascadeSettings Settings;
  Query.LargerIsLate = true;
  CHECK(shouldKeepAnswer(Query, Settings, 0, Settings.MinConfidenceWhenLate));
  CHECK_FALSE(
      shouldKeepAnswer(Query, Settings, 0, Settings.MinConfidenceWhenLate - 1));
}

TEST_CASE("The last attempt's answer is kept at any confidence") {
  CHECK(shouldKeepAnswer(makeQuery({0.01, 0.2}, 1), {}, 0, 0));
}
