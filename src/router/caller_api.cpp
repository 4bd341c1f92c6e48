//===- caller_api.cpp - The API of callers --------------------------------===//
//
// A streamed answer has its status sent before the upstream is asked, so that
// a failure from then on is an event of the stream, of the same form as a
// refusal's body. Everything that can be refused before is, by status.
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
constexpr const char *ServicePrefix = "/v1/services/";
constexpr const char *BearerPrefix = "Bearer ";

Json::Value chunkJson(const ChatRequest &Asked, const VersionKey &Version) {
  Json::Value Chunk;
  Chunk["id"] = "chatcmpl-" + Asked.Request.text();
  Chunk["object"] = "chat.completion.chunk";
  Chunk["model"] = Version.text();
  return Chunk;
}

std::string textEvent(const ChatRequest &Asked, const VersionKey &Version,
                      const std::string &Text) {
  Json::Value Chunk = chunkJson(Asked, Version);
  Json::Value Choice;
  Choice["index"] = 0;
  Choice["delta"]["content"] = Text;
  Chunk["choices"].append(Choice);
  return absl::StrCat("data: ", writeJson(Chunk), "\n\n");
}

Json::Value usageJson(const ChatAnswer &Answer) {
  Json::Value Usage;
  Usage["prompt_tokens"] = Json::Int64(Answer.In.count());
  Usage["completion_tokens"] = Json::Int64(Answer.Out.count());
  Usage["total_tokens"] = Json::Int64(Answer.In.count() + Answer.Out.count());
  return Usage;
}

std::string endEvents(const ChatRequest &Asked, const ChatAnswer &Answer) {
  Json::Value Chunk = chunkJson(Asked, Answer.Version);
  Json::Value Choice;
  Choice["index"] = 0;
  Choice["delta"] = Json::Value(Json::objectValue);
  Choice["finish_reason"] = "stop";
  Chunk["choices"].append(Choice);
  Chunk["usage"] = usageJson(Answer);
  return absl::StrCat("data: ", writeJson(Chunk), "\n\ndata: [DONE]\n\n");
}

std::string wholeBody(const ChatRequest &Asked, const ChatAnswer &Answer) {
  Json::Value Body;
  Body["id"] = "chatcmpl-" + Asked.Request.text();
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

std::string errorEvent(const Refusal &Why, const RequestId &Request) {
  return absl::StrCat("event: error\ndata: ",
                      writeJson(refusalToJson(Why, Request.text())), "\n\n");
}

std::optional<Refusal> readMessages(const Json::Value &Body, ChatRequest &Out) {
  const Json::Value &Messages = arrayAt(Body, "messages");
  if (Messages.empty() || Messages.size() > MaxMessages)
    return notRun(RefusalKind::BadBody,
                  "'messages' must be an array of 1 to 1000 messages");
  for (const Json::Value &Item : Messages) {
    if (!memberAt(Item, "role").isString() ||
        !memberAt(Item, "content").isString())
      return notRun(RefusalKind::BadBody,
                    "each message needs a 'role' and a 'content' text");
    Out.Messages.push_back(
        ChatMessage{textAt(Item, "role"), textAt(Item, "content")});
  }
  return std::nullopt;
}

std::optional<Refusal> readNumbers(const Json::Value &Body, ChatRequest &Out) {
  const Json::Value &MaxTokens = memberAt(Body, "max_tokens");
  const Json::Value &Priority = memberAt(Body, "priority");
  if (!MaxTokens.isNull() && (!MaxTokens.isInt64() || MaxTokens.asInt64() < 1))
    return notRun(RefusalKind::BadBody, "'max_tokens' must be 1 or more");
  if (!Priority.isNull() && !Priority.isInt())
    return notRun(RefusalKind::BadBody, "'priority' must be a whole number");
  Out.MaxTokens = Tokens(intAt(Body, "max_tokens"));
  Out.Priority = static_cast<int>(intAt(Body, "priority"));
  Out.Streamed = boolAt(Body, "stream");
  return std::nullopt;
}

} // namespace

CallerApi::CallerApi(RouterParts &Parts) : Parts(Parts) {}

