//===- quarantine.cpp - Requests that end replicas ------------------------===//
//
// All requests at a replica break when it ends, so that sound ones are
// suspected too. A sound request, sent again, is answered. A segment that ends
// engines is never answered, and it takes part in each crash; others are
// answered in between, or take part in some of the crashes only.
//
//===----------------------------------------------------------------------===//

#include "berylramp/quarantine.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Crashes, and different replicas, before an input is put into quarantine.
constexpr int MinCrashes = 3;
constexpr size_t MinReplicas = 2;
/// Different requests under which replicas ended, before it is their segment
/// that is put into quarantine.
constexpr size_t MinRequests = 2;
/// Crashes from which on a segment that always occurs together with others is
/// put into quarantine, the last one of a prompt first.
constexpr int MinCrashesOfGroup = 5;
/// Crashes from which on a request is not repeated.
constexpr int MinCrashesOfSuspect = 2;
/// Replicas that end within this time may have ended for one common reason and
/// count once.
constexpr absl::Duration CrashInterval = absl::Milliseconds(250);
/// A replica that ends again after this time has started in between, possibly
/// under the same id.
constexpr absl::Duration RestartTime = absl::Milliseconds(500);
constexpr absl::Duration QuarantineTime = absl::Minutes(10);
constexpr size_t MaxSuspects = 4096;
constexpr size_t MaxQuarantined = 1024;

std::vector<uint64_t> idsOf(const RequestInput &Input) {
  std::vector<uint64_t> Ids = Input.Segments;
  Ids.push_back(Input.Identity);
  return Ids;
}

} // namespace

std::optional<uint64_t> InputQuarantine::onCrash(const InputCrash &Crash,
                                                 Instant Now) {
  for (uint64_t Id : idsOf(Crash.Input))
    if (auto Known = this->EndsAt.find(Id); Known != this->EndsAt.end()) {
      bool Ended = !(Now < Known->second);
      Known->second = Now + QuarantineTime;
      return Ended ? std::make_optional(Id) : std::nullopt;
    }
  for (uint64_t Segment : Crash.Input.Segments)
    this->countSegment(Segment, Crash, Now);
  uint64_t Identity = Crash.Input.Identity;
  Suspect &Request = this->suspect(Identity, Crash, Now);
  auto LastEnd = Request.Replicas.find(Crash.Replica);
  bool IsNewEnd =
      LastEnd == Request.Replicas.end() || Now - LastEnd->second >= RestartTime;
  Request.Replicas[Crash.Replica] = Now;
  Request.CountedAt = Now;
  Request.Crashes += IsNewEnd ? 1 : 0;
  if (Request.Crashes >= MinCrashes) {
    this->add(Identity, Now);
    return Identity;
  }
  // The last segments of a prompt are the most specific ones.
  const std::vector<uint64_t> &Segments = Crash.Input.Segments;
  for (auto Segment = Segments.rbegin(); Segment != Segments.rend();
       ++Segment) {
    const Suspect &Candidate = this->Suspects[*Segment];
    if (Candidate.Crashes < MinCrashes ||
        Candidate.Replicas.size() < MinReplicas ||
        Candidate.Requests.size() < MinRequests ||
        !this->explainsCrashesAlone(*Segment, Candidate))
      continue;
    uint64_t Guilty = *Segment;
    this->add(Guilty, Now);
    return Guilty;
  }
  return std::nullopt;
}

InputQuarantine::Suspect &
InputQuarantine::suspect(uint64_t Id, const InputCrash &Crash, Instant Now) {
  if (this->Suspects.size() >= MaxSuspects && !this->Suspects.contains(Id))
    this->dropOldest();
  Suspect &Result = this->Suspects[Id];
  if (Result.Requests.empty())
    Result.FirstAt = Now;
  Result.Requests.insert(Crash.Input.Identity);
  return Result;
}

void InputQuarantine::countSegment(uint64_t Segment, const InputCrash &Crash,
                                   Instant Now) {
  Suspect &Counted = this->suspect(Segment, Crash, Now);
  Counted.Replicas[Crash.Replica] = Now;
  if (Counted.Crashes > 0 && Now - Counted.CountedAt < CrashInterval)
    return;
  Counted.CountedAt = Now;
  Counted.Crashes += 1;
  for (uint64_t Other : Crash.Input.Segments)
    if (Other != Segment)
      Counted.Shared[Other] += 1;
}

// False while another suspect took part in the same crashes.
bool InputQuarantine::explainsCrashesAlone(uint64_t Segment,
                                           const Suspect &Candidate) const {
  if (Candidate.Crashes >= MinCrashesOfGroup)
    return true;
  return std::none_of(Candidate.Shared.begin(), Candidate.Shared.end(),
                      [&](const auto &Other) {
                        return Other.second >= Candidate.Crashes &&
                               this->Suspects.contains(Other.first);
                      });
}

void InputQuarantine::dropOldest() {
  auto Oldest =
      std::min_element(this->Suspects.begin(), this->Suspects.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.CountedAt < B.second.CountedAt;
                       });
  this->Suspects.erase(Oldest);
}

// Answers to requests that were sent before the first crash prove nothing: the
// segment may have begun to end engines since.
void InputQuarantine::onAnswered(const RequestInput &Input, Instant SentAt) {
  if (this->Suspects.empty())
    return;
  for (uint64_t Id : idsOf(Input)) {
    auto Found = this->Suspects.find(Id);
    if (Found != this->Suspects.end() && Found->second.FirstAt < SentAt)
      this->Suspects.erase(Found);
  }
}

bool InputQuarantine::add(uint64_t Id, Instant Now) {
  auto Suspected = this->Suspects.find(Id);
  if (Suspected != this->Suspects.end()) {
    // The input explains the crashes that others were suspected of.
    std::vector<uint64_t> Others;
    for (const auto &[Other, Count] : Suspected->second.Shared)
      Others.push_back(Other);
    for (uint64_t Other : Others)
      this->Suspects.erase(Other);
    this->Suspects.erase(Id);
  }
  if (this->EndsAt.size() >= MaxQuarantined && !this->EndsAt.contains(Id))
    this->EndsAt.erase(std::min_element(
        this->EndsAt.begin(), this->EndsAt.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
  Instant &End = this->EndsAt[Id];
  bool IsNew = !(Now < End);
  End = std::max(End, Now + QuarantineTime);
  return IsNew;
}

void InputQuarantine::release(uint64_t Id) { this->EndsAt.erase(Id); }

absl::Duration InputQuarantine::refusedFor(const RequestInput &Input,
                                           Instant Now) const {
  absl::Duration Longest = absl::ZeroDuration();
  if (this->EndsAt.empty())
    return Longest;
  for (uint64_t Id : idsOf(Input)) {
    auto Found = this->EndsAt.find(Id);
    if (Found != this->EndsAt.end())
      Longest = std::max(Longest, Found->second - Now);
  }
  return Longest;
}

bool InputQuarantine::isSuspect(const RequestInput &Input) const {
  std::vector<uint64_t> Ids = idsOf(Input);
  return std::any_of(Ids.begin(), Ids.end(), [&](uint64_t Id) {
    auto Found = this->Suspects.find(Id);
    return this->EndsAt.contains(Id) ||
           (Found != this->Suspects.end() &&
            Found->second.Crashes >= MinCrashesOfSuspect);
  });
}

std::vector<uint64_t> InputQuarantine::inputs() const {
  std::vector<uint64_t> Result;
  for (const auto &[Id, End] : this->EndsAt)
    Result.push_back(Id);
  return Result;
}

} // namespace berylramp
