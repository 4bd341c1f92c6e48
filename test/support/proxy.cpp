//===- proxy.cpp - A fault-injecting loopback proxy -----------------------===//

#include "proxy.h"

#include <boost/asio/write.hpp>

namespace berylramp {

namespace {
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;
} // namespace

struct Proxy::Connection : std::enable_shared_from_this<Connection> {
  Connection(tcp::socket Caller, Proxy &Owner)
      : Caller(std::move(Caller)), Server(Owner.Loop), Owner(Owner) {}

  void pump(tcp::socket &From, tcp::socket &To, std::string &Buffer,
            FaultMode DropMode) {
    auto Self = this->shared_from_this();
    From.async_read_some(
        boost::asio::buffer(Buffer), [Self, &From, &To, &Buffer, DropMode](
                                         const ErrorCode &Error, size_t Count) {
          if (Error) {
            Self->closeBoth();
            return;
          }
          Self->forward(std::string(Buffer.data(), Count), To, DropMode);
          Self->pump(From, To, Buffer, DropMode);
        });
  }

  void forward(const std::string &Bytes, tcp::socket &To, FaultMode DropMode) {
    FaultMode Mode = this->Owner.Mode;
    if (Mode == FaultMode::DropAll || Mode == DropMode) {
      this->HasDroppedBytes = true;
      return;
    }
    // TCP never delivers bytes after a gap, so the connection is reset.
    if (this->HasDroppedBytes) {
      this->reset();
      return;
    }
    if (Mode != FaultMode::Delay && this->DelayedWrites == 0) {
      this->write(Bytes, To);
      return;
    }
    // Later bytes are queued behind delayed ones to keep the order.
    this->DelayedWrites += 1;
    auto Self = this->shared_from_this();
    this->Owner.Timer.after(this->Owner.DelayTime, [Self, Bytes, &To] {
      Self->DelayedWrites -= 1;
      Self->write(Bytes, To);
    });
  }

  void write(const std::string &Bytes, tcp::socket &To) {
    ErrorCode Error;
    boost::asio::write(To, boost::asio::buffer(Bytes), Error);
    if (Error)
      this->closeBoth();
  }

  void closeBoth() {
    auto Self = this->shared_from_this();
    ErrorCode Ignored;
    this->Caller.close(Ignored);
    this->Server.close(Ignored);
    this->Owner.Connections.erase(Self);
  }

  void reset() {
    ErrorCode Ignored;
    for (tcp::socket *Socket : {&this->Caller, &this->Server})
      if (Socket->is_open())
        Socket->set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    this->closeBoth();
  }

  tcp::socket Caller;
  tcp::socket Server;
  Proxy &Owner;
  std::string FromCaller = std::string(8192, '\0');
  std::string FromServer = std::string(8192, '\0');
  int DelayedWrites = 0;
  /// Whether bytes were discarded, in either direction.
  bool HasDroppedBytes = false;
};

Proxy::Proxy(boost::asio::io_context &Loop, LoopTimer &Timer, Endpoint Server)
    : Loop(Loop), Timer(Timer), Server(std::move(Server)), Reservation(Loop),
      Acceptor(Loop) {}

void Proxy::listen() {
  this->reservePort();
  this->listenOn(boost::asio::socket_base::max_listen_connections);
  this->accept();
}

void Proxy::reservePort() {
  this->Reservation.open(tcp::v4());
  this->Reservation.set_option(tcp::socket::reuse_address(true));
  this->Reservation.bind(
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  this->ListenAddress = this->Reservation.local_endpoint();
}

void Proxy::listenOn(int Backlog) {
  this->Acceptor = tcp::acceptor(this->Loop);
  this->Acceptor.open(tcp::v4());
  this->Acceptor.set_option(tcp::acceptor::reuse_address(true));
  this->Acceptor.bind(this->ListenAddress);
  this->Acceptor.listen(Backlog);
}

// The kernel drops the opening packets of connections for which the accept
// queue has no room.
void Proxy::setNewConnections(NewConnections Treatment) {
  this->Acceptor.close();
  this->Fillers.clear();
  if (Treatment == NewConnections::Refused)
    return;
  bool Hang = Treatment == NewConnections::Hang;
  this->listenOn(Hang ? 0 : boost::asio::socket_base::max_listen_connections);
  if (!Hang) {
    this->accept();
    return;
  }
  this->Fillers.emplace_back(this->Loop);
  this->Fillers.back().connect(this->ListenAddress);
}

Endpoint Proxy::address() const {
  return {"127.0.0.1", this->ListenAddress.port()};
}

void Proxy::accept() {
  std::weak_ptr<Proxy> Weak = this->weak_from_this();
  this->Acceptor.async_accept([Weak](const ErrorCode &Error,
                                     tcp::socket Caller) {
    auto Self = Weak.lock();
    if (!Self || Error)
      return;
    auto NewConnection = std::make_shared<Connection>(std::move(Caller), *Self);
    ErrorCode ConnectError;
    NewConnection->Server.connect(
        tcp::endpoint(boost::asio::ip::make_address_v4(Self->Server.Ip),
                      static_cast<uint16_t>(Self->Server.Port)),
        ConnectError);
    if (!ConnectError) {
      Self->Connections.insert(NewConnection);
      NewConnection->pump(NewConnection->Caller, NewConnection->Server,
                          NewConnection->FromCaller, FaultMode::DropToServer);
      NewConnection->pump(NewConnection->Server, NewConnection->Caller,
                          NewConnection->FromServer, FaultMode::DropToCaller);
    }
    Self->accept();
  });
}

void Proxy::resetAll() {
  auto OpenConnections = this->Connections;
  for (const auto &Open : OpenConnections)
    Open->reset();
}

} // namespace berylramp
