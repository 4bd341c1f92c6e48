//===- audit.cpp - Checks the runs of replicas against the calls ----------===//
//
// The bounds follow from the sample settings and the sample table, as the
// platform's documentation defines them.
//
//===----------------------------------------------------------------------===//

#include "audit.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp::soak {

namespace {

constexpr absl::Duration DrainBound = absl::Milliseconds(2500);
constexpr absl::Duration EvacuationBound = absl::Seconds(5);
constexpr int64_t SentDeadlineMs = 5000;
/// Time until a run ends after its caller closed the connection.
constexpr absl::Duration AbandonedRunBound = absl::Milliseconds(500);
/// A host may close the connection of a request that it has not read up to
/// this long after the last byte of the request.
constexpr absl::Duration UnreadSlack = absl::Milliseconds(200);
constexpr absl::Duration RetryWindow = absl::Seconds(10);
constexpr double MaxRetryRatio = 0.9;
constexpr double RetrySlack = 50;
constexpr double MaxCanaryShare = 0.15;
constexpr double CanarySlack = 30;
constexpr absl::Duration RollbackBound = absl::Seconds(5);
constexpr size_t BadAnswersToRevert = 50;

using RunsOfId = std::map<std::string, std::vector<standin::ExecutedRequest>>;

RunsOfId runsById(const Environment &Env) {
  RunsOfId RunsById;
  for (const TestReplica &Replica : Env.Replicas)
    for (const standin::ExecutedRequest &ReplicaRun :
         Replica.Stub->ExecutedRequests)
      RunsById[ReplicaRun.RequestId].push_back(ReplicaRun);
  return RunsById;
}

void auditFields(Environment &Env, const RunsOfId &Runs) {
  for (const auto &[Id, IdRuns] : Runs)
    for (const standin::ExecutedRequest &ReplicaRun : IdRuns) {
      if (ReplicaRun.Workspace != "w1" || ReplicaRun.HasAuthorization)
        Env.recordViolation(absl::StrCat(
            Id, ": a replica received a wrong workspace or the caller's key"));
      if (ReplicaRun.DeadlineMs > SentDeadlineMs)
        Env.recordViolation(absl::StrCat(
            Id, ": a replica received a longer deadline than the caller sent"));
    }
}

void auditAttempts(Environment &Env, const CallRecord &Record, size_t Count) {
  if (Record.Kind == "once" && Count > 1)
    Env.recordViolation(absl::StrCat(Record.Id, " ran ", Count, " times"));
  if (Record.Kind == "once" && Record.Status == 503 && Count > 0)
    Env.recordViolation(absl::StrCat(
        Record.Id, " was answered with 503 (not executed) but ran"));
  size_t MaxRuns = Record.Kind == "once" ? 1 : Record.Kind == "safe" ? 2 : 3;
  if (Count > MaxRuns)
    Env.recordViolation(absl::StrCat(
        Record.Id, " ran more often than its maximum of attempts"));
}

/// Planned work must not interrupt requests that a host forwarded or read.
void auditInterrupted(Environment &Env, const CallRecord &Record,
                      size_t Count) {
  if (!Record.InPlannedPhase || Record.ClosedByCaller || Record.Complete)
    return;
  bool WasProcessed = Count > 0 || UnreadSlack < Record.EndedAt - Record.SentAt;
  if (WasProcessed && Record.Status != 503)
    Env.recordViolation(
        absl::StrCat(Record.Id, " (", Record.Kind,
                     ") was interrupted by planned work, status ",
                     Record.Status, ", runs ", Count));
}

void auditAbandonedRuns(Environment &Env, const Callers &Traffic,
                        const RunsOfId &Runs) {
  int AbandonedCount = 0;
  int NotEnded = 0;
  for (const CallRecord &Record : Traffic.Records) {
    auto Found = Runs.find(Record.Id);
    if (!Record.ClosedByCaller || !Record.InPlannedPhase || Record.Complete ||
        Found == Runs.end())
      continue;
    AbandonedCount += 1;
    Instant Bound = Record.EndedAt + AbandonedRunBound;
    bool AllEnded = true;
    for (const standin::ExecutedRequest &ReplicaRun : Found->second) {
      AllEnded = AllEnded && ReplicaRun.EndedAt < Bound;
      if (Bound < ReplicaRun.StartedAt)
        Env.recordViolation(absl::StrCat(
            Record.Id, " ran after its caller closed the connection"));
    }
    NotEnded += AllEnded ? 0 : 1;
  }
  if (NotEnded > AbandonedCount / 4)
    Env.recordViolation(absl::StrCat(
        NotEnded, " of ", AbandonedCount,
        " runs continued after their callers closed the connection"));
}

void auditDrains(Environment &Env) {
  for (const TestReplica &Replica : Env.Replicas)
    for (const auto &[From, To] : Replica.DrainPeriods)
      for (const standin::ExecutedRequest &ReplicaRun :
           Replica.Stub->ExecutedRequests)
        if (From + DrainBound < ReplicaRun.StartedAt &&
            ReplicaRun.StartedAt < To)
          Env.recordViolation(absl::StrCat(
              ReplicaRun.RequestId, " reached ", Replica.Stub->id(), " ",
              absl::FormatDuration(ReplicaRun.StartedAt - From),
              " after it began to drain"));
}

void auditRegions(Environment &Env) {
  for (const TestReplica &Replica : Env.Replicas) {
    bool IsFar = Replica.Place == "zone-b";
    for (const standin::ExecutedRequest &ReplicaRun :
         Replica.Stub->ExecutedRequests) {
      if (!IsFar && absl::StrContains(ReplicaRun.Path, " /once/"))
        Env.recordViolation(absl::StrCat(ReplicaRun.RequestId,
                                         " left the regions of its route"));
      if (IsFar && Env.EvacuatedAt + EvacuationBound < ReplicaRun.StartedAt &&
          ReplicaRun.StartedAt < Env.TakenBackAt)
        Env.recordViolation(absl::StrCat(ReplicaRun.RequestId,
                                         " reached an evacuated data centre"));
    }
  }
}

/// Checks that the retries of all hosts together stay within the retry budget
/// of the requests.
void auditRetryBudget(Environment &Env, const Callers &Traffic,
                      const RunsOfId &Runs, bool Streams) {
  std::vector<Instant> FirstSends;
  std::vector<Instant> Retries;
  for (const CallRecord &Record : Traffic.Records) {
    auto Found = Runs.find(Record.Id);
    if ((Record.Kind == "stream") != Streams)
      continue;
    FirstSends.push_back(Record.SentAt);
    if (Found == Runs.end())
      continue;
    std::vector<Instant> Times;
    for (const standin::ExecutedRequest &ReplicaRun : Found->second)
      Times.push_back(ReplicaRun.StartedAt);
    std::sort(Times.begin(), Times.end());
    for (size_t Index = 1; Index < Times.size(); ++Index)
      Retries.push_back(Times[Index]);
  }
  auto CountIn = [](const std::vector<Instant> &Times, Instant From) {
    return std::count_if(Times.begin(), Times.end(), [&](Instant At) {
      return !(At < From) && At < From + RetryWindow;
    });
  };
  for (Instant From : Retries) {
    auto RetryCount = static_cast<double>(CountIn(Retries, From));
    // A host may count the requests of a window that began up to one window
    // earlier, so the largest count of three starts is taken.
    auto RequestCount = static_cast<double>(
        std::max({CountIn(FirstSends, From),
                  CountIn(FirstSends, From + -RetryWindow / 2),
                  CountIn(FirstSends, From + -RetryWindow)}));
    if (RetryCount > MaxRetryRatio * RequestCount + RetrySlack) {
      Env.recordViolation(absl::StrCat(RetryCount, " retries for ",
                                       RequestCount, " requests in a window"));
      return;
    }
  }
}

} // namespace

