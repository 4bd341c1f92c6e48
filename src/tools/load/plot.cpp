//===- plot.cpp - Results as Markdown and SVG -----------------------------===//
//
// The plot shows one point per policy, cost against the margin of the worst
// kind, and below it the percentiles of the time to the first token.
//
//===----------------------------------------------------------------------===//

#include "experiment.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include <algorithm>

namespace berylramp::load {

namespace {

constexpr double Width = 640;
constexpr double PlotHeight = 300;
constexpr double Left = 70;
constexpr double Right = 20;
constexpr double Top = 30;
constexpr double BarHeight = 14;
constexpr double RowHeight = 54;

double ratio(MicroCost A, MicroCost B) {
  return B.count() == 0
             ? 0
             : static_cast<double>(A.count()) / static_cast<double>(B.count());
}

std::string svgText(double X, double Y, const std::string &Text) {
  return absl::StrFormat(
      "<text x=\"%.1f\" y=\"%.1f\" font-size=\"12\">%s</text>\n", X, Y, Text);
}

std::string scatter(const std::vector<PolicyResult> &Results) {
  double Low = -0.05;
  double High = 0.05;
  for (const PolicyResult &Result : Results) {
    Low = std::min(Low, Result.WorstMargin - 0.02);
    High = std::max(High, Result.WorstMargin + 0.02);
  }
  auto X = [](double Cost) { return Left + Cost * (Width - Left - Right); };
  auto Y = [&](double Margin) {
    return Top + (High - Margin) / (High - Low) * (PlotHeight - Top - 40);
  };
  std::string Svg = svgText(Left, 18,
                            "cost relative to always using the "
                            "largest version (right: more expensive), "
                            "margin of the worst kind (up: better)");
  absl::StrAppendFormat(&Svg,
                        "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
                        "y2=\"%.1f\" stroke=\"gray\"/>\n",
                        Left, Y(0), Width - Right, Y(0));
  for (const PolicyResult &Result : Results) {
    double Cost = ratio(Result.Report.Cost, Result.Report.LargestCost);
    absl::StrAppendFormat(
        &Svg, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"5\" fill=\"%s\"/>\n",
        X(Cost), Y(Result.WorstMargin),
        Result.WorstMargin >= 0 ? "seagreen" : "firebrick");
    Svg += svgText(X(Cost) - 30, Y(Result.WorstMargin) - 9, Result.Name);
  }
  return Svg;
}

std::string latencyBars(const std::vector<PolicyResult> &Results) {
  double MaxLatency = 1;
  for (const PolicyResult &Result : Results)
    MaxLatency = std::max(MaxLatency, Result.Report.FirstToken.P99);
  std::string Svg = svgText(Left, PlotHeight + 10,
                            "first token or whole answer, ms: p50, p95, p99");
  double Y = PlotHeight + 24;
  for (const PolicyResult &Result : Results) {
    const Percentiles &P = Result.Report.FirstToken;
    Svg += svgText(4, Y + 2 * BarHeight, Result.Name);
    double Row = Y;
    for (double Value : {P.P50, P.P95, P.P99}) {
      double Length = Value / MaxLatency * (Width - 2 * Left - Right);
      absl::StrAppendFormat(&Svg,
                            "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
                            "height=\"%.1f\" fill=\"steelblue\"/>\n",
                            Left + 30, Row, Length, BarHeight - 3);
      Svg += svgText(Left + 36 + Length, Row + BarHeight - 4,
                     absl::StrFormat("%.0f", Value));
      Row += BarHeight;
    }
    Y += RowHeight;
  }
  return Svg;
}

} // namespace

std::string resultsToMarkdown(const std::vector<PolicyResult> &Results) {
  std::string Text =
      "| policy | whole | refused | worst margin | cost / largest | cost / "
      "clairvoyant | first p50 ms | p95 ms | p99 ms | between p95 ms | bytes "
      "across |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const PolicyResult &Result : Results) {
    const RunReport &Summary = Result.Report;
    auto Complete = Summary.Outcomes.find("whole");
    absl::StrAppendFormat(
        &Text,
        "| %s | %d | %d | %+.3f | %.3f | %.2f | %.1f | %.1f | %.1f | %.1f | "
        "%d |\n",
        Result.Name, Complete == Summary.Outcomes.end() ? 0 : Complete->second,
        Result.Refused, Result.WorstMargin,
        ratio(Summary.Cost, Summary.LargestCost),
        ratio(Summary.Cost, Result.ClairvoyantCost), Summary.FirstToken.P50,
        Summary.FirstToken.P95, Summary.FirstToken.P99, Summary.TokenGap.P95,
        Result.CrossZoneBytes);
  }
  return Text;
}

std::string plotResults(const std::vector<PolicyResult> &Results) {
  double Height =
      PlotHeight + 40 + RowHeight * static_cast<double>(Results.size());
  return absl::StrFormat("<svg xmlns=\"http://www.w3.org/2000/svg\" "
                         "width=\"%.0f\" height=\"%.0f\" "
                         "font-family=\"sans-serif\">\n<rect width=\"100%%\" "
                         "height=\"100%%\" fill=\"white\"/>\n",
                         Width, Height) +
         scatter(Results) + latencyBars(Results) + "</svg>\n";
}

} // namespace berylramp::load
