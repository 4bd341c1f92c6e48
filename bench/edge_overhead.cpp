//===- edge_overhead.cpp - What a stream costs berylramp-edged ------------===//
//
// Runs the daemon as a process of its own beside the stand-in platform, holds
// streams and sends small requests through it, and reads its memory and
// processor time from the kernel.
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

constexpr int Engines = 4;
/// A stream lasts long enough that all of a round are open at once, and less
/// than the 3 s that the sample table gives it.
constexpr int Events = 26;
constexpr absl::Duration EventPause = absl::Milliseconds(100);

/// One caller with one request.
struct Caller : std::enable_shared_from_this<Caller> {
  explicit Caller(boost::asio::io_context &Loop) : Socket(Loop) {}

  void run(const tcp::endpoint &To, std::string Bytes,
           std::function<void(bool)> Over) {
    this->Done = std::move(Over);
    auto Self = this->shared_from_this();
    this->Socket.async_connect(To, [Self, Bytes](const ErrorCode &Error) {
      if (Error) {
        Self->Done(false);
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
          bool Whole = absl::EndsWith(Self->Tail, "\r\n0\r\n\r\n") ||
                       absl::StrContains(Self->Tail, "\r\n\r\nanswer to");
          if (Error || Whole) {
            Self->Done(Whole);
            return;
          }
          constexpr size_t Kept = 256;
          if (Self->Tail.size() > Kept)
            Self->Tail.erase(0, Self->Tail.size() - Kept);
          Self->read();
        });
  }

  tcp::socket Socket;
  std::array<char, 2048> Buffer{};
  std::string Tail;
  std::function<void(bool)> Done;
};

class Bench {
public:
  Bench(std::string Program, std::string Folder)
      : Program(std::move(Program)), Folder(std::move(Folder)), Timer(Loop),
        Store(Loop, Timer) {}

  int run() {
    this->build();
    this->spawn();
    this->runFor(absl::Seconds(3));
    this->small(4000);
    int64_t Idle = this->residentKb();
    std::cout << "idle: " << Idle << " KB resident\n";
    for (int Count : {100, 500, 1000, 2000})
      this->hold(Count, Idle);
    kill(this->Pid, SIGKILL);
    waitpid(this->Pid, nullptr, 0);
    return 0;
  }

private:
  void build() {
    if (!this->Store.listen().ok())
      std::abort();
    this->Store.put("keyed.op", "config", standin::sampleTable(1, {"key-1"}));
    for (int Index = 0; Index < 2 * Engines; ++Index) {
      auto Made = std::make_shared<standin::Replica>(
          this->Loop, this->Timer, absl::StrCat("r-", Index),
          Index < Engines ? "engine" : "plain", "zone-a");
      if (!Made->listen().ok())
        std::abort();
      Made->EventCount = Events;
      Made->Slots = 1000;
      Made->EventInterval = EventPause;
      this->Replicas.push_back(Made);
      this->Store.put("keyed.servers", Made->id(), Made->entry("ready", "v1"));
    }
    for (int Index = 0; Index < 5; ++Index)
      this->Ports.push_back(standin::findFreePort());
    this->Settings = this->Folder + "/host.json";
    std::ofstream(this->Settings)
        << standin::sampleSettings("host-1", "zone-a", "127.0.0.1", this->Ports,
                                   this->Store.address(), "");
  }

  void spawn() {
    posix_spawn_file_actions_t Files;
    posix_spawn_file_actions_init(&Files);
    posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, "/dev/null",
                                     O_WRONLY, 0);
    posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
    std::vector<std::string> Words = {this->Program, "--settings",
                                      this->Settings, "--metrics-port", "0"};
    std::vector<char *> Arguments;
    for (std::string &Each : Words)
      Arguments.push_back(Each.data());
    Arguments.push_back(nullptr);
    if (posix_spawn(&this->Pid, this->Program.c_str(), &Files, nullptr,
                    Arguments.data(), environ) != 0)
      std::abort();
    posix_spawn_file_actions_destroy(&Files);
  }

  void runFor(absl::Duration Time) {
    this->Loop.run_for(absl::ToChronoMilliseconds(Time));
  }

  void start(const std::string &Path, std::function<void(bool)> Over) {
    this->Sent += 1;
    std::string Bytes = absl::StrCat(
        "POST ", Path, " HTTP/1.1\r\nHost: api.test\r\n",
        "Berylramp-Attempt-Id: b", this->Sent,
        "\r\nBerylramp-Model: large\r\nAuthorization: Token key-1\r\n",
        "Berylramp-Deadline-Ms: 60000\r\nContent-Length: 4\r\n\r\nbody");
    tcp::endpoint To(boost::asio::ip::address_v4::loopback(),
                     static_cast<uint16_t>(this->Ports[0]));
    std::make_shared<Caller>(this->Loop)->run(To, Bytes, std::move(Over));
  }

  /// Small requests, a few at a time.
  void small(int Count) {
    constexpr int AtOnce = 16;
    int Started = 0;
    int Over = 0;
    int Whole = 0;
    std::function<void()> Next = [&] {
      if (Started == Count)
        return;
      Started += 1;
      this->start("/safe/a", [&](bool Good) {
        Over += 1;
        Whole += Good ? 1 : 0;
        Next();
      });
    };
    double Before = this->processorMs();
    for (int Index = 0; Index < AtOnce; ++Index)
      Next();
    while (Over < Count)
      this->Loop.run_one();
    std::cout << "small requests: " << Whole << " of " << Count << " whole, "
              << (this->processorMs() - Before) * 1000 / Count
              << " us of processor each\n";
  }

  void hold(int Count, int64_t Idle) {
    int Over = 0;
    int Whole = 0;
    double Before = this->processorMs();
    for (int Index = 0; Index < Count; ++Index) {
      this->start("/stream/a", [&](bool Good) {
        Over += 1;
        Whole += Good ? 1 : 0;
      });
      this->Loop.poll();
    }
    this->runFor(absl::Seconds(1));
    int64_t Held = this->residentKb();
    while (Over < Count)
      this->Loop.run_one();
    double Spent = this->processorMs() - Before;
    std::cout << "streams " << Count << ": " << Whole << " whole, resident "
              << Held << " KB, " << static_cast<double>(Held - Idle) / Count
              << " KB a stream, " << Spent * 1000 / (Count * Events)
              << " us of processor an event\n";
  }

  int64_t residentKb() const {
    std::ifstream In(absl::StrCat("/proc/", this->Pid, "/statm"));
    int64_t Size = 0;
    int64_t Resident = 0;
    In >> Size >> Resident;
    return Resident * sysconf(_SC_PAGESIZE) / 1024;
  }

  double processorMs() const {
    std::ifstream In(absl::StrCat("/proc/", this->Pid, "/stat"));
    std::string Line;
    std::getline(In, Line);
    std::vector<std::string> Words =
        absl::StrSplit(Line.substr(Line.rfind(')') + 2), ' ');
    constexpr size_t User = 11;
    double Ticks = std::stod(Words[User]) + std::stod(Words[User + 1]);
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
  int64_t Sent = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Measures memory and processor time of berylramp-edged.",
                      ' ', "1");
  TCLAP::ValueArg<std::string> Program("p", "program", "berylramp-edged", true,
                                       "", "FILE", Line);
  Line.parse(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::string Folder =
      std::filesystem::temp_directory_path() / "berylramp-XXXXXX";
  if (mkdtemp(Folder.data()) == nullptr)
    return 1;
  int Result = Bench(Program.getValue(), Folder).run();
  std::filesystem::remove_all(Folder);
  return Result;
}
