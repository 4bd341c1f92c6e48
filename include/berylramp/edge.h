//===- edge.h - The entry daemon on a platform ------------------*- C++ -*-===//
//
// Joins table, registry, roll-outs, gossip and the exchange into one daemon.
// What it needs of a platform are the plain structs of functions below; an
// adapter fills them.
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

/// Bounds that the platform's operators set.
struct HostBounds {
  /// From a replica's leaving to the last request that may reach it.
  absl::Duration Drain = absl::Milliseconds(2500);
  /// From SIGTERM to SIGKILL.
  absl::Duration Grace = absl::Seconds(8);
  /// Second attempts for each first one, and the slack beside them, that all
  /// hosts together may make.
  double RetryRatio = 0.2;
  double RetrySlack = 10;
  ExposureBounds Exposure;
  /// The longest that a caller keeps an answer of the directory.
  absl::Duration MostAddressLife = absl::Seconds(5);
};

/// What a host is told at its start.
struct HostFacts {
  HostId Name;
  PlaceId Place;
  std::string Region;
  /// Region of each data centre.
  std::map<PlaceId, std::string> Regions;
  std::string Ip;
  Endpoint Callers;
  Endpoint Ready;
  Endpoint Directory;
  /// Port 0: hosts do not call each other.
  Endpoint Peers;
  /// For datagrams between hosts.
  int GossipPort = 0;
  std::vector<Endpoint> Seeds;
  Endpoint Store;
  HostBounds Bounds;
};

/// The topics of the platform's store that the router uses.
enum class StoreTopic {
  /// Written by the operators.
  Operators,
  /// Written by replicas.
  Replicas,
  /// State of roll-outs, written by the router.
  RolloutStates,
  /// Addresses of hosts, written by the router.
  Hosts
};

/// The newest or next record of a key.
struct StoreRecord {
  std::string Key;
  /// Empty when the key was dropped.
  std::optional<std::string> Value;
};

struct StorePage {
  std::vector<StoreRecord> Records;
  /// Where the next read continues.
  Offset Next;
};

using PageDone = std::function<void(absl::StatusOr<StorePage>)>;
using AppendDone = std::function<void(absl::Status)>;

/// The platform's store. Errors: OutOfRange when the records asked for were
/// deleted, FailedPrecondition when the topic did not end at the offset,
/// ResourceExhausted when calls are too many, Unavailable when nothing was
/// done, others when the call may have taken effect.
struct StorePort {
  /// The newest record of each key.
  std::function<void(StoreTopic, PageDone)> Newest;
  /// Records from an offset on; waits at most the duration for a first one.
  std::function<void(StoreTopic, Offset, absl::Duration, PageDone)> Read;
  /// Appends one record, where the topic ends at the offset unless negative.
  std::function<void(StoreTopic, StoreRecord, Offset, AppendDone)> Append;
};

/// What a key of the operators' topic stands for.
enum class OperatorKey { Table, Rollout, Other };

/// What a host tells callers of the directory and reads from records.
struct PlatformCodec {
  HeaderNames Headers;
  std::string ReadyPath;
  std::string ResolvePath;
  std::string RegionParameter;
  std::string PlaceParameter;
  std::function<std::string(const std::vector<Endpoint> &, absl::Duration)>
      EncodeAddresses;
  std::function<OperatorKey(const std::string &Key)> Classify;
  std::function<absl::StatusOr<RouteTable>(const std::string &)> DecodeTable;
  std::function<absl::StatusOr<RolloutOrder>(const std::string &)>
      DecodeRollout;
  std::function<absl::StatusOr<ReplicaEntry>(const std::string &Key,
                                             const std::string &)>
      DecodeReplica;
  std::function<StoreRecord(const RolloutOrder &, RolloutState)>
      EncodeRolloutState;
  /// The target and its state.
  std::function<absl::StatusOr<std::pair<VersionId, RolloutState>>(
      const std::string &)>
      DecodeRolloutState;
  /// The key of a roll-out's state.
  std::function<std::string(const ServiceId &)> RolloutKey;
};

/// The parts of the daemon that a platform supplies.
struct EdgePlatform {
  StorePort Store;
  PlatformCodec Codec;
};

/// Settings of the daemon's own; each has a default.
struct EdgeSettings {
  /// Time between reads of the replicas' entries: well under the bound on
  /// work for a leaving replica.
  absl::Duration ReplicaReads = absl::Milliseconds(600);
  /// How long a read waits for the operators' next record. The store may let
  /// a waiting read miss a record until its wait is over: this and a peer's
  /// question lie well within the time in which a table must be in force.
  absl::Duration OperatorWait = absl::Milliseconds(1000);
  /// The same for the states of roll-outs, which peers tell each other too.
  absl::Duration StateWait = absl::Seconds(8);
  /// Time for a page of the store's newest records: it has up to 1 MB, and all
  /// hosts of a region may ask for it at once.
  absl::Duration PageTime = absl::Seconds(6);
  /// The longest silence during such a page: a store that lost the call is
  /// asked again soon after it is back.
  absl::Duration PageSilence = absl::Seconds(2);
  /// Time between questions to the host that reads the store for a region.
  absl::Duration PeerReads = absl::Milliseconds(500);
  /// Time between datagrams, and peers that get one each time.
  absl::Duration GossipEvery = absl::Milliseconds(500);
  int GossipTargets = 3;
  /// How long callers keep the directory's answers.
  absl::Duration AddressLife = absl::Seconds(2);
  /// From SIGTERM until new requests are sent to other hosts: callers have
  /// asked the directory again by then.
  absl::Duration ServeNewFor = absl::Milliseconds(2500);
  /// Before the end of the grace time, to close what is still open.
  absl::Duration ClosingTime = absl::Milliseconds(700);
  CascadeSettings Cascade;
};

/// The daemon of one host.
class EdgeDaemon {
public:
  EdgeDaemon(boost::asio::io_context &Loop, LoopTimer &Timer, HostFacts Facts,
             EdgePlatform Platform, EdgeSettings Settings);
  ~EdgeDaemon();

  /// Opens all addresses and begins to read the store.
  absl::Status start();
  /// Stops in order: takes no new callers, finishes, then calls \p Done.
  void stop(std::function<void()> Done);
  /// The settings file was read again.
  void reload(const HostFacts &Facts);

  Metrics &metrics();
  std::string metricsText();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_H
