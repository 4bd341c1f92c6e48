//===- peers.cpp - Signed calls between entry hosts -----------------------===//
//
// The signature covers the whole request body, so that a host outside the fleet
// can neither call a method nor obtain its result.
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
    : State(std::make_unique<Impl>()) {
  this->State->Keys = std::move(Keys);
}

PeerServer::~PeerServer() = default;

void PeerServer::add(const std::string &Name, Method Handler) {
  this->State->Dispatcher.add(
      Name,
      [Handler = std::move(Handler)](const Json::Value &Params,
                                     Json::Value &Result, std::string &Error) {
        absl::StatusOr<Json::Value> Response = Handler(Params);
        if (!Response.ok()) {
          Error = std::string(Response.status().message());
          return false;
        }
        Result = *std::move(Response);
        return true;
      });
}

absl::StatusOr<std::string> PeerServer::handle(const std::string &Mac,
                                               const std::string &Body) {
  if (!verifyKeyedDigest(this->State->Keys, Body, Mac))
    return absl::PermissionDeniedError(
        "the call is not signed with a peer key of this fleet; compare the "
        "setting peer_keys of both hosts");
  return this->State->Dispatcher.handle(Body);
}

PeerPort makePeerPort(PeerTransport Transport, std::string Key,
                      std::function<void(size_t, size_t)> OnTraffic) {
  PeerPort Port;
  Port.Call = [Transport = std::move(Transport), Key = std::move(Key),
               OnTraffic = std::move(OnTraffic)](
                  const Endpoint &Target, const std::string &Method,
                  const Json::Value &Params) -> absl::StatusOr<Json::Value> {
    internal::RpcTransport Send = [&](const std::string &Request,
                                      std::string &Response) {
      absl::StatusOr<std::string> TransportResult =
          Transport(Target, keyedDigest(Key, Request), Request);
      OnTraffic(Request.size(),
                TransportResult.ok() ? TransportResult->size() : 0);
      if (!TransportResult.ok())
        return false;
      Response = *std::move(TransportResult);
      return true;
    };
    Json::Value Result;
    std::string Error;
    if (!internal::callRpc(Send, Method, Params, Result, Error))
      return absl::UnavailableError("peer " + Target.text() + ": " + Error);
    return Result;
  };
  return Port;
}

} // namespace berylramp
