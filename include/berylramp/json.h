//===- json.h - Strict reading and compact writing of JSON ------*- C++ -*-===//
//
// All text that comes from outside passes through parseJson, which bounds
// depth and never throws. The getters never throw either: a member that is
// missing or of another type yields the fallback.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_JSON_H
#define BERYLRAMP_JSON_H

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include <cstdint>
#include <json/value.h>
#include <string>

namespace berylramp {

/// Parses one JSON document; duplicate keys and trailing text are errors.
absl::StatusOr<Json::Value> parseJson(absl::string_view Text);

/// Writes \p Value on one line.
std::string writeJson(const Json::Value &Value);

/// Writes \p Value with line breaks, for people.
std::string writePrettyJson(const Json::Value &Value);

std::string textAt(const Json::Value &Object, const char *Key,
                   const std::string &Fallback = "");
int64_t intAt(const Json::Value &Object, const char *Key, int64_t Fallback = 0);
double numberAt(const Json::Value &Object, const char *Key,
                double Fallback = 0);
bool boolAt(const Json::Value &Object, const char *Key, bool Fallback = false);

/// The member \p Key, or a null value when \p Object has none.
const Json::Value &memberAt(const Json::Value &Object, const char *Key);

/// The array \p Key, or an empty array when there is none of that type.
const Json::Value &arrayAt(const Json::Value &Object, const char *Key);

} // namespace berylramp

#endif // BERYLRAMP_JSON_H
