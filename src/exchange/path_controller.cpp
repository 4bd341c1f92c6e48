//===- path_controller.cpp - Paths to replicas ----------------------------===//
//
// A refused connection shows that a replica's process ended only if the refusal
// came from the replica's machine. Another host confirms that, or several if
// the others of the service refuse them too: those may be cut off in the same
// way.
//
//===----------------------------------------------------------------------===//

#include "path_controller.h"

#include "berylramp/json.h"
#include "connection_check.h"

namespace berylramp {

namespace {

constexpr absl::Duration CheckTimeout = absl::Milliseconds(400);
/// Hosts that are asked before the cause of a failure counts as unknown.
constexpr size_t MaxWitnesses = 3;

} // namespace

PathTarget pathTargetOf(const Replica &Target) {
  return {Target.IdHash, Target.Entry.Service, Target.Entry.Place};
}

struct PathController::Explanation {
  ReplicaPtr Target;
  bool DirectlyRefused = false;
  std::vector<Endpoint> Asked;
  size_t Refusals = 0;
};

void PathController::onReached(const PathTarget &Target) {
  this->Monitor.onReached(Target, this->Timer.now());
  this->reportChanges(false);
}

void PathController::onUnreached(const PathTarget &Target, Instant Since,
                                 bool Hangs) {
  this->Monitor.onUnreached(Target, Since);
  this->reportChanges(Hangs);
}

void PathController::onReachedByPeer(const PathTarget &Target) {
  this->Monitor.onReachedByPeer(Target, this->Timer.now());
  this->reportChanges(false);
}

void PathController::reportChanges(bool Hangs) {
  bool AnyLost = false;
  for (const PathChange &Change : this->Monitor.takeChanges()) {
    Json::Value Line(Json::objectValue);
    Line["group"] = Change.Group;
    Line["unreached"] = Json::UInt64(Change.Unreached);
    logEvent(Change.Lost ? LogLevel::Warn : LogLevel::Info,
             Change.Lost ? "replica_path_lost" : "replica_path_regained", Line);
    AnyLost = AnyLost || Change.Lost;
  }
  if (AnyLost && this->OnLost)
    this->OnLost(Hangs);
}

void PathController::checkDirectly(const ReplicaPtr &Target,
                                   TunnelCallback Done) {
  Instant StartedAt = this->Timer.now();
  checkConnection(this->Loop, Target->Entry.Address, CheckTimeout,
                  [Weak = this->weak_from_this(),
                   Checked = pathTargetOf(*Target), StartedAt,
                   Done = std::move(Done)](TunnelAnswer Answer) {
                    auto Self = Weak.lock();
                    if (!Self)
                      return;
                    if (Answer == TunnelAnswer::Connected)
                      Self->onReached(Checked);
                    else
                      Self->onUnreached(Checked, StartedAt,
                                        Answer == TunnelAnswer::TimedOut);
                    Done(Answer);
                  });
}

void PathController::onHeard(const Replica &Target) {
  this->HeardAt[Target.IdHash] = this->Timer.now();
}

void PathController::explainFailure(const ReplicaPtr &Target,
                                    Instant SilentSince, CauseCallback Done) {
  auto Heard = this->HeardAt.find(Target->IdHash);
  if (Heard != this->HeardAt.end() && SilentSince < Heard->second &&
      !this->isLost(*Target)) {
    Done(FailureCause::Replica);
    return;
  }
  auto [Found, IsNew] = this->Explanations.try_emplace(Target->IdHash);
  if (!IsNew) {
    Found->second.Next.push_back(std::move(Done));
    return;
  }
  Found->second.Current.push_back(std::move(Done));
  this->startExplanation(Target);
}

void PathController::startExplanation(const ReplicaPtr &Target) {
  auto Running = std::make_shared<Explanation>();
  Running->Target = Target;
  if (this->isLost(*Target)) {
    this->askPeer(Running);
    return;
  }
  this->checkDirectly(Target, [this, Running](TunnelAnswer Answer) {
    if (Answer == TunnelAnswer::Connected) {
      this->finishExplanation(Running->Target, FailureCause::Replica);
      return;
    }
    Running->DirectlyRefused = Answer == TunnelAnswer::Refused;
    this->askPeer(Running);
  });
}

void PathController::askPeer(const std::shared_ptr<Explanation> &Running) {
  const ReplicaPtr &Target = Running->Target;
  std::optional<Endpoint> Peer;
  if (Running->Asked.size() < MaxWitnesses)
    Peer = this->ChoosePeer(*Target, Running->Asked);
  if (!Peer) {
    bool NoWitness = Running->Asked.empty() && Running->DirectlyRefused &&
                     !this->isLost(*Target);
    bool AllRefused =
        !Running->Asked.empty() && Running->Refusals == Running->Asked.size();
    this->finishExplanation(Target, NoWitness || AllRefused
                                        ? FailureCause::ReplicaEnded
                                        : FailureCause::Unknown);
    return;
  }
  Running->Asked.push_back(*Peer);
  checkTunnel(
      this->Loop, *Peer, Target->IdHash, MaxTunnelDelay,
      [Weak = this->weak_from_this(), Running](TunnelAnswer Answer) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (Answer == TunnelAnswer::Connected) {
          Self->onReachedByPeer(pathTargetOf(*Running->Target));
          Self->finishExplanation(Running->Target, FailureCause::OwnPath);
          return;
        }
        if (Answer == TunnelAnswer::Refused) {
          Self->finishExplanation(Running->Target, FailureCause::ReplicaEnded);
          return;
        }
        Running->Refusals += Answer == TunnelAnswer::ServiceRefused ? 1 : 0;
        Self->askPeer(Running);
      });
}

