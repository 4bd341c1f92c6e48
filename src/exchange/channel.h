//===- channel.h - One TCP connection on the loop ---------------*- C++ -*-===//
//
// Sends queued bytes and hands over what arrives. A channel holds no read
// buffer of its own: idle connections are many and memory is small.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EXCHANGE_CHANNEL_H
#define BERYLRAMP_EXCHANGE_CHANNEL_H

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "berylramp/units.h"
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>

namespace berylramp {

/// Hears what happens on a channel.
class ChannelUser {
public:
  virtual ~ChannelUser() = default;
  virtual void onConnected(bool Worked) {}
  virtual void onBytes(absl::string_view Bytes) = 0;
  /// The other side closed: in order, or by a reset or time-out.
  virtual void onClosed(bool Orderly) = 0;
};

class Channel : public std::enable_shared_from_this<Channel> {
public:
  explicit Channel(boost::asio::io_context &Loop) : Socket(Loop) {}
  explicit Channel(boost::asio::ip::tcp::socket Socket)
      : Socket(std::move(Socket)) {}

  void setUser(std::weak_ptr<ChannelUser> Heard) {
    this->User = std::move(Heard);
  }
  /// Takes over an accepted socket and begins to read.
  void startAccepted();
  void connect(const Endpoint &To);
  void send(std::string Bytes);
  /// Stops reading until resumeReading().
  void pauseReading() { this->Paused = true; }
  void resumeReading();
  /// Closes after what was queued is sent.
  void closeAfterSending();
  /// Closes now. Unread or unsent bytes make it a reset.
  void close();
  /// Closes now with a reset, so that nothing looks complete.
  void reset();

  /// Whether bytes wait in the socket that were not read yet.
  bool hasUnread() const;
  bool isOpen() const { return this->Open; }
  size_t unsent() const { return this->Unsent; }
  /// True once any byte was handed to the kernel.
  bool hasSent() const { return this->Sent; }

private:
  void prepare();
  void waitReadable();
  void readSome();
  void flush();
  void fail(bool Orderly);

  boost::asio::ip::tcp::socket Socket;
  std::weak_ptr<ChannelUser> User;
  std::deque<std::string> Queue;
  size_t Unsent = 0;
  bool Open = false;
  bool Sent = false;
  bool Paused = false;
  bool Reading = false;
  bool Writing = false;
  bool Finishing = false;
};

} // namespace berylramp

#endif // BERYLRAMP_EXCHANGE_CHANNEL_H
