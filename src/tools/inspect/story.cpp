//===- story.cpp - What the logs tell of one request ----------------------===//

#include "story.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/time.h"
#include "berylramp/json.h"
#include <algorithm>
#include <map>

namespace berylramp::inspect {

namespace {

/// A pause or the loss of the store this long before a request may still
/// explain it.
constexpr int64_t RecentMs = 10000;

using Sorted = std::vector<const Json::Value *>;

int64_t timeOf(const Json::Value &Line) { return intAt(Line, "time_ms"); }

std::string clock(int64_t Ms) {
  return absl::FormatTime("%H:%M:%E3S", absl::FromUnixMillis(Ms),
                          absl::UTCTimeZone());
}

std::string span(int64_t Then, int64_t Now) {
  return absl::StrFormat("%.1f s", static_cast<double>(Now - Then) / 1000);
}

std::string earlier(int64_t Then, int64_t Now) {
  return span(Then, Now) + " earlier";
}

/// The members of a line that say something about the decision.
std::string membersOf(const Json::Value &Line) {
  static const std::vector<std::string> Told = {"time_ms", "host",    "place",
                                                "level",   "request", "event"};
  std::string Out;
  for (const std::string &Name : Line.getMemberNames()) {
    if (std::find(Told.begin(), Told.end(), Name) != Told.end())
      continue;
    const Json::Value &Value = Line[Name];
    absl::StrAppend(&Out, Out.empty() ? "" : ", ", Name, " ",
                    Value.isString() ? Value.asString() : writeJson(Value));
  }
  return Out;
}

/// The lines of one host, in order of time.
class HostLog {
public:
  /// What an earlier process of the host knew does not count at \p Now.
  HostLog(const Sorted &All, int64_t Now) {
    for (const Json::Value *Each : All) {
      if (timeOf(*Each) > Now)
        break;
      if (textAt(*Each, "event") == "started")
        this->Lines.clear();
      this->Lines.push_back(Each);
    }
  }

  /// The last line with \p Event whose member \p Name is \p Value (any when
  /// \p Name is empty), or nullptr.
  const Json::Value *last(const std::string &Event,
                          const std::string &Name = "",
                          const std::string &Value = "") const {
    const Json::Value *Found = nullptr;
    for (const Json::Value *Each : this->Lines) {
      bool Fits = Name.empty() || textAt(*Each, Name.c_str()) == Value;
      if (Fits && textAt(*Each, "event") == Event)
        Found = Each;
    }
    return Found;
  }

  /// What the host believed at \p Now.
  std::vector<std::string> known(int64_t Now) const {
    std::vector<std::string> Out;
    if (const Json::Value *Start = this->last("started"))
      Out.push_back(
          absl::StrCat("the host started ", earlier(timeOf(*Start), Now)));
    const Json::Value *Table = this->last("table_in_force");
    Out.push_back(Table == nullptr
                      ? "no table is seen to come into force in these logs"
                      : absl::StrCat("table ", intAt(*Table, "version"),
                                     " came into force ",
                                     earlier(timeOf(*Table), Now)));
    if (const Json::Value *Source = this->last("record_source"))
      Out.push_back(absl::StrCat("records had come from ",
                                 textAt(*Source, "from") == "peer"
                                     ? "host " + textAt(*Source, "reader")
                                     : "the store",
                                 " for ", span(timeOf(*Source), Now)));
    this->lostStore(Now, Out);
    const Json::Value *Pause = this->last("host_paused");
    if (Pause != nullptr && Now - timeOf(*Pause) < RecentMs)
      Out.push_back(absl::StrCat("the host had stood still for ",
                                 intAt(*Pause, "paused_ms"), " ms, ",
                                 earlier(timeOf(*Pause), Now)));
    if (const Json::Value *Stop = this->last("stopping"))
      Out.push_back(absl::StrCat("the host had begun to stop ",
                                 earlier(timeOf(*Stop), Now)));
    return Out;
  }

  /// What the host knew of a replica at \p Now.
  std::string replica(const std::string &Id, int64_t Now) const {
    const Json::Value *Entry = this->last("replica_entry", "replica", Id);
    const Json::Value *Gone = this->last("replica_removed", "replica", Id);
    if (Gone != nullptr && (Entry == nullptr || timeOf(*Entry) < timeOf(*Gone)))
      return absl::StrCat(Id, ": its record was gone ",
                          earlier(timeOf(*Gone), Now));
    if (Entry == nullptr)
      return absl::StrCat(Id, ": no record is seen in these logs");
    return absl::StrCat(Id, ": ",
                        boolAt(*Entry, "draining") ? "draining" : "ready",
                        ", version ", textAt(*Entry, "version"), ", at ",
                        textAt(*Entry, "address"), ", by a record ",
                        earlier(timeOf(*Entry), Now));
  }

private:
  void lostStore(int64_t Now, std::vector<std::string> &Out) const {
    for (const char *Topic : {"operators", "replicas", "rollout_states"}) {
      const Json::Value *Lost = this->last("store_lost", "topic", Topic);
      if (Lost == nullptr)
        continue;
      const Json::Value *Back = this->last("store_regained", "topic", Topic);
      bool Away = Back == nullptr || timeOf(*Back) < timeOf(*Lost);
      if (Away)
        Out.push_back(absl::StrCat("reads of ", Topic, " had failed for ",
                                   span(timeOf(*Lost), Now), " (",
                                   textAt(*Lost, "error"), ")"));
      else if (Now - timeOf(*Back) < RecentMs)
        Out.push_back(absl::StrCat("reads of ", Topic, " had worked again for ",
                                   span(timeOf(*Back), Now)));
    }
  }

  Sorted Lines;
};

} // namespace

void readLog(std::istream &From, LogLines &Into) {
  std::string Text;
  while (std::getline(From, Text)) {
    if (Text.empty())
      continue;
    absl::StatusOr<Json::Value> Line = parseJson(Text);
    if (Line.ok() && Line->isObject() && timeOf(*Line) > 0)
      Into.Lines.push_back(*std::move(Line));
    else
      Into.Skipped += 1;
  }
}

std::vector<std::string> storyOf(const std::string &Id, const LogLines &From) {
  std::map<std::string, Sorted> ByHost;
  Sorted Own;
  for (const Json::Value &Each : From.Lines) {
    ByHost[textAt(Each, "host")].push_back(&Each);
    if (textAt(Each, "request") == Id)
      Own.push_back(&Each);
  }
  auto Earlier = [](const Json::Value *A, const Json::Value *B) {
    return timeOf(*A) < timeOf(*B);
  };
  for (auto &[Host, Lines] : ByHost)
    std::stable_sort(Lines.begin(), Lines.end(), Earlier);
  std::stable_sort(Own.begin(), Own.end(), Earlier);
  std::vector<std::string> Out;
  std::string Told;
  for (const Json::Value *Each : Own) {
    std::string Host = textAt(*Each, "host");
    int64_t Now = timeOf(*Each);
    HostLog Log(ByHost[Host], Now);
    if (Host != Told) {
      Out.push_back(
          absl::StrCat("at ", Host, ", ", textAt(*Each, "place"), ":"));
      for (const std::string &Fact : Log.known(Now))
        Out.push_back("  " + Fact);
      Told = Host;
    }
    Out.push_back(absl::StrCat("  ", clock(Now), " ", textAt(*Each, "event"),
                               ": ", membersOf(*Each)));
    std::string Replica = textAt(*Each, "replica");
    if (!Replica.empty())
      Out.push_back("    " + Log.replica(Replica, Now));
  }
  return Out;
}

} // namespace berylramp::inspect
