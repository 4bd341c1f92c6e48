//===- cascade_test.cpp - Which model answers -----------------------------===//

#include "berylramp/cascade.h"

#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

CascadeQuery queryOf(std::vector<double> Costs, int AttemptsLeft) {
  CascadeQuery Query;
  Query.CostPerThousand = std::move(Costs);
  Query.AttemptsLeft = AttemptsLeft;
  return Query;
}

} // namespace

TEST_CASE("A cheap small model is tried first") {
  CHECK(firstModel(queryOf({0.01, 0.1, 0.2}, 3), {}) == 0);
}

TEST_CASE("A small model that costs nearly as much is not tried") {
  CHECK(firstModel(queryOf({0.15, 0.2}, 3), {}) == 1);
}

TEST_CASE("Without a spare attempt the largest model answers") {
  CHECK(firstModel(queryOf({0.01, 0.2}, 2), {}) == 1);
  CHECK(firstModel(queryOf({0.01, 0.2}, 1), {}) == 1);
}

TEST_CASE("An unsure answer goes to the largest model") {
  CascadeQuery Query = queryOf({0.01, 0.1, 0.2}, 3);
  CascadeSettings Settings;
  CHECK_FALSE(keepsAnswer(Query, Settings, 0, Settings.KeepFrom - 1));
  CHECK(keepsAnswer(Query, Settings, 0, Settings.KeepFrom));
  CHECK(nextModel(Query, 0) == 2);
  CHECK(keepsAnswer(Query, Settings, 2, 0));
}

TEST_CASE("Load pattern: a burst fills the engines of the largest model") {
  CascadeQuery Query = queryOf({0.01, 0.2}, 3);
  CascadeSettings Settings;
  Query.LargerIsLate = true;
  CHECK(keepsAnswer(Query, Settings, 0, Settings.KeepLateFrom));
  CHECK_FALSE(keepsAnswer(Query, Settings, 0, Settings.KeepLateFrom - 1));
}

TEST_CASE("The last attempt's answer is kept, however unsure") {
  CHECK(keepsAnswer(queryOf({0.01, 0.2}, 1), {}, 0, 0));
}
