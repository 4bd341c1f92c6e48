//===- routes_test.cpp - Lookup of routes and keys ------------------------===//

#include "berylramp/routes.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace berylramp;

namespace {

RouteTable makeTable(const std::vector<std::string> &Prefixes) {
  RouteTable Table;
  for (const std::string &Prefix : Prefixes) {
    Route Row;
    Row.Name = Prefix;
    Row.Host = "h";
    Row.Prefix = Prefix;
    Table.Routes.push_back(Row);
  }
  indexRoutes(Table);
  return Table;
}

} // namespace

TEST_CASE("The longest prefix that begins the path wins") {
  RouteTable Table = makeTable({"/a/", "/a/b/", "/"});
  CHECK(findRoute(Table, "h", "/a/b/c")->Name == "/a/b/");
  CHECK(findRoute(Table, "h", "/a/x?y=/a/b/")->Name == "/a/");
  CHECK(findRoute(Table, "h", "/z")->Name == "/");
}

TEST_CASE("Another host or path has no route") {
  RouteTable Table = makeTable({"/a/"});
  CHECK(findRoute(Table, "other", "/a/b") == nullptr);
  CHECK(findRoute(Table, "h", "/ab") == nullptr);
  CHECK(findRoute(Table, "h", "/a?x=/a/") == nullptr);
}

TEST_CASE("A key belongs to one workspace") {
  RouteTable Table;
  Table.Workspaces = {{WorkspaceId("one"), -1}, {WorkspaceId("two"), 3}};
  Table.Keys["k2"] = 1;
  CHECK(findWorkspace(Table, "k2")->Id == WorkspaceId("two"));
  CHECK(findWorkspace(Table, "k") == nullptr);
  CHECK(findWorkspace(Table, "") == nullptr);
}

TEST_CASE("A split follows its weights") {
  rc::prop("every draw picks a service with a weight", [] {
    Route Row;
    auto Weights =
        *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 20));
    Weights.push_back(1);
    for (size_t Index = 0; Index < Weights.size(); ++Index)
      Row.ServiceShares.push_back(
          {ServiceId(std::to_string(Index)), Weights[Index]});
    double Draw = *rc::gen::inRange(0, 1000) / 1000.0;
    ServiceId Picked = pickService(Row, Draw);
    RC_ASSERT(Weights[std::stoul(Picked.text())] > 0);
  });
}

TEST_CASE("Regions of a route and of a workspace both bind") {
  auto List = [](const std::vector<std::string> &Names) {
    AllowedRegions Regions{std::vector<RegionId>()};
    for (const std::string &Name : Names)
      Regions->emplace_back(Name);
    return Regions;
  };
  CHECK(combineRegions({}, {}) == std::nullopt);
  CHECK(combineRegions(List({"a"}), {}) == List({"a"}));
  CHECK(combineRegions({}, List({"a", "b"})) == List({"a", "b"}));
  CHECK(combineRegions(List({"a", "b"}), List({"b", "c"})) == List({"b"}));
  CHECK(combineRegions(List({"a"}), List({"c"})) == List({}));
  CHECK(combineRegions(List({}), {}) == List({}));
  CHECK(allowsRegion({}, RegionId("a")));
  CHECK(allowsRegion(List({"a"}), RegionId("a")));
  CHECK_FALSE(allowsRegion(List({"a"}), RegionId("b")));
  CHECK_FALSE(allowsRegion(List({}), RegionId()));
}

TEST_CASE("A host name has the regions that all its bound routes allow") {
  RouteTable Table = makeTable({"/a/", "/b/", "/c/"});
  CHECK(regionsOfHost(Table, "h") == std::nullopt);
  CHECK(regionsOfHost(Table, "other") == std::nullopt);
  Table.Routes[0].Regions = {{RegionId("x"), RegionId("y")}};
  Table.Routes[1].Regions = {{RegionId("y")}};
  CHECK(regionsOfHost(Table, "h") == AllowedRegions({RegionId("y")}));
  Table.Routes[1].Regions = {{RegionId("z")}};
  CHECK(regionsOfHost(Table, "h") ==
        AllowedRegions({RegionId("x"), RegionId("y"), RegionId("z")}));
}
