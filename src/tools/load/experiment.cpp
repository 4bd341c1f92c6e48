//===- experiment.cpp - Compares policies under one workload --------------===//
//
// A warm-up is sent first and not counted, so that every policy is judged with
// the ratings that it has gathered, as in a fleet that has run for a while.
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
constexpr absl::Duration SettleTime = absl::Milliseconds(1500);

/// Everything that an experiment's file says.
struct Experiment {
  Json::Value Platform;
  std::vector<CellChange> Cells;
  Workload Load;
  Workload WarmUp;
  Json::Value Entries;
  Json::Value Policies;
};

std::string folderOf(const std::string &Path) {
  size_t Slash = Path.rfind('/');
  return Slash == std::string::npos ? "." : Path.substr(0, Slash);
}

absl::StatusOr<Workload> loadOf(const Json::Value &In, const char *Seconds,
                                int64_t SeedShift) {
  Json::Value Load = memberAt(In, "load");
  Load["seconds"] = numberAt(In, Seconds, 5);
  Load["seed"] = Json::Int64(intAt(Load, "seed", 1) + SeedShift);
  Load["entries"].append("127.0.0.1:1");
  return readWorkload(writeJson(Load));
}

absl::StatusOr<Experiment> readExperiment(const std::string &Path) {
  absl::StatusOr<std::string> Text = readFile(Path);
  if (!Text.ok())
    return Text.status();
  absl::StatusOr<Json::Value> In = parseJson(*Text);
  if (!In.ok())
    return In.status();
  absl::StatusOr<std::string> Csv =
      readFile(folderOf(Path) + "/" + textAt(*In, "table"));
  if (!Csv.ok())
    return Csv.status();
  absl::StatusOr<std::vector<CellChange>> Cells = changesFromCsv(*Csv);
  if (!Cells.ok())
    return Cells.status();
  absl::StatusOr<Workload> Load = loadOf(*In, "seconds", 0);
  absl::StatusOr<Workload> WarmUp = loadOf(*In, "warm_up_seconds", 1000);
  if (!Load.ok())
    return Load.status();
  if (!WarmUp.ok())
    return WarmUp.status();
  return Experiment{memberAt(*In, "platform"), *std::move(Cells),
                    *std::move(Load),          *std::move(WarmUp),
                    arrayAt(*In, "entries"),   arrayAt(*In, "policies")};
}

EntrySettings settingsOf(const Experiment &Given, const Json::Value &Entry,
                         const Json::Value &Policy, const Endpoint &Platform) {
  EntrySettings Out;
  Out.Host = HostId(textAt(Entry, "host"));
  Out.Place = PlaceId(textAt(Entry, "place"));
  Out.Listen = Endpoint{"127.0.0.1", 0};
  Out.Log = Out.HostList = Out.Rater = Platform;
  for (const WorkspaceShare &Each : Given.Load.Workspaces)
    Out.WorkspaceKeys.push_back({Each.Workspace, Each.Key});
  for (const Json::Value &Other : Given.Entries) {
    PlaceId Place(textAt(Other, "place"));
    if (Place != Out.Place)
      Out.Links.push_back(PlaceLink{
          Place, absl::Milliseconds(numberAt(Other, "link_ms")), true});
  }
  Out.OperatorKeys = {OperatorKey};
  Out.AdminKeys = {AdminKey};
  Out.SessionKeys = {"experiment-session-key"};
  Out.PeerKeys = {"experiment-peer-key"};
  Out.GossipEvery = absl::Milliseconds(250);
  parsePlanPolicy(textAt(Policy, "plan", "cascade"), Out.Plans);
  std::string Replica = textAt(Policy, "replica", "affinity");
  if (Replica == "round-robin")
    Out.Replicas = ReplicaPolicy::RoundRobin;
  else if (Replica == "least-loaded")
    Out.Replicas = ReplicaPolicy::LeastLoaded;
  else if (Replica == "two-choices")
    Out.Replicas = ReplicaPolicy::TwoChoices;
  return Out;
}

