//===- driver.cpp - Sends a workload and notes what came back -------------===//
//
// Latencies count from when a request was due, not from when a worker was free
// to send it, so that a stalled system cannot hide its stall.
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
constexpr int ConnectTries = 4;
constexpr absl::Duration DefaultTtl = absl::Seconds(5);
constexpr const char *EndMarker = "[DONE]";

/// Reads the events of a streamed answer.
class StreamReader {
public:
  StreamReader(Sample &Out, absl::Time Due) : Out(Out), Due(Due) {}

  bool onBytes(const std::string &Bytes) {
    return this->Splitter.feed(Bytes, [this](const std::string &Data) {
      this->onEvent(Data);
      return true;
    });
  }

  void finish() {
    if (!this->Ended && this->Out.Outcome.empty())
      this->Out.Outcome = "broken";
    if (this->Gaps > 0)
      this->Out.MeanGap = this->GapSum / this->Gaps;
  }

private:
  void onEvent(const std::string &Data) {
    if (Data == EndMarker) {
      this->Ended = true;
      this->Out.Outcome = "whole";
      return;
    }
    absl::StatusOr<Json::Value> Event = parseJson(Data);
    if (!Event.ok())
      return;
    const Json::Value &Error = memberAt(*Event, "error");
    if (Error.isObject()) {
      this->Out.Outcome = textAt(Error, "type");
      this->Out.DidRun = textAt(Error, "ran");
      return;
    }
    this->Out.Version = textAt(*Event, "model");
    const Json::Value &Usage = memberAt(*Event, "usage");
    if (Usage.isObject()) {
      this->Out.In = Tokens(intAt(Usage, "prompt_tokens"));
      this->Out.Out = Tokens(intAt(Usage, "completion_tokens"));
    }
    for (const Json::Value &Choice : arrayAt(*Event, "choices"))
      this->onText(textAt(memberAt(Choice, "delta"), "content"));
  }

  void onText(const std::string &Text) {
    if (Text.empty())
      return;
    absl::Time Now = absl::Now();
    if (this->Texts++ == 0) {
      this->Out.FirstToken = Now - this->Due;
      this->Out.IsGood = absl::StrContains(Text, "sound");
    } else {
      absl::Duration Gap = Now - this->LastText;
      this->Out.LongestGap = std::max(this->Out.LongestGap, Gap);
      this->GapSum += Gap;
      ++this->Gaps;
    }
    this->LastText = Now;
  }

  Sample &Out;
  absl::Time Due;
  EventSplitter Splitter;
  bool Ended = false;
  int64_t Texts = 0;
  int64_t Gaps = 0;
  absl::Duration GapSum = absl::ZeroDuration();
  absl::Time LastText;
};

std::string sessionKey(const Arrival &Which) {
  return absl::StrCat(Which.Workspace, "/", Which.Session);
}

void readError(const HttpOutcome &Answer, Sample &Out) {
  if (Answer.Fault == HttpFault::ConnectFailed) {
    Out.Outcome = "connect_failed";
    Out.DidRun = "no";
    return;
  }
  if (Answer.Fault != HttpFault::None) {
    Out.Outcome = "broken";
    Out.DidRun = "unknown";
    return;
  }
  absl::StatusOr<Json::Value> Body = parseJson(Answer.Body);
  const Json::Value Error =
      Body.ok() ? memberAt(*Body, "error") : Json::Value();
  Out.Outcome = textAt(Error, "type", absl::StrCat("status_", Answer.Status));
  Out.DidRun = textAt(Error, "ran", "unknown");
}

void readWhole(const HttpOutcome &Answer, Sample &Out) {
  absl::StatusOr<Json::Value> Body = parseJson(Answer.Body);
  if (!Body.ok()) {
    Out.Outcome = "broken";
    return;
  }
  Out.Outcome = "whole";
  Out.Version = textAt(*Body, "model");
  Out.In = Tokens(intAt(memberAt(*Body, "usage"), "prompt_tokens"));
  Out.Out = Tokens(intAt(memberAt(*Body, "usage"), "completion_tokens"));
  for (const Json::Value &Choice : arrayAt(*Body, "choices"))
    Out.IsGood = absl::StrContains(
        textAt(memberAt(Choice, "message"), "content"), "sound");
}

} // namespace

Driver::Driver(Workload Workload)
    : Given(std::move(Workload)), Pool(std::make_shared<HttpClientPool>()) {}

