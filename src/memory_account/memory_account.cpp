//===- memory_account.cpp - Bytes that a host holds for others ------------===//
//
// The slowest reader is the one with the largest lag: the time for which bytes
// have waited for it. A mark at the end of the held bytes measures it without a
// time for each piece: the reader's lag is at least the age of the mark that it
// has not reached. A reader that keeps up passes its marks, however much is
// held for it.
//
//===----------------------------------------------------------------------===//

#include "berylramp/memory_account.h"

#include <algorithm>
#include <tuple>

namespace berylramp {

namespace {

/// Memory that the process uses without held bytes: code, the route table, the
/// entries of replicas and the states of other hosts.
constexpr int64_t ProcessBytes = 48LL << 20;
/// Fraction of the remaining memory that held bytes may take. The rest covers
/// the allocator's fragmentation, the receive buffers of the kernel and bytes
/// that are copied while they are parsed.
constexpr double HeldFraction = 0.4;
/// Fraction of the whole memory that may be taken however small it is.
constexpr double MinHeldFraction = 0.125;
/// Fractions of the bound on all held bytes.
constexpr double ReliefFraction = 0.75;
constexpr double OwnerFraction = 0.375;
constexpr double ReaderFraction = 0.125;
constexpr double AnswersFraction = 0.5;

/// Readers with a smaller lag keep up. They end only above the bound on all
/// bytes.
constexpr absl::Duration SlowLag = absl::Milliseconds(500);
/// Ending a holder of fewer bytes frees too little.
constexpr int64_t MinFreedBytes = 24LL << 10;

int64_t fractionOf(int64_t Bytes, double Fraction) {
  return static_cast<int64_t>(static_cast<double>(Bytes) * Fraction);
}

} // namespace

const char *heldKindName(HeldKind Kind) {
  switch (Kind) {
  case HeldKind::CallerOutput:
    return "caller_output";
  case HeldKind::CallerInput:
    return "caller_input";
  case HeldKind::ReplicaOutput:
    return "replica_output";
  case HeldKind::Answer:
    return "answer";
  case HeldKind::Tunnel:
    return "tunnel";
  case HeldKind::Connection:
    break;
  }
  return "connection";
}

MemoryBounds memoryBounds(int64_t MemoryBytes) {
  MemoryBounds Result;
  Result.Total = std::max(fractionOf(MemoryBytes - ProcessBytes, HeldFraction),
                          fractionOf(MemoryBytes, MinHeldFraction));
  Result.Relief = fractionOf(Result.Total, ReliefFraction);
  Result.PerOwner = fractionOf(Result.Total, OwnerFraction);
  Result.PerReader = fractionOf(Result.Total, ReaderFraction);
  Result.Answers = fractionOf(Result.Total, AnswersFraction);
  return Result;
}

void MemoryAccount::addToOwner(uint64_t Owner, int64_t Bytes) {
  if (Owner == 0)
    return;
  int64_t &OwnerSum = this->ByOwner[Owner];
  bool WasAbove = OwnerSum > this->Limits.PerOwner;
  OwnerSum += Bytes;
  bool IsAbove = OwnerSum > this->Limits.PerOwner;
  this->OwnersAboveBound +=
      static_cast<int>(IsAbove) - static_cast<int>(WasAbove);
  if (OwnerSum == 0)
    this->ByOwner.erase(Owner);
}

void MemoryAccount::set(const Holder &Target, int64_t Bytes, Instant Now) {
  auto Found = this->Entries.find(Target.Id);
  if (Found == this->Entries.end()) {
    if (Bytes == 0)
      return;
    Entry NewEntry;
    NewEntry.Description = Target;
    NewEntry.BytesToMark = Bytes;
    NewEntry.MarkAt = Now;
    Found = this->Entries.emplace(Target.Id, NewEntry).first;
  }
  Entry &Current = Found->second;
  int64_t Change = Bytes - Current.Bytes;
  if (Current.Description.Owner == Target.Owner) {
    this->addToOwner(Target.Owner, Change);
  } else {
    this->addToOwner(Current.Description.Owner, -Current.Bytes);
    this->addToOwner(Target.Owner, Bytes);
  }
  this->ByKind[static_cast<size_t>(Current.Description.Kind)] -= Current.Bytes;
  this->ByKind[static_cast<size_t>(Target.Kind)] += Bytes;
  this->Sum += Change;
  this->Peak = std::max(this->Peak, this->Sum);
  Current.Description = Target;
  Current.Bytes = Bytes;
  if (Bytes == 0) {
    this->Entries.erase(Found);
    return;
  }
  // Input makes progress when it grows, output when it is read.
  bool MadeProgress = Target.Kind == HeldKind::CallerInput && Change != 0;
  if (Target.Kind != HeldKind::CallerInput && Change < 0) {
    Current.BytesToMark += Change;
    MadeProgress = Current.BytesToMark <= 0;
  }
  if (MadeProgress) {
    Current.BytesToMark = Bytes;
    Current.MarkAt = Now;
  }
}

bool MemoryAccount::admitsOwner(uint64_t Owner) const {
  return this->Sum <= this->Limits.Relief ||
         this->ofOwner(Owner) <= this->Limits.PerOwner;
}

int64_t MemoryAccount::ofOwner(uint64_t Owner) const {
  auto Found = this->ByOwner.find(Owner);
  return Found == this->ByOwner.end() ? 0 : Found->second;
}

std::optional<uint64_t> MemoryAccount::nextToEnd(Instant Now) const {
  if (!this->isExceeded())
    return std::nullopt;
  bool IsShort = this->Sum > this->Limits.Relief;
  bool IsFull = this->Sum > this->Limits.Total;
  auto IsAboveShare = [&](const Entry &Candidate) {
    return this->OwnersAboveBound > 0 &&
           this->ofOwner(Candidate.Description.Owner) > this->Limits.PerOwner;
  };
  // Readers of an owner above its share come first, then those that free
  // enough; then those that are slow, and requests that are being received,
  // because nobody has run them; then the lag decides.
  auto Rank = [&](const Entry &Candidate) {
    HeldKind Kind = Candidate.Description.Kind;
    bool IsUnread =
        Kind == HeldKind::CallerInput || Kind == HeldKind::Connection;
    return std::make_tuple(
        IsAboveShare(Candidate), Candidate.Bytes >= MinFreedBytes,
        Now - Candidate.MarkAt >= SlowLag, IsUnread, Now - Candidate.MarkAt,
        Candidate.Bytes, Candidate.Description.Id);
  };
  const Entry *Slowest = nullptr;
  for (const auto &[Id, Candidate] : this->Entries) {
    // Holders of few bytes are many, and idle ones are slow by nature.
    bool IsSlow =
        Now - Candidate.MarkAt >= SlowLag && Candidate.Bytes >= MinFreedBytes;
    bool Applies = IsFull || (IsSlow && (IsShort || IsAboveShare(Candidate)));
    if (!Candidate.Description.MayEnd || !Applies)
      continue;
    if (Slowest == nullptr || Rank(*Slowest) < Rank(Candidate))
      Slowest = &Candidate;
  }
  if (Slowest == nullptr)
    return std::nullopt;
  return Slowest->Description.Id;
}

} // namespace berylramp
