//===- relay_explain.cpp - Where a request would go -----------------------===//
//
// Uses the resolution and the choice of a real request. Nothing is sent or
// counted, and no state changes.
//
//===----------------------------------------------------------------------===//

#include "relay.h"

#include "absl/strings/numbers.h"

namespace berylramp {

namespace {

Json::Value refusalOf(RefusalKind Kind, const char *Detail) {
  Json::Value Result(Json::objectValue);
  Result["kind"] = refusalName(Kind);
  Result["status"] = refusalStatus(Kind);
  Result["detail"] = Detail;
  return Result;
}

Json::Value viewToJson(const ReplicaView &View, bool IsPathLost) {
  const Replica &Target = *View.Target;
  Json::Value Result(Json::objectValue);
  Result["replica"] = Target.Entry.Id.text();
  Result["place"] = Target.Entry.Place.text();
  Result["version"] = Target.Entry.Version.text();
  Result["state"] = View.IsChosen      ? "chosen"
                    : View.IsCandidate ? "candidate"
                                       : "excluded";
  Result["reason"] = exclusionName(View.Reason);
  Result["expected_ms"] = Json::Int64(absl::ToInt64Milliseconds(
      View.Expected.QueueDelay + View.Expected.PrefillTime));
  Result["queue_ms"] =
      Json::Int64(absl::ToInt64Milliseconds(View.Expected.QueueDelay));
  Result["cached_tokens"] = Json::Int64(View.CachedTokens);
  Result["load"] = View.Load;
  Result["in_progress"] = Target.InFlight;
  Result["slots"] = Target.Entry.Slots;
  Result["held_bytes"] = Json::Int64(Target.HeldBytes);
  Result["path_lost"] = IsPathLost;
  return Result;
}

} // namespace

Json::Value Relay::explain(const WorkspaceId &ForWorkspace) {
  Json::Value Result(Json::objectValue);
  this->Table = this->Core.Hooks.Table();
  if (this->Table == nullptr) {
    Result["refused"] = refusalOf(RefusalKind::NoTable, "no route table yet");
    return Result;
  }
  Result["table"] = Json::Int64(this->Table->Version.count());
  this->MatchedRoute = findRoute(*this->Table, hostWithoutPort(this->Request),
                                 this->Request.Target);
  if (this->MatchedRoute == nullptr) {
    Result["refused"] = refusalOf(RefusalKind::UnknownService,
                                  "no route matches the host and path");
    return Result;
  }
  Result["route"] = this->MatchedRoute->Name;
  const WorkspaceInfo *Found = findWorkspace(
      *this->Table, apiKeyOf(this->Request, this->Core.Settings.Names));
  for (const WorkspaceInfo &Candidate : this->Table->Workspaces)
    if (!ForWorkspace.empty() && Candidate.Id == ForWorkspace)
      Found = &Candidate;
  if (Found != nullptr)
    this->Workspace = *Found;
  if (Found == nullptr && !this->Table->Workspaces.empty() &&
      !this->MatchedRoute->Anonymous) {
    Result["refused"] =
        refusalOf(RefusalKind::BadKey, "no workspace has this API key or name");
    return Result;
  }
  this->resolveRequest();
  this->explainChoice(Result);
  return Result;
}

void Relay::explainChoice(Json::Value &Result) {
  ChoiceQuery Query = this->choiceQuery();
  Result["workspace"] = this->Workspace.Id.text();
  Result["service"] = this->Service.text();
  Result["model"] = this->currentModel().text();
  Result["priority"] = this->priority();
  if (!Query.Rule.Target.empty()) {
    Result["version"] = Query.Rule.Target.text();
    Result["version_rule"] = Query.Rule.RequireTarget ? "only" : "all_but";
  }
  double Utilization = this->Core.Registry.utilization(Query);
  Result["utilization"] = Utilization;
  Result["replicas"] = Json::Value(Json::arrayValue);
  absl::Duration Expected = absl::ZeroDuration();
  bool HasChoice = false;
  for (const ReplicaView &View : this->Core.Registry.explain(Query)) {
    bool IsPathLost = this->Core.Paths->isLost(*View.Target);
    Result["replicas"].append(viewToJson(View, IsPathLost));
    if (!View.IsChosen)
      continue;
    HasChoice = true;
    Expected = View.Expected.QueueDelay + View.Expected.PrefillTime;
  }
  int64_t DeadlineMs = 0;
  auto Deadline =
      findHeader(this->Request.Headers, this->Core.Settings.Names.DeadlineMs);
  if (HasChoice && Deadline && absl::SimpleAtoi(*Deadline, &DeadlineMs))
    Result["expected_in_time"] = Expected < absl::Milliseconds(DeadlineMs);
  if (this->Core.Hooks.RejectsNewRequests())
    Result["refused"] =
        refusalOf(RefusalKind::Overloaded, "this host is shutting down");
  else if (this->Core.Hooks.InputRefusedFor(this->Input) > absl::ZeroDuration())
    Result["refused"] =
        refusalOf(RefusalKind::InputQuarantined, "the input is in quarantine");
  else if (!HasChoice)
    Result["refused"] = refusalOf(RefusalKind::NoReplica,
                                  "no replica of the service is available");
  else if (Utilization > this->Core.Settings.MaxUtilization)
    Result["refused"] =
        refusalOf(RefusalKind::Overloaded, "the replicas' queues are full");
  Instant At = this->Core.Registry.earliestAvailability(Query);
  if (!HasChoice && At.SinceStart < absl::InfiniteDuration())
    Result["available_in_ms"] =
        Json::Int64(absl::ToInt64Milliseconds(At - Query.Now));
}

} // namespace berylramp
