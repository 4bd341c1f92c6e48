//===- edge_state.h - What the daemon consists of ---------------*- C++ -*-===//

#ifndef BERYLRAMP_EDGE_EDGE_STATE_H
#define BERYLRAMP_EDGE_EDGE_STATE_H

#include "berylramp/edge.h"
#include "directory.h"
#include "peer_link.h"
#include "record_book.h"
#include "rollout_desk.h"
#include "store_follower.h"
#include <set>

namespace berylramp {

/// Time between the daemon's regular steps.
inline constexpr absl::Duration TickEvery = absl::Milliseconds(250);
inline constexpr absl::Duration SweepEvery = absl::Seconds(1);
/// Part of the operators' retry allowance that the hosts use by plan; the rest
/// covers their counting in other windows.
inline constexpr double RetryPart = 0.75;
inline constexpr double SlackPart = 0.8;

struct EdgeDaemon::State : std::enable_shared_from_this<EdgeDaemon::State> {
  State(boost::asio::io_context &Loop, LoopTimer &Timer, HostFacts Facts,
        EdgePlatform Platform, EdgeSettings Settings)
      : Loop(Loop), Timer(Timer), Facts(std::move(Facts)),
        Platform(std::move(Platform)), Settings(Settings),
        Registry(this->choiceSettings()), Peers(this->ownState()) {}

  ChoiceSettings choiceSettings() const {
    ChoiceSettings Out;
    Out.OwnPlace = this->Facts.Place;
    for (const auto &[Place, Region] : this->Facts.Regions)
      if (Region == this->Facts.Region && Place != this->Facts.Place)
        Out.SameRegion.push_back(Place);
    return Out;
  }

  PeerState ownState() const {
    PeerState Self;
    Self.Ip = parseIp(this->Facts.Ip);
    Self.Life = Incarnation(absl::ToUnixMillis(absl::Now()));
    Self.Place = this->Facts.Place;
    return Self;
  }

  absl::Status start();
  void follow();
  void announce(absl::Duration Retry);
  void lookForPeers(absl::Duration Wait);
  void restAtStart(const std::shared_ptr<StoreFollower> &Which, bool Whole);
  void tick();
  void sweep();
  void askPeer();
  uint32_t readerOfRegion() const;
  void tellStoreUse(uint32_t Reader);
  bool needsPeer() const;
  void askReader(uint32_t Reader);
  PeerQuery peerQuery() const;
  void askAnyPeer(const std::vector<uint32_t> &From);
  void tookFromReader(const absl::StatusOr<PeerRecords> &Records,
                      uint32_t Reader);
  absl::Duration entriesAge() const;
  void followStore(bool Direct);
  void followTables();
  bool storeServes() const;
  void noticePause();
  std::unique_ptr<HttpListener> listener(RequestHandler Handler);
  ExchangeSettings exchangeSettings() const;
  ExchangeHooks exchangeHooks();

  void operatorRecords(const std::vector<StoreRecord> &Records, Offset ReadTo);
  void takeTable(const StoreRecord &Record, Offset ReadTo);
  void stateRecords(const std::vector<StoreRecord> &Records, Offset ReadTo);
  void replicaRecords(const RecordBatch &Batch, bool JustBack);
  void reached(StoreTopic Topic, StoreFollower &Follower,
               const RecordBatch &Batch);
  bool storeJustBack() const;
  void peerRecords(const PeerRecords &Records);
  void takeReplica(const StoreRecord &Record, Offset ReadTo,
                   absl::Duration Usable);
  void skipped(const std::string &Key, const absl::Status &Why);
  void hostRecords(const std::vector<StoreRecord> &Records);

  bool ready() const {
    return this->Table != nullptr && this->Registry.size() > 0 &&
           !this->Leaving;
  }
  void serveReady(const HttpRequest &Request, const ResponderPtr &Answer);
  void serveDirectory(const HttpRequest &Request, const ResponderPtr &Answer);
  void servePeers(const HttpRequest &Request, const ResponderPtr &Answer);
  void finishStop();
  int rank() const;
  size_t hosts() const;

  boost::asio::io_context &Loop;
  LoopTimer &Timer;
  HostFacts Facts;
  EdgePlatform Platform;
  EdgeSettings Settings;
  Metrics Counters;
  UpstreamRegistry Registry;
  PeerView Peers;
  std::shared_ptr<PeerLink> Link;
  std::unique_ptr<RolloutDesk> Rollouts;
  std::unique_ptr<Exchange> Relays;
  std::shared_ptr<StoreFollower> Operators;
  std::shared_ptr<StoreFollower> States;
  std::shared_ptr<StoreFollower> Replicas;
  std::unique_ptr<HttpListener> Callers;
  std::unique_ptr<HttpListener> Ready;
  std::unique_ptr<HttpListener> Directory;
  std::unique_ptr<HttpListener> PeerCalls;
  RouteTablePtr Table;
  RecordBook Book;
  std::set<std::string> BadKeys;
  Instant NewerTableSince;
  Instant DirectUntil;
  Instant DirectSince;
  /// How new the replicas' entries are that a peer gave.
  Instant PeerEntriesAsOf{-absl::InfiniteDuration()};
  /// Hosts that did not serve as the region's reader, and until when they are
  /// not asked again.
  std::map<uint32_t, Instant> BadReaders;
  /// The boot clock's lead over the steady clock at the last look.
  absl::Duration ClockGap = absl::InfiniteDuration();
  bool Leaving = false;
  Instant LeavingSince;
  std::function<void()> Stopped;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_EDGE_STATE_H
