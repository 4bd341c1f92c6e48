//===- experiment.h - Compares policies under one workload ------*- C++ -*-===//
//
// Runs the same requests, drawn from the same seed, once for each policy:
// every run has a new platform and new entry hosts in this process. Writes a
// JSON report, a Markdown table and an SVG plot.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_LOAD_EXPERIMENT_H
#define BERYLRAMP_SRC_TOOLS_LOAD_EXPERIMENT_H

#include "report.h"
#include <string>
#include <vector>

namespace berylramp::load {

/// What one policy made of the workload.
struct PolicyResult {
  std::string Name;
  RunReport Report;
  /// The cost of a chooser that knows each answer's rating beforehand.
  MicroCost ClairvoyantCost;
  /// For each kind, the share of good answers less the agreed share.
  double WorstMargin = 0;
  int64_t BytesAcross = 0;
  int64_t Refused = 0;
};

/// Runs the experiment of a JSON file and writes its results next to \p OutBase
/// as .json, .md and .svg. \p OnlyPolicy, when set, runs that one alone.
absl::Status runExperiment(const std::string &Path, const std::string &OutBase,
                           const std::string &OnlyPolicy);

/// The results as a Markdown table.
std::string resultsToMarkdown(const std::vector<PolicyResult> &Results);
/// Cost against quality, and latency percentiles, as an SVG picture.
std::string plotResults(const std::vector<PolicyResult> &Results);

} // namespace berylramp::load

#endif // BERYLRAMP_SRC_TOOLS_LOAD_EXPERIMENT_H
