//===- edge.h - The entry daemon on a platform ------------------*- C++ -*-===//
//
// Combines the route table, the replica registry, roll-outs, gossip and the
// exchange in one daemon. The structs of functions below are the interface to
// the platform; an adapter implements them.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EDGE_H
#define BERYLRAMP_EDGE_H

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "berylramp/exchange.h"
#include "berylramp/observe.h"
#include "berylramp/rollout.h"
#include "berylramp/routes.h"
#include "berylramp/units.h"
#include "berylramp/upstreams.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylramp {

/// Bounds set by the platform's operators.
struct HostBounds {
  /// Longest time after the start of a replica's drain in which requests may
  /// still be sent to it.
  absl::Duration DrainTimeout = absl::Milliseconds(2500);
  /// Time from SIGTERM to SIGKILL.
  absl::Duration GracePeriod = absl::Seconds(8);
  /// Retries per first attempt, and additional retries, that all hosts together
  /// may make.
  double RetryRatio = 0.2;
  double RetrySlack = 10;
  /// The sliding window in which the operators count them.
  absl::Duration RetryWindow = absl::Seconds(10);
  ExposureBounds Exposure;
  /// A cold replica receives at most ColdOvershoot times the rate that its
  /// service tolerates and ColdSlack further requests in any second.
  double ColdOvershoot = 1.5;
  double ColdSlack = 5;
  /// Maximum time for which callers may cache an answer of the directory.
  absl::Duration MaxAddressTtl = absl::Seconds(5);
};

/// Configuration of a host, read at its start.
struct HostConfig {
  HostId Name;
  PlaceId Place;
  std::string Region;
  /// Region of each data centre.
  std::map<PlaceId, std::string> Regions;
  std::string Ip;
  Endpoint Callers;
  Endpoint Ready;
  Endpoint Directory;
  /// Port 0 disables calls between hosts.
  Endpoint Peers;
  /// UDP port for datagrams between hosts, and TCP port for tunnels.
  int GossipPort = 0;
  std::vector<Endpoint> Seeds;
  Endpoint Store;
  /// Memory that the host's process may use.
  int64_t MemoryBytes = 128LL << 20;
  /// Descriptors that it may have open; unless stated, those that the process's
  /// limits allow.
  std::optional<int64_t> MaxDescriptors;
  HostBounds Bounds;
};

/// The topics of the platform's store that the router uses.
enum class StoreTopic {
  /// Written by the operators.
  Operators,
  /// Written by replicas.
  Replicas,
  /// States of roll-outs and inputs in quarantine, written by the router.
  RolloutStates,
  /// Addresses of hosts, written by the router.
  Hosts
};

/// A record of a key.
struct StoreRecord {
  std::string Key;
  /// Empty when the key was deleted.
  std::optional<std::string> Value;
};

struct StorePage {
  std::vector<StoreRecord> Records;
  /// Offset of the next read.
  Offset Next;
  /// The era of the store that returned the page.
  StoreEra Era;

  StorePosition position() const { return {this->Era, this->Next}; }
};

using PageCallback = std::function<void(absl::StatusOr<StorePage>)>;
using AppendCallback = std::function<void(absl::Status)>;

/// The platform's store. Errors: OutOfRange when the requested records were
/// deleted, FailedPrecondition when the topic did not end at the position,
/// ResourceExhausted when the rate of calls is too high, Unavailable when the
/// call had no effect; after other errors the call may have taken effect.
struct StorePort {
  /// Reads the newest record of each key.
  std::function<void(StoreTopic, PageCallback)> Newest;
  /// Reads records from an offset on; waits for the first one for at most the
  /// given duration.
  std::function<void(StoreTopic, Offset, absl::Duration, PageCallback)> Read;
  /// Appends one record if the topic ends at the position; NoOffset appends
  /// unconditionally.
  std::function<void(StoreTopic, StoreRecord, StorePosition, AppendCallback)>
      Append;
};

/// Kind of a key in the operators' topic.
enum class OperatorKey { Table, Rollout, Evacuation, Other };

