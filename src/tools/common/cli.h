//===- cli.h - Shared code of the command-line tools ------------*- C++ -*-===//
//
// Exit codes for command-line errors, secrets from the environment, queries to
// an entry host's operator API, and reading the bills from the log.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_COMMON_CLI_H
#define BERYLRAMP_SRC_TOOLS_COMMON_CLI_H

#include "absl/status/statusor.h"
#include "berylramp/billing.h"
#include "berylramp/http.h"
#include <functional>
#include <json/value.h>
#include <string>

namespace berylramp::cli {

/// Exit code of every tool for an invalid command line or input file.
inline constexpr int ExitUsage = 2;

/// Runs the body of a tool and returns its exit code. A command-line error is
/// printed and returns ExitUsage; --help and --version return their own code.
int runTool(const std::function<int()> &Body);

/// Returns the environment variable \p Name, or an empty string.
std::string secretFromEnvironment(const char *Name);

/// Sends a GET request with an admin key to an entry host. An error contains
/// the remedy.
absl::StatusOr<Json::Value> queryEntry(HttpClientPool &Pool,
                                       const Endpoint &Entry,
                                       const std::string &Path,
                                       const std::string &AdminKey);

/// Folds the bill stream from its first retained record to its tail.
absl::StatusOr<BillState> readBills(const LogPort &Log);

} // namespace berylramp::cli

#endif // BERYLRAMP_SRC_TOOLS_COMMON_CLI_H
