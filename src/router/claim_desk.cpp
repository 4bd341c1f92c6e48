//===- claim_desk.cpp - Claims orders on the log --------------------------===//
//
// A lost append answer is resolved by reading: the claim counts when its own
// record comes back from the stream, and not before. A claim that does not come
// back in time is given up for good; its void may land before or after it.
//
//===----------------------------------------------------------------------===//

#include "claim_desk.h"

#include <algorithm>

namespace berylramp::internal {

namespace {

constexpr absl::Duration PauseAfterFailure = absl::Milliseconds(100);
constexpr absl::Duration IdleWait = absl::Milliseconds(200);
constexpr size_t MaxItemsInRecord = 200;
/// Voids and outcomes kept for a log that is away.
constexpr size_t MaxQueued = 20000;

} // namespace

ClaimDesk::ClaimDesk(RouterContext &Context) : Context(Context) {
  int Count = Context.Settings.ClaimShards;
  for (int I = 0; I < Count; ++I) {
    this->Shards.push_back(std::make_unique<Shard>());
    this->Shards.back()->Stream = claimStream(I, Count);
  }
}

ClaimDesk::~ClaimDesk() = default;

void ClaimDesk::start() {
  for (std::unique_ptr<Shard> &Each : this->Shards) {
    Shard &Which = *Each;
    Which.Follower.start([this, &Which] { this->follow(Which); });
    Which.Appender.start([this, &Which] { this->append(Which); });
  }
}

void ClaimDesk::stop() {
  for (std::unique_ptr<Shard> &Each : this->Shards) {
    Each->Appender.stop();
    this->appendQueued(*Each);
    Each->Follower.stop();
  }
}

ClaimDesk::Shard &ClaimDesk::shardOf(const ClaimIdentity &Identity) const {
  int Count = static_cast<int>(this->Shards.size());
  return *this->Shards[static_cast<size_t>(claimShard(Identity, Count))];
}

void ClaimDesk::follow(Shard &Which) {
  while (!Which.Follower.stopped()) {
    Offset From;
    absl::Duration Wait = this->Context.Settings.LogWait;
    {
      MutexLock Hold(&Which.Lock);
      From = Which.State.Applied + Offset(1);
      // The first reads look for what is there, not for what comes.
      if (!Which.CaughtUp)
        Wait = absl::ZeroDuration();
    }
    absl::StatusOr<LogPage> Page =
        this->Context.Ports.Log.Read(Which.Stream, From, Wait);
    this->Context.Counts.count(Page.ok() ? Counter::LogReads
                                         : Counter::LogReadFailures);
    if (Page.ok()) {
      this->takePage(Which, *Page);
      continue;
    }
    {
      MutexLock Hold(&Which.Lock);
      Which.LogUp = false;
    }
    Which.Follower.pause(PauseAfterFailure);
  }
}

void ClaimDesk::takePage(Shard &Which, const LogPage &Page) {
  MutexLock Hold(&Which.Lock);
  Which.LogUp = true;
  bool HasGap = Page.FirstRetained > Which.State.Applied + Offset(1);
  if (HasGap) {
    // The log forgot records that this fold has not seen. Begin again with
    // what it keeps, and judge only identities issued since then.
    Which.State = ClaimState{};
    Which.State.Applied = Page.FirstRetained - Offset(1);
    Which.State.CompleteFrom = Page.Records.empty()
                                   ? this->Context.Timer.wallNow()
                                   : Page.Records.front().AppendedAt;
  }
  for (const LogRecord &Record : Page.Records) {
    if (Record.Position > Which.State.Applied + Offset(1))
      break;
    foldClaims(Which.State, Record.Position, Record.AppendedAt, Record.Data,
               this->Context.Settings.Claims);
  }
  if (Which.State.Applied + Offset(1) == Page.Tail)
    Which.CaughtUp = true;
}

void ClaimDesk::append(Shard &Which) {
  while (!Which.Appender.stopped()) {
    {
      MutexLock Hold(&Which.Lock);
      auto HasWork = [&Which] { return !Which.Queue.empty(); };
      if (!Which.Lock.awaitFor(HasWork, IdleWait))
        continue;
    }
    this->appendQueued(Which);
  }
}

void ClaimDesk::appendQueued(Shard &Which) {
  std::vector<std::string> Encoded;
  {
    MutexLock Hold(&Which.Lock);
    for (const Outgoing &Each : Which.Queue) {
      Encoded.push_back(Each.Encoded);
      if (Encoded.size() == MaxItemsInRecord)
        break;
    }
  }
  if (Encoded.empty())
    return;
  absl::StatusOr<Offset> At =
      this->Context.Ports.Log.Append(Which.Stream, joinRecords(Encoded));
  if (!At.ok()) {
    this->Context.Counts.count(Counter::LogAppendFailures);
    Which.Appender.pause(PauseAfterFailure);
    return;
  }
  MutexLock Hold(&Which.Lock);
  for (const std::string &Done : Encoded) {
    auto Found = std::find_if(
        Which.Queue.begin(), Which.Queue.end(),
        [&Done](const Outgoing &Each) { return Each.Encoded == Done; });
    if (Found != Which.Queue.end())
      Which.Queue.erase(Found);
  }
}

void ClaimDesk::decideNever(Shard &Which, const Claim &Given) {
  auto IsOwnClaim = [&Given](const Outgoing &Each) {
    return Each.IsClaim && Each.Attempt == Given.Attempt;
  };
  Which.Queue.erase(
      std::remove_if(Which.Queue.begin(), Which.Queue.end(), IsOwnClaim),
      Which.Queue.end());
  if (Which.Queue.size() < MaxQueued)
    Which.Queue.push_back(Outgoing{
        Given.Attempt, encodeVoid(Given.Identity, Given.Attempt), false});
}

absl::StatusOr<ClaimJudgement> ClaimDesk::claim(const Claim &Which,
                                                absl::Duration Wait) {
  Shard &Home = this->shardOf(Which.Identity);
  MutexLock Hold(&Home.Lock);
  if (!Home.LogUp || !Home.CaughtUp)
    return absl::UnavailableError("the log of claims cannot be read now");
  if (!coversIdentity(Home.State, Which.Identity,
                      this->Context.Settings.Claims))
    return absl::UnavailableError(
        "the log no longer holds all claims since this key was issued");
  const ClaimEntry *Owner = findOwner(Home.State, Which.Identity);
  if (Owner == nullptr) {
    Home.Queue.push_back(
        Outgoing{Which.Attempt, encodeClaim(Which), /*IsClaim=*/true});
    this->Context.Counts.count(Counter::ClaimsAppended);
  }
  ClaimJudgement Judged;
  auto IsJudged = [&] {
    Judged =
        judgeClaim(Home.State, Which.Identity, Which.Attempt, Which.BodyDigest);
    return Judged.Verdict != ClaimVerdict::NotFound;
  };
  if (Owner != nullptr) {
    Judged.Owner = *Owner;
    Judged.Verdict = ClaimVerdict::Lost;
    if (Owner->Which.BodyDigest != Which.BodyDigest)
      Judged.Verdict = ClaimVerdict::OtherBody;
    else if (Owner->Progress != ClaimProgress::Claimed)
      Judged.Verdict = ClaimVerdict::AlreadyDone;
    return Judged;
  }
  Home.Lock.awaitFor(IsJudged, Wait);
  if (Judged.Verdict == ClaimVerdict::Won)
    return Judged;
  decideNever(Home, Which);
  this->Context.Counts.count(Counter::ClaimsVoided);
  if (Judged.Verdict == ClaimVerdict::NotFound)
    return absl::UnavailableError("the claim did not come back from the log");
  return Judged;
}

void ClaimDesk::abandon(const Claim &Which) {
  Shard &Home = this->shardOf(Which.Identity);
  MutexLock Hold(&Home.Lock);
  decideNever(Home, Which);
  this->Context.Counts.count(Counter::ClaimsVoided);
}

void ClaimDesk::finish(const Claim &Which, const std::string &OutcomeDigest) {
  Shard &Home = this->shardOf(Which.Identity);
  ClaimDone Done{Which.Identity, Which.Attempt, OutcomeDigest};
  MutexLock Hold(&Home.Lock);
  if (Home.Queue.size() < MaxQueued)
    Home.Queue.push_back(Outgoing{Which.Attempt, encodeDone(Done), false});
}

bool ClaimDesk::stillOwns(const Claim &Which) const {
  Shard &Home = this->shardOf(Which.Identity);
  MutexLock Hold(&Home.Lock);
  return judgeClaim(Home.State, Which.Identity, Which.Attempt, Which.BodyDigest)
             .Verdict == ClaimVerdict::Won;
}

absl::Status ClaimDesk::resolve(const ClaimIdentity &Identity,
                                const AttemptId &Attempt, bool DidRun,
                                const std::string &Author) {
  Shard &Home = this->shardOf(Identity);
  absl::StatusOr<Offset> At = this->Context.Ports.Log.Append(
      Home.Stream,
      joinRecords({encodeResolved(Identity, Attempt, DidRun, Author)}));
  return At.status();
}

bool ClaimDesk::lookUp(const ClaimIdentity &Identity, ClaimEntry &Out) const {
  Shard &Home = this->shardOf(Identity);
  MutexLock Hold(&Home.Lock);
  const ClaimEntry *Owner = findOwner(Home.State, Identity);
  if (Owner == nullptr)
    return false;
  Out = *Owner;
  return true;
}

} // namespace berylramp::internal
