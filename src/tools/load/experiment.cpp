//===- experiment.cpp - Compares policies under one workload --------------===//
//
// Each policy first gets a warm-up load that is not counted, so that it is
// compared with ratings already collected, as in a fleet in steady state.
//
//===----------------------------------------------------------------------===//

#include "experiment.h"

#include "berylramp/json.h"
#include "berylramp/policy.h"
#include "berylramp/settings.h"
#include "cli.h"
#include "local_entry.h"
#include "platform.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <thread>

namespace berylramp::load {

namespace {

constexpr const char *OperatorKey = "experiment-operator-key";
constexpr const char *AdminKey = "experiment-admin-key";
constexpr absl::Duration SettleDelay = absl::Milliseconds(1500);

/// Contents of an experiment file.
struct Experiment {
  Json::Value Platform;
  std::vector<CellChange> Cells;
  Workload Load;
  Workload WarmUp;
  Json::Value Entries;
  Json::Value Policies;
};

std::string parentFolder(const std::string &Path) {
  size_t Slash = Path.rfind('/');
  return Slash == std::string::npos ? "." : Path.substr(0, Slash);
}

absl::StatusOr<Workload> readLoad(const Json::Value &Source,
                                  const char *SecondsKey, int64_t SeedShift) {
  Json::Value Load = memberAt(Source, "load");
  Load["seconds"] = numberAt(Source, SecondsKey, 5);
  Load["seed"] = Json::Int64(intAt(Load, "seed", 1) + SeedShift);
  Load["entries"].append("127.0.0.1:1");
  return readWorkload(writeJson(Load));
}

absl::StatusOr<Experiment> readExperiment(const std::string &Path) {
  absl::StatusOr<std::string> Text = readFile(Path);
  if (!Text.ok())
    return Text.status();
  absl::StatusOr<Json::Value> Source = parseJson(*Text);
  if (!Source.ok())
    return Source.status();
  absl::StatusOr<std::string> Csv =
      readFile(parentFolder(Path) + "/" + textAt(*Source, "table"));
  if (!Csv.ok())
    return Csv.status();
  absl::StatusOr<std::vector<CellChange>> Cells = changesFromCsv(*Csv);
  if (!Cells.ok())
    return Cells.status();
  absl::StatusOr<Workload> Load = readLoad(*Source, "seconds", 0);
  absl::StatusOr<Workload> WarmUp = readLoad(*Source, "warm_up_seconds", 1000);
  if (!Load.ok())
    return Load.status();
  if (!WarmUp.ok())
    return WarmUp.status();
  return Experiment{memberAt(*Source, "platform"),
                    *std::move(Cells),
                    *std::move(Load),
                    *std::move(WarmUp),
                    arrayAt(*Source, "entries"),
                    arrayAt(*Source, "policies")};
}

EntrySettings makeEntrySettings(const Experiment &Setup,
                                const Json::Value &Entry,
                                const Json::Value &Policy,
                                const Endpoint &Platform) {
  EntrySettings Settings;
  Settings.Host = HostId(textAt(Entry, "host"));
  Settings.Place = PlaceId(textAt(Entry, "place"));
  Settings.Listen = Endpoint{"127.0.0.1", 0};
  Settings.Log = Settings.HostList = Settings.Rater = Platform;
  for (const WorkspaceShare &Share : Setup.Load.Workspaces)
    Settings.WorkspaceKeys.push_back({Share.Workspace, Share.Key});
  for (const Json::Value &Other : Setup.Entries) {
    PlaceId Place(textAt(Other, "place"));
    if (Place != Settings.Place)
      Settings.Links.push_back(PlaceLink{
          Place, absl::Milliseconds(numberAt(Other, "link_ms")), true});
  }
  Settings.OperatorKeys = {OperatorKey};
  Settings.AdminKeys = {AdminKey};
  Settings.SessionKeys = {"experiment-session-key"};
  Settings.PeerKeys = {"experiment-peer-key"};
  Settings.GossipInterval = absl::Milliseconds(250);
  parsePlanPolicy(textAt(Policy, "plan", "cascade"), Settings.PlanSelection);
  std::string Replica = textAt(Policy, "replica", "affinity");
  if (Replica == "round-robin")
    Settings.ReplicaSelection = ReplicaPolicy::RoundRobin;
  else if (Replica == "least-loaded")
    Settings.ReplicaSelection = ReplicaPolicy::LeastLoaded;
  else if (Replica == "two-choices")
    Settings.ReplicaSelection = ReplicaPolicy::TwoChoices;
  return Settings;
}

bool publishTable(const Experiment &Setup, const LogPort &Log) {
  Edit First;
  First.Id = EditId("experiment-table");
  First.Author = "experiment";
  First.Changes = Setup.Cells;
  return Log
      .Append(ConfigStream, encodeEdit(First, OperatorKeys{{OperatorKey}}))
      .ok();
}

Table makeTable(const Experiment &Setup) {
  Rows All;
  for (const CellChange &Cell : Setup.Cells)
    All[Cell.RowKey].Fields[Cell.Field] = Cell.Value;
  absl::StatusOr<Table> Compiled = compileTable(All);
  return Compiled.ok() ? *std::move(Compiled) : Table{};
}

/// Reads the share of good answers of each version from the engines'
/// descriptions.
std::map<std::string, standin::VersionModel>
readVersionModels(const Json::Value &Platform) {
  std::map<std::string, standin::VersionModel> Result;
  for (const Json::Value &Engine : arrayAt(Platform, "engines")) {
    const Json::Value &Versions = memberAt(Engine, "versions");
    for (const std::string &Name : Versions.getMemberNames()) {
      standin::VersionModel Model;
      Model.Shares[""] = numberAt(Versions[Name], "share", 1);
      const Json::Value &ByKind = memberAt(Versions[Name], "shares");
      if (ByKind.isObject()) {
        for (const std::string &Kind : ByKind.getMemberNames())
          Model.Shares[Kind] = ByKind[Kind].asDouble();
      }
      Result[Name] = Model;
    }
  }
  return Result;
}

/// Computes a lower bound of the cost: the minimum cost of the answers of each
/// kind with the agreed share of good ones, for a chooser that has the rating
/// of every version's answer in advance.
class Clairvoyant {
public:
  Clairvoyant(const Experiment &Setup, const Table &Rows)
      : Rows(Rows), Models(readVersionModels(Setup.Platform)) {}

