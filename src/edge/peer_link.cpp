//===- peer_link.cpp - Datagrams and record transfers between hosts -------===//

#include "peer_link.h"

#include "absl/strings/str_cat.h"
#include "directory.h"
#include <algorithm>
#include <array>
#include <cstdlib>

namespace berylramp {

namespace {

using boost::asio::ip::udp;

constexpr size_t MaxDatagramBytes = 2048;
/// A peer answers from memory; a longer delay means that it is unavailable or
/// overloaded.
constexpr absl::Duration FetchTimeout = absl::Milliseconds(600);

} // namespace

absl::Status PeerLink::open() {
  boost::system::error_code Error;
  auto Address = boost::asio::ip::make_address_v4(this->Config.Ip, Error);
  if (!Error)
    this->Socket.open(udp::v4(), Error);
  if (!Error)
    this->Socket.bind(
        udp::endpoint(Address, static_cast<uint16_t>(this->Config.GossipPort)),
        Error);
  if (Error)
    return absl::UnavailableError(absl::StrCat(
        "the datagram port ", this->Config.GossipPort,
        " cannot be opened: ", Error.message(),
        "; free the port or set another one in the settings file"));
  this->Socket.non_blocking(true, Error);
  this->receive();
  return absl::OkStatus();
}

void PeerLink::close() {
  boost::system::error_code Ignored;
  this->Socket.close(Ignored);
  this->Fetcher.reset();
}

void PeerLink::sendState() {
  Instant Now = this->Timer.now();
  std::string Datagram = this->Peers.encode(Now);
  std::vector<uint32_t> Addresses =
      this->Peers.targets(static_cast<size_t>(this->Targets), Now);
  std::vector<NamedLimit> Limits = this->LimitsToReport();
  for (uint32_t Ip : Addresses) {
    this->sendTo(Ip, Datagram);
    if (!Limits.empty())
      this->sendTo(Ip, encodeReport(Limits));
  }
  // The addresses are in random order.
  if (!Addresses.empty())
    for (const auto &[Service, Shares] : this->SharesToReport())
      this->sendTo(Addresses.front(),
                   encodeReport(ShareReport{Service, Shares}));
  this->Counters.count(Counter::PeerExchanges);
}

void PeerLink::broadcastState() {
  this->broadcast(this->Peers.encode(this->Timer.now()),
                  [](const PlaceId &) { return true; });
  this->Counters.count(Counter::PeerExchanges);
}

void PeerLink::sendTo(uint32_t Ip, const std::string &Datagram) {
  boost::system::error_code Error;
  udp::endpoint Address(boost::asio::ip::address_v4(Ip),
                        static_cast<uint16_t>(this->Config.GossipPort));
  this->Socket.send_to(boost::asio::buffer(Datagram), Address, 0, Error);
  if (Error)
    this->Counters.count(Counter::PeerExchangeFailures);
  else
    this->Counters.count(Counter::PeerBytesSent,
                         static_cast<int64_t>(Datagram.size()));
}

void PeerLink::broadcast(const std::string &Datagram,
                         const std::function<bool(const PlaceId &)> &Includes) {
  for (const Peer *Target : this->Peers.live(this->Timer.now())) {
    if (!Includes(Target->State.Place))
      continue;
    this->sendTo(Target->State.Ip, Datagram);
  }
}

void PeerLink::sendReport(const GossipReport &Report, const PlaceId &Place) {
  bool IsWork = std::holds_alternative<WorkDigest>(Report);
  bool IsLeaving = std::holds_alternative<LeavingReport>(Report);
  this->broadcast(encodeReport(Report), [&](const PlaceId &Other) {
    if (IsWork)
      return this->sharesRegion(Other, Place);
    auto Region = this->Config.Regions.find(Other);
    return !IsLeaving || (Region != this->Config.Regions.end() &&
                          Region->second == this->Config.Region);
  });
}

bool PeerLink::sharesRegion(const PlaceId &A, const PlaceId &B) const {
  auto RegionA = this->Config.Regions.find(A);
  auto RegionB = this->Config.Regions.find(B);
  bool Known = RegionA != this->Config.Regions.end() &&
               RegionB != this->Config.Regions.end();
  return A == B || (Known && RegionA->second == RegionB->second);
}

void PeerLink::addWork(WorkReport Report, const PlaceId &Place) {
  // One digest for each region, under the name of its first data centre.
  PlaceId First = Place;
  for (const auto &[Other, Region] : this->Config.Regions)
    if (Other < First && this->sharesRegion(Other, Place))
      First = Other;
  this->Outboxes[First].add(std::move(Report));
}

void PeerLink::sendWork() {
  std::vector<const Peer *> Live = this->Peers.live(this->Timer.now());
  for (auto &[Place, Outbox] : this->Outboxes) {
    auto Recipients = std::count_if(
        Live.begin(), Live.end(), [&, &Place = Place](const Peer *Target) {
          return this->sharesRegion(Target->State.Place, Place);
        });
    WorkDigest Digest = Outbox.take(static_cast<size_t>(Recipients));
    if (!Digest.empty())
      this->sendReport(Digest, Place);
  }
  this->Outboxes.clear();
}

void PeerLink::receive() {
  auto Self = this->shared_from_this();
  this->Socket.async_wait(
      udp::socket::wait_read, [Self](const boost::system::error_code &Failed) {
        if (Failed || !Self->Socket.is_open())
          return;
        std::array<char, MaxDatagramBytes> Bytes;
        boost::system::error_code Error;
        while (!Error) {
          udp::endpoint Sender;
          size_t Count = Self->Socket.receive_from(boost::asio::buffer(Bytes),
                                                   Sender, 0, Error);
          if (Error)
            break;
          Self->Counters.count(Counter::PeerBytesReceived,
                               static_cast<int64_t>(Count));
          std::string Datagram(Bytes.data(), Count);
          if (std::optional<GossipReport> Report = decodeReport(Datagram))
            Self->OnReport(*Report);
          else
            Self->mergeState(Datagram, Sender.address().to_v4().to_uint());
        }
        Self->receive();
      });
}

void PeerLink::mergeState(const std::string &Datagram, uint32_t Sender) {
  Instant Now = this->Timer.now();
  bool WasLive = this->Peers.isLive(Sender, Now);
  if (!this->Peers.merge(Datagram, Now)) {
    this->Counters.count(Counter::PeerExchangeFailures);
    return;
  }
  // A host that has just started learns of the others from the answer.
  if (WasLive || !this->Peers.isLive(Sender, Now))
    return;
  this->sendTo(Sender, this->Peers.encode(Now));
  std::vector<NamedLimit> Limits = this->LimitsToReport();
  if (!Limits.empty())
    this->sendTo(Sender, encodeReport(Limits));
}

bool PeerLink::fetch(uint32_t Ip, const PeerQuery &Query,
                     std::function<void(absl::StatusOr<PeerRecords>)> Done) {
  if (this->FetchInFlight || this->Config.Peers.Port == 0)
    return false;
  if (this->FetchPeerIp != Ip || this->Fetcher == nullptr) {
    Endpoint Address{formatIp(Ip), this->Config.Peers.Port};
    this->Fetcher =
        std::make_shared<HttpClient>(this->Loop, this->Timer, Address);
    this->FetchPeerIp = Ip;
  }
  this->FetchInFlight = true;
  OutgoingCall Call;
  Call.Target = encodePeerQuery(Query);
  Call.Timeout = FetchTimeout;
  auto Weak = this->weak_from_this();
  this->Fetcher->call(std::move(Call),
                      [Weak, Done = std::move(Done), Keep = this->Fetcher](
                          const absl::StatusOr<CallAnswer> &Answer) {
                        auto Self = Weak.lock();
                        if (!Self)
                          return;
                        Self->FetchInFlight = false;
                        if (Answer.ok())
                          Done(decodePeerRecords(Answer->Body));
                        else
                          Done(Answer.status());
                      });
  return true;
}

} // namespace berylramp
