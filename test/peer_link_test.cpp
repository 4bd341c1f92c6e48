//===- peer_link_test.cpp - Datagrams between two hosts -------------------===//

#include "peer_link.h"
#include "standin.h"

#include "directory.h"
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace berylramp;

namespace {

/// One host's end of the link.
struct LinkEnd {
  LinkEnd(boost::asio::io_context &Loop, LoopTimer &Timer, const char *Ip,
          const char *Place, int Port)
      : View(stateOf(Ip, Place)) {
    this->Facts.Ip = Ip;
    this->Facts.Place = PlaceId(Place);
    this->Facts.GossipPort = Port;
    this->Link = std::make_shared<PeerLink>(Loop, Timer, this->Counters,
                                            this->Facts, this->View, 3);
    this->Link->OnWork = [this](const WorkNote &Note) {
      this->Heard.push_back(Note.WorkMs);
    };
    REQUIRE(this->Link->open().ok());
  }
  ~LinkEnd() { this->Link->close(); }

  static PeerState stateOf(const char *Ip, const char *Place) {
    PeerState State;
    State.Ip = parseIp(Ip);
    State.Life = Incarnation(1);
    State.Place = PlaceId(Place);
    return State;
  }

  HostFacts Facts;
  Metrics Counters;
  PeerView View;
  std::shared_ptr<PeerLink> Link;
  std::vector<int64_t> Heard;
};

struct LinkFixture {
  LinkFixture()
      : Timer(Loop), Port(standin::findFreePort()),
        Near(Loop, Timer, "127.0.0.1", "a1", Port),
        Far(Loop, Timer, "127.0.0.2", "b1", Port) {
    this->Near.View.introduce(parseIp("127.0.0.2"), this->Timer.now());
    this->turnUntil([&] {
      this->Near.Link->spread();
      this->Far.Link->spread();
      return this->knows(this->Near) && this->knows(this->Far);
    });
  }

  bool knows(LinkEnd &Which) {
    std::vector<const Peer *> Live = Which.View.live(this->Timer.now());
    return !Live.empty() && !Live[0]->State.Place.text().empty();
  }

  void turnUntil(const std::function<bool()> &Holds) {
    for (int Turn = 0; Turn < 1000 && !Holds(); ++Turn) {
      this->Loop.restart();
      this->Loop.run_for(std::chrono::milliseconds(5));
    }
    REQUIRE(Holds());
  }

  boost::asio::io_context Loop;
  LoopTimer Timer;
  int Port;
  LinkEnd Near;
  LinkEnd Far;
};

} // namespace

TEST_CASE_METHOD(LinkFixture,
                 "Load pattern: prompts for engines elsewhere are told there") {
  // The hosts beside the engine choose it most, and have to know of them.
  this->Near.Link->tellWork({7, 300}, PlaceId("a1"));
  this->Near.Link->tellWork({7, 400}, PlaceId("b1"));
  this->turnUntil([&] { return !this->Far.Heard.empty(); });
  CHECK(this->Far.Heard == std::vector<int64_t>{400});
}
