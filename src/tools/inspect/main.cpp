//===- main.cpp - berylramp-inspect ---------------------------------------===//
//
// Shows the state of a fleet: the table, the hosts, one host, the replicas, the
// decisions for one request, and the bills in the log.
//
//===----------------------------------------------------------------------===//

#include "berylramp/billing.h"
#include "berylramp/http.h"
#include "berylramp/json.h"
#include "berylramp/settings.h"
#include "berylramp/table.h"
#include "cli.h"
#include "render.h"
#include "timeline.h"
#include "where.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace berylramp;
using namespace berylramp::inspect;

constexpr int ExitAuditFailed = 1;
using cli::ExitUsage;
constexpr int ExitUnavailable = 3;
constexpr int StatusOk = 200;

struct Options {
  std::string Subject;
  std::string Request;
  Endpoint Entry;
  bool HasEntry = false;
  Endpoint Log;
  bool HasLog = false;
  std::string AnswersPath;
  std::vector<std::string> LogPaths;
  Format OutputFormat = Format::Columns;
};

Options readOptions(int Argc, char **Argv) {
  TCLAP::CmdLine Command(
      "Shows the state of a fleet. WHAT is table, hosts, host, replicas, "
      "request or bills; request needs the request's id after it. 'explain ID "
      "FILE...' prints the timeline of a request from the logs of hosts. "
      "'where host=NAME path=PATH ...' tells where berylramp-edged, whose "
      "address for peers is --entry, would send a request. "
      "BERYLRAMP_ADMIN_KEY holds the key for --entry. Exit codes: 0 shown, 1 "
      "the bill audit found missing or orphaned bills, 2 invalid command line, "
      "3 no answer or not found.",
      ' ', BERYLRAMP_VERSION);
  TCLAP::UnlabeledValueArg<std::string> Subject("what", "what to show", true,
                                                "", "WHAT", Command);
  TCLAP::UnlabeledMultiArg<std::string> Positional(
      "words", "the request's id; for explain also the log files", false,
      "ID FILE...", Command);
  TCLAP::ValueArg<std::string> Entry("e", "entry", "entry host to query", false,
                                     "", "IP:PORT", Command);
  TCLAP::ValueArg<std::string> Log("l", "log",
                                   "log service; required for bills", false, "",
                                   "IP:PORT", Command);
  TCLAP::ValueArg<std::string> Answers(
      "", "answers",
      "file of complete answers to audit the bills against; one "
      "WORKSPACE/REQUEST per line",
      false, "", "FILE", Command);
  TCLAP::SwitchArg Csv("", "csv", "print as CSV", Command);
  TCLAP::SwitchArg Json("", "json", "print as JSON", Command);
  Command.setExceptionHandling(false);
  Command.parse(Argc, Argv);
  Options Opts;
  Opts.Subject = Subject.getValue();
  std::vector<std::string> Arguments = Positional.getValue();
  if (!Arguments.empty()) {
    Opts.Request = Arguments.front();
    Opts.LogPaths.assign(Arguments.begin() + 1, Arguments.end());
  }
  Opts.HasEntry = parseEndpoint(Entry.getValue(), Opts.Entry);
  Opts.HasLog = parseEndpoint(Log.getValue(), Opts.Log);
  Opts.AnswersPath = Answers.getValue();
  if (Csv.getValue())
    Opts.OutputFormat = Format::Csv;
  if (Json.getValue())
    Opts.OutputFormat = Format::Json;
  return Opts;
}

absl::StatusOr<Json::Value> query(const Options &Opts,
                                  const std::string &Path) {
  if (!Opts.HasEntry)
    return absl::InvalidArgumentError("pass --entry IP:PORT");
  HttpClientPool Pool;
  return cli::queryEntry(Pool, Opts.Entry, Path,
                         cli::secretFromEnvironment("BERYLRAMP_ADMIN_KEY"));
}

