//===- exchange.h - Event-driven HTTP/1.1 on one loop -----------*- C++ -*-===//
//
// Connections to upstreams and calls to other services, on the event loop of
// the listeners. An Exchange relays callers' requests to replicas. The route
// table, the upstream registry and the hooks passed to it determine its routing
// decisions.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_H
#define BERYLRAMP_EXCHANGE_H

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "berylramp/cascade.h"
#include "berylramp/dispatch.h"
#include "berylramp/memory_account.h"
#include "berylramp/observe.h"
#include "berylramp/paths.h"
#include "berylramp/quarantine.h"
#include "berylramp/rollout.h"
#include "berylramp/routes.h"
#include "berylramp/serving.h"
#include "berylramp/timer.h"
#include "berylramp/upstreams.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylramp {

/// An HTTP call to another service of the system or the platform.
struct OutgoingCall {
  std::string Method = "GET";
  std::string Target;
  std::string ContentType;
  std::string Body;
  absl::Duration Timeout = absl::Seconds(2);
  /// Maximum time without a received byte.
  absl::Duration IdleTimeout = absl::InfiniteDuration();
};

struct CallAnswer {
  int Status = 0;
  std::vector<HeaderField> Headers;
  std::string Body;
};

using CallCallback = std::function<void(absl::StatusOr<CallAnswer>)>;

/// HTTP client for one address: one keep-alive connection, one call at a time.
class HttpClient {
public:
  HttpClient(boost::asio::io_context &Loop, TimerService &Timer,
             Endpoint Remote);
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~HttpClient();
  /// Queues \p Call. \p Done receives Unavailable if no connection was
  /// established, so that nothing was sent, and DeadlineExceeded or Unknown if
  /// the call may have taken effect.
  void call(OutgoingCall Call, CallCallback Done);

private:
  struct State;
  std::shared_ptr<State> Shared;
};

/// Names of the headers that the router reads and sets, as defined by the
/// platform adapter.
struct HeaderNames {
  std::string RequestId;
  /// Remaining time of the caller or replica in milliseconds.
  std::string DeadlineMs;
  std::string LastEventId;
  /// Its presence shows that a replica produced the answer.
  std::string Signature;
  std::string Workspace;
  std::string ExpectReplica;
  /// "running,waiting,slots" of the answering replica.
  std::string ReplicaLoad;
  /// "1" in the answers of a replica that is shutting down.
  std::string ReplicaLeaving;
  /// Requests per second that the replica takes from all hosts together.
  std::string ReplicaLimit;
  /// Rejections for want of room per second above which the replica ends.
  std::string ReplicaBrittle;
  /// States that the replica did not execute the request.
  std::string NotExecuted;
  std::string Model;
  /// "prompt tokens,maximum output tokens".
  std::string TokenCounts;
  /// Segments of the prompt as comma-separated "segment:tokens" pairs.
  std::string PromptSegments;
  /// 0 is the most urgent.
  std::string Urgency;
  /// The model's confidence in its answer, 0 to 100.
  std::string Confidence;
  std::string LengthHint;
  std::string Session;
  /// Authentication scheme that precedes the key in Authorization.
  std::string KeyScheme;
  /// Headers that are removed from callers' requests.
  std::vector<std::string> Reserved;
  /// Model name with which a caller lets the router choose the model.
  std::string AnyModel;
};

/// Settings of an Exchange.
struct ExchangeSettings {
  HeaderNames Names;
  /// Timeout for opening a connection to a replica.
  absl::Duration ConnectTimeout = absl::Milliseconds(400);
  /// Time without events after which an event stream fails over to another
  /// replica.
  absl::Duration StreamIdleTimeout = absl::Milliseconds(6000);
  /// Maximum idle time after which a connection is still reused.
  absl::Duration MaxIdleTime = absl::Seconds(3);
  /// Maximum bytes of one complete answer. A longer answer is cut.
  size_t MaxAnswerBytes = 2U << 20;
  /// Limits of the bytes that are held for callers, replicas and other hosts.
  MemoryBounds Memory;
  /// Maximum accepted connections of all listeners, and of the tunnel server.
  size_t MaxConnections = 2000;
  size_t MaxTunnels = 500;
  /// Maximum bytes of one event of a stream.
  size_t MaxEventBytes = 256U << 10;
  /// Ratio of requests to slots above which new requests are refused.
  double MaxUtilization = 2.5;
  /// This host's share of the retries to one service.
  RetryShares Retries{0.7, 0.1, 3, absl::Seconds(10)};
  CascadeSettings Cascade;
  DispatchSettings Dispatch;
};

/// Progress of an attempt that shows the quality of a version.
enum class AnswerEvent {
  /// The first byte of an answer without an error, or the first event.
  FirstByte,
  /// A stream has had several events, or has ended.
  Events,
  /// An error, or an answer that did not come or broke off.
  Failure
};

