//===- connection_limit.cpp - Bounds accepted connections -----------------===//
//
// A wait is as old as its request, not as the last byte of it: a client that
// sends a byte from time to time does not outlast the others.
//
//===----------------------------------------------------------------------===//

#include "connection_limit.h"

#include <utility>

namespace berylramp {

bool ConnectionLimit::makeRoom() {
  while (this->Open >= this->MaxConnections)
    if (!this->endLongestWaiting())
      return false;
  return true;
}

bool ConnectionLimit::endLongestWaiting() {
  if (this->Waiting.empty())
    return false;
  ConnectionSlot &Longest = *this->Waiting.front();
  std::function<void()> End = std::move(Longest.OnEnd);
  Longest.release();
  End();
  return true;
}

ConnectionSlot::ConnectionSlot(ConnectionLimitPtr Limit)
    : Limit(std::move(Limit)) {
  if (this->Limit != nullptr)
    this->Limit->Open += 1;
}

void ConnectionSlot::startWaiting() {
  if (this->Limit == nullptr || this->IsWaiting)
    return;
  auto &Waiting = this->Limit->Waiting;
  this->Position = Waiting.insert(Waiting.end(), this);
  this->IsWaiting = true;
}

void ConnectionSlot::stopWaiting() {
  if (!this->IsWaiting)
    return;
  this->Limit->Waiting.erase(this->Position);
  this->IsWaiting = false;
}

void ConnectionSlot::release() {
  this->stopWaiting();
  if (this->Limit != nullptr)
    this->Limit->Open -= 1;
  this->Limit.reset();
}

} // namespace berylramp