void PathController::finishExplanation(const ReplicaPtr &Target,
                                       FailureCause Cause) {
  auto Found = this->Explanations.find(Target->IdHash);
  std::vector<CauseCallback> Current = std::move(Found->second.Current);
  Found->second.Current = std::move(Found->second.Next);
  Found->second.Next.clear();
  if (Found->second.Current.empty())
    this->Explanations.erase(Found);
  else
    this->startExplanation(Target);
  Json::Value Line(Json::objectValue);
  Line["replica"] = Target->Entry.Id.text();
  Line["cause"] = Cause == FailureCause::ReplicaEnded ? "replica_ended"
                  : Cause == FailureCause::Replica    ? "replica"
                  : Cause == FailureCause::OwnPath    ? "own_path"
                                                      : "unknown";
  Line["requests"] = Json::UInt64(Current.size());
  logEvent(LogLevel::Info, "failure_explained", Line);
  for (const CauseCallback &Done : Current)
    Done(Cause);
}

ReplicaPtr PathController::anyReplica(
    const std::function<bool(const Replica &)> &Matches) {
  std::vector<ReplicaPtr> Found;
  for (const UpstreamId &Id : this->Registry.ids()) {
    ReplicaPtr Candidate = this->Registry.find(Id);
    if (!Candidate->Leaving && !Candidate->Removed && Matches(*Candidate))
      Found.push_back(Candidate);
  }
  return Found.empty() ? nullptr : Found[randomUint64() % Found.size()];
}

void PathController::explainRefusal(const PathTarget &Target,
                                    const TunnelCallback &Done) {
  ReplicaPtr Similar = this->anyReplica([&](const Replica &Candidate) {
    return Candidate.Entry.Service == Target.Service &&
           Candidate.IdHash != Target.Replica;
  });
  ReplicaPtr Other = this->anyReplica([&](const Replica &Candidate) {
    return Candidate.Entry.Service != Target.Service;
  });
  if (Similar == nullptr && Other == nullptr) {
    Done(TunnelAnswer::Refused);
    return;
  }
  auto CheckOther = [this, Other, Done](TunnelAnswer IfReached) {
    if (Other == nullptr) {
      Done(TunnelAnswer::Unavailable);
      return;
    }
    this->checkDirectly(Other, [Done, IfReached](TunnelAnswer Answer) {
      Done(Answer == TunnelAnswer::Connected ? IfReached
                                             : TunnelAnswer::Unavailable);
    });
  };
  if (Similar == nullptr) {
    CheckOther(TunnelAnswer::Refused);
    return;
  }
  this->checkDirectly(Similar, [Done, CheckOther](TunnelAnswer Answer) {
    if (Answer == TunnelAnswer::Connected)
      Done(TunnelAnswer::Refused);
    else
      CheckOther(TunnelAnswer::ServiceRefused);
  });
}

std::vector<PathTarget> PathController::knownTargets() const {
  std::vector<PathTarget> Known;
  for (const UpstreamId &Id : this->Registry.ids())
    Known.push_back(pathTargetOf(*this->Registry.find(Id)));
  return Known;
}

void PathController::probe() {
  absl::erase_if(this->HeardAt, [this](const auto &Heard) {
    return !this->Registry.idOf(Heard.first);
  });
  if (!this->Monitor.anyLost())
    return;
  std::vector<PathTarget> Known = this->knownTargets();
  this->Monitor.retain(Known);
  this->reportChanges(false);
  for (uint64_t Hash : this->Monitor.chooseProbes(Known))
    if (std::optional<UpstreamId> Id = this->Registry.idOf(Hash))
      this->checkDirectly(this->Registry.find(*Id), [](TunnelAnswer) {});
}

} // namespace berylramp
