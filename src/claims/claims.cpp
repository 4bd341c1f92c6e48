//===- claims.cpp - Claims of non-idempotent requests ---------------------===//
//
// The claim window is evaluated against the append time that the log assigns to
// each record and not against a local clock, so that an identity expires at the
// same record on all hosts.
//
//===----------------------------------------------------------------------===//

#include "berylramp/claims.h"
#include "berylramp/json.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp {

namespace {

constexpr size_t MaxKeyBytes = 256;
constexpr int64_t EvictionIntervalSeconds = 60;

Json::Value identityToJson(const ClaimIdentity &Identity) {
  Json::Value Result;
  Result["w"] = Identity.Workspace.text();
  Result["k"] = Identity.Key;
  Result["ms"] = Json::Int64(Identity.IssuedMillis);
  return Result;
}

ClaimIdentity identityFromJson(const Json::Value &Item) {
  return ClaimIdentity{WorkspaceId(textAt(Item, "w")), textAt(Item, "k"),
                       intAt(Item, "ms")};
}

/// Evicts expired identities once per minute of log time, because an eviction
/// visits every identity. An identity that expires in between is harmless:
/// foldItem() ignores its records.
void evictExpired(ClaimState &State, absl::Time Before,
                  const ClaimWindow &Window) {
  if (absl::ToUnixSeconds(Before) / EvictionIntervalSeconds ==
      absl::ToUnixSeconds(State.LastRecordTime) / EvictionIntervalSeconds)
    return;
  for (auto It = State.ClaimsByIdentity.begin();
       It != State.ClaimsByIdentity.end();) {
    absl::Time Issued = absl::FromUnixMillis(It->second.IssuedMillis);
    if (Issued + Window.Length <= State.LastRecordTime)
      It = State.ClaimsByIdentity.erase(It);
    else
      ++It;
  }
}

ClaimEntry *findAttempt(ClaimIndex &Index, const AttemptId &Attempt) {
  for (ClaimEntry &Entry : Index.Contenders) {
    if (Entry.Record.Attempt == Attempt)
      return &Entry;
  }
  return nullptr;
}

/// Removes an attempt and marks it as void, so that a claim that is appended
/// later is ignored.
void eraseAttempt(ClaimIndex &Index, const AttemptId &Attempt) {
  ClaimEntry *Entry = findAttempt(Index, Attempt);
  if (Entry != nullptr)
    Index.Contenders.erase(Index.Contenders.begin() +
                           (Entry - Index.Contenders.data()));
  Index.VoidAttempts.insert(Attempt);
}

void foldClaim(ClaimState &State, Offset RecordOffset,
               const ClaimIdentity &Identity, const Json::Value &Item) {
  Claim Record;
  Record.Identity = Identity;
  Record.BodyDigest = textAt(Item, "body");
  Record.Host = HostId(textAt(Item, "host"));
  Record.HostIncarnation = Incarnation(intAt(Item, "life"));
  Record.Attempt = AttemptId(textAt(Item, "attempt"));
  if (Identity.Key.empty() || Identity.Key.size() > MaxKeyBytes ||
      Record.Attempt.empty())
    return;
  ClaimIndex &Index = State.ClaimsByIdentity[Identity.text()];
  Index.IssuedMillis = Identity.IssuedMillis;
  bool IsNew = findAttempt(Index, Record.Attempt) == nullptr &&
               Index.VoidAttempts.count(Record.Attempt) == 0;
  if (IsNew)
    Index.Contenders.push_back(
        ClaimEntry{Record, RecordOffset, ClaimProgress::Claimed, ""});
}

void foldVoid(ClaimState &State, const ClaimIdentity &Identity,
              const Json::Value &Item) {
  AttemptId Attempt(textAt(Item, "attempt"));
  ClaimIndex &Index = State.ClaimsByIdentity[Identity.text()];
  Index.IssuedMillis = Identity.IssuedMillis;
  const ClaimEntry *Entry = findAttempt(Index, Attempt);
  bool HasRun = Entry != nullptr && Entry->Progress != ClaimProgress::Claimed;
  if (!HasRun)
    eraseAttempt(Index, Attempt);
}

void foldDone(ClaimState &State, const ClaimIdentity &Identity,
              const Json::Value &Item) {
  auto Found = State.ClaimsByIdentity.find(Identity.text());
  if (Found == State.ClaimsByIdentity.end())
    return;
  ClaimEntry *Entry =
      findAttempt(Found->second, AttemptId(textAt(Item, "attempt")));
  if (Entry == nullptr || Entry->Progress != ClaimProgress::Claimed)
    return;
  Entry->Progress = ClaimProgress::Done;
  Entry->OutcomeDigest = textAt(Item, "outcome");
}

/// Applies an operator's resolution. An attempt that was not executed is
/// removed, which releases the identity; one that was executed keeps it
/// permanently.
void foldResolved(ClaimState &State, const ClaimIdentity &Identity,
                  const Json::Value &Item) {
  auto Found = State.ClaimsByIdentity.find(Identity.text());
  if (Found == State.ClaimsByIdentity.end())
    return;
  AttemptId Attempt(textAt(Item, "attempt"));
  ClaimIndex &Index = Found->second;
  ClaimEntry *Entry = findAttempt(Index, Attempt);
  if (Entry == nullptr || Entry->Progress != ClaimProgress::Claimed)
    return;
  if (boolAt(Item, "ran"))
    Entry->Progress = ClaimProgress::Resolved;
  else
    eraseAttempt(Index, Attempt);
}

void foldItem(ClaimState &State, Offset RecordOffset, const Json::Value &Item,
              const ClaimWindow &Window) {
  ClaimIdentity Identity = identityFromJson(memberAt(Item, "id"));
  if (!isIdentityCurrent(Identity, State.LastRecordTime, Window))
    return;
  std::string Type = textAt(Item, "type");
  if (Type == "claim")
    foldClaim(State, RecordOffset, Identity, Item);
  else if (Type == "void")
    foldVoid(State, Identity, Item);
  else if (Type == "done")
    foldDone(State, Identity, Item);
  else if (Type == "resolved")
    foldResolved(State, Identity, Item);
}

} // namespace

