//===- relay_end.cpp - How a request ends ---------------------------------===//
//
// A refusal says "not run" only on the word of the ledger.
//
//===----------------------------------------------------------------------===//

#include "relay.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "berylramp/json.h"
#include <algorithm>

namespace berylramp {

void Relay::giveUp(RefusalKind Kind, const std::string &Detail) {
  if (this->StreamBegun) {
    this->Answer->abort();
    this->finish("broken", 0, Detail);
    return;
  }
  if (this->Ledger.provablyNotRun()) {
    bool Busy = Kind != RefusalKind::NoReplica;
    this->refuse(Busy ? RefusalKind::Overloaded : Kind, Detail,
                 Busy ? BackWhenBusy : BackWhenStarting);
    return;
  }
  this->refuse(RefusalKind::UpstreamFailed, Detail, absl::ZeroDuration());
}

void Relay::refuse(RefusalKind Kind, const std::string &Detail,
                   absl::Duration RetryAfter) {
  Refusal Told;
  Told.Kind = Kind;
  Told.Execution = this->Ledger.provablyNotRun() ? ExecutionStatus::NotExecuted
                                                 : ExecutionStatus::Unknown;
  Told.Detail = Detail;
  Told.RetryAfter = RetryAfter;
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
  bool Stopping = this->Core.Hooks.RefusesNew();
  this->Answer->sendWhole(Head, writeJson(refusalToJson(Told, this->RequestId)),
                          Stopping);
  this->finish("refused", Head.Status,
               absl::StrCat(refusalName(Kind), ": ", Detail));
}

void Relay::expired() {
  bool Sent = this->Current != nullptr;
  this->dropAttempt(Outcome::Neutral);
  if (this->StreamBegun) {
    this->Answer->abort();
    this->finish("broken", 0, "the deadline passed");
    return;
  }
  bool NotRun = !Sent && this->Ledger.provablyNotRun();
  this->refuse(NotRun ? RefusalKind::Overloaded : RefusalKind::DeadlinePassed,
               "the deadline passed",
               NotRun ? BackWhenBusy : absl::ZeroDuration());
}

void Relay::callerGone() {
  this->dropAttempt(Outcome::Neutral);
  this->finish("caller_left", 0, "");
}

void Relay::abort(const char *Why) {
  if (this->Done)
    return;
  this->dropAttempt(Outcome::Neutral);
  this->Answer->abort();
  this->finish("broken", 0, Why);
}

void Relay::finish(const char *Result, int Status, const std::string &Why) {
  if (this->Done)
    return;
  this->Done = true;
  this->Deadline.cancel();
  this->dropAttempt(Outcome::Neutral);
  absl::Duration Took = this->now() - this->Request.ArrivedAt;
  this->Core.Counters.observe(Latency::WholeRequest, Took);
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["result"] = Result;
  Line["status"] = Status;
  Line["ms"] = absl::ToInt64Milliseconds(Took);
  Line["attempts"] = this->AttemptsSent;
  if (this->Table != nullptr)
    Line["table"] = Json::Int64(this->Table->Version.count());
  if (this->Which != nullptr)
    Line["route"] = this->Which->Name;
  if (!this->LastReplica.empty())
    Line["replica"] = this->LastReplica;
  if (this->LastLoad.Slots > 0)
    Line["running"] = this->LastLoad.Running;
  if (this->Which != nullptr && this->Which->EventStream)
    Line["expected_ms"] = absl::ToInt64Milliseconds(this->LastExpected);
  if (this->ChoosesModel)
    Line["model"] = this->Which->Models[this->ModelIndex].text();
  if (const std::string *Session =
          findHeader(this->Request.Headers, this->Core.Settings.Names.Session))
    Line["session"] = *Session;
  if (this->StreamBegun) {
    Line["last_event"] = Json::Int64(this->Order.last());
    Line["first_ms"] =
        Json::Int64(absl::ToInt64Milliseconds(this->FirstEventAfter));
    Line["pause_ms"] =
        Json::Int64(absl::ToInt64Milliseconds(this->LongestPause));
    Line["prompt"] = Json::Int64(this->Prompt.PromptTokens);
  }
  if (!Why.empty())
    Line["why"] = Why;
  logEvent(LogLevel::Info, "request_done", Line);
  this->Core.Active.erase(this->shared_from_this());
}

} // namespace berylramp
