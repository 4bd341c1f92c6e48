//===- quarantine_controller.h - Quarantine shared by hosts -----*- C++ -*-===//
//
// Spreads crashes of replicas and inputs in quarantine by datagrams, and
// keeps the inputs in the store for hosts that are cut off or start later.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EDGE_QUARANTINE_CONTROLLER_H
#define BERYLRAMP_EDGE_QUARANTINE_CONTROLLER_H

#include "berylramp/edge.h"
#include "berylramp/quarantine.h"
#include <map>

namespace berylramp {

class QuarantineController {
public:
  struct Ports {
    std::function<void(const InputCrash &)> SendCrash;
    std::function<void(uint64_t Input)> SendQuarantine;
    std::function<void(uint64_t Input, AppendCallback)> Write;
    /// The number of live hosts that write before this one.
    std::function<int()> WriterRank;
    std::function<Instant()> Now;
  };

  explicit QuarantineController(Ports Callbacks)
      : Callbacks(std::move(Callbacks)) {}

  /// A replica ended under a request of this host.
  void onOwnCrash(const InputCrash &Crash);
  void onPeerCrash(const InputCrash &Crash);
  void onPeerQuarantine(uint64_t Input);
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
  };
  void onQuarantined(uint64_t Input, const char *Source);

  Ports Callbacks;
  InputQuarantine Quarantine;
  std::map<uint64_t, PendingWrite> PendingWrites;
  /// Crashes that this host may report at once.
  double ReportAllowance = 0;
  Instant AllowanceAt;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_QUARANTINE_CONTROLLER_H
