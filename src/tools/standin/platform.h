//===- platform.h - The stand-in platform as a whole ------------*- C++ -*-===//
//
// Log, host list, rater, engines and plain services in one process, from one
// JSON description. POST /knobs changes what goes wrong while it runs.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_STANDIN_PLATFORM_H
#define BERYLRAMP_SRC_TOOLS_STANDIN_PLATFORM_H

#include "engine.h"
#include "log_service.h"
#include <memory>
#include <vector>

namespace berylramp::standin {

/// A plain service that counts what it ran, by idempotency key.
class PlainService {
public:
  PlainService(std::string Name, ServiceId Service, PlaceId Place,
               Endpoint Address);

  absl::Status start();
  void stop();
  Json::Value listed() const;
  void setKnobs(const Json::Value &Knobs);
  std::map<std::string, int64_t> runs() const;

private:
  void serve(const HttpRequest &In, HttpReply &Out);

  std::string Name;
  ServiceId Service;
  PlaceId Place;
  Endpoint Address;
  HttpServer Server;
  mutable Mutex Lock;
  std::map<std::string, int64_t> Runs;
  /// The next answers lost after the call took effect.
  int LoseAnswers = 0;
  absl::Duration Delay = absl::ZeroDuration();
};

class Platform {
public:
  explicit Platform(const Json::Value &Description);
  ~Platform();

  absl::Status start();
  void stop();
  Endpoint address() const { return this->Bound; }
  void setKnobs(const Json::Value &Knobs);
  Engine *findEngine(const std::string &Name) const;
  std::map<std::string, int64_t> runs() const;
  void addEntry(const std::string &Name, const PlaceId &Place,
                const Endpoint &Address);

private:
  void addRoutes();
  void rate(const HttpRequest &In, HttpReply &Out);
  void listHosts(HttpReply &Out);
  void reportRuns(HttpReply &Out) const;
  Json::Value hostsNow() const;

  HttpServer Server;
  Endpoint Listen;
  Endpoint Bound;
  LogService Log;
  std::vector<std::unique_ptr<Engine>> Engines;
  std::vector<std::unique_ptr<PlainService>> Services;

  mutable Mutex Lock;
  Json::Value Entries;
  absl::Duration ListLag = absl::ZeroDuration();
  Json::Value LastList;
  absl::Time LastListAt = absl::InfinitePast();
  absl::Duration RaterLate = absl::ZeroDuration();
  bool RaterDown = false;
  std::map<std::string, absl::Time> RateAskedAt;
};

} // namespace berylramp::standin

#endif // BERYLRAMP_SRC_TOOLS_STANDIN_PLATFORM_H
