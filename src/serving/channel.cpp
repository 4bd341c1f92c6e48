//===- channel.cpp - One TCP connection on the loop -----------------------===//
//
// A read waits until the socket is readable and then uses one buffer per
// thread, because all channels of a loop run on one thread. A write is
// attempted immediately and waits only if the kernel's send buffer is full.
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

constexpr size_t ReadBufferBytes = 16384;
void setOption(int Descriptor, int Level, int Name, int Value) {
  // Best effort: without the option, the deadline still ends the request.
  (void)setsockopt(Descriptor, Level, Name, &Value, sizeof(Value));
}

ConnectResult resultOf(const ErrorCode &Failure) {
  bool Refused = Failure == boost::asio::error::connection_refused ||
                 Failure == boost::asio::error::connection_reset;
  return Refused ? ConnectResult::Refused : ConnectResult::Failed;
}

} // namespace

void Channel::configureSocket() {
  ErrorCode Ignored;
  this->Socket.non_blocking(true, Ignored);
  this->Socket.set_option(tcp::no_delay(true), Ignored);
  int Descriptor = this->Socket.native_handle();
  setOption(Descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, MaxKernelUnsentBytes);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(absl::ToInt64Seconds(KeepAliveIdle)));
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL,
            static_cast<int>(absl::ToInt64Seconds(KeepAliveInterval)));
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, MaxLostProbes);
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(absl::ToInt64Milliseconds(UserTimeout)));
}

HeldBytes &Channel::countUnsent(const HeldMemoryPtr &Memory, HeldKind Kind) {
  this->Held = std::make_unique<HeldBytes>(Memory, Kind);
  return *this->Held;
}

void Channel::updateHeld() {
  if (this->Held == nullptr)
    return;
  size_t Count =
      this->UnsentBytes == 0
          ? 0
          : this->UnsentBytes + this->FrontOffset + MaxKernelUnsentBytes;
  this->Held->set(static_cast<int64_t>(Count));
}

void Channel::startAccepted() {
  this->configureSocket();
  this->Open = true;
  this->waitReadable();
}

void Channel::connect(const Endpoint &Remote) {
  ErrorCode Error;
  auto Address = boost::asio::ip::make_address_v4(Remote.Ip, Error);
  if (!Error)
    this->Socket.open(tcp::v4(), Error);
  auto Self = this->shared_from_this();
  auto Done = [Self](const ErrorCode &Failure) {
    std::shared_ptr<ChannelListener> Receiver = Self->Listener.lock();
    if (Failure || !Self->Socket.is_open()) {
      Self->close();
      if (Receiver)
        Receiver->onConnected(resultOf(Failure));
      return;
    }
    Self->Open = true;
    if (Receiver)
      Receiver->onConnected(ConnectResult::Connected);
    Self->flush();
    Self->updateHeld();
    Self->waitReadable();
  };
  if (Error) {
    boost::asio::post(this->Socket.get_executor(),
                      [Done, Error] { Done(Error); });
    return;
  }
  this->configureSocket();
  this->Socket.async_connect(
      tcp::endpoint(Address, static_cast<uint16_t>(Remote.Port)), Done);
}

void Channel::send(std::string Bytes) {
  if (Bytes.empty())
    return;
  this->UnsentBytes += Bytes.size();
  this->Queue.push_back(std::move(Bytes));
  if (this->Open && !this->Writing)
    this->flush();
  this->updateHeld();
}

void Channel::flush() {
  while (this->Open && !this->Queue.empty()) {
    const std::string &Front = this->Queue.front();
    ErrorCode Error;
    size_t Written = this->Socket.write_some(
        boost::asio::buffer(Front.data() + this->FrontOffset,
                            Front.size() - this->FrontOffset),
        Error);
    this->Sent = this->Sent || Written > 0;
    this->UnsentBytes -= Written;
    if (Error == boost::asio::error::would_block) {
      this->Writing = true;
      auto Self = this->shared_from_this();
      this->Socket.async_wait(
          tcp::socket::wait_write, [Self](const ErrorCode &Failure) {
            Self->Writing = false;
            if (Failure)
              return;
            Self->flush();
            Self->updateHeld();
            auto Receiver = Self->Listener.lock();
            if (Receiver && Self->Open && Self->Queue.empty())
              Receiver->onDrained();
          });
      return;
    }
    if (Error) {
      this->fail(false);
      return;
    }
    this->FrontOffset += Written;
    if (this->FrontOffset == Front.size()) {
      this->Queue.pop_front();
      this->FrontOffset = 0;
    }
  }
  if (this->Open && this->CloseWhenFlushed && this->Queue.empty())
    this->closeFinished();
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
  static thread_local std::array<char, ReadBufferBytes> Bytes;
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
  if (std::shared_ptr<ChannelListener> Receiver = this->Listener.lock())
    Receiver->onBytes(absl::string_view(Bytes.data(), Count));
  this->waitReadable();
}

void Channel::resumeReading() {
  this->Paused = false;
  this->waitReadable();
}

void Channel::closeAfterSending() {
  this->CloseWhenFlushed = true;
  if (this->Open && this->Queue.empty())
    this->closeFinished();
}

void Channel::closeFinished() {
  if (this->ResetUnlessFinished)
    this->setResetOnClose(false);
  this->close();
}

void Channel::resetUnlessFinished() {
  this->ResetUnlessFinished = true;
  this->setResetOnClose(true);
}

void Channel::setResetOnClose(bool Enabled) {
  ErrorCode Ignored;
  this->Socket.set_option(boost::asio::socket_base::linger(Enabled, 0),
                          Ignored);
}

void Channel::closeAfterMessage() {
  size_t Rest = this->FrontOffset == 0
                    ? 0
                    : this->Queue.front().size() - this->FrontOffset;
  if (Rest > MaxKernelUnsentBytes) {
    this->reset();
    return;
  }
  this->Queue.resize(Rest > 0 ? 1 : 0);
  this->UnsentBytes = Rest;
  this->updateHeld();
  this->pauseReading();
  this->closeAfterSending();
}

void Channel::fail(bool Orderly) {
  auto Self = this->shared_from_this();
  this->close();
  if (std::shared_ptr<ChannelListener> Receiver = this->Listener.lock())
    Receiver->onClosed(Orderly);
}

void Channel::close() {
  this->Open = false;
  ErrorCode Ignored;
  this->Socket.close(Ignored);
  this->Queue.clear();
  this->UnsentBytes = 0;
  this->FrontOffset = 0;
  this->updateHeld();
}

void Channel::reset() {
  if (this->Socket.is_open())
    this->setResetOnClose(true);
  this->close();
}

} // namespace berylramp
