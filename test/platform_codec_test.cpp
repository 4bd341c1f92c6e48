//===- platform_codec_test.cpp - Codec of the platform's records ----------===//

#include "platform.h"
#include "standin.h"

#include "absl/strings/match.h"
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace berylramp;
using namespace berylramp::platform;

TEST_CASE("A replica's record is decoded") {
  auto Entry = decodeReplica(
      "i-7f3a91c2",
      R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"kigali-a",)"
      R"("version":"v1","slots":64,"state":"draining","coldRemainingMs":0,)"
      R"("sequence":4,"born":1771081512739})");
  REQUIRE(Entry.ok());
  CHECK(Entry->Service == ServiceId("huvo11a"));
  CHECK(Entry->Address == Endpoint{"10.128.0.9", 8080});
  CHECK(Entry->Place == PlaceId("kigali-a"));
  CHECK(Entry->Slots == 64);
  CHECK(Entry->Draining);
  CHECK(Entry->StartedAtMs == 1771081512739);
  CHECK(Entry->ColdRemaining == absl::ZeroDuration());
}

TEST_CASE("A replica's cold time is decoded if it is usable") {
  auto Decode = [](const std::string &Cold) {
    auto Entry =
        decodeReplica("i", R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                           R"("version":"v","slots":1,"state":"ready")" +
                               Cold + "}");
    REQUIRE(Entry.ok());
    return Entry->ColdRemaining;
  };
  CHECK(Decode(R"(,"coldRemainingMs":1500)") == absl::Milliseconds(1500));
  for (const char *Unusable :
       {"", R"(,"coldRemainingMs":-1)", R"(,"coldRemainingMs":1e15)",
        R"(,"coldRemainingMs":"9")", R"(,"coldRemainingMs":null)"}) {
    CAPTURE(Unusable);
    CHECK(Decode(Unusable) == std::nullopt);
  }
}

TEST_CASE("The rate that a service's cold replicas tolerate is decoded") {
  auto Table = decodeTable(
      R"({"version":1,"routes":[],"services":[)"
      R"({"name":"a","coldStartS":3.0,"coldPerS":9.1},)"
      R"({"name":"b","coldStartS":-1,"coldPerS":-2},{"name":"c"}]})");
  REQUIRE(Table.ok());
  CHECK(Table->service(ServiceId("a"))->ColdPerSecond == 9.1);
  CHECK(Table->service(ServiceId("a"))->ColdTime == absl::Seconds(3));
  for (const char *Name : {"b", "c"}) {
    CHECK(Table->service(ServiceId(Name))->ColdPerSecond == 0);
    CHECK(Table->service(ServiceId(Name))->ColdTime == absl::ZeroDuration());
  }
}

TEST_CASE("A malformed replica record is refused") {
  for (
      const char *Text :
      {"", "7", "{}", R"({"service":"s"})",
       R"({"service":"s","address":"x","zone":"z","version":"v","slots":1,"state":"ready"})",
       R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v","slots":"1","state":"ready"})",
       R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v","slots":1,"state":"odd"})",
       R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":2,"slots":1,"state":"ready"})"}) {
    CAPTURE(Text);
    CHECK_FALSE(decodeReplica("i", Text).ok());
  }
}

// An id with line breaks added headers to the requests for its replica, and a
// number of slots over 2^31 became another one.
TEST_CASE("A replica's record with values out of range is refused") {
  auto Entry = [](const std::string &Address, const std::string &Slots) {
    return R"({"service":"s","address":")" + Address +
           R"(","zone":"z","version":"v","state":"ready","slots":)" + Slots +
           "}";
  };
  REQUIRE(decodeReplica("i-1", Entry("1.2.3.4:65535", "64")).ok());
  for (const char *Slots : {"-1", "2147483648", "4294967297", "1e15",
                            "9223372036854775807", "18446744073709551615"}) {
    CAPTURE(Slots);
    CHECK_FALSE(decodeReplica("i", Entry("1.2.3.4:5", Slots)).ok());
  }
  for (const char *Address : {"1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:-1",
                              "300.0.0.1:5", "replica.test:5", "::1:5"}) {
    CAPTURE(Address);
    CHECK_FALSE(decodeReplica("i", Entry(Address, "1")).ok());
  }
  for (const char *Key : {"", "i 1", "i\r\nBerylramp-Tenant: other", "i\x7f"}) {
    CAPTURE(Key);
    CHECK_FALSE(decodeReplica(Key, Entry("1.2.3.4:5", "1")).ok());
  }
}

TEST_CASE("The operators' table is decoded") {
  auto Table = decodeTable(standin::sampleTable(9, {"k1", "k2"}));
  REQUIRE(Table.ok());
  CHECK(Table->Version == TableVersion(9));
  const Route *Stream = findRoute(*Table, "api.test", "/stream/x");
  REQUIRE(Stream != nullptr);
  CHECK(Stream->Repeats == Repeatability::Resumable);
  CHECK(Stream->EventStream);
  CHECK(Stream->Models.size() == 2);
  CHECK(findRoute(*Table, "api.test", "/once/x")->Repeats ==
        Repeatability::AtMostOnce);
  CHECK(findRoute(*Table, "api.test", "/safe/x")->Repeats ==
        Repeatability::Idempotent);
  CHECK(findWorkspace(*Table, "k2")->Id == WorkspaceId("w1"));
  CHECK(Table->Limits.BodyBytes == 100000);
  CHECK(Table->service(ServiceId("engine"))->Prices.size() == 2);
}