void CallerApi::addRoutes(HttpServer &Server) {
  Server.setTooLongAnswer([this] {
    this->Parts.Context.Counts.countRefusal(RefusalKind::BodyTooLong);
    return writeJson(refusalToJson(
        notRun(RefusalKind::BodyTooLong, "the body is over the limit"), ""));
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
                             WorkspaceId &Out) const {
  std::string Header = Request.header("Authorization");
  if (!absl::StartsWith(Header, BearerPrefix))
    return false;
  std::string Key = Header.substr(std::string(BearerPrefix).size());
  bool Found = false;
  for (const WorkspaceKeySetting &Each :
       this->Parts.Context.Settings.WorkspaceKeys) {
    bool Matches = Each.Key.size() == Key.size() &&
                   CRYPTO_memcmp(Each.Key.data(), Key.data(), Key.size()) == 0;
    if (Matches)
      Out = Each.Workspace;
    Found |= Matches;
  }
  return Found;
}

RequestId CallerApi::requestIdOf(const HttpRequest &Request) const {
  std::string Given = Request.header("X-Request-Id");
  if (!Given.empty() && Given.size() <= MaxIdBytes)
    return RequestId(Given);
  return RequestId(
      makeUuidV7(absl::ToUnixMillis(this->Parts.Context.Timer.wallNow())));
}

void CallerApi::finishHeaders(HttpReply &Reply) const {
  // A caller of a leaving host should use another address next time.
  if (this->Parts.Fleet.isLeaving())
    Reply.Headers.push_back(HeaderLine{"Connection", "close"});
}

void CallerApi::refuse(const Refusal &Why, const RequestId &Request,
                       HttpReply &Reply) {
  Reply.Status = refusalStatus(Why.Kind);
  Reply.Body = writeJson(refusalToJson(Why, Request.text()));
  if (Why.RetryAfter > absl::ZeroDuration()) {
    int64_t Seconds = absl::ToInt64Seconds(Why.RetryAfter + absl::Seconds(1));
    Reply.Headers.push_back(
        HeaderLine{"Retry-After", absl::StrCat(std::max<int64_t>(1, Seconds))});
  }
}

std::optional<Refusal> CallerApi::readChat(const HttpRequest &Request,
                                           ChatRequest &Out) const {
  absl::StatusOr<Json::Value> Body = parseJson(Request.Body);
  if (!Body.ok() || !Body->isObject())
    return notRun(RefusalKind::BadBody,
                  Body.ok() ? "the body is not an object"
                            : std::string(Body.status().message()));
  std::string Kind = Request.header("X-Request-Kind");
  if (Kind.empty())
    Kind = textAt(memberAt(*Body, "metadata"), "kind");
  Out.Kind = RequestKindId(Kind);
  Out.AskedModel = textAt(*Body, "model");
  std::optional<Refusal> Bad = readMessages(*Body, Out);
  if (!Bad)
    Bad = readNumbers(*Body, Out);
  if (Bad)
    return Bad;
  std::string Token = Request.header("X-Session-Token");
  Out.WantsSession = !Token.empty() || !Request.header("X-Session").empty();
  if (Token.empty())
    return std::nullopt;
  absl::StatusOr<SessionPin> Pin =
      readSessionToken(Token, this->Parts.Context.Settings.SessionKeys);
  if (!Pin.ok())
    return notRun(RefusalKind::BadSession, std::string(Pin.status().message()));
  Out.HasPin = true;
  Out.Pin = *std::move(Pin);
  return std::nullopt;
}

void CallerApi::chat(const HttpRequest &Request, HttpReply &Reply) {
  Metrics &Counts = this->Parts.Context.Counts;
  Counts.count(Counter::RequestsReceived);
  ChatRequest Asked;
  Asked.Request = this->requestIdOf(Request);
  Reply.Headers.push_back(HeaderLine{"X-Request-Id", Asked.Request.text()});
  this->finishHeaders(Reply);
  std::optional<Refusal> Bad;
  if (!this->authenticate(Request, Asked.Workspace))
    Bad = notRun(RefusalKind::BadKey, "no workspace has this key");
  else
    Bad = this->readChat(Request, Asked);
  if (Bad) {
    Counts.countRefusal(Bad->Kind);
    this->refuse(*Bad, Asked.Request, Reply);
    return;
  }
  auto Work = std::make_shared<Generation>(this->Parts, Asked);
  Bad = Work->prepare();
  if (Bad) {
    ChatAnswer None;
    None.Refused = Bad;
    Work->finish(None);
    this->refuse(*Bad, Asked.Request, Reply);
    return;
  }
  if (Asked.Streamed)
    this->replyStream(std::move(Work), Asked, Reply);
  else
    this->replyWhole(*Work, Asked, Reply);
}

void CallerApi::addSession(const Generation &Work, const ChatRequest &Asked,
                           const VersionKey &Version, HttpReply &Reply) const {
  if (!Asked.WantsSession)
    return;
  SessionPin Pin;
  Pin.Session =
      Asked.HasPin ? Asked.Pin.Session : SessionId(Asked.Request.text());
  Pin.Workspace = Asked.Workspace;
  Pin.Version = Version;
  Pin.TableOffset = Work.tableOffset();
  Reply.Headers.push_back(HeaderLine{
      "X-Session-Token",
      makeSessionToken(Pin, this->Parts.Context.Settings.SessionKeys)});
}

void CallerApi::replyWhole(Generation &Work, const ChatRequest &Asked,
                           HttpReply &Reply) {
  ChatAnswer Answer = Work.run([](const std::string &) { return true; });
  if (Answer.Refused) {
    this->refuse(*Answer.Refused, Asked.Request, Reply);
  } else {
    this->addSession(Work, Asked, Answer.Version, Reply);
    Reply.Body = wholeBody(Asked, Answer);
  }
  Work.finish(Answer);
}

void CallerApi::replyStream(std::shared_ptr<Generation> Work,
                            const ChatRequest &Asked, HttpReply &Reply) {
  Reply.ContentType = "text/event-stream";
  this->addSession(*Work, Asked, Work->version(), Reply);
  Reply.Stream = [this, Work, Asked](const HttpWriter &Write) {
    Instant Last = this->Parts.Context.Timer.now();
    bool IsFirst = true;
    TextSink Send = [&](const std::string &Text) {
      Instant Now = this->Parts.Context.Timer.now();
      if (!IsFirst)
        this->Parts.Context.Counts.observe(Latency::BetweenTokens, Now - Last);
      IsFirst = false;
      Last = Now;
      return Write(textEvent(Asked, Work->version(), Text));
    };
    ChatAnswer Answer = Work->run(Send);
    Work->finish(Answer);
    if (Answer.Refused)
      return Write(errorEvent(*Answer.Refused, Asked.Request));
    return Write(endEvents(Asked, Answer));
  };
}

void CallerApi::service(const HttpRequest &Request, HttpReply &Reply) {
  Metrics &Counts = this->Parts.Context.Counts;
  Counts.count(Counter::RequestsReceived);
  ServiceRequest Asked;
  Asked.Request = this->requestIdOf(Request);
  Reply.Headers.push_back(HeaderLine{"X-Request-Id", Asked.Request.text()});
  this->finishHeaders(Reply);
  if (!this->authenticate(Request, Asked.Workspace)) {
    Counts.countRefusal(RefusalKind::BadKey);
    this->refuse(notRun(RefusalKind::BadKey, "no workspace has this key"),
                 Asked.Request, Reply);
    return;
  }
  std::string Rest = Request.Path.substr(std::string(ServicePrefix).size());
  size_t Slash = Rest.find('/');
  Asked.Service = ServiceId(Rest.substr(0, Slash));
  Asked.Path = Slash == std::string::npos ? "/" : Rest.substr(Slash);
  Asked.Kind = RequestKindId(Request.header("X-Request-Kind"));
  Asked.Method = Request.Method;
  Asked.Body = Request.Body;
  Asked.IdempotencyKey = Request.header("Idempotency-Key");
  Asked.IssuedMillis = uuidV7Millis(Asked.IdempotencyKey);
  int64_t Issued = 0;
  if (absl::SimpleAtoi(Request.header("X-Key-Issued-Ms"), &Issued))
    Asked.IssuedMillis = Issued;
  ServiceAnswer Answer = ServicePath(this->Parts, Asked).run();
  if (Answer.Refused) {
    this->refuse(*Answer.Refused, Asked.Request, Reply);
    return;
  }
  Reply.Status = Answer.Status;
  Reply.Body = Answer.Body;
  if (Answer.IsReplay)
    Reply.Headers.push_back(HeaderLine{"X-Replayed", "yes"});
}

void CallerApi::entries(const HttpRequest &Request, HttpReply &Reply) const {
  std::string Near = Request.param("place");
  PlaceId Place =
      Near.empty() ? this->Parts.Context.Settings.Place : PlaceId(Near);
  Json::Value Body;
  Body["entries"] = Json::Value(Json::arrayValue);
  for (const EntryAddress &Each : this->Parts.Fleet.entries(Place)) {
    Json::Value Item;
    Item["host"] = Each.Host.text();
    Item["place"] = Each.Place.text();
    Item["address"] = Each.Address.text();
    Body["entries"].append(Item);
  }
  Body["ttl_ms"] = Json::Int64(
      absl::ToInt64Milliseconds(this->Parts.Context.Settings.EntriesTtl));
  Reply.Body = writeJson(Body);
}

void CallerApi::ready(HttpReply &Reply) const {
  Freshness View = this->Parts.Fleet.freshness();
  bool HasTable = !this->Parts.Config.view().State->Cells.empty();
  bool IsReady = View != Freshness::Isolated && HasTable;
  Json::Value Body;
  Body["ready"] = IsReady;
  Body["view"] = freshnessName(View);
  Body["has_table"] = HasTable;
  Reply.Status = IsReady ? 200 : 503;
  Reply.Body = writeJson(Body);
}

} // namespace berylramp::internal
