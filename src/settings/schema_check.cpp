//===- schema_check.cpp - Checking a document against a JSON Schema -------===//
//
// valijson reports each fault with its path. The remedy is the part of the
// schema that the value missed.
//
//===----------------------------------------------------------------------===//

#include "berylramp/json.h"
#include "berylramp/settings.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include <fstream>
#include <sstream>
#include <valijson/adapters/jsoncpp_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace berylramp {

namespace {

using Adapter = valijson::adapters::JsonCppAdapter;

/// The schema of the member at a path such as "<root>", "[peers]", "[0]".
const Json::Value *schemaAt(const Json::Value &Schema,
                            const std::vector<std::string> &Path) {
  const Json::Value *Here = &Schema;
  for (size_t I = 1; I < Path.size(); ++I) {
    std::string Step = Path[I].substr(1, Path[I].size() - 2);
    bool IsIndex = !Step.empty() && std::isdigit(Step[0]) != 0;
    const Json::Value &Next =
        IsIndex ? memberAt(*Here, "items")
                : memberAt(memberAt(*Here, "properties"), Step.c_str());
    if (Next.isNull())
      return Here;
    Here = &Next;
  }
  return Here;
}

std::string remedyFor(const Json::Value &Schema) {
  const Json::Value &Properties = memberAt(Schema, "properties");
  if (Properties.isObject())
    return "known members: " + absl::StrJoin(Properties.getMemberNames(), ", ");
  return "wanted: " + writeJson(Schema);
}

} // namespace

absl::StatusOr<Json::Value> checkAgainstSchema(const std::string &Document,
                                               const std::string &SchemaText) {
  absl::StatusOr<Json::Value> Parsed = parseJson(Document);
  if (!Parsed.ok())
    return Parsed.status();
  absl::StatusOr<Json::Value> SchemaValue = parseJson(SchemaText);
  if (!SchemaValue.ok())
    return SchemaValue.status();
  valijson::Schema Schema;
  valijson::SchemaParser Parser;
  Parser.populateSchema(Adapter(*SchemaValue), Schema);
  valijson::Validator Validator;
  valijson::ValidationResults Results;
  if (Validator.validate(Schema, Adapter(*Parsed), &Results))
    return *std::move(Parsed);
  std::vector<std::string> Faults;
  valijson::ValidationResults::Error Fault;
  while (Results.popError(Fault))
    Faults.push_back(absl::StrCat(
        absl::StrJoin(Fault.context, ""), ": ", Fault.description, " (",
        remedyFor(*schemaAt(*SchemaValue, Fault.context)), ")"));
  return absl::InvalidArgumentError(absl::StrJoin(Faults, "\n"));
}

absl::StatusOr<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return absl::NotFoundError("cannot read " + Path +
                               "; check the path and its permissions");
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace berylramp
