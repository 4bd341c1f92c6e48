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

uint32_t parseIp(const std::string &Text) {
  boost::system::error_code Error;
  auto Address = boost::asio::ip::make_address_v4(Text, Error);
  return Error ? 0 : Address.to_uint();
}

std::string ipText(uint32_t Ip) {
  return boost::asio::ip::address_v4(Ip).to_string();
}

} // namespace berylramp
