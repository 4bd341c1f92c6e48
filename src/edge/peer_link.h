//===- peer_link.h - Datagrams and record transfers between hosts -*- C++ -*-=//
//
// Sends this host's state and work reports to peers and fetches store records
// from a peer.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EDGE_PEER_LINK_H
#define BERYLRAMP_EDGE_PEER_LINK_H

#include "berylramp/edge.h"
#include "berylramp/gossip.h"
#include "record_cache.h"
#include <boost/asio/ip/udp.hpp>

namespace berylramp {

class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
  PeerLink(boost::asio::io_context &Loop, LoopTimer &Timer, Metrics &Counters,
           const HostConfig &Config, PeerTable &Peers, int Targets)
      : Loop(Loop), Timer(Timer), Counters(Counters), Config(Config),
        Peers(Peers), Targets(Targets), Socket(Loop) {}

  absl::Status open();
  void close();
  /// Sends this host's state to a few peers.
  void sendState();
  /// Sends this host's state to all live peers.
  void broadcastState();
  /// Sends a report to the hosts that it concerns: prompts to those in the
  /// region of the replica's data centre \p Place, a leaving replica to this
  /// region, all else to all hosts.
  void sendReport(const GossipReport &Report, const PlaceId &Place = PlaceId());
  /// Adds a prompt that was sent to a replica in \p Place to the next digest.
  void addWork(WorkReport Report, const PlaceId &Place);
  /// Sends the digests of the prompts that were added since the last call.
  void sendWork();
  /// Returns the limits to report with this host's state.
  std::function<std::vector<NamedLimit>()> LimitsToReport = [] {
    return std::vector<NamedLimit>();
  };
  /// Returns the shares of workspaces to report with this host's state, by hash
  /// of the service.
  std::function<std::vector<std::pair<uint64_t, WorkspaceShares>>()>
      SharesToReport =
          [] { return std::vector<std::pair<uint64_t, WorkspaceShares>>(); };
  /// Called for each report that a peer sent.
  std::function<void(const GossipReport &)> OnReport;
  /// Requests records from a peer. False when another request is in progress or
  /// the host has no port for calls between peers.
  bool fetch(uint32_t Ip, const PeerQuery &Query,
             std::function<void(absl::StatusOr<PeerRecords>)> Done);

private:
  void receive();
  void mergeState(const std::string &Datagram, uint32_t Sender);
  void sendTo(uint32_t Ip, const std::string &Datagram);
  /// Sends a datagram to the live hosts in the places that \p Includes selects.
  void broadcast(const std::string &Datagram,
                 const std::function<bool(const PlaceId &)> &Includes);
  bool sharesRegion(const PlaceId &A, const PlaceId &B) const;

  boost::asio::io_context &Loop;
  LoopTimer &Timer;
  Metrics &Counters;
  const HostConfig &Config;
  PeerTable &Peers;
  int Targets;
  boost::asio::ip::udp::socket Socket;
  /// The peer of the last request and the client for it.
  uint32_t FetchPeerIp = 0;
  std::shared_ptr<HttpClient> Fetcher;
  bool FetchInFlight = false;
  /// By a data centre of the region whose hosts receive the digest.
  std::map<PlaceId, WorkOutbox> Outboxes;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_PEER_LINK_H
