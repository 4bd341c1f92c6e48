//===- plan.cpp - The cheapest plan that meets the agreed quality ---------===//
//
// A cascade rates a cheap answer and escalates when it is not good. Its share
// is what the cheap version reaches, plus what the dear one reaches of the
// rest. It needs the rater, and time for both answers before the deadline.
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

/// The operator's expectation counts as this many ratings.
constexpr double PriorWeight = 20;
/// Standard deviations below the mean that a cautious share lies.
constexpr double Caution = 1.3;
constexpr int64_t TokensPerPricedUnit = 1000;

constexpr std::array<const char *, 7> PolicyNames = {
    "largest", "round-robin", "least-loaded", "static-cheapest",
    "direct",  "cascade",     "lean"};
constexpr uint64_t MixtureDraws = 10000;

struct Weighed {
  const PlanOption *Option;
  double Share;
  double Mean;
  double Cost;
};

double costOf(const PlanOption &Option, const PlanInput &Input) {
  return static_cast<double>(
      answerCost(*Option.Row, Input.In, Input.Out).count());
}

std::vector<Weighed> weigh(const PlanInput &Input) {
  std::vector<Weighed> Out;
  Out.reserve(Input.Options.size());
  for (const PlanOption &Option : Input.Options)
    Out.push_back(Weighed{&Option, cautiousShare(Option.Belief, *Option.Row),
                          expectedShare(Option.Belief, *Option.Row),
                          costOf(Option, Input)});
  std::sort(Out.begin(), Out.end(), [](const Weighed &A, const Weighed &B) {
    if (A.Cost != B.Cost)
      return A.Cost < B.Cost;
    return A.Option->Row->Key < B.Option->Row->Key;
  });
  return Out;
}

Plan directPlan(const Weighed &Which, const char *Why) {
  Plan Out;
  Out.Found = true;
  Out.First = Which.Option->Row->Key;
  Out.ExpectedCost = MicroCost(std::llround(Which.Cost));
  Out.ExpectedShare = Which.Share;
  Out.Why = absl::StrFormat("%s: share %.3f, cost %.0f", Why, Which.Share,
                            Which.Cost);
  return Out;
}

/// A pair of versions, weighed without building a plan: there are many pairs.
struct CascadePair {
  const Weighed *Cheap = nullptr;
  const Weighed *Dear = nullptr;
  double Cost = 0;
  double Share = 0;
};

CascadePair weighPair(const Weighed &Cheap, const Weighed &Dear) {
  return CascadePair{&Cheap, &Dear, Cheap.Cost + (1 - Cheap.Mean) * Dear.Cost,
                     Cheap.Share + (1 - Cheap.Share) * Dear.Share};
}

Plan cascadePlan(const CascadePair &Pair) {
  Plan Out;
  Out.Found = true;
  Out.IsCascade = true;
  Out.First = Pair.Cheap->Option->Row->Key;
  Out.Escalate = Pair.Dear->Option->Row->Key;
  Out.ExpectedCost = MicroCost(std::llround(Pair.Cost));
  Out.ExpectedShare = Pair.Share;
  Out.Why =
      absl::StrFormat("cascade: share %.3f, cost %.0f", Pair.Share, Pair.Cost);
  return Out;
}

bool fitsDeadline(const PlanOption &Option, const PlanInput &Input) {
  return Option.ExpectedTime <= Input.Kind.Deadline;
}

bool cascadeFitsDeadline(const PlanOption &Cheap, const PlanOption &Dear,
                         const PlanInput &Input) {
  return Cheap.ExpectedTime + Input.RatingTime + Dear.ExpectedTime <=
         Input.Kind.Deadline;
}

const Weighed &largest(const std::vector<Weighed> &All) { return All.back(); }

/// Among versions of equal cost the weights share the traffic.
const Weighed &byWeight(const std::vector<Weighed> &All, const Weighed &Chosen,
                        double Share, uint64_t Turn) {
  int Sum = 0;
  for (const Weighed &Each : All) {
    if (Each.Cost == Chosen.Cost && Each.Share >= Share)
      Sum += Each.Option->Row->Weight;
  }
  if (Sum == 0)
    return Chosen;
  int Draw = static_cast<int>(Turn % static_cast<uint64_t>(Sum));
  for (const Weighed &Each : All) {
    if (Each.Cost != Chosen.Cost || Each.Share < Share)
      continue;
    Draw -= Each.Option->Row->Weight;
    if (Draw < 0)
      return Each;
  }
  return Chosen;
}

