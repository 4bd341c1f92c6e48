//===- where.h - Where a request would go -----------------------*- C++ -*-===//

#ifndef BERYLRAMP_SRC_TOOLS_INSPECT_WHERE_H
#define BERYLRAMP_SRC_TOOLS_INSPECT_WHERE_H

#include "absl/status/statusor.h"
#include "render.h"
#include <json/value.h>
#include <string>
#include <vector>

namespace berylramp::inspect {

/// The description of a request from words of the form NAME=VALUE, as a host
/// expects it.
absl::StatusOr<Json::Value>
describeRequest(const std::vector<std::string> &Words);

/// Renders a host's answer about such a request.
std::string renderExplanation(const Json::Value &Answer, Format OutputFormat);

} // namespace berylramp::inspect

#endif // BERYLRAMP_SRC_TOOLS_INSPECT_WHERE_H
