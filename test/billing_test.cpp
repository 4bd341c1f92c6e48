//===- billing_test.cpp - Tests the bill fold and the bill buffer ---------===//

#include "berylramp/billing.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace berylramp {
namespace {

Bill makeBill(const std::string &Request, int64_t Cost) {
  Bill Result;
  Result.Workspace = WorkspaceId("w");
  Result.Request = RequestId(Request);
  Result.Version = VersionKey{ModelId("m"), VersionId("v")};
  Result.Cost = MicroCost(Cost);
  Result.Origin = HostId("h");
  return Result;
}

// Verifies that only the first record of a bill counts, however often and by
// whichever host it is appended.
TEST_CASE("Bills count once in any order of repeated records") {
  rc::prop("each key has one bill, the first", [] {
    BillState State;
    std::map<std::string, int64_t> FirstCosts;
    int Records = *rc::gen::inRange(1, 20);
    for (int At = 0; At < Records; ++At) {
      std::vector<Bill> Batch;
      for (int I = *rc::gen::inRange(0, 4); I > 0; --I) {
        int Number = *rc::gen::inRange(0, 5);
        int64_t Cost = *rc::gen::inRange(1, 100);
        Batch.push_back(makeBill("r" + std::to_string(Number), Cost));
        FirstCosts.emplace(Batch.back().key(), Cost);
      }
      foldBills(State, Offset(At), encodeBills(Batch));
      foldBills(State, Offset(At), encodeBills(Batch));
    }
    RC_ASSERT(State.Counted.size() == FirstCosts.size());
    for (const auto &[Key, Cost] : FirstCosts)
      RC_ASSERT(State.Counted.at(Key).Cost == MicroCost(Cost));
  });
}

// Verifies that a bill is safe when it is in the log or held by two other
// hosts.
TEST_CASE("A bill is safe with two holders or in the log") {
  BillBuffer Buffer;
  Bill SampleBill = makeBill("r", 5);
  addBill(Buffer, SampleBill);
  CHECK(durabilityOf(Buffer, SampleBill.key()) == BillDurability::NotDurable);
  recordHolder(Buffer, SampleBill.key());
  CHECK(durabilityOf(Buffer, SampleBill.key()) == BillDurability::NotDurable);
  recordHolder(Buffer, SampleBill.key());
  CHECK(durabilityOf(Buffer, SampleBill.key()) == BillDurability::WithHolders);
  removeLogged(Buffer, SampleBill.key());
  CHECK(durabilityOf(Buffer, SampleBill.key()) == BillDurability::InLog);
}

// Verifies that the capacity check of the buffer counts the reservations of
// active requests.
TEST_CASE("A bill buffer refuses requests beyond its capacity") {
  BillBuffer Buffer;
  Buffer.Capacity = 3;
  addBill(Buffer, makeBill("a", 1));
  CHECK(hasCapacity(Buffer, 1));
  CHECK_FALSE(hasCapacity(Buffer, 2));
}

// Verifies that the audit lists missing and orphaned bills and adds up the
// costs.
TEST_CASE("The bill audit finds missing and orphaned bills") {
  BillState State;
  foldBills(State, Offset(0),
            encodeBills({makeBill("a", 1), makeBill("b", 2)}));
  BillAudit Audit = auditBills(State, {"w/a", "w/c"});
  CHECK(Audit.Missing == std::vector<std::string>{"w/c"});
  CHECK(Audit.Orphans == std::vector<std::string>{"w/b"});
  CHECK(Audit.Total == MicroCost(3));
}

// Verifies that no text crashes the decoder.
TEST_CASE("Bill records survive hostile text") {
  rc::prop("any text decodes to bills with keys", [] {
    std::string Input = *rc::gen::arbitrary<std::string>();
    for (const Bill &Decoded : decodeBills("[" + Input + "]"))
      RC_ASSERT(!Decoded.Request.empty());
  });
}

} // namespace
} // namespace berylramp
