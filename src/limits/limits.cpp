//===- limits.cpp - Limits that replicas name for all hosts ---------------===//
//
// Parts add up to the limit without any agreement: each host ranks the hosts
// that it knows by rendezvous hashing, and those with the lowest ranks have one
// part each. Hosts that know different hosts disagree only on the ranks next to
// the ones in question.
//
//===----------------------------------------------------------------------===//

#include "berylramp/limits.h"

#include <algorithm>
#include <cmath>

namespace berylramp {

namespace {

/// Unused requests that all hosts together keep for a limit. Together with four
/// seconds of the limit they stay below what the operators allow in that time,
/// with a margin for hosts that know different hosts.
constexpr double BurstBase = 3;
constexpr double BurstSeconds = 1.5;
/// Hosts that share a limit of zero, and further ones per request per second.
/// Each keeps at least BurstSeconds requests.
constexpr double BaseUsers = 2;
/// A limit of zero is tried this often, to notice that it ends.
constexpr double MinPerSecond = 0.1;
/// Tokens that a request that is not urgent leaves in the bucket.
constexpr double UrgentReserve = 0.4;
/// A host that is not among those heard recently for this long has no part any
/// more. In that time a host that was cut off gives up its part.
constexpr absl::Duration MemberTimeout = absl::Seconds(4);
/// The same for a host that hears no majority. Most hosts have failed then, or
/// the cut lasts for so long that the limit is worth less than the replica.
constexpr absl::Duration LostMajorityTimeout = absl::Seconds(30);
constexpr absl::Duration ConfirmationInterval = absl::Seconds(2);
/// A replica that is gone, or names no limit any more, is forgotten after this
/// time; reports of its limit are no longer under way then.
constexpr absl::Duration EntryLifetime = absl::Seconds(60);

/// Mixes all bits, so that similar addresses give unrelated ranks.
uint64_t rankHash(uint64_t Replica, uint32_t Ip) {
  uint64_t Mixed = Replica ^ (Ip * 0x9E3779B97F4A7C15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
}

/// The part until the limit is divided anew: never more than before.
LimitPart scaledPart(const LimitPart &Part, double Former, double Changed) {
  double Ratio = std::min(1.0, std::max(Changed, MinPerSecond) /
                                   std::max(Former, MinPerSecond));
  return {Part.PerSecond * Ratio, Part.Burst * Ratio};
}

/// Share of a brittle replica's slots that hosts use, and of these the part of
/// the hosts in its data centre.
constexpr double RoomShare = 0.9;
constexpr double NearRoomShare = 2.0 / 3;

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

void LimitMembers::update(const std::vector<LimitMember> &Heard,
                          const std::vector<uint32_t> &KnownIps, Instant Now) {
  for (uint32_t Ip : KnownIps)
    if (Ip != this->Self.Ip)
      this->Others.try_emplace(Ip, Entry{PlaceId(), Now});
  for (const LimitMember &Other : Heard)
    this->Others[Other.Ip] = {Other.Place, Now};
  size_t Reached = Heard.size() + 1;
  size_t Total = this->Others.size() + 1;
  this->MayShare = 2 * Reached >= Total;
  absl::Duration Timeout =
      2 * Reached > Total ? MemberTimeout : LostMajorityTimeout;
  for (auto Other = this->Others.begin(); Other != this->Others.end();)
    Other = Now - Other->second.HeardAt > Timeout ? this->Others.erase(Other)
                                                  : std::next(Other);
}

void LimitMembers::remove(uint32_t Ip) { this->Others.erase(Ip); }

std::vector<LimitMember> LimitMembers::all() const {
  std::vector<LimitMember> Result = {this->Self};
  for (const auto &[Ip, Other] : this->Others)
    Result.push_back({Ip, Other.Place});
  return Result;
}

LimitPart partOfLimit(double PerSecond, const ReplicaProcess &Replica,
                      const std::vector<LimitMember> &Members,
                      const LimitMember &Self) {
  // A host whose data centre is not known yet may be in any.
  auto IsNear = [&](const LimitMember &Member) {
    return Member.Place.empty() || Member.Place == Replica.Place;
  };
  bool AnyNear = std::any_of(Members.begin(), Members.end(), IsNear);
  if (AnyNear && !IsNear(Self))
    return {};
  uint64_t OwnHash = rankHash(Replica.IdHash, Self.Ip);
  size_t Rank = 0;
  size_t Sharing = 0;
  for (const LimitMember &Member : Members) {
    if (AnyNear && !IsNear(Member))
      continue;
    Sharing += 1;
    Rank += rankHash(Replica.IdHash, Member.Ip) < OwnHash ? 1 : 0;
  }
  double Bounded = std::max(PerSecond, MinPerSecond);
  auto Users = std::min(
      Sharing, static_cast<size_t>(std::max(1.0, BaseUsers + Bounded)));
  if (Rank >= Users)
    return {};
  auto Parts = static_cast<double>(Users);
  return {Bounded / Parts, (BurstBase + BurstSeconds * Bounded) / Parts};
}

int roomPart(int Slots, const ReplicaProcess &Replica,
             const std::vector<LimitMember> &Members, const LimitMember &Self) {
  auto IsNear = [&](const LimitMember &Member) {
    return Member.Place == Replica.Place;
  };
  bool OwnIsNear = IsNear(Self);
  uint64_t OwnHash = rankHash(Replica.IdHash, Self.Ip);
  int Near = 0;
  int Alike = 0;
  int Rank = 0;
  for (const LimitMember &Member : Members) {
    Near += IsNear(Member) ? 1 : 0;
    if (IsNear(Member) != OwnIsNear)
      continue;
    Alike += 1;
    Rank += rankHash(Replica.IdHash, Member.Ip) < OwnHash ? 1 : 0;
  }
  int Total = std::max(1, static_cast<int>(Slots * RoomShare));
  int Far = static_cast<int>(Members.size()) - Near;
  int NearTotal = Near == 0 ? 0
                  : Far == 0
                      ? Total
                      : static_cast<int>(std::ceil(Total * NearRoomShare));
  int Shared = OwnIsNear ? NearTotal : Total - NearTotal;
  return Shared / Alike + (Rank < Shared % Alike ? 1 : 0);
}

const ReplicaLimits::Entry *
ReplicaLimits::find(const ReplicaProcess &Replica) const {
  auto Found = this->ByReplica.find(Replica.IdHash);
  if (Found == this->ByReplica.end() || !Found->second.Named.isNamed() ||
      Found->second.Named.StartedAtMs != Replica.StartedAtMs)
    return nullptr;
  return &Found->second;
}

double ReplicaLimits::balanceAt(const Entry &Limited, Instant Now) {
  double Seconds = absl::ToDoubleSeconds(Now - Limited.BalanceAt);
  return std::min(Limited.Part.Burst,
                  Limited.Balance + Seconds * Limited.Part.PerSecond);
}

// A changed limit starts with an empty bucket: the requests that were sent
// before count too.
void ReplicaLimits::apply(Entry &Limited, const NamedLimit &Report,
                          Instant Now) {
  bool Continues = Limited.Named.StartedAtMs == Report.StartedAtMs &&
                   Limited.Named.PerSecond && Report.PerSecond;
  double Balance = Continues ? balanceAt(Limited, Now) : 0;
  NamedLimit Former = Limited.Named;
  Limited.Named = Report;
  Limited.ChangedAt = Now;
  Limited.ObservedAt = Now;
  Limited.KnownAt = Now;
  if (Continues)
    Limited.Part =
        scaledPart(Limited.Part, *Former.PerSecond, *Report.PerSecond);
  else
    Limited.Part = {};
  if (!Former.Rejections || Former.StartedAtMs != Report.StartedAtMs)
    Limited.Room = 0;
  Limited.Balance = std::min(Balance, Limited.Part.Burst);
  Limited.BalanceAt = Now;
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
    Limited.Balance = balanceAt(Limited, Now);
    Limited.BalanceAt = Now;
    Limited.Part = {};
    if (Members.mayShare())
      Limited.Part =
          partOfLimit(*Limited.Named.PerSecond, Process, All, Members.self());
    Limited.Balance = std::min(Limited.Balance, Limited.Part.Burst);
  }
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
  const Entry *Limited = this->find(Replica);
  return Limited == nullptr || !Limited->Named.PerSecond ||
         balanceAt(*Limited, Now) >= 1 + (Urgent ? 0 : UrgentReserve);
}

std::optional<int> ReplicaLimits::roomOf(const ReplicaProcess &Replica) const {
  const Entry *Limited = this->find(Replica);
  if (Limited == nullptr || !Limited->Named.Rejections)
    return std::nullopt;
  return Limited->Room;
}

Instant ReplicaLimits::allowedAt(const ReplicaProcess &Replica, bool Urgent,
                                 Instant Now) const {
  const Entry *Limited = this->find(Replica);
  if (Limited == nullptr || !Limited->Named.PerSecond)
    return Now;
  double Rate = Limited->Part.PerSecond;
  double Missing = 1 + (Urgent ? 0 : UrgentReserve) - balanceAt(*Limited, Now);
  if (Rate <= 0) {
    Rate = std::max(*Limited->Named.PerSecond, MinPerSecond);
    Missing = 1;
  }
  return Now + absl::Seconds(std::max(0.0, Missing) / Rate);
}

bool ReplicaLimits::needsConfirmation(const ReplicaProcess &Replica,
                                      Instant Now) const {
  const Entry *Limited = this->find(Replica);
  return Limited != nullptr && Now - Limited->ObservedAt > ConfirmationInterval;
}

void ReplicaLimits::onSent(const ReplicaProcess &Replica, Instant Now) {
  auto Found = this->ByReplica.find(Replica.IdHash);
  if (Found == this->ByReplica.end())
    return;
  Entry &Limited = Found->second;
  Limited.Balance = balanceAt(Limited, Now) - 1;
  Limited.BalanceAt = Now;
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
