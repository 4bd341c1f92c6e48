//===- ports.h - What the router needs from outside -------------*- C++ -*-===//
//
// Each port is a plain struct of functions. Adapters fill them for a running
// daemon; tests fill them with small fakes.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_PORTS_H
#define BERYLRAMP_PORTS_H

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "berylramp/units.h"
#include <functional>
#include <json/value.h>
#include <string>
#include <vector>

namespace berylramp {

/// One record of a log stream.
struct LogRecord {
  Offset At;
  absl::Time AppendedAt;
  std::string Data;
};

/// A run of records. Tail is the offset the next append would get.
struct LogPage {
  Offset FirstKept;
  Offset Tail;
  std::vector<LogRecord> Records;
};

/// The platform's append-only log. A failed Append may still have taken
/// effect: only reading the stream tells.
struct LogPort {
  std::function<absl::StatusOr<Offset>(const StreamName &, const std::string &)>
      Append;
  /// Reads from an offset on; waits at most the duration for a first record.
  std::function<absl::StatusOr<LogPage>(const StreamName &, Offset,
                                        absl::Duration)>
      Read;
};

enum class HostRole { Entry, Engine, Service };

/// One line of the platform's host list, which lags.
struct ListedHost {
  std::string Name;
  PlaceId Place;
  HostRole Role = HostRole::Engine;
  Endpoint Address;
  bool Leaving = false;
  /// For Service: the service that the host offers.
  ServiceId Service;
};

struct HostListPort {
  std::function<absl::StatusOr<std::vector<ListedHost>>()> Fetch;
};

/// An answer given to the rater.
struct RatingQuery {
  RequestId Request;
  RequestKindId Kind;
  VersionKey Version;
  std::string Prompt;
  std::string Answer;
};

/// What the rater found: whether the answer met the kind's agreed quality.
struct Rating {
  RequestId Request;
  RequestKindId Kind;
  VersionKey Version;
  double Score = 0;
};

struct RaterPort {
  /// Rates one answer; waits at most the duration.
  std::function<absl::StatusOr<Rating>(const RatingQuery &, absl::Duration)>
      Rate;
};

/// One message of a prompt.
struct ChatMessage {
  std::string Role;
  std::string Content;
};

/// An order to a model engine to generate one answer.
struct GenerateCall {
  Endpoint To;
  AttemptId Attempt;
  VersionKey Version;
  std::vector<ChatMessage> Messages;
  Tokens MaxTokens;
  int Priority = 0;
  /// Tokens that an earlier attempt already delivered.
  Tokens ResumeFrom;
  absl::Duration Timeout = absl::Seconds(60);
};

/// How an upstream call ended.
enum class UpstreamFault {
  None,
  ConnectFailed,
  Refused,
  Cut,
  Crossed,
  Late,
  CallerGone
};

struct GenerateResult {
  UpstreamFault Fault = UpstreamFault::None;
  Tokens In;
  Tokens Out;
  std::string Detail;
};

/// A call to a plain service.
struct ServiceCall {
  Endpoint To;
  AttemptId Attempt;
  std::string Method;
  std::string Path;
  std::string Body;
  std::string IdempotencyKey;
  absl::Duration Timeout = absl::Seconds(30);
};

struct ServiceResult {
  UpstreamFault Fault = UpstreamFault::None;
  int Status = 0;
  std::string Body;
  std::string Detail;
};

/// What an engine reports about itself; the report lags.
struct EngineLoad {
  int Running = 0;
  int Waiting = 0;
  int Slots = 1;
  Tokens CacheUsed;
  Tokens CacheSize;
  double TokensPerSecond = 0;
  bool Leaving = false;
  std::vector<VersionKey> Versions;
};

/// Receives a part of an answer; false stops the upstream.
using TextSink = std::function<bool(const std::string &)>;

struct UpstreamPort {
  std::function<GenerateResult(const GenerateCall &, const TextSink &)>
      Generate;
  std::function<ServiceResult(const ServiceCall &)> CallService;
  std::function<absl::StatusOr<EngineLoad>(const Endpoint &)> ReadLoad;
};

/// Calls a method of a peer host. Parameters and results are JSON objects.
struct PeerPort {
  std::function<absl::StatusOr<Json::Value>(
      const Endpoint &, const std::string &Method, const Json::Value &Params)>
      Call;
};

} // namespace berylramp

#endif // BERYLRAMP_PORTS_H
