//===- main.cpp - berylramp-edged -----------------------------------------===//
//
// The router daemon of one host on the users' platform. SIGTERM and SIGINT
// start a planned stop. SIGHUP reloads the settings file; a change of the file
// without a signal also does.
//
//===----------------------------------------------------------------------===//

#include "berylramp/edge.h"
#include "berylramp/observe.h"
#include "platform.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/stat.h>
#include <tclap/CmdLine.h>

namespace {

using namespace berylramp;

constexpr int ExitSettings = 2;
constexpr int ExitListen = 3;
/// How often the daemon checks whether the settings file changed without a
/// SIGHUP.
constexpr absl::Duration SettingsCheckInterval = absl::Seconds(2);
constexpr int DefaultMetricsPort = 9464;

struct Options {
  std::string SettingsPath;
  int MetricsPort = DefaultMetricsPort;
  int MinConfidence = CascadeSettings().MinConfidence;
  bool CheckOnly = false;
  bool PrintSettings = false;
};

Options readOptions(int Argc, char **Argv) {
  const char *FromEnvironment = std::getenv(platform::SettingsVariable);
  TCLAP::CmdLine Command(
      "Runs the berylramp router of one host on a platform. "
      "Exit codes: 0 planned stop, 2 invalid command line or "
      "settings, 3 cannot listen.",
      ' ', BERYLRAMP_VERSION);
  TCLAP::ValueArg<std::string> Settings(
      "s", "settings",
      std::string(
          "the platform's settings file; default: the environment variable ") +
          platform::SettingsVariable,
      false, FromEnvironment != nullptr ? FromEnvironment : "", "FILE",
      Command);
  TCLAP::ValueArg<int> Port("m", "metrics-port",
                            "port that serves the metrics; 0 disables it",
                            false, DefaultMetricsPort, "PORT", Command);
  TCLAP::ValueArg<int> Keep(
      "k", "keep-from",
      "minimum confidence, 0 to 100, at which the answer of a smaller model "
      "is accepted; above 100 only the largest model answers",
      false, CascadeSettings().MinConfidence, "NUMBER", Command);
  TCLAP::SwitchArg Check("c", "check", "check the settings and exit", Command);
  TCLAP::SwitchArg Print("p", "print-settings",
                         "print the decoded settings and exit", Command);
  Command.setExceptionHandling(false);
  Command.parse(Argc, Argv);
  return Options{Settings.getValue(), Port.getValue(), Keep.getValue(),
                 Check.getValue(), Print.getValue()};
}

absl::StatusOr<HostConfig> readConfig(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return absl::NotFoundError("the settings file '" + Path +
                               "' cannot be read; name it with --settings or " +
                               platform::SettingsVariable);
  std::ostringstream Text;
  Text << File.rdbuf();
  return platform::decodeSettings(Text.str());
}

void printConfig(const HostConfig &Config) {
  std::cout << "host       " << Config.Name << "\nplace      " << Config.Place
            << "\ncallers    " << Config.Callers.text() << "\nready      "
            << Config.Ready.text() << "\ndirectory  " << Config.Directory.text()
            << "\npeers      " << Config.Peers.text() << "\ngossip     "
            << Config.GossipPort << "\nstore      " << Config.Store.text()
            << "\ngrace      "
            << absl::FormatDuration(Config.Bounds.GracePeriod) << "\n";
}

EdgeSettings edgeSettings(const Options &Opts) {
  EdgeSettings Settings;
  Settings.Cascade.MinConfidence = Opts.MinConfidence;
  return Settings;
}

/// Returns the modification time in nanoseconds and the size in bytes, which
/// identify the content well enough to detect a change; zeros on an error.
std::pair<int64_t, int64_t> fileStamp(const std::string &Path) {
  struct stat Info {};
  if (stat(Path.c_str(), &Info) != 0)
    return {0, 0};
  return {Info.st_mtim.tv_sec * 1000000000LL + Info.st_mtim.tv_nsec,
          Info.st_size};
}

class Program {
public:
  Program(Options Opts, const HostConfig &Config)
      : Opts(std::move(Opts)), Timer(Loop), Config(Config),
        Daemon(Loop, Timer, Config, this->makePlatform(),
               edgeSettings(this->Opts)),
        Signals(Loop, SIGTERM, SIGINT, SIGHUP) {}

