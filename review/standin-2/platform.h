//===- platform.h - Stand-ins for a small deployment ------------*- C++ -*-===//
//
// A store, replicas, callers and the operator on loopback addresses, for the
// scripts of this review. The daemons under test run as separate processes.
// Each connection has a thread of its own.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_REVIEW_STANDIN2_PLATFORM_H
#define BERYLRAMP_REVIEW_STANDIN2_PLATFORM_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// Seconds since the start of the script.
double now();
void sleepFor(double Seconds);
/// Appends a line with the time to the record of the script.
void record(const std::string &Line);
void openRecord(const std::string &Path);

struct Message {
  /// The request line or the status line.
  std::string Start;
  std::string Head;
  std::string Body;
  std::string header(const std::string &Name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// A blocking TCP connection.
class Connection {
public:
  explicit Connection(int Descriptor) : Descriptor(Descriptor) {}
  ~Connection();
  /// Connects from the address \p From, if it is not empty.
  static std::unique_ptr<Connection> open(const std::string &Ip, int Port,
                                          double Timeout);
  /// Reads one message. \p IsAnswer states that a body without a length ends
  /// with the connection. Returns false at the end of the connection, or when
  /// nothing arrives within \p Timeout.
  bool read(Message &Result, double Timeout, bool IsAnswer);
  /// Reads what has arrived into \p Bytes; false at the end of the connection.
  bool readSome(std::string &Bytes, double Timeout);
  bool write(const std::string &Bytes);
  /// Whether the other side has closed the connection.
  bool isClosed();
  void reset();
  /// Ends all reads and writes.
  void shutDown();
  /// True if the last read ended with a reset or an error.
  bool WasReset = false;

private:
  bool fill(double Timeout);
  int Descriptor;
  std::string Buffer;
};

/// Accepts connections and serves each in a thread of its own.
class Server {
public:
  using Handler = std::function<void(Connection &)>;
  ~Server() { this->stop(); }
  /// Listens on a free port of \p Ip.
  int listen(const std::string &Ip, Handler Call);
  /// Closes the port and all connections.
  void stop();

private:
  int Descriptor = -1;
  std::thread Acceptor;
  std::mutex Lock;
  std::set<Connection *> Open;
  std::atomic<int> Threads{0};
};

struct Record {
  std::string Key;
  std::optional<std::string> Value;
};

/// The platform's store: keyed topics with one partition each.
class Store {
public:
  int listen(const std::string &Ip);
  void put(const std::string &Topic, const std::string &Key,
           std::optional<std::string> Value);
  std::string newest(const std::string &Topic, const std::string &Key);
  void stop() { this->Listener.stop(); }

  /// Time until an answer.
  std::atomic<double> AnswerTime{0.004};
  /// The store is down: it does nothing and does not answer.
  std::atomic<bool> IsSilent{false};
  /// Called, without a lock, after a record of a daemon was appended.
  std::function<void(const std::string &Topic, const Record &)> OnAppend;

private:
  void serve(Connection &Caller);
  std::string answer(const Message &Request);

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, std::vector<Record>> Topics;
  Server Listener;
};

/// A run or a rejection of a request, as a replica saw it.
struct Arrival {
  double At = 0;
  std::string Id;
  std::string Replica;
  std::string Version;
  std::string Target;
};

/// A replica of a service. It writes its entry into the store at each
/// heartbeat.
class Replica {
public:
  Replica(Store &Platform, std::string Id, std::string Service,
          std::string Zone, std::string Version)
      : Platform(Platform), Id(std::move(Id)), Service(std::move(Service)),
        Zone(std::move(Zone)), Version(std::move(Version)) {}
  ~Replica() { this->stop(); }
  void start(const std::string &Ip);
  /// Ends at once, and its entry is removed.
  void stop();
  /// Ends at once and says nothing; its entry lapses after three heartbeats.
  void crash();
  std::string entry() const;
  /// The headers that every answer bears.
  std::string headers(const Message &Request) const;

  /// Answers a request; by default with 200 after the work time.
  std::function<void(Connection &, const Message &)> OnRequest;
  std::function<void(const Arrival &)> OnArrival;
  double WorkTime = 0.015;
  std::atomic<bool> Leaving{false};

  Store &Platform;
  std::string Id;
  std::string Service;
  std::string Zone;
  std::string Version;
  int Port = 0;
  std::string Ip;

private:
  void serve(Connection &Caller);
  void beat();
  Server Listener;
  std::thread Heart;
  std::atomic<bool> Stopped{true};
  std::atomic<int64_t> Sequence{0};
  int64_t Born = 0;
};

/// A whole answer of a replica to \p Request.
std::string answerOf(const Replica &Source, const Message &Request, int Status,
                     const std::string &Body);

/// A daemon of the deploy file, in a process of its own.
class Daemon {
public:
  /// \p Settings is the text of its settings file, which is written into the
  /// folder of the script.
  Daemon(std::string Name, std::string Ip, int FirstPort, std::string Zone)
      : Name(std::move(Name)), Ip(std::move(Ip)), FirstPort(FirstPort),
        Zone(std::move(Zone)) {}
  ~Daemon() { this->kill(); }
  void start(const std::string &Folder, const std::string &StoreIp,
             int StorePort, const std::vector<std::string> &Seeds);
  void signal(int Signal) const;
  void kill();
  bool isRunning();
  bool isReady() const;

  std::string Name;
  std::string Ip;
  int FirstPort;
  std::string Zone;
  pid_t Pid = -1;
  int frontend() const { return this->FirstPort; }
};

/// Waits until all hosts are ready; false if one is not within \p Timeout.
bool awaitReady(const std::vector<std::unique_ptr<Daemon>> &Hosts,
                double Timeout);

/// One route of the operator's configuration.
std::string routeRow(const std::string &Name, const std::string &Prefix,
                     const std::string &Kind, const std::string &Service,
                     int Attempts, int TimeoutMs, int ObjectiveMs);
std::string configuration(int Version, const std::vector<std::string> &Routes,
                          const std::vector<std::string> &Services);

/// The outcome of one client attempt. The status is 0 when the connection ended
/// without a whole answer, and -1 when none was opened.
struct Outcome {
  int Status = 0;
  std::string Text;
  bool IsWhole = false;
  bool IsSigned = false;
};

/// Sends one request on a connection of its own.
Outcome request(const Daemon &Host, const std::string &Method,
                const std::string &Target, const std::string &Id,
                const std::string &Body, int DeadlineMs,
                const std::string &MoreHeaders = "");

std::string freshId();
int freePort(const std::string &Ip);
/// The address that the loopback hosts of this script share up to the last
/// number.
std::string addressPrefix();

} // namespace review

#endif // BERYLRAMP_REVIEW_STANDIN2_PLATFORM_H
