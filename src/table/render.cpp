//===- render.cpp - The table as CSV, columns and JSON --------------------===//
//
// The CSV form has one cell per line (row, field, value), so that single cells
// can be edited and two tables can be compared line by line.
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

/// Splits one CSV line. Returns false when a quote is not closed.
bool splitCsvLine(absl::string_view Line, std::vector<std::string> &Columns) {
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
      Columns.push_back(Field);
      Field.clear();
    } else {
      Field += C;
    }
  }
  Columns.push_back(Field);
  return !Quoted;
}

struct Sheet {
  std::vector<std::string> Fields;
  std::vector<std::pair<std::string, const Row *>> Lines;
};

std::map<std::string, Sheet> sheetsByKind(const Rows &All) {
  std::map<std::string, Sheet> Sheets;
  for (const auto &[Key, Entry] : All) {
    if (Entry.Fields.empty())
      continue;
    std::string Kind = Key.substr(0, Key.find('/'));
    Sheet &Target = Sheets[Kind];
    Target.Lines.emplace_back(Key, &Entry);
    for (const auto &[Field, Value] : Entry.Fields) {
      auto &FieldNames = Target.Fields;
      if (std::find(FieldNames.begin(), FieldNames.end(), Field) ==
          FieldNames.end())
        FieldNames.push_back(Field);
    }
  }
  return Sheets;
}

std::string cellOf(const Row &Source, const std::string &Field) {
  auto Found = Source.Fields.find(Field);
  return Found == Source.Fields.end() ? "-" : Found->second;
}

std::string renderSheet(const Sheet &Source) {
  std::vector<std::vector<std::string>> Lines;
  std::vector<std::string> Header = {"row"};
  Header.insert(Header.end(), Source.Fields.begin(), Source.Fields.end());
  Header.emplace_back("changed_at");
  Header.emplace_back("changed_by");
  Lines.push_back(Header);
  for (const auto &[Key, Entry] : Source.Lines) {
    std::vector<std::string> Line = {Key};
    for (const std::string &Field : Source.Fields)
      Line.push_back(cellOf(*Entry, Field));
    Line.push_back(absl::StrCat(Entry->ChangedAt.count()));
    Line.push_back(Entry->ChangedBy);
    Lines.push_back(Line);
  }
  std::vector<size_t> Widths(Header.size(), 0);
  for (const auto &Line : Lines) {
    for (size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  }
  std::string Rendered;
  for (const auto &Line : Lines) {
    std::string Text;
    for (size_t I = 0; I < Line.size(); ++I)
      absl::StrAppend(
          &Text,
          absl::StrFormat("%-*s  ", static_cast<int>(Widths[I]), Line[I]));
    absl::StripTrailingAsciiWhitespace(&Text);
    absl::StrAppend(&Rendered, Text, "\n");
  }
  return Rendered;
}

} // namespace

absl::StatusOr<std::vector<CellChange>> changesFromCsv(const std::string &Csv) {
  std::vector<CellChange> Changes;
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
    bool IsRemoval = Fields[1] == RemoveMark;
    Changes.push_back(CellChange{Fields[0], IsRemoval ? "" : Fields[1],
                                 IsRemoval ? "" : Fields[2], IsRemoval});
  }
  return Changes;
}

std::string rowsToCsv(const Rows &All) {
  std::string Rendered = "row,field,value\n";
  for (const auto &[Key, Entry] : All) {
    for (const auto &[Field, Value] : Entry.Fields)
      absl::StrAppend(&Rendered, quoteCsv(Key), ",", quoteCsv(Field), ",",
                      quoteCsv(Value), "\n");
  }
  return Rendered;
}

std::string rowsToColumns(const Rows &All) {
  std::string Rendered;
  for (const auto &[Kind, Entry] : sheetsByKind(All))
    absl::StrAppend(&Rendered, Rendered.empty() ? "" : "\n",
                    renderSheet(Entry));
  return Rendered;
}

Json::Value rowsToJson(const Rows &All) {
  Json::Value Result(Json::objectValue);
  for (const auto &[Key, Entry] : All) {
    if (Entry.Fields.empty())
      continue;
    for (const auto &[Field, Value] : Entry.Fields)
      Result[Key][Field] = Value;
  }
  return Result;
}

} // namespace berylramp