  void add(const Sample &Answered, const std::string &Prompt) {
    double MinCost = 0;
    double MinGoodCost = -1;
    bool IsFirst = true;
    for (const auto &[Key, Row] : this->Rows.Versions) {
      auto Model = this->Models.find(Key.text());
      if (!this->isAllowed(Answered.Workspace, Key) ||
          Model == this->Models.end())
        continue;
      double Cost = static_cast<double>(
          answerCost(Row, Answered.PromptTokens, Answered.AnswerTokens)
              .count());
      MinCost = IsFirst ? Cost : std::min(MinCost, Cost);
      IsFirst = false;
      bool IsGood = standin::isGoodAnswer(Model->second, Key.text(), Prompt);
      if (IsGood && (MinGoodCost < 0 || Cost < MinGoodCost))
        MinGoodCost = Cost;
    }
    Kind &Totals = this->Kinds[Answered.Kind];
    Totals.Base += MinCost;
    ++Totals.Answers;
    if (MinGoodCost >= 0)
      Totals.Extra.push_back(MinGoodCost - MinCost);
  }

  MicroCost total() {
    double Sum = 0;
    for (auto &[Id, Totals] : this->Kinds) {
      Sum += Totals.Base;
      std::sort(Totals.Extra.begin(), Totals.Extra.end());
      double Share = this->Rows.Kinds.at(Id).RequiredGoodShare;
      size_t RequiredGood = static_cast<size_t>(
          std::ceil(Share * static_cast<double>(Totals.Answers)));
      RequiredGood = std::min(RequiredGood, Totals.Extra.size());
      for (size_t I = 0; I < RequiredGood; ++I)
        Sum += Totals.Extra[I];
    }
    return MicroCost(std::llround(Sum));
  }

private:
  struct Kind {
    double Base = 0;
    int64_t Answers = 0;
    /// For each request with a good answer, its cost above the cheapest answer.
    std::vector<double> Extra;
  };

  bool isAllowed(const WorkspaceId &Workspace, const VersionKey &Key) const {
    auto Allowed = this->Rows.Allowed.find(Workspace);
    return Allowed != this->Rows.Allowed.end() &&
           Allowed->second.count(Key.Model) != 0;
  }

