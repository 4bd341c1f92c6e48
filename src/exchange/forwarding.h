//===- forwarding.h - Forwarded requests and relayed answers ----*- C++ -*-===//
//
// Builds the bytes of a forwarded request and the head of a relayed answer.
// The functions are pure.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_FORWARDING_H
#define BERYLRAMP_EXCHANGE_FORWARDING_H

#include "berylramp/exchange.h"
#include "http_parse.h"
#include <optional>

namespace berylramp {

/// Header values that the router sets on one attempt.
struct ForwardOverrides {
  int64_t DeadlineMs = 0;
  UpstreamId ExpectedReplica;
  WorkspaceId Workspace;
  /// Empty keeps the caller's model.
  ModelId Model;
  /// A negative value keeps the caller's header.
  int64_t LastEventId = -1;
  /// A negative value omits the header.
  int Urgency = -1;
};

/// Everything of the forwarded request before its body.
std::string forwardedHead(const CallerRequest &Request,
                          const HeaderNames &Names,
                          const ForwardOverrides &Overrides);

/// Returns \p Head without hop-by-hop fields and Content-Length.
HttpHead relayedHead(const HttpHead &Head);

/// Returns the key in "Authorization: SCHEME KEY", or an empty string.
std::string apiKeyOf(const CallerRequest &Request, const HeaderNames &Names);

/// Returns the Host header without its port.
std::string hostWithoutPort(const CallerRequest &Request);

/// The amount of work that a request declares in its headers.
struct PromptInfo {
  int64_t PromptTokens = 0;
  int64_t OutputTokens = 0;
  std::vector<PromptSegment> Segments;
};

/// Ids of the segments that other requests may share: all but the last.
std::vector<uint64_t> sharedSegments(const PromptInfo &Prompt);

/// Identifies a request by host, path, body and \p Workspace. A caller's repeat
/// of the request has the same identity.
uint64_t requestIdentity(const CallerRequest &Request,
                         const WorkspaceId &Workspace);

PromptInfo parsePromptInfo(const CallerRequest &Request,
                           const HeaderNames &Names);

/// Parses "running,waiting,slots"; returns false for any other form.
bool parseLoad(const std::string &Text, ReportedLoad &Load);

/// Parses a limit in requests per second; nothing if \p Text is no number or is
/// negative.
std::optional<double> parseLimit(const std::string &Text);

/// A replica's request to receive nothing for a while.
struct PauseRequest {
  absl::Duration Length = absl::ZeroDuration();
  /// False when the stated value is no number of seconds or out of range.
  bool Accepted = false;
};

/// Parses a Retry-After value in seconds, which may have a fraction. Longer
/// values than an operator would wait for are cut.
PauseRequest parsePause(const std::string &Text);

/// Maps \p Text to [0, 1) deterministically.
double hashToUnitInterval(absl::string_view Text);

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_FORWARDING_H