std::vector<Sample> Driver::run(const Endpoint *Engine,
                                const std::string &EngineModel) {
  this->Direct = Engine;
  this->Model = EngineModel;
  this->Next = 0;
  this->Samples.clear();
  std::vector<Arrival> All = makeArrivals(this->Given);
  absl::Time Start = absl::Now();
  std::vector<std::thread> Workers;
  Workers.reserve(static_cast<size_t>(this->Given.Workers));
  for (int I = 0; I < this->Given.Workers; ++I)
    Workers.emplace_back([this, &All, Start] { this->work(All, Start); });
  for (std::thread &Each : Workers)
    Each.join();
  std::sort(
      this->Samples.begin(), this->Samples.end(),
      [](const Sample &A, const Sample &B) { return A.Number < B.Number; });
  return this->Samples;
}

void Driver::work(const std::vector<Arrival> &All, absl::Time Start) {
  while (true) {
    size_t Index = this->Next++;
    bool IsLate = absl::Now() - Start >= this->Given.Length;
    bool IsClosedLoop = this->Given.Rate <= 0;
    if (Index >= All.size() || (IsClosedLoop && IsLate))
      return;
    const Arrival &Which = All[Index];
    absl::Time Due = IsClosedLoop ? absl::Now() : Start + Which.DueAt;
    absl::SleepFor(Due - absl::Now());
    Sample Out = this->send(Which, Due);
    Out.DueAt = Due - Start;
    MutexLock Hold(&this->Lock);
    this->Samples.push_back(std::move(Out));
  }
}

Sample Driver::send(const Arrival &Which, absl::Time Due) {
  const KindShare &Kind = this->Given.Kinds[Which.Kind];
  Sample Out;
  Out.Number = Which.Number;
  Out.Kind = Kind.Kind;
  Out.Workspace = this->Given.Workspaces[Which.Workspace].Workspace;
  Out.Request = RequestId(makeUuidV7(absl::ToUnixMillis(absl::Now())));
  if (Kind.Service.empty())
    this->sendChat(Which, Kind, Due, Out);
  else
    this->sendService(Which, Kind, Out);
  Out.Whole = absl::Now() - Due;
  return Out;
}

std::string Driver::chatBody(const Arrival &Which, const KindShare &Kind,
                             const std::string &Id) const {
  Json::Value Body;
  Body["model"] = this->Model;
  Body["request_id"] = Id;
  Body["max_tokens"] = Json::Int64(Kind.MaxTokens.count());
  Body["priority"] = Kind.Priority;
  Body["stream"] = Kind.Streamed || this->Direct != nullptr;
  Body["metadata"]["kind"] = Kind.Kind.text();
  Json::Value System;
  System["role"] = "system";
  System["content"] = Which.Prefix;
  Json::Value User;
  User["role"] = "user";
  User["content"] = Which.Prompt;
  Body["messages"].append(System);
  Body["messages"].append(User);
  return writeJson(Body);
}

std::string Driver::sessionToken(const Arrival &Which) {
  MutexLock Hold(&this->Lock);
  return this->SessionTokens[sessionKey(Which)];
}

void Driver::keepSessionToken(const Arrival &Which, const HttpOutcome &Answer) {
  std::string Token = Answer.header("X-Session-Token");
  if (Token.empty())
    return;
  MutexLock Hold(&this->Lock);
  this->SessionTokens[sessionKey(Which)] = Token;
}

