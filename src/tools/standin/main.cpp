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

/// Prints how many answers of a version have begun on the engines of a
/// stand-in that runs already.
int printRuns(const std::string &To, const std::string &Version) {
  berylramp::HttpCall Call;
  Call.Path = "/runs";
  berylramp::Endpoint Address;
  if (!berylramp::parseEndpoint(To, Address))
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

/// Sends knobs to a stand-in that runs already.
int sendKnobs(const std::string &To, const std::string &Knobs) {
  berylramp::HttpCall Call;
  Call.Method = "POST";
  Call.Path = "/knobs";
  Call.Body = Knobs;
  berylramp::Endpoint Address;
  if (!berylramp::parseEndpoint(To, Address))
    return ExitUsage;
  berylramp::HttpClientPool Pool;
  berylramp::HttpOutcome Out = Pool.call(Address, Call);
  return Out.Fault == berylramp::HttpFault::None ? 0 : ExitUnavailable;
}

} // namespace

int main(int Argc, char **Argv) {
  std::string Path;
  std::string KnobsTo;
  std::string RunsOf;
  try {
    TCLAP::CmdLine Line("Stand-in of the platform, engines and services, for "
                        "tests and measurements. Exit codes: 0 ended by "
                        "signal, 2 bad settings, 3 cannot listen.",
                        ' ', BERYLRAMP_VERSION);
    TCLAP::UnlabeledValueArg<std::string> File(
        "description",
        "JSON file that describes the platform; with --knobs-to the knobs "
        "themselves",
        true, "", "JSON", Line);
    TCLAP::ValueArg<std::string> To("", "knobs-to",
                                    "turn knobs of a stand-in that runs", false,
                                    "", "IP:PORT", Line);
    TCLAP::ValueArg<std::string> Runs(
        "", "runs-of", "print how many answers of a version have begun", false,
        "", "MODEL/VERSION", Line);
    Line.parse(Argc, Argv);
    RunsOf = Runs.getValue();
    Path = File.getValue();
    KnobsTo = To.getValue();
  } catch (const TCLAP::ArgException &Fault) {
    std::cerr << Fault.error() << "\n";
    return ExitUsage;
  }
  if (!RunsOf.empty())
    return printRuns(KnobsTo, RunsOf);
  if (!KnobsTo.empty())
    return sendKnobs(KnobsTo, Path);
  sigset_t Ending;
  sigemptyset(&Ending);
  sigaddset(&Ending, SIGTERM);
  sigaddset(&Ending, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Ending, nullptr);
  absl::StatusOr<std::string> Text = berylramp::readFile(Path);
  if (!Text.ok()) {
    std::cerr << Text.status().message() << "\n";
    return ExitUsage;
  }
  absl::StatusOr<Json::Value> In = berylramp::parseJson(*Text);
  if (!In.ok()) {
    std::cerr << In.status().message() << "\n";
    return ExitUsage;
  }
  berylramp::standin::Platform Platform(*In);
  absl::Status Started = Platform.start();
  if (!Started.ok()) {
    std::cerr << Started.message() << "\n";
    return ExitUnavailable;
  }
  std::cerr << "listening on " << Platform.address().text() << "\n";
  int Signal = 0;
  sigwait(&Ending, &Signal);
  Platform.stop();
  return 0;
}
