//===- experiment.h - Compares policies under one workload ------*- C++ -*-===//
//
// Runs the same requests, drawn from the same seed, once for each policy. Every
// run has a new platform and new entry hosts in this process. Writes a JSON
// report, a Markdown table and an SVG plot.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_LOAD_EXPERIMENT_H
#define BERYLRAMP_SRC_TOOLS_LOAD_EXPERIMENT_H

#include "report.h"
#include <string>
#include <vector>

namespace berylramp::load {

/// Results of one policy.
struct PolicyResult {
  std::string Name;
  RunReport Report;
  /// Minimum cost of a chooser that has the rating of each answer in advance.
  MicroCost ClairvoyantCost;
  /// Share of good answers minus the agreed share, for the worst kind.
  double WorstMargin = 0;
  int64_t CrossZoneBytes = 0;
  int64_t Refused = 0;
};

/// Runs the experiment of a JSON file and writes its results next to \p
/// OutputBase as .json, .md and .svg. A non-empty \p OnlyPolicy runs only that
/// policy.
absl::Status runExperiment(const std::string &Path,
                           const std::string &OutputBase,
                           const std::string &OnlyPolicy);

/// Formats the results as a Markdown table.
std::string resultsToMarkdown(const std::vector<PolicyResult> &Results);
/// Plots cost against quality, and latency percentiles, as SVG.
std::string plotResults(const std::vector<PolicyResult> &Results);

} // namespace berylramp::load

#endif // BERYLRAMP_SRC_TOOLS_LOAD_EXPERIMENT_H
