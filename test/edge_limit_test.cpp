//===- edge_limit_test.cpp - Limits that replicas name --------------------===//

#include "edge_fixture.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

/// The operators' bound on the requests that a replica with a limit receives.
constexpr absl::Duration Window = absl::Seconds(4);
constexpr double AllowedRatio = 1.5;
constexpr double AllowedSlack = 5;
/// From this time after the first answer with a limit on, the bound applies.
constexpr absl::Duration SettleTime = absl::Seconds(4);

/// Between two requests of a caller.
constexpr absl::Duration Pause = absl::Milliseconds(10);

/// The largest number of arrivals in any window after \p From.
int64_t mostInWindow(const std::vector<Instant> &Arrivals, Instant From) {
  int64_t Most = 0;
  for (auto First = Arrivals.begin(); First != Arrivals.end(); ++First) {
    if (*First < From)
      continue;
    auto End = std::find_if(First, Arrivals.end(),
                            [&](Instant At) { return Window <= At - *First; });
    Most = std::max<int64_t>(Most, End - First);
  }
  return Most;
}

double allowed(double PerSecond) {
  return AllowedRatio * PerSecond * absl::ToDoubleSeconds(Window) +
         AllowedSlack;
}

/// Two hosts and two replicas of a plain service that name limits.
struct LimitFixture : TwoHostFixture {
  void nameLimit(const std::string &Limit) {
    for (const auto &Named : this->PlainReplicas)
      Named->NamedLimit = Limit;
    this->NamedAt = this->Timer.now();
  }

  int callOnce(const Endpoint &Host) {
    this->Count += 1;
    RawCaller Caller(this->Loop, Host);
    Caller.send(makeRequest("/safe/a", absl::StrCat("l", this->Count), "", "x",
                            "key-1"));
    this->runUntil(
        [&] { return Caller.hasCompleteAnswer() || Caller.isClosed(); });
    this->LastAnswer = Caller.received();
    this->Answered += Caller.status() == 200 ? 1 : 0;
    return Caller.status();
  }

  /// Sends one request after the other to each of \p Hosts in turn.
  void offer(const std::vector<Endpoint> &Hosts, absl::Duration Time) {
    Instant End = this->Timer.now() + Time;
    while (this->Timer.now() < End) {
      for (const Endpoint &Host : Hosts)
        this->callOnce(Host);
      this->runFor(Pause);
    }
  }

  std::vector<Endpoint> bothHosts() const {
    return {this->callerEndpoint(), this->SecondConfig.Callers};
  }

  void checkBound(double PerSecond, Instant From) {
    for (const auto &Named : this->PlainReplicas)
      CHECK(static_cast<double>(mostInWindow(Named->Arrivals, From)) <=
            allowed(PerSecond));
  }

  Instant NamedAt;
  std::string LastAnswer;
  int Count = 0;
  int Answered = 0;
};

} // namespace

// Guards against requests in excess of a limit that a replica named.
TEST_CASE_METHOD(LimitFixture, "Two hosts together keep the limit that a "
                               "replica names") {
  this->startSecond(true);
  this->nameLimit("1.4");
  this->offer(this->bothHosts(), SettleTime + Window + absl::Seconds(1));
  this->checkBound(1.4, this->NamedAt + SettleTime);
  CHECK(this->Answered > 0);
  // A refused request was sent to no replica, and may be sent again soon.
  Instant End = this->Timer.now() + absl::Seconds(2);
  while (this->callOnce(this->callerEndpoint()) == 200 &&
         this->Timer.now() < End)
    continue;
  CHECK(absl::StrContains(this->LastAnswer, "HTTP/1.1 503"));
  CHECK(absl::StrContains(this->LastAnswer, "Retry-After"));
}

// Guards against hosts that learn a limit only by exceeding it.
TEST_CASE_METHOD(LimitFixture, "A host keeps a limit that only another host "
                               "was told") {
  this->startSecond(true);
  this->nameLimit("0.5");
  this->offer({this->callerEndpoint()}, absl::Seconds(1));
  this->runFor(SettleTime);
  Instant From = this->Timer.now();
  this->offer({this->SecondConfig.Callers}, Window);
  this->checkBound(0.5, From);
}

// Guards against a limit that a restart makes a host forget.
TEST_CASE_METHOD(LimitFixture, "A host that starts keeps a limit that was "
                               "named before") {
  this->nameLimit("0.5");
  this->offer({this->callerEndpoint()}, absl::Seconds(1));
  this->startSecond(true);
  this->runFor(SettleTime);
  Instant From = this->Timer.now();
  this->offer(this->bothHosts(), Window);
  this->checkBound(0.5, From);
}

// Guards against parts of a limit that grow when hosts don't reach each other.
TEST_CASE_METHOD(LimitFixture, "Hosts that do not reach each other keep a "
                               "limit together") {
  this->startSecond(false);
  this->nameLimit("1");
  this->offer(this->bothHosts(), SettleTime + Window + absl::Seconds(1));
  this->checkBound(1, this->NamedAt + SettleTime);
  CHECK(this->Answered > 0);
}

// Guards against a limit that stays in force after the replica's need.
TEST_CASE_METHOD(LimitFixture, "Hosts notice that a limit has ended") {
  this->startSecond(true);
  this->nameLimit("1");
  this->offer(this->bothHosts(), absl::Seconds(2));
  this->nameLimit("");
  for (const Endpoint &Host : this->bothHosts())
    CHECK(this->runUntil([&] {
      int Good = 0;
      while (Good < 20 && this->callOnce(Host) == 200)
        Good += 1;
      return Good == 20;
    }));
}
