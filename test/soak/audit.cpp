//===- audit.cpp - What replicas and callers together show ----------------===//
//
// Bounds are those of the sample settings and table, as the platform's pages
// define them.
//
//===----------------------------------------------------------------------===//

#include "audit.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp::soak {

namespace {

constexpr absl::Duration DrainBound = absl::Milliseconds(2500);
constexpr int64_t DeadlineSent = 5000;
/// A run whose caller has left ends within this.
constexpr absl::Duration GoneBound = absl::Milliseconds(500);
/// An unread request may be closed this long after its last byte.
constexpr absl::Duration LossSlack = absl::Milliseconds(200);
constexpr absl::Duration RetryWindow = absl::Seconds(10);
constexpr double RetryRatio = 0.9;
constexpr double RetrySlack = 50;
constexpr double CanaryShare = 0.15;
constexpr double CanarySlack = 30;
constexpr absl::Duration RollbackBound = absl::Seconds(5);
constexpr size_t BadAnswersCounted = 50;

using RunsOfId = std::map<std::string, std::vector<standin::ExecutedRequest>>;

RunsOfId runsById(const World &Around) {
  RunsOfId Out;
  for (const Server &Each : Around.Servers)
    for (const standin::ExecutedRequest &Made : Each.Stub->ExecutedRequests)
      Out[Made.RequestId].push_back(Made);
  return Out;
}

void auditFields(World &Around, const RunsOfId &Runs) {
  for (const auto &[Id, List] : Runs)
    for (const standin::ExecutedRequest &Made : List) {
      if (Made.Workspace != "w1" || Made.HasAuthorization)
        Around.broken(absl::StrCat(Id, ": wrong workspace or key"));
      if (Made.DeadlineMs > DeadlineSent)
        Around.broken(absl::StrCat(Id, ": more time than left"));
    }
}

void auditAttempts(World &Around, const Asked &Row, size_t Count) {
  if (Row.Kind == "once" && Count > 1)
    Around.broken(absl::StrCat(Row.Id, " ran ", Count, " times"));
  if (Row.Kind == "once" && Row.Status == 503 && Count > 0)
    Around.broken(absl::StrCat(Row.Id, " was 'not run' and ran"));
  size_t Most = Row.Kind == "once" ? 1 : Row.Kind == "safe" ? 2 : 3;
  if (Count > Most)
    Around.broken(absl::StrCat(Row.Id, " exceeded its attempts"));
}

/// Planned work cuts nothing that was passed on or read.
void auditLost(World &Around, const Asked &Row, size_t Count) {
  if (!Row.InPlannedTime || Row.Left || Row.Whole)
    return;
  bool Read = Count > 0 || LossSlack < Row.EndedAt - Row.SentAt;
  if (Read && Row.Status != 503)
    Around.broken(absl::StrCat(Row.Id, " (", Row.Kind,
                               ") was cut by planned work, status ", Row.Status,
                               ", runs ", Count));
}

void auditGone(World &Around, const Callers &Asking, const RunsOfId &Runs) {
  int Left = 0;
  int StillAtWork = 0;
  for (const Asked &Row : Asking.Rows) {
    auto Found = Runs.find(Row.Id);
    if (!Row.Left || !Row.InPlannedTime || Row.Whole || Found == Runs.end())
      continue;
    Left += 1;
    Instant Bound = Row.EndedAt + GoneBound;
    bool Over = true;
    for (const standin::ExecutedRequest &Made : Found->second) {
      Over = Over && Made.EndedAt < Bound;
      if (Bound < Made.StartedAt)
        Around.broken(absl::StrCat(Row.Id, " ran after its caller had left"));
    }
    StillAtWork += Over ? 0 : 1;
  }
  if (StillAtWork > Left / 4)
    Around.broken(absl::StrCat(StillAtWork, " of ", Left,
                               " runs went on after their callers had left"));
}

void auditDrains(World &Around) {
  for (const Server &Each : Around.Servers)
    for (const auto &[From, To] : Each.Drains)
      for (const standin::ExecutedRequest &Made : Each.Stub->ExecutedRequests)
        if (From + DrainBound < Made.StartedAt && Made.StartedAt < To)
          Around.broken(
              absl::StrCat(Made.RequestId, " reached ", Each.Stub->id(), " ",
                           absl::FormatDuration(Made.StartedAt - From),
                           " after it began to drain"));
}

/// Further runs of all hosts together against what was asked.
void auditBudget(World &Around, const Callers &Asking, const RunsOfId &Runs,
                 bool Streams) {
  std::vector<Instant> First;
  std::vector<Instant> Further;
  for (const Asked &Row : Asking.Rows) {
    auto Found = Runs.find(Row.Id);
    if ((Row.Kind == "stream") != Streams)
      continue;
    First.push_back(Row.SentAt);
    if (Found == Runs.end())
      continue;
    std::vector<Instant> Times;
    for (const standin::ExecutedRequest &Made : Found->second)
      Times.push_back(Made.StartedAt);
    std::sort(Times.begin(), Times.end());
    for (size_t Index = 1; Index < Times.size(); ++Index)
      Further.push_back(Times[Index]);
  }
  auto CountIn = [](const std::vector<Instant> &Times, Instant From) {
    return std::count_if(Times.begin(), Times.end(), [&](Instant At) {
      return !(At < From) && At < From + RetryWindow;
    });
  };
  for (Instant From : Further) {
    auto Extra = static_cast<double>(CountIn(Further, From));
    // Requests are counted where they are most: here, or half a window or a
    // window before.
    auto Base = static_cast<double>(
        std::max({CountIn(First, From), CountIn(First, From + -RetryWindow / 2),
                  CountIn(First, From + -RetryWindow)}));
    if (Extra > RetryRatio * Base + RetrySlack) {
      Around.broken(absl::StrCat(Extra, " further runs for ", Base,
                                 " requests in a window"));
      return;
    }
  }
}

} // namespace

