//===- claims_test.cpp - Tests the fold of at-most-once claims ------------===//

#include "berylramp/claims.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

namespace berylramp {
namespace {

constexpr int64_t EpochMillis = 1700000000000;

ClaimIdentity makeIdentity(const std::string &Key) {
  return ClaimIdentity{WorkspaceId("w"), Key, EpochMillis};
}

Claim makeClaim(const std::string &Key, const std::string &Attempt,
                const std::string &Body = "body") {
  return Claim{makeIdentity(Key), Body, HostId("host-" + Attempt),
               Incarnation(1), AttemptId(Attempt)};
}

void foldOne(ClaimState &State, const std::string &Encoded,
             int64_t AppendedAtMillis = EpochMillis) {
  foldClaims(State, State.Applied + Offset(1),
             absl::FromUnixMillis(AppendedAtMillis), joinRecords({Encoded}),
             ClaimWindow{});
}

ClaimVerdict verdictOf(const ClaimState &State, const std::string &Key,
                       const std::string &Attempt) {
  return evaluateClaim(State, makeIdentity(Key), AttemptId(Attempt), "body")
      .Verdict;
}

// Verifies that the claim with the lower offset in the log wins.
TEST_CASE("Claims go to the attempt with the lowest offset") {
  ClaimState State;
  foldOne(State, encodeClaim(makeClaim("k", "a")));
  foldOne(State, encodeClaim(makeClaim("k", "b")));
  CHECK(verdictOf(State, "k", "a") == ClaimVerdict::Won);
  CHECK(verdictOf(State, "k", "b") == ClaimVerdict::Lost);
}

// Verifies that a void lets the next claim win, and that a claim that is
// appended after its own void is void too.
TEST_CASE("Claims honour a void appended before or after its claim") {
  ClaimState State;
  foldOne(State, encodeVoid(makeIdentity("k"), AttemptId("late")));
  foldOne(State, encodeClaim(makeClaim("k", "late")));
  CHECK(verdictOf(State, "k", "late") == ClaimVerdict::NotFound);
  foldOne(State, encodeClaim(makeClaim("k", "b")));
  CHECK(verdictOf(State, "k", "b") == ClaimVerdict::Won);
  foldOne(State, encodeVoid(makeIdentity("k"), AttemptId("b")));
  foldOne(State, encodeClaim(makeClaim("k", "c")));
  CHECK(verdictOf(State, "k", "c") == ClaimVerdict::Won);
}

// Verifies that a claim whose request has run cannot be voided.
TEST_CASE("Claims that are done stay done after a void") {
  ClaimState State;
  foldOne(State, encodeClaim(makeClaim("k", "a")));
  foldOne(State,
          encodeDone(ClaimDone{makeIdentity("k"), AttemptId("a"), "out"}));
  foldOne(State, encodeVoid(makeIdentity("k"), AttemptId("a")));
  foldOne(State, encodeClaim(makeClaim("k", "b")));
  CHECK(verdictOf(State, "k", "b") == ClaimVerdict::AlreadyDone);
}

// Verifies that one idempotency key cannot be used for two request bodies.
TEST_CASE("Claims refuse a key that comes with another body") {
  ClaimState State;
  foldOne(State, encodeClaim(makeClaim("k", "a")));
  foldOne(State, encodeClaim(makeClaim("k", "b", "other")));
  ClaimEvaluation Evaluation =
      evaluateClaim(State, makeIdentity("k"), AttemptId("b"), "other");
  CHECK(Evaluation.Verdict == ClaimVerdict::BodyMismatch);
}

// Verifies that an operator's resolution of an unknown outcome affects only the
// named attempt: "not run" releases its claim, "run" marks it as done.
TEST_CASE("Claims apply an operator's resolution to its attempt only") {
  ClaimState State;
  foldOne(State, encodeClaim(makeClaim("k", "a")));
  std::string NotRunRecord =
      encodeResolved(makeIdentity("k"), AttemptId("a"), false, "op");
  foldOne(State, NotRunRecord);
  foldOne(State, encodeClaim(makeClaim("k", "b")));
  foldOne(State, NotRunRecord);
  CHECK(verdictOf(State, "k", "b") == ClaimVerdict::Won);
  foldOne(State, encodeResolved(makeIdentity("k"), AttemptId("b"), true, "op"));
  foldOne(State, encodeClaim(makeClaim("k", "c")));
  CHECK(verdictOf(State, "k", "c") == ClaimVerdict::AlreadyDone);
}

// Verifies that an identity is removed when the claim window has passed by the
// log's time, and that claims outside the window are ignored.
TEST_CASE("Claims outside the window are neither kept nor accepted") {
  ClaimState State;
  ClaimWindow Window;
  foldOne(State, encodeClaim(makeClaim("k", "a")));
  int64_t AfterWindowMillis =
      EpochMillis + absl::ToInt64Milliseconds(Window.Length) + 60000;
  foldOne(State, "{\"type\":\"noise\"}", AfterWindowMillis);
  CHECK(State.ClaimsByIdentity.empty());
  foldOne(State, encodeClaim(makeClaim("k", "b")), AfterWindowMillis + 1);
  CHECK(verdictOf(State, "k", "b") == ClaimVerdict::NotFound);
}

// Verifies that a fold that begins in the middle of the stream does not cover
// identities that may have been claimed before its start.
TEST_CASE("Claims are not evaluated across a gap") {
  ClaimState State;
  ClaimWindow Window;
  State.CompleteFrom = absl::FromUnixMillis(EpochMillis);
  CHECK_FALSE(coversIdentity(State, makeIdentity("k"), Window));
  ClaimIdentity Later = makeIdentity("k");
  Later.IssuedMillis += absl::ToInt64Milliseconds(Window.MaxClockSkew);
  CHECK(coversIdentity(State, Later, Window));
}

/// One host that tries to run a non-idempotent request by the rules of
/// ClaimManager, over a log whose appends may be lost, duplicated or delayed.
struct SimulatedHost {
  std::string Name;
  ClaimState Claims;
  bool Appended = false;
  bool Decided = false;
  bool Dispatched = false;
  bool ReportedNotRun = false;
};

// Verifies for random interleavings of appends, duplicate appends, reads,
// restarts and abandoned attempts that at most one attempt dispatches, and that
// no attempt dispatches after it reported "not run".
TEST_CASE("Claims let at most one attempt dispatch in any interleaving") {
  rc::prop("one dispatch, and none after 'not run'", [] {
    std::vector<std::string> Log;
    std::vector<std::string> PendingAppends;
    std::vector<SimulatedHost> Hosts(4);
    for (size_t I = 0; I < Hosts.size(); ++I)
      Hosts[I].Name = "attempt-" + std::to_string(I);
    int Steps = *rc::gen::inRange(10, 80);
    int Dispatches = 0;
    for (int Step = 0; Step < Steps; ++Step) {
      SimulatedHost &Host = Hosts[*rc::gen::inRange<size_t>(0, Hosts.size())];
      std::string Record = encodeClaim(makeClaim("k", Host.Name));
      switch (*rc::gen::inRange(0, 6)) {
      case 0: // Append now or later; may be repeated.
        if (Host.Decided)
          break;
        Host.Appended = true;
        if (*rc::gen::arbitrary<bool>())
          Log.push_back(Record);
        else
          PendingAppends.push_back(Record);
        break;
      case 1: // A delayed append reaches the log.
        if (!PendingAppends.empty()) {
          Log.push_back(PendingAppends.back());
          PendingAppends.pop_back();
        }
        break;
      case 2:
      case 3: // Read a part of the log and evaluate the claim.
        for (int I = *rc::gen::inRange(0, 4); I > 0; --I) {
          size_t NextOffset =
              static_cast<size_t>(Host.Claims.Applied.count() + 1);
          if (NextOffset < Log.size())
            foldOne(Host.Claims, Log[NextOffset]);
        }
        if (!Host.Decided &&
            verdictOf(Host.Claims, "k", Host.Name) == ClaimVerdict::Won) {
          Host.Decided = true;
          Host.Dispatched = true;
          ++Dispatches;
        }
        break;
      case 4: // Abandon the attempt: never dispatch, append a void.
        if (!Host.Decided) {
          Host.Decided = true;
          Host.ReportedNotRun = true;
          Log.push_back(encodeVoid(makeIdentity("k"), AttemptId(Host.Name)));
        }
        break;
      case 5: // A restarted host reads the log from the beginning.
        Host.Claims = ClaimState{};
        break;
      }
      RC_ASSERT(Dispatches <= 1);
      RC_ASSERT(!(Host.Dispatched && Host.ReportedNotRun));
    }
  });
}

// Verifies that no record text crashes the fold.
TEST_CASE("Claims survive hostile records") {
  rc::prop("any text folds", [] {
    ClaimState State;
    std::string Input = *rc::gen::arbitrary<std::string>();
    foldClaims(State, Offset(0), absl::FromUnixMillis(EpochMillis), Input,
               ClaimWindow{});
    foldClaims(State, Offset(1), absl::FromUnixMillis(EpochMillis),
               "[{\"type\":\"claim\",\"id\":" + Input + "}]", ClaimWindow{});
    RC_ASSERT(State.Applied == Offset(1));
  });
}

} // namespace
} // namespace berylramp
