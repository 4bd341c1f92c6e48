//===- edge_overhead.cpp - Cost of a stream in berylramp-edged ------------===//
//
// Runs the daemon as a separate process next to the stand-in platform, sends
// small requests and open streams through it, and reads its memory and CPU time
// from /proc.
//
//===----------------------------------------------------------------------===//

#include "standin.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <sys/wait.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

extern char **environ;

namespace {

using namespace berylramp;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr int ReplicasPerKind = 4;
/// A stream of 26 events, 100 ms apart, lasts long enough that all streams of
/// a round are open at once, and less than the 3 s that the sample table
/// allows.
constexpr int EventsPerStream = 26;
constexpr absl::Duration EventInterval = absl::Milliseconds(100);

/// A client connection that sends one request.
struct Caller : std::enable_shared_from_this<Caller> {
  explicit Caller(boost::asio::io_context &Loop) : Socket(Loop) {}

  void run(const tcp::endpoint &To, std::string Bytes,
           std::function<void(bool)> OnDone) {
    this->Callback = std::move(OnDone);
    auto Self = this->shared_from_this();
    this->Socket.async_connect(To, [Self, Bytes](const ErrorCode &Error) {
      if (Error) {
        Self->Callback(false);
        return;
      }
      ErrorCode Ignored;
      boost::asio::write(Self->Socket, boost::asio::buffer(Bytes), Ignored);
      Self->read();
    });
  }

  void read() {
    auto Self = this->shared_from_this();
    this->Socket.async_read_some(
        boost::asio::buffer(this->Buffer),
        [Self](const ErrorCode &Error, size_t Count) {
          Self->Tail.append(Self->Buffer.data(), Count);
          bool IsComplete = absl::EndsWith(Self->Tail, "\r\n0\r\n\r\n") ||
                            absl::StrContains(Self->Tail, "\r\n\r\nanswer to");
          if (Error || IsComplete) {
            Self->Callback(IsComplete);
            return;
          }
          constexpr size_t TailBytes = 256;
          if (Self->Tail.size() > TailBytes)
            Self->Tail.erase(0, Self->Tail.size() - TailBytes);
          Self->read();
        });
  }

  tcp::socket Socket;
  std::array<char, 2048> Buffer{};
  std::string Tail;
  std::function<void(bool)> Callback;
};

class Bench {
public:
  Bench(std::string Program, std::string Folder)
      : Program(std::move(Program)), Folder(std::move(Folder)), Timer(Loop),
        Store(Loop, Timer) {}

  int run() {
    this->setUpPlatform();
    this->spawnDaemon();
    this->runFor(absl::Seconds(3));
    this->sendSmallRequests(4000);
    int64_t IdleKb = this->residentKb();
    std::cout << "idle: " << IdleKb << " KB resident\n";
    for (int Count : {100, 500, 1000, 2000})
      this->holdStreams(Count, IdleKb);
    kill(this->Pid, SIGKILL);
    waitpid(this->Pid, nullptr, 0);
    return 0;
  }

private:
  void setUpPlatform() {
    if (!this->Store.listen().ok())
      std::abort();
    this->Store.put("keyed.op", "config", standin::sampleTable(1, {"key-1"}));
    for (int Index = 0; Index < 2 * ReplicasPerKind; ++Index) {
      auto Backend = std::make_shared<standin::Replica>(
          this->Loop, this->Timer, absl::StrCat("r-", Index),
          Index < ReplicasPerKind ? "engine" : "plain", "zone-a");
      if (!Backend->listen().ok())
        std::abort();
      Backend->EventCount = EventsPerStream;
      Backend->Slots = 1000;
      Backend->EventInterval = EventInterval;
      this->Replicas.push_back(Backend);
      this->Store.put("keyed.servers", Backend->id(),
                      Backend->entry("ready", "v1"));
    }
    for (int Index = 0; Index < 5; ++Index)
      this->Ports.push_back(standin::findFreePort());
    this->Settings = this->Folder + "/host.json";
    std::ofstream(this->Settings)
        << standin::sampleSettings("host-1", "zone-a", "127.0.0.1", this->Ports,
                                   this->Store.address(), "");
  }

  void spawnDaemon() {
    posix_spawn_file_actions_t Files;
    posix_spawn_file_actions_init(&Files);
    posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, "/dev/null",
                                     O_WRONLY, 0);
    posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
    std::vector<std::string> Arguments = {
        this->Program, "--settings", this->Settings, "--metrics-port", "0"};
    std::vector<char *> ArgumentPointers;
    for (std::string &Argument : Arguments)
      ArgumentPointers.push_back(Argument.data());
    ArgumentPointers.push_back(nullptr);
    if (posix_spawn(&this->Pid, this->Program.c_str(), &Files, nullptr,
                    ArgumentPointers.data(), environ) != 0)
      std::abort();
    posix_spawn_file_actions_destroy(&Files);
  }

