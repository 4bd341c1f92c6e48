//===- billing.h - The fold and the buffer of bills -------------*- C++ -*-===//
//
// Each whole answer has one bill, keyed by workspace and request. On the log
// stream "bills" the first record of a key counts; later ones are repeats.
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

/// What one answer cost its workspace.
struct Bill {
  WorkspaceId Workspace;
  RequestId Request;
  RequestKindId Kind;
  VersionKey Version;
  Tokens In;
  Tokens Out;
  MicroCost Cost;
  HostId Origin;
  /// When the answer became whole, in Unix milliseconds.
  int64_t AtMillis = 0;

  std::string key() const;
};

std::string encodeBills(const std::vector<Bill> &Which);
/// Reads what encodeBills wrote; malformed entries are left out.
std::vector<Bill> decodeBills(const std::string &Data);

/// The counted bills.
struct BillState {
  Offset Applied = NoOffset;
  std::map<std::string, Bill> Counted;
  int64_t Repeats = 0;
};

/// Folds one record of the bill stream; ignores records already folded.
void foldBills(BillState &State, Offset At, const std::string &Data);

/// Where a bill is safe enough to let the end marker go to the caller.
enum class BillSafety { Nowhere, WithHolders, InLog };

/// A bill in the buffer of its origin.
struct PendingBill {
  Bill Which;
  int Holders = 0;
  bool InLog = false;
};

/// The bills of this host that the log does not have yet. Plain state: the
/// owner locks it.
struct BillBuffer {
  std::map<std::string, PendingBill> Pending;
  size_t Capacity = 10000;
};

/// Other hosts' memories that make a bill safe while the log is away.
inline constexpr int WantedHolders = 2;

/// False when the buffer is full: new work must be refused.
bool hasRoom(const BillBuffer &Buffer, size_t Reserved);
void addBill(BillBuffer &Buffer, const Bill &Which);
void markHeld(BillBuffer &Buffer, const std::string &Key);
/// Takes a bill that the log has out of the buffer.
void markLogged(BillBuffer &Buffer, const std::string &Key);
BillSafety safetyOf(const BillBuffer &Buffer, const std::string &Key);

/// The audit of answers against bills.
struct BillAudit {
  std::vector<std::string> Missing;
  std::vector<std::string> Orphans;
  int64_t Repeats = 0;
  MicroCost Total;
};

/// Compares the counted bills with the keys of answers that were whole.
BillAudit auditBills(const BillState &State,
                     const std::vector<std::string> &WholeAnswers);

} // namespace berylramp

#endif // BERYLRAMP_BILLING_H
