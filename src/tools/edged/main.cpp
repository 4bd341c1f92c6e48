//===- main.cpp - berylramp-edged -----------------------------------------===//
//
// The daemon of one host on the users' platform. SIGTERM is a planned stop;
// SIGHUP reads the settings file again, and so does a change of the file
// without a signal.
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
/// The settings file may change without a signal.
constexpr absl::Duration SettingsCheck = absl::Seconds(2);
constexpr int DefaultMetricsPort = 9464;

struct Options {
  std::string SettingsPath;
  int MetricsPort = DefaultMetricsPort;
  int KeepFrom = CascadeSettings().MinConfidence;
  bool OnlyCheck = false;
  bool PrintSettings = false;
};

Options readOptions(int Argc, char **Argv) {
  const char *FromEnvironment = std::getenv(platform::SettingsVariable);
  TCLAP::CmdLine Line("The berylramp router of one host on a platform. Exit "
                      "codes: 0 planned stop, 2 bad command line or settings, "
                      "3 cannot listen.",
                      ' ', BERYLRAMP_VERSION);
  TCLAP::ValueArg<std::string> Settings(
      "s", "settings",
      std::string("the platform's settings file; default: the variable ") +
          platform::SettingsVariable,
      false, FromEnvironment != nullptr ? FromEnvironment : "", "FILE", Line);
  TCLAP::ValueArg<int> Port("m", "metrics-port",
                            "port of the metrics; 0 serves none", false,
                            DefaultMetricsPort, "PORT", Line);
  TCLAP::ValueArg<int> Keep(
      "k", "keep-from",
      "confidence, 0 to 100, from which a smaller model's answer is kept; "
      "above 100 only the largest model answers",
      false, CascadeSettings().MinConfidence, "NUMBER", Line);
  TCLAP::SwitchArg Check("c", "check", "check the settings and stop", Line);
  TCLAP::SwitchArg Print("p", "print-settings",
                         "print what the settings were read as, and stop",
                         Line);
  Line.setExceptionHandling(false);
  Line.parse(Argc, Argv);
  return Options{Settings.getValue(), Port.getValue(), Keep.getValue(),
                 Check.getValue(), Print.getValue()};
}

absl::StatusOr<HostConfig> readFacts(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return absl::NotFoundError("the settings file '" + Path +
                               "' cannot be read; name it with --settings or " +
                               platform::SettingsVariable);
  std::ostringstream Text;
  Text << File.rdbuf();
  return platform::decodeSettings(Text.str());
}

void printFacts(const HostConfig &Facts) {
  std::cout << "host       " << Facts.Name << "\nplace      " << Facts.Place
            << "\ncallers    " << Facts.Callers.text() << "\nready      "
            << Facts.Ready.text() << "\ndirectory  " << Facts.Directory.text()
            << "\npeers      " << Facts.Peers.text() << "\ngossip     "
            << Facts.GossipPort << "\nstore      " << Facts.Store.text()
            << "\ngrace      " << absl::FormatDuration(Facts.Bounds.GracePeriod)
            << "\n";
}

EdgeSettings edgeSettings(const Options &Chosen) {
  EdgeSettings Settings;
  Settings.Cascade.MinConfidence = Chosen.KeepFrom;
  return Settings;
}

/// Identifies the file's content closely enough to notice a change.
std::pair<int64_t, int64_t> stampOf(const std::string &Path) {
  struct stat Info {};
  if (stat(Path.c_str(), &Info) != 0)
    return {0, 0};
  return {Info.st_mtim.tv_sec * 1000000000LL + Info.st_mtim.tv_nsec,
          Info.st_size};
}

class Program {
public:
  Program(Options Chosen, const HostConfig &Facts)
      : Chosen(std::move(Chosen)), Timer(Loop), Facts(Facts),
        Daemon(Loop, Timer, Facts, this->platformParts(),
               edgeSettings(this->Chosen)),
        Signals(Loop, SIGTERM, SIGINT, SIGHUP),
        MetricsServer(
            Loop, Timer, [] { return CallerLimits(); },
            [this](const HttpRequest &, const ResponderPtr &Answer) {
              HttpHead Head;
              Head.Status = 200;
              Head.Headers.emplace_back("Content-Type", "text/plain");
              Answer->sendWhole(Head, this->Daemon.metricsText(), false);
            }) {}

