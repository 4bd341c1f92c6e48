//===- timeline.cpp - Timeline of a request from the logs -----------------===//

#include "timeline.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/time.h"
#include "berylramp/json.h"
#include <algorithm>
#include <map>

namespace berylramp::inspect {

namespace {

/// Pauses and store outages that ended less than this long before a request are
/// part of its timeline, because they may still explain its outcome.
constexpr int64_t RecentMs = 10000;

using SortedLines = std::vector<const Json::Value *>;

int64_t timeMs(const Json::Value &Line) { return intAt(Line, "time_ms"); }

std::string formatClock(int64_t Ms) {
  return absl::FormatTime("%H:%M:%E3S", absl::FromUnixMillis(Ms),
                          absl::UTCTimeZone());
}

std::string formatSpan(int64_t Then, int64_t Now) {
  return absl::StrFormat("%.1f s", static_cast<double>(Now - Then) / 1000);
}

std::string formatAge(int64_t Then, int64_t Now) {
  return formatSpan(Then, Now) + " earlier";
}

/// Formats the fields of a record other than its time, host, place, level,
/// request and event.
std::string formatFields(const Json::Value &Line) {
  static const std::vector<std::string> OmittedFields = {
      "time_ms", "host", "place", "level", "request", "event"};
  std::string Result;
  for (const std::string &Name : Line.getMemberNames()) {
    if (std::find(OmittedFields.begin(), OmittedFields.end(), Name) !=
        OmittedFields.end())
      continue;
    const Json::Value &Value = Line[Name];
    absl::StrAppend(&Result, Result.empty() ? "" : ", ", Name, " ",
                    Value.isString() ? Value.asString() : writeJson(Value));
  }
  return Result;
}

/// The log records of one host, in order of time.
class HostLog {
public:
  /// Keeps the records up to \p Now. Drops those before the last start of the
  /// host, because a new process does not have the state of an earlier one.
  HostLog(const SortedLines &All, int64_t Now) {
    for (const Json::Value *Record : All) {
      if (timeMs(*Record) > Now)
        break;
      if (textAt(*Record, "event") == "started")
        this->Lines.clear();
      this->Lines.push_back(Record);
    }
  }

  /// Returns the last record of \p Event whose field \p Name is \p Value, or
  /// nullptr. An empty \p Name matches every record.
  const Json::Value *last(const std::string &Event,
                          const std::string &Name = "",
                          const std::string &Value = "") const {
    const Json::Value *Found = nullptr;
    for (const Json::Value *Record : this->Lines) {
      bool Matches = Name.empty() || textAt(*Record, Name.c_str()) == Value;
      if (Matches && textAt(*Record, "event") == Event)
        Found = Record;
    }
    return Found;
  }

  /// Describes the state of the host at \p Now.
  std::vector<std::string> describeHost(int64_t Now) const {
    std::vector<std::string> Facts;
    if (const Json::Value *Start = this->last("started"))
      Facts.push_back(
          absl::StrCat("the host started ", formatAge(timeMs(*Start), Now)));
    const Json::Value *Table = this->last("table_in_force");
    Facts.push_back(Table == nullptr
                        ? "no table came into force in these logs"
                        : absl::StrCat("table ", intAt(*Table, "version"),
                                       " came into force ",
                                       formatAge(timeMs(*Table), Now)));
    if (const Json::Value *Source = this->last("record_source"))
      Facts.push_back(absl::StrCat("records were read from ",
                                   textAt(*Source, "from") == "peer"
                                       ? "host " + textAt(*Source, "reader")
                                       : "the store",
                                   " for ", formatSpan(timeMs(*Source), Now)));
    this->appendStoreOutages(Now, Facts);
    const Json::Value *Pause = this->last("host_paused");
    if (Pause != nullptr && Now - timeMs(*Pause) < RecentMs)
      Facts.push_back(absl::StrCat("the host had been paused for ",
                                   intAt(*Pause, "paused_ms"), " ms, ",
                                   formatAge(timeMs(*Pause), Now)));
    if (const Json::Value *Stop = this->last("stopping"))
      Facts.push_back(absl::StrCat("the host had started a planned stop ",
                                   formatAge(timeMs(*Stop), Now)));
    return Facts;
  }

