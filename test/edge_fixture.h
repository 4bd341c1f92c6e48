//===- edge_fixture.h - A daemon with a stand-in platform -------*- C++ -*-===//
//
// The real daemon, a stand-in store and stand-in replicas on one loop. Waits
// end when a condition holds, never after a fixed time.
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

/// A caller's connection, byte for byte.
class RawCaller {
public:
  RawCaller(boost::asio::io_context &Loop, const Endpoint &To);

  void send(const std::string &Bytes);
  void close();
  const std::string &received() const { return this->Shared->Received; }
  bool ended() const { return this->Shared->Ended; }
  bool wasReset() const { return this->Shared->Reset; }
  /// Whether a whole answer has come.
  bool answered() const;
  /// The status of the answer; 0 before it came.
  int status() const;

private:
  struct State : std::enable_shared_from_this<State> {
    explicit State(boost::asio::io_context &Loop) : Socket(Loop) {}
    void read();
    boost::asio::ip::tcp::socket Socket;
    std::string Received;
    std::string Buffer = std::string(4096, '\0');
    bool Ended = false;
    bool Reset = false;
  };
  std::shared_ptr<State> Shared;
};

struct EdgeFixture {
  EdgeFixture();
  ~EdgeFixture();

  /// Starts the daemon and waits until it is ready.
  void start(EdgeSettings Settings = EdgeSettings());
  /// Runs the loop until \p Holds; false when it did not within the time.
  bool until(const std::function<bool()> &Holds,
             absl::Duration Most = absl::Seconds(20));
  void runFor(absl::Duration Time);
  void putTable(int64_t Version, const std::vector<std::string> &Keys);
  void putReplicas(const std::string &State = "ready");
  /// Sends a request with its own id and waits for the end of its answer.
  RawCaller call(const std::string &Path, const std::string &Id,
                 const std::string &Extra = "", const std::string &Body = "x",
                 const std::string &Key = "key-1");
  static std::string request(const std::string &Path, const std::string &Id,
                             const std::string &Extra, const std::string &Body,
                             const std::string &Key);
  Endpoint callers() const { return this->Facts.Callers; }
  /// Runs of a request at all replicas.
  int runsOf(const std::string &Id) const;

  boost::asio::io_context Loop;
  LoopTimer Timer;
  std::unique_ptr<standin::Store> Store;
  std::vector<std::shared_ptr<standin::Replica>> Engines;
  std::vector<std::shared_ptr<standin::Replica>> Plains;
  HostConfig Facts;
  std::unique_ptr<EdgeDaemon> Daemon;
};

} // namespace berylramp

#endif // BERYLRAMP_TEST_EDGE_FIXTURE_H
