//===- caller_api.h - The API of callers ------------------------*- C++ -*-===//
//
// Checks the form of each request, hands it to its path, and writes the answer
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

  /// The workspace of the bearer key; false when no workspace has it.
  bool authenticate(const HttpRequest &Request, WorkspaceId &Out) const;
  std::optional<Refusal> readChat(const HttpRequest &Request,
                                  ChatRequest &Out) const;
  void replyWhole(Generation &Work, const ChatRequest &Asked, HttpReply &Reply);
  void replyStream(std::shared_ptr<Generation> Work, const ChatRequest &Asked,
                   HttpReply &Reply);
  void addSession(const Generation &Work, const ChatRequest &Asked,
                  const VersionKey &Version, HttpReply &Reply) const;
  void refuse(const Refusal &Why, const RequestId &Request, HttpReply &Reply);
  void finishHeaders(HttpReply &Reply) const;
  RequestId requestIdOf(const HttpRequest &Request) const;

  RouterParts &Parts;
};

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_ROUTER_CALLER_API_H
