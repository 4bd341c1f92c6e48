//===- timeline_test.cpp - Timeline of one request from log lines ---------===//

#include "timeline.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include <catch2/catch.hpp>
#include <sstream>

using namespace berylramp::inspect;

namespace {

std::string timelineText(const std::string &Id, const std::string &Text) {
  std::istringstream Input(Text);
  LogLines Lines;
  readLog(Input, Lines);
  return absl::StrJoin(buildTimeline(Id, Lines), "\n");
}

constexpr const char *Logs = R"({"event":"started","host":"h-1","time_ms":1000}
{"event":"table_in_force","host":"h-1","version":7,"time_ms":2000}
{"event":"record_source","host":"h-1","from":"peer","reader":"10.0.0.1","time_ms":2500}
{"event":"replica_entry","host":"h-1","replica":"i-2","draining":true,"version":"v1","address":"10.0.0.9:80","time_ms":4000}
{"event":"store_lost","host":"h-1","topic":"replicas","error":"the store answered 429","time_ms":4500}
{"event":"request_done","host":"h-1","place":"a1","request":"q","result":"broken","replica":"i-2","time_ms":6000}
{"event":"attempt_failed","host":"h-1","place":"a1","request":"q","reason":"cut_mid_stream","replica":"i-2","time_ms":5000}
{"event":"table_in_force","host":"h-2","version":9,"time_ms":3000}
{"event":"table_in_force","host":"h-1","version":8,"time_ms":7000}
{"event":"request_done","host":"h-1","request":"other","time_ms":5500}
no json
)";

} // namespace

TEST_CASE("A request's log lines are listed in order of time") {
  std::string Text = timelineText("q", Logs);
  size_t Failed = Text.find("attempt_failed: reason cut_mid_stream");
  size_t Done = Text.find("request_done: ");
  REQUIRE(Failed != std::string::npos);
  REQUIRE(Done != std::string::npos);
  CHECK(Failed < Done);
  CHECK_FALSE(absl::StrContains(Text, "other"));
}

TEST_CASE("The timeline states the age of a host's information") {
  std::string Text = timelineText("q", Logs);
  CHECK(absl::StrContains(Text, "table 7 came into force 3.0 s earlier"));
  CHECK(absl::StrContains(Text,
                          "records were read from host 10.0.0.1 for 2.5 s"));
  CHECK(absl::StrContains(Text, "reads of replicas had failed for 0.5 s "
                                "(the store answered 429)"));
  CHECK(absl::StrContains(Text, "i-2: draining, version v1, at 10.0.0.9:80, by "
                                "a record 1.0 s earlier"));
}

TEST_CASE("Records of an earlier process of the host are ignored") {
  std::string Text = timelineText(
      "r",
      absl::StrCat(
          Logs, R"({"event":"started","host":"h-1","time_ms":8000})", "\n",
          R"({"event":"request_done","host":"h-1","request":"r","replica":"i-2","time_ms":9000})"));
  CHECK(absl::StrContains(Text, "no table came into force"));
  CHECK(absl::StrContains(Text, "i-2: no record in these logs"));
}

TEST_CASE("A request that no line names has an empty timeline") {
  CHECK(timelineText("absent", Logs).empty());
}

TEST_CASE("Lines that are not JSON are counted as skipped") {
  std::istringstream Input(Logs);
  LogLines Lines;
  readLog(Input, Lines);
  CHECK(Lines.Skipped == 1);
}
