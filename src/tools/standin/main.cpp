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

int main(int Argc, char **Argv) {
  std::string Path;
  try {
    TCLAP::CmdLine Line("Stand-in of the platform, engines and services, for "
                        "tests and measurements. Exit codes: 0 ended by "
                        "signal, 2 bad settings, 3 cannot listen.",
                        ' ', BERYLRAMP_VERSION);
    TCLAP::UnlabeledValueArg<std::string> File(
        "description", "JSON description of the platform", true, "", "FILE",
        Line);
    Line.parse(Argc, Argv);
    Path = File.getValue();
  } catch (const TCLAP::ArgException &Fault) {
    std::cerr << Fault.error() << "\n";
    return 2;
  }
  sigset_t Ending;
  sigemptyset(&Ending);
  sigaddset(&Ending, SIGTERM);
  sigaddset(&Ending, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Ending, nullptr);
  absl::StatusOr<std::string> Text = berylramp::readFile(Path);
  if (!Text.ok()) {
    std::cerr << Text.status().message() << "\n";
    return 2;
  }
  absl::StatusOr<Json::Value> In = berylramp::parseJson(*Text);
  if (!In.ok()) {
    std::cerr << In.status().message() << "\n";
    return 2;
  }
  berylramp::standin::Platform Platform(*In);
  absl::Status Started = Platform.start();
  if (!Started.ok()) {
    std::cerr << Started.message() << "\n";
    return 3;
  }
  std::cerr << "listening on " << Platform.address().text() << "\n";
  int Signal = 0;
  sigwait(&Ending, &Signal);
  Platform.stop();
  return 0;
}
