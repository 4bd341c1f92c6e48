//===- units.h - Strong types for ids and units -----------------*- C++ -*-===//
//
// Each kind of id and each unit has its own type, so that the compiler rejects
// a workspace id in place of a model id, or a token count in place of a cost.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_UNITS_H
#define BERYLRAMP_UNITS_H

#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace berylramp {

/// A textual id whose kind is given by \p Tag. Ids compare by their text.
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
  friend std::ostream &operator<<(std::ostream &Stream, const Id &A) {
    return Stream << A.Value;
  }

private:
  std::string Value;
};

/// An integral quantity whose unit is given by \p Tag.
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
  friend std::ostream &operator<<(std::ostream &Stream, Quantity A) {
    return Stream << A.Count;
  }

private:
  int64_t Count = 0;
};

using HostId = Id<struct HostTag>;
using PlaceId = Id<struct PlaceTag>;
using RegionId = Id<struct RegionTag>;
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

/// The position of a record in a stream of the platform's log, starting at 0.
using Offset = Quantity<struct OffsetTag>;
/// A number of prompt or answer tokens.
using Tokens = Quantity<struct TokensTag>;
/// A cost in millionths of the currency unit that the operator configures.
using MicroCost = Quantity<struct MicroCostTag>;
/// The incarnation number of a host process. A restarted or replaced host has a
/// higher number.
using Incarnation = Quantity<struct IncarnationTag>;

/// The offset that denotes "no record yet".
inline constexpr Offset NoOffset{-1};

/// The regions that a request may be served in; nothing when any may. An empty
/// list allows none.
using AllowedRegions = std::optional<std::vector<RegionId>>;

/// Rises by one each time the store returns from an older copy of its data.
/// Offsets of different eras do not identify the same records.
using StoreEra = Quantity<struct StoreEraTag>;

/// A position in a topic of the store.
struct StorePosition {
  StoreEra Era;
  /// Offset of the next read; NoOffset before the first read.
  Offset Next = NoOffset;

  friend bool operator==(const StorePosition &A, const StorePosition &B) {
    return A.Era == B.Era && A.Next == B.Next;
  }
  /// A position of an earlier era comes before all positions of a later one.
  friend bool operator<(const StorePosition &A, const StorePosition &B) {
    return A.Era == B.Era ? A.Next < B.Next : A.Era < B.Era;
  }
};

/// A model and one of its versions.
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
  friend std::ostream &operator<<(std::ostream &Stream, const VersionKey &A) {
    return Stream << A.text();
  }
};

/// An IP address and a port.
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

/// Parses "IP:PORT" into \p Result. Returns false when \p Text is malformed.
bool parseEndpoint(const std::string &Text, Endpoint &Result);

/// Generates a random UUIDv7 with the timestamp \p UnixMillis.
std::string makeUuidV7(int64_t UnixMillis);

/// Returns the timestamp of a UUIDv7 in milliseconds, or -1 when \p Text is not
/// a UUIDv7.
int64_t uuidV7Millis(const std::string &Text);

/// Returns a uniformly distributed random number.
uint64_t randomUint64();

/// Returns a random factor from 0.5 to 1.5, which spreads delays of many hosts.
double randomFactor();

/// Returns the XXH3 hash of \p Text. The hash is the same on all hosts, so it
/// can select shards and owners.
uint64_t stableHash(const std::string &Text);

/// Formats \p Value as sixteen hexadecimal digits.
std::string toHex(uint64_t Value);

} // namespace berylramp

#endif // BERYLRAMP_UNITS_H
