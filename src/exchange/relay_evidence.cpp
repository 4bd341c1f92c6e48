//===- relay_evidence.cpp - What an attempt shows -------------------------===//
//
// A broken or missing answer is evidence against a version, or against the
// input of the request, only once the cause of the failure is known.
//
//===----------------------------------------------------------------------===//

#include "relay.h"

#include <algorithm>

namespace berylramp {

namespace {

/// Time after the first event, and number of events, from which on the pace of
/// a stream is evidence.
constexpr absl::Duration EventsTime = absl::Seconds(1);
constexpr int MinEvents = 3;

} // namespace

void Relay::noteInputCrash(const Attempt &Source) {
  bool JustBegan =
      Source.EventCount == 0 || this->now() - Source.FirstEventAt < ProofTime;
  if (!JustBegan)
    return;
  this->RepeatsForbidden = !this->Core.Hooks.MayRepeatInput(this->Input);
  this->Core.Paths->explainFailure(
      Source.TargetReplica, this->now(),
      [Owner = std::weak_ptr<void>(this->CoreOwner), &Core = this->Core,
       Ended = Source.TargetReplica, Input = this->Input](FailureCause Cause) {
        auto Guard = Owner.lock();
        if (Guard && Cause == FailureCause::ReplicaEnded)
          Core.Hooks.OnInputCrash(*Ended, Input);
      });
}

void Relay::noteInputAnswered(Attempt &Source) {
  if (Source.IsProof)
    return;
  Source.IsProof = true;
  this->Core.Hooks.OnInputAnswered(this->Input, Source.SentAt);
}

void Relay::observeEvents(Attempt &Source, bool Ended) {
  absl::Duration Time = this->now() - Source.FirstEventAt;
  bool IsDue = Time >= EventsTime || Ended;
  if (Source.EventsObserved || !IsDue || Source.EventCount < MinEvents)
    return;
  Source.EventsObserved = true;
  this->observe(Source, AnswerEvent::Events);
}

AnswerObservation Relay::observationOf(Attempt &Source, AnswerEvent Event) {
  AnswerObservation Observation;
  Observation.Service = this->Service;
  Observation.Version = Source.TargetReplica->Entry.Version;
  Observation.Route = this->MatchedRoute->Name;
  Observation.Event = Event;
  Observation.Time = Event == AnswerEvent::Events
                         ? (this->now() - Source.FirstEventAt) /
                               std::max(1, Source.EventCount - 1)
                         : this->now() - Source.SentAt;
  Observation.Counted = Source.Observed;
  Source.Observed = true;
  return Observation;
}

void Relay::observe(Attempt &Source, AnswerEvent Event) {
  if (Source.IsBad)
    return;
  Source.IsBad =
      this->Core.Hooks.ObserveAnswer(this->observationOf(Source, Event));
}

void Relay::observeMissing(Attempt &Source) {
  if (Source.IsBad)
    return;
  this->Core.Paths->explainFailure(
      Source.TargetReplica, Source.LastByteAt,
      [Owner = std::weak_ptr<void>(this->CoreOwner), &Core = this->Core,
       Target = Source.TargetReplica,
       Observation = this->observationOf(Source, AnswerEvent::Failure)](
          FailureCause Cause) {
        auto Guard = Owner.lock();
        bool PathInDoubt = Cause == FailureCause::OwnPath ||
                           (Cause == FailureCause::Unknown && Guard &&
                            Core.Paths->isLost(*Target));
        if (Guard && !PathInDoubt)
          Core.Hooks.ObserveAnswer(Observation);
      });
  Source.IsBad = true;
}

} // namespace berylramp
