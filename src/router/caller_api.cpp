//===- caller_api.cpp - HTTP API for callers ------------------------------===//
//
// The status of a streamed answer is sent before the upstream is called. A
// later failure is therefore an event of the stream, in the same format as the
// body of a refusal. Everything that can be refused earlier is refused by HTTP
// status.
//
//===----------------------------------------------------------------------===//

#include "caller_api.h"

#include "berylramp/json.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include <openssl/crypto.h>

namespace berylramp::internal {

namespace {

constexpr size_t MaxIdBytes = 128;
constexpr size_t MaxMessages = 1000;
/// Values of a body; one of MaxMessages messages has about 5,000.
constexpr size_t MaxChatValues = 16384;
constexpr const char *ServicePrefix = "/v1/services/";
constexpr const char *BearerPrefix = "Bearer ";

Json::Value chunkJson(const ChatRequest &Chat, const VersionKey &Version) {
  Json::Value Chunk;
  Chunk["id"] = "chatcmpl-" + Chat.Id.text();
  Chunk["object"] = "chat.completion.chunk";
  Chunk["model"] = Version.text();
  return Chunk;
}

std::string tokenEvent(const ChatRequest &Chat, const VersionKey &Version,
                       const std::string &Text) {
  Json::Value Chunk = chunkJson(Chat, Version);
  Json::Value Choice;
  Choice["index"] = 0;
  Choice["delta"]["content"] = Text;
  Chunk["choices"].append(Choice);
  return absl::StrCat("data: ", writeJson(Chunk), "\n\n");
}

Json::Value usageJson(const ChatAnswer &Answer) {
  Json::Value Usage;
  Usage["prompt_tokens"] = Json::Int64(Answer.PromptTokens.count());
  Usage["completion_tokens"] = Json::Int64(Answer.CompletionTokens.count());
  Usage["total_tokens"] = Json::Int64(Answer.PromptTokens.count() +
                                      Answer.CompletionTokens.count());
  return Usage;
}

std::string finalEvents(const ChatRequest &Chat, const ChatAnswer &Answer) {
  Json::Value Chunk = chunkJson(Chat, Answer.Version);
  Json::Value Choice;
  Choice["index"] = 0;
  Choice["delta"] = Json::Value(Json::objectValue);
  Choice["finish_reason"] = "stop";
  Chunk["choices"].append(Choice);
  Chunk["usage"] = usageJson(Answer);
  return absl::StrCat("data: ", writeJson(Chunk), "\n\ndata: [DONE]\n\n");
}

std::string completionBody(const ChatRequest &Chat, const ChatAnswer &Answer) {
  Json::Value Body;
  Body["id"] = "chatcmpl-" + Chat.Id.text();
  Body["object"] = "chat.completion";
  Body["model"] = Answer.Version.text();
  Json::Value Choice;
  Choice["index"] = 0;
  Choice["message"]["role"] = "assistant";
  Choice["message"]["content"] = Answer.Text;
  Choice["finish_reason"] = "stop";
  Body["choices"].append(Choice);
  Body["usage"] = usageJson(Answer);
  return writeJson(Body);
}

/// The refusal of a request that no handler saw.
Refusal unreadRefusal(int Status) {
  if (Status == refusalStatus(RefusalKind::BodyTooLong))
    return makeNotRunRefusal(RefusalKind::BodyTooLong,
                             "the request body exceeds the size limit");
  if (Status == refusalStatus(RefusalKind::Overloaded))
    return makeNotRunRefusal(
        RefusalKind::Overloaded,
        "this host holds too many bytes of requests and answers");
  return makeNotRunRefusal(
      RefusalKind::BadBody,
      "the request is malformed, or its header exceeds the size limit");
}

std::string errorEvent(const Refusal &Reason, const RequestId &Request) {
  return absl::StrCat("event: error\ndata: ",
                      writeJson(refusalToJson(Reason, Request.text())), "\n\n");
}

std::optional<Refusal> parseMessages(const Json::Value &Body,
                                     ChatRequest &Chat) {
  const Json::Value &Messages = arrayAt(Body, "messages");
  if (Messages.empty() || Messages.size() > MaxMessages)
    return makeNotRunRefusal(
        RefusalKind::BadBody,
        "'messages' must be an array of 1 to 1000 messages");
  for (const Json::Value &Item : Messages) {
    if (!memberAt(Item, "role").isString() ||
        !memberAt(Item, "content").isString())
      return makeNotRunRefusal(
          RefusalKind::BadBody,
          "each message needs a string 'role' and a string 'content'");
    Chat.Messages.push_back(
        ChatMessage{textAt(Item, "role"), textAt(Item, "content")});
  }
  return std::nullopt;
}

std::optional<Refusal> parseParameters(const Json::Value &Body,
                                       ChatRequest &Chat) {
  const Json::Value &MaxTokens = memberAt(Body, "max_tokens");
  const Json::Value &Priority = memberAt(Body, "priority");
  if (!MaxTokens.isNull() && (!MaxTokens.isInt64() || MaxTokens.asInt64() < 1))
    return makeNotRunRefusal(RefusalKind::BadBody,
                             "'max_tokens' must be an integer of at least 1");
  if (!Priority.isNull() && !Priority.isInt())
    return makeNotRunRefusal(RefusalKind::BadBody,
                             "'priority' must be an integer");
  Chat.MaxTokens = Tokens(intAt(Body, "max_tokens"));
  Chat.Priority = static_cast<int>(intAt(Body, "priority"));
  Chat.IsStreamed = boolAt(Body, "stream");
  return std::nullopt;
}

} // namespace

CallerApi::CallerApi(RouterParts &Parts) : Parts(Parts) {}

void CallerApi::addRoutes(HttpServer &Server) {
  Server.setRefusalBody([this](int Status) {
    Refusal Reason = unreadRefusal(Status);
    this->Parts.Context.Counts.countRefusal(Reason.Kind);
    return writeJson(refusalToJson(Reason, ""));
  });
  Server.route("POST", "/v1/chat/completions",
               [this](const HttpRequest &Request, HttpReply &Reply) {
                 this->chat(Request, Reply);
               });
  HttpHandler Service = [this](const HttpRequest &Request, HttpReply &Reply) {
    this->service(Request, Reply);
  };
  for (const char *Method : {"GET", "POST", "PUT", "DELETE"})
    Server.route(Method, ServicePrefix, Service);
  Server.route("GET", "/v1/entries",
               [this](const HttpRequest &Request, HttpReply &Reply) {
                 this->entries(Request, Reply);
               });
  Server.route("GET", "/healthz", [](const HttpRequest &, HttpReply &Reply) {
    Reply.Body = "{\"status\":\"up\"}";
  });
  Server.route("GET", "/readyz", [this](const HttpRequest &, HttpReply &Reply) {
    this->ready(Reply);
  });
}

bool CallerApi::authenticate(const HttpRequest &Request,
                             WorkspaceId &Workspace) const {
  std::string Header = Request.header("Authorization");
  if (!absl::StartsWith(Header, BearerPrefix))
    return false;
  std::string Key = Header.substr(std::string(BearerPrefix).size());
  bool Found = false;
  for (const WorkspaceKeySetting &Setting :
       this->Parts.Context.Settings.WorkspaceKeys) {
    bool Matches =
        Setting.Key.size() == Key.size() &&
        CRYPTO_memcmp(Setting.Key.data(), Key.data(), Key.size()) == 0;
    if (Matches)
      Workspace = Setting.Workspace;
    Found |= Matches;
  }
  return Found;
}

RequestId CallerApi::requestIdOf(const HttpRequest &Request) const {
  std::string CallerId = Request.header("X-Request-Id");
  if (!CallerId.empty() && CallerId.size() <= MaxIdBytes)
    return RequestId(CallerId);
  return RequestId(
      makeUuidV7(absl::ToUnixMillis(this->Parts.Context.Timer.wallNow())));
}

void CallerApi::finishHeaders(HttpReply &Reply) const {
  // Closes connections of a leaving host, so that callers reconnect to another
  // entry address.
  if (this->Parts.Fleet.isLeaving())
    Reply.Headers.push_back(HeaderLine{"Connection", "close"});
}

void CallerApi::refuse(const Refusal &Reason, const RequestId &Request,
                       HttpReply &Reply) {
  Reply.Status = refusalStatus(Reason.Kind);
  Reply.Body = writeJson(refusalToJson(Reason, Request.text()));
  if (Reason.RetryAfter > absl::ZeroDuration()) {
    int64_t Seconds =
        absl::ToInt64Seconds(Reason.RetryAfter + absl::Seconds(1));
    Reply.Headers.push_back(
        HeaderLine{"Retry-After", absl::StrCat(std::max<int64_t>(1, Seconds))});
  }
}

std::optional<Refusal> CallerApi::parseChat(const HttpRequest &Request,
                                            ChatRequest &Chat) const {
  absl::StatusOr<Json::Value> Body = parseJson(Request.Body, MaxChatValues);
  if (!Body.ok() || !Body->isObject())
    return makeNotRunRefusal(RefusalKind::BadBody,
                             Body.ok() ? "the request body is not a JSON object"
                                       : std::string(Body.status().message()));
  std::string Kind = Request.header("X-Request-Kind");
  if (Kind.empty())
    Kind = textAt(memberAt(*Body, "metadata"), "kind");
  Chat.Kind = RequestKindId(Kind);
  Chat.RequestedModel = textAt(*Body, "model");
  std::optional<Refusal> Error = parseMessages(*Body, Chat);
  if (!Error)
    Error = parseParameters(*Body, Chat);
  if (Error)
    return Error;
  std::string Token = Request.header("X-Session-Token");
  Chat.WantsSession = !Token.empty() || !Request.header("X-Session").empty();
  if (Token.empty())
    return std::nullopt;
  absl::StatusOr<SessionPin> Pin =
      readSessionToken(Token, this->Parts.Context.Settings.SessionKeys);
  if (!Pin.ok())
    return makeNotRunRefusal(RefusalKind::BadSession,
                             std::string(Pin.status().message()));
  Chat.HasPin = true;
  Chat.Pin = *std::move(Pin);
  return std::nullopt;
}

void CallerApi::chat(const HttpRequest &Request, HttpReply &Reply) {
  Metrics &Counts = this->Parts.Context.Counts;
  Counts.count(Counter::RequestsReceived);
  ChatRequest Chat;
  Chat.Id = this->requestIdOf(Request);
  Reply.Headers.push_back(HeaderLine{"X-Request-Id", Chat.Id.text()});
  this->finishHeaders(Reply);
  std::optional<Refusal> Error;
  if (!this->authenticate(Request, Chat.Workspace))
    Error =
        makeNotRunRefusal(RefusalKind::BadKey, "no workspace has this API key");
  else
    Error = this->parseChat(Request, Chat);
  if (Error) {
    Counts.countRefusal(Error->Kind);
    this->refuse(*Error, Chat.Id, Reply);
    return;
  }
  auto Handler = std::make_shared<Generation>(this->Parts, Chat);
  Error = Handler->prepare();
  if (Error) {
    ChatAnswer RefusedAnswer;
    RefusedAnswer.Refused = Error;
    Handler->finish(RefusedAnswer);
    this->refuse(*Error, Chat.Id, Reply);
    return;
  }
  if (Chat.IsStreamed)
    this->replyStream(std::move(Handler), Chat, Reply);
  else
    this->replyComplete(*Handler, Chat, Reply);
}

void CallerApi::addSession(const Generation &Handler, const ChatRequest &Chat,
                           const VersionKey &Version, HttpReply &Reply) const {
  if (!Chat.WantsSession)
    return;
  SessionPin Pin;
  Pin.Session = Chat.HasPin ? Chat.Pin.Session : SessionId(Chat.Id.text());
  Pin.Workspace = Chat.Workspace;
  Pin.Version = Version;
  Pin.TableOffset = Handler.tableOffset();
  Reply.Headers.push_back(HeaderLine{
      "X-Session-Token",
      makeSessionToken(Pin, this->Parts.Context.Settings.SessionKeys)});
}

void CallerApi::replyComplete(Generation &Handler, const ChatRequest &Chat,
                              HttpReply &Reply) {
  ChatAnswer Answer = Handler.run([](const std::string &) { return true; });
  if (Answer.Refused) {
    this->refuse(*Answer.Refused, Chat.Id, Reply);
  } else {
    this->addSession(Handler, Chat, Answer.Version, Reply);
    Reply.Body = completionBody(Chat, Answer);
  }
  Handler.finish(Answer);
}

void CallerApi::replyStream(std::shared_ptr<Generation> Handler,
                            const ChatRequest &Chat, HttpReply &Reply) {
  Reply.ContentType = "text/event-stream";
  this->addSession(*Handler, Chat, Handler->version(), Reply);
  Reply.Stream = [this, Handler, Chat](const HttpWriter &Write) {
    Instant LastTokenTime = this->Parts.Context.Timer.now();
    bool IsFirst = true;
    TextSink Send = [&](const std::string &Text) {
      Instant Now = this->Parts.Context.Timer.now();
      if (!IsFirst)
        this->Parts.Context.Counts.observe(Latency::BetweenTokens,
                                           Now - LastTokenTime);
      IsFirst = false;
      LastTokenTime = Now;
      return Write(tokenEvent(Chat, Handler->version(), Text));
    };
    ChatAnswer Answer = Handler->run(Send);
    Handler->finish(Answer);
    if (Answer.Refused)
      return Write(errorEvent(*Answer.Refused, Chat.Id));
    return Write(finalEvents(Chat, Answer));
  };
}

void CallerApi::service(const HttpRequest &Request, HttpReply &Reply) {
  Metrics &Counts = this->Parts.Context.Counts;
  Counts.count(Counter::RequestsReceived);
  ServiceRequest Call;
  Call.Id = this->requestIdOf(Request);
  Reply.Headers.push_back(HeaderLine{"X-Request-Id", Call.Id.text()});
  this->finishHeaders(Reply);
  if (!this->authenticate(Request, Call.Workspace)) {
    Counts.countRefusal(RefusalKind::BadKey);
    this->refuse(
        makeNotRunRefusal(RefusalKind::BadKey, "no workspace has this API key"),
        Call.Id, Reply);
    return;
  }
  std::string Suffix = Request.Path.substr(std::string(ServicePrefix).size());
  size_t Slash = Suffix.find('/');
  Call.Service = ServiceId(Suffix.substr(0, Slash));
  Call.Path = Slash == std::string::npos ? "/" : Suffix.substr(Slash);
  Call.Kind = RequestKindId(Request.header("X-Request-Kind"));
  Call.Method = Request.Method;
  Call.Body = Request.Body;
  Call.IdempotencyKey = Request.header("Idempotency-Key");
  Call.IssuedMillis = uuidV7Millis(Call.IdempotencyKey);
  int64_t Issued = 0;
  if (absl::SimpleAtoi(Request.header("X-Key-Issued-Ms"), &Issued))
    Call.IssuedMillis = Issued;
  ServiceAnswer Answer = ServiceRequestHandler(this->Parts, Call).run();
  if (Answer.Refused) {
    this->refuse(*Answer.Refused, Call.Id, Reply);
    return;
  }
  Reply.Status = Answer.Status;
  Reply.Body = Answer.Body;
  if (Answer.IsReplay)
    Reply.Headers.push_back(HeaderLine{"X-Replayed", "yes"});
}

void CallerApi::entries(const HttpRequest &Request, HttpReply &Reply) const {
  std::string RequestedPlace = Request.param("place");
  PlaceId Place = RequestedPlace.empty() ? this->Parts.Context.Settings.Place
                                         : PlaceId(RequestedPlace);
  Json::Value Body;
  Body["entries"] = Json::Value(Json::arrayValue);
  for (const EntryAddress &Entry : this->Parts.Fleet.entries(Place)) {
    Json::Value Item;
    Item["host"] = Entry.Host.text();
    Item["place"] = Entry.Place.text();
    Item["address"] = Entry.Address.text();
    Body["entries"].append(Item);
  }
  Body["ttl_ms"] = Json::Int64(
      absl::ToInt64Milliseconds(this->Parts.Context.Settings.EntriesTtl));
  Reply.Body = writeJson(Body);
}

void CallerApi::ready(HttpReply &Reply) const {
  Freshness TableFreshness = this->Parts.Fleet.freshness();
  bool HasTable = !this->Parts.Config.view().State->TableRows.empty();
  bool IsReady = TableFreshness != Freshness::Isolated && HasTable;
  Json::Value Body;
  Body["ready"] = IsReady;
  Body["view"] = freshnessName(TableFreshness);
  Body["has_table"] = HasTable;
  Reply.Status = IsReady ? 200 : 503;
  Reply.Body = writeJson(Body);
}

} // namespace berylramp::internal
