//===- rollout_desk.cpp - Roll-outs under way -----------------------------===//
//
// A state is written only where the topic ends at the last record that this
// host read. Two hosts that disagree thus write one after the other, and the
// second reads the first one's end state before it may write.
//
//===----------------------------------------------------------------------===//

#include "rollout_desk.h"

#include "absl/strings/str_cat.h"

namespace berylramp {

namespace {

/// How long a host waits for each live host before it in the order of
/// addresses: a write takes a few milliseconds and its reading back as long.
constexpr absl::Duration WaitForRank = absl::Milliseconds(400);

const char *stateName(RolloutState State) {
  switch (State) {
  case RolloutState::InProgress:
    return "in progress";
  case RolloutState::Complete:
    return "complete";
  case RolloutState::Reverted:
    return "reverted";
  }
  return "";
}

Json::Value lineOf(const RolloutOrder &Order) {
  Json::Value Line(Json::objectValue);
  Line["service"] = Order.Service.text();
  Line["target"] = Order.Target.text();
  return Line;
}

} // namespace

void RolloutDesk::ordered(const RolloutOrder &Order) {
  Entry &Which = this->Entries[Order.Service];
  if (Which.Order.Target == Order.Target)
    return;
  Which = Entry();
  Which.Order = Order;
  Which.Id =
      stableHash(absl::StrCat(Order.Service.text(), "/", Order.Target.text()));
  Which.SeenAt = this->Outside.Now();
  Which.WantedSince = Which.SeenAt;
  logEvent(LogLevel::Info, "rollout_ordered", lineOf(Order));
}

void RolloutDesk::recorded(const ServiceId &Service, const VersionId &Target,
                           RolloutState State) {
  auto Found = this->Entries.find(Service);
  if (Found == this->Entries.end() || Found->second.Order.Target != Target)
    return;
  Entry &Which = Found->second;
  bool Ended = Which.Known && Which.State != RolloutState::InProgress;
  if (Ended || (Which.Known && Which.State == State))
    return;
  Which.Known = true;
  Which.State = State;
  Json::Value Line = lineOf(Which.Order);
  Line["state"] = stateName(State);
  Line["target_good"] = Json::Int64(Which.Target.Good);
  Line["target_bad"] = Json::Int64(Which.Target.Bad);
  logEvent(LogLevel::Info, "rollout_recorded", Line);
}

void RolloutDesk::judge(const ServiceId &Service, const VersionId &Version,
                        bool Good, absl::Duration FirstByte) {
  auto Found = this->Entries.find(Service);
  if (Found == this->Entries.end())
    return;
  Entry &Which = Found->second;
  AnswerTally &Tally =
      Version == Which.Order.Target ? Which.Target : Which.Others;
  if (!Good) {
    Tally.Bad += 1;
    return;
  }
  Tally.Good += 1;
  Tally.FirstByteMs += absl::ToInt64Milliseconds(FirstByte);
}

VersionRule RolloutDesk::versionFor(const ServiceId &Service,
                                    double Draw) const {
  auto Found = this->Entries.find(Service);
  if (Found == this->Entries.end())
    return {};
  const Entry &Which = Found->second;
  VersionRule Rule{Which.Order.Target, false};
  if (Which.State == RolloutState::Reverted || Which.Tripped)
    return Rule;
  auto [Targets, Others] = this->Outside.Replicas(Service, Rule.Target);
  if (Targets == 0)
    return Rule;
  // The share changes at a set time, not at a tick, so that no session meets
  // hosts before and after the change.
  absl::Duration Elapsed = this->Outside.Now() - Which.SeenAt;
  double Share =
      Which.State == RolloutState::Complete
          ? 1
          : nextRolloutStep(Which.Order, Which.Canary, Which.Seen, Elapsed)
                .Share;
  // Without another version the roll-out ended, whatever was recorded.
  Rule.ToTarget = Draw < Share || Others == 0;
  return Rule;
}

void RolloutDesk::tick(const PeerView &Peers) {
  for (auto &[Service, Which] : this->Entries)
    if (Which.State == RolloutState::InProgress)
      this->step(Which, Peers);
}

void RolloutDesk::step(Entry &Which, const PeerView &Peers) {
  absl::Duration Elapsed = this->Outside.Now() - Which.SeenAt;
  RolloutEvidence Seen = Peers.evidence(Which.Id, this->Outside.Now(), Elapsed);
  // A host that started late learns the order's age from its peers.
  Instant Began{this->Outside.Now().SinceStart - Elapsed};
  if (Began < Which.SeenAt)
    Which.SeenAt = Began;
  if (Which.Canary == 0) {
    auto [Targets, Others] =
        this->Outside.Replicas(Which.Order.Service, Which.Order.Target);
    Which.Canary = canaryShare(this->Bounds, Others);
  }
  Which.Seen = Seen;
  RolloutStep Next = nextRolloutStep(Which.Order, Which.Canary, Seen, Elapsed);
  if (Next.State == RolloutState::Reverted && !Which.Tripped) {
    Which.Tripped = true;
    Json::Value Line = lineOf(Which.Order);
    Line["target_good"] = Json::Int64(Seen.Target.Good);
    Line["target_bad"] = Json::Int64(Seen.Target.Bad);
    Line["others_good"] = Json::Int64(Seen.Others.Good);
    Line["others_bad"] = Json::Int64(Seen.Others.Bad);
    Line["target_ms"] = Json::Int64(Seen.Target.FirstByteMs);
    Line["others_ms"] = Json::Int64(Seen.Others.FirstByteMs);
    logEvent(LogLevel::Warn, "rollout_tripped", Line);
    this->Outside.Urge();
  }
  if (Next.Share != Which.ToldShare) {
    Json::Value Line = lineOf(Which.Order);
    Line["share"] = Next.Share;
    Line["elapsed_ms"] = Json::Int64(absl::ToInt64Milliseconds(Elapsed));
    Line["target_good"] = Json::Int64(Seen.Target.Good);
    Line["target_bad"] = Json::Int64(Seen.Target.Bad);
    logEvent(LogLevel::Info, "rollout_share", Line);
  }
  Which.ToldShare = Next.Share;
  this->want(Which, Next.State);
}

void RolloutDesk::want(Entry &Which, RolloutState State) {
  Instant Now = this->Outside.Now();
  if (Which.Known && Which.State == State)
    return;
  if (Which.Wanted != State) {
    Which.Wanted = State;
    Which.WantedSince = Now;
  }
  absl::Duration Waits = WaitForRank * this->Outside.Rank();
  if (Which.Writing || Now - Which.WantedSince < Waits)
    return;
  Which.Writing = true;
  ServiceId Service = Which.Order.Service;
  Json::Value Line = lineOf(Which.Order);
  Line["state"] = stateName(State);
  this->Outside.Write(
      Which.Order, State, [this, Service, Line](const absl::Status &Status) {
        auto Found = this->Entries.find(Service);
        if (Found != this->Entries.end())
          Found->second.Writing = false;
        Json::Value Told = Line;
        Told["result"] = Status.ok() ? "ok" : std::string(Status.message());
        logEvent(LogLevel::Info, "rollout_write", Told);
      });
}

std::vector<ServiceId> RolloutDesk::services() const {
  std::vector<ServiceId> Out;
  for (const auto &[Service, Which] : this->Entries)
    Out.push_back(Service);
  return Out;
}

std::vector<RolloutNote> RolloutDesk::notes() const {
  std::vector<RolloutNote> Out;
  for (const auto &[Service, Which] : this->Entries) {
    RolloutNote Note;
    Note.Order = Which.Id;
    Note.Target = Which.Target;
    Note.Others = Which.Others;
    Note.Tripped = Which.Tripped;
    Note.ElapsedMs =
        absl::ToInt64Milliseconds(this->Outside.Now() - Which.SeenAt);
    Out.push_back(Note);
  }
  return Out;
}

} // namespace berylramp
