//===- edge_explain.cpp - Where a request would go ------------------------===//

#include "edge_state.h"

#include "absl/strings/str_cat.h"
#include "berylramp/json.h"

namespace berylramp {

namespace {

/// The request that \p Query describes, with the platform's headers.
CallerRequest describedRequest(const Json::Value &Query,
                               const HeaderNames &Names, Instant Now) {
  CallerRequest Request;
  Request.Method = "POST";
  Request.Target = textAt(Query, "path");
  Request.ArrivedAt = Now;
  auto AddHeader = [&](const std::string &Name, const std::string &Value) {
    if (!Value.empty())
      Request.Headers.add(Name, Value);
  };
  AddHeader("Host", textAt(Query, "host"));
  std::string Key = textAt(Query, "key");
  if (!Key.empty())
    AddHeader("Authorization", absl::StrCat(Names.KeyScheme, " ", Key));
  AddHeader(Names.Model, textAt(Query, "model"));
  AddHeader(Names.TokenCounts, textAt(Query, "tokens"));
  AddHeader(Names.PromptSegments, textAt(Query, "segments"));
  AddHeader(Names.Session, textAt(Query, "session"));
  AddHeader(Names.RequestId, textAt(Query, "request"));
  int64_t DeadlineMs = intAt(Query, "deadline_ms");
  if (DeadlineMs > 0)
    AddHeader(Names.DeadlineMs, absl::StrCat(DeadlineMs));
  return Request;
}

} // namespace

void EdgeDaemon::State::serveExplanation(const CallerRequest &Request,
                                         const ResponderPtr &Responder) {
  HttpHead Head;
  Head.Headers.emplace_back("Content-Type", "application/json");
  absl::StatusOr<Json::Value> Query = parseJson(Request.Body);
  Json::Value Answer(Json::objectValue);
  if (Query.ok() && Query->isObject()) {
    Head.Status = 200;
    Answer = this->Relayer->explain(
        describedRequest(*Query, this->Platform.Codec.Headers,
                         this->Timer.now()),
        WorkspaceId(textAt(*Query, "workspace")));
    Answer["host"] = this->Config.Name.text();
    Answer["place"] = this->Config.Place.text();
  } else {
    Head.Status = 400;
    Answer["error"] = "the body is no JSON object that describes a request";
  }
  Responder->sendWhole(Head, writeJson(Answer), false);
}

} // namespace berylramp