  void runFor(absl::Duration Time) {
    this->Loop.run_for(absl::ToChronoMilliseconds(Time));
  }

  void start(const std::string &Path, std::function<void(bool)> OnDone) {
    this->SentRequests += 1;
    std::string Bytes = absl::StrCat(
        "POST ", Path, " HTTP/1.1\r\nHost: api.test\r\n",
        "Berylramp-Attempt-Id: b", this->SentRequests,
        "\r\nBerylramp-Model: large\r\nAuthorization: Token key-1\r\n",
        "Berylramp-Deadline-Ms: 60000\r\nContent-Length: 4\r\n\r\nbody");
    tcp::endpoint To(boost::asio::ip::address_v4::loopback(),
                     static_cast<uint16_t>(this->Ports[0]));
    std::make_shared<Caller>(this->Loop)->run(To, Bytes, std::move(OnDone));
  }

  /// Sends \p Count small requests, 16 at a time, and prints their CPU time.
  void sendSmallRequests(int Count) {
    constexpr int Concurrency = 16;
    int Started = 0;
    int Finished = 0;
    int Complete = 0;
    std::function<void()> Next = [&] {
      if (Started == Count)
        return;
      Started += 1;
      this->start("/safe/a", [&](bool IsComplete) {
        Finished += 1;
        Complete += IsComplete ? 1 : 0;
        Next();
      });
    };
    double CpuMsBefore = this->cpuTimeMs();
    for (int Index = 0; Index < Concurrency; ++Index)
      Next();
    while (Finished < Count)
      this->Loop.run_one();
    std::cout << "small requests: " << Complete << " of " << Count << " whole, "
              << (this->cpuTimeMs() - CpuMsBefore) * 1000 / Count
              << " us of CPU time each\n";
  }

  void holdStreams(int Count, int64_t IdleKb) {
    int Finished = 0;
    int Complete = 0;
    double CpuMsBefore = this->cpuTimeMs();
    for (int Index = 0; Index < Count; ++Index) {
      this->start("/stream/a", [&](bool IsComplete) {
        Finished += 1;
        Complete += IsComplete ? 1 : 0;
      });
      this->Loop.poll();
    }
    this->runFor(absl::Seconds(1));
    int64_t ResidentKb = this->residentKb();
    while (Finished < Count)
      this->Loop.run_one();
    double CpuMs = this->cpuTimeMs() - CpuMsBefore;
    std::cout << "streams " << Count << ": " << Complete << " whole, resident "
              << ResidentKb << " KB, "
              << static_cast<double>(ResidentKb - IdleKb) / Count
              << " KB per stream, " << CpuMs * 1000 / (Count * EventsPerStream)
              << " us of CPU time per event\n";
  }

  int64_t residentKb() const {
    std::ifstream File(absl::StrCat("/proc/", this->Pid, "/statm"));
    int64_t Size = 0;
    int64_t Resident = 0;
    File >> Size >> Resident;
    return Resident * sysconf(_SC_PAGESIZE) / 1024;
  }

  double cpuTimeMs() const {
    std::ifstream File(absl::StrCat("/proc/", this->Pid, "/stat"));
    std::string Line;
    std::getline(File, Line);
    std::vector<std::string> Fields =
        absl::StrSplit(Line.substr(Line.rfind(')') + 2), ' ');
    constexpr size_t UserTicks = 11;
    double Ticks =
        std::stod(Fields[UserTicks]) + std::stod(Fields[UserTicks + 1]);
    return Ticks * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
  }

  std::string Program;
  std::string Folder;
  std::string Settings;
  boost::asio::io_context Loop;
  LoopTimer Timer;
  standin::Store Store;
  std::vector<std::shared_ptr<standin::Replica>> Replicas;
  std::vector<int> Ports;
  pid_t Pid = 0;
  int64_t SentRequests = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Command("Measures the memory and CPU time of berylramp-edged.",
                         ' ', "1");
  TCLAP::ValueArg<std::string> Program("p", "program", "berylramp-edged", true,
                                       "", "FILE", Command);
  Command.parse(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::string Folder =
      std::filesystem::temp_directory_path() / "berylramp-XXXXXX";
  if (mkdtemp(Folder.data()) == nullptr)
    return 1;
  int Result = Bench(Program.getValue(), Folder).run();
  std::filesystem::remove_all(Folder);
  return Result;
}
