//===- relay_end.cpp - Completion and refusal of requests -----------------===//
//
// A refusal states that the request was not executed only if the execution
// tracker proves it.
//
//===----------------------------------------------------------------------===//

#include "relay.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "berylramp/json.h"
#include <algorithm>
#include <functional>

namespace berylramp {

void Relay::failRequest(RefusalKind Kind, const std::string &Detail,
                        absl::Duration RetryAfter) {
  if (this->StreamStarted) {
    this->CallerResponder->abort();
    this->finish("broken", 0, Detail);
    return;
  }
  if (this->Execution.provablyNotExecuted()) {
    bool Busy =
        Kind != RefusalKind::NoReplica && Kind != RefusalKind::NoAllowedRegion;
    if (RetryAfter == absl::ZeroDuration())
      RetryAfter = Busy ? RetryDelayWhenBusy : RetryDelayWhenStarting;
    this->refuse(Busy ? RefusalKind::Overloaded : Kind, Detail, RetryAfter);
    return;
  }
  this->refuse(RefusalKind::UpstreamFailed, Detail, absl::ZeroDuration());
}

void Relay::refuseWithoutReplica(const ChoiceQuery &Query) {
  if (!Query.Regions.Binds) {
    this->failRequest(RefusalKind::NoReplica,
                      "no replica of the service is available");
    return;
  }
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["route"] = this->MatchedRoute->Name;
  Line["regions"] = Json::Value(Json::arrayValue);
  for (const RegionId &Region : *this->Regions)
    Line["regions"].append(Region.text());
  logEvent(LogLevel::Warn, "no_allowed_region", Line);
  this->failRequest(RefusalKind::NoAllowedRegion,
                    "no replica of the service is available in the regions "
                    "that the route and the workspace allow");
}

void Relay::refuse(RefusalKind Kind, const std::string &Detail,
                   absl::Duration RetryAfter) {
  Refusal RefusalBody;
  RefusalBody.Kind = Kind;
  RefusalBody.Execution = this->Execution.provablyNotExecuted()
                              ? ExecutionStatus::NotExecuted
                              : ExecutionStatus::Unknown;
  RefusalBody.Detail = Detail;
  RefusalBody.RetryAfter = RetryAfter;
  HttpHead Head;
  Head.Status = refusalStatus(Kind);
  Head.Headers.emplace_back("Content-Type", "application/json");
  if (!this->RequestId.empty())
    Head.Headers.emplace_back(this->Core.Settings.Names.RequestId,
                              this->RequestId);
  if (RetryAfter > absl::ZeroDuration())
    Head.Headers.emplace_back(
        "Retry-After",
        absl::StrFormat("%.3f", absl::ToDoubleSeconds(RetryAfter)));
  this->Core.Counters.countRefusal(Kind);
  bool Stopping = this->Core.Hooks.RejectsNewRequests();
  this->CallerResponder->sendWhole(
      Head, writeJson(refusalToJson(RefusalBody, this->RequestId)), Stopping);
  this->finish("refused", Head.Status,
               absl::StrCat(refusalName(Kind), ": ", Detail));
}

void Relay::onDeadline() {
  bool Sent = this->Current != nullptr;
  if (Sent)
    this->observeMissing(*this->Current);
  this->endAttempt(Outcome::Neutral);
  if (this->StreamStarted) {
    this->CallerResponder->abort();
    this->finish("broken", 0, "the deadline passed");
    return;
  }
  bool NotExecuted = !Sent && this->Execution.provablyNotExecuted();
  this->refuse(NotExecuted ? RefusalKind::Overloaded
                           : RefusalKind::DeadlinePassed,
               "the deadline passed",
               NotExecuted ? RetryDelayWhenBusy : absl::ZeroDuration());
}

void Relay::onCallerLeft() {
  // A caller that leaves late has waited for the replica in vain.
  Instant Start =
      std::max(this->Request.ArrivedAt, this->DispatchedAt, std::less<>());
  bool Late = !this->StreamStarted &&
              this->now() - Start > this->MatchedRoute->ResponseTarget;
  if (Late && this->Current != nullptr)
    this->observeMissing(*this->Current);
  this->endAttempt(Outcome::Neutral);
  this->finish("caller_left", 0, "");
}

void Relay::abort(const char *Reason) {
  if (this->Finished)
    return;
  this->endAttempt(Outcome::Neutral);
  this->CallerResponder->abort();
  this->finish("broken", 0, Reason);
}

void Relay::finish(const char *Result, int Status, const std::string &Reason) {
  if (this->Finished)
    return;
  this->Finished = true;
  this->DeadlineTimer.cancel();
  this->stopWaiting();
  this->endAttempt(Outcome::Neutral);
  this->Core.Dispatch->onRoom();
  absl::Duration Elapsed = this->now() - this->Request.ArrivedAt;
  this->Core.Counters.observe(Latency::WholeRequest, Elapsed);
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["result"] = Result;
  Line["status"] = Status;
  Line["ms"] = absl::ToInt64Milliseconds(Elapsed);
  Line["attempts"] = this->AttemptsSent;
  if (this->Table != nullptr)
    Line["table"] = Json::Int64(this->Table->Version.count());
  if (this->MatchedRoute != nullptr)
    Line["route"] = this->MatchedRoute->Name;
  if (!this->LastReplica.empty()) {
    Line["replica"] = this->LastReplica;
    Line["version"] = this->LastVersion;
  }
  if (this->LastLoad.Slots > 0)
    Line["running"] = this->LastLoad.Running;
  if (this->MatchedRoute != nullptr && this->MatchedRoute->EventStream) {
    Line["expected_ms"] = absl::ToInt64Milliseconds(this->ExpectedTime);
    Line["queue_ms"] = absl::ToInt64Milliseconds(this->LastChoice.QueueDelay);
    Line["head_ms"] = absl::ToInt64Milliseconds(this->HeadDelay);
    Line["kept"] = Json::Int64(this->LastChoice.KeptTokens);
    if (this->LastChoice.KeptTokens < this->LastChoice.MostKeptTokens) {
      Line["kept_elsewhere"] = Json::Int64(this->LastChoice.MostKeptTokens);
      Line["holder_queue_ms"] =
          absl::ToInt64Milliseconds(this->LastChoice.HolderDelay);
    }
  }
  if (this->ChoosesModel)
    Line["model"] = this->MatchedRoute->Models[this->ModelIndex].text();
  if (auto Session =
          findHeader(this->Request.Headers, this->Core.Settings.Names.Session))
    Line["session"] = std::string(*Session);
  if (this->StreamStarted) {
    Line["last_event"] = Json::Int64(this->Sequence.lastId());
    Line["first_ms"] =
        Json::Int64(absl::ToInt64Milliseconds(this->FirstEventDelay));
    Line["pause_ms"] =
        Json::Int64(absl::ToInt64Milliseconds(this->MaxEventGap));
    Line["prompt"] = Json::Int64(this->Prompt.PromptTokens);
  }
  if (!Reason.empty())
    Line["why"] = Reason;
  logEvent(LogLevel::Info, "request_done", Line);
  this->Core.Active.erase(this->shared_from_this());
}

} // namespace berylramp
