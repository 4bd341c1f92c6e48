//===- relay_path.cpp - Requests over lost paths --------------------------===//
//
// A request reaches a replica over another host when this one lost its path.
// What fails because of the path is not held against replicas or versions.
//
//===----------------------------------------------------------------------===//

#include "relay.h"

#include <boost/asio/post.hpp>

namespace berylramp {

namespace {

/// Silence of an open connection after which its request is moved, when new
/// connections over the same path time out.
constexpr absl::Duration LostPathSilence = absl::Milliseconds(600);

} // namespace

// Deferred: the request whose failure was the evidence is still being handled.
void RelayCore::onPathLost(bool Hangs) {
  boost::asio::post(
      this->Loop,
      [this, Hangs, Weak = std::weak_ptr<PathController>(this->Paths)] {
        if (Weak.expired())
          return;
        this->Registry.forgiveFailures([this](const Replica &Target) {
          return this->Paths->isLost(Target);
        });
        auto Relays = this->Active;
        for (const std::shared_ptr<Relay> &ActiveRelay : Relays)
          ActiveRelay->onPathLost(Hangs);
      });
}

void Relay::onPathLost(bool Hangs) {
  if (this->Finished || this->Current == nullptr || this->Current->Peer ||
      !this->Core.Paths->isLost(*this->Current->TargetReplica))
    return;
  auto Waiting = this->Current;
  if (!Waiting->Connection->isConnected()) {
    this->onAttemptFailed(*Waiting, RetryReason::ConnectFailed,
                          Outcome::Neutral, false);
    return;
  }
  // A request that may not be repeated waits for its answer.
  if (!Hangs || !this->mayRetry())
    return;
  absl::Duration Silence = this->now() - Waiting->LastByteAt;
  Waiting->AwaitingConnect = false;
  Waiting->startTimeout(std::max(LostPathSilence - Silence, UnreadDataDelay));
}

void Relay::connectAttempt(Attempt &NewAttempt, bool MayReuse) {
  const Replica &Target = *NewAttempt.TargetReplica;
  if (this->AvoidsDirectPath || this->Core.Paths->isLost(Target))
    NewAttempt.Peer =
        this->Core.Hooks.ChoosePeer(Target, this->TriedPeers, this->Regions);
  bool OverPeer = NewAttempt.Peer.has_value();
  // An idle connection may lead over a host in another region.
  bool MayTakeAnyPeer = !OverPeer || !this->Regions;
  if (MayReuse && MayTakeAnyPeer)
    NewAttempt.Connection =
        this->Core.Pool.acquire(Target.Entry.Id, OverPeer, this->now());
  if (NewAttempt.Connection != nullptr) {
    if (OverPeer)
      NewAttempt.Peer = NewAttempt.Connection->remote();
  } else {
    NewAttempt.Connection =
        OverPeer ? std::make_shared<UpstreamConnection>(
                       this->Core.Loop, *NewAttempt.Peer, Target.IdHash)
                 : std::make_shared<UpstreamConnection>(this->Core.Loop,
                                                        Target.Entry.Address);
  }
  NewAttempt.Connection->countBytes(this->Core.Memory, this->owner(),
                                    this->RequestId);
}

void Relay::onAttemptConnected(Attempt &Source) {
  PathTarget Target = pathTargetOf(*Source.TargetReplica);
  if (Source.Peer)
    this->Core.Paths->onReachedByPeer(Target);
  else
    this->Core.Paths->onReached(Target);
}

Outcome Relay::notePathFailure(Attempt &Source, Outcome Result, bool Sent) {
  PathController &Paths = *this->Core.Paths;
  if (Source.Peer) {
    if (!Sent && Source.Fault == ConnectionFault::Refused)
      return Result;
    this->TriedPeers.push_back(*Source.Peer);
    if (!Sent)
      this->Core.Hooks.OnPeerFailed(*Source.Peer);
    return Outcome::Neutral;
  }
  if (!Sent || Source.Fault == ConnectionFault::Reset)
    Paths.onUnreached(pathTargetOf(*Source.TargetReplica),
                      Sent ? this->now() : Source.SentAt, Source.TimedOut);
  this->AvoidsDirectPath = this->AvoidsDirectPath || !Sent;
  if (Paths.isLost(*Source.TargetReplica)) {
    // The replica was not tried over another path.
    if (!this->TriedReplicas.empty())
      this->TriedReplicas.pop_back();
    return Outcome::Neutral;
  }
  if (!Sent)
    Paths.explainFailure(Source.TargetReplica, this->now(),
                         [](FailureCause) {});
  return Result;
}

} // namespace berylramp
