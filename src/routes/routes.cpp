//===- routes.cpp - Lookup of routes and keys -----------------------------===//
//
// A table has hundreds of routes but few hosts and few prefixes a host match
// a path, so routes are grouped by host and ordered by prefix length.
//
//===----------------------------------------------------------------------===//

#include "berylramp/routes.h"

#include "absl/strings/match.h"
#include <algorithm>

namespace berylramp {

const ServiceInfo *RouteTable::service(const ServiceId &Id) const {
  for (const ServiceInfo &Each : this->Services)
    if (Each.Id == Id)
      return &Each;
  return nullptr;
}

void indexRoutes(RouteTable &Table) {
  Table.ByHost.clear();
  for (size_t Index = 0; Index < Table.Routes.size(); ++Index)
    Table.ByHost[Table.Routes[Index].Host].push_back(Index);
  for (auto &[Host, Indices] : Table.ByHost)
    std::stable_sort(Indices.begin(), Indices.end(), [&](size_t A, size_t B) {
      return Table.Routes[A].Prefix.size() > Table.Routes[B].Prefix.size();
    });
}

const Route *findRoute(const RouteTable &Table, absl::string_view Host,
                       absl::string_view Path) {
  auto Found = Table.ByHost.find(Host);
  if (Found == Table.ByHost.end())
    return nullptr;
  absl::string_view Bare = Path.substr(0, Path.find('?'));
  for (size_t Index : Found->second)
    if (absl::StartsWith(Bare, Table.Routes[Index].Prefix))
      return &Table.Routes[Index];
  return nullptr;
}

const WorkspaceInfo *findWorkspace(const RouteTable &Table,
                                   absl::string_view Key) {
  auto Found = Table.Keys.find(Key);
  return Found == Table.Keys.end() ? nullptr : &Table.Workspaces[Found->second];
}

ServiceId pickService(const Route &Which, double Draw) {
  int64_t Total = 0;
  for (const ServiceShare &Each : Which.Split)
    Total += std::max<int64_t>(Each.Weight, 0);
  double Left = Draw * static_cast<double>(Total);
  for (const ServiceShare &Each : Which.Split) {
    Left -= static_cast<double>(std::max<int64_t>(Each.Weight, 0));
    if (Left < 0)
      return Each.Service;
  }
  return Which.Split.empty() ? ServiceId() : Which.Split.back().Service;
}

} // namespace berylramp
