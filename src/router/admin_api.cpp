//===- admin_api.cpp - HTTP API for operators -----------------------------===//
//
// Any host answers for the whole fleet: a trace that is not on this host is
// fetched from the host that served the request.
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
  Json::Value Result;
  Result["error"]["type"] = Type;
  Result["error"]["remedy"] = Remedy;
  return Result;
}

Json::Value hostsJson(const std::vector<HostId> &Hosts) {
  Json::Value Result(Json::arrayValue);
  for (const HostId &Host : Hosts)
    Result.append(Host.text());
  return Result;
}

} // namespace

AdminApi::AdminApi(RouterParts &Parts) : Parts(Parts) {}

bool AdminApi::isAuthorized(const HttpRequest &Request) const {
  std::string Header = Request.header("Authorization");
  for (const std::string &Key : this->Parts.Context.Settings.AdminKeys) {
    if (Header == "Bearer " + Key)
      return true;
  }
  return false;
}

void AdminApi::addAuthorizedRoute(HttpServer &Server, const char *Method,
                                  const char *Path, Handler Respond) {
  Server.route(Method, Path,
               [this, Respond](const HttpRequest &Request, HttpReply &Reply) {
                 if (!this->isAuthorized(Request)) {
                   Reply.Status = refusalStatus(RefusalKind::BadKey);
                   Reply.Body = writeJson(errorJson(
                       "bad_key",
                       "send one of the keys in admin_keys as a bearer token"));
                   return;
                 }
                 Json::Value Body = (this->*Respond)(Request, Reply.Status);
                 Reply.Body = writeJson(Body);
               });
}

void AdminApi::addRoutes(HttpServer &Server) {
  this->addAuthorizedRoute(Server, "GET", "/v1/admin/table", &AdminApi::table);
  this->addAuthorizedRoute(Server, "GET", EditPrefix, &AdminApi::edit);
  this->addAuthorizedRoute(Server, "GET", "/v1/admin/host", &AdminApi::host);
  this->addAuthorizedRoute(Server, "GET", "/v1/admin/members",
                           &AdminApi::members);
  this->addAuthorizedRoute(Server, "GET", "/v1/admin/replicas",
                           &AdminApi::replicas);
  this->addAuthorizedRoute(Server, "GET", RequestPrefix, &AdminApi::request);
  this->addAuthorizedRoute(Server, "POST", "/v1/admin/resolve",
                           &AdminApi::resolve);
  Server.route(
      "GET", "/metrics",
      [this](const HttpRequest &, HttpReply &Reply) { this->metrics(Reply); });
}

Json::Value AdminApi::table(const HttpRequest &, int &) {
  ConfigView View = this->Parts.Config.view();
  Json::Value Result;
  Result["offset"] = Json::Int64(View.State->Applied.count());
  Result["digest"] = toHex(View.Digest);
  Result["rows"] = rowsToJson(View.State->TableRows);
  Result["changed"] = Json::Value(Json::objectValue);
  for (const auto &[Key, Cell] : View.State->TableRows) {
    Result["changed"][Key]["at"] = Json::Int64(Cell.ChangedAt.count());
    Result["changed"][Key]["by"] = Cell.ChangedBy;
  }
  return Result;
}

Json::Value AdminApi::edit(const HttpRequest &Request, int &Status) {
  EditId Id(Request.Path.substr(std::string(EditPrefix).size()));
  ConfigView View = this->Parts.Config.view();
  const EditOutcome *Outcome = findOutcome(*View.State, Id);
  if (Outcome == nullptr) {
    Status = StatusNotFound;
    return errorJson(
        "unknown_edit",
        "query again later, or publish the edit again with the same id");
  }
  Json::Value Result;
  Result["id"] = Id.text();
  Result["offset"] = Json::Int64(Outcome->RecordOffset.count());
  Result["verdict"] = VerdictNames[static_cast<size_t>(Outcome->Verdict)];
  Result["reason"] = Outcome->Reason;
  if (Outcome->Verdict != EditVerdict::Accepted)
    return Result;
  Acknowledgement Confirmation =
      this->Parts.Fleet.acknowledgementOf(Outcome->RecordOffset);
  Result["in_force"] = Confirmation.InForce;
  Result["confirmed"] = Json::UInt64(Confirmation.Confirmed);
  Result["known"] = Json::UInt64(Confirmation.Known);
  Result["missing"] = hostsJson(Confirmation.Missing);
  return Result;
}

