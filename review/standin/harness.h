//===- harness.h - Stand-ins for the review's scripts -----------*- C++ -*-===//
//
// A store, replicas and a client on loopback, as the users' pages describe
// them, and the daemons as separate processes. One thread for each connection;
// all addresses are loopback addresses.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_REVIEW_HARNESS_H
#define BERYLRAMP_REVIEW_HARNESS_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
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

/// Exit codes of a script.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CannotRun = 2;

/// Seconds on the monotonic clock since the program began.
double now();
void sleepFor(double Seconds);

/// Writes record.txt: one line for each event, with its time.
class Recorder {
public:
  explicit Recorder(const std::string &Path);
  ~Recorder();
  void line(const std::string &Text);

private:
  std::mutex Lock;
  FILE *File;
};

struct Address {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

/// Returns a listening socket and sets \p At.Port when it is 0.
int listenAt(Address &At);
/// Returns a connected socket, or -1.
int connectTo(const Address &At, double TimeoutS);
bool sendAll(int Socket, const std::string &Bytes);
/// Closes with a reset.
void resetSocket(int Socket);

using Headers = std::vector<std::pair<std::string, std::string>>;

/// The value of the first header of that name in any case, or nothing.
std::optional<std::string> headerOf(const Headers &All,
                                    const std::string &Name);

enum class ReadEnd { Complete, Closed, Reset, TimedOut, Malformed };

struct Message {
  std::string StartLine;
  Headers Fields;
  std::string Body;
  /// How the reading ended.
  ReadEnd End = ReadEnd::Complete;
  int status() const;
  std::string method() const;
  std::string target() const;
};

const char *readEndName(ReadEnd End);

/// Reads requests or answers from one connection.
class Reader {
public:
  explicit Reader(int Socket) : Socket(Socket) {}
  /// An answer without a length ends with an orderly close.
  Message read(bool IsAnswer, double TimeoutS);

private:
  /// Returns false at the end of the stream; sets \p End.
  bool fill(double Deadline, ReadEnd &End);
  int Socket;
  std::string Buffer;
};

/// The platform's metadata store: keyed topics of one partition each. It may
/// have an address for each machine, so that a path from one machine to one
/// replica can be cut: the replica listens on a port for each machine, and the
/// store tells each machine the port that is meant for it.
class Store {
public:
  Store(const std::string &Ip, size_t Fronts);
  Address address(size_t Front) const {
    return this->Fronts[Front % this->Fronts.size()];
  }
  size_t fronts() const { return this->Fronts.size(); }
  /// States the addresses of a replica, one for each front.
  void setAddresses(const std::string &Id, const std::vector<Address> &All);
  /// Appends a record and returns when it is acknowledged.
  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value);

private:
  struct Record {
    std::string Key;
    std::optional<std::string> Value;
  };
  void serve(int Socket, size_t Front);
  std::string answer(const Message &Request, size_t Front);
  std::string valueFor(const Record &Entry, size_t Front) const;
  std::vector<Address> Fronts;
  std::mutex Lock;
  std::condition_variable Grown;
  std::map<std::string, std::vector<Address>> Places;
  std::map<std::string, std::vector<Record>> Topics;
};

/// A replica; its entry is written again in each heartbeat interval.
class Replica {
public:
  /// Answers \p Request on \p Socket, which came in at the port of the machine
  /// \p Front; returns false when the connection ends.
  using Handler =
      std::function<bool(const Message &Request, int Socket, size_t Front)>;

  Replica(Store &Registry, std::string Id, std::string Service,
          std::string Zone, std::string Version, std::string Ip, int Slots,
          Handler Answer);
  void start();
  std::string id() const { return this->Id; }
  /// Ends the path from a machine: its connections are refused.
  void cut(size_t Front);

private:
  void beat();
  void serve(int Socket, size_t Front);
  Store &Registry;
  std::string Id;
  std::string Service;
  std::string Zone;
  std::string Version;
  std::string Ip;
  int Slots;
  Handler Answer;
  std::vector<int> Listeners;
  int64_t Sequence = 0;
  int64_t BornMs = 0;
};

/// One machine of the system.
struct Machine {
  std::string Name;
  std::string Zone;
  std::string Region;
  std::string Ip;
  std::string SettingsFile;
  pid_t Process = -1;
};

/// The machines of a small deployment and their processes.
class Fleet {
public:
  Fleet(Recorder &Log, Store &Registry, std::string Folder);
  /// Ends all processes that it started.
  void endAll();
  void add(const std::string &Zone, const std::string &Region,
           const std::string &Ip);
  std::vector<Machine> &machines() { return this->All; }
  /// Called from the main thread: the process ends with the thread that
  /// started it.
  void start(Machine &Target);
  /// Sends a signal to a process that this fleet started.
  void signal(Machine &Target, int Number);
  /// Waits until the process has ended; false after the time.
  bool awaitEnd(Machine &Target, double TimeoutS);
  Address frontend(const Machine &Target) const;
  Address ready(const Machine &Target) const;
  bool isReady(const Machine &Target) const;
  /// False when not all are ready in time.
  bool awaitReady(double TimeoutS);

private:
  void pickPorts(const std::string &Ip);
  Recorder &Log;
  Store &Registry;
  std::string Folder;
  std::vector<Machine> All;
  int FirstPort = 0;
};

/// Sends one request on a new connection and reads its answer.
Message call(const Address &At, const std::string &Method,
             const std::string &Target, const Headers &Fields,
             const std::string &Body, double TimeoutS);

/// The second number of this run's loopback addresses, 127.N.
int networkNumber();

/// A script: returns RuleHeld, RuleBroken or CannotRun.
using Script =
    std::function<int(Recorder &Log, Fleet &Machines, Store &Registry,
                      const std::string &Network, bool Trouble)>;

/// Runs a script with the record's path and a temporary folder as arguments,
/// and ends the process. TROUBLE=0 leaves out the disruption.
[[noreturn]] void runScript(int Argc, char **Argv, size_t Fronts,
                            const Script &Run);

} // namespace review

#endif // BERYLRAMP_REVIEW_HARNESS_H
