//===- edge_quarantine_test.cpp - Requests that end replicas
//---------------===//

#include "edge_fixture.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <catch2/catch.hpp>

using namespace berylramp;
using standin::ReplicaBehavior;

namespace {

/// Crashes after which the requests are counted.
constexpr int64_t CrashesBefore = 5;
/// Requests with the segment that may reach engines later.
constexpr int64_t MaxLaterCrashes = 3;
/// Less than the time in which the operators want all hosts to know.
constexpr absl::Duration SpreadTime = absl::Seconds(2);

/// A serving host, a second one with the same store, and engines that end on
/// prompts with the segment "bad1".
struct QuarantineFixture : TwoHostFixture {
  QuarantineFixture() {
    for (const auto &Engine : this->Engines)
      Engine->CrashingSegment = "bad1";
  }

  void startSecond(bool WithLinks) {
    TwoHostFixture::startSecond(WithLinks);
    REQUIRE(this->runUntil(
        [&] { return this->callSound(this->SecondConfig.Callers) == 200; }));
  }

  int callWith(const Endpoint &Host, const std::string &Segment) {
    this->Count += 1;
    std::string Id = absl::StrCat("q", this->Count);
    RawCaller Caller(this->Loop, Host);
    Caller.send(makeRequest("/stream/a", Id,
                            absl::StrCat("Berylramp-Prefix-Hash: aa",
                                         this->Count % 3, ":300,", Segment,
                                         ":200,ee", this->Count, ":100\r\n"),
                            absl::StrCat("x", this->Count), "key-1"));
    this->runUntil(
        [&] { return Caller.hasCompleteAnswer() || Caller.isClosed(); });
    this->LastAnswer = Caller.received();
    return Caller.status();
  }
  int callBad(const Endpoint &Host) { return this->callWith(Host, "bad1"); }
  int callSound(const Endpoint &Host) { return this->callWith(Host, "cc"); }

  /// Publishes the engines as the processes that they are now.
  void publishEngines() {
    for (const auto &Engine : this->Engines)
      this->Store->put("keyed.servers", Engine->id(),
                       Engine->entry("ready", "v1"));
  }

  int64_t crashes() const {
    int64_t Sum = 0;
    for (const auto &Engine : this->Engines)
      Sum += Engine->Crashes;
    return Sum;
  }

  /// Sends bad requests between sound ones until the segment was sent to five
  /// engines, or often enough.
  void crashEngines(const Endpoint &Host) {
    for (int Round = 0; Round < 20 && this->crashes() < CrashesBefore;
         ++Round) {
      this->callBad(Host);
      this->callSound(Host);
      this->publishEngines();
      this->runFor(absl::Milliseconds(300));
    }
    this->runFor(SpreadTime);
  }

  int64_t crashesOf(const Endpoint &Host, int Requests) {
    int64_t Before = this->crashes();
    for (int Index = 0; Index < Requests; ++Index)
      this->callBad(Host);
    return this->crashes() - Before;
  }

  int soundAnswersOf(const Endpoint &Host, int Requests) {
    int Good = 0;
    for (int Index = 0; Index < Requests; ++Index)
      Good += this->callSound(Host) == 200 ? 1 : 0;
    return Good;
  }

  std::string LastAnswer;
  int Count = 0;
};

/// Replicas that end under a request with the body "deadly".
struct DeadlyRequestFixture : QuarantineFixture {
  DeadlyRequestFixture() {
    for (const auto &Group : {this->Engines, this->PlainReplicas})
      for (const auto &Ended : Group)
        Ended->CrashingBody = "deadly";
  }

  int callPlain(const Endpoint &Host, const std::string &Body) {
    this->Count += 1;
    RawCaller Caller(this->Loop, Host);
    Caller.send(makeRequest(this->Path, absl::StrCat("d", this->Count),
                            this->Headers, Body, "key-1"));
    this->runUntil(
        [&] { return Caller.hasCompleteAnswer() || Caller.isClosed(); });
    this->LastAnswer = Caller.received();
    return Caller.status();
  }

  int64_t ended() const {
    int64_t Sum = 0;
    for (const auto &Group : {this->Engines, this->PlainReplicas})
      for (const auto &Ended : Group)
        Sum += Ended->Crashes;
    return Sum;
  }

  void publishAll() {
    for (const auto &Group : {this->Engines, this->PlainReplicas})
      for (const auto &Ended : Group)
        this->Store->put("keyed.servers", Ended->id(),
                         Ended->entry("ready", "v1"));
    this->runFor(absl::Milliseconds(300));
  }

  /// Sends the request between sound ones until three replicas have ended.
  void endReplicas(const Endpoint &Host) {
    for (int Round = 0; Round < 20 && this->ended() < EndsBefore; ++Round) {
      this->callPlain(Host, "deadly");
      this->runFor(absl::Milliseconds(300));
      this->publishAll();
      this->callPlain(Host, absl::StrCat("sound ", Round));
    }
    this->runFor(SpreadTime);
  }