/// The platform's encoding of records, headers and directory answers.
struct PlatformCodec {
  HeaderNames Headers;
  std::string ReadyPath;
  std::string ResolvePath;
  std::string RegionParameter;
  std::string PlaceParameter;
  /// Names the host name that the caller will use.
  std::string NameParameter;
  std::function<std::string(const std::vector<Endpoint> &, absl::Duration)>
      EncodeAddresses;
  std::function<OperatorKey(const std::string &Key)> Classify;
  std::function<absl::StatusOr<RouteTable>(const std::string &)> DecodeTable;
  std::function<absl::StatusOr<RolloutOrder>(const std::string &)>
      DecodeRollout;
  /// Returns the data centre that a record's key evacuates.
  std::function<absl::StatusOr<PlaceId>(const std::string &Key)>
      DecodeEvacuationKey;
  std::function<absl::StatusOr<ReplicaEntry>(const std::string &Key,
                                             const std::string &)>
      DecodeReplica;
  std::function<StoreRecord(const RolloutOrder &, RolloutState)>
      EncodeRolloutState;
  /// Returns the roll-out's target and its state.
  std::function<absl::StatusOr<std::pair<VersionId, RolloutState>>(
      const std::string &)>
      DecodeRolloutState;
  /// The record of an input in quarantine, in the topic of roll-out states.
  std::function<StoreRecord(uint64_t Input)> EncodeQuarantine;
  /// The input in quarantine that a record's key names, or nothing.
  std::function<std::optional<uint64_t>(const std::string &Key)>
      DecodeQuarantineKey;
  /// Returns the key of the service's roll-out state.
  std::function<std::string(const ServiceId &)> RolloutKey;
};

/// The platform's implementation of the interfaces that the daemon uses.
struct EdgePlatform {
  StorePort Store;
  PlatformCodec Codec;
};

/// Settings of the daemon.
struct EdgeSettings {
  /// Minimum time between reads of the replica entries. It is well below the
  /// drain timeout.
  absl::Duration ReplicaReadInterval = absl::Milliseconds(600);
  /// Time that a read waits for the operators' next record. The store may not
  /// return a record to a waiting read before the wait ends, so this timeout
  /// and a peer's read interval together are well below the time in which a
  /// table must be in force.
  absl::Duration OperatorPollTimeout = absl::Milliseconds(1000);
  /// The same for roll-out states, which peers transfer to each other too.
  absl::Duration RolloutStatePollTimeout = absl::Seconds(8);
  /// Timeout of a read of a page of the store's newest records. A page has up
  /// to 1 MB, and all hosts of a region may request it at the same time.
  absl::Duration PageTimeout = absl::Seconds(6);
  /// Maximum time without data during such a read, so that a call that the
  /// store lost is repeated soon after the store recovered.
  absl::Duration PageIdleTimeout = absl::Seconds(2);
  /// Time between requests to the host that reads the store for the region.
  absl::Duration PeerReadInterval = absl::Milliseconds(500);
  /// Time within which the hosts write their own records again after the store
  /// returned from an older copy.
  absl::Duration RewriteSpread = absl::Seconds(3);
  /// Time between rounds of datagrams, and the number of live peers that
  /// receive one in each round.
  absl::Duration GossipInterval = absl::Milliseconds(500);
  int GossipTargets = 3;
  /// Time for which callers cache the directory's answers.
  absl::Duration AddressTtl = absl::Seconds(2);
  /// Time from SIGTERM until new requests are refused. By then callers have
  /// queried the directory again and use other hosts.
  absl::Duration RefuseNewDelay = absl::Milliseconds(2500);
  /// Time before the end of the grace period at which open connections are
  /// closed.
  absl::Duration CloseMargin = absl::Milliseconds(700);
  CascadeSettings Cascade;
  /// Time without an event after which a stream continues at another replica.
  absl::Duration StreamIdleTimeout = ExchangeSettings().StreamIdleTimeout;
};

/// The daemon of one host.
class EdgeDaemon {
public:
  EdgeDaemon(boost::asio::io_context &Loop, LoopTimer &Timer, HostConfig Config,
             EdgePlatform Platform, EdgeSettings Settings);
  ~EdgeDaemon();

  /// Listens on all addresses and starts to read the store.
  absl::Status start();
  /// Serves the metrics, after start(). Their connections count like those of
  /// the other listeners.
  absl::Status serveMetrics(const Endpoint &ListenAddress);
  /// Shuts down gracefully: announces that the host is leaving, finishes the
  /// requests in progress, then calls \p Done.
  void stop(std::function<void()> Done);
  /// Applies a settings file that was read again; only new seeds take effect.
  void reload(const HostConfig &Config);

  Metrics &metrics();
  std::string metricsText();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_H