Json::Value AdminApi::host(const HttpRequest &, int &) {
  RouterContext &Context = this->Parts.Context;
  ConfigView View = this->Parts.Config.view();
  ViewEvidence Evidence = this->Parts.Config.evidence();
  Json::Value Result;
  Result["host"] = Context.Settings.Host.text();
  Result["place"] = Context.Settings.Place.text();
  Result["life"] = Json::Int64(Context.HostIncarnation.count());
  Result["view"] = freshnessName(this->Parts.Fleet.freshness());
  Result["log_up"] = this->Parts.Config.isLogUp();
  Result["gap"] = this->Parts.Config.hasGap();
  Result["diverged"] = this->Parts.Fleet.hasDiverged();
  if (Evidence.HasBeenConfirmed)
    Result["confirmed_ms_ago"] = Json::Int64(
        absl::ToInt64Milliseconds(Context.Timer.now() - Evidence.ConfirmedAt));
  Result["table_offset"] = Json::Int64(View.State->Applied.count());
  Result["table_digest"] = toHex(View.Digest);
  Result["streams"] = Json::Int64(this->Parts.ActiveRequests);
  Result["bills_pending"] = Json::UInt64(this->Parts.Bills.pendingCount());
  Result["bills_held"] = Json::UInt64(this->Parts.Bills.heldCount());
  Result["live_hosts"] = Json::UInt64(this->Parts.Fleet.summary()->LiveHosts);
  std::shared_ptr<const FleetSummary> Summary = this->Parts.Fleet.summary();
  for (const VersionTrip &Trip : Summary->Trips) {
    Json::Value Item;
    Item["version"] = Trip.Version.text();
    Item["run"] = Trip.Run;
    Item["evidence"] = Trip.Evidence;
    Result["tripped"].append(Item);
  }
  for (const auto &[Workspace, Row] : View.State->Compiled->Limits) {
    Json::Value Item;
    Item["workspace"] = Workspace.text();
    Item["share"] = this->Parts.Limits.share(
        Workspace, peerDemand(*Summary, Workspace), Context.Timer.now());
    Result["limit_shares"].append(Item);
  }
  return Result;
}

Json::Value AdminApi::members(const HttpRequest &, int &) {
  FleetView View = this->Parts.Fleet.view();
  Instant Now = this->Parts.Context.Timer.now();
  Json::Value Result;
  Result["members"] = Json::Value(Json::arrayValue);
  for (const auto &[Host, Known] : View.Members) {
    const Member &Record = Known.LatestRecord;
    Json::Value Item;
    Item["host"] = Host.text();
    Item["place"] = Record.Detail.Place.text();
    Item["address"] = Record.Detail.Address.text();
    Item["life"] = Json::Int64(Record.HostIncarnation.count());
    Item["offset"] = Json::Int64(Record.Applied.count());
    Item["streams"] = Json::Int64(Record.ActiveStreams);
    Item["leaving"] = Record.Leaving;
    Item["heard_ms_ago"] =
        Json::Int64(absl::ToInt64Milliseconds(Now - Known.WrittenAt));
    Item["gone"] = Known.HasStopped;
    Result["members"].append(Item);
  }
  return Result;
}

Json::Value AdminApi::replicas(const HttpRequest &, int &) {
  Instant Now = this->Parts.Context.Timer.now();
  Json::Value Result;
  Result["replicas"] = Json::Value(Json::arrayValue);
  // Keeps the index alive during the loop, because the replica tracker may
  // replace it concurrently.
  std::shared_ptr<const ReplicaIndex> Index = this->Parts.Replicas.index();
  for (const auto &[Key, Replicas] : Index->ByVersion) {
    for (const std::shared_ptr<Replica> &Target : Replicas) {
      ReplicaView View = Target->view(Now);
      Json::Value Item;
      Item["replica"] = Target->Id.text();
      Item["version"] = Key.text();
      Item["address"] = Target->Address.text();
      Item["running"] = View.Running;
      Item["waiting"] = View.Waiting;
      Item["shut"] = View.IsUnavailable;
      Result["replicas"].append(Item);
    }
  }
  return Result;
}

