//===- main.cpp - A randomized soak of real daemons -----------------------===//
//
// Runs berylramp-edged on three loopback hosts as processes of their own, with
// the stand-in platform in this process, harms them from outside, and checks
// what callers and replicas see. One seed gives one series of faults.
//
//===----------------------------------------------------------------------===//

#include "proxy.h"
#include "standin.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <spawn.h>
#include <sys/wait.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

extern char **environ;

namespace {

using namespace berylramp;
using namespace berylramp::soak;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr int HostCount = 3;
constexpr int CallerCount = 12;
constexpr absl::Duration StepEvery = absl::Milliseconds(300);
constexpr absl::Duration CallTime = absl::Seconds(6);
/// A host counts as undisturbed this long after its last fault.
constexpr absl::Duration Calm = absl::Seconds(4);

/// One daemon process.
struct Host {
  std::string Settings;
  std::string Ip;
  std::shared_ptr<Proxy> StoreWay;
  pid_t Pid = 0;
  bool Paused = false;
  bool Stopping = false;
  Instant DisturbedAt;
};

/// What was asked and what came back.
struct Asked {
  std::string Kind;
  int Status = 0;
  bool Whole = false;
};

class Soak {
public:
  Soak(uint32_t Seed, std::string Program, std::string Folder)
      : Random(Seed), Program(std::move(Program)), Folder(std::move(Folder)),
        Timer(Loop), Store(Loop, Timer) {}

  int run(absl::Duration Length) {
    this->build();
    this->runUntil([&] { return this->allServe("key-1"); }, absl::Seconds(20),
                   "the hosts serve after the start");
    for (int Index = 0; Index < CallerCount; ++Index)
      this->nextCall();
    this->Timer.every(StepEvery, [this] { this->harm(); });
    this->runFor(Length);
    this->Harming = false;
    this->heal();
    this->runFor(Calm);
    this->Store.put("keyed.op", "config",
                    standin::sampleTable(100, {"key-1", "key-2"}));
    this->runUntil([&] { return this->allServe("key-2"); }, absl::Seconds(15),
                   "all hosts serve by the newest table after the faults");
    this->Calling = false;
    this->runFor(absl::Seconds(1));
    this->audit();
    for (Host &Each : this->Hosts)
      this->signalHost(Each, SIGKILL);
    for (Host &Each : this->Hosts)
      waitpid(Each.Pid, nullptr, 0);
    std::cout << "asked " << this->Calls.size() << ", whole " << this->Whole
              << ", refused " << this->Refused << ", other " << this->Other
              << ", faults " << this->Faults << ", broken "
              << this->Broken.size() << "\n";
    for (const std::string &Each : this->Broken)
      std::cout << "BROKEN: " << Each << "\n";
    return this->Broken.empty() ? 0 : 1;
  }

private:
  int draw(int Below) {
    return static_cast<int>(this->Random() % static_cast<uint32_t>(Below));
  }

