//===- fleet_link.h - Gossip with the other entry hosts ---------*- C++ -*-===//
//
// One exchange a second with a random peer of the place and one less often
// across places. Passes on members, and confirmations of freshness with their
// age.
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

/// A peer that may hold something for this host.
struct PeerAddress {
  HostId Host;
  PlaceId Place;
  Endpoint Address;
};

class FleetLink {
public:
  FleetLink(RouterContext &Context, ConfigFollower &Config);

  /// \p Describe fills what other parts say about this host.
  void start(const Endpoint &Address, std::function<void(Member &)> Describe);
  void stop();

  /// Answers a peer's exchange.
  absl::StatusOr<Json::Value> onExchange(const Json::Value &Params);

  /// Writes the member record of this host anew.
  void refreshSelf();
  void setLeaving();
  bool isLeaving() const { return this->Leaving; }
  /// Marks the end of this life, for the last tellAll().
  void setFinished();
  /// Tells every peer at once, as before leaving.
  void tellAll();

  FleetView view() const;
  /// What all members say together; at most one gossip period old.
  std::shared_ptr<const FleetSummary> summary() const;
  Freshness freshness() const;
  /// Whether an edit is in force; asks the hosts that have not confirmed.
  Acknowledgement acknowledge(Offset At);
  std::vector<PeerAddress> peers() const;
  bool isPeerGone(const HostId &Host, Incarnation Life) const;
  /// Where a host listens; false when it is not known.
  bool addressOf(const HostId &Host, Endpoint &Out) const;
  std::vector<EntryAddress> entries(const PlaceId &Near) const;
  /// True while a peer at the same offset has another table.
  bool hasDiverged() const;
  /// Entry hosts that the platform lists, to find peers without gossip.
  void learnListed(const std::vector<ListedHost> &Listed);

private:
  void tick();
  size_t drawTurn() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Lock);
  void renewSummary() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Lock);
  void exchangeWith(const PeerAddress &Peer);
  Json::Value makeMessage();
  void takeMessage(const Json::Value &Message, Instant Began,
                   const Endpoint &From);
  void compareTables(const Json::Value &Message);
  void catchUpFrom(const Endpoint &From, Offset Theirs);
  std::vector<PeerAddress> candidates() const;
  bool pickPeer(bool Across, PeerAddress &Out);

  RouterContext &Context;
  ConfigFollower &Config;
  Endpoint Address;
  std::function<void(Member &)> Describe;
  TimerService::Subscription Ticking = 0;
  std::atomic<int64_t> Ticks{0};
  std::atomic<bool> Leaving{false};

  mutable Mutex Lock;
  FleetView View;
  std::shared_ptr<const FleetSummary> Summary;
  std::map<Offset, AcknowledgementState> Watches;
  std::vector<PeerAddress> Listed;
  bool Diverged = false;
  Offset ConfirmedBeforeDivergence = NoOffset;
  absl::BitGen Draws;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_FLEET_LINK_H
