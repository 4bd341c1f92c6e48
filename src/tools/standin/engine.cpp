//===- engine.cpp - Stand-in of a model engine ----------------------------===//
//
// A request waits for a slot in order of priority, pays for the prompt tokens
// that the prefix cache lacks, and then gives a token at a time. A good answer
// has the word "sound" in it and a bad one the word "poor", which the rater
// reads.
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
constexpr const char *KindMark = "kind=";
/// How much slower an engine is per token beyond its cache's size.
constexpr double ThrashFactor = 3.0;

std::string kindIn(const std::string &Prompt) {
  size_t At = Prompt.find(KindMark);
  if (At == std::string::npos)
    return "";
  size_t Start = At + std::string(KindMark).size();
  return Prompt.substr(Start, Prompt.find(' ', Start) - Start);
}

Json::Value chunkJson(const std::string &Id, const std::string &Version) {
  Json::Value Out;
  Out["id"] = "chatcmpl-" + Id;
  Out["object"] = "chat.completion.chunk";
  Out["model"] = Version;
  return Out;
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
  this->Server.route(
      "POST", "/v1/chat/completions",
      [this](const HttpRequest &In, HttpReply &Out) { this->chat(In, Out); });
  this->Server.route(
      "GET", "/load",
      [this](const HttpRequest &, HttpReply &Out) { this->load(Out); });
  this->Server.route(
      "POST", "/orders",
      [this](const HttpRequest &In, HttpReply &Out) { this->order(In, Out); });
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
  MutexLock Hold(&this->Lock);
  return this->Knobs.Leaving;
}

std::map<std::string, int64_t> Engine::begun() const {
  MutexLock Hold(&this->Lock);
  return this->Begun;
}

void Engine::setKnobs(const Json::Value &In) {
  MutexLock Hold(&this->Lock);
  EngineKnobs &Out = this->Knobs;
  Out.Leaving = boolAt(In, "leaving", Out.Leaving);
  Out.RefusesLeaving = boolAt(In, "refuses_leaving", Out.RefusesLeaving);
  Out.CutNext = static_cast<int>(intAt(In, "cut_next", Out.CutNext));
  Out.CrossNext = static_cast<int>(intAt(In, "cross_next", Out.CrossNext));
  Out.Slowdown = numberAt(In, "slowdown", Out.Slowdown);
  Out.ChecksFence = boolAt(In, "checks_fence", Out.ChecksFence);
  if (!memberAt(In, "extra_ms").isNull())
    Out.ExtraDelay = absl::Milliseconds(intAt(In, "extra_ms"));
  if (!memberAt(In, "report_lag_ms").isNull())
    Out.ReportLag = absl::Milliseconds(intAt(In, "report_lag_ms"));
  const Json::Value &Shares = memberAt(In, "shares");
  if (!Shares.isObject())
    return;
  for (const std::string &Version : Shares.getMemberNames()) {
    auto Found = this->Model.Versions.find(Version);
    if (Found != this->Model.Versions.end())
      Found->second.Shares = {{"", Shares[Version].asDouble()}};
  }
}

bool Engine::readOrder(const Json::Value &Body, Order &Out) {
  Out.Version = textAt(Body, "model");
  Out.Id = textAt(Body, "request_id");
  Out.Priority = static_cast<int>(intAt(Body, "priority"));
  Out.ResumeFrom = intAt(Body, "resume_from");
  const Json::Value &Messages = arrayAt(Body, "messages");
  MutexLock Hold(&this->Lock);
  auto Found = this->Model.Versions.find(Out.Version);
  if (Found == this->Model.Versions.end() || Messages.empty())
    return false;
  int64_t Bytes = 0;
  for (const Json::Value &Item : Messages)
    Bytes += static_cast<int64_t>(textAt(Item, "content").size());
  std::string First = textAt(Messages[0U], "content");
  Out.Prompt = textAt(Messages[Messages.size() - 1], "content");
  Out.PromptTokens = 1 + Bytes / BytesPerToken;
  Out.Prefix = static_cast<int64_t>(stableHash(First) >> 1);
  Out.PrefixTokens = static_cast<int64_t>(First.size()) / BytesPerToken;
  int64_t Most = std::max<int64_t>(1, intAt(Body, "max_tokens", 64));
  Out.AnswerTokens =
      std::max<int64_t>(1, static_cast<int64_t>(static_cast<double>(Most) *
                                                Found->second.LengthShare));
  Out.IsGood = isGoodAnswer(Found->second, Out.Version, Out.Prompt);
  Out.TokenTime = Found->second.TokenTime;
  Out.IsCut = this->Knobs.CutNext > 0;
  this->Knobs.CutNext -= Out.IsCut ? 1 : 0;
  if (this->Knobs.CrossNext > 0) {
    --this->Knobs.CrossNext;
    Out.Id = "of-somebody-else";
  }
  ++this->Begun[Out.Version];
  return true;
}

void Engine::chat(const HttpRequest &In, HttpReply &Out) {
  absl::SleepFor(this->Model.LinkDelay);
  {
    MutexLock Hold(&this->Lock);
    if (this->Knobs.Leaving && this->Knobs.RefusesLeaving) {
      Out.Status = StatusUnavailable;
      return;
    }
  }
  absl::StatusOr<Json::Value> Body = parseJson(In.Body);
  Order Which;
  if (!Body.ok() || !this->readOrder(*Body, Which)) {
    Out.Status = StatusBadRequest;
    return;
  }
  Out.ContentType = "text/event-stream";
  Out.Stream = [this, Which](const HttpWriter &Write) {
    this->takeSlot(Which);
    bool Whole = this->produce(Which, Write);
    this->giveSlot(Which);
    return Whole;
  };
}

