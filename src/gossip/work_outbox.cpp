//===- work_outbox.cpp - Digests of sent prompts --------------------------===//

#include "berylramp/gossip.h"

#include <algorithm>

namespace berylramp {

WorkDigest WorkOutbox::take(size_t Recipients) {
  WorkDigest Digest = std::move(this->Pending);
  this->Pending.clear();
  size_t Room = std::min(MaxReportedWork,
                         MaxEntriesSent / std::max<size_t>(Recipients, 1));
  Room = std::max<size_t>(Room, 1);
  if (Digest.size() > Room) {
    std::stable_sort(Digest.begin(), Digest.end(),
                     [](const WorkReport &A, const WorkReport &B) {
                       return A.WorkMs > B.WorkMs;
                     });
    Digest.resize(Room);
  }
  return Digest;
}

} // namespace berylramp
