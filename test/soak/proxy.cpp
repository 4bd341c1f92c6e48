//===- proxy.cpp - A loopback proxy that harms connections ----------------===//

#include "proxy.h"

#include <boost/asio/write.hpp>

namespace berylramp::soak {

namespace {
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;
} // namespace

struct Proxy::Pair : std::enable_shared_from_this<Pair> {
  Pair(tcp::socket Caller, Proxy &Owner)
      : Caller(std::move(Caller)), Server(Owner.Loop), Owner(Owner) {}

  void pump(tcp::socket &From, tcp::socket &To, std::string &Buffer, Harm Cut) {
    auto Self = this->shared_from_this();
    From.async_read_some(
        boost::asio::buffer(Buffer),
        [Self, &From, &To, &Buffer, Cut](const ErrorCode &Error, size_t Count) {
          if (Error) {
            Self->end();
            return;
          }
          Self->pass(std::string(Buffer.data(), Count), To, Cut);
          Self->pump(From, To, Buffer, Cut);
        });
  }

  void pass(const std::string &Bytes, tcp::socket &To, Harm Cut) {
    Harm Mode = this->Owner.Mode;
    if (Mode == Harm::Silence || Mode == Cut) {
      this->Lost = true;
      return;
    }
    // What follows lost bytes never arrives before them: the connection ends.
    if (this->Lost) {
      this->reset();
      return;
    }
    if (Mode != Harm::Delay && this->Waiting == 0) {
      this->write(Bytes, To);
      return;
    }
    // What follows delayed bytes waits behind them.
    this->Waiting += 1;
    auto Self = this->shared_from_this();
    this->Owner.Timer.after(this->Owner.DelayTime, [Self, Bytes, &To] {
      Self->Waiting -= 1;
      Self->write(Bytes, To);
    });
  }

  void write(const std::string &Bytes, tcp::socket &To) {
    ErrorCode Error;
    boost::asio::write(To, boost::asio::buffer(Bytes), Error);
    if (Error)
      this->end();
  }

  void end() {
    auto Self = this->shared_from_this();
    ErrorCode Ignored;
    this->Caller.close(Ignored);
    this->Server.close(Ignored);
    this->Owner.Pairs.erase(Self);
  }

  void reset() {
    ErrorCode Ignored;
    for (tcp::socket *Each : {&this->Caller, &this->Server})
      if (Each->is_open())
        Each->set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    this->end();
  }

  tcp::socket Caller;
  tcp::socket Server;
  Proxy &Owner;
  std::string FromCaller = std::string(8192, '\0');
  std::string FromServer = std::string(8192, '\0');
  int Waiting = 0;
  /// Bytes were swallowed, in either direction.
  bool Lost = false;
};

Proxy::Proxy(boost::asio::io_context &Loop, LoopTimer &Timer, Endpoint Server)
    : Loop(Loop), Timer(Timer), Server(std::move(Server)), Acceptor(Loop) {}

void Proxy::listen() {
  this->Acceptor = tcp::acceptor(
      this->Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  this->accept();
}

Endpoint Proxy::address() const {
  return {"127.0.0.1", this->Acceptor.local_endpoint().port()};
}

void Proxy::accept() {
  std::weak_ptr<Proxy> Weak = this->weak_from_this();
  this->Acceptor.async_accept(
      [Weak](const ErrorCode &Error, tcp::socket Caller) {
        auto Self = Weak.lock();
        if (!Self || Error)
          return;
        auto Made = std::make_shared<Pair>(std::move(Caller), *Self);
        ErrorCode Failed;
        Made->Server.connect(
            tcp::endpoint(boost::asio::ip::make_address_v4(Self->Server.Ip),
                          static_cast<uint16_t>(Self->Server.Port)),
            Failed);
        if (!Failed) {
          Self->Pairs.insert(Made);
          Made->pump(Made->Caller, Made->Server, Made->FromCaller,
                     Harm::CutToServer);
          Made->pump(Made->Server, Made->Caller, Made->FromServer,
                     Harm::CutToCaller);
        }
        Self->accept();
      });
}

void Proxy::resetAll() {
  auto All = this->Pairs;
  for (const auto &Each : All)
    Each->reset();
}

} // namespace berylramp::soak
