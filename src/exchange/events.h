//===- events.h - Events of a text/event-stream -----------------*- C++ -*-===//

#ifndef BERYLRAMP_EXCHANGE_EVENTS_H
#define BERYLRAMP_EXCHANGE_EVENTS_H

#include <cstdint>
#include <string>
#include <vector>

namespace berylramp {

/// One event with the empty line that ends it.
struct StreamEvent {
  /// -1 when the event carries no number as its id.
  int64_t Id = -1;
  std::string Bytes;
};

/// Cuts a stream of bytes into whole events.
class EventSplitter {
public:
  /// The events that \p Part completes.
  std::vector<StreamEvent> feed(const std::string &Part);
  /// True when an event has begun and not ended.
  bool midEvent() const { return !this->Rest.empty(); }
  void reset() { this->Rest.clear(); }

private:
  std::string Rest;
};

/// Checks that the events of one answer follow each other, also when several
/// replicas made them.
class EventOrder {
public:
  enum class Verdict { Next, Repeated, Gap };

  /// \p Last is the id that the caller already has, or -1.
  explicit EventOrder(int64_t Last = -1) : LastId(Last) {}
  Verdict judge(int64_t Id);
  int64_t last() const { return this->LastId; }
  bool any() const { return this->LastId >= 0; }

private:
  int64_t LastId;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_EVENTS_H
