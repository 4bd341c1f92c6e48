//===- main.cpp - berylramp-entryd ----------------------------------------===//
//
// The daemon of one entry host. SIGTERM is a planned stop: it is offered to no
// more callers, serves those it was offered to, finishes its streams, hands
// over its bills and exits with 0. A second SIGTERM ends the wait.
//
//===----------------------------------------------------------------------===//

#include "berylramp/http.h"
#include "berylramp/json.h"
#include "berylramp/observe.h"
#include "berylramp/router.h"
#include "berylramp/rpc.h"
#include "berylramp/settings.h"
#include "cli.h"

#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace berylramp;

constexpr int ExitListen = 3;
constexpr absl::Duration DrainStep = absl::Milliseconds(50);

struct Options {
  std::string SettingsPath;
  bool OnlyCheck = false;
  bool PrintSettings = false;
};

Options readOptions(int Argc, char **Argv) {
  TCLAP::CmdLine Line("The berylramp router of one entry host. Exit codes: 0 "
                      "planned stop, 2 bad command line or settings, 3 cannot "
                      "listen.",
                      ' ', BERYLRAMP_VERSION);
  TCLAP::ValueArg<std::string> Settings("s", "settings", "JSON settings file",
                                        true, "", "FILE", Line);
  TCLAP::SwitchArg Check("c", "check", "check the settings and stop", Line);
  TCLAP::SwitchArg Print("p", "print-settings",
                         "print the effective settings without secrets, and "
                         "stop",
                         Line);
  Line.setExceptionHandling(false);
  Line.parse(Argc, Argv);
  return Options{Settings.getValue(), Check.getValue(), Print.getValue()};
}

/// Blocks the signals of a planned stop in all threads to come.
sigset_t blockEndingSignals() {
  sigset_t Ending;
  sigemptyset(&Ending);
  sigaddset(&Ending, SIGTERM);
  sigaddset(&Ending, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Ending, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return Ending;
}

RouterPorts makePorts(const EntrySettings &Settings, Metrics &Counts) {
  auto Pool = std::make_shared<HttpClientPool>();
  RouterPorts Ports;
  Ports.Log = makeHttpLog(Pool, Settings.Log);
  Ports.Hosts = makeHttpHostList(Pool, Settings.HostList);
  Ports.Rater = makeHttpRater(Pool, Settings.Rater);
  Ports.Upstreams = makeHttpUpstreams(Pool);
  Ports.Peers = makePeerPort(makePeerTransport(Pool), Settings.PeerKeys.front(),
                             [&Counts](size_t Sent, size_t Received) {
                               Counts.count(Counter::PeerBytesSent,
                                            static_cast<int64_t>(Sent));
                               Counts.count(Counter::PeerBytesReceived,
                                            static_cast<int64_t>(Received));
                             });
  return Ports;
}

/// Waits until the router is drained, or a second signal comes.
void drain(Router &Work, const sigset_t &Ending) {
  timespec Step = absl::ToTimespec(DrainStep);
  while (!Work.isDrained()) {
    if (sigtimedwait(&Ending, nullptr, &Step) > 0)
      return;
  }
}

int serve(const EntrySettings &Settings) {
  sigset_t Ending = blockEndingSignals();
  startLogging(Settings.Host, Settings.Place, Settings.Verbose);
  ThreadTimer Timer;
  Metrics Counts;
  HttpServerLimits Limits;
  Limits.MaxBodyBytes = Settings.MaxBodyBytes;
  Limits.MaxConnections = Settings.MaxConnections;
  Router Work(Settings, makePorts(Settings, Counts), Timer, Counts);
  HttpServer Server(Limits);
  Work.addRoutes(Server);
  absl::StatusOr<Endpoint> Bound = Server.bind(Settings.Listen);
  if (!Bound.ok()) {
    std::cerr << Bound.status().message() << "\n";
    return ExitListen;
  }
  Work.start(*Bound);
  Server.serve();
  Json::Value Fields;
  Fields["address"] = Bound->text();
  logEvent(LogLevel::Info, "listening", Fields);
  int Signal = 0;
  sigwait(&Ending, &Signal);
  logEvent(LogLevel::Info, "leaving");
  Work.announceLeaving();
  drain(Work, Ending);
  Server.stop();
  Work.stop();
  logEvent(LogLevel::Info, "stopped");
  return 0;
}

int runDaemon(int Argc, char **Argv) {
  Options Chosen = readOptions(Argc, Argv);
  absl::StatusOr<std::string> Text = readFile(Chosen.SettingsPath);
  absl::StatusOr<EntrySettings> Settings =
      Text.ok() ? readEntrySettings(*Text) : Text.status();
  if (!Settings.ok()) {
    std::cerr << Settings.status().message() << "\n";
    return cli::ExitUsage;
  }
  if (Chosen.PrintSettings)
    std::cout << printEntrySettings(*Settings) << "\n";
  if (Chosen.PrintSettings || Chosen.OnlyCheck)
    return 0;
  return serve(*Settings);
}

} // namespace

int main(int Argc, char **Argv) {
  return cli::runTool([&] { return runDaemon(Argc, Argv); });
}
