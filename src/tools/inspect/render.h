//===- render.h - Lists as columns, CSV or JSON -----------------*- C++ -*-===//
//
// Every listing of berylramp-inspect is one grid, shown in one of three ways.
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

/// A grid of the members \p Titles of each object in \p Items.
Grid gridOf(const Json::Value &Items, const std::vector<std::string> &Titles);
/// A two-column grid of an object's members.
Grid gridOfMembers(const Json::Value &Object);

std::string render(const Grid &Which, Format How);

} // namespace berylramp::inspect

#endif // BERYLRAMP_SRC_TOOLS_INSPECT_RENDER_H
