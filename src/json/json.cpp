//===- json.cpp - Strict reading and compact writing of JSON --------------===//
//
// jsoncpp throws on a wrong type and on deep nesting. Input from a caller, a
// peer or the log must never unwind a thread, so both are caught here.
//
//===----------------------------------------------------------------------===//

#include "berylramp/json.h"

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace berylramp {

namespace {

constexpr int MaxDepth = 32;

Json::CharReaderBuilder strictReader() {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  Builder["stackLimit"] = MaxDepth;
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
  return absl::InvalidArgumentError("not valid JSON: " + Errors);
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
  const Json::Value &Found = memberAt(Object, Key);
  return Found.isArray() ? Found : Empty;
}

std::string textAt(const Json::Value &Object, const char *Key,
                   const std::string &Fallback) {
  const Json::Value &Found = memberAt(Object, Key);
  return Found.isString() ? Found.asString() : Fallback;
}

int64_t intAt(const Json::Value &Object, const char *Key, int64_t Fallback) {
  const Json::Value &Found = memberAt(Object, Key);
  return Found.isInt64() ? Found.asInt64() : Fallback;
}

double numberAt(const Json::Value &Object, const char *Key, double Fallback) {
  const Json::Value &Found = memberAt(Object, Key);
  return Found.isNumeric() ? Found.asDouble() : Fallback;
}

bool boolAt(const Json::Value &Object, const char *Key, bool Fallback) {
  const Json::Value &Found = memberAt(Object, Key);
  return Found.isBool() ? Found.asBool() : Fallback;
}

} // namespace berylramp
