//===- claims_test.cpp - Tests the fold of at-most-once claims ------------===//

#include "berylramp/claims.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

namespace berylramp {
namespace {

constexpr int64_t Epoch = 1700000000000;

ClaimIdentity identity(const std::string &Key) {
  return ClaimIdentity{WorkspaceId("w"), Key, Epoch};
}

Claim claimOf(const std::string &Key, const std::string &Attempt,
              const std::string &Body = "body") {
  return Claim{identity(Key), Body, HostId("host-" + Attempt), Incarnation(1),
               AttemptId(Attempt)};
}

void foldOne(ClaimState &State, const std::string &Encoded,
             int64_t AtMillis = Epoch) {
  foldClaims(State, State.Applied + Offset(1), absl::FromUnixMillis(AtMillis),
             joinRecords({Encoded}), ClaimWindow{});
}

ClaimVerdict verdictOf(const ClaimState &State, const std::string &Key,
                       const std::string &Attempt) {
  return evaluateClaim(State, identity(Key), AttemptId(Attempt), "body")
      .Verdict;
}

// Verifies that the lower offset wins, on the word of the log alone.
TEST_CASE("Claims give an order to the lowest offset") {
  ClaimState State;
  foldOne(State, encodeClaim(claimOf("k", "a")));
  foldOne(State, encodeClaim(claimOf("k", "b")));
  CHECK(verdictOf(State, "k", "a") == ClaimVerdict::Won);
  CHECK(verdictOf(State, "k", "b") == ClaimVerdict::Lost);
}

// Verifies that a void hands the order on, and that a claim that lands after
// its own void is void too.
TEST_CASE("Claims honour a void that lands before or after its claim") {
  ClaimState State;
  foldOne(State, encodeVoid(identity("k"), AttemptId("late")));
  foldOne(State, encodeClaim(claimOf("k", "late")));
  CHECK(verdictOf(State, "k", "late") == ClaimVerdict::NotFound);
  foldOne(State, encodeClaim(claimOf("k", "b")));
  CHECK(verdictOf(State, "k", "b") == ClaimVerdict::Won);
  foldOne(State, encodeVoid(identity("k"), AttemptId("b")));
  foldOne(State, encodeClaim(claimOf("k", "c")));
  CHECK(verdictOf(State, "k", "c") == ClaimVerdict::Won);
}

// Verifies that an order that ran cannot be made void.
TEST_CASE("Claims keep an order that is done") {
  ClaimState State;
  foldOne(State, encodeClaim(claimOf("k", "a")));
  foldOne(State, encodeDone(ClaimDone{identity("k"), AttemptId("a"), "out"}));
  foldOne(State, encodeVoid(identity("k"), AttemptId("a")));
  foldOne(State, encodeClaim(claimOf("k", "b")));
  CHECK(verdictOf(State, "k", "b") == ClaimVerdict::AlreadyDone);
}

// Verifies that one key cannot stand for two bodies.
TEST_CASE("Claims refuse a key that comes with another body") {
  ClaimState State;
  foldOne(State, encodeClaim(claimOf("k", "a")));
  foldOne(State, encodeClaim(claimOf("k", "b", "other")));
  ClaimEvaluation Judged =
      evaluateClaim(State, identity("k"), AttemptId("b"), "other");
  CHECK(Judged.Verdict == ClaimVerdict::BodyMismatch);
}

// Verifies that an operator's word frees or closes exactly the attempt named.
TEST_CASE("Claims resolve a doubt for the named attempt only") {
  ClaimState State;
  foldOne(State, encodeClaim(claimOf("k", "a")));
  std::string NotRun =
      encodeResolved(identity("k"), AttemptId("a"), false, "op");
  foldOne(State, NotRun);
  foldOne(State, encodeClaim(claimOf("k", "b")));
  foldOne(State, NotRun);
  CHECK(verdictOf(State, "k", "b") == ClaimVerdict::Won);
  foldOne(State, encodeResolved(identity("k"), AttemptId("b"), true, "op"));
  foldOne(State, encodeClaim(claimOf("k", "c")));
  CHECK(verdictOf(State, "k", "c") == ClaimVerdict::AlreadyDone);
}

// Verifies that an identity is forgotten by the log's time, and that claims
// outside the window are not taken.
TEST_CASE("Claims outside the window are neither kept nor taken") {
  ClaimState State;
  ClaimWindow Window;
  foldOne(State, encodeClaim(claimOf("k", "a")));
  int64_t After = Epoch + absl::ToInt64Milliseconds(Window.Length) + 60000;
  foldOne(State, "{\"type\":\"noise\"}", After);
  CHECK(State.ClaimsByIdentity.empty());
  foldOne(State, encodeClaim(claimOf("k", "b")), After + 1);
  CHECK(verdictOf(State, "k", "b") == ClaimVerdict::NotFound);
}

// Verifies that a fold that began in the middle of the stream does not judge
// identities that may have been claimed before.
TEST_CASE("Claims are not judged across a gap") {
  ClaimState State;
  ClaimWindow Window;
  State.CompleteFrom = absl::FromUnixMillis(Epoch);
  CHECK_FALSE(coversIdentity(State, identity("k"), Window));
  ClaimIdentity Later = identity("k");
  Later.IssuedMillis += absl::ToInt64Milliseconds(Window.MaxClockSkew);
  CHECK(coversIdentity(State, Later, Window));
}

/// One host that tries to run an order: the rules that the claim desk follows,
/// over a log whose appends may be lost, doubled or late.
struct Attempter {
  std::string Name;
  ClaimState Fold;
  bool Appended = false;
  bool Decided = false;
  bool Dispatched = false;
  bool SaidNotRun = false;
};

// Verifies that whatever the interleaving of appends, doubled appends, reads,
// pauses and decisions to give up, at most one attempt dispatches, and none
// that said "not run" does.
TEST_CASE("Claims let at most one attempt dispatch in any interleaving") {
  rc::prop("one dispatch, and none after 'not run'", [] {
    std::vector<std::string> Log;
    std::vector<std::string> Delayed;
    std::vector<Attempter> Hosts(4);
    for (size_t I = 0; I < Hosts.size(); ++I)
      Hosts[I].Name = "attempt-" + std::to_string(I);
    int Steps = *rc::gen::inRange(10, 80);
    int Dispatches = 0;
    for (int Step = 0; Step < Steps; ++Step) {
      Attempter &Host = Hosts[*rc::gen::inRange<size_t>(0, Hosts.size())];
      std::string Record = encodeClaim(claimOf("k", Host.Name));
      switch (*rc::gen::inRange(0, 6)) {
      case 0: // Append, perhaps twice, perhaps late.
        if (Host.Decided)
          break;
        Host.Appended = true;
        if (*rc::gen::arbitrary<bool>())
          Log.push_back(Record);
        else
          Delayed.push_back(Record);
        break;
      case 1: // A late append lands.
        if (!Delayed.empty()) {
          Log.push_back(Delayed.back());
          Delayed.pop_back();
        }
        break;
      case 2:
      case 3: // Read a part of the log and judge.
        for (int I = *rc::gen::inRange(0, 4); I > 0; --I) {
          size_t Next = static_cast<size_t>(Host.Fold.Applied.count() + 1);
          if (Next < Log.size())
            foldOne(Host.Fold, Log[Next]);
        }
        if (!Host.Decided &&
            verdictOf(Host.Fold, "k", Host.Name) == ClaimVerdict::Won) {
          Host.Decided = true;
          Host.Dispatched = true;
          ++Dispatches;
        }
        break;
      case 4: // Give up: never dispatch, write a void.
        if (!Host.Decided) {
          Host.Decided = true;
          Host.SaidNotRun = true;
          Log.push_back(encodeVoid(identity("k"), AttemptId(Host.Name)));
        }
        break;
      case 5: // A host that starts anew reads all from the beginning.
        Host.Fold = ClaimState{};
        break;
      }
      RC_ASSERT(Dispatches <= 1);
      RC_ASSERT(!(Host.Dispatched && Host.SaidNotRun));
    }
  });
}

// Verifies that no text makes the fold crash.
TEST_CASE("Claims survive hostile records") {
  rc::prop("any text folds", [] {
    ClaimState State;
    std::string Text = *rc::gen::arbitrary<std::string>();
    foldClaims(State, Offset(0), absl::FromUnixMillis(Epoch), Text,
               ClaimWindow{});
    foldClaims(State, Offset(1), absl::FromUnixMillis(Epoch),
               "[{\"type\":\"claim\",\"id\":" + Text + "}]", ClaimWindow{});
    RC_ASSERT(State.Applied == Offset(1));
  });
}

} // namespace
} // namespace berylramp