TEST_CASE("Regions are decoded and malformed ones allow nothing") {
  auto Decode = [](const std::string &Field) {
    auto Table = decodeTable(
        R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",)"
        R"("service":"s")" +
        Field + R"(}],"tenants":[{"name":"t")" + Field + "}]}");
    REQUIRE(Table.ok());
    CHECK(Table->Routes[0].Regions == Table->Workspaces[0].Regions);
    return Table->Routes[0].Regions;
  };
  CHECK(Decode("") == std::nullopt);
  CHECK(Decode(R"(,"allowedRegions":[])") == std::nullopt);
  CHECK(Decode(R"(,"allowedRegions":null)") == std::nullopt);
  CHECK(Decode(R"(,"allowedRegions":["x","y"])") ==
        AllowedRegions({RegionId("x"), RegionId("y")}));
  CHECK(Decode(R"(,"allowedRegions":["x",7])") ==
        AllowedRegions({RegionId("x")}));
  for (const char *Malformed : {"7", "\"x\"", "{}", "[7]", "[\"\"]", "[[]]"})
    CHECK(Decode(std::string(",\"allowedRegions\":") + Malformed) ==
          AllowedRegions(std::vector<RegionId>()));
}

TEST_CASE("Keys of evacuations name a data centre") {
  CHECK(classifyOperatorKey("evacuate/z1") == OperatorKey::Evacuation);
  CHECK(*decodeEvacuationKey("evacuate/z1") == PlaceId("z1"));
  CHECK_FALSE(decodeEvacuationKey("evacuate/").ok());
  CHECK_FALSE(decodeEvacuationKey("z1").ok());
}

TEST_CASE("A stream that may not be resumed runs at most once") {
  auto Table = decodeTable(
      R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",)"
      R"("routeKind":"streaming","service":"s"}],"services":[]})");
  REQUIRE(Table.ok());
  CHECK(Table->Routes[0].Repeats == Repeatability::AtMostOnce);
}

TEST_CASE("Roll-out states are decoded as encoded") {
  auto Order = decodeRollout(R"({"service":"s","target":"v2","durationS":12})");
  REQUIRE(Order.ok());
  CHECK(Order->TimeLimit == absl::Seconds(12));
  for (RolloutState State : {RolloutState::InProgress, RolloutState::Complete,
                             RolloutState::Reverted}) {
    StoreRecord Record = encodeRolloutState(*Order, State);
    CHECK(Record.Key == "rollout/s");
    auto Decoded = decodeRolloutState(*Record.Value);
    REQUIRE(Decoded.ok());
    CHECK(Decoded->first == VersionId("v2"));
    CHECK(Decoded->second == State);
  }
}

TEST_CASE("Records of a topic are decoded as encoded") {
  rc::prop("for any keys and values", [] {
    auto Keys = *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))));
    std::string Body(16, '\0');
    for (const std::string &Key : Keys)
      Body += encodeRecord({Key.substr(0, 200), "value of " + Key});
    auto Page = decodeRecords(Body, Offset(5));
    RC_ASSERT(Page.ok());
    RC_ASSERT(Page->Records.size() == Keys.size());
    RC_ASSERT(Page->Next.count() == 5 + static_cast<int64_t>(Keys.size()));
  });
}

TEST_CASE("A record without a value is decoded as a deletion") {
  auto Page = decodeRecords(
      std::string(16, '\0') + encodeRecord({"k", std::nullopt}), Offset(0));
  REQUIRE(Page.ok());
  REQUIRE(Page->Records.size() == 1);
  CHECK_FALSE(Page->Records[0].Value.has_value());
}

TEST_CASE("Arbitrary bytes never crash the decoders") {
  rc::prop("for any text", [] {
    auto Text = *rc::gen::arbitrary<std::string>();
    std::string MoreAfter;
    (void)decodeTable(Text);
    (void)decodeReplica("i", Text);
    (void)decodeRollout(Text);
    (void)decodeRolloutState(Text);
    (void)decodeSettings(Text);
    (void)decodeRecords(Text, Offset(0));
    (void)decodeNewest(Text, MoreAfter);
    RC_SUCCEED("decoded");
  });
}

TEST_CASE("Tables with fields of other types are refused or read safely") {
  rc::prop("for any replaced part", [] {
    std::string Text = standin::sampleTable(1, {"k"});
    auto From = static_cast<size_t>(
        *rc::gen::inRange(0, static_cast<int>(Text.size())));
    auto Count = static_cast<size_t>(*rc::gen::inRange(0, 12));
    Text.replace(
        From, Count,
        *rc::gen::element<std::string>("3", "\"x\"", "[]", "{}", "null", ""));
    (void)decodeTable(Text);
    RC_SUCCEED("decoded");
  });
}

TEST_CASE("The error for faulty settings names every fault") {
  auto Config = decodeSettings(R"({"nodeName":"n","portRange":[1]})");
  REQUIRE_FALSE(Config.ok());
  std::string Text(Config.status().message());
  for (const char *Field :
       {"zone", "ip", "listen.frontend", "platform.address", "portRange"})
    CHECK(absl::StrContains(Text, Field));
}

TEST_CASE("Unknown settings are ignored") {
  auto Config = decodeSettings(
      R"({"nodeName":"n","zone":"z","region":"r","ip":"127.0.0.1",)"
      R"("listen":{"frontend":"127.0.0.1:1","ready":"127.0.0.1:2",)"
      R"("directory":"127.0.0.1:3"},"portRange":[4,9],"news":{"a":1},)"
      R"("platform":{"address":"127.0.0.1:5"},"bounds":{"graceS":8}})");
  REQUIRE(Config.ok());
  CHECK(Config->GossipPort == 4);
  CHECK(Config->Peers.Port == 0);
  CHECK(Config->Bounds.GracePeriod == absl::Seconds(8));
}