  int64_t laterEnds(const Endpoint &Host) {
    int64_t Before = this->ended();
    for (int Index = 0; Index < 20; ++Index) {
      this->callPlain(Host, "deadly");
      if (this->ended() > Before)
        this->publishAll();
    }
    return this->ended() - Before;
  }

  /// Replicas that end before the request counts as known.
  static constexpr int64_t EndsBefore = 3;
  std::string Path = "/safe/a";
  std::string Headers;
};

} // namespace

// Guards against requests of a plain service that end replica after replica.
TEST_CASE_METHOD(DeadlyRequestFixture,
                 "A request that ends replicas is refused and others are "
                 "served") {
  this->endReplicas(this->callerEndpoint());
  CHECK(this->laterEnds(this->callerEndpoint()) <= MaxLaterCrashes);
  CHECK(absl::StrContains(this->LastAnswer, "HTTP/1.1 503"));
  CHECK(absl::StrContains(this->LastAnswer, "Retry-After"));
  this->publishAll();
  CHECK(this->callPlain(this->callerEndpoint(), "another") == 200);
}

// Guards against requests that end engines, of which no segment is shared.
TEST_CASE_METHOD(DeadlyRequestFixture,
                 "A request to an engine that ends replicas is refused") {
  this->Path = "/stream/a";
  this->Headers = "Berylramp-Prefix-Hash: aa:300,ee7:100\r\n";
  this->endReplicas(this->callerEndpoint());
  CHECK(this->laterEnds(this->callerEndpoint()) <= MaxLaterCrashes);
  this->publishAll();
  CHECK(this->runUntil([&] {
    return this->callPlain(this->callerEndpoint(), "another") == 200;
  }));
}

TEST_CASE_METHOD(DeadlyRequestFixture,
                 "A host refuses a request that ended replicas at another "
                 "one") {
  this->startSecond(true);
  this->endReplicas(this->callerEndpoint());
  CHECK(this->laterEnds(this->SecondConfig.Callers) <= MaxLaterCrashes);
}

TEST_CASE_METHOD(DeadlyRequestFixture,
                 "A host that is cut off from the others learns of a request "
                 "that ends replicas from the store") {
  this->startSecond(false);
  this->endReplicas(this->callerEndpoint());
  CHECK(this->laterEnds(this->SecondConfig.Callers) <= MaxLaterCrashes);
}

TEST_CASE_METHOD(DeadlyRequestFixture,
                 "A host that starts refuses a request that ended replicas "
                 "before") {
  this->endReplicas(this->callerEndpoint());
  this->startSecond(false);
  CHECK(this->laterEnds(this->SecondConfig.Callers) <= MaxLaterCrashes);
}

// Guards against engines that end one after the other under one prompt segment.
TEST_CASE_METHOD(QuarantineFixture,
                 "Requests with a segment that ends engines are refused and "
                 "sound ones are served") {
  this->crashEngines(this->callerEndpoint());
  CHECK(this->crashesOf(this->callerEndpoint(), 20) <= MaxLaterCrashes);
  CHECK(absl::StrContains(this->LastAnswer, "503"));
  CHECK(absl::StrContains(this->LastAnswer, "Retry-After"));
  CHECK(this->soundAnswersOf(this->callerEndpoint(), 20) == 20);
  // The engines have started again since, also under the same ids.
  this->publishEngines();
  this->runFor(absl::Milliseconds(500));
  CHECK(this->crashesOf(this->callerEndpoint(), 5) == 0);
}

// Guards against refusals of sound prompts when connections are reset.
TEST_CASE_METHOD(QuarantineFixture,
                 "Connections that engines reset quarantine no segment") {
  for (const auto &Engine : this->Engines)
    Engine->Behavior = ReplicaBehavior::ResetsAfterRun;
  for (int Round = 0; Round < 6; ++Round) {
    this->callSound(this->callerEndpoint());
    this->runFor(absl::Milliseconds(300));
  }
  for (const auto &Engine : this->Engines)
    Engine->Behavior = ReplicaBehavior::Answers;
  CHECK(this->runUntil(
      [&] { return this->callSound(this->callerEndpoint()) == 200; }));
}

TEST_CASE_METHOD(QuarantineFixture,
                 "A host refuses a segment that ended engines at another one") {
  this->startSecond(true);
  this->crashEngines(this->callerEndpoint());
  CHECK(this->crashesOf(this->SecondConfig.Callers, 10) <= MaxLaterCrashes);
  CHECK(this->soundAnswersOf(this->SecondConfig.Callers, 10) == 10);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "A host that is cut off from the others learns of a segment "
                 "that ends engines from the store") {
  this->startSecond(false);
  this->crashEngines(this->callerEndpoint());
  CHECK(this->crashesOf(this->SecondConfig.Callers, 10) <= MaxLaterCrashes);
  CHECK(this->soundAnswersOf(this->SecondConfig.Callers, 10) == 10);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "A host that starts refuses a segment that ended engines "
                 "before") {
  this->crashEngines(this->callerEndpoint());
  this->startSecond(false);
  CHECK(this->crashesOf(this->SecondConfig.Callers, 10) <= MaxLaterCrashes);
}
