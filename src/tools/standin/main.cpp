//===- main.cpp - berylramp-standin ---------------------------------------===//
//
// Runs the stand-in platform until SIGTERM or SIGINT.
//
//===----------------------------------------------------------------------===//

#include "berylramp/json.h"
#include "berylramp/settings.h"
#include "platform.h"

#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitUnavailable = 3;

/// Prints how many answers of a version have been started by the engines of a
/// running stand-in.
int printStartedAnswers(const std::string &Standin,
                        const std::string &Version) {
  berylramp::HttpCall Call;
  Call.Path = "/runs";
  berylramp::Endpoint Address;
  if (!berylramp::parseEndpoint(Standin, Address))
    return ExitUsage;
  berylramp::HttpClientPool Pool;
  absl::StatusOr<Json::Value> Body =
      berylramp::parseJson(Pool.call(Address, Call).Body);
  if (!Body.ok())
    return ExitUnavailable;
  std::cout << berylramp::intAt(berylramp::memberAt(*Body, "versions"),
                                Version.c_str())
            << "\n";
  return 0;
}

/// Sends knobs to a running stand-in.
int sendKnobs(const std::string &Standin, const std::string &Knobs) {
  berylramp::HttpCall Call;
  Call.Method = "POST";
  Call.Path = "/knobs";
  Call.Body = Knobs;
  berylramp::Endpoint Address;
  if (!berylramp::parseEndpoint(Standin, Address))
    return ExitUsage;
  berylramp::HttpClientPool Pool;
  berylramp::HttpOutcome Outcome = Pool.call(Address, Call);
  return Outcome.Fault == berylramp::HttpFault::None ? 0 : ExitUnavailable;
}

} // namespace

int main(int Argc, char **Argv) {
  std::string Path;
  std::string KnobsTo;
  std::string RunsOf;
  try {
    TCLAP::CmdLine Command(
        "Stand-in for the platform, engines and services, for "
        "tests and measurements. Exit codes: 0 stopped by a "
        "signal, 2 invalid settings, 3 cannot listen.",
        ' ', BERYLRAMP_VERSION);
    TCLAP::UnlabeledValueArg<std::string> File(
        "description",
        "JSON file that describes the platform; with --knobs-to, the JSON "
        "text of the knobs",
        true, "", "JSON", Command);
    TCLAP::ValueArg<std::string> To(
        "", "knobs-to", "set knobs of the running stand-in at this address",
        false, "", "IP:PORT", Command);
    TCLAP::ValueArg<std::string> Runs(
        "", "runs-of", "print how many answers of a version have been started",
        false, "", "MODEL/VERSION", Command);
    Command.parse(Argc, Argv);
    RunsOf = Runs.getValue();
    Path = File.getValue();
    KnobsTo = To.getValue();
  } catch (const TCLAP::ArgException &Error) {
    std::cerr << Error.error() << "\n";
    return ExitUsage;
  }
  if (!RunsOf.empty())
    return printStartedAnswers(KnobsTo, RunsOf);
  if (!KnobsTo.empty())
    return sendKnobs(KnobsTo, Path);
  sigset_t TerminationSignals;
  sigemptyset(&TerminationSignals);
  sigaddset(&TerminationSignals, SIGTERM);
  sigaddset(&TerminationSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &TerminationSignals, nullptr);
  absl::StatusOr<std::string> Text = berylramp::readFile(Path);
  if (!Text.ok()) {
    std::cerr << Text.status().message() << "\n";
    return ExitUsage;
  }
  absl::StatusOr<Json::Value> Description = berylramp::parseJson(*Text);
  if (!Description.ok()) {
    std::cerr << Description.status().message() << "\n";
    return ExitUsage;
  }
  berylramp::standin::Platform Platform(*Description);
  absl::Status Started = Platform.start();
  if (!Started.ok()) {
    std::cerr << Started.message() << "\n";
    return ExitUnavailable;
  }
  std::cerr << "listening on " << Platform.address().text() << "\n";
  int Signal = 0;
  sigwait(&TerminationSignals, &Signal);
  Platform.stop();
  return 0;
}