  const Table &Rows;
  std::map<std::string, standin::VersionModel> Models;
  std::map<RequestKindId, Kind> Kinds;
};

double worstMargin(const RunReport &Report, const Table &Rows) {
  double Worst = 1;
  for (const auto &[Name, Kind] : Report.Kinds) {
    auto Row = Rows.Kinds.find(RequestKindId(Name));
    if (Row == Rows.Kinds.end() || !Row->second.Service.empty() ||
        Kind.CompleteAnswers == 0)
      continue;
    double Share = static_cast<double>(Kind.GoodAnswers) /
                   static_cast<double>(Kind.CompleteAnswers);
    Worst = std::min(Worst, Share - Row->second.RequiredGoodShare);
  }
  return Worst;
}

void stopAll(std::vector<std::unique_ptr<standin::LocalEntry>> &Entries) {
  std::vector<std::thread> Stopping;
  Stopping.reserve(Entries.size());
  for (std::unique_ptr<standin::LocalEntry> &Entry : Entries)
    Stopping.emplace_back([&Entry] { Entry->stop(); });
  for (std::thread &Thread : Stopping)
    Thread.join();
}

PolicyResult runPolicy(const Experiment &Setup, const Json::Value &Policy) {
  standin::Platform Services(Setup.Platform);
  if (!Services.start().ok())
    return PolicyResult{};
  std::vector<std::unique_ptr<standin::LocalEntry>> Entries;
  Workload Load = Setup.Load;
  Workload WarmUp = Setup.WarmUp;
  Load.Entries.clear();
  for (const Json::Value &Entry : Setup.Entries) {
    EntrySettings Settings =
        makeEntrySettings(Setup, Entry, Policy, Services.address());
    Entries.push_back(std::make_unique<standin::LocalEntry>(Settings));
    Services.addEntry(Settings.Host.text(), Settings.Place,
                      Entries.back()->address());
    Load.Entries.push_back(Entries.back()->address());
  }
  WarmUp.Entries = Load.Entries;
  Load.Log = Services.address();
  LogPort Log = makeHttpLog(std::make_shared<HttpClientPool>(), Load.Log);
  publishTable(Setup, Log);
  absl::SleepFor(SettleDelay);
  Driver(WarmUp).run(nullptr, "");
  std::vector<Sample> Samples = Driver(Load).run(nullptr, "");
  absl::StatusOr<BillState> Bills = cli::readBills(Log);
  Table Rows = makeTable(Setup);
  PolicyResult Result;
  Result.Name = textAt(Policy, "name");
  Result.Report = summarize(Samples, Rows, Bills.ok() ? *Bills : BillState{});
  Result.WorstMargin = worstMargin(Result.Report, Rows);
  Clairvoyant LowerBound(Setup, Rows);
  std::vector<Arrival> Arrivals = makeArrivals(Load);
  for (const Sample &Current : Samples) {
    if (Current.Outcome == "whole" && !Current.Version.empty())
      LowerBound.add(Current,
                     Arrivals[static_cast<size_t>(Current.Number)].Prompt);
    else if (Current.Outcome != "whole")
      ++Result.Refused;
  }
  Result.ClairvoyantCost = LowerBound.total();
  for (std::unique_ptr<standin::LocalEntry> &Entry : Entries)
    Result.CrossZoneBytes += Entry->counts().value(Counter::PaidLinkBytes);
  stopAll(Entries);
  return Result;
}

absl::Status writeText(const std::string &Path, const std::string &Text) {
  std::ofstream File(Path);
  File << Text;
  if (!File.good())
    return absl::PermissionDeniedError("cannot write " + Path);
  return absl::OkStatus();
}

} // namespace

absl::Status runExperiment(const std::string &Path,
                           const std::string &OutputBase,
                           const std::string &OnlyPolicy) {
  absl::StatusOr<Experiment> Setup = readExperiment(Path);
  if (!Setup.ok())
    return Setup.status();
  std::vector<PolicyResult> Results;
  Json::Value Report(Json::arrayValue);
  for (const Json::Value &Policy : Setup->Policies) {
    if (!OnlyPolicy.empty() && textAt(Policy, "name") != OnlyPolicy)
      continue;
    Results.push_back(runPolicy(*Setup, Policy));
    const PolicyResult &Last = Results.back();
    Json::Value Item = reportToJson(Last.Report);
    Item["policy"] = Last.Name;
    Item["clairvoyant_cost"] = Json::Int64(Last.ClairvoyantCost.count());
    Item["worst_margin"] = Last.WorstMargin;
    Item["bytes_across"] = Json::Int64(Last.CrossZoneBytes);
    Report.append(Item);
    std::cerr << "finished policy " << Last.Name << "\n";
  }
  std::string Markdown = resultsToMarkdown(Results);
  std::cout << Markdown;
  if (OutputBase.empty())
    return absl::OkStatus();
  absl::Status Written =
      writeText(OutputBase + ".json", writePrettyJson(Report) + "\n");
  Written.Update(writeText(OutputBase + ".md", Markdown));
  Written.Update(writeText(OutputBase + ".svg", plotResults(Results)));
  return Written;
}

} // namespace berylramp::load