struct AnswerObservation {
  ServiceId Service;
  VersionId Version;
  /// Name of the request's route.
  std::string Route;
  AnswerEvent Event = AnswerEvent::FirstByte;
  /// Time since the request was sent; for Events, the mean time between events.
  absl::Duration Time;
  /// An event of the same attempt was observed before.
  bool Counted = false;
};

/// Callbacks into the rest of the daemon.
struct ExchangeHooks {
  /// The route table in force, or null before the first one has been read.
  std::function<RouteTablePtr()> Table;
  /// The versions that a request may use. \p Draw is in [0, 1) and is the same
  /// for all requests of a session.
  std::function<VersionRule(const ServiceId &, double Draw)> VersionFor;
  /// Observes an attempt until it returns true, which means that the answer is
  /// bad.
  std::function<bool(const AnswerObservation &)> ObserveAnswer;
  /// Remaining time for which such requests are refused, because replicas ended
  /// under them; zero when they are not.
  std::function<absl::Duration(const RequestInput &)> InputRefusedFor;
  /// Whether the request may be sent to another replica after its answer was
  /// cut.
  std::function<bool(const RequestInput &)> MayRepeatInput;
  /// Called when a replica ended before or just after it began an answer.
  std::function<void(const Replica &, const RequestInput &)> OnInputCrash;
  /// Called when a replica wrote an answer for a while, or completely.
  std::function<void(const RequestInput &, Instant SentAt)> OnInputAnswered;
  /// True once this host drains and new requests must go to another host.
  std::function<bool()> RejectsNewRequests;
  /// Called when a prompt was sent to a replica, to notify the other hosts that
  /// use the same replicas.
  std::function<void(const Choice &)> OnWorkSent;
  /// Called when a replica stated for the first time that it is shutting down.
  std::function<void(const Replica &)> OnReplicaLeaving;
  /// Called when an answer named a limit that other hosts do not know yet.
  std::function<void(const NamedLimit &)> OnReplicaLimit;
  /// Called when a brittle replica rejected a request for want of room.
  std::function<void(const Replica &)> OnBrittleFull = [](const Replica &) {};
  /// Chooses the tunnel server of another host in one of \p Regions, not one
  /// of \p Tried, to reach the replica over; nothing when there is none.
  std::function<std::optional<Endpoint>(const Replica &,
                                        const std::vector<Endpoint> &Tried,
                                        const AllowedRegions &Regions)>
      ChoosePeer = [](const Replica &, const std::vector<Endpoint> &,
                      const AllowedRegions &) { return std::nullopt; };
  /// Called when another host did not open a tunnel.
  std::function<void(const Endpoint &Peer)> OnPeerFailed =
      [](const Endpoint &) {};
  /// Called when a different replica answered at the address of this one.
  std::function<void(const UpstreamId &)> OnMisdirected;
};

struct RelayCore;
class TunnelServer;

/// Relays callers' requests to replicas.
class Exchange {
public:
  Exchange(boost::asio::io_context &Loop, TimerService &Timer,
           Metrics &Counters, UpstreamRegistry &Registry,
           ExchangeSettings Settings, ExchangeHooks Hooks);
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~Exchange();

  void handle(CallerRequest Request, ResponderPtr CallerResponder);
  /// Where \p Request would go now, and why, as a JSON object. Sends and counts
  /// nothing. \p Workspace replaces the request's key unless empty.
  Json::Value explain(CallerRequest Request,
                      const WorkspaceId &Workspace) const;
  /// Sets this host's share of the operators' retry slack.
  void setRetrySlack(double Slack);
  /// Number of requests in progress.
  size_t activeRequests() const;
  /// Bounds for the listeners of this exchange's callers.
  ServingBounds servingBounds() const;
  const MemoryAccount &memoryAccount() const;
  /// Metrics of the choice of engines.
  std::vector<Gauge> engineGauges() const;
  /// Number of requests that wait for room.
  size_t waitingRequests() const;
  /// Decides on all waiting requests; to be called when this host starts to
  /// reject new requests.
  void retryWaiting();
  /// The shares of workspaces that this host knows, by hash of the service.
  std::vector<std::pair<uint64_t, WorkspaceShares>> workspaceShares();
  /// Applies the shares that another host reported.
  void mergeShares(uint64_t ServiceHash, const WorkspaceShares &Shares);
  /// Aborts all requests in progress; streams are cut between two events.
  void abortAll();
  /// Closes connections that have exceeded the maximum idle time.
  void closeIdleConnections();
  /// Closes idle tunnels over the hosts that \p IsLeaving names.
  void closeTunnelsOver(const std::function<bool(const Endpoint &)> &IsLeaving);
  /// Tries connections over lost paths to replicas; to be called periodically.
  void probePaths();
  /// Whether this host lost its path to a group of replicas.
  bool hasLostPaths() const;
  /// Opens connections to replicas for other hosts.
  absl::Status serveTunnels(const Endpoint &ListenAddress);
  /// Tunnels that other hosts may still need.
  size_t busyTunnels() const;
  size_t openTunnels() const;
  void closeTunnels();

private:
  std::shared_ptr<RelayCore> Shared;
  std::unique_ptr<TunnelServer> Tunnels;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_H
