//===- codec.h - JSON-RPC codec, compiled as C++14 --------------*- C++ -*-===//
//
// The headers of libjsonrpccpp 0.7 do not compile as C++17. This library is
// therefore compiled as C++14 and exposes none of their types.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_RPC_CODEC_H
#define BERYLRAMP_SRC_RPC_CODEC_H

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace berylramp {
namespace internal {

/// Sets the result and returns true, or sets the error and returns false.
using RpcMethod = std::function<bool(const Json::Value &Params,
                                     Json::Value &Result, std::string &Error)>;
/// Sends a request body and sets the response body. Returns false if there is
/// no response.
using RpcTransport =
    std::function<bool(const std::string &Request, std::string &Response)>;

/// Decodes requests, calls methods and encodes responses.
class RpcDispatcher {
public:
  RpcDispatcher();
  ~RpcDispatcher();
  void add(const std::string &Name, RpcMethod Method);
  std::string handle(const std::string &Body);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// Encodes one call, sends it and decodes the response. Returns false and sets
/// \p Error on failure; does not throw exceptions derived from std::exception.
bool callRpc(const RpcTransport &Transport, const std::string &Method,
             const Json::Value &Params, Json::Value &Result,
             std::string &Error);

} // namespace internal
} // namespace berylramp

#endif // BERYLRAMP_SRC_RPC_CODEC_H
