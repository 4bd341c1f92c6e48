//===- plan.cpp - Selection of the cheapest sufficient plan ---------------===//
//
// A cascade rates the answer of a cheap version and escalates to an expensive
// one when the answer is not good. Its share of good answers is the cheap
// version's share, plus the expensive version's share of the remainder. It
// requires the rater, and time for both answers before the deadline.
//
//===----------------------------------------------------------------------===//

#include "berylramp/policy.h"

#include "absl/strings/str_format.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace berylramp {

namespace {

/// Number of ratings that the operator's expected share counts as.
constexpr double PriorWeight = 20;
/// Distance of the lower bound from the mean, in standard deviations.
constexpr double LowerBoundDeviations = 1.3;
constexpr int64_t TokensPerPricedUnit = 1000;

constexpr std::array<const char *, 7> PolicyNames = {
    "largest", "round-robin", "least-loaded", "static-cheapest",
    "direct",  "cascade",     "lean"};
constexpr uint64_t MixtureDraws = 10000;

struct PricedOption {
  const PlanOption *Option;
  double Share;
  double Mean;
  double Cost;
};

double expectedCost(const PlanOption &Option, const PlanInput &Input) {
  return static_cast<double>(
      answerCost(*Option.Row, Input.PromptTokens, Input.AnswerTokens).count());
}

std::vector<PricedOption> priceOptions(const PlanInput &Input) {
  std::vector<PricedOption> Result;
  Result.reserve(Input.Options.size());
  for (const PlanOption &Option : Input.Options)
    Result.push_back(PricedOption{&Option,
                                  shareLowerBound(Option.Quality, *Option.Row),
                                  expectedShare(Option.Quality, *Option.Row),
                                  expectedCost(Option, Input)});
  std::sort(Result.begin(), Result.end(),
            [](const PricedOption &A, const PricedOption &B) {
              if (A.Cost != B.Cost)
                return A.Cost < B.Cost;
              return A.Option->Row->Key < B.Option->Row->Key;
            });
  return Result;
}

Plan directPlan(const PricedOption &Selected, const char *Reason) {
  Plan Result;
  Result.Found = true;
  Result.InitialVersion = Selected.Option->Row->Key;
  Result.ExpectedCost = MicroCost(std::llround(Selected.Cost));
  Result.ExpectedShare = Selected.Share;
  Result.Reason = absl::StrFormat("%s: share %.3f, cost %.0f", Reason,
                                  Selected.Share, Selected.Cost);
  return Result;
}

/// A pair of versions, evaluated without constructing a Plan because the number
/// of pairs is large.
struct CascadePair {
  const PricedOption *Cheap = nullptr;
  const PricedOption *Expensive = nullptr;
  double Cost = 0;
  double Share = 0;
};

CascadePair evaluatePair(const PricedOption &Cheap,
                         const PricedOption &Expensive) {
  return CascadePair{&Cheap, &Expensive,
                     Cheap.Cost + (1 - Cheap.Mean) * Expensive.Cost,
                     Cheap.Share + (1 - Cheap.Share) * Expensive.Share};
}

Plan cascadePlan(const CascadePair &Pair) {
  Plan Result;
  Result.Found = true;
  Result.IsCascade = true;
  Result.InitialVersion = Pair.Cheap->Option->Row->Key;
  Result.EscalationVersion = Pair.Expensive->Option->Row->Key;
  Result.ExpectedCost = MicroCost(std::llround(Pair.Cost));
  Result.ExpectedShare = Pair.Share;
  Result.Reason =
      absl::StrFormat("cascade: share %.3f, cost %.0f", Pair.Share, Pair.Cost);
  return Result;
}

bool fitsDeadline(const PlanOption &Option, const PlanInput &Input) {
  return Option.ExpectedTime <= Input.Kind.Deadline;
}

bool cascadeFitsDeadline(const PlanOption &Cheap, const PlanOption &Expensive,
                         const PlanInput &Input) {
  return Cheap.ExpectedTime + Input.RatingTime + Expensive.ExpectedTime <=
         Input.Kind.Deadline;
}

const PricedOption &largest(const std::vector<PricedOption> &Priced) {
  return Priced.back();
}

/// Distributes the traffic among versions of equal cost by their weights.
const PricedOption &pickByWeight(const std::vector<PricedOption> &Priced,
                                 const PricedOption &Chosen, double Share,
                                 uint64_t RequestDraw) {
  int Sum = 0;
  for (const PricedOption &Candidate : Priced) {
    if (Candidate.Cost == Chosen.Cost && Candidate.Share >= Share)
      Sum += Candidate.Option->Row->Weight;
  }
  if (Sum == 0)
    return Chosen;
  int Draw = static_cast<int>(RequestDraw % static_cast<uint64_t>(Sum));
  for (const PricedOption &Candidate : Priced) {
    if (Candidate.Cost != Chosen.Cost || Candidate.Share < Share)
      continue;
    Draw -= Candidate.Option->Row->Weight;
    if (Draw < 0)
      return Candidate;
  }
  return Chosen;
}

/// The cheapest pair that meets the share and costs less than \p MaxCost.
CascadePair cheapestPair(const std::vector<PricedOption> &Priced,
                         const PlanInput &Input, double MaxCost) {
  CascadePair Best;
  Best.Cost = MaxCost;
  for (const PricedOption &Cheap : Priced) {
    if (Cheap.Cost >= Best.Cost)
      break;
    for (const PricedOption &Expensive : Priced) {
      if (Expensive.Cost <= Cheap.Cost)
        continue;
      CascadePair Pair = evaluatePair(Cheap, Expensive);
      if (Pair.Cost >= Best.Cost)
        break;
      if (Pair.Share >= Input.Kind.RequiredGoodShare &&
          cascadeFitsDeadline(*Cheap.Option, *Expensive.Option, Input))
        Best = Pair;
    }
  }
  return Best;
}

Plan cheapestSufficientPlan(const std::vector<PricedOption> &Priced,
                            const PlanInput &Input, bool WithCascade) {
  const PricedOption *Direct = nullptr;
  for (const PricedOption &Candidate : Priced) {
    if (Candidate.Share < Input.Kind.RequiredGoodShare ||
        !fitsDeadline(*Candidate.Option, Input))
      continue;
    Direct = &pickByWeight(Priced, Candidate, Input.Kind.RequiredGoodShare,
                           Input.RequestDraw);
    break;
  }
  if (WithCascade && Input.RaterAvailable) {
    double MaxCost = Direct == nullptr ? std::numeric_limits<double>::infinity()
                                       : Direct->Cost;
    CascadePair Pair = cheapestPair(Priced, Input, MaxCost);
    if (Pair.Cheap != nullptr)
      return cascadePlan(Pair);
  }
  if (Direct == nullptr)
    return Plan{};
  return directPlan(*Direct, "cheapest that meets the share");
}

/// A plan as a point of share and cost. The plan is direct when Expensive is
/// null.
struct PlanPoint {
  const PricedOption *Cheap = nullptr;
  const PricedOption *Expensive = nullptr;
  double Cost = 0;
  double Share = 0;
};

std::vector<PlanPoint> planPoints(const std::vector<PricedOption> &Priced,
                                  const PlanInput &Input) {
  std::vector<PlanPoint> Result;
  for (const PricedOption &Candidate : Priced) {
    if (fitsDeadline(*Candidate.Option, Input))
      Result.push_back(
          PlanPoint{&Candidate, nullptr, Candidate.Cost, Candidate.Share});
  }
  if (!Input.RaterAvailable)
    return Result;
  for (const PricedOption &Cheap : Priced) {
    for (const PricedOption &Expensive : Priced) {
      if (Expensive.Cost <= Cheap.Cost ||
          !cascadeFitsDeadline(*Cheap.Option, *Expensive.Option, Input))
        continue;
      CascadePair Pair = evaluatePair(Cheap, Expensive);
      Result.push_back(PlanPoint{&Cheap, &Expensive, Pair.Cost, Pair.Share});
    }
  }
  return Result;
}

/// The next corner of the lower convex hull after \p From: the point with a
/// greater share at the lowest additional cost per share.
const PlanPoint *nextHullCorner(const std::vector<PlanPoint> &Points,
                                const PlanPoint &From) {
  const PlanPoint *Best = nullptr;
  double BestSlope = std::numeric_limits<double>::infinity();
  for (const PlanPoint &Candidate : Points) {
    if (Candidate.Share <= From.Share)
      continue;
    double Slope =
        (Candidate.Cost - From.Cost) / (Candidate.Share - From.Share);
    if (Slope < BestSlope) {
      Best = &Candidate;
      BestSlope = Slope;
    }
  }
  return Best;
}

Plan planFromPoint(const PlanPoint &Point) {
  if (Point.Expensive == nullptr)
    return directPlan(*Point.Cheap, "mixture, direct part");
  Plan Result = cascadePlan(
      CascadePair{Point.Cheap, Point.Expensive, Point.Cost, Point.Share});
  Result.Reason = "mixture, " + Result.Reason;
  return Result;
}

/// Selects between the two corners of the lower convex hull on either side of
/// the agreed share, so that the requests of a kind meet the share on average.
/// No mixture of other plans is cheaper.
Plan cheapestMixture(const std::vector<PricedOption> &Priced,
                     const PlanInput &Input) {
  std::vector<PlanPoint> Points = planPoints(Priced, Input);
  if (Points.empty())
    return Plan{};
  const PlanPoint *Low = &Points.front();
  for (const PlanPoint &Candidate : Points) {
    if (Candidate.Cost < Low->Cost)
      Low = &Candidate;
  }
  double RequiredShare = Input.Kind.RequiredGoodShare;
  while (Low->Share < RequiredShare) {
    const PlanPoint *High = nextHullCorner(Points, *Low);
    if (High == nullptr)
      return Plan{};
    if (High->Share >= RequiredShare) {
      double HighFraction =
          (RequiredShare - Low->Share) / (High->Share - Low->Share);
      double Draw = static_cast<double>(Input.RequestDraw % MixtureDraws) /
                    static_cast<double>(MixtureDraws);
      return planFromPoint(Draw < HighFraction ? *High : *Low);
    }
    Low = High;
  }
  return planFromPoint(*Low);
}

Plan bestEffortPlan(const std::vector<PricedOption> &Priced) {
  const PricedOption *Best = &Priced.front();
  for (const PricedOption &Candidate : Priced) {
    if (Candidate.Share > Best->Share)
      Best = &Candidate;
  }
  Plan Result =
      directPlan(*Best, "no plan meets the share; highest available share");
  Result.BelowShare = true;
  return Result;
}

Plan leastLoadedPlan(const std::vector<PricedOption> &Priced) {
  const PricedOption *Best = &Priced.front();
  for (const PricedOption &Candidate : Priced) {
    if (Candidate.Option->Wait < Best->Option->Wait)
      Best = &Candidate;
  }
  return directPlan(*Best, "least loaded");
}

} // namespace

