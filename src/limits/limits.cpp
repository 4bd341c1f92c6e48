//===- limits.cpp - Limits that replicas name for all hosts ---------------===//
//
// What replicas stated of their limits, and the requests that this host may
// send within its parts.
//
//===----------------------------------------------------------------------===//

#include "limit_parts.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace berylramp {

namespace {

/// Tokens that a request that is not urgent leaves in the bucket.
constexpr double UrgentReserve = 0.4;
constexpr absl::Duration ConfirmationInterval = absl::Seconds(2);
/// A replica that is gone, or names no limit any more, is forgotten after this
/// time; reports of its limit are no longer under way then.
constexpr absl::Duration EntryLifetime = absl::Seconds(60);

/// The part until the limit is divided anew: never more than before.
LimitPart scaledPart(const LimitPart &Part, double Former, double Changed) {
  double Ratio = std::min(1.0, std::max(Changed, MinPerSecond) /
                                   std::max(Former, MinPerSecond));
  return {Part.PerSecond * Ratio, Part.Burst * Ratio};
}

bool holds(const NamedLimit &A, const NamedLimit &B) {
  if (A.StartedAtMs != B.StartedAtMs)
    return A.StartedAtMs > B.StartedAtMs;
  if (A.Sequence != B.Sequence)
    return A.Sequence > B.Sequence;
  double Unlimited = HUGE_VAL;
  auto KeyOf = [&](const NamedLimit &Report) {
    return std::make_pair(Report.PerSecond.value_or(Unlimited),
                          Report.Rejections.value_or(Unlimited));
  };
  return KeyOf(A) < KeyOf(B);
}

} // namespace

const ReplicaLimits::Entry *
ReplicaLimits::find(const ReplicaProcess &Replica) const {
  auto Found = this->ByReplica.find(Replica.IdHash);
  if (Found == this->ByReplica.end() || !Found->second.Named.isNamed() ||
      Found->second.Named.StartedAtMs != Replica.StartedAtMs)
    return nullptr;
  return &Found->second;
}

double RequestBucket::at(Instant Now) const {
  double Seconds = absl::ToDoubleSeconds(Now - this->BalanceAt);
  return std::min(this->Part.Burst,
                  this->Balance + Seconds * this->Part.PerSecond);
}

void RequestBucket::setPart(const LimitPart &Changed, Instant Now) {
  this->Balance = std::min(this->at(Now), Changed.Burst);
  this->BalanceAt = Now;
  this->Part = Changed;
}

void RequestBucket::take(Instant Now) {
  this->Balance = this->at(Now) - 1;
  this->BalanceAt = Now;
}

// A changed limit starts with an empty bucket: the requests that were sent
// before count too.
void ReplicaLimits::apply(Entry &Limited, const NamedLimit &Report,
                          Instant Now) {
  bool Continues = Limited.Named.StartedAtMs == Report.StartedAtMs &&
                   Limited.Named.PerSecond && Report.PerSecond;
  NamedLimit Former = Limited.Named;
  Limited.Named = Report;
  Limited.ChangedAt = Now;
  Limited.ObservedAt = Now;
  Limited.KnownAt = Now;
  if (Continues)
    Limited.Bucket.setPart(
        scaledPart(Limited.Bucket.Part, *Former.PerSecond, *Report.PerSecond),
        Now);
  else
    Limited.Bucket = {LimitPart(), 0, Now};
  if (!Former.Rejections || Former.StartedAtMs != Report.StartedAtMs)
    Limited.Room = 0;
}

std::optional<NamedLimit> ReplicaLimits::observe(
    const ReplicaProcess &Replica, std::optional<double> PerSecond,
    std::optional<double> Rejections, Instant SentAt, Instant Now) {
  auto Found = this->ByReplica.find(Replica.IdHash);
  if (Found == this->ByReplica.end() ||
      Found->second.Named.StartedAtMs < Replica.StartedAtMs) {
    if (!PerSecond && !Rejections)
      return std::nullopt;
    Entry &Limited = this->ByReplica[Replica.IdHash];
    NamedLimit News{Replica.IdHash, Replica.StartedAtMs, 1, PerSecond,
                    Rejections};
    this->apply(Limited, News, Now);
    return News;
  }
  Entry &Limited = Found->second;
  if (Limited.Named.StartedAtMs != Replica.StartedAtMs)
    return std::nullopt;
  if (Limited.Named.PerSecond == PerSecond &&
      Limited.Named.Rejections == Rejections) {
    Limited.ObservedAt = Now;
    return std::nullopt;
  }
  // Answers overtake each other: one to a request from before the last change
  // may be older than that change.
  auto Lowers = [](std::optional<double> New, std::optional<double> Old) {
    return New && (!Old || *New < *Old);
  };
  bool IsLower = Lowers(PerSecond, Limited.Named.PerSecond) ||
                 Lowers(Rejections, Limited.Named.Rejections);
  if (!IsLower && SentAt < Limited.ChangedAt)
    return std::nullopt;
  NamedLimit News = Limited.Named;
  News.Sequence += 1;
  News.PerSecond = PerSecond;
  News.Rejections = Rejections;
  this->apply(Limited, News, Now);
  return News;
}

