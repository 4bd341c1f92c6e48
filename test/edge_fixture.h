//===- edge_fixture.h - Daemon with a stand-in platform ---------*- C++ -*-===//
//
// Runs the real daemon, a stand-in store and stand-in replicas on one loop.
// Tests wait for conditions rather than for fixed times.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_TEST_EDGE_FIXTURE_H
#define BERYLRAMP_TEST_EDGE_FIXTURE_H

#include "berylramp/edge.h"
#include "platform.h"
#include "standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace berylramp {

/// A caller's connection that sends and receives raw bytes.
class RawCaller {
public:
  RawCaller(boost::asio::io_context &Loop, const Endpoint &Target);

  void send(const std::string &Bytes);
  /// Sends what the kernel takes at once; returns its length.
  size_t sendSome(absl::string_view Bytes);
  void close();
  const std::string &received() const { return this->Shared->Received; }
  bool isClosed() const { return this->Shared->Closed; }
  bool wasReset() const { return this->Shared->Reset; }
  /// Whether a complete answer was received.
  bool hasCompleteAnswer() const;
  /// The status code of the answer, or 0 before the status line was received.
  int status() const;

private:
  struct State : std::enable_shared_from_this<State> {
    explicit State(boost::asio::io_context &Loop) : Socket(Loop) {}
    void read();
    boost::asio::ip::tcp::socket Socket;
    std::string Received;
    std::string Buffer = std::string(4096, '\0');
    bool Closed = false;
    bool Reset = false;
  };
  std::shared_ptr<State> Shared;
};

/// The resident memory of this process in bytes.
int64_t residentBytes();

/// Replicas "engine-0", "engine-1", "plain-0" and "plain-1", a store and a
/// daemon in one data centre.
struct EdgeFixture {
  EdgeFixture();
  ~EdgeFixture();

  /// Starts the daemon; does not wait until it is ready.
  void start(EdgeSettings Settings = EdgeSettings());
  /// Runs the loop until \p Condition holds; false when it does not hold within
  /// \p Timeout.
  bool runUntil(const std::function<bool()> &Condition,
                absl::Duration Timeout = absl::Seconds(20));
  void runFor(absl::Duration Time);
  void putTable(int64_t Version, const std::vector<std::string> &Keys);
  void putReplicas(const std::string &State = "ready");
  /// \p PathTo returns the address at which the host reaches a replica; if
  /// there is none, the one that the replica published. A daemon that is
  /// destroyed while the loop runs needs a timer of its own.
  std::unique_ptr<EdgeDaemon>
  startDaemon(const HostConfig &HostSettings, const EdgeSettings &Settings,
              const std::function<std::optional<Endpoint>(const UpstreamId &)>
                  &PathTo = {},
              LoopTimer *OwnTimer = nullptr);
  /// Waits until the host whose readiness endpoint is \p Ready is ready.
  void awaitReady(const Endpoint &Ready);
  /// Sends a request with attempt id \p Id on a new connection and waits for
  /// its complete answer or the end of the connection.
  RawCaller call(const std::string &Path, const std::string &Id,
                 const std::string &ExtraHeaders = "",
                 const std::string &Body = "x",
                 const std::string &Key = "key-1");
  static std::string makeRequest(const std::string &Path, const std::string &Id,
                                 const std::string &ExtraHeaders,
                                 const std::string &Body,
                                 const std::string &Key);
  Endpoint callerEndpoint() const { return this->Config.Callers; }
  /// How often all replicas together ran the request.
  int runCount(const std::string &Id) const;

  boost::asio::io_context Loop;
  LoopTimer Timer;
  std::unique_ptr<standin::Store> Store;
  std::vector<std::shared_ptr<standin::Replica>> Engines;
  std::vector<std::shared_ptr<standin::Replica>> PlainReplicas;
  HostConfig Config;
  std::unique_ptr<EdgeDaemon> Daemon;
};

/// A daemon that is ready to serve requests.
struct ServingFixture : EdgeFixture {
  ServingFixture();
  void setBehavior(standin::ReplicaBehavior NewBehavior);
};

/// A serving host and a second one with the same store.
struct TwoHostFixture : ServingFixture {
  ~TwoHostFixture() { this->Second.reset(); }

  /// Starts the second host and waits until it is ready; without links it
  /// reaches no other host.
  void startSecond(bool WithLinks);

  HostConfig SecondConfig;
  std::unique_ptr<EdgeDaemon> Second;
};

} // namespace berylramp

#endif // BERYLRAMP_TEST_EDGE_FIXTURE_H
