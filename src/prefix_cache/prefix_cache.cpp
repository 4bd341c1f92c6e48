//===- prefix_cache.cpp - What engines keep of earlier prompts ------------===//
//
// A ledger lists segments by their last use and drops the least recently used
// ones, as engines do. Tokens of single requests displace shared segments too,
// so they are entries without an id. An index from segments to their holders
// makes a decision independent of the number of tracked segments.
//
//===----------------------------------------------------------------------===//

#include "berylramp/prefix_cache.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace berylramp {

namespace {

/// Weight of the newest request in the mean of private tokens.
constexpr double MeanWeight = 0.1;
/// Segments of an engine that are tracked even if there are many engines.
constexpr size_t MinSegmentsPerEngine = 16;
/// Entries of private tokens last used within this time are one entry.
constexpr absl::Duration PrivateGrain = absl::Milliseconds(250);

} // namespace

PromptUse promptUse(const std::vector<PromptSegment> &Segments,
                    int64_t OutputTokens) {
  PromptUse Use;
  Use.PrivateTokens = std::max<int64_t>(OutputTokens, 0);
  if (Segments.empty())
    return Use;
  Use.Shared.assign(Segments.begin(), Segments.end() - 1);
  Use.PrivateTokens += std::max<int64_t>(Segments.back().Tokens, 0);
  return Use;
}

EngineIndex PrefixCache::add() {
  EngineIndex Engine = 0;
  if (this->Unused.empty()) {
    Engine = static_cast<EngineIndex>(this->Ledgers.size());
    this->Ledgers.emplace_back();
  } else {
    Engine = this->Unused.back();
    this->Unused.pop_back();
  }
  this->Ledgers[Engine].InUse = true;
  return Engine;
}

void PrefixCache::remove(EngineIndex Engine) {
  if (!this->Ledgers[Engine].InUse)
    return;
  this->clear(Engine);
  this->Ledgers[Engine] = Ledger();
  this->Unused.push_back(Engine);
}

void PrefixCache::clear(EngineIndex Engine) {
  EntryList &Entries = this->Ledgers[Engine].Entries;
  while (!Entries.empty())
    this->drop(Engine, Entries.begin());
}

void PrefixCache::setCapacity(EngineIndex Engine, int64_t Tokens) {
  this->Ledgers[Engine].Capacity = Tokens;
}

std::vector<int64_t>
PrefixCache::keptTokens(const std::vector<PromptSegment> &Shared,
                        Instant Now) const {
  std::vector<int64_t> Kept(this->Ledgers.size(), 0);
  int64_t Before = 0;
  // An engine can use a segment only if it keeps all segments before it.
  for (const PromptSegment &Segment : Shared) {
    auto Found = this->BySegment.find(Segment.Id);
    if (Found == this->BySegment.end())
      break;
    for (const Holder &Candidate : Found->second) {
      bool IsFresh = Now - Candidate.Position->LastUse < this->Settings.MaxAge;
      if (IsFresh && Kept[Candidate.Engine] == Before)
        Kept[Candidate.Engine] += Segment.Tokens;
    }
    Before += Segment.Tokens;
  }
  return Kept;
}

int64_t PrefixCache::runningTokens(EngineIndex Engine) const {
  const Ledger &Source = this->Ledgers[Engine];
  return Source.OwnRunning +
         std::llround(Source.OthersRunning * Source.MeanPrivateTokens);
}

int64_t PrefixCache::cachedTokens(EngineIndex Engine) const {
  return this->Ledgers[Engine].Tokens;
}

int64_t PrefixCache::displacedBy(EngineIndex Engine, int64_t Tokens) const {
  const Ledger &Source = this->Ledgers[Engine];
  if (Source.Capacity == 0)
    return 0;
  int64_t Excess =
      Source.Tokens + this->runningTokens(Engine) + Tokens - Source.Capacity;
  int64_t Displaced = 0;
  for (auto Oldest = Source.Entries.rbegin();
       Excess > 0 && Oldest != Source.Entries.rend(); ++Oldest) {
    Displaced += Oldest->Id == 0 ? 0 : Oldest->Tokens;
    Excess -= Oldest->Tokens;
  }
  return Displaced;
}

int64_t PrefixCache::overflowOf(EngineIndex Engine, int64_t Tokens) const {
  const Ledger &Source = this->Ledgers[Engine];
  if (Source.Capacity == 0)
    return 0;
  return std::max<int64_t>(0, this->runningTokens(Engine) + Tokens -
                                  Source.Capacity);
}

void PrefixCache::onStarted(EngineIndex Engine, const PromptUse &Use,
                            Instant Now) {
  this->Ledgers[Engine].OwnRunning += Use.PrivateTokens;
  this->use(Engine, Use, Now);
}

void PrefixCache::onEnded(EngineIndex Engine, const PromptUse &Use,
                          bool Complete, Instant Now) {
  Ledger &Target = this->Ledgers[Engine];
  if (!Target.InUse)
    return;
  Target.OwnRunning =
      std::max<int64_t>(0, Target.OwnRunning - Use.PrivateTokens);
  if (Complete)
    this->insertPrivate(Engine, Use.PrivateTokens, Now);
  this->trim(Engine, Now);
}

