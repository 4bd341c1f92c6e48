//===- report.h - Results of a run ------------------------------*- C++ -*-===//
//
// Summarizes the samples of a run, prices them with the operators' table, and
// audits complete answers against the bills in the log.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_LOAD_REPORT_H
#define BERYLRAMP_SRC_TOOLS_LOAD_REPORT_H

#include "berylramp/billing.h"
#include "berylramp/table.h"
#include "driver.h"
#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace berylramp::load {

struct Percentiles {
  double P50 = 0;
  double P95 = 0;
  double P99 = 0;
};

/// Returns the percentiles in milliseconds; 0 when \p Values is empty.
Percentiles percentilesOf(std::vector<absl::Duration> Values);

struct KindReport {
  int64_t CompleteAnswers = 0;
  int64_t GoodAnswers = 0;
};

struct RunReport {
  int64_t Requests = 0;
  std::map<std::string, int64_t> Outcomes;
  std::map<std::string, int64_t> Versions;
  std::map<std::string, KindReport> Kinds;
  Percentiles FirstToken;
  Percentiles TokenGap;
  Percentiles TotalTime;
  MicroCost Cost;
  /// Cost of the same answers at the most expensive version of the table.
  MicroCost LargestCost;
  BillAudit Bills;
  int64_t BillsCounted = 0;
  /// Bills that the log did not hold yet when the load ended.
  int64_t LateBills = 0;
  /// Number of idempotency keys that a service executed more than once.
  int64_t RepeatedExecutions = 0;
};

RunReport summarize(const std::vector<Sample> &Samples, const Table &Prices,
                    const BillState &Bills);

Json::Value reportToJson(const RunReport &Report);
std::string reportToText(const RunReport &Report);

} // namespace berylramp::load

#endif // BERYLRAMP_SRC_TOOLS_LOAD_REPORT_H
