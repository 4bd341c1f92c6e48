//===- main.cpp - berylramp-publish ---------------------------------------===//
//
// Appends an operator's edit to the log and waits until it is in force. Edits
// are idempotent by id: after "unknown", run the same command again with
// --edit-id.
//
//===----------------------------------------------------------------------===//

#include "berylramp/http.h"
#include "berylramp/json.h"
#include "berylramp/settings.h"
#include "berylramp/table.h"
#include "cli.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace berylramp;

constexpr int ExitInForce = 0;
using cli::ExitUsage;
constexpr int ExitPending = 3;
constexpr int ExitRejected = 4;
constexpr int ExitUnknown = 5;
constexpr int MaxAppendAttempts = 5;
constexpr absl::Duration PollInterval = absl::Milliseconds(100);
constexpr absl::Duration AppendRetryDelay = absl::Milliseconds(300);

struct Options {
  Endpoint Log;
  std::vector<Endpoint> Entries;
  Edit Change;
  OperatorKeys Keys;
  std::string AdminKey;
  absl::Duration Wait;
  bool AsJson = false;
};

/// Value of --base that selects the current offset of the table.
constexpr int64_t CurrentBase = -2;

absl::StatusOr<CellChange> changeFromText(const std::string &Text) {
  size_t Equals = Text.find('=');
  size_t Dot =
      Equals == std::string::npos ? std::string::npos : Text.rfind('.', Equals);
  if (Dot == std::string::npos)
    return absl::InvalidArgumentError("--set needs ROW.FIELD=VALUE, got '" +
                                      Text + "'");
  return CellChange{Text.substr(0, Dot), Text.substr(Dot + 1, Equals - Dot - 1),
                    Text.substr(Equals + 1), false};
}

absl::Status readChanges(const std::vector<std::string> &Sets,
                         const std::vector<std::string> &Removes,
                         const std::string &CsvPath, Edit &Result) {
  if (!CsvPath.empty()) {
    absl::StatusOr<std::string> Csv = readFile(CsvPath);
    if (!Csv.ok())
      return Csv.status();
    absl::StatusOr<std::vector<CellChange>> Changes = changesFromCsv(*Csv);
    if (!Changes.ok())
      return Changes.status();
    Result.Changes = *std::move(Changes);
  }
  for (const std::string &Text : Sets) {
    absl::StatusOr<CellChange> Change = changeFromText(Text);
    if (!Change.ok())
      return Change.status();
    Result.Changes.push_back(*Change);
  }
  for (const std::string &Key : Removes)
    Result.Changes.push_back(CellChange{Key, "", "", true});
  if (Result.Changes.empty())
    return absl::InvalidArgumentError(
        "pass at least one change with --csv, --set or --remove");
  return absl::OkStatus();
}

absl::Status readOptions(int Argc, char **Argv, Options &Opts) {
  TCLAP::CmdLine Command(
      "Publishes an edit of the operators' table. Secrets come from the "
      "environment: BERYLRAMP_OPERATOR_KEY signs the edit, "
      "BERYLRAMP_ADMIN_KEY authorizes queries to the entry hosts. Exit codes: "
      "0 in force, 2 invalid command line, 3 pending, 4 rejected, 5 unknown.",
      ' ', BERYLRAMP_VERSION);
  TCLAP::ValueArg<std::string> Log("", "log", "address of the log service",
                                   true, "", "IP:PORT", Command);
  TCLAP::MultiArg<std::string> Entry("", "entry",
                                     "entry host to query, may be repeated",
                                     true, "IP:PORT", Command);
  TCLAP::ValueArg<std::string> Csv(
      "", "csv", "file of changes, one row,field,value per line", false, "",
      "FILE", Command);
  TCLAP::MultiArg<std::string> Set("", "set", "change one cell", false,
                                   "ROW.FIELD=VALUE", Command);
  TCLAP::MultiArg<std::string> Remove("", "remove", "remove a whole row", false,
                                      "ROW", Command);
  TCLAP::ValueArg<std::string> Author("", "author", "author of the edit", true,
                                      "", "NAME", Command);
  TCLAP::ValueArg<std::string> Note("", "note", "reason for the edit", false,
                                    "", "TEXT", Command);
  TCLAP::ValueArg<std::string> Id(
      "", "edit-id", "id of the edit; repeat a previous edit with its id",
      false, "", "ID", Command);
  TCLAP::ValueArg<int64_t> Base("", "base",
                                "table offset on which the edit is based",
                                false, CurrentBase, "OFFSET", Command);
  TCLAP::ValueArg<double> Wait("", "wait",
                               "seconds to wait for the edit to be in force",
                               false, 10, "SECONDS", Command);
  TCLAP::SwitchArg Json("", "json", "print the outcome as JSON", Command);
  Command.setExceptionHandling(false);
  Command.parse(Argc, Argv);
  if (!parseEndpoint(Log.getValue(), Opts.Log))
    return absl::InvalidArgumentError("--log needs IP:PORT");
  for (const std::string &Text : Entry.getValue()) {
    Endpoint Address;
    if (!parseEndpoint(Text, Address))
      return absl::InvalidArgumentError("--entry needs IP:PORT");
    Opts.Entries.push_back(Address);
  }
  Opts.Keys.Secrets = {cli::secretFromEnvironment("BERYLRAMP_OPERATOR_KEY")};
  Opts.AdminKey = cli::secretFromEnvironment("BERYLRAMP_ADMIN_KEY");
  if (Opts.Keys.Secrets.front().empty() || Opts.AdminKey.empty())
    return absl::InvalidArgumentError(
        "set BERYLRAMP_OPERATOR_KEY and BERYLRAMP_ADMIN_KEY");
  Opts.Change.Author = Author.getValue();
  Opts.Change.Note = Note.getValue();
  Opts.Change.BaseOffset = Offset(Base.getValue());
  Opts.Change.Id =
      EditId(Id.getValue().empty() ? makeUuidV7(absl::ToUnixMillis(absl::Now()))
                                   : Id.getValue());
  Opts.Wait = absl::Seconds(Wait.getValue());
  Opts.AsJson = Json.getValue();
  return readChanges(Set.getValue(), Remove.getValue(), Csv.getValue(),
                     Opts.Change);
}

