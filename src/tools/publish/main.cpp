//===- main.cpp - berylramp-publish ---------------------------------------===//
//
// Publishes an operator's edit on the log and follows it until it is in force.
// The edit's id makes a repeat harmless: after "unknown", run the same command
// with --edit-id again.
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
constexpr int AppendTries = 5;
constexpr absl::Duration AskEvery = absl::Milliseconds(100);
constexpr absl::Duration PauseAfterFailure = absl::Milliseconds(300);

struct Options {
  Endpoint Log;
  std::vector<Endpoint> Entries;
  Edit Change;
  OperatorKeys Keys;
  std::string AdminKey;
  absl::Duration Wait;
  bool AsJson = false;
};

/// Stands for "use the table as it is now" on the command line.
constexpr int64_t BaseNow = -2;

absl::StatusOr<CellChange> changeFromText(const std::string &Text) {
  size_t Equals = Text.find('=');
  size_t Dot =
      Equals == std::string::npos ? std::string::npos : Text.rfind('.', Equals);
  if (Dot == std::string::npos)
    return absl::InvalidArgumentError("write --set ROW.FIELD=VALUE, not '" +
                                      Text + "'");
  return CellChange{Text.substr(0, Dot), Text.substr(Dot + 1, Equals - Dot - 1),
                    Text.substr(Equals + 1), false};
}

absl::Status readChanges(const std::vector<std::string> &Sets,
                         const std::vector<std::string> &Removes,
                         const std::string &CsvPath, Edit &Out) {
  if (!CsvPath.empty()) {
    absl::StatusOr<std::string> Csv = readFile(CsvPath);
    if (!Csv.ok())
      return Csv.status();
    absl::StatusOr<std::vector<CellChange>> Changes = changesFromCsv(*Csv);
    if (!Changes.ok())
      return Changes.status();
    Out.Changes = *std::move(Changes);
  }
  for (const std::string &Text : Sets) {
    absl::StatusOr<CellChange> Change = changeFromText(Text);
    if (!Change.ok())
      return Change.status();
    Out.Changes.push_back(*Change);
  }
  for (const std::string &Key : Removes)
    Out.Changes.push_back(CellChange{Key, "", "", true});
  if (Out.Changes.empty())
    return absl::InvalidArgumentError("give --csv, --set or --remove");
  return absl::OkStatus();
}

absl::Status readOptions(int Argc, char **Argv, Options &Out) {
  TCLAP::CmdLine Line(
      "Publishes an edit of the operators' table. Secrets come from the "
      "environment: BERYLRAMP_OPERATOR_KEY signs the edit, "
      "BERYLRAMP_ADMIN_KEY asks the entry hosts. Exit codes: 0 in force, 2 bad "
      "command line, 3 pending, 4 rejected, 5 unknown.",
      ' ', BERYLRAMP_VERSION);
  TCLAP::ValueArg<std::string> Log("", "log", "address of the log service",
                                   true, "", "IP:PORT", Line);
  TCLAP::MultiArg<std::string> Entry(
      "", "entry", "entry host to ask, may be repeated", true, "IP:PORT", Line);
  TCLAP::ValueArg<std::string> Csv("", "csv", "changes as row,field,value",
                                   false, "", "FILE", Line);
  TCLAP::MultiArg<std::string> Set("", "set", "change one cell", false,
                                   "ROW.FIELD=VALUE", Line);
  TCLAP::MultiArg<std::string> Remove("", "remove", "remove a whole row", false,
                                      "ROW", Line);
  TCLAP::ValueArg<std::string> Author("", "author", "who makes the edit", true,
                                      "", "NAME", Line);
  TCLAP::ValueArg<std::string> Note("", "note", "why", false, "", "TEXT", Line);
  TCLAP::ValueArg<std::string> Id("", "edit-id", "repeat the edit of this id",
                                  false, "", "ID", Line);
  TCLAP::ValueArg<int64_t> Base("", "base",
                                "table offset that the edit was made on", false,
                                BaseNow, "OFFSET", Line);
  TCLAP::ValueArg<double> Wait("", "wait", "seconds to wait until in force",
                               false, 10, "SECONDS", Line);
  TCLAP::SwitchArg Json("", "json", "print the outcome as JSON", Line);
  Line.setExceptionHandling(false);
  Line.parse(Argc, Argv);
  if (!parseEndpoint(Log.getValue(), Out.Log))
    return absl::InvalidArgumentError("--log needs IP:PORT");
  for (const std::string &Text : Entry.getValue()) {
    Endpoint Address;
    if (!parseEndpoint(Text, Address))
      return absl::InvalidArgumentError("--entry needs IP:PORT");
    Out.Entries.push_back(Address);
  }
  Out.Keys.Secrets = {cli::secretFrom("BERYLRAMP_OPERATOR_KEY")};
  Out.AdminKey = cli::secretFrom("BERYLRAMP_ADMIN_KEY");
  if (Out.Keys.Secrets.front().empty() || Out.AdminKey.empty())
    return absl::InvalidArgumentError(
        "set BERYLRAMP_OPERATOR_KEY and BERYLRAMP_ADMIN_KEY");
  Out.Change.Author = Author.getValue();
  Out.Change.Note = Note.getValue();
  Out.Change.BaseOffset = Offset(Base.getValue());
  Out.Change.Id =
      EditId(Id.getValue().empty() ? makeUuidV7(absl::ToUnixMillis(absl::Now()))
                                   : Id.getValue());
  Out.Wait = absl::Seconds(Wait.getValue());
  Out.AsJson = Json.getValue();
  return readChanges(Set.getValue(), Remove.getValue(), Csv.getValue(),
                     Out.Change);
}

