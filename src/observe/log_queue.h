//===- log_queue.h - Lines for a thread that writes them --------*- C++ -*-===//

#ifndef BERYLRAMP_OBSERVE_LOG_QUEUE_H
#define BERYLRAMP_OBSERVE_LOG_QUEUE_H

#include "berylramp/observe.h"
#include <string>
#include <thread>
#include <vector>

namespace berylramp {

class LogQueue {
public:
  /// The queue in use, or null.
  static LogQueue *running();
  static void start(const HostId &Host, const PlaceId &Place);
  static void stop();

  void add(LogLevel Level, const char *Event, Json::Value Fields);

private:
  LogQueue(const HostId &Host, const PlaceId &Place);
  ~LogQueue();
  void run();
  void write(const std::vector<std::string> &Lines, int64_t Lost);

  std::string Host;
  std::string Place;
  Mutex Lock;
  std::vector<std::string> Lines;
  int64_t Lost = 0;
  bool Ending = false;
  std::thread Writer;
};

} // namespace berylramp

#endif // BERYLRAMP_OBSERVE_LOG_QUEUE_H
