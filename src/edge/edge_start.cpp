//===- edge_start.cpp - Joins the parts and opens the addresses -----------===//

#include "edge_state.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "berylramp/json.h"
#include <algorithm>
#include <ctime>

namespace berylramp {

namespace {

/// Work of at least this long is told to the hosts of the data centre: shorter
/// prompts delay others by less than the words about them would cost.
constexpr absl::Duration WorkToTell = absl::Milliseconds(80);

/// Part of the bound on work for a leaving replica after which its record is
/// read; the rest covers the way to the other hosts and a failed read.
constexpr double ReadPart = 0.24;

/// While the store fails, reads of the replicas' entries find out when it is
/// back; the other topics are read then.
constexpr absl::Duration RareRetry = absl::Seconds(5);

/// Time in which seeds that live are heard, and the longest pause between
/// calls about the hosts' addresses.
constexpr absl::Duration FirstHostsRetry = absl::Milliseconds(1500);
constexpr absl::Duration LongestHostsRetry = absl::Seconds(12);

} // namespace

ExchangeSettings EdgeDaemon::State::exchangeSettings() const {
  ExchangeSettings Out;
  Out.Names = this->Platform.Codec.Headers;
  const HostBounds &Bounds = this->Facts.Bounds;
  Out.RetryRatio = Bounds.RetryRatio * RetryPart;
  Out.RetrySlack = std::max(1.0, Bounds.RetrySlack * SlackPart /
                                     static_cast<double>(this->hosts()));
  Out.Cascade = this->Settings.Cascade;
  return Out;
}

ExchangeHooks EdgeDaemon::State::exchangeHooks() {
  ExchangeHooks Hooks;
  Hooks.Table = [this] { return this->Table; };
  Hooks.VersionFor = [this](const ServiceId &Service, double Draw) {
    return this->Rollouts->versionFor(Service, Draw);
  };
  Hooks.Judge = [this](const ServiceId &Service, const VersionId &Version,
                       bool Good, absl::Duration FirstByte) {
    this->Rollouts->judge(Service, Version, Good, FirstByte);
  };
  Hooks.RefusesNew = [this] {
    return this->Leaving &&
           this->Timer.now() - this->LeavingSince > this->Settings.ServeNewFor;
  };
  Hooks.SentWork = [this](const Replica &To, absl::Duration Work) {
    if (Work >= WorkToTell)
      this->Link->tellWork({To.IdHash, absl::ToInt64Milliseconds(Work)},
                           To.Entry.Place);
  };
  Hooks.Misdirected = [this](const UpstreamId &Id) {
    Json::Value Line(Json::objectValue);
    Line["replica"] = Id.text();
    logEvent(LogLevel::Warn, "replica_misdirected", Line);
    this->Registry.evict(Id, this->Timer.now());
  };
  return Hooks;
}

std::unique_ptr<HttpListener>
EdgeDaemon::State::listener(RequestHandler Handler) {
  return std::make_unique<HttpListener>(
      this->Loop, this->Timer,
      [this] { return this->Table ? this->Table->Limits : CallerLimits(); },
      std::move(Handler));
}

absl::Status EdgeDaemon::State::start() {
  RolloutDesk::Ports Ports;
  Ports.Write = [this](const RolloutOrder &Order, RolloutState Next,
                       AppendDone Done) {
    // Without the states so far, an end state might be written over.
    if (this->States->next() == NoOffset) {
      Done(absl::FailedPreconditionError("the states were not read yet"));
      return;
    }
    this->Platform.Store.Append(
        StoreTopic::RolloutStates,
        this->Platform.Codec.EncodeRolloutState(Order, Next),
        this->States->next(), std::move(Done));
  };
  Ports.Urge = [this] {
    this->Peers.self().Rollouts = this->Rollouts->notes();
    this->Link->spread();
  };
  Ports.Rank = [this] { return this->rank(); };
  Ports.Now = [this] { return this->Timer.now(); };
  Ports.Replicas = [this](const ServiceId &Service, const VersionId &Target) {
    std::pair<size_t, size_t> Counts{0, 0};
    for (const ReplicaPtr &Each : this->Registry.replicasOf(Service))
      if (!Each->Entry.Draining && !Each->Removed)
        (Each->Entry.Version == Target ? Counts.first : Counts.second) += 1;
    return Counts;
  };
  this->Rollouts = std::make_unique<RolloutDesk>(this->Facts.Bounds.Exposure,
                                                 std::move(Ports));
  this->Relays = std::make_unique<Exchange>(
      this->Loop, this->Timer, this->Counters, this->Registry,
      this->exchangeSettings(), this->exchangeHooks());
  this->Callers = this->listener([this](HttpRequest Request, ResponderPtr To) {
    this->Relays->handle(std::move(Request), std::move(To));
  });
  this->Ready = this->listener(
      [this](const HttpRequest &Request, const ResponderPtr &To) {
        this->serveReady(Request, To);
      });
  this->Directory = this->listener(
      [this](const HttpRequest &Request, const ResponderPtr &To) {
        this->serveDirectory(Request, To);
      });
  this->PeerCalls = this->listener(
      [this](const HttpRequest &Request, const ResponderPtr &To) {
        this->servePeers(Request, To);
      });
  this->Link = std::make_shared<PeerLink>(
      this->Loop, this->Timer, this->Counters, this->Facts, this->Peers,
      this->Settings.GossipTargets);
  this->Link->OnWork = [this](const WorkNote &Note) {
    this->Registry.workElsewhere(Note.Replica, absl::Milliseconds(Note.WorkMs),
                                 this->Timer.now());
  };
  for (const Endpoint &Seed : this->Facts.Seeds)
    this->Peers.introduce(parseIp(Seed.Ip), this->Timer.now());
  absl::Status Opened = this->Link->open();
  Opened.Update(this->Callers->listen(this->Facts.Callers));
  Opened.Update(this->Ready->listen(this->Facts.Ready));
  Opened.Update(this->Directory->listen(this->Facts.Directory));
  if (this->Facts.Peers.Port != 0)
    Opened.Update(this->PeerCalls->listen(this->Facts.Peers));
  if (!Opened.ok())
    return Opened;
  this->noticePause();
  this->follow();
  this->Timer.schedulePeriodic(TickEvery, [this] { this->tick(); });
  this->Timer.schedulePeriodic(SweepEvery, [this] { this->sweep(); });
  this->Timer.schedulePeriodic(this->Settings.PeerReads,
                               [this] { this->askPeer(); });
  this->Timer.schedulePeriodic(this->Settings.GossipEvery, [this] {
    this->Peers.self().Rollouts = this->Rollouts->notes();
    this->Link->spread();
  });
  return absl::OkStatus();
}

/// Most hosts go over to a peer's records right after their first read.
void EdgeDaemon::State::restAtStart(const std::shared_ptr<StoreFollower> &Which,
                                    bool Whole) {
  bool Reads = this->Peers.self().Store == StoreUse::Reads;
  if (Whole && !Reads)
    Which->pause();
}

void EdgeDaemon::State::follow() {
  this->DirectSince = this->Timer.now();
  auto Follow = [this](FollowPlan Plan, StoreFollower::Hear Heard) {
    auto Made =
        std::make_shared<StoreFollower>(this->Platform.Store, this->Timer,
                                        this->Counters, Plan, std::move(Heard));
    Made->start();
    return Made;
  };
  this->Operators =
      Follow({StoreTopic::Operators, "operators", this->Settings.OperatorWait,
              absl::ZeroDuration(), RareRetry},
             [this](const StorePage &Page, bool Whole) {
               this->operatorRecords(Page.Records, Page.Next);
               this->Book.reached(StoreTopic::Operators, Page.Next, Whole);
               this->restAtStart(this->Operators, Whole);
             });
  this->States =
      Follow({StoreTopic::RolloutStates, "rollout_states",
              this->Settings.StateWait, absl::ZeroDuration(), RareRetry},
             [this](const StorePage &Page, bool Whole) {
               this->stateRecords(Page.Records, Page.Next);
               this->Book.reached(StoreTopic::RolloutStates, Page.Next, Whole);
               this->restAtStart(this->States, Whole);
             });
  absl::Duration Period = std::max(this->Settings.ReplicaReads,
                                   this->Facts.Bounds.Drain * ReadPart);
  this->Replicas =
      Follow({StoreTopic::Replicas, "replicas", absl::ZeroDuration(), Period},
             [this](const StorePage &Page, bool Whole) {
               this->replicaRecords({Page.Next, Whole, Page.Records},
                                    this->storeJustBack());
               this->Book.reached(StoreTopic::Replicas, Page.Next, Whole);
               this->Operators->nudge();
               this->States->nudge();
             });
  this->announce(FirstHostsRetry);
  this->lookForPeers(FirstHostsRetry);
}

void EdgeDaemon::State::announce(absl::Duration Retry) {
  StoreRecord Own{this->Facts.Name.text(), this->Facts.Ip};
  auto Weak = this->weak_from_this();
  this->Platform.Store.Append(
      StoreTopic::Hosts, Own, NoOffset,
      [Weak, Retry](const absl::Status &Status) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        Json::Value Line(Json::objectValue);
        Line["result"] = Status.ok() ? "ok" : std::string(Status.message());
        logEvent(LogLevel::Info, "host_announced", Line);
        if (!Status.ok())
          Self->Timer.after(Retry, [Weak, Retry] {
            if (auto Again = Weak.lock())
              Again->announce(std::min(Retry * 2, LongestHostsRetry));
          });
      });
}

/// Seeds are heard of first; a host that hears none asks the store.
void EdgeDaemon::State::lookForPeers(absl::Duration Wait) {
  auto Weak = this->weak_from_this();
  this->Timer.after(Wait, [Weak, Wait] {
    auto Self = Weak.lock();
    if (!Self || !Self->Peers.live(Self->Timer.now()).empty())
      return;
    Self->Platform.Store.Newest(StoreTopic::Hosts,
                                [Weak](const absl::StatusOr<StorePage> &Page) {
                                  auto Asked = Weak.lock();
                                  if (Asked && Page.ok())
                                    Asked->hostRecords(Page->Records);
                                });
    Self->lookForPeers(std::min(Wait * 2, LongestHostsRetry));
  });
}

} // namespace berylramp
