//===- story.h - What the logs tell of one request --------------*- C++ -*-===//

#ifndef BERYLRAMP_SRC_TOOLS_INSPECT_STORY_H
#define BERYLRAMP_SRC_TOOLS_INSPECT_STORY_H

#include <istream>
#include <json/value.h>
#include <string>
#include <vector>

namespace berylramp::inspect {

/// The JSON lines of several hosts.
struct LogLines {
  std::vector<Json::Value> Lines;
  /// Lines that are no JSON object with a time.
  int Skipped = 0;
};

/// Adds the lines of \p From.
void readLog(std::istream &From, LogLines &Into);

/// The story of request \p Id in order of time, one text a line: what its host
/// knew when it came and since when, then each decision with what the host knew
/// of the replica. Empty when no line names the request. Clocks of different
/// hosts are not compared: each line counts by the clock of its own host.
std::vector<std::string> storyOf(const std::string &Id, const LogLines &From);

} // namespace berylramp::inspect

#endif // BERYLRAMP_SRC_TOOLS_INSPECT_STORY_H
