//===- capacity.cpp - Scaling of the control path -------------------------===//
//
// Runs the stateful parts of the control path with fleets, tables and streams
// of increasing size. Prints CPU time, bytes and memory for each size, together
// with the slope of a linear fit and its standard error. docs/CAPACITY.md
// extrapolates from these figures.
//
//===----------------------------------------------------------------------===//

#include "berylramp/billing.h"
#include "berylramp/claims.h"
#include "berylramp/fleet.h"
#include "berylramp/json.h"
#include "berylramp/table.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <random>

namespace {

using namespace berylramp;

constexpr int64_t Epoch = 1700000000000;

double processorSeconds() {
  timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) +
         static_cast<double>(Now.tv_nsec) * 1e-9;
}

size_t bytesInUse() { return mallinfo2().uordblks; }

struct Point {
  double X;
  double Y;
};

struct LinearFit {
  double Slope = 0;
  double Intercept = 0;
  /// Standard error of the slope.
  double SlopeError = 0;
};

LinearFit fitLine(const std::vector<Point> &Points) {
  double N = static_cast<double>(Points.size());
  double MeanX = 0;
  double MeanY = 0;
  for (const Point &P : Points) {
    MeanX += P.X / N;
    MeanY += P.Y / N;
  }
  double Sxx = 0;
  double Sxy = 0;
  for (const Point &P : Points) {
    Sxx += (P.X - MeanX) * (P.X - MeanX);
    Sxy += (P.X - MeanX) * (P.Y - MeanY);
  }
  LinearFit Result;
  Result.Slope = Sxy / Sxx;
  Result.Intercept = MeanY - Result.Slope * MeanX;
  double ResidualSum = 0;
  for (const Point &P : Points) {
    double Residual = P.Y - Result.Intercept - Result.Slope * P.X;
    ResidualSum += Residual * Residual;
  }
  Result.SlopeError = N > 2 ? std::sqrt(ResidualSum / (N - 2) / Sxx) : 0;
  return Result;
}

void printFit(const char *Metric, const char *Variable, const char *Unit,
              const std::vector<Point> &Points) {
  LinearFit Result = fitLine(Points);
  std::string PointList;
  for (const Point &P : Points)
    absl::StrAppend(&PointList, absl::StrFormat(" %g:%.4g", P.X, P.Y));
  std::cout << absl::StrFormat("| %s | %s |%s | %.4g %s | %.2g | %.4g |\n",
                               Metric, Variable, PointList, Result.Slope, Unit,
                               Result.SlopeError, Result.Intercept);
}

//===----------------------------------------------------------------------===//
// Gossip
//===----------------------------------------------------------------------===//

Member makeMember(int Number) {
  Member Result;
  Result.Host = HostId(absl::StrFormat("entry-%03d", Number));
  Result.HostIncarnation = Incarnation(Epoch + Number);
  Result.Heartbeat = 1;
  Result.Detail.Version = 1;
  Result.Detail.Place = PlaceId(absl::StrCat("place-", Number % 11));
  Result.Detail.Address = Endpoint{"127.0.0.1", 10000 + Number};
  for (int I = 0; I < 6; ++I)
    Result.Detail.Demand.push_back(
        WorkspaceDemand{WorkspaceId(absl::StrCat("workspace-", I)), 1.5});
  for (int I = 0; I < 12; ++I)
    Result.Detail.Ratings.push_back(RatingTally{
        RequestKindId(absl::StrCat("kind-", I % 4)),
        VersionKey{ModelId("model"), VersionId(absl::StrCat("v", I))},
        ServingRun, 90, 100});
  return Result;
}

struct GossipCost {
  double BytesPerSecond = 0;
  double MicrosPerSecond = 0;
  double BytesHeld = 0;
  /// 99th percentile of the age of member records, in seconds.
  double AgeP99 = 0;
  /// 99th percentile of the age of member details, in heartbeats.
  double DetailAgeP99 = 0;
};

/// Runs one gossip exchange and returns the bytes sent in both directions.
size_t exchange(FleetView &Initiator, FleetView &Responder, Instant Now,
                size_t Turn) {
  std::string Request =
      writeJson(gossipToJson(openExchange(Initiator, Now, Turn)));
  GossipMessage Message = gossipFromJson(*parseJson(Request));
  mergeMessage(Responder, Message, Now, /*IsTimed=*/false);
  std::string Reply =
      writeJson(gossipToJson(answerExchange(Responder, Message, Now, Turn)));
  mergeMessage(Initiator, gossipFromJson(*parseJson(Reply)), Now,
               /*IsTimed=*/true);
  return Request.size() + Reply.size();
}

double percentile99(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() * 99 / 100];
}

