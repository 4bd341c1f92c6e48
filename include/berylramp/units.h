//===- units.h - Strong types for ids and units -----------------*- C++ -*-===//
//
// Every id and every unit of the product has a type of its own, so that a
// workspace cannot be passed where a model is meant, nor tokens where money is.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_UNITS_H
#define BERYLRAMP_UNITS_H

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace berylramp {

/// A textual id of the kind that \p Tag names. Ids compare by their text.
template <typename Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Value) : Value(std::move(Value)) {}

  const std::string &text() const { return this->Value; }
  bool empty() const { return this->Value.empty(); }

  friend bool operator==(const Id &A, const Id &B) {
    return A.Value == B.Value;
  }
  friend bool operator!=(const Id &A, const Id &B) { return !(A == B); }
  friend bool operator<(const Id &A, const Id &B) { return A.Value < B.Value; }
  friend std::ostream &operator<<(std::ostream &Out, const Id &A) {
    return Out << A.Value;
  }

private:
  std::string Value;
};

/// A whole number of the unit that \p Tag names.
template <typename Tag> class Quantity {
public:
  constexpr Quantity() = default;
  explicit constexpr Quantity(int64_t Count) : Count(Count) {}

  constexpr int64_t count() const { return this->Count; }

  friend constexpr Quantity operator+(Quantity A, Quantity B) {
    return Quantity(A.Count + B.Count);
  }
  friend constexpr Quantity operator-(Quantity A, Quantity B) {
    return Quantity(A.Count - B.Count);
  }
  Quantity &operator+=(Quantity B) {
    this->Count += B.Count;
    return *this;
  }
  friend constexpr bool operator==(Quantity A, Quantity B) {
    return A.Count == B.Count;
  }
  friend constexpr bool operator!=(Quantity A, Quantity B) { return !(A == B); }
  friend constexpr bool operator<(Quantity A, Quantity B) {
    return A.Count < B.Count;
  }
  friend constexpr bool operator>(Quantity A, Quantity B) { return B < A; }
  friend constexpr bool operator<=(Quantity A, Quantity B) { return !(B < A); }
  friend constexpr bool operator>=(Quantity A, Quantity B) { return !(A < B); }
  friend std::ostream &operator<<(std::ostream &Out, Quantity A) {
    return Out << A.Count;
  }

private:
  int64_t Count = 0;
};

using HostId = Id<struct HostTag>;
using PlaceId = Id<struct PlaceTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using ModelId = Id<struct ModelTag>;
using VersionId = Id<struct VersionTag>;
using UpstreamId = Id<struct UpstreamTag>;
using RequestId = Id<struct RequestTag>;
using RequestKindId = Id<struct RequestKindTag>;
using AttemptId = Id<struct AttemptTag>;
using EditId = Id<struct EditTag>;
using SessionId = Id<struct SessionTag>;
using ServiceId = Id<struct ServiceTag>;
using StreamName = Id<struct StreamTag>;

/// A position in one stream of the platform's log; the first record has 0.
using Offset = Quantity<struct OffsetTag>;
/// Tokens of a prompt or of an answer.
using Tokens = Quantity<struct TokensTag>;
/// Millionths of the currency unit in which the operator states costs.
using MicroCost = Quantity<struct MicroCostTag>;
/// Counts the lives of one host: a restarted or replaced host has a higher one.
using Incarnation = Quantity<struct IncarnationTag>;

/// Stands for "no record yet".
inline constexpr Offset NoOffset{-1};

/// A model together with one of its versions.
struct VersionKey {
  ModelId Model;
  VersionId Version;

  std::string text() const {
    return this->Model.text() + "/" + this->Version.text();
  }
  friend bool operator==(const VersionKey &A, const VersionKey &B) {
    return A.Model == B.Model && A.Version == B.Version;
  }
  friend bool operator!=(const VersionKey &A, const VersionKey &B) {
    return !(A == B);
  }
  friend bool operator<(const VersionKey &A, const VersionKey &B) {
    return A.Model == B.Model ? A.Version < B.Version : A.Model < B.Model;
  }
  friend std::ostream &operator<<(std::ostream &Out, const VersionKey &A) {
    return Out << A.text();
  }
};

/// An IP number and a port.
struct Endpoint {
  std::string Ip;
  int Port = 0;

  std::string text() const {
    return this->Ip + ":" + std::to_string(this->Port);
  }
  friend bool operator==(const Endpoint &A, const Endpoint &B) {
    return A.Ip == B.Ip && A.Port == B.Port;
  }
  friend bool operator<(const Endpoint &A, const Endpoint &B) {
    return A.Ip == B.Ip ? A.Port < B.Port : A.Ip < B.Ip;
  }
};

/// Reads "IP:PORT" into \p Out; false when the text has another form.
bool parseEndpoint(const std::string &Text, Endpoint &Out);

/// A new random id in the UUIDv7 form; \p UnixMillis becomes its time part.
std::string makeUuidV7(int64_t UnixMillis);

/// The time part of a UUIDv7 in milliseconds, or -1 when \p Text is none.
int64_t uuidV7Millis(const std::string &Text);

/// A random number for one choice.
uint64_t randomDraw();

/// Hosts agree on this hash (XXH3): it may choose shards and owners.
uint64_t stableHash(const std::string &Text);

/// \p Value as sixteen hexadecimal digits.
std::string hexText(uint64_t Value);

} // namespace berylramp

#endif // BERYLRAMP_UNITS_H
