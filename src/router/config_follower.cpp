//===- config_follower.cpp - Follows the log stream of the table ----------===//
//
// The evidence of freshness is the start time of a read that reached the tail
// of the log: every record appended before that time has been folded.
//
//===----------------------------------------------------------------------===//

#include "config_follower.h"

#include "berylramp/json.h"

#include "absl/strings/match.h"

namespace berylramp::internal {

namespace {

constexpr absl::Duration RetryDelay = absl::Milliseconds(200);
constexpr absl::Duration SnapshotRetryInterval = absl::Seconds(5);
/// The retention of the log divided by this is the minimum delay between
/// snapshots.
constexpr int SnapshotsPerRetention = 4;
constexpr int JitterSteps = 1000;

bool looksLikeSnapshot(const std::string &Data) {
  return absl::StrContains(Data, "\"type\":\"snapshot\"");
}

} // namespace

ConfigFollower::ConfigFollower(RouterContext &Context)
    : Context(Context), Keys{Context.Settings.OperatorKeys} {
  this->Current.State = std::make_shared<const ConfigState>(emptyConfig());
  this->Current.Digest = configDigest(*this->Current.State);
}

void ConfigFollower::start(std::function<void()> Callback) {
  this->OnChange = std::move(Callback);
  this->Thread.start([this] { this->run(); });
}

void ConfigFollower::stop() { this->Thread.stop(); }

ConfigView ConfigFollower::view() const {
  MutexLock Guard(&this->Lock);
  return this->Current;
}

ViewEvidence ConfigFollower::evidence() const {
  MutexLock Guard(&this->Lock);
  return this->Evidence;
}

bool ConfigFollower::isLogUp() const {
  MutexLock Guard(&this->Lock);
  return this->LogUp;
}

bool ConfigFollower::hasGap() const {
  MutexLock Guard(&this->Lock);
  return this->Gap;
}

void ConfigFollower::confirm(Instant ConfirmedAt) {
  MutexLock Guard(&this->Lock);
  if (!this->Evidence.HasBeenConfirmed ||
      this->Evidence.ConfirmedAt < ConfirmedAt)
    this->Evidence.ConfirmedAt = ConfirmedAt;
  this->Evidence.HasBeenConfirmed = true;
}

bool ConfigFollower::waitFor(Offset Target, absl::Duration Timeout) const {
  MutexLock Guard(&this->Lock);
  auto IsApplied = [this, Target] {
    return this->Current.State->Applied >= Target;
  };
  return this->Lock.awaitWithTimeout(IsApplied, Timeout);
}

std::string ConfigFollower::snapshot() const {
  return encodeSnapshot(*this->view().State, this->Keys);
}

absl::Status ConfigFollower::adopt(const std::string &Snapshot) {
  absl::StatusOr<ConfigState> Decoded = decodeSnapshot(Snapshot, this->Keys);
  if (!Decoded.ok())
    return Decoded.status();
  if (Decoded->Applied <= this->view().State->Applied)
    return absl::OkStatus();
  this->publish(std::make_shared<const ConfigState>(*std::move(Decoded)));
  return absl::OkStatus();
}

void ConfigFollower::publish(std::shared_ptr<const ConfigState> Next) {
  uint64_t Digest = configDigest(*Next);
  {
    MutexLock Guard(&this->Lock);
    // A peer's snapshot and a log page may be published concurrently; the state
    // with the higher offset wins.
    if (Next->Applied <= this->Current.State->Applied)
      return;
    this->Current = ConfigView{std::move(Next), Digest};
  }
  if (this->OnChange)
    this->OnChange();
}

void ConfigFollower::run() {
  while (!this->Thread.isStopping()) {
    Instant ReadStart = this->Context.Timer.now();
    Offset From = this->view().State->Applied + Offset(1);
    // Until the first confirmation, reads return the existing records at once
    // instead of waiting for new ones.
    absl::Duration Wait = this->evidence().HasBeenConfirmed
                              ? this->Context.Settings.LogPollTimeout
                              : absl::ZeroDuration();
    absl::StatusOr<LogPage> Page =
        this->Context.Ports.Log.Read(ConfigStream, From, Wait);
    this->Context.Counts.count(Page.ok() ? Counter::LogReads
                                         : Counter::LogReadFailures);
    {
      MutexLock Guard(&this->Lock);
      this->LogUp = Page.ok();
    }
    if (!Page.ok()) {
      this->Thread.pause(RetryDelay);
      continue;
    }
    this->applyPage(*Page, ReadStart);
    this->publishSnapshotWhenDue();
  }
}

void ConfigFollower::applyPage(const LogPage &Page, Instant ReadStart) {
  if (Page.FirstRetained > this->view().State->Applied + Offset(1)) {
    this->bridgeGap(Page);
    return;
  }
  {
    MutexLock Guard(&this->Lock);
    this->Gap = false;
  }
  if (!this->foldRecords(Page.Records)) {
    this->Thread.pause(RetryDelay);
    return;
  }
  if (this->view().State->Applied + Offset(1) == Page.Tail)
    this->confirm(ReadStart);
}

bool ConfigFollower::foldRecords(const std::vector<LogRecord> &Records) {
  if (Records.empty())
    return true;
  ConfigView Before = this->view();
  auto Next = std::make_shared<ConfigState>(*Before.State);
  for (const LogRecord &Record : Records) {
    if (Record.Position <= Next->Applied)
      continue;
    if (Record.Position != Next->Applied + Offset(1))
      return false;
    foldConfig(*Next, Record.Position, Record.AppendedAt, Record.Data,
               this->Keys);
    this->recordSnapshot(Record);
    this->Context.Counts.observe(
        Latency::ConfigLag, this->Context.Timer.wallNow() - Record.AppendedAt);
  }
  for (const EditOutcome &Outcome : Next->Outcomes) {
    if (Outcome.RecordOffset <= Before.State->Applied)
      continue;
    bool Accepted = Outcome.Verdict == EditVerdict::Accepted;
    this->Context.Counts.count(Accepted ? Counter::EditsAccepted
                                        : Counter::EditsRejected);
  }
  this->publish(std::move(Next));
  return true;
}

void ConfigFollower::recordSnapshot(const LogRecord &Record) {
  if (!looksLikeSnapshot(Record.Data)) {
    this->OldestUncoveredAt =
        std::min(this->OldestUncoveredAt, Record.AppendedAt);
    return;
  }
  if (!decodeSnapshot(Record.Data, this->Keys).ok())
    return;
  this->LastSnapshotAt = std::max(this->LastSnapshotAt, Record.AppendedAt);
  this->OldestUncoveredAt = absl::InfiniteFuture();
}

/// Handles a log that no longer holds the next record: applies the snapshot
/// with the highest offset after which the log is complete.
void ConfigFollower::bridgeGap(const LogPage &Page) {
  Offset From = Page.FirstRetained;
  Offset Applied = this->view().State->Applied;
  absl::StatusOr<ConfigState> Best = absl::NotFoundError("no snapshot");
  while (From < Page.Tail) {
    absl::StatusOr<LogPage> Next =
        this->Context.Ports.Log.Read(ConfigStream, From, absl::ZeroDuration());
    if (!Next.ok() || Next->Records.empty())
      break;
    for (const LogRecord &Record : Next->Records) {
      From = Record.Position + Offset(1);
      if (!looksLikeSnapshot(Record.Data))
        continue;
      absl::StatusOr<ConfigState> Decoded =
          decodeSnapshot(Record.Data, this->Keys);
      bool IsBridge = Decoded.ok() && Decoded->Applied > Applied &&
                      Decoded->Applied + Offset(1) >= Next->FirstRetained;
      if (IsBridge && (!Best.ok() || Decoded->Applied > Best->Applied))
        Best = std::move(Decoded);
    }
  }
  {
    MutexLock Guard(&this->Lock);
    this->Gap = !Best.ok();
  }
  if (Best.ok()) {
    this->publish(std::make_shared<const ConfigState>(*std::move(Best)));
    return;
  }
  logEvent(LogLevel::Warn, "config_gap");
  this->Thread.pause(RetryDelay);
}

absl::Duration ConfigFollower::snapshotDelay() const {
  absl::Duration Interval =
      this->Context.Settings.LogRetention / SnapshotsPerRetention;
  uint64_t Hash =
      stableHash(this->Context.Settings.Host.text() +
                 std::to_string(absl::ToUnixMillis(this->LastSnapshotAt)));
  // The delay varies per host, so that one host publishes a snapshot and the
  // others read it before their own delay ends.
  return Interval +
         Interval * static_cast<int64_t>(Hash % JitterSteps) / JitterSteps;
}

void ConfigFollower::publishSnapshotWhenDue() {
  ConfigView View = this->view();
  if (View.State->TableRows.empty() || this->hasGap())
    return;
  absl::Time Since = this->LastSnapshotAt == absl::InfinitePast()
                         ? this->OldestUncoveredAt
                         : this->LastSnapshotAt;
  if (this->Context.Timer.wallNow() - Since < this->snapshotDelay())
    return;
  Instant Now = this->Context.Timer.now();
  if (Now < this->NextSnapshotAttempt)
    return;
  this->NextSnapshotAttempt = Now + SnapshotRetryInterval;
  absl::StatusOr<Offset> At = this->Context.Ports.Log.Append(
      ConfigStream, encodeSnapshot(*View.State, this->Keys));
  this->Context.Counts.count(At.ok() ? Counter::SnapshotsPublished
                                     : Counter::LogAppendFailures);
}

} // namespace berylramp::internal
