//===- edge_serve.cpp - Endpoints for the platform and for peers ----------===//

#include "edge_state.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "berylramp/json.h"
#include <algorithm>
#include <ctime>

namespace berylramp {

namespace {

/// The directory names no host whose last state is older. A state that other
/// hosts relay can be older than the liveness timeout.
constexpr absl::Duration MaxNamedHostAge = absl::Seconds(5);

std::string queryValue(const std::string &Target, const std::string &Name) {
  size_t QueryStart = Target.find('?');
  if (QueryStart == std::string::npos)
    return "";
  for (absl::string_view Parameter :
       absl::StrSplit(absl::string_view(Target).substr(QueryStart + 1), '&')) {
    std::pair<absl::string_view, absl::string_view> Pair =
        absl::StrSplit(Parameter, absl::MaxSplits('=', 1));
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

void EdgeDaemon::State::serveReady(const CallerRequest &Request,
                                   const ResponderPtr &Responder) {
  Responder->sendWhole(headOf(this->ready() ? 200 : 503), "", false);
}

void EdgeDaemon::State::serveDirectory(const CallerRequest &Request,
                                       const ResponderPtr &Responder) {
  std::string Path = Request.Target.substr(0, Request.Target.find('?'));
  if (Path != this->Platform.Codec.ResolvePath) {
    Responder->sendWhole(headOf(404), "", false);
    return;
  }
  DirectoryQuery Query;
  Query.Place =
      PlaceId(queryValue(Request.Target, this->Platform.Codec.PlaceParameter));
  Query.Region =
      queryValue(Request.Target, this->Platform.Codec.RegionParameter);
  Query.Regions = &this->Config.Regions;
  if (this->Table)
    Query.Allowed = regionsOfHost(
        *this->Table,
        queryValue(Request.Target, this->Platform.Codec.NameParameter));
  std::vector<PeerState> Hosts;
  PeerState Self = this->Peers.self();
  Self.Ready = this->ready();
  Self.Leaving = this->Leaving;
  Hosts.push_back(Self);
  Instant Now = this->Timer.now();
  for (const Peer *Live : this->Peers.live(Now))
    if (Now - Live->SentAt < MaxNamedHostAge)
      Hosts.push_back(Live->State);
  std::vector<Endpoint> Addresses;
  for (uint32_t Ip : hostsFor(Query, Hosts))
    Addresses.push_back({formatIp(Ip), this->Config.Callers.Port});
  if (Addresses.empty()) {
    Responder->sendWhole(headOf(503), "", false);
    return;
  }
  absl::Duration Ttl =
      std::min(this->Settings.AddressTtl, this->Config.Bounds.MaxAddressTtl);
  HttpHead Head = headOf(200);
  Head.Headers.emplace_back("Content-Type", "application/json");
  Responder->sendWhole(
      Head, this->Platform.Codec.EncodeAddresses(Addresses, Ttl), false);
}

void EdgeDaemon::State::servePeers(const CallerRequest &Request,
                                   const ResponderPtr &Responder) {
  if (Request.Target == ExplainPath && Request.Method == "POST") {
    this->serveExplanation(Request, Responder);
    return;
  }
  if (Request.Target.rfind(PeerRecordsPath, 0) != 0) {
    Responder->sendWhole(headOf(404), "", false);
    return;
  }
  PeerQuery Query = decodePeerQuery(Request.Target);
  PeerRecords Records;
  Records.Operators = this->Cache.since(StoreTopic::Operators, Query.Operators);
  Records.States = this->Cache.since(StoreTopic::RolloutStates, Query.States);
  Records.Replicas = this->Cache.since(StoreTopic::Replicas, Query.Replicas);
  Records.Age = this->replicaEntriesAge();
  Records.StoreRecentlyRecovered = this->storeRecentlyRecovered();
  HttpHead Head = headOf(200);
  Head.Headers.emplace_back("Content-Type", "application/json");
  Responder->sendWhole(Head, encodePeerRecords(Records), false);
}

} // namespace berylramp
