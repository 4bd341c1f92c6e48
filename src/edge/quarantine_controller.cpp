//===- quarantine_controller.cpp - Quarantine shared by hosts -------------===//

#include "quarantine_controller.h"

#include "absl/strings/str_cat.h"
#include <algorithm>

namespace berylramp {

namespace {

/// Delay of a write for each live host that writes before this one.
constexpr absl::Duration WriteDelayPerRank = absl::Milliseconds(400);
/// Crashes that a host reports per second, and at once. Many connections break
/// when many replicas are stopped together.
constexpr double ReportsPerSecond = 10;
constexpr double MaxReportsAtOnce = 20;
/// Time after a release in which reports and records of the quarantine are out
/// of date.
constexpr absl::Duration ReleaseTime = absl::Seconds(5);

Json::Value logFieldsOf(uint64_t Input) {
  Json::Value Line(Json::objectValue);
  Line["input"] = toHex(Input);
  return Line;
}

} // namespace

uint64_t processHash(const ReplicaEntry &Entry) {
  return stableHash(absl::StrCat(Entry.Id.text(), "/", Entry.StartedAtMs));
}

bool QuarantineController::mayReport() {
  Instant Now = this->Callbacks.Now();
  double Seconds = absl::ToDoubleSeconds(Now - this->AllowanceAt);
  this->ReportAllowance = std::min(
      MaxReportsAtOnce, this->ReportAllowance + Seconds * ReportsPerSecond);
  this->AllowanceAt = Now;
  if (this->ReportAllowance < 1)
    return false;
  this->ReportAllowance -= 1;
  return true;
}

void QuarantineController::onOwnCrash(const InputCrash &Crash) {
  if (this->mayReport())
    this->Callbacks.SendReport(Crash);
  std::optional<uint64_t> Input =
      this->Quarantine.onCrash(Crash, this->Callbacks.Now());
  if (Input)
    this->onQuarantined(*Input, "own");
}

void QuarantineController::onAnswered(const RequestInput &Input,
                                      Instant SentAt) {
  for (uint64_t Id :
       this->Quarantine.onAnswered(Input, SentAt, this->Callbacks.Now())) {
    if (this->mayReport())
      this->Callbacks.SendReport(InputReport{Id, /*EndsReplicas=*/false});
    this->onReleased(Id, "answer");
  }
}

void QuarantineController::onAlive(uint64_t Replica) {
  for (uint64_t Id : this->Quarantine.onAlive(Replica, this->Callbacks.Now())) {
    this->Callbacks.SendReport(InputReport{Id, /*EndsReplicas=*/false});
    this->onReleased(Id, "the replica lives");
  }
}

void QuarantineController::onPeerReport(const InputReport &Report) {
  if (Report.EndsReplicas)
    this->onPeerQuarantine(Report.Input);
  else if (this->Quarantine.release(Report.Input))
    this->onReleased(Report.Input, "peer");
}

// The record may not have been written, or another host may write it later; it
// is deleted in any case.
void QuarantineController::onReleased(uint64_t Input, const char *Source) {
  Json::Value Line = logFieldsOf(Input);
  Line["source"] = Source;
  logEvent(LogLevel::Info, "input_released", Line);
  Instant Now = this->Callbacks.Now();
  this->ReleasedAt[Input] = Now;
  auto Pending = this->PendingWrites.find(Input);
  bool WasRecorded = this->Recorded.count(Input) != 0;
  if (Pending != this->PendingWrites.end() || WasRecorded)
    this->PendingWrites[Input] = {Now, false, /*Exists=*/false};
}

bool QuarantineController::wasReleasedRecently(uint64_t Input) const {
  auto Found = this->ReleasedAt.find(Input);
  return Found != this->ReleasedAt.end() &&
         this->Callbacks.Now() - Found->second < ReleaseTime;
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
  this->Callbacks.SendReport(InputReport{Input, /*EndsReplicas=*/true});
  this->ReleasedAt.erase(Input);
  this->PendingWrites[Input] = {this->Callbacks.Now()};
}

void QuarantineController::onPeerQuarantine(uint64_t Input) {
  if (this->wasReleasedRecently(Input) ||
      !this->Quarantine.add(Input, this->Callbacks.Now()))
    return;
  Json::Value Line = logFieldsOf(Input);
  Line["source"] = "peer";
  logEvent(LogLevel::Warn, "input_quarantined", Line);
  this->PendingWrites[Input] = {this->Callbacks.Now()};
}

void QuarantineController::onRecord(uint64_t Input, bool Exists) {
  this->PendingWrites.erase(Input);
  Json::Value Line = logFieldsOf(Input);
  if (!Exists) {
    this->Recorded.erase(Input);
    if (this->Quarantine.release(Input)) {
      Line["source"] = "store";
      logEvent(LogLevel::Info, "input_released", Line);
    }
    return;
  }
  this->Recorded.insert(Input);
  if (this->wasReleasedRecently(Input)) {
    this->PendingWrites[Input] = {this->Callbacks.Now(), false,
                                  /*Exists=*/false};
    return;
  }
  if (!this->Quarantine.add(Input, this->Callbacks.Now()))
    return;
  Line["source"] = "store";
  logEvent(LogLevel::Warn, "input_quarantined", Line);
}

void QuarantineController::rewriteRecords() {
  for (uint64_t Input : this->Quarantine.inputs())
    this->PendingWrites[Input] = {this->Callbacks.Now()};
}

void QuarantineController::tick() {
  for (auto Released = this->ReleasedAt.begin();
       Released != this->ReleasedAt.end();)
    Released = this->wasReleasedRecently(Released->first)
                   ? std::next(Released)
                   : this->ReleasedAt.erase(Released);
  absl::Duration Delay = WriteDelayPerRank * this->Callbacks.WriterRank();
  for (auto &[Input, Pending] : this->PendingWrites) {
    if (Pending.InFlight || this->Callbacks.Now() - Pending.Since < Delay)
      continue;
    Pending.InFlight = true;
    uint64_t Written = Input;
    bool Exists = Pending.Exists;
    this->Callbacks.Write(
        Input, Exists, [this, Written, Exists](const absl::Status &Status) {
          Json::Value Line = logFieldsOf(Written);
          Line["result"] = Status.ok() ? "ok" : std::string(Status.message());
          logEvent(LogLevel::Info, "quarantine_write", Line);
          auto Found = this->PendingWrites.find(Written);
          if (Found == this->PendingWrites.end() ||
              Found->second.Exists != Exists)
            return;
          // A failed write is repeated after the delay.
          Found->second = {this->Callbacks.Now(), false, Exists};
          if (Status.ok())
            this->PendingWrites.erase(Found);
        });
    // The callback may have changed the map; the rest is written at later
    // ticks.
    return;
  }
}

} // namespace berylramp
