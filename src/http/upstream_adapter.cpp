//===- upstream_adapter.cpp - Model engines and plain services ------------===//
//
// Engines implement the chat-completions API with server-sent events. A call
// sends the attempt's id as request_id, and every event must return it in its
// id. An event with a different id belongs to another request, so the answer is
// rejected as misdirected.
//
//===----------------------------------------------------------------------===//

#include "berylramp/http.h"
#include "berylramp/json.h"

#include "absl/strings/str_cat.h"

namespace berylramp {

namespace {

constexpr int StatusOk = 200;
constexpr const char *EndOfStreamMarker = "[DONE]";
constexpr const char *CompletionIdPrefix = "chatcmpl-";

std::string makeRequestBody(const GenerateCall &Call) {
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

/// Parses the events of one answer and passes its text on.
class AnswerReader {
public:
  AnswerReader(const GenerateCall &Call, const TextSink &OnText)
      : ExpectedId(CompletionIdPrefix + Call.Attempt.text()), OnText(OnText),
        IdleTimeout(Call.Timeout), LastReceivedAt(absl::Now()) {}

  bool onBytes(const std::string &Bytes) {
    this->LastReceivedAt = absl::Now();
    return this->Splitter.feed(
        Bytes, [this](const std::string &Data) { return this->onEvent(Data); });
  }

  GenerateResult finish(const HttpOutcome &Outcome) const {
    GenerateResult Final = this->Result;
    Final.Detail = Outcome.Detail;
    if (Final.Fault != UpstreamFault::None)
      return Final;
    if (Outcome.Fault == HttpFault::ConnectFailed)
      Final.Fault = UpstreamFault::ConnectFailed;
    else if (Outcome.Fault == HttpFault::None && Outcome.Status != StatusOk)
      Final.Fault = UpstreamFault::Refused;
    else if (!this->ReceivedEndOfStream)
      Final.Fault = this->isIdleTimeout() ? UpstreamFault::TimedOut
                                          : UpstreamFault::Interrupted;
    if (Final.Fault == UpstreamFault::Refused)
      Final.Detail = absl::StrCat("HTTP status ", Outcome.Status);
    return Final;
  }

private:
  /// The transport reports an expired read timeout like any other read error,
  /// so the time since the last received data distinguishes the two.
  bool isIdleTimeout() const {
    return absl::Now() - this->LastReceivedAt >= this->IdleTimeout;
  }

  bool onEvent(const std::string &Data) {
    if (Data == EndOfStreamMarker) {
      this->ReceivedEndOfStream = true;
      return true;
    }
    absl::StatusOr<Json::Value> Event = parseJson(Data);
    if (!Event.ok() || textAt(*Event, "id") != this->ExpectedId) {
      this->Result.Fault = UpstreamFault::Misdirected;
      return false;
    }
    this->readUsage(memberAt(*Event, "usage"));
    for (const Json::Value &Choice : arrayAt(*Event, "choices")) {
      std::string Text = textAt(memberAt(Choice, "delta"), "content");
      if (Text.empty())
        continue;
      if (!this->OnText(Text)) {
        this->Result.Fault = UpstreamFault::CallerDisconnected;
        return false;
      }
    }
    return true;
  }

  void readUsage(const Json::Value &Usage) {
    if (!Usage.isObject())
      return;
    this->Result.PromptTokens = Tokens(intAt(Usage, "prompt_tokens"));
    this->Result.CompletionTokens = Tokens(intAt(Usage, "completion_tokens"));
  }

  std::string ExpectedId;
  const TextSink &OnText;
  absl::Duration IdleTimeout;
  absl::Time LastReceivedAt;
  EventDataSplitter Splitter;
  GenerateResult Result;
  bool ReceivedEndOfStream = false;
};

VersionKey versionFromText(const std::string &Text) {
  size_t Slash = Text.find('/');
  if (Slash == std::string::npos)
    return VersionKey{};
  return VersionKey{ModelId(Text.substr(0, Slash)),
                    VersionId(Text.substr(Slash + 1))};
}

/// An engine that reports more counts as one that reports this many.
constexpr int MaxReportedCount = 1'000'000;

EngineLoad loadFromJson(const Json::Value &Body) {
  EngineLoad Load;
  Load.Running = boundedIntAt(Body, "running", 0, 0, MaxReportedCount);
  Load.Waiting = boundedIntAt(Body, "waiting", 0, 0, MaxReportedCount);
  Load.Slots = boundedIntAt(Body, "slots", 1, 1, MaxReportedCount);
  Load.CacheUsed = Tokens(intAt(Body, "cache_used"));
  Load.CacheSize = Tokens(intAt(Body, "cache_size"));
  Load.TokensPerSecond = numberAt(Body, "tokens_per_second");
  Load.Leaving = boolAt(Body, "leaving");
  for (const Json::Value &Name : arrayAt(Body, "versions")) {
    if (Name.isString())
      Load.Versions.push_back(versionFromText(Name.asString()));
  }
  return Load;
}

GenerateResult generate(HttpClientPool &Pool, const GenerateCall &Call,
                        const TextSink &OnText) {
  HttpCall Request;
  Request.Method = "POST";
  Request.Path = "/v1/chat/completions";
  Request.Body = makeRequestBody(Call);
  Request.ReadTimeout = Call.Timeout;
  AnswerReader Reader(Call, OnText);
  HttpOutcome Outcome =
      Pool.stream(Call.Address, Request, [&Reader](const std::string &Bytes) {
        return Reader.onBytes(Bytes);
      });
  return Reader.finish(Outcome);
}

ServiceResult callService(HttpClientPool &Pool, const ServiceCall &Call) {
  HttpCall Request;
  Request.Method = Call.Method;
  Request.Path = Call.Path;
  Request.Body = Call.Body;
  Request.ReadTimeout = Call.Timeout;
  Request.FreshConnection = true;
  Request.Headers.push_back(HeaderLine{"X-Request-Id", Call.Attempt.text()});
  if (!Call.IdempotencyKey.empty())
    Request.Headers.push_back(
        HeaderLine{"Idempotency-Key", Call.IdempotencyKey});
  HttpOutcome Outcome = Pool.call(Call.Address, Request);
  ServiceResult Result;
  Result.Status = Outcome.Status;
  Result.Body = Outcome.Body;
  Result.Detail = Outcome.Detail;
  if (Outcome.Fault == HttpFault::ConnectFailed)
    Result.Fault = UpstreamFault::ConnectFailed;
  else if (Outcome.Fault != HttpFault::None)
    Result.Fault = UpstreamFault::Interrupted;
  return Result;
}

absl::StatusOr<EngineLoad> readLoad(HttpClientPool &Pool,
                                    const Endpoint &Target) {
  HttpCall Request;
  Request.Path = "/load";
  Request.ConnectTimeout = absl::Milliseconds(500);
  Request.ReadTimeout = absl::Seconds(1);
  HttpOutcome Outcome = Pool.call(Target, Request);
  if (Outcome.Fault != HttpFault::None || Outcome.Status != StatusOk)
    return absl::UnavailableError("cannot read the load report of " +
                                  Target.text());
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
  Port.ReadLoad = [Pool](const Endpoint &Target) {
    return readLoad(*Pool, Target);
  };
  return Port;
}

} // namespace berylramp
