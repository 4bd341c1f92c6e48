//===- json.h - Strict JSON parsing and compact serialization ---*- C++ -*-===//
//
// All external JSON text is parsed by parseJson, which limits the nesting depth
// and never throws. The accessors do not throw either: they return the fallback
// for a member that is missing or has a different type.
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

/// Parses one JSON document. Duplicate keys and trailing text are errors.
absl::StatusOr<Json::Value> parseJson(absl::string_view Text);
/// Refuses a document of more than \p MaxValues values before it is parsed: a
/// value of two bytes takes a hundred in memory.
absl::StatusOr<Json::Value> parseJson(absl::string_view Text, size_t MaxValues);

/// Serializes \p Value on a single line.
std::string writeJson(const Json::Value &Value);

/// Serializes \p Value with line breaks and indentation.
std::string writePrettyJson(const Json::Value &Value);

std::string textAt(const Json::Value &Object, const char *Key,
                   const std::string &Fallback = "");
int64_t intAt(const Json::Value &Object, const char *Key, int64_t Fallback = 0);
/// Like intAt, with the nearest value in range in place of one out of range.
int boundedIntAt(const Json::Value &Object, const char *Key, int Fallback,
                 int Min, int Max);
double numberAt(const Json::Value &Object, const char *Key,
                double Fallback = 0);
bool boolAt(const Json::Value &Object, const char *Key, bool Fallback = false);

/// Returns the member \p Key, or a null value when \p Object has no such
/// member.
const Json::Value &memberAt(const Json::Value &Object, const char *Key);

/// Returns the array member \p Key, or an empty array when the member is
/// missing or not an array.
const Json::Value &arrayAt(const Json::Value &Object, const char *Key);

} // namespace berylramp

#endif // BERYLRAMP_JSON_H
