//===- quarantine_controller.cpp - Quarantine shared by hosts -------------===//

#include "quarantine_controller.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Delay of a write for each live host that writes before this one.
constexpr absl::Duration WriteDelayPerRank = absl::Milliseconds(400);
/// Crashes that a host reports per second, and at once. Many connections break
/// when many replicas are stopped together.
constexpr double ReportsPerSecond = 10;
constexpr double MaxReportsAtOnce = 20;

Json::Value logFieldsOf(uint64_t Input) {
  Json::Value Line(Json::objectValue);
  Line["input"] = toHex(Input);
  return Line;
}

} // namespace

void QuarantineController::onOwnCrash(const InputCrash &Crash) {
  Instant Now = this->Callbacks.Now();
  double Seconds = absl::ToDoubleSeconds(Now - this->AllowanceAt);
  this->ReportAllowance = std::min(
      MaxReportsAtOnce, this->ReportAllowance + Seconds * ReportsPerSecond);
  this->AllowanceAt = Now;
  if (this->ReportAllowance >= 1) {
    this->ReportAllowance -= 1;
    this->Callbacks.SendCrash(Crash);
  }
  std::optional<uint64_t> Input = this->Quarantine.onCrash(Crash, Now);
  if (Input)
    this->onQuarantined(*Input, "own");
}

void QuarantineController::onPeerCrash(const InputCrash &Crash) {
  std::optional<uint64_t> Input =
      this->Quarantine.onCrash(Crash, this->Callbacks.Now());
  if (Input)
    this->onQuarantined(*Input, "crashes of peers");
}

void QuarantineController::onQuarantined(uint64_t Input, const char *Source) {
  Json::Value Line = logFieldsOf(Input);
  Line["source"] = Source;
  logEvent(LogLevel::Warn, "input_quarantined", Line);
  this->Callbacks.SendQuarantine(Input);
  this->PendingWrites[Input].Since = this->Callbacks.Now();
}

void QuarantineController::onPeerQuarantine(uint64_t Input) {
  if (!this->Quarantine.add(Input, this->Callbacks.Now()))
    return;
  Json::Value Line = logFieldsOf(Input);
  Line["source"] = "peer";
  logEvent(LogLevel::Warn, "input_quarantined", Line);
  this->PendingWrites[Input].Since = this->Callbacks.Now();
}

void QuarantineController::onRecord(uint64_t Input, bool Exists) {
  this->PendingWrites.erase(Input);
  Json::Value Line = logFieldsOf(Input);
  if (!Exists) {
    this->Quarantine.release(Input);
    logEvent(LogLevel::Info, "input_released", Line);
    return;
  }
  if (!this->Quarantine.add(Input, this->Callbacks.Now()))
    return;
  Line["source"] = "store";
  logEvent(LogLevel::Warn, "input_quarantined", Line);
}

void QuarantineController::rewriteRecords() {
  for (uint64_t Input : this->Quarantine.inputs())
    this->PendingWrites[Input].Since = this->Callbacks.Now();
}

void QuarantineController::tick() {
  absl::Duration Delay = WriteDelayPerRank * this->Callbacks.WriterRank();
  for (auto &[Input, Pending] : this->PendingWrites) {
    if (Pending.InFlight || this->Callbacks.Now() - Pending.Since < Delay)
      continue;
    Pending.InFlight = true;
    uint64_t Written = Input;
    this->Callbacks.Write(Input, [this, Written](const absl::Status &Status) {
      Json::Value Line = logFieldsOf(Written);
      Line["result"] = Status.ok() ? "ok" : std::string(Status.message());
      logEvent(LogLevel::Info, "quarantine_write", Line);
      auto Found = this->PendingWrites.find(Written);
      if (Found == this->PendingWrites.end())
        return;
      // A failed write is repeated after the delay.
      Found->second = {this->Callbacks.Now(), false};
      if (Status.ok())
        this->PendingWrites.erase(Found);
    });
    // The callback may have changed the map; the rest is written at later
    // ticks.
    return;
  }
}

} // namespace berylramp