const char *planPolicyName(PlanPolicy Policy) {
  return PolicyNames[static_cast<size_t>(Policy)];
}

bool parsePlanPolicy(const std::string &Name, PlanPolicy &Result) {
  for (size_t I = 0; I < PolicyNames.size(); ++I) {
    if (Name == PolicyNames[I]) {
      Result = static_cast<PlanPolicy>(I);
      return true;
    }
  }
  return false;
}

double expectedShare(const QualityEstimate &Quality, const VersionRow &Row) {
  return (Quality.Good + PriorWeight * Row.ExpectedShare) /
         (Quality.Rated + PriorWeight);
}

double shareLowerBound(const QualityEstimate &Quality, const VersionRow &Row) {
  double Mean = expectedShare(Quality, Row);
  // Without ratings, the operator's expected share is the only information.
  if (Quality.Rated <= 0)
    return Mean;
  double Deviation =
      std::sqrt(Mean * (1 - Mean) / (Quality.Rated + PriorWeight));
  return std::max(0.0, Mean - LowerBoundDeviations * Deviation);
}

MicroCost answerCost(const VersionRow &Row, Tokens PromptTokens,
                     Tokens AnswerTokens) {
  int64_t Total = Row.CostIn.count() * PromptTokens.count() +
                  Row.CostOut.count() * AnswerTokens.count();
  return MicroCost((Total + TokensPerPricedUnit - 1) / TokensPerPricedUnit);
}

Plan makePlan(PlanPolicy Policy, const PlanInput &Input) {
  std::vector<PricedOption> Priced = priceOptions(Input);
  if (Priced.empty())
    return Plan{};
  switch (Policy) {
  case PlanPolicy::Largest:
    return directPlan(largest(Priced), "largest");
  case PlanPolicy::RoundRobin:
    return directPlan(Priced[Input.RequestDraw % Priced.size()], "round robin");
  case PlanPolicy::LeastLoaded:
    return leastLoadedPlan(Priced);
  case PlanPolicy::StaticCheapest:
    return directPlan(Priced.front(), "cheapest");
  case PlanPolicy::Direct:
  case PlanPolicy::Cascade:
  case PlanPolicy::Lean:
    break;
  }
  bool UseMixture = Policy == PlanPolicy::Lean && Input.AllowMixture;
  Plan Result =
      UseMixture
          ? cheapestMixture(Priced, Input)
          : cheapestSufficientPlan(Priced, Input, Policy != PlanPolicy::Direct);
  return Result.Found ? Result : bestEffortPlan(Priced);
}

} // namespace berylramp
