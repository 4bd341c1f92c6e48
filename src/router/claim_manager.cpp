//===- claim_manager.cpp - Claims non-idempotent requests -----------------===//
//
// A lost append response is resolved by reading: a claim takes effect only once
// its own record has been read back from the stream. A claim that is not read
// back in time is voided permanently; the void may precede or follow the claim
// in the log.
//
//===----------------------------------------------------------------------===//

#include "claim_manager.h"

#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr absl::Duration RetryDelay = absl::Milliseconds(100);
constexpr absl::Duration IdleTimeout = absl::Milliseconds(200);
constexpr size_t MaxItemsInRecord = 200;
/// Queue length of a stream at which further voids and outcomes are dropped
/// while the log is unavailable.
constexpr size_t MaxQueuedRecords = 20000;

} // namespace

ClaimManager::ClaimManager(RouterContext &Context) : Context(Context) {
  int Count = Context.Settings.ClaimShards;
  for (int I = 0; I < Count; ++I) {
    this->Shards.push_back(std::make_unique<Shard>());
    this->Shards.back()->Stream = claimStream(I, Count);
  }
}

ClaimManager::~ClaimManager() = default;

void ClaimManager::start() {
  for (std::unique_ptr<Shard> &Entry : this->Shards) {
    Shard &Target = *Entry;
    Target.Follower.start([this, &Target] { this->runFollower(Target); });
    Target.Appender.start([this, &Target] { this->runAppender(Target); });
  }
}

void ClaimManager::stop() {
  for (std::unique_ptr<Shard> &Entry : this->Shards) {
    Entry->Appender.stop();
    this->appendQueued(*Entry);
    Entry->Follower.stop();
  }
}

ClaimManager::Shard &
ClaimManager::shardOf(const ClaimIdentity &Identity) const {
  int Count = static_cast<int>(this->Shards.size());
  return *this->Shards[static_cast<size_t>(claimShard(Identity, Count))];
}

void ClaimManager::runFollower(Shard &Target) {
  while (!Target.Follower.isStopping()) {
    Offset From;
    absl::Duration Wait = this->Context.Settings.LogPollTimeout;
    {
      MutexLock Guard(&Target.Lock);
      From = Target.State.Applied + Offset(1);
      // Until the fold has caught up, reads return the existing records at once
      // instead of waiting for new ones.
      if (!Target.CaughtUp)
        Wait = absl::ZeroDuration();
    }
    absl::StatusOr<LogPage> Page =
        this->Context.Ports.Log.Read(Target.Stream, From, Wait);
    this->Context.Counts.count(Page.ok() ? Counter::LogReads
                                         : Counter::LogReadFailures);
    if (Page.ok()) {
      this->applyPage(Target, *Page);
      continue;
    }
    {
      MutexLock Guard(&Target.Lock);
      Target.LogUp = false;
    }
    Target.Follower.pause(RetryDelay);
  }
}

void ClaimManager::applyPage(Shard &Target, const LogPage &Page) {
  MutexLock Guard(&Target.Lock);
  Target.LogUp = true;
  bool HasGap = Page.FirstRetained > Target.State.Applied + Offset(1);
  if (HasGap) {
    // The retention of the log dropped records that this fold has not applied.
    // Restarts the fold with the records that remain, and accepts only
    // identities issued since then.
    Target.State = ClaimState{};
    Target.State.Applied = Page.FirstRetained - Offset(1);
    Target.State.CompleteFrom = Page.Records.empty()
                                    ? this->Context.Timer.wallNow()
                                    : Page.Records.front().AppendedAt;
  }
  for (const LogRecord &Record : Page.Records) {
    if (Record.Position > Target.State.Applied + Offset(1))
      break;
    foldClaims(Target.State, Record.Position, Record.AppendedAt, Record.Data,
               this->Context.Settings.Claims);
  }
  if (Target.State.Applied + Offset(1) == Page.Tail)
    Target.CaughtUp = true;
}

void ClaimManager::runAppender(Shard &Target) {
  while (!Target.Appender.isStopping()) {
    {
      MutexLock Guard(&Target.Lock);
      auto HasWork = [&Target] { return !Target.Queue.empty(); };
      if (!Target.Lock.awaitWithTimeout(HasWork, IdleTimeout))
        continue;
    }
    this->appendQueued(Target);
  }
}

void ClaimManager::appendQueued(Shard &Target) {
  std::vector<std::string> Encoded;
  {
    MutexLock Guard(&Target.Lock);
    for (const QueuedRecord &Queued : Target.Queue) {
      Encoded.push_back(Queued.Encoded);
      if (Encoded.size() == MaxItemsInRecord)
        break;
    }
  }
  if (Encoded.empty())
    return;
  absl::StatusOr<Offset> At =
      this->Context.Ports.Log.Append(Target.Stream, joinRecords(Encoded));
  if (!At.ok()) {
    this->Context.Counts.count(Counter::LogAppendFailures);
    Target.Appender.pause(RetryDelay);
    return;
  }
  MutexLock Guard(&Target.Lock);
  for (const std::string &Record : Encoded) {
    auto Found = std::find_if(Target.Queue.begin(), Target.Queue.end(),
                              [&Record](const QueuedRecord &Queued) {
                                return Queued.Encoded == Record;
                              });
    if (Found != Target.Queue.end())
      Target.Queue.erase(Found);
  }
}

