//===- record_cache.h - Cache of store records for peers --------*- C++ -*-===//
//
// Caches the newest value of each key that this host has read, and serves peers
// the records after the offset that they have reached.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EDGE_RECORD_CACHE_H
#define BERYLRAMP_EDGE_RECORD_CACHE_H

#include "berylramp/edge.h"

namespace berylramp {

/// Records of one topic that a host transfers to a peer.
struct RecordBatch {
  /// The era of the offset.
  StoreEra Era;
  /// Offset of the sender's next read; NoOffset before its first read.
  Offset Next = NoOffset;
  /// True: the records are all existing keys. False: the records are the keys
  /// that changed since the requested offset.
  bool IsSnapshot = false;
  std::vector<StoreRecord> Records;

  StorePosition position() const { return {this->Era, this->Next}; }
};

/// A host's request for records: the position that it has reached in each
/// topic.
struct PeerQuery {
  StorePosition Operators;
  StorePosition States;
  StorePosition Replicas;
};

/// Records of all topics that a host transfers to a peer.
struct PeerRecords {
  RecordBatch Operators;
  RecordBatch States;
  RecordBatch Replicas;
  /// The store recovered recently: entries of live replicas may be missing.
  bool StoreRecentlyRecovered = false;
  /// Time since the sender's replica entries were read from the store.
  absl::Duration Age;
};

std::string encodePeerRecords(const PeerRecords &Records);
absl::StatusOr<PeerRecords> decodePeerRecords(const std::string &Text);

/// Path of the endpoint that serves records to peers; a query string follows.
inline constexpr const char *PeerRecordsPath = "/peer/records";
std::string encodePeerQuery(const PeerQuery &Query);
/// Fields that are missing or not numbers become NoOffset.
PeerQuery decodePeerQuery(const std::string &Target);

class RecordCache {
public:
  /// Begins to cache records of \p Era. The values cached so far stay, but as
  /// records of no offset; until the next snapshot, peers receive nothing.
  void enterEra(StoreTopic Topic, StoreEra Era);
  /// Drops a record that the store no longer has.
  void drop(StoreTopic Topic, const std::string &Key);
  /// Stores a record that lies before \p ReadTo. A value equal to the cached
  /// one changes nothing.
  void put(StoreTopic Topic, const StoreRecord &Record, Offset ReadTo);
  /// Marks all records before \p Next as cached. \p IsSnapshot: the records
  /// read were all keys that existed at that offset.
  void advance(StoreTopic Topic, Offset Next, bool IsSnapshot);
  /// The keys that changed after \p From, or a snapshot when the cache does not
  /// cover the changes since then.
  RecordBatch since(StoreTopic Topic, StorePosition From) const;
  const std::string *find(StoreTopic Topic, const std::string &Key) const;

private:
  struct Row {
    /// Empty when the key was deleted.
    std::optional<std::string> Text;
    /// The record lies before this offset.
    Offset Before = NoOffset;
  };
  struct TopicRows {
    StoreEra Era;
    std::map<std::string, Row> Rows;
    /// The cache has all changes after this offset; NoOffset before the first
    /// read.
    Offset CompleteFrom = NoOffset;
    Offset Next = NoOffset;
  };

  std::map<StoreTopic, TopicRows> Topics;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_RECORD_CACHE_H
