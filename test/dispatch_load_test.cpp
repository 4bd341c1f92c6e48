//===- dispatch_load_test.cpp - Decisions under a shortage of room --------===//
//
// Engines that serve prompts in the order of their arrival, and hosts that
// decide on each request. All times are in milliseconds.
//
//===----------------------------------------------------------------------===//

#include "berylramp/dispatch.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

using namespace berylramp;

namespace {

constexpr double Step = 5;
constexpr uint64_t HotWorkspace = 0;

Instant at(double Ms) { return Instant{absl::Milliseconds(Ms)}; }

struct Kind {
  int Rank;
  double Work;
  double Target;
  double Deadline;
};

constexpr Kind Urgent{0, 20, 1000, 8000};
constexpr Kind Batch{1, 100, 4000, 10000};

struct Tally {
  double Offered = 0;
  double InTime = 0;
  double Served = 0;
  double Work = 0;
  double inTime() const { return this->InTime / this->Offered; }
  double served() const { return this->Served / this->Offered; }
};

struct Request {
  Kind Type;
  double Arrival;
  uint64_t Workspace;
  bool Returned;
};

struct Host {
  DispatchQueue Queue;
  ShareTable Shares;
  std::map<WaiterId, Request> Waiting;
  /// Ends of the work at each engine as far as this host knows.
  std::vector<double> Known;
  bool Cut = false;
};

struct Fleet {
  explicit Fleet(size_t HostCount = 4) : Hosts(HostCount) {
    for (Host &Each : this->Hosts)
      Each.Known.resize(4);
  }

  /// Sends \p PerSecond requests until \p End, as accumulated over the steps.
  void offer(const Kind &Type, double PerSecond, uint64_t Workspace) {
    // The workspaces do not send in step.
    double &Due = this->Due.try_emplace({Type.Rank, Workspace}, Workspace / 8.0)
                      .first->second;
    for (Due += PerSecond * Step / 1000; Due >= 1; Due -= 1) {
      this->Results[Type.Rank].Offered += 1;
      this->ByWorkspace[Workspace].Offered += 1;
      this->decide(this->Hosts[this->Next++ % this->Hosts.size()],
                   {Type, this->Now, Workspace, false}, ++this->LastId, true);
    }
  }

  size_t choose(const Host &At) const {
    return std::min_element(At.Known.begin(),
                            At.Known.begin() + this->EngineCount) -
           At.Known.begin();
  }

  bool decide(Host &At, const Request &Asked, WaiterId Id, bool IsNew) {
    size_t Engine = this->choose(At);
    double Sum = 0;
    for (int Index = 0; Index < this->EngineCount; ++Index)
      Sum += std::max(0.0, At.Known[Index] - this->Now);
    DispatchQuery Query;
    Query.Now = at(this->Now);
    Query.ArrivedAt = at(Asked.Arrival);
    Query.DeadlineAt = at(Asked.Arrival + Asked.Type.Deadline);
    Query.Target = absl::Milliseconds(Asked.Type.Target);
    Query.Timeout = absl::Milliseconds(Asked.Type.Deadline);
    Query.UrgentTarget = absl::Milliseconds(Urgent.Target);
    Query.Rank = Asked.Type.Rank;
    Query.OverShare = At.Shares.isOverShare(Asked.Workspace);
    int Rank = Query.Rank + (Query.OverShare ? 1 : 0);
    Query.Wait =
        absl::Milliseconds(std::max(0.0, At.Known[Engine] - this->Now));
    Query.Work = absl::Milliseconds(Asked.Type.Work);
    Query.MeanWait = absl::Milliseconds(Sum / this->EngineCount);
    Query.ReplicasQueue = Sum > 0;
    Query.Spread = static_cast<double>(Id * 2654435761U % 1000) / 1000;
    if (IsNew) {
      At.Queue.onOffered(Query.Rank, Query.Work, Query.Now);
      At.Shares.onUse(Asked.Workspace, Asked.Type.Work, Query.Now);
      Query.QueueWait = At.Queue.waitAhead(Rank, Query.Now);
      Query.Overtakes = At.Queue.hasAhead(Rank);
    }
    Query.BelowFloor =
        At.Queue.isBelowFloor(Query.Rank, this->Settings.FloorRatio, Query.Now);
    DispatchDecision Decision = decideDispatch(Query, this->Settings);
    if (Decision.Action == DispatchAction::Wait) {
      this->Waits += 1;
      At.Waiting[Id] = Asked;
      At.Queue.add({Id, Rank, latestStart(Query, this->Settings),
                    Query.ArrivedAt, Query.Work, 0});
      return false;
    }
    At.Queue.remove(Id);
    At.Waiting.erase(Id);
    if (Decision.Action == DispatchAction::Refuse) {
      this->Refused += 1;
      this->RefusedAfter =
          std::max(this->RefusedAfter, this->Now - Asked.Arrival);
      if (!Asked.Returned)
        this->Returns.emplace(
            this->Now + absl::ToDoubleMilliseconds(Decision.RetryAfter), Asked);
      return true;
    }
    At.Queue.onSent(Query.Rank, Query.Work, Query.Now);
    double End = std::max(this->Now, this->Ends[Engine]) + Asked.Type.Work;
    this->Ends[Engine] = End;
    for (Host &Other : this->Hosts)
      if (&Other == &At || (!At.Cut && !Other.Cut))
        Other.Known[Engine] =
            std::max(this->Now, Other.Known[Engine]) + Asked.Type.Work;
    bool Served = End <= Asked.Arrival + Asked.Type.Deadline;
    bool InTime = End <= Asked.Arrival + Asked.Type.Target;
    for (Tally *Result : {&this->Results[Asked.Type.Rank],
                          &this->ByWorkspace[Asked.Workspace]}) {
      Result->Served += Served ? 1 : 0;
      Result->InTime += InTime ? 1 : 0;
      Result->Work += Served ? Asked.Type.Work : 0;
    }
    return true;
  }

