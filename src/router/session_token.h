//===- session_token.h - Signed token that pins a session -------*- C++ -*-===//
//
// The caller carries the session's version in a signed token, so that no host
// has to store it. The token also carries the table offset at which it was
// issued: a host whose table is behind that offset catches up before it serves
// the session.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_SESSION_TOKEN_H
#define BERYLRAMP_SRC_ROUTER_SESSION_TOKEN_H

#include "absl/status/statusor.h"
#include "berylramp/units.h"
#include <string>
#include <vector>

namespace berylramp::internal {

struct SessionPin {
  SessionId Session;
  WorkspaceId Workspace;
  VersionKey Version;
  Offset TableOffset = NoOffset;
};

/// Encodes \p Pin and signs it with the first of \p Keys.
std::string makeSessionToken(const SessionPin &Pin,
                             const std::vector<std::string> &Keys);
/// Decodes a token signed with any of \p Keys; an error when the token is
/// malformed or its signature is not valid.
absl::StatusOr<SessionPin>
readSessionToken(const std::string &Token,
                 const std::vector<std::string> &Keys);

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_SESSION_TOKEN_H
