//===- settings_test.cpp - Tests settings and session tokens --------------===//

#include "berylramp/json.h"
#include "berylramp/settings.h"
#include "session_token.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace berylramp {
namespace {

const char *const Good = R"({
  "host": "h", "place": "p", "listen": "127.0.0.1:0", "log": "127.0.0.1:1",
  "host_list": "127.0.0.1:1", "rater": "127.0.0.1:1",
  "workspace_keys": [{"workspace": "w", "key": "secret-workspace"}],
  "operator_keys": ["secret-operator"], "session_keys": ["secret-session"],
  "peer_keys": ["secret-peer-key"], "admin_keys": ["secret-admin"]})";

// Verifies that good settings are read and that no secret is printed.
TEST_CASE("Settings are read and printed without secrets") {
  absl::StatusOr<EntrySettings> Read = readEntrySettings(Good);
  REQUIRE(Read.ok());
  CHECK(Read->Host == HostId("h"));
  std::string Shown = printEntrySettings(*Read);
  CHECK_THAT(Shown, !Catch::Contains("secret"));
  CHECK(readEntrySettings(Shown).ok() == false);
}

// Verifies that every fault is reported at once, with its path and a remedy.
TEST_CASE("Settings report every fault with path and remedy") {
  std::string Bad = Good;
  Bad.replace(Bad.find("\"h\""), 3, "7");
  Bad.replace(Bad.find("127.0.0.1:0"), 11, "localhost");
  Bad.insert(1, "\"no_such_member\": 1, \"freshness_ms\": -5, ");
  absl::StatusOr<EntrySettings> Read = readEntrySettings(Bad);
  REQUIRE_FALSE(Read.ok());
  std::string Faults(Read.status().message());
  CHECK_THAT(Faults, Catch::Contains("[host]") && Catch::Contains("[listen]") &&
                         Catch::Contains("no_such_member") &&
                         Catch::Contains("[freshness_ms]") &&
                         Catch::Contains("wanted"));
}

// Verifies the rules that bind two members together.
TEST_CASE("Settings check members against each other") {
  std::string Bad = Good;
  Bad.insert(1, "\"claim_window_ms\": 10000, \"log_retention_ms\": 12000, ");
  absl::StatusOr<EntrySettings> Read = readEntrySettings(Bad);
  REQUIRE_FALSE(Read.ok());
  CHECK_THAT(std::string(Read.status().message()),
             Catch::Contains("log_retention_ms"));
}

// Verifies that no text crashes the reader.
TEST_CASE("Settings survive hostile text") {
  rc::prop("any text is refused", [] {
    RC_ASSERT(!readEntrySettings(*rc::gen::arbitrary<std::string>()).ok());
  });
}

// Verifies that two keys are valid at once, and that no altered token is.
TEST_CASE("Session tokens take two keys and no tampering") {
  internal::SessionPin Pin{SessionId("s"), WorkspaceId("w"),
                           VersionKey{ModelId("m"), VersionId("v")}, Offset(9)};
  std::string Old = internal::makeSessionToken(Pin, {"old-key"});
  absl::StatusOr<internal::SessionPin> Read =
      internal::readSessionToken(Old, {"new-key", "old-key"});
  REQUIRE(Read.ok());
  CHECK(Read->Version == Pin.Version);
  CHECK(Read->TableOffset == Offset(9));
  CHECK_FALSE(internal::readSessionToken(Old, {"new-key"}).ok());
  rc::prop("one changed byte is enough", [Old] {
    std::string Changed = Old;
    size_t Index = *rc::gen::inRange<size_t>(0, Old.size());
    char Other = *rc::gen::inRange('0', 'z');
    RC_PRE(Other != Old[Index]);
    Changed[Index] = Other;
    RC_ASSERT(!internal::readSessionToken(Changed, {"old-key"}).ok());
  });
  rc::prop("any text is refused", [] {
    RC_ASSERT(!internal::readSessionToken(*rc::gen::arbitrary<std::string>(),
                                          {"old-key"})
                   .ok());
  });
}

} // namespace
} // namespace berylramp
