//===- main.cpp - berylramp-inspect ---------------------------------------===//
//
// Reads and explains: the table, the hosts, one host, the replicas, what was
// decided for one request, and the bills in the log.
//
//===----------------------------------------------------------------------===//

#include "berylramp/billing.h"
#include "berylramp/http.h"
#include "berylramp/json.h"
#include "berylramp/settings.h"
#include "berylramp/table.h"
#include "cli.h"
#include "render.h"
#include "story.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace berylramp;
using namespace berylramp::inspect;

constexpr int ExitBroken = 1;
using cli::ExitUsage;
constexpr int ExitUnavailable = 3;

struct Options {
  std::string What;
  std::string Which;
  Endpoint Entry;
  bool HasEntry = false;
  Endpoint Log;
  bool HasLog = false;
  std::string AnswersPath;
  std::vector<std::string> LogPaths;
  Format How = Format::Columns;
};

Options readOptions(int Argc, char **Argv) {
  TCLAP::CmdLine Line(
      "Reads and explains. WHAT is table, hosts, host, replicas, request or "
      "bills; request needs the request's id after it. 'explain ID FILE...' "
      "tells the story of a request from the logs of hosts. "
      "BERYLRAMP_ADMIN_KEY holds the key for --entry. Exit codes: 0 shown, 1 "
      "the bill audit found "
      "a fault, 2 bad command line, 3 no answer or not found.",
      ' ', BERYLRAMP_VERSION);
  TCLAP::UnlabeledValueArg<std::string> What("what", "what to show", true, "",
                                             "WHAT", Line);
  TCLAP::UnlabeledMultiArg<std::string> Words(
      "words", "the request's id; for explain also the log files", false,
      "ID FILE...", Line);
  TCLAP::ValueArg<std::string> Entry("e", "entry", "entry host to ask", false,
                                     "", "IP:PORT", Line);
  TCLAP::ValueArg<std::string> Log("l", "log", "log service, for bills", false,
                                   "", "IP:PORT", Line);
  TCLAP::ValueArg<std::string> Answers(
      "", "answers",
      "file of whole answers to audit bills against, WORKSPACE/REQUEST a line",
      false, "", "FILE", Line);
  TCLAP::SwitchArg Csv("", "csv", "show as CSV", Line);
  TCLAP::SwitchArg Json("", "json", "show as JSON", Line);
  Line.setExceptionHandling(false);
  Line.parse(Argc, Argv);
  Options Out;
  Out.What = What.getValue();
  std::vector<std::string> Given = Words.getValue();
  if (!Given.empty()) {
    Out.Which = Given.front();
    Out.LogPaths.assign(Given.begin() + 1, Given.end());
  }
  Out.HasEntry = parseEndpoint(Entry.getValue(), Out.Entry);
  Out.HasLog = parseEndpoint(Log.getValue(), Out.Log);
  Out.AnswersPath = Answers.getValue();
  if (Csv.getValue())
    Out.How = Format::Csv;
  if (Json.getValue())
    Out.How = Format::Json;
  return Out;
}

absl::StatusOr<Json::Value> ask(const Options &Given, const std::string &Path) {
  if (!Given.HasEntry)
    return absl::InvalidArgumentError("give --entry IP:PORT");
  HttpClientPool Pool;
  return cli::askEntry(Pool, Given.Entry, Path,
                       cli::secretFrom("BERYLRAMP_ADMIN_KEY"));
}

Rows rowsFromAnswer(const Json::Value &Body) {
  Rows Out;
  const Json::Value &All = memberAt(Body, "rows");
  const Json::Value &Changed = memberAt(Body, "changed");
  for (const std::string &Key : All.getMemberNames()) {
    Row &Target = Out[Key];
    for (const std::string &Field : All[Key].getMemberNames())
      Target.Fields[Field] = textAt(All[Key], Field.c_str());
    const Json::Value &Last = memberAt(Changed, Key.c_str());
    Target.ChangedAt = Offset(intAt(Last, "at", -1));
    Target.ChangedBy = textAt(Last, "by");
  }
  return Out;
}

int showTable(const Options &Given) {
  absl::StatusOr<Json::Value> Body = ask(Given, "/v1/admin/table");
  if (!Body.ok()) {
    std::cerr << Body.status().message() << "\n";
    return ExitUnavailable;
  }
  Rows All = rowsFromAnswer(*Body);
  if (Given.How == Format::Csv)
    std::cout << rowsToCsv(All);
  else if (Given.How == Format::Json)
    std::cout << writePrettyJson(*Body) << "\n";
  else
    std::cout << "offset " << intAt(*Body, "offset") << ", digest "
              << textAt(*Body, "digest") << "\n\n"
              << rowsToColumns(All);
  return 0;
}