/// Queries the entry hosts in turn until one answers.
absl::StatusOr<Json::Value> queryEntries(HttpClientPool &Pool,
                                         const Options &Opts,
                                         const std::string &Path) {
  absl::Status Last;
  for (const Endpoint &Entry : Opts.Entries) {
    absl::StatusOr<Json::Value> Answer =
        cli::queryEntry(Pool, Entry, Path, Opts.AdminKey);
    if (Answer.ok())
      return Answer;
    Last = Answer.status();
  }
  return Last;
}

int report(const Options &Opts, const std::string &Outcome,
           const Json::Value &Detail, int Code) {
  if (Opts.AsJson) {
    Json::Value Body = Detail;
    Body["standing"] = Outcome;
    Body["edit"] = Opts.Change.Id.text();
    std::cout << writeJson(Body) << "\n";
    return Code;
  }
  std::cout << Outcome << " edit " << Opts.Change.Id.text();
  if (!textAt(Detail, "reason").empty())
    std::cout << ": " << textAt(Detail, "reason");
  if (!memberAt(Detail, "offset").isNull())
    std::cout << " at offset " << intAt(Detail, "offset");
  for (const Json::Value &Host : arrayAt(Detail, "missing"))
    std::cout << ", not yet on " << Host.asString();
  std::cout << "\n";
  return Code;
}

bool appendEdit(const LogPort &Log, const Options &Opts) {
  std::string Record = encodeEdit(Opts.Change, Opts.Keys);
  for (int Attempt = 0; Attempt < MaxAppendAttempts; ++Attempt) {
    if (Log.Append(ConfigStream, Record).ok())
      return true;
    absl::SleepFor(AppendRetryDelay);
  }
  return false;
}

int awaitInForce(HttpClientPool &Pool, const Options &Opts) {
  absl::Time Deadline = absl::Now() + Opts.Wait;
  std::string Path = "/v1/admin/edits/" + Opts.Change.Id.text();
  Json::Value Last;
  while (true) {
    absl::StatusOr<Json::Value> Found = queryEntries(Pool, Opts, Path);
    if (Found.ok()) {
      Last = *Found;
      if (textAt(Last, "verdict") != "accepted")
        return report(Opts, "rejected", Last, ExitRejected);
      if (boolAt(Last, "in_force"))
        return report(Opts, "in force", Last, ExitInForce);
    }
    if (absl::Now() >= Deadline)
      break;
    absl::SleepFor(PollInterval);
  }
  if (Last.isNull())
    return report(Opts, "unknown", Json::Value(Json::objectValue), ExitUnknown);
  return report(Opts, "pending", Last, ExitPending);
}

int publish(Options &Opts) {
  auto Pool = std::make_shared<HttpClientPool>();
  if (Opts.Change.BaseOffset == Offset(CurrentBase)) {
    absl::StatusOr<Json::Value> Table =
        queryEntries(*Pool, Opts, "/v1/admin/table");
    if (!Table.ok()) {
      std::cerr << Table.status().message() << "\n";
      return ExitUnknown;
    }
    Opts.Change.BaseOffset = Offset(intAt(*Table, "offset", -1));
  }
  // The result of the append is ignored: its answer may be lost although the
  // append took effect, so only the state of the edit in the fold is reliable.
  appendEdit(makeHttpLog(Pool, Opts.Log), Opts);
  return awaitInForce(*Pool, Opts);
}

int runTool(int Argc, char **Argv) {
  Options Opts;
  absl::Status Parsed = readOptions(Argc, Argv, Opts);
  if (!Parsed.ok()) {
    std::cerr << Parsed.message() << "\n";
    return ExitUsage;
  }
  return publish(Opts);
}

} // namespace

int main(int Argc, char **Argv) {
  return cli::runTool([&] { return runTool(Argc, Argv); });
}
