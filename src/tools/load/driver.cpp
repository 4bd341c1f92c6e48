//===- driver.cpp - Sends a workload and records the outcomes -------------===//
//
// Latencies are measured from the time at which a request was due, not from the
// time at which a worker was free to send it. Otherwise a stalled system would
// delay the requests and its stall would not show in the latencies (coordinated
// omission).
//
//===----------------------------------------------------------------------===//

#include "driver.h"

#include "berylramp/json.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include <algorithm>
#include <thread>

namespace berylramp::load {

namespace {

constexpr int StatusOk = 200;
constexpr absl::Duration AnswerTimeout = absl::Seconds(120);
constexpr int MaxConnectAttempts = 4;
constexpr absl::Duration DefaultTtl = absl::Seconds(5);
constexpr const char *EndMarker = "[DONE]";

/// Decodes the events of a streamed answer into a sample.
class StreamReader {
public:
  StreamReader(Sample &Result, absl::Time Due) : Result(Result), Due(Due) {}

  bool onBytes(const std::string &Bytes) {
    return this->Splitter.feed(Bytes, [this](const std::string &Data) {
      this->onEvent(Data);
      return true;
    });
  }

  void finish() {
    if (!this->SawEnd && this->Result.Outcome.empty())
      this->Result.Outcome = "broken";
    if (this->GapCount > 0)
      this->Result.MeanGap = this->GapSum / this->GapCount;
  }

private:
  void onEvent(const std::string &Data) {
    if (Data == EndMarker) {
      this->SawEnd = true;
      this->Result.Outcome = "whole";
      return;
    }
    absl::StatusOr<Json::Value> Event = parseJson(Data);
    if (!Event.ok())
      return;
    const Json::Value &Error = memberAt(*Event, "error");
    if (Error.isObject()) {
      this->Result.Outcome = textAt(Error, "type");
      this->Result.ExecutionStatus = textAt(Error, "ran");
      return;
    }
    this->Result.Version = textAt(*Event, "model");
    const Json::Value &Usage = memberAt(*Event, "usage");
    if (Usage.isObject()) {
      this->Result.PromptTokens = Tokens(intAt(Usage, "prompt_tokens"));
      this->Result.AnswerTokens = Tokens(intAt(Usage, "completion_tokens"));
    }
    for (const Json::Value &Choice : arrayAt(*Event, "choices"))
      this->onText(textAt(memberAt(Choice, "delta"), "content"));
  }

  void onText(const std::string &Text) {
    if (Text.empty())
      return;
    absl::Time Now = absl::Now();
    if (this->TextEvents++ == 0) {
      this->Result.FirstToken = Now - this->Due;
      this->Result.IsGood = absl::StrContains(Text, "sound");
    } else {
      absl::Duration Gap = Now - this->LastText;
      this->Result.MaxGap = std::max(this->Result.MaxGap, Gap);
      this->GapSum += Gap;
      ++this->GapCount;
    }
    this->LastText = Now;
  }

