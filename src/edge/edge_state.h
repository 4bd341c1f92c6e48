//===- edge_state.h - State of the entry daemon -----------------*- C++ -*-===//

#ifndef BERYLRAMP_EDGE_EDGE_STATE_H
#define BERYLRAMP_EDGE_EDGE_STATE_H

#include "berylramp/edge.h"
#include "directory.h"
#include "peer_link.h"
#include "quarantine_controller.h"
#include "reader_health.h"
#include "record_cache.h"
#include "rollout_controller.h"
#include "store_follower.h"
#include <set>

namespace berylramp {

/// Interval of the daemon's periodic work.
inline constexpr absl::Duration TickInterval = absl::Milliseconds(250);
inline constexpr absl::Duration SweepInterval = absl::Seconds(1);
/// Interval of the connections that find out whether a lost path works again.
inline constexpr absl::Duration PathProbeInterval = absl::Milliseconds(300);
/// First delay between calls to the store about host addresses. A datagram of a
/// live seed arrives within it.
inline constexpr absl::Duration InitialHostsRetry = absl::Milliseconds(1500);
/// Maximum delay between probes of a store that fails, for the hosts that probe
/// on behalf of their region and for the others.
inline constexpr absl::Duration FrequentProbeDelay = absl::Milliseconds(1200);
inline constexpr absl::Duration RareProbeDelay = absl::Seconds(8);
/// Fractions of the operators' retry bounds. Of the ratio, the rest may be kept
/// from one window to the next; of the slack, it is a margin for hosts that
/// this host does not know.
inline constexpr double RetryRatioFraction = 0.75;
inline constexpr double RetrySlackFraction = 0.8;

/// Path on the peers' listener that tells where a request would go.
inline constexpr const char *ExplainPath = "/peer/where";

/// Time for which a host that failed to open a tunnel is avoided.
inline constexpr absl::Duration PeerFailureTime = absl::Seconds(1);

struct EdgeDaemon::State : std::enable_shared_from_this<EdgeDaemon::State> {
  State(boost::asio::io_context &Loop, LoopTimer &Timer, HostConfig Config,
        EdgePlatform Platform, EdgeSettings Settings)
      : Loop(Loop), Timer(Timer), Config(std::move(Config)),
        Platform(std::move(Platform)), Settings(Settings),
        Registry(this->choiceSettings()), Peers(this->ownState()) {}

  ChoiceSettings choiceSettings() const {
    ChoiceSettings Result;
    Result.OwnPlace = this->Config.Place;
    for (const auto &[Place, Region] : this->Config.Regions)
      Result.Regions[Place] = RegionId(Region);
    for (const auto &[Place, Region] : this->Config.Regions)
      if (Region == this->Config.Region && Place != this->Config.Place)
        Result.SameRegion.push_back(Place);
    return Result;
  }

  PeerState ownState() const {
    PeerState Self;
    Self.Ip = parseIp(this->Config.Ip);
    Self.IncarnationId = Incarnation(absl::ToUnixMillis(absl::Now()));
    Self.Place = this->Config.Place;
    return Self;
  }

  absl::Status start();
  void startFollowers();
  void announceHost(absl::Duration Retry);
  void discoverPeers(absl::Duration Delay);
  void pauseAfterFirstRead(const std::shared_ptr<StoreFollower> &Follower,
                           bool IsSnapshot);
  void tick();
  void sweep();
  void updateRecordSource();
  uint32_t regionReader() const;
  /// Ready or not, the hosts of this region that were seen recently.
  std::vector<const PeerState *> regionPeers() const;
  void limitProbes();
  bool isSettling() const;
  void announceStoreRole(uint32_t Reader);
  /// Whether a peer has announced newer records of the operators for a while.
  bool hasNewerRecords() const;
  bool needsPeerRecords() const;
  void fetchFromReader(uint32_t Reader);
  PeerQuery peerQuery() const;
  void fetchFromAnyPeer(const std::vector<uint32_t> &Candidates);
  void onReaderRecords(const absl::StatusOr<PeerRecords> &Records,
                       uint32_t Reader);
  absl::Duration replicaEntriesAge() const;
  /// Age from which on the replica entries of a reader are too old.
  absl::Duration maxReaderAge() const;
  void setRecordSource(bool Direct);
  /// Follows all topics of the store while another host did not answer.
  void readStoreForNow();
  void resumeTableFollowers();
  bool isStoreAvailable() const;
  void detectHostPause();
  /// A listener with the operators' limits.
  std::unique_ptr<HttpListener> makeListener(RequestHandler Handler);
  /// A listener for the platform and other hosts, whose bodies are small.
  std::unique_ptr<HttpListener> makeServiceListener(RequestHandler Handler);
  ExchangeSettings exchangeSettings() const;
  ExchangeHooks exchangeHooks();
  void addQuarantineHooks(ExchangeHooks &Hooks);
  void createQuarantine();
  void connectLimits();
  std::optional<Endpoint> choosePeer(const Replica &Target,
                                     const std::vector<Endpoint> &Tried,
                                     const AllowedRegions &Regions) const;
  void announcePaths();
  /// Closes idle tunnels over hosts that leave.
  void closeTunnelsOverLeavingHosts();
  /// Tells the other hosts of a limit, and takes this host's part of it.
  void shareLimit(const NamedLimit &News);
  void onLimitReport(const NamedLimit &Report);
  void divideLimits();
  /// Tells the registry of the services in the table whose replicas warm up.
  void applyWarmupRules();
  /// Logs the replicas that turned cold or warm, and takes this host's parts of
  /// what cold ones tolerate.
  void logWarmthChanges();
  struct ReportHandler;
  void onReport(const GossipReport &Report);
  void logLeavingReplica(const UpstreamId &Id, const char *Source) const;

