//===- admin_api.cpp - The API of operators -------------------------------===//
//
// Any host answers for the whole fleet: a trace that it does not have, it
// fetches from the host that served the request.
//
//===----------------------------------------------------------------------===//

#include "admin_api.h"

#include "berylramp/json.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <array>

namespace berylramp::internal {

namespace {

constexpr int StatusNotFound = 404;
constexpr int StatusBadRequest = 400;
constexpr int StatusUnavailable = 503;
constexpr const char *EditPrefix = "/v1/admin/edits/";
constexpr const char *RequestPrefix = "/v1/admin/requests/";
constexpr std::array<const char *, 4> VerdictNames = {
    "accepted", "conflict", "invalid", "unauthorized"};

Json::Value errorJson(const std::string &Type, const std::string &Remedy) {
  Json::Value Out;
  Out["error"]["type"] = Type;
  Out["error"]["remedy"] = Remedy;
  return Out;
}

Json::Value hostsJson(const std::vector<HostId> &Hosts) {
  Json::Value Out(Json::arrayValue);
  for (const HostId &Each : Hosts)
    Out.append(Each.text());
  return Out;
}

} // namespace

AdminApi::AdminApi(RouterParts &Parts) : Parts(Parts) {}

bool AdminApi::mayAdminister(const HttpRequest &Request) const {
  std::string Header = Request.header("Authorization");
  for (const std::string &Key : this->Parts.Context.Settings.AdminKeys) {
    if (Header == "Bearer " + Key)
      return true;
  }
  return false;
}

void AdminApi::addGuarded(HttpServer &Server, const char *Method,
                          const char *Path, Answerer Answer) {
  Server.route(Method, Path,
               [this, Answer](const HttpRequest &Request, HttpReply &Reply) {
                 if (!this->mayAdminister(Request)) {
                   Reply.Status = refusalStatus(RefusalKind::BadKey);
                   Reply.Body = writeJson(errorJson(
                       "bad_key", "send a key of admin_keys as a bearer"));
                   return;
                 }
                 Json::Value Body = (this->*Answer)(Request, Reply.Status);
                 Reply.Body = writeJson(Body);
               });
}

void AdminApi::addRoutes(HttpServer &Server) {
  this->addGuarded(Server, "GET", "/v1/admin/table", &AdminApi::table);
  this->addGuarded(Server, "GET", EditPrefix, &AdminApi::edit);
  this->addGuarded(Server, "GET", "/v1/admin/host", &AdminApi::host);
  this->addGuarded(Server, "GET", "/v1/admin/members", &AdminApi::members);
  this->addGuarded(Server, "GET", "/v1/admin/replicas", &AdminApi::replicas);
  this->addGuarded(Server, "GET", RequestPrefix, &AdminApi::request);
  this->addGuarded(Server, "POST", "/v1/admin/resolve", &AdminApi::resolve);
  Server.route("GET", "/metrics", [this](const HttpRequest &, HttpReply &Out) {
    this->metrics(Out);
  });
}

Json::Value AdminApi::table(const HttpRequest &, int &) {
  ConfigView View = this->Parts.Config.view();
  Json::Value Out;
  Out["offset"] = Json::Int64(View.State->Applied.count());
  Out["digest"] = hexText(View.Digest);
  Out["rows"] = rowsToJson(View.State->TableRows);
  Out["changed"] = Json::Value(Json::objectValue);
  for (const auto &[Key, Each] : View.State->TableRows) {
    Out["changed"][Key]["at"] = Json::Int64(Each.ChangedAt.count());
    Out["changed"][Key]["by"] = Each.ChangedBy;
  }
  return Out;
}

Json::Value AdminApi::edit(const HttpRequest &Request, int &Status) {
  EditId Id(Request.Path.substr(std::string(EditPrefix).size()));
  ConfigView View = this->Parts.Config.view();
  const EditOutcome *Outcome = findOutcome(*View.State, Id);
  if (Outcome == nullptr) {
    Status = StatusNotFound;
    return errorJson("unknown_edit",
                     "ask again later, or publish again under the same id");
  }
  Json::Value Out;
  Out["id"] = Id.text();
  Out["offset"] = Json::Int64(Outcome->RecordOffset.count());
  Out["verdict"] = VerdictNames[static_cast<size_t>(Outcome->Verdict)];
  Out["reason"] = Outcome->Reason;
  if (Outcome->Verdict != EditVerdict::Accepted)
    return Out;
  Acknowledgement Found = this->Parts.Fleet.acknowledge(Outcome->RecordOffset);
  Out["in_force"] = Found.InForce;
  Out["confirmed"] = Json::UInt64(Found.Confirmed);
  Out["known"] = Json::UInt64(Found.Known);
  Out["missing"] = hostsJson(Found.Missing);
  return Out;
}

Json::Value AdminApi::host(const HttpRequest &, int &) {
  RouterContext &Context = this->Parts.Context;
  ConfigView View = this->Parts.Config.view();
  ViewEvidence Evidence = this->Parts.Config.evidence();
  Json::Value Out;
  Out["host"] = Context.Settings.Host.text();
  Out["place"] = Context.Settings.Place.text();
  Out["life"] = Json::Int64(Context.Life.count());
  Out["view"] = freshnessName(this->Parts.Fleet.freshness());
  Out["log_up"] = this->Parts.Config.isLogUp();
  Out["gap"] = this->Parts.Config.hasGap();
  Out["diverged"] = this->Parts.Fleet.hasDiverged();
  if (Evidence.HasBeenConfirmed)
    Out["confirmed_ms_ago"] = Json::Int64(
        absl::ToInt64Milliseconds(Context.Timer.now() - Evidence.ConfirmedAt));
  Out["table_offset"] = Json::Int64(View.State->Applied.count());
  Out["table_digest"] = hexText(View.Digest);
  Out["streams"] = Json::Int64(this->Parts.ActiveRequests);
  Out["bills_pending"] = Json::UInt64(this->Parts.Bills.pending());
  Out["bills_held"] = Json::UInt64(this->Parts.Bills.held());
  Out["live_hosts"] = Json::UInt64(this->Parts.Fleet.summary()->LiveHosts);
  std::shared_ptr<const FleetSummary> Summary = this->Parts.Fleet.summary();
  for (const VersionTrip &Trip : Summary->Trips) {
    Json::Value Item;
    Item["version"] = Trip.Version.text();
    Item["run"] = Trip.Run;
    Item["evidence"] = Trip.Evidence;
    Out["tripped"].append(Item);
  }
  for (const auto &[Workspace, Row] : View.State->Compiled->Limits) {
    Json::Value Item;
    Item["workspace"] = Workspace.text();
    Item["share"] = this->Parts.Limits.share(
        Workspace, peerDemand(*Summary, Workspace), Context.Timer.now());
    Out["limit_shares"].append(Item);
  }
  return Out;
}

Json::Value AdminApi::members(const HttpRequest &, int &) {
  FleetView View = this->Parts.Fleet.view();
  Instant Now = this->Parts.Context.Timer.now();
  Json::Value Out;
  Out["members"] = Json::Value(Json::arrayValue);
  for (const auto &[Host, Known] : View.Members) {
    const Member &What = Known.LatestRecord;
    Json::Value Item;
    Item["host"] = Host.text();
    Item["place"] = What.Detail.Place.text();
    Item["address"] = What.Detail.Address.text();
    Item["life"] = Json::Int64(What.HostIncarnation.count());
    Item["offset"] = Json::Int64(What.Applied.count());
    Item["streams"] = Json::Int64(What.ActiveStreams);
    Item["leaving"] = What.Leaving;
    Item["heard_ms_ago"] =
        Json::Int64(absl::ToInt64Milliseconds(Now - Known.WrittenAt));
    Item["gone"] = Known.HasStopped;
    Out["members"].append(Item);
  }
  return Out;
}

Json::Value AdminApi::replicas(const HttpRequest &, int &) {
  Instant Now = this->Parts.Context.Timer.now();
  Json::Value Out;
  Out["replicas"] = Json::Value(Json::arrayValue);
  // Held for the loop: the board may make a new index meanwhile.
  std::shared_ptr<const ReplicaIndex> Index = this->Parts.Replicas.index();
  for (const auto &[Key, Replicas] : Index->ByVersion) {
    for (const std::shared_ptr<Replica> &Each : Replicas) {
      ReplicaView View = Each->view(Now);
      Json::Value Item;
      Item["replica"] = Each->Id.text();
      Item["version"] = Key.text();
      Item["address"] = Each->Address.text();
      Item["running"] = View.Running;
      Item["waiting"] = View.Waiting;
      Item["shut"] = View.IsShut;
      Out["replicas"].append(Item);
    }
  }
  return Out;
}

absl::StatusOr<Json::Value>
AdminApi::onFindTrace(const Json::Value &Params) const {
  Trace Found;
  Json::Value Out;
  bool Has =
      this->Parts.Traces.find(RequestId(textAt(Params, "request")), Found);
  Out["found"] = Has;
  if (Has)
    Out["trace"] = traceToJson(Found);
  return Out;
}

Json::Value AdminApi::request(const HttpRequest &Request, int &Status) {
  Json::Value Params;
  Params["request"] = Request.Path.substr(std::string(RequestPrefix).size());
  absl::StatusOr<Json::Value> Own = this->onFindTrace(Params);
  if (boolAt(*Own, "found"))
    return *Own;
  for (const PeerAddress &Peer : this->Parts.Fleet.peers()) {
    absl::StatusOr<Json::Value> Answer = this->Parts.Context.Ports.Peers.Call(
        Peer.Address, "find_trace", Params);
    if (!Answer.ok() || !boolAt(*Answer, "found"))
      continue;
    (*Answer)["host"] = Peer.Host.text();
    return *Answer;
  }
  Status = StatusNotFound;
  return errorJson("unknown_request",
                   "traces are kept for the last requests of each host only");
}

Json::Value AdminApi::resolve(const HttpRequest &Request, int &Status) {
  absl::StatusOr<Json::Value> Body = parseJson(Request.Body);
  if (!Body.ok() || !memberAt(*Body, "ran").isBool()) {
    Status = StatusBadRequest;
    return errorJson("bad_body", "send workspace, key, issued_ms, author and "
                                 "ran (true or false)");
  }
  ClaimIdentity Identity{WorkspaceId(textAt(*Body, "workspace")),
                         textAt(*Body, "key"), intAt(*Body, "issued_ms")};
  ClaimEntry Owner;
  if (!this->Parts.Claims.lookUp(Identity, Owner)) {
    Status = StatusNotFound;
    return errorJson("unknown_order", "no claim of this key is in the window");
  }
  absl::Status Done =
      this->Parts.Claims.resolve(Identity, Owner.Which.Attempt,
                                 boolAt(*Body, "ran"), textAt(*Body, "author"));
  if (!Done.ok()) {
    Status = StatusUnavailable;
    return errorJson("log_unavailable", std::string(Done.message()));
  }
  Json::Value Out;
  Out["resolved"] = Owner.Which.Attempt.text();
  return Out;
}

void AdminApi::metrics(HttpReply &Reply) const {
  std::vector<Gauge> Gauges;
  auto Add = [&Gauges](const char *Name, double Value) {
    Gauges.push_back(Gauge{Name, Value});
  };
  ConfigView View = this->Parts.Config.view();
  Add("table_offset", static_cast<double>(View.State->Applied.count()));
  Add("streams", static_cast<double>(this->Parts.ActiveRequests));
  Add("bills_pending", static_cast<double>(this->Parts.Bills.pending()));
  Add("bills_held", static_cast<double>(this->Parts.Bills.held()));
  Add("live_hosts",
      static_cast<double>(this->Parts.Fleet.summary()->LiveHosts));
  Add("view", static_cast<double>(this->Parts.Fleet.freshness()));
  Add("log_up", this->Parts.Config.isLogUp() ? 1 : 0);
  Reply.ContentType = "text/plain; version=0.0.4";
  Reply.Body = this->Parts.Context.Counts.exposition(Gauges);
}

} // namespace berylramp::internal
