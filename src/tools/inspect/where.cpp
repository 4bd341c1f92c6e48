//===- where.cpp - Where a request would go -------------------------------===//

#include "where.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "berylramp/json.h"
#include <algorithm>
#include <array>

namespace berylramp::inspect {

namespace {

constexpr std::array<absl::string_view, 10> Names = {
    "host",     "path",    "key",     "workspace", "model",
    "segments", "session", "request", "tokens",    "deadline_ms"};

} // namespace

absl::StatusOr<Json::Value>
describeRequest(const std::vector<std::string> &Words) {
  Json::Value Result(Json::objectValue);
  for (const std::string &Word : Words) {
    std::pair<std::string, std::string> Pair =
        absl::StrSplit(Word, absl::MaxSplits('=', 1));
    if (std::find(Names.begin(), Names.end(), Pair.first) == Names.end())
      return absl::InvalidArgumentError(
          absl::StrCat("'", Word, "' names no part of a request; use ",
                       absl::StrJoin(Names, "=, "), "="));
    int64_t Number = 0;
    if (Pair.first != "deadline_ms")
      Result[Pair.first] = Pair.second;
    else if (absl::SimpleAtoi(Pair.second, &Number) && Number > 0)
      Result[Pair.first] = Json::Int64(Number);
    else
      return absl::InvalidArgumentError(
          "deadline_ms is a positive number of milliseconds");
  }
  if (textAt(Result, "host").empty() || textAt(Result, "path").empty())
    return absl::InvalidArgumentError("pass host=NAME and path=PATH");
  return Result;
}

std::string renderExplanation(const Json::Value &Answer, Format OutputFormat) {
  if (OutputFormat == Format::Json)
    return writePrettyJson(Answer) + "\n";
  std::string Text;
  if (OutputFormat == Format::Columns) {
    for (const char *Name : {"host", "place", "route", "workspace", "service",
                             "model", "version", "version_rule"})
      if (!textAt(Answer, Name).empty())
        absl::StrAppend(&Text, Name, " ", textAt(Answer, Name), "\n");
    const Json::Value &Refused = memberAt(Answer, "refused");
    if (Refused.isObject())
      absl::StrAppend(&Text, "refused ", intAt(Refused, "status"), " ",
                      textAt(Refused, "kind"), ": ", textAt(Refused, "detail"),
                      "\n");
    if (Answer.isMember("available_in_ms"))
      absl::StrAppend(&Text, "available in ", intAt(Answer, "available_in_ms"),
                      " ms\n");
    if (Answer.isMember("expected_in_time"))
      absl::StrAppend(&Text, "expected in time ",
                      boolAt(Answer, "expected_in_time") ? "yes" : "no", "\n");
  }
  if (arrayAt(Answer, "replicas").empty())
    return Text;
  if (OutputFormat == Format::Columns)
    Text += "\n";
  return Text +
         render(makeGrid(arrayAt(Answer, "replicas"),
                         {"replica", "place", "version", "state", "reason",
                          "expected_ms", "queue_ms", "cached_tokens", "load",
                          "in_progress", "slots", "held_bytes", "path_lost"}),
                OutputFormat);
}

} // namespace berylramp::inspect
