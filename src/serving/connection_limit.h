//===- connection_limit.h - Bounds accepted connections ---------*- C++ -*-===//
//
// Connections take descriptors, of which a process has few. When all are taken,
// the connection that has waited longest for its client ends, so that a new
// client is served.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SERVING_CONNECTION_LIMIT_H
#define BERYLRAMP_SERVING_CONNECTION_LIMIT_H

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace berylramp {

class ConnectionSlot;

/// The open connections that share a bound.
class ConnectionLimit {
public:
  explicit ConnectionLimit(size_t MaxConnections)
      : MaxConnections(MaxConnections) {}

  size_t open() const { return this->Open; }
  /// Ends connections until there is room for another one; false if all others
  /// are busy.
  bool makeRoom();
  /// Ends the connection that has waited longest; false if all are busy.
  bool endLongestWaiting();

private:
  friend class ConnectionSlot;
  size_t MaxConnections;
  size_t Open = 0;
  /// In the order in which they began to wait.
  std::list<ConnectionSlot *> Waiting;
};

using ConnectionLimitPtr = std::shared_ptr<ConnectionLimit>;

/// The share of one connection, from its construction to release(). Without a
/// limit, nothing is bounded.
class ConnectionSlot {
public:
  explicit ConnectionSlot(ConnectionLimitPtr Limit);
  ~ConnectionSlot() { this->release(); }
  ConnectionSlot(const ConnectionSlot &) = delete;
  ConnectionSlot &operator=(const ConnectionSlot &) = delete;

  /// \p Call closes the connection; it runs at most once, during a wait.
  void setEnd(std::function<void()> Call) { this->OnEnd = std::move(Call); }
  /// The client is to send or to read something; until then the connection may
  /// close for a new one. A wait that has begun goes on.
  void startWaiting();
  void stopWaiting();
  /// The connection is closed.
  void release();

private:
  friend class ConnectionLimit;
  ConnectionLimitPtr Limit;
  std::function<void()> OnEnd;
  std::list<ConnectionSlot *>::iterator Position;
  bool IsWaiting = false;
};

} // namespace berylramp

#endif // BERYLRAMP_SERVING_CONNECTION_LIMIT_H