void Driver::sendChat(const Arrival &Which, const KindShare &Kind,
                      absl::Time Due, Sample &Out) {
  const WorkspaceShare &Workspace = this->Given.Workspaces[Which.Workspace];
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = "/v1/chat/completions";
  Call.Body = this->chatBody(Which, Kind, Out.Request.text());
  Call.ReadTimeout = AnswerTimeout;
  Call.Headers = {{"Authorization", "Bearer " + Workspace.Key},
                  {"X-Request-Id", Out.Request.text()}};
  if (Kind.InSession) {
    std::string Token = this->sessionToken(Which);
    Call.Headers.push_back(Token.empty()
                               ? HeaderLine{"X-Session", "new"}
                               : HeaderLine{"X-Session-Token", Token});
  }
  bool Streams = Kind.Streamed || this->Direct != nullptr;
  for (int Try = 0; Try < ConnectTries; ++Try) {
    Endpoint To = this->Direct != nullptr ? *this->Direct : this->address();
    Out.Outcome.clear();
    Out.DidRun.clear();
    StreamReader Reader(Out, Due);
    HttpOutcome Answer;
    if (Streams)
      Answer = this->Pool->stream(To, Call, [&Reader](const std::string &B) {
        return Reader.onBytes(B);
      });
    else
      Answer = this->Pool->call(To, Call);
    if (Answer.Fault == HttpFault::ConnectFailed) {
      this->dropAddress(To);
      readError(Answer, Out);
      continue;
    }
    bool IsOk = Answer.Fault == HttpFault::None && Answer.Status == StatusOk;
    if (!IsOk)
      readError(Answer, Out);
    else if (Streams)
      Reader.finish();
    else
      readWhole(Answer, Out);
    if (!Streams)
      Out.FirstToken = absl::Now() - Due;
    if (Kind.InSession)
      this->keepSessionToken(Which, Answer);
    return;
  }
}

void Driver::sendService(const Arrival &Which, const KindShare &Kind,
                         Sample &Out) {
  const WorkspaceShare &Workspace = this->Given.Workspaces[Which.Workspace];
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = absl::StrCat("/v1/services/", Kind.Service.text(), Kind.Path);
  Call.Body = absl::StrCat("{\"prompt\":\"", Which.Prompt, "\"}");
  Call.ReadTimeout = AnswerTimeout;
  Call.Headers = {{"Authorization", "Bearer " + Workspace.Key},
                  {"X-Request-Id", Out.Request.text()},
                  {"X-Request-Kind", Kind.Kind.text()}};
  if (Kind.IsOrder) {
    Out.IdempotencyKey = makeUuidV7(absl::ToUnixMillis(absl::Now()));
    Call.Headers.push_back(HeaderLine{"Idempotency-Key", Out.IdempotencyKey});
  }
  for (int Try = 0; Try < ConnectTries; ++Try) {
    Endpoint To = this->address();
    HttpOutcome Answer = this->Pool->call(To, Call);
    if (Answer.Fault == HttpFault::None && Answer.Status == StatusOk) {
      Out.Outcome = "whole";
      Out.IsGood = true;
      Out.DidRun.clear();
      return;
    }
    readError(Answer, Out);
    if (Answer.Fault != HttpFault::ConnectFailed)
      return;
    this->dropAddress(To);
  }
}

Endpoint Driver::address() {
  {
    MutexLock Hold(&this->Lock);
    if (absl::Now() < this->AddressesUntil && !this->Addresses.empty())
      return this->Addresses[this->Turn++ % this->Addresses.size()];
  }
  this->refreshAddresses();
  MutexLock Hold(&this->Lock);
  // Another worker may have dropped the last address meanwhile.
  if (this->Addresses.empty())
    return this->Given.Entries.front();
  return this->Addresses[this->Turn++ % this->Addresses.size()];
}

void Driver::refreshAddresses() {
  if (this->Given.IsPinned) {
    MutexLock Hold(&this->Lock);
    this->Addresses = this->Given.Entries;
    this->AddressesUntil = absl::Now() + DefaultTtl;
    return;
  }
  std::vector<Endpoint> Known = this->Given.Entries;
  {
    MutexLock Hold(&this->Lock);
    Known.insert(Known.begin(), this->Addresses.begin(), this->Addresses.end());
  }
  for (const Endpoint &Each : Known) {
    HttpCall Call;
    Call.Path = "/v1/entries?place=" + this->Given.Place;
    Call.ReadTimeout = absl::Seconds(2);
    HttpOutcome Answer = this->Pool->call(Each, Call);
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
    MutexLock Hold(&this->Lock);
    this->Addresses = std::move(Found);
    this->AddressesUntil =
        absl::Now() + absl::Milliseconds(intAt(*Body, "ttl_ms", 5000));
    return;
  }
  MutexLock Hold(&this->Lock);
  if (this->Addresses.empty())
    this->Addresses = this->Given.Entries;
  this->AddressesUntil = absl::Now() + DefaultTtl / 10;
}

void Driver::dropAddress(const Endpoint &Which) {
  MutexLock Hold(&this->Lock);
  auto &All = this->Addresses;
  All.erase(std::remove(All.begin(), All.end(), Which), All.end());
  if (All.empty())
    this->AddressesUntil = absl::InfinitePast();
}

} // namespace berylramp::load