bool publishTable(const Experiment &Given, const LogPort &Log) {
  Edit First;
  First.Id = EditId("experiment-table");
  First.Author = "experiment";
  First.Changes = Given.Cells;
  return Log
      .Append(ConfigStream, encodeEdit(First, OperatorKeys{{OperatorKey}}))
      .ok();
}

Table tableOf(const Experiment &Given) {
  Rows All;
  for (const CellChange &Cell : Given.Cells)
    All[Cell.RowKey].Fields[Cell.Field] = Cell.Value;
  absl::StatusOr<Table> Compiled = compileTable(All);
  return Compiled.ok() ? *std::move(Compiled) : Table{};
}

/// How good each version is, as the engines have it.
std::map<std::string, standin::VersionModel>
behaviours(const Json::Value &Platform) {
  std::map<std::string, standin::VersionModel> Out;
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
      Out[Name] = Model;
    }
  }
  return Out;
}

/// The least that the answers of one kind can cost with the agreed share of
/// them good, for one who knows beforehand which version's answer is good.
class Clairvoyant {
public:
  Clairvoyant(const Experiment &Given, const Table &Rows)
      : Rows(Rows), Models(behaviours(Given.Platform)) {}

  void add(const Sample &Which, const std::string &Prompt) {
    double Least = 0;
    double LeastGood = -1;
    bool IsFirst = true;
    for (const auto &[Key, Row] : this->Rows.Versions) {
      auto Model = this->Models.find(Key.text());
      if (!this->mayUse(Which.Workspace, Key) || Model == this->Models.end())
        continue;
      double Cost =
          static_cast<double>(answerCost(Row, Which.In, Which.Out).count());
      Least = IsFirst ? Cost : std::min(Least, Cost);
      IsFirst = false;
      bool IsGood = standin::isGoodAnswer(Model->second, Key.text(), Prompt);
      if (IsGood && (LeastGood < 0 || Cost < LeastGood))
        LeastGood = Cost;
    }
    Kind &Target = this->Kinds[Which.Kind];
    Target.Base += Least;
    ++Target.Answers;
    if (LeastGood >= 0)
      Target.Extra.push_back(LeastGood - Least);
  }

  MicroCost total() {
    double Sum = 0;
    for (auto &[Id, Each] : this->Kinds) {
      Sum += Each.Base;
      std::sort(Each.Extra.begin(), Each.Extra.end());
      double Share = this->Rows.Kinds.at(Id).RequiredGoodShare;
      size_t Wanted = static_cast<size_t>(
          std::ceil(Share * static_cast<double>(Each.Answers)));
      Wanted = std::min(Wanted, Each.Extra.size());
      for (size_t I = 0; I < Wanted; ++I)
        Sum += Each.Extra[I];
    }
    return MicroCost(std::llround(Sum));
  }

private:
  struct Kind {
    double Base = 0;
    int64_t Answers = 0;
    /// What a good answer costs more than the cheapest one.
    std::vector<double> Extra;
  };

  bool mayUse(const WorkspaceId &Workspace, const VersionKey &Key) const {
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
        Kind.Whole == 0)
      continue;
    double Share =
        static_cast<double>(Kind.Good) / static_cast<double>(Kind.Whole);
    Worst = std::min(Worst, Share - Row->second.RequiredGoodShare);
  }
  return Worst;
}

void stopAll(std::vector<std::unique_ptr<standin::LocalEntry>> &Entries) {
  std::vector<std::thread> Stopping;
  Stopping.reserve(Entries.size());
  for (std::unique_ptr<standin::LocalEntry> &Each : Entries)
    Stopping.emplace_back([&Each] { Each->stop(); });
  for (std::thread &Each : Stopping)
    Each.join();
}