bool isIdentityCurrent(const ClaimIdentity &Identity, absl::Time Now,
                       const ClaimWindow &Window) {
  absl::Time Issued = absl::FromUnixMillis(Identity.IssuedMillis);
  return Issued + Window.Length > Now && Issued < Now + Window.MaxClockSkew;
}

bool coversIdentity(const ClaimState &State, const ClaimIdentity &Identity,
                    const ClaimWindow &Window) {
  absl::Time Issued = absl::FromUnixMillis(Identity.IssuedMillis);
  return Issued - Window.MaxClockSkew >= State.CompleteFrom;
}

std::string ClaimIdentity::text() const {
  return absl::StrCat(this->Workspace.text(), "\x1f", this->Key, "\x1f",
                      this->IssuedMillis);
}

int claimShard(const ClaimIdentity &Identity, int ShardCount) {
  return static_cast<int>(stableHash(Identity.text()) %
                          static_cast<uint64_t>(ShardCount));
}

StreamName claimStream(int Shard, int ShardCount) {
  return StreamName(absl::StrCat("claims-", Shard, "-of-", ShardCount));
}

StreamName claimStream(const ClaimIdentity &Identity, int ShardCount) {
  return claimStream(claimShard(Identity, ShardCount), ShardCount);
}

std::string encodeClaim(const Claim &Record) {
  Json::Value Item;
  Item["type"] = "claim";
  Item["id"] = identityToJson(Record.Identity);
  Item["body"] = Record.BodyDigest;
  Item["host"] = Record.Host.text();
  Item["life"] = Json::Int64(Record.HostIncarnation.count());
  Item["attempt"] = Record.Attempt.text();
  return writeJson(Item);
}

std::string encodeVoid(const ClaimIdentity &Identity,
                       const AttemptId &Attempt) {
  Json::Value Item;
  Item["type"] = "void";
  Item["id"] = identityToJson(Identity);
  Item["attempt"] = Attempt.text();
  return writeJson(Item);
}

std::string encodeDone(const ClaimDone &Record) {
  Json::Value Item;
  Item["type"] = "done";
  Item["id"] = identityToJson(Record.Identity);
  Item["attempt"] = Record.Attempt.text();
  Item["outcome"] = Record.OutcomeDigest;
  return writeJson(Item);
}

std::string encodeResolved(const ClaimIdentity &Identity,
                           const AttemptId &Attempt, bool WasExecuted,
                           const std::string &Author) {
  Json::Value Item;
  Item["type"] = "resolved";
  Item["id"] = identityToJson(Identity);
  Item["attempt"] = Attempt.text();
  Item["ran"] = WasExecuted;
  Item["by"] = Author;
  return writeJson(Item);
}

std::string joinRecords(const std::vector<std::string> &Encoded) {
  std::string Joined = "[";
  for (const std::string &Item : Encoded)
    absl::StrAppend(&Joined, Joined.size() > 1 ? "," : "", Item);
  return Joined + "]";
}

void foldClaims(ClaimState &State, Offset RecordOffset, absl::Time AppendedAt,
                const std::string &Data, const ClaimWindow &Window) {
  if (RecordOffset <= State.Applied)
    return;
  State.Applied = RecordOffset;
  absl::Time Before = State.LastRecordTime;
  State.LastRecordTime = std::max(State.LastRecordTime, AppendedAt);
  absl::StatusOr<Json::Value> Parsed = parseJson(Data);
  if (Parsed.ok() && Parsed->isArray()) {
    for (const Json::Value &Item : *Parsed)
      foldItem(State, RecordOffset, Item, Window);
  }
  evictExpired(State, Before, Window);
}

const ClaimEntry *findOwner(const ClaimState &State,
                            const ClaimIdentity &Identity) {
  auto Found = State.ClaimsByIdentity.find(Identity.text());
  if (Found == State.ClaimsByIdentity.end() || Found->second.Contenders.empty())
    return nullptr;
  return &Found->second.Contenders.front();
}

ClaimEvaluation evaluateClaim(const ClaimState &State,
                              const ClaimIdentity &Identity,
                              const AttemptId &Attempt,
                              const std::string &BodyDigest) {
  ClaimEvaluation Result;
  auto Found = State.ClaimsByIdentity.find(Identity.text());
  if (Found == State.ClaimsByIdentity.end())
    return Result;
  const auto &Contenders = Found->second.Contenders;
  auto IsAttempt = [&Attempt](const ClaimEntry &Entry) {
    return Entry.Record.Attempt == Attempt;
  };
  if (std::none_of(Contenders.begin(), Contenders.end(), IsAttempt))
    return Result;
  Result.Owner = Contenders.front();
  if (Result.Owner.Record.Attempt == Attempt &&
      Result.Owner.Progress == ClaimProgress::Claimed)
    Result.Verdict = ClaimVerdict::Won;
  else if (Result.Owner.Record.BodyDigest != BodyDigest)
    Result.Verdict = ClaimVerdict::BodyMismatch;
  else if (Result.Owner.Progress == ClaimProgress::Claimed)
    Result.Verdict = ClaimVerdict::Lost;
  else
    Result.Verdict = ClaimVerdict::AlreadyDone;
  return Result;
}

} // namespace berylramp
