//===- edge_evacuation_test.cpp - Allowed regions and evacuations ---------===//
//
// One host in data centre "zone-a" with replicas there and in "zone-b", which
// lies in another region.
//
//===----------------------------------------------------------------------===//

#include "berylramp/json.h"
#include "partition_fixture.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;
using standin::ReplicaBehavior;
using standin::StoreBehavior;

namespace {

constexpr const char *OwnRegion = "region-zone-a";
constexpr const char *OtherRegion = "region-b";

Json::Value listOf(const std::vector<std::string> &Texts) {
  Json::Value List(Json::arrayValue);
  for (const std::string &Text : Texts)
    List.append(Text);
  return List;
}

std::string tableWith(int64_t Version, const Json::Value &OfRoutes,
                      const Json::Value &OfWorkspace) {
  Json::Value Table = *parseJson(standin::sampleTable(Version, {"key-1"}));
  for (Json::Value &Row : Table["routes"])
    Row["allowedRegions"] = OfRoutes;
  for (Json::Value &Row : Table["tenants"])
    Row["allowedRegions"] = OfWorkspace;
  return writeJson(Table);
}

struct RegionFixture : EdgeFixture {
  RegionFixture() {
    for (const char *Service : {"engine", "plain"})
      for (int Index = 0; Index < 2; ++Index) {
        this->Far.push_back(std::make_shared<standin::Replica>(
            this->Loop, this->Timer, absl::StrCat(Service, "-far-", Index),
            Service, "zone-b"));
        REQUIRE(this->Far.back()->listen().ok());
      }
    this->Config.Regions[PlaceId("zone-b")] = OtherRegion;
    this->putReplicas();
    this->putFar("ready");
  }
  ~RegionFixture() { this->Daemon.reset(); }

  void putFar(const std::string &State) {
    for (const auto &Instance : this->Far)
      this->Store->put("keyed.servers", Instance->id(),
                       Instance->entry(State, "v1"));
  }

  void startWith(const std::vector<std::string> &OfRoutes,
                 const std::vector<std::string> &OfWorkspace = {}) {
    this->Store->put("keyed.op", "config",
                     tableWith(1, listOf(OfRoutes), listOf(OfWorkspace)));
    this->start();
    this->awaitReady(this->Config.Ready);
    REQUIRE(this->runUntil([&] {
      return absl::StrContains(this->Daemon->metricsText(),
                               "berylramp_replicas_known 8");
    }));
  }

  int status(const std::string &Path) {
    this->Count += 1;
    return this->call(Path, absl::StrCat("q", this->Count)).status();
  }

  void evacuate(const std::string &Place) {
    this->Store->put("keyed.op", "evacuate/" + Place, "{}");
    this->awaitEvacuations(1);
  }
  void awaitEvacuations(int Places) {
    REQUIRE(this->runUntil([&] {
      return absl::StrContains(
          this->Daemon->metricsText(),
          absl::StrCat("berylramp_places_evacuated ", Places, "\n"));
    }));
  }

  int64_t nearArrivals() const {
    int64_t Sum = 0;
    for (const auto &Group : {this->Engines, this->PlainReplicas})
      for (const auto &Instance : Group)
        Sum += Instance->ArrivedRequests;
    return Sum;
  }
  int64_t farArrivals() const {
    int64_t Sum = 0;
    for (const auto &Instance : this->Far)
      Sum += Instance->ArrivedRequests;
    return Sum;
  }

  std::vector<std::shared_ptr<standin::Replica>> Far;
  int Count = 0;
};

const std::vector<std::string> Paths = {"/stream/a", "/safe/a", "/once/a"};

} // namespace

// Near replicas served requests whose route names another region.
TEST_CASE_METHOD(RegionFixture, "A request stays in the regions of its route") {
  this->startWith({OtherRegion});
  for (int Round = 0; Round < 5; ++Round)
    for (const std::string &Path : Paths)
      CHECK(this->status(Path) == 200);
  CHECK(this->nearArrivals() == 0);
}

TEST_CASE_METHOD(RegionFixture,
                 "A request stays in the regions of its workspace") {
  this->startWith({OwnRegion, OtherRegion}, {OtherRegion});
  for (const std::string &Path : Paths)
    CHECK(this->status(Path) == 200);
  CHECK(this->nearArrivals() == 0);
}

TEST_CASE_METHOD(RegionFixture, "A repeat stays in the allowed regions") {
  this->startWith({OtherRegion});
  for (const auto &Instance : this->Far)
    Instance->Behavior =
        GENERATE(ReplicaBehavior::RefusesAsFull,
                 ReplicaBehavior::ResetsAfterRun, ReplicaBehavior::Misdirects);
  for (const std::string &Path : Paths)
    CHECK(this->status(Path) != 200);
  CHECK(this->nearArrivals() == 0);
}

