//===- exchange.h - Event-driven HTTP/1.1 on one loop -----------*- C++ -*-===//
//
// Connections from callers, connections to upstreams and small calls to other
// services, all on one Boost.Asio loop and never blocking. An Exchange relays
// callers' requests to replicas; what it may decide comes from the table, the
// registry and the hooks that it is given.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_H
#define BERYLRAMP_EXCHANGE_H

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "berylramp/cascade.h"
#include "berylramp/observe.h"
#include "berylramp/rollout.h"
#include "berylramp/routes.h"
#include "berylramp/timer.h"
#include "berylramp/upstreams.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace berylramp {

using HeaderField = std::pair<std::string, std::string>;

/// The first field of \p Fields named \p Name in any case, or null.
const std::string *findHeader(const std::vector<HeaderField> &Fields,
                              absl::string_view Name);

/// A whole request of a caller.
struct HttpRequest {
  std::string Method;
  /// Path and query as they stood in the request line.
  std::string Target;
  std::vector<HeaderField> Headers;
  std::string Body;
  Instant ArrivedAt;
};

/// Status line and header of an answer.
struct HttpHead {
  int Status = 0;
  std::string Reason;
  std::vector<HeaderField> Headers;
};

/// Answers one request. Each method may be called from the loop only.
class Responder {
public:
  virtual ~Responder() = default;
  /// Sends a whole answer; \p CloseAfter ends the connection behind it.
  virtual void sendWhole(const HttpHead &Head, const std::string &Body,
                         bool CloseAfter) = 0;
  virtual void beginStream(const HttpHead &Head) = 0;
  virtual void sendPart(std::string Part) = 0;
  virtual void endStream() = 0;
  /// Closes the connection so that the answer cannot look complete.
  virtual void abort() = 0;
  /// Called at most once, when the caller closes before the answer's end.
  virtual void onCallerGone(std::function<void()> Call) = 0;
};

using ResponderPtr = std::shared_ptr<Responder>;
using RequestHandler = std::function<void(HttpRequest, ResponderPtr)>;

/// Calls subscribers on the loop.
class LoopTimer : public TimerService {
public:
  explicit LoopTimer(boost::asio::io_context &Loop);
  ~LoopTimer() override;

  Instant now() const override;
  absl::Time wallNow() const override;
  Subscription schedulePeriodic(absl::Duration Period, Callback Call) override;
  void cancel(Subscription Which) override;
  /// Calls \p Call once after \p Delay unless cancelled.
  Subscription after(absl::Duration Delay, Callback Call);

private:
  struct Entry {
    explicit Entry(boost::asio::io_context &Loop) : Clock(Loop) {}
    boost::asio::steady_timer Clock;
    absl::Duration Period;
    bool Repeats = true;
    Callback Call;
  };
  void arm(Subscription Which);

  boost::asio::io_context &Loop;
  std::map<Subscription, std::unique_ptr<Entry>> Entries;
  Subscription Next = 1;
};

/// Accepts connections on one address and hands over whole requests.
class HttpListener {
public:
  /// \p Limits is asked anew for each request.
  HttpListener(boost::asio::io_context &Loop, TimerService &Timer,
               std::function<CallerLimits()> Limits, RequestHandler Handler);
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~HttpListener();

  absl::Status listen(const Endpoint &At);
  /// From now on each answer asks its caller to close the connection.
  void startLeaving();
  /// Closes the listening socket and all connections.
  void close();
  size_t connections() const;
  /// The port in use, also when 0 was asked for.
  int port() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
};

/// A small call to another service of the system or the platform.
struct OutgoingCall {
  std::string Method = "GET";
  std::string Target;
  std::string ContentType;
  std::string Body;
  absl::Duration Timeout = absl::Seconds(2);
  /// The longest time without a byte of the answer.
  absl::Duration SilenceTime = absl::InfiniteDuration();
};

struct CallAnswer {
  int Status = 0;
  std::string Body;
};