Rows decodeRows(const Json::Value &Body) {
  Rows Result;
  const Json::Value &All = memberAt(Body, "rows");
  const Json::Value &Changed = memberAt(Body, "changed");
  for (const std::string &Key : All.getMemberNames()) {
    Row &Target = Result[Key];
    for (const std::string &Field : All[Key].getMemberNames())
      Target.Fields[Field] = textAt(All[Key], Field.c_str());
    const Json::Value &Last = memberAt(Changed, Key.c_str());
    Target.ChangedAt = Offset(intAt(Last, "at", -1));
    Target.ChangedBy = textAt(Last, "by");
  }
  return Result;
}

int showTable(const Options &Opts) {
  absl::StatusOr<Json::Value> Body = query(Opts, "/v1/admin/table");
  if (!Body.ok()) {
    std::cerr << Body.status().message() << "\n";
    return ExitUnavailable;
  }
  Rows All = decodeRows(*Body);
  if (Opts.OutputFormat == Format::Csv)
    std::cout << rowsToCsv(All);
  else if (Opts.OutputFormat == Format::Json)
    std::cout << writePrettyJson(*Body) << "\n";
  else
    std::cout << "offset " << intAt(*Body, "offset") << ", digest "
              << textAt(*Body, "digest") << "\n\n"
              << rowsToColumns(All);
  return 0;
}

int showGrid(const Options &Opts, const std::string &Path, const char *Member,
             const std::vector<std::string> &Titles) {
  absl::StatusOr<Json::Value> Body = query(Opts, Path);
  if (!Body.ok()) {
    std::cerr << Body.status().message() << "\n";
    return ExitUnavailable;
  }
  Grid Listing = Titles.empty() ? makeMemberGrid(*Body)
                                : makeGrid(memberAt(*Body, Member), Titles);
  std::cout << render(Listing, Opts.OutputFormat);
  return 0;
}

int showRequest(const Options &Opts) {
  absl::StatusOr<Json::Value> Body =
      query(Opts, "/v1/admin/requests/" + Opts.Request);
  if (!Body.ok()) {
    std::cerr << Body.status().message() << "\n";
    return ExitUnavailable;
  }
  const Json::Value &Trace = memberAt(*Body, "trace");
  if (Opts.OutputFormat == Format::Columns)
    std::cout << "request " << textAt(Trace, "request") << " of workspace "
              << textAt(Trace, "workspace") << " at "
              << textAt(Trace, "started_at") << ", table offset "
              << intAt(Trace, "table_offset") << "\n";
  std::cout << render(
      makeGrid(memberAt(Trace, "steps"), {"at_ms", "what", "detail"}),
      Opts.OutputFormat);
  return 0;
}

void showBillsByWorkspace(const BillState &Bills, Format OutputFormat) {
  struct Sum {
    int64_t Count = 0;
    int64_t Cost = 0;
  };
  std::map<std::string, Sum> Sums;
  for (const auto &[Key, Counted] : Bills.Counted) {
    Sum &Total = Sums[Counted.Workspace.text()];
    ++Total.Count;
    Total.Cost += Counted.Cost.count();
  }
  Grid Listing;
  Listing.Titles = {"workspace", "bills", "cost"};
  for (const auto &[Workspace, Total] : Sums)
    Listing.Lines.push_back(
        {Workspace, absl::StrCat(Total.Count), absl::StrCat(Total.Cost)});
  std::cout << render(Listing, OutputFormat);
}

