//===- rpc.h - Calls between entry hosts ------------------------*- C++ -*-===//
//
// JSON-RPC by libjsonrpccpp, carried by the HTTP adapters. Every body is signed
// with the fleet's key, so that only hosts of this fleet are listened to.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_RPC_H
#define BERYLRAMP_RPC_H

#include "absl/status/statusor.h"
#include "berylramp/http.h"
#include "berylramp/ports.h"
#include <functional>
#include <json/value.h>
#include <memory>
#include <string>
#include <vector>

namespace berylramp {

/// Answers peer calls. Add methods before the first answer().
class PeerServer {
public:
  using Method =
      std::function<absl::StatusOr<Json::Value>(const Json::Value &Params)>;

  /// \p Keys are the fleet's keys; a body signed with any of them is taken.
  explicit PeerServer(std::vector<std::string> Keys);
  ~PeerServer();

  void add(const std::string &Name, Method Call);
  /// Answers one request body; an error when its signature is wrong.
  absl::StatusOr<std::string> answer(const std::string &Mac,
                                     const std::string &Body);

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

/// A peer port that signs with \p Key and sends through \p Transport.
/// \p OnTraffic hears the bytes sent and received by each call.
PeerPort makePeerPort(PeerTransport Transport, std::string Key,
                      std::function<void(size_t, size_t)> OnTraffic);

} // namespace berylramp

#endif // BERYLRAMP_RPC_H
