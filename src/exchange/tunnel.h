//===- tunnel.h - Connections to replicas over another host -----*- C++ -*-===//
//
// A host that lost its path to a replica asks another host to open a connection
// and to forward all bytes. Requests are decided, counted and answered by the
// host that received them; the other host knows only bytes. A tunnel always
// ends at a replica, so that tunnels form no loops.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_TUNNEL_H
#define BERYLRAMP_EXCHANGE_TUNNEL_H

#include "absl/status/status.h"
#include "berylramp/exchange.h"
#include "held_memory.h"
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <set>

namespace berylramp {

/// Answer to the request for a tunnel.
enum class TunnelAnswer {
  Connected,
  /// The replica's address refuses connections, while the answering host
  /// reaches others of the service.
  Refused,
  /// The same, but it reaches only replicas of other services.
  ServiceRefused,
  /// The connection was not opened in time.
  TimedOut,
  /// The answering host does not know the replica, lost its own path, or has no
  /// room.
  Unavailable
};

/// Maximum time in which a host answers a request for a tunnel.
inline constexpr absl::Duration MaxTunnelDelay = absl::Milliseconds(900);

std::string tunnelRequest(uint64_t Replica);
/// Removes a complete answer from the front of \p Buffer; nothing while it is
/// incomplete.
std::optional<TunnelAnswer> takeTunnelAnswer(std::string &Buffer);

using TunnelCallback = std::function<void(TunnelAnswer)>;

/// Callbacks of a tunnel server.
struct TunnelHooks {
  /// The replica with the hash, or nothing when it is unknown.
  std::function<std::optional<PathTarget>(uint64_t Replica)> Find;
  std::function<Endpoint(uint64_t Replica)> AddressOf;
  std::function<void(const PathTarget &)> OnReached;
  std::function<void(const PathTarget &, Instant Since, bool Hangs)>
      OnUnreached;
  /// Finds out what a refused connection to the replica shows.
  std::function<void(const PathTarget &, TunnelCallback)> ExplainRefusal;
  HeldMemoryPtr Memory;
};

/// Forwards bytes between other hosts and replicas.
class TunnelServer {
public:
  TunnelServer(boost::asio::io_context &Loop, TimerService &Timer,
               TunnelHooks Hooks);
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~TunnelServer();

  absl::Status listen(const Endpoint &ListenAddress);
  void close();
  size_t tunnels() const;
  /// Tunnels with a request whose answer is not complete, as far as the traffic
  /// shows.
  size_t busyTunnels() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_TUNNEL_H
