//===- edge_warmup.cpp - Replicas that are cold ---------------------------===//

#include "edge_state.h"

#include "berylramp/json.h"

namespace berylramp {

void EdgeDaemon::State::applyWarmupRules() {
  absl::flat_hash_map<std::string, WarmupRule> Rules;
  const HostBounds &Bounds = this->Config.Bounds;
  for (const ServiceInfo &Service : this->Table->Services)
    if (Service.ColdPerSecond > 0)
      Rules[Service.Id.text()] = {
          {Service.ColdPerSecond, Bounds.ColdOvershoot, Bounds.ColdSlack},
          Service.ColdTime};
  this->Registry.setWarmupRules(std::move(Rules), this->Timer.now());
  this->logWarmthChanges();
}

void EdgeDaemon::State::logWarmthChanges() {
  std::vector<WarmthChange> Changes =
      this->Registry.takeWarmthChanges(this->Timer.now());
  for (const WarmthChange &Change : Changes) {
    Json::Value Line(Json::objectValue);
    Line["replica"] = Change.Replica.text();
    int64_t Ms = absl::ToInt64Milliseconds(Change.Time);
    if (Change.IsCold) {
      Line["source"] =
          Change.Reason == ColdReason::Stated ? "entry" : "unreachable";
      Line["remaining_ms"] = Json::Int64(Ms);
    } else {
      Line["cold_ms"] = Json::Int64(Ms);
    }
    logEvent(LogLevel::Info, Change.IsCold ? "replica_cold" : "replica_warm",
             Line);
  }
  if (!Changes.empty())
    this->divideLimits();
}

} // namespace berylramp