bool ReplicaLimits::merge(const NamedLimit &Report, Instant Now) {
  auto [Found, IsNew] = this->ByReplica.try_emplace(Report.Replica);
  if (!IsNew && !holds(Report, Found->second.Named))
    return false;
  this->apply(Found->second, Report, Now);
  return true;
}

void ReplicaLimits::divide(
    const LimitMembers &Members,
    const std::function<std::optional<LimitedReplica>(uint64_t)> &Find,
    Instant Now) {
  std::vector<LimitMember> All = Members.all();
  for (auto &[Hash, Limited] : this->ByReplica) {
    std::optional<LimitedReplica> Known = Find(Hash);
    if (!Known)
      continue;
    Limited.KnownAt = Now;
    ReplicaProcess Process{Hash, Limited.Named.StartedAtMs, Known->Place};
    bool SharesRoom = Limited.Named.Rejections && Members.mayShare();
    Limited.Room =
        SharesRoom ? roomPart(Known->Slots, Process, All, Members.self()) : 0;
    if (!Limited.Named.PerSecond)
      continue;
    LimitPart Part;
    if (Members.mayShare())
      Part =
          partOfLimit(*Limited.Named.PerSecond, Process, All, Members.self());
    Limited.Bucket.setPart(Part, Now);
  }
  if (this->hasWarmups())
    this->divideWarmups(Members, Find, Now);
}

void ReplicaLimits::sweep(Instant Now) {
  absl::erase_if(this->ByReplica, [&](const auto &Record) {
    const Entry &Limited = Record.second;
    bool Ended = !Limited.Named.isNamed();
    return Now - (Ended ? Limited.ChangedAt : Limited.KnownAt) > EntryLifetime;
  });
}

std::optional<double>
ReplicaLimits::limitOf(const ReplicaProcess &Replica) const {
  const Entry *Limited = this->find(Replica);
  return Limited != nullptr ? Limited->Named.PerSecond : std::nullopt;
}

bool ReplicaLimits::allows(const ReplicaProcess &Replica, bool Urgent,
                           Instant Now) const {
  const Warmup *Cold = this->findCold(Replica.IdHash, Now);
  if (Cold != nullptr && (Cold->Cold.at(Now) < 1 ||
                          Cold->sentInLastSecond(Now) >= Cold->Cold.Part.Burst))
    return false;
  const Entry *Limited = this->find(Replica);
  return Limited == nullptr || !Limited->Named.PerSecond ||
         Limited->Bucket.at(Now) >= 1 + (Urgent ? 0 : UrgentReserve);
}

std::optional<int> ReplicaLimits::roomOf(const ReplicaProcess &Replica) const {
  const Entry *Limited = this->find(Replica);
  if (Limited == nullptr || !Limited->Named.Rejections)
    return std::nullopt;
  return Limited->Room;
}

Instant ReplicaLimits::allowedAt(const ReplicaProcess &Replica, bool Urgent,
                                 Instant Now) const {
  // A host without a part states when one that has a part would be allowed.
  auto RefilledAt = [&](const RequestBucket &Bucket, double Wanted,
                        double PerSecond) {
    double Rate = Bucket.Part.PerSecond;
    double Missing = Wanted - Bucket.at(Now);
    if (Rate <= 0) {
      Rate = std::max(PerSecond, MinPerSecond);
      Missing = 1;
    }
    return Now + absl::Seconds(std::max(0.0, Missing) / Rate);
  };
  Instant At = Now;
  const Warmup *Cold = this->findCold(Replica.IdHash, Now);
  if (Cold != nullptr)
    At = std::min(std::max(RefilledAt(Cold->Cold, 1, Cold->Rate.PerSecond),
                           Cold->windowOpensAt(Now), std::less<>()),
                  Cold->ColdUntil, std::less<>());
  const Entry *Limited = this->find(Replica);
  if (Limited == nullptr || !Limited->Named.PerSecond)
    return At;
  return std::max(At,
                  RefilledAt(Limited->Bucket, 1 + (Urgent ? 0 : UrgentReserve),
                             *Limited->Named.PerSecond),
                  std::less<>());
}

bool ReplicaLimits::needsConfirmation(const ReplicaProcess &Replica,
                                      Instant Now) const {
  const Entry *Limited = this->find(Replica);
  return Limited != nullptr && Now - Limited->ObservedAt > ConfirmationInterval;
}

void ReplicaLimits::onSent(const ReplicaProcess &Replica, Instant Now) {
  auto Found = this->ByReplica.find(Replica.IdHash);
  if (Found != this->ByReplica.end())
    Found->second.Bucket.take(Now);
  if (this->hasWarmups())
    this->onSentToWarmup(Replica.IdHash, Now);
}

std::vector<NamedLimit> ReplicaLimits::reports(size_t MaxCount) {
  std::vector<NamedLimit> Result;
  size_t Position = 0;
  size_t Count = this->ByReplica.size();
  for (const auto &[Hash, Limited] : this->ByReplica) {
    size_t FromNext = (Position + Count - this->NextReport % Count) % Count;
    if (FromNext < MaxCount)
      Result.push_back(Limited.Named);
    Position += 1;
  }
  this->NextReport += MaxCount;
  return Result;
}

} // namespace berylramp
