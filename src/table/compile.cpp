//===- compile.cpp - Compiles text cells to the typed table ---------------===//
//
// The compiler collects all faults, not only the first, so that an operator can
// correct a pasted sheet in one pass. References between rows are checked last.
//
//===----------------------------------------------------------------------===//

#include "berylramp/table.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace berylramp {

namespace {

constexpr size_t MaxFaultsShown = 50;
constexpr int MaxPercent = 100;

/// Parses the cells of one row and collects their faults.
class RowReader {
public:
  RowReader(const std::string &Key, const Cells &Fields,
            std::vector<std::string> &Faults)
      : Key(Key), Fields(Fields), Faults(Faults) {}

  std::string text(const char *Field, const std::string &Fallback = "") {
    this->ReadFields.insert(Field);
    auto Found = this->Fields.find(Field);
    return Found == this->Fields.end() ? Fallback : Found->second;
  }

  double number(const char *Field, double Fallback, double Low, double High) {
    std::string Value = this->text(Field);
    if (Value.empty())
      return Fallback;
    double Read = 0;
    if (!absl::SimpleAtod(Value, &Read) || !(Read >= Low && Read <= High)) {
      this->fault(Field, absl::StrCat("'", Value, "' is not a number from ",
                                      Low, " to ", High));
      return Fallback;
    }
    return Read;
  }

  int64_t integer(const char *Field, int64_t Fallback, int64_t Low,
                  int64_t High) {
    std::string Value = this->text(Field);
    if (Value.empty())
      return Fallback;
    int64_t Read = 0;
    if (!absl::SimpleAtoi(Value, &Read) || Read < Low || Read > High) {
      this->fault(Field,
                  absl::StrCat("'", Value, "' is not a whole number from ", Low,
                               " to ", High));
      return Fallback;
    }
    return Read;
  }

  /// The index of the cell's value among \p Names.
  size_t choice(const char *Field, const std::vector<std::string> &Names) {
    std::string Value = this->text(Field, Names.front());
    for (size_t I = 0; I < Names.size(); ++I) {
      if (Names[I] == Value)
        return I;
    }
    this->fault(Field, absl::StrCat("'", Value, "' is not one of ",
                                    absl::StrJoin(Names, ", ")));
    return 0;
  }

  void fault(const char *Field, const std::string &Message) {
    this->Faults.push_back(absl::StrCat(this->Key, ".", Field, ": ", Message));
  }