TEST_CASE_METHOD(RegionFixture,
                 "A larger model and a resumed stream stay in the regions") {
  this->startWith({OtherRegion});
  for (const auto &Instance : this->Far) {
    Instance->Confidence = 5;
    Instance->EventsBeforeCut = 2;
  }
  this->status("/stream/a");
  bool HasLarger = false;
  bool HasResumed = false;
  for (const auto &Instance : this->Far)
    for (const standin::ExecutedRequest &Run : Instance->ExecutedRequests) {
      HasLarger = HasLarger || Run.Model == "large";
      HasResumed = HasResumed || Run.LastEventId > 0;
    }
  CHECK(HasLarger);
  CHECK(HasResumed);
  CHECK(this->nearArrivals() == 0);
}

TEST_CASE_METHOD(RegionFixture,
                 "A request that no allowed region serves is refused at once") {
  // A region without replicas; regions that do not overlap; an unknown one.
  std::vector<std::string> OfWorkspace = GENERATE(
      std::vector<std::string>{"region-c"}, std::vector<std::string>{OwnRegion},
      std::vector<std::string>{"?"});
  this->startWith({OtherRegion, "region-c", "?"}, OfWorkspace);
  for (const std::string &Path : Paths) {
    RawCaller Caller = this->call(Path, "r1");
    CHECK(Caller.status() == 503);
    CHECK(absl::StrContains(Caller.received(), "no_allowed_region"));
    CHECK(absl::StrContains(Caller.received(), "Retry-After"));
  }
  CHECK(this->nearArrivals() + this->farArrivals() == 0);
  CHECK(this->Daemon->metrics().refusals(RefusalKind::NoAllowedRegion) == 3);
}

TEST_CASE_METHOD(RegionFixture,
                 "A request waits for no region whose replicas stopped") {
  this->startWith({OtherRegion});
  this->putFar("draining");
  CHECK(this->runUntil([&] { return this->status("/safe/a") == 503; }));
  int64_t Before = this->farArrivals();
  for (const std::string &Path : Paths)
    CHECK(this->status(Path) == 503);
  CHECK(this->farArrivals() == Before);
  CHECK(this->nearArrivals() == 0);
  this->putFar("ready");
  CHECK(this->runUntil([&] { return this->status("/safe/a") == 200; }));
}

TEST_CASE_METHOD(RegionFixture, "Malformed regions are those of no replica") {
  Json::Value Malformed = GENERATE(Json::Value("x"), Json::Value(7),
                                   Json::Value(Json::objectValue));
  this->Store->put("keyed.op", "config",
                   tableWith(1, Malformed, Json::Value()));
  this->start();
  this->awaitReady(this->Config.Ready);
  CHECK(this->status("/safe/a") == 503);
  this->Store->put("keyed.op", "config",
                   tableWith(2, Json::Value(), Json::Value()));
  CHECK(this->runUntil([&] { return this->status("/safe/a") == 200; }));
}

TEST_CASE_METHOD(RegionFixture, "Nothing is sent to an evacuated data centre") {
  this->startWith({});
  this->evacuate("zone-a");
  int64_t Before = this->nearArrivals();
  for (const std::string &Path : Paths)
    CHECK(this->status(Path) == 200);
  CHECK(this->nearArrivals() == Before);
  // A replica that appears during the evacuation.
  this->PlainReplicas[0]->StartedAtMs += 1;
  this->putReplicas();
  this->runFor(absl::Seconds(2));
  CHECK(this->status("/safe/a") == 200);
  CHECK(this->nearArrivals() == Before);
  this->Store->put("keyed.op", "evacuate/zone-a", std::nullopt);
  this->awaitEvacuations(0);
  CHECK(this->status("/safe/a") == 200);
  CHECK(this->nearArrivals() == Before + 1);
}

TEST_CASE_METHOD(RegionFixture,
                 "A stream in progress survives the evacuation") {
  this->startWith({});
  RawCaller Caller(this->Loop, this->callerEndpoint());
  Caller.send(makeRequest("/stream/long", "s1", "", "x", "key-1"));
  REQUIRE(this->runUntil(
      [&] { return absl::StrContains(Caller.received(), "data: "); }));
  this->evacuate("zone-a");
  CHECK(this->runUntil([&] { return Caller.hasCompleteAnswer(); }));
  CHECK(Caller.status() == 200);
  CHECK(this->runCount("s1") == 1);
}