void Engine::takeSlot(const Order &Which) {
  MutexLock Hold(&this->Lock);
  auto Mine = this->WaitingPriorities.insert(Which.Priority);
  auto MyTurn = [&] {
    bool Highest = *this->WaitingPriorities.rbegin() <= Which.Priority;
    return this->Running < this->Model.Slots && Highest;
  };
  this->Lock.await(MyTurn);
  this->WaitingPriorities.erase(Mine);
  ++this->Running;
  this->RunningTokens += Which.PromptTokens + Which.AnswerTokens;
}

void Engine::giveSlot(const Order &Which) {
  MutexLock Hold(&this->Lock);
  --this->Running;
  this->RunningTokens -= Which.PromptTokens + Which.AnswerTokens;
}

int64_t Engine::missingPrompt(const Order &Which) {
  MutexLock Hold(&this->Lock);
  if (this->Cached.count(Which.Prefix) != 0)
    return std::max<int64_t>(1, Which.PromptTokens - Which.PrefixTokens);
  this->Cached[Which.Prefix] = Which.PrefixTokens;
  this->CacheOrder.push_back(Which.Prefix);
  this->CachedTokens += Which.PrefixTokens;
  while (this->CachedTokens + this->RunningTokens > this->Model.CacheTokens &&
         !this->CacheOrder.empty()) {
    this->CachedTokens -= this->Cached[this->CacheOrder.front()];
    this->Cached.erase(this->CacheOrder.front());
    this->CacheOrder.pop_front();
  }
  return Which.PromptTokens;
}

double Engine::pace() const {
  MutexLock Hold(&this->Lock);
  double Over = static_cast<double>(this->RunningTokens) /
                    static_cast<double>(this->Model.CacheTokens) -
                1;
  return this->Knobs.Slowdown * (1 + ThrashFactor * std::max(0.0, Over));
}

bool Engine::produce(const Order &Which, const HttpWriter &Write) {
  absl::Duration Extra;
  {
    MutexLock Hold(&this->Lock);
    Extra = this->Knobs.ExtraDelay;
  }
  int64_t Missing = this->missingPrompt(Which);
  absl::SleepFor(Extra + this->Model.LinkDelay +
                 this->pace() * (this->Model.FirstTokenTime +
                                 this->Model.PromptTokenTime * Missing));
  for (int64_t I = Which.ResumeFrom; I < Which.AnswerTokens; ++I) {
    if (Which.IsCut && I - Which.ResumeFrom >= TokensBeforeCut)
      return false;
    Json::Value Chunk = chunkJson(Which.Id, Which.Version);
    Json::Value Choice;
    Choice["delta"]["content"] = tokenText(Which.IsGood, I);
    Chunk["choices"].append(Choice);
    if (!Write("data: " + writeJson(Chunk) + "\n\n"))
      return false;
    if (I + 1 < Which.AnswerTokens)
      absl::SleepFor(this->pace() * Which.TokenTime);
  }
  Json::Value Last = chunkJson(Which.Id, Which.Version);
  Last["choices"] = Json::Value(Json::arrayValue);
  Last["usage"]["prompt_tokens"] = Json::Int64(Which.PromptTokens);
  Last["usage"]["completion_tokens"] = Json::Int64(Which.AnswerTokens);
  return Write("data: " + writeJson(Last) + "\n\ndata: [DONE]\n\n");
}

Json::Value Engine::reportNow() const {
  Json::Value Out;
  Out["running"] = this->Running;
  Out["waiting"] = static_cast<int>(this->WaitingPriorities.size());
  Out["slots"] = this->Model.Slots;
  Out["cache_used"] = Json::Int64(this->RunningTokens);
  Out["cache_size"] = Json::Int64(this->Model.CacheTokens);
  Out["leaving"] = this->Knobs.Leaving;
  Out["versions"] = Json::Value(Json::arrayValue);
  for (const auto &[Version, Behaviour] : this->Model.Versions)
    Out["versions"].append(Version);
  return Out;
}

void Engine::load(HttpReply &Out) {
  MutexLock Hold(&this->Lock);
  if (absl::Now() - this->LastReportAt >= this->Knobs.ReportLag) {
    this->LastReport = this->reportNow();
    this->LastReportAt = absl::Now();
  }
  Out.Body = writeJson(this->LastReport);
}

void Engine::order(const HttpRequest &In, HttpReply &Out) {
  absl::StatusOr<Json::Value> Body = parseJson(In.Body);
  if (!Body.ok()) {
    Out.Status = StatusBadRequest;
    return;
  }
  MutexLock Hold(&this->Lock);
  int64_t Fence = intAt(*Body, "fence", -1);
  if (this->Knobs.ChecksFence && Fence < this->HighestFence) {
    Out.Status = StatusConflict;
    return;
  }
  this->HighestFence = std::max(this->HighestFence, Fence);
  std::string Version = textAt(*Body, "load");
  if (!Version.empty())
    this->Model.Versions[Version] = VersionModel{};
  this->Model.Versions.erase(textAt(*Body, "unload"));
  Out.Body = "{\"taken\":true}";
}

} // namespace berylramp::standin
