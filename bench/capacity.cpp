//===- capacity.cpp - Slopes of the control path --------------------------===//
//
// Feeds growing fleets, tables and streams to the parts that hold state, and
// prints processor time, bytes and memory for each point together with the
// fitted slope and its spread. docs/CAPACITY.md extrapolates from these.
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

struct Fit {
  double Slope = 0;
  double Offset = 0;
  /// Standard error of the slope.
  double Spread = 0;
};

Fit fitLine(const std::vector<Point> &Points) {
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
  Fit Out;
  Out.Slope = Sxy / Sxx;
  Out.Offset = MeanY - Out.Slope * MeanX;
  double Left = 0;
  for (const Point &P : Points) {
    double Error = P.Y - Out.Offset - Out.Slope * P.X;
    Left += Error * Error;
  }
  Out.Spread = N > 2 ? std::sqrt(Left / (N - 2) / Sxx) : 0;
  return Out;
}

void printFit(const char *What, const char *Per, const char *Unit,
              const std::vector<Point> &Points) {
  Fit Found = fitLine(Points);
  std::string Shown;
  for (const Point &P : Points)
    absl::StrAppend(&Shown, absl::StrFormat(" %g:%.4g", P.X, P.Y));
  std::cout << absl::StrFormat("| %s | %s |%s | %.4g %s | %.2g | %.4g |\n",
                               What, Per, Shown, Found.Slope, Unit,
                               Found.Spread, Found.Offset);
}

//===----------------------------------------------------------------------===//
// Gossip
//===----------------------------------------------------------------------===//

Member makeMember(int Number) {
  Member Out;
  Out.Host = HostId(absl::StrFormat("entry-%03d", Number));
  Out.HostIncarnation = Incarnation(Epoch + Number);
  Out.Heartbeat = 1;
  Out.Detail.Version = 1;
  Out.Detail.Place = PlaceId(absl::StrCat("place-", Number % 11));
  Out.Detail.Address = Endpoint{"127.0.0.1", 10000 + Number};
  for (int I = 0; I < 6; ++I)
    Out.Detail.Demand.push_back(
        WorkspaceDemand{WorkspaceId(absl::StrCat("workspace-", I)), 1.5});
  for (int I = 0; I < 12; ++I)
    Out.Detail.Ratings.push_back(RatingTally{
        RequestKindId(absl::StrCat("kind-", I % 4)),
        VersionKey{ModelId("model"), VersionId(absl::StrCat("v", I))},
        ServingRun, 90, 100});
  return Out;
}

struct GossipCost {
  double BytesEachSecond = 0;
  double MicrosEachSecond = 0;
  double BytesHeld = 0;
  /// Seconds by which records are old, 99 in 100 are younger.
  double AgeP99 = 0;
  /// The same for details, in heartbeats.
  double DetailAgeP99 = 0;
};

/// One exchange as two hosts make it; returns its bytes both ways.
size_t exchange(FleetView &From, FleetView &To, Instant Now, size_t Turn) {
  std::string Sent = writeJson(gossipToJson(openExchange(From, Now, Turn)));
  GossipMessage Opened = gossipFromJson(*parseJson(Sent));
  mergeMessage(To, Opened, Now, /*IsTimed=*/false);
  std::string Back =
      writeJson(gossipToJson(answerExchange(To, Opened, Now, Turn)));
  mergeMessage(From, gossipFromJson(*parseJson(Back)), Now,
               /*IsTimed=*/true);
  return Sent.size() + Back.size();
}

double percentile99(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() * 99 / 100];
}

