//===- observe.h - Logs, counters, histograms and traces --------*- C++ -*-===//
//
// JSON-lines logs through log4cplus, a metrics registry with a text exposition
// format, and a bounded buffer of request traces.
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

/// Writes all log lines of this process to standard error as JSON objects that
/// contain \p Host and \p Place. Must be called once, before the first log
/// line.
void startLogging(const HostId &Host, const PlaceId &Place, bool Verbose);

/// Like startLogging, but a separate thread writes the lines from a bounded
/// queue to standard output. A stalled reader therefore never blocks callers;
/// lines that do not fit are dropped, and a log line reports their count.
void startQueuedLogging(const HostId &Host, const PlaceId &Place);

/// Writes the queued lines and stops the thread.
void stopQueuedLogging();

enum class LogLevel { Debug, Info, Warn, Error };

/// Writes one line with the name of the event and the members of \p Fields.
void logEvent(LogLevel Level, const char *Event,
              const Json::Value &Fields = Json::Value(Json::objectValue));

/// Monotonic counters. All of them are exported from the start, at zero.
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
  PaidLinkBytes,
  SlowReadersEnded,
  BodiesRefused,
  LoadReportsRejected,
  RequestsDelayed,
  RefusedBeyondDeadline,
  RefusedForUtilization
};
inline constexpr int CounterCount =
    static_cast<int>(Counter::RefusedForUtilization) + 1;

/// Latency histograms, in seconds.
enum class Latency {
  FirstToken,
  BetweenTokens,
  WholeRequest,
  Decision,
  LogAppend,
  BillSafe,
  ConfigLag,
  /// Time for which a request waited at this host for room.
  DispatchWait
};
inline constexpr int LatencyCount = static_cast<int>(Latency::DispatchWait) + 1;

/// A value sampled when the metrics are read.
struct Gauge {
  std::string Name;
  double Value = 0;
};

/// The metrics registry of a process. Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();

  void count(Counter Id, int64_t Amount = 1);
  void countRefusal(RefusalKind Kind);
  void countRetry(RetryReason Reason);
  void observe(Latency Id, absl::Duration Elapsed);

  int64_t value(Counter Id) const;
  int64_t refusals(RefusalKind Kind) const;
  int64_t retries(RetryReason Reason) const;
  /// Returns the quantile \p Q, between 0 and 1, of the observed durations in
  /// seconds. The result is the upper edge of the histogram bin.
  double quantile(Latency Id, double Q) const;
  /// Returns all metrics in the text exposition format, followed by \p Gauges.
  std::string exposition(const std::vector<Gauge> &Gauges) const;

private:
  struct Histograms;
  std::array<std::atomic<int64_t>, CounterCount> Counters{};
  std::array<std::atomic<int64_t>, RefusalKindCount> Refusals{};
  std::array<std::atomic<int64_t>, RetryReasonCount> Retries{};
  std::unique_ptr<Histograms> Latencies;
};

/// One step in the processing of a request.
struct TraceStep {
  absl::Duration Elapsed;
  std::string Name;
  std::string Detail;
};

/// The decisions made for one request and the reasons for them.
struct Trace {
  RequestId Request;
  WorkspaceId Workspace;
  Offset TableOffset = NoOffset;
  absl::Time StartedAt;
  std::vector<TraceStep> Steps;

  void add(absl::Duration Elapsed, std::string Name, std::string Detail = "");
};

Json::Value traceToJson(const Trace &Record);

/// Stores the most recent traces in shards, each with its own lock and bound.
class TraceRing {
public:
  void add(Trace Finished);
  /// Returns false if there is no trace of the request or if it has already
  /// been evicted.
  bool find(const RequestId &Request, Trace &Result) const;

private:
  static constexpr size_t ShardCount = 16;
  static constexpr size_t MaxTracesPerShard = 128;
  struct Shard {
    mutable Mutex Lock;
    std::deque<Trace> Traces;
  };
  std::array<Shard, ShardCount> Shards;
};

} // namespace berylramp

#endif // BERYLRAMP_OBSERVE_H
