//===- process.h - A daemon in a process of its own -------------*- C++ -*-===//

#ifndef BERYLRAMP_TEST_SUPPORT_PROCESS_H
#define BERYLRAMP_TEST_SUPPORT_PROCESS_H

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace berylramp {

/// A child process; killed when the object is destroyed.
class ChildProcess {
public:
  /// Starts \p Program with a bound on its open descriptors. Its output goes to
  /// the file \p OutputPath.
  ChildProcess(const std::string &Program,
               const std::vector<std::string> &Arguments, int MaxDescriptors,
               const std::string &OutputPath);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  bool isRunning();
  /// The largest resident memory since the start in bytes; 0 once it ended.
  int64_t peakMemory() const;
  /// Open descriptors; 0 once it ended.
  int descriptors() const;
  /// Sends \p Signal.
  void signal(int Signal) const;

private:
  pid_t Id = -1;
  bool HasEnded = false;
};

} // namespace berylramp

#endif // BERYLRAMP_TEST_SUPPORT_PROCESS_H
