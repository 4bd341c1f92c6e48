//===- engine.cpp - Stand-in of a model engine ----------------------------===//
//
// A request waits for a slot in order of priority, spends prefill time on the
// prompt tokens that are not in the prefix cache, and then streams its answer
// token by token. A good answer contains the word "sound" and a bad one the
// word "poor"; the rater derives its score from them.
//
//===----------------------------------------------------------------------===//

#include "engine.h"

#include "berylramp/json.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include <algorithm>

namespace berylramp::standin {

namespace {

constexpr int StatusUnavailable = 503;
constexpr int StatusBadRequest = 400;
constexpr int StatusConflict = 409;
constexpr int64_t BytesPerToken = 4;
constexpr int64_t TokensBeforeCut = 3;
constexpr uint64_t DrawRange = 100000;
constexpr const char *KindMarker = "kind=";
/// Slowdown for each multiple of the cache size by which the running requests
/// exceed it.
constexpr double ThrashFactor = 3.0;

std::string kindIn(const std::string &Prompt) {
  size_t Marker = Prompt.find(KindMarker);
  if (Marker == std::string::npos)
    return "";
  size_t Start = Marker + std::string(KindMarker).size();
  return Prompt.substr(Start, Prompt.find(' ', Start) - Start);
}

Json::Value chunkJson(const std::string &Id, const std::string &Version) {
  Json::Value Chunk;
  Chunk["id"] = "chatcmpl-" + Id;
  Chunk["object"] = "chat.completion.chunk";
  Chunk["model"] = Version;
  return Chunk;
}

std::string tokenText(bool IsGood, int64_t Number) {
  if (Number == 0)
    return IsGood ? "sound " : "poor ";
  return absl::StrCat("w", Number, " ");
}

} // namespace

bool isGoodAnswer(const VersionModel &Model, const std::string &Version,
                  const std::string &Prompt) {
  auto Found = Model.Shares.find(kindIn(Prompt));
  if (Found == Model.Shares.end())
    Found = Model.Shares.find("");
  double Share = Found == Model.Shares.end() ? 1 : Found->second;
  uint64_t Draw = stableHash(Version + "\x1f" + Prompt) % DrawRange;
  return static_cast<double>(Draw) < Share * static_cast<double>(DrawRange);
}

Engine::Engine(EngineModel Model)
    : Model(std::move(Model)), Server(standinLimits()) {
  this->Server.route("POST", "/v1/chat/completions",
                     [this](const HttpRequest &Request, HttpReply &Reply) {
                       this->handleChat(Request, Reply);
                     });
  this->Server.route("GET", "/load",
                     [this](const HttpRequest &, HttpReply &Reply) {
                       this->handleLoad(Reply);
                     });
  this->Server.route("POST", "/orders",
                     [this](const HttpRequest &Request, HttpReply &Reply) {
                       this->handleOrder(Request, Reply);
                     });
}

Engine::~Engine() { this->stop(); }

absl::Status Engine::start() {
  absl::StatusOr<Endpoint> Bound = this->Server.start(this->Model.Address);
  if (!Bound.ok())
    return Bound.status();
  this->Model.Address = *Bound;
  return absl::OkStatus();
}

void Engine::stop() { this->Server.stop(); }

bool Engine::isLeaving() const {
  MutexLock Guard(&this->Lock);
  return this->Knobs.Leaving;
}

std::map<std::string, int64_t> Engine::startedAnswers() const {
  MutexLock Guard(&this->Lock);
  return this->StartedAnswers;
}

void Engine::setKnobs(const Json::Value &Changes) {
  MutexLock Guard(&this->Lock);
  EngineKnobs &Updated = this->Knobs;
  Updated.Leaving = boolAt(Changes, "leaving", Updated.Leaving);
  Updated.RefusesWhenLeaving =
      boolAt(Changes, "refuses_leaving", Updated.RefusesWhenLeaving);
  Updated.AnswersToCut =
      static_cast<int>(intAt(Changes, "cut_next", Updated.AnswersToCut));
  Updated.AnswersToMisaddress = static_cast<int>(
      intAt(Changes, "cross_next", Updated.AnswersToMisaddress));
  Updated.Slowdown = numberAt(Changes, "slowdown", Updated.Slowdown);
  Updated.ChecksFence = boolAt(Changes, "checks_fence", Updated.ChecksFence);
  if (!memberAt(Changes, "extra_ms").isNull())
    Updated.ExtraDelay = absl::Milliseconds(intAt(Changes, "extra_ms"));
  if (!memberAt(Changes, "report_lag_ms").isNull())
    Updated.ReportLag = absl::Milliseconds(intAt(Changes, "report_lag_ms"));
  const Json::Value &Shares = memberAt(Changes, "shares");
  if (!Shares.isObject())
    return;
  for (const std::string &Version : Shares.getMemberNames()) {
    auto Found = this->Model.Versions.find(Version);
    if (Found != this->Model.Versions.end())
      Found->second.Shares = {{"", Shares[Version].asDouble()}};
  }
}

bool Engine::decodeChatRequest(const Json::Value &Body, ChatRequest &Chat) {
  Chat.Version = textAt(Body, "model");
  Chat.Id = textAt(Body, "request_id");
  Chat.Priority = static_cast<int>(intAt(Body, "priority"));
  Chat.ResumeFrom = intAt(Body, "resume_from");
  const Json::Value &Messages = arrayAt(Body, "messages");
  MutexLock Guard(&this->Lock);
  auto Found = this->Model.Versions.find(Chat.Version);
  if (Found == this->Model.Versions.end() || Messages.empty())
    return false;
  int64_t Bytes = 0;
  for (const Json::Value &Item : Messages)
    Bytes += static_cast<int64_t>(textAt(Item, "content").size());
  std::string First = textAt(Messages[0U], "content");
  Chat.Prompt = textAt(Messages[Messages.size() - 1], "content");
  Chat.PromptTokens = 1 + Bytes / BytesPerToken;
  Chat.Prefix = static_cast<int64_t>(stableHash(First) >> 1);
  Chat.PrefixTokens = static_cast<int64_t>(First.size()) / BytesPerToken;
  int64_t MaxTokens = std::max<int64_t>(1, intAt(Body, "max_tokens", 64));
  Chat.AnswerTokens =
      std::max<int64_t>(1, static_cast<int64_t>(static_cast<double>(MaxTokens) *
                                                Found->second.LengthShare));
  Chat.IsGood = isGoodAnswer(Found->second, Chat.Version, Chat.Prompt);
  Chat.TokenTime = Found->second.TokenTime;
  Chat.IsCut = this->Knobs.AnswersToCut > 0;
  this->Knobs.AnswersToCut -= Chat.IsCut ? 1 : 0;
  if (this->Knobs.AnswersToMisaddress > 0) {
    --this->Knobs.AnswersToMisaddress;
    Chat.Id = "of-somebody-else";
  }
  ++this->StartedAnswers[Chat.Version];
  return true;
}

void Engine::handleChat(const HttpRequest &Request, HttpReply &Reply) {
  absl::SleepFor(this->Model.LinkDelay);
  {
    MutexLock Guard(&this->Lock);
    if (this->Knobs.Leaving && this->Knobs.RefusesWhenLeaving) {
      Reply.Status = StatusUnavailable;
      return;
    }
  }
  absl::StatusOr<Json::Value> Body = parseJson(Request.Body);
  ChatRequest Chat;
  if (!Body.ok() || !this->decodeChatRequest(*Body, Chat)) {
    Reply.Status = StatusBadRequest;
    return;
  }
  Reply.ContentType = "text/event-stream";
  Reply.Stream = [this, Chat](const HttpWriter &Write) {
    this->acquireSlot(Chat);
    bool IsComplete = this->streamAnswer(Chat, Write);
    this->releaseSlot(Chat);
    return IsComplete;
  };
}

void Engine::acquireSlot(const ChatRequest &Chat) {
  MutexLock Guard(&this->Lock);
  auto Position = this->WaitingPriorities.insert(Chat.Priority);
  auto CanRun = [&] {
    bool IsHighest = *this->WaitingPriorities.rbegin() <= Chat.Priority;
    return this->Running < this->Model.Slots && IsHighest;
  };
  this->Lock.await(CanRun);
  this->WaitingPriorities.erase(Position);
  ++this->Running;
  this->RunningTokens += Chat.PromptTokens + Chat.AnswerTokens;
}

void Engine::releaseSlot(const ChatRequest &Chat) {
  MutexLock Guard(&this->Lock);
  --this->Running;
  this->RunningTokens -= Chat.PromptTokens + Chat.AnswerTokens;
}

int64_t Engine::cachePrefix(const ChatRequest &Chat) {
  MutexLock Guard(&this->Lock);
  if (this->Cached.count(Chat.Prefix) != 0)
    return std::max<int64_t>(1, Chat.PromptTokens - Chat.PrefixTokens);
  this->Cached[Chat.Prefix] = Chat.PrefixTokens;
  this->InsertionOrder.push_back(Chat.Prefix);
  this->CachedTokens += Chat.PrefixTokens;
  while (this->CachedTokens + this->RunningTokens > this->Model.CacheTokens &&
         !this->InsertionOrder.empty()) {
    this->CachedTokens -= this->Cached[this->InsertionOrder.front()];
    this->Cached.erase(this->InsertionOrder.front());
    this->InsertionOrder.pop_front();
  }
  return Chat.PromptTokens;
}

double Engine::slowdownFactor() const {
  MutexLock Guard(&this->Lock);
  double Excess = static_cast<double>(this->RunningTokens) /
                      static_cast<double>(this->Model.CacheTokens) -
                  1;
  return this->Knobs.Slowdown * (1 + ThrashFactor * std::max(0.0, Excess));
}

bool Engine::streamAnswer(const ChatRequest &Chat, const HttpWriter &Write) {
  absl::Duration Extra;
  {
    MutexLock Guard(&this->Lock);
    Extra = this->Knobs.ExtraDelay;
  }
  int64_t Missing = this->cachePrefix(Chat);
  absl::SleepFor(
      Extra + this->Model.LinkDelay +
      this->slowdownFactor() *
          (this->Model.FirstTokenTime + this->Model.PromptTokenTime * Missing));
  for (int64_t I = Chat.ResumeFrom; I < Chat.AnswerTokens; ++I) {
    if (Chat.IsCut && I - Chat.ResumeFrom >= TokensBeforeCut)
      return false;
    Json::Value Chunk = chunkJson(Chat.Id, Chat.Version);
    Json::Value Choice;
    Choice["delta"]["content"] = tokenText(Chat.IsGood, I);
    Chunk["choices"].append(Choice);
    if (!Write("data: " + writeJson(Chunk) + "\n\n"))
      return false;
    if (I + 1 < Chat.AnswerTokens)
      absl::SleepFor(this->slowdownFactor() * Chat.TokenTime);
  }
  Json::Value Last = chunkJson(Chat.Id, Chat.Version);
  Last["choices"] = Json::Value(Json::arrayValue);
  Last["usage"]["prompt_tokens"] = Json::Int64(Chat.PromptTokens);
  Last["usage"]["completion_tokens"] = Json::Int64(Chat.AnswerTokens);
  return Write("data: " + writeJson(Last) + "\n\ndata: [DONE]\n\n");
}

Json::Value Engine::currentLoad() const {
  Json::Value Load;
  Load["running"] = this->Running;
  Load["waiting"] = static_cast<int>(this->WaitingPriorities.size());
  Load["slots"] = this->Model.Slots;
  Load["cache_used"] = Json::Int64(this->RunningTokens);
  Load["cache_size"] = Json::Int64(this->Model.CacheTokens);
  Load["leaving"] = this->Knobs.Leaving;
  Load["versions"] = Json::Value(Json::arrayValue);
  for (const auto &[Version, Behaviour] : this->Model.Versions)
    Load["versions"].append(Version);
  return Load;
}

void Engine::handleLoad(HttpReply &Reply) {
  MutexLock Guard(&this->Lock);
  if (absl::Now() - this->LastLoadAt >= this->Knobs.ReportLag) {
    this->LastLoad = this->currentLoad();
    this->LastLoadAt = absl::Now();
  }
  Reply.Body = writeJson(this->LastLoad);
}

void Engine::handleOrder(const HttpRequest &Request, HttpReply &Reply) {
  absl::StatusOr<Json::Value> Body = parseJson(Request.Body);
  if (!Body.ok()) {
    Reply.Status = StatusBadRequest;
    return;
  }
  MutexLock Guard(&this->Lock);
  int64_t Fence = intAt(*Body, "fence", -1);
  if (this->Knobs.ChecksFence && Fence < this->HighestFence) {
    Reply.Status = StatusConflict;
    return;
  }
  this->HighestFence = std::max(this->HighestFence, Fence);
  std::string Version = textAt(*Body, "load");
  if (!Version.empty())
    this->Model.Versions[Version] = VersionModel{};
  this->Model.Versions.erase(textAt(*Body, "unload"));
  Reply.Body = "{\"taken\":true}";
}

} // namespace berylramp::standin
