//===- connection_check.cpp - Opens and closes a connection ---------------===//

#include "connection_check.h"

#include "cancellable_timer.h"
#include "channel.h"

namespace berylramp {

namespace {

/// Its timer keeps it alive until it has reported its result.
class ConnectionCheck : public ChannelListener,
                        public std::enable_shared_from_this<ConnectionCheck> {
public:
  ConnectionCheck(boost::asio::io_context &Loop,
                  std::optional<uint64_t> Replica, TunnelCallback Done)
      : Replica(Replica), Done(std::move(Done)),
        Transport(std::make_shared<Channel>(Loop)), Timer(Loop) {}

  void start(const Endpoint &Remote, absl::Duration Timeout) {
    this->Timer.set(Timeout, [Late = this->shared_from_this()] {
      Late->report(Late->Replica ? TunnelAnswer::Unavailable
                                 : TunnelAnswer::TimedOut);
    });
    this->Transport->setListener(this->weak_from_this());
    if (this->Replica)
      this->Transport->send(tunnelRequest(*this->Replica));
    this->Transport->connect(Remote);
  }

  void onConnected(ConnectResult Result) override {
    bool Connected = Result == ConnectResult::Connected;
    if (this->Replica) {
      if (!Connected)
        this->report(TunnelAnswer::Unavailable);
      return;
    }
    this->report(Connected                          ? TunnelAnswer::Connected
                 : Result == ConnectResult::Refused ? TunnelAnswer::Refused
                                                    : TunnelAnswer::TimedOut);
  }

  void onBytes(absl::string_view Bytes) override {
    if (!this->Reader.feed(Bytes))
      this->report(TunnelAnswer::Unavailable);
    else if (std::optional<TunnelAnswer> Answer = this->Reader.answer())
      this->report(*Answer);
  }

  void onClosed(bool Orderly) override {
    this->report(TunnelAnswer::Unavailable);
  }

private:
  void report(TunnelAnswer Result) {
    TunnelCallback Call;
    std::swap(Call, this->Done);
    if (!Call)
      return;
    this->Timer.cancel();
    this->Transport->close();
    Call(Result);
  }

  std::optional<uint64_t> Replica;
  TunnelCallback Done;
  std::shared_ptr<Channel> Transport;
  CancellableTimer Timer;
  TunnelReader Reader;
};

} // namespace

void checkConnection(boost::asio::io_context &Loop, const Endpoint &Remote,
                     absl::Duration Timeout, TunnelCallback Done) {
  std::make_shared<ConnectionCheck>(Loop, std::nullopt, std::move(Done))
      ->start(Remote, Timeout);
}

void checkTunnel(boost::asio::io_context &Loop, const Endpoint &Peer,
                 uint64_t Replica, absl::Duration Timeout,
                 TunnelCallback Done) {
  std::make_shared<ConnectionCheck>(Loop, Replica, std::move(Done))
      ->start(Peer, Timeout);
}

} // namespace berylramp
