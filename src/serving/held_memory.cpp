//===- held_memory.cpp - Ends holders when memory is short ----------------===//

#include "held_memory.h"

#include "berylramp/json.h"
#include <boost/asio/post.hpp>
#include <utility>

namespace berylramp {

namespace {

/// Interval of searches for a slow holder that find none.
constexpr absl::Duration SearchInterval = absl::Milliseconds(10);

} // namespace

bool HeldMemory::isSearchDue() const {
  return this->Bytes.isExceeded() &&
         (this->Bytes.total() > this->Bytes.bounds().Total ||
          !(this->Timer.now() < this->NextSearchAt));
}

void HeldMemory::set(HeldBytes &Target, int64_t Count) {
  bool Grows = Count > Target.Count;
  if (Count > 0)
    this->Open[Target.Description.Id] = &Target;
  else
    this->Open.erase(Target.Description.Id);
  this->Bytes.set(Target.Description, Count, this->Timer.now());
  if (!Grows || this->IsScheduled || !this->isSearchDue())
    return;
  this->IsScheduled = true;
  boost::asio::post(this->Loop, [Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->endSlowest();
  });
}

void HeldMemory::endSlowest() {
  this->IsScheduled = false;
  while (std::optional<uint64_t> Id = this->Bytes.nextToEnd(this->Timer.now()))
    this->Open.at(*Id)->end();
  this->NextSearchAt = this->Timer.now() + SearchInterval;
}

void HeldMemory::logEnd(const HeldBytes &Target) const {
  Json::Value Line(Json::objectValue);
  Line["request"] = Target.Request;
  Line["kind"] = heldKindName(Target.Description.Kind);
  Line["held_bytes"] = Json::Int64(Target.Count);
  Line["owner_bytes"] =
      Json::Int64(this->Bytes.ofOwner(Target.Description.Owner));
  Line["sum_bytes"] = Json::Int64(this->Bytes.total());
  Line["bound_bytes"] = Json::Int64(this->Bytes.bounds().Total);
  logEvent(LogLevel::Warn, "slow_reader_ended", Line);
}

HeldBytes::HeldBytes(HeldMemoryPtr Memory, HeldKind Kind)
    : Memory(std::move(Memory)) {
  this->Description.Kind = Kind;
  if (this->Memory != nullptr)
    this->Description.Id = this->Memory->NextId++;
}

void HeldBytes::set(int64_t NewCount) {
  if (NewCount == this->Count)
    return;
  if (this->Memory != nullptr)
    this->Memory->set(*this, NewCount);
  this->Count = NewCount;
}

void HeldBytes::update() {
  if (this->Memory != nullptr && this->Count > 0)
    this->Memory->set(*this, this->Count);
}

void HeldBytes::identify(uint64_t Owner, const std::string &RequestId) {
  this->Description.Owner = Owner;
  this->Request = RequestId;
  this->update();
}

void HeldBytes::setEnd(std::function<void()> Call) {
  this->OnEnd = std::move(Call);
  this->Description.MayEnd = this->OnEnd != nullptr;
  this->update();
}

void HeldBytes::setMayEnd(bool MayEnd) {
  bool Changed = this->Description.MayEnd != (MayEnd && this->OnEnd != nullptr);
  this->Description.MayEnd = MayEnd && this->OnEnd != nullptr;
  if (Changed)
    this->update();
}

void HeldBytes::end() {
  std::function<void()> Call = std::exchange(this->OnEnd, nullptr);
  if (this->Memory != nullptr) {
    this->Memory->Counters.count(Counter::SlowReadersEnded);
    this->Memory->logEnd(*this);
  }
  this->setEnd(nullptr);
  if (Call)
    Call();
}

} // namespace berylramp
