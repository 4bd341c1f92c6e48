//===- observe.h - Logs, counters, histograms and traces --------*- C++ -*-===//
//
// What the system did and why: JSON-lines logs through log4cplus, one metrics
// registry with a text exposition, and a bounded ring of request traces.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_OBSERVE_H
#define BERYLRAMP_OBSERVE_H

#include "absl/time/time.h"
#include "berylramp/refusal.h"
#include "berylramp/sync.h"
#include "berylramp/units.h"
#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <json/value.h>
#include <memory>
#include <string>
#include <vector>

namespace berylramp {

/// Sends all log lines of this process to standard error as JSON lines that
/// carry \p Host and \p Place. Call once, before the first log line.
void startLogging(const HostId &Host, const PlaceId &Place, bool Verbose);

/// Like startLogging, but to standard output through a bounded queue and a
/// thread of its own: a reader that stalls costs lines, which are counted in a
/// line of their own, and never delays the caller.
void startQueuedLogging(const HostId &Host, const PlaceId &Place);

/// Writes what is queued and ends the thread.
void stopQueuedLogging();

enum class LogLevel { Debug, Info, Warn, Error };

/// Writes one line with the event's name and the members of \p Fields.
void logEvent(LogLevel Level, const char *Event,
              const Json::Value &Fields = Json::Value(Json::objectValue));

/// Plain counters, each present at zero from the start.
enum class Counter {
  RequestsReceived,
  AnswersWhole,
  AnswersStreamed,
  TokensIn,
  TokensOut,
  BillsRecorded,
  BillsAppended,
  BillsAdopted,
  EditsAccepted,
  EditsRejected,
  SnapshotsPublished,
  DigestMismatches,
  ClaimsAppended,
  ClaimsVoided,
  LogReads,
  LogReadFailures,
  LogAppendFailures,
  PeerExchanges,
  PeerExchangeFailures,
  PeerBytesSent,
  PeerBytesReceived,
  ClampedModel,
  ClampedLength,
  ClampedPriority,
  Escalations,
  RatingsReceived,
  HoldsTripped,
  ReplicaEjections,
  BytesAcross
};
inline constexpr int CounterCount = static_cast<int>(Counter::BytesAcross) + 1;

/// Latency histograms, in seconds.
enum class Latency {
  FirstToken,
  BetweenTokens,
  WholeRequest,
  Decision,
  LogAppend,
  BillSafe,
  ConfigLag
};
inline constexpr int LatencyCount = static_cast<int>(Latency::ConfigLag) + 1;

/// One number sampled when the metrics are read.
struct Gauge {
  std::string Name;
  double Value = 0;
};

/// The registry of one process. All members may be called from any thread.
class Metrics {
public:
  Metrics();
  ~Metrics();

  void count(Counter Which, int64_t By = 1);
  void countRefusal(RefusalKind Kind);
  void countRetry(RetryReason Reason);
  void observe(Latency Which, absl::Duration Took);

  int64_t value(Counter Which) const;
  int64_t refusals(RefusalKind Kind) const;
  int64_t retries(RetryReason Reason) const;
  /// The quantile \p Q in 0..1 of what was observed, in seconds.
  double quantile(Latency Which, double Q) const;
  /// The text exposition, with \p Gauges appended.
  std::string exposition(const std::vector<Gauge> &Gauges) const;

private:
  struct Histograms;
  std::array<std::atomic<int64_t>, CounterCount> Counters{};
  std::array<std::atomic<int64_t>, RefusalKindCount> Refusals{};
  std::array<std::atomic<int64_t>, RetryReasonCount> Retries{};
  std::unique_ptr<Histograms> Latencies;
};

/// One step of a request's way through the router.
struct TraceStep {
  absl::Duration At;
  std::string What;
  std::string Detail;
};

/// What was decided for one request, and why.
struct Trace {
  RequestId Request;
  WorkspaceId Workspace;
  Offset TableOffset = NoOffset;
  absl::Time StartedAt;
  std::vector<TraceStep> Steps;

  void add(absl::Duration At, std::string What, std::string Detail = "");
};

Json::Value traceToJson(const Trace &Which);

/// Keeps the last traces, in shards that each have a lock and a bound.
class TraceRing {
public:
  void keep(Trace Finished);
  /// False when the request is not, or no longer, in the ring.
  bool find(const RequestId &Request, Trace &Out) const;

private:
  static constexpr size_t ShardCount = 16;
  static constexpr size_t TracesInShard = 128;
  struct Shard {
    mutable Mutex Lock;
    std::deque<Trace> Kept;
  };
  std::array<Shard, ShardCount> Shards;
};

} // namespace berylramp

#endif // BERYLRAMP_OBSERVE_H
