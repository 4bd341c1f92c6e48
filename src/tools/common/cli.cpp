//===- cli.cpp - What the command-line tools share ------------------------===//
//
// TCLAP reports faults and --help by exceptions; they end here.
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
  } catch (const TCLAP::ArgException &Fault) {
    std::cerr << Fault.error() << " " << Fault.argId() << "; see --help\n";
    return ExitUsage;
  } catch (const TCLAP::ExitException &Done) {
    return Done.getExitStatus();
  }
}

std::string secretFrom(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? "" : Value;
}

absl::StatusOr<Json::Value> askEntry(HttpClientPool &Pool, const Endpoint &To,
                                     const std::string &Path,
                                     const std::string &AdminKey) {
  HttpCall Call;
  Call.Path = Path;
  Call.Headers.push_back(HeaderLine{"Authorization", "Bearer " + AdminKey});
  HttpOutcome Out = Pool.call(To, Call);
  if (Out.Fault != HttpFault::None)
    return absl::UnavailableError(To.text() +
                                  " does not answer; name another host");
  absl::StatusOr<Json::Value> Body = parseJson(Out.Body);
  if (Out.Status == StatusOk)
    return Body;
  std::string Remedy =
      Body.ok() ? textAt(memberAt(*Body, "error"), "remedy") : Out.Body;
  return absl::NotFoundError(
      absl::StrCat(To.text(), " answered ", Out.Status, ": ", Remedy));
}

absl::StatusOr<BillState> readBills(const LogPort &Log) {
  BillState Out;
  while (true) {
    absl::StatusOr<LogPage> Page =
        Log.Read(BillStream, Out.Applied + Offset(1), absl::ZeroDuration());
    if (!Page.ok())
      return Page.status();
    for (const LogRecord &Record : Page->Records)
      foldBills(Out, Record.Position, Record.Data);
    if (Out.Applied + Offset(1) >= Page->Tail || Page->Records.empty())
      return Out;
  }
}

} // namespace berylramp::cli
