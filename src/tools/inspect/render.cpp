//===- render.cpp - Lists as columns, CSV or JSON -------------------------===//
//
// Values that are not strings are printed as JSON.
//
//===----------------------------------------------------------------------===//

#include "render.h"

#include "berylramp/json.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"
#include <algorithm>

namespace berylramp::inspect {

namespace {

std::string cellText(const Json::Value &Value) {
  if (Value.isNull())
    return "-";
  return Value.isString() ? Value.asString() : writeJson(Value);
}

std::string quoteCsv(const std::string &Value) {
  if (Value.find_first_of(",\"\n") == std::string::npos)
    return Value;
  return "\"" + absl::StrReplaceAll(Value, {{"\"", "\"\""}}) + "\"";
}

std::string formatCsvLine(const std::vector<std::string> &Cells) {
  std::string Result;
  for (size_t I = 0; I < Cells.size(); ++I)
    absl::StrAppend(&Result, I > 0 ? "," : "", quoteCsv(Cells[I]));
  return Result + "\n";
}

std::string formatColumns(const Grid &Listing) {
  std::vector<size_t> Widths;
  for (const std::string &Title : Listing.Titles)
    Widths.push_back(Title.size());
  for (const auto &Line : Listing.Lines) {
    for (size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  }
  auto Format = [&Widths](const std::vector<std::string> &Cells) {
    std::string Result;
    for (size_t I = 0; I < Cells.size(); ++I)
      absl::StrAppend(
          &Result,
          absl::StrFormat("%-*s  ", static_cast<int>(Widths[I]), Cells[I]));
    absl::StripTrailingAsciiWhitespace(&Result);
    return Result + "\n";
  };
  std::string Result = Format(Listing.Titles);
  for (const auto &Line : Listing.Lines)
    Result += Format(Line);
  return Result;
}

std::string formatJson(const Grid &Listing) {
  Json::Value Result(Json::arrayValue);
  for (const auto &Line : Listing.Lines) {
    Json::Value Item;
    for (size_t I = 0; I < Line.size(); ++I)
      Item[Listing.Titles[I]] = Line[I];
    Result.append(Item);
  }
  return writePrettyJson(Result) + "\n";
}

} // namespace

Grid makeGrid(const Json::Value &Items,
              const std::vector<std::string> &Titles) {
  Grid Result;
  Result.Titles = Titles;
  for (const Json::Value &Item : Items) {
    std::vector<std::string> Line;
    Line.reserve(Titles.size());
    for (const std::string &Title : Titles)
      Line.push_back(cellText(memberAt(Item, Title.c_str())));
    Result.Lines.push_back(std::move(Line));
  }
  return Result;
}

Grid makeMemberGrid(const Json::Value &Object) {
  Grid Result;
  Result.Titles = {"name", "value"};
  if (!Object.isObject())
    return Result;
  for (const std::string &Name : Object.getMemberNames())
    Result.Lines.push_back({Name, cellText(Object[Name])});
  return Result;
}

std::string render(const Grid &Listing, Format OutputFormat) {
  if (OutputFormat == Format::Json)
    return formatJson(Listing);
  if (OutputFormat == Format::Columns)
    return formatColumns(Listing);
  std::string Result = formatCsvLine(Listing.Titles);
  for (const auto &Line : Listing.Lines)
    Result += formatCsvLine(Line);
  return Result;
}

} // namespace berylramp::inspect
