//===- events.h - Events of a text/event-stream -----------------*- C++ -*-===//

#ifndef BERYLRAMP_EXCHANGE_EVENTS_H
#define BERYLRAMP_EXCHANGE_EVENTS_H

#include "absl/strings/string_view.h"
#include <cstdint>
#include <string>
#include <vector>

namespace berylramp {

/// One event, including its terminating empty line.
struct StreamEvent {
  /// -1 if the event has no numeric id.
  int64_t Id = -1;
  std::string Bytes;
};

/// Whether \p Event has no field: all its lines are comments or empty.
bool isComment(absl::string_view Event);

/// Splits a byte stream into complete events.
class EventSplitter {
public:
  /// Returns the events that \p Chunk completes.
  std::vector<StreamEvent> feed(const std::string &Chunk);
  /// True if the buffered bytes end within an event.
  bool hasPartialEvent() const { return !this->Pending.empty(); }
  size_t pendingBytes() const { return this->Pending.size(); }
  void reset() { this->Pending.clear(); }

private:
  std::string Pending;
};

/// Checks that the event ids of one answer are consecutive, even if several
/// replicas produced the events.
class EventSequence {
public:
  enum class Verdict { Next, Repeated, Gap };

  /// \p Last is the id of the last event that the caller already has, or -1.
  explicit EventSequence(int64_t Last = -1) : LastId(Last) {}
  Verdict check(int64_t Id);
  int64_t lastId() const { return this->LastId; }
  bool hasLast() const { return this->LastId >= 0; }

private:
  int64_t LastId;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_EVENTS_H
