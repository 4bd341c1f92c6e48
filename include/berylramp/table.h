//===- table.h - The configuration table and its fold -----------*- C++ -*-===//
//
// The table is a deterministic fold over the records of the log stream
// "config". Hosts that have read the same records have the same table,
// regardless of the writers of the records, of repeats and of delays.
//
// Operators edit rows of text cells, as in a spreadsheet. The router uses the
// typed Table that is compiled from the cells.
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

/// Whether a detached host, which cannot reach the log, may use a version.
enum class DetachedPolicy { Serve, Refuse };

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
  /// Cost per thousand tokens.
  MicroCost CostIn;
  MicroCost CostOut;
  VersionState State = VersionState::Serving;
  /// Share of the model's traffic among equally ranked versions, 0 to 100.
  int Weight = 100;
  /// The expected share of good answers, 0 to 1.
  double ExpectedShare = 0.9;
  /// The version that replaces this one; empty for none.
  VersionId ReplacedBy;
  DetachedPolicy Detached = DetachedPolicy::Serve;
};

struct RequestKindRow {
  RequestKindId Id;
  /// The minimum score at which an answer counts as good, 0 to 1.
  double MinGoodScore = 0.5;
  /// The share of answers that must be good, 0 to 1.
  double RequiredGoodShare = 0.9;
  absl::Duration Deadline = absl::Seconds(60);
  Tokens MaxAnswer{512};
  int PriorityCeiling = 0;
  bool Idempotent = true;
  /// Set for a kind that is served by a plain service; empty for models.
  ServiceId Service;
  /// Cost of one call of the service.
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
  /// The share of the model's traffic that goes to the candidate, 0 to 100.
  int Percent = 0;
  /// Distinguishes this roll-out from an earlier one of the same version.
  std::string Run;
  /// Rated answers required at each step before the next step.
  int RatingsPerStep = 100;
  /// Traffic shares of the steps, in order, in percent.
  std::vector<int> Steps;
};

/// The typed table. Immutable after compilation.
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

/// A row of text cells, with the offset and author of its last change.
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

/// An operator's edit. It is accepted only if none of its rows has changed
/// after BaseOffset and the resulting table is valid.
struct Edit {
  EditId Id;
  std::string Author;
  Offset BaseOffset = NoOffset;
  std::vector<CellChange> Changes;
  std::string Note;
};

enum class EditVerdict { Accepted, Conflict, Invalid, Unauthorized };

/// The verdict on an edit and its reason.
struct EditOutcome {
  EditId Id;
  /// The offset of the edit's record.
  Offset RecordOffset = NoOffset;
  EditVerdict Verdict = EditVerdict::Accepted;
  /// For a rejected edit: the affected row, the author and offset of the
  /// conflicting change, and the remedy.
  std::string Reason;
};

/// The complete state of the fold. Equal log prefixes give equal states.
struct ConfigState {
  /// The offset of the last folded record.
  Offset Applied = NoOffset;
  absl::Time AppliedAt = absl::UnixEpoch();
  /// All rows by key. A removed row stays as a row without cells.
  Rows TableRows;
  /// Outcomes of the last MaxRememberedEdits edits, oldest first.
  std::deque<EditOutcome> Outcomes;
  std::shared_ptr<const Table> Compiled;
  /// Set by an authentic record with a fold version above FoldVersion.
  bool HasNewerFoldVersion = false;
};

/// The version of the fold rules; each record carries it.
inline constexpr int FoldVersion = 1;
/// Edit ids that the fold retains to ignore repeats.
inline constexpr size_t MaxRememberedEdits = 4096;
/// The largest record that the fold accepts.
inline constexpr size_t MaxConfigRecordBytes = 4 << 20;

/// Keys that sign edits and snapshots.
struct OperatorKeys {
  std::vector<std::string> Secrets;
};

/// The initial state of the fold, with an empty table.
ConfigState emptyConfig();

/// Folds one record. Records at or below State.Applied are ignored. A record
/// that is malformed, too large, not authentic or not an edit only advances the
/// offset; snapshot records are read by decodeSnapshot().
void foldConfig(ConfigState &State, Offset RecordOffset, absl::Time AppendedAt,
                const std::string &Data, const OperatorKeys &Keys);

/// Encodes \p Source as a record signed with the first of \p Keys.
std::string encodeEdit(const Edit &Source, const OperatorKeys &Keys);
/// Encodes \p State as a snapshot record signed with the first of \p Keys.
std::string encodeSnapshot(const ConfigState &State, const OperatorKeys &Keys);
/// Decodes a snapshot record. Fails when the record is not a snapshot, its
/// signature, fold version or digest is wrong, or its rows do not compile.
absl::StatusOr<ConfigState> decodeSnapshot(const std::string &Data,
                                           const OperatorKeys &Keys);

/// A digest of the offset, rows and edit outcomes. Hosts compare it to detect
/// diverged states.
uint64_t configDigest(const ConfigState &State);

/// The outcome of an edit, or null when the fold has no record of the id.
const EditOutcome *findOutcome(const ConfigState &State, const EditId &Id);

/// Compiles rows. The error lists the faults, each with its row and remedy.
absl::StatusOr<Table> compileTable(const Rows &AllRows);

/// Parses changes from CSV with the columns row, field, value.
absl::StatusOr<std::vector<CellChange>> changesFromCsv(const std::string &Csv);
/// The table as CSV with the columns row, field, value.
std::string rowsToCsv(const Rows &AllRows);
/// The table in aligned columns, one block per kind of row.
std::string rowsToColumns(const Rows &AllRows);
Json::Value rowsToJson(const Rows &AllRows);

/// HMAC-SHA256 of \p Text with key \p Secret, as hexadecimal digits.
std::string keyedDigest(const std::string &Secret, const std::string &Text);
/// Returns true when \p Mac is the keyed digest of \p Text for one of
/// \p Secrets.
bool verifyKeyedDigest(const std::vector<std::string> &Secrets,
                       const std::string &Text, const std::string &Mac);

} // namespace berylramp

#endif // BERYLRAMP_TABLE_H
