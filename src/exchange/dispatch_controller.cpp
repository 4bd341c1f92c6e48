//===- dispatch_controller.cpp - Requests that wait for room --------------===//
//
// Each decision selects a replica, so their number in a retry is bounded, and
// the requests behind one that must go on waiting are not tried.
//
//===----------------------------------------------------------------------===//

#include "dispatch_controller.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Decisions in one retry, and the minimum time between two retries.
constexpr int MaxDecisions = 8;
constexpr absl::Duration MinRetryInterval = absl::Milliseconds(5);

} // namespace

DispatchController::Service &
DispatchController::service(const ServiceId &Id, const RouteTable &Table) {
  Service &Entry = this->Services[Id];
  if (Entry.Table != Table.Version) {
    Entry.Classes = urgencyClasses(Table, Id);
    Entry.Table = Table.Version;
  }
  return Entry;
}

void DispatchController::wait(const ServiceId &Id, const Waiter &Entry,
                              const std::shared_ptr<WaitingRequest> &Request) {
  Service &State = this->Services[Id];
  State.Queue.add(Entry);
  State.Requests[Entry.Id] = Request;
  if (!this->IsArmed)
    this->arm(this->Settings.RetryInterval * randomFactor());
}

void DispatchController::remove(const ServiceId &Id, WaiterId Waiting) {
  Service &State = this->Services[Id];
  State.Queue.remove(Waiting);
  State.Requests.erase(Waiting);
}

void DispatchController::arm(absl::Duration Delay) {
  this->IsArmed = true;
  this->ArmedFor = this->Timer.now() + Delay;
  this->RetryTimer.set(Delay, [this] { this->retry(); });
}

void DispatchController::onRoom() {
  if (!this->IsArmed)
    return;
  Instant Now = this->Timer.now();
  Instant At = this->RetriedAt + MinRetryInterval;
  if (At < Now)
    At = Now;
  if (At < this->ArmedFor)
    this->arm(At - Now);
}

void DispatchController::retry() {
  this->IsArmed = false;
  this->RetriedAt = this->Timer.now();
  int Decisions = 0;
  for (auto &[Id, Entry] : this->Services)
    this->retryService(Entry, Decisions);
  if (this->waiting() > 0)
    this->arm(Decisions < MaxDecisions
                  ? this->Settings.RetryInterval * randomFactor()
                  : MinRetryInterval);
}

void DispatchController::retryService(Service &Entry, int &Decisions) {
  size_t Most = MaxDecisions;
  for (WaiterId Waiting : Entry.Queue.due(this->RetriedAt, Most)) {
    Decisions += 1;
    retryRequest(Entry, Waiting);
  }
  bool Left = true;
  while (Left && Decisions < MaxDecisions) {
    Left = false;
    for (WaiterId Waiting : Entry.Queue.heads()) {
      Decisions += 1;
      Left = retryRequest(Entry, Waiting) || Left;
    }
  }
}

bool DispatchController::retryRequest(Service &Entry, WaiterId Waiting) {
  auto Found = Entry.Requests.find(Waiting);
  std::shared_ptr<WaitingRequest> Request =
      Found == Entry.Requests.end() ? nullptr : Found->second.lock();
  if (Request == nullptr) {
    Entry.Requests.erase(Waiting);
    Entry.Queue.remove(Waiting);
    return true;
  }
  Request->onDispatchRetry();
  return !Entry.Requests.contains(Waiting);
}

void DispatchController::retryAll() {
  std::vector<std::weak_ptr<WaitingRequest>> All;
  for (const auto &[Id, Entry] : this->Services)
    for (const auto &[Waiting, Request] : Entry.Requests)
      All.push_back(Request);
  for (const std::weak_ptr<WaitingRequest> &Weak : All)
    if (auto Request = Weak.lock())
      Request->onDispatchRetry();
}

size_t DispatchController::waiting() const {
  size_t Count = 0;
  for (const auto &[Id, Entry] : this->Services)
    Count += Entry.Queue.size();
  return Count;
}

bool DispatchController::hasSpace(size_t Bytes) const {
  size_t Held = Bytes;
  for (const auto &[Id, Entry] : this->Services)
    Held += Entry.Queue.bytes();
  return Held <= this->Settings.MaxWaitingBytes &&
         this->waiting() < this->Settings.MaxWaiting;
}

std::vector<std::pair<uint64_t, WorkspaceShares>> DispatchController::shares() {
  std::vector<std::pair<uint64_t, WorkspaceShares>> Result;
  for (auto &[Id, Entry] : this->Services) {
    if (!Entry.Classes.differ())
      continue;
    Entry.Shares.update(this->Timer.now());
    WorkspaceShares Shares = Entry.Shares.report();
    if (!Shares.empty())
      Result.emplace_back(stableHash(Id.text()), std::move(Shares));
  }
  return Result;
}

void DispatchController::mergeShares(uint64_t ServiceHash,
                                     const WorkspaceShares &Shares) {
  for (auto &[Id, Entry] : this->Services)
    if (stableHash(Id.text()) == ServiceHash)
      Entry.Shares.merge(Shares);
}

} // namespace berylramp
