//===- main.cpp - berylramp-load ------------------------------------------===//
//
// Sends a workload to entry hosts and reports outcomes, latencies and costs.
// With --compare it first sends the same load directly to an engine.
//
//===----------------------------------------------------------------------===//

#include "berylramp/json.h"
#include "berylramp/observe.h"
#include "berylramp/settings.h"
#include "cli.h"
#include "experiment.h"
#include "report.h"

#include "absl/time/clock.h"
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace berylramp;
using namespace berylramp::load;

constexpr int ExitGuaranteeViolated = 1;
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
  TCLAP::CmdLine Command(
      "Sends a workload to entry hosts and reports the "
      "outcomes. Exit codes: 0 no guarantee violated, 1 bills "
      "missing, non-idempotent requests run more than once or "
      "forbidden outcomes, 2 invalid command line or workload.",
      ' ', BERYLRAMP_VERSION);
  TCLAP::ValueArg<std::string> Workload("w", "workload", "JSON workload", false,
                                        "", "FILE", Command);
  TCLAP::ValueArg<std::string> Experiment(
      "x", "experiment", "compare the policies of this experiment", false, "",
      "FILE", Command);
  TCLAP::ValueArg<std::string> Policy("", "policy",
                                      "run only this policy of the experiment",
                                      false, "", "NAME", Command);
  TCLAP::ValueArg<std::string> Report("r", "report",
                                      "file for the JSON report; for an "
                                      "experiment, without extension",
                                      false, "", "FILE", Command);
  TCLAP::ValueArg<std::string> Compare(
      "", "compare", "engine to which the same load is sent directly", false,
      "", "IP:PORT", Command);
  TCLAP::ValueArg<std::string> Model(
      "", "compare-model", "MODEL/VERSION to request from that engine", false,
      "", "NAME", Command);
  TCLAP::MultiArg<std::string> Forbid(
      "", "forbid", "outcome that counts as a violated guarantee", false,
      "OUTCOME", Command);
  Command.setExceptionHandling(false);
  Command.parse(Argc, Argv);
  return Options{Workload.getValue(), Experiment.getValue(), Policy.getValue(),
                 Report.getValue(),   Compare.getValue(),    Model.getValue(),
                 Forbid.getValue()};
}

/// Fetches the operators' table from the first entry host that returns a valid
/// one; an empty table when none does.
Table fetchTable(HttpClientPool &Pool, const Workload &Load) {
  for (const Endpoint &Entry : Load.Entries) {
    absl::StatusOr<Json::Value> Body =
        cli::queryEntry(Pool, Entry, "/v1/admin/table", Load.AdminKey);
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

int64_t countRepeatedExecutions(HttpClientPool &Pool, const Workload &Load) {
  absl::StatusOr<Json::Value> Body =
      cli::queryEntry(Pool, Load.Log, "/runs", "");
  if (!Body.ok())
    return 0;
  int64_t Result = 0;
  const Json::Value &Services = memberAt(*Body, "services");
  for (const std::string &Key : Services.getMemberNames())
    Result += Key != "(none)" && Services[Key].asInt64() > 1 ? 1 : 0;
  return Result;
}

bool writeReport(const std::string &Path, const Json::Value &Report) {
  if (Path.empty())
    return true;
  std::ofstream File(Path);
  File << writePrettyJson(Report) << "\n";
  return File.good();
}

int64_t countViolations(const Options &Opts, const RunReport &Report) {
  int64_t Result = static_cast<int64_t>(Report.Bills.Missing.size()) +
                   Report.RepeatedExecutions;
  for (const std::string &Name : Opts.Forbidden) {
    auto Counted = Report.Outcomes.find(Name);
    Result += Counted == Report.Outcomes.end() ? 0 : Counted->second;
  }
  return Result;
}

/// Time in which the hosts append the bills of complete answers to the log.
constexpr absl::Duration BillLogTimeout = absl::Seconds(10);
constexpr absl::Duration BillReadInterval = absl::Milliseconds(200);

/// Audits the answers against the log. A host may append a bill after its
/// answer, so the log is read again until it holds all bills or the timeout
/// has passed.
RunReport auditAnswers(const std::vector<Sample> &Samples, const Table &Prices,
                       const LogPort &Log) {
  absl::Time Deadline = absl::Now() + BillLogTimeout;
  RunReport Report;
  int64_t FirstMissing = -1;
  while (true) {
    absl::StatusOr<BillState> Bills = cli::readBills(Log);
    if (!Bills.ok())
      std::cerr << Bills.status().message() << "\n";
    Report = summarize(Samples, Prices, Bills.ok() ? *Bills : BillState{});
    auto Missing = static_cast<int64_t>(Report.Bills.Missing.size());
    if (FirstMissing < 0)
      FirstMissing = Missing;
    Report.LateBills = FirstMissing - Missing;
    if (Missing == 0 || absl::Now() > Deadline)
      return Report;
    absl::SleepFor(BillReadInterval);
  }
}

int runLoad(const Options &Opts, const Workload &Load) {
  auto Pool = std::make_shared<HttpClientPool>();
  Table Prices = fetchTable(*Pool, Load);
  Json::Value Report;
  if (!Opts.CompareWith.empty()) {
    Endpoint Engine;
    if (!parseEndpoint(Opts.CompareWith, Engine)) {
      std::cerr << "--compare needs IP:PORT\n";
      return ExitUsage;
    }
    std::vector<Sample> Samples = Driver(Load).run(&Engine, Opts.CompareModel);
    RunReport Direct = summarize(Samples, Prices, BillState{});
    Report["direct"] = reportToJson(Direct);
    std::cout << "direct to the engine\n" << reportToText(Direct) << "\n";
  }
  std::vector<Sample> Samples = Driver(Load).run(nullptr, "");
  RunReport Routed = auditAnswers(Samples, Prices, makeHttpLog(Pool, Load.Log));
  Routed.RepeatedExecutions = countRepeatedExecutions(*Pool, Load);
  Report["routed"] = reportToJson(Routed);
  std::cout << reportToText(Routed);
  if (!writeReport(Opts.ReportPath, Report))
    std::cerr << "cannot write " << Opts.ReportPath << "\n";
  int64_t Violations = countViolations(Opts, Routed);
  std::cout << "guarantees violated: " << Violations << "\n";
  return Violations > 0 ? ExitGuaranteeViolated : 0;
}

int runTool(int Argc, char **Argv) {
  Options Opts = readOptions(Argc, Argv);
  if (!Opts.ExperimentPath.empty()) {
    startLogging(HostId("experiment"), PlaceId("local"), /*Verbose=*/false);
    absl::Status Finished =
        runExperiment(Opts.ExperimentPath, Opts.ReportPath, Opts.Policy);
    if (!Finished.ok())
      std::cerr << Finished.message() << "\n";
    return Finished.ok() ? 0 : ExitUsage;
  }
  absl::StatusOr<std::string> Text = readFile(Opts.WorkloadPath);
  absl::StatusOr<Workload> Load =
      Text.ok() ? readWorkload(*Text) : Text.status();
  if (!Load.ok()) {
    std::cerr << Load.status().message() << "\n";
    return ExitUsage;
  }
  return runLoad(Opts, *Load);
}

} // namespace

int main(int Argc, char **Argv) {
  return cli::runTool([&] { return runTool(Argc, Argv); });
}
