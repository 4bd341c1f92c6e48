//===- edge_start.cpp - Start of the entry daemon -------------------------===//

#include "edge_state.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "berylramp/json.h"
#include <algorithm>
#include <ctime>

namespace berylramp {

namespace {

/// Minimum prefill time of a prompt that is reported to the hosts of the
/// replica's data centre. The delay that shorter prompts cause does not justify
/// the cost of the datagrams.
constexpr absl::Duration MinReportedWork = absl::Milliseconds(20);
/// Shared segments of a prompt are reported if they have this many tokens.
constexpr int64_t MinReportedTokens = 1000;
/// Time between digests of the prompts that this host sent.
constexpr absl::Duration WorkDigestInterval = absl::Milliseconds(50);

/// Maximum body of a request to the listeners for the platform and other hosts.
/// Only questions of berylramp-inspect have one, of at most some kilobytes. Its
/// JSON takes a hundred times its bytes once it is parsed.
constexpr int64_t MaxServiceBodyBytes = 64LL << 10;

/// Fraction of the host's memory that one complete answer may take.
constexpr double MaxAnswerFraction = 1.0 / 64;
/// Fraction of the host's memory that waiting requests may take.
constexpr double MaxWaitingFraction = 1.0 / 16;

/// Descriptors that are left for files.
constexpr int64_t FileDescriptors = 200;
/// Fractions of the host's sockets that accepted connections and the tunnels of
/// other hosts, of two sockets each, may take. The rest is for connections to
/// replicas, the store and other hosts.
constexpr double ConnectionFraction = 0.5;
constexpr double TunnelFraction = 0.125;

/// Interval of the reads of replica entries as a fraction of the drain timeout.
/// The rest covers the transfer to the other hosts and one failed read.
constexpr double ReadIntervalFraction = 0.24;

/// Maximum delay after failed reads of the operators' records and roll-out
/// states. It is long because the reads of the replica entries detect that the
/// store recovered, and the other topics are read then.
constexpr absl::Duration MaxTableBackoff = absl::Seconds(5);

/// Time in which the gossip of a region's reader reaches a host that has just
/// started, before jitter. With it, the host reads again before the operators'
/// bounds on the age of its records apply to it.
constexpr absl::Duration SettleTime = absl::Milliseconds(2000);
/// Time in which such a host learns the addresses of a few dozen peers.
constexpr absl::Duration ClaimDelay = absl::Milliseconds(800);

/// Maximum delay between calls to the store about host addresses.
constexpr absl::Duration MaxHostsRetry = absl::Seconds(12);

RecordBatch batchOf(const StorePage &Page, bool IsSnapshot) {
  return {Page.Era, Page.Next, IsSnapshot, Page.Records};
}

} // namespace

ExchangeSettings EdgeDaemon::State::exchangeSettings() const {
  ExchangeSettings Result;
  Result.Names = this->Platform.Codec.Headers;
  const HostBounds &Bounds = this->Config.Bounds;
  Result.Retries.Ratio = Bounds.RetryRatio * RetryRatioFraction;
  Result.Retries.KeptRatio = Bounds.RetryRatio * (1 - RetryRatioFraction);
  Result.Retries.Slack = this->retrySlackShare();
  Result.Retries.Window = Bounds.RetryWindow;
  Result.Cascade = this->Settings.Cascade;
  Result.StreamIdleTimeout = this->Settings.StreamIdleTimeout;
  auto Memory = static_cast<double>(this->Config.MemoryBytes);
  Result.MaxAnswerBytes = static_cast<size_t>(Memory * MaxAnswerFraction);
  Result.Memory = memoryBounds(this->Config.MemoryBytes);
  int64_t Descriptors =
      this->Config.MaxDescriptors.value_or(descriptorsOfProcess());
  auto Sockets =
      static_cast<double>(std::max<int64_t>(Descriptors - FileDescriptors, 1));
  Result.MaxConnections = static_cast<size_t>(Sockets * ConnectionFraction);
  Result.MaxTunnels = static_cast<size_t>(Sockets * TunnelFraction);
  Result.Dispatch.MaxWaitingBytes =
      static_cast<size_t>(Memory * MaxWaitingFraction);
  return Result;
}

ExchangeHooks EdgeDaemon::State::exchangeHooks() {
  ExchangeHooks Hooks;
  Hooks.Table = [this] { return this->Table; };
  Hooks.VersionFor = [this](const ServiceId &Service, double Draw) {
    return this->Rollouts->versionFor(Service, Draw);
  };
  Hooks.ObserveAnswer = [this](const AnswerObservation &Observation) {
    return this->Rollouts->observe(Observation);
  };
  this->addQuarantineHooks(Hooks);
  Hooks.ChoosePeer = [this](const Replica &Target,
                            const std::vector<Endpoint> &Tried,
                            const AllowedRegions &Regions) {
    return this->choosePeer(Target, Tried, Regions);
  };
  Hooks.OnPeerFailed = [this](const Endpoint &Peer) {
    this->FailedPeers[parseIp(Peer.Ip)] = this->Timer.now();
  };
  Hooks.RejectsNewRequests = [this] {
    return this->Leaving && this->Timer.now() - this->LeavingSince >
                                this->Settings.RefuseNewDelay;
  };
  Hooks.OnWorkSent = [this](const Choice &Chosen) {
    int64_t SharedTokens = 0;
    for (const PromptSegment &Segment : Chosen.Use.Shared)
      SharedTokens += Segment.Tokens;
    if (Chosen.PrefillTime < MinReportedWork &&
        SharedTokens < MinReportedTokens)
      return;
    WorkReport Report{Chosen.Target->IdHash,
                      absl::ToInt64Milliseconds(Chosen.PrefillTime),
                      Chosen.Use};
    if (SharedTokens < MinReportedTokens)
      Report.Use.Shared.clear();
    this->Link->addWork(std::move(Report), Chosen.Target->Entry.Place);
  };
  Hooks.OnReplicaLeaving = [this](const Replica &Leaving) {
    this->logLeavingReplica(Leaving.Entry.Id, "answer");
    this->Link->sendReport(
        LeavingReport{Leaving.IdHash, Leaving.Entry.StartedAtMs});
  };
  Hooks.OnReplicaLimit = [this](const NamedLimit &News) {
    this->shareLimit(News);
  };
  Hooks.OnBrittleFull = [this](const Replica &Full) {
    this->Link->sendReport(FullReport{Full.IdHash, Full.Entry.StartedAtMs});
  };
  Hooks.OnMisdirected = [this](const UpstreamId &Id) {
    Json::Value Line(Json::objectValue);
    Line["replica"] = Id.text();
    logEvent(LogLevel::Warn, "replica_misdirected", Line);
    this->Registry.evict(Id, this->Timer.now());
  };
  return Hooks;
}

void EdgeDaemon::State::addQuarantineHooks(ExchangeHooks &Hooks) {
  Hooks.InputRefusedFor = [this](const RequestInput &Input) {
    return this->Quarantine->inputs().refusedFor(Input, this->Timer.now());
  };
  Hooks.MayRepeatInput = [this](const RequestInput &Input) {
    return !this->Quarantine->inputs().isSuspect(Input);
  };
  Hooks.OnInputCrash = [this](const Replica &Ended, const RequestInput &Input) {
    this->Quarantine->onOwnCrash({processHash(Ended.Entry), Input});
  };
  Hooks.OnInputAnswered = [this](const RequestInput &Input, Instant SentAt) {
    this->Quarantine->onAnswered(Input, SentAt);
  };
}

void EdgeDaemon::State::createQuarantine() {
  QuarantineController::Ports Ports;
  Ports.SendReport = [this](const GossipReport &Report) {
    this->Link->sendReport(Report);
  };
  Ports.Write = [this](uint64_t Input, bool Exists, AppendCallback Done) {
    StoreRecord Record = this->Platform.Codec.EncodeQuarantine(Input);
    if (!Exists)
      Record.Value = std::nullopt;
    this->Platform.Store.Append(StoreTopic::RolloutStates, Record,
                                StorePosition(), std::move(Done));
  };
  Ports.WriterRank = [this] { return this->writerRank(); };
  Ports.Now = [this] { return this->Timer.now(); };
  this->Quarantine = std::make_unique<QuarantineController>(std::move(Ports));
}

std::unique_ptr<HttpListener>
EdgeDaemon::State::makeListener(RequestHandler Handler) {
  return std::make_unique<HttpListener>(
      this->Loop, this->Timer,
      [this] { return this->Table ? this->Table->Limits : CallerLimits(); },
      std::move(Handler), this->Relayer->servingBounds());
}

std::unique_ptr<HttpListener>
EdgeDaemon::State::makeServiceListener(RequestHandler Handler) {
  return std::make_unique<HttpListener>(
      this->Loop, this->Timer,
      [this] {
        CallerLimits Limits =
            this->Table ? this->Table->Limits : CallerLimits();
        Limits.BodyBytes = std::min(Limits.BodyBytes, MaxServiceBodyBytes);
        return Limits;
      },
      std::move(Handler), this->Relayer->servingBounds());
}

absl::Status EdgeDaemon::State::start() {
  RolloutController::Ports Ports;
  Ports.WriteState = [this](const RolloutOrder &Order, RolloutState State,
                            AppendCallback Done) {
    // Before the recorded states are read, a write could replace an end state.
    if (this->States->position().Next == NoOffset) {
      Done(absl::FailedPreconditionError(
          "the recorded roll-out states have not been read yet; the write is "
          "retried"));
      return;
    }
    this->Platform.Store.Append(
        StoreTopic::RolloutStates,
        this->Platform.Codec.EncodeRolloutState(Order, State),
        this->States->position(), std::move(Done));
  };
  Ports.NotifyPeers = [this] {
    this->Peers.self().Rollouts = this->Rollouts->reports();
    this->Link->sendState();
  };
  Ports.WriterRank = [this] { return this->writerRank(); };
  Ports.Now = [this] { return this->Timer.now(); };
  Ports.CountReplicas = [this](const ServiceId &Service,
                               const VersionId &Target) {
    std::pair<size_t, size_t> Counts{0, 0};
    for (const ReplicaPtr &Candidate : this->Registry.replicasOf(Service))
      if (!Candidate->Entry.Draining && !Candidate->Removed &&
          !Candidate->Evacuated)
        (Candidate->Entry.Version == Target ? Counts.first : Counts.second) +=
            1;
    return Counts;
  };
  this->Rollouts = std::make_unique<RolloutController>(
      this->Config.Bounds.Exposure, std::move(Ports));
  this->Relayer = std::make_unique<Exchange>(
      this->Loop, this->Timer, this->Counters, this->Registry,
      this->exchangeSettings(), this->exchangeHooks());
  this->CallerListener =
      this->makeListener([this](CallerRequest Request, ResponderPtr Responder) {
        this->Relayer->handle(std::move(Request), std::move(Responder));
      });
  this->ReadyListener = this->makeServiceListener(
      [this](const CallerRequest &Request, const ResponderPtr &Responder) {
        this->serveReady(Request, Responder);
      });
  this->DirectoryListener = this->makeServiceListener(
      [this](const CallerRequest &Request, const ResponderPtr &Responder) {
        this->serveDirectory(Request, Responder);
      });
  this->PeerListener = this->makeServiceListener(
      [this](const CallerRequest &Request, const ResponderPtr &Responder) {
        this->servePeers(Request, Responder);
      });
  this->Link = std::make_shared<PeerLink>(
      this->Loop, this->Timer, this->Counters, this->Config, this->Peers,
      this->Settings.GossipTargets);
  this->Link->OnReport = [this](const GossipReport &Report) {
    this->onReport(Report);
  };
  this->Link->SharesToReport = [this] {
    return this->Relayer->workspaceShares();
  };
  this->createQuarantine();
  this->connectLimits();
  for (const Endpoint &Seed : this->Config.Seeds)
    this->Peers.addAddress(parseIp(Seed.Ip), this->Timer.now());
  absl::Status Opened = this->Link->open();
  Opened.Update(this->CallerListener->listen(this->Config.Callers));
  Opened.Update(this->ReadyListener->listen(this->Config.Ready));
  Opened.Update(this->DirectoryListener->listen(this->Config.Directory));
  if (this->Config.Peers.Port != 0)
    Opened.Update(this->PeerListener->listen(this->Config.Peers));
  Opened.Update(
      this->Relayer->serveTunnels({this->Config.Ip, this->Config.GossipPort}));
  if (!Opened.ok())
    return Opened;
  this->detectHostPause();
  this->startFollowers();
  this->Link->sendState();
  this->Timer.schedulePeriodic(TickInterval, [this] { this->tick(); });
  this->Timer.schedulePeriodic(SweepInterval, [this] { this->sweep(); });
  this->Timer.schedulePeriodic(WorkDigestInterval,
                               [this] { this->Link->sendWork(); });
  this->Timer.schedulePeriodic(PathProbeInterval, [this] {
    this->Relayer->probePaths();
    this->announcePaths();
  });
  this->Timer.schedulePeriodic(this->Settings.PeerReadInterval,
                               [this] { this->updateRecordSource(); });
  this->Timer.schedulePeriodic(this->Settings.GossipInterval, [this] {
    this->Peers.self().Rollouts = this->Rollouts->reports();
    this->Link->sendState();
  });
  return absl::OkStatus();
}

// Most hosts take a peer's records after their first read, so only the region's
// reader continues to read the store.
void EdgeDaemon::State::pauseAfterFirstRead(
    const std::shared_ptr<StoreFollower> &Follower, bool IsSnapshot) {
  bool IsReader = this->Peers.self().Store == StoreRole::Reader;
  if (IsSnapshot && !IsReader)
    Follower->pause();
}

void EdgeDaemon::State::startFollowers() {
  bool IsSeed = std::any_of(
      this->Config.Seeds.begin(), this->Config.Seeds.end(),
      [this](const Endpoint &Seed) { return Seed.Ip == this->Config.Ip; });
  if (!IsSeed && !this->Config.Seeds.empty()) {
    this->SettledAt = this->Timer.now() + SettleTime * randomFactor();
    this->ClaimAt = this->Timer.now() + ClaimDelay;
  }
  auto StartFollower = [this](FollowerConfig Config,
                              StoreFollower::RecordsCallback OnRecords) {
    auto Follower = std::make_shared<StoreFollower>(
        this->Platform.Store, this->Timer, this->Counters, Config,
        std::move(OnRecords));
    Follower->start();
    return Follower;
  };
  this->Operators = StartFollower(
      {StoreTopic::Operators, "operators", this->Settings.OperatorPollTimeout,
       absl::ZeroDuration(), MaxTableBackoff},
      [this](const StorePage &Page, bool IsSnapshot) {
        this->applyBatch(StoreTopic::Operators, batchOf(Page, IsSnapshot),
                         false, "store");
        this->pauseAfterFirstRead(this->Operators, IsSnapshot);
      });
  this->States = StartFollower(
      {StoreTopic::RolloutStates, "rollout_states",
       this->Settings.RolloutStatePollTimeout, absl::ZeroDuration(),
       MaxTableBackoff},
      [this](const StorePage &Page, bool IsSnapshot) {
        this->applyBatch(StoreTopic::RolloutStates, batchOf(Page, IsSnapshot),
                         false, "store");
        this->pauseAfterFirstRead(this->States, IsSnapshot);
      });
  absl::Duration Period =
      std::max(this->Settings.ReplicaReadInterval,
               this->Config.Bounds.DrainTimeout * ReadIntervalFraction);
  this->Replicas = StartFollower(
      {StoreTopic::Replicas, "replicas", absl::ZeroDuration(), Period,
       FrequentProbeDelay, /*ProbesWhilePaused=*/true},
      [this](const StorePage &Page, bool IsSnapshot) {
        this->applyBatch(StoreTopic::Replicas, batchOf(Page, IsSnapshot),
                         this->storeRecentlyRecovered(), "store");
        if (!this->Table)
          this->resumeTableFollowers();
        this->Operators->retryNow();
        this->States->retryNow();
      });
  this->announceHost(InitialHostsRetry);
  this->discoverPeers(InitialHostsRetry);
}

void EdgeDaemon::State::announceHost(absl::Duration Retry) {
  StoreRecord Record{this->Config.Name.text(), this->Config.Ip};
  auto Weak = this->weak_from_this();
  this->Platform.Store.Append(
      StoreTopic::Hosts, Record, StorePosition(),
      [Weak, Retry](const absl::Status &Status) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        Json::Value Line(Json::objectValue);
        Line["result"] = Status.ok() ? "ok" : std::string(Status.message());
        logEvent(LogLevel::Info, "host_announced", Line);
        if (!Status.ok())
          Self->Timer.after(Retry, [Weak, Retry] {
            if (auto Current = Weak.lock())
              Current->announceHost(std::min(Retry * 2, MaxHostsRetry));
          });
      });
}

// Seeds are contacted first; a host that receives nothing from them reads the
// host addresses from the store.
void EdgeDaemon::State::discoverPeers(absl::Duration Delay) {
  auto Weak = this->weak_from_this();
  this->Timer.after(Delay, [Weak, Delay] {
    auto Self = Weak.lock();
    if (!Self || !Self->Peers.live(Self->Timer.now()).empty())
      return;
    Self->Platform.Store.Newest(StoreTopic::Hosts,
                                [Weak](const absl::StatusOr<StorePage> &Page) {
                                  auto Current = Weak.lock();
                                  if (Current && Page.ok())
                                    Current->applyHostRecords(Page->Records);
                                });
    Self->discoverPeers(std::min(Delay * 2, MaxHostsRetry));
  });
}

} // namespace berylramp
