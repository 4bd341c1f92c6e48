//===- trace.cpp - The bounded ring of request traces ---------------------===//
//
// A trace explains one request after the fact; the oldest give way first.
//
//===----------------------------------------------------------------------===//

#include "berylramp/observe.h"

namespace berylramp {

void Trace::add(absl::Duration At, std::string What, std::string Detail) {
  this->Steps.push_back(TraceStep{At, std::move(What), std::move(Detail)});
}

Json::Value traceToJson(const Trace &Which) {
  Json::Value Out;
  Out["request"] = Which.Request.text();
  Out["workspace"] = Which.Workspace.text();
  Out["table_offset"] = Json::Int64(Which.TableOffset.count());
  Out["started_at"] = absl::FormatTime(absl::RFC3339_full, Which.StartedAt,
                                       absl::UTCTimeZone());
  Out["steps"] = Json::Value(Json::arrayValue);
  for (const TraceStep &Step : Which.Steps) {
    Json::Value Row;
    Row["at_ms"] = absl::ToDoubleMilliseconds(Step.At);
    Row["what"] = Step.What;
    Row["detail"] = Step.Detail;
    Out["steps"].append(Row);
  }
  return Out;
}

void TraceRing::keep(Trace Finished) {
  Shard &Home = this->Shards[stableHash(Finished.Request.text()) % ShardCount];
  MutexLock Hold(&Home.Lock);
  Home.Kept.push_back(std::move(Finished));
  if (Home.Kept.size() > TracesInShard)
    Home.Kept.pop_front();
}

bool TraceRing::find(const RequestId &Request, Trace &Out) const {
  const Shard &Home = this->Shards[stableHash(Request.text()) % ShardCount];
  MutexLock Hold(&Home.Lock);
  for (auto Each = Home.Kept.rbegin(); Each != Home.Kept.rend(); ++Each) {
    if (Each->Request == Request) {
      Out = *Each;
      return true;
    }
  }
  return false;
}

} // namespace berylramp