void audit(Environment &Env, const Callers &Traffic) {
  RunsOfId Runs = runsById(Env);
  auditFields(Env, Runs);
  for (const CallRecord &Record : Traffic.Records) {
    auto Found = Runs.find(Record.Id);
    size_t Count = Found == Runs.end() ? 0 : Found->second.size();
    auditAttempts(Env, Record, Count);
    auditInterrupted(Env, Record, Count);
  }
  auditAbandonedRuns(Env, Traffic, Runs);
  auditDrains(Env);
  auditRegions(Env);
  auditRetryBudget(Env, Traffic, Runs, true);
  auditRetryBudget(Env, Traffic, Runs, false);
}

void auditRollout(Environment &Env, const Callers &Traffic, bool Good,
                  Instant OrderedAt) {
  std::string State = Env.Store.newest("keyed.status", "rollout/engine");
  const char *ExpectedState = Good ? "complete" : "reverted";
  if (!absl::StrContains(State, ExpectedState))
    Env.recordViolation(absl::StrCat("a roll-out ended in state '", State,
                                     "', expected ", ExpectedState));
  if (Good)
    return;
  std::vector<Instant> BadRunTimes;
  for (const TestReplica &Replica : Env.Replicas)
    if (Replica.Version == "v2")
      for (const standin::ExecutedRequest &ReplicaRun :
           Replica.Stub->ExecutedRequests)
        BadRunTimes.push_back(ReplicaRun.StartedAt);
  std::sort(BadRunTimes.begin(), BadRunTimes.end());
  double Requests = 0;
  for (const CallRecord &Record : Traffic.Records)
    Requests += Record.Kind == "stream" && OrderedAt < Record.SentAt ? 1 : 0;
  if (static_cast<double>(BadRunTimes.size()) >
      MaxCanaryShare * Requests + CanarySlack)
    Env.recordViolation(absl::StrCat("a faulty version received ",
                                     BadRunTimes.size(), " of ", Requests,
                                     " requests"));
  if (BadRunTimes.size() > BadAnswersToRevert &&
      BadRunTimes[BadAnswersToRevert - 1] + RollbackBound < BadRunTimes.back())
    Env.recordViolation(
        "a faulty version received requests after the rollback bound");
}

} // namespace berylramp::soak