  void build() {
    if (!this->Store.listen().ok())
      std::abort();
    this->Store.put("keyed.op", "config", standin::sampleTable(1, {"key-1"}));
    for (int Index = 0; Index < 6; ++Index) {
      bool Engine = Index < 3;
      auto Made = std::make_shared<standin::Replica>(
          this->Loop, this->Timer, absl::StrCat("r-", Index),
          Engine ? "engine" : "plain", "zone-a");
      if (!Made->listen().ok())
        std::abort();
      auto Way =
          std::make_shared<Proxy>(this->Loop, this->Timer, Made->address());
      Way->listen();
      Made->Shown = Way->address();
      Made->Work = absl::Milliseconds(10);
      this->Replicas.push_back(Made);
      this->Ways.push_back(Way);
      this->Store.put("keyed.servers", Made->id(), Made->entry("ready", "v1"));
    }
    for (int Index = 0; Index < 5; ++Index)
      this->Ports.push_back(standin::freePort());
    for (int Index = 0; Index < HostCount; ++Index) {
      Host Made;
      Made.Ip = absl::StrCat("127.0.0.", Index + 1);
      Made.StoreWay = std::make_shared<Proxy>(this->Loop, this->Timer,
                                              this->Store.address());
      Made.StoreWay->listen();
      Made.Settings = absl::StrCat(this->Folder, "/host-", Index, ".json");
      std::ofstream(Made.Settings) << standin::sampleSettings(
          absl::StrCat("host-", Index), "zone-a", Made.Ip, this->Ports,
          Made.StoreWay->address(), absl::StrCat("127.0.0.1:", this->Ports[3]));
      this->Hosts.push_back(Made);
    }
    for (Host &Each : this->Hosts)
      this->spawn(Each);
    this->Timer.every(absl::Milliseconds(50), [this] { this->reap(); });
    this->Timer.every(absl::Milliseconds(1200), [this] {
      for (const auto &Each : this->Replicas)
        if (this->Drained.count(Each->id()) == 0)
          this->Store.put("keyed.servers", Each->id(),
                          Each->entry("ready", "v1"));
    });
  }

  void spawn(Host &Which) {
    std::string Log = Which.Settings + ".log";
    posix_spawn_file_actions_t Files;
    posix_spawn_file_actions_init(&Files);
    posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, Log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::vector<std::string> Words = {this->Program, "--settings",
                                      Which.Settings, "--metrics-port", "0"};
    std::vector<char *> Arguments;
    for (std::string &Each : Words)
      Arguments.push_back(Each.data());
    Arguments.push_back(nullptr);
    if (posix_spawn(&Which.Pid, this->Program.c_str(), &Files, nullptr,
                    Arguments.data(), environ) != 0)
      std::abort();
    posix_spawn_file_actions_destroy(&Files);
    Which.Stopping = false;
    Which.Paused = false;
    Which.DisturbedAt = this->Timer.now();
  }

  void reap() {
    for (Host &Each : this->Hosts) {
      int Status = 0;
      if (waitpid(Each.Pid, &Status, WNOHANG) != Each.Pid)
        continue;
      bool Asked =
          Each.Stopping || (WIFSIGNALED(Status) && WTERMSIG(Status) == SIGKILL);
      if (!Asked)
        this->broken(absl::StrCat("a host ended by itself, status ", Status));
      if (Each.Stopping && WIFEXITED(Status) && WEXITSTATUS(Status) != 0)
        this->broken("a planned stop did not exit with 0");
      this->spawn(Each);
    }
  }

  void signalHost(Host &Which, int Signal) { kill(Which.Pid, Signal); }

  void harm() {
    if (!this->Harming)
      return;
    this->Faults += 1;
    Host &Which = this->Hosts[static_cast<size_t>(this->draw(HostCount))];
    auto Index = static_cast<size_t>(
        this->draw(static_cast<int>(this->Replicas.size())));
    standin::Replica &Server = *this->Replicas[Index];
    switch (this->draw(11)) {
    case 0:
      this->signalHost(Which, SIGKILL);
      Which.DisturbedAt = this->Timer.now();
      break;
    case 1:
      this->pause(Which);
      break;
    case 2:
      if (!Which.Stopping && !Which.Paused) {
        Which.Stopping = true;
        this->signalHost(Which, SIGTERM);
      }
      break;
    case 3:
      this->signalHost(Which, SIGHUP);
      break;
    case 4:
      Which.StoreWay->Mode = static_cast<Harm>(this->draw(5));
      Which.DisturbedAt = this->Timer.now();
      break;
    case 5:
      Which.StoreWay->resetAll();
      break;
    case 6:
      this->Store.Mood = static_cast<standin::StoreMood>(this->draw(5));
      break;
    case 7:
      Server.Mood = static_cast<standin::ReplicaMood>(this->draw(12));
      break;
    case 8:
      this->Ways[Index]->Mode = static_cast<Harm>(this->draw(5));
      break;
    case 9:
      this->Ways[Index]->resetAll();
      break;
    default:
      Server.CutAfter = this->draw(4);
      Server.Confidence = this->draw(100);
      this->Store.compact("keyed.servers");
      break;
    }
    this->healSome();
  }

