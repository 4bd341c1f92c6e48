//===- fleet_link.h - Gossip with the other entry hosts ---------*- C++ -*-===//
//
// Exchanges state with random peers in every gossip period (one second by
// default), mostly within the place and less often with another place.
// Propagates member records, and confirmations of freshness with their age.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_FLEET_LINK_H
#define BERYLRAMP_SRC_ROUTER_FLEET_LINK_H

#include "absl/random/random.h"
#include "berylramp/fleet.h"
#include "berylramp/sync.h"
#include "config_follower.h"
#include "context.h"
#include <atomic>
#include <functional>
#include <map>

namespace berylramp::internal {

/// Identity, place and endpoint of a peer.
struct PeerAddress {
  HostId Host;
  PlaceId Place;
  Endpoint Address;
};

class FleetLink {
public:
  FleetLink(RouterContext &Context, ConfigFollower &Config);

  /// \p Describe fills in the fields of this host's member record that other
  /// components own.
  void start(const Endpoint &Address, std::function<void(Member &)> Describe);
  void stop();

  /// Handles an exchange that a peer started.
  absl::StatusOr<Json::Value> onExchange(const Json::Value &Params);

  /// Updates the member record of this host.
  void refreshSelf();
  void setLeaving();
  bool isLeaving() const { return this->Leaving; }
  /// Marks the end of this incarnation, for the final notifyPeers().
  void setFinished();
  /// Exchanges with every live peer immediately, for example before this host
  /// leaves, instead of waiting for the next gossip period.
  void notifyPeers();

  FleetView view() const;
  /// The aggregate of all member records; at most one gossip period old.
  std::shared_ptr<const FleetSummary> summary() const;
  Freshness freshness() const;
  /// Evaluates whether the edit at \p Target is in force. Exchanges with the
  /// hosts that have not confirmed it.
  Acknowledgement acknowledgementOf(Offset Target);
  std::vector<PeerAddress> peers() const;
  /// True once \p PeerIncarnation of \p Host has ended, or is presumed to have
  /// ended because the host is unknown or has been silent for longer than
  /// Times.DetachedTimeout.
  bool isPeerUnavailable(const HostId &Host, Incarnation PeerIncarnation) const;
  /// Whether a member record of the host was received.
  bool isKnown(const HostId &Host) const;
  /// Looks up where a host listens; false if the address is unknown.
  bool addressOf(const HostId &Host, Endpoint &Result) const;
  std::vector<EntryAddress> entries(const PlaceId &PreferredPlace) const;
  /// True while a peer at the same offset has a different table.
  bool hasDiverged() const;
  /// Sets the hosts that the platform lists; its entry hosts are peers that can
  /// be found without gossip.
  void setListedHosts(const std::vector<ListedHost> &Hosts);

private:
  void tick();
  size_t randomStart() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Lock);
  void renewSummary() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Lock);
  void exchangeWith(const PeerAddress &Peer);
  Json::Value makeMessage();
  void applyMessage(const Json::Value &Message, Instant ExchangeStart,
                    const Endpoint &From);
  void compareTables(const Json::Value &Message);
  void catchUpFrom(const Endpoint &From, Offset PeerOffset);
  std::vector<PeerAddress> candidates() const;
  bool pickPeer(bool CrossPlace, PeerAddress &Result);

  RouterContext &Context;
  ConfigFollower &Config;
  Endpoint Address;
  std::function<void(Member &)> Describe;
  TimerService::Subscription TickSubscription = 0;
  std::atomic<int64_t> Ticks{0};
  std::atomic<bool> Leaving{false};

  mutable Mutex Lock;
  FleetView View;
  std::shared_ptr<const FleetSummary> Summary;
  std::map<Offset, AcknowledgementState> Watches;
  std::vector<PeerAddress> Listed;
  bool Diverged = false;
  Offset ConfirmedBeforeDivergence = NoOffset;
  absl::BitGen Random;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_FLEET_LINK_H
