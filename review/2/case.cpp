//===- case.cpp - Orders over a host that is killed -----------------------===//
//
// A machine lost its path to one replica and reaches it over other machines.
// The replica answers without a length. While it answers, one machine in
// between is killed.
//
//===----------------------------------------------------------------------===//

#include "../standin/deployment.h"

#include <csignal>

namespace {

using namespace review;

constexpr int OrderCount = 12;
constexpr size_t HalfBytes = 400;
constexpr double WorkS = 0.6;
constexpr double KillAfterS = 0.3;

std::mutex RunsLock;
/// The machines from which a replica got each request.
std::map<std::string, std::vector<size_t>> Runs;

/// Runs a request and answers in two halves, without a length.
bool answer(Recorder &Log, const Message &Request, int Socket, size_t Front,
            const std::string &Replica) {
  std::string Id = idOf(Request);
  {
    std::lock_guard<std::mutex> Guard(RunsLock);
    Runs[Id].push_back(Front);
  }
  Log.line("replica " + Replica + " runs " + Id + ", from machine " +
           std::to_string(Front + 1));
  std::string Head = "HTTP/1.1 200 OK\r\nBerylramp-Attempt-Id: " + Id +
                     "\r\nBerylramp-Replica-Signature: " + Replica +
                     ".07\r\nBerylramp-Replica-Load: 1,0,6\r\n"
                     "Connection: close\r\n\r\n";
  if (!sendAll(Socket, Head + std::string(HalfBytes, 'a')))
    return false;
  sleepFor(WorkS);
  sendAll(Socket, std::string(HalfBytes, 'b'));
  Log.line("replica " + Replica + " ends " + Id);
  return false;
}

int runCase(Recorder &Log, Fleet &Machines, Store &Registry,
            const std::string &Network, bool Trouble) {
  const char *Zones[] = {"colombo-a", "kandy-a", "galle-a"};
  const char *Regions[] = {"western", "central", "southern"};
  Registry.put("keyed.op", "config", configuration(7, {LastingKey}));
  std::vector<Replica *> Replicas;
  for (int Index = 0; Index < 3; ++Index) {
    std::string Number = std::to_string(Index + 1);
    Machines.add(Zones[Index], Regions[Index], Network + "." + Number + ".1");
    std::string Plain = "i-plain-" + Number;
    Replicas.push_back(new Replica(
        Registry, Plain, PlainService, Zones[Index], "v1",
        Network + ".8." + Number, 6,
        [&Log, Plain](const Message &Request, int Socket, size_t Front) {
          return answer(Log, Request, Socket, Front, Plain);
        }));
  }
  for (Replica *Each : Replicas)
    Each->start();
  for (Machine &Each : Machines.machines())
    Machines.start(Each);
  if (!Machines.awaitReady(20)) {
    Log.line("cannot run: the machines are not ready");
    return CannotRun;
  }
  sleepFor(6);
  Machine &First = Machines.machines()[0];
  auto Send = [&](const std::string &Id, const std::string &Method,
                  const std::string &Target) {
    return call(Machines.frontend(First), Method, Target,
                {{"Host", Host},
                 {"Berylramp-Attempt-Id", Id},
                 {"Berylramp-Deadline-Ms", "1500"},
                 {"Authorization", "Token " + LastingKey}},
                Method == "POST" ? "order " + Id : "", 3);
  };
  if (Trouble) {
    Log.line("disruption: machine 1 loses its path to i-plain-1");
    Replicas[0]->cut(0);
  }
  // The machine notices its lost path.
  for (int Number = 0; Number < 6; ++Number)
    Send("early" + std::to_string(Number), "GET", "/cufi504/fi50/2f");
  sleepFor(4.5);
  std::vector<Message> Answers(OrderCount);
  std::vector<std::thread> Clients;
  for (int Number = 0; Number < OrderCount; ++Number)
    Clients.emplace_back([&, Number] {
      std::string Id = "order" + std::to_string(Number);
      Message Answer = Send(Id, "POST", "/puxa403/2f");
      Log.line("client " + Id + ": " + std::to_string(Answer.status()) + ", " +
               readEndName(Answer.End) + ", " +
               std::to_string(Answer.Body.size()) + " bytes");
      Answers[static_cast<size_t>(Number)] = std::move(Answer);
    });
  sleepFor(KillAfterS);
  int OverOthers = 0;
  if (Trouble) {
    std::vector<int> Used(3);
    {
      std::lock_guard<std::mutex> Guard(RunsLock);
      for (int Number = 0; Number < OrderCount; ++Number)
        for (size_t Front : Runs["order" + std::to_string(Number)])
          Used[Front] += 1;
    }
    OverOthers = Used[1] + Used[2];
    Log.line("orders over machine 2: " + std::to_string(Used[1]) +
             ", over machine 3: " + std::to_string(Used[2]));
    Machine &Between = Machines.machines()[Used[1] >= Used[2] ? 1 : 2];
    Log.line("disruption: one machine in between is killed");
    Machines.signal(Between, SIGKILL);
    Machines.awaitEnd(Between, 2);
  }
  for (std::thread &Client : Clients)
    Client.join();
  int Whole = 0;
  int Broken = 0;
  for (int Number = 0; Number < OrderCount; ++Number) {
    const Message &Answer = Answers[static_cast<size_t>(Number)];
    if (Answer.status() != 200 || Answer.End != ReadEnd::Complete)
      continue;
    bool IsWhole = Answer.Body.size() == 2 * HalfBytes;
    Whole += IsWhole ? 1 : 0;
    Broken += IsWhole ? 0 : 1;
    if (!IsWhole)
      Log.line("MIXED broken: order" + std::to_string(Number) +
               " is answered 200 with " + std::to_string(Answer.Body.size()) +
               " of " + std::to_string(2 * HalfBytes) + " bytes");
  }
  Log.line("orders sent " + std::to_string(OrderCount) + ", answered whole " +
           std::to_string(Whole) + ", answered 200 with a part " +
           std::to_string(Broken));
  if (Whole + Broken == 0 || (Trouble && OverOthers == 0))
    return CannotRun;
  return Broken > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Argc, char **Argv) { review::runScript(Argc, Argv, 3, runCase); }