using CallDone = std::function<void(absl::StatusOr<CallAnswer>)>;

/// Calls one address over one kept connection, one call at a time.
class HttpCaller {
public:
  HttpCaller(boost::asio::io_context &Loop, TimerService &Timer, Endpoint To);
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~HttpCaller();
  /// Queues \p Call. \p Done gets Unavailable when nothing was sent and
  /// DeadlineExceeded or Unknown when the call may have taken effect.
  void call(OutgoingCall Call, CallDone Done);

private:
  struct State;
  std::shared_ptr<State> Shared;
};

/// The headers that carry the router's facts, as the adapter spells them.
struct HeaderNames {
  std::string RequestId;
  /// Milliseconds that the caller or replica has left.
  std::string DeadlineMs;
  std::string LastEventId;
  /// Proves that a replica made the answer.
  std::string Signature;
  std::string Workspace;
  std::string ExpectReplica;
  /// "running,waiting,slots" of the replica that answers.
  std::string ReplicaLoad;
  /// The replica did not run the request.
  std::string NotRun;
  std::string Model;
  /// "prompt tokens,most output tokens".
  std::string TokenCounts;
  /// "part:tokens" of the prompt, comma-separated.
  std::string PromptParts;
  /// 0 is the most urgent.
  std::string Urgency;
  /// The model's own opinion of its answer, 0 to 100.
  std::string Confidence;
  std::string LengthHint;
  std::string Session;
  /// Stands before the key in Authorization.
  std::string KeyScheme;
  /// What a caller may not set itself.
  std::vector<std::string> Reserved;
  /// The model name by which a caller leaves the choice open.
  std::string AnyModel;
};

/// How an Exchange behaves; the durations' sources stand with the values.
struct ExchangeSettings {
  HeaderNames Names;
  /// Time to open a connection to a replica.
  absl::Duration ConnectTime = absl::Milliseconds(400);
  /// Silence within an event stream after which another replica goes on.
  absl::Duration SilenceTime = absl::Milliseconds(6000);
  /// Age up to which a kept connection is reused.
  absl::Duration KeepIdle = absl::Seconds(3);
  /// Requests over slots above which new work is refused.
  double RefuseAbove = 2.5;
  /// Second attempts for each first one to a service, over all hosts, and
  /// the share of the operators' slack that this host may use up.
  double RetryRatio = 0.7;
  double RetrySlack = 3;
  CascadeSettings Cascade;
};

/// What the exchange asks of the rest of the daemon.
struct ExchangeHooks {
  /// The table in force, or null before one is known.
  std::function<RouteTablePtr()> Table;
  /// The versions a request may use; \p Draw in [0, 1) is equal for requests
  /// of one session.
  std::function<VersionRule(const ServiceId &, double Draw)> VersionFor;
  /// An answer of \p Version was good or bad; the time is to its first byte.
  std::function<void(const ServiceId &, const VersionId &, bool Good,
                     absl::Duration FirstByte)>
      Judge;
  /// True once new requests must go to another host.
  std::function<bool()> RefusesNew;
  /// Work was sent to a replica; tells hosts that use the same replicas.
  std::function<void(const Replica &, absl::Duration Work)> SentWork;
  /// A replica was found to be another one.
  std::function<void(const UpstreamId &)> Misdirected;
};

struct RelayCore;

/// Relays callers' requests to replicas.
class Exchange {
public:
  Exchange(boost::asio::io_context &Loop, TimerService &Timer,
           Metrics &Counters, UpstreamRegistry &Registry,
           ExchangeSettings Settings, ExchangeHooks Hooks);
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~Exchange();

  void handle(HttpRequest Request, ResponderPtr Answer);
  /// Second attempts that may be saved up for each service.
  void setRetrySlack(double Slack);
  /// Requests under way.
  size_t active() const;
  /// Breaks off what is still under way, streams between two events.
  void abortAll();
  /// Closes kept connections that were idle for too long.
  void sweep();

private:
  std::shared_ptr<RelayCore> Shared;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_H
