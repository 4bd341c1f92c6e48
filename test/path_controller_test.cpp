//===- path_controller_test.cpp - Causes of failed connections ------------===//

#include "path_controller.h"
#include "proxy.h"
#include "standin.h"

#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

/// Two replicas, and two hosts with a path of their own to each. The first host
/// may ask the second one for tunnels.
struct PathFixture {
  struct Host {
    explicit Host(PathFixture &Owner)
        : Paths(std::make_shared<PathController>(Owner.Loop, Owner.Timer,
                                                 this->Registry)) {
      for (const auto &Target : Owner.Replicas) {
        auto Path =
            std::make_shared<Proxy>(Owner.Loop, Owner.Timer, Target->address());
        Path->listen();
        this->Proxies.push_back(Path);
        ReplicaEntry Entry;
        Entry.Id = UpstreamId(Target->id());
        Entry.Service = ServiceId("engine");
        Entry.Address = Path->address();
        this->Registry.put(Entry, Owner.Timer.now());
      }
      this->Paths->ChoosePeer = [](const Replica &,
                                   const std::vector<Endpoint> &) {
        return std::nullopt;
      };
    }
    void refuse(size_t ReplicaIndex) {
      this->Proxies[ReplicaIndex]->setNewConnections(NewConnections::Refused);
    }

    UpstreamRegistry Registry{ChoiceSettings()};
    std::vector<std::shared_ptr<Proxy>> Proxies;
    std::shared_ptr<PathController> Paths;
  };

  PathFixture() : Timer(Loop) {
    for (const char *Id : {"e0", "e1"}) {
      this->Replicas.push_back(std::make_shared<standin::Replica>(
          this->Loop, this->Timer, Id, "engine", "a"));
      REQUIRE(this->Replicas.back()->listen().ok());
    }
    this->Own = std::make_unique<Host>(*this);
    this->Other = std::make_unique<Host>(*this);
    TunnelHooks Hooks;
    Hooks.Find = [this](uint64_t Hash) {
      return std::make_optional(pathTargetOf(
          *this->Other->Registry.find(*this->Other->Registry.idOf(Hash))));
    };
    Hooks.AddressOf = [this](uint64_t Hash) {
      return this->Other->Registry.find(*this->Other->Registry.idOf(Hash))
          ->Entry.Address;
    };
    Hooks.RejectsNew = [] { return false; };
    Hooks.OnReached = [](const PathTarget &) {};
    Hooks.OnUnreached = [](const PathTarget &, Instant, bool) {};
    Hooks.ExplainRefusal = [this](const PathTarget &Target,
                                  TunnelCallback Done) {
      this->Other->Paths->explainRefusal(Target, std::move(Done));
    };
    this->Server = std::make_unique<TunnelServer>(this->Loop, this->Timer,
                                                  std::move(Hooks));
    Endpoint Address{"127.0.0.1", standin::findFreePort()};
    REQUIRE(this->Server->listen(Address).ok());
    this->Own->Paths->ChoosePeer =
        [Address](const Replica &, const std::vector<Endpoint> &Tried) {
          return Tried.empty() ? std::make_optional(Address) : std::nullopt;
        };
  }

  FailureCause explain() {
    std::optional<FailureCause> Found;
    this->Own->Paths->explainFailure(
        this->Own->Registry.find(UpstreamId("e0")), this->Timer.now(),
        [&](FailureCause Cause) { Found = Cause; });
    for (int Step = 0; Step < 2000 && !Found; ++Step) {
      this->Loop.restart();
      this->Loop.run_for(std::chrono::milliseconds(2));
    }
    REQUIRE(Found);
    return *Found;
  }

  boost::asio::io_context Loop;
  LoopTimer Timer;
  std::vector<std::shared_ptr<standin::Replica>> Replicas;
  std::unique_ptr<Host> Own;
  std::unique_ptr<Host> Other;
  std::unique_ptr<TunnelServer> Server;
};

} // namespace

// Resets of a host's own path were reported as ends of replicas.
TEST_CASE_METHOD(
    PathFixture,
    "A refusal that other hosts do not see is no end of a replica") {
  this->Own->refuse(0);
  CHECK(this->explain() == FailureCause::OwnPath);
}

TEST_CASE_METHOD(
    PathFixture,
    "A refusal that another host sees too is the end of a replica") {
  this->Own->refuse(0);
  this->Other->refuse(0);
  CHECK(this->explain() == FailureCause::ReplicaEnded);
}

TEST_CASE_METHOD(PathFixture,
                 "A host that is cut off confirms no end of a replica") {
  this->Own->refuse(0);
  this->Other->refuse(0);
  this->Other->refuse(1);
  CHECK(this->explain() == FailureCause::Unknown);
}

TEST_CASE_METHOD(
    PathFixture,
    "A replica that accepts connections broke the one that failed") {
  CHECK(this->explain() == FailureCause::Replica);
}

TEST_CASE_METHOD(PathFixture, "Without other hosts, a refusal is the end of a "
                              "replica unless several refuse") {
  this->Own->Paths->ChoosePeer = [](const Replica &,
                                    const std::vector<Endpoint> &) {
    return std::nullopt;
  };
  this->Own->refuse(0);
  CHECK(this->explain() == FailureCause::ReplicaEnded);
  this->Own->Paths->onUnreached(
      pathTargetOf(*this->Own->Registry.find(UpstreamId("e1"))),
      this->Timer.now(), false);
  CHECK(this->explain() == FailureCause::Unknown);
}
