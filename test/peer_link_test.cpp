//===- peer_link_test.cpp - Datagrams between two hosts -------------------===//

#include "peer_link.h"
#include "standin.h"

#include "directory.h"
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

/// One host's PeerLink and the work reports that it receives.
struct LinkEnd {
  LinkEnd(boost::asio::io_context &Loop, LoopTimer &Timer, const char *Ip,
          const char *Place, int Port)
      : Peers(makeState(Ip, Place)) {
    this->Config.Ip = Ip;
    this->Config.Place = PlaceId(Place);
    this->Config.GossipPort = Port;
    this->Link = std::make_shared<PeerLink>(Loop, Timer, this->Counters,
                                            this->Config, this->Peers, 3);
    this->Link->OnReport = [this](const GossipReport &Report) {
      for (const WorkReport &Work : std::get<WorkDigest>(Report))
        this->ReceivedWorkMs.push_back(Work.WorkMs);
    };
    REQUIRE(this->Link->open().ok());
  }
  ~LinkEnd() { this->Link->close(); }

  static PeerState makeState(const char *Ip, const char *Place) {
    PeerState State;
    State.Ip = parseIp(Ip);
    State.IncarnationId = Incarnation(1);
    State.Place = PlaceId(Place);
    return State;
  }

  HostConfig Config;
  Metrics Counters;
  PeerTable Peers;
  std::shared_ptr<PeerLink> Link;
  std::vector<int64_t> ReceivedWorkMs;
};

struct LinkFixture {
  LinkFixture()
      : Timer(Loop), Port(standin::findFreePort()),
        Near(Loop, Timer, "127.0.0.1", "a1", Port),
        Far(Loop, Timer, "127.0.0.2", "b1", Port) {
    this->Near.Peers.addAddress(parseIp("127.0.0.2"), this->Timer.now());
    this->runUntil([&] {
      this->Near.Link->sendState();
      this->Far.Link->sendState();
      return this->hasPeerState(this->Near) && this->hasPeerState(this->Far);
    });
  }

  bool hasPeerState(LinkEnd &End) {
    std::vector<const Peer *> Live = End.Peers.live(this->Timer.now());
    return !Live.empty() && !Live[0]->State.Place.text().empty();
  }

  void runUntil(const std::function<bool()> &Condition) {
    for (int Iteration = 0; Iteration < 1000 && !Condition(); ++Iteration) {
      this->Loop.restart();
      this->Loop.run_for(std::chrono::milliseconds(5));
    }
    REQUIRE(Condition());
  }

  boost::asio::io_context Loop;
  LoopTimer Timer;
  int Port;
  LinkEnd Near;
  LinkEnd Far;
};

} // namespace

TEST_CASE_METHOD(LinkFixture,
                 "Load pattern: work at remote engines is reported there") {
  // Hosts in the engine's data centre choose it most often, so they need the
  // prefill work that other data centres send to it.
  this->Near.Link->sendReport(WorkDigest{{7, 300}}, PlaceId("a1"));
  this->Near.Link->sendReport(WorkDigest{{7, 400}}, PlaceId("b1"));
  this->runUntil([&] { return !this->Far.ReceivedWorkMs.empty(); });
  CHECK(this->Far.ReceivedWorkMs == std::vector<int64_t>{400});
}
