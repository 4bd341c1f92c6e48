//===- memory_account.h - Bytes that a host holds for others ----*- C++ -*-===//
//
// Counts the bytes that wait for slow readers or belong to requests and answers
// that are incomplete. Decides whether more of them are accepted, and which
// holder ends first when they exceed their share of the host's memory.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_MEMORY_ACCOUNT_H
#define BERYLRAMP_MEMORY_ACCOUNT_H

#include "absl/container/flat_hash_map.h"
#include "berylramp/timer.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace berylramp {

/// What held bytes wait for.
enum class HeldKind {
  /// Answers that callers have not read.
  CallerOutput,
  /// Requests of callers, until they are answered.
  CallerInput,
  /// Requests that replicas have not read.
  ReplicaOutput,
  /// Answers of replicas that are incomplete.
  Answer,
  /// Bytes of other hosts' connections to replicas, in both directions.
  Tunnel,
  /// Open connections that have sent nothing yet.
  Connection
};
inline constexpr int HeldKindCount = static_cast<int>(HeldKind::Connection) + 1;

const char *heldKindName(HeldKind Kind);

/// Limits in bytes.
struct MemoryBounds {
  /// No more is accepted above it.
  int64_t Total = 32LL << 20;
  /// Slow readers end above it.
  int64_t Relief = 24LL << 20;
  /// Of all bytes of one owner while there is little room, and of one reader.
  int64_t PerOwner = 12LL << 20;
  int64_t PerReader = 4LL << 20;
  /// Of the incomplete answers of replicas.
  int64_t Answers = 16LL << 20;
};

/// The bounds on a host whose process may use \p MemoryBytes.
MemoryBounds memoryBounds(int64_t MemoryBytes);

/// One connection, request or answer that bytes are held for.
struct Holder {
  uint64_t Id = 0;
  HeldKind Kind = HeldKind::CallerOutput;
  /// Whose bytes they are; 0 when unknown, which no bound per owner applies to.
  uint64_t Owner = 0;
  /// The holder may be ended to free its bytes.
  bool MayEnd = false;
};

class MemoryAccount {
public:
  explicit MemoryAccount(const MemoryBounds &Bounds) : Limits(Bounds) {}

  /// States that \p Bytes are held for \p Target now.
  void set(const Holder &Target, int64_t Bytes, Instant Now);

  const MemoryBounds &bounds() const { return this->Limits; }
  int64_t total() const { return this->Sum; }
  int64_t of(HeldKind Kind) const {
    return this->ByKind[static_cast<size_t>(Kind)];
  }
  int64_t ofOwner(uint64_t Owner) const;
  /// The highest total since the start.
  int64_t peak() const { return this->Peak; }
  /// Whether \p Bytes more may be held.
  bool admits(int64_t Bytes) const {
    return this->Sum + Bytes <= this->Limits.Total;
  }
  /// Whether \p Bytes of a request may be received. A small part beyond the
  /// total lets ordinary requests in until the slowest holders have ended.
  bool admitsInput(int64_t Bytes) const {
    return this->Sum + Bytes <= this->Limits.Total + this->Limits.PerReader;
  }
  /// False when there is little room and the owner has more than its share.
  bool admitsOwner(uint64_t Owner) const;
  /// Whether a holder may have to end.
  bool isExceeded() const {
    return this->Sum > this->Limits.Relief || this->OwnersAboveBound > 0;
  }
  /// The holder that ends now: the slowest one, or nothing when no bound is
  /// exceeded or no holder may end.
  std::optional<uint64_t> nextToEnd(Instant Now) const;

private:
  struct Entry {
    Holder Description;
    int64_t Bytes = 0;
    /// Bytes to be taken until the reader is past the mark, and when the mark
    /// was set at the end of the bytes held then.
    int64_t BytesToMark = 0;
    Instant MarkAt;
  };
  void addToOwner(uint64_t Owner, int64_t Bytes);

  MemoryBounds Limits;
  absl::flat_hash_map<uint64_t, Entry> Entries;
  absl::flat_hash_map<uint64_t, int64_t> ByOwner;
  std::array<int64_t, HeldKindCount> ByKind{};
  int64_t Sum = 0;
  int64_t Peak = 0;
  int OwnersAboveBound = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_MEMORY_ACCOUNT_H
