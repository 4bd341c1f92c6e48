//===- queue.cpp - Requests that wait at this host ------------------------===//

#include "berylramp/dispatch.h"

#include <algorithm>
#include <cmath>

namespace berylramp {

namespace {

/// Rate of sent work, in milliseconds per second, below which the time to send
/// the work ahead is not known.
constexpr double MinSentRate = 1;

} // namespace

void DecayingSum::add(double Amount, Instant Now) {
  this->Sum = this->value(Now) + Amount;
  this->At = Now;
}

double DecayingSum::value(Instant Now) const {
  return this->Sum *
         std::exp(-absl::FDivDuration(Now - this->At, this->TimeConstant));
}

double DecayingSum::rate(Instant Now) const {
  return this->value(Now) / absl::ToDoubleSeconds(this->TimeConstant);
}

void DispatchQueue::add(const Waiter &Entry) {
  this->remove(Entry.Id);
  RankState &Rank = this->Ranks[Entry.Rank];
  Rank.Order.emplace(Entry.LatestStart.SinceStart, Entry.Id);
  Rank.Work += Entry.Work;
  this->Bytes += Entry.Bytes;
  this->Entries[Entry.Id] = Entry;
}

void DispatchQueue::remove(WaiterId Id) {
  auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end())
    return;
  const Waiter &Entry = Found->second;
  RankState &Rank = this->Ranks[Entry.Rank];
  Rank.Order.erase({Entry.LatestStart.SinceStart, Id});
  Rank.Work -= Entry.Work;
  this->Bytes -= Entry.Bytes;
  this->Entries.erase(Found);
}

std::vector<WaiterId> DispatchQueue::heads() const {
  std::vector<WaiterId> Ids;
  for (const auto &[Number, Rank] : this->Ranks)
    if (!Rank.Order.empty())
      Ids.push_back(Rank.Order.begin()->second);
  return Ids;
}

std::vector<WaiterId> DispatchQueue::due(Instant Now, size_t MaxCount) const {
  std::vector<WaiterId> Ids;
  for (const auto &[Number, Rank] : this->Ranks)
    for (const auto &[Start, Id] : Rank.Order) {
      if (Start > Now.SinceStart || Ids.size() == MaxCount)
        break;
      Ids.push_back(Id);
    }
  return Ids;
}

void DispatchQueue::onOffered(int Rank, absl::Duration Work, Instant Now) {
  this->Ranks[Rank].Offered.add(absl::ToDoubleMilliseconds(Work), Now);
}

void DispatchQueue::onSent(int Rank, absl::Duration Work, Instant Now) {
  double Ms = absl::ToDoubleMilliseconds(Work);
  this->Ranks[Rank].Sent.add(Ms, Now);
  this->SentWork.add(Ms, Now);
}

bool DispatchQueue::isBelowFloor(int Rank, double FloorRatio,
                                 Instant Now) const {
  auto Found = this->Ranks.find(Rank);
  return Found != this->Ranks.end() &&
         Found->second.Sent.value(Now) <
             FloorRatio * Found->second.Offered.value(Now);
}

bool DispatchQueue::hasAhead(int Rank) const {
  return std::any_of(
      this->Ranks.begin(), this->Ranks.end(), [&](const auto &Entry) {
        return Entry.first <= Rank && !Entry.second.Order.empty();
      });
}

absl::Duration DispatchQueue::waitAhead(int Rank, Instant Now) const {
  absl::Duration Work;
  for (const auto &[Number, State] : this->Ranks)
    if (Number <= Rank)
      Work += State.Work;
  double Rate = this->SentWork.rate(Now);
  if (Work <= absl::ZeroDuration() || Rate < MinSentRate)
    return absl::ZeroDuration();
  return absl::Seconds(absl::ToDoubleMilliseconds(Work) / Rate);
}

} // namespace berylramp
