//===- prefix_choice_test.cpp - Choice of engines by kept segments --------===//
//
// Each test names a load: hosts with a registry each send prompts that share
// segments, and tell each other as far as the test says.
//
//===----------------------------------------------------------------------===//

#include "berylramp/upstreams.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using namespace berylramp;

namespace {

constexpr double MsPerToken = 0.05;

Instant atSecond(double Seconds) {
  return Instant{absl::Seconds(100 + Seconds)};
}

ReplicaEntry engineEntry(const std::string &Id, const std::string &Place) {
  ReplicaEntry Entry;
  Entry.Id = UpstreamId(Id);
  Entry.Service = ServiceId("engines");
  Entry.Place = PlaceId(Place);
  Entry.Slots = 64;
  return Entry;
}

ChoiceQuery promptQuery(std::vector<PromptSegment> Segments, double Seconds,
                        int64_t CacheTokens) {
  ChoiceQuery Query;
  Query.Service = ServiceId("engines");
  Query.Segments = std::move(Segments);
  Query.MsPerToken = MsPerToken;
  Query.CacheTokens = CacheTokens;
  Query.OutputTokens = 100;
  Query.Now = atSecond(Seconds);
  return Query;
}

/// Data centres a and b are one region, c and d another.
ChoiceSettings settingsIn(const std::string &Place) {
  static const std::map<std::string, std::string> Neighbors = {
      {"a", "b"}, {"b", "a"}, {"c", "d"}, {"d", "c"}};
  ChoiceSettings Settings;
  Settings.OwnPlace = PlaceId(Place);
  Settings.SameRegion = {PlaceId(Neighbors.at(Place))};
  return Settings;
}

bool isSameRegion(const PlaceId &A, const PlaceId &B) {
  auto IsFirst = [](const PlaceId &Place) {
    return Place == PlaceId("a") || Place == PlaceId("b");
  };
  return IsFirst(A) == IsFirst(B);
}

/// Hosts of four data centres, each with its own view, and what the engines
/// really keep.
struct Fleet {
  Fleet(int HostsPerPlace, int EnginesPerPlace, int64_t CacheTokens)
      : CacheTokens(CacheTokens) {
    for (const char *Place : {"a", "b", "c", "d"})
      for (int Index = 0; Index < HostsPerPlace; ++Index)
        this->Hosts.push_back(
            {PlaceId(Place),
             std::make_unique<UpstreamRegistry>(settingsIn(Place))});
    for (const char *Place : {"a", "b", "c", "d"})
      for (int Index = 0; Index < EnginesPerPlace; ++Index)
        this->addEngine(Place + std::to_string(Index), Place);
  }

  void addEngine(const std::string &Id, const std::string &Place) {
    for (Host &Each : this->Hosts)
      Each.Registry->put(engineEntry(Id, Place), atSecond(0));
    this->EngineOf[Id] = this->Truth.add();
    this->Truth.setCapacity(this->EngineOf[Id], this->CacheTokens);
  }

  /// Sends a prompt from a host. The request is over before the next one.
  std::string send(size_t From, std::vector<PromptSegment> Segments,
                   double Seconds) {
    Host &Sender = this->Hosts[From];
    ChoiceQuery Query =
        promptQuery(std::move(Segments), Seconds, this->CacheTokens);
    Choice Chosen = Sender.Registry->choose(Query);
    std::string Id = Chosen.Target->Entry.Id.text();
    EngineIndex Engine = this->EngineOf.at(Id);
    for (size_t Index = 0; Index + 1 < Query.Segments.size(); ++Index) {
      uint64_t Segment = Query.Segments[Index].Id;
      if (this->Seen.insert(Segment).second)
        continue;
      this->Keepable += Query.Segments[Index].Tokens;
    }
    this->Kept += this->Truth.keptTokens(Chosen.Use.Shared, Query.Now)[Engine];
    this->Truth.onReported(Engine, Chosen.Use, Query.Now);
    Sender.Registry->onRequestStarted(Chosen, Query);
    Sender.Registry->onFirstByte(Chosen, Chosen.QueueDelay + Chosen.PrefillTime,
                                 Query.Now);
    Sender.Registry->onMemoryReleased(Chosen, true, Query.Now);
    Sender.Registry->onRequestEnded(*Chosen.Target, Outcome::Good, Query.Now);
    if (this->Speaks)
      for (Host &Other : this->Hosts)
        if (&Other != &Sender &&
            isSameRegion(Other.Place, Chosen.Target->Entry.Place))
          Other.Registry->addRemoteUse(Chosen.Target->IdHash, Chosen.Use,
                                       Query.Now);
    return Id;
  }

  double keptShare() const {
    return static_cast<double>(this->Kept) /
           static_cast<double>(this->Keepable);
  }

  struct Host {
    PlaceId Place;
    std::unique_ptr<UpstreamRegistry> Registry;
  };
  std::vector<Host> Hosts;
  std::map<std::string, EngineIndex> EngineOf;
  PrefixCache Truth;
  int64_t CacheTokens;
  bool Speaks = true;
  std::set<uint64_t> Seen;
  int64_t Kept = 0;
  int64_t Keepable = 0;
};

} // namespace

