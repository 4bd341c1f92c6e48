//===- upstream_connection.h - Connections to replicas ----------*- C++ -*-===//
//
// The receiver of an answer limits the length of its body. A connection carries
// one request at a time. It is reused only after a
// complete keep-alive answer that was not followed by further bytes.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_UPSTREAM_CONNECTION_H
#define BERYLRAMP_EXCHANGE_UPSTREAM_CONNECTION_H

#include "berylramp/exchange.h"
#include "channel.h"
#include "tunnel.h"
#include <unordered_map>

namespace berylramp {

enum class ConnectionFault {
  /// The replica's address refused the connection; nothing was sent.
  Refused,
  /// No connection for another reason; nothing was sent.
  NotConnected,
  /// The host over which the replica should be reached could not help; nothing
  /// was sent.
  PeerUnavailable,
  /// The replica closed its connection in order before the end of the answer.
  Cut,
  /// Reset, given up by the kernel, or broken by the host in between.
  Reset,
  /// The received bytes are not a valid HTTP answer.
  Malformed,
  /// Given up because the replica read the request too slowly.
  Abandoned
};

/// The name of \p Fault in logs.
const char *connectionFaultName(ConnectionFault Fault);

/// Whether the request may have reached the replica.
inline bool mayHaveArrived(ConnectionFault Fault) {
  return Fault == ConnectionFault::Cut || Fault == ConnectionFault::Reset ||
         Fault == ConnectionFault::Malformed ||
         Fault == ConnectionFault::Abandoned;
}

/// Receives the answer to one request.
class AnswerListener {
public:
  virtual ~AnswerListener() = default;
  /// A connection to the replica was opened.
  virtual void onConnected() {}
  virtual void onHead(const HttpHead &Head) = 0;
  virtual void onBody(std::string Chunk) = 0;
  virtual void onEnd() = 0;
  virtual void onFault(ConnectionFault Fault) = 0;
};

class UpstreamConnection
    : public ChannelListener,
      public std::enable_shared_from_this<UpstreamConnection> {
public:
  UpstreamConnection(boost::asio::io_context &Loop, Endpoint Remote)
      : Transport(std::make_shared<Channel>(Loop)), Remote(std::move(Remote)) {}
  /// A connection to the replica with the hash \p Replica over the host whose
  /// tunnel server listens at \p Peer.
  UpstreamConnection(boost::asio::io_context &Loop, Endpoint Peer,
                     uint64_t Replica)
      : Transport(std::make_shared<Channel>(Loop)), Remote(std::move(Peer)),
        TunnelTo(Replica), Tunnel(std::make_unique<TunnelReader>()) {}

  /// Counts the bytes of a request of \p Owner that the replica has not read,
  /// and those of the header of its answer.
  void countBytes(const HeldMemoryPtr &Memory, uint64_t Owner,
                  const std::string &RequestId);
  /// Sends one request; \p WithoutBody states that its answer has no body.
  void start(std::string Bytes, bool WithoutBody,
             std::weak_ptr<AnswerListener> NewListener);
  /// Abandons the answer and closes the connection.
  void cancel();
  bool hasUnread() const { return this->Transport->hasUnread(); }
  bool isConnected() const { return this->Connected; }
  /// Whether the connection carried a request before the current one.
  bool isReused() const { return this->StartedRequests > 1; }
  bool isTunnel() const { return this->TunnelTo.has_value(); }
  /// The replica, or for a tunnel the host over which it leads.
  const Endpoint &remote() const { return this->Remote; }
  /// False once any byte was passed to the kernel.
  bool nothingSent() const { return !this->Transport->hasSent(); }
  /// Whether the connection may carry another request.
  bool reusable() const {
    return this->Reusable && this->Transport->isOpen() && !this->Busy;
  }
  /// Idle timeout that the replica announced in seconds; 0 if it announced
  /// none.
  int keepAliveSeconds() const { return this->KeepAliveSeconds; }

  Instant IdleSince;

  void onConnected(ConnectResult Result) override;
  void onBytes(absl::string_view Bytes) override;
  void onClosed(bool Orderly) override;

private:
  void onEstablished();
  void readTunnelAnswer();
  void readAnswer();
  /// Counts an incomplete header; false if there is no memory for it.
  bool holdHead();
  void releaseHead();
  void logHeadWithoutRoom() const;
  void onReplicaClosed();
  void deliver();
  void finish();
  void fail(ConnectionFault Fault);

  std::shared_ptr<Channel> Transport;
  Endpoint Remote;
  std::optional<uint64_t> TunnelTo;
  /// Set for tunnels.
  std::unique_ptr<TunnelReader> Tunnel;
  /// The request, until a tunnel is established.
  std::string Unsent;
  std::unique_ptr<HeldBytes> HeldUnsent;
  std::unique_ptr<AnswerParser> Parser;
  std::weak_ptr<AnswerListener> Listener;
  std::string Buffer;
  HeldMemoryPtr Memory;
  std::unique_ptr<HeldBytes> HeldHead;
  bool Connected = false;
  bool Connecting = false;
  bool Busy = false;
  bool Reusable = false;
  bool HeadDelivered = false;
  int64_t StartedRequests = 0;
  int KeepAliveSeconds = 0;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// Pool of idle connections by replica.
class UpstreamPool {
public:
  explicit UpstreamPool(absl::Duration MaxIdleTime)
      : MaxIdleTime(MaxIdleTime) {}

  /// Returns an idle connection to \p ReplicaId, or null. Closes those that
  /// take another path than \p OverPeer states.
  UpstreamConnectionPtr acquire(const UpstreamId &ReplicaId, bool OverPeer,
                                Instant Now);
  void release(const UpstreamId &ReplicaId, UpstreamConnectionPtr Connection,
               Instant Now);
  void removeReplica(const UpstreamId &ReplicaId) {
    this->Idle.erase(ReplicaId.text());
  }
  void closeExpired(Instant Now);
  /// Closes idle tunnels over the hosts that \p IsLeaving names.
  void closeTunnelsOver(const std::function<bool(const Endpoint &)> &IsLeaving);

private:
  void
  closeIdle(const std::function<bool(const UpstreamConnection &)> &Matches);
  bool isFresh(const UpstreamConnection &Connection, Instant Now) const;

  absl::Duration MaxIdleTime;
  std::unordered_map<std::string, std::vector<UpstreamConnectionPtr>> Idle;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_UPSTREAM_CONNECTION_H
