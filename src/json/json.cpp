//===- json.cpp - Strict JSON parsing and compact serialization -----------===//
//
// jsoncpp throws on type mismatches and on deep nesting. Input from a caller, a
// peer or the log must not terminate a thread through an exception, so both
// cases are handled here.
//
//===----------------------------------------------------------------------===//

#include "berylramp/json.h"

#include <algorithm>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace berylramp {

namespace {

constexpr int MaxNestingDepth = 32;

Json::CharReaderBuilder strictReader() {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  Builder["stackLimit"] = MaxNestingDepth;
  Builder["strictRoot"] = false;
  return Builder;
}

Json::StreamWriterBuilder compactWriter() {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  Builder["emitUTF8"] = true;
  Builder["precision"] = 12;
  return Builder;
}

} // namespace

absl::StatusOr<Json::Value> parseJson(absl::string_view Text) {
  static const Json::CharReaderBuilder Builder = strictReader();
  std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Value;
  std::string Errors;
  try {
    if (Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors))
      return Value;
  } catch (const std::exception &Error) {
    Errors = Error.what();
  }
  return absl::InvalidArgumentError("invalid JSON: " + Errors);
}

absl::StatusOr<Json::Value> parseJson(absl::string_view Text,
                                      size_t MaxValues) {
  size_t Values = 1;
  bool IsInString = false;
  for (size_t Index = 0; Index < Text.size(); ++Index) {
    char Current = Text[Index];
    if (Current == '"')
      IsInString = !IsInString;
    else if (IsInString && Current == '\\')
      Index += 1;
    else if (!IsInString && (Current == ',' || Current == ':' ||
                             Current == '[' || Current == '{'))
      Values += 1;
  }
  if (Values > MaxValues)
    return absl::InvalidArgumentError("invalid JSON: more than " +
                                      std::to_string(MaxValues) +
                                      " values; send fewer");
  return parseJson(Text);
}

std::string writeJson(const Json::Value &Value) {
  static const Json::StreamWriterBuilder Builder = compactWriter();
  return Json::writeString(Builder, Value);
}

std::string writePrettyJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder = compactWriter();
  Builder["indentation"] = "  ";
  return Json::writeString(Builder, Value);
}

const Json::Value &memberAt(const Json::Value &Object, const char *Key) {
  static const Json::Value Null;
  if (!Object.isObject())
    return Null;
  return Object[Key];
}

const Json::Value &arrayAt(const Json::Value &Object, const char *Key) {
  static const Json::Value Empty(Json::arrayValue);
  const Json::Value &Member = memberAt(Object, Key);
  return Member.isArray() ? Member : Empty;
}

std::string textAt(const Json::Value &Object, const char *Key,
                   const std::string &Fallback) {
  const Json::Value &Member = memberAt(Object, Key);
  return Member.isString() ? Member.asString() : Fallback;
}

int64_t intAt(const Json::Value &Object, const char *Key, int64_t Fallback) {
  const Json::Value &Member = memberAt(Object, Key);
  return Member.isInt64() ? Member.asInt64() : Fallback;
}

int boundedIntAt(const Json::Value &Object, const char *Key, int Fallback,
                 int Min, int Max) {
  return static_cast<int>(
      std::clamp<int64_t>(intAt(Object, Key, Fallback), Min, Max));
}

double numberAt(const Json::Value &Object, const char *Key, double Fallback) {
  const Json::Value &Member = memberAt(Object, Key);
  return Member.isNumeric() ? Member.asDouble() : Fallback;
}

bool boolAt(const Json::Value &Object, const char *Key, bool Fallback) {
  const Json::Value &Member = memberAt(Object, Key);
  return Member.isBool() ? Member.asBool() : Fallback;
}

} // namespace berylramp
