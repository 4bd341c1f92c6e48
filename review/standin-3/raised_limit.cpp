//===- raised_limit.cpp - Orders after a limit was raised -----------------===//
//
// Clients keep connections open. A new configuration raises maxBodyBytes; each
// client then sends an order within the new limit on its kept connection.
//
// Usage: raised_limit RECORD FOLDER. With TROUBLE=0 in the environment, the
// higher limit holds from the first configuration on, and nothing changes.
//
//===----------------------------------------------------------------------===//

#include "standin.h"

#include <cstdlib>
#include <random>

using namespace review;

namespace {

constexpr int HostCount = 3;
constexpr int ClientsPerHost = 8;
constexpr int64_t FormerBodyBytes = 65536;
constexpr int64_t RaisedBodyBytes = 1048576;
constexpr size_t SmallOrder = 1000;
constexpr size_t LargeOrder = 200000;
/// Longer than configApplyMs (2.5 s) and stableWindowMs (4 s) together, and
/// shorter than four fifths of idleTimeoutMs (12 s).
constexpr double SettleSeconds = 7;
constexpr double AnswerSeconds = 12;
constexpr int64_t DeadlineMs = 8000;
constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

struct Client {
  Host *Target;
  std::string Name;
  std::unique_ptr<Connection> Kept;
};

/// Sends an order and returns the status of its answer; 0 without one.
int sendOrder(Recorder &Record, Runs &Executed, Connection &Via,
              const std::string &Name, const std::string &AttemptId,
              size_t Bytes) {
  Via.send(orderRequest(AttemptId, Bytes, DeadlineMs));
  std::optional<Message> Answer = Via.read(AnswerSeconds);
  int Status = Answer && Answer->IsComplete ? Answer->status() : 0;
  Record.line(Name + " sent order " + AttemptId + " of " +
              std::to_string(Bytes) + " bytes: answer " +
              std::to_string(Status) + ", runs " +
              std::to_string(Executed.countOf(AttemptId)));
  return Status;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3)
    return ExitNotRun;
  const char *Setting = std::getenv("TROUBLE");
  bool HasTrouble = Setting == nullptr || std::string(Setting) != "0";
  Recorder Record(Arguments[1]);
  std::random_device Random;
  // A loopback network of this run's own, so that the fixed port of the
  // metrics is free too.
  std::string Net = "127." + std::to_string(10 + Random() % 200) + "." +
                    std::to_string(Random() % 250) + ".";
  std::vector<std::string> Ips;
  for (int Index = 1; Index <= HostCount; ++Index)
    Ips.push_back(Net + std::to_string(Index));
  std::vector<int> Ports = freePorts(Ips, 5);
  Runs Executed;
  Store Platform(Net + "100");
  Limits Former;
  Former.BodyBytes = HasTrouble ? FormerBodyBytes : RaisedBodyBytes;
  Platform.put("keyed.op", "config", configuration(1, Former));
  std::vector<std::unique_ptr<Replica>> Replicas;
  for (int Index = 0; Index < 3; ++Index)
    Replicas.push_back(std::make_unique<Replica>(
        Platform, Executed, "i-" + std::to_string(Index), "app", "zone-1",
        Net + std::to_string(50 + Index)));
  std::vector<std::unique_ptr<Host>> Hosts;
  for (int Index = 0; Index < HostCount; ++Index)
    Hosts.push_back(std::make_unique<Host>(Index + 1, Ips[Index], Ports,
                                           "zone-1", Platform, Ips[0],
                                           Arguments[2]));
  for (const auto &Started : Hosts)
    if (!Started->start())
      return ExitNotRun;
  for (const auto &Started : Hosts)
    if (!Started->waitUntilReady(20))
      return ExitNotRun;
  Record.line("all daemons are ready");
  sleepFor(5);
  std::vector<Client> Clients;
  int Sent = 0;
  int Denied = 0;
  for (int Index = 0; Index < HostCount * ClientsPerHost; ++Index) {
    Client Added;
    Added.Target = Hosts[Index % HostCount].get();
    Added.Name = "client " + std::to_string(Index);
    Added.Kept = Connection::open(Added.Target->ip(), Added.Target->frontend());
    if (Added.Kept == nullptr ||
        sendOrder(Record, Executed, *Added.Kept, Added.Name,
                  "a" + std::to_string(Index), SmallOrder) != 200)
      return ExitNotRun;
    Sent += 1;
    Clients.push_back(std::move(Added));
  }
  if (HasTrouble) {
    Limits Raised;
    Raised.BodyBytes = RaisedBodyBytes;
    Platform.put("keyed.op", "config", configuration(2, Raised));
    Record.line("the store acknowledged version 2: maxBodyBytes rises from " +
                std::to_string(FormerBodyBytes) + " to " +
                std::to_string(RaisedBodyBytes));
  }
  sleepFor(SettleSeconds);
  // A new connection shows which configuration is in force.
  for (int Index = 0; Index < HostCount; ++Index) {
    auto Fresh = Connection::open(Hosts[Index]->ip(), Hosts[Index]->frontend());
    if (Fresh == nullptr ||
        sendOrder(Record, Executed, *Fresh,
                  "a new connection to daemon " + std::to_string(Index + 1),
                  "b" + std::to_string(Index), LargeOrder) != 200)
      return ExitNotRun;
    Sent += 1;
  }
  for (size_t Index = 0; Index < Clients.size(); ++Index) {
    int Status = sendOrder(Record, Executed, *Clients[Index].Kept,
                           Clients[Index].Name + " (kept connection)",
                           "c" + std::to_string(Index), LargeOrder);
    Sent += 1;
    Denied += Status >= 300 && Status < 500 && Status != 408 && Status != 421 &&
                      Status != 429
                  ? 1
                  : 0;
  }
  for (const auto &Started : Hosts)
    if (!Started->isRunning())
      return ExitNotRun;
  double Bound = 5 + Sent / 500.0;
  Record.line("orders sent " + std::to_string(Sent) +
              ", proper orders answered with a 4xx of the system " +
              std::to_string(Denied) + ", bound " + std::to_string(Bound));
  bool IsBroken = Denied > Bound;
  Record.line(IsBroken ? "DENIED is broken" : "DENIED held");
  return IsBroken ? ExitBroken : ExitHeld;
}