  void applyOperatorRecords(const RecordBatch &Batch);
  void applyRollout(const StoreRecord &Record, Offset ReadTo);
  /// Begins and ends evacuations as \p Batch states.
  void applyEvacuations(const RecordBatch &Batch, const char *Source);
  /// False when it was not in force.
  bool endEvacuation(const std::string &Key, const RecordBatch &Batch,
                     const char *Source);
  void applyTable(const StoreRecord &Record, Offset ReadTo);
  /// Logs the rows whose regions have no data centre.
  void logUnservedRegions(const RouteTable &Changed) const;
  void applyRolloutStates(const std::vector<StoreRecord> &Records,
                          Offset ReadTo);
  /// Finds the recorded states that a snapshot of the topic lacks.
  void findLostStates(const RecordBatch &Snapshot);
  /// Applies a batch that the store or a peer returned.
  void applyBatch(StoreTopic Topic, const RecordBatch &Batch,
                  bool RecentlyRecovered, const char *Source);
  /// Writes this host's record again when the store entered a later era.
  void noteEra(StoreEra Era);
  StoreFollower &follower(StoreTopic Topic) const;
  void applyReplicaRecords(const RecordBatch &Batch, bool RecentlyRecovered);
  bool storeRecentlyRecovered() const;
  void applyPeerRecords(const PeerRecords &Records);
  void applyReplicaRecord(const StoreRecord &Record, Offset ReadTo,
                          absl::Duration GracePeriod);
  void logSkippedRecord(const std::string &Key, const absl::Status &Cause);
  void applyHostRecords(const std::vector<StoreRecord> &Records);

  bool ready() const {
    return this->Table != nullptr && this->Registry.size() > 0 &&
           !this->Leaving;
  }
  void serveReady(const CallerRequest &Request, const ResponderPtr &Responder);
  void serveDirectory(const CallerRequest &Request,
                      const ResponderPtr &Responder);
  void servePeers(const CallerRequest &Request, const ResponderPtr &Responder);
  void serveExplanation(const CallerRequest &Request,
                        const ResponderPtr &Responder);
  void finishStop();
  void closeAll();
  int writerRank() const;
  size_t hostCount() const;
  double retrySlackShare() const;

  boost::asio::io_context &Loop;
  LoopTimer &Timer;
  HostConfig Config;
  EdgePlatform Platform;
  EdgeSettings Settings;
  Metrics Counters;
  UpstreamRegistry Registry;
  PeerTable Peers;
  LimitMembers Sharing{{this->Peers.self().Ip, this->Config.Place}};
  /// This host takes no part of a limit before: it may not have heard of the
  /// other hosts yet.
  Instant SharesLimitsAt;
  std::shared_ptr<PeerLink> Link;
  std::unique_ptr<QuarantineController> Quarantine;
  std::unique_ptr<RolloutController> Rollouts;
  std::unique_ptr<Exchange> Relayer;
  std::shared_ptr<StoreFollower> Operators;
  std::shared_ptr<StoreFollower> States;
  std::shared_ptr<StoreFollower> Replicas;
  std::unique_ptr<HttpListener> CallerListener;
  std::unique_ptr<HttpListener> ReadyListener;
  std::unique_ptr<HttpListener> DirectoryListener;
  std::unique_ptr<HttpListener> PeerListener;
  std::unique_ptr<HttpListener> MetricsListener;
  RouteTablePtr Table;
  RecordCache Cache;
  std::set<std::string> SkippedKeys;
  /// The era in which the evacuation of a data centre was last stated, by the
  /// key of its record.
  std::map<std::string, StoreEra> Evacuations;
  /// The latest era of the store that a page or a peer stated.
  std::optional<StoreEra> LatestEra;
  /// Until when a host that has just started waits for gossip of a reader, at
  /// most and if it knows no host with a lower address.
  Instant SettledAt;
  Instant ClaimAt;
  Instant NewerRecordsSince;
  /// The last records were requested from a peer that announced newer ones.
  bool AsksNewer = false;
  Instant DirectReadUntil;
  /// When the replica entries received from a peer were read from the store.
  Instant PeerEntriesAsOf{-absl::InfiniteDuration()};
  ReaderHealth Readers;
  /// Difference between the boot clock and the steady clock at the last
  /// reading; infinite before the first one.
  absl::Duration ClockGap = absl::InfiniteDuration();
  /// When other hosts last failed to open a tunnel, by address.
  std::map<uint32_t, Instant> FailedPeers;
  bool Leaving = false;
  Instant LeavingSince;
  std::function<void()> OnStopped;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_EDGE_STATE_H
