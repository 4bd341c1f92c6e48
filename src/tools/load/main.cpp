//===- main.cpp - berylramp-load ------------------------------------------===//
//
// Sends a workload to entry hosts and reports what came back. With --compare
// it also sends the same load straight to an engine, in the same run.
//
//===----------------------------------------------------------------------===//

#include "berylramp/json.h"
#include "berylramp/observe.h"
#include "berylramp/settings.h"
#include "cli.h"
#include "experiment.h"
#include "report.h"

#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace berylramp;
using namespace berylramp::load;

constexpr int ExitBroken = 1;
using cli::ExitUsage;

struct Options {
  std::string WorkloadPath;
  std::string ExperimentPath;
  std::string Policy;
  std::string ReportPath;
  std::string CompareWith;
  std::string CompareModel;
  std::vector<std::string> Forbidden;
};

Options readOptions(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Sends a workload to entry hosts and reports. Exit "
                      "codes: 0 no promise broken, 1 bills missing or doubled "
                      "orders, 2 bad command line or workload.",
                      ' ', BERYLRAMP_VERSION);
  TCLAP::ValueArg<std::string> Workload("w", "workload", "JSON workload", false,
                                        "", "FILE", Line);
  TCLAP::ValueArg<std::string> Experiment(
      "x", "experiment", "compare the policies of this experiment", false, "",
      "FILE", Line);
  TCLAP::ValueArg<std::string> Policy("", "policy",
                                      "run only this one of the experiment",
                                      false, "", "NAME", Line);
  TCLAP::ValueArg<std::string> Report("r", "report",
                                      "where to write the JSON report; for "
                                      "an experiment without its ending",
                                      false, "", "FILE", Line);
  TCLAP::ValueArg<std::string> Compare(
      "", "compare", "an engine to send the same load to directly", false, "",
      "IP:PORT", Line);
  TCLAP::ValueArg<std::string> Model("", "compare-model",
                                     "MODEL/VERSION to ask that engine for",
                                     false, "", "NAME", Line);
  TCLAP::MultiArg<std::string> Forbid(
      "", "forbid", "an outcome that counts as a broken promise", false,
      "OUTCOME", Line);
  Line.setExceptionHandling(false);
  Line.parse(Argc, Argv);
  return Options{Workload.getValue(), Experiment.getValue(), Policy.getValue(),
                 Report.getValue(),   Compare.getValue(),    Model.getValue(),
                 Forbid.getValue()};
}

/// The operators' table, as an entry host has it.
Table fetchTable(HttpClientPool &Pool, const Workload &Given) {
  for (const Endpoint &Entry : Given.Entries) {
    absl::StatusOr<Json::Value> Body =
        cli::askEntry(Pool, Entry, "/v1/admin/table", Given.AdminKey);
    if (!Body.ok())
      continue;
    Rows All;
    const Json::Value &Found = memberAt(*Body, "rows");
    for (const std::string &Key : Found.getMemberNames()) {
      for (const std::string &Field : Found[Key].getMemberNames())
        All[Key].Fields[Field] = textAt(Found[Key], Field.c_str());
    }
    absl::StatusOr<Table> Compiled = compileTable(All);
    if (Compiled.ok())
      return *std::move(Compiled);
  }
  return Table{};
}

int64_t countDoubledOrders(HttpClientPool &Pool, const Workload &Given) {
  absl::StatusOr<Json::Value> Body =
      cli::askEntry(Pool, Given.Log, "/runs", "");
  if (!Body.ok())
    return 0;
  int64_t Out = 0;
  const Json::Value &Services = memberAt(*Body, "services");
  for (const std::string &Key : Services.getMemberNames())
    Out += Key != "(none)" && Services[Key].asInt64() > 1 ? 1 : 0;
  return Out;
}

bool writeReport(const std::string &Path, const Json::Value &Report) {
  if (Path.empty())
    return true;
  std::ofstream Out(Path);
  Out << writePrettyJson(Report) << "\n";
  return Out.good();
}

int64_t countBroken(const Options &Chosen, const RunReport &Found) {
  int64_t Out =
      static_cast<int64_t>(Found.Bills.Missing.size()) + Found.DoubledOrders;
  for (const std::string &Name : Chosen.Forbidden) {
    auto Seen = Found.Outcomes.find(Name);
    Out += Seen == Found.Outcomes.end() ? 0 : Seen->second;
  }
  return Out;
}

int runLoad(const Options &Chosen, const Workload &Given) {
  auto Pool = std::make_shared<HttpClientPool>();
  Table Prices = fetchTable(*Pool, Given);
  Json::Value Report;
  if (!Chosen.CompareWith.empty()) {
    Endpoint Engine;
    if (!parseEndpoint(Chosen.CompareWith, Engine)) {
      std::cerr << "--compare needs IP:PORT\n";
      return ExitUsage;
    }
    std::vector<Sample> Samples =
        Driver(Given).run(&Engine, Chosen.CompareModel);
    RunReport Direct = summarize(Samples, Prices, BillState{});
    Report["direct"] = reportToJson(Direct);
    std::cout << "direct to the engine\n" << reportToText(Direct) << "\n";
  }
  std::vector<Sample> Samples = Driver(Given).run(nullptr, "");
  absl::StatusOr<BillState> Bills =
      cli::readBills(makeHttpLog(Pool, Given.Log));
  if (!Bills.ok())
    std::cerr << Bills.status().message() << "\n";
  RunReport Routed =
      summarize(Samples, Prices, Bills.ok() ? *Bills : BillState{});
  Routed.DoubledOrders = countDoubledOrders(*Pool, Given);
  Report["routed"] = reportToJson(Routed);
  std::cout << reportToText(Routed);
  if (!writeReport(Chosen.ReportPath, Report))
    std::cerr << "cannot write " << Chosen.ReportPath << "\n";
  int64_t Broken = countBroken(Chosen, Routed);
  std::cout << "promises broken: " << Broken << "\n";
  return Broken > 0 ? ExitBroken : 0;
}

int runTool(int Argc, char **Argv) {
  Options Chosen = readOptions(Argc, Argv);
  if (!Chosen.ExperimentPath.empty()) {
    startLogging(HostId("experiment"), PlaceId("local"), /*Verbose=*/false);
    absl::Status Ran =
        runExperiment(Chosen.ExperimentPath, Chosen.ReportPath, Chosen.Policy);
    if (!Ran.ok())
      std::cerr << Ran.message() << "\n";
    return Ran.ok() ? 0 : ExitUsage;
  }
  absl::StatusOr<std::string> Text = readFile(Chosen.WorkloadPath);
  absl::StatusOr<Workload> Given =
      Text.ok() ? readWorkload(*Text) : Text.status();
  if (!Given.ok()) {
    std::cerr << Given.status().message() << "\n";
    return ExitUsage;
  }
  return runLoad(Chosen, *Given);
}

} // namespace

int main(int Argc, char **Argv) {
  return cli::runTool([&] { return runTool(Argc, Argv); });
}
