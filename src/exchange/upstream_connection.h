//===- upstream_connection.h - Connections to replicas ----------*- C++ -*-===//
//
// One request at a time on a connection. A connection is kept only after an
// answer that was framed, complete and followed by nothing.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_UPSTREAM_CONNECTION_H
#define BERYLRAMP_EXCHANGE_UPSTREAM_CONNECTION_H

#include "channel.h"
#include "http_parse.h"
#include <unordered_map>

namespace berylramp {

enum class ConnectionFault {
  /// Nothing was sent.
  NotConnected,
  /// Closed or reset before the end of the answer.
  Cut,
  /// Bytes that are no HTTP answer.
  Malformed
};

/// Hears the answer to one request.
class AnswerListener {
public:
  virtual ~AnswerListener() = default;
  virtual void onHead(const HttpHead &Head) = 0;
  virtual void onBody(std::string Part) = 0;
  virtual void onEnd() = 0;
  virtual void onFault(ConnectionFault Why) = 0;
};

class UpstreamConnection
    : public ChannelUser,
      public std::enable_shared_from_this<UpstreamConnection> {
public:
  UpstreamConnection(boost::asio::io_context &Loop, Endpoint To)
      : Wire(std::make_shared<Channel>(Loop)), To(std::move(To)) {}

  /// Sends one request; \p WithoutBody says that its answer has no body.
  void start(std::string Bytes, bool WithoutBody,
             std::weak_ptr<AnswerListener> Heard);
  /// Gives the answer up and closes.
  void cancel();
  bool hasUnread() const { return this->Wire->hasUnread(); }
  bool isConnected() const { return this->Connected; }
  /// False once any byte of the request was handed to the kernel.
  bool nothingSent() const { return !this->Wire->hasSent(); }
  /// Whether another request may follow on this connection.
  bool reusable() const {
    return this->Reusable && this->Wire->isOpen() && !this->Busy;
  }
  /// Seconds that the replica keeps the idle connection; 0 when not told.
  int keepSeconds() const { return this->KeepSeconds; }

  Instant IdleSince;

  void onConnected(bool Worked) override;
  void onBytes(absl::string_view Bytes) override;
  void onClosed(bool Orderly) override;

private:
  void deliver();
  void finish();
  void fail(ConnectionFault Why);

  std::shared_ptr<Channel> Wire;
  Endpoint To;
  std::unique_ptr<AnswerParser> Parser;
  std::weak_ptr<AnswerListener> Heard;
  std::string Buffer;
  bool Connected = false;
  bool Connecting = false;
  bool Busy = false;
  bool Reusable = false;
  bool HeadTold = false;
  int KeepSeconds = 0;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// Kept connections by replica.
class UpstreamPool {
public:
  explicit UpstreamPool(absl::Duration KeepIdle) : KeepIdle(KeepIdle) {}

  /// An idle connection to \p To, or null.
  UpstreamConnectionPtr take(const UpstreamId &To, Instant Now);
  void give(const UpstreamId &To, UpstreamConnectionPtr Which, Instant Now);
  void drop(const UpstreamId &To) { this->Idle.erase(To.text()); }
  void sweep(Instant Now);

private:
  bool fresh(const UpstreamConnection &Which, Instant Now) const;

  absl::Duration KeepIdle;
  std::unordered_map<std::string, std::vector<UpstreamConnectionPtr>> Idle;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_UPSTREAM_CONNECTION_H
