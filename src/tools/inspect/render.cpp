//===- render.cpp - Lists as columns, CSV or JSON -------------------------===//
//
// Values that are not text are shown as JSON.
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

std::string shown(const Json::Value &Value) {
  if (Value.isNull())
    return "-";
  return Value.isString() ? Value.asString() : writeJson(Value);
}

std::string quoted(const std::string &Value) {
  if (Value.find_first_of(",\"\n") == std::string::npos)
    return Value;
  return "\"" + absl::StrReplaceAll(Value, {{"\"", "\"\""}}) + "\"";
}

std::string csvLine(const std::vector<std::string> &Cells) {
  std::string Out;
  for (size_t I = 0; I < Cells.size(); ++I)
    absl::StrAppend(&Out, I > 0 ? "," : "", quoted(Cells[I]));
  return Out + "\n";
}

std::string asColumns(const Grid &Which) {
  std::vector<size_t> Widths;
  for (const std::string &Title : Which.Titles)
    Widths.push_back(Title.size());
  for (const auto &Line : Which.Lines) {
    for (size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  }
  auto Format = [&Widths](const std::vector<std::string> &Cells) {
    std::string Out;
    for (size_t I = 0; I < Cells.size(); ++I)
      absl::StrAppend(
          &Out,
          absl::StrFormat("%-*s  ", static_cast<int>(Widths[I]), Cells[I]));
    absl::StripTrailingAsciiWhitespace(&Out);
    return Out + "\n";
  };
  std::string Out = Format(Which.Titles);
  for (const auto &Line : Which.Lines)
    Out += Format(Line);
  return Out;
}

std::string asJson(const Grid &Which) {
  Json::Value Out(Json::arrayValue);
  for (const auto &Line : Which.Lines) {
    Json::Value Item;
    for (size_t I = 0; I < Line.size(); ++I)
      Item[Which.Titles[I]] = Line[I];
    Out.append(Item);
  }
  return writePrettyJson(Out) + "\n";
}

} // namespace

Grid gridOf(const Json::Value &Items, const std::vector<std::string> &Titles) {
  Grid Out;
  Out.Titles = Titles;
  for (const Json::Value &Item : Items) {
    std::vector<std::string> Line;
    Line.reserve(Titles.size());
    for (const std::string &Title : Titles)
      Line.push_back(shown(memberAt(Item, Title.c_str())));
    Out.Lines.push_back(std::move(Line));
  }
  return Out;
}

Grid gridOfMembers(const Json::Value &Object) {
  Grid Out;
  Out.Titles = {"name", "value"};
  if (!Object.isObject())
    return Out;
  for (const std::string &Name : Object.getMemberNames())
    Out.Lines.push_back({Name, shown(Object[Name])});
  return Out;
}

std::string render(const Grid &Which, Format How) {
  if (How == Format::Json)
    return asJson(Which);
  if (How == Format::Columns)
    return asColumns(Which);
  std::string Out = csvLine(Which.Titles);
  for (const auto &Line : Which.Lines)
    Out += csvLine(Line);
  return Out;
}

} // namespace berylramp::inspect
