//===- peer_link.cpp - Datagrams and record transfers between hosts -------===//

#include "peer_link.h"

#include "absl/strings/str_cat.h"
#include "directory.h"
#include <array>
#include <cstdlib>

namespace berylramp {

namespace {

using boost::asio::ip::udp;

constexpr size_t LongestDatagram = 2048;
/// A peer answers from memory; longer means that it is gone or overloaded.
constexpr absl::Duration FetchTime = absl::Milliseconds(600);

} // namespace

absl::Status PeerLink::open() {
  boost::system::error_code Error;
  auto Address = boost::asio::ip::make_address_v4(this->Facts.Ip, Error);
  if (!Error)
    this->Socket.open(udp::v4(), Error);
  if (!Error)
    this->Socket.bind(
        udp::endpoint(Address, static_cast<uint16_t>(this->Facts.GossipPort)),
        Error);
  if (Error)
    return absl::UnavailableError(
        absl::StrCat("the datagram port ", this->Facts.GossipPort,
                     " cannot be opened: ", Error.message(),
                     "; free it or name another one in the settings file"));
  this->Socket.non_blocking(true, Error);
  this->receive();
  return absl::OkStatus();
}

void PeerLink::close() {
  boost::system::error_code Ignored;
  this->Socket.close(Ignored);
  this->Fetcher.reset();
}

void PeerLink::spread() {
  Instant Now = this->Timer.now();
  std::string Datagram = this->View.encode(Now);
  std::vector<uint32_t> To =
      this->View.targets(static_cast<size_t>(this->Targets), Now);
  for (uint32_t Ip : To) {
    boost::system::error_code Error;
    udp::endpoint Peer(boost::asio::ip::address_v4(Ip),
                       static_cast<uint16_t>(this->Facts.GossipPort));
    this->Socket.send_to(boost::asio::buffer(Datagram), Peer, 0, Error);
    if (Error)
      this->Counters.count(Counter::PeerExchangeFailures);
    else
      this->Counters.count(Counter::PeerBytesSent,
                           static_cast<int64_t>(Datagram.size()));
  }
  this->Counters.count(Counter::PeerExchanges);
}

void PeerLink::tellWork(const WorkNote &Note, const PlaceId &Place) {
  std::string Datagram = encodeWork(Note);
  for (const Peer *Each : this->View.live(this->Timer.now())) {
    if (Each->State.Place != Place)
      continue;
    boost::system::error_code Error;
    udp::endpoint To(boost::asio::ip::address_v4(Each->State.Ip),
                     static_cast<uint16_t>(this->Facts.GossipPort));
    this->Socket.send_to(boost::asio::buffer(Datagram), To, 0, Error);
    if (Error)
      this->Counters.count(Counter::PeerExchangeFailures);
    else
      this->Counters.count(Counter::PeerBytesSent,
                           static_cast<int64_t>(Datagram.size()));
  }
}

void PeerLink::receive() {
  auto Self = this->shared_from_this();
  this->Socket.async_wait(
      udp::socket::wait_read, [Self](const boost::system::error_code &Failed) {
        if (Failed || !Self->Socket.is_open())
          return;
        std::array<char, LongestDatagram> Bytes;
        boost::system::error_code Error;
        while (!Error) {
          size_t Count =
              Self->Socket.receive(boost::asio::buffer(Bytes), 0, Error);
          if (Error)
            break;
          Self->Counters.count(Counter::PeerBytesReceived,
                               static_cast<int64_t>(Count));
          std::string Datagram(Bytes.data(), Count);
          WorkNote Note;
          if (decodeWork(Datagram, Note))
            Self->OnWork(Note);
          else if (!Self->View.merge(Datagram, Self->Timer.now()))
            Self->Counters.count(Counter::PeerExchangeFailures);
        }
        Self->receive();
      });
}

bool PeerLink::fetch(uint32_t Ip, const PeerQuery &Query,
                     std::function<void(absl::StatusOr<PeerRecords>)> Done) {
  if (this->Fetching || this->Facts.Peers.Port == 0)
    return false;
  if (this->FetchFrom != Ip || this->Fetcher == nullptr) {
    Endpoint To{ipText(Ip), this->Facts.Peers.Port};
    this->Fetcher = std::make_shared<HttpClient>(this->Loop, this->Timer, To);
    this->FetchFrom = Ip;
  }
  this->Fetching = true;
  OutgoingCall Call;
  Call.Target = encodePeerQuery(Query);
  Call.Timeout = FetchTime;
  auto Weak = this->weak_from_this();
  this->Fetcher->call(std::move(Call),
                      [Weak, Done = std::move(Done), Keep = this->Fetcher](
                          const absl::StatusOr<CallAnswer> &Answer) {
                        auto Self = Weak.lock();
                        if (!Self)
                          return;
                        Self->Fetching = false;
                        if (Answer.ok())
                          Done(decodePeerRecords(Answer->Body));
                        else
                          Done(Answer.status());
                      });
  return true;
}

} // namespace berylramp
