//===- held_memory.h - Ends holders when memory is short --------*- C++ -*-===//
//
// Connects the account of held bytes with the connections that hold them. When
// a bound is exceeded, the slowest holders end in the loop's next iteration, so
// that no connection ends while its own code runs.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SERVING_HELD_MEMORY_H
#define BERYLRAMP_SERVING_HELD_MEMORY_H

#include "berylramp/memory_account.h"
#include "berylramp/observe.h"
#include "berylramp/timer.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace berylramp {

class HeldBytes;

class HeldMemory : public std::enable_shared_from_this<HeldMemory> {
public:
  HeldMemory(boost::asio::io_context &Loop, TimerService &Timer,
             Metrics &Counters, const MemoryBounds &Bounds)
      : Loop(Loop), Timer(Timer), Counters(Counters), Bytes(Bounds) {}

  const MemoryAccount &account() const { return this->Bytes; }
  Metrics &counters() { return this->Counters; }

private:
  friend class HeldBytes;
  void set(HeldBytes &Target, int64_t Count);
  bool isSearchDue() const;
  void endSlowest();
  void logEnd(const HeldBytes &Target) const;

  boost::asio::io_context &Loop;
  TimerService &Timer;
  Metrics &Counters;
  MemoryAccount Bytes;
  /// Those that hold bytes.
  absl::flat_hash_map<uint64_t, HeldBytes *> Open;
  uint64_t NextId = 1;
  bool IsScheduled = false;
  /// No search before it while the account is not full; each one takes time in
  /// proportion to the number of holders.
  Instant NextSearchAt;
};

using HeldMemoryPtr = std::shared_ptr<HeldMemory>;

/// The bytes held for one connection, request or answer; none after its
/// destruction. Without a HeldMemory, nothing is counted.
class HeldBytes {
public:
  HeldBytes(HeldMemoryPtr Memory, HeldKind Kind);
  ~HeldBytes() { this->set(0); }
  HeldBytes(const HeldBytes &) = delete;
  HeldBytes &operator=(const HeldBytes &) = delete;

  void set(int64_t NewCount);
  int64_t count() const { return this->Count; }
  /// States whose bytes they are, and the request for log lines.
  void identify(uint64_t Owner, const std::string &Request);
  /// \p Call frees the bytes; it runs at most once. Without it, the holder does
  /// not end.
  void setEnd(std::function<void()> Call);
  /// Whether the function of setEnd() may be called now.
  void setMayEnd(bool MayEnd);
  /// Logs and counts the end of a slow reader and calls the function.
  void end();

private:
  friend class HeldMemory;
  void update();

  HeldMemoryPtr Memory;
  Holder Description;
  std::string Request;
  std::function<void()> OnEnd;
  int64_t Count = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_SERVING_HELD_MEMORY_H
