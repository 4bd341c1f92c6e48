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
/// The host that reads the store for a region: of those in \p Able that read
/// already, or else of all that could, the one with the lowest address; \p
/// Otherwise where there is none.
uint32_t chooseReader(const std::vector<const PeerState *> &Able,
                      uint32_t Otherwise);

/// Whether \p A writes the states of roll-outs before \p B does: hosts that
/// read the store know where the topic ends.
bool writesBefore(const PeerState &A, const PeerState &B);

uint32_t parseIp(const std::string &Text);
std::string ipText(uint32_t Ip);

} // namespace berylramp

#endif // BERYLRAMP_EDGE_DIRECTORY_H
