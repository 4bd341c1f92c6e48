//===- claims.cpp - The fold of at-most-once claims -----------------------===//
//
// The window is judged by the log's own time of each record, never by a local
// clock, so that all hosts forget an identity at the same record.
//
//===----------------------------------------------------------------------===//

#include "berylramp/claims.h"
#include "berylramp/json.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp {

namespace {

constexpr size_t MaxKeyBytes = 256;
constexpr int64_t SweepSeconds = 60;

Json::Value identityToJson(const ClaimIdentity &Identity) {
  Json::Value Out;
  Out["w"] = Identity.Workspace.text();
  Out["k"] = Identity.Key;
  Out["ms"] = Json::Int64(Identity.IssuedMillis);
  return Out;
}

ClaimIdentity identityFromJson(const Json::Value &Item) {
  return ClaimIdentity{WorkspaceId(textAt(Item, "w")), textAt(Item, "k"),
                       intAt(Item, "ms")};
}

/// Sweeps once a minute of the log's time, since a sweep visits every book. An
/// identity that outlives its window until then is harmless: foldItem() takes
/// no record of it.
void forgetOld(ClaimState &State, absl::Time Before,
               const ClaimWindow &Window) {
  if (absl::ToUnixSeconds(Before) / SweepSeconds ==
      absl::ToUnixSeconds(State.LastRecordAt) / SweepSeconds)
    return;
  for (auto Each = State.Books.begin(); Each != State.Books.end();) {
    absl::Time Issued = absl::FromUnixMillis(Each->second.IssuedMillis);
    if (Issued + Window.Length <= State.LastRecordAt)
      Each = State.Books.erase(Each);
    else
      ++Each;
  }
}

ClaimEntry *findAttempt(ClaimBook &Book, const AttemptId &Attempt) {
  for (ClaimEntry &Entry : Book.Contenders) {
    if (Entry.Which.Attempt == Attempt)
      return &Entry;
  }
  return nullptr;
}

/// Takes an attempt out for good, also when its claim is yet to come.
void eraseAttempt(ClaimBook &Book, const AttemptId &Attempt) {
  ClaimEntry *Entry = findAttempt(Book, Attempt);
  if (Entry != nullptr)
    Book.Contenders.erase(Book.Contenders.begin() +
                          (Entry - Book.Contenders.data()));
  Book.Void.insert(Attempt);
}

void foldClaim(ClaimState &State, Offset At, const ClaimIdentity &Identity,
               const Json::Value &Item) {
  Claim Which;
  Which.Identity = Identity;
  Which.BodyDigest = textAt(Item, "body");
  Which.Host = HostId(textAt(Item, "host"));
  Which.Life = Incarnation(intAt(Item, "life"));
  Which.Attempt = AttemptId(textAt(Item, "attempt"));
  if (Identity.Key.empty() || Identity.Key.size() > MaxKeyBytes ||
      Which.Attempt.empty())
    return;
  ClaimBook &Book = State.Books[Identity.text()];
  Book.IssuedMillis = Identity.IssuedMillis;
  bool IsNew = findAttempt(Book, Which.Attempt) == nullptr &&
               Book.Void.count(Which.Attempt) == 0;
  if (IsNew)
    Book.Contenders.push_back(
        ClaimEntry{Which, At, ClaimProgress::Claimed, ""});
}

void foldVoid(ClaimState &State, const ClaimIdentity &Identity,
              const Json::Value &Item) {
  AttemptId Attempt(textAt(Item, "attempt"));
  ClaimBook &Book = State.Books[Identity.text()];
  Book.IssuedMillis = Identity.IssuedMillis;
  const ClaimEntry *Entry = findAttempt(Book, Attempt);
  bool HasRun = Entry != nullptr && Entry->Progress != ClaimProgress::Claimed;
  if (!HasRun)
    eraseAttempt(Book, Attempt);
}

void foldDone(ClaimState &State, const ClaimIdentity &Identity,
              const Json::Value &Item) {
  auto Found = State.Books.find(Identity.text());
  if (Found == State.Books.end())
    return;
  ClaimEntry *Entry =
      findAttempt(Found->second, AttemptId(textAt(Item, "attempt")));
  if (Entry == nullptr || Entry->Progress != ClaimProgress::Claimed)
    return;
  Entry->Progress = ClaimProgress::Done;
  Entry->OutcomeDigest = textAt(Item, "outcome");
}

/// An operator who found that the order did not run frees the identity; one
/// who found that it ran closes it for good.
void foldResolved(ClaimState &State, const ClaimIdentity &Identity,
                  const Json::Value &Item) {
  auto Found = State.Books.find(Identity.text());
  if (Found == State.Books.end())
    return;
  AttemptId Attempt(textAt(Item, "attempt"));
  ClaimBook &Book = Found->second;
  ClaimEntry *Entry = findAttempt(Book, Attempt);
  if (Entry == nullptr || Entry->Progress != ClaimProgress::Claimed)
    return;
  if (boolAt(Item, "ran"))
    Entry->Progress = ClaimProgress::Resolved;
  else
    eraseAttempt(Book, Attempt);
}

void foldItem(ClaimState &State, Offset At, const Json::Value &Item,
              const ClaimWindow &Window) {
  ClaimIdentity Identity = identityFromJson(memberAt(Item, "id"));
  if (!isIdentityCurrent(Identity, State.LastRecordAt, Window))
    return;
  std::string Type = textAt(Item, "type");
  if (Type == "claim")
    foldClaim(State, At, Identity, Item);
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
  return Issued + Window.Length > Now && Issued < Now + Window.AheadBy;
}

bool coversIdentity(const ClaimState &State, const ClaimIdentity &Identity,
                    const ClaimWindow &Window) {
  absl::Time Issued = absl::FromUnixMillis(Identity.IssuedMillis);
  return Issued - Window.AheadBy >= State.CompleteFrom;
}

std::string ClaimIdentity::text() const {
  return absl::StrCat(this->Workspace.text(), "\x1f", this->Key, "\x1f",
                      this->IssuedMillis);
}

int claimShard(const ClaimIdentity &Which, int ShardCount) {
  return static_cast<int>(stableHash(Which.text()) %
                          static_cast<uint64_t>(ShardCount));
}

StreamName claimStream(int Shard, int ShardCount) {
  return StreamName(absl::StrCat("claims-", Shard, "-of-", ShardCount));
}

StreamName claimStream(const ClaimIdentity &Which, int ShardCount) {
  return claimStream(claimShard(Which, ShardCount), ShardCount);
}

std::string encodeClaim(const Claim &Which) {
  Json::Value Item;
  Item["type"] = "claim";
  Item["id"] = identityToJson(Which.Identity);
  Item["body"] = Which.BodyDigest;
  Item["host"] = Which.Host.text();
  Item["life"] = Json::Int64(Which.Life.count());
  Item["attempt"] = Which.Attempt.text();
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

std::string encodeDone(const ClaimDone &Which) {
  Json::Value Item;
  Item["type"] = "done";
  Item["id"] = identityToJson(Which.Identity);
  Item["attempt"] = Which.Attempt.text();
  Item["outcome"] = Which.OutcomeDigest;
  return writeJson(Item);
}

std::string encodeResolved(const ClaimIdentity &Identity,
                           const AttemptId &Attempt, bool DidRun,
                           const std::string &Author) {
  Json::Value Item;
  Item["type"] = "resolved";
  Item["id"] = identityToJson(Identity);
  Item["attempt"] = Attempt.text();
  Item["ran"] = DidRun;
  Item["by"] = Author;
  return writeJson(Item);
}

std::string joinRecords(const std::vector<std::string> &Encoded) {
  std::string Out = "[";
  for (const std::string &Each : Encoded)
    absl::StrAppend(&Out, Out.size() > 1 ? "," : "", Each);
  return Out + "]";
}

void foldClaims(ClaimState &State, Offset At, absl::Time AppendedAt,
                const std::string &Data, const ClaimWindow &Window) {
  if (At <= State.Applied)
    return;
  State.Applied = At;
  absl::Time Before = State.LastRecordAt;
  State.LastRecordAt = std::max(State.LastRecordAt, AppendedAt);
  absl::StatusOr<Json::Value> Record = parseJson(Data);
  if (Record.ok() && Record->isArray()) {
    for (const Json::Value &Item : *Record)
      foldItem(State, At, Item, Window);
  }
  forgetOld(State, Before, Window);
}

const ClaimEntry *findOwner(const ClaimState &State,
                            const ClaimIdentity &Identity) {
  auto Found = State.Books.find(Identity.text());
  if (Found == State.Books.end() || Found->second.Contenders.empty())
    return nullptr;
  return &Found->second.Contenders.front();
}

ClaimJudgement judgeClaim(const ClaimState &State,
                          const ClaimIdentity &Identity,
                          const AttemptId &Attempt,
                          const std::string &BodyDigest) {
  ClaimJudgement Out;
  auto Found = State.Books.find(Identity.text());
  if (Found == State.Books.end())
    return Out;
  const auto &Contenders = Found->second.Contenders;
  auto IsAttempt = [&Attempt](const ClaimEntry &Entry) {
    return Entry.Which.Attempt == Attempt;
  };
  if (std::none_of(Contenders.begin(), Contenders.end(), IsAttempt))
    return Out;
  Out.Owner = Contenders.front();
  if (Out.Owner.Which.Attempt == Attempt &&
      Out.Owner.Progress == ClaimProgress::Claimed)
    Out.Verdict = ClaimVerdict::Won;
  else if (Out.Owner.Which.BodyDigest != BodyDigest)
    Out.Verdict = ClaimVerdict::OtherBody;
  else if (Out.Owner.Progress == ClaimProgress::Claimed)
    Out.Verdict = ClaimVerdict::Lost;
  else
    Out.Verdict = ClaimVerdict::AlreadyDone;
  return Out;
}

} // namespace berylramp
