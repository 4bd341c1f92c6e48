//===- codec.h - The JSON-RPC codec, as C++14 -------------------*- C++ -*-===//
//
// The headers of libjsonrpccpp 0.7 do not compile as C++17. This library is
// compiled as C++14 and shows none of their types.
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

/// Fills the result, or the error and returns false.
using RpcMethod = std::function<bool(const Json::Value &Params,
                                     Json::Value &Result, std::string &Error)>;
/// Sends a request body and fills the answer's body; false when none came.
using RpcTransport =
    std::function<bool(const std::string &Request, std::string &Answer)>;

/// Decodes requests, calls methods and encodes answers.
class RpcDispatcher {
public:
  RpcDispatcher();
  ~RpcDispatcher();
  void add(const std::string &Name, RpcMethod Method);
  std::string handle(const std::string &Body);

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

/// Encodes one call, sends it and decodes the answer; never throws.
bool callRpc(const RpcTransport &Transport, const std::string &Method,
             const Json::Value &Params, Json::Value &Result,
             std::string &Error);

} // namespace internal
} // namespace berylramp

#endif // BERYLRAMP_SRC_RPC_CODEC_H
