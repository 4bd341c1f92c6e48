//===- process.cpp - A daemon in a process of its own ---------------------===//

#include "process.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace berylramp {

namespace {

std::filesystem::path procPath(pid_t Id, const char *Entry) {
  return std::filesystem::path("/proc") / std::to_string(Id) / Entry;
}

} // namespace

ChildProcess::ChildProcess(const std::string &Program,
                           const std::vector<std::string> &Arguments,
                           int MaxDescriptors, const std::string &OutputPath) {
  std::vector<char *> Argv{const_cast<char *>(Program.c_str())};
  for (const std::string &Argument : Arguments)
    Argv.push_back(const_cast<char *>(Argument.c_str()));
  Argv.push_back(nullptr);
  this->Id = fork();
  if (this->Id != 0)
    return;
  // The child calls async-signal-safe functions only.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int Output = open(OutputPath.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
  dup2(Output, STDOUT_FILENO);
  dup2(Output, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  auto Limit = static_cast<rlim_t>(MaxDescriptors);
  struct rlimit Descriptors {
    Limit, Limit
  };
  setrlimit(RLIMIT_NOFILE, &Descriptors);
  execv(Program.c_str(), Argv.data());
  _exit(127);
}

ChildProcess::~ChildProcess() {
  if (!this->isRunning())
    return;
  kill(this->Id, SIGKILL);
  waitpid(this->Id, nullptr, 0);
}

bool ChildProcess::isRunning() {
  if (!this->HasEnded && waitpid(this->Id, nullptr, WNOHANG) != 0)
    this->HasEnded = true;
  return !this->HasEnded;
}

int64_t ChildProcess::peakMemory() const {
  constexpr int64_t BytesPerKilobyte = 1024;
  std::ifstream Status(procPath(this->Id, "status"));
  std::string Word;
  while (Status >> Word)
    if (Word == "VmHWM:") {
      int64_t Kilobytes = 0;
      Status >> Kilobytes;
      return Kilobytes * BytesPerKilobyte;
    }
  return 0;
}

int ChildProcess::descriptors() const {
  int Count = 0;
  std::error_code Error;
  for (std::filesystem::directory_iterator
           Entry(procPath(this->Id, "fd"), Error),
       End;
       !Error && Entry != End; Entry.increment(Error))
    ++Count;
  return Count;
}

void ChildProcess::signal(int Signal) const { kill(this->Id, Signal); }

} // namespace berylramp
