//===- record_book.h - The store's records, for peers -----------*- C++ -*-===//
//
// Keeps the newest text of each key that this host has read, and gives peers
// what is newer than the offset that they have reached.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EDGE_RECORD_BOOK_H
#define BERYLRAMP_EDGE_RECORD_BOOK_H

#include "berylramp/edge.h"

namespace berylramp {

/// A part of a topic that one host hands to another.
struct RecordBatch {
  /// Where the sender's next read continues; NoOffset when it knows nothing.
  Offset Next = NoOffset;
  /// True: all keys that exist. False: those that changed since the offset
  /// that was asked for.
  bool Whole = false;
  std::vector<StoreRecord> Records;
};

/// What a host asks a peer for: how far it has read each topic.
struct PeerQuery {
  Offset Operators = NoOffset;
  Offset States = NoOffset;
  Offset Replicas = NoOffset;
};

/// Records that one host hands to another.
struct PeerRecords {
  RecordBatch Operators;
  RecordBatch States;
  RecordBatch Replicas;
  /// The store came back a moment ago: entries may be missing that live.
  bool StoreJustBack = false;
  /// Time since the sender's entries of replicas were read from the store.
  absl::Duration Age;
};

std::string encodePeerRecords(const PeerRecords &Records);
absl::StatusOr<PeerRecords> decodePeerRecords(const std::string &Text);

/// The path under which a host hands out its records, with a query behind it.
inline constexpr const char *PeerRecordsPath = "/peer/records";
std::string encodePeerQuery(const PeerQuery &Query);
/// Fields that are missing or no numbers stand for NoOffset.
PeerQuery decodePeerQuery(const std::string &Target);

class RecordBook {
public:
  /// Notes a record that lies before \p ReadTo; a text that is known already
  /// changes nothing.
  void put(StoreTopic Topic, const StoreRecord &Record, Offset ReadTo);
  /// All records before \p Next are in the book; \p Whole: they were all keys
  /// that existed there.
  void reached(StoreTopic Topic, Offset Next, bool Whole);
  /// What changed at or behind \p From; everything where the book does not go
  /// back that far.
  RecordBatch since(StoreTopic Topic, Offset From) const;
  const std::string *find(StoreTopic Topic, const std::string &Key) const;

private:
  struct Row {
    /// Empty when the key was dropped.
    std::optional<std::string> Text;
    /// The record lies before this offset.
    Offset Before = NoOffset;
  };
  struct TopicRows {
    std::map<std::string, Row> Rows;
    /// Changes behind this offset are all here; NoOffset before the first
    /// read.
    Offset CompleteFrom = NoOffset;
    Offset Next = NoOffset;
  };

  std::map<StoreTopic, TopicRows> Topics;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_RECORD_BOOK_H
