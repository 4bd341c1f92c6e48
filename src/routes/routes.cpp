//===- routes.cpp - Lookup of routes, services and keys -------------------===//
//
// A table has hundreds of routes but few hosts, and only a few prefixes of a
// host match a path. Routes are therefore grouped by host and sorted by
// descending prefix length.
//
//===----------------------------------------------------------------------===//

#include "berylramp/routes.h"

#include "absl/strings/match.h"
#include <algorithm>
#include <limits>

namespace berylramp {

const ServiceInfo *RouteTable::service(const ServiceId &Id) const {
  for (const ServiceInfo &Info : this->Services)
    if (Info.Id == Id)
      return &Info;
  return nullptr;
}

void indexRoutes(RouteTable &Table) {
  Table.RoutesByHost.clear();
  for (size_t Index = 0; Index < Table.Routes.size(); ++Index)
    Table.RoutesByHost[Table.Routes[Index].Host].push_back(Index);
  for (auto &[Host, Indices] : Table.RoutesByHost)
    std::stable_sort(Indices.begin(), Indices.end(), [&](size_t A, size_t B) {
      return Table.Routes[A].Prefix.size() > Table.Routes[B].Prefix.size();
    });
}

const Route *findRoute(const RouteTable &Table, absl::string_view Host,
                       absl::string_view Path) {
  auto Found = Table.RoutesByHost.find(Host);
  if (Found == Table.RoutesByHost.end())
    return nullptr;
  absl::string_view PathOnly = Path.substr(0, Path.find('?'));
  for (size_t Index : Found->second)
    if (absl::StartsWith(PathOnly, Table.Routes[Index].Prefix))
      return &Table.Routes[Index];
  return nullptr;
}

const WorkspaceInfo *findWorkspace(const RouteTable &Table,
                                   absl::string_view Key) {
  auto Found = Table.Keys.find(Key);
  return Found == Table.Keys.end() ? nullptr : &Table.Workspaces[Found->second];
}

AllowedRegions combineRegions(const AllowedRegions &A,
                              const AllowedRegions &B) {
  if (!A || !B)
    return A ? A : B;
  AllowedRegions Both{std::vector<RegionId>()};
  for (const RegionId &Region : *A)
    if (allowsRegion(B, Region))
      Both->push_back(Region);
  return Both;
}

bool allowsRegion(const AllowedRegions &Regions, const RegionId &Region) {
  return !Regions ||
         std::find(Regions->begin(), Regions->end(), Region) != Regions->end();
}

AllowedRegions regionsOfHost(const RouteTable &Table, absl::string_view Host) {
  auto Found = Table.RoutesByHost.find(Host);
  if (Found == Table.RoutesByHost.end())
    return std::nullopt;
  AllowedRegions All;
  std::vector<RegionId> Any;
  for (size_t Index : Found->second) {
    const AllowedRegions &Stated = Table.Routes[Index].Regions;
    if (!Stated)
      continue;
    All = combineRegions(All, Stated);
    Any.insert(Any.end(), Stated->begin(), Stated->end());
  }
  return All && All->empty() ? AllowedRegions(Any) : All;
}

int mostUrgentPriority(const RouteTable &Table, const ServiceId &Service) {
  int Lowest = std::numeric_limits<int>::max();
  for (const Route &Candidate : Table.Routes)
    for (const ServiceShare &Share : Candidate.ServiceShares)
      if (Share.Service == Service)
        Lowest = std::min(Lowest, Candidate.Priority);
  return Lowest;
}

ServiceId pickService(const Route &Source, double Draw) {
  int64_t Total = 0;
  for (const ServiceShare &Share : Source.ServiceShares)
    Total += std::max<int64_t>(Share.Weight, 0);
  double Remaining = Draw * static_cast<double>(Total);
  for (const ServiceShare &Share : Source.ServiceShares) {
    Remaining -= static_cast<double>(std::max<int64_t>(Share.Weight, 0));
    if (Remaining < 0)
      return Share.Service;
  }
  return Source.ServiceShares.empty() ? ServiceId()
                                      : Source.ServiceShares.back().Service;
}

} // namespace berylramp
