//===- tunnel.h - Connections to replicas over another host -----*- C++ -*-===//
//
// A host that lost its path to a replica asks another host to open a connection
// and to forward all bytes. Requests are decided, counted and answered by the
// host that received them; the other host knows only bytes. A tunnel always
// ends at a replica, so that tunnels form no loops.
//
// A replica's answer may end with its connection. The answer to the request for
// a tunnel therefore has a chunked body that holds the replica's bytes: its
// last chunk states that the replica closed the connection in order. Hosts of
// earlier versions neither ask for chunks nor send them.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_TUNNEL_H
#define BERYLRAMP_EXCHANGE_TUNNEL_H

#include "absl/status/status.h"
#include "berylramp/exchange.h"
#include "connection_limit.h"
#include "held_memory.h"
#include "http_parse.h"
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

/// Reads the bytes that a tunnel server sends to another host.
class TunnelReader {
public:
  TunnelReader();

  /// Parses \p Bytes; returns false if they are not valid.
  bool feed(absl::string_view Bytes);
  /// Nothing while the answer to the request for the tunnel is incomplete.
  std::optional<TunnelAnswer> answer() const;
  /// Returns the bytes of the replica received since the last call.
  std::string takeBytes() { return this->Parser.takeBody(); }
  /// Whether the replica closed its connection in order. Always false if the
  /// other host does not state it.
  bool replicaClosed() const { return this->Parser.done(); }

private:
  AnswerParser Parser;
  std::string Buffer;
};

using TunnelCallback = std::function<void(TunnelAnswer)>;

/// Callbacks of a tunnel server.
struct TunnelHooks {
  /// The replica with the hash, or nothing when it is unknown.
  std::function<std::optional<PathTarget>(uint64_t Replica)> Find;
  std::function<Endpoint(uint64_t Replica)> AddressOf;
  /// Whether the host stops and opens no more tunnels.
  std::function<bool()> RejectsNew;
  std::function<void(const PathTarget &)> OnReached;
  std::function<void(const PathTarget &, Instant Since, bool Hangs)>
      OnUnreached;
  /// Finds out what a refused connection to the replica shows.
  std::function<void(const PathTarget &, TunnelCallback)> ExplainRefusal;
  HeldMemoryPtr Memory;
  ConnectionLimitPtr Connections;
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
  /// Tunnels that the other hosts may still need.
  size_t busyTunnels() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_TUNNEL_H
