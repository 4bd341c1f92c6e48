//===- channel.h - One TCP connection on the loop ---------------*- C++ -*-===//
//
// Sends queued bytes and passes received bytes to a listener. A channel has no
// read buffer of its own, because a host has many idle connections and little
// memory.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SERVING_CHANNEL_H
#define BERYLRAMP_SERVING_CHANNEL_H

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "berylramp/units.h"
#include "held_memory.h"
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>

namespace berylramp {

/// Time without a received byte before a keep-alive probe, and the interval of
/// further ones.
inline constexpr absl::Duration KeepAliveIdle = absl::Seconds(1);
inline constexpr absl::Duration KeepAliveInterval = absl::Seconds(1);
/// Number of unanswered probes; the kernel disregards it beside UserTimeout.
inline constexpr int MaxLostProbes = 2;
/// Time without an acknowledgement, of data or of a probe, that ends a
/// connection.
inline constexpr absl::Duration UserTimeout = absl::Milliseconds(3500);

/// Bytes that the kernel takes beyond those that the peer's window allows. What
/// a slow reader leaves is thus counted here instead of in the kernel.
inline constexpr int MaxKernelUnsentBytes = 16 << 10;

/// Result of opening a connection.
enum class ConnectResult {
  Connected,
  /// The address refused or reset the connection.
  Refused,
  /// The kernel gave up, or the address is not valid.
  Failed
};

/// Receives the events of a channel.
class ChannelListener {
public:
  virtual ~ChannelListener() = default;
  virtual void onConnected(ConnectResult Result) {}
  virtual void onBytes(absl::string_view Bytes) = 0;
  /// The connection was closed: by the peer's orderly shutdown if \p Orderly,
  /// otherwise by a reset, a timeout or another error.
  virtual void onClosed(bool Orderly) = 0;
  /// All bytes were passed to the kernel after it had been unable to take more.
  virtual void onDrained() {}
};

class Channel : public std::enable_shared_from_this<Channel> {
public:
  explicit Channel(boost::asio::io_context &Loop) : Socket(Loop) {}
  explicit Channel(boost::asio::ip::tcp::socket Socket)
      : Socket(std::move(Socket)) {}

  void setListener(std::weak_ptr<ChannelListener> NewListener) {
    this->Listener = std::move(NewListener);
  }
  /// Counts unsent bytes as \p Kind; the result states whose they are and how
  /// the reader ends.
  HeldBytes &countUnsent(const HeldMemoryPtr &Memory, HeldKind Kind);
  /// Configures an accepted socket and starts reading.
  void startAccepted();
  void connect(const Endpoint &Remote);
  void send(std::string Bytes);
  /// Stops reading until resumeReading().
  void pauseReading() { this->Paused = true; }
  void resumeReading();
  /// Closes once all queued bytes are sent.
  void closeAfterSending();
  /// Turns any end of the open connection into a reset, the end of this process
  /// included, unless closeAfterSending() sent all bytes.
  void resetUnlessFinished();
  /// Drops the messages that are not begun and closes once the begun one is
  /// sent; resets the connection instead if much of that is unsent.
  void closeAfterMessage();
  /// Closes immediately. Unread or unsent bytes turn the close into a reset.
  void close();
  /// Closes immediately with a reset, so that the peer cannot mistake truncated
  /// data for complete data.
  void reset();

  /// Whether received bytes are still unread in the socket.
  bool hasUnread() const;
  bool isOpen() const { return this->Open; }
  size_t unsentBytes() const { return this->UnsentBytes; }
  /// True once any byte was passed to the kernel.
  bool hasSent() const { return this->Sent; }

private:
  void setResetOnClose(bool Enabled);
  void closeFinished();
  void configureSocket();
  void waitReadable();
  void readSome();
  void flush();
  void updateHeld();
  void fail(bool Orderly);

  boost::asio::ip::tcp::socket Socket;
  std::weak_ptr<ChannelListener> Listener;
  std::deque<std::string> Queue;
  size_t UnsentBytes = 0;
  /// Sent bytes of the first message in the queue.
  size_t FrontOffset = 0;
  std::unique_ptr<HeldBytes> Held;
  bool Open = false;
  bool Sent = false;
  bool Paused = false;
  bool Reading = false;
  bool Writing = false;
  bool CloseWhenFlushed = false;
  bool ResetUnlessFinished = false;
};

} // namespace berylramp

#endif // BERYLRAMP_SERVING_CHANNEL_H