  void pause(Host &Which) {
    if (Which.Paused || Which.Stopping)
      return;
    Which.Paused = true;
    Which.DisturbedAt = this->Timer.now();
    this->signalHost(Which, SIGSTOP);
    pid_t Pid = Which.Pid;
    Host *Held = &Which;
    this->Timer.after(absl::Milliseconds(200 + this->draw(1500)),
                      [this, Held, Pid] {
                        Held->Paused = false;
                        Held->DisturbedAt = this->Timer.now();
                        kill(Pid, SIGCONT);
                      });
  }

  /// Keeps part of the system well: two faults of a kind do not last.
  void healSome() {
    auto Index = static_cast<size_t>(
        this->draw(static_cast<int>(this->Replicas.size())));
    this->Replicas[Index]->Mood = standin::ReplicaMood::Answers;
    this->Ways[Index]->Mode = Harm::None;
    if (this->draw(3) == 0)
      this->Store.Mood = standin::StoreMood::Serves;
    this->Hosts[static_cast<size_t>(this->draw(HostCount))].StoreWay->Mode =
        Harm::None;
  }

  void heal() {
    this->Store.Mood = standin::StoreMood::Serves;
    for (const auto &Each : this->Replicas) {
      Each->Mood = standin::ReplicaMood::Answers;
      Each->CutAfter = 0;
    }
    for (const auto &Each : this->Ways)
      Each->Mode = Harm::None;
    for (Host &Each : this->Hosts)
      Each.StoreWay->Mode = Harm::None;
  }

  struct Call : std::enable_shared_from_this<Call> {
    explicit Call(boost::asio::io_context &Loop) : Socket(Loop) {}
    tcp::socket Socket;
    std::string Id;
    std::string Kind;
    std::string Received;
    std::string Buffer = std::string(4096, '\0');
    bool Done = false;
  };

  void nextCall() {
    if (!this->Calling)
      return;
    auto Made = std::make_shared<Call>(this->Loop);
    this->Calls.emplace_back();
    Made->Id = absl::StrCat("q", this->Calls.size());
    static const std::vector<std::string> Kinds = {"once", "safe", "stream"};
    Made->Kind = Kinds[static_cast<size_t>(this->draw(3))];
    size_t Row = this->Calls.size() - 1;
    this->Calls[Row].Kind = Made->Kind;
    const Host &To = this->Hosts[static_cast<size_t>(this->draw(HostCount))];
    auto Finish = [this, Made, Row] {
      if (Made->Done)
        return;
      Made->Done = true;
      ErrorCode Ignored;
      Made->Socket.close(Ignored);
      this->judge(*Made, this->Calls[Row]);
      this->Timer.after(absl::Milliseconds(5 + this->draw(60)),
                        [this] { this->nextCall(); });
    };
    this->Timer.after(CallTime, Finish);
    Made->Socket.async_connect(
        tcp::endpoint(boost::asio::ip::make_address_v4(To.Ip),
                      static_cast<uint16_t>(this->Ports[0])),
        [this, Made, Finish](const ErrorCode &Error) {
          if (Error) {
            Finish();
            return;
          }
          ErrorCode Ignored;
          std::string Bytes = absl::StrCat(
              "POST /", Made->Kind, "/x HTTP/1.1\r\nHost: api.test\r\n",
              "Berylramp-Attempt-Id: ", Made->Id,
              "\r\nBerylramp-Deadline-Ms: 5000\r\nBerylramp-Model: *\r\n",
              "Authorization: Token key-1\r\nContent-Length: 4\r\n\r\nbody");
          boost::asio::write(Made->Socket, boost::asio::buffer(Bytes), Ignored);
          this->read(Made, Finish);
        });
  }

