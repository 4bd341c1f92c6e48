//===- render.cpp - The table as CSV, columns and JSON --------------------===//
//
// CSV has one cell a line (row, field, value), so that a sheet can be edited a
// cell at a time and two sheets can be compared by line.
//
//===----------------------------------------------------------------------===//

#include "berylramp/table.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"

namespace berylramp {

namespace {

constexpr size_t CsvColumns = 3;
constexpr const char *RemoveMark = "!remove";

std::string quoteCsv(const std::string &Value) {
  if (Value.find_first_of(",\"\n") == std::string::npos)
    return Value;
  return "\"" + absl::StrReplaceAll(Value, {{"\"", "\"\""}}) + "\"";
}

/// Splits one CSV line; false when a quote is left open.
bool splitCsvLine(absl::string_view Line, std::vector<std::string> &Out) {
  std::string Field;
  bool Quoted = false;
  for (size_t I = 0; I < Line.size(); ++I) {
    char C = Line[I];
    if (Quoted && C == '"' && I + 1 < Line.size() && Line[I + 1] == '"') {
      Field += '"';
      ++I;
    } else if (C == '"') {
      Quoted = !Quoted;
    } else if (C == ',' && !Quoted) {
      Out.push_back(Field);
      Field.clear();
    } else {
      Field += C;
    }
  }
  Out.push_back(Field);
  return !Quoted;
}

struct Sheet {
  std::vector<std::string> Fields;
  std::vector<std::pair<std::string, const Row *>> Lines;
};

std::map<std::string, Sheet> sheetsByKind(const Rows &All) {
  std::map<std::string, Sheet> Out;
  for (const auto &[Key, Each] : All) {
    if (Each.Fields.empty())
      continue;
    std::string Kind = Key.substr(0, Key.find('/'));
    Sheet &Target = Out[Kind];
    Target.Lines.emplace_back(Key, &Each);
    for (const auto &[Field, Value] : Each.Fields) {
      auto &Known = Target.Fields;
      if (std::find(Known.begin(), Known.end(), Field) == Known.end())
        Known.push_back(Field);
    }
  }
  return Out;
}

std::string cellOf(const Row &Which, const std::string &Field) {
  auto Found = Which.Fields.find(Field);
  return Found == Which.Fields.end() ? "-" : Found->second;
}

std::string renderSheet(const Sheet &Which) {
  std::vector<std::vector<std::string>> Lines;
  std::vector<std::string> Header = {"row"};
  Header.insert(Header.end(), Which.Fields.begin(), Which.Fields.end());
  Header.emplace_back("changed_at");
  Header.emplace_back("changed_by");
  Lines.push_back(Header);
  for (const auto &[Key, Each] : Which.Lines) {
    std::vector<std::string> Line = {Key};
    for (const std::string &Field : Which.Fields)
      Line.push_back(cellOf(*Each, Field));
    Line.push_back(absl::StrCat(Each->ChangedAt.count()));
    Line.push_back(Each->ChangedBy);
    Lines.push_back(Line);
  }
  std::vector<size_t> Widths(Header.size(), 0);
  for (const auto &Line : Lines) {
    for (size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  }
  std::string Out;
  for (const auto &Line : Lines) {
    std::string Text;
    for (size_t I = 0; I < Line.size(); ++I)
      absl::StrAppend(
          &Text,
          absl::StrFormat("%-*s  ", static_cast<int>(Widths[I]), Line[I]));
    absl::StripTrailingAsciiWhitespace(&Text);
    absl::StrAppend(&Out, Text, "\n");
  }
  return Out;
}

} // namespace

absl::StatusOr<std::vector<CellChange>> changesFromCsv(const std::string &Csv) {
  std::vector<CellChange> Out;
  int Number = 0;
  for (absl::string_view Line : absl::StrSplit(Csv, '\n')) {
    ++Number;
    Line = absl::StripAsciiWhitespace(Line);
    if (Line.empty() || Line[0] == '#' || Line == "row,field,value")
      continue;
    std::vector<std::string> Fields;
    bool Closed = splitCsvLine(Line, Fields);
    if (!Closed || Fields.size() != CsvColumns)
      return absl::InvalidArgumentError(
          absl::StrCat("line ", Number, ": write row,field,value"));
    bool Removes = Fields[1] == RemoveMark;
    Out.push_back(CellChange{Fields[0], Removes ? "" : Fields[1],
                             Removes ? "" : Fields[2], Removes});
  }
  return Out;
}

std::string rowsToCsv(const Rows &All) {
  std::string Out = "row,field,value\n";
  for (const auto &[Key, Each] : All) {
    for (const auto &[Field, Value] : Each.Fields)
      absl::StrAppend(&Out, quoteCsv(Key), ",", quoteCsv(Field), ",",
                      quoteCsv(Value), "\n");
  }
  return Out;
}

std::string rowsToColumns(const Rows &All) {
  std::string Out;
  for (const auto &[Kind, Each] : sheetsByKind(All))
    absl::StrAppend(&Out, Out.empty() ? "" : "\n", renderSheet(Each));
  return Out;
}

Json::Value rowsToJson(const Rows &All) {
  Json::Value Out(Json::objectValue);
  for (const auto &[Key, Each] : All) {
    if (Each.Fields.empty())
      continue;
    for (const auto &[Field, Value] : Each.Fields)
      Out[Key][Field] = Value;
  }
  return Out;
}

} // namespace berylramp
