//===- router.cpp - The router of one entry host --------------------------===//
//
// The order of start and stop matters: the dependencies of a component start
// before it and stop after it.
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
  AdminApi Admin;
  RolloutDriver Rollouts;
  PeerServer Peers;
  Instant LeavingSince;
  bool IsLeaving = false;

  Impl(EntrySettings Settings, RouterPorts Ports, TimerService &Timer,
       Metrics &Counts)
      : Context{std::move(Settings), std::move(Ports), Timer, Counts,
                Incarnation(absl::ToUnixMillis(Timer.wallNow()))},
        Parts(Context), Callers(Parts), Admin(Parts), Rollouts(Parts),
        Peers(Context.Settings.PeerKeys) {}

  void addPeerMethods() {
    this->Peers.add("exchange", [this](const Json::Value &Params) {
      return this->Parts.Fleet.onExchange(Params);
    });
    this->Peers.add("config_snapshot",
                    [this](const Json::Value &) -> absl::StatusOr<Json::Value> {
                      Json::Value Result;
                      Result["snapshot"] = this->Parts.Config.snapshot();
                      return Result;
                    });
    this->Peers.add("hold_bills", [this](const Json::Value &Params) {
      return this->Parts.Bills.onHoldBills(Params);
    });
    this->Peers.add("kept_answer", [this](const Json::Value &Params) {
      return onCachedAnswer(this->Parts, Params);
    });
    this->Peers.add("find_trace", [this](const Json::Value &Params) {
      return this->Admin.onFindTrace(Params);
    });
  }

  void answerPeer(const HttpRequest &Request, HttpReply &Reply) {
    Metrics &Counts = this->Context.Counts;
    absl::StatusOr<std::string> Answer =
        this->Peers.handle(Request.header(PeerMacHeader), Request.Body);
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

  void describeSelf(Member &Record) {
    Instant Now = this->Context.Timer.now();
    Record.ActiveStreams = this->Parts.ActiveRequests;
    Record.LastLoggedBill = this->Parts.Bills.lastLoggedSequence();
    Record.Detail.Demand = this->Parts.Limits.demands(Now);
    Record.Detail.Ratings = this->Parts.Ratings.tallies();
    Record.Detail.Trips = this->Parts.Ratings.trips();
  }
};

Router::Router(EntrySettings Settings, RouterPorts Ports, TimerService &Timer,
               Metrics &Counts)
    : State(std::make_unique<Impl>(std::move(Settings), std::move(Ports), Timer,
                                   Counts)) {
  this->State->addPeerMethods();
}

Router::~Router() = default;

void Router::addRoutes(HttpServer &Server) {
  Impl &Self = *this->State;
  Self.Callers.addRoutes(Server);
  Self.Admin.addRoutes(Server);
  Server.route("POST", PeerPath,
               [&Self](const HttpRequest &Request, HttpReply &Reply) {
                 Self.answerPeer(Request, Reply);
               });
}

void Router::start(const Endpoint &Address) {
  Impl &Self = *this->State;
  RouterParts &Parts = Self.Parts;
  Parts.Fleet.start(Address,
                    [&Self](Member &Record) { Self.describeSelf(Record); });
  Parts.Config.start([&Parts] { Parts.Fleet.refreshSelf(); });
  Parts.Replicas.start([&Parts](const std::vector<ListedHost> &Listed) {
    Parts.Fleet.setListedHosts(Listed);
  });
  Parts.Claims.start();
  Parts.Bills.start();
  Parts.Ratings.start([&Parts](const VersionTrip &Trip) {
    Json::Value Fields;
    Fields["version"] = Trip.Version.text();
    Fields["evidence"] = Trip.Evidence;
    logEvent(LogLevel::Error, "version_tripped", Fields);
    Parts.Fleet.notifyPeers();
  });
  Self.Rollouts.start();
}

void Router::announceLeaving() {
  Impl &Self = *this->State;
  Self.LeavingSince = Self.Context.Timer.now();
  Self.IsLeaving = true;
  Self.Parts.Fleet.setLeaving();
  Self.Parts.Fleet.notifyPeers();
}

bool Router::isDrained() const {
  Impl &Self = *this->State;
  const EntrySettings &Settings = Self.Context.Settings;
  // Hosts that missed the announcement receive it through gossip within
  // PeerSilenceTimeout; otherwise they stop offering this host because they
  // have not received its record.
  absl::Duration Wait = Settings.EntriesTtl + Settings.Times.PeerSilenceTimeout;
  bool Expired = Self.Context.Timer.now() - Self.LeavingSince > Wait;
  return Self.IsLeaving && Expired && Self.Parts.ActiveRequests == 0;
}

void Router::stop() {
  Impl &Self = *this->State;
  RouterParts &Parts = Self.Parts;
  Self.Rollouts.stop();
  Parts.Ratings.stop();
  Parts.Bills.stop();
  Parts.Claims.stop();
  Parts.Replicas.stop();
  Parts.Config.stop();
  if (Self.IsLeaving) {
    Parts.Fleet.setFinished();
    Parts.Fleet.notifyPeers();
  }
  Parts.Fleet.stop();
}

} // namespace berylramp
