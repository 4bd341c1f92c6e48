//===- channel.cpp - One TCP connection on the loop -----------------------===//
//
// Reads wait for readiness and then use one buffer of the process, as all
// channels run on one loop. Writes are tried at once and wait only when the
// kernel takes no more.
//
//===----------------------------------------------------------------------===//

#include "channel.h"

#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace berylramp {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr size_t ReadBytes = 16384;
/// Idle seconds before the first keep-alive probe, seconds between probes and
/// probes without reply that end a connection: a peer that lost power or was
/// cut off is noticed within four seconds.
constexpr int ProbeAfter = 2;
constexpr int ProbeEvery = 1;
constexpr int ProbesLost = 2;
/// Milliseconds that sent bytes may stay unacknowledged.
constexpr unsigned int UserTimeoutMs = 3000;

void setOption(int Handle, int Level, int Name, int Value) {
  // Best effort: without the option the request's own deadline still ends it.
  (void)setsockopt(Handle, Level, Name, &Value, sizeof(Value));
}

} // namespace

void Channel::prepare() {
  ErrorCode Ignored;
  this->Socket.non_blocking(true, Ignored);
  this->Socket.set_option(tcp::no_delay(true), Ignored);
  int Handle = this->Socket.native_handle();
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, ProbeAfter);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, ProbeEvery);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, ProbesLost);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(UserTimeoutMs));
}

void Channel::startAccepted() {
  this->prepare();
  this->Open = true;
  this->waitReadable();
}

void Channel::connect(const Endpoint &To) {
  ErrorCode Error;
  auto Address = boost::asio::ip::make_address_v4(To.Ip, Error);
  if (!Error)
    this->Socket.open(tcp::v4(), Error);
  auto Self = this->shared_from_this();
  auto Done = [Self](const ErrorCode &Failure) {
    std::shared_ptr<ChannelUser> Heard = Self->User.lock();
    if (Failure || !Self->Socket.is_open()) {
      Self->close();
      if (Heard)
        Heard->onConnected(false);
      return;
    }
    Self->Open = true;
    if (Heard)
      Heard->onConnected(true);
    Self->flush();
    Self->waitReadable();
  };
  if (Error) {
    boost::asio::post(this->Socket.get_executor(),
                      [Done, Error] { Done(Error); });
    return;
  }
  this->prepare();
  this->Socket.async_connect(
      tcp::endpoint(Address, static_cast<uint16_t>(To.Port)), Done);
}

void Channel::send(std::string Bytes) {
  if (Bytes.empty())
    return;
  this->Unsent += Bytes.size();
  this->Queue.push_back(std::move(Bytes));
  if (this->Open && !this->Writing)
    this->flush();
}

void Channel::flush() {
  while (this->Open && !this->Queue.empty()) {
    std::string &Front = this->Queue.front();
    ErrorCode Error;
    size_t Taken = this->Socket.write_some(boost::asio::buffer(Front), Error);
    this->Sent = this->Sent || Taken > 0;
    this->Unsent -= Taken;
    if (Error == boost::asio::error::would_block) {
      this->Writing = true;
      auto Self = this->shared_from_this();
      this->Socket.async_wait(tcp::socket::wait_write,
                              [Self](const ErrorCode &Failure) {
                                Self->Writing = false;
                                if (!Failure)
                                  Self->flush();
                              });
      return;
    }
    if (Error) {
      this->fail(false);
      return;
    }
    if (Taken == Front.size())
      this->Queue.pop_front();
    else
      Front.erase(0, Taken);
  }
  if (this->Open && this->Finishing && this->Queue.empty())
    this->close();
}

bool Channel::hasUnread() const {
  ErrorCode Error;
  size_t Count = this->Open ? this->Socket.available(Error) : 0;
  return !Error && Count > 0;
}

void Channel::waitReadable() {
  if (!this->Open || this->Reading || this->Paused)
    return;
  this->Reading = true;
  auto Self = this->shared_from_this();
  this->Socket.async_wait(tcp::socket::wait_read,
                          [Self](const ErrorCode &Failure) {
                            Self->Reading = false;
                            if (!Failure && Self->Open && !Self->Paused)
                              Self->readSome();
                          });
}

void Channel::readSome() {
  static std::array<char, ReadBytes> Bytes;
  ErrorCode Error;
  size_t Count = this->Socket.read_some(boost::asio::buffer(Bytes), Error);
  if (Error == boost::asio::error::would_block) {
    this->waitReadable();
    return;
  }
  if (Error) {
    this->fail(Error == boost::asio::error::eof);
    return;
  }
  if (std::shared_ptr<ChannelUser> Heard = this->User.lock())
    Heard->onBytes(absl::string_view(Bytes.data(), Count));
  this->waitReadable();
}

void Channel::resumeReading() {
  this->Paused = false;
  this->waitReadable();
}

void Channel::closeAfterSending() {
  this->Finishing = true;
  if (this->Open && this->Queue.empty())
    this->close();
}

void Channel::fail(bool Orderly) {
  auto Self = this->shared_from_this();
  this->close();
  if (std::shared_ptr<ChannelUser> Heard = this->User.lock())
    Heard->onClosed(Orderly);
}

void Channel::close() {
  this->Open = false;
  ErrorCode Ignored;
  this->Socket.close(Ignored);
  this->Queue.clear();
  this->Unsent = 0;
}

void Channel::reset() {
  ErrorCode Ignored;
  if (this->Socket.is_open())
    this->Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  this->close();
}

} // namespace berylramp
