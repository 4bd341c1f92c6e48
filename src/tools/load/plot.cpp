//===- plot.cpp - Results as Markdown and SVG -----------------------------===//
//
// The plot has one point a policy, cost against the worst kind's margin, and
// below it the percentiles of the first token.
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

std::string textAt(double X, double Y, const std::string &Text) {
  return absl::StrFormat(
      "<text x=\"%.1f\" y=\"%.1f\" font-size=\"12\">%s</text>\n", X, Y, Text);
}

std::string scatter(const std::vector<PolicyResult> &Results) {
  double Low = -0.05;
  double High = 0.05;
  for (const PolicyResult &Each : Results) {
    Low = std::min(Low, Each.WorstMargin - 0.02);
    High = std::max(High, Each.WorstMargin + 0.02);
  }
  auto X = [](double Cost) { return Left + Cost * (Width - Left - Right); };
  auto Y = [&](double Margin) {
    return Top + (High - Margin) / (High - Low) * (PlotHeight - Top - 40);
  };
  std::string Out = textAt(Left, 18,
                           "cost against always the largest (right "
                           "is dearer), worst kind's margin (up is "
                           "better)");
  absl::StrAppendFormat(&Out,
                        "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
                        "y2=\"%.1f\" stroke=\"gray\"/>\n",
                        Left, Y(0), Width - Right, Y(0));
  for (const PolicyResult &Each : Results) {
    double Cost = ratio(Each.Report.Cost, Each.Report.LargestCost);
    absl::StrAppendFormat(
        &Out, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"5\" fill=\"%s\"/>\n",
        X(Cost), Y(Each.WorstMargin),
        Each.WorstMargin >= 0 ? "seagreen" : "firebrick");
    Out += textAt(X(Cost) - 30, Y(Each.WorstMargin) - 9, Each.Name);
  }
  return Out;
}

std::string bars(const std::vector<PolicyResult> &Results) {
  double Most = 1;
  for (const PolicyResult &Each : Results)
    Most = std::max(Most, Each.Report.FirstToken.P99);
  std::string Out = textAt(Left, PlotHeight + 10,
                           "first token or whole answer, ms: p50, p95, p99");
  double Y = PlotHeight + 24;
  for (const PolicyResult &Each : Results) {
    const Percentiles &P = Each.Report.FirstToken;
    Out += textAt(4, Y + 2 * BarHeight, Each.Name);
    double Row = Y;
    for (double Value : {P.P50, P.P95, P.P99}) {
      double Length = Value / Most * (Width - 2 * Left - Right);
      absl::StrAppendFormat(&Out,
                            "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
                            "height=\"%.1f\" fill=\"steelblue\"/>\n",
                            Left + 30, Row, Length, BarHeight - 3);
      Out += textAt(Left + 36 + Length, Row + BarHeight - 4,
                    absl::StrFormat("%.0f", Value));
      Row += BarHeight;
    }
    Y += RowHeight;
  }
  return Out;
}

} // namespace

std::string resultsToMarkdown(const std::vector<PolicyResult> &Results) {
  std::string Out =
      "| policy | whole | refused | worst margin | cost / largest | cost / "
      "clairvoyant | first p50 ms | p95 ms | p99 ms | between p95 ms | bytes "
      "across |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const PolicyResult &Each : Results) {
    const RunReport &R = Each.Report;
    auto Whole = R.Outcomes.find("whole");
    absl::StrAppendFormat(
        &Out,
        "| %s | %d | %d | %+.3f | %.3f | %.2f | %.1f | %.1f | %.1f | %.1f | "
        "%d |\n",
        Each.Name, Whole == R.Outcomes.end() ? 0 : Whole->second, Each.Refused,
        Each.WorstMargin, ratio(R.Cost, R.LargestCost),
        ratio(R.Cost, Each.ClairvoyantCost), R.FirstToken.P50, R.FirstToken.P95,
        R.FirstToken.P99, R.Gap.P95, Each.BytesAcross);
  }
  return Out;
}

std::string plotResults(const std::vector<PolicyResult> &Results) {
  double Height =
      PlotHeight + 40 + RowHeight * static_cast<double>(Results.size());
  return absl::StrFormat("<svg xmlns=\"http://www.w3.org/2000/svg\" "
                         "width=\"%.0f\" height=\"%.0f\" "
                         "font-family=\"sans-serif\">\n<rect width=\"100%%\" "
                         "height=\"100%%\" fill=\"white\"/>\n",
                         Width, Height) +
         scatter(Results) + bars(Results) + "</svg>\n";
}

} // namespace berylramp::load
