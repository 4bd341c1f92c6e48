//===- settings_test.cpp - Tests settings and session tokens --------------===//

#include "berylramp/json.h"
#include "berylramp/settings.h"
#include "session_token.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace berylramp {
namespace {

const char *const ValidSettings = R"({
  "host": "h", "place": "p", "listen": "127.0.0.1:0", "log": "127.0.0.1:1",
  "host_list": "127.0.0.1:1", "rater": "127.0.0.1:1",
  "workspace_keys": [{"workspace": "w", "key": "secret-workspace"}],
  "operator_keys": ["secret-operator"], "session_keys": ["secret-session"],
  "peer_keys": ["secret-peer-key"], "admin_keys": ["secret-admin"]})";

// Verifies that valid settings are read, and that the printed settings contain
// no secret.
TEST_CASE("Settings are read and printed without secrets") {
  absl::StatusOr<EntrySettings> Settings = readEntrySettings(ValidSettings);
  REQUIRE(Settings.ok());
  CHECK(Settings->Host == HostId("h"));
  std::string Printed = printEntrySettings(*Settings);
  CHECK_THAT(Printed, !Catch::Contains("secret"));
  CHECK(readEntrySettings(Printed).ok() == false);
}

// Verifies that every fault is reported at once, with its path and a remedy.
TEST_CASE("Settings report every fault with path and remedy") {
  std::string InvalidSettings = ValidSettings;
  InvalidSettings.replace(InvalidSettings.find("\"h\""), 3, "7");
  InvalidSettings.replace(InvalidSettings.find("127.0.0.1:0"), 11, "localhost");
  InvalidSettings.insert(1, "\"no_such_member\": 1, \"freshness_ms\": -5, ");
  absl::StatusOr<EntrySettings> Settings = readEntrySettings(InvalidSettings);
  REQUIRE_FALSE(Settings.ok());
  std::string Faults(Settings.status().message());
  CHECK_THAT(Faults, Catch::Contains("[host]") && Catch::Contains("[listen]") &&
                         Catch::Contains("no_such_member") &&
                         Catch::Contains("[freshness_ms]") &&
                         Catch::Contains("wanted"));
}

// Verifies a rule that involves two members: the log must keep records for
// longer than the claim window.
TEST_CASE("Settings check members against each other") {
  std::string InvalidSettings = ValidSettings;
  InvalidSettings.insert(
      1, "\"claim_window_ms\": 10000, \"log_retention_ms\": 12000, ");
  absl::StatusOr<EntrySettings> Settings = readEntrySettings(InvalidSettings);
  REQUIRE_FALSE(Settings.ok());
  CHECK_THAT(std::string(Settings.status().message()),
             Catch::Contains("log_retention_ms"));
}

// Verifies that arbitrary text is refused and never crashes the reader.
TEST_CASE("Settings survive hostile text") {
  rc::prop("any text is refused", [] {
    RC_ASSERT(!readEntrySettings(*rc::gen::arbitrary<std::string>()).ok());
  });
}

// Verifies that tokens of every configured key are accepted, which allows key
// rotation, and that altered tokens are refused.
TEST_CASE("Session tokens accept two keys and no tampering") {
  internal::SessionPin Pin{SessionId("s"), WorkspaceId("w"),
                           VersionKey{ModelId("m"), VersionId("v")}, Offset(9)};
  std::string SignedToken = internal::makeSessionToken(Pin, {"old-key"});
  absl::StatusOr<internal::SessionPin> DecodedPin =
      internal::readSessionToken(SignedToken, {"new-key", "old-key"});
  REQUIRE(DecodedPin.ok());
  CHECK(DecodedPin->Version == Pin.Version);
  CHECK(DecodedPin->TableOffset == Offset(9));
  CHECK_FALSE(internal::readSessionToken(SignedToken, {"new-key"}).ok());
  rc::prop("a token with one changed byte is refused", [SignedToken] {
    std::string AlteredToken = SignedToken;
    size_t Index = *rc::gen::inRange<size_t>(0, SignedToken.size());
    char NewByte = *rc::gen::inRange('0', 'z');
    RC_PRE(NewByte != SignedToken[Index]);
    AlteredToken[Index] = NewByte;
    RC_ASSERT(!internal::readSessionToken(AlteredToken, {"old-key"}).ok());
  });
  rc::prop("any text is refused", [] {
    RC_ASSERT(!internal::readSessionToken(*rc::gen::arbitrary<std::string>(),
                                          {"old-key"})
                   .ok());
  });
}

} // namespace
} // namespace berylramp
