//===- forwarding.h - What a replica and a caller are sent ------*- C++ -*-===//
//
// Builds the bytes of a forwarded request and the head of a relayed answer.
// Pure.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_FORWARDING_H
#define BERYLRAMP_EXCHANGE_FORWARDING_H

#include "http_parse.h"

namespace berylramp {

/// What the system sets on one attempt.
struct ForwardFacts {
  int64_t DeadlineMs = 0;
  UpstreamId Expect;
  WorkspaceId Workspace;
  /// Empty: the caller's model stays.
  ModelId Model;
  /// Negative: the caller's value stays.
  int64_t LastEventId = -1;
  /// Negative: not set.
  int Urgency = -1;
};

std::string forwardedRequest(const HttpRequest &From, const HeaderNames &Names,
                             const ForwardFacts &Facts);

/// \p Head without the fields that concern one connection only.
HttpHead relayedHead(const HttpHead &Head);

/// The key in "Authorization: SCHEME KEY", or empty.
std::string keyOf(const HttpRequest &From, const HeaderNames &Names);

/// The host without its port.
std::string hostOf(const HttpRequest &From);

/// What a request tells of the work that it makes.
struct PromptFacts {
  int64_t PromptTokens = 0;
  int64_t OutputTokens = 0;
  std::vector<PromptSegment> Parts;
};

PromptFacts promptFacts(const HttpRequest &From, const HeaderNames &Names);

/// Reads "running,waiting,slots"; false when it has another form.
bool parseLoad(const std::string &Text, ReportedLoad &Out);

/// A number in [0, 1) that is equal for equal texts.
double drawOf(absl::string_view Text);

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_FORWARDING_H
