//===- edge_reports.cpp - Reports of other hosts --------------------------===//

#include "edge_state.h"

#include "berylramp/json.h"

namespace berylramp {

struct EdgeDaemon::State::ReportHandler {
  State &Host;

  void operator()(const WorkDigest &Digest) const {
    Instant Now = this->Host.Timer.now();
    for (const WorkReport &Report : Digest) {
      this->Host.Registry.addRemoteWork(Report.Replica,
                                        absl::Milliseconds(Report.WorkMs), Now);
      this->Host.Registry.addRemoteUse(Report.Replica, Report.Use, Now);
    }
  }
  void operator()(const LeavingReport &Report) const {
    std::optional<UpstreamId> Id = this->Host.Registry.markLeaving(
        Report.Replica, Report.StartedAtMs, this->Host.Timer.now());
    if (Id)
      this->Host.logLeavingReplica(*Id, "peer");
  }
  void operator()(const FullReport &Report) const {
    this->Host.Registry.markFull(Report.Replica, Report.StartedAtMs,
                                 this->Host.Timer.now());
  }
  void operator()(const InputCrash &Crash) const {
    this->Host.Quarantine->onPeerCrash(Crash);
  }
  void operator()(const InputReport &Report) const {
    this->Host.Quarantine->onPeerReport(Report);
  }
  void operator()(const LimitReports &Reports) const {
    for (const NamedLimit &Report : Reports)
      this->Host.onLimitReport(Report);
  }
  void operator()(const ShareReport &Report) const {
    this->Host.Relayer->mergeShares(Report.Service, Report.Shares);
  }
};

void EdgeDaemon::State::onReport(const GossipReport &Report) {
  std::visit(ReportHandler{*this}, Report);
}

void EdgeDaemon::State::logLeavingReplica(const UpstreamId &Id,
                                          const char *Source) const {
  Json::Value Line(Json::objectValue);
  Line["replica"] = Id.text();
  Line["source"] = Source;
  logEvent(LogLevel::Info, "replica_leaving", Line);
}

} // namespace berylramp