/// The cheapest pair that meets the share and costs less than \p Below.
CascadePair cheapestPair(const std::vector<Weighed> &All,
                         const PlanInput &Input, double Below) {
  CascadePair Best;
  Best.Cost = Below;
  for (const Weighed &Cheap : All) {
    if (Cheap.Cost >= Best.Cost)
      break;
    for (const Weighed &Dear : All) {
      if (Dear.Cost <= Cheap.Cost)
        continue;
      CascadePair Pair = weighPair(Cheap, Dear);
      if (Pair.Cost >= Best.Cost)
        break;
      if (Pair.Share >= Input.Kind.RequiredGoodShare &&
          cascadeFitsDeadline(*Cheap.Option, *Dear.Option, Input))
        Best = Pair;
    }
  }
  return Best;
}

Plan cheapestMeeting(const std::vector<Weighed> &All, const PlanInput &Input,
                     bool WithCascade) {
  const Weighed *Direct = nullptr;
  for (const Weighed &Each : All) {
    if (Each.Share < Input.Kind.RequiredGoodShare ||
        !fitsDeadline(*Each.Option, Input))
      continue;
    Direct = &byWeight(All, Each, Input.Kind.RequiredGoodShare, Input.Turn);
    break;
  }
  if (WithCascade && Input.RaterAnswers) {
    double Below = Direct == nullptr ? std::numeric_limits<double>::infinity()
                                     : Direct->Cost;
    CascadePair Pair = cheapestPair(All, Input, Below);
    if (Pair.Cheap != nullptr)
      return cascadePlan(Pair);
  }
  if (Direct == nullptr)
    return Plan{};
  return directPlan(*Direct, "cheapest that meets the share");
}

/// A plan as a point of share and cost: direct when Dear is null.
struct PlanPoint {
  const Weighed *Cheap = nullptr;
  const Weighed *Dear = nullptr;
  double Cost = 0;
  double Share = 0;
};

std::vector<PlanPoint> planPoints(const std::vector<Weighed> &All,
                                  const PlanInput &Input) {
  std::vector<PlanPoint> Out;
  for (const Weighed &Each : All) {
    if (fitsDeadline(*Each.Option, Input))
      Out.push_back(PlanPoint{&Each, nullptr, Each.Cost, Each.Share});
  }
  if (!Input.RaterAnswers)
    return Out;
  for (const Weighed &Cheap : All) {
    for (const Weighed &Dear : All) {
      if (Dear.Cost <= Cheap.Cost ||
          !cascadeFitsDeadline(*Cheap.Option, *Dear.Option, Input))
        continue;
      CascadePair Pair = weighPair(Cheap, Dear);
      Out.push_back(PlanPoint{&Cheap, &Dear, Pair.Cost, Pair.Share});
    }
  }
  return Out;
}

/// The next corner of the lower hull after \p From: the point that buys a
/// larger share at the least cost a share.
const PlanPoint *nextCorner(const std::vector<PlanPoint> &Points,
                            const PlanPoint &From) {
  const PlanPoint *Best = nullptr;
  double BestSlope = std::numeric_limits<double>::infinity();
  for (const PlanPoint &Each : Points) {
    if (Each.Share <= From.Share)
      continue;
    double Slope = (Each.Cost - From.Cost) / (Each.Share - From.Share);
    if (Slope < BestSlope) {
      Best = &Each;
      BestSlope = Slope;
    }
  }
  return Best;
}

Plan planOf(const PlanPoint &Point) {
  if (Point.Dear == nullptr)
    return directPlan(*Point.Cheap, "mixture, direct part");
  Plan Out = cascadePlan(
      CascadePair{Point.Cheap, Point.Dear, Point.Cost, Point.Share});
  Out.Why = "mixture, " + Out.Why;
  return Out;
}

