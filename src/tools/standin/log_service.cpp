//===- log_service.cpp - Stand-in of the platform's log -------------------===//
//
// A read waits up to its wait_ms parameter for the first record.
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

int64_t integerParam(const HttpRequest &Request, const char *Name) {
  int64_t Value = 0;
  return absl::SimpleAtoi(Request.param(Name), &Value) ? Value : 0;
}

/// Returns the stream name in a path of the form /log/NAME/VERB, or an empty
/// string when the path does not end with \p Verb.
std::string streamName(const std::string &Path, const std::string &Verb) {
  if (!absl::EndsWith(Path, Verb))
    return "";
  size_t Start = std::string(Prefix).size();
  return Path.substr(Start, Path.size() - Start - Verb.size());
}

} // namespace

void LogService::addRoutes(HttpServer &Server) {
  Server.route(
      "POST", Prefix, [this](const HttpRequest &Request, HttpReply &Reply) {
        this->handleAppend(streamName(Request.Path, "/append"), Request, Reply);
      });
  Server.route(
      "GET", Prefix, [this](const HttpRequest &Request, HttpReply &Reply) {
        this->handleRead(streamName(Request.Path, "/read"), Request, Reply);
      });
}

void LogService::setKnobs(const Json::Value &Changes) {
  MutexLock Guard(&this->Lock);
  LogKnobs &Updated = this->Knobs;
  Updated.Down = boolAt(Changes, "down", Updated.Down);
  Updated.AnswersToDrop =
      static_cast<int>(intAt(Changes, "lose_answers", Updated.AnswersToDrop));
  auto MillisAt = [&Changes](const char *Key, absl::Duration Current) {
    return absl::Milliseconds(
        intAt(Changes, Key, absl::ToInt64Milliseconds(Current)));
  };
  Updated.AppendDelay = MillisAt("append_ms", Updated.AppendDelay);
  Updated.ReadDelay = MillisAt("read_ms", Updated.ReadDelay);
  Updated.Retention = MillisAt("retention_ms", Updated.Retention);
}

LogKnobs LogService::knobs() const {
  MutexLock Guard(&this->Lock);
  return this->Knobs;
}

void LogService::close() {
  MutexLock Guard(&this->Lock);
  this->Closed = true;
}

int64_t LogService::appends() const {
  MutexLock Guard(&this->Lock);
  return this->Appends;
}

void LogService::expire(Stream &Target) const {
  absl::Time Oldest = absl::Now() - this->Knobs.Retention;
  while (!Target.Retained.empty() &&
         Target.Retained.front().AppendedAt < Oldest)
    Target.Retained.pop_front();
}

void LogService::handleAppend(const std::string &Name,
                              const HttpRequest &Request, HttpReply &Reply) {
  LogKnobs ActiveKnobs = this->knobs();
  absl::StatusOr<Json::Value> Body = parseJson(Request.Body);
  if (Name.empty() || !Body.ok() || !memberAt(*Body, "data").isString()) {
    Reply.Status = StatusBadRequest;
    return;
  }
  absl::SleepFor(ActiveKnobs.AppendDelay);
  if (ActiveKnobs.Down) {
    Reply.Status = StatusUnavailable;
    return;
  }
  MutexLock Guard(&this->Lock);
  Stream &Target = this->Streams[Name];
  ++this->Appends;
  int64_t AppendedOffset = Target.Tail++;
  Target.Retained.push_back(
      Record{AppendedOffset, absl::Now(), textAt(*Body, "data")});
  if (this->Knobs.AnswersToDrop > 0) {
    --this->Knobs.AnswersToDrop;
    Reply.Status = StatusUnavailable;
    return;
  }
  Json::Value Answer;
  Answer["offset"] = Json::Int64(AppendedOffset);
  Reply.Body = writeJson(Answer);
}

void LogService::handleRead(const std::string &Name, const HttpRequest &Request,
                            HttpReply &Reply) {
  LogKnobs ActiveKnobs = this->knobs();
  absl::SleepFor(ActiveKnobs.ReadDelay);
  if (ActiveKnobs.Down) {
    Reply.Status = StatusUnavailable;
    return;
  }
  int64_t From = integerParam(Request, "from");
  absl::Duration Wait = absl::Milliseconds(integerParam(Request, "wait_ms"));
  MutexLock Guard(&this->Lock);
  Stream &Target = this->Streams[Name];
  auto Ready = [&] {
    return this->Closed || this->Knobs.Down || Target.Tail > From;
  };
  this->Lock.awaitWithTimeout(Ready, Wait);
  if (this->Knobs.Down) {
    Reply.Status = StatusUnavailable;
    return;
  }
  this->expire(Target);
  Json::Value Answer;
  Answer["first_kept"] = Json::Int64(Target.firstRetained());
  Answer["tail"] = Json::Int64(Target.Tail);
  Answer["records"] = Json::Value(Json::arrayValue);
  size_t Skip =
      static_cast<size_t>(std::max<int64_t>(0, From - Target.firstRetained()));
  for (size_t I = Skip; I < Target.Retained.size(); ++I) {
    const Record &Entry = Target.Retained[I];
    Json::Value Item;
    Item["offset"] = Json::Int64(Entry.RecordOffset);
    Item["at_ms"] = Json::Int64(absl::ToUnixMillis(Entry.AppendedAt));
    Item["data"] = Entry.Data;
    Answer["records"].append(Item);
    if (Answer["records"].size() == MaxRecordsInPage)
      break;
  }
  Reply.Body = writeJson(Answer);
}

} // namespace berylramp::standin
