//===- log_queue.h - Asynchronous log writer --------------------*- C++ -*-===//

#ifndef BERYLRAMP_OBSERVE_LOG_QUEUE_H
#define BERYLRAMP_OBSERVE_LOG_QUEUE_H

#include "berylramp/observe.h"
#include <string>
#include <thread>
#include <vector>

namespace berylramp {

/// A bounded queue of log lines and the thread that writes them to standard
/// output.
class LogQueue {
public:
  /// Returns the queue of this process, or null if it is not started.
  static LogQueue *instance();
  static void start(const HostId &Host, const PlaceId &Place);
  static void stop();

  void add(LogLevel Level, const char *Event, Json::Value Fields);

private:
  LogQueue(const HostId &Host, const PlaceId &Place);
  ~LogQueue();
  void run();
  void write(const std::vector<std::string> &Lines, int64_t DroppedLines);

  std::string Host;
  std::string Place;
  Mutex Lock;
  std::vector<std::string> Lines;
  int64_t DroppedLines = 0;
  bool Stopping = false;
  std::thread Writer;
};

} // namespace berylramp

#endif // BERYLRAMP_OBSERVE_LOG_QUEUE_H