  /// Describes the record that the host had of a replica at \p Now.
  std::string describeReplica(const std::string &Id, int64_t Now) const {
    const Json::Value *Entry = this->last("replica_entry", "replica", Id);
    const Json::Value *Removed = this->last("replica_removed", "replica", Id);
    if (Removed != nullptr &&
        (Entry == nullptr || timeMs(*Entry) < timeMs(*Removed)))
      return absl::StrCat(Id, ": its record had been removed ",
                          formatAge(timeMs(*Removed), Now));
    if (Entry == nullptr)
      return absl::StrCat(Id, ": no record in these logs");
    return absl::StrCat(Id, ": ",
                        boolAt(*Entry, "draining") ? "draining" : "ready",
                        ", version ", textAt(*Entry, "version"), ", at ",
                        textAt(*Entry, "address"), ", by a record ",
                        formatAge(timeMs(*Entry), Now));
  }

private:
  void appendStoreOutages(int64_t Now, std::vector<std::string> &Facts) const {
    for (const char *Topic : {"operators", "replicas", "rollout_states"}) {
      const Json::Value *Lost = this->last("store_lost", "topic", Topic);
      if (Lost == nullptr)
        continue;
      const Json::Value *Recovered =
          this->last("store_regained", "topic", Topic);
      bool IsLost = Recovered == nullptr || timeMs(*Recovered) < timeMs(*Lost);
      if (IsLost)
        Facts.push_back(absl::StrCat("reads of ", Topic, " had failed for ",
                                     formatSpan(timeMs(*Lost), Now), " (",
                                     textAt(*Lost, "error"), ")"));
      else if (Now - timeMs(*Recovered) < RecentMs)
        Facts.push_back(absl::StrCat("reads of ", Topic,
                                     " had succeeded again for ",
                                     formatSpan(timeMs(*Recovered), Now)));
    }
  }

  SortedLines Lines;
};

} // namespace

void readLog(std::istream &Input, LogLines &Result) {
  std::string Text;
  while (std::getline(Input, Text)) {
    if (Text.empty())
      continue;
    absl::StatusOr<Json::Value> Line = parseJson(Text);
    if (Line.ok() && Line->isObject() && timeMs(*Line) > 0)
      Result.Lines.push_back(*std::move(Line));
    else
      Result.Skipped += 1;
  }
}

std::vector<std::string> buildTimeline(const std::string &Id,
                                       const LogLines &Logs) {
  std::map<std::string, SortedLines> ByHost;
  SortedLines RequestLines;
  for (const Json::Value &Record : Logs.Lines) {
    ByHost[textAt(Record, "host")].push_back(&Record);
    if (textAt(Record, "request") == Id)
      RequestLines.push_back(&Record);
  }
  auto IsEarlier = [](const Json::Value *A, const Json::Value *B) {
    return timeMs(*A) < timeMs(*B);
  };
  for (auto &[Host, Lines] : ByHost)
    std::stable_sort(Lines.begin(), Lines.end(), IsEarlier);
  std::stable_sort(RequestLines.begin(), RequestLines.end(), IsEarlier);
  std::vector<std::string> Timeline;
  std::string LastHost;
  for (const Json::Value *Record : RequestLines) {
    std::string Host = textAt(*Record, "host");
    int64_t Now = timeMs(*Record);
    HostLog Log(ByHost[Host], Now);
    if (Host != LastHost) {
      Timeline.push_back(
          absl::StrCat("at ", Host, ", ", textAt(*Record, "place"), ":"));
      for (const std::string &Fact : Log.describeHost(Now))
        Timeline.push_back("  " + Fact);
      LastHost = Host;
    }
    Timeline.push_back(absl::StrCat("  ", formatClock(Now), " ",
                                    textAt(*Record, "event"), ": ",
                                    formatFields(*Record)));
    std::string Replica = textAt(*Record, "replica");
    if (!Replica.empty())
      Timeline.push_back("    " + Log.describeReplica(Replica, Now));
  }
  return Timeline;
}

} // namespace berylramp::inspect
