//===- admin_api.h - The API of operators -----------------------*- C++ -*-===//
//
// What berylramp-publish and berylramp-inspect ask a daemon: the table, an
// edit's standing, this host, a request's trace, and the end of a doubt.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_ADMIN_API_H
#define BERYLRAMP_SRC_ROUTER_ADMIN_API_H

#include "parts.h"

namespace berylramp::internal {

class AdminApi {
public:
  explicit AdminApi(RouterParts &Parts);
  void addRoutes(HttpServer &Server);

  /// The peer method by which another host finds a trace.
  absl::StatusOr<Json::Value> onFindTrace(const Json::Value &Params) const;

private:
  using Answerer = Json::Value (AdminApi::*)(const HttpRequest &Request,
                                             int &Status);
  void addGuarded(HttpServer &Server, const char *Method, const char *Path,
                  Answerer Answer);
  bool mayAdminister(const HttpRequest &Request) const;

  Json::Value table(const HttpRequest &Request, int &Status);
  Json::Value edit(const HttpRequest &Request, int &Status);
  Json::Value host(const HttpRequest &Request, int &Status);
  Json::Value members(const HttpRequest &Request, int &Status);
  Json::Value replicas(const HttpRequest &Request, int &Status);
  Json::Value request(const HttpRequest &Request, int &Status);
  Json::Value resolve(const HttpRequest &Request, int &Status);
  void metrics(HttpReply &Reply) const;

  RouterParts &Parts;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_ADMIN_API_H
