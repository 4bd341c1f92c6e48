//===- platform.h - Stand-in of the whole platform --------------*- C++ -*-===//
//
// Log, host list, rater, engines and plain services in one process, configured
// by one JSON description. POST /knobs changes state and injects faults
// at run time.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_TOOLS_STANDIN_PLATFORM_H
#define BERYLRAMP_SRC_TOOLS_STANDIN_PLATFORM_H

#include "engine.h"
#include "log_service.h"
#include <memory>
#include <vector>

namespace berylramp::standin {

/// A plain service that counts its executions by idempotency key.
class PlainService {
public:
  PlainService(std::string Name, ServiceId Service, PlaceId Place,
               Endpoint Address);

  absl::Status start();
  void stop();
  Json::Value hostListItem() const;
  void setKnobs(const Json::Value &Changes);
  std::map<std::string, int64_t> runs() const;

private:
  void handleCall(const HttpRequest &Request, HttpReply &Reply);

  std::string Name;
  ServiceId Service;
  PlaceId Place;
  Endpoint Address;
  HttpServer Server;
  mutable Mutex Lock;
  std::map<std::string, int64_t> Runs;
  /// Number of next calls whose answers are lost although they take effect.
  int AnswersToDrop = 0;
  absl::Duration Delay = absl::ZeroDuration();
};

class Platform {
public:
  explicit Platform(const Json::Value &Description);
  ~Platform();

  absl::Status start();
  void stop();
  Endpoint address() const { return this->Bound; }
  void setKnobs(const Json::Value &Changes);
  Engine *findEngine(const std::string &Name) const;
  std::map<std::string, int64_t> runs() const;
  void addEntry(const std::string &Name, const PlaceId &Place,
                const Endpoint &Address);

private:
  void addRoutes();
  void handleRate(const HttpRequest &Request, HttpReply &Reply);
  void handleHosts(HttpReply &Reply);
  void handleRuns(HttpReply &Reply) const;
  Json::Value currentHosts() const;

  HttpServer Server;
  Endpoint Listen;
  Endpoint Bound;
  LogService Log;
  std::vector<std::unique_ptr<Engine>> Engines;
  std::vector<std::unique_ptr<PlainService>> Services;

  mutable Mutex Lock;
  Json::Value Entries;
  absl::Duration HostListLag = absl::ZeroDuration();
  Json::Value LastHostList;
  absl::Time LastHostListAt = absl::InfinitePast();
  absl::Duration RaterDelay = absl::ZeroDuration();
  bool RaterDown = false;
  std::map<std::string, absl::Time> FirstRateRequestAt;
};

} // namespace berylramp::standin

#endif // BERYLRAMP_SRC_TOOLS_STANDIN_PLATFORM_H
