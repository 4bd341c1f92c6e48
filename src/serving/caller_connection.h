//===- caller_connection.h - One connection of a caller ---------*- C++ -*-===//
//
// Reads requests one after the other and writes their answers.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SERVING_CALLER_CONNECTION_H
#define BERYLRAMP_SERVING_CALLER_CONNECTION_H

#include "cancellable_timer.h"
#include "channel.h"
#include "connection_limit.h"
#include "http_parse.h"
#include <boost/asio/ip/tcp.hpp>

namespace berylramp {

/// One connection of a caller.
class CallerConnection : public ChannelListener,
                         public Responder,
                         public std::enable_shared_from_this<CallerConnection> {
public:
  struct ListenerHooks {
    std::function<CallerLimits()> Limits;
    std::function<bool()> Draining;
    std::function<void(std::shared_ptr<ChannelListener>)> RemoveConnection;
    RequestHandler Handler;
    std::function<void(HttpHead &, std::string &)> AddRefusalBody;
    HeldMemoryPtr Memory;
    ConnectionLimitPtr Connections;
    TimerService *Timer = nullptr;
  };

  CallerConnection(boost::asio::io_context &Loop,
                   boost::asio::ip::tcp::socket Socket, ListenerHooks Hooks)
      : Loop(Loop), Transport(std::make_shared<Channel>(std::move(Socket))),
        TimeoutTimer(Loop), Hooks(std::move(Hooks)),
        Output(this->Transport->countUnsent(this->Hooks.Memory,
                                            HeldKind::CallerOutput)),
        Slot(this->Hooks.Connections),
        Connection(this->Hooks.Memory, HeldKind::Connection),
        Input(this->Hooks.Memory, HeldKind::CallerInput) {}

  void start();
  void closeNow();
  bool isBusy() const;
  void identify(uint64_t Owner, const std::string &RequestId) override;
  void onBytes(absl::string_view Bytes) override;
  void onClosed(bool Orderly) override { this->onDisconnected(); }
  void sendWhole(const HttpHead &Head, const std::string &Body,
                 bool CloseAfter) override;
  void beginStream(const HttpHead &Head) override;
  void sendChunk(std::string Chunk) override;
  void endStream() override;
  void cutStream() override;
  void onDrained() override;
  void abort() override;
  void onCallerDisconnect(std::function<void()> Call) override;

private:
  std::string statusLine(const HttpHead &Head) const;
  bool shouldClose(bool Requested) const;
  bool admits(size_t Bytes) const;
  size_t maxUnsentBytes() const;
  /// Counts the memory of what was received and not released.
  void updateInput();
  void endSlowReader();
  /// Frees what was received.
  void releaseInput();
  /// Gives up what was received of a request, because the host holds too many
  /// bytes. The caller is told to come back; an idle connection is closed.
  void refuseInput();
  /// Answers a request whose body is not received.
  void refuseBody();
  void refuseHead();
  void awaitRequest();
  /// Whether what was received may be given up for want of memory.
  void setMayEnd(bool MayEnd);
  /// Parses what is left of earlier bytes, then \p Bytes.
  void parse(absl::string_view Bytes);
  ParseFault feed(absl::string_view Bytes);
  void startRequest(CallerRequest Request, bool MayKeepAlive);
  void rejectMalformed(ParseFault Fault);
  void rejectMethod();
  /// Answers what no handler sees, and closes.
  void refuse(HttpHead Head);
  void finish(bool Close);
  void takeNextRequest();
  void startTimeout(absl::Duration Timeout);
  void onTimeout();
  void onDisconnected();

  boost::asio::io_context &Loop;
  std::shared_ptr<Channel> Transport;
  CancellableTimer TimeoutTimer;
  ListenerHooks Hooks;
  HeldBytes &Output;
  ConnectionSlot Slot;
  HeldBytes Connection;
  HeldBytes Input;
  /// Memory of the request in progress.
  size_t ActiveBytes = 0;
  CallerLimits Limits;
  std::unique_ptr<RequestParser> Parser;
  std::string Buffer;
  std::function<void()> DisconnectHandler;
  bool RequestActive = false;
  bool KeepAlive = true;
  bool HeadOnly = false;
  bool ContinueHandled = false;
  bool CloseAfterStream = false;
  /// The caller knows answers in chunks.
  bool ReadsChunks = true;
  /// The last answer is a stream.
  bool IsStream = false;
  /// The next request waits until the caller has read earlier answers.
  bool AwaitsReader = false;
  /// Received bytes are dropped until the connection closes.
  bool Discards = false;
};

} // namespace berylramp

#endif // BERYLRAMP_SERVING_CALLER_CONNECTION_H
