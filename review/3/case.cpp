//===- case.cpp - A key is taken away while other machines lose power -----===//
//
// One machine stays: nothing happens to it, to its path to the store or to the
// store. All others lose power in the moment in which a key is dropped.
//
//===----------------------------------------------------------------------===//

#include "../standin/deployment.h"

#include <csignal>

namespace {

using namespace review;

/// The bound of the settings, and for how long requests are sent.
constexpr double ConfigApplyS = 2.5;
constexpr double WatchedS = 7;
constexpr double RequestIntervalS = 0.05;

std::mutex RunsLock;
std::map<std::string, int> Runs;

int runCase(Recorder &Log, Fleet &Machines, Store &Registry,
            const std::string &Net, bool Trouble) {
  const char *Zones[] = {"colombo-a", "kandy-a", "galle-a"};
  const char *Regions[] = {"western", "central", "southern"};
  const int Counts[] = {3, 3, 2};
  for (int Zone = 0; Zone < 3; ++Zone)
    for (int Number = 1; Number <= Counts[Zone]; ++Number)
      Machines.add(Zones[Zone], Regions[Zone],
                   Net + "." + std::to_string(Zone + 1) + "." +
                       std::to_string(Number));
  Registry.put("keyed.op", "config", configuration(7, {LastingKey, SecondKey}));
  for (int Index = 0; Index < 3; ++Index) {
    std::string Id = "i-plain-" + std::to_string(Index + 1);
    auto *Plain =
        new Replica(Registry, Id, PlainService, Zones[Index], "v1",
                    Net + ".8." + std::to_string(Index + 1), 6,
                    [&Log, Id](const Message &Request, int Socket, size_t) {
                      std::string Attempt = idOf(Request);
                      {
                        std::lock_guard<std::mutex> Guard(RunsLock);
                        Runs[Attempt] += 1;
                      }
                      Log.line("replica " + Id + " runs " + Attempt);
                      return sendAll(Socket, plainAnswer(Attempt, Id));
                    });
    Plain->start();
  }
  for (Machine &Each : Machines.machines())
    Machines.start(Each);
  if (!Machines.awaitReady(20)) {
    Log.line("cannot run: the machines are not ready");
    return CannotRun;
  }
  sleepFor(10);
  Machine &Kept = Machines.machines()[2];
  auto Send = [&](const std::string &Id) {
    return call(Machines.frontend(Kept), "GET", "/cufi504/fi50/2f",
                {{"Host", Host},
                 {"Berylramp-Attempt-Id", Id},
                 {"Berylramp-Deadline-Ms", "1500"},
                 {"Authorization", "Token " + SecondKey}},
                "", 2);
  };
  Message Before = Send("before");
  Log.line("client before: " + std::to_string(Before.status()));
  if (Before.status() != 200)
    return CannotRun;
  if (Trouble) {
    Log.line("disruption: all machines but " + Kept.Name + " lose power");
    for (Machine &Each : Machines.machines())
      if (&Each != &Kept)
        Machines.signal(Each, SIGSTOP);
  }
  Registry.put("keyed.op", "config", configuration(9, {LastingKey}));
  double AcknowledgedAt = now();
  Log.line("the store acknowledged version 9 without the second key");
  int Sent = 0;
  int Late = 0;
  double LastServedS = 0;
  while (now() - AcknowledgedAt < WatchedS) {
    std::string Id = "r" + std::to_string(Sent++);
    double SentS = now() - AcknowledgedAt;
    Message Answer = Send(Id);
    bool Ran = false;
    {
      std::lock_guard<std::mutex> Guard(RunsLock);
      Ran = Runs.count(Id) > 0;
    }
    Log.line("client " + Id + ", sent " + std::to_string(SentS) +
             " s after the acknowledgement: " +
             std::to_string(Answer.status()) + ", " + readEndName(Answer.End));
    if (Ran) {
      LastServedS = SentS;
      Late += SentS > ConfigApplyS ? 1 : 0;
    }
    sleepFor(RequestIntervalS);
  }
  Log.line("requests with the dropped key " + std::to_string(Sent) +
           ", last one run was sent " + std::to_string(LastServedS) +
           " s after the acknowledgement; bound " +
           std::to_string(ConfigApplyS) + " s; run beyond it " +
           std::to_string(Late));
  return Late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Argc, char **Argv) { review::runScript(Argc, Argv, 1, runCase); }
