//===- codec.cpp - JSON-RPC codec, compiled as C++14 ----------------------===//
//
// Only the codec and the dispatcher of libjsonrpccpp are used. Its HTTP
// connectors bind all network interfaces and do not share connections between
// threads, so the HTTP adapters of this project transport the bodies.
//
//===----------------------------------------------------------------------===//

#include "codec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <map>

namespace berylramp {
namespace internal {

struct RpcDispatcher::Impl : public jsonrpc::IProcedureInvokationHandler {
  std::map<std::string, RpcMethod> Methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> Handler;

  Impl()
      : Handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void HandleMethodCall(jsonrpc::Procedure &Procedure, const Json::Value &Input,
                        Json::Value &Output) override {
    std::string Error;
    const RpcMethod &Method = this->Methods.at(Procedure.GetProcedureName());
    if (!Method(Input, Output, Error))
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                      Error);
  }

  void HandleNotificationCall(jsonrpc::Procedure &,
                              const Json::Value &) override {}
};

RpcDispatcher::RpcDispatcher() : State(new Impl) {}
RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::add(const std::string &Name, RpcMethod Method) {
  this->State->Methods[Name] = std::move(Method);
  this->State->Handler->AddProcedure(jsonrpc::Procedure(
      Name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
}

std::string RpcDispatcher::handle(const std::string &Body) {
  std::string Response;
  this->State->Handler->HandleRequest(Body, Response);
  return Response;
}

namespace {

class FunctionConnector : public jsonrpc::IClientConnector {
public:
  explicit FunctionConnector(const RpcTransport &Transport)
      : Transport(Transport) {}

  // The base class has a dynamic exception specification, which an override
  // must repeat.
  void SendRPCMessage(const std::string &Message, std::string &Result) throw(
      jsonrpc::JsonRpcException) override {
    if (!this->Transport(Message, Result))
      throw jsonrpc::JsonRpcException(
          jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
          "no response from the peer; check that it is running");
  }

private:
  const RpcTransport &Transport;
};

} // namespace

bool callRpc(const RpcTransport &Transport, const std::string &Method,
             const Json::Value &Params, Json::Value &Result,
             std::string &Error) {
  try {
    FunctionConnector Connector(Transport);
    jsonrpc::Client Client(Connector, jsonrpc::JSONRPC_CLIENT_V2);
    Client.CallMethod(Method, Params, Result);
    return true;
  } catch (const std::exception &Exception) {
    Error = Exception.what();
    return false;
  }
}

} // namespace internal
} // namespace berylramp
