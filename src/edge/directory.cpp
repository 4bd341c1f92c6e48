//===- directory.cpp - Which addresses callers are told -------------------===//

#include "directory.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>

namespace berylramp {

namespace {

/// With fewer near hosts, one that fails would take its callers' time.
constexpr size_t EnoughNear = 2;

std::vector<uint32_t> addressesOf(const std::vector<const PeerState *> &Hosts,
                                  size_t Most) {
  std::vector<uint32_t> Out;
  for (const PeerState *Each : Hosts)
    if (Out.size() < Most)
      Out.push_back(Each->Ip);
  return Out;
}

} // namespace

std::vector<uint32_t> hostsFor(const DirectoryQuery &Query,
                               const std::vector<PeerState> &Hosts) {
  std::vector<const PeerState *> Usable;
  std::vector<const PeerState *> SamePlace;
  std::vector<const PeerState *> SameRegion;
  for (const PeerState &Each : Hosts) {
    if (!Each.Ready || Each.Leaving)
      continue;
    Usable.push_back(&Each);
    if (Each.Place == Query.Place)
      SamePlace.push_back(&Each);
    auto Region = Query.Regions->find(Each.Place);
    if (Region != Query.Regions->end() && Region->second == Query.Region)
      SameRegion.push_back(&Each);
  }
  if (SamePlace.size() >= EnoughNear)
    return addressesOf(SamePlace, Query.Most);
  if (SameRegion.size() >= EnoughNear)
    return addressesOf(SameRegion, Query.Most);
  return addressesOf(Usable, Query.Most);
}

uint32_t chooseReader(const std::vector<const PeerState *> &Able,
                      uint32_t Otherwise) {
  uint32_t Reads = 0;
  uint32_t Could = 0;
  auto Lower = [](uint32_t A, uint32_t B) {
    return A == 0 ? B : std::min(A, B);
  };
  for (const PeerState *Each : Able) {
    if (!Each->Ready || Each->Leaving || Each->Store == StoreUse::Away)
      continue;
    Could = Lower(Could, Each->Ip);
    if (Each->Store == StoreUse::Reads)
      Reads = Lower(Reads, Each->Ip);
  }
  if (Reads != 0)
    return Reads;
  return Could != 0 ? Could : Otherwise;
}

bool writesBefore(const PeerState &A, const PeerState &B) {
  bool FirstReads = A.Store == StoreUse::Reads;
  bool SecondReads = B.Store == StoreUse::Reads;
  return FirstReads == SecondReads ? A.Ip < B.Ip : FirstReads;
}

uint32_t parseIp(const std::string &Text) {
  boost::system::error_code Error;
  auto Address = boost::asio::ip::make_address_v4(Text, Error);
  return Error ? 0 : Address.to_uint();
}

std::string ipText(uint32_t Ip) {
  return boost::asio::ip::address_v4(Ip).to_string();
}

} // namespace berylramp
