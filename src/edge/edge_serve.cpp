//===- edge_serve.cpp - Answers to the platform and to peers --------------===//

#include "edge_state.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "berylramp/json.h"
#include <algorithm>
#include <ctime>

namespace berylramp {

namespace {

std::string queryValue(const std::string &Target, const std::string &Name) {
  size_t Mark = Target.find('?');
  if (Mark == std::string::npos)
    return "";
  for (absl::string_view Part :
       absl::StrSplit(absl::string_view(Target).substr(Mark + 1), '&')) {
    std::pair<absl::string_view, absl::string_view> Pair =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    if (Pair.first == Name)
      return std::string(Pair.second);
  }
  return "";
}

HttpHead headOf(int Status) {
  HttpHead Head;
  Head.Status = Status;
  return Head;
}

} // namespace

void EdgeDaemon::State::serveReady(const HttpRequest &Request,
                                   const ResponderPtr &Answer) {
  Answer->sendWhole(headOf(this->ready() ? 200 : 503), "", false);
}

void EdgeDaemon::State::serveDirectory(const HttpRequest &Request,
                                       const ResponderPtr &Answer) {
  std::string Path = Request.Target.substr(0, Request.Target.find('?'));
  if (Path != this->Platform.Codec.ResolvePath) {
    Answer->sendWhole(headOf(404), "", false);
    return;
  }
  DirectoryQuery Query;
  Query.Place =
      PlaceId(queryValue(Request.Target, this->Platform.Codec.PlaceParameter));
  Query.Region =
      queryValue(Request.Target, this->Platform.Codec.RegionParameter);
  Query.Regions = &this->Facts.Regions;
  std::vector<PeerState> Hosts;
  PeerState Self = this->Peers.self();
  Self.Ready = this->ready();
  Self.Leaving = this->Leaving;
  Hosts.push_back(Self);
  for (const Peer *Each : this->Peers.live(this->Timer.now()))
    Hosts.push_back(Each->State);
  std::vector<Endpoint> Addresses;
  for (uint32_t Ip : hostsFor(Query, Hosts))
    Addresses.push_back({ipText(Ip), this->Facts.Callers.Port});
  if (Addresses.empty()) {
    Answer->sendWhole(headOf(503), "", false);
    return;
  }
  absl::Duration Life =
      std::min(this->Settings.AddressLife, this->Facts.Bounds.MostAddressLife);
  HttpHead Head = headOf(200);
  Head.Headers.emplace_back("Content-Type", "application/json");
  Answer->sendWhole(Head, this->Platform.Codec.EncodeAddresses(Addresses, Life),
                    false);
}

void EdgeDaemon::State::servePeers(const HttpRequest &Request,
                                   const ResponderPtr &Answer) {
  if (Request.Target.rfind(PeerRecordsPath, 0) != 0) {
    Answer->sendWhole(headOf(404), "", false);
    return;
  }
  PeerQuery Query = decodePeerQuery(Request.Target);
  PeerRecords Records;
  Records.Operators = this->Book.since(StoreTopic::Operators, Query.Operators);
  Records.States = this->Book.since(StoreTopic::RolloutStates, Query.States);
  Records.Replicas = this->Book.since(StoreTopic::Replicas, Query.Replicas);
  Records.Age = this->entriesAge();
  Records.StoreJustBack = this->storeJustBack();
  HttpHead Head = headOf(200);
  Head.Headers.emplace_back("Content-Type", "application/json");
  Answer->sendWhole(Head, encodePeerRecords(Records), false);
}

} // namespace berylramp
