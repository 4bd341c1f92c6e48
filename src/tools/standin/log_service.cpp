//===- log_service.cpp - Stand-in of the platform's log -------------------===//
//
// Reads wait for a first record as long as the reader asks.
//
//===----------------------------------------------------------------------===//

#include "log_service.h"

#include "berylramp/json.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/time/clock.h"

namespace berylramp::standin {

namespace {

constexpr int StatusUnavailable = 503;
constexpr int StatusBadRequest = 400;
constexpr size_t MaxRecordsInPage = 500;
constexpr const char *Prefix = "/log/";

int64_t wholeParam(const HttpRequest &In, const char *Name) {
  int64_t Out = 0;
  return absl::SimpleAtoi(In.param(Name), &Out) ? Out : 0;
}

/// The stream's name in a path of the form /log/NAME/VERB.
std::string streamOf(const std::string &Path, const std::string &Verb) {
  if (!absl::EndsWith(Path, Verb))
    return "";
  size_t Start = std::string(Prefix).size();
  return Path.substr(Start, Path.size() - Start - Verb.size());
}

} // namespace

void LogService::addRoutes(HttpServer &Server) {
  Server.route("POST", Prefix, [this](const HttpRequest &In, HttpReply &Out) {
    this->append(streamOf(In.Path, "/append"), In, Out);
  });
  Server.route("GET", Prefix, [this](const HttpRequest &In, HttpReply &Out) {
    this->read(streamOf(In.Path, "/read"), In, Out);
  });
}

void LogService::setKnobs(const Json::Value &In) {
  MutexLock Hold(&this->Lock);
  LogKnobs &Out = this->Knobs;
  Out.Down = boolAt(In, "down", Out.Down);
  Out.LoseAnswers =
      static_cast<int>(intAt(In, "lose_answers", Out.LoseAnswers));
  auto Millis = [&In](const char *Key, absl::Duration Now) {
    return absl::Milliseconds(intAt(In, Key, absl::ToInt64Milliseconds(Now)));
  };
  Out.AppendDelay = Millis("append_ms", Out.AppendDelay);
  Out.ReadDelay = Millis("read_ms", Out.ReadDelay);
  Out.Retention = Millis("retention_ms", Out.Retention);
}

LogKnobs LogService::knobs() const {
  MutexLock Hold(&this->Lock);
  return this->Knobs;
}

void LogService::close() {
  MutexLock Hold(&this->Lock);
  this->Closed = true;
}

int64_t LogService::appends() const {
  MutexLock Hold(&this->Lock);
  return this->Appends;
}

void LogService::expire(Stream &Which) const {
  absl::Time Oldest = absl::Now() - this->Knobs.Retention;
  while (!Which.Kept.empty() && Which.Kept.front().AppendedAt < Oldest)
    Which.Kept.pop_front();
}

void LogService::append(const std::string &Name, const HttpRequest &In,
                        HttpReply &Out) {
  LogKnobs Now = this->knobs();
  absl::StatusOr<Json::Value> Body = parseJson(In.Body);
  if (Name.empty() || !Body.ok() || !memberAt(*Body, "data").isString()) {
    Out.Status = StatusBadRequest;
    return;
  }
  absl::SleepFor(Now.AppendDelay);
  if (Now.Down) {
    Out.Status = StatusUnavailable;
    return;
  }
  MutexLock Hold(&this->Lock);
  Stream &Which = this->Streams[Name];
  ++this->Appends;
  int64_t At = Which.Tail++;
  Which.Kept.push_back(Record{At, absl::Now(), textAt(*Body, "data")});
  if (this->Knobs.LoseAnswers > 0) {
    --this->Knobs.LoseAnswers;
    Out.Status = StatusUnavailable;
    return;
  }
  Json::Value Answer;
  Answer["offset"] = Json::Int64(At);
  Out.Body = writeJson(Answer);
}

void LogService::read(const std::string &Name, const HttpRequest &In,
                      HttpReply &Out) {
  LogKnobs Now = this->knobs();
  absl::SleepFor(Now.ReadDelay);
  if (Now.Down) {
    Out.Status = StatusUnavailable;
    return;
  }
  int64_t From = wholeParam(In, "from");
  absl::Duration Wait = absl::Milliseconds(wholeParam(In, "wait_ms"));
  MutexLock Hold(&this->Lock);
  Stream &Which = this->Streams[Name];
  auto Ready = [&] {
    return this->Closed || this->Knobs.Down || Which.Tail > From;
  };
  this->Lock.awaitWithTimeout(Ready, Wait);
  if (this->Knobs.Down) {
    Out.Status = StatusUnavailable;
    return;
  }
  this->expire(Which);
  Json::Value Answer;
  Answer["first_kept"] = Json::Int64(Which.firstKept());
  Answer["tail"] = Json::Int64(Which.Tail);
  Answer["records"] = Json::Value(Json::arrayValue);
  size_t Skip =
      static_cast<size_t>(std::max<int64_t>(0, From - Which.firstKept()));
  for (size_t I = Skip; I < Which.Kept.size(); ++I) {
    const Record &Each = Which.Kept[I];
    Json::Value Item;
    Item["offset"] = Json::Int64(Each.At);
    Item["at_ms"] = Json::Int64(absl::ToUnixMillis(Each.AppendedAt));
    Item["data"] = Each.Data;
    Answer["records"].append(Item);
    if (Answer["records"].size() == MaxRecordsInPage)
      break;
  }
  Out.Body = writeJson(Answer);
}

} // namespace berylramp::standin
