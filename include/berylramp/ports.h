//===- ports.h - Interfaces to external services ----------------*- C++ -*-===//
//
// A port is a plain struct of function objects. Adapters implement the ports
// for a running daemon; tests supply fakes.
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
  Offset Position;
  absl::Time AppendedAt;
  std::string Data;
};

/// Consecutive records of a stream. Tail is the offset that the next appended
/// record receives; FirstRetained is the oldest offset that is still readable.
struct LogPage {
  Offset FirstRetained;
  Offset Tail;
  std::vector<LogRecord> Records;
};

/// The platform's append-only log. A failed Append may still have taken
/// effect; only reading the stream back shows whether it did.
struct LogPort {
  std::function<absl::StatusOr<Offset>(const StreamName &, const std::string &)>
      Append;
  /// Reads records starting at an offset. If there are none yet, waits for the
  /// first one for at most the given duration.
  std::function<absl::StatusOr<LogPage>(const StreamName &, Offset,
                                        absl::Duration)>
      Read;
};

enum class HostRole { Entry, Engine, Service };

/// One entry of the platform's host list. The list may be out of date.
struct ListedHost {
  std::string Name;
  PlaceId Place;
  HostRole Role = HostRole::Engine;
  Endpoint Address;
  bool Leaving = false;
  /// The service that the host provides; set only if Role is Service.
  ServiceId Service;
};

struct HostListPort {
  std::function<absl::StatusOr<std::vector<ListedHost>>()> Fetch;
};

/// An answer submitted to the rater.
struct RatingQuery {
  RequestId Request;
  RequestKindId Kind;
  VersionKey Version;
  std::string Prompt;
  std::string Answer;
};

/// The rater's result: how well the answer met the quality agreed for its
/// request kind.
struct Rating {
  RequestId Request;
  RequestKindId Kind;
  VersionKey Version;
  double Score = 0;
};

struct RaterPort {
  /// Rates one answer; waits for at most the given duration.
  std::function<absl::StatusOr<Rating>(const RatingQuery &, absl::Duration)>
      Rate;
};

/// One message of a prompt.
struct ChatMessage {
  std::string Role;
  std::string Content;
};

/// A request to a model engine to generate one answer.
struct GenerateCall {
  Endpoint Address;
  AttemptId Attempt;
  VersionKey Version;
  std::vector<ChatMessage> Messages;
  Tokens MaxTokens;
  int Priority = 0;
  /// The number of tokens that earlier attempts have already delivered.
  Tokens ResumeFrom;
  absl::Duration Timeout = absl::Seconds(60);
};

/// The reason why an upstream call failed.
enum class UpstreamFault {
  None,
  ConnectFailed,
  Refused,
  /// The connection failed before the end of the answer.
  Interrupted,
  /// The answer carries the id of another attempt.
  Misdirected,
  /// No data arrived within the call's timeout.
  TimedOut,
  /// The caller stopped reading the answer.
  CallerDisconnected
};

struct GenerateResult {
  UpstreamFault Fault = UpstreamFault::None;
  Tokens PromptTokens;
  Tokens CompletionTokens;
  std::string Detail;
};

/// A call to a plain service.
struct ServiceCall {
  Endpoint Address;
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

/// The load that an engine reports for itself. The report may be out of date.
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

/// Receives a part of an answer. Returning false cancels the upstream call.
using TextSink = std::function<bool(const std::string &)>;

struct UpstreamPort {
  std::function<GenerateResult(const GenerateCall &, const TextSink &)>
      Generate;
  std::function<ServiceResult(const ServiceCall &)> CallService;
  std::function<absl::StatusOr<EngineLoad>(const Endpoint &)> ReadLoad;
};

/// Calls a method on a peer host. Parameters and results are JSON objects.
struct PeerPort {
  std::function<absl::StatusOr<Json::Value>(
      const Endpoint &, const std::string &Method, const Json::Value &Params)>
      Call;
};

} // namespace berylramp

#endif // BERYLRAMP_PORTS_H
