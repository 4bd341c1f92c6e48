//===- platform_adapters.cpp - Log, host list and rater over HTTP ---------===//
//
// Each adapter turns one port function into one call and checks the answer's
// form, so that a service in disorder is an error and never a wrong record.
//
//===----------------------------------------------------------------------===//

#include "berylramp/http.h"
#include "berylramp/json.h"

#include "absl/strings/str_cat.h"

namespace berylramp {

namespace {

constexpr int StatusOk = 200;
constexpr absl::Duration LogTimeout = absl::Seconds(3);
constexpr absl::Duration RaterGrace = absl::Milliseconds(200);
constexpr absl::Duration PeerConnectTimeout = absl::Milliseconds(500);
constexpr absl::Duration PeerReadTimeout = absl::Milliseconds(1500);

absl::StatusOr<Json::Value> callJson(HttpClientPool &Pool, const Endpoint &To,
                                     const HttpCall &Call) {
  HttpOutcome Out = Pool.call(To, Call);
  if (Out.Fault != HttpFault::None)
    return absl::UnavailableError(absl::StrCat("no answer from ", To.text(),
                                               " (", Out.Detail,
                                               "); check the service"));
  if (Out.Status != StatusOk)
    return absl::UnavailableError(absl::StrCat(
        To.text(), " answered ", Out.Status, "; check the service"));
  return parseJson(Out.Body);
}

absl::StatusOr<LogPage> pageFromJson(const Json::Value &Body) {
  if (!memberAt(Body, "tail").isInt64())
    return absl::DataLossError("the log's answer has no tail");
  LogPage Out;
  Out.FirstKept = Offset(intAt(Body, "first_kept"));
  Out.Tail = Offset(intAt(Body, "tail"));
  for (const Json::Value &Item : arrayAt(Body, "records"))
    Out.Records.push_back(LogRecord{Offset(intAt(Item, "offset", -1)),
                                    absl::FromUnixMillis(intAt(Item, "at_ms")),
                                    textAt(Item, "data")});
  return Out;
}

ListedHost hostFromJson(const Json::Value &Item) {
  ListedHost Out;
  Out.Name = textAt(Item, "name");
  Out.Place = PlaceId(textAt(Item, "place"));
  std::string Role = textAt(Item, "role");
  if (Role == "entry")
    Out.Role = HostRole::Entry;
  else if (Role == "service")
    Out.Role = HostRole::Service;
  Out.Leaving = textAt(Item, "state") == "leaving";
  Out.Service = ServiceId(textAt(Item, "service"));
  parseEndpoint(textAt(Item, "address"), Out.Address);
  return Out;
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
    Call.ReadTimeout = LogTimeout;
    absl::StatusOr<Json::Value> Answer = callJson(*Pool, Service, Call);
    if (!Answer.ok())
      return Answer.status();
    if (!memberAt(*Answer, "offset").isInt64())
      return absl::DataLossError("the log's answer has no offset");
    return Offset(intAt(*Answer, "offset"));
  };
  Port.Read = [Pool, Service](const StreamName &Stream, Offset From,
                              absl::Duration Wait) -> absl::StatusOr<LogPage> {
    HttpCall Call;
    Call.Path =
        absl::StrCat("/log/", Stream.text(), "/read?from=", From.count(),
                     "&wait_ms=", absl::ToInt64Milliseconds(Wait));
    Call.ReadTimeout = LogTimeout + Wait;
    absl::StatusOr<Json::Value> Answer = callJson(*Pool, Service, Call);
    if (!Answer.ok())
      return Answer.status();
    return pageFromJson(*Answer);
  };
  return Port;
}

HostListPort makeHttpHostList(const std::shared_ptr<HttpClientPool> &Pool,
                              const Endpoint &Service) {
  HostListPort Port;
  Port.Fetch = [Pool, Service]() -> absl::StatusOr<std::vector<ListedHost>> {
    HttpCall Call;
    Call.Path = "/hosts";
    absl::StatusOr<Json::Value> Answer = callJson(*Pool, Service, Call);
    if (!Answer.ok())
      return Answer.status();
    std::vector<ListedHost> Out;
    for (const Json::Value &Item : arrayAt(*Answer, "hosts"))
      Out.push_back(hostFromJson(Item));
    return Out;
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
    Call.ReadTimeout = Wait + RaterGrace;
    absl::StatusOr<Json::Value> Answer = callJson(*Pool, Service, Call);
    if (!Answer.ok())
      return Answer.status();
    if (!memberAt(*Answer, "score").isNumeric())
      return absl::DataLossError("the rater's answer has no score");
    return Rating{Query.Request, Query.Kind, Query.Version,
                  numberAt(*Answer, "score")};
  };
  return Port;
}

PeerTransport makePeerTransport(const std::shared_ptr<HttpClientPool> &Pool) {
  return [Pool](const Endpoint &To, const std::string &Mac,
                const std::string &Body) -> absl::StatusOr<std::string> {
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = PeerPath;
    Call.Body = Body;
    Call.Headers.push_back(HeaderLine{PeerMacHeader, Mac});
    Call.ConnectTimeout = PeerConnectTimeout;
    Call.ReadTimeout = PeerReadTimeout;
    HttpOutcome Out = Pool->call(To, Call);
    if (Out.Fault != HttpFault::None || Out.Status != StatusOk)
      return absl::UnavailableError(
          absl::StrCat("peer ", To.text(), " did not answer"));
    return Out.Body;
  };
}

} // namespace berylramp