  void retry(Host &At) {
    for (WaiterId Id : At.Queue.due(at(this->Now), 8))
      this->decide(At, At.Waiting.at(Id), Id, false);
    bool Left = true;
    for (int Count = 0; Left && Count < 8; ++Count) {
      Left = false;
      for (WaiterId Id : At.Queue.heads())
        Left = this->decide(At, At.Waiting.at(Id), Id, false) || Left;
    }
  }

  void run(double Seconds, const std::function<void()> &Offer) {
    for (double End = this->Now + Seconds * 1000; this->Now < End;
         this->Now += Step) {
      Offer();
      while (!this->Returns.empty() &&
             this->Returns.begin()->first <= this->Now) {
        Request Asked = this->Returns.begin()->second;
        this->Returns.erase(this->Returns.begin());
        Asked.Returned = true;
        Asked.Type.Deadline -= this->Now - Asked.Arrival;
        Asked.Type.Target -= this->Now - Asked.Arrival;
        Asked.Arrival = this->Now;
        this->decide(this->Hosts[this->Next++ % this->Hosts.size()], Asked,
                     ++this->LastId, true);
      }
      for (Host &Each : this->Hosts)
        this->retry(Each);
      if (static_cast<int>(this->Now) % 500 == 0)
        this->gossip();
    }
  }

  void gossip() {
    for (size_t Index = 0; Index < this->Hosts.size(); ++Index) {
      Host &From = this->Hosts[Index];
      Host &To = this->Hosts[(Index + 1) % this->Hosts.size()];
      From.Shares.update(at(this->Now));
      if (!From.Cut && !To.Cut)
        To.Shares.merge(From.Shares.report());
    }
  }

  std::vector<Host> Hosts;
  DispatchSettings Settings;
  int EngineCount = 4;
  std::vector<double> Ends = std::vector<double>(4);
  std::map<std::pair<int, uint64_t>, double> Due;
  std::multimap<double, Request> Returns;
  std::map<int, Tally> Results;
  std::map<uint64_t, Tally> ByWorkspace;
  double Now = 0;
  /// The longest time after which a request was refused.
  double RefusedAfter = 0;
  size_t Next = 0;
  WaiterId LastId = 0;
  int Waits = 0;
  int Refused = 0;
};

/// Half of the room, three fifths of it for the less urgent kind.
void offerUsual(Fleet &Load, double BatchFactor = 1, double Factor = 1) {
  for (uint64_t Workspace = 0; Workspace < 8; ++Workspace) {
    Load.offer(Urgent, Factor * 40.0 / 8, Workspace);
    Load.offer(Batch, Factor * BatchFactor * 12.0 / 8, Workspace);
  }
}

/// What a caller notices.
constexpr double Tolerance = 0.03;
/// The share of the room that is used whatever is refused.
constexpr double UsedRoom = 0.9;

double usedRoom(const Fleet &Load, double Seconds) {
  double Work = 0;
  for (const auto &[Rank, Result] : Load.Results)
    Work += Result.Work;
  return Work / (Seconds * 1000 * Load.EngineCount);
}

} // namespace

TEST_CASE("Load pattern: nothing waits while there is room") {
  Fleet Load;
  Load.run(20, [&] { offerUsual(Load); });
  CHECK(Load.Waits == 0);
  CHECK(Load.Refused == 0);
  CHECK(Load.Results[0].inTime() == 1);
  CHECK(Load.Results[1].inTime() == 1);
}

TEST_CASE("Load pattern: a flood of the least urgent kind spares the urgent") {
  Fleet Load;
  Load.run(30, [&] { offerUsual(Load, 3.5); });
  CHECK(Load.Results[0].inTime() >= 1 - Tolerance);
  CHECK(usedRoom(Load, 30) >= UsedRoom);
  CHECK(Load.RefusedAfter < Batch.Target / 8);
}

