//===- upstream_adapter.cpp - Model engines and plain services ------------===//
//
// Engines speak the chat-completions form with server-sent events. The call
// carries the attempt's id as request_id, and each event must carry it back:
// an event of another id is an answer to somebody else.
//
//===----------------------------------------------------------------------===//

#include "berylramp/http.h"
#include "berylramp/json.h"

#include "absl/strings/str_cat.h"

namespace berylramp {

namespace {

constexpr int StatusOk = 200;
constexpr const char *EndMarker = "[DONE]";
constexpr const char *IdPrefix = "chatcmpl-";

std::string generateBody(const GenerateCall &Call) {
  Json::Value Body;
  Body["model"] = Call.Version.text();
  Body["stream"] = true;
  Body["stream_options"]["include_usage"] = true;
  Body["request_id"] = Call.Attempt.text();
  Body["max_tokens"] = Json::Int64(Call.MaxTokens.count());
  Body["priority"] = Call.Priority;
  if (Call.ResumeFrom.count() > 0)
    Body["resume_from"] = Json::Int64(Call.ResumeFrom.count());
  for (const ChatMessage &Message : Call.Messages) {
    Json::Value Item;
    Item["role"] = Message.Role;
    Item["content"] = Message.Content;
    Body["messages"].append(Item);
  }
  return writeJson(Body);
}

/// Reads the events of one answer.
class AnswerReader {
public:
  AnswerReader(const GenerateCall &Call, const TextSink &OnText)
      : WantedId(IdPrefix + Call.Attempt.text()), OnText(OnText),
        Patience(Call.Timeout), LastBytes(absl::Now()) {}

  bool onBytes(const std::string &Bytes) {
    this->LastBytes = absl::Now();
    return this->Splitter.feed(
        Bytes, [this](const std::string &Data) { return this->onEvent(Data); });
  }

  GenerateResult finish(const HttpOutcome &Outcome) const {
    GenerateResult Out = this->Result;
    Out.Detail = Outcome.Detail;
    if (Out.Fault != UpstreamFault::None)
      return Out;
    if (Outcome.Fault == HttpFault::ConnectFailed)
      Out.Fault = UpstreamFault::ConnectFailed;
    else if (Outcome.Fault == HttpFault::None && Outcome.Status != StatusOk)
      Out.Fault = UpstreamFault::Refused;
    else if (!this->Ended)
      Out.Fault = this->wasSilent() ? UpstreamFault::Late : UpstreamFault::Cut;
    if (Out.Fault == UpstreamFault::Refused)
      Out.Detail = absl::StrCat("status ", Outcome.Status);
    return Out;
  }

private:
  /// The transport gives up after this silence without saying so.
  bool wasSilent() const {
    return absl::Now() - this->LastBytes >= this->Patience;
  }

  bool onEvent(const std::string &Data) {
    if (Data == EndMarker) {
      this->Ended = true;
      return true;
    }
    absl::StatusOr<Json::Value> Event = parseJson(Data);
    if (!Event.ok() || textAt(*Event, "id") != this->WantedId) {
      this->Result.Fault = UpstreamFault::Crossed;
      return false;
    }
    this->readUsage(memberAt(*Event, "usage"));
    for (const Json::Value &Choice : arrayAt(*Event, "choices")) {
      std::string Text = textAt(memberAt(Choice, "delta"), "content");
      if (Text.empty())
        continue;
      if (!this->OnText(Text)) {
        this->Result.Fault = UpstreamFault::CallerGone;
        return false;
      }
    }
    return true;
  }

  void readUsage(const Json::Value &Usage) {
    if (!Usage.isObject())
      return;
    this->Result.In = Tokens(intAt(Usage, "prompt_tokens"));
    this->Result.Out = Tokens(intAt(Usage, "completion_tokens"));
  }

