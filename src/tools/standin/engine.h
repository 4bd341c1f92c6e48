//===- engine.h - Stand-in of a model engine --------------------*- C++ -*-===//
//
// Serves the chat-completions API with a fixed number of slots, a prefix cache
// of bounded size and a token rate that drops when the running requests exceed
// the cache. Whether an answer is good depends only on the prompt and the
// version, so that runs are reproducible and comparable.
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

/// Limits of all HTTP servers of the stand-in.
inline HttpServerLimits standinLimits() {
  HttpServerLimits Limits;
  Limits.MaxConnections = 4096;
  Limits.KeepAliveTimeout = absl::Seconds(1);
  return Limits;
}

/// Behaviour of one version on an engine.
struct VersionModel {
  /// Share of good answers by request kind; "" is the default of all others.
  std::map<std::string, double> Shares;
  absl::Duration TokenTime = absl::Milliseconds(2);
  /// Length of an answer as a share of max_tokens.
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
  /// One-way network delay between this engine and its callers.
  absl::Duration LinkDelay = absl::ZeroDuration();
  std::map<std::string, VersionModel> Versions;
};

/// State and injected faults that can be changed while the engine runs.
struct EngineKnobs {
  bool Leaving = false;
  bool RefusesWhenLeaving = false;
  /// Number of next answers that are cut after a few tokens.
  int AnswersToCut = 0;
  /// Number of next answers that carry the id of another request.
  int AnswersToMisaddress = 0;
  absl::Duration ExtraDelay = absl::ZeroDuration();
  double Slowdown = 1;
  absl::Duration ReportLag = absl::ZeroDuration();
  bool ChecksFence = true;
};

class Engine {
public:
  explicit Engine(EngineModel Model);
  ~Engine();

  /// Starts to serve. From then on, model().Address is the bound address.
  absl::Status start();
  void stop();
  const EngineModel &model() const { return this->Model; }
  bool isLeaving() const;
  void setKnobs(const Json::Value &Changes);
  /// Returns the number of answers started, by version.
  std::map<std::string, int64_t> startedAnswers() const;

private:
  struct ChatRequest {
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

  void handleChat(const HttpRequest &Request, HttpReply &Reply);
  void handleLoad(HttpReply &Reply);
  void handleOrder(const HttpRequest &Request, HttpReply &Reply);
  bool decodeChatRequest(const Json::Value &Body, ChatRequest &Chat);
  bool streamAnswer(const ChatRequest &Chat, const HttpWriter &Write);
  void acquireSlot(const ChatRequest &Chat);
  void releaseSlot(const ChatRequest &Chat);
  /// Puts the prefix of the prompt into the cache and evicts the oldest
  /// prefixes beyond its size. Returns the number of prompt tokens that were
  /// not cached.
  int64_t cachePrefix(const ChatRequest &Chat);
  double slowdownFactor() const;
  Json::Value currentLoad() const;

  EngineModel Model;
  HttpServer Server;

  mutable Mutex Lock;
  EngineKnobs Knobs;
  int Running = 0;
  std::multiset<int> WaitingPriorities;
  int64_t RunningTokens = 0;
  std::map<int64_t, int64_t> Cached;
  std::deque<int64_t> InsertionOrder;
  int64_t CachedTokens = 0;
  std::map<std::string, int64_t> StartedAnswers;
  int64_t HighestFence = -1;
  Json::Value LastLoad;
  absl::Time LastLoadAt = absl::InfinitePast();
};

/// Returns whether a version's answer to a prompt is good. Deterministic.
bool isGoodAnswer(const VersionModel &Model, const std::string &Version,
                  const std::string &Prompt);

} // namespace berylramp::standin

#endif // BERYLRAMP_SRC_TOOLS_STANDIN_ENGINE_H
