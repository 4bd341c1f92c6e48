//===- units.cpp - Strong types for ids and units -------------------------===//
//
// A UUIDv7 contains its creation time, so each host can compute the age of a
// request without querying another host.
//
//===----------------------------------------------------------------------===//

#include "berylramp/units.h"

#include "absl/random/random.h"
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include <xxhash.h>

namespace berylramp {

namespace {

constexpr size_t UuidLength = 36;
constexpr int MaxPort = 65535;

bool isUuidV7(const std::string &Text) {
  if (Text.size() != UuidLength)
    return false;
  for (size_t I = 0; I < Text.size(); ++I) {
    bool ExpectsDash = I == 8 || I == 13 || I == 18 || I == 23;
    bool IsHex = absl::ascii_isxdigit(static_cast<unsigned char>(Text[I]));
    if (ExpectsDash ? Text[I] != '-' : !IsHex)
      return false;
  }
  return Text[14] == '7';
}

} // namespace

bool parseEndpoint(const std::string &Text, Endpoint &Result) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return false;
  int Port = 0;
  if (!absl::SimpleAtoi(Text.substr(Colon + 1), &Port))
    return false;
  if (Port < 0 || Port > MaxPort)
    return false;
  Result = Endpoint{Text.substr(0, Colon), Port};
  return true;
}

std::string makeUuidV7(int64_t UnixMillis) {
  uint64_t Time = static_cast<uint64_t>(UnixMillis) & 0xffffffffffffULL;
  uint64_t High = randomUint64();
  uint64_t Low = randomUint64();
  return absl::StrFormat(
      "%08x-%04x-7%03x-%04x-%012x", Time >> 16, Time & 0xffff, High & 0xfff,
      0x8000 | (Low >> 48 & 0x3fff), Low & 0xffffffffffffULL);
}

int64_t uuidV7Millis(const std::string &Text) {
  if (!isUuidV7(Text))
    return -1;
  std::string Hex = Text.substr(0, 8) + Text.substr(9, 4);
  uint64_t Millis = 0;
  if (!absl::SimpleHexAtoi(Hex, &Millis))
    return -1;
  return static_cast<int64_t>(Millis);
}

uint64_t randomUint64() {
  static thread_local absl::BitGen Generator;
  return absl::Uniform<uint64_t>(Generator);
}

double randomFactor() {
  constexpr uint64_t Steps = 1000;
  return 0.5 + static_cast<double>(randomUint64() % Steps) / Steps;
}

uint64_t stableHash(const std::string &Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

std::string toHex(uint64_t Value) { return absl::StrFormat("%016x", Value); }

} // namespace berylramp