GossipCost measureGossip(int Hosts) {
  constexpr int Rounds = 60;
  constexpr int CountedRounds = 10;
  std::mt19937_64 Random(7);
  std::vector<FleetView> Views(static_cast<size_t>(Hosts));
  size_t Before = bytesInUse();
  for (int I = 0; I < Hosts; ++I) {
    FleetView &View = Views[static_cast<size_t>(I)];
    View.Self = makeMember(I).Host;
    for (int J = 0; J < Hosts; ++J) {
      Member Record = makeMember(J);
      View.Members[Record.Host] =
          KnownMember{Record, Instant{}, false, Instant{}};
    }
  }
  GossipCost Cost;
  Cost.BytesHeld = static_cast<double>(bytesInUse() - Before) / Hosts;
  double Bytes = 0;
  double Start = 0;
  for (int Round = 1; Round <= Rounds; ++Round) {
    Instant Now{absl::Seconds(Round)};
    if (Round == Rounds - CountedRounds + 1) {
      Start = processorSeconds();
      Bytes = 0;
    }
    for (FleetView &View : Views) {
      KnownMember &Self = View.Members[View.Self];
      ++Self.LatestRecord.Heartbeat;
      Self.LatestRecord.Detail.Version = Self.LatestRecord.Heartbeat;
      Self.WrittenAt = Now;
      Self.EarliestWrittenAt = Now;
    }
    for (size_t I = 0; I < Views.size(); ++I) {
      size_t Peer = Random() % Views.size();
      if (Peer != I)
        Bytes += static_cast<double>(
            exchange(Views[I], Views[Peer], Now, Random() >> 32));
    }
  }
  double PerHost = static_cast<double>(CountedRounds) * Hosts;
  Cost.MicrosPerSecond = (processorSeconds() - Start) * 1e6 / PerHost;
  // Both hosts of an exchange send and receive its bytes, so each exchange
  // counts twice in the cost per host.
  Cost.BytesPerSecond = 2 * Bytes / PerHost;
  std::vector<double> Ages;
  Instant End{absl::Seconds(Rounds)};
  for (const FleetView &View : Views) {
    for (const auto &[Host, Known] : View.Members)
      Ages.push_back(absl::ToDoubleSeconds(End - Known.WrittenAt));
  }
  Cost.AgeP99 = percentile99(Ages);
  std::vector<double> DetailAges;
  for (const FleetView &View : Views) {
    for (const auto &[Host, Known] : View.Members)
      DetailAges.push_back(static_cast<double>(
          Rounds + 1 -
          std::max<int64_t>(0, Known.LatestRecord.Detail.Version)));
  }
  Cost.DetailAgeP99 = percentile99(DetailAges);
  return Cost;
}

void reportGossip() {
  std::vector<Point> Bytes;
  std::vector<Point> Micros;
  std::vector<Point> Held;
  std::vector<Point> Ages;
  std::vector<Point> DetailAges;
  for (int Hosts : {4, 8, 16, 32, 64, 128, 350}) {
    GossipCost Cost = measureGossip(Hosts);
    double X = Hosts;
    Bytes.push_back({X, Cost.BytesPerSecond});
    Micros.push_back({X, Cost.MicrosPerSecond});
    Held.push_back({X, Cost.BytesHeld});
    Ages.push_back({X, Cost.AgeP99});
    DetailAges.push_back({X, Cost.DetailAgeP99});
  }
  printFit("gossip: bytes a second, both ways", "host", "B", Bytes);
  printFit("gossip: processor us a second", "host", "us", Micros);
  printFit("gossip: bytes held", "host", "B", Held);
  printFit("gossip: p99 age of a core, s", "host", "s", Ages);
  printFit("gossip: p99 age of a detail, s", "host", "s", DetailAges);
}

//===----------------------------------------------------------------------===//
// The table
//===----------------------------------------------------------------------===//

ConfigState makeConfig(int Versions, int Workspaces, const OperatorKeys &Keys) {
  Edit First;
  First.Id = EditId("first");
  First.Author = "bench";
  auto Set = [&First](const std::string &Row, const char *Field,
                      const std::string &Value) {
    First.Changes.push_back(CellChange{Row, Field, Value, false});
  };
  for (int I = 0; I < 8; ++I)
    Set(absl::StrCat("model/m", I), "title", "Model");
  for (int I = 0; I < Versions; ++I) {
    std::string Row = absl::StrCat("version/m", I % 8, "/v", I);
    Set(Row, "cost_in", "100");
    Set(Row, "cost_out", "400");
    Set(Row, "weight", "100");
  }
  for (int I = 0; I < Workspaces; ++I) {
    Set(absl::StrCat("workspace/w", I), "title", "Workspace");
    Set(absl::StrCat("limit/w", I), "requests_per_second", "100");
    for (int J = 0; J < 8; ++J)
      Set(absl::StrCat("allow/w", I, "/m", J), "allowed", "yes");
  }
  ConfigState State = emptyConfig();
  foldConfig(State, Offset(0), absl::FromUnixMillis(Epoch),
             encodeEdit(First, Keys), Keys);
  return State;
}