void ClaimManager::voidClaim(Shard &Target, const Claim &OwnClaim) {
  auto IsOwnClaim = [&OwnClaim](const QueuedRecord &Queued) {
    return Queued.IsClaim && Queued.Attempt == OwnClaim.Attempt;
  };
  Target.Queue.erase(
      std::remove_if(Target.Queue.begin(), Target.Queue.end(), IsOwnClaim),
      Target.Queue.end());
  if (Target.Queue.size() < MaxQueuedRecords)
    Target.Queue.push_back(
        QueuedRecord{OwnClaim.Attempt,
                     encodeVoid(OwnClaim.Identity, OwnClaim.Attempt), false});
}

absl::StatusOr<ClaimEvaluation> ClaimManager::claim(const Claim &OwnClaim,
                                                    absl::Duration Timeout) {
  Shard &Target = this->shardOf(OwnClaim.Identity);
  MutexLock Guard(&Target.Lock);
  if (!Target.LogUp || !Target.CaughtUp)
    return absl::UnavailableError(
        "this host cannot currently read the claim stream of the log");
  if (!coversIdentity(Target.State, OwnClaim.Identity,
                      this->Context.Settings.Claims))
    return absl::UnavailableError(
        "the log no longer holds all claims since this key was issued");
  const ClaimEntry *Owner = findOwner(Target.State, OwnClaim.Identity);
  if (Owner == nullptr) {
    Target.Queue.push_back(QueuedRecord{OwnClaim.Attempt, encodeClaim(OwnClaim),
                                        /*IsClaim=*/true});
    this->Context.Counts.count(Counter::ClaimsAppended);
  }
  ClaimEvaluation Evaluation;
  auto HasVerdict = [&] {
    Evaluation = evaluateClaim(Target.State, OwnClaim.Identity,
                               OwnClaim.Attempt, OwnClaim.BodyDigest);
    return Evaluation.Verdict != ClaimVerdict::NotFound;
  };
  if (Owner != nullptr) {
    Evaluation.Owner = *Owner;
    Evaluation.Verdict = ClaimVerdict::Lost;
    if (Owner->Record.BodyDigest != OwnClaim.BodyDigest)
      Evaluation.Verdict = ClaimVerdict::BodyMismatch;
    else if (Owner->Progress != ClaimProgress::Claimed)
      Evaluation.Verdict = ClaimVerdict::AlreadyDone;
    return Evaluation;
  }
  Target.Lock.awaitWithTimeout(HasVerdict, Timeout);
  if (Evaluation.Verdict == ClaimVerdict::Won)
    return Evaluation;
  voidClaim(Target, OwnClaim);
  this->Context.Counts.count(Counter::ClaimsVoided);
  if (Evaluation.Verdict == ClaimVerdict::NotFound)
    return absl::UnavailableError(
        "the claim was not read back from the log in time");
  return Evaluation;
}

void ClaimManager::abandon(const Claim &OwnClaim) {
  Shard &Target = this->shardOf(OwnClaim.Identity);
  MutexLock Guard(&Target.Lock);
  voidClaim(Target, OwnClaim);
  this->Context.Counts.count(Counter::ClaimsVoided);
}

void ClaimManager::recordOutcome(const Claim &OwnClaim,
                                 const std::string &OutcomeDigest) {
  Shard &Target = this->shardOf(OwnClaim.Identity);
  ClaimDone Outcome{OwnClaim.Identity, OwnClaim.Attempt, OutcomeDigest};
  MutexLock Guard(&Target.Lock);
  if (Target.Queue.size() < MaxQueuedRecords)
    Target.Queue.push_back(
        QueuedRecord{OwnClaim.Attempt, encodeDone(Outcome), false});
}

bool ClaimManager::isOwner(const Claim &OwnClaim) const {
  Shard &Target = this->shardOf(OwnClaim.Identity);
  MutexLock Guard(&Target.Lock);
  return evaluateClaim(Target.State, OwnClaim.Identity, OwnClaim.Attempt,
                       OwnClaim.BodyDigest)
             .Verdict == ClaimVerdict::Won;
}

absl::Status ClaimManager::resolve(const ClaimIdentity &Identity,
                                   const AttemptId &Attempt, bool WasExecuted,
                                   const std::string &Author) {
  Shard &Target = this->shardOf(Identity);
  absl::StatusOr<Offset> At = this->Context.Ports.Log.Append(
      Target.Stream,
      joinRecords({encodeResolved(Identity, Attempt, WasExecuted, Author)}));
  return At.status();
}

bool ClaimManager::lookUp(const ClaimIdentity &Identity,
                          ClaimEntry &Result) const {
  Shard &Target = this->shardOf(Identity);
  MutexLock Guard(&Target.Lock);
  const ClaimEntry *Owner = findOwner(Target.State, Identity);
  if (Owner == nullptr)
    return false;
  Result = *Owner;
  return true;
}

} // namespace berylramp::internal
