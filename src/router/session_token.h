//===- session_token.h - The pin that a session carries ---------*- C++ -*-===//
//
// A session's version travels with the caller, signed, so that no host has to
// remember it. The token also carries the table offset it was made at: a host
// behind that offset catches up before it serves the session.
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

/// Signs with the first of \p Keys.
std::string makeSessionToken(const SessionPin &Pin,
                             const std::vector<std::string> &Keys);
/// Takes a token signed with any of \p Keys.
absl::StatusOr<SessionPin>
readSessionToken(const std::string &Token,
                 const std::vector<std::string> &Keys);

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_SESSION_TOKEN_H
