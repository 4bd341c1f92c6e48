//===- header_block.cpp - Header fields of a request in one string --------===//
//
// The fields are kept as they are forwarded, "Name: Value\r\n". A field takes
// its own bytes and nothing else: a list of strings takes some sixteen times
// the bytes of a field of four.
//
//===----------------------------------------------------------------------===//

#include "berylramp/serving.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace berylramp {

namespace {

constexpr absl::string_view NameEnd = ": ";
constexpr absl::string_view FieldEnd = "\r\n";

} // namespace

HeaderBlock::HeaderBlock(
    std::initializer_list<std::pair<absl::string_view, absl::string_view>>
        Fields) {
  for (const auto &[Name, Value] : Fields)
    this->add(Name, Value);
}

void HeaderBlock::add(absl::string_view Name, absl::string_view Value) {
  // The parser removes line breaks; other sources may contain them.
  if (absl::StrContains(Value, '\r') || absl::StrContains(Value, '\n')) {
    this->add(Name, absl::StrReplaceAll(Value, {{"\r", " "}, {"\n", " "}}));
    return;
  }
  absl::StrAppend(&this->Text, Name, NameEnd, Value, FieldEnd);
}

void HeaderBlock::Iterator::read() {
  if (this->Rest.empty())
    return;
  size_t Colon = this->Rest.find(NameEnd);
  size_t End = this->Rest.find(FieldEnd, Colon);
  this->Current.Name = this->Rest.substr(0, Colon);
  this->Current.Value =
      this->Rest.substr(Colon + NameEnd.size(), End - Colon - NameEnd.size());
  this->Current.Line = this->Rest.substr(0, End + FieldEnd.size());
}

std::optional<absl::string_view> findHeader(const HeaderBlock &Fields,
                                            absl::string_view Name) {
  for (const HeaderBlock::Field &Field : Fields)
    if (absl::EqualsIgnoreCase(Field.Name, Name))
      return Field.Value;
  return std::nullopt;
}

} // namespace berylramp
