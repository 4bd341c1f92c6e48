//===- directory.cpp - Directory of host addresses for callers ------------===//

#include "directory.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>

namespace berylramp {

namespace {

/// With fewer hosts, the failure of one would delay its callers, because they
/// have no other host to use.
constexpr size_t MinNearHosts = 2;

std::vector<uint32_t> addressesOf(const std::vector<const PeerState *> &Hosts,
                                  size_t MaxHosts) {
  std::vector<uint32_t> Addresses;
  for (const PeerState *Host : Hosts)
    if (Addresses.size() < MaxHosts)
      Addresses.push_back(Host->Ip);
  return Addresses;
}

} // namespace

std::vector<uint32_t> hostsFor(const DirectoryQuery &Query,
                               const std::vector<PeerState> &Hosts) {
  std::vector<const PeerState *> Usable;
  std::vector<const PeerState *> SamePlace;
  std::vector<const PeerState *> SameRegion;
  std::vector<const PeerState *> Allowed;
  for (const PeerState &Host : Hosts) {
    if (!Host.Ready || Host.Leaving)
      continue;
    Usable.push_back(&Host);
    if (Host.Place == Query.Place)
      SamePlace.push_back(&Host);
    auto Region = Query.Regions->find(Host.Place);
    bool IsKnown = Region != Query.Regions->end();
    bool IsNear = IsKnown && Region->second == Query.Region;
    if (IsNear)
      SameRegion.push_back(&Host);
    if (IsNear ||
        (IsKnown && allowsRegion(Query.Allowed, RegionId(Region->second))))
      Allowed.push_back(&Host);
  }
  if (SamePlace.size() >= MinNearHosts)
    return addressesOf(SamePlace, Query.MaxHosts);
  if (SameRegion.size() >= MinNearHosts)
    return addressesOf(SameRegion, Query.MaxHosts);
  return addressesOf(Allowed.empty() || !Query.Allowed ? Usable : Allowed,
                     Query.MaxHosts);
}

std::vector<uint32_t>
tunnelCandidates(const TunnelQuery &Query,
                 const std::vector<const PeerState *> &Hosts) {
  auto RegionOf = [&](const PlaceId &Place) {
    auto Found = Query.Regions->find(Place);
    return Found == Query.Regions->end() ? std::string() : Found->second;
  };
  std::string OwnRegion = RegionOf(Query.OwnPlace);
  // The bytes cross the link to the replica's data centre in any case.
  auto RankOf = [&](const PeerState &Host) {
    constexpr int LostPathsRank = 10;
    int Rank = Host.Place == Query.ReplicaPlace    ? 0
               : Host.Place == Query.OwnPlace      ? 1
               : RegionOf(Host.Place) == OwnRegion ? 2
                                                   : 3;
    return Host.LostPaths ? Rank + LostPathsRank : Rank;
  };
  std::vector<uint32_t> Best;
  int BestRank = 0;
  for (const PeerState *Host : Hosts) {
    bool IsExcluded = std::find(Query.Excluded.begin(), Query.Excluded.end(),
                                Host->Ip) != Query.Excluded.end();
    if (!Host->Ready || Host->Leaving || IsExcluded ||
        !allowsRegion(Query.Allowed, RegionId(RegionOf(Host->Place))))
      continue;
    int Rank = RankOf(*Host);
    if (!Best.empty() && Rank > BestRank)
      continue;
    if (Rank < BestRank)
      Best.clear();
    BestRank = Rank;
    Best.push_back(Host->Ip);
  }
  return Best;
}

uint32_t chooseReader(const std::vector<const PeerState *> &Candidates,
                      uint32_t Fallback) {
  uint32_t CurrentReader = 0;
  uint32_t FirstAvailable = 0;
  auto Lower = [](uint32_t A, uint32_t B) {
    return A == 0 ? B : std::min(A, B);
  };
  for (const PeerState *Host : Candidates) {
    if (!Host->Ready || Host->Leaving || Host->Store == StoreRole::Unreachable)
      continue;
    FirstAvailable = Lower(FirstAvailable, Host->Ip);
    if (Host->Store == StoreRole::Reader)
      CurrentReader = Lower(CurrentReader, Host->Ip);
  }
  if (CurrentReader != 0)
    return CurrentReader;
  return FirstAvailable != 0 ? FirstAvailable : Fallback;
}

bool probesOften(uint32_t Self, const std::vector<const PeerState *> &Others) {
  size_t Before = 0;
  for (const PeerState *Host : Others)
    if (Host->Ready && !Host->Leaving && Host->Ip < Self)
      Before += 1;
  return Before < ProbersPerRegion;
}

bool writesBefore(const PeerState &A, const PeerState &B) {
  bool AIsReader = A.Store == StoreRole::Reader;
  bool BIsReader = B.Store == StoreRole::Reader;
  return AIsReader == BIsReader ? A.Ip < B.Ip : AIsReader;
}

uint32_t parseIp(const std::string &Text) {
  boost::system::error_code Error;
  auto Address = boost::asio::ip::make_address_v4(Text, Error);
  return Error ? 0 : Address.to_uint();
}

std::string formatIp(uint32_t Ip) {
  return boost::asio::ip::address_v4(Ip).to_string();
}

} // namespace berylramp
