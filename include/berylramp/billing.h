//===- billing.h - Bill records, fold and buffer ----------------*- C++ -*-===//
//
// Each complete answer has one bill, keyed by workspace and request. The first
// record of a key in the log stream "bills" counts; later records of the same
// key are duplicates.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_BILLING_H
#define BERYLRAMP_BILLING_H

#include "absl/time/time.h"
#include "berylramp/units.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylramp {

inline const StreamName BillStream("bills");

/// The charge for one complete answer.
struct Bill {
  WorkspaceId Workspace;
  RequestId Request;
  RequestKindId Kind;
  VersionKey Version;
  Tokens InputTokens;
  Tokens OutputTokens;
  MicroCost Cost;
  HostId Origin;
  /// When the answer was complete, in Unix milliseconds.
  int64_t CompletedAtMillis = 0;

  /// The identity of the bill: "workspace/request".
  std::string key() const;
};

std::string encodeBills(const std::vector<Bill> &Bills);
/// Decodes the output of encodeBills(); malformed entries are skipped.
std::vector<Bill> decodeBills(const std::string &Data);

/// The state folded from the bill stream.
struct BillState {
  Offset Applied = NoOffset;
  /// The first bill of each key.
  std::map<std::string, Bill> Counted;
  /// Records of a key that was already counted.
  int64_t Repeats = 0;
};

/// Folds one record of the bill stream. Records at or below State.Applied are
/// ignored.
void foldBills(BillState &State, Offset RecordOffset, const std::string &Data);

/// Where a bill is stored. The end marker of an answer may be sent to the
/// caller only once its bill is held by other hosts or is in the log.
enum class BillDurability { NotDurable, WithHolders, InLog };

/// A buffered bill at its origin host.
struct PendingBill {
  Bill Content;
  /// Other hosts that confirmed that they hold a copy.
  int HolderCount = 0;
  bool InLog = false;
};

/// The bills of this host that are not in the log yet. Not thread-safe; the
/// owner synchronizes access.
struct BillBuffer {
  std::map<std::string, PendingBill> Pending;
  size_t Capacity = 10000;
};

/// Copies in the memory of other hosts that make a bill durable while the log
/// is unavailable.
inline constexpr int RequiredHolders = 2;

/// Returns false when the buffer cannot take a bill beyond the \p Reserved
/// ones. New requests must then be refused, since their bills could be lost.
bool hasCapacity(const BillBuffer &Buffer, size_t Reserved);
void addBill(BillBuffer &Buffer, const Bill &NewBill);
/// Records that one more host holds a copy of the bill.
void recordHolder(BillBuffer &Buffer, const std::string &Key);
/// Removes a bill that is in the log from the buffer.
void removeLogged(BillBuffer &Buffer, const std::string &Key);
/// A bill that is not in the buffer counts as logged.
BillDurability durabilityOf(const BillBuffer &Buffer, const std::string &Key);

/// The result of comparing complete answers with counted bills.
struct BillAudit {
  /// Keys of answers without a bill.
  std::vector<std::string> Missing;
  /// Keys of bills without an answer.
  std::vector<std::string> Orphans;
  int64_t Repeats = 0;
  MicroCost Total;
};

/// Compares the counted bills with the keys of complete answers.
BillAudit auditBills(const BillState &State,
                     const std::vector<std::string> &CompleteAnswers);

} // namespace berylramp

#endif // BERYLRAMP_BILLING_H