  void read(const std::shared_ptr<Call> &Which,
            const std::function<void()> &Finish) {
    Which->Socket.async_read_some(
        boost::asio::buffer(Which->Buffer),
        [this, Which, Finish](const ErrorCode &Error, size_t Count) {
          Which->Received.append(Which->Buffer.data(), Count);
          if (Error || isWhole(Which->Received))
            Finish();
          else
            this->read(Which, Finish);
        });
  }

  static bool isWhole(const std::string &Text) {
    size_t End = Text.find("\r\n\r\n");
    if (End == std::string::npos)
      return false;
    if (absl::StrContains(Text, "Transfer-Encoding: chunked"))
      return absl::EndsWith(Text, "\r\n0\r\n\r\n");
    size_t At = Text.find("Content-Length: ");
    return At != std::string::npos &&
           Text.size() >= End + 4 + std::stoul(Text.substr(At + 16));
  }

  void judge(const Call &Which, Asked &Row) {
    const std::string &Text = Which.Received;
    Row.Whole = isWhole(Text);
    Row.Status = Text.size() < 12 ? 0 : std::stoi(Text.substr(9, 3));
    bool Good = Row.Whole && Row.Status == 200;
    this->Whole += Good ? 1 : 0;
    this->Refused += Row.Status == 503 ? 1 : 0;
    this->Other += !Good && Row.Status != 503 ? 1 : 0;
    if (Row.Status == 401 || Row.Status == 403 || Row.Status == 404)
      this->broken(absl::StrCat(Which.Id, " was denied with ", Row.Status));
    if (!Good)
      return;
    if (!absl::StrContains(Text, "Berylramp-Replica-Signature"))
      this->broken(absl::StrCat(Which.Id, ": a success without signature"));
    if (Which.Kind != "stream") {
      std::string Body = standin::Replica::bodyFor(Which.Id);
      if (!absl::EndsWith(Text, "\r\n\r\n" + Body))
        this->broken(absl::StrCat(Which.Id, ": not the replica's body"));
      return;
    }
    size_t At = 0;
    for (int Event = 1; Event <= 5; ++Event) {
      std::string Want = absl::StrCat("id: ", Event, "\ndata: ", Event, " of ",
                                      Which.Id, "\n");
      size_t Found = Text.find(Want, At);
      if (Found == std::string::npos ||
          Text.find(Want, Found + 1) != std::string::npos) {
        this->broken(absl::StrCat(Which.Id, ": event ", Event,
                                  " is missing, double or out of order"));
        return;
      }
      At = Found;
    }
  }

  /// What only the replicas' side can tell.
  void audit() {
    std::map<std::string, int> Runs;
    for (const auto &Each : this->Replicas)
      for (const standin::Run &Made : Each->Runs) {
        Runs[Made.RequestId] += 1;
        if (Made.Workspace != "w1" || Made.SawKey)
          this->broken(
              absl::StrCat(Made.RequestId, ": wrong workspace or key"));
        if (Made.DeadlineMs > 5000)
          this->broken(absl::StrCat(Made.RequestId, ": more time than left"));
      }
    for (size_t Row = 0; Row < this->Calls.size(); ++Row) {
      const Asked &Each = this->Calls[Row];
      int Count = Runs[absl::StrCat("q", Row + 1)];
      if (Each.Kind == "once" && Count > 1)
        this->broken(absl::StrCat("q", Row + 1, " ran ", Count, " times"));
      if (Each.Kind == "once" && Each.Status == 503 && Count > 0)
        this->broken(absl::StrCat("q", Row + 1, " was 'not run' and ran"));
      int Most = Each.Kind == "once" ? 1 : Each.Kind == "safe" ? 2 : 3;
      if (Count > Most)
        this->broken(absl::StrCat("q", Row + 1, " exceeded its attempts"));
    }
  }

