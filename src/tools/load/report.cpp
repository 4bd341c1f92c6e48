//===- report.cpp - What a run showed -------------------------------------===//
//
// Costs come from the bills, which is what a workspace pays, and not from what
// the callers saw.
//
//===----------------------------------------------------------------------===//

#include "report.h"

#include "berylramp/policy.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include <algorithm>
#include <set>

namespace berylramp::load {

namespace {

double quantile(const std::vector<absl::Duration> &Sorted, double Q) {
  if (Sorted.empty())
    return 0;
  size_t Index = static_cast<size_t>(Q * static_cast<double>(Sorted.size()));
  Index = std::min(Index, Sorted.size() - 1);
  return absl::ToDoubleMilliseconds(Sorted[Index]);
}

const VersionRow *dearest(const Table &Prices) {
  const VersionRow *Out = nullptr;
  for (const auto &[Key, Row] : Prices.Versions) {
    if (Out == nullptr || Row.CostOut > Out->CostOut)
      Out = &Row;
  }
  return Out;
}

Json::Value percentilesJson(const Percentiles &In) {
  Json::Value Out;
  Out["p50_ms"] = In.P50;
  Out["p95_ms"] = In.P95;
  Out["p99_ms"] = In.P99;
  return Out;
}

void addCounts(const std::map<std::string, int64_t> &In, const char *Title,
               std::string &Out) {
  absl::StrAppend(&Out, Title, "\n");
  for (const auto &[Name, Count] : In)
    absl::StrAppend(&Out, absl::StrFormat("  %-28s %8d\n", Name, Count));
}

} // namespace

Percentiles percentilesOf(std::vector<absl::Duration> Values) {
  std::sort(Values.begin(), Values.end());
  return Percentiles{quantile(Values, 0.5), quantile(Values, 0.95),
                     quantile(Values, 0.99)};
}

RunReport summarize(const std::vector<Sample> &Samples, const Table &Prices,
                    const BillState &Bills) {
  RunReport Out;
  std::vector<absl::Duration> FirstTokens;
  std::vector<absl::Duration> Gaps;
  std::vector<absl::Duration> Wholes;
  std::vector<std::string> Answered;
  std::set<std::string> Sent;
  const VersionRow *Largest = dearest(Prices);
  for (const Sample &Each : Samples) {
    ++Out.Requests;
    ++Out.Outcomes[Each.Outcome];
    std::string BillId = Each.IdempotencyKey.empty()
                             ? Each.Request.text()
                             : "order:" + Each.IdempotencyKey;
    std::string BillKey = Each.Workspace.text() + "/" + BillId;
    Sent.insert(BillKey);
    if (Each.Outcome != "whole")
      continue;
    Answered.push_back(BillKey);
    KindReport &Kind = Out.Kinds[Each.Kind.text()];
    ++Kind.Whole;
    Kind.Good += Each.IsGood ? 1 : 0;
    if (!Each.Version.empty())
      ++Out.Versions[Each.Version];
    FirstTokens.push_back(Each.FirstToken);
    Wholes.push_back(Each.Whole);
    if (Each.MeanGap > absl::ZeroDuration())
      Gaps.push_back(Each.MeanGap);
    auto Found = Bills.Counted.find(BillKey);
    if (Found == Bills.Counted.end() || Each.Version.empty())
      continue;
    Out.Cost += Found->second.Cost;
    if (Largest != nullptr)
      Out.LargestCost += answerCost(*Largest, Each.In, Each.Out);
  }
  Out.FirstToken = percentilesOf(std::move(FirstTokens));
  Out.Gap = percentilesOf(std::move(Gaps));
  Out.Whole = percentilesOf(std::move(Wholes));
  Out.Bills = auditBills(Bills, Answered);
  // Bills of other runs on the same log are not this run's orphans.
  auto IsForeign = [&Sent](const std::string &Key) {
    return Sent.count(Key) == 0;
  };
  auto &Orphans = Out.Bills.Orphans;
  Orphans.erase(std::remove_if(Orphans.begin(), Orphans.end(), IsForeign),
                Orphans.end());
  Out.BillsCounted = static_cast<int64_t>(Bills.Counted.size());
  return Out;
}

Json::Value reportToJson(const RunReport &In) {
  Json::Value Out;
  Out["requests"] = Json::Int64(In.Requests);
  for (const auto &[Name, Count] : In.Outcomes)
    Out["outcomes"][Name] = Json::Int64(Count);
  for (const auto &[Name, Count] : In.Versions)
    Out["versions"][Name] = Json::Int64(Count);
  for (const auto &[Name, Kind] : In.Kinds) {
    Out["kinds"][Name]["whole"] = Json::Int64(Kind.Whole);
    Out["kinds"][Name]["good"] = Json::Int64(Kind.Good);
  }
  Out["first_token"] = percentilesJson(In.FirstToken);
  Out["between_tokens"] = percentilesJson(In.Gap);
  Out["whole"] = percentilesJson(In.Whole);
  Out["cost"] = Json::Int64(In.Cost.count());
  Out["largest_cost"] = Json::Int64(In.LargestCost.count());
  Out["bills"]["counted"] = Json::Int64(In.BillsCounted);
  Out["bills"]["repeats"] = Json::Int64(In.Bills.Repeats);
  Out["bills"]["missing"] = Json::UInt64(In.Bills.Missing.size());
  Out["bills"]["orphans"] = Json::UInt64(In.Bills.Orphans.size());
  Out["doubled_orders"] = Json::Int64(In.DoubledOrders);
  return Out;
}

std::string reportToText(const RunReport &In) {
  std::string Out = absl::StrFormat("requests %37d\n", In.Requests);
  addCounts(In.Outcomes, "by outcome", Out);
  addCounts(In.Versions, "by version", Out);
  absl::StrAppend(&Out, "good answers by kind\n");
  for (const auto &[Name, Kind] : In.Kinds)
    absl::StrAppend(&Out, absl::StrFormat("  %-28s %8d of %d\n", Name,
                                          Kind.Good, Kind.Whole));
  auto Line = [&Out](const char *Title, const Percentiles &P) {
    absl::StrAppend(&Out, absl::StrFormat("%-20s p50 %8.2f  p95 %8.2f  p99 "
                                          "%8.2f\n",
                                          Title, P.P50, P.P95, P.P99));
  };
  Line("first token, ms", In.FirstToken);
  Line("between tokens, ms", In.Gap);
  Line("whole answer, ms", In.Whole);
  double Ratio = In.LargestCost.count() > 0
                     ? static_cast<double>(In.Cost.count()) /
                           static_cast<double>(In.LargestCost.count())
                     : 0;
  absl::StrAppend(
      &Out, absl::StrFormat("cost %d, always the largest version %d, "
                            "ratio %.3f\n",
                            In.Cost.count(), In.LargestCost.count(), Ratio));
  absl::StrAppend(&Out,
                  absl::StrFormat("bills: missing %d, orphans %d, repeats %d\n",
                                  In.Bills.Missing.size(),
                                  In.Bills.Orphans.size(), In.Bills.Repeats));
  absl::StrAppend(&Out, absl::StrFormat("orders run more than once: %d\n",
                                        In.DoubledOrders));
  return Out;
}

} // namespace berylramp::load
