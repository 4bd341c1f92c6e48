//===- log_queue.cpp - Lines for a thread that writes them ----------------===//
//
// Lines are formatted where they arise, so that log4cplus need not be loaded
// with its threads on a host that pays for memory. The writer lets lines
// gather for a while: waking it costs more than writing a line.
//
//===----------------------------------------------------------------------===//

#include "log_queue.h"

#include "absl/time/clock.h"
#include "berylramp/json.h"
#include <cerrno>
#include <unistd.h>

namespace berylramp {

namespace {

/// About half a megabyte at a few hundred bytes a line.
constexpr size_t MostLines = 2048;
constexpr absl::Duration GatherFor = absl::Milliseconds(250);

LogQueue *Running = nullptr;

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
    // Nobody reads the log any more; there is no other place to say so.
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
    MutexLock Hold(&this->Lock);
    this->Ending = true;
  }
  this->Writer.join();
}

LogQueue *LogQueue::running() { return Running; }

void LogQueue::start(const HostId &Host, const PlaceId &Place) {
  if (Running == nullptr)
    Running = new LogQueue(Host, Place);
}

void LogQueue::stop() {
  LogQueue *Which = Running;
  Running = nullptr;
  delete Which;
}

void LogQueue::add(LogLevel Level, const char *Event, Json::Value Fields) {
  Fields["event"] = Event;
  Fields["level"] = levelName(Level);
  Fields["host"] = this->Host;
  Fields["place"] = this->Place;
  Fields["time_ms"] = Json::Int64(absl::ToUnixMillis(absl::Now()));
  std::string Line = writeJson(Fields);
  MutexLock Hold(&this->Lock);
  if (this->Lines.size() >= MostLines)
    this->Lost += 1;
  else
    this->Lines.push_back(std::move(Line));
}

void LogQueue::run() {
  while (true) {
    std::vector<std::string> Taken;
    int64_t TakenLost = 0;
    bool Last = false;
    {
      MutexLock Hold(&this->Lock);
      this->Lock.await([this] { return this->Ending || !this->Lines.empty(); });
      this->Lock.awaitWithTimeout([this] { return this->Ending; }, GatherFor);
      Taken.swap(this->Lines);
      std::swap(TakenLost, this->Lost);
      Last = this->Ending;
    }
    this->write(Taken, TakenLost);
    if (Last)
      return;
  }
}

void LogQueue::write(const std::vector<std::string> &Taken, int64_t TakenLost) {
  std::string Text;
  for (const std::string &Line : Taken)
    Text += Line + "\n";
  if (TakenLost > 0)
    Text += "{\"event\":\"log_lines_dropped\",\"count\":" +
            std::to_string(TakenLost) + ",\"host\":\"" + this->Host + "\"}\n";
  writeAll(Text);
}

void startQueuedLogging(const HostId &Host, const PlaceId &Place) {
  LogQueue::start(Host, Place);
}

void stopQueuedLogging() { LogQueue::stop(); }

} // namespace berylramp
