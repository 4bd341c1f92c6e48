//===- record_book.h - The store's records, for peers -----------*- C++ -*-===//
//
// Keeps the newest text of each key that this host has read, and gives peers
// what changed since they asked last.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_EDGE_RECORD_BOOK_H
#define BERYLRAMP_EDGE_RECORD_BOOK_H

#include "berylramp/edge.h"

namespace berylramp {

/// A position in one host's book.
struct BookMark {
  Incarnation Life;
  int64_t Sequence = 0;
};

/// What a host asks a peer for.
struct PeerQuery {
  /// Where the last answer of the same peer ended.
  BookMark Since;
  /// Age of the replicas' entries that the asking host has.
  absl::Duration OwnAge = absl::InfiniteDuration();
};

/// Records that one host hands to another.
struct PeerRecords {
  BookMark Mark;
  /// True: all records that exist. False: those that changed since the mark
  /// that was asked for.
  bool Whole = true;
  std::vector<StoreRecord> Operators;
  std::vector<StoreRecord> States;
  std::vector<StoreRecord> Replicas;
  /// The replicas' entries are not among the records: those that the asking
  /// host has are about as new, but may differ from the mark.
  bool ReplicasLeftOut = false;
  /// Where the sender's next read of the replicas' entries continues.
  Offset ReplicasNext = NoOffset;
  /// The store came back a moment ago: entries may be missing that live.
  bool StoreJustBack = false;
  /// Time since the sender last read the replicas' entries from the store.
  absl::Duration Age;
};

std::string encodePeerRecords(const PeerRecords &Records);
absl::StatusOr<PeerRecords> decodePeerRecords(const std::string &Text);

/// The path under which a host hands out its records, with a query behind it.
inline constexpr const char *PeerRecordsPath = "/peer/records";
std::string encodePeerQuery(const PeerQuery &Query);
/// Fields that are missing or no numbers keep their defaults.
PeerQuery decodePeerQuery(const std::string &Target);

class RecordBook {
public:
  explicit RecordBook(Incarnation Life) : Life(Life) {}

  /// Notes a record; a text that is known already changes nothing.
  void put(StoreTopic Topic, const StoreRecord &Record);
  /// What changed since \p Since, or everything for a mark of another life.
  PeerRecords since(const BookMark &Since) const;
  /// The same without the replicas' entries where that would be all of them
  /// and \p Age, the age of those here, makes them hardly newer.
  PeerRecords answer(const PeerQuery &Query, absl::Duration Age) const;
  const std::string *find(StoreTopic Topic, const std::string &Key) const;

private:
  struct Row {
    /// Empty when the key was dropped.
    std::optional<std::string> Text;
    int64_t Sequence = 0;
  };
  using Rows = std::map<std::string, Row>;
  static std::vector<StoreRecord> changed(const Rows &From, int64_t Since,
                                          bool Whole);

  Incarnation Life;
  int64_t Sequence = 0;
  std::map<StoreTopic, Rows> Topics;
};

} // namespace berylramp

#endif // BERYLRAMP_EDGE_RECORD_BOOK_H
