//===- cli.cpp - Shared code of the command-line tools --------------------===//
//
// TCLAP reports command-line errors and --help by exceptions. runTool catches
// them and returns the exit code.
//
//===----------------------------------------------------------------------===//

#include "cli.h"

#include "berylramp/json.h"

#include "absl/strings/str_cat.h"
#include <cstdlib>
#include <iostream>
#include <tclap/CmdLine.h>

namespace berylramp::cli {

namespace {

constexpr int StatusOk = 200;

} // namespace

int runTool(const std::function<int()> &Body) {
  try {
    return Body();
  } catch (const TCLAP::ArgException &Error) {
    std::cerr << Error.error() << " " << Error.argId() << "; see --help\n";
    return ExitUsage;
  } catch (const TCLAP::ExitException &Exit) {
    return Exit.getExitStatus();
  }
}

std::string secretFromEnvironment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? "" : Value;
}

absl::StatusOr<Json::Value> queryEntry(HttpClientPool &Pool,
                                       const Endpoint &Entry,
                                       const std::string &Path,
                                       const std::string &AdminKey) {
  HttpCall Call;
  Call.Path = Path;
  Call.Headers.push_back(HeaderLine{"Authorization", "Bearer " + AdminKey});
  HttpOutcome Outcome = Pool.call(Entry, Call);
  if (Outcome.Fault != HttpFault::None)
    return absl::UnavailableError(
        Entry.text() + " did not answer; pass the address of another host");
  absl::StatusOr<Json::Value> Body = parseJson(Outcome.Body);
  if (Outcome.Status == StatusOk)
    return Body;
  std::string Remedy =
      Body.ok() ? textAt(memberAt(*Body, "error"), "remedy") : Outcome.Body;
  return absl::NotFoundError(
      absl::StrCat(Entry.text(), " answered ", Outcome.Status, ": ", Remedy));
}

absl::StatusOr<BillState> readBills(const LogPort &Log) {
  BillState State;
  while (true) {
    absl::StatusOr<LogPage> Page =
        Log.Read(BillStream, State.Applied + Offset(1), absl::ZeroDuration());
    if (!Page.ok())
      return Page.status();
    for (const LogRecord &Record : Page->Records)
      foldBills(State, Record.Position, Record.Data);
    if (State.Applied + Offset(1) >= Page->Tail || Page->Records.empty())
      return State;
  }
}

} // namespace berylramp::cli
