//===- explain_test.cpp - Where a request would go ------------------------===//

#include "edge_fixture.h"
#include "where.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "berylramp/json.h"
#include <catch2/catch.hpp>
#include <map>

using namespace berylramp;
using namespace berylramp::inspect;

namespace {

const ServiceId Service("s");
const Instant Now{absl::Seconds(100)};

/// A registry with a replica for each reason.
struct ExplainFixture {
  ExplainFixture() : Registry(ChoiceSettings()) {
    for (const char *Name : {"free", "leaving", "draining", "other", "tried",
                             "paused", "full", "evacuated"}) {
      ReplicaEntry Entry;
      Entry.Id = UpstreamId(Name);
      Entry.Service = Service;
      Entry.Version = VersionId(std::string(Name) == "other" ? "v1" : "v2");
      Entry.Draining = std::string(Name) == "draining";
      Entry.Slots = 4;
      this->Registry.put(Entry, Now);
    }
    this->Registry.markLeaving(UpstreamId("leaving"), Now);
    this->Registry.pause(UpstreamId("paused"), Now + absl::Seconds(1));
    this->Registry.find(UpstreamId("full"))->FullUntil = Now + absl::Seconds(1);
    this->Registry.find(UpstreamId("evacuated"))->Evacuated = true;
    this->Query.Service = Service;
    this->Query.Rule = {VersionId("v2"), true};
    this->Query.Tried = {UpstreamId("tried")};
    this->Query.Now = Now;
  }

  std::map<std::string, ReplicaView> views() const {
    std::map<std::string, ReplicaView> Views;
    for (const ReplicaView &View : this->Registry.explain(this->Query))
      Views[View.Target->Entry.Id.text()] = View;
    return Views;
  }

  UpstreamRegistry Registry;
  ChoiceQuery Query;
};

} // namespace

TEST_CASE_METHOD(ExplainFixture, "Each replica has the reason that rules it "
                                 "out") {
  auto Views = this->views();
  CHECK(Views.at("free").Reason == Exclusion::None);
  CHECK(Views.at("free").IsChosen);
  CHECK(Views.at("leaving").Reason == Exclusion::Leaving);
  CHECK(Views.at("draining").Reason == Exclusion::Draining);
  CHECK(Views.at("evacuated").Reason == Exclusion::Evacuated);
  CHECK(Views.at("other").Reason == Exclusion::OtherVersion);
  CHECK(Views.at("tried").Reason == Exclusion::Tried);
  CHECK(Views.at("paused").Reason == Exclusion::Paused);
  CHECK(Views.at("full").Reason == Exclusion::Full);
  this->Query.Regions.Binds = true;
  CHECK(this->views().at("free").Reason == Exclusion::OtherRegion);
  for (const auto &[Name, View] : Views)
    CHECK(View.IsCandidate == (Name == "free"));
}

TEST_CASE_METHOD(ExplainFixture,
                 "A full replica is a candidate when there is no other") {
  this->Query.Tried.emplace_back("free");
  auto Views = this->views();
  CHECK(Views.at("full").Reason == Exclusion::Full);
  CHECK(Views.at("full").IsCandidate);
  CHECK(Views.at("full").IsChosen);
}

TEST_CASE_METHOD(ExplainFixture, "An explanation counts cached tokens and "
                                 "changes nothing") {
  this->Query.Segments = {{1, 300}, {2, 200}, {3, 50}};
  this->Query.MsPerToken = 0.02;
  Choice Chosen = this->Registry.choose(this->Query);
  CHECK(this->views().at("free").CachedTokens == 0);
  this->Registry.onRequestStarted(Chosen, this->Query);
  auto Views = this->views();
  CHECK(Views.at("free").CachedTokens == 500);
  CHECK(Views.at("free").Target->InFlight == 1);
  CHECK(this->views().at("free").Expected.QueueDelay ==
        Views.at("free").Expected.QueueDelay);
}

TEST_CASE("A description of a request needs a host and a path") {
  CHECK_FALSE(describeRequest({"host=a"}).ok());
  CHECK_FALSE(describeRequest({"host=a", "path=/b", "color=c"}).ok());
  CHECK_FALSE(describeRequest({"host=a", "path=/b", "deadline_ms=x"}).ok());
  auto Described = describeRequest({"host=a", "path=/b?c=d", "deadline_ms=70"});
  REQUIRE(Described.ok());
  CHECK(textAt(*Described, "path") == "/b?c=d");
  CHECK(intAt(*Described, "deadline_ms") == 70);
}

TEST_CASE_METHOD(ServingFixture,
                 "A host tells where a request would go without sending it") {
  auto Ask = [&](const std::string &Body) {
    RawCaller Caller(this->Loop, this->Config.Peers);
    Caller.send(absl::StrCat(
        "POST /peer/where HTTP/1.1\r\nHost: x\r\nContent-Length: ", Body.size(),
        "\r\n\r\n", Body));
    REQUIRE(this->runUntil([&] { return Caller.hasCompleteAnswer(); }));
    return Caller.received();
  };
  auto AnswerOf = [&](const std::vector<std::string> &Words) {
    auto Described = describeRequest(Words);
    REQUIRE(Described.ok());
    std::string Text = Ask(writeJson(*Described));
    auto Answer = parseJson(Text.substr(Text.find("\r\n\r\n") + 4));
    REQUIRE(Answer.ok());
    return *Answer;
  };
  REQUIRE(this->runUntil([&] {
    return arrayAt(AnswerOf({"host=api.test", "path=/safe/a", "key=key-1"}),
                   "replicas")
               .size() == 2;
  }));
  int64_t Received = this->Daemon->metrics().value(Counter::RequestsReceived);
  Json::Value Known = AnswerOf({"host=api.test", "path=/safe/a", "key=key-1"});
  CHECK(textAt(Known, "service") == "plain");
  CHECK(memberAt(Known, "refused").isNull());
  int ChosenCount = 0;
  for (const Json::Value &View : arrayAt(Known, "replicas"))
    ChosenCount += textAt(View, "state") == "chosen" ? 1 : 0;
  CHECK(ChosenCount == 1);
  CHECK(
      absl::StrContains(renderExplanation(Known, Format::Columns), "plain-0"));
  Json::Value Unknown =
      AnswerOf({"host=api.test", "path=/safe/a", "key=wrong"});
  CHECK(textAt(memberAt(Unknown, "refused"), "kind") ==
        refusalName(RefusalKind::BadKey));
  CHECK(absl::StrContains(Ask("[1"), "400"));
  CHECK(this->Daemon->metrics().value(Counter::RequestsReceived) == Received);
  for (const auto &Group : {this->Engines, this->PlainReplicas})
    for (const auto &Instance : Group)
      CHECK(Instance->ArrivedRequests == 0);
}
