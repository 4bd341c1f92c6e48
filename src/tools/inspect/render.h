//===- render.h - Lists as columns, CSV or JSON -----------------*- C++ -*-===//
//
// Every listing of berylramp-inspect is a grid that is printed as columns, CSV
// or JSON.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_INSPECT_RENDER_H
#define BERYLRAMP_SRC_TOOLS_INSPECT_RENDER_H

#include <json/value.h>
#include <string>
#include <vector>

namespace berylramp::inspect {

enum class Format { Columns, Csv, Json };

struct Grid {
  std::vector<std::string> Titles;
  std::vector<std::vector<std::string>> Lines;
};

/// Builds a grid with one line for each object in \p Items and one column for
/// each member named in \p Titles. A missing member is shown as "-".
Grid makeGrid(const Json::Value &Items, const std::vector<std::string> &Titles);
/// Builds a grid with the columns "name" and "value" from an object's members.
Grid makeMemberGrid(const Json::Value &Object);

std::string render(const Grid &Listing, Format OutputFormat);

} // namespace berylramp::inspect

#endif // BERYLRAMP_SRC_TOOLS_INSPECT_RENDER_H