  std::string WantedId;
  const TextSink &OnText;
  absl::Duration Patience;
  absl::Time LastBytes;
  EventSplitter Splitter;
  GenerateResult Result;
  bool Ended = false;
};

VersionKey versionFromText(const std::string &Text) {
  size_t Slash = Text.find('/');
  if (Slash == std::string::npos)
    return VersionKey{};
  return VersionKey{ModelId(Text.substr(0, Slash)),
                    VersionId(Text.substr(Slash + 1))};
}

EngineLoad loadFromJson(const Json::Value &Body) {
  EngineLoad Out;
  Out.Running = static_cast<int>(intAt(Body, "running"));
  Out.Waiting = static_cast<int>(intAt(Body, "waiting"));
  Out.Slots = static_cast<int>(std::max<int64_t>(1, intAt(Body, "slots", 1)));
  Out.CacheUsed = Tokens(intAt(Body, "cache_used"));
  Out.CacheSize = Tokens(intAt(Body, "cache_size"));
  Out.TokensPerSecond = numberAt(Body, "tokens_per_second");
  Out.Leaving = boolAt(Body, "leaving");
  for (const Json::Value &Name : arrayAt(Body, "versions")) {
    if (Name.isString())
      Out.Versions.push_back(versionFromText(Name.asString()));
  }
  return Out;
}

GenerateResult generate(HttpClientPool &Pool, const GenerateCall &Call,
                        const TextSink &OnText) {
  HttpCall Http;
  Http.Method = "POST";
  Http.Path = "/v1/chat/completions";
  Http.Body = generateBody(Call);
  Http.ReadTimeout = Call.Timeout;
  AnswerReader Reader(Call, OnText);
  HttpOutcome Outcome =
      Pool.stream(Call.To, Http, [&Reader](const std::string &Bytes) {
        return Reader.onBytes(Bytes);
      });
  return Reader.finish(Outcome);
}

ServiceResult callService(HttpClientPool &Pool, const ServiceCall &Call) {
  HttpCall Http;
  Http.Method = Call.Method;
  Http.Path = Call.Path;
  Http.Body = Call.Body;
  Http.ReadTimeout = Call.Timeout;
  Http.FreshConnection = true;
  Http.Headers.push_back(HeaderLine{"X-Request-Id", Call.Attempt.text()});
  if (!Call.IdempotencyKey.empty())
    Http.Headers.push_back(HeaderLine{"Idempotency-Key", Call.IdempotencyKey});
  HttpOutcome Outcome = Pool.call(Call.To, Http);
  ServiceResult Out;
  Out.Status = Outcome.Status;
  Out.Body = Outcome.Body;
  Out.Detail = Outcome.Detail;
  if (Outcome.Fault == HttpFault::ConnectFailed)
    Out.Fault = UpstreamFault::ConnectFailed;
  else if (Outcome.Fault != HttpFault::None)
    Out.Fault = UpstreamFault::Cut;
  return Out;
}

absl::StatusOr<EngineLoad> readLoad(HttpClientPool &Pool, const Endpoint &To) {
  HttpCall Http;
  Http.Path = "/load";
  Http.ConnectTimeout = absl::Milliseconds(500);
  Http.ReadTimeout = absl::Seconds(1);
  HttpOutcome Outcome = Pool.call(To, Http);
  if (Outcome.Fault != HttpFault::None || Outcome.Status != StatusOk)
    return absl::UnavailableError("no load report from " + To.text());
  absl::StatusOr<Json::Value> Body = parseJson(Outcome.Body);
  if (!Body.ok())
    return Body.status();
  return loadFromJson(*Body);
}

} // namespace

UpstreamPort makeHttpUpstreams(const std::shared_ptr<HttpClientPool> &Pool) {
  UpstreamPort Port;
  Port.Generate = [Pool](const GenerateCall &Call, const TextSink &OnText) {
    return generate(*Pool, Call, OnText);
  };
  Port.CallService = [Pool](const ServiceCall &Call) {
    return callService(*Pool, Call);
  };
  Port.ReadLoad = [Pool](const Endpoint &To) { return readLoad(*Pool, To); };
  return Port;
}

} // namespace berylramp
