//===- config_follower.cpp - Follows the log stream of the table ----------===//
//
// The evidence of freshness is the time at which a read began that reached the
// tail: whatever was appended before that time has been folded.
//
//===----------------------------------------------------------------------===//

#include "config_follower.h"

#include "berylramp/json.h"

#include "absl/strings/match.h"

namespace berylramp::internal {

namespace {

constexpr absl::Duration PauseAfterFailure = absl::Milliseconds(200);
constexpr absl::Duration SnapshotRetry = absl::Seconds(5);
/// Snapshots come this often within one retention of the log.
constexpr int SnapshotsInRetention = 4;
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

void ConfigFollower::start(std::function<void()> Call) {
  this->OnChange = std::move(Call);
  this->Thread.start([this] { this->run(); });
}

void ConfigFollower::stop() { this->Thread.stop(); }

ConfigView ConfigFollower::view() const {
  MutexLock Hold(&this->Lock);
  return this->Current;
}

ViewEvidence ConfigFollower::evidence() const {
  MutexLock Hold(&this->Lock);
  return this->Evidence;
}

bool ConfigFollower::isLogUp() const {
  MutexLock Hold(&this->Lock);
  return this->LogUp;
}

bool ConfigFollower::hasGap() const {
  MutexLock Hold(&this->Lock);
  return this->Gap;
}

void ConfigFollower::confirm(Instant At) {
  MutexLock Hold(&this->Lock);
  if (!this->Evidence.HasBeenConfirmed || this->Evidence.ConfirmedAt < At)
    this->Evidence.ConfirmedAt = At;
  this->Evidence.HasBeenConfirmed = true;
}

bool ConfigFollower::waitFor(Offset At, absl::Duration For) const {
  MutexLock Hold(&this->Lock);
  auto Reached = [this, At] { return this->Current.State->Applied >= At; };
  return this->Lock.awaitFor(Reached, For);
}

std::string ConfigFollower::snapshot() const {
  return encodeSnapshot(*this->view().State, this->Keys);
}

absl::Status ConfigFollower::adopt(const std::string &Snapshot) {
  absl::StatusOr<ConfigState> Read = decodeSnapshot(Snapshot, this->Keys);
  if (!Read.ok())
    return Read.status();
  if (Read->Applied <= this->view().State->Applied)
    return absl::OkStatus();
  this->publish(std::make_shared<const ConfigState>(*std::move(Read)));
  return absl::OkStatus();
}

void ConfigFollower::publish(std::shared_ptr<const ConfigState> Next) {
  uint64_t Digest = configDigest(*Next);
  {
    MutexLock Hold(&this->Lock);
    // A peer's snapshot and the log may arrive at once; the higher one stays.
    if (Next->Applied <= this->Current.State->Applied)
      return;
    this->Current = ConfigView{std::move(Next), Digest};
  }
  if (this->OnChange)
    this->OnChange();
}

void ConfigFollower::run() {
  while (!this->Thread.stopped()) {
    Instant Began = this->Context.Timer.now();
    Offset From = this->view().State->Applied + Offset(1);
    // The first reads look for what is there, not for what comes.
    absl::Duration Wait = this->evidence().HasBeenConfirmed
                              ? this->Context.Settings.LogWait
                              : absl::ZeroDuration();
    absl::StatusOr<LogPage> Page =
        this->Context.Ports.Log.Read(ConfigStream, From, Wait);
    this->Context.Counts.count(Page.ok() ? Counter::LogReads
                                         : Counter::LogReadFailures);
    {
      MutexLock Hold(&this->Lock);
      this->LogUp = Page.ok();
    }
    if (!Page.ok()) {
      this->Thread.pause(PauseAfterFailure);
      continue;
    }
    this->takePage(*Page, Began);
    this->publishSnapshotWhenDue();
  }
}

void ConfigFollower::takePage(const LogPage &Page, Instant Began) {
  if (Page.FirstKept > this->view().State->Applied + Offset(1)) {
    this->bridgeGap(Page);
    return;
  }
  {
    MutexLock Hold(&this->Lock);
    this->Gap = false;
  }
  if (!this->foldRecords(Page.Records)) {
    this->Thread.pause(PauseAfterFailure);
    return;
  }
  if (this->view().State->Applied + Offset(1) == Page.Tail)
    this->confirm(Began);
}

bool ConfigFollower::foldRecords(const std::vector<LogRecord> &Records) {
  if (Records.empty())
    return true;
  ConfigView Before = this->view();
  auto Next = std::make_shared<ConfigState>(*Before.State);
  for (const LogRecord &Record : Records) {
    if (Record.At <= Next->Applied)
      continue;
    if (Record.At != Next->Applied + Offset(1))
      return false;
    foldConfig(*Next, Record.At, Record.AppendedAt, Record.Data, this->Keys);
    this->noteSnapshot(Record);
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

void ConfigFollower::noteSnapshot(const LogRecord &Record) {
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

/// The log has forgotten what comes next. Takes the snapshot that covers most,
/// from which the log has no gap.
void ConfigFollower::bridgeGap(const LogPage &Page) {
  Offset From = Page.FirstKept;
  Offset Applied = this->view().State->Applied;
  absl::StatusOr<ConfigState> Best = absl::NotFoundError("no snapshot");
  while (From < Page.Tail) {
    absl::StatusOr<LogPage> Next =
        this->Context.Ports.Log.Read(ConfigStream, From, absl::ZeroDuration());
    if (!Next.ok() || Next->Records.empty())
      break;
    for (const LogRecord &Record : Next->Records) {
      From = Record.At + Offset(1);
      if (!looksLikeSnapshot(Record.Data))
        continue;
      absl::StatusOr<ConfigState> Read =
          decodeSnapshot(Record.Data, this->Keys);
      bool IsBridge = Read.ok() && Read->Applied > Applied &&
                      Read->Applied + Offset(1) >= Next->FirstKept;
      if (IsBridge && (!Best.ok() || Read->Applied > Best->Applied))
        Best = std::move(Read);
    }
  }
  {
    MutexLock Hold(&this->Lock);
    this->Gap = !Best.ok();
  }
  if (Best.ok()) {
    this->publish(std::make_shared<const ConfigState>(*std::move(Best)));
    return;
  }
  logEvent(LogLevel::Warn, "config_gap");
  this->Thread.pause(PauseAfterFailure);
}

absl::Duration ConfigFollower::snapshotDueAfter() const {
  absl::Duration Step =
      this->Context.Settings.LogRetention / SnapshotsInRetention;
  uint64_t Draw =
      stableHash(this->Context.Settings.Host.text() +
                 std::to_string(absl::ToUnixMillis(this->LastSnapshotAt)));
  // Hosts wait unlike long, so that one publishes and the others see it.
  return Step + Step * static_cast<int64_t>(Draw % JitterSteps) / JitterSteps;
}

void ConfigFollower::publishSnapshotWhenDue() {
  ConfigView View = this->view();
  if (View.State->TableRows.empty() || this->hasGap())
    return;
  absl::Time Since = this->LastSnapshotAt == absl::InfinitePast()
                         ? this->OldestUncoveredAt
                         : this->LastSnapshotAt;
  if (this->Context.Timer.wallNow() - Since < this->snapshotDueAfter())
    return;
  Instant Now = this->Context.Timer.now();
  if (Now < this->NextSnapshotTry)
    return;
  this->NextSnapshotTry = Now + SnapshotRetry;
  absl::StatusOr<Offset> At = this->Context.Ports.Log.Append(
      ConfigStream, encodeSnapshot(*View.State, this->Keys));
  this->Context.Counts.count(At.ok() ? Counter::SnapshotsPublished
                                     : Counter::LogAppendFailures);
}

} // namespace berylramp::internal
