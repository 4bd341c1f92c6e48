//===- peer_link.cpp - Datagrams and record transfers between hosts -------===//

#include "peer_link.h"

#include "absl/strings/str_cat.h"
#include "berylramp/json.h"
#include "directory.h"
#include <array>

namespace berylramp {

namespace {

using boost::asio::ip::udp;

constexpr size_t LongestDatagram = 2048;
/// A peer answers from memory; longer means that it is gone or overloaded.
constexpr absl::Duration FetchTime = absl::Seconds(1);

Json::Value listOf(const std::vector<StoreRecord> &Records) {
  Json::Value Out(Json::arrayValue);
  for (const StoreRecord &Each : Records) {
    Json::Value Row(Json::objectValue);
    Row["key"] = Each.Key;
    if (Each.Value)
      Row["value"] = *Each.Value;
    Out.append(Row);
  }
  return Out;
}

std::vector<StoreRecord> recordsOf(const Json::Value &List) {
  std::vector<StoreRecord> Out;
  for (const Json::Value &Row : List) {
    StoreRecord Record;
    Record.Key = textAt(Row, "key");
    if (memberAt(Row, "value").isString())
      Record.Value = textAt(Row, "value");
    Out.push_back(std::move(Record));
  }
  return Out;
}

} // namespace

std::string encodePeerRecords(const PeerRecords &Records) {
  Json::Value Out(Json::objectValue);
  Out["operators"] = listOf(Records.Operators);
  Out["states"] = listOf(Records.States);
  Out["replicas"] = listOf(Records.Replicas);
  Out["replicas_age_ms"] =
      Json::Int64(absl::ToInt64Milliseconds(Records.ReplicasAge));
  return writeJson(Out);
}

absl::StatusOr<PeerRecords> decodePeerRecords(const std::string &Text) {
  absl::StatusOr<Json::Value> Top = parseJson(Text);
  if (!Top.ok())
    return Top.status();
  PeerRecords Out;
  Out.Operators = recordsOf(arrayAt(*Top, "operators"));
  Out.States = recordsOf(arrayAt(*Top, "states"));
  Out.Replicas = recordsOf(arrayAt(*Top, "replicas"));
  Out.ReplicasAge = absl::Milliseconds(intAt(*Top, "replicas_age_ms"));
  return Out;
}

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
    return absl::UnavailableError(absl::StrCat(
        "the datagram port ", this->Facts.GossipPort,
        " cannot be opened: ", Error.message(),
        "; free it or name another one in the settings file"));
  this->Socket.non_blocking(true, Error);
  this->receive();
  return absl::OkStatus();
}

void PeerLink::close() {
  boost::system::error_code Ignored;
  this->Socket.close(Ignored);
  this->Fetching.reset();
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
          if (!Self->View.merge(std::string(Bytes.data(), Count),
                                Self->Timer.now()))
            Self->Counters.count(Counter::PeerExchangeFailures);
        }
        Self->receive();
      });
}

void PeerLink::fetch(uint32_t Ip,
                     std::function<void(const PeerRecords &)> Done) {
  if (this->Fetching != nullptr || this->Facts.Peers.Port == 0)
    return;
  Endpoint To{ipText(Ip), this->Facts.Peers.Port};
  this->Fetching = std::make_unique<HttpCaller>(this->Loop, this->Timer, To);
  OutgoingCall Call;
  Call.Target = PeerRecordsPath;
  Call.Timeout = FetchTime;
  auto Weak = this->weak_from_this();
  this->Fetching->call(
      std::move(Call), [Weak, Done = std::move(Done),
                        To](const absl::StatusOr<CallAnswer> &Answer) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        // Not from within the caller's own call.
        Self->Timer.after(absl::ZeroDuration(),
                          [Self] { Self->Fetching.reset(); });
        absl::StatusOr<PeerRecords> Records =
            Answer.ok() && Answer->Status == 200
                ? decodePeerRecords(Answer->Body)
                : absl::UnavailableError("the peer did not answer");
        Json::Value Line(Json::objectValue);
        Line["peer"] = To.text();
        Line["result"] =
            Records.ok() ? "ok" : std::string(Records.status().message());
        logEvent(LogLevel::Info, "peer_records", Line);
        if (Records.ok())
          Done(*Records);
      });
}

} // namespace berylramp
