//===- timeline.h - Timeline of a request from the logs ---------*- C++ -*-===//

#ifndef BERYLRAMP_SRC_TOOLS_INSPECT_TIMELINE_H
#define BERYLRAMP_SRC_TOOLS_INSPECT_TIMELINE_H

#include <istream>
#include <json/value.h>
#include <string>
#include <vector>

namespace berylramp::inspect {

/// Log records of several hosts.
struct LogLines {
  std::vector<Json::Value> Lines;
  /// Number of lines that are not a JSON object with a time.
  int Skipped = 0;
};

/// Adds the records of the log \p Input to \p Result.
void readLog(std::istream &Input, LogLines &Result);

/// Returns the timeline of request \p Id in order of time, one line per string:
/// the state of its host at that time and the age of that state, then each
/// decision with the host's record of the replica. Empty when no record names
/// the request. Ages are computed from records of the same host, so the clocks
/// of different hosts are not compared.
std::vector<std::string> buildTimeline(const std::string &Id,
                                       const LogLines &Logs);

} // namespace berylramp::inspect

#endif // BERYLRAMP_SRC_TOOLS_INSPECT_TIMELINE_H
