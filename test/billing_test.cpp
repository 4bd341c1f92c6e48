//===- billing_test.cpp - Tests the fold and the buffer of bills ----------===//

#include "berylramp/billing.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace berylramp {
namespace {

Bill billOf(const std::string &Request, int64_t Cost) {
  Bill Out;
  Out.Workspace = WorkspaceId("w");
  Out.Request = RequestId(Request);
  Out.Version = VersionKey{ModelId("m"), VersionId("v")};
  Out.Cost = MicroCost(Cost);
  Out.Origin = HostId("h");
  return Out;
}

// Verifies that however often and by whomever a bill is appended, its first
// record alone counts.
TEST_CASE("Bills count once in any order of repeated records") {
  rc::prop("each key has one bill, the first", [] {
    BillState State;
    std::map<std::string, int64_t> First;
    int Records = *rc::gen::inRange(1, 20);
    for (int At = 0; At < Records; ++At) {
      std::vector<Bill> Batch;
      for (int I = *rc::gen::inRange(0, 4); I > 0; --I) {
        int Number = *rc::gen::inRange(0, 5);
        int64_t Cost = *rc::gen::inRange(1, 100);
        Batch.push_back(billOf("r" + std::to_string(Number), Cost));
        First.emplace(Batch.back().key(), Cost);
      }
      foldBills(State, Offset(At), encodeBills(Batch));
      foldBills(State, Offset(At), encodeBills(Batch));
    }
    RC_ASSERT(State.Counted.size() == First.size());
    for (const auto &[Key, Cost] : First)
      RC_ASSERT(State.Counted.at(Key).Cost == MicroCost(Cost));
  });
}

// Verifies what makes a bill safe: the log, or two other hosts.
TEST_CASE("A bill is safe with two holders or in the log") {
  BillBuffer Buffer;
  Bill Which = billOf("r", 5);
  addBill(Buffer, Which);
  CHECK(durabilityOf(Buffer, Which.key()) == BillDurability::NotDurable);
  recordHolder(Buffer, Which.key());
  CHECK(durabilityOf(Buffer, Which.key()) == BillDurability::NotDurable);
  recordHolder(Buffer, Which.key());
  CHECK(durabilityOf(Buffer, Which.key()) == BillDurability::WithHolders);
  removeLogged(Buffer, Which.key());
  CHECK(durabilityOf(Buffer, Which.key()) == BillDurability::InLog);
}

// Verifies that a full buffer has no room, counting work under way.
TEST_CASE("A bill buffer refuses work that it has no room for") {
  BillBuffer Buffer;
  Buffer.Capacity = 3;
  addBill(Buffer, billOf("a", 1));
  CHECK(hasCapacity(Buffer, 1));
  CHECK_FALSE(hasCapacity(Buffer, 2));
}

// Verifies that the audit names missing and orphaned bills.
TEST_CASE("The bill audit finds missing and orphaned bills") {
  BillState State;
  foldBills(State, Offset(0), encodeBills({billOf("a", 1), billOf("b", 2)}));
  BillAudit Audit = auditBills(State, {"w/a", "w/c"});
  CHECK(Audit.Missing == std::vector<std::string>{"w/c"});
  CHECK(Audit.Orphans == std::vector<std::string>{"w/b"});
  CHECK(Audit.Total == MicroCost(3));
}

// Verifies that no text makes the decoder crash.
TEST_CASE("Bill records survive hostile text") {
  rc::prop("any text decodes to bills with keys", [] {
    std::string Text = *rc::gen::arbitrary<std::string>();
    for (const Bill &Each : decodeBills("[" + Text + "]"))
      RC_ASSERT(!Each.Request.empty());
  });
}

} // namespace
} // namespace berylramp
