//===- partition_fixture.h - Hosts with paths that can fail -----*- C++ -*-===//
//
// Several daemons share one store and the same replicas. Each reaches each
// replica over a proxy of its own, so that a test can cut one host off.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_TEST_PARTITION_FIXTURE_H
#define BERYLRAMP_TEST_PARTITION_FIXTURE_H

#include "edge_fixture.h"
#include "proxy.h"
#include <map>

namespace berylramp {

/// How a host is cut off from replicas.
enum class Partition {
  /// Nothing arrives in either direction.
  Silent,
  /// Requests arrive at the replicas, answers are lost.
  OneWay,
  /// Connections are reset and refused.
  Reset,
  /// Open connections live on, new ones are refused.
  RefusesNew
};

struct PartitionFixture : EdgeFixture {
  struct Host {
    HostConfig Config;
    std::map<std::string, std::shared_ptr<Proxy>> Paths;
    std::unique_ptr<LoopTimer> Timer;
    std::unique_ptr<EdgeDaemon> Daemon;
  };
  /// A request that was sent to a host.
  struct Sent {
    size_t HostIndex = 0;
    Instant At;
    std::unique_ptr<RawCaller> Caller;

    /// Whether it was answered by a replica, completely.
    bool isServed() const {
      return this->Caller->status() == 200 && this->Caller->hasCompleteAnswer();
    }
    bool hasEnded() const {
      return this->Caller->hasCompleteAnswer() || this->Caller->isClosed();
    }
  };

  explicit PartitionFixture(size_t HostCount = 3);
  ~PartitionFixture();

  /// Cuts a host off from all replicas, or from those of one service.
  void cut(size_t HostIndex, Partition Kind, const std::string &Service = "");
  void heal(size_t HostIndex);
  /// Starts a host, or ends its process and starts it anew.
  void startHost(size_t HostIndex);
  void endHost(size_t HostIndex);
  /// Sends requests of all kinds, one to each host in \p Targets every 30 ms,
  /// for \p Time. All streams share the segment "aa". Without targets, to
  /// all hosts.
  void sendFor(absl::Duration Time, std::vector<size_t> Targets = {});
  /// Sends one request to a host.
  void send(size_t HostIndex);
  /// Waits until all requests have ended.
  void awaitAnswers();
  /// Checks that all requests that were sent at \p From or later are served.
  void checkAllServed(Instant From);
  /// Counts the requests to a host that were sent at \p From or later and were,
  /// or were not, served.
  int count(size_t HostIndex, Instant From, bool Served) const;

  std::vector<Host> Hosts;
  std::vector<Sent> Requests;
  int64_t SentCount = 0;
};

} // namespace berylramp

#endif // BERYLRAMP_TEST_PARTITION_FIXTURE_H
