//===- callers.h - Callers of the system under test -------------*- C++ -*-===//

#ifndef BERYLRAMP_TEST_SOAK_CALLERS_H
#define BERYLRAMP_TEST_SOAK_CALLERS_H

#include "environment.h"

namespace berylramp::soak {

/// Whether \p Answer is one complete HTTP response.
bool isCompleteAnswer(const std::string &Answer);

/// One request and its answer.
struct CallRecord {
  std::string Id;
  /// "once", "safe" or "stream".
  std::string Kind;
  int Events = 0;
  /// Sent in the planned phase, while no faults were injected.
  bool InPlannedPhase = false;
  /// The caller closes the connection before the end of the answer.
  bool ClosedByCaller = false;
  /// HTTP status, or 0 without an answer.
  int Status = 0;
  bool Complete = false;
  Instant SentAt;
  Instant EndedAt{absl::InfiniteDuration()};
};

/// Callers that each send one request at a time. In the planned phase they
/// choose hosts from the directory and reuse their connections.
class Callers {
public:
  explicit Callers(Environment &Env) : Env(Env) {}

  void start();
  void stop() { this->Running = false; }
  void startPlannedPhase();
  void endPlannedPhase() { this->IsPlannedPhase = false; }

  /// Sends a request with \p Key to \p TargetHost; returns its HTTP status, or
  /// 0 without a complete answer.
  int probeStatus(const Host &TargetHost, const std::string &Key);

  std::vector<CallRecord> Records;
  int Succeeded = 0;
  int Refused = 0;
  int Other = 0;

private:
  struct Caller;
  void startNextCall(const std::shared_ptr<Caller> &Client);
  void sendRequest(const std::shared_ptr<Caller> &Client);
  void readAnswer(const std::shared_ptr<Caller> &Client, size_t RecordIndex);
  void finishCall(const std::shared_ptr<Caller> &Client, size_t RecordIndex);
  void checkAnswer(const std::string &Answer, CallRecord &Record);
  std::string makeRequest(const CallRecord &Record) const;
  std::string chooseHost();
  void refreshListedHosts();

  Environment &Env;
  std::vector<std::string> ListedHostIps;
  bool Running = true;
  bool IsPlannedPhase = false;
  int ProbeCount = 0;
};

} // namespace berylramp::soak

#endif // BERYLRAMP_TEST_SOAK_CALLERS_H