void reportConfig() {
  OperatorKeys Keys{{"bench-operator-key"}};
  std::vector<Point> Micros;
  std::vector<Point> Bytes;
  for (int Edits : {1, 10, 100, 1000}) {
    ConfigState State = makeConfig(34, 30, Keys);
    std::vector<std::string> Records;
    double Size = 0;
    for (int I = 1; I <= Edits; ++I) {
      Edit Change;
      Change.Id = EditId(makeUuidV7(Epoch + I));
      Change.Author = "bench";
      Change.BaseOffset = Offset(I - 1);
      Change.Changes = {CellChange{
          absl::StrCat("version/m", I % 8, "/v", I % 34 / 8 * 8 + I % 8),
          "weight", absl::StrCat(I % 100), false}};
      Records.push_back(encodeEdit(Change, Keys));
      Size += static_cast<double>(Records.back().size());
    }
    double Start = processorSeconds();
    for (int I = 1; I <= Edits; ++I) {
      // A config follower copies, folds and digests the state for each page.
      ConfigState Next = State;
      foldConfig(Next, Offset(I), absl::FromUnixMillis(Epoch + I),
                 Records[static_cast<size_t>(I - 1)], Keys);
      configDigest(Next);
      State = std::move(Next);
    }
    Micros.push_back(
        {static_cast<double>(Edits), (processorSeconds() - Start) * 1e6});
    Bytes.push_back({static_cast<double>(Edits), Size});
  }
  printFit("table: processor us to apply edits", "edit", "us", Micros);
  printFit("table: bytes of edits", "edit", "B", Bytes);
  std::vector<Point> Snapshot;
  std::vector<Point> Memory;
  for (int Workspaces : {10, 30, 100}) {
    size_t Before = bytesInUse();
    ConfigState State = makeConfig(34, Workspaces, Keys);
    double Rows = static_cast<double>(State.TableRows.size());
    Memory.push_back({Rows, static_cast<double>(bytesInUse() - Before)});
    Snapshot.push_back(
        {Rows, static_cast<double>(encodeSnapshot(State, Keys).size())});
  }
  printFit("table: bytes held", "row", "B", Memory);
  printFit("table: bytes of a snapshot", "row", "B", Snapshot);
}

//===----------------------------------------------------------------------===//
// Claims and bills
//===----------------------------------------------------------------------===//

void reportClaims() {
  std::vector<Point> Micros;
  std::vector<Point> Held;
  std::vector<Point> Bytes;
  for (int Count : {1000, 10000, 50000}) {
    std::vector<std::string> Records;
    double Size = 0;
    for (int I = 0; I < Count; ++I) {
      Claim Item;
      Item.Identity =
          ClaimIdentity{WorkspaceId("workspace"), makeUuidV7(Epoch), Epoch};
      Item.BodyDigest = toHex(static_cast<uint64_t>(I));
      Item.Host = HostId("entry-001");
      Item.Attempt = AttemptId(makeUuidV7(Epoch));
      Records.push_back(joinRecords({encodeClaim(Item)}));
      Size += static_cast<double>(Records.back().size());
    }
    size_t Before = bytesInUse();
    ClaimState State;
    double Start = processorSeconds();
    for (int I = 0; I < Count; ++I)
      foldClaims(State, Offset(I), absl::FromUnixMillis(Epoch),
                 Records[static_cast<size_t>(I)], ClaimWindow{});
    double X = Count;
    Micros.push_back({X, (processorSeconds() - Start) * 1e6});
    Held.push_back({X, static_cast<double>(bytesInUse() - Before)});
    Bytes.push_back({X, Size});
  }
  printFit("claims: processor us to fold", "claim", "us", Micros);
  printFit("claims: bytes held", "claim", "B", Held);
  printFit("claims: bytes in the log", "claim", "B", Bytes);
}

void reportBills() {
  std::vector<Point> Micros;
  std::vector<Point> Bytes;
  for (int Count : {100, 1000, 10000}) {
    std::vector<Bill> Bills;
    for (int I = 0; I < Count; ++I) {
      Bill Item;
      Item.Workspace = WorkspaceId("workspace");
      Item.Request = RequestId(makeUuidV7(Epoch));
      Item.Kind = RequestKindId("briefing");
      Item.Version = VersionKey{ModelId("report-llm"), VersionId("small-1")};
      Item.InputTokens = Tokens(300);
      Item.OutputTokens = Tokens(200);
      Item.Cost = MicroCost(1234);
      Item.Origin = HostId("entry-001");
      Item.CompletedAtMillis = Epoch;
      Bills.push_back(Item);
    }
    double Start = processorSeconds();
    std::string Encoded = encodeBills(Bills);
    std::vector<Bill> Decoded = decodeBills(Encoded);
    double X = static_cast<double>(Decoded.size());
    Micros.push_back({X, (processorSeconds() - Start) * 1e6});
    Bytes.push_back({X, static_cast<double>(Encoded.size())});
  }
  printFit("bills: processor us to write and read", "bill", "us", Micros);
  printFit("bills: bytes in the log", "bill", "B", Bytes);
}

} // namespace

int main() {
  std::cout << "| what | per | points | slope | spread | at zero |\n"
               "|---|---|---|---|---|---|\n";
  reportGossip();
  reportConfig();
  reportClaims();
  reportBills();
  return 0;
}