int showBills(const Options &Opts) {
  if (!Opts.HasLog) {
    std::cerr << "pass --log IP:PORT\n";
    return ExitUsage;
  }
  absl::StatusOr<BillState> Bills =
      cli::readBills(makeHttpLog(std::make_shared<HttpClientPool>(), Opts.Log));
  if (!Bills.ok()) {
    std::cerr << Bills.status().message() << "\n";
    return ExitUnavailable;
  }
  showBillsByWorkspace(*Bills, Opts.OutputFormat);
  if (Opts.AnswersPath.empty())
    return 0;
  absl::StatusOr<std::string> Text = readFile(Opts.AnswersPath);
  if (!Text.ok()) {
    std::cerr << Text.status().message() << "\n";
    return ExitUsage;
  }
  std::vector<std::string> Answers =
      absl::StrSplit(*Text, '\n', absl::SkipEmpty());
  BillAudit Audit = auditBills(*Bills, Answers);
  std::cout << "missing " << Audit.Missing.size() << ", orphan "
            << Audit.Orphans.size() << ", repeated records " << Audit.Repeats
            << "\n";
  bool IsClean = Audit.Missing.empty() && Audit.Orphans.empty();
  return IsClean ? 0 : ExitAuditFailed;
}

int explainRequest(const Options &Opts) {
  LogLines Lines;
  for (const std::string &Path : Opts.LogPaths) {
    std::ifstream File(Path);
    if (!File) {
      std::cerr << "cannot read the log file '" << Path << "'\n";
      return ExitUsage;
    }
    readLog(File, Lines);
  }
  std::vector<std::string> Timeline = buildTimeline(Opts.Request, Lines);
  for (const std::string &Entry : Timeline)
    std::cout << Entry << "\n";
  if (Lines.Skipped > 0)
    std::cerr << Lines.Skipped
              << " lines are not log records and were skipped\n";
  if (!Timeline.empty())
    return 0;
  std::cerr << "no log record names request " << Opts.Request
            << "; pass the logs of all hosts that may have handled it\n";
  return ExitUnavailable;
}

int showWhere(const Options &Opts) {
  std::vector<std::string> Words = Opts.LogPaths;
  Words.push_back(Opts.Request);
  absl::StatusOr<Json::Value> Described = describeRequest(Words);
  if (!Described.ok() || !Opts.HasEntry) {
    std::cerr << (Described.ok() ? "pass --entry IP:PORT"
                                 : Described.status().message())
              << "\n";
    return ExitUsage;
  }
  HttpClientPool Pool;
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = "/peer/where";
  Call.Body = writeJson(*Described);
  HttpOutcome Outcome = Pool.call(Opts.Entry, Call);
  absl::StatusOr<Json::Value> Answer = parseJson(Outcome.Body);
  if (Outcome.Fault != HttpFault::None || Outcome.Status != StatusOk ||
      !Answer.ok()) {
    std::cerr << Opts.Entry.text()
              << " gave no explanation; pass a host's address for peers\n";
    return ExitUnavailable;
  }
  std::cout << renderExplanation(*Answer, Opts.OutputFormat);
  return 0;
}

int show(const Options &Opts) {
  if (Opts.Subject == "table")
    return showTable(Opts);
  if (Opts.Subject == "hosts")
    return showGrid(Opts, "/v1/admin/members", "members",
                    {"host", "place", "address", "life", "offset", "streams",
                     "leaving", "gone", "heard_ms_ago"});
  if (Opts.Subject == "host")
    return showGrid(Opts, "/v1/admin/host", "", {});
  if (Opts.Subject == "replicas")
    return showGrid(
        Opts, "/v1/admin/replicas", "replicas",
        {"replica", "version", "address", "running", "waiting", "shut"});
  if (Opts.Subject == "request" && !Opts.Request.empty())
    return showRequest(Opts);
  if (Opts.Subject == "bills")
    return showBills(Opts);
  if (Opts.Subject == "explain" && !Opts.LogPaths.empty())
    return explainRequest(Opts);
  if (Opts.Subject == "where")
    return showWhere(Opts);
  std::cerr << "pass what to show: table, hosts, host, replicas, request ID, "
               "bills, explain ID FILE... or where host=NAME path=PATH\n";
  return ExitUsage;
}

} // namespace

int main(int Argc, char **Argv) {
  return cli::runTool([&] { return show(readOptions(Argc, Argv)); });
}
