//===- log_service.h - Stand-in of the platform's log -----------*- C++ -*-===//
//
// Append-only streams with offsets, limited retention, and knobs for what
// fails: outages, slowness, and answers lost after the append took effect.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_STANDIN_LOG_SERVICE_H
#define BERYLRAMP_SRC_TOOLS_STANDIN_LOG_SERVICE_H

#include "absl/time/time.h"
#include "berylramp/http.h"
#include "berylramp/sync.h"
#include <deque>
#include <json/value.h>
#include <map>
#include <string>

namespace berylramp::standin {

struct LogKnobs {
  bool Down = false;
  absl::Duration AppendDelay = absl::ZeroDuration();
  absl::Duration ReadDelay = absl::ZeroDuration();
  /// The next appends whose answers are lost though they took effect.
  int LoseAnswers = 0;
  absl::Duration Retention = absl::Hours(24);
};

class LogService {
public:
  void addRoutes(HttpServer &Server);
  void setKnobs(const Json::Value &Knobs);
  void close();
  int64_t appends() const;

private:
  struct Record {
    int64_t At;
    absl::Time AppendedAt;
    std::string Data;
  };
  struct Stream {
    int64_t Tail = 0;
    std::deque<Record> Kept;
    int64_t firstKept() const {
      return this->Kept.empty() ? this->Tail : this->Kept.front().At;
    }
  };

  void append(const std::string &Name, const HttpRequest &In, HttpReply &Out);
  void read(const std::string &Name, const HttpRequest &In, HttpReply &Out);
  void expire(Stream &Which) const;
  LogKnobs knobs() const;

  mutable Mutex Lock;
  LogKnobs Knobs;
  std::map<std::string, Stream> Streams;
  int64_t Appends = 0;
  bool Closed = false;
};

} // namespace berylramp::standin

#endif // BERYLRAMP_SRC_TOOLS_STANDIN_LOG_SERVICE_H
