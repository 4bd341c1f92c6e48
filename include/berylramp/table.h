//===- table.h - The operators' table and its fold --------------*- C++ -*-===//
//
// The table is a deterministic fold over the records of the log stream
// "config". Each host that has read the same records has the same table,
// whoever wrote them, however often, and however late.
//
// Operators see rows of text cells, as in a spreadsheet. The router works on
// the typed Table that is compiled from the cells.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_TABLE_H
#define BERYLRAMP_TABLE_H

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "berylramp/units.h"
#include <cstdint>
#include <deque>
#include <json/value.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace berylramp {

/// The log stream that holds edits and snapshots.
inline const StreamName ConfigStream("config");

enum class VersionState { Serving, Candidate, Held, Withdrawn };
const char *versionStateName(VersionState State);

/// What a host that has lost the log may do with a version.
enum class WhenDetached { Serve, Refuse };

struct WorkspaceRow {
  WorkspaceId Id;
  std::string Title;
};

struct ModelRow {
  ModelId Id;
  std::string Title;
};

struct VersionRow {
  VersionKey Key;
  /// Cost of a thousand tokens.
  MicroCost CostIn;
  MicroCost CostOut;
  VersionState State = VersionState::Serving;
  /// Share of the model's traffic among versions of equal merit, 0 to 100.
  int Weight = 100;
  /// The share of good answers that the operator expects, 0 to 1.
  double ExpectedShare = 0.9;
  VersionId ReplacedBy;
  WhenDetached Detached = WhenDetached::Serve;
};

struct RequestKindRow {
  RequestKindId Id;
  /// The score from which an answer counts as good, 0 to 1.
  double Quality = 0.5;
  /// The share of answers that must be good, 0 to 1.
  double Share = 0.9;
  absl::Duration Deadline = absl::Seconds(60);
  Tokens MaxAnswer{512};
  int PriorityCeiling = 0;
  bool Idempotent = true;
  /// Set for a kind that a plain service answers.
  ServiceId Service;
  /// What one call of the service costs.
  MicroCost CallCost;
};

struct LimitRow {
  WorkspaceId Workspace;
  double RequestsPerSecond = 0;
  double TokensPerSecond = 0;
};

struct RolloutRow {
  ModelId Model;
  VersionId Candidate;
  /// The share of the model's traffic that the candidate gets, 0 to 100.
  int Percent = 0;
  /// Distinguishes this roll-out from an earlier one of the same version.
  std::string Run;
  /// Rated answers that each step needs before the next one.
  int EvidencePerStep = 100;
  /// The shares to go through, in order.
  std::vector<int> Steps;
};

/// The typed table. It never changes once compiled.
struct Table {
  std::map<WorkspaceId, WorkspaceRow> Workspaces;
  std::map<ModelId, ModelRow> Models;
  std::map<VersionKey, VersionRow> Versions;
  std::map<WorkspaceId, std::set<ModelId>> Allowed;
  std::map<WorkspaceId, std::set<ServiceId>> AllowedServices;
  std::map<RequestKindId, RequestKindRow> Kinds;
  std::map<WorkspaceId, LimitRow> Limits;
  std::map<ModelId, RolloutRow> Rollouts;
};

/// The text cells of one row, by field name.
using Cells = std::map<std::string, std::string>;

/// A row as operators see it, with the edit that touched it last.
struct Row {
  Cells Fields;
  Offset ChangedAt = NoOffset;
  std::string ChangedBy;
};

/// Rows by key, "kind/name".
using Rows = std::map<std::string, Row>;

/// Sets one cell, or removes a whole row.
struct CellChange {
  std::string RowKey;
  std::string Field;
  std::string Value;
  bool RemoveRow = false;
};

/// An operator's edit. It is accepted only when no row that it touches has
/// changed after Base, and when the whole table stays valid.
struct Edit {
  EditId Id;
  std::string Author;
  Offset Base = NoOffset;
  std::vector<CellChange> Changes;
  std::string Note;
};

enum class EditVerdict { Accepted, Conflict, Invalid, Unauthorized };

/// What became of an edit, and why.
struct EditOutcome {
  EditId Id;
  Offset At = NoOffset;
  EditVerdict Verdict = EditVerdict::Accepted;
  /// For a rejected edit: the row, the author and offset that won, the remedy.
  std::string Reason;
};

/// The whole state of the fold; equal prefixes give equal states.
struct ConfigState {
  /// The last record folded.
  Offset Applied = NoOffset;
  absl::Time AppliedAt = absl::UnixEpoch();
  Rows Cells;
  std::deque<EditOutcome> Outcomes;
  std::shared_ptr<const Table> Compiled;
  /// Set by a record of a fold version that this program does not know.
  bool FromNewerFold = false;
};

/// The version of the rules below; records carry it.
inline constexpr int FoldVersion = 1;
/// Edit ids that the fold remembers, to ignore repeats.
inline constexpr size_t RememberedEdits = 4096;
/// The largest record that the fold accepts.
inline constexpr size_t MaxConfigRecordBytes = 4 << 20;

/// Keys with which operators sign edits.
struct OperatorKeys {
  std::vector<std::string> Secrets;
};

/// A state in which nothing has been folded.
ConfigState emptyConfig();

/// Folds one record. Records at or below State.Applied are ignored, and a
/// record that cannot be read only moves the offset. A snapshot record is
/// checked by its digest and changes nothing in a state that has the rows.
void foldConfig(ConfigState &State, Offset At, absl::Time AppendedAt,
                const std::string &Data, const OperatorKeys &Keys);

/// The record that publishes \p Which, signed with the first of \p Keys.
std::string encodeEdit(const Edit &Which, const OperatorKeys &Keys);
/// The record that publishes the state itself.
std::string encodeSnapshot(const ConfigState &State, const OperatorKeys &Keys);
/// Reads a snapshot record; an error when it is none or its digest is wrong.
absl::StatusOr<ConfigState> decodeSnapshot(const std::string &Data,
                                           const OperatorKeys &Keys);

/// A digest that is equal exactly when rows and offset are equal.
uint64_t configDigest(const ConfigState &State);

/// The outcome of an edit, or null when the fold does not know the id.
const EditOutcome *findOutcome(const ConfigState &State, const EditId &Id);

/// Compiles cells; the error lists every fault with its row and remedy.
absl::StatusOr<Table> compileTable(const Rows &Cells);

/// Reads rows from CSV with the columns row, field, value.
absl::StatusOr<std::vector<CellChange>> changesFromCsv(const std::string &Csv);
/// The table as CSV with the columns row, field, value.
std::string rowsToCsv(const Rows &Cells);
/// The table in aligned columns, a block for each kind of row.
std::string rowsToColumns(const Rows &Cells);
Json::Value rowsToJson(const Rows &Cells);

/// HMAC-SHA256 of \p Text under \p Secret, as hexadecimal digits.
std::string keyedDigest(const std::string &Secret, const std::string &Text);
/// True when \p Mac is the keyed digest of \p Text under one of \p Secrets.
bool checkKeyedDigest(const std::vector<std::string> &Secrets,
                      const std::string &Text, const std::string &Mac);

} // namespace berylramp

#endif // BERYLRAMP_TABLE_H