void audit(World &Around, const Callers &Asking) {
  RunsOfId Runs = runsById(Around);
  auditFields(Around, Runs);
  for (const Asked &Row : Asking.Rows) {
    auto Found = Runs.find(Row.Id);
    size_t Count = Found == Runs.end() ? 0 : Found->second.size();
    auditAttempts(Around, Row, Count);
    auditLost(Around, Row, Count);
  }
  auditGone(Around, Asking, Runs);
  auditDrains(Around);
  auditBudget(Around, Asking, Runs, true);
  auditBudget(Around, Asking, Runs, false);
}

void auditRollout(World &Around, const Callers &Asking, bool Good,
                  Instant OrderedAt) {
  std::string State = Around.Store.newest("keyed.status", "rollout/engine");
  const char *Wanted = Good ? "complete" : "reverted";
  if (!absl::StrContains(State, Wanted))
    Around.broken(
        absl::StrCat("a roll-out ended as '", State, "', not ", Wanted));
  if (Good)
    return;
  std::vector<Instant> Bad;
  for (const Server &Each : Around.Servers)
    if (Each.Version == "v2")
      for (const standin::ExecutedRequest &Made : Each.Stub->ExecutedRequests)
        Bad.push_back(Made.StartedAt);
  std::sort(Bad.begin(), Bad.end());
  double Requests = 0;
  for (const Asked &Row : Asking.Rows)
    Requests += Row.Kind == "stream" && OrderedAt < Row.SentAt ? 1 : 0;
  if (static_cast<double>(Bad.size()) > CanaryShare * Requests + CanarySlack)
    Around.broken(absl::StrCat("a bad version got ", Bad.size(), " of ",
                               Requests, " requests"));
  if (Bad.size() > BadAnswersCounted &&
      Bad[BadAnswersCounted - 1] + RollbackBound < Bad.back())
    Around.broken("a bad version got requests after it had to be withdrawn");
}

} // namespace berylramp::soak
