//===- peers.cpp - Signed calls between entry hosts -----------------------===//
//
// The signature covers the whole body; a host outside the fleet can neither
// read a method's answer nor make one run.
//
//===----------------------------------------------------------------------===//

#include "berylramp/rpc.h"
#include "berylramp/table.h"
#include "codec.h"

namespace berylramp {

struct PeerServer::Impl {
  std::vector<std::string> Keys;
  internal::RpcDispatcher Dispatcher;
};

PeerServer::PeerServer(std::vector<std::string> Keys)
    : Inner(std::make_unique<Impl>()) {
  this->Inner->Keys = std::move(Keys);
}

PeerServer::~PeerServer() = default;

void PeerServer::add(const std::string &Name, Method Call) {
  this->Inner->Dispatcher.add(
      Name, [Call = std::move(Call)](const Json::Value &Params,
                                     Json::Value &Result, std::string &Error) {
        absl::StatusOr<Json::Value> Answer = Call(Params);
        if (!Answer.ok()) {
          Error = std::string(Answer.status().message());
          return false;
        }
        Result = *std::move(Answer);
        return true;
      });
}

absl::StatusOr<std::string> PeerServer::answer(const std::string &Mac,
                                               const std::string &Body) {
  if (!verifyKeyedDigest(this->Inner->Keys, Body, Mac))
    return absl::PermissionDeniedError(
        "the call is not signed with this fleet's peer key; compare the "
        "setting peer_keys of both hosts");
  return this->Inner->Dispatcher.handle(Body);
}

PeerPort makePeerPort(PeerTransport Transport, std::string Key,
                      std::function<void(size_t, size_t)> OnTraffic) {
  PeerPort Port;
  Port.Call = [Transport = std::move(Transport), Key = std::move(Key),
               OnTraffic = std::move(OnTraffic)](
                  const Endpoint &To, const std::string &Method,
                  const Json::Value &Params) -> absl::StatusOr<Json::Value> {
    internal::RpcTransport Send = [&](const std::string &Request,
                                      std::string &Answer) {
      absl::StatusOr<std::string> Got =
          Transport(To, keyedDigest(Key, Request), Request);
      OnTraffic(Request.size(), Got.ok() ? Got->size() : 0);
      if (!Got.ok())
        return false;
      Answer = *std::move(Got);
      return true;
    };
    Json::Value Result;
    std::string Error;
    if (!internal::callRpc(Send, Method, Params, Result, Error))
      return absl::UnavailableError("peer " + To.text() + ": " + Error);
    return Result;
  };
  return Port;
}

} // namespace berylramp
