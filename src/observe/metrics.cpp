//===- metrics.cpp - Counters and histograms ------------------------------===//
//
// Latencies range from microseconds to minutes, so the histogram axis is
// logarithmic.
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

constexpr int HistogramBinCount = 120;
constexpr double MinLatencySeconds = 1e-6;
constexpr double MaxLatencySeconds = 120;

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
    "bytes_across",
    "slow_readers_ended",
    "bodies_refused",
    "load_reports_rejected",
    "requests_delayed",
    "refused_beyond_deadline",
    "refused_for_utilization"};

constexpr std::array<const char *, LatencyCount> LatencyNames = {
    "first_token", "between_tokens", "whole_request", "decision",
    "log_append",  "bill_safe",      "config_lag",    "dispatch_wait"};

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};

double computeQuantile(const LatencyHistogram &Histogram, double Q) {
  double Total = 0;
  for (double BinValue : Histogram)
    Total += BinValue;
  if (Total == 0)
    return 0;
  double Cumulative = 0;
  const auto &Axis = Histogram.axis(0);
  for (int Bin = 0; Bin < Axis.size(); ++Bin) {
    Cumulative += Histogram.at(Bin);
    if (Cumulative >= Q * Total)
      return Axis.bin(Bin).upper();
  }
  return MaxLatencySeconds;
}

} // namespace

struct Metrics::Histograms {
  struct Slot {
    mutable Mutex Lock;
    LatencyHistogram Values = bh::make_histogram(LogAxis(
        HistogramBinCount, MinLatencySeconds, MaxLatencySeconds, "seconds"));
    double Sum = 0;
    int64_t Count = 0;
  };
  std::array<Slot, LatencyCount> Slots;
};

Metrics::Metrics() : Latencies(std::make_unique<Histograms>()) {}
Metrics::~Metrics() = default;

void Metrics::count(Counter Id, int64_t Amount) {
  this->Counters[static_cast<size_t>(Id)] += Amount;
}

void Metrics::countRefusal(RefusalKind Kind) {
  this->Refusals[static_cast<size_t>(Kind)] += 1;
}

void Metrics::countRetry(RetryReason Reason) {
  this->Retries[static_cast<size_t>(Reason)] += 1;
}

void Metrics::observe(Latency Id, absl::Duration Elapsed) {
  auto &Slot = this->Latencies->Slots[static_cast<size_t>(Id)];
  double Seconds = absl::ToDoubleSeconds(Elapsed);
  MutexLock Guard(&Slot.Lock);
  Slot.Values(Seconds);
  Slot.Sum += Seconds;
  Slot.Count += 1;
}

int64_t Metrics::value(Counter Id) const {
  return this->Counters[static_cast<size_t>(Id)];
}

int64_t Metrics::refusals(RefusalKind Kind) const {
  return this->Refusals[static_cast<size_t>(Kind)];
}

int64_t Metrics::retries(RetryReason Reason) const {
  return this->Retries[static_cast<size_t>(Reason)];
}

double Metrics::quantile(Latency Id, double Q) const {
  const auto &Slot = this->Latencies->Slots[static_cast<size_t>(Id)];
  MutexLock Guard(&Slot.Lock);
  return computeQuantile(Slot.Values, Q);
}

std::string Metrics::exposition(const std::vector<Gauge> &Gauges) const {
  std::string Text;
  for (int I = 0; I < CounterCount; ++I)
    absl::StrAppend(&Text, "berylramp_", CounterNames[I], "_total ",
                    this->Counters[I].load(), "\n");
  for (int I = 0; I < RefusalKindCount; ++I)
    absl::StrAppend(&Text, "berylramp_refusals_total{kind=\"",
                    refusalName(static_cast<RefusalKind>(I)), "\"} ",
                    this->Refusals[I].load(), "\n");
  for (int I = 0; I < RetryReasonCount; ++I)
    absl::StrAppend(&Text, "berylramp_retries_total{reason=\"",
                    retryReasonName(static_cast<RetryReason>(I)), "\"} ",
                    this->Retries[I].load(), "\n");
  for (int I = 0; I < LatencyCount; ++I) {
    const auto &Slot = this->Latencies->Slots[I];
    std::string Name = absl::StrCat("berylramp_", LatencyNames[I], "_seconds");
    MutexLock Guard(&Slot.Lock);
    for (double Q : Quantiles)
      absl::StrAppend(&Text, Name, "{quantile=\"", Q, "\"} ",
                      computeQuantile(Slot.Values, Q), "\n");
    absl::StrAppend(&Text, Name, "_sum ", Slot.Sum, "\n");
    absl::StrAppend(&Text, Name, "_count ", Slot.Count, "\n");
  }
  for (const Gauge &Sample : Gauges)
    absl::StrAppend(&Text, "berylramp_", Sample.Name, " ", Sample.Value, "\n");
  return Text;
}

} // namespace berylramp
