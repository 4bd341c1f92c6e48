//===- engine.h - Stand-in of a model engine --------------------*- C++ -*-===//
//
// Serves the chat-completions form with a set number of slots, a prefix cache
// of bounded size and a pace that slows when the cache is full. Whether an
// answer is good follows from the prompt and the version alone, so that runs
// can be repeated and compared.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_STANDIN_ENGINE_H
#define BERYLRAMP_SRC_TOOLS_STANDIN_ENGINE_H

#include "absl/time/time.h"
#include "berylramp/http.h"
#include "berylramp/sync.h"
#include <deque>
#include <json/value.h>
#include <map>
#include <set>
#include <string>

namespace berylramp::standin {

/// Limits of all servers of the stand-in.
inline HttpServerLimits standinLimits() {
  HttpServerLimits Out;
  Out.MaxConnections = 4096;
  Out.KeepAliveTimeout = absl::Seconds(1);
  return Out;
}

/// How one version behaves on an engine.
struct VersionModel {
  /// The share of good answers, by request kind; "" stands for all others.
  std::map<std::string, double> Shares;
  absl::Duration TokenTime = absl::Milliseconds(2);
  /// The share of max_tokens that answers use.
  double LengthShare = 0.5;
};

struct EngineModel {
  std::string Name;
  PlaceId Place;
  Endpoint Address;
  int Slots = 16;
  absl::Duration FirstTokenTime = absl::Milliseconds(5);
  absl::Duration PromptTokenTime = absl::Microseconds(20);
  int64_t CacheTokens = 20000;
  /// One way, between callers of this engine and it.
  absl::Duration LinkDelay = absl::ZeroDuration();
  std::map<std::string, VersionModel> Versions;
};

/// What can be made to go wrong while the engine runs.
struct EngineKnobs {
  bool Leaving = false;
  bool RefusesLeaving = false;
  /// The next answers that are cut after a few tokens.
  int CutNext = 0;
  /// The next answers that carry another request's id.
  int CrossNext = 0;
  absl::Duration ExtraDelay = absl::ZeroDuration();
  double Slowdown = 1;
  absl::Duration ReportLag = absl::ZeroDuration();
  bool ChecksFence = true;
};

class Engine {
public:
  explicit Engine(EngineModel Model);
  ~Engine();

  /// Starts to serve; the address is the bound one from then on.
  absl::Status start();
  void stop();
  const EngineModel &model() const { return this->Model; }
  bool isLeaving() const;
  void setKnobs(const Json::Value &Knobs);
  /// How many answers each version has begun.
  std::map<std::string, int64_t> begun() const;

private:
  struct Order {
    std::string Version;
    std::string Id;
    std::string Prompt;
    int64_t PromptTokens = 0;
    int64_t Prefix = 0;
    int64_t AnswerTokens = 0;
    int64_t ResumeFrom = 0;
    int64_t PrefixTokens = 0;
    int Priority = 0;
    bool IsGood = true;
    bool IsCut = false;
    absl::Duration TokenTime;
  };

  void chat(const HttpRequest &In, HttpReply &Out);
  void load(HttpReply &Out);
  void order(const HttpRequest &In, HttpReply &Out);
  bool readOrder(const Json::Value &Body, Order &Out);
  bool produce(const Order &Which, const HttpWriter &Write);
  void takeSlot(const Order &Which);
  void giveSlot(const Order &Which);
  /// The prompt tokens that are not in the cache; puts them there.
  int64_t missingPrompt(const Order &Which);
  double pace() const;
  Json::Value reportNow() const;

  EngineModel Model;
  HttpServer Server;

  mutable Mutex Lock;
  EngineKnobs Knobs;
  int Running = 0;
  std::multiset<int> WaitingPriorities;
  int64_t RunningTokens = 0;
  std::map<int64_t, int64_t> Cached;
  std::deque<int64_t> CacheOrder;
  int64_t CachedTokens = 0;
  std::map<std::string, int64_t> Begun;
  int64_t HighestFence = -1;
  Json::Value LastReport;
  absl::Time LastReportAt = absl::InfinitePast();
};

/// True when a version's answer to a prompt is good; the same on every call.
bool isGoodAnswer(const VersionModel &Model, const std::string &Version,
                  const std::string &Prompt);

} // namespace berylramp::standin

#endif // BERYLRAMP_SRC_TOOLS_STANDIN_ENGINE_H