TEST_CASE("Load pattern: subjects asked for in both data centres of a region") {
  // The long kind of the deployments: 3 parts of 512 tokens, subjects of 4,870
  // tokens, 6,610 tokens of the request itself.
  Fleet Region(7, 10, 530454);
  bool Speaks = GENERATE(true, false);
  Region.Speaks = Speaks;
  std::mt19937 Random(7);
  uint64_t Private = 1000000;
  for (int Count = 0; Count < 1200; ++Count) {
    uint64_t Subject = Random() % 125;
    size_t From = Random() % 14;
    Region.send(
        From,
        {{1 + Subject % 3, 512}, {100 + Subject, 4870}, {Private++, 6610}},
        Count / 18.0);
  }
  CHECK(Region.keptShare() >= 0.9);
}

TEST_CASE(
    "Load pattern: a hot subject gets a second holder while one is busy") {
  UpstreamRegistry Registry(settingsIn("a"));
  for (const char *Id : {"a0", "a1", "a2", "a3"})
    Registry.put(engineEntry(Id, "a"), atSecond(0));
  std::set<std::string> Holders;
  for (uint64_t Count = 0; Count < 60; ++Count) {
    // 20 requests a second, each of which takes 100 ms of reading.
    ChoiceQuery Query = promptQuery({{7, 5000}, {1000 + Count, 2000}},
                                    static_cast<double>(Count) / 20, 530454);
    Choice Chosen = Registry.choose(Query);
    CHECK(Chosen.QueueDelay < absl::Seconds(2));
    Registry.onRequestStarted(Chosen, Query);
    Holders.insert(Chosen.Target->Entry.Id.text());
  }
  CHECK(Holders.size() >= 2);
}

TEST_CASE(
    "A holder that leaves, is removed or restarts hands its segments on") {
  Fleet Region(3, 4, 530454);
  std::vector<PromptSegment> Prompt = {{1, 5000}, {2, 100}};
  std::string Holder = Region.send(0, Prompt, 0);
  int Case = GENERATE(0, 1, 2);
  for (Fleet::Host &Each : Region.Hosts) {
    if (Case == 0)
      Each.Registry->markLeaving(UpstreamId(Holder), atSecond(1));
    if (Case == 1)
      Each.Registry->remove(UpstreamId(Holder), atSecond(1),
                            absl::ZeroDuration());
    if (Case != 2)
      continue;
    ReplicaEntry Restarted = engineEntry(Holder, Holder.substr(0, 1));
    Restarted.StartedAtMs = 5;
    Each.Registry->put(Restarted, atSecond(1));
    ReplicaPtr Target = Each.Registry->find(UpstreamId(Holder));
    CHECK(Each.Registry->prefixCache().cachedTokens(*Target->Engine) == 0);
  }
  std::set<std::string> Holders;
  for (size_t From = 0; From < 6; ++From)
    Holders.insert(Region.send(From, Prompt, 2));
  CHECK(Holders.size() == 1);
  CHECK((Case == 2 || Holders.count(Holder) == 0));
}

TEST_CASE("Load pattern: running requests fill the memory of the holder") {
  UpstreamRegistry Registry(settingsIn("a"));
  for (const char *Id : {"a0", "a1"})
    Registry.put(engineEntry(Id, "a"), atSecond(0));
  ChoiceQuery Query = promptQuery({{7, 1000}, {8, 8000}}, 0, 20000);
  Choice First = Registry.choose(Query);
  Registry.onRequestStarted(First, Query);
  Registry.onFirstByte(First, First.PrefillTime, atSecond(0.1));
  Query = promptQuery({{7, 1000}, {9, 8000}}, 10, 20000);
  Choice Second = Registry.choose(Query);
  CHECK(Second.Target == First.Target);
  Registry.onRequestStarted(Second, Query);
  Query = promptQuery({{7, 1000}, {10, 8000}}, 20, 20000);
  CHECK(Registry.choose(Query).Target != First.Target);
  Registry.onMemoryReleased(Second, true, atSecond(21));
  Registry.onRequestEnded(*Second.Target, Outcome::Good, atSecond(21));
  Query.Now = atSecond(30);
  CHECK(Registry.choose(Query).Target == First.Target);
}

TEST_CASE("A first token as late as a full read corrects the ledger") {
  UpstreamRegistry Registry(settingsIn("a"));
  Registry.put(engineEntry("a0", "a"), atSecond(0));
  auto SendPrompt = [&](uint64_t Segment, double Seconds) {
    ChoiceQuery Query =
        promptQuery({{Segment, 10000}, {99, 100}}, Seconds, 530454);
    Choice Chosen = Registry.choose(Query);
    Registry.onRequestStarted(Chosen, Query);
    return Chosen;
  };
  SendPrompt(1, 0);
  SendPrompt(2, 10);
  Choice Late = SendPrompt(2, 20);
  CHECK(Late.KeptTokens == 10000);
  Registry.onFirstByte(Late, absl::Seconds(1), atSecond(21));
  CHECK(SendPrompt(1, 30).KeptTokens == 0);
  CHECK(SendPrompt(2, 30).KeptTokens == 10000);
}

TEST_CASE("Reports on unknown replicas are ignored") {
  UpstreamRegistry Registry(settingsIn("a"));
  Registry.put(engineEntry("a0", "a"), atSecond(0));
  Registry.addRemoteUse(12345, {{{1, 5000}}, 100}, atSecond(0));
  CHECK(Registry.prefixCache().segmentCount() == 0);
}