absl::StatusOr<Json::Value>
AdminApi::onFindTrace(const Json::Value &Params) const {
  Trace Found;
  Json::Value Result;
  bool IsFound =
      this->Parts.Traces.find(RequestId(textAt(Params, "request")), Found);
  Result["found"] = IsFound;
  if (IsFound)
    Result["trace"] = traceToJson(Found);
  return Result;
}

Json::Value AdminApi::request(const HttpRequest &Request, int &Status) {
  Json::Value Params;
  Params["request"] = Request.Path.substr(std::string(RequestPrefix).size());
  absl::StatusOr<Json::Value> OwnTrace = this->onFindTrace(Params);
  if (boolAt(*OwnTrace, "found"))
    return *OwnTrace;
  for (const PeerAddress &Peer : this->Parts.Fleet.peers()) {
    absl::StatusOr<Json::Value> Answer = this->Parts.Context.Ports.Peers.Call(
        Peer.Address, "find_trace", Params);
    if (!Answer.ok() || !boolAt(*Answer, "found"))
      continue;
    (*Answer)["host"] = Peer.Host.text();
    return *Answer;
  }
  Status = StatusNotFound;
  return errorJson(
      "unknown_request",
      "check the request id, and query soon after the request: each host "
      "keeps the traces of its most recent requests only");
}

Json::Value AdminApi::resolve(const HttpRequest &Request, int &Status) {
  absl::StatusOr<Json::Value> Body = parseJson(Request.Body);
  if (!Body.ok() || !memberAt(*Body, "ran").isBool()) {
    Status = StatusBadRequest;
    return errorJson("bad_body", "send a JSON object with workspace, key, "
                                 "issued_ms, author and ran (true or false)");
  }
  ClaimIdentity Identity{WorkspaceId(textAt(*Body, "workspace")),
                         textAt(*Body, "key"), intAt(*Body, "issued_ms")};
  ClaimEntry Owner;
  if (!this->Parts.Claims.lookUp(Identity, Owner)) {
    Status = StatusNotFound;
    return errorJson("unknown_order",
                     "no claim for this key exists in the claim window; check "
                     "workspace, key and issued_ms");
  }
  absl::Status Appended =
      this->Parts.Claims.resolve(Identity, Owner.Record.Attempt,
                                 boolAt(*Body, "ran"), textAt(*Body, "author"));
  if (!Appended.ok()) {
    Status = StatusUnavailable;
    return errorJson("log_unavailable", std::string(Appended.message()));
  }
  Json::Value Result;
  Result["resolved"] = Owner.Record.Attempt.text();
  return Result;
}

void AdminApi::metrics(HttpReply &Reply) const {
  std::vector<Gauge> Gauges;
  auto Add = [&Gauges](const char *Name, double Value) {
    Gauges.push_back(Gauge{Name, Value});
  };
  ConfigView View = this->Parts.Config.view();
  Add("table_offset", static_cast<double>(View.State->Applied.count()));
  Add("streams", static_cast<double>(this->Parts.ActiveRequests));
  Add("bills_pending", static_cast<double>(this->Parts.Bills.pendingCount()));
  Add("bills_held", static_cast<double>(this->Parts.Bills.heldCount()));
  Add("live_hosts",
      static_cast<double>(this->Parts.Fleet.summary()->LiveHosts));
  Add("view", static_cast<double>(this->Parts.Fleet.freshness()));
  Add("log_up", this->Parts.Config.isLogUp() ? 1 : 0);
  Reply.ContentType = "text/plain; version=0.0.4";
  Reply.Body = this->Parts.Context.Counts.exposition(Gauges);
}

} // namespace berylramp::internal
