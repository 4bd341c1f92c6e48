//===- main.cpp - berylramp-entryd ----------------------------------------===//
//
// The daemon of one entry host. SIGTERM or SIGINT starts a planned stop: the
// host is no longer offered to new callers, serves the callers that it was
// offered to, finishes its streams, transfers its bills and exits with 0. A
// second signal stops the drain early.
//
//===----------------------------------------------------------------------===//

#include "berylramp/http.h"
#include "berylramp/json.h"
#include "berylramp/observe.h"
#include "berylramp/router.h"
#include "berylramp/rpc.h"
#include "berylramp/settings.h"
#include "cli.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>
#include <unistd.h>

namespace {

using namespace berylramp;

constexpr int ExitListen = 3;
constexpr absl::Duration DrainPollInterval = absl::Milliseconds(50);

struct Options {
  std::string SettingsPath;
  bool CheckOnly = false;
  bool PrintSettings = false;
};

Options readOptions(int Argc, char **Argv) {
  TCLAP::CmdLine Command("Runs the berylramp router of one entry host. Exit "
                         "codes: 0 planned stop, 2 invalid command line or "
                         "settings, 3 cannot listen.",
                         ' ', BERYLRAMP_VERSION);
  TCLAP::ValueArg<std::string> Settings("s", "settings", "JSON settings file",
                                        true, "", "FILE", Command);
  TCLAP::SwitchArg Check("c", "check", "check the settings and exit", Command);
  TCLAP::SwitchArg Print("p", "print-settings",
                         "print the effective settings without secrets and "
                         "exit",
                         Command);
  Command.setExceptionHandling(false);
  Command.parse(Argc, Argv);
  return Options{Settings.getValue(), Check.getValue(), Print.getValue()};
}

/// Blocks the termination signals in this thread and in all threads that it
/// starts later, so that only sigwait and sigtimedwait receive them.
sigset_t blockTerminationSignals() {
  sigset_t TerminationSignals;
  sigemptyset(&TerminationSignals);
  sigaddset(&TerminationSignals, SIGTERM);
  sigaddset(&TerminationSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &TerminationSignals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return TerminationSignals;
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

/// Half of the descriptors; the rest is for engines, services, the log and
/// other hosts.
size_t maxConnectionsOfProcess() {
  return static_cast<size_t>(std::max<int64_t>(descriptorsOfProcess() / 2, 1));
}

/// The memory of the machine, or of the control group if it has less.
int64_t memoryOfMachine() {
  int64_t Bytes = int64_t{sysconf(_SC_PHYS_PAGES)} * sysconf(_SC_PAGESIZE);
  // "max" or no file if the group has no bound of its own.
  int64_t OfGroup = 0;
  if (std::ifstream("/sys/fs/cgroup/memory.max") >> OfGroup && OfGroup > 0)
    Bytes = std::min(Bytes, OfGroup);
  return Bytes;
}

/// Waits until the router is drained or a second termination signal arrives.
void drain(Router &EntryRouter, const sigset_t &TerminationSignals) {
  timespec PollInterval = absl::ToTimespec(DrainPollInterval);
  while (!EntryRouter.isDrained()) {
    if (sigtimedwait(&TerminationSignals, nullptr, &PollInterval) > 0)
      return;
  }
}

int serve(const EntrySettings &Settings) {
  sigset_t TerminationSignals = blockTerminationSignals();
  startLogging(Settings.Host, Settings.Place, Settings.Verbose);
  ThreadTimer Timer;
  Metrics Counts;
  HttpServerLimits Limits;
  Limits.MaxBodyBytes = Settings.MaxBodyBytes;
  Limits.MaxConnections =
      std::min(Settings.MaxConnections, maxConnectionsOfProcess());
  Limits.MemoryBytes = Settings.MemoryBytes.value_or(memoryOfMachine());
  Router EntryRouter(Settings, makePorts(Settings, Counts), Timer, Counts);
  HttpServer Server(Limits);
  EntryRouter.addRoutes(Server);
  absl::StatusOr<Endpoint> Bound = Server.bind(Settings.Listen);
  if (!Bound.ok()) {
    std::cerr << Bound.status().message() << "\n";
    return ExitListen;
  }
  EntryRouter.start(*Bound);
  Server.serve();
  Json::Value Fields;
  Fields["address"] = Bound->text();
  logEvent(LogLevel::Info, "listening", Fields);
  int Signal = 0;
  sigwait(&TerminationSignals, &Signal);
  logEvent(LogLevel::Info, "leaving");
  EntryRouter.announceLeaving();
  drain(EntryRouter, TerminationSignals);
  Server.stop();
  EntryRouter.stop();
  logEvent(LogLevel::Info, "stopped");
  return 0;
}

int runDaemon(int Argc, char **Argv) {
  Options Opts = readOptions(Argc, Argv);
  absl::StatusOr<std::string> Text = readFile(Opts.SettingsPath);
  absl::StatusOr<EntrySettings> Settings =
      Text.ok() ? readEntrySettings(*Text) : Text.status();
  if (!Settings.ok()) {
    std::cerr << Settings.status().message() << "\n";
    return cli::ExitUsage;
  }
  if (Opts.PrintSettings)
    std::cout << printEntrySettings(*Settings) << "\n";
  if (Opts.PrintSettings || Opts.CheckOnly)
    return 0;
  return serve(*Settings);
}

} // namespace

int main(int Argc, char **Argv) {
  return cli::runTool([&] { return runDaemon(Argc, Argv); });
}