  bool allServe(const std::string &Key) {
    for (const Host &Each : this->Hosts)
      if (!this->servesNow(Each, Key))
        return false;
    return true;
  }

  bool servesNow(const Host &Which, const std::string &Key) {
    tcp::socket Socket(this->Loop);
    ErrorCode Error;
    Socket.connect(tcp::endpoint(boost::asio::ip::make_address_v4(Which.Ip),
                                 static_cast<uint16_t>(this->Ports[0])),
                   Error);
    if (Error)
      return false;
    this->Probes += 1;
    std::string Bytes = absl::StrCat(
        "POST /safe/x HTTP/1.1\r\nHost: api.test\r\nBerylramp-Attempt-Id: p",
        this->Probes, "\r\nAuthorization: Token ", Key,
        "\r\nContent-Length: 0\r\n\r\n");
    boost::asio::write(Socket, boost::asio::buffer(Bytes), Error);
    std::string Text;
    std::string Buffer(4096, '\0');
    bool Over = false;
    std::function<void()> Read = [&] {
      Socket.async_read_some(boost::asio::buffer(Buffer),
                             [&](const ErrorCode &Failed, size_t Count) {
                               Text.append(Buffer.data(), Count);
                               Over = Failed || isWhole(Text);
                               if (!Over)
                                 Read();
                             });
    };
    Read();
    Instant End = this->Timer.now() + absl::Seconds(2);
    while (!Over && this->Timer.now() < End)
      this->Loop.run_for(std::chrono::milliseconds(2));
    Socket.close(Error);
    this->Loop.run_for(std::chrono::milliseconds(2));
    return absl::StartsWith(Text, "HTTP/1.1 200");
  }

  void runFor(absl::Duration Time) {
    Instant End = this->Timer.now() + Time;
    while (this->Timer.now() < End)
      this->Loop.run_for(std::chrono::milliseconds(5));
  }

  void runUntil(const std::function<bool()> &Holds, absl::Duration Most,
                const std::string &What) {
    Instant End = this->Timer.now() + Most;
    while (!Holds()) {
      this->runFor(absl::Milliseconds(50));
      if (End < this->Timer.now()) {
        this->broken("not in time: " + What);
        return;
      }
    }
  }

  void broken(const std::string &What) { this->Broken.push_back(What); }

  std::mt19937 Random;
  std::string Program;
  std::string Folder;
  boost::asio::io_context Loop;
  LoopTimer Timer;
  standin::Store Store;
  std::vector<std::shared_ptr<standin::Replica>> Replicas;
  std::vector<std::shared_ptr<Proxy>> Ways;
  std::vector<Host> Hosts;
  std::vector<int> Ports;
  std::vector<Asked> Calls;
  std::set<std::string> Drained;
  std::vector<std::string> Broken;
  bool Harming = true;
  bool Calling = true;
  int Faults = 0;
  int Whole = 0;
  int Refused = 0;
  int Other = 0;
  int Probes = 0;
};

int runSoak(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Soaks berylramp-edged under faults. Exit codes: 0 no "
                      "promise broken, 1 a promise broken.",
                      ' ', "1");
  TCLAP::ValueArg<uint32_t> Seed("s", "seed", "seed of the faults", false, 1,
                                 "NUMBER", Line);
  TCLAP::ValueArg<int> Seconds("t", "seconds", "time of faults", false, 8,
                               "NUMBER", Line);
  TCLAP::ValueArg<std::string> Program("p", "program", "berylramp-edged", true,
                                       "", "FILE", Line);
  TCLAP::ValueArg<std::string> Folder("f", "folder",
                                      "for settings and logs; must exist", true,
                                      "", "FOLDER", Line);
  Line.parse(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  return Soak(Seed.getValue(), Program.getValue(), Folder.getValue())
      .run(absl::Seconds(Seconds.getValue()));
}

} // namespace

int main(int Argc, char **Argv) { return runSoak(Argc, Argv); }