PolicyResult runPolicy(const Experiment &Given, const Json::Value &Policy) {
  standin::Platform Services(Given.Platform);
  if (!Services.start().ok())
    return PolicyResult{};
  std::vector<std::unique_ptr<standin::LocalEntry>> Entries;
  Workload Load = Given.Load;
  Workload WarmUp = Given.WarmUp;
  Load.Entries.clear();
  for (const Json::Value &Entry : Given.Entries) {
    EntrySettings Settings =
        settingsOf(Given, Entry, Policy, Services.address());
    Entries.push_back(std::make_unique<standin::LocalEntry>(Settings));
    Services.addEntry(Settings.Host.text(), Settings.Place,
                      Entries.back()->address());
    Load.Entries.push_back(Entries.back()->address());
  }
  WarmUp.Entries = Load.Entries;
  Load.Log = Services.address();
  LogPort Log = makeHttpLog(std::make_shared<HttpClientPool>(), Load.Log);
  publishTable(Given, Log);
  absl::SleepFor(SettleTime);
  Driver(WarmUp).run(nullptr, "");
  std::vector<Sample> Samples = Driver(Load).run(nullptr, "");
  absl::StatusOr<BillState> Bills = cli::readBills(Log);
  Table Rows = tableOf(Given);
  PolicyResult Out;
  Out.Name = textAt(Policy, "name");
  Out.Report = summarize(Samples, Rows, Bills.ok() ? *Bills : BillState{});
  Out.WorstMargin = worstMargin(Out.Report, Rows);
  Clairvoyant Bound(Given, Rows);
  std::vector<Arrival> Arrivals = makeArrivals(Load);
  for (const Sample &Each : Samples) {
    if (Each.Outcome == "whole" && !Each.Version.empty())
      Bound.add(Each, Arrivals[static_cast<size_t>(Each.Number)].Prompt);
    else if (Each.Outcome != "whole")
      ++Out.Refused;
  }
  Out.ClairvoyantCost = Bound.total();
  for (std::unique_ptr<standin::LocalEntry> &Each : Entries)
    Out.BytesAcross += Each->counts().value(Counter::BytesAcross);
  stopAll(Entries);
  return Out;
}

absl::Status writeText(const std::string &Path, const std::string &Text) {
  std::ofstream Out(Path);
  Out << Text;
  if (!Out.good())
    return absl::PermissionDeniedError("cannot write " + Path);
  return absl::OkStatus();
}

} // namespace

absl::Status runExperiment(const std::string &Path, const std::string &OutBase,
                           const std::string &OnlyPolicy) {
  absl::StatusOr<Experiment> Given = readExperiment(Path);
  if (!Given.ok())
    return Given.status();
  std::vector<PolicyResult> Results;
  Json::Value Report(Json::arrayValue);
  for (const Json::Value &Policy : Given->Policies) {
    if (!OnlyPolicy.empty() && textAt(Policy, "name") != OnlyPolicy)
      continue;
    Results.push_back(runPolicy(*Given, Policy));
    const PolicyResult &Last = Results.back();
    Json::Value Item = reportToJson(Last.Report);
    Item["policy"] = Last.Name;
    Item["clairvoyant_cost"] = Json::Int64(Last.ClairvoyantCost.count());
    Item["worst_margin"] = Last.WorstMargin;
    Item["bytes_across"] = Json::Int64(Last.BytesAcross);
    Report.append(Item);
    std::cerr << "ran " << Last.Name << "\n";
  }
  std::string Markdown = resultsToMarkdown(Results);
  std::cout << Markdown;
  if (OutBase.empty())
    return absl::OkStatus();
  absl::Status Written =
      writeText(OutBase + ".json", writePrettyJson(Report) + "\n");
  Written.Update(writeText(OutBase + ".md", Markdown));
  Written.Update(writeText(OutBase + ".svg", plotResults(Results)));
  return Written;
}

} // namespace berylramp::load