  int run() {
    Json::Value Line(Json::objectValue);
    Line["version"] = BERYLRAMP_VERSION;
    Line["callers"] = this->Facts.Callers.text();
    logEvent(LogLevel::Info, "started", Line);
    absl::Status Opened = this->Daemon.start();
    if (this->Chosen.MetricsPort != 0)
      Opened.Update(this->MetricsServer.listen(
          {this->Facts.Ip, this->Chosen.MetricsPort}));
    if (!Opened.ok()) {
      std::cerr << Opened.message() << "\n";
      return ExitListen;
    }
    this->Stamp = stampOf(this->Chosen.SettingsPath);
    this->Timer.schedulePeriodic(SettingsCheck, [this] {
      if (stampOf(this->Chosen.SettingsPath) != this->Stamp)
        this->reload("the file changed");
    });
    this->awaitSignal();
    this->Loop.run();
    logEvent(LogLevel::Info, "stopped");
    return 0;
  }

private:
  EdgePlatform platformParts() {
    EdgePlatform Parts;
    Parts.Store = platform::createStorePort(this->Loop, this->Timer,
                                            this->Facts.Store, EdgeSettings());
    Parts.Codec = platform::codec();
    return Parts;
  }

  void awaitSignal() {
    this->Signals.async_wait(
        [this](const boost::system::error_code &Error, int Which) {
          if (Error)
            return;
          if (Which == SIGHUP)
            this->reload("SIGHUP");
          else
            this->stop();
          this->awaitSignal();
        });
  }

  void reload(const char *Why) {
    this->Stamp = stampOf(this->Chosen.SettingsPath);
    absl::StatusOr<HostConfig> Read = readFacts(this->Chosen.SettingsPath);
    Json::Value Line(Json::objectValue);
    Line["why"] = Why;
    Line["result"] = Read.ok() ? "ok"
                               : "the old settings stay: " +
                                     std::string(Read.status().message());
    logEvent(Read.ok() ? LogLevel::Info : LogLevel::Error, "reloaded", Line);
    if (Read.ok())
      this->Daemon.reload(*Read);
  }

  void stop() {
    logEvent(LogLevel::Info, "stopping");
    this->Daemon.stop([this] { this->Loop.stop(); });
  }

  Options Chosen;
  boost::asio::io_context Loop{1};
  LoopTimer Timer;
  HostConfig Facts;
  EdgeDaemon Daemon;
  boost::asio::signal_set Signals;
  HttpListener MetricsServer;
  std::pair<int64_t, int64_t> Stamp;
};

int runDaemon(int Argc, char **Argv) {
  Options Chosen = readOptions(Argc, Argv);
  absl::StatusOr<HostConfig> Facts = readFacts(Chosen.SettingsPath);
  if (!Facts.ok()) {
    std::cerr << Facts.status().message() << "\n";
    return ExitSettings;
  }
  if (Chosen.PrintSettings)
    printFacts(*Facts);
  if (Chosen.PrintSettings || Chosen.OnlyCheck)
    return 0;
  std::signal(SIGPIPE, SIG_IGN);
  startQueuedLogging(Facts->Name, Facts->Place);
  int Code = Program(Chosen, *Facts).run();
  stopQueuedLogging();
  // Everything is written and closed. The destructors of libraries' statics
  // may wait for threads of theirs, and a stopped host is back that much later.
  std::_Exit(Code);
}

} // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): the rest ends the program.
int main(int Argc, char **Argv) {
  try {
    return runDaemon(Argc, Argv);
  } catch (const TCLAP::ExitException &Exit) {
    return Exit.getExitStatus();
  } catch (const TCLAP::ArgException &Bad) {
    std::cerr << Bad.error() << " " << Bad.argId() << "; see --help\n";
    return ExitSettings;
  }
}
