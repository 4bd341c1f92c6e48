//===- accept_loop.cpp - Accepts connections within a bound ---------------===//
//
// Accepting fails when the process has no descriptors left. Tried again at
// once, the loop would do nothing else.
//
//===----------------------------------------------------------------------===//

#include "accept_loop.h"

#include "absl/strings/str_cat.h"
#include "berylramp/json.h"
#include "berylramp/observe.h"
#include <utility>

namespace berylramp {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Time until the next attempt after a connection could not be accepted.
constexpr absl::Duration RetryDelay = absl::Milliseconds(100);

absl::Status openAcceptor(tcp::acceptor &Acceptor,
                          const Endpoint &ListenAddress, int Backlog) {
  ErrorCode Error;
  auto Fail = [&](const char *Operation) {
    return absl::UnavailableError(absl::StrCat(
        Operation, " ", ListenAddress.text(), " failed: ", Error.message(),
        "; free the address or correct it in the settings file"));
  };
  auto Address = boost::asio::ip::make_address_v4(ListenAddress.Ip, Error);
  if (Error)
    return Fail("reading the address");
  Acceptor.open(tcp::v4(), Error);
  if (Error)
    return Fail("opening a socket for");
  Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  Acceptor.bind(
      tcp::endpoint(Address, static_cast<uint16_t>(ListenAddress.Port)), Error);
  if (Error)
    return Fail("binding");
  Acceptor.listen(Backlog, Error);
  if (Error)
    return Fail("listening at");
  return absl::OkStatus();
}

} // namespace

absl::Status AcceptLoop::listen(const Endpoint &ListenAddress, int Backlog) {
  absl::Status Opened = openAcceptor(this->Acceptor, ListenAddress, Backlog);
  if (Opened.ok())
    this->accept();
  return Opened;
}

void AcceptLoop::close() {
  ErrorCode Ignored;
  this->Acceptor.close(Ignored);
  this->RetryTimer.cancel();
}

int AcceptLoop::port() const {
  ErrorCode Ignored;
  return this->Acceptor.local_endpoint(Ignored).port();
}

void AcceptLoop::accept() {
  this->Acceptor.async_accept([Self = this->shared_from_this()](
                                  const ErrorCode &Error, tcp::socket Socket) {
    if (!Self->Acceptor.is_open())
      return;
    if (Error) {
      Self->retryLater(Error);
      return;
    }
    // Without room, the socket is closed.
    if (Self->Limit == nullptr || Self->Limit->makeRoom())
      Self->OnAccepted(std::move(Socket));
    Self->accept();
  });
}

void AcceptLoop::retryLater(const ErrorCode &Error) {
  bool HasEnded = this->Limit != nullptr && this->Limit->endLongestWaiting();
  Json::Value Line(Json::objectValue);
  Line["error"] = Error.message();
  Line["ended_waiting"] = HasEnded;
  logEvent(LogLevel::Warn, "accept_failed", Line);
  this->RetryTimer.set(RetryDelay, [Weak = this->weak_from_this()] {
    auto Self = Weak.lock();
    if (Self && Self->Acceptor.is_open())
      Self->accept();
  });
}

} // namespace berylramp
