//===- report.h - What a run showed -----------------------------*- C++ -*-===//
//
// Sums the samples of a run, prices them by the operators' table, and audits
// whole answers against the bills in the log.
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

/// Percentiles in milliseconds.
Percentiles percentilesOf(std::vector<absl::Duration> Values);

struct KindReport {
  int64_t Whole = 0;
  int64_t Good = 0;
};

struct RunReport {
  int64_t Requests = 0;
  std::map<std::string, int64_t> Outcomes;
  std::map<std::string, int64_t> Versions;
  std::map<std::string, KindReport> Kinds;
  Percentiles FirstToken;
  Percentiles Gap;
  Percentiles Whole;
  MicroCost Cost;
  /// The same answers at the dearest version that the table has.
  MicroCost LargestCost;
  BillAudit Bills;
  int64_t BillsCounted = 0;
  /// Idempotency keys that a service ran more than once.
  int64_t DoubledOrders = 0;
};

RunReport summarize(const std::vector<Sample> &Samples, const Table &Prices,
                    const BillState &Bills);

Json::Value reportToJson(const RunReport &Report);
std::string reportToText(const RunReport &Report);

} // namespace berylramp::load

#endif // BERYLRAMP_SRC_TOOLS_LOAD_REPORT_H
