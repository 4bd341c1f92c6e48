//===- directory.h - Which addresses callers are told -----------*- C++ -*-===//

#ifndef BERYLRAMP_EDGE_DIRECTORY_H
#define BERYLRAMP_EDGE_DIRECTORY_H

#include "berylramp/gossip.h"
#include <map>

namespace berylramp {

struct DirectoryQuery {
  PlaceId Place;
  std::string Region;
  /// Region of each data centre.
  const std::map<PlaceId, std::string> *Regions = nullptr;
  size_t Most = 64;
};

/// The hosts that a caller should use: those near it, or all of them when
/// fewer than two are near.
std::vector<uint32_t> hostsFor(const DirectoryQuery &Query,
                               const std::vector<PeerState> &Hosts);

/// IPv4 text to a number in host byte order; 0 when it is none.
uint32_t parseIp(const std::string &Text);
std::string ipText(uint32_t Ip);

} // namespace berylramp

#endif // BERYLRAMP_EDGE_DIRECTORY_H
