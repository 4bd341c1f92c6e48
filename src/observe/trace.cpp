//===- trace.cpp - Bounded buffer of request traces -----------------------===//
//
// A trace explains the decisions made for a request after it has finished. The
// oldest traces of a shard are evicted first.
//
//===----------------------------------------------------------------------===//

#include "berylramp/observe.h"

namespace berylramp {

void Trace::add(absl::Duration Elapsed, std::string Name, std::string Detail) {
  this->Steps.push_back(TraceStep{Elapsed, std::move(Name), std::move(Detail)});
}

Json::Value traceToJson(const Trace &Record) {
  Json::Value Result;
  Result["request"] = Record.Request.text();
  Result["workspace"] = Record.Workspace.text();
  Result["table_offset"] = Json::Int64(Record.TableOffset.count());
  Result["started_at"] = absl::FormatTime(absl::RFC3339_full, Record.StartedAt,
                                          absl::UTCTimeZone());
  Result["steps"] = Json::Value(Json::arrayValue);
  for (const TraceStep &Step : Record.Steps) {
    Json::Value Row;
    Row["at_ms"] = absl::ToDoubleMilliseconds(Step.Elapsed);
    Row["what"] = Step.Name;
    Row["detail"] = Step.Detail;
    Result["steps"].append(Row);
  }
  return Result;
}

void TraceRing::add(Trace Finished) {
  Shard &Owner = this->Shards[stableHash(Finished.Request.text()) % ShardCount];
  MutexLock Guard(&Owner.Lock);
  Owner.Traces.push_back(std::move(Finished));
  if (Owner.Traces.size() > MaxTracesPerShard)
    Owner.Traces.pop_front();
}

bool TraceRing::find(const RequestId &Request, Trace &Result) const {
  const Shard &Owner = this->Shards[stableHash(Request.text()) % ShardCount];
  MutexLock Guard(&Owner.Lock);
  for (auto Entry = Owner.Traces.rbegin(); Entry != Owner.Traces.rend();
       ++Entry) {
    if (Entry->Request == Request) {
      Result = *Entry;
      return true;
    }
  }
  return false;
}

} // namespace berylramp
