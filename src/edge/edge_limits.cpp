//===- edge_limits.cpp - Limits of replicas shared by hosts ---------------===//
//
// News of a limit go to all hosts at once; the rounds of datagrams repeat what
// is known for hosts that start later or missed it.
//
//===----------------------------------------------------------------------===//

#include "edge_state.h"

#include "berylramp/json.h"

namespace berylramp {

namespace {

/// Time after the start in which gossip of all hosts arrives.
constexpr absl::Duration MembersDelay = absl::Seconds(2);
/// Longer than the liveness timeout of gossip, because with hundreds of hosts a
/// heartbeat takes seconds to reach all of them.
constexpr absl::Duration HeardTimeout = absl::Seconds(8);

} // namespace

void EdgeDaemon::State::connectLimits() {
  this->SharesLimitsAt = this->Timer.now() + MembersDelay;
  this->Link->LimitsToReport = [this] {
    return this->Registry.limits().reports(MaxReportedLimits);
  };
}

void EdgeDaemon::State::shareLimit(const NamedLimit &News) {
  this->Link->sendReport(LimitReports{News});
  this->divideLimits();
}

void EdgeDaemon::State::onLimitReport(const NamedLimit &Report) {
  if (!this->Registry.limits().merge(Report, this->Timer.now()))
    return;
  Json::Value Line(Json::objectValue);
  if (std::optional<UpstreamId> Id = this->Registry.idOf(Report.Replica))
    Line["replica"] = Id->text();
  Line["source"] = "peer";
  if (Report.PerSecond)
    Line["per_second"] = *Report.PerSecond;
  if (Report.Rejections)
    Line["rejections"] = *Report.Rejections;
  Line["sequence"] = Json::Int64(Report.Sequence);
  logEvent(LogLevel::Info, "replica_limit", Line);
  this->divideLimits();
}

void EdgeDaemon::State::divideLimits() {
  Instant Now = this->Timer.now();
  std::vector<LimitMember> Heard;
  for (const Peer *Other : this->Peers.seenWithin(HeardTimeout, Now))
    if (Other->State.Leaving)
      this->Sharing.remove(Other->State.Ip);
    else
      Heard.push_back({Other->State.Ip, Other->State.Place});
  this->Sharing.update(Heard, this->Peers.addresses(), Now);
  if (!(Now < this->SharesLimitsAt))
    this->Registry.divideLimits(this->Sharing, Now);
}

} // namespace berylramp
