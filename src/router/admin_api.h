//===- admin_api.h - HTTP API for operators ---------------------*- C++ -*-===//
//
// Serves berylramp-publish and berylramp-inspect: the table, the status of an
// edit, the state of this host, the members, the replicas, the trace of a
// request, and the resolution of a request with an unknown outcome.
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

  /// Handles the peer method with which another host looks up a trace.
  absl::StatusOr<Json::Value> onFindTrace(const Json::Value &Params) const;

private:
  using Handler = Json::Value (AdminApi::*)(const HttpRequest &Request,
                                            int &Status);
  void addAuthorizedRoute(HttpServer &Server, const char *Method,
                          const char *Path, Handler Respond);
  bool isAuthorized(const HttpRequest &Request) const;

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
