//===- log_queue.cpp - Asynchronous log writer ----------------------------===//
//
// The calling thread formats each line without log4cplus, whose threads cost
// memory on hosts where it is scarce. The writer collects lines for BatchDelay
// before it writes them, because waking the thread costs more than writing a
// line.
//
//===----------------------------------------------------------------------===//

#include "log_queue.h"

#include "absl/time/clock.h"
#include "berylramp/json.h"
#include <cerrno>
#include <unistd.h>

namespace berylramp {

namespace {

/// About half a megabyte at a few hundred bytes per line.
constexpr size_t MaxQueuedLines = 2048;
constexpr absl::Duration BatchDelay = absl::Milliseconds(250);

LogQueue *Instance = nullptr;

const char *levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "DEBUG";
  case LogLevel::Info:
    return "INFO";
  case LogLevel::Warn:
    return "WARN";
  case LogLevel::Error:
    return "ERROR";
  }
  return "INFO";
}

void writeAll(const std::string &Text) {
  size_t Written = 0;
  while (Written < Text.size()) {
    ssize_t Count =
        ::write(STDOUT_FILENO, Text.data() + Written, Text.size() - Written);
    if (Count < 0 && errno == EINTR)
      continue;
    // Standard output cannot be written, e.g. because its reader has closed it,
    // and there is no other place to report that.
    if (Count <= 0)
      return;
    Written += static_cast<size_t>(Count);
  }
}

} // namespace

LogQueue::LogQueue(const HostId &Host, const PlaceId &Place)
    : Host(Host.text()), Place(Place.text()), Writer([this] { this->run(); }) {}

LogQueue::~LogQueue() {
  {
    MutexLock Guard(&this->Lock);
    this->Stopping = true;
  }
  this->Writer.join();
}

LogQueue *LogQueue::instance() { return Instance; }

void LogQueue::start(const HostId &Host, const PlaceId &Place) {
  if (Instance == nullptr)
    Instance = new LogQueue(Host, Place);
}

void LogQueue::stop() {
  LogQueue *Stopped = Instance;
  Instance = nullptr;
  delete Stopped;
}

void LogQueue::add(LogLevel Level, const char *Event, Json::Value Fields) {
  Fields["event"] = Event;
  Fields["level"] = levelName(Level);
  Fields["host"] = this->Host;
  Fields["place"] = this->Place;
  Fields["time_ms"] = Json::Int64(absl::ToUnixMillis(absl::Now()));
  std::string Line = writeJson(Fields);
  MutexLock Guard(&this->Lock);
  if (this->Lines.size() >= MaxQueuedLines)
    this->DroppedLines += 1;
  else
    this->Lines.push_back(std::move(Line));
}

void LogQueue::run() {
  while (true) {
    std::vector<std::string> Batch;
    int64_t BatchDropped = 0;
    bool IsLastBatch = false;
    {
      MutexLock Guard(&this->Lock);
      this->Lock.await(
          [this] { return this->Stopping || !this->Lines.empty(); });
      this->Lock.awaitWithTimeout([this] { return this->Stopping; },
                                  BatchDelay);
      Batch.swap(this->Lines);
      std::swap(BatchDropped, this->DroppedLines);
      IsLastBatch = this->Stopping;
    }
    this->write(Batch, BatchDropped);
    if (IsLastBatch)
      return;
  }
}

void LogQueue::write(const std::vector<std::string> &Batch,
                     int64_t BatchDropped) {
  std::string Text;
  for (const std::string &Line : Batch)
    Text += Line + "\n";
  if (BatchDropped > 0)
    Text += "{\"event\":\"log_lines_dropped\",\"count\":" +
            std::to_string(BatchDropped) + ",\"host\":\"" + this->Host +
            "\"}\n";
  writeAll(Text);
}

void startQueuedLogging(const HostId &Host, const PlaceId &Place) {
  LogQueue::start(Host, Place);
}

void stopQueuedLogging() { LogQueue::stop(); }

} // namespace berylramp