GossipCost measureGossip(int Hosts) {
  constexpr int Rounds = 60;
  constexpr int CountedRounds = 10;
  std::mt19937_64 Bits(7);
  std::vector<FleetView> Views(static_cast<size_t>(Hosts));
  size_t Before = bytesInUse();
  for (int I = 0; I < Hosts; ++I) {
    FleetView &View = Views[static_cast<size_t>(I)];
    View.Self = makeMember(I).Host;
    for (int J = 0; J < Hosts; ++J) {
      Member What = makeMember(J);
      View.Members[What.Host] = KnownMember{What, Instant{}, false, Instant{}};
    }
  }
  GossipCost Out;
  Out.BytesHeld = static_cast<double>(bytesInUse() - Before) / Hosts;
  double Bytes = 0;
  double Began = 0;
  for (int Round = 1; Round <= Rounds; ++Round) {
    Instant Now{absl::Seconds(Round)};
    if (Round == Rounds - CountedRounds + 1) {
      Began = processorSeconds();
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
      size_t Peer = Bits() % Views.size();
      if (Peer != I)
        Bytes += static_cast<double>(
            exchange(Views[I], Views[Peer], Now, Bits() >> 32));
    }
  }
  double PerHost = static_cast<double>(CountedRounds) * Hosts;
  Out.MicrosEachSecond = (processorSeconds() - Began) * 1e6 / PerHost;
  // Each exchange is sent by one host and received by another.
  Out.BytesEachSecond = 2 * Bytes / PerHost;
  std::vector<double> Ages;
  Instant End{absl::Seconds(Rounds)};
  for (const FleetView &View : Views) {
    for (const auto &[Host, Known] : View.Members)
      Ages.push_back(absl::ToDoubleSeconds(End - Known.WrittenAt));
  }
  Out.AgeP99 = percentile99(Ages);
  std::vector<double> DetailAges;
  for (const FleetView &View : Views) {
    for (const auto &[Host, Known] : View.Members)
      DetailAges.push_back(static_cast<double>(
          Rounds + 1 -
          std::max<int64_t>(0, Known.LatestRecord.Detail.Version)));
  }
  Out.DetailAgeP99 = percentile99(DetailAges);
  return Out;
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
    Bytes.push_back({X, Cost.BytesEachSecond});
    Micros.push_back({X, Cost.MicrosEachSecond});
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
      Edit Which;
      Which.Id = EditId(makeUuidV7(Epoch + I));
      Which.Author = "bench";
      Which.BaseOffset = Offset(I - 1);
      Which.Changes = {CellChange{
          absl::StrCat("version/m", I % 8, "/v", I % 34 / 8 * 8 + I % 8),
          "weight", absl::StrCat(I % 100), false}};
      Records.push_back(encodeEdit(Which, Keys));
      Size += static_cast<double>(Records.back().size());
    }
    double Began = processorSeconds();
    for (int I = 1; I <= Edits; ++I) {
      // What a follower does for each page: copy, fold, digest.
      ConfigState Next = State;
      foldConfig(Next, Offset(I), absl::FromUnixMillis(Epoch + I),
                 Records[static_cast<size_t>(I - 1)], Keys);
      configDigest(Next);
      State = std::move(Next);
    }
    Micros.push_back(
        {static_cast<double>(Edits), (processorSeconds() - Began) * 1e6});
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
      Claim Which;
      Which.Identity =
          ClaimIdentity{WorkspaceId("workspace"), makeUuidV7(Epoch), Epoch};
      Which.BodyDigest = hexText(static_cast<uint64_t>(I));
      Which.Host = HostId("entry-001");
      Which.Attempt = AttemptId(makeUuidV7(Epoch));
      Records.push_back(joinRecords({encodeClaim(Which)}));
      Size += static_cast<double>(Records.back().size());
    }
    size_t Before = bytesInUse();
    ClaimState State;
    double Began = processorSeconds();
    for (int I = 0; I < Count; ++I)
      foldClaims(State, Offset(I), absl::FromUnixMillis(Epoch),
                 Records[static_cast<size_t>(I)], ClaimWindow{});
    double X = Count;
    Micros.push_back({X, (processorSeconds() - Began) * 1e6});
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
      Bill Which;
      Which.Workspace = WorkspaceId("workspace");
      Which.Request = RequestId(makeUuidV7(Epoch));
      Which.Kind = RequestKindId("briefing");
      Which.Version = VersionKey{ModelId("report-llm"), VersionId("small-1")};
      Which.InputTokens = Tokens(300);
      Which.OutputTokens = Tokens(200);
      Which.Cost = MicroCost(1234);
      Which.Origin = HostId("entry-001");
      Which.CompletedAtMillis = Epoch;
      Bills.push_back(Which);
    }
    double Began = processorSeconds();
    std::string Encoded = encodeBills(Bills);
    std::vector<Bill> Decoded = decodeBills(Encoded);
    double X = static_cast<double>(Decoded.size());
    Micros.push_back({X, (processorSeconds() - Began) * 1e6});
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
