//===- quarantine_controller.h - Quarantine shared by hosts -----*- C++ -*-===//
//
// Spreads crashes of replicas and inputs in quarantine by datagrams, and
// keeps the inputs in the store for hosts that are cut off or start later.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EDGE_QUARANTINE_CONTROLLER_H
#define BERYLRAMP_EDGE_QUARANTINE_CONTROLLER_H

#include "berylramp/edge.h"
#include "berylramp/gossip.h"
#include <map>
#include <set>

namespace berylramp {

/// Hash of a replica's id and the start of its process.
uint64_t processHash(const ReplicaEntry &Entry);

class QuarantineController {
public:
  struct Ports {
    /// Sends a report to all hosts.
    std::function<void(const GossipReport &)> SendReport;
    /// Writes the record of an input in quarantine, or deletes it.
    std::function<void(uint64_t Input, bool Exists, AppendCallback)> Write;
    /// The number of live hosts that write before this one.
    std::function<int()> WriterRank;
    std::function<Instant()> Now;
  };

  explicit QuarantineController(Ports Callbacks)
      : Callbacks(std::move(Callbacks)) {}

  /// A replica ended under a request of this host.
  void onOwnCrash(const InputCrash &Crash);
  void onPeerCrash(const InputCrash &Crash);
  void onPeerReport(const InputReport &Report);
  /// A request of this host that was sent at \p SentAt was answered.
  void onAnswered(const RequestInput &Input, Instant SentAt);
  /// The process with the hash \p Replica wrote a heartbeat.
  void onAlive(uint64_t Replica);
  /// The store has a record of the input, or no longer has it.
  void onRecord(uint64_t Input, bool Exists);
  /// Writes the records again after the store lost them.
  void rewriteRecords();
  void tick();

  InputQuarantine &inputs() { return this->Quarantine; }

private:
  struct PendingWrite {
    Instant Since;
    bool InFlight = false;
    /// False to delete the record.
    bool Exists = true;
  };
  void onQuarantined(uint64_t Input, const char *Source);
  void onPeerQuarantine(uint64_t Input);
  void onReleased(uint64_t Input, const char *Source);
  bool wasReleasedRecently(uint64_t Input) const;
  /// Takes one datagram to all hosts from this host's allowance.
  bool mayReport();

  Ports Callbacks;
  InputQuarantine Quarantine;
  std::map<uint64_t, PendingWrite> PendingWrites;
  std::map<uint64_t, Instant> ReleasedAt;
  /// Inputs that have a record in the store.
  std::set<uint64_t> Recorded;
  /// Crashes that this host may report at once.
  double ReportAllowance = 0;
  Instant AllowanceAt;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_QUARANTINE_CONTROLLER_H
