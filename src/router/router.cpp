//===- router.cpp - The path of a request, joined up ----------------------===//
//
// Start and stop order matters: whatever a part uses is started before it and
// stopped after it.
//
//===----------------------------------------------------------------------===//

#include "admin_api.h"
#include "berylramp/json.h"
#include "berylramp/rpc.h"
#include "caller_api.h"
#include "parts.h"
#include "rollout_driver.h"

namespace berylramp {

using namespace internal;

struct Router::Impl {
  RouterContext Context;
  RouterParts Parts;
  CallerApi Callers;
  AdminApi Operators;
  RolloutDriver Rollouts;
  PeerServer Peers;
  Instant LeavingSince;
  bool IsLeaving = false;

  Impl(EntrySettings Settings, RouterPorts Ports, TimerService &Timer,
       Metrics &Counts)
      : Context{std::move(Settings), std::move(Ports), Timer, Counts,
                Incarnation(absl::ToUnixMillis(Timer.wallNow()))},
        Parts(Context), Callers(Parts), Operators(Parts), Rollouts(Parts),
        Peers(Context.Settings.PeerKeys) {}

  void addPeerMethods() {
    this->Peers.add("exchange", [this](const Json::Value &Params) {
      return this->Parts.Fleet.onExchange(Params);
    });
    this->Peers.add("config_snapshot",
                    [this](const Json::Value &) -> absl::StatusOr<Json::Value> {
                      Json::Value Out;
                      Out["snapshot"] = this->Parts.Config.snapshot();
                      return Out;
                    });
    this->Peers.add("hold_bills", [this](const Json::Value &Params) {
      return this->Parts.Bills.onHold(Params);
    });
    this->Peers.add("kept_answer", [this](const Json::Value &Params) {
      return onCachedAnswer(this->Parts, Params);
    });
    this->Peers.add("find_trace", [this](const Json::Value &Params) {
      return this->Operators.onFindTrace(Params);
    });
  }

  void answerPeer(const HttpRequest &Request, HttpReply &Reply) {
    Metrics &Counts = this->Context.Counts;
    absl::StatusOr<std::string> Answer =
        this->Peers.answer(Request.header(PeerMacHeader), Request.Body);
    if (!Answer.ok()) {
      Reply.Status = refusalStatus(RefusalKind::BadKey);
      Reply.Body = "{}";
      return;
    }
    Counts.count(Counter::PeerBytesReceived,
                 static_cast<int64_t>(Request.Body.size()));
    Counts.count(Counter::PeerBytesSent, static_cast<int64_t>(Answer->size()));
    Reply.Body = *std::move(Answer);
  }

  void describe(Member &Said) {
    Instant Now = this->Context.Timer.now();
    Said.ActiveStreams = this->Parts.ActiveRequests;
    Said.LastLoggedBill = this->Parts.Bills.loggedUpTo();
    Said.Detail.Demand = this->Parts.Limits.demands(Now);
    Said.Detail.Ratings = this->Parts.Ratings.tallies();
    Said.Detail.Trips = this->Parts.Ratings.trips();
  }
};

Router::Router(EntrySettings Settings, RouterPorts Ports, TimerService &Timer,
               Metrics &Counts)
    : Inner(std::make_unique<Impl>(std::move(Settings), std::move(Ports), Timer,
                                   Counts)) {
  this->Inner->addPeerMethods();
}

Router::~Router() = default;

void Router::addRoutes(HttpServer &Server) {
  Impl &Self = *this->Inner;
  Self.Callers.addRoutes(Server);
  Self.Operators.addRoutes(Server);
  Server.route("POST", PeerPath,
               [&Self](const HttpRequest &Request, HttpReply &Reply) {
                 Self.answerPeer(Request, Reply);
               });
}

void Router::start(const Endpoint &Address) {
  Impl &Self = *this->Inner;
  RouterParts &Parts = Self.Parts;
  Parts.Fleet.start(Address, [&Self](Member &Said) { Self.describe(Said); });
  Parts.Config.start([&Parts] { Parts.Fleet.refreshSelf(); });
  Parts.Replicas.start([&Parts](const std::vector<ListedHost> &Listed) {
    Parts.Fleet.learnListed(Listed);
  });
  Parts.Claims.start();
  Parts.Bills.start();
  Parts.Ratings.start([&Parts](const VersionTrip &Trip) {
    Json::Value Fields;
    Fields["version"] = Trip.Version.text();
    Fields["evidence"] = Trip.Evidence;
    logEvent(LogLevel::Error, "version_tripped", Fields);
    Parts.Fleet.tellAll();
  });
  Self.Rollouts.start();
}

void Router::announceLeaving() {
  Impl &Self = *this->Inner;
  Self.LeavingSince = Self.Context.Timer.now();
  Self.IsLeaving = true;
  Self.Parts.Fleet.setLeaving();
  Self.Parts.Fleet.tellAll();
}

bool Router::isDrained() const {
  Impl &Self = *this->Inner;
  const EntrySettings &Settings = Self.Context.Settings;
  // Hosts that were not told at once hear of it within PeerSilenceTimeout, or
  // stop offering this host for its silence.
  absl::Duration Wait = Settings.EntriesTtl + Settings.Times.PeerSilenceTimeout;
  bool Expired = Self.Context.Timer.now() - Self.LeavingSince > Wait;
  return Self.IsLeaving && Expired && Self.Parts.ActiveRequests == 0;
}

void Router::stop() {
  Impl &Self = *this->Inner;
  RouterParts &Parts = Self.Parts;
  Self.Rollouts.stop();
  Parts.Ratings.stop();
  Parts.Bills.stop();
  Parts.Claims.stop();
  Parts.Replicas.stop();
  Parts.Config.stop();
  if (Self.IsLeaving) {
    Parts.Fleet.setFinished();
    Parts.Fleet.tellAll();
  }
  Parts.Fleet.stop();
}

} // namespace berylramp
