//===- edge_paths.cpp - Paths to replicas over other hosts ----------------===//
//
// Hosts announce that they lost a path, so that others do not ask them for
// tunnels. One that was not heard of yet answers that it has none either. A
// host that leaves waits until the others have closed their tunnels over it.
//
//===----------------------------------------------------------------------===//

#include "edge_state.h"

#include "absl/algorithm/container.h"

namespace berylramp {

std::optional<Endpoint>
EdgeDaemon::State::choosePeer(const Replica &Target,
                              const std::vector<Endpoint> &Tried,
                              const AllowedRegions &Regions) const {
  Instant Now = this->Timer.now();
  TunnelQuery Query{this->Config.Place,
                    Target.Entry.Place,
                    &this->Config.Regions,
                    {},
                    Regions};
  for (const Endpoint &Peer : Tried)
    Query.Excluded.push_back(parseIp(Peer.Ip));
  for (const auto &[Ip, FailedAt] : this->FailedPeers)
    if (Now - FailedAt < PeerFailureTime)
      Query.Excluded.push_back(Ip);
  std::vector<const PeerState *> Hosts;
  for (const Peer *Candidate : this->Peers.live(Now))
    Hosts.push_back(&Candidate->State);
  std::vector<uint32_t> Candidates = tunnelCandidates(Query, Hosts);
  if (Candidates.empty())
    return std::nullopt;
  return Endpoint{formatIp(Candidates[randomUint64() % Candidates.size()]),
                  this->Config.GossipPort};
}

void EdgeDaemon::State::closeTunnelsOverLeavingHosts() {
  std::vector<uint32_t> Leaving;
  for (const Peer *Candidate : this->Peers.live(this->Timer.now()))
    if (Candidate->State.Leaving)
      Leaving.push_back(Candidate->State.Ip);
  if (Leaving.empty())
    return;
  this->Relayer->closeTunnelsOver([&](const Endpoint &Peer) {
    return absl::c_linear_search(Leaving, parseIp(Peer.Ip));
  });
}

void EdgeDaemon::State::announcePaths() {
  bool Lost = this->Relayer->hasLostPaths();
  if (Lost == this->Peers.self().LostPaths)
    return;
  this->Peers.self().LostPaths = Lost;
  this->Link->sendState();
}

} // namespace berylramp
