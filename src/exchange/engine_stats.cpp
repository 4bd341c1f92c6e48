//===- engine_stats.cpp - Metrics of the choice of engines ----------------===//

#include "engine_stats.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp {

namespace {

/// Shorter times are compared as if they were this long: network latency
/// dominates them.
constexpr absl::Duration MinComparedTime = absl::Milliseconds(10);

std::string label(const char *Name, const std::string &Value) {
  return absl::StrCat(Name, "=\"", Value, "\"");
}

} // namespace

void EngineStats::onSent(const ServiceId &Service, const Choice &Chosen) {
  if (this->ByService.size() >= MaxSeries &&
      this->ByService.count(Service) == 0)
    return;
  SharedTokens &Counts = this->ByService[Service];
  Counts.Kept += Chosen.KeptTokens;
  for (const PromptSegment &Segment : Chosen.Use.Shared)
    Counts.Read += Segment.Tokens;
  Counts.Read -= Chosen.KeptTokens;
}

void EngineStats::onFirstByte(const ModelId &Model, const PlaceId &Place,
                              absl::Duration Expected, absl::Duration Actual) {
  std::pair<ModelId, PlaceId> Key(Model, Place);
  if (this->Errors.size() >= MaxSeries && this->Errors.count(Key) == 0)
    return;
  double Ratio = absl::FDivDuration(std::max(Actual, MinComparedTime),
                                    std::max(Expected, MinComparedTime));
  auto Bound = std::lower_bound(Bounds.begin(), Bounds.end(), Ratio);
  this->Errors[Key][static_cast<size_t>(Bound - Bounds.begin())] += 1;
}

std::vector<Gauge> EngineStats::gauges() const {
  std::vector<Gauge> Result;
  for (const auto &[Service, Counts] : this->ByService) {
    std::string Labels =
        absl::StrCat("{", label("service", Service.text()), "}");
    Result.push_back({absl::StrCat("shared_tokens_kept_total", Labels),
                      static_cast<double>(Counts.Kept)});
    Result.push_back({absl::StrCat("shared_tokens_read_total", Labels),
                      static_cast<double>(Counts.Read)});
  }
  for (const auto &[Key, Counts] : this->Errors) {
    std::string Labels = absl::StrCat(label("model", Key.first.text()), ",",
                                      label("place", Key.second.text()));
    int64_t Sum = 0;
    for (size_t Index = 0; Index < Counts.size(); ++Index) {
      Sum += Counts[Index];
      std::string Bound =
          Index < Bounds.size() ? absl::StrCat(Bounds[Index]) : "+Inf";
      Result.push_back({absl::StrCat("first_token_error_ratio_bucket{", Labels,
                                     ",", label("le", Bound), "}"),
                        static_cast<double>(Sum)});
    }
  }
  return Result;
}

} // namespace berylramp
