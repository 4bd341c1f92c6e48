//===- metrics.cpp - Counters and histograms ------------------------------===//
//
// Latencies span from microseconds to minutes, so the axis is logarithmic.
//
//===----------------------------------------------------------------------===//

#include "berylramp/observe.h"

#include "absl/strings/str_cat.h"
#include <boost/histogram.hpp>

namespace berylramp {

namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(LogAxis()));

constexpr int BinCount = 120;
constexpr double SmallestSeconds = 1e-6;
constexpr double LargestSeconds = 120;

constexpr std::array<const char *, CounterCount> CounterNames = {
    "requests_received",
    "answers_whole",
    "answers_streamed",
    "tokens_in",
    "tokens_out",
    "bills_recorded",
    "bills_appended",
    "bills_adopted",
    "edits_accepted",
    "edits_rejected",
    "snapshots_published",
    "digest_mismatches",
    "claims_appended",
    "claims_voided",
    "log_reads",
    "log_read_failures",
    "log_append_failures",
    "peer_exchanges",
    "peer_exchange_failures",
    "peer_bytes_sent",
    "peer_bytes_received",
    "clamped_model",
    "clamped_length",
    "clamped_priority",
    "escalations",
    "ratings_received",
    "holds_tripped",
    "replica_ejections",
    "bytes_across"};

constexpr std::array<const char *, LatencyCount> LatencyNames = {
    "first_token", "between_tokens", "whole_request", "decision",
    "log_append",  "bill_safe",      "config_lag"};

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};

double quantileOf(const LatencyHistogram &Which, double Q) {
  double Total = 0;
  for (double Cell : Which)
    Total += Cell;
  if (Total == 0)
    return 0;
  double Seen = 0;
  const auto &Axis = Which.axis(0);
  for (int Bin = 0; Bin < Axis.size(); ++Bin) {
    Seen += Which.at(Bin);
    if (Seen >= Q * Total)
      return Axis.bin(Bin).upper();
  }
  return LargestSeconds;
}

} // namespace

struct Metrics::Histograms {
  struct Slot {
    mutable Mutex Lock;
    LatencyHistogram Values = bh::make_histogram(
        LogAxis(BinCount, SmallestSeconds, LargestSeconds, "seconds"));
    double Sum = 0;
    int64_t Count = 0;
  };
  std::array<Slot, LatencyCount> Slots;
};

Metrics::Metrics() : Latencies(std::make_unique<Histograms>()) {}
Metrics::~Metrics() = default;

void Metrics::count(Counter Which, int64_t By) {
  this->Counters[static_cast<size_t>(Which)] += By;
}

void Metrics::countRefusal(RefusalKind Kind) {
  this->Refusals[static_cast<size_t>(Kind)] += 1;
}

void Metrics::countRetry(RetryReason Reason) {
  this->Retries[static_cast<size_t>(Reason)] += 1;
}

void Metrics::observe(Latency Which, absl::Duration Took) {
  auto &Slot = this->Latencies->Slots[static_cast<size_t>(Which)];
  double Seconds = absl::ToDoubleSeconds(Took);
  MutexLock Hold(&Slot.Lock);
  Slot.Values(Seconds);
  Slot.Sum += Seconds;
  Slot.Count += 1;
}

int64_t Metrics::value(Counter Which) const {
  return this->Counters[static_cast<size_t>(Which)];
}

int64_t Metrics::refusals(RefusalKind Kind) const {
  return this->Refusals[static_cast<size_t>(Kind)];
}

int64_t Metrics::retries(RetryReason Reason) const {
  return this->Retries[static_cast<size_t>(Reason)];
}

double Metrics::quantile(Latency Which, double Q) const {
  const auto &Slot = this->Latencies->Slots[static_cast<size_t>(Which)];
  MutexLock Hold(&Slot.Lock);
  return quantileOf(Slot.Values, Q);
}

std::string Metrics::exposition(const std::vector<Gauge> &Gauges) const {
  std::string Out;
  for (int I = 0; I < CounterCount; ++I)
    absl::StrAppend(&Out, "berylramp_", CounterNames[I], "_total ",
                    this->Counters[I].load(), "\n");
  for (int I = 0; I < RefusalKindCount; ++I)
    absl::StrAppend(&Out, "berylramp_refusals_total{kind=\"",
                    refusalName(static_cast<RefusalKind>(I)), "\"} ",
                    this->Refusals[I].load(), "\n");
  for (int I = 0; I < RetryReasonCount; ++I)
    absl::StrAppend(&Out, "berylramp_retries_total{reason=\"",
                    retryReasonName(static_cast<RetryReason>(I)), "\"} ",
                    this->Retries[I].load(), "\n");
  for (int I = 0; I < LatencyCount; ++I) {
    const auto &Slot = this->Latencies->Slots[I];
    std::string Name = absl::StrCat("berylramp_", LatencyNames[I], "_seconds");
    MutexLock Hold(&Slot.Lock);
    for (double Q : Quantiles)
      absl::StrAppend(&Out, Name, "{quantile=\"", Q, "\"} ",
                      quantileOf(Slot.Values, Q), "\n");
    absl::StrAppend(&Out, Name, "_sum ", Slot.Sum, "\n");
    absl::StrAppend(&Out, Name, "_count ", Slot.Count, "\n");
  }
  for (const Gauge &Each : Gauges)
    absl::StrAppend(&Out, "berylramp_", Each.Name, " ", Each.Value, "\n");
  return Out;
}

} // namespace berylramp