void PrefixCache::onReported(EngineIndex Engine, const PromptUse &Use,
                             Instant Now) {
  this->use(Engine, Use, Now);
  this->insertPrivate(Engine, Use.PrivateTokens, Now);
  this->trim(Engine, Now);
}

void PrefixCache::use(EngineIndex Engine, const PromptUse &Use, Instant Now) {
  Ledger &Target = this->Ledgers[Engine];
  auto Tokens = static_cast<double>(std::max<int64_t>(Use.PrivateTokens, 0));
  if (Target.MeanPrivateTokens == 0)
    Target.MeanPrivateTokens = Tokens;
  Target.MeanPrivateTokens += MeanWeight * (Tokens - Target.MeanPrivateTokens);
  // The last segment is inserted first: engines drop the end of a prompt before
  // its beginning.
  for (auto Segment = Use.Shared.rbegin(); Segment != Use.Shared.rend();
       ++Segment)
    this->insert(Engine, *Segment, Now);
  this->trim(Engine, Now);
}

void PrefixCache::setOthersRunning(EngineIndex Engine, int OthersRunning) {
  this->Ledgers[Engine].OthersRunning = std::max(OthersRunning, 0);
}

void PrefixCache::dropUsedUntil(EngineIndex Engine, Instant LastUse) {
  EntryList &Entries = this->Ledgers[Engine].Entries;
  while (!Entries.empty() && !(LastUse < Entries.back().LastUse))
    this->drop(Engine, std::prev(Entries.end()));
}

std::optional<Instant> PrefixCache::lastUse(EngineIndex Engine,
                                            uint64_t Segment) const {
  auto Found = this->BySegment.find(Segment);
  if (Found != this->BySegment.end())
    for (const Holder &Candidate : Found->second)
      if (Candidate.Engine == Engine)
        return Candidate.Position->LastUse;
  return std::nullopt;
}

void PrefixCache::forget(EngineIndex Engine,
                         const std::vector<PromptSegment> &Shared) {
  for (const PromptSegment &Segment : Shared) {
    auto Found = this->BySegment.find(Segment.Id);
    if (Found == this->BySegment.end())
      continue;
    for (const Holder &Candidate : Found->second)
      if (Candidate.Engine == Engine) {
        this->drop(Engine, Candidate.Position);
        break;
      }
  }
}

void PrefixCache::insert(EngineIndex Engine, const PromptSegment &Segment,
                         Instant Now) {
  if (Segment.Id == 0 || Segment.Tokens <= 0)
    return;
  Ledger &Target = this->Ledgers[Engine];
  Holders &Known = this->BySegment[Segment.Id];
  for (const Holder &Candidate : Known)
    if (Candidate.Engine == Engine) {
      EntryList::iterator Position = Candidate.Position;
      Position->LastUse = std::max(Position->LastUse, Now);
      Target.Entries.splice(Target.Entries.begin(), Target.Entries, Position);
      return;
    }
  Target.Entries.push_front({Segment.Id, Segment.Tokens, Now});
  Target.Tokens += Segment.Tokens;
  Target.SharedCount += 1;
  this->SegmentCount += 1;
  Known.push_back({Engine, Target.Entries.begin()});
}

void PrefixCache::insertPrivate(EngineIndex Engine, int64_t Tokens,
                                Instant Now) {
  Ledger &Target = this->Ledgers[Engine];
  // Without a bound, nothing is displaced.
  if (Target.Capacity == 0 || Tokens <= 0)
    return;
  Target.Tokens += Tokens;
  bool Joins = !Target.Entries.empty() && Target.Entries.front().Id == 0 &&
               Now - Target.Entries.front().LastUse < PrivateGrain;
  if (Joins)
    Target.Entries.front().Tokens += Tokens;
  else
    Target.Entries.push_front({0, Tokens, Now});
}

void PrefixCache::drop(EngineIndex Engine, EntryList::iterator Position) {
  Ledger &Target = this->Ledgers[Engine];
  Target.Tokens -= Position->Tokens;
  if (Position->Id != 0) {
    Target.SharedCount -= 1;
    this->SegmentCount -= 1;
    auto Found = this->BySegment.find(Position->Id);
    Holders &Known = Found->second;
    Known.erase(std::remove_if(Known.begin(), Known.end(),
                               [Engine](const Holder &Candidate) {
                                 return Candidate.Engine == Engine;
                               }),
                Known.end());
    if (Known.empty())
      this->BySegment.erase(Found);
  }
  Target.Entries.erase(Position);
}

void PrefixCache::trim(EngineIndex Engine, Instant Now) {
  Ledger &Target = this->Ledgers[Engine];
  size_t EngineCount = this->Ledgers.size() - this->Unused.size();
  size_t MaxShared =
      std::max(MinSegmentsPerEngine, this->Settings.MaxSegments / EngineCount);
  int64_t Room = Target.Capacity == 0
                     ? std::numeric_limits<int64_t>::max()
                     : Target.Capacity - this->runningTokens(Engine);
  while (!Target.Entries.empty() &&
         (Target.Tokens > Room || Target.SharedCount > MaxShared ||
          Now - Target.Entries.back().LastUse >= this->Settings.MaxAge))
    this->drop(Engine, std::prev(Target.Entries.end()));
}

} // namespace berylramp
