//===- quarantine.cpp - Prompt segments that end engines ------------------===//
//
// All requests at an engine break when it ends, so that segments of sound
// prompts are suspected too. A segment that ends engines is never answered, and
// it takes part in each crash; others are answered in between, or take part in
// some of the crashes only.
//
//===----------------------------------------------------------------------===//

#include "berylramp/quarantine.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Crashes, and different replicas, before a segment is put into quarantine.
constexpr int MinCrashes = 3;
constexpr size_t MinReplicas = 2;
/// Crashes from which on a segment that always occurs together with others is
/// put into quarantine, the last one of a prompt first.
constexpr int MinCrashesOfGroup = 5;
/// Crashes from which on a request is not repeated.
constexpr int MinCrashesOfSuspect = 2;
/// Replicas that end within this time may have ended for one common reason and
/// count once.
constexpr absl::Duration CrashInterval = absl::Milliseconds(250);
constexpr absl::Duration QuarantineTime = absl::Minutes(10);
constexpr size_t MaxSuspects = 4096;
constexpr size_t MaxQuarantined = 1024;

} // namespace

std::optional<uint64_t> PromptQuarantine::onCrash(const PromptCrash &Crash,
                                                  Instant Now) {
  for (uint64_t Segment : Crash.Segments) {
    auto Found = this->EndsAt.find(Segment);
    if (Found == this->EndsAt.end())
      continue;
    bool Ended = !(Now < Found->second);
    Found->second = Now + QuarantineTime;
    return Ended ? std::make_optional(Segment) : std::nullopt;
  }
  for (uint64_t Segment : Crash.Segments)
    this->count(Segment, Crash, Now);
  // The last segments of a prompt are the most specific ones.
  for (auto Segment = Crash.Segments.rbegin(); Segment != Crash.Segments.rend();
       ++Segment) {
    const Suspect &Candidate = this->Suspects[*Segment];
    if (Candidate.Crashes < MinCrashes ||
        Candidate.Replicas.size() < MinReplicas ||
        !this->explainsCrashesAlone(*Segment, Candidate))
      continue;
    uint64_t Guilty = *Segment;
    this->add(Guilty, Now);
    return Guilty;
  }
  return std::nullopt;
}

void PromptQuarantine::count(uint64_t Segment, const PromptCrash &Crash,
                             Instant Now) {
  if (this->Suspects.size() >= MaxSuspects)
    this->dropOldest();
  Suspect &Counted = this->Suspects[Segment];
  if (Counted.Crashes == 0)
    Counted.FirstAt = Now;
  Counted.Replicas.insert(Crash.Replica);
  if (Counted.Crashes > 0 && Now - Counted.CountedAt < CrashInterval)
    return;
  Counted.CountedAt = Now;
  Counted.Crashes += 1;
  for (uint64_t Other : Crash.Segments)
    if (Other != Segment)
      Counted.Shared[Other] += 1;
}

// False while another suspect took part in the same crashes.
bool PromptQuarantine::explainsCrashesAlone(uint64_t Segment,
                                            const Suspect &Candidate) const {
  if (Candidate.Crashes >= MinCrashesOfGroup)
    return true;
  return std::none_of(Candidate.Shared.begin(), Candidate.Shared.end(),
                      [&](const auto &Other) {
                        return Other.second >= Candidate.Crashes &&
                               this->Suspects.contains(Other.first);
                      });
}

void PromptQuarantine::dropOldest() {
  auto Oldest =
      std::min_element(this->Suspects.begin(), this->Suspects.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.CountedAt < B.second.CountedAt;
                       });
  this->Suspects.erase(Oldest);
}

// Answers to requests that were sent before the first crash prove nothing: the
// segment may have begun to end engines since.
void PromptQuarantine::onAnswered(const std::vector<uint64_t> &Segments,
                                  Instant SentAt) {
  for (uint64_t Segment : Segments) {
    auto Found = this->Suspects.find(Segment);
    if (Found != this->Suspects.end() && Found->second.FirstAt < SentAt)
      this->Suspects.erase(Found);
  }
}

bool PromptQuarantine::add(uint64_t Segment, Instant Now) {
  auto Suspected = this->Suspects.find(Segment);
  if (Suspected != this->Suspects.end()) {
    // The segment explains the crashes that others were suspected of.
    std::vector<uint64_t> Others;
    for (const auto &[Other, Count] : Suspected->second.Shared)
      Others.push_back(Other);
    for (uint64_t Other : Others)
      this->Suspects.erase(Other);
    this->Suspects.erase(Segment);
  }
  if (this->EndsAt.size() >= MaxQuarantined && !this->EndsAt.contains(Segment))
    this->EndsAt.erase(std::min_element(
        this->EndsAt.begin(), this->EndsAt.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
  Instant &End = this->EndsAt[Segment];
  bool IsNew = !(Now < End);
  End = std::max(End, Now + QuarantineTime);
  return IsNew;
}

void PromptQuarantine::release(uint64_t Segment) {
  this->EndsAt.erase(Segment);
}

absl::Duration
PromptQuarantine::refusedFor(const std::vector<uint64_t> &Segments,
                             Instant Now) const {
  absl::Duration Longest = absl::ZeroDuration();
  if (this->EndsAt.empty())
    return Longest;
  for (uint64_t Segment : Segments) {
    auto Found = this->EndsAt.find(Segment);
    if (Found != this->EndsAt.end())
      Longest = std::max(Longest, Found->second - Now);
  }
  return Longest;
}

bool PromptQuarantine::isSuspect(const std::vector<uint64_t> &Segments) const {
  return std::any_of(Segments.begin(), Segments.end(), [&](uint64_t Segment) {
    auto Found = this->Suspects.find(Segment);
    return this->EndsAt.contains(Segment) ||
           (Found != this->Suspects.end() &&
            Found->second.Crashes >= MinCrashesOfSuspect);
  });
}

std::vector<uint64_t> PromptQuarantine::segments() const {
  std::vector<uint64_t> Result;
  for (const auto &[Segment, End] : this->EndsAt)
    Result.push_back(Segment);
  return Result;
}

} // namespace berylramp
