//===- session_token.cpp - Signed token that pins a session ---------------===//
//
// Two keys can be valid at the same time, so that the signing key can be
// replaced without ending sessions signed with the previous one.
//
//===----------------------------------------------------------------------===//

#include "session_token.h"

#include "berylramp/json.h"
#include "berylramp/table.h"

#include "absl/strings/escaping.h"

namespace berylramp::internal {

namespace {

constexpr size_t MaxTokenBytes = 2048;

} // namespace

std::string makeSessionToken(const SessionPin &Pin,
                             const std::vector<std::string> &Keys) {
  Json::Value Body;
  Body["s"] = Pin.Session.text();
  Body["w"] = Pin.Workspace.text();
  Body["m"] = Pin.Version.Model.text();
  Body["v"] = Pin.Version.Version.text();
  Body["o"] = Json::Int64(Pin.TableOffset.count());
  std::string Text = writeJson(Body);
  return absl::WebSafeBase64Escape(Text) + "." +
         keyedDigest(Keys.front(), Text);
}

absl::StatusOr<SessionPin>
readSessionToken(const std::string &Token,
                 const std::vector<std::string> &Keys) {
  size_t Dot = Token.find('.');
  std::string Text;
  if (Token.size() > MaxTokenBytes || Dot == std::string::npos ||
      !absl::WebSafeBase64Unescape(Token.substr(0, Dot), &Text))
    return absl::InvalidArgumentError("the session token is malformed");
  if (!verifyKeyedDigest(Keys, Text, Token.substr(Dot + 1)))
    return absl::PermissionDeniedError(
        "the session token's signature is not valid");
  absl::StatusOr<Json::Value> Body = parseJson(Text);
  if (!Body.ok())
    return Body.status();
  SessionPin Pin;
  Pin.Session = SessionId(textAt(*Body, "s"));
  Pin.Workspace = WorkspaceId(textAt(*Body, "w"));
  Pin.Version =
      VersionKey{ModelId(textAt(*Body, "m")), VersionId(textAt(*Body, "v"))};
  Pin.TableOffset = Offset(intAt(*Body, "o", -1));
  return Pin;
}

} // namespace berylramp::internal
