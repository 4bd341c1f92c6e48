//===- upstream_connection.cpp - Connections to replicas ------------------===//
//
// An answer may begin before the request is sent whole; the connection is then
// not used again, as the rest of the request is still due on it.
//
//===----------------------------------------------------------------------===//

#include "upstream_connection.h"

#include "absl/strings/numbers.h"
#include <algorithm>

namespace berylramp {

namespace {

/// Idle connections kept to one replica; more only hold its descriptors.
constexpr size_t MostIdle = 8;
/// Part of the replica's own idle time after which a connection is too likely
/// to be closed while a request is on its way.
constexpr double KeepPart = 0.7;

int keepSecondsOf(const HttpHead &Head) {
  const std::string *Field = findHeader(Head.Headers, "Keep-Alive");
  if (Field == nullptr)
    return 0;
  size_t At = Field->find("timeout=");
  int Seconds = 0;
  if (At == std::string::npos)
    return 0;
  std::string Digits = Field->substr(At + std::string("timeout=").size());
  Digits = Digits.substr(0, Digits.find_first_not_of("0123456789"));
  return absl::SimpleAtoi(Digits, &Seconds) ? Seconds : 0;
}

} // namespace

void UpstreamConnection::start(std::string Bytes, bool WithoutBody,
                               std::weak_ptr<AnswerListener> Listener) {
  this->Heard = std::move(Listener);
  this->Parser = std::make_unique<AnswerParser>(WithoutBody);
  this->Buffer.clear();
  this->Busy = true;
  this->Reusable = false;
  this->HeadTold = false;
  this->Wire->send(std::move(Bytes));
  if (this->Connected || this->Connecting)
    return;
  this->Connecting = true;
  this->Wire->setUser(this->weak_from_this());
  this->Wire->connect(this->To);
}

void UpstreamConnection::cancel() {
  this->Heard.reset();
  this->Busy = false;
  this->Reusable = false;
  this->Wire->close();
}

void UpstreamConnection::onConnected(bool Worked) {
  this->Connecting = false;
  this->Connected = Worked;
  if (!Worked)
    this->fail(ConnectionFault::NotConnected);
}

void UpstreamConnection::onBytes(absl::string_view Bytes) {
  if (!this->Busy) {
    // Bytes after a complete answer belong to no request.
    this->Reusable = false;
    this->Wire->close();
    return;
  }
  this->Buffer.append(Bytes.data(), Bytes.size());
  if (this->Parser->feed(this->Buffer) != ParseFault::None) {
    this->fail(ConnectionFault::Malformed);
    return;
  }
  this->deliver();
  if (this->Busy && this->Parser->done())
    this->finish();
}

void UpstreamConnection::deliver() {
  if (!this->Parser->headDone())
    return;
  auto Self = this->shared_from_this();
  if (!this->HeadTold) {
    this->HeadTold = true;
    HttpHead Head = this->Parser->head();
    this->KeepSeconds = keepSecondsOf(Head);
    if (auto To = this->Heard.lock())
      To->onHead(Head);
  }
  if (!this->Busy)
    return;
  std::string Part = this->Parser->takeBody();
  if (Part.empty())
    return;
  if (auto To = this->Heard.lock())
    To->onBody(std::move(Part));
}

void UpstreamConnection::finish() {
  auto Self = this->shared_from_this();
  this->Busy = false;
  this->Reusable = this->Parser->keepAlive() && this->Buffer.empty() &&
                   this->Wire->unsent() == 0;
  if (!this->Reusable)
    this->Wire->close();
  auto To = this->Heard.lock();
  this->Heard.reset();
  if (To)
    To->onEnd();
}

void UpstreamConnection::onClosed(bool Orderly) {
  this->Reusable = false;
  if (!this->Busy)
    return;
  if (Orderly && this->Parser->finishAtEof()) {
    this->deliver();
    if (this->Busy)
      this->finish();
    return;
  }
  this->fail(ConnectionFault::Cut);
}

void UpstreamConnection::fail(ConnectionFault Why) {
  auto Self = this->shared_from_this();
  this->Busy = false;
  this->Reusable = false;
  this->Wire->close();
  auto To = this->Heard.lock();
  this->Heard.reset();
  if (To)
    To->onFault(Why);
}

bool UpstreamPool::fresh(const UpstreamConnection &Which, Instant Now) const {
  absl::Duration Most = this->KeepIdle;
  if (Which.keepSeconds() > 0)
    Most = std::min(Most, absl::Seconds(Which.keepSeconds()) * KeepPart);
  return Which.reusable() && Now - Which.IdleSince < Most;
}

UpstreamConnectionPtr UpstreamPool::take(const UpstreamId &To, Instant Now) {
  auto Found = this->Idle.find(To.text());
  if (Found == this->Idle.end())
    return nullptr;
  while (!Found->second.empty()) {
    UpstreamConnectionPtr Which = Found->second.back();
    Found->second.pop_back();
    if (this->fresh(*Which, Now))
      return Which;
    Which->cancel();
  }
  return nullptr;
}

void UpstreamPool::give(const UpstreamId &To, UpstreamConnectionPtr Which,
                        Instant Now) {
  auto &Kept = this->Idle[To.text()];
  if (!Which->reusable() || Kept.size() >= MostIdle) {
    Which->cancel();
    return;
  }
  Which->IdleSince = Now;
  Kept.push_back(std::move(Which));
}

void UpstreamPool::sweep(Instant Now) {
  for (auto Group = this->Idle.begin(); Group != this->Idle.end();) {
    auto &Kept = Group->second;
    Kept.erase(std::remove_if(Kept.begin(), Kept.end(),
                              [&](const UpstreamConnectionPtr &Each) {
                                bool Over = !this->fresh(*Each, Now);
                                if (Over)
                                  Each->cancel();
                                return Over;
                              }),
               Kept.end());
    Group = Kept.empty() ? this->Idle.erase(Group) : std::next(Group);
  }
}

} // namespace berylramp
