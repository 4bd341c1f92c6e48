//===- report.cpp - Results of a run --------------------------------------===//
//
// Costs come from the bills, because workspaces pay what is billed, and not
// from the token usage in the answers.
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

const VersionRow *mostExpensiveVersion(const Table &Prices) {
  const VersionRow *Result = nullptr;
  for (const auto &[Key, Row] : Prices.Versions) {
    if (Result == nullptr || Row.CostOut > Result->CostOut)
      Result = &Row;
  }
  return Result;
}

Json::Value percentilesJson(const Percentiles &Values) {
  Json::Value Result;
  Result["p50_ms"] = Values.P50;
  Result["p95_ms"] = Values.P95;
  Result["p99_ms"] = Values.P99;
  return Result;
}

void addCounts(const std::map<std::string, int64_t> &Counts, const char *Title,
               std::string &Text) {
  absl::StrAppend(&Text, Title, "\n");
  for (const auto &[Name, Count] : Counts)
    absl::StrAppend(&Text, absl::StrFormat("  %-28s %8d\n", Name, Count));
}

} // namespace

Percentiles percentilesOf(std::vector<absl::Duration> Values) {
  std::sort(Values.begin(), Values.end());
  return Percentiles{quantile(Values, 0.5), quantile(Values, 0.95),
                     quantile(Values, 0.99)};
}

RunReport summarize(const std::vector<Sample> &Samples, const Table &Prices,
                    const BillState &Bills) {
  RunReport Report;
  std::vector<absl::Duration> FirstTokens;
  std::vector<absl::Duration> TokenGaps;
  std::vector<absl::Duration> TotalTimes;
  std::vector<std::string> AnsweredKeys;
  std::set<std::string> SentKeys;
  const VersionRow *Largest = mostExpensiveVersion(Prices);
  for (const Sample &Current : Samples) {
    ++Report.Requests;
    ++Report.Outcomes[Current.Outcome];
    std::string BillId = Current.IdempotencyKey.empty()
                             ? Current.Request.text()
                             : "order:" + Current.IdempotencyKey;
    std::string BillKey = Current.Workspace.text() + "/" + BillId;
    SentKeys.insert(BillKey);
    if (Current.Outcome != "whole")
      continue;
    AnsweredKeys.push_back(BillKey);
    KindReport &Kind = Report.Kinds[Current.Kind.text()];
    ++Kind.CompleteAnswers;
    Kind.GoodAnswers += Current.IsGood ? 1 : 0;
    if (!Current.Version.empty())
      ++Report.Versions[Current.Version];
    FirstTokens.push_back(Current.FirstToken);
    TotalTimes.push_back(Current.TotalTime);
    if (Current.MeanGap > absl::ZeroDuration())
      TokenGaps.push_back(Current.MeanGap);
    auto Found = Bills.Counted.find(BillKey);
    if (Found == Bills.Counted.end() || Current.Version.empty())
      continue;
    Report.Cost += Found->second.Cost;
    if (Largest != nullptr)
      Report.LargestCost +=
          answerCost(*Largest, Current.PromptTokens, Current.AnswerTokens);
  }
  Report.FirstToken = percentilesOf(std::move(FirstTokens));
  Report.TokenGap = percentilesOf(std::move(TokenGaps));
  Report.TotalTime = percentilesOf(std::move(TotalTimes));
  Report.Bills = auditBills(Bills, AnsweredKeys);
  // Bills of other runs on the same log are not orphans of this run.
  auto IsForeign = [&SentKeys](const std::string &Key) {
    return SentKeys.count(Key) == 0;
  };
  auto &Orphans = Report.Bills.Orphans;
  Orphans.erase(std::remove_if(Orphans.begin(), Orphans.end(), IsForeign),
                Orphans.end());
  Report.BillsCounted = static_cast<int64_t>(Bills.Counted.size());
  return Report;
}

Json::Value reportToJson(const RunReport &Report) {
  Json::Value Result;
  Result["requests"] = Json::Int64(Report.Requests);
  for (const auto &[Name, Count] : Report.Outcomes)
    Result["outcomes"][Name] = Json::Int64(Count);
  for (const auto &[Name, Count] : Report.Versions)
    Result["versions"][Name] = Json::Int64(Count);
  for (const auto &[Name, Kind] : Report.Kinds) {
    Result["kinds"][Name]["whole"] = Json::Int64(Kind.CompleteAnswers);
    Result["kinds"][Name]["good"] = Json::Int64(Kind.GoodAnswers);
  }
  Result["first_token"] = percentilesJson(Report.FirstToken);
  Result["between_tokens"] = percentilesJson(Report.TokenGap);
  Result["whole"] = percentilesJson(Report.TotalTime);
  Result["cost"] = Json::Int64(Report.Cost.count());
  Result["largest_cost"] = Json::Int64(Report.LargestCost.count());
  Result["bills"]["counted"] = Json::Int64(Report.BillsCounted);
  Result["bills"]["repeats"] = Json::Int64(Report.Bills.Repeats);
  Result["bills"]["missing"] = Json::UInt64(Report.Bills.Missing.size());
  Result["bills"]["late"] = Json::Int64(Report.LateBills);
  Result["bills"]["orphans"] = Json::UInt64(Report.Bills.Orphans.size());
  Result["doubled_orders"] = Json::Int64(Report.RepeatedExecutions);
  return Result;
}

std::string reportToText(const RunReport &Report) {
  std::string Text = absl::StrFormat("requests %37d\n", Report.Requests);
  addCounts(Report.Outcomes, "by outcome", Text);
  addCounts(Report.Versions, "by version", Text);
  absl::StrAppend(&Text, "good answers by kind, of the whole ones\n");
  for (const auto &[Name, Kind] : Report.Kinds)
    absl::StrAppend(&Text,
                    absl::StrFormat("  %-28s %8d of %d\n", Name,
                                    Kind.GoodAnswers, Kind.CompleteAnswers));
  auto Line = [&Text](const char *Title, const Percentiles &P) {
    absl::StrAppend(&Text, absl::StrFormat("%-20s p50 %8.2f  p95 %8.2f  p99 "
                                           "%8.2f\n",
                                           Title, P.P50, P.P95, P.P99));
  };
  Line("first token, ms", Report.FirstToken);
  Line("between tokens, ms", Report.TokenGap);
  Line("whole answer, ms", Report.TotalTime);
  double Ratio = Report.LargestCost.count() > 0
                     ? static_cast<double>(Report.Cost.count()) /
                           static_cast<double>(Report.LargestCost.count())
                     : 0;
  absl::StrAppend(
      &Text, absl::StrFormat("cost in millionths of the currency unit %d, "
                             "with the largest version alone %d (%.0f%%)\n",
                             Report.Cost.count(), Report.LargestCost.count(),
                             100 * Ratio));
  absl::StrAppend(
      &Text, absl::StrFormat("bills %d: missing %d, without an answer %d, "
                             "repeated %d, late %d\n",
                             Report.BillsCounted, Report.Bills.Missing.size(),
                             Report.Bills.Orphans.size(), Report.Bills.Repeats,
                             Report.LateBills));
  absl::StrAppend(&Text, absl::StrFormat("orders run more than once: %d\n",
                                         Report.RepeatedExecutions));
  return Text;
}

} // namespace berylramp::load