  int run() {
    Json::Value Fields(Json::objectValue);
    Fields["version"] = BERYLRAMP_VERSION;
    Fields["callers"] = this->Config.Callers.text();
    logEvent(LogLevel::Info, "started", Fields);
    absl::Status Started = this->Daemon.start();
    if (this->Opts.MetricsPort != 0)
      Started.Update(
          this->Daemon.serveMetrics({this->Config.Ip, this->Opts.MetricsPort}));
    if (!Started.ok()) {
      std::cerr << Started.message() << "\n";
      return ExitListen;
    }
    this->SettingsStamp = fileStamp(this->Opts.SettingsPath);
    this->Timer.schedulePeriodic(SettingsCheckInterval, [this] {
      if (fileStamp(this->Opts.SettingsPath) != this->SettingsStamp)
        this->reload("the settings file changed");
    });
    this->awaitSignal();
    runLoop(this->Loop);
    logEvent(LogLevel::Info, "stopped");
    return 0;
  }

private:
  EdgePlatform makePlatform() {
    EdgePlatform Platform;
    Platform.Store = platform::createStorePort(
        this->Loop, this->Timer, this->Config.Store, EdgeSettings());
    Platform.Codec = platform::codec();
    return Platform;
  }

  void awaitSignal() {
    this->Signals.async_wait(
        [this](const boost::system::error_code &Error, int Signal) {
          if (Error)
            return;
          if (Signal == SIGHUP)
            this->reload("SIGHUP");
          else
            this->stop();
          this->awaitSignal();
        });
  }

  void reload(const char *Reason) {
    this->SettingsStamp = fileStamp(this->Opts.SettingsPath);
    absl::StatusOr<HostConfig> Reloaded = readConfig(this->Opts.SettingsPath);
    Json::Value Fields(Json::objectValue);
    Fields["why"] = Reason;
    Fields["result"] = Reloaded.ok()
                           ? "ok"
                           : "the previous settings remain in force: " +
                                 std::string(Reloaded.status().message());
    logEvent(Reloaded.ok() ? LogLevel::Info : LogLevel::Error, "reloaded",
             Fields);
    if (Reloaded.ok())
      this->Daemon.reload(*Reloaded);
  }

  void stop() {
    logEvent(LogLevel::Info, "stopping");
    this->Daemon.stop([this] { this->Loop.stop(); });
  }

  Options Opts;
  boost::asio::io_context Loop{1};
  LoopTimer Timer;
  HostConfig Config;
  EdgeDaemon Daemon;
  boost::asio::signal_set Signals;
  std::pair<int64_t, int64_t> SettingsStamp;
};

int runDaemon(int Argc, char **Argv) {
  Options Opts = readOptions(Argc, Argv);
  absl::StatusOr<HostConfig> Config = readConfig(Opts.SettingsPath);
  if (!Config.ok()) {
    std::cerr << Config.status().message() << "\n";
    return ExitSettings;
  }
  if (Opts.PrintSettings)
    printConfig(*Config);
  if (Opts.PrintSettings || Opts.CheckOnly)
    return 0;
  std::signal(SIGPIPE, SIG_IGN);
  startQueuedLogging(Config->Name, Config->Place);
  int Code = Program(Opts, *Config).run();
  stopQueuedLogging();
  // All data is written and closed. Exit without running the destructors of
  // static objects in libraries: they may wait for library threads and delay
  // the restart of the host.
  std::_Exit(Code);
}

} // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): other exceptions terminate.
int main(int Argc, char **Argv) {
  try {
    return runDaemon(Argc, Argv);
  } catch (const TCLAP::ExitException &Exit) {
    return Exit.getExitStatus();
  } catch (const TCLAP::ArgException &Error) {
    std::cerr << Error.error() << " " << Error.argId() << "; see --help\n";
    return ExitSettings;
  }
}
