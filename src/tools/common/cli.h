//===- cli.h - What the command-line tools share ----------------*- C++ -*-===//
//
// Exit codes for a bad command line, secrets from the environment, questions
// to an entry host's operators' API, and reading the bills from the log.
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

/// The exit code of every tool for a bad command line or input file.
inline constexpr int ExitUsage = 2;

/// Runs a tool's body; a fault of its command line is printed and becomes
/// ExitUsage, and --help or --version its own exit code.
int runTool(const std::function<int()> &Body);

/// The environment variable \p Name, or an empty text.
std::string secretFrom(const char *Name);

/// Asks an entry host with an admin key; the error names the remedy.
absl::StatusOr<Json::Value> askEntry(HttpClientPool &Pool, const Endpoint &To,
                                     const std::string &Path,
                                     const std::string &AdminKey);

/// Folds the bill stream from its first kept record to its tail.
absl::StatusOr<BillState> readBills(const LogPort &Log);

} // namespace berylramp::cli

#endif // BERYLRAMP_SRC_TOOLS_COMMON_CLI_H
