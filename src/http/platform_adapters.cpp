//===- platform_adapters.cpp - Log, host list and rater over HTTP ---------===//
//
// Each adapter maps a port function to one HTTP call and validates the
// response, so that a malformed response yields an error instead of a wrong
// record.
//
//===----------------------------------------------------------------------===//

#include "berylramp/http.h"
#include "berylramp/json.h"

#include "absl/strings/str_cat.h"

namespace berylramp {

namespace {

constexpr int StatusOk = 200;
constexpr absl::Duration LogRequestTimeout = absl::Seconds(3);
constexpr absl::Duration RaterTimeoutMargin = absl::Milliseconds(200);
constexpr absl::Duration PeerConnectTimeout = absl::Milliseconds(500);
constexpr absl::Duration PeerReadTimeout = absl::Milliseconds(1500);

absl::StatusOr<Json::Value>
callJson(HttpClientPool &Pool, const Endpoint &Target, const HttpCall &Call) {
  HttpOutcome Outcome = Pool.call(Target, Call);
  if (Outcome.Fault != HttpFault::None)
    return absl::UnavailableError(
        absl::StrCat("no response from ", Target.text(), " (", Outcome.Detail,
                     "); check that the service is running"));
  if (Outcome.Status != StatusOk)
    return absl::UnavailableError(
        absl::StrCat(Target.text(), " responded with HTTP status ",
                     Outcome.Status, "; check the log of the service"));
  return parseJson(Outcome.Body);
}

absl::StatusOr<LogPage> pageFromJson(const Json::Value &Body) {
  if (!memberAt(Body, "tail").isInt64())
    return absl::DataLossError(
        "the response of the log service has no integer tail; check the "
        "address and version of the service");
  LogPage Page;
  Page.FirstRetained = Offset(intAt(Body, "first_kept"));
  Page.Tail = Offset(intAt(Body, "tail"));
  for (const Json::Value &Item : arrayAt(Body, "records"))
    Page.Records.push_back(LogRecord{Offset(intAt(Item, "offset", -1)),
                                     absl::FromUnixMillis(intAt(Item, "at_ms")),
                                     textAt(Item, "data")});
  return Page;
}

ListedHost hostFromJson(const Json::Value &Item) {
  ListedHost Host;
  Host.Name = textAt(Item, "name");
  Host.Place = PlaceId(textAt(Item, "place"));
  std::string Role = textAt(Item, "role");
  if (Role == "entry")
    Host.Role = HostRole::Entry;
  else if (Role == "service")
    Host.Role = HostRole::Service;
  Host.Leaving = textAt(Item, "state") == "leaving";
  Host.Service = ServiceId(textAt(Item, "service"));
  parseEndpoint(textAt(Item, "address"), Host.Address);
  return Host;
}

} // namespace

LogPort makeHttpLog(const std::shared_ptr<HttpClientPool> &Pool,
                    const Endpoint &Service) {
  LogPort Port;
  Port.Append = [Pool,
                 Service](const StreamName &Stream,
                          const std::string &Data) -> absl::StatusOr<Offset> {
    Json::Value Body;
    Body["data"] = Data;
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = absl::StrCat("/log/", Stream.text(), "/append");
    Call.Body = writeJson(Body);
    Call.ReadTimeout = LogRequestTimeout;
    absl::StatusOr<Json::Value> Response = callJson(*Pool, Service, Call);
    if (!Response.ok())
      return Response.status();
    if (!memberAt(*Response, "offset").isInt64())
      return absl::DataLossError(
          "the response of the log service has no integer offset; check the "
          "address and version of the service");
    return Offset(intAt(*Response, "offset"));
  };
  Port.Read = [Pool, Service](const StreamName &Stream, Offset From,
                              absl::Duration Wait) -> absl::StatusOr<LogPage> {
    HttpCall Call;
    Call.Path =
        absl::StrCat("/log/", Stream.text(), "/read?from=", From.count(),
                     "&wait_ms=", absl::ToInt64Milliseconds(Wait));
    Call.ReadTimeout = LogRequestTimeout + Wait;
    absl::StatusOr<Json::Value> Response = callJson(*Pool, Service, Call);
    if (!Response.ok())
      return Response.status();
    return pageFromJson(*Response);
  };
  return Port;
}

HostListPort makeHttpHostList(const std::shared_ptr<HttpClientPool> &Pool,
                              const Endpoint &Service) {
  HostListPort Port;
  Port.Fetch = [Pool, Service]() -> absl::StatusOr<std::vector<ListedHost>> {
    HttpCall Call;
    Call.Path = "/hosts";
    absl::StatusOr<Json::Value> Response = callJson(*Pool, Service, Call);
    if (!Response.ok())
      return Response.status();
    std::vector<ListedHost> Hosts;
    for (const Json::Value &Item : arrayAt(*Response, "hosts"))
      Hosts.push_back(hostFromJson(Item));
    return Hosts;
  };
  return Port;
}

RaterPort makeHttpRater(const std::shared_ptr<HttpClientPool> &Pool,
                        const Endpoint &Service) {
  RaterPort Port;
  Port.Rate = [Pool, Service](const RatingQuery &Query,
                              absl::Duration Wait) -> absl::StatusOr<Rating> {
    Json::Value Body;
    Body["request"] = Query.Request.text();
    Body["kind"] = Query.Kind.text();
    Body["model"] = Query.Version.Model.text();
    Body["version"] = Query.Version.Version.text();
    Body["prompt"] = Query.Prompt;
    Body["answer"] = Query.Answer;
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = "/rate";
    Body["wait_ms"] = Json::Int64(absl::ToInt64Milliseconds(Wait));
    Call.Body = writeJson(Body);
    Call.ReadTimeout = Wait + RaterTimeoutMargin;
    absl::StatusOr<Json::Value> Response = callJson(*Pool, Service, Call);
    if (!Response.ok())
      return Response.status();
    if (!memberAt(*Response, "score").isNumeric())
      return absl::DataLossError(
          "the response of the rater has no numeric score; check the address "
          "and version of the rater");
    return Rating{Query.Request, Query.Kind, Query.Version,
                  numberAt(*Response, "score")};
  };
  return Port;
}

PeerTransport makePeerTransport(const std::shared_ptr<HttpClientPool> &Pool) {
  return [Pool](const Endpoint &Target, const std::string &Mac,
                const std::string &Body) -> absl::StatusOr<std::string> {
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = PeerPath;
    Call.Body = Body;
    Call.Headers.push_back(HeaderLine{PeerMacHeader, Mac});
    Call.ConnectTimeout = PeerConnectTimeout;
    Call.ReadTimeout = PeerReadTimeout;
    HttpOutcome Outcome = Pool->call(Target, Call);
    if (Outcome.Fault != HttpFault::None || Outcome.Status != StatusOk)
      return absl::UnavailableError(
          absl::StrCat("peer ", Target.text(),
                       " did not respond with HTTP status 200; check that it "
                       "is running and that peer_keys agree"));
    return Outcome.Body;
  };
}

} // namespace berylramp