/// Asks the entry hosts in turn until one answers.
absl::StatusOr<Json::Value> askEntries(HttpClientPool &Pool,
                                       const Options &Given,
                                       const std::string &Path) {
  absl::Status Last;
  for (const Endpoint &Entry : Given.Entries) {
    absl::StatusOr<Json::Value> Answer =
        cli::askEntry(Pool, Entry, Path, Given.AdminKey);
    if (Answer.ok())
      return Answer;
    Last = Answer.status();
  }
  return Last;
}

int report(const Options &Given, const std::string &Standing,
           const Json::Value &Detail, int Code) {
  if (Given.AsJson) {
    Json::Value Out = Detail;
    Out["standing"] = Standing;
    Out["edit"] = Given.Change.Id.text();
    std::cout << writeJson(Out) << "\n";
    return Code;
  }
  std::cout << Standing << " edit " << Given.Change.Id.text();
  if (!textAt(Detail, "reason").empty())
    std::cout << ": " << textAt(Detail, "reason");
  if (!memberAt(Detail, "offset").isNull())
    std::cout << " at offset " << intAt(Detail, "offset");
  for (const Json::Value &Host : arrayAt(Detail, "missing"))
    std::cout << ", not yet on " << Host.asString();
  std::cout << "\n";
  return Code;
}

bool appendEdit(const LogPort &Log, const Options &Given) {
  std::string Record = encodeEdit(Given.Change, Given.Keys);
  for (int Try = 0; Try < AppendTries; ++Try) {
    if (Log.Append(ConfigStream, Record).ok())
      return true;
    absl::SleepFor(PauseAfterFailure);
  }
  return false;
}

int follow(HttpClientPool &Pool, const Options &Given) {
  absl::Time Until = absl::Now() + Given.Wait;
  std::string Path = "/v1/admin/edits/" + Given.Change.Id.text();
  Json::Value Last;
  while (true) {
    absl::StatusOr<Json::Value> Found = askEntries(Pool, Given, Path);
    if (Found.ok()) {
      Last = *Found;
      if (textAt(Last, "verdict") != "accepted")
        return report(Given, "rejected", Last, ExitRejected);
      if (boolAt(Last, "in_force"))
        return report(Given, "in force", Last, ExitInForce);
    }
    if (absl::Now() >= Until)
      break;
    absl::SleepFor(AskEvery);
  }
  if (Last.isNull())
    return report(Given, "unknown", Json::Value(Json::objectValue),
                  ExitUnknown);
  return report(Given, "pending", Last, ExitPending);
}

int publish(Options &Given) {
  auto Pool = std::make_shared<HttpClientPool>();
  if (Given.Change.BaseOffset == Offset(BaseNow)) {
    absl::StatusOr<Json::Value> Table =
        askEntries(*Pool, Given, "/v1/admin/table");
    if (!Table.ok()) {
      std::cerr << Table.status().message() << "\n";
      return ExitUnknown;
    }
    Given.Change.BaseOffset = Offset(intAt(*Table, "offset", -1));
  }
  // A lost append answer is resolved by reading the fold, not by guessing.
  appendEdit(makeHttpLog(Pool, Given.Log), Given);
  return follow(*Pool, Given);
}

int runTool(int Argc, char **Argv) {
  Options Given;
  absl::Status Read = readOptions(Argc, Argv, Given);
  if (!Read.ok()) {
    std::cerr << Read.message() << "\n";
    return ExitUsage;
  }
  return publish(Given);
}

} // namespace

int main(int Argc, char **Argv) {
  return cli::runTool([&] { return runTool(Argc, Argv); });
}
