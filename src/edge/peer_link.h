//===- peer_link.h - Datagrams and record transfers between hosts -*- C++ -*-=//
//
// Spreads this host's state and fetches records from a peer when the store
// does not serve this host.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EDGE_PEER_LINK_H
#define BERYLRAMP_EDGE_PEER_LINK_H

#include "berylramp/edge.h"
#include "berylramp/gossip.h"
#include "record_book.h"
#include <boost/asio/ip/udp.hpp>

namespace berylramp {

class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
  PeerLink(boost::asio::io_context &Loop, LoopTimer &Timer, Metrics &Counters,
           const HostFacts &Facts, PeerView &View, int Targets)
      : Loop(Loop), Timer(Timer), Counters(Counters), Facts(Facts), View(View),
        Targets(Targets), Socket(Loop) {}

  absl::Status open();
  void close();
  /// Sends this host's state to a few peers.
  void spread();
  /// Tells the hosts of a data centre about work sent to a replica there.
  void tellWork(const WorkNote &Note, const PlaceId &Place);
  /// Called for each such word of a peer.
  std::function<void(const WorkNote &)> OnWork;
  /// Asks a peer for records. One request is under way at a time; false when
  /// one is.
  bool fetch(uint32_t Ip, const PeerQuery &Query,
             std::function<void(absl::StatusOr<PeerRecords>)> Done);

private:
  void receive();

  boost::asio::io_context &Loop;
  LoopTimer &Timer;
  Metrics &Counters;
  const HostFacts &Facts;
  PeerView &View;
  int Targets;
  boost::asio::ip::udp::socket Socket;
  /// The peer asked last and the connection to it.
  uint32_t FetchFrom = 0;
  std::shared_ptr<HttpClient> Fetcher;
  bool Fetching = false;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_PEER_LINK_H