TEST_CASE_METHOD(RegionFixture,
                 "With all data centres evacuated requests are refused") {
  this->startWith({});
  this->Store->put("keyed.op", "evacuate/zone-a", "{}");
  this->Store->put("keyed.op", "evacuate/zone-b", "{}");
  this->awaitEvacuations(2);
  int64_t Before = this->nearArrivals() + this->farArrivals();
  for (const std::string &Path : Paths) {
    RawCaller Caller = this->call(Path, "r1");
    CHECK(Caller.status() == 503);
    CHECK(absl::StrContains(Caller.received(), "Retry-After"));
  }
  CHECK(this->nearArrivals() + this->farArrivals() == Before);
  this->Store->put("keyed.op", "evacuate/zone-b", std::nullopt);
  this->awaitEvacuations(1);
  CHECK(this->status("/safe/a") == 200);
}

TEST_CASE_METHOD(RegionFixture,
                 "A host that starts in an evacuation knows it when ready") {
  this->Store->put("keyed.op", "evacuate/zone-a", "{}");
  bool Compacted = GENERATE(false, true);
  if (Compacted)
    this->Store->compact("keyed.op");
  this->startWith({});
  for (const std::string &Path : Paths)
    CHECK(this->status(Path) == 200);
  CHECK(this->nearArrivals() == 0);
}

TEST_CASE_METHOD(RegionFixture,
                 "An evacuation ends with a store that forgot its history") {
  this->startWith({});
  this->evacuate("zone-a");
  this->Store->Behavior = StoreBehavior::Refuses;
  this->runFor(absl::Milliseconds(1500));
  this->Store->put("keyed.op", "evacuate/zone-a", std::nullopt);
  this->Store->put("keyed.op", "config",
                   tableWith(2, Json::Value(), Json::Value()));
  this->Store->compact("keyed.op");
  this->Store->Behavior = StoreBehavior::Serves;
  this->awaitEvacuations(0);
}

TEST_CASE_METHOD(RegionFixture,
                 "An evacuation outlives a store restored from an older copy") {
  this->startWith({});
  this->Store->takeCopy();
  this->evacuate("zone-a");
  this->Store->restoreCopy();
  this->Store->put("keyed.op", "config",
                   tableWith(2, Json::Value(), Json::Value()));
  REQUIRE(this->runUntil([&] {
    return absl::StrContains(this->Daemon->metricsText(),
                             "berylramp_table_version 2");
  }));
  this->awaitEvacuations(1);
  this->Store->put("keyed.op", "evacuate/zone-a", std::nullopt);
  this->awaitEvacuations(0);
}

TEST_CASE_METHOD(RegionFixture,
                 "Evacuations of unknown places and malformed keys are borne") {
  this->startWith({});
  this->Store->put("keyed.op", "evacuate/", "{}");
  this->Store->put("keyed.op", "evacuate/nowhere", "7 ]");
  this->awaitEvacuations(1);
  for (const std::string &Path : Paths)
    CHECK(this->status(Path) == 200);
}

// A host without a path sent the body over a host in another region.
TEST_CASE("A tunnel carries no request out of its regions") {
  PartitionFixture Fleet(2);
  std::map<PlaceId, std::string> Regions = Fleet.Hosts[0].Config.Regions;
  Regions[PlaceId("zone-b")] = OtherRegion;
  for (PartitionFixture::Host &Host : Fleet.Hosts)
    Host.Config.Regions = Regions;
  Fleet.Hosts[1].Config.Place = PlaceId("zone-b");
  Fleet.Hosts[1].Config.Region = OtherRegion;
  Json::Value Table = *parseJson(standin::sampleTable(2, {"key-1"}));
  for (Json::Value &Row : Table["routes"])
    if (Row["name"] == "safe")
      Row["allowedRegions"] = listOf({OwnRegion});
  Fleet.Store->put("keyed.op", "config", writeJson(Table));
  for (size_t Host : {0, 1})
    Fleet.startHost(Host);
  for (const PartitionFixture::Host &Host : Fleet.Hosts)
    Fleet.awaitReady(Host.Config.Ready);
  Fleet.runFor(absl::Seconds(2));
  Fleet.cut(0, GENERATE(Partition::Reset, Partition::Silent));
  auto Status = [&](const std::string &Path, const std::string &Id) {
    RawCaller Caller(Fleet.Loop, Fleet.Hosts[0].Config.Callers);
    Caller.send(EdgeFixture::makeRequest(Path, Id, "", "x", "key-1"));
    Fleet.runUntil(
        [&] { return Caller.hasCompleteAnswer() || Caller.isClosed(); });
    return Caller.status();
  };
  int Served = 0;
  REQUIRE(Fleet.runUntil([&] {
    Served += 1;
    return Status("/once/a", absl::StrCat("free", Served)) == 200;
  }));
  for (int Round = 0; Round < 4; ++Round) {
    std::string Id = absl::StrCat("bound", Round);
    CHECK(Status("/safe/a", Id) != 200);
    CHECK(Fleet.runCount(Id) == 0);
    // Leaves an idle tunnel, which the next one must not take.
    Status("/stream/a", absl::StrCat("stream", Round));
  }
}
