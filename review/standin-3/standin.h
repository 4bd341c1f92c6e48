//===- standin.h - Stand-ins for the cases of the third review --*- C++ -*-===//
//
// A store, replicas, clients and the processes under test, on loopback
// addresses and blocking sockets. Follows PROTOCOL.md and DEPLOY.md.
//
//===----------------------------------------------------------------------===//

#ifndef REVIEW_STANDIN_3_STANDIN_H
#define REVIEW_STANDIN_3_STANDIN_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Seconds since the start of the program.
double now();
void sleepFor(double Seconds);

/// Writes lines with the time to record.txt and to standard output.
class Recorder {
public:
  explicit Recorder(const std::string &Path) : File(Path) {}
  void line(const std::string &Text);

private:
  std::mutex Lock;
  std::ofstream File;
};

/// The header and the body of an HTTP message.
struct Message {
  std::string StartLine;
  std::map<std::string, std::string> Headers;
  std::string Body;
  bool IsComplete = false;

  /// The value of a header by its name in lower case, or an empty string.
  std::string header(const std::string &Name) const;
  int status() const;
};

/// A connected socket with a read buffer; closed by its destructor.
class Connection {
public:
  explicit Connection(int Descriptor) : Descriptor(Descriptor) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Opens a connection within two seconds, or returns null.
  static std::unique_ptr<Connection> open(const std::string &Ip, int Port);
  bool send(const std::string &Bytes);
  /// Reads one message with a body of stated length.
  std::optional<Message> read(double TimeoutSeconds, bool IsHead = false);
  void shutdown();

private:
  bool fill(double Deadline);

  int Descriptor;
  std::string Buffer;
};

/// Accepts connections on a free port and serves each on its own thread.
class Server {
public:
  Server(std::string Ip, std::function<void(Connection &)> Serve);
  ~Server();
  int port() const { return this->Port; }
  const std::string &ip() const { return this->Ip; }

private:
  void accept();

  std::string Ip;
  std::function<void(Connection &)> Serve;
  int Descriptor = -1;
  int Port = 0;
  std::atomic<bool> Stops{false};
  std::thread Acceptor;
  std::mutex Lock;
  std::vector<std::shared_ptr<Connection>> Open;
  std::vector<std::thread> Threads;
};

/// The platform's store: keyed topics of one partition.
class Store {
public:
  explicit Store(const std::string &Ip);
  /// Appends a record; its return is the acknowledgement.
  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value);
  int port() const { return this->Listener->port(); }
  const std::string &ip() const { return this->Listener->ip(); }

private:
  using Record = std::pair<std::string, std::optional<std::string>>;
  void serve(Connection &Caller);
  std::string answer(const Message &Request);
  std::string read(const std::map<std::string, std::string> &Query);
  std::string newest(const std::string &Topic);
  std::string append(const std::map<std::string, std::string> &Query,
                     const std::string &Body);

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, std::vector<Record>> Topics;
  std::atomic<bool> Stops{false};
  std::unique_ptr<Server> Listener;

public:
  ~Store();
};

/// A request that a replica ran.
struct Run {
  std::string AttemptId;
  std::string Replica;
  size_t BodyBytes = 0;
  double At = 0;
};

/// What all replicas ran.
class Runs {
public:
  void add(const Run &Added);
  std::vector<Run> all();
  size_t countOf(const std::string &AttemptId);

private:
  std::mutex Lock;
  std::vector<Run> Entries;
};

/// A sound replica that writes its entry regularly.
class Replica {
public:
  /// Time between the head of an answer and its body; both are written at once
  /// if it is negative.
  double HeadFirstSeconds = -1;
  Replica(Store &Registry, Runs &Executed, std::string Id, std::string Service,
          std::string Zone, const std::string &Ip);
  ~Replica();
  /// Reports "draining" and serves on.
  void drain();
  /// Removes the entry and writes no further one.
  void removeEntry();

private:
  void serve(Connection &Caller);
  void writeEntries();
  void writeEntry();

  Store &Registry;
  Runs &Executed;
  std::string Id;
  std::string Service;
  std::string Zone;
  int64_t Born;
  std::unique_ptr<Server> Listener;
  std::atomic<bool> Stops{false};
  std::mutex EntryLock;
  int64_t Sequence = 0;
  bool IsDraining = false;
  bool IsRemoved = false;
  std::thread Writer;
};

/// A daemon of the system, started with the command of the deploy file.
class Host {
public:
  /// \p Ports: frontend, ready, control plane, directory and the range.
  Host(int Number, std::string Ip, std::vector<int> Ports, std::string Zone,
       const Store &Platform, const std::string &SeedIp,
       const std::string &Folder);
  ~Host();
  bool start();
  void kill();
  bool waitUntilReady(double TimeoutSeconds) const;
  bool isRunning();
  const std::string &ip() const { return this->Ip; }
  int frontend() const { return this->Ports[0]; }

private:
  int Number;
  std::string Ip;
  std::vector<int> Ports;
  std::string SettingsPath;
  std::string LogPath;
  pid_t Pid = -1;
};

/// Ports that are free for TCP and UDP on all of \p Ips.
std::vector<int> freePorts(const std::vector<std::string> &Ips, int Count);

struct Limits {
  int64_t HeaderBytes = 16384;
  int64_t BodyBytes = 4194304;
  int64_t HeaderTimeoutMs = 3000;
  int64_t IdleTimeoutMs = 15000;
};

/// A configuration with one unsafe route "/order/" and one safe route
/// "/lookup/" of host "orders.example" to the service "app", for one tenant.
std::string configuration(int64_t Version, const Limits &Bounds);
inline constexpr const char *TenantKey = "n2ctnfzs989anu6wsjnb";

/// A request of a client to the route "/order/" with a body of \p BodyBytes.
std::string orderRequest(const std::string &AttemptId, size_t BodyBytes,
                         int64_t DeadlineMs);
/// A request of a client to the route "/lookup/".
std::string lookupRequest(const std::string &AttemptId, int64_t DeadlineMs);

} // namespace review

#endif // REVIEW_STANDIN_3_STANDIN_H
