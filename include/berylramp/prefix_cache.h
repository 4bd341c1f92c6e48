//===- prefix_cache.h - What engines keep of earlier prompts ----*- C++ -*-===//
//
// Keeps a ledger of the prompt segments in the memory of each engine, and of
// the requests that run there. The cache opens no sockets and reads no clock.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_PREFIX_CACHE_H
#define BERYLRAMP_PREFIX_CACHE_H

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "absl/time/time.h"
#include "berylramp/timer.h"
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <vector>

namespace berylramp {

/// One segment of a prompt. Requests with the same segment share its text; the
/// last segment of a prompt belongs to the request alone. Segments of different
/// models have different ids.
struct PromptSegment {
  uint64_t Id = 0;
  int64_t Tokens = 0;
};

/// What a prompt leaves in the memory of an engine.
struct PromptUse {
  /// The shared segments, in order.
  std::vector<PromptSegment> Shared;
  /// Tokens of the prompt and of the answer that no other request uses.
  int64_t PrivateTokens = 0;
};

PromptUse promptUse(const std::vector<PromptSegment> &Segments,
                    int64_t OutputTokens);

/// The number of an engine in the cache.
using EngineIndex = uint32_t;

/// Bounds of the cache's own memory.
struct PrefixCacheSettings {
  /// Segments tracked at all engines together, about 160 bytes each.
  size_t MaxSegments = 65536;
  /// A segment unused for this long is dropped: requests that this host was not
  /// told of have displaced it.
  absl::Duration MaxAge = absl::Seconds(120);
};

/// The ledgers of all engines.
class PrefixCache {
public:
  explicit PrefixCache(PrefixCacheSettings Settings = PrefixCacheSettings())
      : Settings(Settings) {}

  /// Adds an engine that keeps nothing yet.
  EngineIndex add();
  /// Removes an engine; its number is used again.
  void remove(EngineIndex Engine);
  /// The engine restarted, or lost its memory.
  void clear(EngineIndex Engine);
  /// The engine's memory in tokens. Unbounded until it is set.
  void setCapacity(EngineIndex Engine, int64_t Tokens);

  /// Tokens of the leading segments of \p Shared that each engine keeps, by
  /// number.
  std::vector<int64_t> keptTokens(const std::vector<PromptSegment> &Shared,
                                  Instant Now) const;
  /// Tokens of shared segments that an engine would drop to make room for
  /// \p Tokens more.
  int64_t displacedBy(EngineIndex Engine, int64_t Tokens) const;
  /// Tokens by which \p Tokens more would exceed the memory that running
  /// requests leave.
  int64_t overflowOf(EngineIndex Engine, int64_t Tokens) const;

  /// A request of this host starts at the engine.
  void onStarted(EngineIndex Engine, const PromptUse &Use, Instant Now);
  /// A request of this host ended. \p Complete states that its prompt was read.
  void onEnded(EngineIndex Engine, const PromptUse &Use, bool Complete,
               Instant Now);
  /// Another host sent a request to the engine.
  void onReported(EngineIndex Engine, const PromptUse &Use, Instant Now);
  /// Requests of all hosts run at the engine; \p OthersRunning of them are not
  /// this host's.
  void setOthersRunning(EngineIndex Engine, int OthersRunning);
  /// A request showed that the engine had dropped a segment which was last
  /// used at \p LastUse. It drops what was used before first.
  void dropUsedUntil(EngineIndex Engine, Instant LastUse);
  /// The request that was to read \p Shared did not run.
  void forget(EngineIndex Engine, const std::vector<PromptSegment> &Shared);
  /// When the engine last used the segment; nothing if it is not kept.
  std::optional<Instant> lastUse(EngineIndex Engine, uint64_t Segment) const;

  size_t segmentCount() const { return this->SegmentCount; }
  int64_t cachedTokens(EngineIndex Engine) const;
  int64_t runningTokens(EngineIndex Engine) const;

private:
  /// Shared segments have an id; tokens of single requests have none.
  struct Entry {
    uint64_t Id = 0;
    int64_t Tokens = 0;
    Instant LastUse;
  };
  using EntryList = std::list<Entry>;
  struct Ledger {
    bool InUse = false;
    /// 0 is unbounded.
    int64_t Capacity = 0;
    /// Most recently used first.
    EntryList Entries;
    int64_t Tokens = 0;
    size_t SharedCount = 0;
    int64_t OwnRunning = 0;
    int OthersRunning = 0;
    /// Moving mean of the private tokens of a request.
    double MeanPrivateTokens = 0;
  };
  struct Holder {
    EngineIndex Engine = 0;
    EntryList::iterator Position;
  };
  using Holders = absl::InlinedVector<Holder, 2>;

  void use(EngineIndex Engine, const PromptUse &Use, Instant Now);
  void insert(EngineIndex Engine, const PromptSegment &Segment, Instant Now);
  void insertPrivate(EngineIndex Engine, int64_t Tokens, Instant Now);
  void drop(EngineIndex Engine, EntryList::iterator Position);
  /// Drops the least recently used entries that exceed the memory.
  void trim(EngineIndex Engine, Instant Now);

  PrefixCacheSettings Settings;
  std::vector<Ledger> Ledgers;
  std::vector<EngineIndex> Unused;
  absl::flat_hash_map<uint64_t, Holders> BySegment;
  size_t SegmentCount = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_PREFIX_CACHE_H