/// Many requests of a kind together meet the share, each by one of two plans:
/// the corners of the lower hull on both sides of the agreed share. No mixture
/// of any plans is cheaper.
Plan cheapestMixture(const std::vector<Weighed> &All, const PlanInput &Input) {
  std::vector<PlanPoint> Points = planPoints(All, Input);
  if (Points.empty())
    return Plan{};
  const PlanPoint *Low = &Points.front();
  for (const PlanPoint &Each : Points) {
    if (Each.Cost < Low->Cost)
      Low = &Each;
  }
  double Wanted = Input.Kind.RequiredGoodShare;
  while (Low->Share < Wanted) {
    const PlanPoint *High = nextCorner(Points, *Low);
    if (High == nullptr)
      return Plan{};
    if (High->Share >= Wanted) {
      double Part = (Wanted - Low->Share) / (High->Share - Low->Share);
      double Draw = static_cast<double>(Input.Turn % MixtureDraws) /
                    static_cast<double>(MixtureDraws);
      return planOf(Draw < Part ? *High : *Low);
    }
    Low = High;
  }
  return planOf(*Low);
}

Plan bestEffort(const std::vector<Weighed> &All) {
  const Weighed *Best = &All.front();
  for (const Weighed &Each : All) {
    if (Each.Share > Best->Share)
      Best = &Each;
  }
  Plan Out = directPlan(*Best, "no plan meets the share; best there is");
  Out.BelowShare = true;
  return Out;
}

Plan leastLoaded(const std::vector<Weighed> &All) {
  const Weighed *Best = &All.front();
  for (const Weighed &Each : All) {
    if (Each.Option->Wait < Best->Option->Wait)
      Best = &Each;
  }
  return directPlan(*Best, "least loaded");
}

} // namespace

const char *planPolicyName(PlanPolicy Policy) {
  return PolicyNames[static_cast<size_t>(Policy)];
}

bool parsePlanPolicy(const std::string &Name, PlanPolicy &Out) {
  for (size_t I = 0; I < PolicyNames.size(); ++I) {
    if (Name == PolicyNames[I]) {
      Out = static_cast<PlanPolicy>(I);
      return true;
    }
  }
  return false;
}

double expectedShare(const QualityBelief &Belief, const VersionRow &Row) {
  return (Belief.Good + PriorWeight * Row.ExpectedShare) /
         (Belief.Rated + PriorWeight);
}

double cautiousShare(const QualityBelief &Belief, const VersionRow &Row) {
  double Mean = expectedShare(Belief, Row);
  // Without any rating the operator's word is all there is.
  if (Belief.Rated <= 0)
    return Mean;
  double Deviation =
      std::sqrt(Mean * (1 - Mean) / (Belief.Rated + PriorWeight));
  return std::max(0.0, Mean - Caution * Deviation);
}

MicroCost answerCost(const VersionRow &Row, Tokens In, Tokens Out) {
  int64_t Total =
      Row.CostIn.count() * In.count() + Row.CostOut.count() * Out.count();
  return MicroCost((Total + TokensPerPricedUnit - 1) / TokensPerPricedUnit);
}

Plan makePlan(PlanPolicy Policy, const PlanInput &Input) {
  std::vector<Weighed> All = weigh(Input);
  if (All.empty())
    return Plan{};
  switch (Policy) {
  case PlanPolicy::Largest:
    return directPlan(largest(All), "largest");
  case PlanPolicy::RoundRobin:
    return directPlan(All[Input.Turn % All.size()], "round robin");
  case PlanPolicy::LeastLoaded:
    return leastLoaded(All);
  case PlanPolicy::StaticCheapest:
    return directPlan(All.front(), "cheapest");
  case PlanPolicy::Direct:
  case PlanPolicy::Cascade:
  case PlanPolicy::Lean:
    break;
  }
  bool Mixes = Policy == PlanPolicy::Lean && Input.MayMix;
  Plan Out = Mixes ? cheapestMixture(All, Input)
                   : cheapestMeeting(All, Input, Policy != PlanPolicy::Direct);
  return Out.Found ? Out : bestEffort(All);
}

} // namespace berylramp