int showGrid(const Options &Given, const std::string &Path, const char *Member,
             const std::vector<std::string> &Titles) {
  absl::StatusOr<Json::Value> Body = ask(Given, Path);
  if (!Body.ok()) {
    std::cerr << Body.status().message() << "\n";
    return ExitUnavailable;
  }
  Grid Shown = Titles.empty() ? gridOfMembers(*Body)
                              : gridOf(memberAt(*Body, Member), Titles);
  std::cout << render(Shown, Given.How);
  return 0;
}

int showRequest(const Options &Given) {
  absl::StatusOr<Json::Value> Body =
      ask(Given, "/v1/admin/requests/" + Given.Which);
  if (!Body.ok()) {
    std::cerr << Body.status().message() << "\n";
    return ExitUnavailable;
  }
  const Json::Value &Trace = memberAt(*Body, "trace");
  if (Given.How == Format::Columns)
    std::cout << "request " << textAt(Trace, "request") << " of workspace "
              << textAt(Trace, "workspace") << " at "
              << textAt(Trace, "started_at") << ", table offset "
              << intAt(Trace, "table_offset") << "\n";
  std::cout << render(
      gridOf(memberAt(Trace, "steps"), {"at_ms", "what", "detail"}), Given.How);
  return 0;
}

void showBillsByWorkspace(const BillState &Bills, Format How) {
  struct Sum {
    int64_t Count = 0;
    int64_t Cost = 0;
  };
  std::map<std::string, Sum> Sums;
  for (const auto &[Key, Each] : Bills.Counted) {
    Sum &Target = Sums[Each.Workspace.text()];
    ++Target.Count;
    Target.Cost += Each.Cost.count();
  }
  Grid Shown;
  Shown.Titles = {"workspace", "bills", "cost"};
  for (const auto &[Workspace, Each] : Sums)
    Shown.Lines.push_back(
        {Workspace, absl::StrCat(Each.Count), absl::StrCat(Each.Cost)});
  std::cout << render(Shown, How);
}

int showBills(const Options &Given) {
  if (!Given.HasLog) {
    std::cerr << "give --log IP:PORT\n";
    return ExitUsage;
  }
  absl::StatusOr<BillState> Bills = cli::readBills(
      makeHttpLog(std::make_shared<HttpClientPool>(), Given.Log));
  if (!Bills.ok()) {
    std::cerr << Bills.status().message() << "\n";
    return ExitUnavailable;
  }
  showBillsByWorkspace(*Bills, Given.How);
  if (Given.AnswersPath.empty())
    return 0;
  absl::StatusOr<std::string> Text = readFile(Given.AnswersPath);
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
  return IsClean ? 0 : ExitBroken;
}

int explainRequest(const Options &Given) {
  LogLines Lines;
  for (const std::string &Path : Given.LogPaths) {
    std::ifstream File(Path);
    if (!File) {
      std::cerr << "the log '" << Path << "' cannot be read\n";
      return ExitUsage;
    }
    readLog(File, Lines);
  }
  std::vector<std::string> Story = storyOf(Given.Which, Lines);
  for (const std::string &Each : Story)
    std::cout << Each << "\n";
  if (Lines.Skipped > 0)
    std::cerr << Lines.Skipped << " lines are no records and were skipped\n";
  if (!Story.empty())
    return 0;
  std::cerr << "no line names request " << Given.Which
            << "; give the logs of all hosts that may have taken it\n";
  return ExitUnavailable;
}

int show(const Options &Given) {
  if (Given.What == "table")
    return showTable(Given);
  if (Given.What == "hosts")
    return showGrid(Given, "/v1/admin/members", "members",
                    {"host", "place", "address", "life", "offset", "streams",
                     "leaving", "gone", "heard_ms_ago"});
  if (Given.What == "host")
    return showGrid(Given, "/v1/admin/host", "", {});
  if (Given.What == "replicas")
    return showGrid(
        Given, "/v1/admin/replicas", "replicas",
        {"replica", "version", "address", "running", "waiting", "shut"});
  if (Given.What == "request" && !Given.Which.empty())
    return showRequest(Given);
  if (Given.What == "bills")
    return showBills(Given);
  if (Given.What == "explain" && !Given.LogPaths.empty())
    return explainRequest(Given);
  std::cerr << "say what to show: table, hosts, host, replicas, request ID, "
               "bills or explain ID FILE...\n";
  return ExitUsage;
}

} // namespace

int main(int Argc, char **Argv) {
  return cli::runTool([&] { return show(readOptions(Argc, Argv)); });
}
