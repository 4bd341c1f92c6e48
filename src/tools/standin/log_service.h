//===- log_service.h - Stand-in of the platform's log -----------*- C++ -*-===//
//
// Append-only streams with offsets and limited retention. Knobs inject outages,
// delays, and lost answers of appends that took effect.
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
  /// Number of next appends whose answers are lost although they take effect.
  int AnswersToDrop = 0;
  absl::Duration Retention = absl::Hours(24);
};

class LogService {
public:
  void addRoutes(HttpServer &Server);
  void setKnobs(const Json::Value &Changes);
  void close();
  int64_t appends() const;

private:
  struct Record {
    int64_t RecordOffset;
    absl::Time AppendedAt;
    std::string Data;
  };
  struct Stream {
    int64_t Tail = 0;
    std::deque<Record> Retained;
    int64_t firstRetained() const {
      return this->Retained.empty() ? this->Tail
                                    : this->Retained.front().RecordOffset;
    }
  };

  void handleAppend(const std::string &Name, const HttpRequest &Request,
                    HttpReply &Reply);
  void handleRead(const std::string &Name, const HttpRequest &Request,
                  HttpReply &Reply);
  void expire(Stream &Target) const;
  LogKnobs knobs() const;

  mutable Mutex Lock;
  LogKnobs Knobs;
  std::map<std::string, Stream> Streams;
  int64_t Appends = 0;
  bool Closed = false;
};

} // namespace berylramp::standin

#endif // BERYLRAMP_SRC_TOOLS_STANDIN_LOG_SERVICE_H
