//===- directory.h - Directory of host addresses for callers ----*- C++ -*-===//

#ifndef BERYLRAMP_EDGE_DIRECTORY_H
#define BERYLRAMP_EDGE_DIRECTORY_H

#include "berylramp/gossip.h"
#include "berylramp/routes.h"
#include <map>

namespace berylramp {

struct DirectoryQuery {
  PlaceId Place;
  std::string Region;
  /// Region of each data centre.
  const std::map<PlaceId, std::string> *Regions = nullptr;
  size_t MaxHosts = 64;
  /// The regions that the routes of the queried name allow.
  AllowedRegions Allowed;
};

/// Addresses of the hosts that a caller should use: those of its data centre,
/// or of its region when the data centre has fewer than two usable hosts. When
/// the region has fewer than two as well, those of its region and of the
/// allowed ones; all usable hosts when there are none.
std::vector<uint32_t> hostsFor(const DirectoryQuery &Query,
                               const std::vector<PeerState> &Hosts);

/// A host that needs another one to reach a replica.
struct TunnelQuery {
  PlaceId OwnPlace;
  PlaceId ReplicaPlace;
  /// Region of each data centre.
  const std::map<PlaceId, std::string> *Regions = nullptr;
  /// Hosts that were tried for the request, or failed to help recently.
  std::vector<uint32_t> Excluded;
  /// The regions in which a host may receive the request.
  AllowedRegions Allowed = std::nullopt;
};

/// Addresses of the hosts that serve equally well; those without a lost path
/// first, then by their distance.
std::vector<uint32_t>
tunnelCandidates(const TunnelQuery &Query,
                 const std::vector<const PeerState *> &Hosts);

/// Selects the host that reads the store for a region: the one with the lowest
/// address of the current readers in \p Candidates, or else of all candidates
/// that can read; \p Fallback when there is none.
uint32_t chooseReader(const std::vector<const PeerState *> &Candidates,
                      uint32_t Fallback);

/// Number of hosts of a region that probe a store which fails them all.
inline constexpr size_t ProbersPerRegion = 3;

/// Whether \p Self probes the store often while it fails: it is among the
/// ready hosts with the lowest addresses in \p Others and itself.
bool probesOften(uint32_t Self, const std::vector<const PeerState *> &Others);

/// Whether \p A writes roll-out states before \p B does. Readers of the store
/// go first because they have the topic's current end offset; then the address
/// decides.
bool writesBefore(const PeerState &A, const PeerState &B);

/// Parses an IPv4 address to host byte order; 0 when \p Text is not valid.
uint32_t parseIp(const std::string &Text);
std::string formatIp(uint32_t Ip);

} // namespace berylramp

#endif // BERYLRAMP_EDGE_DIRECTORY_H
