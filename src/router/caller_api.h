//===- caller_api.h - HTTP API for callers ----------------------*- C++ -*-===//
//
// Validates each request, passes it to its request path, and writes the answer
// or the typed refusal.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_ROUTER_CALLER_API_H
#define BERYLRAMP_SRC_ROUTER_CALLER_API_H

#include "generation.h"
#include "service_call.h"

namespace berylramp::internal {

class CallerApi {
public:
  explicit CallerApi(RouterParts &Parts);
  void addRoutes(HttpServer &Server);

private:
  void chat(const HttpRequest &Request, HttpReply &Reply);
  void service(const HttpRequest &Request, HttpReply &Reply);
  void entries(const HttpRequest &Request, HttpReply &Reply) const;
  void ready(HttpReply &Reply) const;

  /// Looks up the workspace of the bearer key; false when no workspace has it.
  bool authenticate(const HttpRequest &Request, WorkspaceId &Workspace) const;
  std::optional<Refusal> parseChat(const HttpRequest &Request,
                                   ChatRequest &Chat) const;
  void replyComplete(Generation &Handler, const ChatRequest &Chat,
                     HttpReply &Reply);
  void replyStream(std::shared_ptr<Generation> Handler, const ChatRequest &Chat,
                   HttpReply &Reply);
  void addSession(const Generation &Handler, const ChatRequest &Chat,
                  const VersionKey &Version, HttpReply &Reply) const;
  void refuse(const Refusal &Reason, const RequestId &Request,
              HttpReply &Reply);
  void finishHeaders(HttpReply &Reply) const;
  RequestId requestIdOf(const HttpRequest &Request) const;

  RouterParts &Parts;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_CALLER_API_H