  /// Reports the cells that no accessor has read.
  void rejectUnknown() {
    for (const auto &[Field, Value] : this->Fields) {
      if (this->ReadFields.count(Field) == 0)
        this->fault(Field.c_str(), "no such field; remove the cell");
    }
  }

private:
  const std::string &Key;
  const Cells &Fields;
  std::vector<std::string> &Faults;
  std::set<std::string> ReadFields;
};

using NameParts = std::vector<std::string>;

/// Compiles a row of one kind into \p Result.
using RowCompiler = void (*)(const NameParts &Name, RowReader &Reader,
                             Table &Result);

constexpr int64_t MaxCost = 1000000000000;
constexpr int64_t MaxDeadlineMillis = int64_t{24} * 3600 * 1000;
constexpr int64_t MaxAnswerTokens = 1000000;
constexpr double MaxRate = 1e9;

void compileWorkspace(const NameParts &Name, RowReader &Reader, Table &Result) {
  WorkspaceId Id(Name[0]);
  Result.Workspaces[Id] = WorkspaceRow{Id, Reader.text("title")};
}

void compileModel(const NameParts &Name, RowReader &Reader, Table &Result) {
  ModelId Id(Name[0]);
  Result.Models[Id] = ModelRow{Id, Reader.text("title")};
}

void compileVersion(const NameParts &Name, RowReader &Reader, Table &Result) {
  VersionRow Row;
  Row.Key = VersionKey{ModelId(Name[0]), VersionId(Name[1])};
  Row.CostIn = MicroCost(Reader.integer("cost_in", 0, 0, MaxCost));
  Row.CostOut = MicroCost(Reader.integer("cost_out", 0, 0, MaxCost));
  Row.State = static_cast<VersionState>(
      Reader.choice("state", {"serving", "candidate", "held", "withdrawn"}));
  Row.Weight =
      static_cast<int>(Reader.integer("weight", MaxPercent, 0, MaxPercent));
  Row.ExpectedShare = Reader.number("expected_share", Row.ExpectedShare, 0, 1);
  Row.ReplacedBy = VersionId(Reader.text("replaced_by"));
  Row.Detached = static_cast<DetachedPolicy>(
      Reader.choice("when_detached", {"serve", "refuse"}));
  Result.Versions[Row.Key] = Row;
}

void compileAllow(const NameParts &Name, RowReader &Reader, Table &Result) {
  if (Reader.choice("allowed", {"yes", "no"}) == 0)
    Result.Allowed[WorkspaceId(Name[0])].insert(ModelId(Name[1]));
}

void compileAllowService(const NameParts &Name, RowReader &Reader,
                         Table &Result) {
  if (Reader.choice("allowed", {"yes", "no"}) == 0)
    Result.AllowedServices[WorkspaceId(Name[0])].insert(ServiceId(Name[1]));
}

void compileKind(const NameParts &Name, RowReader &Reader, Table &Result) {
  RequestKindRow Row;
  Row.Id = RequestKindId(Name[0]);
  Row.MinGoodScore = Reader.number("quality", Row.MinGoodScore, 0, 1);
  Row.RequiredGoodShare = Reader.number("share", Row.RequiredGoodShare, 0, 1);
  Row.Deadline = absl::Milliseconds(
      Reader.integer("deadline_ms", absl::ToInt64Milliseconds(Row.Deadline), 1,
                     MaxDeadlineMillis));
  Row.MaxAnswer = Tokens(
      Reader.integer("max_answer", Row.MaxAnswer.count(), 1, MaxAnswerTokens));
  Row.PriorityCeiling =
      static_cast<int>(Reader.integer("priority_ceiling", 0, 0, MaxPercent));
  Row.Idempotent = Reader.choice("idempotent", {"yes", "no"}) == 0;
  Row.Service = ServiceId(Reader.text("service"));
  Row.CallCost = MicroCost(Reader.integer("call_cost", 0, 0, MaxCost));
  Result.Kinds[Row.Id] = Row;
}

void compileLimit(const NameParts &Name, RowReader &Reader, Table &Result) {
  LimitRow Row;
  Row.Workspace = WorkspaceId(Name[0]);
  Row.RequestsPerSecond =
      Reader.number("requests_per_second", MaxRate, 0, MaxRate);
  Row.TokensPerSecond = Reader.number("tokens_per_second", MaxRate, 0, MaxRate);
  Result.Limits[Row.Workspace] = Row;
}

void compileRollout(const NameParts &Name, RowReader &Reader, Table &Result) {
  RolloutRow Row;
  Row.Model = ModelId(Name[0]);
  Row.Candidate = VersionId(Reader.text("candidate"));
  Row.Percent = static_cast<int>(Reader.integer("percent", 0, 0, MaxPercent));
  Row.Run = Reader.text("run", "1");
  Row.RatingsPerStep = static_cast<int>(
      Reader.integer("evidence", Row.RatingsPerStep, 1, 100000));
  for (absl::string_view Step : absl::StrSplit(
           Reader.text("steps", "5 25 50 100"), ' ', absl::SkipEmpty())) {
    int Percent = 0;
    if (!absl::SimpleAtoi(Step, &Percent) || Percent < 0 ||
        Percent > MaxPercent)
      Reader.fault("steps", absl::StrCat("'", Step, "' is not a percentage"));
    else
      Row.Steps.push_back(Percent);
  }
  Result.Rollouts[Row.Model] = Row;
}

struct RowKind {
  const char *Name;
  size_t PartCount;
  RowCompiler Compile;
};

constexpr RowKind RowKinds[] = {
    {"workspace", 1, compileWorkspace},
    {"model", 1, compileModel},
    {"version", 2, compileVersion},
    {"allow", 2, compileAllow},
    {"allow-service", 2, compileAllowService},
    {"request-kind", 1, compileKind},
    {"limit", 1, compileLimit},
    {"rollout", 1, compileRollout},
};

const RowKind *findRowKind(const std::string &Name) {
  for (const RowKind &Kind : RowKinds) {
    if (Kind.Name == Name)
      return &Kind;
  }
  return nullptr;
}

void compileRow(const std::string &Key, const Cells &Fields, Table &Result,
                std::vector<std::string> &Faults) {
  NameParts Name = absl::StrSplit(Key, '/');
  const RowKind *Kind = findRowKind(Name.front());
  if (Kind == nullptr) {
    Faults.push_back(absl::StrCat(
        Key, ": no such kind of row; use workspace, model, version, allow, "
             "allow-service, request-kind, limit or rollout"));
    return;
  }
  Name.erase(Name.begin());
  bool HasEmptyPart = false;
  for (const std::string &Part : Name)
    HasEmptyPart |= Part.empty();
  if (Name.size() != Kind->PartCount || HasEmptyPart) {
    Faults.push_back(absl::StrCat(Key, ": a ", Kind->Name, " row has ",
                                  Kind->PartCount, " name part(s) after '",
                                  Kind->Name, "/'"));
    return;
  }
  RowReader Reader(Key, Fields, Faults);
  Kind->Compile(Name, Reader, Result);
  Reader.rejectUnknown();
}

void checkVersionReferences(const Table &All,
                            std::vector<std::string> &Faults) {
  for (const auto &[Key, Row] : All.Versions) {
    if (All.Models.count(Key.Model) == 0)
      Faults.push_back(absl::StrCat("version/", Key.text(), ": add model/",
                                    Key.Model.text()));
    if (Row.ReplacedBy.empty())
      continue;
    VersionKey Next{Key.Model, Row.ReplacedBy};
    if (All.Versions.count(Next) == 0 || Next == Key)
      Faults.push_back(absl::StrCat("version/", Key.text(),
                                    ".replaced_by: name another version of ",
                                    Key.Model.text()));
  }
}

void checkReferences(const Table &All, std::vector<std::string> &Faults) {
  checkVersionReferences(All, Faults);
  for (const auto &[Workspace, Models] : All.Allowed) {
    if (All.Workspaces.count(Workspace) == 0)
      Faults.push_back(absl::StrCat("allow/", Workspace.text(),
                                    ": add workspace/", Workspace.text()));
    for (const ModelId &Model : Models) {
      if (All.Models.count(Model) == 0)
        Faults.push_back(absl::StrCat("allow/", Workspace.text(), "/",
                                      Model.text(), ": add model/",
                                      Model.text()));
    }
  }
  for (const auto &[Workspace, Services] : All.AllowedServices) {
    if (All.Workspaces.count(Workspace) == 0)
      Faults.push_back(absl::StrCat("allow-service/", Workspace.text(),
                                    ": add workspace/", Workspace.text()));
  }
  for (const auto &[Workspace, Row] : All.Limits) {
    if (All.Workspaces.count(Workspace) == 0)
      Faults.push_back(absl::StrCat("limit/", Workspace.text(),
                                    ": add workspace/", Workspace.text()));
  }
  for (const auto &[Model, Row] : All.Rollouts) {
    if (All.Versions.count(VersionKey{Model, Row.Candidate}) == 0)
      Faults.push_back(absl::StrCat("rollout/", Model.text(),
                                    ".candidate: name a version of ",
                                    Model.text()));
  }
}

} // namespace

const char *versionStateName(VersionState State) {
  switch (State) {
  case VersionState::Serving:
    return "serving";
  case VersionState::Candidate:
    return "candidate";
  case VersionState::Held:
    return "held";
  case VersionState::Withdrawn:
    return "withdrawn";
  }
  return "unknown";
}

absl::StatusOr<Table> compileTable(const Rows &AllRows) {
  Table Result;
  std::vector<std::string> Faults;
  for (const auto &[Key, Entry] : AllRows)
    compileRow(Key, Entry.Fields, Result, Faults);
  checkReferences(Result, Faults);
  if (Faults.empty())
    return Result;
  if (Faults.size() > MaxFaultsShown)
    Faults.resize(MaxFaultsShown);
  return absl::InvalidArgumentError(absl::StrJoin(Faults, "; "));
}

} // namespace berylramp
