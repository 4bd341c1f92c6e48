//===- relay_state.cpp - What replicas state about themselves -------------===//

#include "relay.h"

#include "berylramp/json.h"

namespace berylramp {

namespace {

/// Replicas that are remembered so that each is logged once.
constexpr size_t MaxLoggedLoads = 1024;
constexpr size_t MaxLoggedLoadBytes = 64;

} // namespace

void Relay::noteReplicaState(const Attempt &Source, const HttpHead &Head) {
  const UpstreamId &Id = Source.TargetReplica->Entry.Id;
  const std::string *Leaving =
      findHeader(Head.Headers, this->Core.Settings.Names.ReplicaLeaving);
  if (Leaving != nullptr && *Leaving == "1") {
    this->Core.Pool.removeReplica(Id);
    if (this->Core.Registry.markLeaving(Id, this->now()))
      this->Core.Hooks.OnReplicaLeaving(*Source.TargetReplica);
  }
  this->noteReplicaLimit(Source, Head);
  const std::string *RetryAfter = findHeader(Head.Headers, "Retry-After");
  if (Head.Status != 503 || RetryAfter == nullptr)
    return;
  PauseRequest Pause = parsePause(*RetryAfter);
  this->Core.Registry.pause(Id, this->now() + Pause.Length);
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["replica"] = Id.text();
  Line["pause_ms"] = absl::ToInt64Milliseconds(Pause.Length);
  if (!Pause.Accepted)
    Line["unusable_value"] = *RetryAfter;
  logEvent(Pause.Accepted ? LogLevel::Info : LogLevel::Warn, "replica_paused",
           Line);
}

void Relay::noteUnusableLoad(const Replica &Target, const std::string &Text) {
  this->Core.Counters.count(Counter::LoadReportsRejected);
  std::set<UpstreamId> &Logged = this->Core.LoggedLoads;
  if (Logged.size() >= MaxLoggedLoads)
    Logged.clear();
  if (!Logged.insert(Target.Entry.Id).second)
    return;
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["replica"] = Target.Entry.Id.text();
  Line["unusable_value"] = Text.substr(0, MaxLoggedLoadBytes);
  logEvent(LogLevel::Warn, "replica_load", Line);
}

void Relay::noteReplicaLimit(const Attempt &Source, const HttpHead &Head) {
  ReplicaLimits &Limits = this->Core.Registry.limits();
  const HeaderNames &Names = this->Core.Settings.Names;
  const std::string *LimitText = findHeader(Head.Headers, Names.ReplicaLimit);
  const std::string *BrittleText =
      findHeader(Head.Headers, Names.ReplicaBrittle);
  if (LimitText == nullptr && BrittleText == nullptr && Limits.empty())
    return;
  const Replica &Target = *Source.TargetReplica;
  std::optional<double> Limit =
      LimitText ? parseLimit(*LimitText) : std::nullopt;
  std::optional<double> Rejections =
      BrittleText ? parseLimit(*BrittleText) : std::nullopt;
  const std::string *Unusable = LimitText != nullptr && !Limit ? LimitText
                                : BrittleText != nullptr && !Rejections
                                    ? BrittleText
                                    : nullptr;
  std::optional<NamedLimit> News;
  if (Unusable == nullptr)
    News = Limits.observe(processOf(Target), Limit, Rejections, Source.SentAt,
                          this->now());
  if (Unusable == nullptr && !News)
    return;
  Json::Value Line(Json::objectValue);
  Line["request"] = this->RequestId;
  Line["replica"] = Target.Entry.Id.text();
  Line["source"] = "answer";
  if (Unusable != nullptr)
    Line["unusable_value"] = *Unusable;
  if (Limit)
    Line["per_second"] = *Limit;
  if (Rejections)
    Line["rejections"] = *Rejections;
  if (News)
    Line["sequence"] = Json::Int64(News->Sequence);
  logEvent(Unusable ? LogLevel::Warn : LogLevel::Info, "replica_limit", Line);
  if (News)
    this->Core.Hooks.OnReplicaLimit(*News);
}

} // namespace berylramp