  Sample &Result;
  absl::Time Due;
  EventDataSplitter Splitter;
  bool SawEnd = false;
  int64_t TextEvents = 0;
  int64_t GapCount = 0;
  absl::Duration GapSum = absl::ZeroDuration();
  absl::Time LastText;
};

std::string sessionKey(const Arrival &Planned) {
  return absl::StrCat(Planned.Workspace, "/", Planned.Session);
}

void readError(const HttpOutcome &Answer, Sample &Result) {
  if (Answer.Fault == HttpFault::ConnectFailed) {
    Result.Outcome = "connect_failed";
    Result.ExecutionStatus = "no";
    return;
  }
  if (Answer.Fault != HttpFault::None) {
    Result.Outcome = "broken";
    Result.ExecutionStatus = "unknown";
    return;
  }
  absl::StatusOr<Json::Value> Body = parseJson(Answer.Body);
  const Json::Value Error =
      Body.ok() ? memberAt(*Body, "error") : Json::Value();
  Result.Outcome =
      textAt(Error, "type", absl::StrCat("status_", Answer.Status));
  Result.ExecutionStatus = textAt(Error, "ran", "unknown");
}

void readCompleteAnswer(const HttpOutcome &Answer, Sample &Result) {
  absl::StatusOr<Json::Value> Body = parseJson(Answer.Body);
  if (!Body.ok()) {
    Result.Outcome = "broken";
    return;
  }
  Result.Outcome = "whole";
  Result.Version = textAt(*Body, "model");
  Result.PromptTokens =
      Tokens(intAt(memberAt(*Body, "usage"), "prompt_tokens"));
  Result.AnswerTokens =
      Tokens(intAt(memberAt(*Body, "usage"), "completion_tokens"));
  for (const Json::Value &Choice : arrayAt(*Body, "choices"))
    Result.IsGood = absl::StrContains(
        textAt(memberAt(Choice, "message"), "content"), "sound");
}

} // namespace

Driver::Driver(Workload Workload)
    : Load(std::move(Workload)), Pool(std::make_shared<HttpClientPool>()) {}

std::vector<Sample> Driver::run(const Endpoint *Engine,
                                const std::string &EngineModel) {
  this->DirectEngine = Engine;
  this->Model = EngineModel;
  this->NextArrival = 0;
  this->Samples.clear();
  std::vector<Arrival> Arrivals = makeArrivals(this->Load);
  absl::Time Start = absl::Now();
  std::vector<std::thread> Workers;
  Workers.reserve(static_cast<size_t>(this->Load.Workers));
  for (int I = 0; I < this->Load.Workers; ++I)
    Workers.emplace_back(
        [this, &Arrivals, Start] { this->runWorker(Arrivals, Start); });
  for (std::thread &Worker : Workers)
    Worker.join();
  std::sort(
      this->Samples.begin(), this->Samples.end(),
      [](const Sample &A, const Sample &B) { return A.Number < B.Number; });
  return this->Samples;
}

void Driver::runWorker(const std::vector<Arrival> &Arrivals, absl::Time Start) {
  while (true) {
    size_t Index = this->NextArrival++;
    bool IsLate = absl::Now() - Start >= this->Load.RunDuration;
    bool IsClosedLoop = this->Load.Rate <= 0;
    if (Index >= Arrivals.size() || (IsClosedLoop && IsLate))
      return;
    const Arrival &Planned = Arrivals[Index];
    absl::Time Due = IsClosedLoop ? absl::Now() : Start + Planned.DueAt;
    absl::SleepFor(Due - absl::Now());
    Sample Result = this->send(Planned, Due);
    Result.DueAt = Due - Start;
    MutexLock Guard(&this->Lock);
    this->Samples.push_back(std::move(Result));
  }
}

Sample Driver::send(const Arrival &Planned, absl::Time Due) {
  const KindShare &Kind = this->Load.Kinds[Planned.Kind];
  Sample Result;
  Result.Number = Planned.Number;
  Result.Kind = Kind.Kind;
  Result.Workspace = this->Load.Workspaces[Planned.Workspace].Workspace;
  Result.Request = RequestId(makeUuidV7(absl::ToUnixMillis(absl::Now())));
  if (Kind.Service.empty())
    this->sendChat(Planned, Kind, Due, Result);
  else
    this->sendService(Planned, Kind, Result);
  Result.TotalTime = absl::Now() - Due;
  return Result;
}

std::string Driver::chatBody(const Arrival &Planned, const KindShare &Kind,
                             const std::string &Id) const {
  Json::Value Body;
  Body["model"] = this->Model;
  Body["request_id"] = Id;
  Body["max_tokens"] = Json::Int64(Kind.MaxTokens.count());
  Body["priority"] = Kind.Priority;
  Body["stream"] = Kind.Streamed || this->DirectEngine != nullptr;
  Body["metadata"]["kind"] = Kind.Kind.text();
  Json::Value System;
  System["role"] = "system";
  System["content"] = Planned.Prefix;
  Json::Value User;
  User["role"] = "user";
  User["content"] = Planned.Prompt;
  Body["messages"].append(System);
  Body["messages"].append(User);
  return writeJson(Body);
}

std::string Driver::sessionToken(const Arrival &Planned) {
  MutexLock Guard(&this->Lock);
  return this->SessionTokens[sessionKey(Planned)];
}

void Driver::storeSessionToken(const Arrival &Planned,
                               const HttpOutcome &Answer) {
  std::string Token = Answer.header("X-Session-Token");
  if (Token.empty())
    return;
  MutexLock Guard(&this->Lock);
  this->SessionTokens[sessionKey(Planned)] = Token;
}

void Driver::sendChat(const Arrival &Planned, const KindShare &Kind,
                      absl::Time Due, Sample &Result) {
  const WorkspaceShare &Workspace = this->Load.Workspaces[Planned.Workspace];
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = "/v1/chat/completions";
  Call.Body = this->chatBody(Planned, Kind, Result.Request.text());
  Call.ReadTimeout = AnswerTimeout;
  Call.Headers = {{"Authorization", "Bearer " + Workspace.Key},
                  {"X-Request-Id", Result.Request.text()}};
  if (Kind.InSession) {
    std::string Token = this->sessionToken(Planned);
    Call.Headers.push_back(Token.empty()
                               ? HeaderLine{"X-Session", "new"}
                               : HeaderLine{"X-Session-Token", Token});
  }
  bool IsStreamed = Kind.Streamed || this->DirectEngine != nullptr;
  for (int Attempt = 0; Attempt < MaxConnectAttempts; ++Attempt) {
    Endpoint Address =
        this->DirectEngine != nullptr ? *this->DirectEngine : this->address();
    Result.Outcome.clear();
    Result.ExecutionStatus.clear();
    StreamReader Reader(Result, Due);
    HttpOutcome Answer;
    if (IsStreamed)
      Answer =
          this->Pool->stream(Address, Call, [&Reader](const std::string &B) {
            return Reader.onBytes(B);
          });
    else
      Answer = this->Pool->call(Address, Call);
    if (Answer.Fault == HttpFault::ConnectFailed) {
      this->dropAddress(Address);
      readError(Answer, Result);
      continue;
    }
    bool IsOk = Answer.Fault == HttpFault::None && Answer.Status == StatusOk;
    if (!IsOk)
      readError(Answer, Result);
    else if (IsStreamed)
      Reader.finish();
    else
      readCompleteAnswer(Answer, Result);
    if (!IsStreamed)
      Result.FirstToken = absl::Now() - Due;
    if (Kind.InSession)
      this->storeSessionToken(Planned, Answer);
    return;
  }
}

void Driver::sendService(const Arrival &Planned, const KindShare &Kind,
                         Sample &Result) {
  const WorkspaceShare &Workspace = this->Load.Workspaces[Planned.Workspace];
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = absl::StrCat("/v1/services/", Kind.Service.text(), Kind.Path);
  Call.Body = absl::StrCat("{\"prompt\":\"", Planned.Prompt, "\"}");
  Call.ReadTimeout = AnswerTimeout;
  Call.Headers = {{"Authorization", "Bearer " + Workspace.Key},
                  {"X-Request-Id", Result.Request.text()},
                  {"X-Request-Kind", Kind.Kind.text()}};
  if (Kind.IsNonIdempotent) {
    Result.IdempotencyKey = makeUuidV7(absl::ToUnixMillis(absl::Now()));
    Call.Headers.push_back(
        HeaderLine{"Idempotency-Key", Result.IdempotencyKey});
  }
  for (int Attempt = 0; Attempt < MaxConnectAttempts; ++Attempt) {
    Endpoint Address = this->address();
    HttpOutcome Answer = this->Pool->call(Address, Call);
    if (Answer.Fault == HttpFault::None && Answer.Status == StatusOk) {
      Result.Outcome = "whole";
      Result.IsGood = true;
      Result.ExecutionStatus.clear();
      return;
    }
    readError(Answer, Result);
    if (Answer.Fault != HttpFault::ConnectFailed)
      return;
    this->dropAddress(Address);
  }
}

Endpoint Driver::address() {
  {
    MutexLock Guard(&this->Lock);
    if (absl::Now() < this->AddressesExpireAt && !this->Addresses.empty())
      return this->Addresses[this->NextAddress++ % this->Addresses.size()];
  }
  this->refreshAddresses();
  MutexLock Guard(&this->Lock);
  // Another worker may have dropped the last address in the meantime.
  if (this->Addresses.empty())
    return this->Load.Entries.front();
  return this->Addresses[this->NextAddress++ % this->Addresses.size()];
}

void Driver::refreshAddresses() {
  if (this->Load.IsPinned) {
    MutexLock Guard(&this->Lock);
    this->Addresses = this->Load.Entries;
    this->AddressesExpireAt = absl::Now() + DefaultTtl;
    return;
  }
  std::vector<Endpoint> Candidates = this->Load.Entries;
  {
    MutexLock Guard(&this->Lock);
    Candidates.insert(Candidates.begin(), this->Addresses.begin(),
                      this->Addresses.end());
  }
  for (const Endpoint &Candidate : Candidates) {
    HttpCall Call;
    Call.Path = "/v1/entries?place=" + this->Load.Place;
    Call.ReadTimeout = absl::Seconds(2);
    HttpOutcome Answer = this->Pool->call(Candidate, Call);
    if (Answer.Fault != HttpFault::None || Answer.Status != StatusOk)
      continue;
    absl::StatusOr<Json::Value> Body = parseJson(Answer.Body);
    if (!Body.ok())
      continue;
    std::vector<Endpoint> Found;
    for (const Json::Value &Item : arrayAt(*Body, "entries")) {
      Endpoint Address;
      if (parseEndpoint(textAt(Item, "address"), Address))
        Found.push_back(Address);
    }
    if (Found.empty())
      continue;
    MutexLock Guard(&this->Lock);
    this->Addresses = std::move(Found);
    this->AddressesExpireAt =
        absl::Now() + absl::Milliseconds(intAt(*Body, "ttl_ms", 5000));
    return;
  }
  MutexLock Guard(&this->Lock);
  if (this->Addresses.empty())
    this->Addresses = this->Load.Entries;
  this->AddressesExpireAt = absl::Now() + DefaultTtl / 10;
}

void Driver::dropAddress(const Endpoint &Address) {
  MutexLock Guard(&this->Lock);
  auto &All = this->Addresses;
  All.erase(std::remove(All.begin(), All.end(), Address), All.end());
  if (All.empty())
    this->AddressesExpireAt = absl::InfinitePast();
}

} // namespace berylramp::load