TEST_CASE("Load pattern: a short flood of the least urgent kind is served") {
  Fleet Load;
  Load.run(3, [&] { offerUsual(Load); });
  Load.run(5, [&] { offerUsual(Load, 3.5); });
  Load.run(12, [&] { offerUsual(Load); });
  CHECK(Load.Results[0].inTime() >= 1 - Tolerance);
  CHECK(Load.Results[1].served() >= 1 - Tolerance);
}

TEST_CASE("Load pattern: a workspace at ten times its usual takes no room") {
  Fleet Load;
  Load.run(10, [&] { offerUsual(Load); });
  Load.Results.clear();
  Load.ByWorkspace.clear();
  Load.run(20, [&] {
    offerUsual(Load);
    Load.offer(Urgent, 9 * 40.0 / 8, HotWorkspace);
    Load.offer(Batch, 9 * 12.0 / 8, HotWorkspace);
  });
  for (uint64_t Workspace = 1; Workspace < 8; ++Workspace) {
    CAPTURE(Workspace);
    CHECK(Load.ByWorkspace[Workspace].inTime() >= 1 - Tolerance);
  }
  CHECK(usedRoom(Load, 20) >= UsedRoom);
  CHECK(Load.ByWorkspace[HotWorkspace].served() >= 0.25);
}

TEST_CASE("Load pattern: half of the engines are lost") {
  Fleet Load;
  Load.run(5, [&] { offerUsual(Load, 1, 1.5); });
  Load.EngineCount = 2;
  Load.Results.clear();
  Load.run(20, [&] { offerUsual(Load, 1, 1.5); });
  CHECK(Load.Results[0].inTime() >= 1 - Tolerance);
  CHECK(usedRoom(Load, 20) >= UsedRoom);
  CHECK(Load.Results[1].served() >= 0.25);
}

TEST_CASE("Load pattern: all kinds at one and a half times the room") {
  Fleet Load;
  Load.run(30, [&] { offerUsual(Load, 1, 3); });
  CHECK(Load.Results[0].inTime() >= 1 - Tolerance);
  CHECK(usedRoom(Load, 30) >= UsedRoom);
  CHECK(Load.Results[1].served() >= 0.25);
}

TEST_CASE("Load pattern: too many urgent requests starve no other kind") {
  Fleet Load;
  Load.run(30, [&] {
    offerUsual(Load);
    Load.offer(Urgent, 250, 1);
  });
  double All = (Load.Results[0].Served + Load.Results[1].Served) /
               (Load.Results[0].Offered + Load.Results[1].Offered);
  CHECK(Load.Results[1].served() >= All / 4);
}

TEST_CASE("Load pattern: half of the hosts are cut off in a flood") {
  Fleet Load(8);
  for (size_t Index = 0; Index < 4; ++Index)
    Load.Hosts[Index].Cut = true;
  Load.run(30, [&] { offerUsual(Load, 2); });
  CHECK(Load.Results[0].inTime() >= 1 - Tolerance);
  CHECK(usedRoom(Load, 30) >= UsedRoom * 0.8);
}

TEST_CASE("Load pattern: refused callers do not return together") {
  DispatchQuery Query;
  Query.Now = at(1000);
  Query.ArrivedAt = at(1000);
  Query.Target = absl::Seconds(4);
  Query.Timeout = absl::Seconds(30);
  Query.UrgentTarget = absl::Seconds(1);
  Query.Rank = 1;
  Query.Utilization = 1;
  Query.Wait = Query.MeanWait = absl::Seconds(13);
  std::map<int, int> ReturnsByTenth;
  absl::Duration Previous = absl::ZeroDuration();
  for (int Seconds : {10, 11, 12}) {
    Query.DeadlineAt = Query.Now + absl::Seconds(Seconds);
    absl::Duration Delay = decideDispatch(Query, {}).RetryAfter;
    CHECK(Delay <= absl::Seconds(Seconds) / 3.0);
    CHECK(Delay >= Previous);
    Previous = Delay;
  }
  Query.Wait = Query.MeanWait = absl::Seconds(2);
  Query.DeadlineAt = Query.Now + absl::Milliseconds(1900);
  Query.Timeout = absl::Seconds(8);
  for (int Index = 0; Index < 1000; ++Index) {
    Query.Spread = Index / 1000.0;
    absl::Duration Delay = decideDispatch(Query, {}).RetryAfter;
    ReturnsByTenth[static_cast<int>(absl::ToDoubleMilliseconds(Delay) / 50)] +=
        1;
  }
  for (const auto &[Tenth, Count] : ReturnsByTenth)
    CHECK(Count <= 250);
}
