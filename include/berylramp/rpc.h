//===- rpc.h - Calls between entry hosts ------------------------*- C++ -*-===//
//
// JSON-RPC encoded by libjsonrpccpp and sent over the HTTP adapters. Every
// request body is signed with a key of the fleet, so that calls from hosts
// outside the fleet are rejected.
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

/// Dispatches peer calls. All methods must be added before the first handle().
class PeerServer {
public:
  using Method =
      std::function<absl::StatusOr<Json::Value>(const Json::Value &Params)>;

  /// Accepts request bodies that are signed with any of \p Keys.
  explicit PeerServer(std::vector<std::string> Keys);
  ~PeerServer();

  void add(const std::string &Name, Method Handler);
  /// Handles one request body and returns the response body, or
  /// PermissionDenied if the signature is invalid.
  absl::StatusOr<std::string> handle(const std::string &Mac,
                                     const std::string &Body);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// Returns a peer port that signs with \p Key and sends through \p Transport.
/// \p OnTraffic receives the number of bytes sent and received by each call.
PeerPort makePeerPort(PeerTransport Transport, std::string Key,
                      std::function<void(size_t, size_t)> OnTraffic);

} // namespace berylramp

#endif // BERYLRAMP_RPC_H
