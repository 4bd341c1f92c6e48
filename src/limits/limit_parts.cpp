//===- limit_parts.cpp - Parts of limits among hosts ----------------------===//
//
// Parts add up to the limit without any agreement: each host ranks the hosts
// that it knows by rendezvous hashing, and those with the lowest ranks have one
// part each. Hosts that know different hosts disagree only on the ranks next to
// the ones in question.
//
//===----------------------------------------------------------------------===//

#include "limit_parts.h"

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
/// A host that is not among those heard recently for this long has no part any
/// more. In that time a host that was cut off gives up its part.
constexpr absl::Duration MemberTimeout = absl::Seconds(4);
/// The same for a host that hears no majority. Most hosts have failed then, or
/// the cut lasts for so long that the limit is worth less than the replica.
constexpr absl::Duration LostMajorityTimeout = absl::Seconds(30);
/// Share of a brittle replica's slots that hosts use, and of these the part of
/// the hosts in its data centre.
constexpr double RoomShare = 0.9;
constexpr double NearRoomShare = 2.0 / 3;

/// Share of what cold replicas may receive in one second that hosts use. The
/// rest is a margin for hosts that know different hosts.
constexpr double WarmupShare = 0.8;
/// Requests that a user of a cold replica may send in one second. With fewer,
/// what a host doesn't use at once would be lost.
constexpr double WarmupBurst = 3;
/// The same for a replica that may turn cold, where hosts in other data centres
/// take part too.
constexpr double NearGuardShare = 0.75;
/// Requests that one host may send such a replica at once.
constexpr double GuardBurst = 2;

/// Mixes all bits, so that similar addresses give unrelated ranks.
uint64_t rankHash(uint64_t Replica, uint32_t Ip) {
  uint64_t Mixed = Replica ^ (Ip * 0x9E3779B97F4A7C15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
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

namespace {

/// The part of \p Self in \p Total, divided among at most \p MaxUsers hosts.
LimitPart partAmong(size_t MaxUsers, const LimitPart &Total,
                    const ReplicaProcess &Replica,
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
  size_t Users = std::min(Sharing, MaxUsers);
  if (Rank >= Users)
    return {};
  auto Parts = static_cast<double>(Users);
  return {Total.PerSecond / Parts, Total.Burst / Parts};
}

} // namespace

LimitPart partOfLimit(double PerSecond, const ReplicaProcess &Replica,
                      const std::vector<LimitMember> &Members,
                      const LimitMember &Self) {
  double Bounded = std::max(PerSecond, MinPerSecond);
  auto Users = static_cast<size_t>(std::max(1.0, BaseUsers + Bounded));
  LimitPart Total{Bounded, BurstBase + BurstSeconds * Bounded};
  return partAmong(Users, Total, Replica, Members, Self);
}

LimitPart partOfWarmup(const WarmupRate &Rate, const ReplicaProcess &Replica,
                       const std::vector<LimitMember> &Members,
                       const LimitMember &Self) {
  double Most = std::max(1.0, WarmupShare * Rate.mostInOneSecond());
  auto Users = static_cast<size_t>(std::max(1.0, Most / WarmupBurst));
  double PerSecond = std::min(std::max(Rate.PerSecond, MinPerSecond), Most);
  LimitPart Part = partAmong(Users, {PerSecond, Most}, Replica, Members, Self);
  Part.Burst = std::floor(Part.Burst);
  return Part;
}

LimitPart partOfGuard(const WarmupRate &Rate, const ReplicaProcess &Replica,
                      const std::vector<LimitMember> &Members,
                      const LimitMember &Self) {
  auto Near = static_cast<double>(std::count_if(
      Members.begin(), Members.end(), [&](const LimitMember &Member) {
        return Member.Place == Replica.Place;
      }));
  double Far = static_cast<double>(Members.size()) - Near;
  double Most = Rate.mostInOneSecond();
  double NearShare = Near == 0 ? 0 : Far == 0 ? 1 : NearGuardShare;
  if (Self.Place == Replica.Place)
    return {Most * NearShare / std::max(1.0, Near), GuardBurst};
  return {Most * (1 - NearShare) / std::max(1.0, Far), GuardBurst};
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

} // namespace berylramp
