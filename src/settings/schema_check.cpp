//===- schema_check.cpp - Validation against a JSON Schema ----------------===//
//
// valijson reports each error with its path. The remedy is the part of the
// schema that the value violates.
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

/// Returns the schema of the member at a path such as "<root>", "[peers]",
/// "[0]".
const Json::Value *schemaAt(const Json::Value &Schema,
                            const std::vector<std::string> &Path) {
  const Json::Value *Current = &Schema;
  for (size_t I = 1; I < Path.size(); ++I) {
    std::string Key = Path[I].substr(1, Path[I].size() - 2);
    bool IsIndex = !Key.empty() && std::isdigit(Key[0]) != 0;
    const Json::Value &Next =
        IsIndex ? memberAt(*Current, "items")
                : memberAt(memberAt(*Current, "properties"), Key.c_str());
    if (Next.isNull())
      return Current;
    Current = &Next;
  }
  return Current;
}

std::string remedyFor(const Json::Value &Schema) {
  const Json::Value &Properties = memberAt(Schema, "properties");
  if (Properties.isObject())
    return "known members: " + absl::StrJoin(Properties.getMemberNames(), ", ");
  return "wanted: " + writeJson(Schema);
}

} // namespace

absl::StatusOr<Json::Value>
validateAgainstSchema(const std::string &Document,
                      const std::string &SchemaText) {
  absl::StatusOr<Json::Value> DocumentValue = parseJson(Document);
  if (!DocumentValue.ok())
    return DocumentValue.status();
  absl::StatusOr<Json::Value> SchemaValue = parseJson(SchemaText);
  if (!SchemaValue.ok())
    return SchemaValue.status();
  valijson::Schema Schema;
  valijson::SchemaParser Parser;
  Parser.populateSchema(Adapter(*SchemaValue), Schema);
  valijson::Validator Validator;
  valijson::ValidationResults Results;
  if (Validator.validate(Schema, Adapter(*DocumentValue), &Results))
    return *std::move(DocumentValue);
  std::vector<std::string> Errors;
  valijson::ValidationResults::Error ValidationError;
  while (Results.popError(ValidationError))
    Errors.push_back(absl::StrCat(
        absl::StrJoin(ValidationError.context, ""), ": ",
        ValidationError.description, " (",
        remedyFor(*schemaAt(*SchemaValue, ValidationError.context)), ")"));
  return absl::InvalidArgumentError(absl::StrJoin(Errors, "\n"));
}

absl::StatusOr<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return absl::NotFoundError("cannot read " + Path +
                               "; check the path and its permissions");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace berylramp
