//===- upstream_connection.cpp - Connections to replicas ------------------===//
//
// An answer may begin before the request is completely sent. Such a connection
// is not reused, because the rest of the request is still to be sent on it.
//
//===----------------------------------------------------------------------===//

#include "upstream_connection.h"

#include "absl/strings/numbers.h"
#include "berylramp/json.h"
#include <algorithm>

namespace berylramp {

namespace {

/// Maximum idle connections per replica; more would only occupy the replica's
/// file descriptors.
constexpr size_t MaxIdlePerReplica = 8;
/// A header of this length is received even if the host holds too many bytes.
constexpr size_t UsualHeadBytes = 8U << 10;
/// Share of the replica's announced idle timeout during which a connection is
/// reused. Later, the replica is too likely to close it while a request is in
/// transit.
constexpr double KeepAliveShare = 0.7;

int parseKeepAliveSeconds(const HttpHead &Head) {
  const std::string *Field = findHeader(Head.Headers, "Keep-Alive");
  if (Field == nullptr)
    return 0;
  size_t Position = Field->find("timeout=");
  int Seconds = 0;
  if (Position == std::string::npos)
    return 0;
  std::string Digits = Field->substr(Position + std::string("timeout=").size());
  Digits = Digits.substr(0, Digits.find_first_not_of("0123456789"));
  return absl::SimpleAtoi(Digits, &Seconds) ? Seconds : 0;
}

} // namespace

const char *connectionFaultName(ConnectionFault Fault) {
  switch (Fault) {
  case ConnectionFault::Refused:
    return "refused";
  case ConnectionFault::NotConnected:
    return "not_connected";
  case ConnectionFault::PeerUnavailable:
    return "peer_unavailable";
  case ConnectionFault::Cut:
    return "closed_by_replica";
  case ConnectionFault::Reset:
    return "broken_path";
  case ConnectionFault::Malformed:
    return "malformed";
  case ConnectionFault::Abandoned:
    return "abandoned";
  }
  return "";
}

void UpstreamConnection::countBytes(const HeldMemoryPtr &NewMemory,
                                    uint64_t Owner,
                                    const std::string &RequestId) {
  this->Memory = NewMemory;
  this->HeldHead = std::make_unique<HeldBytes>(this->Memory, HeldKind::Answer);
  this->HeldHead->identify(Owner, RequestId);
  HeldBytes &Held =
      this->Transport->countUnsent(this->Memory, HeldKind::ReplicaOutput);
  Held.identify(Owner, RequestId);
  Held.setEnd([Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->fail(ConnectionFault::Abandoned);
  });
  if (this->isTunnel())
    this->HeldUnsent =
        std::make_unique<HeldBytes>(this->Memory, HeldKind::ReplicaOutput);
}

void UpstreamConnection::start(std::string Bytes, bool WithoutBody,
                               std::weak_ptr<AnswerListener> NewListener) {
  this->Listener = std::move(NewListener);
  this->Parser = std::make_unique<AnswerParser>(WithoutBody);
  this->Buffer.clear();
  this->Busy = true;
  this->Reusable = false;
  this->HeadDelivered = false;
  this->StartedRequests += 1;
  if (this->isTunnel() && !this->Connected) {
    this->Unsent = std::move(Bytes);
    if (this->HeldUnsent != nullptr)
      this->HeldUnsent->set(static_cast<int64_t>(this->Unsent.size()));
    this->Transport->send(tunnelRequest(*this->TunnelTo));
  } else {
    this->Transport->send(std::move(Bytes));
  }
  if (this->Connected || this->Connecting)
    return;
  this->Connecting = true;
  this->Transport->setListener(this->weak_from_this());
  this->Transport->connect(this->Remote);
}

void UpstreamConnection::cancel() {
  this->Listener.reset();
  this->Buffer.clear();
  this->releaseHead();
  this->Busy = false;
  this->Reusable = false;
  this->Transport->close();
}

void UpstreamConnection::onConnected(ConnectResult Result) {
  if (Result != ConnectResult::Connected) {
    this->Connecting = false;
    bool Refused = Result == ConnectResult::Refused;
    this->fail(this->isTunnel() ? ConnectionFault::PeerUnavailable
               : Refused        ? ConnectionFault::Refused
                                : ConnectionFault::NotConnected);
    return;
  }
  if (!this->isTunnel())
    this->onEstablished();
}

void UpstreamConnection::onEstablished() {
  this->Connecting = false;
  this->Connected = true;
  if (auto Receiver = this->Listener.lock())
    Receiver->onConnected();
}

void UpstreamConnection::readTunnelAnswer() {
  std::optional<TunnelAnswer> Answer = this->Tunnel->answer();
  if (!Answer)
    return;
  if (*Answer == TunnelAnswer::Connected) {
    this->onEstablished();
    this->Transport->send(std::move(this->Unsent));
    this->Unsent.clear();
    this->HeldUnsent.reset();
    return;
  }
  this->Connecting = false;
  bool Refused = *Answer == TunnelAnswer::Refused ||
                 *Answer == TunnelAnswer::ServiceRefused;
  this->fail(Refused ? ConnectionFault::Refused
                     : ConnectionFault::PeerUnavailable);
}

void UpstreamConnection::onBytes(absl::string_view Bytes) {
  if (!this->Busy) {
    // Bytes after a complete answer belong to no request.
    this->Reusable = false;
    this->Transport->close();
    return;
  }
  if (!this->isTunnel()) {
    this->Buffer.append(Bytes.data(), Bytes.size());
    this->readAnswer();
    return;
  }
  auto Self = this->shared_from_this();
  if (!this->Tunnel->feed(Bytes)) {
    this->fail(this->Connected ? ConnectionFault::Reset
                               : ConnectionFault::PeerUnavailable);
    return;
  }
  if (!this->Connected) {
    this->readTunnelAnswer();
    return;
  }
  this->Buffer += this->Tunnel->takeBytes();
  this->readAnswer();
  if (this->Busy && this->Tunnel->replicaClosed())
    this->onReplicaClosed();
}

void UpstreamConnection::readAnswer() {
  if (this->Parser->feed(this->Buffer) != ParseFault::None) {
    this->fail(ConnectionFault::Malformed);
    return;
  }
  if (!this->holdHead()) {
    this->logHeadWithoutRoom();
    this->fail(ConnectionFault::Malformed);
    return;
  }
  this->deliver();
  if (this->Busy && this->Parser->done())
    this->finish();
}

bool UpstreamConnection::holdHead() {
  if (this->HeldHead == nullptr)
    return true;
  if (this->Parser->headDone()) {
    this->releaseHead();
    return true;
  }
  size_t Bytes = this->Buffer.capacity();
  this->HeldHead->set(static_cast<int64_t>(Bytes));
  const MemoryAccount &Account = this->Memory->account();
  bool HasRoom = Account.of(HeldKind::Answer) <= Account.bounds().Answers &&
                 Account.admits(0);
  return Bytes <= UsualHeadBytes || HasRoom;
}

void UpstreamConnection::releaseHead() {
  if (this->HeldHead == nullptr || this->HeldHead->count() == 0)
    return;
  this->HeldHead->set(0);
  // What a long header took is not kept for the rest of the connection.
  this->Buffer.shrink_to_fit();
}

void UpstreamConnection::logHeadWithoutRoom() const {
  Json::Value Line(Json::objectValue);
  Line["upstream"] = this->Remote.text();
  Line["part"] = "header";
  Line["held_bytes"] = Json::Int64(this->HeldHead->count());
  Line["limit_bytes"] = Json::Int64(this->Memory->account().bounds().Answers);
  logEvent(LogLevel::Warn, "answer_too_long", Line);
}

void UpstreamConnection::deliver() {
  if (!this->Parser->headDone())
    return;
  auto Self = this->shared_from_this();
  if (!this->HeadDelivered) {
    this->HeadDelivered = true;
    HttpHead Head = this->Parser->head();
    this->KeepAliveSeconds = parseKeepAliveSeconds(Head);
    if (auto Receiver = this->Listener.lock())
      Receiver->onHead(Head);
  }
  if (!this->Busy)
    return;
  std::string Chunk = this->Parser->takeBody();
  if (Chunk.empty())
    return;
  if (auto Receiver = this->Listener.lock())
    Receiver->onBody(std::move(Chunk));
}

void UpstreamConnection::finish() {
  auto Self = this->shared_from_this();
  this->Busy = false;
  bool ReplicaClosed = this->isTunnel() && this->Tunnel->replicaClosed();
  this->Reusable = this->Parser->keepAlive() && this->Buffer.empty() &&
                   this->Transport->unsentBytes() == 0 && !ReplicaClosed;
  if (!this->Reusable)
    this->Transport->close();
  auto Receiver = this->Listener.lock();
  this->Listener.reset();
  if (Receiver)
    Receiver->onEnd();
}

void UpstreamConnection::onClosed(bool Orderly) {
  this->Reusable = false;
  if (!this->Busy)
    return;
  if (!this->Connected)
    this->fail(ConnectionFault::PeerUnavailable);
  else if (Orderly && !this->isTunnel())
    this->onReplicaClosed();
  else
    this->fail(ConnectionFault::Reset);
}

void UpstreamConnection::onReplicaClosed() {
  if (!this->Parser->finishAtEof()) {
    this->fail(ConnectionFault::Cut);
    return;
  }
  this->deliver();
  if (this->Busy)
    this->finish();
}

void UpstreamConnection::fail(ConnectionFault Fault) {
  auto Self = this->shared_from_this();
  this->Buffer.clear();
  this->releaseHead();
  this->Busy = false;
  this->Reusable = false;
  this->Transport->close();
  auto Receiver = this->Listener.lock();
  this->Listener.reset();
  if (Receiver)
    Receiver->onFault(Fault);
}

bool UpstreamPool::isFresh(const UpstreamConnection &Connection,
                           Instant Now) const {
  absl::Duration MaxAge = this->MaxIdleTime;
  if (Connection.keepAliveSeconds() > 0)
    MaxAge = std::min(MaxAge, absl::Seconds(Connection.keepAliveSeconds()) *
                                  KeepAliveShare);
  return Connection.reusable() && Now - Connection.IdleSince < MaxAge;
}

UpstreamConnectionPtr UpstreamPool::acquire(const UpstreamId &ReplicaId,
                                            bool OverPeer, Instant Now) {
  auto Found = this->Idle.find(ReplicaId.text());
  if (Found == this->Idle.end())
    return nullptr;
  while (!Found->second.empty()) {
    UpstreamConnectionPtr Connection = Found->second.back();
    Found->second.pop_back();
    if (this->isFresh(*Connection, Now) && Connection->isTunnel() == OverPeer)
      return Connection;
    Connection->cancel();
  }
  return nullptr;
}

void UpstreamPool::release(const UpstreamId &ReplicaId,
                           UpstreamConnectionPtr Connection, Instant Now) {
  auto &Connections = this->Idle[ReplicaId.text()];
  if (!Connection->reusable() || Connections.size() >= MaxIdlePerReplica) {
    Connection->cancel();
    return;
  }
  Connection->IdleSince = Now;
  Connections.push_back(std::move(Connection));
}

void UpstreamPool::closeExpired(Instant Now) {
  this->closeIdle([&](const UpstreamConnection &Candidate) {
    return !this->isFresh(Candidate, Now);
  });
}

void UpstreamPool::closeTunnelsOver(
    const std::function<bool(const Endpoint &)> &IsLeaving) {
  this->closeIdle([&](const UpstreamConnection &Candidate) {
    return Candidate.isTunnel() && IsLeaving(Candidate.remote());
  });
}

void UpstreamPool::closeIdle(
    const std::function<bool(const UpstreamConnection &)> &Matches) {
  for (auto Group = this->Idle.begin(); Group != this->Idle.end();) {
    auto &Connections = Group->second;
    Connections.erase(
        std::remove_if(Connections.begin(), Connections.end(),
                       [&](const UpstreamConnectionPtr &Candidate) {
                         bool Closes = Matches(*Candidate);
                         if (Closes)
                           Candidate->cancel();
                         return Closes;
                       }),
        Connections.end());
    Group = Connections.empty() ? this->Idle.erase(Group) : std::next(Group);
  }
}

} // namespace berylramp
