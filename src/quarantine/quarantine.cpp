//===- quarantine.cpp - Requests that end replicas ------------------------===//
//
// All requests at a replica break when it ends, so that sound ones are
// suspected too, and segments that most requests share are in all crashes. A
// sound request, sent again, is answered. A segment that ends engines is never
// answered, and it takes part in each crash; others are answered in between, or
// take part in some of the crashes only.
//
//===----------------------------------------------------------------------===//

#include "berylramp/quarantine.h"

#include <algorithm>
#include <functional>

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
/// An input that was answered shortly before the first crash, for at least the
/// first of these times, is given the second one for a further answer.
constexpr absl::Duration AnswerMemory = absl::Seconds(15);
constexpr absl::Duration AnswerTime = absl::Milliseconds(2500);
/// Heartbeats of a process this long after it was reported to have ended show
/// that it lives; one of them may have been delayed.
constexpr absl::Duration AliveDelay = absl::Seconds(2);
constexpr int MinSignsOfLife = 2;
constexpr size_t MaxAnswered = 8192;
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
    if (auto Known = this->Verdicts.find(Id); Known != this->Verdicts.end()) {
      bool Ended = !(Now < Known->second.EndsAt);
      Known->second.EndsAt = Now + QuarantineTime;
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
  if (Request.Crashes >= MinCrashes &&
      !this->awaitsAnswers(Identity, Request, Now)) {
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
        this->awaitsAnswers(*Segment, Candidate, Now) ||
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

bool InputQuarantine::awaitsAnswers(uint64_t Id, const Suspect &Candidate,
                                    Instant Now) const {
  bool WasAnswered =
      this->Answered.contains(Id) || this->AnsweredBefore.contains(Id);
  return WasAnswered && Now - Candidate.FirstAt < AnswerTime;
}

void InputQuarantine::noteAnswered(const std::vector<uint64_t> &Segments,
                                   Instant Now) {
  bool IsFull = this->Answered.size() >= MaxAnswered;
  if (IsFull || Now - this->RotatedAt >= AnswerMemory) {
    std::swap(this->AnsweredBefore, this->Answered);
    this->Answered.clear();
    this->RotatedAt = Now;
  }
  this->Answered.insert(Segments.begin(), Segments.end());
}

// Answers to requests that were sent before the first crash prove nothing: the
// segment may have begun to end engines since.
std::vector<uint64_t> InputQuarantine::onAnswered(const RequestInput &Input,
                                                  Instant SentAt, Instant Now) {
  std::vector<uint64_t> Acquitted;
  this->noteAnswered(Input.Segments, Now);
  if (this->Suspects.empty() && this->Verdicts.empty())
    return Acquitted;
  for (uint64_t Id : idsOf(Input)) {
    auto Suspected = this->Suspects.find(Id);
    auto Known = this->Verdicts.find(Id);
    bool WasSuspect =
        Suspected != this->Suspects.end() && Suspected->second.FirstAt < SentAt;
    bool WasGuilty =
        Known != this->Verdicts.end() && Known->second.FirstAt < SentAt;
    if ((WasSuspect || WasGuilty) && this->release(Id))
      Acquitted.push_back(Id);
  }
  return Acquitted;
}

std::vector<uint64_t> InputQuarantine::onAlive(uint64_t Replica, Instant Now) {
  std::vector<uint64_t> Released;
  if (this->Suspects.empty() && this->Verdicts.empty()) {
    this->SignsOfLife.clear();
    return Released;
  }
  auto IsRefuted = [&](const std::map<uint64_t, Instant> &Replicas) {
    auto Found = Replicas.find(Replica);
    return Found != Replicas.end() && Now - Found->second >= AliveDelay;
  };
  auto Concerns = [&](const auto &Entry) {
    return IsRefuted(Entry.second.Replicas);
  };
  bool IsReported =
      std::any_of(this->Suspects.begin(), this->Suspects.end(), Concerns) ||
      std::any_of(this->Verdicts.begin(), this->Verdicts.end(), Concerns);
  if (!IsReported) {
    this->SignsOfLife.erase(Replica);
    return Released;
  }
  this->SignsOfLife[Replica] += 1;
  if (this->SignsOfLife[Replica] < MinSignsOfLife)
    return Released;
  this->SignsOfLife.erase(Replica);
  absl::erase_if(this->Suspects, Concerns);
  for (const auto &[Id, Known] : this->Verdicts)
    if (IsRefuted(Known.Replicas))
      Released.push_back(Id);
  for (uint64_t Id : Released)
    this->release(Id);
  return Released;
}

bool InputQuarantine::add(uint64_t Id, Instant Now) {
  Verdict Added;
  Added.FirstAt = Now;
  auto Suspected = this->Suspects.find(Id);
  if (Suspected != this->Suspects.end()) {
    Added.FirstAt = Suspected->second.FirstAt;
    Added.Replicas = Suspected->second.Replicas;
    // The input explains the crashes that others were suspected of.
    std::vector<uint64_t> Others;
    for (const auto &[Other, Count] : Suspected->second.Shared)
      Others.push_back(Other);
    for (uint64_t Other : Others)
      this->Suspects.erase(Other);
    this->Suspects.erase(Id);
  }
  if (this->Verdicts.size() >= MaxQuarantined && !this->Verdicts.contains(Id))
    this->Verdicts.erase(
        std::min_element(this->Verdicts.begin(), this->Verdicts.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.EndsAt < B.second.EndsAt;
                         }));
  auto [Known, IsFirst] = this->Verdicts.try_emplace(Id, Added);
  bool IsNew = IsFirst || !(Now < Known->second.EndsAt);
  Known->second.EndsAt =
      std::max(Known->second.EndsAt, Now + QuarantineTime, std::less<>());
  return IsNew;
}

bool InputQuarantine::release(uint64_t Id) {
  size_t Erased = this->Verdicts.erase(Id);
  return this->Suspects.erase(Id) + Erased > 0;
}

absl::Duration InputQuarantine::refusedFor(const RequestInput &Input,
                                           Instant Now) const {
  absl::Duration Longest = absl::ZeroDuration();
  if (this->Verdicts.empty())
    return Longest;
  for (uint64_t Id : idsOf(Input)) {
    auto Found = this->Verdicts.find(Id);
    if (Found != this->Verdicts.end())
      Longest = std::max(Longest, Found->second.EndsAt - Now);
  }
  return Longest;
}

bool InputQuarantine::isSuspect(const RequestInput &Input) const {
  std::vector<uint64_t> Ids = idsOf(Input);
  return std::any_of(Ids.begin(), Ids.end(), [&](uint64_t Id) {
    auto Found = this->Suspects.find(Id);
    return this->Verdicts.contains(Id) ||
           (Found != this->Suspects.end() &&
            Found->second.Crashes >= MinCrashesOfSuspect);
  });
}

std::vector<uint64_t> InputQuarantine::inputs() const {
  std::vector<uint64_t> Result;
  for (const auto &[Id, Known] : this->Verdicts)
    Result.push_back(Id);
  return Result;
}

} // namespace berylramp
