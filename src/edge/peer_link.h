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
#include <boost/asio/ip/udp.hpp>

namespace berylramp {

/// Records that one host hands to another.
struct PeerRecords {
  std::vector<StoreRecord> Operators;
  std::vector<StoreRecord> States;
  std::vector<StoreRecord> Replicas;
  /// Time since the sender last read the replicas' entries from the store.
  absl::Duration ReplicasAge;
};

std::string encodePeerRecords(const PeerRecords &Records);
absl::StatusOr<PeerRecords> decodePeerRecords(const std::string &Text);

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
  /// Asks one peer for its records. One request is under way at a time.
  void fetch(uint32_t Ip, std::function<void(const PeerRecords &)> Done);

private:
  void receive();

  boost::asio::io_context &Loop;
  LoopTimer &Timer;
  Metrics &Counters;
  const HostFacts &Facts;
  PeerView &View;
  int Targets;
  boost::asio::ip::udp::socket Socket;
  std::unique_ptr<HttpCaller> Fetching;
};

/// The path under which a host hands out its records.
inline constexpr const char *PeerRecordsPath = "/peer/records";

} // namespace berylramp

#endif // BERYLRAMP_EDGE_PEER_LINK_H
